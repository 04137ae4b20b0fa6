#ifndef EVACUATION_FEED_H
#define EVACUATION_FEED_H

#include "effects.h"
#include "evacuation.h"
#include "util.h"

/* Reads the operator's requests to evacuate domains, as a host's watch reports
   them, into its set of evacuated domains. */

/* Tells whether VALUE is that of a request, and adds to FINDINGS if not. */
typedef gboolean (*EvacuationCheck) (GBytes *value, Findings *findings);

typedef struct EvacuationFeed
{
  EvacuationSet set;
  const char *prefix; /* of the requests' keys; a domain follows */
  EvacuationCheck check;
  Effects *fx;
  gint64 n_seen; /* requests, for metrics, as the next two */
  gint64 n_unknown;
  gint64 n_unreadable;
} EvacuationFeed;

typedef enum EvacuationChange
{
  EVACUATION_UNCHANGED,
  EVACUATION_BEGUN,
  EVACUATION_ENDED
} EvacuationChange;

void evacuation_feed_init (EvacuationFeed *f,
                           const char *prefix,
                           EvacuationCheck check,
                           Effects *fx);
void evacuation_feed_clear (EvacuationFeed *f);
const char *evacuation_feed_domain (const EvacuationFeed *f, const char *key);
EvacuationChange evacuation_feed_on_item (EvacuationFeed *f,
                                          const KvItem *item,
                                          ClockMs now,
                                          ClockMs *lasted);
void evacuation_feed_note_unknown (EvacuationFeed *f, const char *domain);
void evacuation_feed_append_metrics (const EvacuationFeed *f, GString *text);

#endif
