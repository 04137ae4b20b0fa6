#include "reclaim.h"

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
  guint class;
  guint first;
} Ban;

/* Units that are alike are of one class: places of one do for the other. */
typedef struct Unit
{
  QuotaUnit of;
  guint class;
  guint part; /* its first */
  FleetWorker *worker;
  guint first;
} Unit;

typedef struct Search
{
  const ReclaimAsk *ask;
  guint chosen;        /* mark of the victims so far */
  gboolean only_these; /* no further victims */
  Unit *units;
  guint n_units;
  guint n_classes;
  const Unit *unit;   /* that the spots are for */
  guint64 *taken;     /* by worker: accelerators of units placed so far */
  guint64 *banned;    /* by class and worker: places that lead nowhere */
  guint *n_taken;     /* by worker: parts placed so far */
  Spot *spots;        /* by worker */
  guint guards_parts; /* 1: the units left must pack beside the guarantees */
  GArray *bans;       /* of Ban: what to lift on the way back */
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

/* Tells whether one more unit finds its cores and memory on W once the
   victims so far and those marked SEEN are gone. */
static gboolean
has_shares (const Search *s, const FleetWorker *w, guint seen)
{
  const FleetJob *j = s->ask->job;
  const FleetPart *p = NULL;
  gint64 n = s->n_taken[w->index] + s->unit->of.n_parts;
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

/* Returns where on W the unit at hand may lie. */
static guint64
room_for_unit (const Search *s, const FleetWorker *w)
{
  const QuotaUnit *u = &s->unit->of;
  guint64 barred = w->claimed | s->taken[w->index];

  if (!w->usable || (u->anchored && u->worker != w->index))
    return 0;
  if (u->anchored)
    return u->open & ~barred;
  return fleet_run_mask (0, w->accelerators) & ~(barred | w->held);
}

static guint64 *
bans_of (const Search *s, guint class, const FleetWorker *w)
{
  return &s->banned[class * s->ask->fleet->workers->len + w->index];
}

static guint64
unit_mask (const Search *s, guint first)
{
  return fleet_run_mask (first,
                         s->unit->of.n_parts * s->ask->job->accelerators);
}

/* Finds the cheapest place for the unit at hand on W; of equal ones that in
   the smallest run. */
static void
find_spot (Search *s, const FleetWorker *w)
{
  guint n = s->unit->of.hold;
  guint64 banned = *bans_of (s, s->unit->class, w);
  guint64 open = room_for_unit (s, w);
  Spot best = { .cost = -1 };

  while (open)
    {
      guint start = (guint)__builtin_ctzll (open);
      guint len = fleet_run_length (open);
      guint first;

      open &= ~fleet_run_mask (start, len);
      for (first = start; first + n <= start + len; first++)
        {
          double cost;

          if ((banned >> first & 1) || !try_spot (s, w, unit_mask (s, first)))
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

static void
find_spots (Search *s)
{
  const Fleet *f = s->ask->fleet;
  guint i;

  for (i = 0; i < f->workers->len; i++)
    find_spot (s, fleet_worker (f, i));
}

/* Makes U the unit at hand. */
static void
turn_to (Search *s, const Unit *u)
{
  gboolean same = s->unit && s->unit->class == u->class && !u->of.anchored;

  s->unit = u;
  if (!same)
    find_spots (s);
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

/* Changes the copy W as unit U in its place would. */
static void
try_unit (const Search *s, FleetWorker *w, const Unit *u, guint first)
{
  guint n = s->ask->job->accelerators;
  guint i;

  if (!u->of.anchored)
    fleet_try_region (w, fleet_run_mask (first, u->of.hold));
  for (i = 0; i < u->of.n_parts; i++)
    fleet_try_part (w, s->ask->job, FLEET_HOLD_EXTRA, first + i * n);
}

/* Moves the bins to what they are with the unit at hand at FIRST of W.
   Returns FALSE if W would break its promises. */
static gboolean
move_bins (Search *s, const FleetWorker *w, guint first)
{
  FleetWorker trial = *w;
  guint64 taken = s->taken[w->index];
  const Unit *u;

  if (!s->ask->need)
    {
      count_room (s, w, taken, -1);
      count_room (s, w, taken | unit_mask (s, first), 1);
      return TRUE;
    }
  for (u = s->units; u < s->unit; u++)
    if (u->worker == w)
      try_unit (s, &trial, u, u->first);
  fleet_count_bins (&trial, s->bins, -1);
  try_unit (s, &trial, s->unit, first);
  fleet_count_bins (&trial, s->bins, 1);
  return fleet_is_sound (&trial);
}

static void
guard (Search *s, const Unit *u, int sign)
{
  if (!u->of.anchored && s->guards_parts)
    s->need[u->of.hold] += (guint)sign;
}

/* Tells whether the units left and, inside a guarantee, all guaranteed runs
   still pack with the unit at hand at FIRST of W; the bins follow if they
   do. */
static gboolean
keeps_room (Search *s, const FleetWorker *w, guint first)
{
  guint old[FLEET_MAX_ACCELERATORS + 1];
  gboolean is_sound;

  memcpy (old, s->bins, sizeof old);
  is_sound = move_bins (s, w, first);
  guard (s, s->unit, -1);
  if (is_sound && quota_pack (s->need, s->bins))
    return TRUE;
  guard (s, s->unit, 1);
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

static guint64
taken_mask (const Search *s, const Unit *u, guint first)
{
  return u->of.anchored ? unit_mask (s, first)
                        : fleet_run_mask (first, u->of.hold);
}

static void
set_parts (const Search *s, const Unit *u)
{
  FleetJob *j = s->ask->job;
  guint i;

  for (i = 0; i < u->of.n_parts; i++)
    {
      FleetPart *part = &j->part[u->part + i];

      part->job = j;
      part->worker = u->worker->index;
      part->first = (guint8)(u->first + i * j->accelerators);
      part->region = (guint8)u->first;
    }
}

static void
take_spot (Search *s, Unit *u, FleetWorker *w)
{
  guint first = s->spots[w->index].first;
  guint old = s->victims->len;
  guint i;

  try_spot (s, w, unit_mask (s, first));
  for (i = 0; i < s->trial->len; i++)
    {
      FleetJob *v = g_ptr_array_index (s->trial, i);

      v->mark = s->chosen;
      g_ptr_array_add (s->victims, v);
    }
  u->worker = w;
  u->first = first;
  set_parts (s, u);
  s->taken[w->index] |= taken_mask (s, u, first);
  s->n_taken[w->index] += u->of.n_parts;
  find_spot (s, w);
  for (i = old; i < s->victims->len; i++)
    refresh_victim (s, g_ptr_array_index (s->victims, i));
}

/* Undoes take_spot of U; N_VICTIMS had been chosen before. */
static void
leave_spot (Search *s, Unit *u, guint n_victims)
{
  guint i;

  turn_to (s, u);
  s->taken[u->worker->index] &= ~taken_mask (s, u, u->first);
  s->n_taken[u->worker->index] -= u->of.n_parts;
  for (i = n_victims; i < s->victims->len; i++)
    ((FleetJob *)g_ptr_array_index (s->victims, i))->mark = 0;
  for (i = n_victims; i < s->victims->len; i++)
    refresh_victim (s, g_ptr_array_index (s->victims, i));
  g_ptr_array_set_size (s->victims, (gint)n_victims);
  find_spot (s, u->worker);
}

static void
ban_spot (Search *s, FleetWorker *w, guint first)
{
  Ban ban = { .worker = w, .class = s->unit->class, .first = first };

  *bans_of (s, ban.class, w) |= 1ULL << first;
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

      *bans_of (s, b->class, w) &= ~(1ULL << b->first);
      g_array_set_size (s->bans, s->bans->len - 1);
      find_spot (s, w);
    }
}

/* Finds places for the units from AT on, each the cheapest at its turn; one
   that leads nowhere is given up, within a bound.  LAST has the unit
   before. */
static gboolean
pick_from (Search *s, guint at, const FleetWorker *last)
{
  Unit *u = &s->units[at];
  guint n_bans = s->bans->len;
  FleetWorker *w;

  if (at == s->n_units)
    return TRUE;
  turn_to (s, u);
  while ((w = best_spot (s, last)))
    {
      guint first = s->spots[w->index].first;
      guint n_victims = s->victims->len;
      guint bins[FLEET_MAX_ACCELERATORS + 1];

      memcpy (bins, s->bins, sizeof bins);
      if (keeps_room (s, w, first))
        {
          take_spot (s, u, w);
          if (pick_from (s, at + 1, w))
            return TRUE;
          if (++s->n_undone > RECLAIM_MAX_UNDONE)
            return FALSE;
          leave_spot (s, u, n_victims);
          memcpy (s->bins, bins, sizeof bins);
          guard (s, u, 1);
        }
      ban_spot (s, w, first);
    }
  lift_bans (s, n_bans);
  return FALSE;
}

static void
reset (Search *s)
{
  const ReclaimAsk *ask = s->ask;
  guint n = ask->fleet->workers->len;
  guint i;

  for (i = 0; i < s->victims->len; i++)
    ((FleetJob *)g_ptr_array_index (s->victims, i))->mark = 0;
  g_ptr_array_set_size (s->victims, 0);
  g_array_set_size (s->bans, 0);
  s->n_undone = 0;
  s->unit = NULL;
  memset (s->taken, 0, n * sizeof *s->taken);
  memset (s->banned, 0, (gsize)n * s->n_classes * sizeof *s->banned);
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
  for (i = 0; i < s->n_units; i++)
    guard (s, &s->units[i], 1);
}

/* Finds places for all units.  That the units left must always pack leads
   there straight, but misses places whose cores and memory belong to others
   and which the job doesn't need: these are for a second try. */
static gboolean
pick_places (Search *s)
{
  for (s->guards_parts = 2; s->guards_parts-- > 0;)
    {
      reset (s);
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
      to[i].region = from[i].region;
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

/* Makes the units of the search: those of the guarantee, or each part by
   itself. */
static void
make_units (Search *s)
{
  const ReclaimAsk *ask = s->ask;
  guint part = 0;
  guint i;

  s->n_units = ask->units ? ask->n_units : ask->job->parts;
  s->units = g_new0 (Unit, s->n_units + 1);
  for (i = 0; i < s->n_units; i++)
    {
      Unit *u = &s->units[i];

      u->of = (QuotaUnit) { .n_parts = 1, .hold = ask->job->accelerators };
      if (ask->units)
        u->of = ask->units[i];
      u->part = part;
      part += u->of.n_parts;
      if (i == 0 || u->of.hold != u[-1].of.hold ||
          u->of.n_parts != u[-1].of.n_parts ||
          u->of.anchored != u[-1].of.anchored)
        s->n_classes++;
      u->class = s->n_classes - 1;
    }
}

static void
search_init (Search *s, const ReclaimAsk *ask)
{
  guint n = ask->fleet->workers->len;

  *s = (Search) { .ask = ask,
                  .taken = g_new (guint64, n),
                  .n_taken = g_new (guint, n),
                  .spots = g_new (Spot, n),
                  .bans = g_array_new (FALSE, FALSE, sizeof (Ban)),
                  .victims = g_ptr_array_new (),
                  .trial = g_ptr_array_new () };
  make_units (s);
  s->banned = g_new (guint64, (gsize)n * s->n_classes);
}

static void
search_clear (Search *s)
{
  g_free (s->units);
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
