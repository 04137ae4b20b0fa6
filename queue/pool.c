#include "pool.h"

#include "work.h"

#include <string.h>

/* Returns a new entry with only the worker ID set. */
PoolEntry *
pool_entry_new (const char *id)
{
  PoolEntry *e = g_new0 (PoolEntry, 1);

  e->id = g_strdup (id);
  e->labels = g_ptr_array_new_with_free_func (g_free);
  return e;
}

/* Releases ENTRY, a PoolEntry. */
void
pool_entry_free (gpointer entry)
{
  PoolEntry *e = entry;

  if (!e)
    return;
  g_free (e->id);
  g_free (e->service);
  g_free (e->address);
  g_free (e->domain);
  g_free (e->rack);
  g_ptr_array_unref (e->labels);
  g_free (e);
}

static void
late_start_free (gpointer p)
{
  PoolLateStart *start = p;

  g_free (start->task);
  g_free (start);
}

static void
add_start (GPtrArray *starts, char *task, gint64 run, ClockMs expires)
{
  PoolLateStart *start = g_new0 (PoolLateStart, 1);

  start->task = task;
  start->run = run;
  start->expires = expires;
  g_ptr_array_add (starts, start);
}

/* Records that an order to start RUN of TASK may still be executed on W
   until EXPIRES.  Takes ownership of TASK, the task's name. */
void
pool_add_late_start (PoolWorker *w, char *task, gint64 run, ClockMs expires)
{
  add_start (w->late_starts, task, run, expires);
}

/* Like pool_add_late_start, for the worker with the id WORKER, which need not
   be in P. */
void
pool_add_late_start_of (Pool *p,
                        const char *worker,
                        const char *task,
                        gint64 run,
                        ClockMs expires)
{
  const PoolWorker *w = pool_find (p, worker);
  GPtrArray *starts =
      w ? w->late_starts : g_hash_table_lookup (p->departed, worker);

  if (!starts)
    {
      starts = g_ptr_array_new_with_free_func (late_start_free);
      g_hash_table_insert (p->departed, g_strdup (worker), starts);
    }
  add_start (starts, g_strdup (task), run, expires);
}

/* Returns the I-th late start of W. */
PoolLateStart *
pool_late_start_at (const PoolWorker *w, guint i)
{
  return g_ptr_array_index (w->late_starts, i);
}

static void
expire (GPtrArray *starts, ClockMs now)
{
  guint i = starts->len;

  while (i--)
    if (((const PoolLateStart *)g_ptr_array_index (starts, i))->expires <= now)
      g_ptr_array_remove_index (starts, i);
}

/* Removes the late starts of W that have expired by NOW. */
void
pool_expire_late_starts (PoolWorker *w, ClockMs now)
{
  expire (w->late_starts, now);
}

static gboolean
has_expired (gpointer id, gpointer starts, gpointer now)
{
  (void)id;
  expire (starts, *(const ClockMs *)now);
  return ((const GPtrArray *)starts)->len == 0;
}

/* Keeps the late starts of W, which is removed from P at NOW. */
static void
keep_late_starts (Pool *p, PoolWorker *w, ClockMs now)
{
  g_hash_table_foreach_remove (p->departed, has_expired, &now);
  pool_expire_late_starts (w, now);
  if (w->late_starts->len > 0)
    g_hash_table_insert (p->departed, g_strdup (w->entry->id),
                         g_ptr_array_ref (w->late_starts));
}

/* Gives W, which is new in P, the late starts that it had before.  Its process
   has probably restarted. */
static void
take_late_starts (Pool *p, PoolWorker *w)
{
  GPtrArray *starts = g_hash_table_lookup (p->departed, w->entry->id);
  guint i;

  if (!starts)
    return;
  g_ptr_array_unref (w->late_starts);
  w->late_starts = g_ptr_array_ref (starts);
  for (i = 0; i < w->late_starts->len; i++)
    pool_late_start_at (w, i)->unwanted = TRUE;
  g_hash_table_remove (p->departed, w->entry->id);
}

/* Records that W's present process refuses a late start of RUN of the task with
   the name TASK. */
