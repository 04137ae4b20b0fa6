#include "sched_state.h"

#include <string.h>

/* Tells whether one of LIST has started. */
static gboolean
any_started (GPtrArray *list)
{
  guint i;

  for (i = 0; list && i < list->len; i++)
    if (((Orphan *)g_ptr_array_index (list, i))->lease->state != LEASE_RESERVED)
      return TRUE;
  return FALSE;
}

/* Fits the leases that workers reported to the seats in J's record. */
static guint
fit_leases (Core *c, Job *j, GPtrArray *list)
{
  guint n = 0;
  guint i;

  for (i = 0; list && i < list->len; i++)
    {
      Orphan *o = g_ptr_array_index (list, i);
      const WorkerLease *l = o->lease;
      Part *p = l->part < j->n_parts ? &j->parts[l->part] : NULL;

      if (!p || p->worker != o->worker || l->run != j->rec->run)
        {
          lease_stop (c, o->worker, l);
          continue;
        }
      p->lease_end = c->now + c->cfg->worker_lease_ms;
      p->progress_ms = l->progress_ms;
      p->state = l->state == LEASE_RESERVED  ? PART_RESERVED
                 : l->state == LEASE_RUNNING ? PART_RUNNING
                 : l->state == LEASE_DONE    ? PART_DONE
                 : l->state == LEASE_SAVED   ? PART_SAVED
                                             : PART_GONE;
      if (p->state == PART_RUNNING)
        gang_part_started (c, p);
      n += l->state <= LEASE_DONE;
    }
  return n;
}

/* Takes the seats of a record that the store does not have yet from the
   leases, when all parts are there. */
static void
seats_from_leases (Job *j, GPtrArray *list)
{
  JobRecord *r = j->rec;
  const Orphan *by_part[128] = { NULL };
  gint64 run = 0;
  guint n = 0;
  guint i;

  for (i = 0; i < list->len; i++)
    run = MAX (run, ((Orphan *)g_ptr_array_index (list, i))->lease->run);
  if (run <= r->run)
    return;
  for (i = 0; i < list->len; i++)
    {
      const Orphan *o = g_ptr_array_index (list, i);

      if (o->lease->run != run || o->lease->part >= r->parts ||
          by_part[o->lease->part])
        continue;
      by_part[o->lease->part] = o;
      n++;
    }
  r->run = run;
  if (n != r->parts)
    return;
  rec_list_clear (job_seat_desc (), &r->seats);
  for (i = 0; i < n; i++)
    {
      JobSeat *seat = rec_list_add (job_seat_desc (), &r->seats);

      rec_set_str (&seat->worker, by_part[i]->worker->cfg->name);
      seat->first = by_part[i]->lease->first;
      seat->count = by_part[i]->lease->count;
    }
  r->state = JOB_PLACED;
  j->unwritten = TRUE;
}

static gboolean
seats_exist (Core *c, const Job *j)
{
  guint i;

  for (i = 0; i < j->rec->seats.n; i++)
    if (!g_hash_table_contains (c->sched->worker_by_name,
                                job_seat (j->rec, i)->worker))
      return FALSE;
  return j->rec->seats.n == j->rec->parts;
}

/* Takes the room of J's seats in the plan.  Returns FALSE if another job has
   it; J is not in the plan then, which could place it while its parts are
   still being stopped. */
static gboolean
adopt_room (Core *c, Job *j)
{
  Sched *s = c->sched;
  const Fleet *f = plan_fleet (s->plan);
  FleetPart *part = g_new0 (FleetPart, j->n_parts);
  guint i;

  j->fleet.part = part;
  for (i = 0; i < j->n_parts; i++)
    {
      fleet_find (f, j->parts[i].worker->cfg->name, &part[i].worker);
      part[i].first = (guint8)j->parts[i].first;
    }
  j->planned = TRUE;
  if (plan_adopt (s->plan, &j->fleet, c->now))
    return TRUE;
  g_free (part);
  j->fleet.part = NULL;
  j->planned = FALSE;
  return FALSE;
}

/* A part without a lease on a worker that has reported has ended; on one that
   has not, it counts as running until the lease must have lapsed. */
static Part *
presume (Core *c, Job *j)
{
  Part *gone = NULL;
  guint i;

  for (i = 0; i < j->n_parts; i++)
    {
      Part *p = &j->parts[i];

      if (p->state == PART_RESERVING && !p->worker->reported)
        {
          p->state = PART_RUNNING;
          p->lease_end = c->now + c->cfg->worker_lease_ms;
        }
      else if (p->state == PART_RESERVING)
        p->state = PART_GONE;
      if (p->state == PART_GONE)
        gone = p;
    }
  return gone;
}

/* Tells whether J, which must not be repeated, is recorded as started while a
   part is only reserved.  That part may have run in an earlier process of its
   worker, whose new process got the reservation late. */
