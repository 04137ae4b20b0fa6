#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include "kv.h"

/* Whether the store works for this host, judged by the results of its
   calls. */
typedef struct StoreHealth
{
  ClockMs last_success; /* when a call last ended neither refused nor lost */
  gboolean failing;     /* a call has been refused or lost since */
} StoreHealth;

void store_health_init (StoreHealth *health, ClockMs now);
void store_health_record (StoreHealth *health, ClockMs now, KvStatus status);
gboolean store_health_is_down (const StoreHealth *health, ClockMs now);

#endif
