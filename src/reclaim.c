#include "reclaim.h"

#include "quota.h"

#include <string.h>

enum
{
  RECLAIM_MAX_UNDONE = 200,
  RECLAIM_MAX_TRIM = 16 /* victims, each tried whether it can be spared */
};

static const double workspace_cost = 1e-3; /* settles equal costs */
static const double score_cost = 1e-4;

/* The best place for one more part on a worker. */
typedef struct Spot
{
  double cost; /* of the further victims; negative: no place */
  guint first;
  guint hole; /* the length of the run that it is cut from */
} Spot;

typedef struct Ban
{
  FleetWorker *worker;
  guint first;
} Ban;

typedef struct Search
{
  const ReclaimAsk *ask;
  guint chosen;        /* mark of the victims so far */
  gboolean only_these; /* no further victims */
  guint64 *taken;      /* by worker: accelerators of parts placed so far */
  guint64 *banned;     /* by worker: places that would break the invariant */
  guint *n_taken;      /* by worker: parts placed so far */
  Spot *spots;         /* by worker */
  guint guards_parts;  /* 1: the parts left must pack beside the guarantees */
  GArray *bans;        /* of Ban: what to lift on the way back */
  guint n_undone;
  GPtrArray *victims;
  GPtrArray *trial; /* the further victims of one place */
  guint need[FLEET_MAX_ACCELERATORS + 1];
  guint bins[FLEET_MAX_ACCELERATORS + 1];
} Search;

static gboolean
may_stop (const Search *s, const FleetJob *v)
{
  if (s->only_these || v == s->ask->job || !fleet_can_stop (v))
    return FALSE;
  return s->ask->kind != RECLAIM_MOVE || v->checkpointable;
}

static gboolean
is_going (const Search *s, const FleetJob *v)
{
  return v->mark == s->chosen || v->stopping;
}

static gboolean
workspace_is_hit (const Search *s, guint workspace)
{
  guint i;

  for (i = 0; i < MIN (s->victims->len, RECLAIM_MAX_TRIM); i++)
    {
      const FleetJob *v = g_ptr_array_index (s->victims, i);

      if (v->workspace == workspace)
        return TRUE;
    }
  return FALSE;
}

static double
victim_cost (const Search *s, const FleetJob *v)
{
  double cost = (double)fleet_stop_cost (v, s->ask->now);

  if (!workspace_is_hit (s, v->workspace))
    cost += workspace_cost;
  if (v->workspace < s->ask->n_scores)
    cost += score_cost / (1 + s->ask->scores[v->workspace]);
  return cost;
}

static double
trial_cost (const Search *s)
{
  double cost = 0;
  guint i;

  for (i = 0; i < s->trial->len; i++)
    cost += victim_cost (s, g_ptr_array_index (s->trial, i));
  return cost;
}

static void
add_trial (Search *s, FleetJob *v, guint seen)
{
  v->seen = seen;
  g_ptr_array_add (s->trial, v);
}

/* Tells whether one more part finds its cores and memory on W once the
   victims so far and those marked SEEN are gone. */
static gboolean
has_shares (const Search *s, const FleetWorker *w, guint seen)
{
  const FleetJob *j = s->ask->job;
  const FleetPart *p = NULL;
  gint64 n = s->n_taken[w->index] + 1;
  gint64 cores = w->cores_free - n * j->cores;
  gint64 mb = w->memory_free - n * j->memory_mb;

  if (cores >= 0 && mb >= 0)
    return TRUE;
  APR_RING_FOREACH (p, &w->parts, FleetPart, link)
    {
      if (!is_going (s, p->job) && p->job->seen != seen)
        continue;
      cores += p->job->cores;
      mb += p->job->memory_mb;
    }
  return cores >= 0 && mb >= 0;
}

/* Returns the job on W whose cores come cheapest, or NULL. */
static FleetJob *
cheapest_share (const Search *s, const FleetWorker *w, guint seen)
{
  FleetJob *best = NULL;
  FleetPart *p = NULL;
  double least = 0;

  APR_RING_FOREACH (p, &w->parts, FleetPart, link)
    {
      double cost;

      if (is_going (s, p->job) || p->job->seen == seen || !may_stop (s, p->job))
        continue;
      cost = victim_cost (s, p->job) / (double)(p->job->cores + 1);
      if (best && cost >= least)
        continue;
      best = p->job;
      least = cost;
    }
  return best;
}

/* Collects in s->trial what else has to stop for a part on the accelerators
   MASK of W.  Returns FALSE if something there can't be stopped. */
