#include "plan_state.h"

enum
{
  PLAN_MAX_RECLAIMS = 8, /* searches in one call */
  PLAN_SWEEP_TIMES = 2
};

static void
give_start (Plan *p, FleetJob *j, ClockMs now, PlanStep *step)
{
  j->started = now;
  j->saved = 0;
  j->wait = PLAN_WAIT_NONE;
  if (p->drain == j)
    plan_end_drain (p);
  *step = (PlanStep) { .kind = PLAN_START, .job = j };
}

/* Starts a job whose claim has come free. */
static gboolean
start_claimant (Plan *p, ClockMs now, PlanStep *step)
{
  guint i;

  for (i = 0; i < p->claimants->len; i++)
    {
      FleetJob *j = g_ptr_array_index (p->claimants, i);

      if (!fleet_claim_is_free (&p->fleet, j) || !fleet_place (&p->fleet, j))
        continue;
      g_ptr_array_remove_index (p->claimants, i);
      give_start (p, j, now, step);
      return TRUE;
    }
  return FALSE;
}

static PlanShape
shape_of (const Plan *p, const FleetJob *j, ClockMs ends)
{
  return (PlanShape) { .parts = j->parts,
                       .accelerators = j->accelerators,
                       .cores = j->cores,
                       .memory_mb = j->memory_mb,
                       .may_backfill = ends <= p->fleet.drained_until,
                       .can_stop = fleet_can_stop (j) };
}

/* Tells whether a shape that isn't larger than S has found no room. */
static gboolean
has_failed (Plan *p, const PlanShape *s)
{
  guint i;

  if (p->failed_at != p->fleet.releases)
    p->n_failed = 0;
  p->failed_at = p->fleet.releases;
  for (i = 0; i < p->n_failed; i++)
    {
      const PlanShape *f = &p->failed[i];

      if (s->parts >= f->parts && s->accelerators >= f->accelerators &&
          s->cores >= f->cores && s->memory_mb >= f->memory_mb &&
          s->may_backfill <= f->may_backfill && s->can_stop <= f->can_stop)
        return TRUE;
    }
  return FALSE;
}

static void
note_failed (Plan *p, const PlanShape *s)
{
  if (p->n_failed < PLAN_MAX_FAILED)
    p->failed[p->n_failed++] = *s;
}

/* Finds free room for J, which is likely to end at ENDS (CLOCK_NEVER:
   unknown), and sets its parts to it; the worker on which J failed last only
   if there is no other.  MAY_SPOIL is that of PlaceAsk. */
gboolean
plan_find_room (Plan *p, FleetJob *j, ClockMs ends, gboolean may_spoil)
{
  PlaceAsk ask = { .fleet = &p->fleet,
                   .job = j,
                   .ends = ends,
                   .ignore_drain = j->in_guarantee || p->drain == j,
                   .keep_shares = !fleet_can_stop (j) && !j->in_guarantee,
                   .may_spoil = may_spoil,
                   .rng = p->rng };

  if (p->ops->find (&ask))
    return TRUE;
  if (!j->avoid)
    return FALSE;
  j->avoid = 0;
  return p->ops->find (&ask);
}

/* Tells whether what J took where it stands leaves all guarantees whole. */
static gboolean
keeps_guarantees (const Plan *p, const FleetJob *j)
{
  return fleet_job_is_sound (&p->fleet, j) &&
         quota_holds (&p->quota, &p->fleet);
}

/* Puts J, which waits, where its parts say; FALSE if that is not free or
   breaks the invariant. */
static gboolean
take_room (Plan *p, FleetJob *j, ClockMs now)
{
  if (!fleet_place (&p->fleet, j))
    return FALSE;
  quota_anchor (&p->quota, &p->fleet, j);
  if (!fleet_can_stop (j) && !keeps_guarantees (p, j))
    {
      guint64 releases = p->fleet.releases;

      fleet_release (&p->fleet, j);
      quota_discharge (&p->quota, &p->fleet, j);
      p->fleet.releases = releases;
      return FALSE;
    }
  order_remove (&p->order, j);
  order_take (&p->order, j, now);
  return TRUE;
}

