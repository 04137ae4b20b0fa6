#include "dispatch_state.h"

#include "fit.h"
#include "rank.h"
#include "share.h"
#include "term.h"

enum
{
  CLAIM_MS = 1600,      /* room that does not become free by then is given up */
  RACK_WAIT_MS = 2500,  /* for room near the data before running far from it */
  SLOW_WAIT_MS = 900,   /* the time that an eviction takes, twice */
  PROOF_WAIT_MS = 6000, /* as long as outbreaks mostly last */
  EVICT_AGAIN_MS = 300,
  EVICTIONS_PER_PASS = 3, /* bounds the time of a pass */
  COULD_MS = 1000
};

/* What a pass of the planner works on. */
typedef struct Pass
{
  Dispatch *d;
  FitWorker *workers; /* those with room for anything that waits */
  guint n;
  PoolResources least; /* of what waits, each amount by itself */
  guint evictions;
  gboolean held;       /* the link was full: there may be more to do */
  PoolResources whole; /* of the largest worker */
  double n_free;       /* workers' room that is free ... */
  double reserved;     /* ... and how much of it is kept for urgent work */
} Pass;

/* Tells whether N_TASKS of STEP may be placed without taking room that is
   kept for more urgent work. */
static gboolean
leaves_reserve (const Pass *p, const WorkStep *step, guint n_tasks)
{
  if (step->job->entry->job->priority == 0)
    return TRUE;
  return p->n_free - n_tasks * reserve_need (&step->need, &p->whole) >=
         p->reserved;
}

/* Counts N_TASKS of STEP, which have just been placed. */
static void
take_free (Pass *p, const WorkStep *step, guint n_tasks)
{
  p->n_free -= n_tasks * reserve_need (&step->need, &p->whole);
}

/* Tells whether the host's link takes more orders now. */
static gboolean
may_order (Pass *p)
{
  const Effects *fx = p->d->fx;

  if (link_has_room (&fx->link, p->d->now))
    return TRUE;
  p->held = TRUE;
  return FALSE;
}

/* Tells whether anything new may be placed on W. */
gboolean
assign_is_usable (const Dispatch *d, const PoolWorker *w)
{
  return w->registered && w->runs_known && w->in_roster &&
         !w->entry->draining && !w->polls_unanswered &&
         w->excluded_until <= d->now;
}

static void
widen (PoolResources *whole, const PoolResources *room)
{
  whole->cpu_milli = MAX (whole->cpu_milli, room->cpu_milli);
  whole->mem_mb = MAX (whole->mem_mb, room->mem_mb);
  whole->accelerators = MAX (whole->accelerators, room->accelerators);
}

static void
look_at_workers (Pass *p)
{
  const Pool *pool = &p->d->pool;
  guint n_usable = 0;
  guint i;

  p->workers = g_new0 (FitWorker, pool_size (pool) + 1);
  for (i = 0; i < pool_size (pool); i++)
    widen (&p->whole, &pool_at (pool, i)->entry->capacity);
  for (i = 0; i < pool_size (pool); i++)
    {
      PoolWorker *w = pool_at (pool, i);
      PoolResources room = pool_available (w);

      if (!assign_is_usable (p->d, w))
        continue;
      n_usable++;
      p->n_free += reserve_free (&room, &p->whole);
      if (pool_resources_fit (&room, &p->least))
        p->workers[p->n++] = (FitWorker) { .worker = w, .room = room };
    }
  p->reserved = reserve_size (&p->d->reserve, p->d->now, n_usable);
}

/* Takes the workers' room as it is after an eviction has claimed some. */
static void
look_again (Pass *p)
{
  guint i;

  for (i = 0; i < p->n; i++)
    p->workers[i].room = pool_available (p->workers[i].worker);
}

static void
evict_and_look (Pass *p, WorkStep *step)
{
  if (p->evictions >= EVICTIONS_PER_PASS || step->next_evict > p->d->now ||
      !may_order (p))
    return;
  step->next_evict = p->d->now + EVICT_AGAIN_MS;
  p->evictions++;
  if (evict_for (p->d, step))
    look_again (p);
}

/* Tells whether STEP would fit if all workers were empty; that changes only
   with the workers. */
