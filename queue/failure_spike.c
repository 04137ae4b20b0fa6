#include "failure_spike.h"

#include <math.h>

/* For how long the ends of runs count. */
static const double memory_ms = 3000.0;

/* Jobs fail by themselves, too: less is usual. */
static const double least_failed = 3.0;
static const double begin_share = 0.15;
static const double usual_share = 0.08;
static const double end_share = 0.03; /* bad workers at rest do not fail */

static void
forget_old (Outbreak *o, ClockMs now)
{
  double kept = exp (-(double)MAX (now - o->noted, 0) / memory_ms);

  o->failed *= kept;
  o->ended *= kept;
  o->noted = MAX (o->noted, now);
}

/* Counts the end of a run at NOW. */
void
outbreak_note (Outbreak *o, ClockMs now, gboolean failed)
{
  forget_old (o, now);
  if (failed && o->failed <= usual_share * o->ended)
    o->first = now;
  o->failed += failed;
  o->ended += 1.0;
  if (o->failed >= least_failed && o->failed > begin_share * o->ended)
    o->since = o->since ? o->since : o->first;
  else if (o->failed < end_share * o->ended)
    o->since = 0;
}

/* Returns since when there has been an outbreak, or 0. */
ClockMs
outbreak_since (const Outbreak *o)
{
  return o->since;
}
