#include "rtt.h"

#include <math.h>

/* Weights of a new sample, and how many deviations lie between the mean and the
   bound: as in RFC 6298. */
static const double mean_gain = 1.0 / 8.0;
static const double deviation_gain = 1.0 / 4.0;
static const double bound_deviations = 4.0;

/* Tells whether E has no sample yet. */
gboolean
rtt_is_unknown (const RttEstimate *e)
{
  return e->mean_ms == 0.0;
}

/* Adds SAMPLE, the time from sending a call to its reply, to E. */
void
rtt_record (RttEstimate *e, ClockMs sample)
{
  double ms = (double)MAX (sample, 1);

  if (rtt_is_unknown (e))
    {
      e->mean_ms = ms;
      e->deviation_ms = ms / 2.0;
      return;
    }
  e->deviation_ms +=
      deviation_gain * (fabs (ms - e->mean_ms) - e->deviation_ms);
  e->mean_ms += mean_gain * (ms - e->mean_ms);
}

/* Returns the time in milliseconds within which nearly all replies arrive, or 0
   before the first sample. */
ClockMs
rtt_bound (const RttEstimate *e)
{
  return (ClockMs)ceil (e->mean_ms + bound_deviations * e->deviation_ms);
}

/* Returns the time-out of a call in milliseconds, from LEAST to MOST.  The call
   may need a new connection, which takes a round trip of its own. */
ClockMs
rtt_timeout (const RttEstimate *e, ClockMs least, ClockMs most)
{
  return CLAMP (2 * rtt_bound (e), least, most);
}
