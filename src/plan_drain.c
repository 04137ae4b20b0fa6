#include "plan_state.h"

enum
{
  PLAN_MAX_REFUSED = 64 /* jobs that a drain is refused in one call */
};

/* Ends the draining reservation; its workers are open to all again. */
void
plan_end_drain (Plan *p)
{
  guint i;

  for (i = 0; i < p->fleet.workers->len; i++)
    fleet_worker (&p->fleet, i)->drained = FALSE;
  p->fleet.drained_until = 0;
  p->fleet.releases++;
  p->drain = NULL;
}

/* Returns when the last part on W that may be waited for is likely to end,
   or the time at which stopping begins. */
static ClockMs
free_at (const Plan *p, const FleetWorker *w, ClockMs now)
{
  ClockMs last = now;
  FleetPart *part = NULL;

  APR_RING_FOREACH (part, &w->parts, FleetPart, link)
    {
      ClockMs run = learn_run_ms (&p->learn, part->job);
      ClockMs end = now + PLAN_DRAIN_MOST_MS;

      if (part->job->accelerators == 0)
        continue;
      if (run < PLAN_DRAIN_MOST_MS * 100LL)
        end = MIN (end, MAX (part->job->started + run, now));
      last = MAX (last, end);
    }
  return last;
}

/* A worker that could be kept free for a job. */
typedef struct Drainable
{
  guint worker;
  guint parts; /* of the job, that its free accelerators hold then */
  ClockMs free_at;
} Drainable;

static gint
compare_drainable (gconstpointer a, gconstpointer b)
{
  const Drainable *x = a;
  const Drainable *y = b;

  if (x->free_at != y->free_at)
    return x->free_at < y->free_at ? -1 : 1;
  if (x->parts != y->parts)
    return x->parts > y->parts ? -1 : 1;
  return x->worker < y->worker ? -1 : 1;
}

/* Returns how many parts of J would find room on W if all work there that can
   be stopped were gone. */
static guint
parts_when_drained (const FleetWorker *w, const FleetJob *j)
{
  guint64 open = fleet_run_mask (0, w->accelerators) & ~(w->held | w->claimed);
  gint64 cores = w->cores;
  gint64 memory_mb = w->memory_mb;
  const FleetPart *p = NULL;

  APR_RING_FOREACH (p, &w->parts, FleetPart, link)
    {
      if (fleet_can_stop (p->job))
        continue;
      open &= ~fleet_run_mask (p->first, p->job->accelerators);
      cores -= p->job->cores;
      memory_mb -= p->job->memory_mb;
    }
  return fleet_parts_of (j, open, cores, memory_mb);
}

/* Looks, now and then, whether J would find no room if all borrowed work were
   stopped. */
void
plan_check_blocked (Plan *p, FleetJob *j, ClockMs now)
{
  guint parts = 0;
  guint i;

  if (now < j->check_at || j->accelerators == 0)
    return;
  j->check_at = now + PLAN_DRAIN_RETRY_MS;
  for (i = 0; i < p->fleet.workers->len && parts < j->parts; i++)
    {
      const FleetWorker *w = fleet_worker (&p->fleet, i);

      parts += w->usable ? parts_when_drained (w, j) : 0;
    }
  j->blocked_until = parts < j->parts ? j->check_at : 0;
}

/* Returns the workers that could be kept free for J, as Drainable: those that
   come free first in front, then those that hold most parts. */
static GArray *
drainable_workers (Plan *p, const FleetJob *j, ClockMs now)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (Drainable));
  guint i;

  for (i = 0; i < p->fleet.workers->len; i++)
    {
      const FleetWorker *w = fleet_worker (&p->fleet, i);
      Drainable d = { .worker = i };

      d.parts = w->usable ? parts_when_drained (w, j) : 0;
      if (d.parts == 0)
        continue;
      d.free_at = free_at (p, w, now);
      g_array_append_val (list, d);
    }
  g_array_sort (list, compare_drainable);
  return list;
}

