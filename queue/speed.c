#include "speed.h"

#include "work.h"

enum
{
  MIN_SAMPLE_MS =
      600,           /* progress over less is too coarse, it comes in percent */
  SLOW_TTL_MS = 4000 /* without a new sign, a slow worker is tried again */
};

static const double full_percent = 100.0; /* percent */
static const double min_percent = 4.0;    /* of progress to judge by */

/* A task below this share of its own pace so far is held up. */
static const double slow_fraction = 0.45;

/* Estimates may be wrong by more than a factor of two; a task that is
   slower than that from its start on is held up, too. */
static const double slow_fraction_of_estimate = 0.3;

/* Counts PERCENT, as its worker lists it at NOW, as the progress of PART.
   The first listing of a run only sets where it began: it may go on from a
   checkpoint, or have been started by another scheduler. */
void
speed_record_progress (WorkPart *part, ClockMs now, double percent)
{
  if (!part->listed)
    {
      part->listed = now;
      part->listed_percent = percent;
      part->sound = now;
      part->sound_percent = percent;
      part->mark = now;
      part->mark_percent = percent;
    }
  if (percent > part->percent)
    part->moved = now;
  part->percent = percent;
}

/* Returns the progress that PART should make in SPAN, in percent; SHARE is
   set to how little of that is slow. */
static double
expected_percent (const WorkPart *part, ClockMs span_ms, double *slow_below)
{
  double past_percent = part->sound_percent - part->listed_percent;
  ClockMs estimate_ms = part->task->step->spec->estimate_ms;

  if (past_percent >= min_percent)
    {
      *slow_below = slow_fraction;
      return past_percent * (double)span_ms /
             (double)(part->sound - part->listed);
    }
  *slow_below = slow_fraction_of_estimate;
  return estimate_ms > 0 ? full_percent * (double)span_ms / (double)estimate_ms
                         : 0.0;
}

/* Tells in SLOW whether PART is held up.  Returns FALSE when that can't be
   told yet; otherwise the next judgement begins at NOW. */
static gboolean
evaluate_part (WorkPart *part, ClockMs now, gboolean *slow)
{
  ClockMs span_ms = now - part->mark;
  double slow_below, expected;

  if (part->state != PART_RUNNING || !part->listed || span_ms < MIN_SAMPLE_MS ||
      part->percent >= full_percent || part->task->step->spec->perpetual)
    return FALSE;
  expected = expected_percent (part, span_ms, &slow_below);
  if (expected < min_percent)
    return FALSE;
  *slow = part->percent - part->mark_percent < slow_below * expected;
  part->mark = now;
  part->mark_percent = part->percent;
  if (!*slow)
    {
      part->sound = now;
      part->sound_percent = part->percent;
    }
  return TRUE;
}

/* Judges W, whose listing has just been taken over: it is slow when all
   tasks on it that tell anything are held up, since a gang is also held up
   by another member's worker.  Returns whether that is news. */
gboolean
speed_evaluate (PoolWorker *w, ClockMs now)
{
  gboolean was_slow = speed_is_slow (w, now);
  gboolean any_evaluated = FALSE;
  gboolean any_sound = FALSE;
  WorkPart *part;

  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    {
      gboolean slow;

      if (!evaluate_part (part, now, &slow))
        continue;
      any_evaluated = TRUE;
      any_sound = any_sound || !slow;
    }
  if (!any_evaluated)
    return FALSE;
  w->slow_until = any_sound ? 0 : now + SLOW_TTL_MS;
  return was_slow == any_sound;
}

/* Tells whether W is taken for slow at NOW. */
gboolean
speed_is_slow (const PoolWorker *w, ClockMs now)
{
  return w->slow_until > now;
}