void
pool_late_start_refused (PoolWorker *w, const char *task, gint64 run)
{
  guint i;

  for (i = 0; i < w->late_starts->len; i++)
    {
      PoolLateStart *start = pool_late_start_at (w, i);

      if (start->run == run && strcmp (start->task, task) == 0)
        start->unwanted = FALSE;
    }
}

/* Tells whether W, which has restarted, has not confirmed yet that it refuses
   all of its late starts. */
gboolean
pool_has_unwanted_late_start (const PoolWorker *w)
{
  guint i;

  for (i = 0; i < w->late_starts->len; i++)
    if (pool_late_start_at (w, i)->unwanted)
      return TRUE;
  return FALSE;
}

static PoolUnackedEnd *
unacked_end_at (const PoolWorker *w, guint i)
{
  return &g_array_index (w->unacked_ends, PoolUnackedEnd, i);
}

/* Records that W has listed the end numbered SEQUENCE, of a run of the job with
   id JOB. */
void
pool_add_unacked_end (PoolWorker *w, gint64 sequence, const char *job)
{
  PoolUnackedEnd end = { .sequence = sequence, .job = g_str_hash (job) };
  guint n = w->unacked_ends->len;

  if (n && unacked_end_at (w, n - 1)->job == end.job)
    unacked_end_at (w, n - 1)->sequence = sequence;
  else
    g_array_append_val (w->unacked_ends, end);
}

/* Forgets the ends of W that it may have dropped, as they are acknowledged. */
void
pool_drop_acked_ends (PoolWorker *w)
{
  guint n = 0;

  while (n < w->unacked_ends->len &&
         unacked_end_at (w, n)->sequence <= w->ends_acked)
    n++;
  g_array_remove_range (w->unacked_ends, 0, n);
}

/* Tells whether W may have listed an end of a run of the job with id JOB that
   is not acknowledged. */
gboolean
pool_has_unacked_end_of (const PoolWorker *w, const char *job)
{
  guint hash = g_str_hash (job);
  guint i;

  for (i = 0; i < w->unacked_ends->len; i++)
    if (unacked_end_at (w, i)->job == hash)
      return TRUE;
  return FALSE;
}

static void
worker_free (gpointer p)
{
  PoolWorker *w = p;

  g_ptr_array_unref (w->late_starts);
  g_array_unref (w->unacked_ends);
  pool_entry_free (w->entry);
  g_free (w->heard_address);
  g_free (w);
}

/* Initializes P without workers. */
void
pool_init (Pool *p)
{
  p->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
  p->departed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_ptr_array_unref);
  p->by_rack = g_ptr_array_new ();
}

/* Frees the workers of P and its indexes. */
void
pool_clear (Pool *p)
{
  g_ptr_array_unref (p->by_rack);
  g_hash_table_unref (p->workers);
  g_hash_table_unref (p->departed);
}

/* Returns the worker with this ID, or NULL. */
PoolWorker *
pool_find (const Pool *p, const char *id)
{
  return g_hash_table_lookup (p->workers, id);
}

static int
compare_workers (gconstpointer a, gconstpointer b)
{
  const PoolEntry *x = (*(PoolWorker *const *)a)->entry;
  const PoolEntry *y = (*(PoolWorker *const *)b)->entry;
  int racks = g_strcmp0 (x->rack, y->rack);

  return racks ? racks : strcmp (x->id, y->id);
}

/* Returns the number of workers in P. */
guint
pool_size (const Pool *p)
{
  return p->by_rack->len;
}

/* Returns the I-th worker, sorted by rack, then id. */
PoolWorker *
pool_at (const Pool *p, guint i)
{
  return g_ptr_array_index (p->by_rack, i);
}

/* Returns the index after the last worker of the rack whose first worker is
   at FROM. */
guint
pool_rack_end (const Pool *p, guint from)
{
  const char *rack = pool_at (p, from)->entry->rack;
  guint to = from + 1;

  while (to < pool_size (p) &&
         g_strcmp0 (pool_at (p, to)->entry->rack, rack) == 0)
    to++;
  return to;
}

