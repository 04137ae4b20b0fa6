#include "fleet.h"

#include <string.h>

/* What a start that is resumed from a checkpoint costs at most. */
static const ClockMs resume_cost_ms = 60000;

/* Returns the mask of accelerators FIRST .. FIRST + COUNT - 1. */
guint64
fleet_run_mask (guint first, guint count)
{
  if (count == 0)
    return 0;
  return (G_MAXUINT64 >> (FLEET_MAX_ACCELERATORS - count)) << first;
}

/* Returns the length of the lowest run of ones in MASK, which isn't 0. */
guint
fleet_run_length (guint64 mask)
{
  guint64 tail = ~(mask >> __builtin_ctzll (mask));

  return tail ? (guint)__builtin_ctzll (tail) : FLEET_MAX_ACCELERATORS;
}

/* Returns how many parts of SIZE accelerators OPEN has room for. */
guint
fleet_parts_in (guint64 open, guint size)
{
  guint n = 0;

  while (open)
    {
      guint len = fleet_run_length (open);

      n += len / size;
      open &= ~fleet_run_mask ((guint)__builtin_ctzll (open), len);
    }
  return n;
}

static void
worker_free (gpointer p)
{
  FleetWorker *w = p;

  g_free (w->name);
  g_free (w);
}

/* Makes F an empty fleet. */
void
fleet_init (Fleet *f)
{
  memset (f, 0, sizeof *f);
  f->workers = g_ptr_array_new_with_free_func (worker_free);
  f->racks = g_ptr_array_new_with_free_func (g_free);
  f->by_name = g_hash_table_new (g_str_hash, g_str_equal);
}

/* Releases what F holds; jobs that still stand in it are left alone. */
void
fleet_clear (Fleet *f)
{
  g_hash_table_unref (f->by_name);
  g_ptr_array_unref (f->workers);
  g_ptr_array_unref (f->racks);
}

/* Returns worker I. */
FleetWorker *
fleet_worker (const Fleet *f, guint i)
{
  return g_ptr_array_index (f->workers, i);
}

/* Finds the worker called NAME and sets I.  Returns FALSE if there is
   none. */
gboolean
fleet_find (const Fleet *f, const char *name, guint *i)
{
  const FleetWorker *w = g_hash_table_lookup (f->by_name, name);

  if (w)
    *i = w->index;
  return w != NULL;
}

static guint
rack_index (Fleet *f, const char *rack)
{
  guint i;

  for (i = f->racks->len; i > 0; i--)
    if (strcmp (g_ptr_array_index (f->racks, i - 1), rack) == 0)
      return i - 1;
  g_ptr_array_add (f->racks, g_strdup (rack));
  return f->racks->len - 1;
}

static guint64
unheld_mask (const FleetWorker *w)
{
  return fleet_run_mask (0, w->accelerators) & ~w->held;
}

/* Returns the share of WHOLE that goes with N accelerators of W. */
static gint64
share_of (const FleetWorker *w, gint64 whole, guint n)
{
  return w->accelerators ? whole / w->accelerators * n : 0;
}

/* Tells whether each accelerator of W, free or claimed, still has its share of
   W's cores and memory. */
gboolean
fleet_has_matching_room (const FleetWorker *w)
{
  guint n = (guint)__builtin_popcountll (unheld_mask (w));

  return w->cores_pinned + share_of (w, w->cores, n) <= w->cores &&
         w->memory_pinned + share_of (w, w->memory_mb, n) <= w->memory_mb;
}

/* Tells whether W keeps its promises: it is whole, or holds no accelerators
   and serves no guarantee until it is whole again. */
gboolean
fleet_is_sound (const FleetWorker *w)
{
  return w->held == 0 || fleet_has_matching_room (w);
}

/* Tells whether all workers that J stands on are sound. */
gboolean
fleet_job_is_sound (const Fleet *f, const FleetJob *j)
{
  guint i;

  for (i = 0; i < j->parts; i++)
    if (!fleet_is_sound (fleet_worker (f, j->part[i].worker)))
      return FALSE;
  return TRUE;
}

