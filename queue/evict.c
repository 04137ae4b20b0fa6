#include "dispatch_state.h"

#include "fit.h"

enum
{
  /* Time for other urgent work to end by itself before its room is reclaimed;
     well within the seconds in which a guarantee must be met. */
  RECLAIM_DELAY_MS = 700,
  CHEAP_EVICTIONS = 2, /* of a task, whose cost is the work that they lose */
  MAX_COST_DOUBLINGS = 10
};

/* Cost of stopping a run even if no work is lost, as milliseconds of work: the
   restart and restoring a checkpoint. */
static const double restart_cost_ms = 600.0;
/* Work lost at most by a run that writes checkpoints. */
static const double checkpoint_interval_ms = 1200.0;

/* Cost factor of urgent work on borrowed room: its caller is waiting for it. */
static const double urgent_cost_factor = 10.0;

/* Limits of a plan. */
typedef enum PlanFlags
{
  PLAN_ANY = 0,
  PLAN_NOT_SLOW = 1 << 0, /* use only workers that are not slow */
  PLAN_RECLAIM = 1 << 1   /* also evict urgent work beyond a guarantee */
} PlanFlags;

/* Special values of a worker's cached eviction cost. */
static const double cost_unknown = -2.0;
static const double cost_impossible = -1.0;

/* An eviction plan for a step: which runs are stopped, and which workers its
   tasks are placed on. */
typedef struct Plan
{
  Dispatch *d;
  WorkStep *step;
  FitRequest rq;
  PlanFlags flags;
  guint from;          /* first usable worker, by pool order */
  guint to;            /* end of that range, exclusive */
  GHashTable *victims; /* set of victim_key */
  PoolWorker **chosen; /* one for each task placed so far */
  guint n_chosen;
  double cost;
} Plan;

/* Returns what is evicted along with PLACEMENT: its step for a gang, which is
   stopped as a whole, else PLACEMENT alone. */
static gpointer
victim_key (WorkPlacement *placement)
{
  return placement->task->step->spec->gang ? (gpointer)placement->task->step
                                           : (gpointer)placement;
}

/* Tells whether JOB is urgent work on borrowed room that P may reclaim. */
static gboolean
is_reclaimable (const Plan *p, const WorkJob *job)
{
  return (p->flags & PLAN_RECLAIM) && job->entry->job->priority == 0 &&
         !job->guaranteed;
}

/* Tells whether P may evict PLACEMENT: its job is less urgent than P's, or
   holds room that P may reclaim. */
static gboolean
may_evict (const Plan *p, const WorkPlacement *placement)
{
  const WorkJob *job = placement->task->step->job;

  if (is_reclaimable (p, job))
    return placement->state != PLACEMENT_STOPPING;
  return job->entry->job->priority > p->step->job->entry->job->priority &&
         (placement->state == PLACEMENT_RUNNING ||
          placement->state == PLACEMENT_STARTING);
}

/* Returns the work that stopping PLACEMENT loses, plus the cost of a restart,
   in milliseconds. */
static double
lost_work_ms (const Dispatch *d, const WorkPlacement *placement)
{
  double run_ms = (double)(d->now - placement->started_at);

  if (placement->task->step->spec->checkpointing)
    run_ms = MIN (run_ms, checkpoint_interval_ms);
  return run_ms + restart_cost_ms;
}

/* Returns the cost of evicting PLACEMENT, in core-milliseconds times its
   urgency factor; for a gang, that of all members.  It doubles with each
   eviction of the task after the first ones: the run that began last has lost
   least, and would be chosen again each time. */
static double
victim_cost (const Dispatch *d, const WorkPlacement *placement)
{
  const WorkStep *step = placement->task->step;
  double members = step->spec->gang ? (double)step->n_placements : 1.0;
  double weight =
      step->job->entry->job->priority == 0 ? urgent_cost_factor : 1.0;
  guint n = placement->task->n_evictions;
  guint doublings = n - MIN (n, CHEAP_EVICTIONS);

  return lost_work_ms (d, placement) * spec_step_cores (step->spec) * members *
         weight * (double)(1U << MIN (doublings, MAX_COST_DOUBLINGS));
}

