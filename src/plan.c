#include "plan.h"

#include "plan_state.h"

#include <string.h>

enum
{
  PLAN_STOP_PERCENT = 125 /* of its memory */
};

static void
row_free (gpointer p)
{
  PlanWorkspace *row = p;

  g_free (row->name);
  g_free (row);
}

/* Returns the plan of the failure domain called DOMAIN, without workers. */
Plan *
plan_new (const char *domain, guint32 seed)
{
  Plan *p = g_new0 (Plan, 1);

  p->domain = g_strdup (domain);
  p->rng = g_rand_new_with_seed (seed);
  p->ops = &place_best;
  fleet_init (&p->fleet);
  quota_init (&p->quota);
  order_init (&p->order);
  learn_init (&p->learn);
  quota_inventory_init (&p->inventory);
  p->workspaces =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->rows = g_ptr_array_new_with_free_func (row_free);
  p->claimants = g_ptr_array_new ();
  p->victims = g_ptr_array_new ();
  p->units = g_array_new (FALSE, FALSE, sizeof (QuotaUnit));
  return p;
}

/* Releases P.  Its jobs are no longer used, and their parts not freed:
   plan_end them before. */
void
plan_free (Plan *p)
{
  g_array_unref (p->units);
  g_ptr_array_unref (p->victims);
  g_ptr_array_unref (p->claimants);
  g_ptr_array_unref (p->rows);
  g_hash_table_unref (p->kinds);
  g_hash_table_unref (p->workspaces);
  quota_inventory_clear (&p->inventory);
  learn_clear (&p->learn);
  order_clear (&p->order);
  quota_clear (&p->quota);
  fleet_clear (&p->fleet);
  g_rand_free (p->rng);
  g_free (p->scores);
  g_free (p->domain);
  g_free (p);
}

/* Makes P place by OPS instead of its own placer; for comparisons. */
void
plan_set_placer (Plan *p, const PlaceOps *ops)
{
  p->ops = ops;
}

static guint
intern (GHashTable *numbers, const char *name)
{
  guint *number = g_hash_table_lookup (numbers, name);

  if (!number)
    {
      number = g_new (guint, 1);
      *number = g_hash_table_size (numbers);
      g_hash_table_insert (numbers, g_strdup (name), number);
    }
  return *number;
}

/* Returns the number of the workspace called NAME, the same for the life of
   P whatever the table says. */
guint
plan_workspace (Plan *p, const char *name)
{
  guint i = intern (p->workspaces, name);

  if (i == p->rows->len)
    {
      PlanWorkspace *row = g_new0 (PlanWorkspace, 1);

      row->name = g_strdup (name);
      row->max_queued = -1;
      g_ptr_array_add (p->rows, row);
      order_workspace (&p->order, i);
      p->scores = g_renew (double, p->scores, i + 1);
    }
  return i;
}

/* Returns the number of the kind of work called NAME. */
guint
plan_kind (Plan *p, const char *name)
{
  return intern (p->kinds, name);
}

/* Returns the name of the worker that PART stands on. */
const char *
plan_worker_name (const Plan *p, const FleetPart *part)
{
  return fleet_worker (&p->fleet, part->worker)->name;
}

static void
changed (Plan *p)
{
  p->is_idle = FALSE;
}

static void
count_capacity (Plan *p)
{
  order_set_capacity (&p->order, p->fleet.n_accelerators,
                      (double)p->fleet.cores, (double)p->fleet.memory_mb);
  p->must_refit = TRUE;
  changed (p);
}

/* Adds a worker of any domain.  It is usable until plan_set_usable changes
   that. */
void
plan_add_worker (Plan *p,
                 const char *domain,
                 const char *name,
                 const char *rack,
                 guint accelerators,
                 gint64 cores,
                 gint64 memory_mb)
{
  guint i;

  if (strcmp (domain, p->domain) != 0)
    {
      quota_inventory_add (&p->inventory, domain, accelerators);
      return;
    }
  if (fleet_find (&p->fleet, name, &i))
    return;
  quota_inventory_add (&p->inventory, domain, accelerators);
  i = fleet_add_worker (&p->fleet, name, rack, accelerators, cores, memory_mb);
  fleet_worker (&p->fleet, i)->up = TRUE;
  count_capacity (p);
}

/* Releases the claims on worker I; their jobs wait again. */
static void
drop_claims (Plan *p, guint i, ClockMs now)
{
  guint k = 0;
  guint n;

  while (k < p->claimants->len)
    {
      FleetJob *j = g_ptr_array_index (p->claimants, k);

      for (n = 0; n < j->parts && j->part[n].worker != i; n++)
        ;
      if (n < j->parts)
        plan_requeue (p, j, now);
      else
        k++;
    }
}