/* Adds SIGN times the runs of W that may serve guarantees to BINS. */
void
fleet_count_bins (const FleetWorker *w, guint *bins, int sign)
{
  guint64 open = w->usable && fleet_has_matching_room (w) ? unheld_mask (w) : 0;

  while (open)
    {
      guint first = (guint)__builtin_ctzll (open);
      guint len = fleet_run_length (open);

      bins[len] += (guint)sign;
      open &= ~fleet_run_mask (first, len);
    }
}

static void
count_worker (Fleet *f, const FleetWorker *w, int sign)
{
  if (!w->usable)
    return;
  f->n_accelerators += (guint)sign * w->accelerators;
  f->n_used += (guint)sign * (guint)__builtin_popcountll (w->used);
  f->cores += sign * w->cores;
  f->memory_mb += sign * w->memory_mb;
  fleet_count_bins (w, f->bins, sign);
}

/* Adds a usable, empty worker and returns its index.  A name that F knows
   already is not added again. */
guint
fleet_add_worker (Fleet *f,
                  const char *name,
                  const char *rack,
                  guint accelerators,
                  gint64 cores,
                  gint64 memory_mb)
{
  guint i = f->workers->len;
  FleetWorker *w;

  if (fleet_find (f, name, &i))
    return i;
  w = g_new0 (FleetWorker, 1);
  w->name = g_strdup (name);
  w->index = i;
  w->rack = rack_index (f, rack);
  w->accelerators = MIN (accelerators, FLEET_MAX_ACCELERATORS);
  w->cores = w->cores_free = cores;
  w->memory_mb = w->memory_free = memory_mb;
  w->usable = TRUE;
  APR_RING_INIT (&w->parts, FleetPart, link);
  g_ptr_array_add (f->workers, w);
  g_hash_table_insert (f->by_name, w->name, w);
  f->max_accelerators = MAX (f->max_accelerators, w->accelerators);
  count_worker (f, w, 1);
  f->releases++;
  return i;
}

/* Makes worker I count, or not: one that is down, leaving or in quarantine
   gets no work and serves no guarantee.  What runs there is left alone. */
void
fleet_set_usable (Fleet *f, guint i, gboolean usable)
{
  FleetWorker *w = fleet_worker (f, i);

  if (w->usable == usable)
    return;
  count_worker (f, w, -1);
  w->usable = usable;
  count_worker (f, w, 1);
  if (usable)
    f->releases++;
}

/* Tells whether J may be stopped for the sake of others: it is outside its
   guarantee, and another start continues it or does no harm. */
gboolean
fleet_can_stop (const FleetJob *j)
{
  return !j->in_guarantee && (j->checkpointable || j->repeatable);
}

/* Tells whether J can be neither resumed nor repeated, so that it is never
   taken back once it runs. */
gboolean
fleet_needs_guarantee (const FleetJob *j)
{
  return j->accelerators > 0 && !j->checkpointable && !j->repeatable;
}

/* Returns how many parts of J the accelerators OPEN, CORES and MEMORY_MB of a
   worker have room for. */
guint
fleet_parts_of (const FleetJob *j, guint64 open, gint64 cores, gint64 memory_mb)
{
  gint64 parts = FLEET_MAX_PARTS;

  if (j->accelerators > 0)
    parts = fleet_parts_in (open, j->accelerators);
  if (j->cores > 0)
    parts = MIN (parts, cores / j->cores);
  if (j->memory_mb > 0)
    parts = MIN (parts, memory_mb / j->memory_mb);
  return (guint)MAX (parts, 0);
}

/* Returns the work that is lost when J is stopped at NOW, in milliseconds
   of accelerators, or of its parts when it has none.  Work that can save
   itself loses what a start from the checkpoint costs. */