static gboolean
could_ever (Pass *p, WorkStep *step, const FitRequest *rq)
{
  const Pool *pool = &p->d->pool;
  FitWorker *all;
  guint n = 0;
  guint i;

  if (step->fits_empty_fleet_until > p->d->now)
    return step->fits_empty_fleet;
  all = g_new0 (FitWorker, pool_size (pool) + 1);
  for (i = 0; i < pool_size (pool); i++)
    if (assign_is_usable (p->d, pool_at (pool, i)))
      all[n++].worker = pool_at (pool, i);
  step->fits_empty_fleet = fit_could_ever (rq, all, n);
  step->fits_empty_fleet_until = p->d->now + COULD_MS;
  g_free (all);
  return step->fits_empty_fleet;
}

static const char *
service_of (const Dispatch *d, const WorkJob *job)
{
  const ConfRoute *route = conf_route_named (d->conf, job->entry->job->route);

  return route ? route->service : job->entry->job->service;
}

/* Returns when a run of any task of STEP failed or stood still last, or 0. */
static ClockMs
unlucky_at (const WorkStep *step)
{
  ClockMs at = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    at = MAX (at, step->tasks[i].last_failure_at);
  return at;
}

/* Returns how far the workers of TASK, or of its gang, must be trusted.  While
   many workers fail whatever they start, its last attempt is kept for a while
   for those on which something has gone well meanwhile. */
FitTrust
assign_least_trust (const Dispatch *d, const WorkTask *task)
{
  const WorkStep *step = task->step;
  gint64 left =
      step->job->entry->job->attempts - (gint64)work_task_attempts (task);
  ClockMs unlucky =
      step->spec->gang ? unlucky_at (step) : task->last_failure_at;

  if (left != 1 || !unlucky || !outbreak_since (&d->outbreak))
    return FIT_ANY;
  return d->now < unlucky + PROOF_WAIT_MS ? FIT_LATELY : FIT_ANY;
}

/* Returns what placing COUNT tasks of STEP asks for. */
FitRequest
assign_request (const Dispatch *d, const WorkStep *step, guint count)
{
  const SpecStep *spec = step->spec;

  return (FitRequest) { .service = service_of (d, step->job),
                        .need = step->need,
                        .count = count,
                        .max_per_worker = (guint)spec->max_per_worker,
                        .label = spec->label,
                        .rack = spec->rack,
                        .since = outbreak_since (&d->outbreak),
                        .now = d->now,
                        .same_rack = spec->same_rack && spec->gang };
}

static void
forget_placed (Pass *p)
{
  guint i;

  for (i = 0; i < p->n; i++)
    p->workers[i].placed = 0;
}

/* Counts the tasks of STEP that are on workers already. */
static void
count_placed (Pass *p, const WorkStep *step)
{
  guint i, k;

  forget_placed (p);
  for (i = 0; i < step->spec->count; i++)
    {
      const WorkPlacement *placement = step->tasks[i].placement;

      for (k = 0; placement && k < p->n; k++)
        if (p->workers[k].worker == placement->worker)
          p->workers[k].placed++;
    }
}

/* Returns a run number for STEP that is higher than any before. */
gint64
assign_next_run (const Dispatch *d, const WorkStep *step)
{
  gint64 run = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    run = MAX (run, step->tasks[i].last_run);
  return MAX (run + 1, d->term.first_run);
}

static void
note_started (Dispatch *d, WorkStep *step, guint n, gint64 run)
{
  WorkJob *job = step->job;

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
      save_mark (d, job);
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
  note_started (d, step, (guint)step->spec->count, run);
}

/* Urgent gangs rather make room for themselves on quick workers, but take
   what there is when that has not come about. */
static gboolean
may_run_slow (const Pass *p, const WorkStep *step)
{
  return step->job->entry->job->priority > 0 ||
         p->d->now - step->job->accepted_at > SLOW_WAIT_MS;
}

/* Chooses workers for RQ's tasks, the most trusted that can be had down to
   LEAST. */
