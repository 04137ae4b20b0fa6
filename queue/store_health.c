#include "store_health.h"

enum
{
  FAILING_MS = 600,   /* a few tries; one lost answer is no lost store */
  NO_ANSWER_MS = 2000 /* twice as long as a watch without changes lasts */
};

/* Prepares R for a host that starts at NOW. */
void
store_health_init (StoreHealth *health, ClockMs now)
{
  *health = (StoreHealth) { .last_success = now };
}

/* Counts a call that has ended with STATUS at NOW. */
void
store_health_record (StoreHealth *health, ClockMs now, KvStatus status)
{
  health->failing = status == KV_REFUSED || status == KV_LOST;
  if (!health->failing)
    health->last_success = now;
}

/* Tells whether the store has done nothing for this host for so long that
   callers are better off at another one. */
gboolean
store_health_is_down (const StoreHealth *health, ClockMs now)
{
  return now - health->last_success >
         (health->failing ? FAILING_MS : NO_ANSWER_MS);
}
