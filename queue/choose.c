#include "pass.h"

/* Chooses the workers of tasks that wait, in a placement pass. */

enum
{
  /* Wait for room in the rack of the data before running in another. */
  RACK_WAIT_MS = 2500,
  /* Wait of an urgent gang for workers that are not slow: twice the time that
     an eviction takes. */
  FAST_WORKER_WAIT_MS = 900,
  /* Wait of a last attempt for a proven worker: as long as most failure spikes
     last. */
  PROVEN_WORKER_WAIT_MS = 6000,
  /* How long a task is kept from the worker on which it failed, if no other
     can ever take it; else for PROVEN_WORKER_WAIT_MS. */
  ONLY_WORKER_WAIT_MS = 2000,
  FEASIBILITY_TTL_MS = 1000 /* of the result of is_feasible_when_idle */
};

/* Tells whether PLACEMENT's room never becomes free for a job of PRIORITY: it
   lasts, and is not evicted for that job. */
static gboolean
is_lasting (const WorkPlacement *placement, gint64 priority)
{
  const WorkStep *step = placement->task->step;

  return step->spec->perpetual &&
         (priority > 0 || step->job->entry->job->priority == 0);
}

/* Returns the room on W for a job of PRIORITY once all else that runs there has
   ended. */
static PoolResources
room_when_idle (const PoolWorker *w, gint64 priority)
{
  PoolResources room = w->entry->capacity;
  const WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (is_lasting (placement, priority))
      pool_resources_subtract (&room, &placement->task->step->need);
  return room;
}

/* Tells whether RQ, of a job of PRIORITY, would fit once all that does not last
   has ended. */
static gboolean
is_feasible (const Pass *p, const FitRequest *rq, gint64 priority)
{
  const Pool *pool = &p->d->pool;
  FitWorker *usable = g_new0 (FitWorker, pool_size (pool) + 1);
  gboolean feasible;
  guint n = 0;
  guint i;

  for (i = 0; i < pool_size (pool); i++)
    if (assign_is_usable (p->d, pool_at (pool, i)))
      usable[n++] = (FitWorker) {
        .worker = pool_at (pool, i),
        .room = room_when_idle (pool_at (pool, i), priority),
      };
  feasible = fit_feasible (rq, usable, n);
  g_free (usable);
  return feasible;
}

/* Returns what is_feasible says of RQ, a request for STEP.  That changes only
   as workers come and go, so the result is kept for a while. */
static gboolean
is_feasible_when_idle (Pass *p, WorkStep *step, const FitRequest *rq)
{
  if (step->fits_idle_fleet_until > p->d->now)
    return step->fits_idle_fleet;
  step->fits_idle_fleet = is_feasible (p, rq, step->job->entry->job->priority);
  step->fits_idle_fleet_until = p->d->now + FEASIBILITY_TTL_MS;
  return step->fits_idle_fleet;
}

/* Returns the service that must run JOB: its route's, or else its own. */
Service *
choose_service (const Dispatch *d, const WorkJob *job)
{
  const ConfRoute *route =
      conf_find_route_by_name (d->conf, job->entry->job->route);

  return service_get (d->services,
                      route ? route->service : job->entry->job->service);
}

/* Returns when a run of any task of STEP last failed or stalled, or 0. */
static ClockMs
last_failure_or_stall (const WorkStep *step)
{
  ClockMs last = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    last = MAX (last, step->tasks[i].last_failure_at);
  return last;
}

/* Returns how many runs of TASK may still fail before its job does. */
static gint64
attempts_left (const WorkTask *task)
{
  return task->step->job->entry->job->attempts -
         (gint64)work_task_attempts (task);
}

/* Returns the least trust that the workers of TASK, or of its gang, must have.
   During a failure spike of its service, a task's last attempt waits up to
   PROVEN_WORKER_WAIT_MS for a worker on which a run has succeeded since the
   spike began. */
FitTrust
choose_min_trust (const Dispatch *d, const WorkTask *task)
{
  const WorkStep *step = task->step;
  ClockMs unlucky =
      step->spec->gang ? last_failure_or_stall (step) : task->last_failure_at;

  if (attempts_left (task) != 1 || !unlucky ||
      !failure_spike_since (&choose_service (d, step->job)->failure_spike))
    return FIT_ANY;
  return d->now < unlucky + PROVEN_WORKER_WAIT_MS ? FIT_PROVEN_SINCE : FIT_ANY;
}

/* Returns the placement request for COUNT tasks of STEP. */
FitRequest
choose_request (const Dispatch *d, const WorkStep *step, guint count)
{
  const SpecStep *spec = step->spec;
  const Service *s = choose_service (d, step->job);

  return (FitRequest) { .service = s->name,
                        .need = step->need,
                        .count = count,
                        .max_per_worker = (guint)spec->max_per_worker,
                        .label = spec->label,
                        .data_rack = spec->rack,
                        .proven_since = failure_spike_since (&s->failure_spike),
                        .now = d->now,
                        .prefer_fast = step->job->entry->job->priority == 0,
                        .same_rack = spec->same_rack && spec->gang };
}

