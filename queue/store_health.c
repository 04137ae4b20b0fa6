#include "store_health.h"

enum
{
  FAILING_MS = 600,   /* a few retries: one lost answer is no outage */
  NO_ANSWER_MS = 2000 /* twice the duration of a watch without changes */
};

/* Initializes HEALTH for a host that starts at NOW. */
void
store_health_init (StoreHealth *health, ClockMs now)
{
  *health = (StoreHealth) { .last_success = now };
}

/* Records a call that ended with STATUS at NOW. */
void
store_health_record (StoreHealth *health, ClockMs now, KvStatus status)
{
  health->failing = status == KV_REFUSED || status == KV_OUTCOME_UNKNOWN;
  if (!health->failing)
    health->last_success = now;
}

/* Returns whether the store has been unavailable to this host for so long
   that callers should use another host. */
gboolean
store_health_is_down (const StoreHealth *health, ClockMs now)
{
  return now - health->last_success >
         (health->failing ? FAILING_MS : NO_ANSWER_MS);
}
