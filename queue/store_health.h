#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include "kv.h"

/* Whether this host reaches the store, by how its calls have ended. */
typedef struct Reach
{
  ClockMs heard;    /* when the store last did what it was asked for */
  gboolean failing; /* a call has failed since */
} Reach;

void reach_init (Reach *r, ClockMs now);
void reach_note (Reach *r, ClockMs now, KvStatus status);
gboolean reach_is_lost (const Reach *r, ClockMs now);

#endif
