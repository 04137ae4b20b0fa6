#include "quota.h"

#include <string.h>

/* Makes INV an inventory without workers. */
void
quota_inventory_init (QuotaInventory *inv)
{
  inv->domains = g_ptr_array_new_with_free_func (g_free);
  inv->workers = g_array_new (FALSE, TRUE, sizeof (guint[QUOTA_SIZES]));
}

/* Releases what INV holds. */
void
quota_inventory_clear (QuotaInventory *inv)
{
  g_ptr_array_unref (inv->domains);
  g_array_unref (inv->workers);
}

static guint *
inventory_bins (const QuotaInventory *inv, guint domain)
{
  return (guint *)(gpointer)(inv->workers->data +
                             domain * sizeof (guint[QUOTA_SIZES]));
}

/* Adds a worker of DOMAIN. */
void
quota_inventory_add (QuotaInventory *inv,
                     const char *domain,
                     guint accelerators)
{
  static const guint empty[QUOTA_SIZES];
  guint i = 0;
  int order = 1;

  while (i < inv->domains->len &&
         (order = strcmp (g_ptr_array_index (inv->domains, i), domain)) < 0)
    i++;
  if (order != 0)
    {
      g_ptr_array_insert (inv->domains, (gint)i, g_strdup (domain));
      g_array_insert_vals (inv->workers, i, empty, 1);
    }
  inventory_bins (inv, i)[MIN (accelerators, FLEET_MAX_ACCELERATORS)]++;
}

static void
workspace_free (gpointer p)
{
  QuotaWorkspace *w = p;

  g_array_unref (w->runs);
  g_free (w);
}

/* Makes Q a quota without guarantees. */
void
quota_init (Quota *q)
{
  memset (q, 0, sizeof *q);
  q->workspaces = g_ptr_array_new_with_free_func (workspace_free);
}

/* Releases what Q holds. */
void
quota_clear (Quota *q)
{
  g_ptr_array_unref (q->workspaces);
}

static QuotaWorkspace *
workspace_at (Quota *q, guint i)
{
  while (q->workspaces->len <= i)
    {
      QuotaWorkspace *w = g_new0 (QuotaWorkspace, 1);

      w->runs = g_array_new (FALSE, TRUE, sizeof (QuotaRun));
      g_ptr_array_add (q->workspaces, w);
    }
  return g_ptr_array_index (q->workspaces, i);
}

static QuotaRun *
run_at (const QuotaWorkspace *w, guint i)
{
  return &g_array_index (w->runs, QuotaRun, i);
}

/* Returns the guarantee of workspace I here, or NULL if it has none. */
const QuotaWorkspace *
quota_workspace (const Quota *q, guint i)
{
  return i < q->workspaces->len ? g_ptr_array_index (q->workspaces, i) : NULL;
}

/* Tells whether all that is upheld and unused can be reclaimed in F. */
gboolean
quota_holds (const Quota *q, const Fleet *f)
{
  return quota_pack (q->need, f->bins);
}

/* The greatest worker of a domain, by which larger gangs are cut. */
static guint
greatest_worker (const guint *bins)
{
  guint size = FLEET_MAX_ACCELERATORS;

  while (size > 0 && !bins[size])
    size--;
  return size;
}

static void
add_shape (guint *need, guint size, guint unit, guint n)
{
  need[unit] += n * (size / unit);
  if (size % unit)
    need[size % unit] += n;
}

typedef struct Split
{
  const QuotaInventory *inv;
  guint (*need)[QUOTA_SIZES]; /* by domain: given out so far */
  guint *room;                /* by domain: accelerators left */
} Split;

static guint
room_of (const guint *bins)
{
  guint sum = 0;
  guint i;

  for (i = 1; i < QUOTA_SIZES; i++)
    sum += bins[i] * i;
  return sum;
}

/* Gives one gang of SIZE to the domain with the most room that can hold it
   besides what it has.  Returns the domain, or the number of domains if
   none can. */