static void
apply_usable (Plan *p, guint i, ClockMs now)
{
  FleetWorker *w = fleet_worker (&p->fleet, i);

  fleet_set_usable (&p->fleet, i,
                    w->up && !learn_is_quarantined (&p->learn, i));
  if (!w->usable)
    drop_claims (p, i, now);
  count_capacity (p);
}

/* Makes the worker called WORKER count from NOW on, or not.  Claims there
   are given up; jobs that run there are ended or requeued by the caller. */
void
plan_set_usable (Plan *p, const char *worker, gboolean usable, ClockMs now)
{
  guint i;

  if (!fleet_find (&p->fleet, worker, &i) ||
      fleet_worker (&p->fleet, i)->up == usable)
    return;
  fleet_worker (&p->fleet, i)->up = usable;
  apply_usable (p, i, now);
}

static void
set_row (Plan *p, const Workspace *row, const GArray *sizes, ClockMs now)
{
  guint i = plan_workspace (p, row->name);
  PlanWorkspace *mine = g_ptr_array_index (p->rows, i);
  OrderWorkspace *w = order_workspace (&p->order, i);

  mine->in_table = TRUE;
  mine->max_queued = row->max_queued;
  w->weight = (double)MAX (row->weight, 1);
  w->max_accelerators = row->max_accelerators;
  w->max_running = row->max_running;
  plan_charge_anew (p, i, sizes, now);
}

/* Takes the N rows of the table in force at NOW.  Work that runs is charged
   anew: what a lowered guarantee no longer covers goes on as borrowed, and
   what can't be taken back keeps its place until it ends. */
void
plan_set_table (Plan *p, const Workspace *const *rows, guint n, ClockMs now)
{
  GArray **runs = g_new0 (GArray *, n + 1);
  guint i;

  p->quota.unplaced = quota_split (&p->inventory, rows, n, p->domain, runs);
  for (i = 0; i < p->rows->len; i++)
    ((PlanWorkspace *)g_ptr_array_index (p->rows, i))->in_table = FALSE;
  for (i = 0; i < n; i++)
    {
      set_row (p, rows[i], runs[i], now);
      g_array_unref (runs[i]);
    }
  for (i = 0; i < p->rows->len; i++)
    if (!((PlanWorkspace *)g_ptr_array_index (p->rows, i))->in_table)
      plan_charge_anew (p, i, NULL, now);
  g_free (runs);
  quota_fit_to_fleet (&p->quota, &p->fleet);
  for (i = 0; i < p->rows->len; i++)
    plan_promote (p, i, now);
  p->fleet.releases++;
  changed (p);
}

/* Makes J a job that waits and holds nothing. */
void
plan_prepare (FleetJob *j)
{
  guint i;

  if (!j->part)
    j->part = g_new0 (FleetPart, j->parts);
  for (i = 0; i < j->parts; i++)
    {
      j->part[i].job = j;
      j->part[i].slot = FLEET_NO_SLOT;
    }
  j->state = FLEET_WAITING;
  j->in_guarantee = FALSE;
  j->stopping = 0;
  j->wait = PLAN_WAIT_TURN;
}

/* Tells whether J could ever run here and may wait; sets ERROR
   (PLAN_ERROR) to the reason if not. */
gboolean
plan_check (const Plan *p, const FleetJob *j, GError **error)
{
  const OrderWorkspace *w =
      g_ptr_array_index (p->order.workspaces, j->workspace);
  const PlanWorkspace *row = g_ptr_array_index (p->rows, j->workspace);
  gint64 wanted = (gint64)j->parts * j->accelerators;

  if (!place_is_feasible_when_empty (&p->fleet, j))
    g_set_error (error, PLAN_ERROR, PLAN_ERROR_IMPOSSIBLE,
                 "domain \"%s\" can't hold %u parts of %u accelerators, "
                 "%" G_GINT64_FORMAT " cores and %" G_GINT64_FORMAT
                 " MB at once",
                 p->domain, j->parts, j->accelerators, j->cores, j->memory_mb);
  else if (w->max_accelerators >= 0 && wanted > w->max_accelerators)
    g_set_error (error, PLAN_ERROR, PLAN_ERROR_LIMIT,
                 "%" G_GINT64_FORMAT " accelerators are more than the limit "
                 "of %" G_GINT64_FORMAT " of workspace \"%s\"",
                 wanted, w->max_accelerators, row->name);
  else if (fleet_needs_guarantee (j) &&
           !quota_fits_when_empty (&p->quota, j->workspace, j->parts,
                                   j->accelerators))
    g_set_error (error, PLAN_ERROR, PLAN_ERROR_LIMIT,
                 "work that can be neither repeated nor resumed runs only "
                 "inside a guarantee, and that of workspace \"%s\" in domain "
                 "\"%s\" can't hold %u parts of %u accelerators",
                 row->name, p->domain, j->parts, j->accelerators);
  else if (w->max_running == 0)
    g_set_error (error, PLAN_ERROR, PLAN_ERROR_LIMIT,
                 "workspace \"%s\" may run no job", row->name);
  else if (row->max_queued >= 0 && w->n_waiting >= row->max_queued)
    g_set_error (error, PLAN_ERROR, PLAN_ERROR_FULL,
                 "workspace \"%s\" has its limit of %" G_GINT64_FORMAT
                 " jobs waiting",
                 row->name, row->max_queued);
  else
    return TRUE;
  return FALSE;
}

