#include "dispatch_state.h"

#include "fit.h"
#include "rank.h"
#include "share.h"
#include "term.h"

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
  EVICT_RETRY_MS = 300,       /* between evictions for the same step */
  MAX_EVICTIONS_PER_PASS = 3, /* bounds the duration of a pass */
  FEASIBILITY_TTL_MS = 1000,  /* of the result of is_feasible_when_idle */
  /* While workers' replies wait longer than this for the processor, only urgent
     tasks are started. */
  MAX_LAG_MS = 150
};

/* State of one placement pass. */
typedef struct Pass
{
  Dispatch *d;
  FitWorker *candidates; /* with room for some waiting task */
  guint n_candidates;
  PoolResources min_need; /* least amount of each resource that a task needs */
  guint evictions;
  gboolean has_quarantined; /* some usable worker is in quarantine */
  gboolean link_full;       /* the pass stopped short and must be repeated */
  guint batch_left;         /* tasks that are not urgent and may start */
  gboolean batch_held;      /* some of them may not start yet */
  PoolResources largest;    /* largest amount of each resource on any worker */
  double free_workers;      /* free room of usable workers, in workers */
  double reserved_workers;  /* of it, the part kept for urgent work */
} Pass;

/* Tells whether N_TASKS of STEP may be placed without using room that is
   reserved for urgent work.  Urgent work may use all. */
static gboolean
fits_outside_reserve (const Pass *p, const WorkStep *step, guint n_tasks)
{
  if (step->job->entry->job->priority == 0 || p->reserved_workers <= 0.0)
    return TRUE;
  return p->free_workers -
             n_tasks * reserve_need_fraction (&step->need, &p->largest) >=
         p->reserved_workers;
}

/* Subtracts the room of N_TASKS of STEP, just placed, from the free room. */
static void
subtract_free (Pass *p, const WorkStep *step, guint n_tasks)
{
  p->free_workers -= n_tasks * reserve_need_fraction (&step->need, &p->largest);
}

/* Tells whether this host's link can take another order now, and records in P
   if it can't. */
static gboolean
check_link (Pass *p)
{
  const Effects *fx = p->d->fx;

  if (link_has_capacity (&fx->link, p->d->now))
    return TRUE;
  p->link_full = TRUE;
  return FALSE;
}

/* Tells whether the processor leaves room to start a task of STEP now, and
   records in P if it doesn't. */
static gboolean
check_processor (Pass *p, const WorkStep *step)
{
  if (step->job->entry->job->priority == 0 || p->batch_left > 0)
    return TRUE;
  p->batch_held = TRUE;
  return FALSE;
}

/* Counts N tasks of STEP as started. */
static void
count_batch (Pass *p, const WorkStep *step, guint n)
{
  if (step->job->entry->job->priority > 0)
    p->batch_left -= MIN (n, p->batch_left);
}

/* Tells whether W's entry is that of its process before, so that its kind and
   its room are not known. */
static gboolean
has_stale_entry (const PoolWorker *w)
{
  return w->entry->incarnation && w->entry->incarnation < w->incarnation;
}

/* Tells whether new tasks may be placed on W. */
gboolean
assign_is_usable (const Dispatch *d, const PoolWorker *w)
{
  return w->registered && w->runs_known && w->in_roster &&
         !w->entry->draining && !w->polls_unanswered && !has_stale_entry (w) &&
         w->excluded_until <= d->now;
}

static gboolean
is_quarantined (const Dispatch *d, const PoolWorker *w)
{
  return w->quarantined_until > d->now;
}

/* Raises each resource of MAX to at least that of ROOM. */
static void
raise_to_max (PoolResources *max, const PoolResources *room)
{
  max->cpu_milli = MAX (max->cpu_milli, room->cpu_milli);
  max->mem_mb = MAX (max->mem_mb, room->mem_mb);
  max->accelerators = MAX (max->accelerators, room->accelerators);
}

/* Fills in P's candidates and its counts of free and reserved room. */
static void
collect_workers (Pass *p)
{
  const Pool *pool = &p->d->pool;
  guint n_usable = 0;
  guint i;

  p->candidates = g_new0 (FitWorker, pool_size (pool) + 1);
  for (i = 0; i < pool_size (pool); i++)
    raise_to_max (&p->largest, &pool_at (pool, i)->entry->capacity);
  for (i = 0; i < pool_size (pool); i++)
    {
      PoolWorker *w = pool_at (pool, i);
      PoolResources room = pool_available (w);

      if (!assign_is_usable (p->d, w))
        continue;
      if (is_quarantined (p->d, w))
        p->has_quarantined = TRUE;
      else
        {
          n_usable++;
          p->free_workers += reserve_free_fraction (&room, &p->largest);
        }
      if (pool_resources_fit (&room, &p->min_need))
        p->candidates[p->n_candidates++] =
            (FitWorker) { .worker = w, .room = room };
    }
  p->reserved_workers = reserve_size (&p->d->reserve, p->d->now, n_usable);
}