static guint
split_one (Split *s, guint size)
{
  guint n = s->inv->domains->len;
  guint best = n;
  guint d;

  for (d = 0; d < n; d++)
    {
      const guint *bins = inventory_bins (s->inv, d);
      guint unit = greatest_worker (bins);
      guint need[QUOTA_SIZES];

      if (unit == 0 || s->room[d] < size ||
          (best < n && s->room[d] <= s->room[best]))
        continue;
      memcpy (need, s->need[d], sizeof need);
      add_shape (need, size, unit, 1);
      if (quota_pack (need, bins))
        best = d;
    }
  if (best == n)
    return n;
  add_shape (s->need[best], size,
             greatest_worker (inventory_bins (s->inv, best)), 1);
  s->room[best] -= size;
  return best;
}

/* One gang of a guarantee. */
typedef struct Gang
{
  guint size;
  guint row;
  const char *name;
} Gang;

static gint
compare_gangs (gconstpointer a, gconstpointer b)
{
  const Gang *x = a;
  const Gang *y = b;

  if (x->size != y->size)
    return x->size > y->size ? -1 : 1;
  return strcmp (x->name, y->name);
}

static GArray *
collect_gangs (const Workspace *const *rows, guint n)
{
  GArray *gangs = g_array_new (FALSE, FALSE, sizeof (Gang));
  guint i;
  guint k;
  gint64 c;

  for (i = 0; i < n; i++)
    for (k = 0; k < rows[i]->n_shapes; k++)
      for (c = 0; c < rows[i]->guarantee[k].count; c++)
        {
          Gang g = { .size = (guint)rows[i]->guarantee[k].size,
                     .row = i,
                     .name = rows[i]->name };

          if (g.size > 0)
            g_array_append_val (gangs, g);
        }
  g_array_sort (gangs, compare_gangs);
  return gangs;
}

static void
append_runs (GArray *runs, guint size, guint unit)
{
  guint8 whole = (guint8)unit;
  guint8 rest = (guint8)(size % unit);
  guint i;

  for (i = 0; i < size / unit; i++)
    g_array_append_val (runs, whole);
  if (rest)
    g_array_append_val (runs, rest);
}

static gint
compare_sizes (gconstpointer a, gconstpointer b)
{
  return *(const guint8 *)b - *(const guint8 *)a;
}

/* Splits the guarantees of the N rows by domain: the largest gangs first,
   each whole to the domain with the most room left.  It depends on the
   table and the inventory alone, so every host finds the same.  Sets RUNS[I]
   to the sizes (guint8, largest first) that row I is guaranteed in DOMAIN,
   each to be unreferenced.  Returns how many accelerators no domain could hold.
 */
guint
quota_split (const QuotaInventory *inv,
             const Workspace *const *rows,
             guint n,
             const char *domain,
             GArray **runs)
{
  guint n_domains = inv->domains->len;
  Split s = { .inv = inv,
              .need = g_malloc0 ((n_domains + 1) * sizeof *s.need),
              .room = g_new0 (guint, n_domains + 1) };
  GArray *gangs = collect_gangs (rows, n);
  guint unplaced = 0;
  guint i;

  for (i = 0; i < n; i++)
    runs[i] = g_array_new (FALSE, FALSE, sizeof (guint8));
  for (i = 0; i < n_domains; i++)
    s.room[i] = room_of (inventory_bins (inv, i));
  for (i = 0; i < gangs->len; i++)
    {
      const Gang *g = &g_array_index (gangs, Gang, i);
      guint d = split_one (&s, g->size);

      if (d == n_domains)
        unplaced += g->size;
      else if (strcmp (g_ptr_array_index (inv->domains, d), domain) == 0)
        append_runs (runs[g->row], g->size,
                     greatest_worker (inventory_bins (inv, d)));
    }
  for (i = 0; i < n; i++)
    g_array_sort (runs[i], compare_sizes);
  g_array_unref (gangs);
  g_free (s.need);
  g_free (s.room);
  return unplaced;
}

static void
count_run (Quota *q, const QuotaRun *run, int sign)
{
  if (run->is_short)
    q->n_short += (guint)sign;
  else if (!run->used)
    q->need[run->size] += (guint)sign;
}