static gboolean
place_trusted (Pass *p, FitRequest *rq, FitTrust least, PoolWorker **chosen)
{
  for (;; rq->trust--)
    {
      if (fit_place (rq, p->workers, p->n, chosen))
        return TRUE;
      if (rq->trust <= least)
        return FALSE;
    }
}

/* Chooses workers for all of STEP, a gang: its slowest member sets the pace,
   so that slow workers are left out where that is possible.  The first member
   that fails ends it: one that was unlucky, and any while many workers fail,
   is placed where something has gone well, if there is room.  A gang waits
   for one rack as long as any could hold it; where none can, it runs over
   several, however slowly. */
static gboolean
find_gang (Pass *p, WorkStep *step, PoolWorker **chosen)
{
  FitRequest rq = assign_request (p->d, step, (guint)step->spec->count);
  ClockMs age = p->d->now - step->job->accepted_at;
  FitTrust least = may_run_slow (p, step) ? FIT_ANY : FIT_QUICK;

  forget_placed (p);
  rq.trust = rq.since || unlucky_at (step) ? FIT_LATELY : FIT_QUICK;
  least = MAX (least, assign_least_trust (p->d, step->tasks));
  if (place_trusted (p, &rq, least, chosen))
    return TRUE;
  if (least == FIT_LATELY)
    return FALSE;
  rq.trust = FIT_ANY;
  rq.anywhere = (*rq.rack && age > RACK_WAIT_MS + step->spec->estimate_ms) ||
                !could_ever (p, step, &rq);
  return rq.anywhere && fit_place (&rq, p->workers, p->n, chosen);
}

static void
place_gang (Pass *p, WorkStep *step)
{
  PoolWorker **chosen;

  if (!may_order (p) || !leaves_reserve (p, step, (guint)step->spec->count))
    return;
  chosen = g_new0 (PoolWorker *, step->spec->count);
  if (find_gang (p, step, chosen))
    {
      start_gang (p->d, step, chosen);
      take_free (p, step, (guint)step->spec->count);
    }
  else if (step->job->entry->job->priority == 0)
    evict_and_look (p, step);
  g_free (chosen);
}

static gboolean
place_task (Pass *p, WorkTask *task, FitTrust least)
{
  WorkStep *step = task->step;
  FitRequest rq = assign_request (p->d, step, 1);
  PoolWorker *chosen;
  ClockMs age = p->d->now - step->job->accepted_at;
  gint64 run;

  rq.not_on = task->failed_on;
  rq.trust = task->last_failure_at ? FIT_LATELY : FIT_ANY;
  rq.anywhere = *rq.rack && age > RACK_WAIT_MS + step->spec->estimate_ms;
  if (!place_trusted (p, &rq, least, &chosen))
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
  gboolean room = TRUE;

  count_placed (p, step);
  for (i = 0; i < step->spec->count && room; i++)
    {
      WorkTask *task = &step->tasks[i];
      FitTrust least;

      if (task->done || task->placement)
        continue;
      if (!may_order (p) || !leaves_reserve (p, step, 1))
        break;
      least = assign_least_trust (p->d, task);
      if (place_task (p, task, least))
        {
          take_free (p, step, 1);
          n++;
          run = MAX (run, task->last_run);
        }
      else if (least == FIT_ANY)
        room = FALSE;
    }
  if (n)
    note_started (p->d, step, n, run);
  if (!room && step->job->entry->job->priority == 0)
    evict_and_look (p, step);
}

typedef struct Ranked
{
  WorkStep *step;
  RankKey key;
} Ranked;

static int
compare_ranked (gconstpointer a, gconstpointer b)
{
  return rank_compare (&((const Ranked *)a)->key, &((const Ranked *)b)->key);
}

/* Tells whether any task of STEP runs somewhere unasked. */
static gboolean
is_stray (const Dispatch *d, const WorkStep *step)
{
  guint i;

  if (g_hash_table_size (d->strays) == 0)
    return FALSE;
  for (i = 0; i < step->spec->count; i++)
    {
      char *name = work_task_name (&step->tasks[i]);
      gboolean found = g_hash_table_contains (d->strays, name);

      g_free (name);
      if (found)
        return TRUE;
    }
  return FALSE;
}

