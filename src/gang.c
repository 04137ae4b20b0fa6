#include "sched_state.h"

/* Frees the parts of J without a call to the workers. */
void
gang_drop (Core *c, Job *j)
{
  guint i;

  for (i = 0; i < j->n_parts; i++)
    {
      gang_part_forget_call (c, &j->parts[i]);
      gang_part_release (c, &j->parts[i]);
    }
  g_free (j->parts);
  j->parts = NULL;
  j->n_parts = 0;
}

static void
stop_all (Core *c, Job *j)
{
  guint i;

  for (i = 0; i < j->n_parts; i++)
    gang_part_stop (c, &j->parts[i]);
}

/* Returns how many parts of J are in STATE. */
guint
gang_count (const Job *j, PartState state)
{
  guint n = 0;
  guint i;

  for (i = 0; i < j->n_parts; i++)
    n += j->parts[i].state == state;
  return n;
}

/* Writes a note of KIND about J. */
void
gang_note (Core *c,
           Job *j,
           NoteKind kind,
           const char *worker,
           const char *detail)
{
  core_write_note (c, &(CoreNote) { .kind = kind,
                                    .job = j->rec->id,
                                    .workspace = j->rec->workspace,
                                    .worker = worker,
                                    .detail = detail });
}

static void
leave_plan (Core *c, Job *j, gboolean ran_to_end)
{
  if (j->planned)
    plan_end (c->sched->plan, &j->fleet, c->now, ran_to_end);
  j->planned = FALSE;
  sched_plan_soon (c);
}

static void
count_running (Core *c, Job *j, int by)
{
  (void)j;
  c->sched->n_running += by;
  core_set (c, COUNT_JOBS_RUNNING, c->sched->n_running);
}

static void
leave_run (Core *c, Job *j)
{
  if (j->phase == PHASE_RUN || j->phase == PHASE_SAVE)
    count_running (c, j, -1);
}

static void
count_end (Core *c, Job *j)
{
  static const Counter counters[N_JOB_STATES] = {
    [JOB_DONE] = COUNT_JOBS_DONE,
    [JOB_FAILED] = COUNT_JOBS_FAILED,
    [JOB_CANCELLED] = COUNT_JOBS_CANCELLED,
    [JOB_UNKNOWN] = COUNT_JOBS_UNKNOWN
  };

  core_add (c, counters[j->rec->state], 1);
  gang_note (c, j, NOTE_JOB_ENDED, NULL,
             job_state_name ((JobState)j->rec->state));
}

/* Records how J ended.  Its leases are told to go only when the record is
   in the store, for until then they are the proof of the end. */
void
gang_end (Core *c, Job *j, JobState state, const char *reason)
{
  JobRecord *r = j->rec;

  r->state = state;
  r->ended_at = c->now;
  rec_set_str (&r->reason, reason);
  count_end (c, j);
  job_write (c, j);
}

/* Gives J's gang up: its parts are stopped, and J goes on as VERDICT says:
   back to the queue or ended. */
void
gang_undo (Core *c, Job *j, JobState verdict, const char *reason)
{
  if (j->phase == PHASE_UNDO || j->phase == PHASE_ENDED)
    return;
  leave_run (c, j);
  j->verdict = verdict;
  core_stop (c, &j->timer);
  core_add (c, COUNT_JOB_UNDONE, 1);
  gang_note (c, j, NOTE_JOB_UNDONE, NULL, reason);
  j->phase = PHASE_UNDO;
  if (job_state_ended (j->verdict))
    gang_end (c, j, j->verdict, reason);
  stop_all (c, j);
  gang_advance (c, j);
}

static void
undone (Core *c, Job *j)
{
  g_free (j->parts);
  j->parts = NULL;
  j->n_parts = 0;
  if (job_state_ended (j->verdict))
    {
      j->phase = PHASE_ENDED;
      leave_plan (c, j, FALSE);
      gang_on_written (c, j);
    }
  else
    sched_requeue (c, j);
}

static void
reserve_all (Core *c, Job *j)
{
  guint i;

  j->phase = PHASE_RESERVE;
  for (i = 0; i < j->n_parts; i++)
    {
      Part *p = &j->parts[i];

      p->state = PART_RESERVING;
      p->tries = 0;
      p->lease_end = c->now + GANG_RESERVE_LEASE_MS;
      gang_part_call (c, p, WORKER_RESERVE);
    }
  core_arm (c, &j->timer, c->now + GANG_RESERVE_LEASE_MS / 2);
}