/* Replaces the declared memory by what such work was seen to use. */
static void
correct_memory (Plan *p, FleetJob *j)
{
  gint64 declared = j->memory_mb;

  j->memory_mb = learn_memory_mb (&p->learn, j);
  if (!place_is_feasible_when_empty (&p->fleet, j))
    j->memory_mb = declared;
}

/* Makes J wait for its turn.  J stays in P until plan_end. */
void
plan_submit (Plan *p, FleetJob *j)
{
  plan_prepare (j);
  correct_memory (p, j);
  order_add (&p->order, j);
  changed (p);
}

/* Takes J as running at NOW where its parts' WORKER and FIRST say: J->part
   was allocated with g_new0 by the caller and belongs to P from here on.
   Charges to guarantees are made at the next plan_next, when all are there.
   Returns FALSE if the room is not there; J is then not in P, and its parts
   are the caller's again. */
gboolean
plan_adopt (Plan *p, FleetJob *j, ClockMs now)
{
  plan_prepare (j);
  if (!fleet_place (&p->fleet, j))
    return FALSE;
  if (!j->started)
    j->started = now;
  order_take (&p->order, j, now);
  if (fleet_needs_guarantee (j))
    plan_set_in_guarantee (p, j, TRUE, now);
  j->wait = PLAN_WAIT_NONE;
  p->has_adopted = p->must_refit = TRUE;
  changed (p);
  return TRUE;
}

/* Notes that J wrote a checkpoint at NOW. */
void
plan_saved (Plan *p, FleetJob *j, ClockMs now)
{
  (void)p;
  j->saved = now;
}

/* Takes J out of wherever it stands. */
static void
withdraw (Plan *p, FleetJob *j, ClockMs now)
{
  gboolean was_held = j->in_guarantee;

  if (j->state == FLEET_WAITING)
    {
      order_remove (&p->order, j);
      if (p->drain == j)
        plan_end_drain (p);
      return;
    }
  order_free (&p->order, j, now);
  if (j->state == FLEET_CLAIMED)
    g_ptr_array_remove (p->claimants, j);
  fleet_release (&p->fleet, j);
  quota_discharge (&p->quota, &p->fleet, j);
  j->in_guarantee = FALSE;
  j->stopping = 0;
  if (was_held)
    plan_promote (p, j->workspace, now);
}

/* Frees the room of J at NOW; J waits again in its old place. */
void
plan_requeue (Plan *p, FleetJob *j, ClockMs now)
{
  withdraw (p, j, now);
  j->wait = PLAN_WAIT_TURN;
  order_add (&p->order, j);
  changed (p);
}

/* Forgets J, wherever it stood; its struct is the caller's again.
   RAN_TO_END: its run time is worth learning. */
void
plan_end (Plan *p, FleetJob *j, ClockMs now, gboolean ran_to_end)
{
  if (ran_to_end && j->state == FLEET_PLACED)
    learn_run (&p->learn, j, now - j->started + j->progress);
  withdraw (p, j, now);
  g_free (j->part);
  j->part = NULL;
  changed (p);
}

/* Corrects the account of WORKSPACE at NOW by what its work above its
   guarantee is reported to use. */
void
plan_correct_usage (Plan *p,
                    guint workspace,
                    double accelerators,
                    double cores,
                    double memory_mb,
                    ClockMs now)
{
  const double reported[N_ORDER_RESOURCES] = {
    [ORDER_ACCELERATORS] = accelerators,
    [ORDER_CORES] = cores,
    [ORDER_MEMORY] = memory_mb,
  };

  order_correct (&p->order, workspace, reported, now);
}

/* Returns why J waits, as the last round found it. */
PlanWait
plan_wait (const Plan *p, const FleetJob *j)
{
  (void)p;
  return (PlanWait)j->wait;
}

#define PLAN_WAIT_TEXT(kind, text) [kind] = (text),