/* Returns how many tasks P has placed on W so far. */
static guint
n_planned_on (const Plan *p, const PoolWorker *w)
{
  guint n = 0;
  guint i;

  for (i = 0; i < p->n_chosen; i++)
    n += p->chosen[i] == w;
  return n;
}

/* Tells whether PLACEMENT has been stopping for so long that a claim on its
   room would have been given up: its worker doesn't carry out the stop. */
static gboolean
stop_hangs (const Plan *p, const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STOPPING &&
         p->d->now - placement->stopping_at > claims_timeout;
}

static gboolean
has_hanging_stop (const Plan *p, const PoolWorker *w)
{
  const WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (stop_hangs (p, placement))
      return TRUE;
  return FALSE;
}

/* Returns W's free room once P's victims and all runs that are stopping have
   ended and P's tasks are placed. */
static PoolResources
free_room_after (const Plan *p, const PoolWorker *w)
{
  PoolResources room = pool_available (w);
  guint n = n_planned_on (p, w);
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (!stop_hangs (p, placement) &&
        (placement->state == PLACEMENT_STOPPING ||
         g_hash_table_contains (p->victims, victim_key (placement))))
      pool_resources_add (&room, &placement->task->step->need);
  while (n--)
    pool_resources_subtract (&room, &p->step->need);
  return room;
}

/* Returns the cheapest run on W that is not yet a victim, or NULL. */
static WorkPlacement *
cheapest_victim (const Plan *p, const PoolWorker *w, GHashTable *new_victims)
{
  WorkPlacement *best = NULL;
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (may_evict (p, placement) &&
        lasting_may_stop (placement, p->victims, new_victims) &&
        !g_hash_table_contains (p->victims, victim_key (placement)) &&
        !g_hash_table_contains (new_victims, victim_key (placement)) &&
        (!best || victim_cost (p->d, placement) < victim_cost (p->d, best)))
      best = placement;
  return best;
}

/* Collects in NEW_VICTIMS the cheapest runs on W, one after the other, until
   one more task fits.  Returns their cost, or cost_impossible.  A worker on
   which a stop hangs is given no more stops. */
static double
cost_on_worker (const Plan *p, const PoolWorker *w, GHashTable *new_victims)
{
  PoolResources room = free_room_after (p, w);
  gboolean may_stop = !has_hanging_stop (p, w);
  double cost = 0.0;

  g_hash_table_remove_all (new_victims);
  while (!pool_resources_fit (&room, &p->step->need))
    {
      WorkPlacement *placement =
          may_stop ? cheapest_victim (p, w, new_victims) : NULL;

      if (!placement)
        return cost_impossible;
      cost += victim_cost (p->d, placement);
      pool_resources_add (&room, &placement->task->step->need);
      g_hash_table_add (new_victims, victim_key (placement));
    }
  return cost;
}

/* Returns how many tasks of P's step are placed on W already. */
static guint
n_placed_on (const Plan *p, const PoolWorker *w)
{
  const WorkPlacement *placement;
  guint n = 0;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    n += placement->task->step == p->step;
  return n;
}

/* Tells whether one more task on W keeps to the step's limit per worker. */
static gboolean
is_below_max_per_worker (const Plan *p, const PoolWorker *w)
{
  return p->rq.max_per_worker == 0 ||
         n_placed_on (p, w) + n_planned_on (p, w) < p->rq.max_per_worker;
}

static gboolean
is_candidate (const Plan *p, const PoolWorker *w)
{
  return assign_is_usable (p->d, w) && fit_is_eligible (&p->rq, w) &&
         is_below_max_per_worker (p, w);
}

/* Returns the worker on which room for one more task costs least, or NULL.
   Costs are cached in the workers. */