/* Starts all parts of J that are reserved. */
void
gang_start_all (Core *c, Job *j)
{
  guint i;

  j->phase = PHASE_START;
  for (i = 0; i < j->n_parts; i++)
    {
      Part *p = &j->parts[i];

      if (p->state != PART_RESERVED)
        continue;
      p->state = PART_STARTING;
      p->tries = 0;
      p->lease_end = c->now + c->cfg->worker_lease_ms;
      gang_part_call (c, p, WORKER_START);
    }
  core_arm (c, &j->timer, c->now + GANG_RESERVE_LEASE_MS);
}

/* All parts are reserved.  Work that may not be repeated is recorded as
   started before the first part is, so that a successor never starts it
   again. */
static void
commit (Core *c, Job *j)
{
  if (j->rec->repeatable)
    {
      gang_start_all (c, j);
      return;
    }
  j->phase = PHASE_COMMIT;
  j->rec->state = JOB_RUNNING;
  job_write (c, j);
}

static void
running (Core *c, Job *j)
{
  gboolean save_due = j->save_due;
  guint i;

  j->phase = PHASE_RUN;
  j->run_since = c->now;
  j->rec->state = JOB_RUNNING;
  if (!j->rec->started_at)
    j->rec->started_at = c->now;
  core_stop (c, &j->timer);
  count_running (c, j, 1);
  core_add (c, COUNT_JOB_RUNS, 1);
  gang_note (c, j, NOTE_JOB_STARTED, j->parts[0].worker->cfg->name, NULL);
  for (i = 0; i < j->n_parts; i++)
    {
      Worker *w = j->parts[i].worker;

      lease_wake (c, w, LEASE_POLL_MIN_MS);
    }
  j->save_due = FALSE;
  if (save_due)
    gang_save (c, j);
}

/* Tells whether J may be started again after it may have run. */
gboolean
gang_may_repeat (const Job *j)
{
  return j->rec->repeatable || j->rec->saved_ms > 0;
}

/* Adds to J's record that it went wrong on WORKER for REASON. */
void
gang_add_evidence (Job *j, const char *worker, const char *reason)
{
  JobRecord *r = j->rec;
  JobEvidence *v;

  if (r->evidence.n >= JOB_MAX_EVIDENCE)
    return;
  v = rec_list_add (job_evidence_desc (), &r->evidence);
  v->run = r->run;
  rec_set_str (&v->worker, worker);
  rec_set_str (&v->reason, reason);
}

/* Handles the loss of a part while the gang should run.  What may run again
   goes back to the queue until the plan blames the job, or its evidence is
   full; what may not ends. */
void
gang_broken (Core *c, Job *j, Part *p, gboolean failed, const char *reason)
{
  JobRecord *r = j->rec;
  const char *worker = p->worker->cfg->name;
  gboolean repeat = gang_may_repeat (j);
  PlanBlame blame = PLAN_BLAME_NONE;

  if (failed)
    {
      gang_add_evidence (j, worker, reason);
      j->failed = TRUE;
      blame = plan_failed (c->sched->plan, &j->fleet, worker, c->now);
    }
  if (blame == PLAN_BLAME_WORKER)
    {
      core_add (c, COUNT_QUARANTINES, 1);
      core_write_note (c, &(CoreNote) { .kind = NOTE_WORKER_QUARANTINED,
                                        .job = r->id,
                                        .worker = worker });
    }
  if (failed &&
      (!repeat || blame == PLAN_BLAME_JOB || r->evidence.n >= JOB_MAX_EVIDENCE))
    gang_undo (c, j, JOB_FAILED, reason);
  else
    gang_undo (c, j, repeat ? JOB_QUEUED : JOB_UNKNOWN, reason);
}

/* All parts of J have written a checkpoint: it waits to go on from there. */
void
gang_saved (Core *c, Job *j)
{
  gint64 least = G_MAXINT64;
  guint i;

  for (i = 0; i < j->n_parts; i++)
    least = MIN (least, j->parts[i].progress_ms);
  j->rec->saved_ms = MAX (j->rec->saved_ms + least, 1);
  plan_saved (c->sched->plan, &j->fleet, c->now);
  gang_undo (c, j, JOB_QUEUED, "checkpoint written");
}

static void
done (Core *c, Job *j)
{
  Sched *s = c->sched;

  leave_run (c, j);
  core_stop (c, &j->timer);
  j->phase = PHASE_ENDED;
  plan_succeeded (s->plan, &j->fleet, c->now);
  leave_plan (c, j, TRUE);
  gang_end (c, j, JOB_DONE, "");
}