/* Inserts W, which must not be there yet, into P's sorted array. */
static void
insert_by_rack (Pool *p, PoolWorker *w)
{
  guint low = 0;
  guint high = p->by_rack->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (compare_workers (&g_ptr_array_index (p->by_rack, middle), &w) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  g_ptr_array_insert (p->by_rack, (gint)low, w);
}

/* Adds the worker that ENTRY describes, or replaces the entry of a known one.
   Takes ownership of ENTRY and returns the worker. */
PoolWorker *
pool_update (Pool *p, PoolEntry *entry)
{
  PoolWorker *w = pool_find (p, entry->id);
  gboolean moves = !w || g_strcmp0 (w->entry->rack, entry->rack) != 0;

  if (w)
    {
      if (moves)
        g_ptr_array_remove (p->by_rack, w);
      g_hash_table_steal (p->workers, w->entry->id);
      pool_entry_free (w->entry);
    }
  else
    {
      w = g_new0 (PoolWorker, 1);
      call_limit_init (&w->calls);
      APR_RING_INIT (&w->placements, WorkPlacement, on_worker);
      w->late_starts = g_ptr_array_new_with_free_func (late_start_free);
      w->unacked_ends = g_array_new (FALSE, FALSE, sizeof (PoolUnackedEnd));
    }
  w->entry = entry;
  w->registered = TRUE;
  take_late_starts (p, w);
  g_hash_table_insert (p->workers, entry->id, w);
  if (moves)
    insert_by_rack (p, w);
  return w;
}

/* Returns the number of workers whose connections are scarce. */
guint
pool_count_scarce (const Pool *p)
{
  guint n = 0;
  guint i;

  for (i = 0; i < pool_size (p); i++)
    n += call_limit_is_scarce (&pool_at (p, i)->calls);
  return n;
}

/* Removes and frees W, which must have no placements. */
void
pool_remove (Pool *p, PoolWorker *w, ClockMs now)
{
  keep_late_starts (p, w, now);
  g_ptr_array_remove (p->by_rack, w);
  g_hash_table_remove (p->workers, w->entry->id);
}

/* Returns whether W has LABEL; every worker has the empty label. */
gboolean
pool_has_label (const PoolWorker *w, const char *label)
{
  guint i;

  if (!*label)
    return TRUE;
  for (i = 0; i < w->entry->labels->len; i++)
    if (strcmp (g_ptr_array_index (w->entry->labels, i), label) == 0)
      return TRUE;
  return FALSE;
}

/* Adds NEED to TOTAL. */
void
pool_resources_add (PoolResources *total, const PoolResources *need)
{
  total->cpu_milli += need->cpu_milli;
  total->mem_mb += need->mem_mb;
  total->accelerators += need->accelerators;
}

/* Subtracts NEED from TOTAL. */
void
pool_resources_subtract (PoolResources *total, const PoolResources *need)
{
  total->cpu_milli -= need->cpu_milli;
  total->mem_mb -= need->mem_mb;
  total->accelerators -= need->accelerators;
}

/* Returns the capacity of W that is neither used nor reserved; amounts are
   negative where W is overcommitted. */
PoolResources
pool_available (const PoolWorker *w)
{
  PoolResources total = w->entry->capacity;

  pool_resources_subtract (&total, &w->used);
  pool_resources_subtract (&total, &w->reserved);
  return total;
}

static gint64
count_amount (gint64 has, gint64 need)
{
  if (has < 0)
    return 0;
  return need > 0 ? has / need : G_MAXINT32;
}

/* Returns how many tasks that need NEED fit into TOTAL. */
guint
pool_resources_count (const PoolResources *total, const PoolResources *need)
{
  gint64 n = count_amount (total->cpu_milli, need->cpu_milli);

  n = MIN (n, count_amount (total->mem_mb, need->mem_mb));
  n = MIN (n, count_amount (total->accelerators, need->accelerators));
  return (guint)n;
}

/* Returns whether NEED fits into TOTAL. */
gboolean
pool_resources_fit (const PoolResources *total, const PoolResources *need)
{
  return pool_resources_count (total, need) > 0;
}
