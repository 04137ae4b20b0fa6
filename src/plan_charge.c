#include "plan_state.h"

enum
{
  PLAN_MAX_PROMOTED = 16
};

/* Moves J, which is placed, into its guarantee or out of it, by the slots
   that its parts have. */
void
plan_set_in_guarantee (Plan *p, FleetJob *j, gboolean in_guarantee, ClockMs now)
{
  order_free (&p->order, j, now);
  fleet_set_in_guarantee (&p->fleet, j, in_guarantee);
  order_take (&p->order, j, now);
}

/* Charges J, which is placed and borrows, to runs around it if its workers
   stay sound. */
static gboolean
charge_placed (Plan *p, FleetJob *j, ClockMs now)
{
  if (!quota_charge_at (&p->quota, &p->fleet, j))
    return FALSE;
  plan_set_in_guarantee (p, j, TRUE, now);
  if (fleet_job_is_sound (&p->fleet, j))
    return TRUE;
  quota_discharge (&p->quota, &p->fleet, j);
  plan_set_in_guarantee (p, j, FALSE, now);
  return FALSE;
}

/* Charges are made in this order: what can't be taken back, urgent work,
   older work. */
static gint
compare_charges (gconstpointer a, gconstpointer b)
{
  const FleetJob *x = *(FleetJob *const *)a;
  const FleetJob *y = *(FleetJob *const *)b;

  if (fleet_needs_guarantee (x) != fleet_needs_guarantee (y))
    return fleet_needs_guarantee (x) ? -1 : 1;
  if (x->work_class != y->work_class)
    return x->work_class < y->work_class ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

static GPtrArray *
placed_jobs (Plan *p, guint workspace)
{
  OrderWorkspace *w = order_workspace (&p->order, workspace);
  GPtrArray *jobs = g_ptr_array_new ();
  FleetJob *j = NULL;

  APR_RING_FOREACH (j, &w->placed, FleetJob, link)
    {
      g_ptr_array_add (jobs, j);
    }
  g_ptr_array_sort (jobs, compare_charges);
  return jobs;
}

/* Releases the claims of WORKSPACE, so that its jobs are planned again. */
static void
drop_claims_of (Plan *p, guint workspace, ClockMs now)
{
  guint k = 0;

  while (k < p->claimants->len)
    {
      FleetJob *j = g_ptr_array_index (p->claimants, k);

      if (j->workspace == workspace && j->in_guarantee)
        plan_requeue (p, j, now);
      else
        k++;
    }
}

/* Charges J, which is placed and not charged; what can't be taken back
   holds its place by itself if no run is around it. */
static void
charge_again (Plan *p, FleetJob *j, ClockMs now)
{
  if (j->in_guarantee)
    plan_set_in_guarantee (p, j, FALSE, now);
  if (!charge_placed (p, j, now) && fleet_needs_guarantee (j))
    plan_set_in_guarantee (p, j, TRUE, now);
}

/* Gives WORKSPACE the guaranteed runs of SIZES (NULL: none), and charges its
   placed work to them anew. */
void
plan_charge_anew (Plan *p, guint workspace, const GArray *sizes, ClockMs now)
{
  GPtrArray *former;
  GPtrArray *jobs;
  guint i;

  if (quota_has_runs (&p->quota, workspace, sizes))
    return;
  former = g_ptr_array_new ();
  drop_claims_of (p, workspace, now);
  jobs = placed_jobs (p, workspace);
  for (i = 0; i < jobs->len; i++)
    {
      FleetJob *j = g_ptr_array_index (jobs, i);

      if (!j->in_guarantee)
        continue;
      quota_discharge (&p->quota, &p->fleet, j);
      plan_set_in_guarantee (p, j, fleet_needs_guarantee (j), now);
      g_ptr_array_add (former, j);
    }
  quota_set_runs (&p->quota, workspace, sizes);
  for (i = 0; i < former->len; i++)
    charge_again (p, g_ptr_array_index (former, i), now);
  g_ptr_array_unref (former);
  g_ptr_array_unref (jobs);
}

/* Tells whether V may leave its guarantee so that J has it. */
static gboolean
may_yield (const FleetJob *v, const FleetJob *j)
{
  return v->in_guarantee && v->state == FLEET_PLACED &&
         !fleet_needs_guarantee (v) &&
         (fleet_needs_guarantee (j) ? v->work_class >= j->work_class
                                    : v->work_class > j->work_class);
}

/* Undoes the discharge of V, whose SLOTS were kept. */
static void
restore (Plan *p, FleetJob *v, const gint32 *slots)
{
  guint i;

  for (i = 0; i < v->parts; i++)
    v->part[i].slot = slots[i];
  quota_anchor (&p->quota, &p->fleet, v);
}

/* Returns the slots of V's parts, for restore; the caller frees them. */
static gint32 *
keep_slots (const FleetJob *v)
{
  gint32 *slots = g_new (gint32, v->parts);
  guint i;

  for (i = 0; i < v->parts; i++)
    slots[i] = v->part[i].slot;
  return slots;
}

/* Takes runs of the guarantee from work of J's own workspace that is less
   urgent and can be taken back, until J can be charged; that work goes on as
   borrowed.  Returns FALSE, with nothing changed, if that isn't enough. */
static gboolean
charge_by_swap (Plan *p, FleetJob *j, ClockMs now)
{
  GPtrArray *jobs = placed_jobs (p, j->workspace);
  GPtrArray *yielded = g_ptr_array_new ();
  GPtrArray *slots = g_ptr_array_new_with_free_func (g_free);
  gboolean charged = FALSE;
  guint i;

  for (i = jobs->len; i > 0 && !charged; i--)
    {
      FleetJob *v = g_ptr_array_index (jobs, i - 1);

      if (!may_yield (v, j))
        continue;
      g_ptr_array_add (yielded, v);
      g_ptr_array_add (slots, keep_slots (v));
      quota_discharge (&p->quota, &p->fleet, v);
      charged = quota_charge (&p->quota, j, p->units);
    }
  for (i = yielded->len; i > 0; i--)
    if (charged)
      plan_set_in_guarantee (p, g_ptr_array_index (yielded, i - 1), FALSE, now);
    else
      restore (p, g_ptr_array_index (yielded, i - 1),
               g_ptr_array_index (slots, i - 1));
  g_ptr_array_unref (slots);
  g_ptr_array_unref (yielded);
  g_ptr_array_unref (jobs);
  return charged;
}

/* Tells whether J may take its guarantee from other work of its workspace. */
static gboolean
may_swap (const Plan *p, const FleetJob *j)
{
  const QuotaWorkspace *w = quota_workspace (&p->quota, j->workspace);

  return w && w->accelerators >= j->parts * j->accelerators &&
         (j->work_class == CLASS_INTERACTIVE || fleet_needs_guarantee (j));
}

/* Assigns J to runs of its workspace's guarantee, in p->units, if those are
   free. */
gboolean
plan_charge (Plan *p, FleetJob *j, ClockMs now)
{
  if (j->accelerators == 0)
    return FALSE;
  if (quota_charge (&p->quota, j, p->units))
    return TRUE;
  return may_swap (p, j) && charge_by_swap (p, j, now);
}

/* Charges what was adopted. */
static void
charge_adopted (Plan *p, ClockMs now)
{
  guint i;
  guint k;

  for (i = 0; i < p->rows->len; i++)
    {
      GPtrArray *jobs = placed_jobs (p, i);

      for (k = 0; k < jobs->len; k++)
        {
          FleetJob *j = g_ptr_array_index (jobs, k);

          if (j->state == FLEET_PLACED && j->part[0].slot == FLEET_NO_SLOT &&
              !j->stopping)
            charge_again (p, j, now);
        }
      g_ptr_array_unref (jobs);
    }
  p->has_adopted = FALSE;
}

/* Brings the guarantees up to date with the fleet and with adopted work, if
   either has changed. */
void
plan_fit_guarantees (Plan *p, ClockMs now)
{
  if (p->has_adopted)
    charge_adopted (p, now);
  if (p->must_refit)
    quota_fit_to_fleet (&p->quota, &p->fleet);
  p->must_refit = FALSE;
}

/* Counts work of WORKSPACE that borrows as guaranteed where room for it has
   come. */
void
plan_promote (Plan *p, guint workspace, ClockMs now)
{
  OrderWorkspace *w = order_workspace (&p->order, workspace);
  GPtrArray *jobs;
  guint i;

  if (APR_RING_EMPTY (&w->placed, FleetJob, link) ||
      quota_unused (&p->quota, workspace) == 0)
    return;
  jobs = placed_jobs (p, workspace);
  for (i = 0; i < MIN (jobs->len, PLAN_MAX_PROMOTED); i++)
    {
      FleetJob *j = g_ptr_array_index (jobs, i);

      if (j->in_guarantee || j->stopping || j->state != FLEET_PLACED ||
          !charge_placed (p, j, now) || quota_holds (&p->quota, &p->fleet))
        continue;
      quota_discharge (&p->quota, &p->fleet, j);
      plan_set_in_guarantee (p, j, FALSE, now);
    }
  g_ptr_array_unref (jobs);
}