/* Moves J to its next phase if the states of its parts allow it. */
void
gang_advance (Core *c, Job *j)
{
  switch (j->phase)
    {
    case PHASE_RESERVE:
      if (gang_count (j, PART_RESERVED) == j->n_parts)
        commit (c, j);
      break;
    case PHASE_START:
      if (gang_count (j, PART_RUNNING) + gang_count (j, PART_DONE) ==
          j->n_parts)
        {
          running (c, j);
          gang_advance (c, j);
        }
      break;
    case PHASE_RUN:
      if (gang_count (j, PART_DONE) == j->n_parts)
        done (c, j);
      else if (gang_count (j, PART_SAVED))
        {
          /* A scheduler before this one has asked for checkpoints. */
          gang_save (c, j);
          gang_advance (c, j);
        }
      break;
    case PHASE_SAVE:
      if (gang_count (j, PART_DONE) == j->n_parts)
        done (c, j);
      else if (gang_count (j, PART_SAVED) == j->n_parts)
        gang_saved (c, j);
      break;
    case PHASE_UNDO:
      if (gang_count (j, PART_FREE) == j->n_parts)
        undone (c, j);
      break;
    default:
      break;
    }
}

/* The bound of a phase has passed. */
static void
overdue (Core *c, Timer *t)
{
  Job *j = t->owner;

  switch (j->phase)
    {
    case PHASE_INTENT:
      if (sched_waits_for_store (c, j))
        gang_undo (c, j, JOB_QUEUED, "its placement could not be recorded");
      else
        core_arm (c, t, c->now + GANG_RESERVE_LEASE_MS);
      break;
    case PHASE_RESERVE:
      gang_undo (c, j, JOB_QUEUED, "not all parts could be reserved in time");
      break;
    case PHASE_COMMIT:
      j->rec->state = JOB_PLACED;
      gang_undo (c, j, JOB_QUEUED, "the start could not be recorded in time");
      break;
    case PHASE_START:
      gang_undo (c, j, gang_may_repeat (j) ? JOB_QUEUED : JOB_UNKNOWN,
                 "not all parts started in time");
      break;
    case PHASE_SAVE:
      gang_undo (c, j, gang_may_repeat (j) ? JOB_QUEUED : JOB_FAILED,
                 "stopped for a guarantee, its checkpoint was not in time");
      break;
    case PHASE_ENDED:
      sched_job_drop (c, j);
      break;
    default:
      break;
    }
}

/* Gives J the parts that the seats in its record say, nothing asked yet. */
void
gang_make_parts (Core *c, Job *j)
{
  guint i;

  j->n_parts = j->rec->seats.n;
  j->parts = g_new0 (Part, j->n_parts);
  for (i = 0; i < j->n_parts; i++)
    {
      const JobSeat *seat = job_seat (j->rec, i);
      Part *p = &j->parts[i];

      *p = (Part) { .job = j,
                    .worker = g_hash_table_lookup (c->sched->worker_by_name,
                                                   seat->worker),
                    .index = i,
                    .first = seat->first,
                    .count = seat->count,
                    .state = PART_RESERVING,
                    .timer = { .fire = gang_part_again, .owner = p } };
      APR_RING_INSERT_TAIL (&p->worker->parts, p, Part, link);
    }
  j->timer.fire = overdue;
  j->timer.owner = j;
}

/* Places J on the seats in its record: the room is held here at once, and
   the intent is recorded before any worker is asked. */
void
gang_place (Core *c, Job *j)
{
  JobRecord *r = j->rec;

  r->state = JOB_PLACED;
  r->run++;
  r->term = c->sched->role.term;
  j->phase = PHASE_INTENT;
  gang_make_parts (c, j);
  gang_note (c, j, NOTE_JOB_PLACED, job_seat (r, 0)->worker, NULL);
  core_arm (c, &j->timer, c->now + GANG_RESERVE_LEASE_MS);
  job_write (c, j);
}

/* The end of J is in the store: its leases may go, and its record is kept
   for result_keep_ms. */
void
gang_end_written (Core *c, Job *j)
{
  sched_notify_waiters (c, j);
  stop_all (c, j);
  j->timer.fire = overdue;
  j->timer.owner = j;
  core_arm (c, &j->timer,
            MIN (j->rec->ended_at, c->now) + c->cfg->result_keep_ms);
}

