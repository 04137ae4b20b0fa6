#include "place.h"

/* Tells whether the job of ASK may use W at all now. */
gboolean
place_worker_takes (const PlaceAsk *ask, const FleetWorker *w)
{
  if (!w->usable || ask->job->avoid == w->index + 1)
    return FALSE;
  return !w->drained || ask->ignore_drain ||
         ask->ends <= ask->fleet->drained_until;
}

/* Returns the lowest place of COUNT adjacent accelerators in OPEN, or -1. */
static int
first_run (guint64 open, guint count)
{
  while (open)
    {
      guint first = (guint)__builtin_ctzll (open);
      guint len = fleet_run_length (open);

      if (len >= count)
        return (int)first;
      open &= ~fleet_run_mask (first, len);
    }
  return count == 0 ? 0 : -1;
}

/* What is left of a worker while the parts of one job are tried there. */
typedef struct Room
{
  guint64 open;
  gint64 cores;
  gint64 memory_mb;
} Room;

static Room
room_of (const PlaceAsk *ask, const FleetWorker *w)
{
  Room r = { 0 };

  if (!place_worker_takes (ask, w))
    return r;
  r.open = fleet_run_mask (0, w->accelerators) & ~(w->used | w->claimed);
  if (ask->job->in_guarantee)
    r.open &= ~w->held;
  r.cores = w->cores_free;
  r.memory_mb = w->memory_free;
  if (ask->keep_shares && w->accelerators && !(ask->may_spoil && !w->held))
    {
      gint64 n = w->accelerators - __builtin_popcountll (w->held);

      r.cores = MIN (r.cores, w->cores - w->cores_pinned -
                                  n * (w->cores / w->accelerators));
      r.memory_mb = MIN (r.memory_mb, w->memory_mb - w->memory_pinned -
                                          n * (w->memory_mb / w->accelerators));
    }
  return r;
}

static gboolean
room_has_shares (const Room *r, const FleetJob *j)
{
  return r->cores >= j->cores && r->memory_mb >= j->memory_mb;
}

/* Returns the first accelerator of the lowest place for a part, or -1. */
static int
room_find (const Room *r, const FleetJob *j)
{
  return room_has_shares (r, j) ? first_run (r->open, j->accelerators) : -1;
}

static void
room_take (Room *r, const FleetJob *j, guint first)
{
  r->open &= ~fleet_run_mask (first, j->accelerators);
  r->cores -= j->cores;
  r->memory_mb -= j->memory_mb;
}

static void
set_part (FleetJob *j, guint i, const FleetWorker *w, guint first)
{
  j->part[i].job = j;
  j->part[i].worker = w->index;
  j->part[i].first = j->part[i].region = (guint8)first;
}

/* Fills each worker in the order of ORDER, or of the fleet. */
static gboolean
fill (const PlaceAsk *ask, const guint *order)
{
  guint n = ask->fleet->workers->len;
  guint done = 0;
  guint i;

  for (i = 0; i < n && done < ask->job->parts; i++)
    {
      FleetWorker *w = fleet_worker (ask->fleet, order ? order[i] : i);
      Room r = room_of (ask, w);
      int first;

      while (place_worker_takes (ask, w) && done < ask->job->parts &&
             (first = room_find (&r, ask->job)) >= 0)
        {
          room_take (&r, ask->job, (guint)first);
          set_part (ask->job, done++, w, (guint)first);
        }
    }
  return done == ask->job->parts;
}

static gboolean
find_first_fit (const PlaceAsk *ask)
{
  return fill (ask, NULL);
}

static gboolean
find_random (const PlaceAsk *ask)
{
  guint n = ask->fleet->workers->len;
  guint *order = g_new (guint, n);
  gboolean found;
  guint i;

  for (i = 0; i < n; i++)
    {
      guint k = (guint)g_rand_int_range (ask->rng, 0, (gint32)i + 1);

      order[i] = order[k];
      order[k] = i;
    }
  found = fill (ask, order);
  g_free (order);
  return found;
}

const PlaceOps place_first_fit = { .name = "first_fit",
                                   .find = find_first_fit };
const PlaceOps place_random = { .name = "random", .find = find_random };

/* Returns the place for COUNT in the smallest run of OPEN that holds them,
   at the end that keeps the rest aligned, and sets HOLE to its length.
   Returns -1 if there is none. */
static int
best_run (guint64 open, guint count, guint *hole)
{
  int best = -1;

  *hole = 0;
  while (open && count)
    {
      guint first = (guint)__builtin_ctzll (open);
      guint len = fleet_run_length (open);

      open &= ~fleet_run_mask (first, len);
      if (len < count || (best >= 0 && len >= *hole))
        continue;
      *hole = len;
      best = (int)(first % count == 0 ? first : first + len - count);
    }
  return count == 0 ? 0 : best;
}

/* Returns how many parts of J, MOST at most, R holds. */
static guint
room_parts (const Room *r, const FleetJob *j, guint most)
{
  if (!room_has_shares (r, j))
    return 0;
  return MIN (most, fleet_parts_of (j, r->open, r->cores, r->memory_mb));
}