static gboolean
may_have_run_before (const Job *j)
{
  return j->rec->state == JOB_RUNNING && !gang_may_repeat (j) &&
         gang_count (j, PART_RESERVED) > 0;
}

static void
complete_or_undo (Core *c, Job *j, guint found)
{
  gboolean started = j->rec->state == JOB_RUNNING || j->lost;
  Part *gone = presume (c, j);
  guint n_saved = gang_count (j, PART_SAVED);

  j->phase = PHASE_START;
  if (n_saved == j->n_parts)
    gang_saved (c, j);
  else if (may_have_run_before (j))
    gang_undo (c, j, JOB_UNKNOWN, "it may have run in an earlier process");
  else if (!started && ((!j->rec->repeatable &&
                         gang_count (j, PART_RESERVED) < j->n_parts) ||
                        (gone && found == 0)))
    /* Nothing has started, and nothing does before that is recorded. */
    gang_undo (c, j, JOB_QUEUED, "placed by a scheduler that is gone");
  else if (gone)
    gang_broken (c, j, gone, FALSE, "a part is gone");
  else if (n_saved)
    gang_undo (c, j, JOB_QUEUED, "saved in part");
  else if (gang_count (j, PART_RESERVED) == 0)
    gang_advance (c, j);
  else if (!started)
    {
      j->phase = PHASE_RESERVE;
      gang_advance (c, j);
      if (j->phase == PHASE_RESERVE)
        gang_start_all (c, j);
    }
  else
    gang_start_all (c, j);
}

/* Tells whether all workers of J's seats have reported and none of them has
   a lease of it. */
static gboolean
nothing_left (Core *c, const Job *j, const GPtrArray *list)
{
  guint i;

  for (i = 0; i < j->rec->seats.n; i++)
    {
      const Worker *w = g_hash_table_lookup (c->sched->worker_by_name,
                                             job_seat (j->rec, i)->worker);

      if (!w || !w->reported)
        return FALSE;
    }
  return !list;
}

static void
forget_leases (Core *c, const Job *j, gboolean stop)
{
  GPtrArray *list = g_hash_table_lookup (c->sched->orphans, j->rec->id);
  guint i;

  for (i = 0; stop && list && i < list->len; i++)
    {
      const Orphan *o = g_ptr_array_index (list, i);

      lease_stop (c, o->worker, o->lease);
    }
  g_hash_table_remove (c->sched->orphans, j->rec->id);
}

/* Takes over J, which has no gang. */
static void
adopt_alone (Core *c, Job *j)
{
  forget_leases (c, j, TRUE);
  if (job_state_ended ((JobState)j->rec->state))
    {
      j->phase = PHASE_ENDED;
      gang_end_written (c, j);
    }
  else if ((j->rec->state == JOB_RUNNING || j->lost) && !gang_may_repeat (j))
    {
      j->phase = PHASE_ENDED;
      gang_end (c, j, JOB_UNKNOWN,
                j->lost ? "the store lost its record" : "its workers are gone");
    }
  else
    sched_submit (c, j);
}

/* Takes over J with what the workers report: completes its gang, or undoes
   it. */
void
adopt_job (Core *c, Job *j)
{
  GPtrArray *list = g_hash_table_lookup (c->sched->orphans, j->rec->id);
  guint found;

  j->lost |= j->rec->state == JOB_QUEUED && any_started (list);
  if (list && !job_state_ended ((JobState)j->rec->state))
    seats_from_leases (j, list);
  if (job_state_ended ((JobState)j->rec->state) ||
      j->rec->state == JOB_QUEUED || !seats_exist (c, j) ||
      nothing_left (c, j, list))
    {
      adopt_alone (c, j);
      return;
    }
  gang_make_parts (c, j);
  if (!adopt_room (c, j))
    {
      forget_leases (c, j, FALSE);
      j->phase = PHASE_START;
      gang_undo (c, j, gang_may_repeat (j) ? JOB_QUEUED : JOB_UNKNOWN,
                 "its room is held by another job");
      return;
    }
  found = fit_leases (c, j, list);
  forget_leases (c, j, FALSE);
  j->run_since = j->rec->started_at ? MIN (j->rec->started_at, c->now) : c->now;
  complete_or_undo (c, j, found);
}

/* Stops the leases, first reported before BEFORE, of jobs that a listing sent
   after it does not have. */
void
adopt_reap (Core *c, ClockMs before)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->sched->orphans);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      GPtrArray *list = value;
      const Orphan *o = g_ptr_array_index (list, list->len - 1);
      guint i;

      if (o->seen >= before)
        continue;
      for (i = 0; i < list->len; i++)
        {
          o = g_ptr_array_index (list, i);
          lease_stop (c, o->worker, o->lease);
        }
      g_hash_table_iter_remove (&it);
    }
}