/* Keeps the workers that come free first for J, if they can hold it. */
static void
begin_drain (Plan *p, FleetJob *j, ClockMs now)
{
  GArray *list = drainable_workers (p, j, now);
  guint parts = 0;
  guint i;

  for (i = 0; i < list->len && parts < j->parts; i++)
    parts += g_array_index (list, Drainable, i).parts;
  if (parts >= j->parts)
    {
      p->drain = j;
      p->drain_since = now;
      while (i-- > 0)
        {
          const Drainable *d = &g_array_index (list, Drainable, i);

          fleet_worker (&p->fleet, d->worker)->drained = TRUE;
          p->fleet.drained_until = MAX (p->fleet.drained_until, d->free_at);
        }
    }
  g_array_unref (list);
}

/* Tells whether J may borrow room that is made for it. */
static gboolean
may_borrow (const FleetJob *j, ClockMs now)
{
  (void)now;
  return j->accelerators > 0 && !fleet_needs_guarantee (j);
}

static gboolean
may_drain (const FleetJob *j, ClockMs now)
{
  return may_borrow (j, now) && now - j->arrived >= PLAN_DRAIN_AFTER_MS &&
         now >= j->blocked_until;
}

/* Gives the oldest job that has waited long enough the reservation.  One that
   could not use it is passed over for a while. */
static void
next_drain (Plan *p, ClockMs now)
{
  guint n = 0;
  FleetJob *j;

  while (!p->drain && n++ < PLAN_MAX_REFUSED &&
         (j = order_oldest (&p->order, may_drain, now)))
    {
      begin_drain (p, j, now);
      if (p->drain != j)
        j->blocked_until = now + PLAN_DRAIN_RETRY_MS;
    }
}

/* Sees to it that the oldest gang doesn't wait for ever: keeps workers free
   for it, and stops what is still there when that has taken too long. */
gboolean
plan_run_drain (Plan *p, ClockMs now, PlanStep *step)
{
  FleetJob *j = p->drain;
  double cost;

  if (!j)
    {
      next_drain (p, now);
      return FALSE;
    }
  if (order_within_limits (&p->order, j) &&
      now - p->drain_since < PLAN_DRAIN_MOST_MS)
    return FALSE;
  if (order_within_limits (&p->order, j) &&
      plan_search (p, j, RECLAIM_DRAIN, now, &cost))
    {
      plan_give_claim (p, j, PLAN_RECLAIM, now, step);
      return TRUE;
    }
  j->blocked_until = now + PLAN_DRAIN_RETRY_MS;
  plan_end_drain (p);
  return FALSE;
}

/* Tells whether all of p->victims find room elsewhere while J has its
   claim. */
static gboolean
victims_have_room (Plan *p, FleetJob *j)
{
  guint n = p->victims->len;
  FleetJob *trial = g_new (FleetJob, n);
  gboolean ok = TRUE;
  guint done = 0;

  fleet_claim (&p->fleet, j);
  while (done < n && ok)
    {
      FleetJob *t = &trial[done];

      *t = *(FleetJob *)g_ptr_array_index (p->victims, done);
      t->part = g_new0 (FleetPart, t->parts);
      plan_prepare (t);
      ok = plan_find_room (p, t, CLOCK_NEVER, FALSE) &&
           fleet_place (&p->fleet, t);
      done++;
    }
  while (done-- > 0)
    {
      fleet_release (&p->fleet, &trial[done]);
      g_free (trial[done].part);
    }
  fleet_release (&p->fleet, j);
  g_free (trial);
  return ok;
}

/* Moves work that can save itself, if what is lost is less than what the
   oldest job has lost by waiting. */
gboolean
plan_run_move (Plan *p, ClockMs now, PlanStep *step)
{
  FleetJob *j = order_oldest (&p->order, may_borrow, now);
  guint64 releases = p->fleet.releases;
  gint64 width;
  double cost;

  if (!j || now - j->arrived < PLAN_MOVE_AFTER_MS ||
      now - p->last_move < PLAN_MOVE_EVERY_MS)
    return FALSE;
  width = (gint64)j->parts * j->accelerators;
  if (p->fleet.n_accelerators - p->fleet.n_used < width)
    return FALSE;
  p->last_move = now;
  if (!plan_search (p, j, RECLAIM_MOVE, now, &cost) ||
      cost > (double)width * (double)(now - j->arrived) ||
      !victims_have_room (p, j))
    {
      p->fleet.releases = releases;
      return FALSE;
    }
  plan_give_claim (p, j, PLAN_MOVE, now, step);
  return TRUE;
}
