#include "plan.h"

#include <string.h>

APR_RING_HEAD (PlanQueue, FleetJob);

struct Plan
{
  char *domain;
  GRand *rng;
  Fleet fleet;
  const PlaceOps *ops;
  struct PlanQueue waiting; /* by id */
  guint n_waiting;
  GHashTable *workspaces; /* name -> guint */
  GHashTable *kinds;
};

/* Returns the plan of the failure domain called DOMAIN, without workers. */
Plan *
plan_new (const char *domain, guint32 seed)
{
  Plan *p = g_new0 (Plan, 1);

  p->domain = g_strdup (domain);
  p->rng = g_rand_new_with_seed (seed);
  p->ops = &place_best;
  fleet_init (&p->fleet);
  APR_RING_INIT (&p->waiting, FleetJob, link);
  p->workspaces =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

static void
forget (FleetJob *j)
{
  g_free (j->part);
  j->part = NULL;
  j->state = FLEET_WAITING;
}

/* Releases P.  Its jobs must have been ended before. */
void
plan_free (Plan *p)
{
  g_hash_table_unref (p->workspaces);
  g_hash_table_unref (p->kinds);
  fleet_clear (&p->fleet);
  g_rand_free (p->rng);
  g_free (p->domain);
  g_free (p);
}

/* Makes P place by OPS instead of its own placer; for comparisons. */
void
plan_set_placer (Plan *p, const PlaceOps *ops)
{
  p->ops = ops;
}

/* Adds a worker of any domain, up until plan_set_usable says otherwise. */
void
plan_add_worker (Plan *p,
                 const char *domain,
                 const char *name,
                 const char *rack,
                 guint accelerators,
                 gint64 cores,
                 gint64 memory_mb)
{
  if (strcmp (domain, p->domain) == 0)
    fleet_add_worker (&p->fleet, name, rack, accelerators, cores, memory_mb);
}

/* Makes the worker called WORKER count, or not.  Its jobs are ended or
   requeued by the caller. */
void
plan_set_usable (Plan *p, const char *worker, gboolean usable)
{
  guint i;

  if (fleet_find (&p->fleet, worker, &i))
    fleet_set_usable (&p->fleet, i, usable);
}

/* Takes the N rows of the table in force. */
void
plan_set_table (Plan *p, const Workspace *const *rows, guint n)
{
  guint i;

  for (i = 0; i < n; i++)
    plan_workspace (p, rows[i]->name);
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
  return intern (p->workspaces, name);
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
prepare (FleetJob *j)
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
}

static void
enqueue (Plan *p, FleetJob *j)
{
  FleetJob *k = APR_RING_LAST (&p->waiting);

  while (k != APR_RING_SENTINEL (&p->waiting, FleetJob, link) && k->id > j->id)
    k = APR_RING_PREV (k, link);
  if (k == APR_RING_SENTINEL (&p->waiting, FleetJob, link))
    APR_RING_INSERT_HEAD (&p->waiting, j, FleetJob, link);
  else
    APR_RING_INSERT_AFTER (k, j, link);
  p->n_waiting++;
}

static void
dequeue (Plan *p, FleetJob *j)
{
  APR_RING_REMOVE (j, link);
  p->n_waiting--;
}

/* Tells whether J could ever run here; sets ERROR to the reason if not. */
gboolean
plan_check (const Plan *p, const FleetJob *j, GError **error)
{
  if (place_could_ever (&p->fleet, j))
    return TRUE;
  g_set_error (
      error, PLAN_ERROR, PLAN_ERROR_IMPOSSIBLE,
      "domain \"%s\" can't hold %u parts of %u accelerators, %" G_GINT64_FORMAT
      " cores and %" G_GINT64_FORMAT " MB at once",
      p->domain, j->parts, j->accelerators, j->cores, j->memory_mb);
  return FALSE;
}

/* Makes J wait for its turn.  J stays in P until plan_end. */
void
plan_submit (Plan *p, FleetJob *j)
{
  prepare (j);
  enqueue (p, j);
}

/* Takes J as running at NOW where its parts' WORKER and FIRST say: J->part
   was allocated with g_new0 by the caller and belongs to P from here on.
   Returns FALSE if the room is not there; J is then not in P, and its parts
   are the caller's again. */
gboolean
plan_adopt (Plan *p, FleetJob *j, ClockMs now)
{
  prepare (j);
  if (!fleet_place (&p->fleet, j))
    return FALSE;
  if (!j->started)
    j->started = now;
  return TRUE;
}

/* Decides one step at NOW.  Returns FALSE if there is nothing to do until
   something changes. */
gboolean
plan_next (Plan *p, ClockMs now, PlanStep *step)
{
  FleetJob *j = NULL;

  APR_RING_FOREACH (j, &p->waiting, FleetJob, link)
    {
      PlaceAsk ask = { .fleet = &p->fleet,
                       .job = j,
                       .ends = CLOCK_NEVER,
                       .rng = p->rng };

      if (!p->ops->find (&ask) || !fleet_place (&p->fleet, j))
        continue;
      dequeue (p, j);
      j->started = now;
      *step = (PlanStep) { .kind = PLAN_START, .job = j };
      return TRUE;
    }
  return FALSE;
}

/* Notes that J wrote a checkpoint at NOW. */
void
plan_saved (Plan *p, FleetJob *j, ClockMs now)
{
  (void)p;
  j->saved = now;
}

/* Frees the room of J, which waits again in its old place. */
void
plan_requeue (Plan *p, FleetJob *j, ClockMs now)
{
  (void)now;
  if (j->state == FLEET_WAITING)
    dequeue (p, j);
  fleet_release (&p->fleet, j);
  enqueue (p, j);
}

/* Forgets J, wherever it stood; its struct is the caller's again.
   RAN_TO_END: its run time is worth learning. */
void
plan_end (Plan *p, FleetJob *j, ClockMs now, gboolean ran_to_end)
{
  (void)now;
  (void)ran_to_end;
  if (j->state == FLEET_WAITING)
    dequeue (p, j);
  fleet_release (&p->fleet, j);
  forget (j);
}

/* Corrects the account of WORKSPACE by what its workers report to be in
   use, all in units of their own. */
void
plan_correct_usage (Plan *p,
                    guint workspace,
                    double accelerators,
                    double cores,
                    double memory_mb)
{
  (void)p;
  (void)workspace;
  (void)accelerators;
  (void)cores;
  (void)memory_mb;
}

/* Returns why J waits. */
PlanWait
plan_wait (const Plan *p, const FleetJob *j)
{
  (void)p;
  return j->state == FLEET_WAITING ? PLAN_WAIT_ROOM : PLAN_WAIT_NONE;
}

/* Returns W in words. */
const char *
plan_wait_text (PlanWait w)
{
  static const char *const texts[] = {
    [PLAN_WAIT_TURN] = "other work goes first",
    [PLAN_WAIT_ROOM] = "no room for its shape is free now",
    [PLAN_WAIT_LIMIT] = "its workspace is at a limit",
    [PLAN_WAIT_RECLAIM] = "borrowed work is being stopped for it",
    [PLAN_WAIT_GUARANTEE] =
        "it can only run inside its guarantee, which is in use",
    [PLAN_WAIT_NONE] = "it doesn't wait",
  };

  return texts[w];
}

/* Returns the number of jobs that wait. */
guint
plan_n_waiting (const Plan *p)
{
  return p->n_waiting;
}

/* Returns the number of workspaces whose guarantee isn't upheld in full. */
guint
plan_n_short (const Plan *p)
{
  (void)p;
  return 0;
}

/* Returns what the I-th workspace of these lacks. */
PlanShort
plan_short_at (const Plan *p, guint i)
{
  (void)p;
  (void)i;
  return (PlanShort) { 0 };
}

/* Returns the fragmentation by the largest shape that waits. */
double
plan_fragmentation (const Plan *p)
{
  FleetJob *j = NULL;
  guint most = 1;

  APR_RING_FOREACH (j, &p->waiting, FleetJob, link)
    {
      most = MAX (most, j->accelerators);
    }
  return fleet_fragmentation (&p->fleet, most);
}

/* Returns the fleet of P, for reading. */
const Fleet *
plan_fleet (const Plan *p)
{
  return &p->fleet;
}

/* Notes that J failed on WORKER at NOW.  The caller then requeues J or, on
   PLAN_BLAME_JOB, ends it. */
PlanBlame
plan_failed (Plan *p, FleetJob *j, const char *worker, ClockMs now)
{
  (void)p;
  (void)j;
  (void)worker;
  (void)now;
  return PLAN_BLAME_NONE;
}

/* Notes that J ended well at NOW, which speaks for its workers; plan_end
   follows. */
void
plan_succeeded (Plan *p, FleetJob *j, ClockMs now)
{
  (void)p;
  (void)j;
  (void)now;
}

/* Lets time do its work: quarantines end, drains expire. */
void
plan_tick (Plan *p, ClockMs now)
{
  (void)p;
  (void)now;
}
