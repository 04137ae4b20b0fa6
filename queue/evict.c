#include "dispatch_state.h"

#include "fit.h"

enum
{
  /* For other urgent work to end by itself; well within the seconds in which
     a guarantee must be had. */
  RECLAIM_AFTER_MS = 700
};

/* What it costs to stop a part even if no work is lost, as work of this
   long: starting again and restoring a checkpoint. */
static const double restart_ms = 600.0;
static const double checkpoint_ms = 1200.0; /* work since the last one */

/* How much more a borrower's urgent work costs than other work: its caller
   waits for it. */
static const double urgent_cost = 10.0;

/* How far a plan may go. */
typedef enum PlanFlags
{
  PLAN_ANY = 0,
  PLAN_QUICK = 1 << 0,  /* only onto workers that are not slow */
  PLAN_RECLAIM = 1 << 1 /* urgent work beyond its guarantee is stopped, too */
} PlanFlags;

/* What stands in evict_cost besides a cost. */
static const double cost_unknown = -2.0;
static const double cost_never = -1.0;

/* One way to make room for a step: what is stopped, and where its tasks
   go. */
typedef struct Plan
{
  Dispatch *d;
  WorkStep *step;
  FitRequest rq;
  PlanFlags flags;
  guint from;          /* of the workers in the pool's order ... */
  guint to;            /* ... that it may use */
  GHashTable *victims; /* of WorkStep for gangs, WorkPart for others */
  PoolWorker **chosen;
  guint n_chosen;
  double cost;
} Plan;

static gpointer
victim_key (WorkPlacement *placement)
{
  return placement->task->step->spec->gang ? (gpointer)placement->task->step
                                           : (gpointer)placement;
}

/* Tells whether JOB holds room that is owed to P's job. */
static gboolean
has_borrowed (const Plan *p, const WorkJob *job)
{
  return (p->flags & PLAN_RECLAIM) && job->entry->job->priority == 0 &&
         !job->guaranteed;
}

static gboolean
may_evict (const Plan *p, const WorkPlacement *placement)
{
  const WorkJob *job = placement->task->step->job;

  if (has_borrowed (p, job))
    return placement->state != PLACEMENT_STOPPING;
  return job->entry->job->priority > p->step->job->entry->job->priority &&
         (placement->state == PLACEMENT_RUNNING ||
          placement->state == PLACEMENT_STARTING);
}

static double
lost_ms (const Dispatch *d, const WorkPlacement *placement)
{
  double run = (double)(d->now - placement->started_at);

  if (placement->task->step->spec->checkpointing)
    run = MIN (run, checkpoint_ms);
  return run + restart_ms;
}

/* Returns what stopping PART costs; a gang is stopped whole. */
static double
victim_cost (const Dispatch *d, const WorkPlacement *placement)
{
  const WorkStep *step = placement->task->step;
  double members = step->spec->gang ? (double)step->n_placements : 1.0;
  double weight = step->job->entry->job->priority == 0 ? urgent_cost : 1.0;

  return lost_ms (d, placement) * spec_step_cores (step->spec) * members *
         weight;
}

/* Returns how many tasks the plan places on W. */
static guint
n_taken (const Plan *p, const PoolWorker *w)
{
  guint n = 0;
  guint i;

  for (i = 0; i < p->n_chosen; i++)
    n += p->chosen[i] == w;
  return n;
}

/* Returns W's room as it will be once the plan's victims are gone. */
static PoolResources
room_after (const Plan *p, const PoolWorker *w)
{
  PoolResources room = pool_available (w);
  guint n = n_taken (p, w);
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state == PLACEMENT_STOPPING ||
        g_hash_table_contains (p->victims, victim_key (placement)))
      pool_resources_add (&room, &placement->task->step->need);
  while (n--)
    pool_resources_subtract (&room, &p->step->need);
  return room;
}

static WorkPlacement *
cheapest_part (const Plan *p, const PoolWorker *w, GHashTable *more)
{
  WorkPlacement *best = NULL;
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (may_evict (p, placement) &&
        !g_hash_table_contains (p->victims, victim_key (placement)) &&
        !g_hash_table_contains (more, victim_key (placement)) &&
        (!best || victim_cost (p->d, placement) < victim_cost (p->d, best)))
      best = placement;
  return best;
}

/* Finds the cheapest parts of W whose end lets one more task fit, into
   MORE.  Returns their cost, or cost_never. */
static double
cost_on (const Plan *p, const PoolWorker *w, GHashTable *more)
{
  PoolResources room = room_after (p, w);
  double cost = 0.0;

  g_hash_table_remove_all (more);
  while (!pool_resources_fit (&room, &p->step->need))
    {
      WorkPlacement *placement = cheapest_part (p, w, more);

      if (!placement)
        return cost_never;
      cost += victim_cost (p->d, placement);
      pool_resources_add (&room, &placement->task->step->need);
      g_hash_table_add (more, victim_key (placement));
    }
  return cost;
}

static gboolean
may_hold_more (const Plan *p, const PoolWorker *w)
{
  guint n = n_taken (p, w);

  return p->rq.max_per_worker == 0 || n < p->rq.max_per_worker;
}

static gboolean
is_candidate (const Plan *p, const PoolWorker *w)
{
  return assign_is_usable (p->d, w) && fit_allows (&p->rq, w) &&
         may_hold_more (p, w);
}