static gboolean
try_spot (Search *s, const FleetWorker *w, guint64 mask)
{
  guint seen = ++s->ask->fleet->mark;
  FleetPart *p = NULL;

  g_ptr_array_set_size (s->trial, 0);
  APR_RING_FOREACH (p, &w->parts, FleetPart, link)
    {
      FleetJob *v = p->job;
      guint64 at = fleet_run_mask (p->first, v->accelerators);

      if (!(at & mask) || is_going (s, v) || v->seen == seen)
        continue;
      if (!may_stop (s, v))
        return FALSE;
      add_trial (s, v, seen);
    }
  while (!has_shares (s, w, seen))
    {
      FleetJob *v = cheapest_share (s, w, seen);

      if (!v)
        return FALSE;
      add_trial (s, v, seen);
    }
  return TRUE;
}

static guint64
barred_mask (const Search *s, const FleetWorker *w)
{
  return w->held | w->claimed | s->taken[w->index];
}

/* Finds the cheapest place for one more part on W; of equal ones that in
   the smallest run. */
static void
find_spot (Search *s, const FleetWorker *w)
{
  guint n = s->ask->job->accelerators;
  guint64 open = fleet_run_mask (0, w->accelerators) & ~barred_mask (s, w);
  Spot best = { .cost = -1 };

  while (w->usable && open)
    {
      guint start = (guint)__builtin_ctzll (open);
      guint len = fleet_run_length (open);
      guint first;

      open &= ~fleet_run_mask (start, len);
      for (first = start; first + n <= start + len; first++)
        {
          double cost;

          if ((s->banned[w->index] >> first & 1) ||
              !try_spot (s, w, fleet_run_mask (first, n)))
            continue;
          cost = trial_cost (s);
          if (best.cost >= 0 &&
              (cost > best.cost || (cost >= best.cost && len >= best.hole)))
            continue;
          best = (Spot) { .cost = cost, .first = first, .hole = len };
        }
    }
  s->spots[w->index] = best;
}

/* Returns the worker with the cheapest place; of equal ones that in the rack
   of the part before, then that with the smallest run. */
static FleetWorker *
best_spot (const Search *s, const FleetWorker *last)
{
  FleetWorker *best = NULL;
  gboolean best_near = FALSE;
  guint i;

  for (i = 0; i < s->ask->fleet->workers->len; i++)
    {
      const Spot *a = &s->spots[i];
      const Spot *b = best ? &s->spots[best->index] : NULL;
      FleetWorker *w;
      gboolean near;

      if (a->cost < 0 || (b && a->cost > b->cost))
        continue;
      w = fleet_worker (s->ask->fleet, i);
      near = last && w->rack == last->rack;
      if (b && a->cost >= b->cost &&
          (near < best_near || (near == best_near && a->hole >= b->hole)))
        continue;
      best = w;
      best_near = near;
    }
  return best;
}

/* Adds SIGN times the runs of W, less TAKEN, where the job may go. */
static void
count_room (Search *s, const FleetWorker *w, guint64 taken, int sign)
{
  guint64 open =
      fleet_run_mask (0, w->accelerators) & ~(w->held | w->claimed | taken);
  const FleetPart *p = NULL;

  APR_RING_FOREACH (p, &w->parts, FleetPart, link)
    {
      if (!is_going (s, p->job) && !may_stop (s, p->job))
        open &= ~fleet_run_mask (p->first, p->job->accelerators);
    }
  while (w->usable && open)
    {
      guint len = fleet_run_length (open);

      s->bins[len] += (guint)sign;
      open &= ~fleet_run_mask ((guint)__builtin_ctzll (open), len);
    }
}

/* Moves the bins to what they are with one more part at FIRST of W, the
   AT-th of the job. */
static void
move_bins (Search *s, const FleetWorker *w, guint first, guint at)
{
  FleetJob *j = s->ask->job;
  FleetWorker trial = *w;
  guint64 taken = s->taken[w->index];
  guint i;

  if (!s->ask->need)
    {
      count_room (s, w, taken, -1);
      count_room (s, w, taken | fleet_run_mask (first, j->accelerators), 1);
      return;
    }
  for (i = 0; i < at; i++)
    if (j->part[i].worker == w->index)
      fleet_try_part (&trial, j, j->part[i].first);
  fleet_count_bins (&trial, s->bins, -1);
  fleet_try_part (&trial, j, first);
  fleet_count_bins (&trial, s->bins, 1);
}

/* Tells whether the parts left and, inside a guarantee, all guaranteed
   shapes still pack with one more part at FIRST of W, the AT-th of the job;
   the bins follow if they do. */
static gboolean
keeps_room (Search *s, const FleetWorker *w, guint first, guint at)
{
  guint n = s->ask->job->accelerators;
  guint old[FLEET_MAX_ACCELERATORS + 1];

  memcpy (old, s->bins, sizeof old);
  move_bins (s, w, first, at);
  s->need[n] -= s->guards_parts;
  if (quota_pack (s->need, s->bins))
    return TRUE;
  s->need[n] += s->guards_parts;
  memcpy (s->bins, old, sizeof old);
  return FALSE;
}