/* Updates the candidates' free room after an eviction has claimed some. */
static void
refresh_free_room (Pass *p)
{
  guint i;

  for (i = 0; i < p->n_candidates; i++)
    p->candidates[i].room = pool_available (p->candidates[i].worker);
}

/* Evicts less urgent work for STEP, within the limits on evictions. */
static void
evict_and_refresh (Pass *p, WorkStep *step)
{
  if (p->evictions >= MAX_EVICTIONS_PER_PASS || step->next_evict > p->d->now ||
      !check_link (p))
    return;
  step->next_evict = p->d->now + EVICT_RETRY_MS;
  p->evictions++;
  if (evict_for (p->d, step))
    refresh_free_room (p);
}

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
static const char *
service_for_job (const Dispatch *d, const WorkJob *job)
{
  const ConfRoute *route =
      conf_find_route_by_name (d->conf, job->entry->job->route);

  return route ? route->service : job->entry->job->service;
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

/* Returns the least trust that the workers of TASK, or of its gang, must have.
   During a failure spike, a task's last attempt waits up to
   PROVEN_WORKER_WAIT_MS for a worker on which a run has succeeded since the
   spike began. */
FitTrust
assign_min_trust (const Dispatch *d, const WorkTask *task)
{
  const WorkStep *step = task->step;
  gint64 attempts_left =
      step->job->entry->job->attempts - (gint64)work_task_attempts (task);
  ClockMs unlucky =
      step->spec->gang ? last_failure_or_stall (step) : task->last_failure_at;

  if (attempts_left != 1 || !unlucky ||
      !failure_spike_since (&d->failure_spike))
    return FIT_ANY;
  return d->now < unlucky + PROVEN_WORKER_WAIT_MS ? FIT_PROVEN_SINCE : FIT_ANY;
}

/* Returns the placement request for COUNT tasks of STEP. */
FitRequest
assign_request (const Dispatch *d, const WorkStep *step, guint count)
{
  const SpecStep *spec = step->spec;

  return (FitRequest) { .service = service_for_job (d, step->job),
                        .need = step->need,
                        .count = count,
                        .max_per_worker = (guint)spec->max_per_worker,
                        .label = spec->label,
                        .data_rack = spec->rack,
                        .proven_since = failure_spike_since (&d->failure_spike),
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
static void
count_placed (Pass *p, const WorkStep *step)
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

/* Returns a run number that is higher than any earlier one of STEP's tasks and
   not below the first of this leader's term. */
gint64
assign_next_run (const Dispatch *d, const WorkStep *step)
{
  gint64 run = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    run = MAX (run, step->tasks[i].last_run);
  return MAX (run + 1, d->term.first_run);
}

/* Logs the start of N tasks of STEP, and marks its job as running. */
void
assign_record_start (Dispatch *d, WorkStep *step, guint n, gint64 run)
{
  WorkJob *job = step->job;

  begin_on_chosen (d, job);
  effects_log (d->fx,
               "event=start job=%s step=%u.%u tasks=%u run=%" G_GINT64_FORMAT
               " priority=%" G_GINT64_FORMAT " age_ms=%" CLOCK_MS_FORMAT
               " fence=%" G_GINT64_FORMAT,
               job->entry->id, step->occurrence, step->number, n, run,
               job->entry->job->priority, d->now - job->accepted_at,
               d->term.fence);
  if (job->state == JOB_QUEUED)
    {
      job->state = JOB_RUNNING;
      effects_measure (d->fx, MEASURE_FIRST_START, d->now - job->accepted_at);
      save_mark_dirty (d, job);
    }
}

static void
start_gang (Dispatch *d, WorkStep *step, PoolWorker **chosen)
{
  gint64 run = assign_next_run (d, step);
  guint i;

  for (i = 0; i < step->spec->count; i++)
    runs_start (d, work_placement_new (&step->tasks[i], chosen[i], run,
                                       PLACEMENT_STARTING));
  assign_record_start (d, step, (guint)step->spec->count, run);
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
  FitRequest rq = assign_request (p->d, step, (guint)step->spec->count);
  ClockMs age_ms = p->d->now - step->job->accepted_at;
  FitTrust min_trust = may_use_slow_workers (p, step) ? FIT_ANY : FIT_NOT_SLOW;

  reset_placed (p);
  rq.trust = rq.proven_since || last_failure_or_stall (step) ? FIT_PROVEN_SINCE
                                                             : FIT_NOT_SLOW;
  min_trust = MAX (min_trust, assign_min_trust (p->d, step->tasks));
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
  FitRequest rq = assign_request (p->d, step, (guint)step->spec->count);

  if (!p->has_quarantined || is_feasible_when_idle (p, step, &rq))
    return FALSE;
  rq.ignore_racks = TRUE;
  if (is_feasible (p, &rq, step->job->entry->job->priority))
    return FALSE;
  rq.allow_quarantined = TRUE;
  reset_placed (p);
  return fit_place (&rq, p->candidates, p->n_candidates, chosen);
}

static void
place_gang (Pass *p, WorkStep *step)
{
  PoolWorker **chosen;

  if (!check_link (p) || !check_processor (p, step) ||
      !fits_outside_reserve (p, step, (guint)step->spec->count))
    return;
  chosen = g_new0 (PoolWorker *, step->spec->count);
  if (choose_gang_workers (p, step, chosen) ||
      choose_with_quarantined (p, step, chosen))
    {
      start_gang (p->d, step, chosen);
      subtract_free (p, step, (guint)step->spec->count);
      count_batch (p, step, (guint)step->spec->count);
    }
  else if (step->job->entry->job->priority == 0)
    evict_and_refresh (p, step);
  g_free (chosen);
}

/* Returns for how long TASK may be kept from the worker on which it failed. */
static ClockMs
failed_worker_wait (const WorkTask *task, gboolean has_other_worker)
{
  gint64 attempts_left =
      task->step->job->entry->job->attempts - (gint64)work_task_attempts (task);

  return has_other_worker || attempts_left == 1 ? PROVEN_WORKER_WAIT_MS
                                                : ONLY_WORKER_WAIT_MS;
}

static gboolean
failed_within (const Pass *p, const WorkTask *task, ClockMs span)
{
  return task->failed_on && p->d->now < task->last_failure_at + span;
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
  if ((!rq->excluded_worker && !p->has_quarantined) ||
      has_other_worker (p, rq, task->step->job->entry->job->priority) ||
      failed_within (p, task, failed_worker_wait (task, FALSE)))
    return FALSE;
  rq->excluded_worker = NULL;
  rq->allow_quarantined = TRUE;
  return TRUE;
}

/* Chooses a worker for TASK, of at least MIN_TRUST: another one than that on
   which it failed lately, unless no other can ever run it. */
static gboolean
choose_worker (Pass *p, WorkTask *task, FitTrust min_trust, PoolWorker **chosen)
{
  WorkStep *step = task->step;
  FitRequest rq = assign_request (p->d, step, 1);
  ClockMs age_ms = p->d->now - step->job->accepted_at;

  if (failed_within (p, task, failed_worker_wait (task, TRUE)))
    rq.excluded_worker = task->failed_on;
  rq.trust = task->last_failure_at ? FIT_PROVEN_SINCE : FIT_ANY;
  rq.ignore_racks =
      *rq.data_rack && age_ms > RACK_WAIT_MS + step->spec->estimate_ms;
  if (place_by_trust (p, &rq, min_trust, chosen))
    return TRUE;
  rq.trust = min_trust;
  return admit_only_worker (p, task, &rq) &&
         fit_place (&rq, p->candidates, p->n_candidates, chosen);
}

static gboolean
place_task (Pass *p, WorkTask *task, FitTrust min_trust)
{
  PoolWorker *chosen;
  gint64 run;

  if (!choose_worker (p, task, min_trust, &chosen))
    return FALSE;
  run = MAX (task->last_run + 1, p->d->term.first_run);
  runs_start (p->d, work_placement_new (task, chosen, run, PLACEMENT_STARTING));
  return TRUE;
}

static void
place_tasks (Pass *p, WorkStep *step)
{
  gint64 run = 0;
  guint n = 0;
  guint i;
  gboolean has_room = TRUE;

  count_placed (p, step);
  for (i = 0; i < step->spec->count && has_room; i++)
    {
      WorkTask *task = &step->tasks[i];
      FitTrust min_trust;

      if (task->done || task->placement)
        continue;
      if (!check_link (p) || !check_processor (p, step) ||
          !fits_outside_reserve (p, step, 1))
        break;
      min_trust = assign_min_trust (p->d, task);
      if (place_task (p, task, min_trust))
        {
          subtract_free (p, step, 1);
          count_batch (p, step, 1);
          n++;
          run = MAX (run, task->last_run);
        }
      else if (min_trust == FIT_ANY &&
               !failed_within (p, task, failed_worker_wait (task, TRUE)))
        has_room = FALSE;
    }
  if (n)
    assign_record_start (p->d, step, n, run);
  if (!has_room && step->job->entry->job->priority == 0)
    evict_and_refresh (p, step);
}

typedef struct RankedStep
{
  WorkStep *step;
  RankKey key;
} RankedStep;

static int
compare_ranked (gconstpointer a, gconstpointer b)
{
  return rank_compare (&((const RankedStep *)a)->key,
                       &((const RankedStep *)b)->key);
}

/* Tells whether a worker runs a task of STEP that this scheduler did not start
   there. */
static gboolean
has_orphaned_task (const Dispatch *d, const WorkStep *step)
{
  guint i;

  if (g_hash_table_size (d->orphans) == 0)
    return FALSE;
  for (i = 0; i < step->spec->count; i++)
    {
      char *name = work_task_name (&step->tasks[i]);
      gboolean found = g_hash_table_contains (d->orphans, name);

      g_free (name);
      if (found)
        return TRUE;
    }
  return FALSE;
}

/* Tells whether STEP has tasks to place. */
static gboolean
is_waiting (const Dispatch *d, const WorkStep *step)
{
  if (!work_step_is_ready (step) || step->stopping_gang ||
      has_orphaned_task (d, step))
    return FALSE;
  if (step->spec->gang)
    return step->n_placements == 0;
  return step->n_done + step->n_placements < step->spec->count;
}

/* Tells whether a previous leader, which may send orders until its grace is
   over, may have started JOB on a worker that has not reported its runs to this
   one yet. */
static gboolean
may_have_unreported_run (const Dispatch *d, const WorkJob *job)
{
  if (d->all_runs_known)
    return FALSE;
  return job->known_since < d->started_at + term_order_grace;
}

/* Records STEP's need as urgent demand, once per step, if it is urgent. */
static void
record_urgent_demand (Pass *p, WorkStep *step)
{
  double need = reserve_need_fraction (&step->need, &p->largest);

  if (step->demand_counted || step->job->entry->job->priority > 0)
    return;
  step->demand_counted = TRUE;
  reserve_record_demand (&p->d->reserve, p->d->now,
                         need * (double)step->spec->count);
}

/* Returns the waiting steps as RankedStep, in the order of rank_compare. */
static GArray *
waiting_steps (const Dispatch *d)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (RankedStep));
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    {
      if (spec_state_is_final (job->state) || may_have_unreported_run (d, job))
        continue;
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (is_waiting (d, step))
          {
            RankedStep r = { step, rank_key (step, d->now) };

            g_array_append_val (ranked, r);
          }
    }
  g_array_sort (ranked, compare_ranked);
  return ranked;
}

/* Returns the least amount of each resource that a waiting task needs. */
static PoolResources
smallest_need (const GArray *ranked)
{
  PoolResources smallest = { G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  guint i;

  for (i = 0; i < ranked->len; i++)
    {
      const PoolResources *need =
          &g_array_index (ranked, RankedStep, i).step->need;

      smallest.cpu_milli = MIN (smallest.cpu_milli, need->cpu_milli);
      smallest.mem_mb = MIN (smallest.mem_mb, need->mem_mb);
      smallest.accelerators = MIN (smallest.accelerators, need->accelerators);
    }
  return smallest;
}

/* Runs a placement pass: starts claims whose room is free, then places waiting
   steps in the order of their rank. */
void
assign_all (Dispatch *d)
{
  Pass p = { .d = d,
             .batch_left = d->load.lag > MAX_LAG_MS ? 0 : d->load.pieces };
  GArray *ranked;
  guint i;

  claims_resolve (d);
  share_mark_guaranteed (&d->jobs, d->conf);
  ranked = waiting_steps (d);
  p.min_need = smallest_need (ranked);
  if (ranked->len)
    collect_workers (&p);
  for (i = 0; i < ranked->len; i++)
    {
      WorkStep *step = g_array_index (ranked, RankedStep, i).step;

      record_urgent_demand (&p, step);
      if (step->spec->gang)
        place_gang (&p, step);
      else
        place_tasks (&p, step);
    }
  if (p.link_full)
    {
      d->replan = TRUE;
      d->next_plan =
          MAX (d->next_plan, link_capacity_at (&d->fx->link, d->now) + 1);
    }
  if (p.batch_held)
    d->replan = TRUE;
  g_free (p.candidates);
  g_array_unref (ranked);
}