/* Returns W in words. */
const char *
plan_wait_text (PlanWait w)
{
  static const char *const texts[] = { PLAN_WAITS (PLAN_WAIT_TEXT) };

  return texts[w];
}

/* Returns the number of jobs that wait. */
guint
plan_n_waiting (const Plan *p)
{
  return p->order.n_waiting;
}

/* Returns the number of workspaces whose guarantee isn't upheld in full. */
guint
plan_n_short (const Plan *p)
{
  guint n = 0;
  guint i;

  for (i = 0; i < p->rows->len; i++)
    n += quota_short (&p->quota, i) > 0;
  return n;
}

/* Returns the shortfall of the I-th workspace whose guarantee is not met. */
PlanShort
plan_shortfall (const Plan *p, guint i)
{
  guint k;

  for (k = 0; k < p->rows->len; k++)
    if (quota_short (&p->quota, k) > 0 && i-- == 0)
      break;
  g_assert (k < p->rows->len);
  return (PlanShort) {
    .workspace = ((PlanWorkspace *)g_ptr_array_index (p->rows, k))->name,
    .accelerators = quota_workspace (&p->quota, k)->accelerators,
    .short_of = quota_short (&p->quota, k)
  };
}

/* Returns how many guaranteed accelerators no domain could ever hold. */
guint
plan_unplaced (const Plan *p)
{
  return p->quota.unplaced;
}

/* Returns the fragmentation by the largest shape that is guaranteed and
   unused, or that waits at the front of a queue. */
double
plan_fragmentation (const Plan *p)
{
  guint most = FLEET_MAX_ACCELERATORS;
  guint i;
  int c;

  while (most > 1 && !p->quota.need[most])
    most--;
  for (i = 0; i < p->order.workspaces->len; i++)
    for (c = 0; c < N_CLASSES; c++)
      {
        OrderWorkspace *w = g_ptr_array_index (p->order.workspaces, i);
        const FleetJob *j = APR_RING_FIRST (&w->queue[c]);

        if (j != APR_RING_SENTINEL (&w->queue[c], FleetJob, link))
          most = MAX (most, j->accelerators);
      }
  return fleet_fragmentation (&p->fleet, most);
}

/* Tells whether every guaranteed shape that is upheld and unused can be
   reclaimed now. */
gboolean
plan_holds (const Plan *p)
{
  return quota_holds (&p->quota, &p->fleet);
}

/* Returns how long J will hardly exceed, CLOCK_NEVER if nothing is known. */
ClockMs
plan_run_ms (const Plan *p, const FleetJob *j)
{
  return learn_run_ms (&p->learn, j);
}

/* Returns the fleet of P, for reading. */
const Fleet *
plan_fleet (const Plan *p)
{
  return &p->fleet;
}

/* Notes that a part of J was seen to use USED_MB, and returns what to do:
   beyond its memory it is throttled, and stopped when far beyond. */
PlanMemoryAction
plan_used_memory (Plan *p, const FleetJob *j, gint64 used_mb)
{
  learn_memory (&p->learn, j, used_mb);
  if (j->memory_mb == 0 || used_mb <= j->memory_mb)
    return PLAN_MEMORY_ALLOW;
  return used_mb * 100 > j->memory_mb * PLAN_STOP_PERCENT
             ? PLAN_MEMORY_STOP
             : PLAN_MEMORY_THROTTLE;
}

/* Notes that J failed on WORKER at NOW.  The caller then requeues J or, on
   PLAN_BLAME_JOB, ends it. */
PlanBlame
plan_failed (Plan *p, FleetJob *j, const char *worker, ClockMs now)
{
  guint i;

  if (!fleet_find (&p->fleet, worker, &i))
    return PLAN_BLAME_NONE;
  j->avoid = i + 1;
  switch (learn_failed (&p->learn, &p->fleet, j, i, now))
    {
    case LEARN_BAD_WORKER:
      apply_usable (p, i, now);
      return PLAN_BLAME_WORKER;
    case LEARN_BAD_JOB:
      return PLAN_BLAME_JOB;
    default:
      return PLAN_BLAME_NONE;
    }
}

/* Notes that J ended well at NOW, which speaks for its workers; plan_end
   follows. */
void
plan_succeeded (Plan *p, FleetJob *j, ClockMs now)
{
  guint i;

  (void)now;
  for (i = 0; i < j->parts; i++)
    learn_succeeded (&p->learn, j->part[i].worker);
}

/* Lets time do its work: quarantines end, guarantees that were short are
   tried again, waiting jobs come of age. */
void
plan_tick (Plan *p, ClockMs now)
{
  guint i;

  while (learn_next_probe (&p->learn, now, &i))
    apply_usable (p, i, now);
  p->must_refit = p->must_sweep = TRUE;
  changed (p);
}
