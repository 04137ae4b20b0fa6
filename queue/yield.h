#ifndef YIELD_H
#define YIELD_H

#include "term.h"

/* Decides when a leader that can't start tasks gives up the role to a host that
   can. */

typedef struct Yield
{
  ClockMs held_since; /* its starts are held; CLOCK_NEVER: they are not */
} Yield;

void yield_init (Yield *y);
void yield_set_held (Yield *y, gboolean held, ClockMs now);
gboolean yield_is_due (const Yield *y, const Term *term, ClockMs now);

#endif