gint64
fleet_stop_cost (const FleetJob *j, ClockMs now)
{
  gint64 width = (gint64)j->parts * MAX (j->accelerators, 1);
  ClockMs lost = now - MAX (j->started, j->saved) + 1;

  if (j->checkpointable)
    lost = MIN (lost, resume_cost_ms);
  return width * lost;
}

static guint64
part_mask (const FleetPart *part)
{
  return fleet_run_mask (part->first, part->job->accelerators);
}

static gint64
pinned_by (const FleetWorker *w,
           const FleetPart *part,
           gint64 whole,
           gint64 amount)
{
  gint64 share = share_of (w, whole, part->job->accelerators);

  if (part->hold == FLEET_HOLD_NONE)
    return 0;
  return MAX (amount, share) - (part->hold == FLEET_HOLD_EXTRA ? share : 0);
}

/* Moves what PART takes from W by SIGN. */
static void
take_shares (FleetWorker *w, const FleetPart *part, int sign)
{
  const FleetJob *j = part->job;
  guint64 mask = part_mask (part);

  w->cores_free -= sign * j->cores;
  w->memory_free -= sign * j->memory_mb;
  w->cores_pinned += sign * pinned_by (w, part, w->cores, j->cores);
  w->memory_pinned += sign * pinned_by (w, part, w->memory_mb, j->memory_mb);
  if (part->hold == FLEET_HOLD_OWN)
    w->held = sign > 0 ? w->held | mask : w->held & ~mask;
}

static FleetHold
hold_of (const FleetPart *part)
{
  const FleetJob *j = part->job;

  if (!j->in_guarantee && (j->accelerators > 0 || fleet_can_stop (j)))
    return FLEET_HOLD_NONE;
  return part->slot == FLEET_NO_SLOT ? FLEET_HOLD_OWN : FLEET_HOLD_EXTRA;
}

/* Changes W, a copy, as one more part of J at FIRST would. */
void
fleet_try_part (FleetWorker *w, FleetJob *j, FleetHold hold, guint first)
{
  FleetPart part = { .job = j, .first = (guint8)first, .hold = (guint8)hold };

  take_shares (w, &part, 1);
}

static void
move_region (FleetWorker *w, guint64 mask, int sign)
{
  guint n = (guint)__builtin_popcountll (mask);

  w->held = sign > 0 ? w->held | mask : w->held & ~mask;
  w->cores_pinned += sign * share_of (w, w->cores, n);
  w->memory_pinned += sign * share_of (w, w->memory_mb, n);
}

/* Changes W, a copy, as holding the accelerators MASK would. */
void
fleet_try_region (FleetWorker *w, guint64 mask)
{
  move_region (w, mask, 1);
}

/* Holds the accelerators MASK of worker I, with the cores and memory that go
   with them, for a guarantee that is in use; SIGN -1 lets go.  Others may
   borrow what is free there. */
void
fleet_hold_region (Fleet *f, guint i, guint64 mask, int sign)
{
  FleetWorker *w = fleet_worker (f, i);

  count_worker (f, w, -1);
  move_region (w, mask, sign);
  count_worker (f, w, 1);
}

static void
put_part (Fleet *f, FleetPart *part)
{
  FleetWorker *w = fleet_worker (f, part->worker);

  count_worker (f, w, -1);
  w->used |= part_mask (part);
  part->hold = (guint8)hold_of (part);
  take_shares (w, part, 1);
  count_worker (f, w, 1);
  APR_RING_INSERT_TAIL (&w->parts, part, FleetPart, link);
}

static void
drop_part (Fleet *f, FleetPart *part)
{
  FleetWorker *w = fleet_worker (f, part->worker);

  count_worker (f, w, -1);
  w->used &= ~part_mask (part);
  take_shares (w, part, -1);
  count_worker (f, w, 1);
  APR_RING_REMOVE (part, link);
}

