#include "dispatch_state.h"

/* Starts that were placed but not sent yet. */

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
