#ifndef EVACUATION_H
#define EVACUATION_H

#include "kv.h"

/* The failure domains that the operator has evacuated: no task may be started
   on their workers. */

typedef struct EvacuationSet
{
  GHashTable *closed; /* domain to Evacuation, which it owns */
} EvacuationSet;

typedef struct Evacuation
{
  ClockMs since;   /* known to this host since */
  gint64 revision; /* of the request in the store */
} Evacuation;

void evacuation_init (EvacuationSet *set);
void evacuation_clear (EvacuationSet *set);
gboolean evacuation_apply (EvacuationSet *set,
                           const char *domain,
                           const KvItem *item,
                           ClockMs now);
gboolean evacuation_is_any_closed (const EvacuationSet *set);
gboolean evacuation_is_closed (const EvacuationSet *set, const char *domain);
const Evacuation *evacuation_find (const EvacuationSet *set,
                                   const char *domain);
gboolean evacuation_is_domain (const char *domain);
char *evacuation_log_name (const char *domain);
ClockMs evacuation_max_age (ClockMs bound);
ClockMs evacuation_watch_wait (ClockMs bound);
ClockMs evacuation_expected_left (const EvacuationSet *set,
                                  const char *const *domains,
                                  ClockMs now);

#endif
