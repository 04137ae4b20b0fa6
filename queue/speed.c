#include "speed.h"

#include "cold.h"
#include "work.h"

enum
{
  /* Progress is reported in percent, too coarse for a shorter interval. */
  MIN_SAMPLE_MS = 600,
  /* A worker counts as slow this long after its last slow sample; then it is
     tried again. */
  SLOW_TTL_MS = 4000
};

static const double full_percent = 100.0;

/* Least progress that allows a verdict. */
static const double min_percent = 4.0;

/* A run slower than this fraction of its own earlier pace is held up. */
static const double slow_fraction = 0.45;

/* A run without an earlier pace is held up below this fraction of the pace
   that its estimate implies; estimates may be wrong by more than a factor of
   two. */
static const double slow_fraction_of_estimate = 0.3;

/* Records PERCENT, reported by the worker at NOW, as the progress of PLACEMENT.
   The first report of a run is only its starting point: the run may continue
   from a checkpoint, or have been started by another scheduler. */
void
speed_record_progress (WorkPlacement *placement, ClockMs now, double percent)
{
  if (!placement->baseline_at)
    {
      placement->baseline_at = now;
      placement->baseline_percent = percent;
      placement->normal_at = now;
      placement->normal_percent = percent;
      placement->sample_at = now;
      placement->sample_percent = percent;
    }
  if (percent > placement->percent)
    placement->progressed_at = now;
  placement->percent = percent;
}

/* Returns the progress in percent that PLACEMENT should make in SPAN_MS, 0 when
   there is no estimate.  SLOW_BELOW is set to the fraction of it below which
   PLACEMENT is held up. */
static double
expected_percent (const WorkPlacement *placement,
                  ClockMs span_ms,
                  double *slow_below)
{
  double past_percent = placement->normal_percent - placement->baseline_percent;
  ClockMs estimate_ms = placement->task->step->spec->estimate_ms;

  if (past_percent >= min_percent)
    {
      *slow_below = slow_fraction;
      return past_percent * (double)span_ms /
             (double)(placement->normal_at - placement->baseline_at);
    }
  *slow_below = slow_fraction_of_estimate;
  return estimate_ms > 0 ? full_percent * (double)span_ms / (double)estimate_ms
                         : 0.0;
}

/* Sets SLOW to whether PLACEMENT is held up, and starts its next sample at NOW.
   Returns FALSE, with nothing changed, when PLACEMENT can't be evaluated or its
   sample is still too short. */
static gboolean
evaluate_part (WorkPlacement *placement, ClockMs now, gboolean *slow)
{
  ClockMs span_ms = now - placement->sample_at;
  double slow_below, expected;

  if (placement->state != PLACEMENT_RUNNING || !placement->baseline_at ||
      span_ms < MIN_SAMPLE_MS || placement->percent >= full_percent ||
      placement->task->step->spec->perpetual)
    return FALSE;
  expected = expected_percent (placement, span_ms, &slow_below);
  if (expected < min_percent)
    return FALSE;
  *slow =
      placement->percent - placement->sample_percent < slow_below * expected;
  placement->sample_at = now;
  placement->sample_percent = placement->percent;
  if (!*slow)
    {
      placement->normal_at = now;
      placement->normal_percent = placement->percent;
    }
  return TRUE;
}

/* Starts the next sample of PLACEMENT at NOW, without a verdict on the last. */
static void
skip_sample (WorkPlacement *placement, ClockMs now)
{
  placement->sample_at = now;
  placement->sample_percent = placement->percent;
}

/* Evaluates W after its progress report has been applied.  W is slow only if
   every run that gives a verdict is held up, since a gang member may also be
   held up by another member's worker.  A cold worker is not judged.  Returns
   whether W's state changed. */
gboolean
speed_evaluate (PoolWorker *w, ClockMs now)
{
  gboolean was_slow = speed_is_slow (w, now);
  gboolean any_evaluated = FALSE;
  gboolean any_sound = FALSE;
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      gboolean slow;

      if (cold_time_left (w, now) > 0)
        skip_sample (placement, now);
      if (!evaluate_part (placement, now, &slow))
        continue;
      any_evaluated = TRUE;
      any_sound = any_sound || !slow;
    }
  if (!any_evaluated)
    return FALSE;
  w->slow_until = any_sound ? 0 : now + SLOW_TTL_MS;
  return was_slow == any_sound;
}

/* Tells whether W counts as slow at NOW. */
gboolean
speed_is_slow (const PoolWorker *w, ClockMs now)
{
  return w->slow_until > now;
}
