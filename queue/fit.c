#include "fit.h"

#include "pace.h"
#include "speed.h"

#include <string.h>

/* Tells whether W has the reliability that RQ's trust level asks for. */
static gboolean
meets_trust (const FitRequest *rq, const PoolWorker *w)
{
  if (rq->trust >= FIT_NOT_SLOW && speed_is_slow (w, rq->now))
    return FALSE;
  if (rq->trust >= FIT_NO_FAILURES && w->consecutive_failures)
    return FALSE;
  if (rq->trust >= FIT_PROVEN && !w->last_success_start)
    return FALSE;
  return rq->trust < FIT_PROVEN_SINCE ||
         w->last_success_start >= rq->proven_since;
}

/* Tells whether RQ's tasks may run on W, leaving aside free room. */
gboolean
fit_is_eligible (const FitRequest *rq, const PoolWorker *w)
{
  return meets_trust (rq, w) && w != rq->excluded_worker &&
         cold_time_left (w, rq->now) >= rq->min_warm_up &&
         cold_time_left (w, rq->now) <= rq->max_warm_up &&
         (rq->allow_quarantined || w->quarantined_until <= rq->now) &&
         strcmp (w->entry->service, rq->service) == 0 &&
         pool_has_label (w, rq->label);
}

/* Returns how many more of RQ's tasks fit on F. */
static guint
slots_on_worker (const FitRequest *rq, const FitWorker *f)
{
  guint n;

  if (!fit_is_eligible (rq, f->worker))
    return 0;
  n = pool_resources_count (&f->room, &rq->need);
  if (rq->max_per_worker > 0)
    n = MIN (n, rq->max_per_worker - MIN (f->n_placed, rq->max_per_worker));
  return n;
}

/* Returns W's penalty in the order of preference: 2 for failures, 1 for being
   slow. */
static guint
worker_penalty (const FitRequest *rq, const PoolWorker *w)
{
  return 2 * (w->consecutive_failures > 0) + speed_is_slow (w, rq->now);
}

/* Returns W's penalty for its pace: lowest for the preferred class. */
static int
pace_penalty (const FitRequest *rq, const PoolWorker *w)
{
  return rq->prefer_fast ? (int)pace_class (w) : -(int)pace_class (w);
}

/* Tells whether A is preferred to B.  Warm workers come first, then those with
   the least time left.  Among equals workers with failures come last, before
   them slow ones.  Then those of the preferred pace come first; otherwise the
   one with less free room wins (best fit), by accelerators first, as they are
   scarcest, then by cores. */
static gboolean
is_better_fit (const FitRequest *rq, const FitWorker *a, const FitWorker *b)
{
  guint penalty_a = worker_penalty (rq, a->worker);
  guint penalty_b = worker_penalty (rq, b->worker);
  int pace_a = pace_penalty (rq, a->worker);
  int pace_b = pace_penalty (rq, b->worker);
  ClockMs cold_a = cold_time_left (a->worker, rq->now);
  ClockMs cold_b = cold_time_left (b->worker, rq->now);

  if (cold_a != cold_b)
    return cold_a < cold_b;
  if (penalty_a != penalty_b)
    return penalty_a < penalty_b;
  if (pace_a != pace_b)
    return pace_a < pace_b;
  if (a->room.accelerators != b->room.accelerators)
    return a->room.accelerators < b->room.accelerators;
  return a->room.cpu_milli < b->room.cpu_milli;
}

/* A range of the worker array: one rack, or all workers. */
typedef struct WorkerRange
{
  guint from;
  guint to; /* exclusive */
} WorkerRange;

/* Returns how many of the SLOTS that RQ has on F the ramp leaves, beyond those
   counted before. */
static guint
count_slots (const FitRequest *rq, const FitWorker *f, guint slots)
{
  return rq->beyond_ramp ? slots : cold_group_count (f->cold, slots);
}

/* Returns how many of RQ's tasks fit on the workers of G, up to RQ's count. */
static guint
range_slots (const FitRequest *rq, const FitWorker *workers, WorkerRange g)
{
  guint n = 0;
  guint i;

  cold_ramp_begin_count (rq->ramp);
  for (i = g.from; i < g.to && n < rq->count; i++)
    n += count_slots (rq, &workers[i], slots_on_worker (rq, &workers[i]));
  return n;
}

/* Returns the longest time left of the workers that RQ's tasks need on G, which
   must have room for all, if they take those with the least. */
static ClockMs
longest_needed_warm_up (const FitRequest *rq,
                        const FitWorker *workers,
                        WorkerRange g)
{
  FitRequest warmer = *rq;
  ClockMs longest = 0;
  guint i;

  if (!rq->ramp)
    return 0;
  for (warmer.max_warm_up = 0; range_slots (&warmer, workers, g) < rq->count;
       warmer.max_warm_up = longest)
    {
      longest = CLOCK_NEVER;
      for (i = g.from; i < g.to; i++)
        {
          ClockMs left = cold_time_left (workers[i].worker, rq->now);

          if (left > warmer.max_warm_up)
            longest = MIN (longest, left);
        }
    }
  return longest;
}

/* Returns the free accelerators on those workers of G that are of RQ's
   service. */
static gint64
range_free_accelerators (const FitRequest *rq,
                         const FitWorker *workers,
                         WorkerRange g)
{
  gint64 sum = 0;
  guint i;

  for (i = g.from; i < g.to; i++)
    if (strcmp (workers[i].worker->entry->service, rq->service) == 0)
      sum += MAX (workers[i].room.accelerators, 0);
  return sum;
}

/* Returns the pace of the slowest worker that RQ's tasks need on G, which must
   have room for all. */