static PoolWorker *
cheapest_worker (const Plan *p, GHashTable *new_victims)
{
  PoolWorker *best = NULL;
  guint i;

  for (i = p->from; i < p->to; i++)
    {
      PoolWorker *w = pool_at (&p->d->pool, i);

      if (w->evict_cost == cost_unknown)
        w->evict_cost = is_candidate (p, w) ? cost_on_worker (p, w, new_victims)
                                            : cost_impossible;
      if (w->evict_cost >= 0.0 && (!best || w->evict_cost < best->evict_cost))
        best = w;
      if (best && best->evict_cost <= 0.0)
        break;
    }
  return best;
}

/* Invalidates the cached cost of W, and of all workers that run a gang among
   NEW_VICTIMS, or other tasks of a step whose tasks can't all be stopped. */
static void
invalidate_costs (PoolWorker *w, GHashTable *new_victims)
{
  const WorkPlacement *placement;

  w->evict_cost = cost_unknown;
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      const WorkStep *step = placement->task->step;
      guint i;

      if (!g_hash_table_contains (new_victims, step->spec->gang
                                                   ? (gconstpointer)step
                                                   : (gconstpointer)placement))
        continue;
      if (!step->spec->gang && step->spec->min_running == 0)
        continue;
      for (i = 0; i < step->spec->count; i++)
        if (step->tasks[i].placement)
          step->tasks[i].placement->worker->evict_cost = cost_unknown;
    }
}

static void
add_victims (Plan *p, GHashTable *new_victims)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, new_victims);
  while (g_hash_table_iter_next (&i, &key, NULL))
    g_hash_table_add (p->victims, key);
}

/* Adds the next task to P, with the victims it needs.  Returns FALSE when it
   fits nowhere. */
static gboolean
plan_next_task (Plan *p, GHashTable *new_victims)
{
  PoolWorker *best = cheapest_worker (p, new_victims);

  if (!best)
    return FALSE;
  p->cost += cost_on_worker (p, best, new_victims);
  invalidate_costs (best, new_victims);
  add_victims (p, new_victims);
  p->chosen[p->n_chosen++] = best;
  return TRUE;
}

/* Returns a plan for STEP's unplaced tasks on the workers from FROM up to, but
   not including, TO in pool order.  It may be incomplete. */
static Plan *
plan_new (Dispatch *d, WorkStep *step, guint from, guint to, PlanFlags flags)
{
  guint count = work_step_unplaced (step);
  GHashTable *new_victims = g_hash_table_new (NULL, NULL);
  Plan *p = g_new0 (Plan, 1);
  guint i;

  p->d = d;
  p->step = step;
  p->flags = flags;
  p->rq = choose_request (d, step, count);
  p->rq.trust = MAX (flags & PLAN_NOT_SLOW ? FIT_NOT_SLOW : FIT_ANY,
                     choose_min_trust (d, step->tasks));
  p->victims = g_hash_table_new (NULL, NULL);
  p->chosen = g_new0 (PoolWorker *, count);
  p->from = from;
  p->to = to;
  for (i = from; i < to; i++)
    pool_at (&p->d->pool, i)->evict_cost = cost_unknown;
  for (i = 0; i < count; i++)
    if (!plan_next_task (p, new_victims))
      break;
  g_hash_table_unref (new_victims);
  return p;
}

static void
plan_free (Plan *p)
{
  g_hash_table_unref (p->victims);
  g_free (p->chosen);
  g_free (p);
}

/* Tells whether P is worth carrying out: a gang must be placed as a whole, of
   other steps any task will do. */
static gboolean
is_sufficient (const Plan *p)
{
  return p->n_chosen == p->rq.count ||
         (!p->step->spec->gang && p->n_chosen > 0);
}

