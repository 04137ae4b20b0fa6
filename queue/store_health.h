#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include "kv.h"

/* Whether this host reaches the store, by how its calls have ended. */
typedef struct StoreHealth
{
  ClockMs last_success; /* when the store last did what it was asked for */
  gboolean failing;     /* a call has failed since */
} StoreHealth;

void store_health_init (StoreHealth *health, ClockMs now);
void store_health_record (StoreHealth *health, ClockMs now, KvStatus status);
gboolean store_health_is_down (const StoreHealth *health, ClockMs now);

#endif