static void
score_all (Plan *p, ClockMs now)
{
  guint i;

  for (i = 0; i < p->rows->len; i++)
    p->scores[i] = order_score (&p->order, i, now);
}

/* Looks for what to stop so that J finds room; fills p->victims. */
gboolean
plan_search (Plan *p, FleetJob *j, ReclaimKind kind, ClockMs now, double *cost)
{
  ReclaimAsk ask = { .fleet = &p->fleet,
                     .job = j,
                     .kind = kind,
                     .now = now,
                     .scores = p->scores,
                     .n_scores = p->rows->len };
  guint need[FLEET_MAX_ACCELERATORS + 1];

  if (kind == RECLAIM_GUARANTEE)
    {
      quota_need_without (&p->quota, j, need);
      ask.need = need;
      ask.units = (const QuotaUnit *)(gpointer)p->units->data;
      ask.n_units = p->units->len;
    }
  score_all (p, now);
  return reclaim_find (&ask, p->victims, cost);
}

/* Claims the place of J and gives out its victims, or starts it if there is
   nothing to wait for. */
void
plan_give_claim (Plan *p,
                 FleetJob *j,
                 PlanKind kind,
                 ClockMs now,
                 PlanStep *step)
{
  guint i;

  if (p->drain == j)
    plan_end_drain (p);
  quota_anchor (&p->quota, &p->fleet, j);
  fleet_claim (&p->fleet, j);
  order_remove (&p->order, j);
  order_take (&p->order, j, now);
  if (p->victims->len == 0 && fleet_claim_is_free (&p->fleet, j) &&
      fleet_place (&p->fleet, j))
    {
      give_start (p, j, now, step);
      return;
    }
  g_ptr_array_add (p->claimants, j);
  j->wait = PLAN_WAIT_RECLAIM;
  for (i = 0; i < p->victims->len; i++)
    ((FleetJob *)g_ptr_array_index (p->victims, i))->stopping = 1;
  *step = (PlanStep) { .kind = kind,
                       .job = j,
                       .victims = (FleetJob **)p->victims->pdata,
                       .n_victims = p->victims->len };
}

/* Tells whether each part of J is assigned to a run of just its size, so
   that any placer will do. */
static gboolean
fits_runs (const Plan *p, const FleetJob *j)
{
  guint i;

  for (i = 0; i < p->units->len; i++)
    {
      const QuotaUnit *u = &g_array_index (p->units, QuotaUnit, i);

      if (u->anchored || u->hold != j->accelerators)
        return FALSE;
    }
  return TRUE;
}

static gboolean
start_in_guarantee (Plan *p, FleetJob *j, ClockMs now, PlanStep *step)
{
  double cost;

  if (fits_runs (p, j) && plan_find_room (p, j, CLOCK_NEVER, FALSE))
    {
      if (take_room (p, j, now))
        {
          give_start (p, j, now, step);
          return TRUE;
        }
      if (!quota_charge (&p->quota, j, p->units))
        return FALSE;
    }
  if (!plan_search (p, j, RECLAIM_GUARANTEE, now, &cost))
    return FALSE;
  plan_give_claim (p, j, PLAN_RECLAIM, now, step);
  return TRUE;
}

/* Tries to start J inside its guarantee; RECLAIMS counts the failures that
   are still allowed. */
static gboolean
try_guarantee (Plan *p,
               FleetJob *j,
               ClockMs now,
               guint *reclaims,
               PlanStep *step)
{
  guint i;

  if (*reclaims == 0 || !plan_charge (p, j, now))
    return FALSE;
  j->in_guarantee = TRUE;
  if (start_in_guarantee (p, j, now, step))
    {
      plan_promote (p, j->workspace, now);
      return TRUE;
    }
  --*reclaims;
  for (i = 0; i < j->parts; i++)
    j->part[i].slot = FLEET_NO_SLOT;
  j->in_guarantee = FALSE;
  j->wait = PLAN_WAIT_ROOM;
  plan_promote (p, j->workspace, now);
  return FALSE;
}

