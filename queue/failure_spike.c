#include "failure_spike.h"

#include <math.h>

/* Time constant of the exponential decay. */
static const double decay_ms = 3000.0;

/* Jobs also fail through faults of their own.  A spike begins above
   BEGIN_FRACTION with at least MIN_FAILURES; up to USUAL_FRACTION the rate is
   usual. */
static const double min_failures = 3.0;
static const double begin_fraction = 0.15;
static const double usual_fraction = 0.08;
static const double end_fraction =
    0.03; /* low, as idle bad workers don't fail */

/* Decays the counts until NOW. */
static void
decay_counts (FailureSpike *s, ClockMs now)
{
  double factor = exp (-(double)MAX (now - s->updated_at, 0) / decay_ms);

  s->recent_failures *= factor;
  s->recent_ends *= factor;
  s->updated_at = MAX (s->updated_at, now);
}

/* Records that a run ended at NOW, and whether it failed. */
void
failure_spike_record (FailureSpike *s, ClockMs now, gboolean failed)
{
  decay_counts (s, now);
  if (failed && s->recent_failures <= usual_fraction * s->recent_ends)
    s->first_failure = now;
  s->recent_failures += failed;
  s->recent_ends += 1.0;
  if (s->recent_failures >= min_failures &&
      s->recent_failures > begin_fraction * s->recent_ends)
    s->began_at = s->began_at ? s->began_at : s->first_failure;
  else if (s->recent_failures < end_fraction * s->recent_ends)
    s->began_at = 0;
}

/* Returns when the current spike began, or 0 when there is none. */
ClockMs
failure_spike_since (const FailureSpike *s)
{
  return s->began_at;
}