static void
refresh_victim (Search *s, const FleetJob *v)
{
  guint i;

  for (i = 0; i < v->parts; i++)
    find_spot (s, fleet_worker (s->ask->fleet, v->part[i].worker));
}

static void
take_spot (Search *s, FleetWorker *w, guint at)
{
  FleetJob *j = s->ask->job;
  guint first = s->spots[w->index].first;
  guint64 mask = fleet_run_mask (first, j->accelerators);
  guint old = s->victims->len;
  guint i;

  try_spot (s, w, mask);
  for (i = 0; i < s->trial->len; i++)
    {
      FleetJob *v = g_ptr_array_index (s->trial, i);

      v->mark = s->chosen;
      g_ptr_array_add (s->victims, v);
    }
  s->taken[w->index] |= mask;
  s->n_taken[w->index]++;
  j->part[at].job = j;
  j->part[at].worker = w->index;
  j->part[at].first = (guint8)first;
  find_spot (s, w);
  for (i = old; i < s->victims->len; i++)
    refresh_victim (s, g_ptr_array_index (s->victims, i));
}

static void
reset (Search *s)
{
  const ReclaimAsk *ask = s->ask;
  guint n = ask->fleet->workers->len;
  guint i;

  memset (s->taken, 0, n * sizeof *s->taken);
  memset (s->banned, 0, n * sizeof *s->banned);
  memset (s->n_taken, 0, n * sizeof *s->n_taken);
  memset (s->need, 0, sizeof s->need);
  memset (s->bins, 0, sizeof s->bins);
  if (ask->need)
    {
      memcpy (s->need, ask->need, sizeof s->need);
      memcpy (s->bins, ask->fleet->bins, sizeof s->bins);
    }
  for (i = 0; !ask->need && i < n; i++)
    count_room (s, fleet_worker (ask->fleet, i), 0, 1);
  s->need[ask->job->accelerators] += s->guards_parts * ask->job->parts;
  s->n_undone = 0;
  g_array_set_size (s->bans, 0);
}

/* Undoes take_spot of MASK on W; N_VICTIMS had been chosen before. */
static void
leave_spot (Search *s, FleetWorker *w, guint64 mask, guint n_victims)
{
  guint i;

  s->taken[w->index] &= ~mask;
  s->n_taken[w->index]--;
  for (i = n_victims; i < s->victims->len; i++)
    ((FleetJob *)g_ptr_array_index (s->victims, i))->mark = 0;
  for (i = n_victims; i < s->victims->len; i++)
    refresh_victim (s, g_ptr_array_index (s->victims, i));
  g_ptr_array_set_size (s->victims, (gint)n_victims);
  find_spot (s, w);
}

static void
ban_spot (Search *s, FleetWorker *w, guint first)
{
  Ban ban = { .worker = w, .first = first };

  s->banned[w->index] |= 1ULL << first;
  g_array_append_val (s->bans, ban);
  find_spot (s, w);
}

static void
lift_bans (Search *s, guint n)
{
  while (s->bans->len > n)
    {
      const Ban *b = &g_array_index (s->bans, Ban, s->bans->len - 1);
      FleetWorker *w = b->worker;

      s->banned[w->index] &= ~(1ULL << b->first);
      g_array_set_size (s->bans, s->bans->len - 1);
      find_spot (s, w);
    }
}

/* Finds places for the parts from AT on, each the cheapest at its turn; one
   that leads nowhere is given up, within a bound.  LAST has the part
   before. */
static gboolean
pick_from (Search *s, guint at, const FleetWorker *last)
{
  guint n = s->ask->job->accelerators;
  guint n_bans = s->bans->len;
  FleetWorker *w;

  if (at == s->ask->job->parts)
    return TRUE;
  while ((w = best_spot (s, last)))
    {
      guint first = s->spots[w->index].first;
      guint n_victims = s->victims->len;
      guint bins[FLEET_MAX_ACCELERATORS + 1];

      memcpy (bins, s->bins, sizeof bins);
      if (keeps_room (s, w, first, at))
        {
          take_spot (s, w, at);
          if (pick_from (s, at + 1, w))
            return TRUE;
          if (++s->n_undone > RECLAIM_MAX_UNDONE)
            return FALSE;
          leave_spot (s, w, fleet_run_mask (first, n), n_victims);
          memcpy (s->bins, bins, sizeof bins);
          s->need[n] += s->guards_parts;
        }
      ban_spot (s, w, first);
    }
  lift_bans (s, n_bans);
  return FALSE;
}