/* Tells whether WORKSPACE has just the runs of SIZES. */
gboolean
quota_has_runs (const Quota *q, guint workspace, const GArray *sizes)
{
  const QuotaWorkspace *w = quota_workspace (q, workspace);
  guint n = sizes ? sizes->len : 0;
  guint i;

  if ((w ? w->runs->len : 0) != n)
    return FALSE;
  for (i = 0; i < n; i++)
    if (run_at (w, i)->size != g_array_index (sizes, guint8, i))
      return FALSE;
  return TRUE;
}

/* Tells whether PARTS of ACCELERATORS each would fit into the guarantee of
   WORKSPACE if none of it were in use. */
gboolean
quota_fits_when_empty (const Quota *q,
                       guint workspace,
                       guint parts,
                       guint accelerators)
{
  const QuotaWorkspace *w = quota_workspace (q, workspace);
  guint n = 0;
  guint i;

  for (i = 0; w && i < w->runs->len; i++)
    n += run_at (w, i)->size / accelerators;
  return n >= parts;
}

/* Gives WORKSPACE the runs of SIZES (guint8, largest first), all upheld and
   none anchored: its jobs were discharged before and are charged anew, and
   quota_fit_to_fleet follows. */
void
quota_set_runs (Quota *q, guint workspace, const GArray *sizes)
{
  QuotaWorkspace *w = workspace_at (q, workspace);
  guint i;

  for (i = 0; i < w->runs->len; i++)
    count_run (q, run_at (w, i), -1);
  g_array_set_size (w->runs, 0);
  w->accelerators = 0;
  for (i = 0; sizes && i < sizes->len; i++)
    {
      guint8 size = g_array_index (sizes, guint8, i);
      QuotaRun run = { .size = size };

      g_array_append_val (w->runs, run);
      count_run (q, &run, 1);
      w->accelerators += size;
    }
}

static guint64
region_of (const QuotaRun *run)
{
  return fleet_run_mask (run->first, run->size);
}

/* Assigns parts from AT on to what is left of anchored runs of W. */
static guint
fill_anchored (const QuotaWorkspace *w, FleetJob *j, GArray *units)
{
  guint at = 0;
  guint i;

  for (i = 0; i < w->runs->len && at < j->parts; i++)
    {
      const QuotaRun *run = run_at (w, i);
      QuotaUnit unit = { .n_parts = 1,
                         .hold = j->accelerators,
                         .anchored = TRUE,
                         .worker = run->worker,
                         .open = region_of (run) & ~run->used };
      guint n = run->used ? fleet_parts_in (unit.open, j->accelerators) : 0;

      for (n = MIN (n, j->parts - at); n > 0; n--)
        {
          j->part[at++].slot = (gint32)i;
          g_array_append_val (units, unit);
        }
    }
  return at;
}

static gboolean
is_assigned (const FleetJob *j, guint at, guint run)
{
  return at > 0 && j->part[at - 1].slot == (gint32)run;
}

/* Returns the smallest run of W that is upheld, not anchored, not assigned
   to parts of J before AT, and holds a part; -1 if there is none. */
static int
smallest_run (const QuotaWorkspace *w, const FleetJob *j, guint at)
{
  guint i;

  /* Runs are in order of size, and assigned from the small end. */
  for (i = w->runs->len; i > 0; i--)
    {
      const QuotaRun *run = run_at (w, i - 1);

      if (run->is_short || run->used || run->size < j->accelerators)
        continue;
      if (at > 0 && j->part[at - 1].slot != FLEET_NO_SLOT &&
          !run_at (w, (guint)j->part[at - 1].slot)->used &&
          i - 1 >= (guint)j->part[at - 1].slot)
        continue;
      return (int)(i - 1);
    }
  return -1;
}

/* Assigns all parts of J to runs of its workspace that are upheld: sets
   their SLOT and appends QuotaUnits to UNITS.  Nothing is anchored yet.
   Returns FALSE, with no slot set, if the runs don't hold J. */
