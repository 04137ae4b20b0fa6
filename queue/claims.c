#include "dispatch_state.h"

/* Claims: placements whose room is still taken by runs that are being
   stopped. */

/* Claimed room that has not become free within so many milliseconds is given
   up. */
const ClockMs claims_timeout = 1600;

/* Tells whether the room that PLACEMENT claims is free now. */
static gboolean
claim_fits_now (const WorkPlacement *placement)
{
  PoolResources room = placement->worker->entry->capacity;

  pool_resources_subtract (&room, &placement->worker->used);
  return pool_resources_fit (&room, &placement->task->step->need);
}

/* Tells whether the room of all of STEP's claims is free now, counting several
   claims on one worker together. */
static gboolean
gang_claims_fit_now (const WorkStep *step)
{
  guint i, k;

  for (i = 0; i < step->spec->count; i++)
    {
      const WorkPlacement *placement = step->tasks[i].placement;
      PoolResources room;

      if (!placement || placement->state != PLACEMENT_RESERVED)
        continue;
      room = placement->worker->entry->capacity;
      pool_resources_subtract (&room, &placement->worker->used);
      for (k = 0; k < i; k++)
        if (step->tasks[k].placement &&
            step->tasks[k].placement->state == PLACEMENT_RESERVED &&
            step->tasks[k].placement->worker == placement->worker)
          pool_resources_subtract (&room, &step->need);
      if (!pool_resources_fit (&room, &step->need))
        return FALSE;
    }
  return TRUE;
}

/* Tells whether PLACEMENT's claim has timed out or its worker can't be used. */
static gboolean
claim_is_invalid (const Dispatch *d, const WorkPlacement *placement)
{
  return d->now - placement->started_at > claims_timeout ||
         !assign_is_usable (d, placement->worker) ||
         placement->worker->quarantined_until > d->now;
}

/* Starts the claims of STEP whose room is free, a gang only as a whole, and
   drops the invalid ones. */
static void
resolve_step_claims (Dispatch *d, WorkStep *step)
{
  gboolean gang_fits = step->spec->gang && gang_claims_fit_now (step);
  gint64 run = 0;
  guint n = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      WorkPlacement *placement = step->tasks[i].placement;

      if (!placement || placement->state != PLACEMENT_RESERVED)
        continue;
      if (step->spec->gang ? gang_fits : claim_fits_now (placement))
        {
          runs_start (d, placement);
          run = placement->run;
          n++;
        }
      else if (claim_is_invalid (d, placement))
        runs_end (d, placement, RUN_STOPPED, NULL);
    }
  if (n)
    assign_record_start (d, step, n, run);
}

/* Starts the claims in D whose room is free, and drops those that can't be met
   any more. */
void
claims_resolve (Dispatch *d)
{
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (job->n_placements > 0)
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (step->n_placements > 0)
          resolve_step_claims (d, step);
}
