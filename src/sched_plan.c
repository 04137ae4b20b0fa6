#include "sched_state.h"

#include <string.h>

/* The plan of the domain: the jobs that wait, and its steps carried out. */

enum
{
  SCHED_BACKOFF_MS = 500, /* after a first failed run, then doubled */
  SCHED_STORE_MS = 500,   /* between looks whether the store is back */
  SCHED_MAX_STEPS = 256   /* of the plan in one go */
};

/* Makes the plan, with all workers and no job. */
void
sched_make_plan (Core *c)
{
  Sched *s = c->sched;
  guint own = 0;
  guint i;

  s->plan = plan_new (c->cfg->domain, (guint32)core_random (c, G_MAXINT32));
  s->table_revision = -1;
  for (i = 0; i < c->cfg->workers.n; i++)
    {
      const ConfigWorker *w = config_worker (c->cfg, i);

      if (strcmp (w->domain, c->cfg->domain) == 0)
        ((Worker *)g_hash_table_lookup (s->worker_by_name, w->name))->index =
            own++;
      plan_add_worker (s->plan, w->domain, w->name, w->rack,
                       (guint)w->accelerators, w->cores, w->memory_mb);
    }
}

/* Has the plan looked at once this event has been dealt with. */
void
sched_plan_soon (Core *c)
{
  Sched *s = c->sched;

  if (s->ready && !s->plan_timer.slot)
    core_arm (c, &s->plan_timer, c->now);
}

/* Takes the table in force into the plan, if it has changed. */
void
sched_sync_table (Core *c)
{
  Sched *s = c->sched;
  GPtrArray *rows;
  guint i;

  if (s->table_revision == table_revision (c))
    return;
  s->table_revision = table_revision (c);
  rows = g_ptr_array_new ();
  for (i = 0; i < table_n_workspaces (c); i++)
    g_ptr_array_add (rows, (gpointer)table_workspace (c, i));
  plan_set_table (s->plan, (const Workspace *const *)rows->pdata, rows->len,
                  c->now);
  g_ptr_array_unref (rows);
}

static void
try_again (Core *c, Timer *t)
{
  sched_submit (c, t->owner);
}

/* Keeps J, which waits, out of the plan for SPAN. */
static void
put_aside (Core *c, Job *j, ClockMs span)
{
  if (j->planned)
    plan_end (c->sched->plan, &j->fleet, c->now, FALSE);
  j->planned = FALSE;
  j->fleet.wait = PLAN_WAIT_TURN;
  j->timer.fire = try_again;
  j->timer.owner = j;
  core_arm (c, &j->timer, c->now + core_jitter (c, span));
}

/* Keeps J, whose last run failed, out of the queue for a while that grows:
   a worker that fails everything is always free, and without that would get
   the same job again and again. */
static void
back_off (Core *c, Job *j)
{
  ClockMs span = (ClockMs)SCHED_BACKOFF_MS << MIN (j->rec->evidence.n - 1, 6);

  j->failed = FALSE;
  put_aside (c, j, span);
}

/* Tells whether J can't start before the store is back, so that it must not
   take room until then. */
gboolean
sched_waits_for_store (const Core *c, const Job *j)
{
  return !j->rec->repeatable && !store_is_up (c);
}

/* Once the store has gone, takes what waits for it out of the plan. */
static void
heed_store (Core *c)
{
  Sched *s = c->sched;
  GHashTableIter it;
  gpointer value;

  if (store_is_up (c) || s->heeded_outage)
    {
      s->heeded_outage = !store_is_up (c);
      return;
    }
  s->heeded_outage = TRUE;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Job *j = value;

      if (j->phase == PHASE_WAITING && j->planned &&
          sched_waits_for_store (c, j))
        put_aside (c, j, SCHED_STORE_MS);
    }
}

static void
place (Core *c, Job *j)
{
  Sched *s = c->sched;
  RecList *seats = &j->rec->seats;
  guint i;

  rec_list_clear (job_seat_desc (), seats);
  for (i = 0; i < j->fleet.parts; i++)
    {
      JobSeat *seat = rec_list_add (job_seat_desc (), seats);

      rec_set_str (&seat->worker,
                   plan_worker_name (s->plan, &j->fleet.part[i]));
      seat->first = j->fleet.part[i].first;
      seat->count = j->rec->accelerators;
    }
  gang_place (c, j);
}

static void
make_room (Core *c, const PlanStep *step)
{
  guint i;

  for (i = 0; i < step->n_victims; i++)
    {
      Job *v = step->victims[i]->owner;

      core_add (c, step->kind == PLAN_MOVE ? COUNT_MOVES : COUNT_RECLAIMS, 1);
      core_write_note (c, &(CoreNote) {
                              .kind = NOTE_JOB_RECLAIMED,
                              .job = v->rec->id,
                              .workspace = v->rec->workspace,
                              .detail =
                                  step->kind == PLAN_MOVE
                                      ? "against fragmentation"
                                      : ((Job *)step->job->owner)->rec->id });
      gang_save (c, v);
    }
}

/* Carries out the plan's steps until there is none. */
void
sched_run_plan (Core *c, Timer *t)
{
  Sched *s = c->sched;
  PlanStep step;
  int n = 0;

  if (!s->ready || c->draining)
    return;
  sched_sync_table (c);
  heed_store (c);
  while (n++ < SCHED_MAX_STEPS && plan_next (s->plan, c->now, &step))
    if (step.kind == PLAN_START)
      place (c, step.job->owner);
    else
      make_room (c, &step);
  if (n > SCHED_MAX_STEPS)
    core_arm (c, t, c->now + 1);
  core_set (c, COUNT_JOBS_WAITING, plan_n_waiting (s->plan));
}

/* Makes J, whose gang holds nothing any more, wait again. */
void
sched_requeue (Core *c, Job *j)
{
  j->phase = PHASE_WAITING;
  j->rec->state = JOB_QUEUED;
  if (j->failed)
    back_off (c, j);
  else if (sched_waits_for_store (c, j))
    put_aside (c, j, SCHED_STORE_MS);
  else if (j->planned)
    plan_requeue (c->sched->plan, &j->fleet, c->now);
  else
    {
      j->planned = TRUE;
      plan_submit (c->sched->plan, &j->fleet);
    }
  if (j->rec->cancel)
    gang_cancel (c, j);
  else if (j->rec->saved_ms || !j->rec->repeatable)
    job_write (c, j);
  sched_plan_soon (c);
}

/* Makes J, which holds nothing and is not in the plan, wait. */
void
sched_submit (Core *c, Job *j)
{
  j->phase = PHASE_WAITING;
  j->rec->state = JOB_QUEUED;
  if (sched_waits_for_store (c, j))
    put_aside (c, j, SCHED_STORE_MS);
  else
    {
      j->planned = TRUE;
      plan_submit (c->sched->plan, &j->fleet);
    }
  if (j->rec->cancel)
    gang_cancel (c, j);
  sched_plan_soon (c);
}
