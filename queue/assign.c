#include "pass.h"

#include "rank.h"
#include "share.h"
#include "term.h"

enum
{
  EVICT_RETRY_MS = 300,       /* between evictions for the same step */
  MAX_EVICTIONS_PER_PASS = 3, /* bounds the duration of a pass */
  /* While workers' replies wait longer than this for the processor, only urgent
     tasks are started. */
  MAX_LAG_MS = 150
};

/* Tells whether N_TASKS of STEP may be placed without using room of its service
   that is reserved for urgent work.  Urgent work may use all, and so may what
   is overdue. */
static gboolean
fits_outside_reserve (const Pass *p, const WorkStep *step, guint n_tasks)
{
  const ServiceRoom *room = p->room;

  if (step->job->entry->job->priority == 0 || room->reserved_workers <= 0.0 ||
      delay_is_overdue (step, p->d->now))
    return TRUE;
  return room->free_workers -
             n_tasks * reserve_need_fraction (&step->need, &room->largest) >=
         room->reserved_workers;
}

/* Subtracts the room of N_TASKS of STEP, just placed, from the free room. */
static void
subtract_free (Pass *p, const WorkStep *step, guint n_tasks)
{
  ServiceRoom *room = p->room;
  double need = reserve_need_fraction (&step->need, &room->largest);

  room->free_workers -= (n_tasks - p->n_cold_started) * need;
  room->free_cold -= p->n_cold_started * need;
  p->n_cold_started = 0;
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

/* Tells whether W's entry and its last list are of two processes, so that its
   kind and its room, or its runs and its clock, are not known. */
static gboolean
has_stale_entry (const PoolWorker *w)
{
  return w->entry->incarnation && w->incarnation &&
         w->entry->incarnation != w->incarnation;
}

/* Tells whether W is there and answers, stays, and is in service. */
gboolean
assign_is_heard (const PoolWorker *w)
{
  return w->registered && w->runs_known && w->in_roster && !w->evacuated &&
         !w->entry->draining && !w->polls_unanswered && !has_stale_entry (w);
}

/* Tells whether new tasks may be placed on W. */
gboolean
assign_is_usable (const Dispatch *d, const PoolWorker *w)
{
  return assign_is_heard (w) && w->excluded_until <= d->now;
}

/* Fills in P's candidates. */
static void
collect_candidates (Pass *p)
{
  const Pool *pool = &p->d->pool;
  guint i;

  p->candidates = g_new0 (FitWorker, pool_size (pool) + 1);
  for (i = 0; i < pool_size (pool); i++)
    {
      PoolWorker *w = pool_at (pool, i);
      PoolResources room = pool_available (w);

      if (assign_is_usable (p->d, w) &&
          pool_resources_fit (&room, &p->min_need))
        p->candidates[p->n_candidates++] =
            (FitWorker) { .worker = w,
                          .room = room,
                          .cold = cold_ramp_find (p->ramp, w) };
    }
}

/* Updates the candidates' free room after an eviction has claimed some. */
static void
refresh_free_room (Pass *p)
{
  guint i;

  for (i = 0; i < p->n_candidates; i++)
    p->candidates[i].room = pool_available (p->candidates[i].worker);
  if (p->ramp)
    cold_ramp_recount (p->ramp);
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

/* Starts RUN of TASK on W. */
static void
start_task (Pass *p, WorkTask *task, PoolWorker *w, gint64 run)
{
  WorkPlacement *placement =
      work_placement_new (task, w, run, PLACEMENT_STARTING);

  placement->came_first = task->step == p->first;
  p->n_cold_started +=
      p->room->cold_is_apart && cold_time_left (w, p->d->now) > 0;
  runs_start (p->d, placement);
}

static void
start_gang (Pass *p, WorkStep *step, PoolWorker **chosen)
{
  gint64 run = assign_next_run (p->d, step);
  guint i;

  for (i = 0; i < step->spec->count; i++)
    start_task (p, &step->tasks[i], chosen[i], run);
  assign_record_start (p->d, step, (guint)step->spec->count, run);
}

/* Returns what keeps N_TASKS of STEP from being placed, wherever there may be
   room for them, or DELAY_NONE.  What does not fit outside the reserve may
   still use cold workers. */
static DelayCause
find_obstacle (Pass *p, const WorkStep *step, guint n_tasks)
{
  p->cold_only = FALSE;
  if (step == p->first)
    return DELAY_NONE;
  if (!check_link (p))
    return DELAY_LINK;
  if (!check_processor (p, step))
    return DELAY_PROCESSOR;
  if (fits_outside_reserve (p, step, n_tasks))
    return DELAY_NONE;
  p->cold_only = p->room->cold_is_apart;
  return p->cold_only ? DELAY_NONE : DELAY_RESERVE;
}

/* Returns what delays a step for which no worker was found. */
static DelayCause
cause_without_worker (const Pass *p)
{
  if (p->cold_only)
    return DELAY_RESERVE;
  return p->held_by_ramp ? DELAY_COLD : DELAY_ROOM;
}

/* Places STEP, a gang.  Returns what delays it. */
static DelayCause
place_gang (Pass *p, WorkStep *step)
{
  DelayCause cause = find_obstacle (p, step, (guint)step->spec->count);
  PoolWorker **chosen;

  if (cause != DELAY_NONE)
    return cause;
  chosen = g_new0 (PoolWorker *, step->spec->count);
  if (choose_for_gang (p, step, chosen))
    {
      start_gang (p, step, chosen);
      subtract_free (p, step, (guint)step->spec->count);
      count_batch (p, step, (guint)step->spec->count);
    }
  else
    {
      cause = cause_without_worker (p);
      if (step->job->entry->job->priority == 0)
        evict_and_refresh (p, step);
    }
  g_free (chosen);
  return cause;
}

static gboolean
place_task (Pass *p, WorkTask *task, FitTrust min_trust)
{
  PoolWorker *chosen;
  gint64 run;

  if (!choose_for_task (p, task, min_trust, &chosen))
    return FALSE;
  run = MAX (task->last_run + 1, p->d->term.first_run);
  start_task (p, task, chosen, run);
  return TRUE;
}

/* Places as many tasks of STEP as it can.  Returns what delays the others. */
static DelayCause
place_tasks (Pass *p, WorkStep *step)
{
  DelayCause cause = DELAY_NONE;
  gint64 run = 0;
  guint n = 0;
  guint i;
  gboolean has_room = TRUE;

  choose_count_placed (p, step);
  for (i = 0; i < step->spec->count && has_room; i++)
    {
      WorkTask *task = &step->tasks[i];
      DelayCause obstacle;
      FitTrust min_trust;

      if (task->done || task->placement)
        continue;
      obstacle = find_obstacle (p, step, 1);
      if (obstacle != DELAY_NONE)
        {
          cause = obstacle;
          break;
        }
      min_trust = choose_min_trust (p->d, task);
      if (place_task (p, task, min_trust))
        {
          subtract_free (p, step, 1);
          count_batch (p, step, 1);
          n++;
          run = MAX (run, task->last_run);
        }
      else
        {
          cause = cause_without_worker (p);
          has_room =
              min_trust != FIT_ANY || choose_waits_after_failure (p, task);
        }
    }
  if (n)
    assign_record_start (p->d, step, n, run);
  if (!has_room && step->job->entry->job->priority == 0)
    evict_and_refresh (p, step);
  return cause;
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

/* Tells whether STEP has tasks whose turn has come and that are not placed. */
static gboolean
is_waiting (const WorkStep *step)
{
  if (!work_step_is_ready (step) || step->stopping_gang)
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

/* Returns when the turn of STEP, which waits, came at the earliest.  Of a step
   that follows others this scheduler knows only what it has seen itself. */
static ClockMs
arrival (const Dispatch *d, const WorkStep *step)
{
  gboolean was_there = step->job->known_since == d->started_at;

  return was_there || (step->number == 0 && step->occurrence == 0)
             ? step->job->accepted_at
             : d->now;
}

/* Records STEP's need as urgent demand of S, its service, once per step, if it
   is urgent.  Work that had come before this scheduler is no sign of what comes
   next. */
static void
record_urgent_demand (const Dispatch *d, Service *s, WorkStep *step)
{
  double need = reserve_need_fraction (&step->need, &s->room.largest);

  if (step->demand_counted || step->job->entry->job->priority > 0)
    return;
  step->demand_counted = TRUE;
  reserve_record_demand (&s->reserve, d->now, arrival (d, step),
                         need * (double)step->spec->count);
}

/* Tells whether STEP may be placed, and notes in P what delays it if not. */
static gboolean
may_be_placed (Pass *p, WorkStep *step)
{
  if (!is_waiting (step))
    {
      delay_note (p, step, DELAY_NONE);
      return FALSE;
    }
  if (!may_have_unreported_run (p->d, step->job) &&
      !has_orphaned_task (p->d, step))
    return TRUE;
  delay_note (p, step, DELAY_FORMER);
  return FALSE;
}

/* Returns the steps that may be placed as RankedStep, in the order of
   rank_compare. */
static GArray *
waiting_steps (Pass *p)
{
  const Dispatch *d = p->d;
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (RankedStep));
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    {
      if (spec_state_is_final (job->state))
        continue;
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (may_be_placed (p, step))
          {
            RankedStep r = { step, rank_key (step, d->now) };

            g_array_append_val (ranked, r);
          }
    }
  g_array_sort (ranked, compare_ranked);
  return ranked;
}

/* Returns the lasting step of RANKED that has been held for longest, if one is
   overdue, or NULL.  XXX: other overdue steps may wait for long while urgent
   starts take all of the link or of the processor. */
static WorkStep *
first_overdue (const Dispatch *d, const GArray *ranked)
{
  WorkStep *first = NULL;
  guint i;

  for (i = 0; i < ranked->len; i++)
    {
      WorkStep *step = g_array_index (ranked, RankedStep, i).step;

      if (step->spec->perpetual && delay_is_overdue (step, d->now) &&
          (!first || step->delay.held_since < first->delay.held_since))
        first = step;
    }
  return first;
}

/* Tells whether STEP is placed again in P's second round. */
static gboolean
has_second_round (const Pass *p, const WorkStep *step)
{
  return p->suitable_only && step->job->entry->job->priority > 0;
}

/* Places STEP in P, and notes what delays it, unless another round follows. */
static void
place_step (Pass *p, WorkStep *step)
{
  Service *s = choose_service (p->d, step->job);
  DelayCause cause;

  p->room = &s->room;
  record_urgent_demand (p->d, s, step);
  cause = step->spec->gang ? place_gang (p, step) : place_tasks (p, step);
  if (cause == DELAY_NONE || !has_second_round (p, step))
    delay_note (p, step, cause);
}

/* Gives the cold workers that the first round left to what has not found one
   that suits it. */
static void
place_on_other_cold (Pass *p, const GArray *ranked)
{
  guint i;

  p->suitable_only = FALSE;
  for (i = 0; i < ranked->len; i++)
    {
      WorkStep *step = g_array_index (ranked, RankedStep, i).step;

      if (step->job->entry->job->priority > 0 && is_waiting (step))
        place_step (p, step);
    }
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
  room_sum_heard (d);
  ranked = waiting_steps (&p);
  p.min_need = smallest_need (ranked);
  if (ranked->len)
    {
      room_count_usable (d);
      p.ramp = cold_domains_ramp (d);
      p.suitable_only = p.ramp != NULL;
      collect_candidates (&p);
    }
  p.first = first_overdue (d, ranked);
  if (p.first)
    place_step (&p, p.first);
  for (i = 0; i < ranked->len; i++)
    {
      WorkStep *step = g_array_index (ranked, RankedStep, i).step;

      if (step != p.first)
        place_step (&p, step);
    }
  if (p.ramp)
    place_on_other_cold (&p, ranked);
  if (p.link_full)
    {
      d->replan = TRUE;
      d->next_plan =
          MAX (d->next_plan, link_capacity_at (&d->fx->link, d->now) + 1);
    }
  if (p.batch_held)
    d->replan = TRUE;
  cold_ramp_free (p.ramp);
  g_free (p.candidates);
  g_free (p.idle[FALSE]);
  g_free (p.idle[TRUE]);
  g_array_unref (ranked);
}