gboolean
quota_charge (const Quota *q, FleetJob *j, GArray *units)
{
  const QuotaWorkspace *w = quota_workspace (q, j->workspace);
  guint at;
  guint i;

  g_array_set_size (units, 0);
  if (j->accelerators == 0 || !w)
    return FALSE;
  at = fill_anchored (w, j, units);
  while (at < j->parts)
    {
      int k = smallest_run (w, j, at);
      QuotaUnit unit = { 0 };

      if (k < 0)
        break;
      unit.hold = run_at (w, (guint)k)->size;
      unit.n_parts = MIN (unit.hold / j->accelerators, j->parts - at);
      g_array_append_val (units, unit);
      for (i = 0; i < unit.n_parts; i++)
        j->part[at++].slot = k;
    }
  for (i = 0; at < j->parts && i < j->parts; i++)
    j->part[i].slot = FLEET_NO_SLOT;
  return at == j->parts;
}

/* Sets NEED to the runs that must still pack once J, which is assigned, has
   anchored its own. */
void
quota_need_without (const Quota *q, const FleetJob *j, guint *need)
{
  const QuotaWorkspace *w = quota_workspace (q, j->workspace);
  guint i;

  memcpy (need, q->need, sizeof q->need);
  for (i = 0; i < j->parts; i++)
    if (j->part[i].slot != FLEET_NO_SLOT &&
        !is_assigned (j, i, (guint)j->part[i].slot))
      {
        const QuotaRun *run = run_at (w, (guint)j->part[i].slot);

        if (!run->used)
          need[run->size]--;
      }
}

static guint64
part_mask (const FleetPart *part)
{
  return fleet_run_mask (part->first, part->job->accelerators);
}

static void
charge_part (Quota *q, Fleet *f, QuotaRun *run, FleetPart *part)
{
  if (!run->used)
    {
      count_run (q, run, -1);
      run->is_short = 0;
      run->worker = part->worker;
      run->first = part->region;
      fleet_hold_region (f, run->worker, region_of (run), 1);
    }
  part->region = run->first;
  run->used |= part_mask (part);
}

static void
discharge_part (Quota *q, Fleet *f, QuotaRun *run, FleetPart *part)
{
  run->used &= ~part_mask (part);
  if (run->used)
    return;
  fleet_hold_region (f, run->worker, region_of (run), -1);
  count_run (q, run, 1);
}

/* Anchors what J is assigned to where its parts' WORKER, FIRST and REGION
   say; it then takes its place in F. */
void
quota_anchor (Quota *q, Fleet *f, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  for (i = 0; i < j->parts; i++)
    if (j->part[i].slot != FLEET_NO_SLOT)
      charge_part (q, f, run_at (w, (guint)j->part[i].slot), &j->part[i]);
}

/* Undoes quota_anchor; J has left its place in F, or is moved out of its
   guarantee next. */
void
quota_discharge (Quota *q, Fleet *f, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  for (i = 0; i < j->parts; i++)
    {
      FleetPart *part = &j->part[i];

      if (part->slot != FLEET_NO_SLOT)
        discharge_part (q, f, run_at (w, (guint)part->slot), part);
      part->slot = FLEET_NO_SLOT;
    }
}

/* Returns an anchored run of W whose region has PART, which isn't charged,
   or -1. */
static int
run_around (const QuotaWorkspace *w, const FleetPart *part)
{
  guint64 mask = part_mask (part);
  guint i;

  for (i = 0; i < w->runs->len; i++)
    {
      const QuotaRun *run = run_at (w, i);

      if (run->used && run->worker == part->worker && !(run->used & mask) &&
          (region_of (run) & mask) == mask)
        return (int)i;
    }
  return -1;
}

/* Sets the region of PART to a place of SIZE accelerators around it of which
   nothing is held, by multiples of SIZE if possible. */