/* The record of J is in the store as it stands here. */
void
gang_on_written (Core *c, Job *j)
{
  if (j->unwritten || j->writing)
    return;
  switch (j->phase)
    {
    case PHASE_INTENT:
      reserve_all (c, j);
      break;
    case PHASE_COMMIT:
      gang_start_all (c, j);
      break;
    case PHASE_UNDO:
      if (job_state_ended (j->verdict))
        sched_notify_waiters (c, j);
      break;
    case PHASE_ENDED:
      gang_end_written (c, j);
      break;
    default:
      break;
    }
}

/* The record of J cannot be written for now.  What may be repeated starts
   without; the record follows when the store is back. */
void
gang_on_unwritten (Core *c, Job *j)
{
  if (j->phase == PHASE_INTENT && j->rec->repeatable)
    reserve_all (c, j);
  else if (j->phase == PHASE_COMMIT && !j->timer.slot)
    core_arm (c, &j->timer, c->now + GANG_RESERVE_LEASE_MS);
}

/* Ends J, in any phase, because its caller cancelled it. */
void
gang_cancel (Core *c, Job *j)
{
  if (j->phase == PHASE_ENDED ||
      (j->phase == PHASE_UNDO && job_state_ended (j->verdict)))
    return;
  if (j->phase == PHASE_WAITING)
    {
      core_stop (c, &j->timer);
      leave_plan (c, j, FALSE);
      j->verdict = JOB_CANCELLED;
      j->phase = PHASE_ENDED;
      gang_end (c, j, JOB_CANCELLED, "cancelled");
    }
  else if (j->phase == PHASE_UNDO)
    {
      j->verdict = JOB_CANCELLED;
      gang_end (c, j, JOB_CANCELLED, "cancelled");
    }
  else
    gang_undo (c, j, JOB_CANCELLED, "cancelled");
}

/* Tells whether what this scheduler does with J takes for granted that no part
   of it was ever started. */
static gboolean
is_taken_for_unstarted (const Job *j)
{
  return j->phase == PHASE_WAITING || j->phase == PHASE_INTENT ||
         (j->phase == PHASE_UNDO && j->verdict == JOB_QUEUED);
}

/* Takes the news that another scheduler has recorded a start of J, which must
   not be repeated: J ends as unknown if it was to be started here. */
void
gang_take_start (Core *c, Job *j)
{
  const char *reason = "a scheduler that is gone has started it";

  if (!is_taken_for_unstarted (j) || gang_may_repeat (j))
    return;
  if (j->phase == PHASE_INTENT)
    {
      gang_undo (c, j, JOB_UNKNOWN, reason);
      return;
    }
  j->verdict = JOB_UNKNOWN;
  if (j->phase == PHASE_WAITING)
    {
      core_stop (c, &j->timer);
      leave_plan (c, j, FALSE);
      j->phase = PHASE_ENDED;
    }
  gang_end (c, j, JOB_UNKNOWN, reason);
}

/* Takes the end of J that somebody else recorded; FOUND becomes J's. */
void
gang_take_end (Core *c, Job *j, JobRecord *found)
{
  guint i;

  leave_run (c, j);
  job_record_free (j->rec);
  j->rec = found;
  j->unwritten = FALSE;
  core_stop (c, &j->timer);
  leave_plan (c, j, FALSE);
  for (i = 0; i < j->n_parts; i++)
    gang_part_stop (c, &j->parts[i]);
  j->phase = PHASE_ENDED;
  sched_plan_soon (c);
  gang_on_written (c, j);
}

/* Asks the parts of J to save themselves and free their room; what is not
   saved after reclaim_checkpoint_ms is stopped.  Work that keeps no
   checkpoint, or has not started, is stopped at once; what may not be
   stopped between its parts' starts is asked after them. */
void
gang_save (Core *c, Job *j)
{
  guint i;

  if (j->phase == PHASE_START && !gang_may_repeat (j))
    {
      j->save_due = TRUE;
      return;
    }
  if (j->phase < PHASE_RUN ||
      (j->phase == PHASE_RUN && !j->rec->checkpointable))
    {
      gang_undo (c, j, JOB_QUEUED, "stopped for a guarantee");
      return;
    }
  if (j->phase != PHASE_RUN)
    return;
  j->phase = PHASE_SAVE;
  for (i = 0; i < j->n_parts; i++)
    {
      j->parts[i].tries = 0;
      if (j->parts[i].state == PART_RUNNING)
        gang_part_call (c, &j->parts[i], WORKER_CHECKPOINT);
    }
  core_arm (c, &j->timer, c->now + c->cfg->reclaim_checkpoint_ms);
}