static gboolean
part_has_room (const Fleet *f, const FleetPart *part)
{
  const FleetWorker *w;
  const FleetJob *j = part->job;

  if (part->worker >= f->workers->len)
    return FALSE;
  w = fleet_worker (f, part->worker);
  return part->first + j->accelerators <= w->accelerators &&
         !((w->used | w->claimed) & part_mask (part)) &&
         w->cores_free >= j->cores && w->memory_free >= j->memory_mb;
}

static void
move_claim (Fleet *f, FleetJob *j, int sign)
{
  guint i;

  for (i = 0; i < j->parts; i++)
    {
      FleetPart *part = &j->part[i];
      FleetWorker *w = fleet_worker (f, part->worker);
      guint64 mask = part_mask (part);

      count_worker (f, w, -1);
      if (sign > 0)
        part->hold = (guint8)hold_of (part);
      w->claimed = sign > 0 ? w->claimed | mask : w->claimed & ~mask;
      take_shares (w, part, sign);
      count_worker (f, w, 1);
    }
  j->state = sign > 0 ? FLEET_CLAIMED : FLEET_WAITING;
}

/* Puts J where its parts say; a claim of J is used up.  Returns FALSE, with
   nothing taken, if a part has no room there. */
gboolean
fleet_place (Fleet *f, FleetJob *j)
{
  guint i;

  if (j->state == FLEET_CLAIMED)
    move_claim (f, j, -1);
  for (i = 0; i < j->parts && part_has_room (f, &j->part[i]); i++)
    put_part (f, &j->part[i]);
  if (i == j->parts)
    {
      j->state = FLEET_PLACED;
      return TRUE;
    }
  while (i-- > 0)
    drop_part (f, &j->part[i]);
  return FALSE;
}

/* Holds the place that the parts of J name against everybody else, though
   work that is to be stopped is still there. */
void
fleet_claim (Fleet *f, FleetJob *j)
{
  move_claim (f, j, 1);
}

/* Tells whether all that J claimed is free by now. */
gboolean
fleet_claim_is_free (const Fleet *f, const FleetJob *j)
{
  guint i;

  for (i = 0; i < j->parts; i++)
    {
      const FleetWorker *w = fleet_worker (f, j->part[i].worker);

      if ((w->used & part_mask (&j->part[i])) || w->cores_free < 0 ||
          w->memory_free < 0)
        return FALSE;
    }
  return TRUE;
}

/* Frees what J occupies or claims. */
void
fleet_release (Fleet *f, FleetJob *j)
{
  guint i;

  if (j->state == FLEET_CLAIMED)
    move_claim (f, j, -1);
  else if (j->state == FLEET_PLACED)
    for (i = 0; i < j->parts; i++)
      drop_part (f, &j->part[i]);
  j->state = FLEET_WAITING;
  f->releases++;
}

/* Counts J, which is placed, as inside its guarantee or as borrowing, by the
   slots that its parts have by now. */
void
fleet_set_in_guarantee (Fleet *f, FleetJob *j, gboolean in_guarantee)
{
  guint i;

  for (i = 0; i < j->parts; i++)
    drop_part (f, &j->part[i]);
  j->in_guarantee = in_guarantee;
  for (i = 0; i < j->parts; i++)
    put_part (f, &j->part[i]);
}

/* Returns the share of the free accelerators on usable workers that no part
   of ACCELERATORS adjacent ones can use, 0 when none is free. */
double
fleet_fragmentation (const Fleet *f, guint accelerators)
{
  guint64 n_free = 0;
  guint64 lost = 0;
  guint i;

  for (i = 0; i < f->workers->len; i++)
    {
      const FleetWorker *w = fleet_worker (f, i);
      guint64 open = fleet_run_mask (0, w->accelerators) & ~w->used;

      while (w->usable && open)
        {
          guint len = fleet_run_length (open);

          n_free += len;
          lost += len % accelerators;
          open &= ~fleet_run_mask ((guint)__builtin_ctzll (open), len);
        }
    }
  return n_free ? (double)lost / (double)n_free : 0;
}
