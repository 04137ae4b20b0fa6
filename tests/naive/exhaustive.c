#include "exhaustive.h"

#include <string.h>

enum
{
  MAX_WORKERS = 8,
  MAX_JOBS = 16,
  SIZES = FLEET_MAX_ACCELERATORS + 1
};

static gboolean
pack (guint *need, guint *bins)
{
  gboolean found = FALSE;
  guint size = SIZES - 1;
  guint b;

  while (size > 0 && !need[size])
    size--;
  for (b = size; size > 0 && b < SIZES && !found; b++)
    {
      if (!bins[b])
        continue;
      need[size]--;
      bins[b]--;
      bins[b - size]++;
      found = pack (need, bins);
      bins[b - size]--;
      bins[b]++;
      need[size]++;
    }
  return size == 0 || found;
}

/* As quota_pack, without bounds. */
gboolean
exhaustive_pack (const guint *need, const guint *bins)
{
  guint n[SIZES];
  guint b[SIZES];

  memcpy (n, need, sizeof n);
  memcpy (b, bins, sizeof b);
  return pack (n, b);
}

/* The workers as they would be; a trial moves copies of them. */
typedef struct Trial
{
  const Fleet *fleet;
  FleetJob *job;
  const guint *need;
  FleetWorker workers[MAX_WORKERS];
  guint64 open[MAX_WORKERS];
} Trial;

static gboolean
keeps_guarantees (const Trial *t)
{
  guint bins[SIZES] = { 0 };
  guint i;

  if (!t->need)
    return TRUE;
  for (i = 0; i < t->fleet->workers->len; i++)
    fleet_count_bins (&t->workers[i], bins, 1);
  return exhaustive_pack (t->need, bins);
}

/* Tries all places for the parts that are left, from accelerator FIRST of
   worker I on. */
static gboolean
put_parts (Trial *t, guint left, guint i, guint first)
{
  FleetWorker *w = &t->workers[i];
  FleetWorker old;
  guint64 mask;
  gboolean found;

  if (left == 0)
    return keeps_guarantees (t);
  if (i == t->fleet->workers->len)
    return FALSE;
  if (first + t->job->accelerators > w->accelerators)
    return put_parts (t, left, i + 1, 0);
  old = *w;
  mask = fleet_run_mask (first, t->job->accelerators);
  found = FALSE;
  if (w->usable && (t->open[i] & mask) == mask &&
      w->cores_free >= t->job->cores && w->memory_free >= t->job->memory_mb)
    {
      fleet_try_part (w, t->job, t->need ? FLEET_HOLD_OWN : FLEET_HOLD_NONE,
                      first);
      t->open[i] &= ~mask;
      found = (!t->need || fleet_is_sound (w)) &&
              put_parts (t, left - 1, i, first + t->job->accelerators);
      t->open[i] |= mask;
      *w = old;
    }
  return found || put_parts (t, left, i, first + 1);
}

static void
begin (Trial *t, const Fleet *f, FleetJob *j, const guint *need)
{
  guint i;

  *t = (Trial) { .fleet = f, .job = j, .need = need };
  for (i = 0; i < f->workers->len; i++)
    {
      const FleetWorker *w = fleet_worker (f, i);

      t->workers[i] = *w;
      t->open[i] =
          fleet_run_mask (0, w->accelerators) & ~(w->used | w->claimed);
    }
}

/* Tells whether J, which has accelerators, has room in F as it is. */
gboolean
exhaustive_place (const Fleet *f, FleetJob *j)
{
  Trial t;

  begin (&t, f, j, NULL);
  return put_parts (&t, j->parts, 0, 0);
}

static guint
collect_victims (const ReclaimAsk *ask, FleetJob **jobs)
{
  guint n = 0;
  guint i;
  guint k;

  for (i = 0; i < ask->fleet->workers->len; i++)
    {
      FleetPart *p = NULL;

      APR_RING_FOREACH (p, &fleet_worker (ask->fleet, i)->parts, FleetPart,
                        link)
        {
          for (k = 0; k < n && jobs[k] != p->job; k++)
            ;
          if (k == n && fleet_can_stop (p->job) &&
              (ask->kind != RECLAIM_MOVE || p->job->checkpointable))
            jobs[n++] = p->job;
        }
    }
  return n;
}

static void
stop (Trial *t, const FleetJob *v)
{
  guint i;

  for (i = 0; i < v->parts; i++)
    {
      FleetWorker *w = &t->workers[v->part[i].worker];

      t->open[v->part[i].worker] |=
          fleet_run_mask (v->part[i].first, v->accelerators) & ~w->claimed;
      w->cores_free += v->cores;
      w->memory_free += v->memory_mb;
    }
}

/* Tries every set of work that may be stopped; sets COST to the least.
   Returns FALSE if none will do. */
gboolean
exhaustive_reclaim (const ReclaimAsk *ask, double *cost)
{
  FleetJob *jobs[MAX_JOBS * MAX_JOBS];
  guint n = collect_victims (ask, jobs);
  gboolean found = FALSE;
  guint set;
  guint i;

  for (set = 0; set < 1U << n; set++)
    {
      Trial t;
      double sum = 0;

      begin (&t, ask->fleet, ask->job, ask->need);
      for (i = 0; i < n; i++)
        if (set >> i & 1)
          {
            sum += (double)fleet_stop_cost (jobs[i], ask->now);
            stop (&t, jobs[i]);
          }
      if (found && sum >= *cost)
        continue;
      if (!put_parts (&t, ask->job->parts, 0, 0))
        continue;
      found = TRUE;
      *cost = sum;
    }
  return found;
}