/* How many parts each worker can hold. */
typedef struct Best
{
  const PlaceAsk *ask;
  guint *parts; /* by worker */
  guint *racks; /* by rack: the sum */
  guint total;
} Best;

static void
survey (Best *b)
{
  const Fleet *f = b->ask->fleet;
  const FleetJob *j = b->ask->job;
  guint i;

  for (i = 0; i < f->workers->len; i++)
    {
      const FleetWorker *w = fleet_worker (f, i);
      Room r;

      b->parts[i] = 0;
      if (w->accelerators < j->accelerators)
        continue;
      r = room_of (b->ask, w);
      if (place_worker_takes (b->ask, w))
        b->parts[i] = room_parts (&r, j, j->parts);
      b->racks[w->rack] += b->parts[i];
      b->total += b->parts[i];
    }
}

/* Returns what taking N parts of J from W spoils; the less, the better.
   Accelerators: the hole, then the worker that it is cut from.  None: the
   accelerators of the worker, then the cores left over. */
static gint64
spoils (const Best *b, const FleetWorker *w)
{
  const FleetJob *j = b->ask->job;
  Room r = room_of (b->ask, w);
  guint hole;

  if (j->accelerators == 0)
    return ((gint64)w->accelerators << 32) + w->cores_free;
  best_run (r.open, j->accelerators, &hole);
  return ((gint64)hole << 32) + __builtin_popcountll (r.open);
}

/* Returns the worker of RACK (any if it is negative) to take parts from when
   N are missing: the one that holds them all and spoils least, or else the
   one that holds most.  Returns NULL if none holds any. */
static FleetWorker *
next_worker (const Best *b, int rack, guint n)
{
  FleetWorker *best = NULL;
  gint64 least = 0;
  guint i;

  for (i = 0; i < b->ask->fleet->workers->len; i++)
    {
      FleetWorker *w;
      guint takes = MIN (b->parts[i], n);
      guint has = best ? MIN (b->parts[best->index], n) : 0;
      gint64 cost;

      if (takes == 0 || takes < has)
        continue;
      w = fleet_worker (b->ask->fleet, i);
      if (rack >= 0 && w->rack != (guint)rack)
        continue;
      cost = spoils (b, w);
      if (takes == has && cost >= least)
        continue;
      best = w;
      least = cost;
    }
  return best;
}

/* Returns the rack that holds N parts with the least to spare, or else the
   one that holds most. */
static guint
next_rack (const Best *b, guint n)
{
  guint best = 0;
  guint i;

  for (i = 1; i < b->ask->fleet->racks->len; i++)
    {
      guint x = b->racks[i];
      guint y = b->racks[best];

      if (y >= n ? x >= n && x < y : x > y)
        best = i;
    }
  return best;
}

/* Puts up to N parts of the job, from part AT on, on W.  Returns how many. */
static guint
take_worker (Best *b, FleetWorker *w, guint at, guint n)
{
  FleetJob *j = b->ask->job;
  Room r = room_of (b->ask, w);
  guint taken = MIN (b->parts[w->index], n);
  guint hole;
  guint i;

  for (i = 0; i < taken; i++)
    {
      int first = best_run (r.open, j->accelerators, &hole);

      g_assert (first >= 0);
      room_take (&r, j, (guint)first);
      set_part (j, at + i, w, (guint)first);
    }
  b->racks[w->rack] -= b->parts[w->index];
  b->parts[w->index] = 0;
  return taken;
}

static void
take_all (Best *b)
{
  guint n = b->ask->job->parts;
  FleetWorker *w = next_worker (b, -1, n);
  guint done = 0;

  if (b->parts[w->index] >= n)
    done = take_worker (b, w, 0, n);
  while (done < n)
    {
      guint rack = next_rack (b, n - done);

      while (done < n && (w = next_worker (b, (int)rack, n - done)))
        done += take_worker (b, w, done, n - done);
    }
}

static gboolean
find_best (const PlaceAsk *ask)
{
  Best b = { .ask = ask,
             .parts = g_new (guint, ask->fleet->workers->len + 1),
             .racks = g_new0 (guint, ask->fleet->racks->len + 1) };
  gboolean found;

  survey (&b);
  found = b.total >= ask->job->parts;
  if (found)
    take_all (&b);
  g_free (b.parts);
  g_free (b.racks);
  return found;
}

const PlaceOps place_best = { .name = "best", .find = find_best };

/* Tells whether J would fit if all workers of F were idle. */
gboolean
place_is_feasible_when_empty (const Fleet *f, const FleetJob *j)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < f->workers->len; i++)
    {
      const FleetWorker *w = fleet_worker (f, i);
      gint64 k = j->parts;

      if (j->accelerators)
        k = MIN (k, w->accelerators / j->accelerators);
      if (j->cores)
        k = MIN (k, w->cores / j->cores);
      if (j->memory_mb)
        k = MIN (k, w->memory_mb / j->memory_mb);
      n += k;
    }
  return n >= j->parts;
}