static gboolean
find_region (const Fleet *f, FleetPart *part, guint size)
{
  const FleetWorker *w = fleet_worker (f, part->worker);
  guint last = part->first;
  guint n = part->job->accelerators;
  guint k;

  if (size > w->accelerators)
    return FALSE;
  for (k = 0; k <= last; k++)
    {
      guint first = k == 0 ? last / size * size : last - k + 1;

      if (first + size <= w->accelerators && first + size >= last + n &&
          !(w->held & fleet_run_mask (first, size)))
        {
          part->region = (guint8)first;
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
charge_in_place (Quota *q, Fleet *f, QuotaWorkspace *w, FleetPart *part)
{
  int k = run_around (w, part);
  guint i;

  for (i = w->runs->len; i > 0 && k < 0; i--)
    {
      const QuotaRun *run = run_at (w, i - 1);

      if (!run->used && !run->is_short &&
          run->size >= part->job->accelerators &&
          find_region (f, part, run->size))
        k = (int)(i - 1);
    }
  if (k < 0)
    return FALSE;
  part->slot = k;
  charge_part (q, f, run_at (w, (guint)k), part);
  return TRUE;
}

/* Charges J, whose parts have their WORKER and FIRST set and unclaimed, to the
   runs that contain them.  Returns FALSE, with nothing charged, if there are
   none.  The caller has to check the invariant. */
gboolean
quota_charge_at (Quota *q, Fleet *f, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  if (j->accelerators == 0)
    return FALSE;
  for (i = 0; i < j->parts; i++)
    if (!charge_in_place (q, f, w, &j->part[i]))
      {
        quota_discharge (q, f, j);
        return FALSE;
      }
  return TRUE;
}

static guint
unused_of (const QuotaRun *run)
{
  return run->size - (guint)__builtin_popcountll (run->used);
}

/* Returns how many accelerators of its guarantee WORKSPACE doesn't use. */
guint
quota_unused (const Quota *q, guint workspace)
{
  const QuotaWorkspace *w = quota_workspace (q, workspace);
  guint sum = 0;
  guint i;

  for (i = 0; w && i < w->runs->len; i++)
    if (!run_at (w, i)->is_short)
      sum += unused_of (run_at (w, i));
  return sum;
}

/* Returns how many accelerators of its guarantee aren't upheld. */
guint
quota_short (const Quota *q, guint workspace)
{
  const QuotaWorkspace *w = quota_workspace (q, workspace);
  guint sum = 0;
  guint i;

  for (i = 0; w && i < w->runs->len; i++)
    if (run_at (w, i)->is_short)
      sum += unused_of (run_at (w, i));
  return sum;
}

static void
set_short (Quota *q, QuotaRun *run, gboolean is_short)
{
  count_run (q, run, -1);
  run->is_short = (guint8)is_short;
  count_run (q, run, 1);
}

/* Returns the workspace of which the least part is upheld and that has a
   run left to try, or NULL. */
static QuotaWorkspace *
least_upheld (const Quota *q, const guint *next, const guint *upheld, guint *at)
{
  QuotaWorkspace *least = NULL;
  guint i;

  for (i = 0; i < q->workspaces->len; i++)
    {
      QuotaWorkspace *w = g_ptr_array_index (q->workspaces, i);

      if (next[i] >= w->runs->len)
        continue;
      if (least && (guint64)upheld[i] * least->accelerators >=
                       (guint64)upheld[*at] * w->accelerators)
        continue;
      least = w;
      *at = i;
    }
  return least;
}

static void
refit_fairly (Quota *q, const Fleet *f)
{
  guint n = q->workspaces->len;
  guint *next = g_new0 (guint, n + 1);
  guint *upheld = g_new0 (guint, n + 1);
  QuotaWorkspace *w;
  guint at = 0;

  while ((w = least_upheld (q, next, upheld, &at)))
    {
      QuotaRun *run = run_at (w, next[at]++);

      upheld[at] += run->size;
      if (!run->is_short)
        continue;
      set_short (q, run, FALSE);
      if (quota_holds (q, f))
        continue;
      set_short (q, run, TRUE);
      upheld[at] -= run->size;
    }
  g_free (next);
  g_free (upheld);
}

/* Guarantees as many runs as F has room for: all if possible, otherwise one at
   a time, each for the workspace with the smallest guaranteed share so far.
   Runs in use stay guaranteed. */
void
quota_fit_to_fleet (Quota *q, const Fleet *f)
{
  guint i;
  guint k;

  if (q->n_short == 0 && quota_holds (q, f))
    return;
  for (i = 0; i < q->workspaces->len; i++)
    {
      QuotaWorkspace *w = g_ptr_array_index (q->workspaces, i);

      for (k = 0; k < w->runs->len; k++)
        set_short (q, run_at (w, k), !run_at (w, k)->used);
    }
  refit_fairly (q, f);
}
