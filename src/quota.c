#include "quota.h"

#include <string.h>

enum
{
  QUOTA_SIZES = FLEET_MAX_ACCELERATORS + 1,
  QUOTA_SEARCH_STEPS = 2000
};

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

/* Puts N runs of SIZE into the bins of B that fit best.  Returns how many
   remain without a bin. */
static guint
pack_size (guint *bins, guint size, guint n)
{
  guint b;

  for (b = size; b < QUOTA_SIZES && n > 0; b++)
    {
      guint each = b / size;
      guint full = MIN (bins[b], n / each);

      bins[b] -= full;
      bins[b - each * size] += full;
      n -= full * each;
      if (n > 0 && n < each && bins[b] > 0)
        {
          bins[b]--;
          bins[b - n * size]++;
          n = 0;
        }
    }
  return n;
}

static gboolean
pack_greedy (const guint *need, const guint *bins)
{
  guint left[QUOTA_SIZES];
  guint size;

  memcpy (left, bins, sizeof left);
  for (size = FLEET_MAX_ACCELERATORS; size > 0; size--)
    if (need[size] && pack_size (left, size, need[size]))
      return FALSE;
  return TRUE;
}

/* Tells whether each size in NEED divides the next larger one.  Largest
   first is exact then: a run of one size takes the same room from the
   smaller ones in whichever bin it lies. */
static gboolean
is_chain (const guint *need)
{
  guint last = 0;
  guint size;

  for (size = 1; size < QUOTA_SIZES; size++)
    if (need[size])
      {
        if (last && size % last)
          return FALSE;
        last = size;
      }
  return TRUE;
}

typedef struct Search
{
  guint need[QUOTA_SIZES];
  guint bins[QUOTA_SIZES];
  guint steps;
} Search;

/* Tries every bin for each run, those of one size from bin size MOST
   down. */
static gboolean
pack_search (Search *s, guint size, guint most)
{
  guint b;

  while (size > 0 && !s->need[size])
    {
      size--;
      most = FLEET_MAX_ACCELERATORS;
    }
  if (size == 0)
    return TRUE;
  for (b = most; b >= size && s->steps < QUOTA_SEARCH_STEPS; b--)
    {
      gboolean found;

      if (!s->bins[b])
        continue;
      s->steps++;
      s->need[size]--;
      s->bins[b]--;
      s->bins[b - size]++;
      found = pack_search (s, size, b);
      s->bins[b - size]--;
      s->bins[b]++;
      s->need[size]++;
      if (found)
        return TRUE;
    }
  return FALSE;
}

static gboolean
has_volume (const guint *need, const guint *bins)
{
  guint64 wanted = 0;
  guint64 there = 0;
  guint i;

  for (i = 1; i < QUOTA_SIZES; i++)
    {
      wanted += (guint64)need[i] * i;
      there += (guint64)bins[i] * i;
    }
  return wanted <= there;
}

/* Tells whether NEED[N] runs of N accelerators, for all N, fit side by side
   into BINS[N] runs of N.  Exact when each size divides the next larger;
   otherwise the search for a packing is bounded, and FALSE may be wrong. */
gboolean
quota_pack (const guint *need, const guint *bins)
{
  Search s;

  if (!has_volume (need, bins))
    return FALSE;
  if (pack_greedy (need, bins))
    return TRUE;
  if (is_chain (need))
    return FALSE;
  memcpy (s.need, need, sizeof s.need);
  memcpy (s.bins, bins, sizeof s.bins);
  s.steps = 0;
  return pack_search (&s, FLEET_MAX_ACCELERATORS, FLEET_MAX_ACCELERATORS);
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

/* Splits the guarantees of the N rows by domain: the largest gangs first,
   each whole to the domain with the most room left.  It depends on the
   table and the inventory alone, so every host finds the same.  Sets RUNS[I]
   to the sizes (guint8) that row I is guaranteed in DOMAIN, each to be
   unreferenced.  Returns how many accelerators no domain could hold. */
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
  else if (run->unused)
    q->need[run->unused] += (guint)sign;
}

/* Gives WORKSPACE the runs of SIZES (guint8, largest first), all unused and
   upheld: charges are made anew, and quota_refit follows. */
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
      QuotaRun run = { .size = size, .unused = size };

      g_array_append_val (w->runs, run);
      count_run (q, &run, 1);
      w->accelerators += size;
    }
}

/* Returns the run of W that is least above N unused accelerators, or -1. */
static int
best_run (const QuotaWorkspace *w, guint n)
{
  int best = -1;
  guint i;

  for (i = 0; i < w->runs->len; i++)
    {
      const QuotaRun *run = run_at (w, i);

      if (run->is_short || run->unused < n)
        continue;
      if (best < 0 || run->unused < run_at (w, (guint)best)->unused)
        best = (int)i;
    }
  return best;
}

static void
change_unused (Quota *q, QuotaRun *run, int by)
{
  count_run (q, run, -1);
  run->unused = (guint8)(run->unused + by);
  count_run (q, run, 1);
}

/* Charges all parts of J to unused runs of its workspace that are upheld.
   Returns FALSE, with nothing charged, if they don't hold J. */
gboolean
quota_charge (Quota *q, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  if (j->accelerators == 0)
    return FALSE;
  for (i = 0; i < j->parts; i++)
    {
      int k = best_run (w, j->accelerators);

      if (k < 0)
        break;
      change_unused (q, run_at (w, (guint)k), -(int)j->accelerators);
      j->part[i].slot = k;
    }
  if (i == j->parts)
    return TRUE;
  quota_discharge (q, j);
  return FALSE;
}

/* Takes the charges of J back. */
void
quota_discharge (Quota *q, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  for (i = 0; i < j->parts; i++)
    {
      if (j->part[i].slot != FLEET_NO_SLOT)
        change_unused (q, run_at (w, (guint)j->part[i].slot),
                       (int)j->accelerators);
      j->part[i].old_slot = j->part[i].slot;
      j->part[i].slot = FLEET_NO_SLOT;
    }
}

/* Undoes the discharge of J; nothing was charged to its workspace since. */
void
quota_recharge (Quota *q, FleetJob *j)
{
  QuotaWorkspace *w = workspace_at (q, j->workspace);
  guint i;

  for (i = 0; i < j->parts; i++)
    {
      j->part[i].slot = j->part[i].old_slot;
      if (j->part[i].slot != FLEET_NO_SLOT)
        change_unused (q, run_at (w, (guint)j->part[i].slot),
                       -(int)j->accelerators);
    }
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
      sum += run_at (w, i)->unused;
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
      sum += run_at (w, i)->unused;
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
      upheld[at] -= run->unused;
    }
  g_free (next);
  g_free (upheld);
}

/* Upholds as much as F can hold now: all of it if possible; otherwise run
   by run, always for the workspace of which the least part is upheld so
   far.  What is in use stays upheld. */
void
quota_refit (Quota *q, const Fleet *f)
{
  guint i;
  guint k;

  if (q->n_short == 0 && quota_holds (q, f))
    return;
  for (i = 0; i < q->workspaces->len; i++)
    {
      QuotaWorkspace *w = g_ptr_array_index (q->workspaces, i);

      for (k = 0; k < w->runs->len; k++)
        set_short (q, run_at (w, k), run_at (w, k)->unused > 0);
    }
  refit_fairly (q, f);
}