/* Returns the cheapest sufficient plan within a single rack, or NULL. */
static Plan *
cheapest_rack_plan (Dispatch *d, WorkStep *step, PlanFlags flags)
{
  const Pool *pool = &d->pool;
  Plan *best = NULL;
  guint from, to;

  for (from = 0; from < pool_size (pool); from = to)
    {
      Plan *p;

      to = pool_rack_end (pool, from);
      p = plan_new (d, step, from, to, flags);
      if (is_sufficient (p) && (!best || p->cost < best->cost))
        {
          Plan *other = best;

          best = p;
          p = other;
        }
      if (p)
        plan_free (p);
    }
  return best;
}

/* Stops the runs of P's victims. */
static void
stop_victims (Plan *p)
{
  GPtrArray *parts = g_ptr_array_new ();
  const Pool *pool = &p->d->pool;
  guint i;

  for (i = 0; i < pool_size (pool); i++)
    {
      PoolWorker *w = pool_at (pool, i);
      WorkPlacement *placement;

      APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
        if (g_hash_table_contains (p->victims, victim_key (placement)))
          g_ptr_array_add (parts, placement);
    }
  for (i = 0; i < parts->len; i++)
    {
      WorkPlacement *placement = g_ptr_array_index (parts, i);

      if (placement->task->step->spec->gang)
        placement->task->step->stopping_gang = TRUE;
      placement->task->n_evictions++;
      runs_stop (p->d, placement, "evicted");
      p->d->n_evicted++;
    }
  g_ptr_array_unref (parts);
}

/* Claims room on P's workers for the unplaced tasks of its step; they start
   once the victims have ended. */
static void
claim_room (Plan *p)
{
  WorkStep *step = p->step;
  gint64 run = assign_next_run (p->d, step);
  guint k = 0;
  guint i;

  for (i = 0; i < step->spec->count && k < p->n_chosen; i++)
    {
      WorkTask *task = &step->tasks[i];

      if (task->done || task->placement)
        continue;
      work_placement_new (task, p->chosen[k++], run, PLACEMENT_RESERVED)
          ->started_at = p->d->now;
    }
}

/* Returns the cheapest sufficient plan found for STEP, or NULL.  A gang that
   asks for one rack is spread over several when no single rack can be freed. */
static Plan *
find_plan (Dispatch *d, WorkStep *step, PlanFlags flags)
{
  Plan *p = NULL;

  if (step->spec->gang && step->spec->same_rack)
    p = cheapest_rack_plan (d, step, flags);
  if (!p)
    p = plan_new (d, step, 0, pool_size (&d->pool), flags);
  if (is_sufficient (p))
    return p;
  plan_free (p);
  return NULL;
}

/* Stops less urgent work so that STEP can start, and claims the room for it.
   When all workers are full as an urgent job arrives, the victims are chosen
   cheapest first, by the work that they lose.  Room inside a workspace's
   guarantee is also reclaimed from urgent work that has borrowed it, but only
   if nothing else has made room within RECLAIM_DELAY_MS.  Returns whether a
   plan was found. */
gboolean
evict_for (Dispatch *d, WorkStep *step)
{
  ClockMs age_ms = d->now - step->job->accepted_at;
  Plan *p = find_plan (d, step, PLAN_NOT_SLOW);

  if (!p)
    p = find_plan (d, step, PLAN_ANY);
  if (!p && step->job->guaranteed && age_ms > RECLAIM_DELAY_MS)
    p = find_plan (d, step, PLAN_RECLAIM);
  if (!p)
    return FALSE;
  effects_log (d->fx,
               "event=evict job=%s step=%u.%u tasks=%u victims=%u cost=%.0f "
               "reclaim=%d age_ms=%" CLOCK_MS_FORMAT,
               step->job->entry->id, step->occurrence, step->number,
               p->n_chosen, g_hash_table_size (p->victims), p->cost,
               (p->flags & PLAN_RECLAIM) != 0, age_ms);
  stop_victims (p);
  claim_room (p);
  plan_free (p);
  d->replan = TRUE;
  return TRUE;
}