static void
reset_placed (Pass *p)
{
  guint i;

  for (i = 0; i < p->n_candidates; i++)
    p->candidates[i].n_placed = 0;
}

/* Sets each candidate's N_PLACED to the number of STEP's tasks on it. */
void
choose_count_placed (Pass *p, const WorkStep *step)
{
  guint i, k;

  reset_placed (p);
  for (i = 0; i < step->spec->count; i++)
    {
      const WorkPlacement *placement = step->tasks[i].placement;

      for (k = 0; placement && k < p->n_candidates; k++)
        if (p->candidates[k].worker == placement->worker)
          p->candidates[k].n_placed++;
    }
}

/* Tells whether STEP, a gang, may use slow workers.  An urgent gang first waits
   FAST_WORKER_WAIT_MS for an eviction to free faster ones. */
static gboolean
may_use_slow_workers (const Pass *p, const WorkStep *step)
{
  return step->job->entry->job->priority > 0 ||
         p->d->now - step->job->accepted_at > FAST_WORKER_WAIT_MS;
}

/* Chooses workers for RQ's tasks, lowering the required trust from RQ's down
   to MIN_TRUST until they fit. */
static gboolean
place_by_trust (Pass *p,
                FitRequest *rq,
                FitTrust min_trust,
                PoolWorker **chosen)
{
  for (;; rq->trust--)
    {
      if (fit_place (rq, p->candidates, p->n_candidates, chosen))
        return TRUE;
      if (rq->trust <= min_trust)
        return FALSE;
    }
}

/* Chooses workers for all tasks of STEP, a gang.  Its slowest member sets the
   pace, so slow workers are avoided where possible.  One failed member ends the
   run of the whole gang, so a gang that has failed or stalled before, and any
   gang during a failure spike, prefers workers on which a run has succeeded.
   A gang waits for room in one rack while some rack can come to hold it;
   if none could, it is spread over several racks even though that is slower.
   It waits for the rack of its data for RACK_WAIT_MS plus the estimate. */
static gboolean
choose_gang_workers (Pass *p, WorkStep *step, PoolWorker **chosen)
{
  FitRequest rq = choose_request (p->d, step, (guint)step->spec->count);
  ClockMs age_ms = p->d->now - step->job->accepted_at;
  FitTrust min_trust = may_use_slow_workers (p, step) ? FIT_ANY : FIT_NOT_SLOW;

  reset_placed (p);
  rq.trust = rq.proven_since || last_failure_or_stall (step) ? FIT_PROVEN_SINCE
                                                             : FIT_NOT_SLOW;
  min_trust = MAX (min_trust, choose_min_trust (p->d, step->tasks));
  if (place_by_trust (p, &rq, min_trust, chosen))
    return TRUE;
  if (min_trust == FIT_PROVEN_SINCE)
    return FALSE;
  rq.trust = FIT_ANY;
  rq.ignore_racks =
      (*rq.data_rack && age_ms > RACK_WAIT_MS + step->spec->estimate_ms) ||
      !is_feasible_when_idle (p, step, &rq);
  return rq.ignore_racks &&
         fit_place (&rq, p->candidates, p->n_candidates, chosen);
}

/* Chooses workers for STEP, a gang, also among those in quarantine if the
   others could not hold it even when idle. */
static gboolean
choose_with_quarantined (Pass *p, WorkStep *step, PoolWorker **chosen)
{
  FitRequest rq = choose_request (p->d, step, (guint)step->spec->count);

  if (!p->room->has_quarantined || is_feasible_when_idle (p, step, &rq))
    return FALSE;
  rq.ignore_racks = TRUE;
  if (is_feasible (p, &rq, step->job->entry->job->priority))
    return FALSE;
  rq.allow_quarantined = TRUE;
  reset_placed (p);
  return fit_place (&rq, p->candidates, p->n_candidates, chosen);
}

static gboolean
failed_within (const Pass *p, const WorkTask *task, ClockMs span)
{
  return task->failed_on && p->d->now < task->last_failure_at + span;
}

/* Tells whether TASK, or its gang, takes any worker with room: it is overdue,
   and a failure doesn't end its job.
   XXX: a task's last attempt stands for up to PROVEN_WORKER_WAIT_MS. */
static gboolean
takes_any_worker (const Pass *p, const WorkTask *task)
{
  const WorkStep *step = task->step;
  guint from = step->spec->gang ? 0 : task->index;
  guint to = step->spec->gang ? (guint)step->spec->count : from + 1;
  guint i;

  if (!delay_is_overdue (step, p->d->now))
    return FALSE;
  for (i = from; i < to && !step->spec->perpetual; i++)
    if (attempts_left (&step->tasks[i]) == 1 &&
        failed_within (p, &step->tasks[i], PROVEN_WORKER_WAIT_MS))
      return FALSE;
  return TRUE;
}

