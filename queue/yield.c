#include "yield.h"

enum
{
  /* Longer than the watch needs to come back after a lost connection. */
  MAX_HELD_MS = 8000,
  /* The role is given up only if at most MAX_TERMS terms have begun in this
     span: where no host can start tasks, it changes hands twice in it. */
  INTERVAL_MS = 60000,
  MAX_TERMS = 1
};

/* Initializes Y for a term that begins. */
void
yield_init (Yield *y)
{
  y->held_since = CLOCK_NEVER;
}

/* Notes whether the leader's starts are HELD at NOW because it does not know
   the present requests to evacuate. */
void
yield_set_held (Yield *y, gboolean held, ClockMs now)
{
  if (!held)
    y->held_since = CLOCK_NEVER;
  else if (y->held_since == CLOCK_NEVER)
    y->held_since = now;
}

/* Tells whether the leader of TERM gives up the role at NOW: its starts have
   been held for more than MAX_HELD_MS while the store renews its role, so it is
   cut off from the requests alone, and the role has not changed hands too
   often. */
gboolean
yield_is_due (const Yield *y, const Term *term, ClockMs now)
{
  return y->held_since != CLOCK_NEVER && now - y->held_since > MAX_HELD_MS &&
         term_is_renewed (term, now) &&
         term_n_begun_since (&term->history, now - INTERVAL_MS) <= MAX_TERMS;
}