/* Returns the worker on which one more task costs least, or NULL. */
static PoolWorker *
cheapest_worker (const Plan *p, GHashTable *more)
{
  PoolWorker *best = NULL;
  guint i;

  for (i = p->from; i < p->to; i++)
    {
      PoolWorker *w = pool_at (&p->d->pool, i);

      if (w->evict_cost == cost_unknown)
        w->evict_cost = is_candidate (p, w) ? cost_on (p, w, more) : cost_never;
      if (w->evict_cost >= 0.0 && (!best || w->evict_cost < best->evict_cost))
        best = w;
      if (best && best->evict_cost <= 0.0)
        break;
    }
  return best;
}

/* Has the cost of W, and of all workers of a gang among the new victims MORE,
   reckoned anew. */
static void
forget_costs (PoolWorker *w, GHashTable *more)
{
  const WorkPlacement *placement;

  w->evict_cost = cost_unknown;
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      const WorkStep *step = placement->task->step;
      guint i;

      if (!step->spec->gang || !g_hash_table_contains (more, step))
        continue;
      for (i = 0; i < step->spec->count; i++)
        if (step->tasks[i].placement)
          step->tasks[i].placement->worker->evict_cost = cost_unknown;
    }
}

static void
add_victims (Plan *p, GHashTable *more)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, more);
  while (g_hash_table_iter_next (&i, &key, NULL))
    g_hash_table_add (p->victims, key);
}

static gboolean
add_task (Plan *p, GHashTable *more)
{
  PoolWorker *best = cheapest_worker (p, more);

  if (!best)
    return FALSE;
  p->cost += cost_on (p, best, more);
  forget_costs (best, more);
  add_victims (p, more);
  p->chosen[p->n_chosen++] = best;
  return TRUE;
}

/* Returns a plan for STEP on the workers FROM to TO of the pool's order. */
static Plan *
plan_new (Dispatch *d, WorkStep *step, guint from, guint to, PlanFlags flags)
{
  guint count = work_step_unplaced (step);
  GHashTable *more = g_hash_table_new (NULL, NULL);
  Plan *p = g_new0 (Plan, 1);
  guint i;

  p->d = d;
  p->step = step;
  p->flags = flags;
  p->rq = assign_request (d, step, count);
  p->rq.trust = MAX (flags & PLAN_QUICK ? FIT_QUICK : FIT_ANY,
                     assign_least_trust (d, step->tasks));
  p->victims = g_hash_table_new (NULL, NULL);
  p->chosen = g_new0 (PoolWorker *, count);
  p->from = from;
  p->to = to;
  for (i = from; i < to; i++)
    pool_at (&p->d->pool, i)->evict_cost = cost_unknown;
  for (i = 0; i < count; i++)
    if (!add_task (p, more))
      break;
  g_hash_table_unref (more);
  return p;
}

static void
plan_free (Plan *p)
{
  g_hash_table_unref (p->victims);
  g_free (p->chosen);
  g_free (p);
}

static gboolean
is_complete (const Plan *p)
{
  return p->n_chosen == p->rq.count ||
         (!p->step->spec->gang && p->n_chosen > 0);
}

/* Returns the cheapest plan over the racks, or NULL. */
static Plan *
best_over_racks (Dispatch *d, WorkStep *step, PlanFlags flags)
{
  const Pool *pool = &d->pool;
  Plan *best = NULL;
  guint from, to;

  for (from = 0; from < pool_size (pool); from = to)
    {
      Plan *p;

      to = pool_rack_end (pool, from);
      p = plan_new (d, step, from, to, flags);
      if (is_complete (p) && (!best || p->cost < best->cost))
        {
          Plan *worse = best;

          best = p;
          p = worse;
        }
      if (p)
        plan_free (p);
    }
  return best;
}

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
      runs_stop (p->d, placement, "evicted");
      p->d->n_evicted++;
    }
  g_ptr_array_unref (parts);
}

static void
claim (Plan *p)
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

/* Returns the cheapest complete plan for STEP, or NULL.  A gang that is
   better off on one rack gets several where no one rack can be had. */
static Plan *
find_plan (Dispatch *d, WorkStep *step, PlanFlags flags)
{
  Plan *p = NULL;

  if (step->spec->gang && step->spec->same_rack)
    p = best_over_racks (d, step, flags);
  if (!p)
    p = plan_new (d, step, 0, pool_size (&d->pool), flags);
  if (is_complete (p))
    return p;
  plan_free (p);
  return NULL;
}

/* Stops less urgent work so that STEP can start, and claims the room for
   it.  What a workspace is guaranteed is also taken back from urgent work
   that has borrowed it, once RECLAIM_AFTER_MS have shown that nothing else
   makes room.  Answers the load of a fleet that is full when an urgent job
   comes: the cheapest set of victims, by the work that they lose.  Returns
   whether a way was found. */
gboolean
evict_for (Dispatch *d, WorkStep *step)
{
  ClockMs age = d->now - step->job->accepted_at;
  Plan *p = find_plan (d, step, PLAN_QUICK);

  if (!p)
    p = find_plan (d, step, PLAN_ANY);
  if (!p && step->job->guaranteed && age > RECLAIM_AFTER_MS)
    p = find_plan (d, step, PLAN_RECLAIM);
  if (!p)
    return FALSE;
  effects_log (d->fx,
               "event=evict job=%s step=%u.%u tasks=%u victims=%u cost=%.0f "
               "reclaim=%d age_ms=%" CLOCK_MS_FORMAT,
               step->job->entry->id, step->occurrence, step->number,
               p->n_chosen, g_hash_table_size (p->victims), p->cost,
               (p->flags & PLAN_RECLAIM) != 0, age);
  stop_victims (p);
  claim (p);
  plan_free (p);
  d->replan = TRUE;
  return TRUE;
}
