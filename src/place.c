#include "place.h"

/* Tells whether the job of ASK may use W at all now. */
gboolean
place_worker_takes (const PlaceAsk *ask, const FleetWorker *w)
{
  if (!w->usable)
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
  r.cores = w->cores_free;
  r.memory_mb = w->memory_free;
  return r;
}

static int
room_find (const Room *r, const FleetJob *j)
{
  if (r->cores < j->cores || r->memory_mb < j->memory_mb)
    return -1;
  return first_run (r->open, j->accelerators);
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
  j->part[i].first = (guint8)first;
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

      while (w->usable && done < ask->job->parts &&
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

const PlaceOps place_best = { .name = "best", .find = find_first_fit };
const PlaceOps place_first_fit = { .name = "first_fit",
                                   .find = find_first_fit };
const PlaceOps place_random = { .name = "random", .find = find_random };

/* Tells whether the workers of F could hold J were they all free. */
gboolean
place_could_ever (const Fleet *f, const FleetJob *j)
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
