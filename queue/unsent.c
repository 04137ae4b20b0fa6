#include "dispatch_state.h"

/* Starts that were placed but not sent yet: they wait for a reading of their
   worker's clock, or for other calls to it. */

/* How long a start may wait to be sent, in milliseconds: as long as a gang
   waits for its members. */
static const ClockMs max_wait = 3000;

/* Returns a start that has waited for W's clock since SINCE or before, and was
   never sent, or NULL. */
static WorkPlacement *
find_unread (PoolWorker *w, ClockMs since)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->awaits_reading && !placement->start_sent &&
        placement->started_at <= since)
      return placement;
  return NULL;
}

/* Gives up the starts that have waited for a reading of W's clock since SINCE:
   W has not answered.  Nothing was sent, so that their tasks can start
   elsewhere. */
static void
drop_unread (Dispatch *d, PoolWorker *w, ClockMs since)
{
  WorkPlacement *placement;

  while ((placement = find_unread (w, since)))
    {
      quarantine_exclude (d, w, quarantine_exclusion_span);
      runs_end (d, placement, RUN_STOPPED, NULL);
    }
}

/* Handles that W did not answer the hold that was to read its clock. */
void
unsent_on_silent (Dispatch *d, PoolWorker *w)
{
  drop_unread (d, w, d->now);
}

/* Handles that W, which serves others, took no connection for its hold. */
void
unsent_on_hold_refused (Dispatch *d, PoolWorker *w)
{
  drop_unread (d, w, d->now - runs_connection_wait);
}

static WorkPlacement *
find_unsent (PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (!placement->start_sent)
      return placement;
  return NULL;
}

/* Handles that W's process is a new one, which may be of another kind and have
   less room: what was placed for the process before is placed anew. */
void
unsent_on_restart (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  while ((placement = find_unsent (w)))
    runs_end (d, placement, RUN_STOPPED, NULL);
}

/* Returns when PLACEMENT's start is given up if it has not been sent, or
   CLOCK_NEVER. */
ClockMs
unsent_deadline (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STARTING && !placement->start_sent
             ? placement->started_at + max_wait
             : CLOCK_NEVER;
}

static WorkPlacement *
find_overdue (const Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (unsent_deadline (placement) <= d->now)
      return placement;
  return NULL;
}

/* Logs what PLACEMENT's start has waited for. */
static void
log_overdue (const Dispatch *d, const WorkPlacement *placement)
{
  const WorkStep *step = placement->task->step;
  const PoolWorker *w = placement->worker;

  effects_log (
      d->fx,
      "event=start_unsent job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " worker=%s waited_ms=%" CLOCK_MS_FORMAT
      " reading=%d hold=%" G_GINT64_FORMAT " hold_age_ms=%" CLOCK_MS_FORMAT
      " calls=%u of=%u",
      step->job->entry->id, step->occurrence, step->number,
      placement->task->index, placement->run, w->entry->id,
      d->now - placement->started_at, placement->awaits_reading, w->poll_id,
      w->poll_id ? d->now - w->poll_sent_at : 0, w->calls.in_flight,
      w->calls.max);
}

/* Gives up the starts on W that have waited too long to be sent, whatever they
   wait for.  Nothing of them was sent, so that their tasks can start
   elsewhere. */
void
unsent_give_up_overdue (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  while ((placement = find_overdue (d, w)))
    {
      log_overdue (d, placement);
      quarantine_exclude (d, w, quarantine_exclusion_span);
      runs_end (d, placement, RUN_STOPPED, NULL);
    }
}
