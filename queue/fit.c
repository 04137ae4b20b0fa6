#include "fit.h"

#include "speed.h"

#include <string.h>

static gboolean
meets_trust (const FitRequest *rq, const PoolWorker *w)
{
  if (rq->trust >= FIT_NOT_SLOW && speed_is_slow (w, rq->now))
    return FALSE;
  if (rq->trust >= FIT_NO_FAILURES && w->failures)
    return FALSE;
  if (rq->trust >= FIT_PROVEN && !w->well)
    return FALSE;
  return rq->trust < FIT_PROVEN_SINCE || w->well >= rq->proven_since;
}

/* Tells whether REQUEST's tasks may run on W at all. */
gboolean
fit_is_eligible (const FitRequest *rq, const PoolWorker *w)
{
  return meets_trust (rq, w) && w != rq->excluded_worker &&
         strcmp (w->entry->service, rq->service) == 0 &&
         pool_has_label (w, rq->label);
}

static guint
slots_on_worker (const FitRequest *rq, const FitWorker *f)
{
  guint n;

  if (!fit_is_eligible (rq, f->worker))
    return 0;
  n = pool_room_fits (&f->room, &rq->need);
  if (rq->max_per_worker > 0)
    n = MIN (n, rq->max_per_worker - MIN (f->n_placed, rq->max_per_worker));
  return n;
}

/* Returns how little W is to be trusted with a task. */
static guint
worker_penalty (const FitRequest *rq, const PoolWorker *w)
{
  return 2 * (w->failures > 0) + speed_is_slow (w, rq->now);
}

/* Tells whether A is better than B: workers on which something failed come
   last, then slow ones, then those that leave smaller holes; accelerators
   are scarcest, then cores. */
static gboolean
is_better_fit (const FitRequest *rq, const FitWorker *a, const FitWorker *b)
{
  guint penalty_a = worker_penalty (rq, a->worker);
  guint penalty_b = worker_penalty (rq, b->worker);

  if (penalty_a != penalty_b)
    return penalty_a < penalty_b;
  if (a->room.accelerators != b->room.accelerators)
    return a->room.accelerators < b->room.accelerators;
  return a->room.cpu_milli < b->room.cpu_milli;
}

/* A run of workers of one rack, or all of them. */
typedef struct WorkerRange
{
  guint from;
  guint to;
} WorkerRange;

static guint
range_slots (const FitRequest *rq, const FitWorker *workers, WorkerRange g)
{
  guint n = 0;
  guint i;

  for (i = g.from; i < g.to && n < rq->count; i++)
    n += slots_on_worker (rq, &workers[i]);
  return n;
}

static gint64
range_free_accelerators (const FitWorker *workers, WorkerRange g)
{
  gint64 sum = 0;
  guint i;

  for (i = g.from; i < g.to; i++)
    sum += MAX (workers[i].room.accelerators, 0);
  return sum;
}

static FitWorker *
best_fit_worker (const FitRequest *rq, FitWorker *workers, WorkerRange g)
{
  FitWorker *best = NULL;
  guint i;

  for (i = g.from; i < g.to; i++)
    if (slots_on_worker (rq, &workers[i]) > 0 &&
        (!best || is_better_fit (rq, &workers[i], best)))
      best = &workers[i];
  return best;
}

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

      pool_give (&f->room, &rq->need);
      f->n_placed++;
      chosen[i] = f->worker;
    }
}

/* Workers are sorted by rack: returns the run that begins at FROM. */
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

/* Finds the rack that holds all tasks and has the least room besides. */
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
      if (!found || range_free_accelerators (workers, g) <
                        range_free_accelerators (workers, *best))
        *best = g;
      found = TRUE;
    }
  return found;
}

/* Chooses a worker for each of REQUEST's tasks from the N in WORKERS, which
   are sorted by rack, and takes the room of those in WORKERS.  Answers the
   load of many wide gangs on few racks: the tightest rack, in it the
   tightest workers, so that the largest holes stay.  Returns FALSE, with
   nothing taken, when they don't all fit. */
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

/* Tells whether REQUEST would fit if WORKERS, whose ROOM is then taken for
   all that they have, were empty. */
gboolean
fit_feasible_when_empty (const FitRequest *rq,
                         const FitWorker *workers,
                         guint n)
{
  FitWorker *empty = g_new (FitWorker, n);
  gboolean in_one_rack = !rq->ignore_racks && (rq->same_rack || *rq->data_rack);
  WorkerRange g = { 0, n };
  gboolean possible;
  guint i;

  for (i = 0; i < n; i++)
    empty[i] = (FitWorker) { .worker = workers[i].worker,
                             .room = workers[i].worker->entry->room };
  possible = in_one_rack ? best_fit_rack (rq, empty, n, &g)
                         : range_slots (rq, empty, g) >= rq->count;
  g_free (empty);
  return possible;
}