/* Chooses workers for RQ's tasks wherever there is room.  Those on which runs
   failed come last. */
static gboolean
place_anywhere (Pass *p, FitRequest rq, PoolWorker **chosen)
{
  rq.trust = FIT_ANY;
  rq.ignore_racks = TRUE;
  rq.allow_quarantined = TRUE;
  rq.excluded_worker = NULL;
  return fit_place (&rq, p->candidates, p->n_candidates, chosen);
}

/* Chooses workers for all tasks of STEP, a gang, into CHOSEN, which has room
   for one each.  Returns FALSE, with nothing taken, if there are none. */
gboolean
choose_for_gang (Pass *p, WorkStep *step, PoolWorker **chosen)
{
  if (choose_gang_workers (p, step, chosen) ||
      choose_with_quarantined (p, step, chosen))
    return TRUE;
  if (!takes_any_worker (p, step->tasks))
    return FALSE;
  reset_placed (p);
  return place_anywhere (p,
                         choose_request (p->d, step, (guint)step->spec->count),
                         chosen);
}

/* Returns for how long TASK may be kept from the worker on which it failed. */
static ClockMs
failed_worker_wait (const WorkTask *task, gboolean has_other_worker)
{
  return has_other_worker || attempts_left (task) == 1 ? PROVEN_WORKER_WAIT_MS
                                                       : ONLY_WORKER_WAIT_MS;
}

/* Tells whether TASK is still kept from the worker on which it failed. */
gboolean
choose_waits_after_failure (const Pass *p, const WorkTask *task)
{
  return failed_within (p, task, failed_worker_wait (task, TRUE));
}

/* Tells whether some worker that RQ, of a job of PRIORITY, does not exclude
   could run its task once all that does not last has ended. */
static gboolean
has_other_worker (const Pass *p, const FitRequest *rq, gint64 priority)
{
  const Pool *pool = &p->d->pool;
  FitRequest any = *rq;
  guint i;

  any.trust = FIT_ANY;
  for (i = 0; i < pool_size (pool); i++)
    {
      const PoolWorker *w = pool_at (pool, i);
      PoolResources room;

      if (!assign_is_usable (p->d, w) || !fit_is_eligible (&any, w))
        continue;
      room = room_when_idle (w, priority);
      if (pool_resources_fit (&room, &rq->need))
        return TRUE;
    }
  return FALSE;
}

/* Lets RQ, a request for TASK, use the workers that it excludes if no other can
   ever run it.  Returns whether that changed RQ. */
static gboolean
admit_only_worker (const Pass *p, const WorkTask *task, FitRequest *rq)
{
  if ((!rq->excluded_worker && !p->room->has_quarantined) ||
      has_other_worker (p, rq, task->step->job->entry->job->priority) ||
      failed_within (p, task, failed_worker_wait (task, FALSE)))
    return FALSE;
  rq->excluded_worker = NULL;
  rq->allow_quarantined = TRUE;
  return TRUE;
}

/* Tells whether RQ's data rack has workers for its task, all of them in
   evacuated domains. */
static gboolean
data_rack_is_evacuated (const Pass *p, const FitRequest *rq)
{
  const Pool *pool = &p->d->pool;
  FitRequest any = *rq;
  gboolean found = FALSE;
  guint i;

  if (!*rq->data_rack || !evacuation_is_any_closed (p->d->evacuations))
    return FALSE;
  any.trust = FIT_ANY;
  any.allow_quarantined = TRUE;
  for (i = 0; i < pool_size (pool); i++)
    {
      const PoolWorker *w = pool_at (pool, i);

      if (g_strcmp0 (w->entry->rack, rq->data_rack) != 0 ||
          !fit_is_eligible (&any, w))
        continue;
      if (assign_is_heard (w))
        return FALSE;
      found = found || w->evacuated;
    }
  return found;
}

/* Chooses a worker for TASK, of at least MIN_TRUST: another one than that on
   which it failed lately, unless no other can ever run it. */
gboolean
choose_for_task (Pass *p,
                 WorkTask *task,
                 FitTrust min_trust,
                 PoolWorker **chosen)
{
  WorkStep *step = task->step;
  FitRequest rq = choose_request (p->d, step, 1);
  ClockMs age_ms = p->d->now - step->job->accepted_at;

  if (choose_waits_after_failure (p, task))
    rq.excluded_worker = task->failed_on;
  rq.trust = task->last_failure_at ? FIT_PROVEN_SINCE : FIT_ANY;
  rq.ignore_racks =
      (*rq.data_rack && age_ms > RACK_WAIT_MS + step->spec->estimate_ms) ||
      data_rack_is_evacuated (p, &rq);
  if (place_by_trust (p, &rq, min_trust, chosen))
    return TRUE;
  rq.trust = min_trust;
  if (admit_only_worker (p, task, &rq) &&
      fit_place (&rq, p->candidates, p->n_candidates, chosen))
    return TRUE;
  return takes_any_worker (p, task) && place_anywhere (p, rq, chosen);
}