static PaceClass
slowest_needed (const FitRequest *rq, const FitWorker *workers, WorkerRange g)
{
  guint n_fast = 0;
  guint n_average = 0;
  guint i;

  for (i = g.from; i < g.to; i++)
    {
      PaceClass c = pace_class (workers[i].worker);
      guint n = c == PACE_SLOW ? 0 : slots_on_worker (rq, &workers[i]);

      n_fast += c == PACE_FAST ? n : 0;
      n_average += c == PACE_AVERAGE ? n : 0;
    }
  if (n_fast >= rq->count)
    return PACE_FAST;
  return n_fast + n_average >= rq->count ? PACE_AVERAGE : PACE_SLOW;
}

/* Tells whether the ramp lets RQ place another task on F. */
static gboolean
has_ramp_room (const FitRequest *rq, const FitWorker *f)
{
  return rq->beyond_ramp || !f->cold || f->cold->room > 0;
}

/* Returns the preferred worker of G that has room for a task, or NULL. */
static FitWorker *
best_fit_worker (const FitRequest *rq, FitWorker *workers, WorkerRange g)
{
  FitWorker *best = NULL;
  guint i;

  for (i = g.from; i < g.to; i++)
    if (slots_on_worker (rq, &workers[i]) > 0 &&
        has_ramp_room (rq, &workers[i]) &&
        (!best || is_better_fit (rq, &workers[i], best)))
      best = &workers[i];
  return best;
}

/* Places RQ's tasks on the workers of G, which must have room for all. */
static void
fill_range (const FitRequest *rq,
            FitWorker *workers,
            WorkerRange g,
            PoolWorker **chosen)
{
  guint i;

  for (i = 0; i < rq->count; i++)
    {
      FitWorker *f = best_fit_worker (rq, workers, g);

      pool_resources_subtract (&f->room, &rq->need);
      f->n_placed++;
      if (f->cold && f->cold->room > 0)
        f->cold->room--;
      chosen[i] = f->worker;
    }
}

/* Returns the range of workers in the same rack as the one at FROM.  The
   array is sorted by rack. */
static WorkerRange
rack_range_at (const FitWorker *workers, guint from, guint n)
{
  WorkerRange g = { from, from + 1 };

  while (g.to < n && g_strcmp0 (workers[g.to].worker->entry->rack,
                                workers[from].worker->entry->rack) == 0)
    g.to++;
  return g;
}

static gboolean
rack_matches (const FitRequest *rq, const FitWorker *workers, WorkerRange g)
{
  return !*rq->data_rack ||
         g_strcmp0 (workers[g.from].worker->entry->rack, rq->data_rack) == 0;
}

/* Tells whether A is preferred to B as the rack of RQ's tasks: the one that is
   warm first, then the one with faster workers if RQ asks for such, otherwise
   the one with fewer free accelerators. */
static gboolean
is_better_rack (const FitRequest *rq,
                const FitWorker *workers,
                WorkerRange a,
                WorkerRange b)
{
  PaceClass pace_a =
      rq->prefer_fast ? slowest_needed (rq, workers, a) : PACE_AVERAGE;
  PaceClass pace_b =
      rq->prefer_fast ? slowest_needed (rq, workers, b) : PACE_AVERAGE;
  ClockMs cold_a = longest_needed_warm_up (rq, workers, a);
  ClockMs cold_b = longest_needed_warm_up (rq, workers, b);

  if (cold_a != cold_b)
    return cold_a < cold_b;
  if (pace_a != pace_b)
    return pace_a < pace_b;
  return range_free_accelerators (rq, workers, a) <
         range_free_accelerators (rq, workers, b);
}

/* Finds the preferred rack that has room for all of RQ's tasks.  Returns FALSE
   when there is none. */
static gboolean
best_fit_rack (const FitRequest *rq,
               const FitWorker *workers,
               guint n,
               WorkerRange *best)
{
  gboolean found = FALSE;
  WorkerRange g = { 0, 0 };

  while (g.to < n)
    {
      g = rack_range_at (workers, g.to, n);
      if (!rack_matches (rq, workers, g) ||
          range_slots (rq, workers, g) < rq->count)
        continue;
      if (!found || is_better_rack (rq, workers, g, *best))
        *best = g;
      found = TRUE;
    }
  return found;
}

/* Chooses a worker for each of RQ's tasks from the N in WORKERS, which are
   sorted by rack, and subtracts the room they take from WORKERS.  If the tasks
   must share a rack, takes the rack that has the fewest free accelerators of
   their service and fits them all; otherwise considers all workers.  Then takes
   workers in the order of is_better_fit.  With many wide gangs on few racks
   this keeps large free areas for later gangs.  Returns FALSE, with nothing
   taken, when not all tasks fit. */
gboolean
fit_place (const FitRequest *rq,
           FitWorker *workers,
           guint n,
           PoolWorker **chosen)
{
  gboolean in_one_rack = !rq->ignore_racks && (rq->same_rack || *rq->data_rack);
  WorkerRange g = { 0, n };

  if (in_one_rack ? !best_fit_rack (rq, workers, n, &g)
                  : range_slots (rq, workers, g) < rq->count)
    return FALSE;
  fill_range (rq, workers, g, chosen);
  return TRUE;
}

/* Tells whether RQ fits in the room of the N in WORKERS, which are sorted by
   rack. */
gboolean
fit_feasible (const FitRequest *rq, const FitWorker *workers, guint n)
{
  gboolean in_one_rack = !rq->ignore_racks && (rq->same_rack || *rq->data_rack);
  WorkerRange g = { 0, n };

  return in_one_rack ? best_fit_rack (rq, workers, n, &g)
                     : range_slots (rq, workers, g) >= rq->count;
}