/* Finds places for all parts.  That the parts left must always pack leads
   there straight, but misses places whose cores and memory belong to others
   and which the job doesn't need: these are for a second try. */
static gboolean
pick_places (Search *s)
{
  const Fleet *f = s->ask->fleet;
  guint i;

  for (s->guards_parts = 2; s->guards_parts-- > 0;)
    {
      for (i = 0; i < s->victims->len; i++)
        ((FleetJob *)g_ptr_array_index (s->victims, i))->mark = 0;
      g_ptr_array_set_size (s->victims, 0);
      reset (s);
      for (i = 0; i < f->workers->len; i++)
        find_spot (s, fleet_worker (f, i));
      if (pick_from (s, 0, NULL))
        return TRUE;
    }
  return FALSE;
}

static double
total_cost (const GPtrArray *victims, ClockMs now)
{
  double cost = 0;
  guint i;

  for (i = 0; i < victims->len; i++)
    cost += (double)fleet_stop_cost (g_ptr_array_index (victims, i), now);
  return cost;
}

/* Makes VICTIMS, without SPARED, the only ones, and places the job there. */
static gboolean
pick_within (Search *s, const GPtrArray *victims, const FleetJob *spared)
{
  guint i;

  s->chosen = ++s->ask->fleet->mark;
  s->only_these = TRUE;
  g_ptr_array_set_size (s->victims, 0);
  for (i = 0; i < victims->len; i++)
    {
      FleetJob *v = g_ptr_array_index (victims, i);

      if (v != spared)
        v->mark = s->chosen;
    }
  return pick_places (s);
}

static gint
compare_costs (gconstpointer a, gconstpointer b, gpointer data)
{
  const ClockMs *now = data;
  const FleetJob *x = *(FleetJob *const *)a;
  const FleetJob *y = *(FleetJob *const *)b;
  gint64 cx = fleet_stop_cost (x, *now);
  gint64 cy = fleet_stop_cost (y, *now);

  if (cx != cy)
    return cx > cy ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

static void
copy_places (FleetPart *to, const FleetPart *from, guint n)
{
  guint i;

  for (i = 0; i < n; i++)
    {
      to[i].worker = from[i].worker;
      to[i].first = from[i].first;
    }
}

/* Spares each of VICTIMS, the dearest first, that the others make up for,
   and leaves the job placed among the rest. */
static void
trim (Search *s, GPtrArray *victims)
{
  FleetJob *j = s->ask->job;
  FleetPart *best = g_new (FleetPart, j->parts);
  ClockMs now = s->ask->now;
  guint i = 0;

  copy_places (best, j->part, j->parts);
  g_ptr_array_sort_with_data (victims, compare_costs, &now);
  while (i < victims->len)
    if (pick_within (s, victims, g_ptr_array_index (victims, i)))
      {
        copy_places (best, j->part, j->parts);
        g_ptr_array_remove_index (victims, i);
      }
    else
      i++;
  copy_places (j->part, best, j->parts);
  g_free (best);
}

static void
search_init (Search *s, const ReclaimAsk *ask)
{
  guint n = ask->fleet->workers->len;

  *s = (Search) { .ask = ask,
                  .taken = g_new (guint64, n),
                  .banned = g_new (guint64, n),
                  .n_taken = g_new (guint, n),
                  .spots = g_new (Spot, n),
                  .bans = g_array_new (FALSE, FALSE, sizeof (Ban)),
                  .victims = g_ptr_array_new (),
                  .trial = g_ptr_array_new () };
}

static void
search_clear (Search *s)
{
  g_free (s->taken);
  g_free (s->banned);
  g_free (s->n_taken);
  g_free (s->spots);
  g_array_unref (s->bans);
  g_ptr_array_unref (s->victims);
  g_ptr_array_unref (s->trial);
}

/* Finds the work to stop so that the job of ASK, which has accelerators,
   fits: sets its parts' WORKER and FIRST, fills VICTIMS (of FleetJob) and
   sets COST to the lost milliseconds of accelerators.  What is being stopped
   already counts as gone.  Nothing is stopped or claimed.  Returns FALSE if
   no such set was found. */
gboolean
reclaim_find (const ReclaimAsk *ask, GPtrArray *victims, double *cost)
{
  Search s;
  gboolean found;

  search_init (&s, ask);
  s.chosen = ++ask->fleet->mark;
  g_ptr_array_set_size (victims, 0);
  found = pick_places (&s);
  if (found)
    {
      guint i;

      for (i = 0; i < s.victims->len; i++)
        g_ptr_array_add (victims, g_ptr_array_index (s.victims, i));
      if (ask->job->parts > 1 && victims->len <= RECLAIM_MAX_TRIM)
        trim (&s, victims);
      *cost = total_cost (victims, ask->now);
    }
  search_clear (&s);
  return found;
}
