#include "speed.h"

#include "work.h"

enum
{
  LOOK_MS = 600, /* progress over less is too coarse, it comes in percent */
  SLOW_MS = 4000 /* without a new sign, a slow worker is tried again */
};

static const double whole = 100.0;       /* percent */
static const double least_percent = 4.0; /* of progress to judge by */

/* A task below this share of its own pace so far is held up. */
static const double slow_share = 0.45;

/* Estimates may be wrong by more than a factor of two; a task that is
   slower than that from its start on is held up, too. */
static const double slow_share_of_estimate = 0.3;

/* Counts PERCENT, as its worker lists it at NOW, as the progress of PART.
   The first listing of a run only sets where it began: it may go on from a
   checkpoint, or have been started by another scheduler. */
void
speed_note (WorkPlacement *placement, ClockMs now, double percent)
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

/* Returns the progress that PART should make in SPAN, in percent; SHARE is
   set to how little of that is slow. */
static double
expected (const WorkPlacement *placement, ClockMs span, double *share)
{
  double past = placement->normal_percent - placement->baseline_percent;
  ClockMs estimate = placement->task->step->spec->estimate_ms;

  if (past >= least_percent)
    {
      *share = slow_share;
      return past * (double)span /
             (double)(placement->normal_at - placement->baseline_at);
    }
  *share = slow_share_of_estimate;
  return estimate > 0 ? whole * (double)span / (double)estimate : 0.0;
}

/* Tells in SLOW whether PART is held up.  Returns FALSE when that can't be
   told yet; otherwise the next judgement begins at NOW. */
static gboolean
judge_part (WorkPlacement *placement, ClockMs now, gboolean *slow)
{
  ClockMs span = now - placement->sample_at;
  double share, should;

  if (placement->state != PLACEMENT_RUNNING || !placement->baseline_at ||
      span < LOOK_MS || placement->percent >= whole ||
      placement->task->step->spec->perpetual)
    return FALSE;
  should = expected (placement, span, &share);
  if (should < least_percent)
    return FALSE;
  *slow = placement->percent - placement->sample_percent < share * should;
  placement->sample_at = now;
  placement->sample_percent = placement->percent;
  if (!*slow)
    {
      placement->normal_at = now;
      placement->normal_percent = placement->percent;
    }
  return TRUE;
}

/* Judges W, whose listing has just been taken over: it is slow when all
   tasks on it that tell anything are held up, since a gang is also held up
   by another member's worker.  Returns whether that is news. */
gboolean
speed_judge (PoolWorker *w, ClockMs now)
{
  gboolean was_slow = speed_is_slow (w, now);
  gboolean told = FALSE;
  gboolean sound = FALSE;
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      gboolean slow;

      if (!judge_part (placement, now, &slow))
        continue;
      told = TRUE;
      sound = sound || !slow;
    }
  if (!told)
    return FALSE;
  w->slow_until = sound ? 0 : now + SLOW_MS;
  return was_slow == sound;
}

/* Tells whether W is taken for slow at NOW. */
gboolean
speed_is_slow (const PoolWorker *w, ClockMs now)
{
  return w->slow_until > now;
}
