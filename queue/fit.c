#include "fit.h"

#include "speed.h"

#include <string.h>

static gboolean
is_trusted (const FitRequest *rq, const PoolWorker *w)
{
  if (rq->trust >= FIT_QUICK && speed_is_slow (w, rq->now))
    return FALSE;
  if (rq->trust >= FIT_SOUND && w->consecutive_failures)
    return FALSE;
  if (rq->trust >= FIT_PROVEN && !w->last_success_start)
    return FALSE;
  return rq->trust < FIT_LATELY || w->last_success_start >= rq->since;
}

/* Tells whether REQUEST's tasks may run on W at all. */
gboolean
fit_allows (const FitRequest *rq, const PoolWorker *w)
{
  return is_trusted (rq, w) && w != rq->not_on &&
         strcmp (w->entry->service, rq->service) == 0 &&
         pool_has_label (w, rq->label);
}

static guint
slots (const FitRequest *rq, const FitWorker *f)
{
  guint n;

  if (!fit_allows (rq, f->worker))
    return 0;
  n = pool_resources_count (&f->room, &rq->need);
  if (rq->max_per_worker > 0)
    n = MIN (n, rq->max_per_worker - MIN (f->placed, rq->max_per_worker));
  return n;
}

/* Returns how little W is to be trusted with a task. */
static guint
doubt (const FitRequest *rq, const PoolWorker *w)
{
  return 2 * (w->consecutive_failures > 0) + speed_is_slow (w, rq->now);
}

/* Tells whether A is better than B: workers on which something failed come
   last, then slow ones, then those that leave smaller holes; accelerators
   are scarcest, then cores. */
static gboolean
is_tighter (const FitRequest *rq, const FitWorker *a, const FitWorker *b)
{
  guint doubt_a = doubt (rq, a->worker);
  guint doubt_b = doubt (rq, b->worker);

  if (doubt_a != doubt_b)
    return doubt_a < doubt_b;
  if (a->room.accelerators != b->room.accelerators)
    return a->room.accelerators < b->room.accelerators;
  return a->room.cpu_milli < b->room.cpu_milli;
}

/* A run of workers of one rack, or all of them. */
typedef struct Group
{
  guint from;
  guint to;
} Group;

static guint
group_slots (const FitRequest *rq, const FitWorker *workers, Group g)
{
  guint n = 0;
  guint i;

  for (i = g.from; i < g.to && n < rq->count; i++)
    n += slots (rq, &workers[i]);
  return n;
}

static gint64
group_free (const FitWorker *workers, Group g)
{
  gint64 sum = 0;
  guint i;

  for (i = g.from; i < g.to; i++)
    sum += MAX (workers[i].room.accelerators, 0);
  return sum;
}

static FitWorker *
tightest (const FitRequest *rq, FitWorker *workers, Group g)
{
  FitWorker *best = NULL;
  guint i;

  for (i = g.from; i < g.to; i++)
    if (slots (rq, &workers[i]) > 0 &&
        (!best || is_tighter (rq, &workers[i], best)))
      best = &workers[i];
  return best;
}

static void
fill_group (const FitRequest *rq,
            FitWorker *workers,
            Group g,
            PoolWorker **chosen)
{
  guint i;

  for (i = 0; i < rq->count; i++)
    {
      FitWorker *f = tightest (rq, workers, g);

      pool_resources_subtract (&f->room, &rq->need);
      f->placed++;
      chosen[i] = f->worker;
    }
}

/* Workers are sorted by rack: returns the run that begins at FROM. */
static Group
rack_at (const FitWorker *workers, guint from, guint n)
{
  Group g = { from, from + 1 };

  while (g.to < n && g_strcmp0 (workers[g.to].worker->entry->rack,
                                workers[from].worker->entry->rack) == 0)
    g.to++;
  return g;
}

static gboolean
wants_rack (const FitRequest *rq, const FitWorker *workers, Group g)
{
  return !*rq->rack ||
         g_strcmp0 (workers[g.from].worker->entry->rack, rq->rack) == 0;
}

/* Finds the rack that holds all tasks and has the least room besides. */
static gboolean
best_rack (const FitRequest *rq, const FitWorker *workers, guint n, Group *best)
{
  gboolean found = FALSE;
  Group g = { 0, 0 };

  while (g.to < n)
    {
      g = rack_at (workers, g.to, n);
      if (!wants_rack (rq, workers, g) ||
          group_slots (rq, workers, g) < rq->count)
        continue;
      if (!found || group_free (workers, g) < group_free (workers, *best))
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
  gboolean racked = !rq->anywhere && (rq->same_rack || *rq->rack);
  Group g = { 0, n };

  if (racked ? !best_rack (rq, workers, n, &g)
             : group_slots (rq, workers, g) < rq->count)
    return FALSE;
  fill_group (rq, workers, g, chosen);
  return TRUE;
}

/* Tells whether REQUEST would fit if WORKERS, whose ROOM is then taken for
   all that they have, were empty. */
gboolean
fit_could_ever (const FitRequest *rq, const FitWorker *workers, guint n)
{
  FitWorker *empty = g_new (FitWorker, n);
  gboolean racked = !rq->anywhere && (rq->same_rack || *rq->rack);
  Group g = { 0, n };
  gboolean could;
  guint i;

  for (i = 0; i < n; i++)
    empty[i] = (FitWorker) { .worker = workers[i].worker,
                             .room = workers[i].worker->entry->capacity };
  could = racked ? best_rack (rq, empty, n, &g)
                 : group_slots (rq, empty, g) >= rq->count;
  g_free (empty);
  return could;
}
