#include "failure_spike.h"

#include <math.h>

/* For how long the ends of runs count. */
static const double decay_ms = 3000.0;

/* Jobs fail by themselves, too: less is usual. */
static const double min_failures = 3.0;
static const double begin_fraction = 0.15;
static const double usual_fraction = 0.08;
static const double end_fraction = 0.03; /* bad workers at rest do not fail */

static void
decay_counts (FailureSpike *o, ClockMs now)
{
  double factor = exp (-(double)MAX (now - o->updated_at, 0) / decay_ms);

  o->recent_failures *= factor;
  o->recent_ends *= factor;
  o->updated_at = MAX (o->updated_at, now);
}

/* Counts the end of a run at NOW. */
void
failure_spike_record (FailureSpike *o, ClockMs now, gboolean failed)
{
  decay_counts (o, now);
  if (failed && o->recent_failures <= usual_fraction * o->recent_ends)
    o->first_failure = now;
  o->recent_failures += failed;
  o->recent_ends += 1.0;
  if (o->recent_failures >= min_failures &&
      o->recent_failures > begin_fraction * o->recent_ends)
    o->began_at = o->began_at ? o->began_at : o->first_failure;
  else if (o->recent_failures < end_fraction * o->recent_ends)
    o->began_at = 0;
}

/* Returns since when there has been an outbreak, or 0. */
ClockMs
failure_spike_since (const FailureSpike *o)
{
  return o->began_at;
}
