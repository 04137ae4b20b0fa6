#include "store_health.h"

enum
{
  FAILING_MS = 600, /* a few tries; one lost answer is no lost store */
  SILENT_MS = 2000  /* twice as long as a watch without changes lasts */
};

/* Prepares R for a host that starts at NOW. */
void
reach_init (Reach *r, ClockMs now)
{
  *r = (Reach) { .heard = now };
}

/* Counts a call that has ended with STATUS at NOW. */
void
reach_note (Reach *r, ClockMs now, KvStatus status)
{
  r->failing = status == KV_REFUSED || status == KV_LOST;
  if (!r->failing)
    r->heard = now;
}

/* Tells whether the store has done nothing for this host for so long that
   callers are better off at another one. */
gboolean
reach_is_lost (const Reach *r, ClockMs now)
{
  return now - r->heard > (r->failing ? FAILING_MS : SILENT_MS);
}