static gboolean
try_borrow (Plan *p, FleetJob *j, ClockMs now, PlanStep *step)
{
  ClockMs run = learn_run_ms (&p->learn, j);
  ClockMs ends = run == CLOCK_NEVER ? CLOCK_NEVER : now + run;
  PlanShape shape = shape_of (p, j, ends);

  if (fleet_needs_guarantee (j))
    {
      j->wait = PLAN_WAIT_GUARANTEE;
      return FALSE;
    }
  plan_check_blocked (p, j, now);
  j->wait = p->drain == j            ? PLAN_WAIT_DRAIN
            : now < j->blocked_until ? PLAN_WAIT_BLOCKED
                                     : PLAN_WAIT_ROOM;
  if (p->drain != j && has_failed (p, &shape))
    return FALSE;
  if ((plan_find_room (p, j, ends, FALSE) && take_room (p, j, now)) ||
      (!fleet_can_stop (j) && plan_find_room (p, j, ends, TRUE) &&
       take_room (p, j, now)))
    {
      give_start (p, j, now, step);
      return TRUE;
    }
  if (p->drain != j)
    note_failed (p, &shape);
  return FALSE;
}

static gboolean
run_round (Plan *p, ClockMs now, gboolean guaranteed, PlanStep *step)
{
  OrderRound round;
  FleetJob *j;
  gboolean found = FALSE;
  guint reclaims = PLAN_MAX_RECLAIMS;

  order_round_init (&round, &p->order, guaranteed, now);
  while (!found && (j = order_round_next (&round)))
    if (!order_within_limits (&p->order, j))
      j->wait = PLAN_WAIT_LIMIT;
    else if (guaranteed)
      found = try_guarantee (p, j, now, &reclaims, step);
    else
      found = try_borrow (p, j, now, step);
  order_round_clear (&round);
  return found;
}

/* Returns how many parts of J worker W has free room for. */
static guint
parts_free (const FleetWorker *w, const FleetJob *j)
{
  guint64 open = fleet_run_mask (0, w->accelerators) & ~(w->used | w->claimed);

  if (!w->usable || w->drained)
    return 0;
  return fleet_parts_of (j, open, w->cores_free, w->memory_free);
}

/* Tells whether there is free room for J PLAN_SWEEP_TIMES. */
static gboolean
has_ample_room (const Plan *p, const FleetJob *j)
{
  guint parts = 0;
  guint i;

  for (i = 0; i < p->fleet.workers->len && parts < PLAN_SWEEP_TIMES * j->parts;
       i++)
    parts += parts_free (fleet_worker (&p->fleet, i), j);
  return parts >= PLAN_SWEEP_TIMES * j->parts;
}

/* Tries, once a tick, the next few jobs of each workspace behind those that
   the rounds try.  None stands beside ample room because of those before it;
   where room is scarce it is left to them. */
static gboolean
run_sweep (Plan *p, ClockMs now, PlanStep *step)
{
  OrderRound round;
  FleetJob *j;
  gboolean found = FALSE;

  if (!p->must_sweep)
    return FALSE;
  order_sweep_init (&round, &p->order, now);
  while (!found && (j = order_round_next (&round)))
    if (order_within_limits (&p->order, j) && has_ample_room (p, j))
      found = try_borrow (p, j, now, step);
  order_round_clear (&round);
  p->must_sweep = found;
  return found;
}

/* Decides one step at NOW.  Returns FALSE if there is nothing to do until
   something changes or plan_tick is called. */
gboolean
plan_next (Plan *p, ClockMs now, PlanStep *step)
{
  if (p->is_idle)
    return FALSE;
  plan_fit_guarantees (p, now);
  if (start_claimant (p, now, step))
    return TRUE;
  if (p->order.n_waiting > 0 &&
      (run_round (p, now, TRUE, step) || run_round (p, now, FALSE, step) ||
       run_sweep (p, now, step) || plan_run_drain (p, now, step) ||
       plan_run_move (p, now, step)))
    return TRUE;
  p->is_idle = TRUE;
  return FALSE;
}