static gboolean
waits (const Dispatch *d, const WorkStep *step)
{
  if (!work_step_is_ready (step) || step->stopping_gang || is_stray (d, step))
    return FALSE;
  if (step->spec->gang)
    return step->n_placements == 0;
  return step->n_done + step->n_placements < step->spec->count;
}

/* Tells whether a former holder of the role may have started JOB on a
   worker that has not been heard of yet. */
static gboolean
may_run_unseen (const Dispatch *d, const WorkJob *job)
{
  if (d->all_known)
    return FALSE;
  return job->entry->job_revision < d->term.role_revision ||
         d->now < d->started + term_overhang;
}

/* Counts STEP among the urgent work that has come, once. */
static void
count_urgent (Pass *p, WorkStep *step)
{
  double need = reserve_need (&step->need, &p->whole);

  if (step->demand_counted || step->job->entry->job->priority > 0)
    return;
  step->demand_counted = TRUE;
  reserve_note (&p->d->reserve, p->d->now, need * (double)step->spec->count);
}

static GArray *
waiting_steps (const Dispatch *d)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    {
      if (spec_state_is_final (job->state) || may_run_unseen (d, job))
        continue;
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (waits (d, step))
          {
            Ranked r = { step, rank_key (step, d->now) };

            g_array_append_val (ranked, r);
          }
    }
  g_array_sort (ranked, compare_ranked);
  return ranked;
}

static gboolean
has_room_now (const WorkPlacement *placement)
{
  PoolResources room = placement->worker->entry->capacity;

  pool_resources_subtract (&room, &placement->worker->used);
  return pool_resources_fit (&room, &placement->task->step->need);
}

/* Tells whether every claim of STEP can be turned into a start.  Claims of
   one step on one worker are looked at together. */
static gboolean
claims_are_free (const WorkStep *step)
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

static gboolean
claim_is_void (const Dispatch *d, const WorkPlacement *placement)
{
  return d->now - placement->started_at > CLAIM_MS ||
         !assign_is_usable (d, placement->worker);
}

static void
settle_step_claims (Dispatch *d, WorkStep *step)
{
  gboolean together = step->spec->gang && claims_are_free (step);
  gint64 run = 0;
  guint n = 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      WorkPlacement *placement = step->tasks[i].placement;

      if (!placement || placement->state != PLACEMENT_RESERVED)
        continue;
      if (step->spec->gang ? together : has_room_now (placement))
        {
          runs_start (d, placement);
          run = placement->run;
          n++;
        }
      else if (claim_is_void (d, placement))
        runs_end (d, placement, RUN_STOPPED, NULL);
    }
  if (n)
    note_started (d, step, n, run);
}

static void
settle_claims (Dispatch *d)
{
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (job->n_placements > 0)
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (step->n_placements > 0)
          settle_step_claims (d, step);
}

static PoolResources
least_need (const GArray *ranked)
{
  PoolResources least = { G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  guint i;

  for (i = 0; i < ranked->len; i++)
    {
      const PoolResources *need = &g_array_index (ranked, Ranked, i).step->need;

      least.cpu_milli = MIN (least.cpu_milli, need->cpu_milli);
      least.mem_mb = MIN (least.mem_mb, need->mem_mb);
      least.accelerators = MIN (least.accelerators, need->accelerators);
    }
  return least;
}

/* Starts whatever can be started, in the order of rank_key. */
void
assign_all (Dispatch *d)
{
  Pass p = { .d = d };
  GArray *ranked;
  guint i;

  settle_claims (d);
  share_mark (&d->jobs, d->conf);
  ranked = waiting_steps (d);
  p.least = least_need (ranked);
  if (ranked->len)
    look_at_workers (&p);
  for (i = 0; i < ranked->len; i++)
    {
      WorkStep *step = g_array_index (ranked, Ranked, i).step;

      count_urgent (&p, step);
      if (step->spec->gang)
        place_gang (&p, step);
      else
        place_tasks (&p, step);
    }
  if (p.held)
    {
      d->replan = TRUE;
      d->next_plan =
          MAX (d->next_plan, link_next_room (&d->fx->link, d->now) + 1);
    }
  g_free (p.workers);
  g_array_unref (ranked);
}
