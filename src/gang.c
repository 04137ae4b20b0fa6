#include "sched_state.h"

#include <string.h>

static void part_call (Core *c, Part *p, WorkerOp op);
static void worker_silent (Core *c, Worker *w);
static void on_part_silent (Core *c, Part *p, WorkerOp op, gboolean sent);
static void look (Core *c, Job *j);

static const RecDesc *
lease_desc (void)
{
  return worker_lease_desc ();
}

static gint64
send_call (Core *c, Worker *w, Part *p, WorkerCall *call)
{
  Sched *s = c->sched;
  WorkerPending *pending = g_new (WorkerPending, 1);

  call->call = ++s->last_call;
  call->worker = w->cfg->name;
  call->term = s->role.term;
  call->timeout_ms = c->cfg->worker_timeout_ms;
  *pending = (WorkerPending) { .call = call->call,
                               .worker = w,
                               .part = p,
                               .op = (WorkerOp)call->op };
  g_hash_table_insert (s->pending, &pending->call, pending);
  core_add (c, COUNT_WORKER_CALLS, 1);
  core_emit (c, FX_WORKER_CALL, NULL, call);
  return call->call;
}

/* Notes that P's worker holds nothing for it any more. */
static void
release (Core *c, Part *p)
{
  if (p->state == PART_FREE)
    return;
  APR_RING_REMOVE (p, link);
  p->state = PART_FREE;
  core_stop (c, &p->timer);
}

static void
forget_call (Core *c, Part *p)
{
  if (p->call)
    g_hash_table_remove (c->sched->pending, &p->call);
  p->call = 0;
}

/* Drops the parts of J without a word to the workers. */
void
gang_drop (Core *c, Job *j)
{
  guint i;

  for (i = 0; i < j->n_parts; i++)
    {
      forget_call (c, &j->parts[i]);
      release (c, &j->parts[i]);
    }
  g_free (j->parts);
  j->parts = NULL;
  j->n_parts = 0;
}

static ClockMs
lease_of (Core *c, WorkerOp op)
{
  return op == WORKER_RESERVE ? GANG_RESERVE_LEASE_MS : c->cfg->worker_lease_ms;
}

static void
part_call (Core *c, Part *p, WorkerOp op)
{
  JobRecord *r = p->job->rec;
  WorkerCall call = { .op = op,
                      .job = r->id,
                      .part = p->index,
                      .run = r->run,
                      .first = p->first,
                      .count = p->count,
                      .cores = r->cores,
                      .memory_mb = r->memory_mb,
                      .lease_ms = lease_of (c, op),
                      .run_ms = MAX (r->run_ms - r->saved_ms, 1),
                      .resume = r->saved_ms > 0 };

  forget_call (c, p);
  p->call = send_call (c, p->worker, p, &call);
  core_arm (c, &p->timer,
            c->now + c->cfg->worker_timeout_ms + GANG_ANSWER_GRACE_MS);
}

/* A call is due again, or its answer is overdue. */
static void
again (Core *c, Timer *t)
{
  Part *p = t->owner;
  WorkerPending *overdue = g_hash_table_lookup (c->sched->pending, &p->call);

  if (overdue)
    {
      WorkerOp op = overdue->op;

      forget_call (c, p);
      on_part_silent (c, p, op, TRUE);
      return;
    }
  switch (p->state)
    {
    case PART_RESERVING:
      part_call (c, p, WORKER_RESERVE);
      break;
    case PART_STARTING:
      part_call (c, p, WORKER_START);
      break;
    case PART_STOPPING:
      if (c->now >= p->lease_end ||
          (p->tries >= GANG_TRIES && p->job->rec->repeatable))
        {
          /* The worker is not used again before it has reported. */
          release (c, p);
          look (c, p->job);
          return;
        }
      part_call (c, p, WORKER_STOP);
      break;
    case PART_RUNNING:
      if (p->job->phase == PHASE_SAVE)
        part_call (c, p, WORKER_CHECKPOINT);
      break;
    default:
      break;
    }
}

static void
retry (Core *c, Part *p)
{
  ClockMs span = (ClockMs)GANG_RETRY_MS << MIN (p->tries, 4);

  p->tries++;
  core_arm (c, &p->timer,
            c->now + core_jitter (c, MIN (span, GANG_RETRY_MAX_MS)));
}

static void
stop_part (Core *c, Part *p)
{
  if (p->state == PART_FREE || p->state == PART_STOPPING)
    return;
  p->state = PART_STOPPING;
  p->tries = 0;
  p->lease_end = MAX (p->lease_end, c->now + c->cfg->worker_lease_ms);
  part_call (c, p, WORKER_STOP);
}

static void
stop_all (Core *c, Job *j)
{
  guint i;

  for (i = 0; i < j->n_parts; i++)
    stop_part (c, &j->parts[i]);
}

/* Asks W again in SPAN milliseconds, if not sooner. */
static void
wake (Core *c, Worker *w, ClockMs span)
{
  if (!w->call && (!w->timer.slot || w->timer.at > c->now + span))
    core_arm (c, &w->timer, c->now + span);
}

static guint
count_parts (const Job *j, PartState state)
{
  guint n = 0;
  guint i;

  for (i = 0; i < j->n_parts; i++)
    n += j->parts[i].state == state;
  return n;
}

static void
note (Core *c, Job *j, NoteKind kind, const char *worker, const char *detail)
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
  note (c, j, NOTE_JOB_ENDED, NULL, job_state_name ((JobState)j->rec->state));
}

/* Records how J ended.  Its leases are told to go only when the record is
   in the store, for until then they are the proof of the end. */
static void
end (Core *c, Job *j, JobState state, const char *reason)
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
gang_undo (Core *c, Job *j, int verdict, const char *reason)
{
  if (j->phase == PHASE_UNDO || j->phase == PHASE_ENDED)
    return;
  leave_run (c, j);
  j->verdict = (JobState)verdict;
  core_stop (c, &j->timer);
  core_add (c, COUNT_JOB_UNDONE, 1);
  note (c, j, NOTE_JOB_UNDONE, NULL, reason);
  j->phase = PHASE_UNDO;
  if (job_state_ended (j->verdict))
    end (c, j, j->verdict, reason);
  stop_all (c, j);
  look (c, j);
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
      part_call (c, p, WORKER_RESERVE);
    }
  core_arm (c, &j->timer, c->now + GANG_RESERVE_LEASE_MS / 2);
}

static void
start_all (Core *c, Job *j)
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
      part_call (c, p, WORKER_START);
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
      start_all (c, j);
      return;
    }
  j->phase = PHASE_COMMIT;
  j->rec->state = JOB_RUNNING;
  job_write (c, j);
}

static void
running (Core *c, Job *j)
{
  guint i;

  j->phase = PHASE_RUN;
  j->run_since = c->now;
  j->rec->state = JOB_RUNNING;
  if (!j->rec->started_at)
    j->rec->started_at = c->now;
  core_stop (c, &j->timer);
  count_running (c, j, 1);
  core_add (c, COUNT_JOB_RUNS, 1);
  note (c, j, NOTE_JOB_STARTED, j->parts[0].worker->cfg->name, NULL);
  for (i = 0; i < j->n_parts; i++)
    {
      Worker *w = j->parts[i].worker;

      wake (c, w, GANG_POLL_MIN_MS);
    }
}

/* Tells whether J may be started again after it may have run. */
static gboolean
may_repeat (const Job *j)
{
  return j->rec->repeatable || j->rec->saved_ms > 0;
}

static void
add_evidence (Job *j, const char *worker, const char *reason)
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

/* A part is gone while the gang should run.  What may run again goes back
   to the queue until the plan blames the job, or its evidence is full; what
   may not ends. */
static void
broken (Core *c, Job *j, Part *p, gboolean failed, const char *reason)
{
  JobRecord *r = j->rec;
  const char *worker = p->worker->cfg->name;
  gboolean repeat = may_repeat (j);
  PlanBlame blame = PLAN_BLAME_NONE;

  if (failed)
    {
      add_evidence (j, worker, reason);
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

static void
saved (Core *c, Job *j)
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
  end (c, j, JOB_DONE, "");
}

/* Looks whether the states of J's parts let the gang go on. */
static void
look (Core *c, Job *j)
{
  switch (j->phase)
    {
    case PHASE_RESERVE:
      if (count_parts (j, PART_RESERVED) == j->n_parts)
        commit (c, j);
      break;
    case PHASE_START:
      if (count_parts (j, PART_RUNNING) + count_parts (j, PART_DONE) ==
          j->n_parts)
        {
          running (c, j);
          look (c, j);
        }
      break;
    case PHASE_RUN:
      if (count_parts (j, PART_DONE) == j->n_parts)
        done (c, j);
      break;
    case PHASE_SAVE:
      if (count_parts (j, PART_DONE) == j->n_parts)
        done (c, j);
      else if (count_parts (j, PART_SAVED) == j->n_parts)
        saved (c, j);
      break;
    case PHASE_UNDO:
      if (count_parts (j, PART_FREE) == j->n_parts)
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
    case PHASE_RESERVE:
      gang_undo (c, j, JOB_QUEUED, "not all parts could be reserved in time");
      break;
    case PHASE_COMMIT:
      j->rec->state = JOB_PLACED;
      gang_undo (c, j, JOB_QUEUED, "the start could not be recorded in time");
      break;
    case PHASE_START:
      gang_undo (c, j, may_repeat (j) ? JOB_QUEUED : JOB_UNKNOWN,
                 "not all parts started in time");
      break;
    case PHASE_SAVE:
      gang_undo (c, j, JOB_QUEUED, "no checkpoint in time");
      break;
    case PHASE_ENDED:
      sched_job_drop (c, j);
      break;
    default:
      break;
    }
}

static void
make_parts (Core *c, Job *j)
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
                    .timer = { .fire = again, .owner = p } };
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
  make_parts (c, j);
  note (c, j, NOTE_JOB_PLACED, job_seat (r, 0)->worker, NULL);
  job_write (c, j);
}

static void
end_written (Core *c, Job *j)
{
  sched_tell_askers (c, j);
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
      start_all (c, j);
      break;
    case PHASE_UNDO:
      if (job_state_ended (j->verdict))
        sched_tell_askers (c, j);
      break;
    case PHASE_ENDED:
      end_written (c, j);
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

/* Ends J by its caller's wish, wherever it stands. */
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
      end (c, j, JOB_CANCELLED, "cancelled");
    }
  else if (j->phase == PHASE_UNDO)
    {
      j->verdict = JOB_CANCELLED;
      end (c, j, JOB_CANCELLED, "cancelled");
    }
  else
    gang_undo (c, j, JOB_CANCELLED, "cancelled");
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
    stop_part (c, &j->parts[i]);
  j->phase = PHASE_ENDED;
  sched_plan_soon (c);
  gang_on_written (c, j);
}

/* Asks the parts of J to save themselves and free their room; what is not
   saved after reclaim_checkpoint_ms is stopped.  Work that keeps no
   checkpoint is stopped at once. */
void
gang_save (Core *c, Job *j)
{
  guint i;

  if (j->phase != PHASE_RUN)
    return;
  if (!j->rec->checkpointable)
    {
      gang_undo (c, j, JOB_QUEUED, "stopped for a guarantee");
      return;
    }
  j->phase = PHASE_SAVE;
  for (i = 0; i < j->n_parts; i++)
    {
      j->parts[i].tries = 0;
      if (j->parts[i].state == PART_RUNNING)
        part_call (c, &j->parts[i], WORKER_CHECKPOINT);
    }
  core_arm (c, &j->timer, c->now + c->cfg->reclaim_checkpoint_ms);
}

static void
fold_lease (Core *c, Part *p, const WorkerLease *l)
{
  Job *j = p->job;

  p->progress_ms = MAX (p->progress_ms, l->progress_ms);
  if (p->state == PART_FREE || p->state == PART_STOPPING)
    return;
  switch ((WorkerLeaseState)l->state)
    {
    case LEASE_RESERVED:
      if (p->state == PART_RESERVING)
        p->state = PART_RESERVED;
      break;
    case LEASE_RUNNING:
      if (p->state == PART_STARTING || p->state == PART_RESERVED)
        p->state = PART_RUNNING;
      break;
    case LEASE_DONE:
      p->state = PART_DONE;
      break;
    case LEASE_SAVED:
      p->state = PART_SAVED;
      break;
    case LEASE_FAILED:
      p->state = PART_GONE;
      broken (c, j, p, TRUE, "a part failed");
      return;
    case LEASE_STOPPED:
    case LEASE_LAPSED:
      p->state = PART_GONE;
      broken (c, j, p, FALSE, "a part's lease lapsed");
      return;
    default:
      break;
    }
  look (c, j);
}

static Part *
find_part (Core *c, const WorkerLease *l, const Worker *w)
{
  Job *j = g_hash_table_lookup (c->sched->jobs, l->job);
  Part *p;

  if (!j || l->part >= j->n_parts || l->run != j->rec->run)
    return NULL;
  p = &j->parts[l->part];
  return p->worker == w ? p : NULL;
}

static void
stop_orphan (Core *c, Worker *w, const WorkerLease *l)
{
  WorkerCall call = { .op = WORKER_STOP,
                      .job = l->job,
                      .part = l->part,
                      .run = l->run,
                      .first = l->first,
                      .count = l->count };

  send_call (c, w, NULL, &call);
}

static void
orphan_free (gpointer p)
{
  Orphan *o = p;

  rec_free (lease_desc (), o->lease);
  g_free (o);
}

static void
add_orphan (Core *c, Worker *w, const WorkerLease *l)
{
  GHashTable *orphans = c->sched->orphans;
  GPtrArray *list = g_hash_table_lookup (orphans, l->job);
  Orphan *o = g_new (Orphan, 1);

  if (!list)
    {
      list = g_ptr_array_new_with_free_func (orphan_free);
      g_hash_table_insert (orphans, g_strdup (l->job), list);
    }
  *o = (Orphan) { .worker = w,
                  .lease = rec_copy (lease_desc (), l),
                  .seen = c->now };
  g_ptr_array_add (list, o);
}

static void
take_lease (Core *c, Worker *w, const WorkerLease *l)
{
  Part *p = find_part (c, l, w);

  role_note_term (c, l->term);
  if (p)
    {
      if (l->state <= LEASE_RUNNING)
        p->lease_end = c->now + c->cfg->worker_lease_ms;
      fold_lease (c, p, l);
    }
  else if (g_hash_table_contains (c->sched->jobs, l->job))
    stop_orphan (c, w, l);
  else
    add_orphan (c, w, l);
}

/* Returns a part that should run on W and that W did not list. */
static Part *
unlisted (Worker *w)
{
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == PART_RUNNING && !p->listed)
        return p;
    }
  return NULL;
}

/* A part that its worker no longer lists, though it should run, is gone. */
static void
check_missing (Core *c, Worker *w, const WorkerReply *r)
{
  Part *p = NULL;
  guint i;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      p->listed = FALSE;
    }
  for (i = 0; i < r->leases.n; i++)
    {
      p = find_part (c, rec_list_at (lease_desc (), &r->leases, i), w);
      if (p)
        p->listed = TRUE;
    }
  while ((p = unlisted (w)))
    {
      p->state = PART_GONE;
      broken (c, p->job, p, FALSE, "a worker lost a part");
    }
}

/* Polls beyond the renewals come out of a budget, so that many short tasks
   do not cost the host more than it may spend. */
static gboolean
take_poll (Core *c)
{
  Sched *s = c->sched;
  gint64 filled = (c->now - s->polls_at) * GANG_POLLS_PER_S;

  s->polls = MIN (s->polls + filled, (gint64)GANG_POLL_BURST * 1000);
  s->polls_at = c->now;
  if (s->polls < 1000)
    return FALSE;
  s->polls -= 1000;
  return TRUE;
}

/* Returns how soon W is asked again: to renew its leases, earlier while it
   writes a checkpoint or has tasks so young that a late look would matter. */
static ClockMs
next_poll (Core *c, const Worker *w)
{
  ClockMs most = c->cfg->worker_lease_ms / 3;
  ClockMs span = w->occupied ? GANG_OCCUPIED_MS : most;
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->job->phase == PHASE_SAVE)
        return GANG_POLL_MIN_MS;
      if (p->state == PART_RUNNING)
        span = MIN (span, MAX (GANG_POLL_MIN_MS,
                               (c->now - p->job->run_since) / GANG_POLL_SHARE));
    }
  if (span < most && !take_poll (c))
    span = most;
  return core_jitter (c, span);
}

/* Asks W for all its leases, under the present term. */
void
gang_report (Core *c, Worker *w)
{
  WorkerCall call = { .op = WORKER_REPORT };

  if (w->call)
    g_hash_table_remove (c->sched->pending, &w->call);
  w->asked = c->now;
  w->call = send_call (c, w, NULL, &call);
  core_arm (c, &w->timer,
            c->now + c->cfg->worker_timeout_ms + GANG_ANSWER_GRACE_MS);
}

/* The term has been raised over another scheduler's, which may have been
   told of changes in between: every worker lists its leases again. */
void
gang_distrust_all (Core *c)
{
  guint i;

  for (i = 0; i < c->sched->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (c->sched->workers, i);

      w->reported = FALSE;
      wake (c, w, 0);
    }
}

/* Renews all leases on a worker; one that has not reported to this term is
   asked for its leases first. */
void
gang_worker_tick (Core *c, Timer *t)
{
  Worker *w = t->owner;
  WorkerCall call = { .op = WORKER_RENEW, .lease_ms = c->cfg->worker_lease_ms };

  if (w->call)
    {
      if (c->now - w->asked < c->cfg->worker_timeout_ms + GANG_ANSWER_GRACE_MS)
        return;
      g_hash_table_remove (c->sched->pending, &w->call);
      w->call = 0;
      worker_silent (c, w);
      return;
    }
  if (!w->reported || c->now - w->renewed > c->cfg->worker_lease_ms ||
      (w->occupied && c->now - w->listed_at >= GANG_OCCUPIED_MS) ||
      c->now - w->listed_at > c->cfg->worker_lease_ms * GANG_REPORT_LEASES)
    {
      gang_report (c, w);
      return;
    }
  w->asked = c->now;
  w->call = send_call (c, w, NULL, &call);
  core_arm (c, &w->timer,
            c->now + c->cfg->worker_timeout_ms + GANG_ANSWER_GRACE_MS);
}

static Part *
lapsed (Core *c, Worker *w)
{
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == PART_RUNNING && p->lease_end <= c->now)
        return p;
    }
  return NULL;
}

static void
worker_silent (Core *c, Worker *w)
{
  Part *p;

  w->silent++;
  while ((p = lapsed (c, w)))
    {
      p->state = PART_GONE;
      broken (c, p->job, p, FALSE, "a worker is silent");
    }
  if (w->silent >= GANG_SILENT)
    {
      w->reported = FALSE;
      plan_set_usable (c->sched->plan, w->cfg->name, FALSE, c->now);
    }
  core_arm (c, &w->timer,
            c->now + core_jitter (c, MIN ((ClockMs)500 << MIN (w->silent, 5),
                                          c->cfg->worker_lease_ms / 4)));
}

/* Tells whether W leases accelerators to what is not planned there. */
static gboolean
occupied (Core *c, Worker *w, const WorkerReply *r)
{
  guint i;

  for (i = 0; i < r->leases.n; i++)
    {
      const WorkerLease *l = rec_list_at (lease_desc (), &r->leases, i);

      if (l->state <= LEASE_RUNNING && !find_part (c, l, w))
        return TRUE;
    }
  return FALSE;
}

static void
on_worker_answer (Core *c, Worker *w, WorkerOp op, const WorkerReply *r)
{
  guint i;

  if (w->silent && op == WORKER_RENEW)
    w->reported = FALSE; /* an answer in between may have been lost */
  w->silent = 0;
  w->renewed = c->now;
  for (i = 0; i < r->leases.n; i++)
    take_lease (c, w, rec_list_at (lease_desc (), &r->leases, i));
  if (op == WORKER_REPORT)
    {
      check_missing (c, w, r);
      if (!w->reported && c->sched->reports_due > 0)
        c->sched->reports_due--;
      w->reported = TRUE;
      w->listed_at = c->now;
      w->occupied = occupied (c, w, r);
      plan_set_usable (c->sched->plan, w->cfg->name, !w->occupied, c->now);
      sched_plan_soon (c);
    }
  core_arm (c, &w->timer,
            w->reported && op != WORKER_REPORT ? c->now + next_poll (c, w)
                                               : c->now);
}

/* Uses W no more until it has listed its leases. */
static void
distrust (Core *c, Worker *w)
{
  w->reported = FALSE;
  plan_set_usable (c->sched->plan, w->cfg->name, FALSE, c->now);
  if (!w->call)
    core_arm (c, &w->timer, c->now);
}

static void
on_part_silent (Core *c, Part *p, WorkerOp op, gboolean sent)
{
  if (sent)
    p->lease_end = MAX (p->lease_end, c->now + lease_of (c, op));
  if (p->tries + 1 < GANG_TRIES)
    {
      retry (c, p);
      return;
    }
  distrust (c, p->worker);
  if (p->state == PART_RESERVING)
    gang_undo (c, p->job, JOB_QUEUED, "a worker does not answer");
  else
    retry (c, p);
}

static void
on_part_refused (Core *c, Part *p, WorkerOp op)
{
  switch (op)
    {
    case WORKER_RESERVE:
      distrust (c, p->worker);
      gang_undo (c, p->job, JOB_QUEUED, "a worker refused a reservation");
      break;
    case WORKER_START:
      if (p->state == PART_STARTING)
        {
          p->state = PART_GONE;
          gang_undo (c, p->job, JOB_QUEUED, "a reservation lapsed");
        }
      break;
    case WORKER_STOP:
      release (c, p);
      look (c, p->job);
      break;
    default:
      break;
    }
}

static void
on_part_ok (Core *c, Part *p, WorkerOp op)
{
  p->lease_end = c->now + lease_of (c, op);
  p->tries = 0;
  switch (op)
    {
    case WORKER_RESERVE:
      if (p->state == PART_RESERVING)
        p->state = PART_RESERVED;
      break;
    case WORKER_START:
      if (p->state == PART_STARTING)
        p->state = PART_RUNNING;
      break;
    case WORKER_STOP:
      release (c, p);
      break;
    case WORKER_CHECKPOINT:
      wake (c, p->worker, GANG_POLL_MIN_MS);
      break;
    default:
      break;
    }
  look (c, p->job);
}

static void
on_part_answer (Core *c, Part *p, WorkerOp op, const WorkerReply *r)
{
  p->call = 0;
  core_stop (c, &p->timer);
  switch ((WorkerStatus)r->status)
    {
    case WORKER_OK:
      on_part_ok (c, p, op);
      break;
    case WORKER_REFUSED:
      on_part_refused (c, p, op);
      break;
    case WORKER_STALE:
      role_on_stale (c, r->term);
      if (role_held (c) && p->call == 0 && p->state != PART_FREE)
        retry (c, p);
      break;
    default:
      on_part_silent (c, p, op, r->status == WORKER_LOST);
      break;
    }
}

static void
on_whole_answer (Core *c, Worker *w, WorkerOp op, const WorkerReply *r)
{
  if (op == WORKER_STOP)
    return;
  w->call = 0;
  if (r->status == WORKER_OK)
    on_worker_answer (c, w, op, r);
  else if (r->status == WORKER_STALE)
    {
      role_on_stale (c, r->term);
      w->reported = FALSE;
      if (role_held (c))
        core_arm (c, &w->timer, c->now + GANG_RETRY_MS);
    }
  else
    worker_silent (c, w);
}

/* Takes a worker's reply, or a report that it sent by itself. */
void
gang_on_worker_reply (Core *c, const Event *e)
{
  const WorkerReply *r = e->body;
  Sched *s = c->sched;
  WorkerPending *p = g_hash_table_lookup (s->pending, &r->call);
  WorkerPending call;
  Worker *w;
  guint i;

  if (!role_held (c))
    return;
  if (!p)
    {
      w = g_hash_table_lookup (s->worker_by_name, util_str (r->worker));
      for (i = 0; r->call == 0 && w && i < r->leases.n; i++)
        take_lease (c, w, rec_list_at (lease_desc (), &r->leases, i));
      return;
    }
  call = *p;
  g_hash_table_remove (s->pending, &r->call);
  if (r->status == WORKER_OK)
    role_note_term (c, r->term);
  if (call.part)
    on_part_answer (c, call.part, call.op, r);
  else
    on_whole_answer (c, call.worker, call.op, r);
}

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
          stop_orphan (c, o->worker, l);
          continue;
        }
      p->lease_end = c->now + c->cfg->worker_lease_ms;
      p->progress_ms = l->progress_ms;
      p->state = l->state == LEASE_RESERVED  ? PART_RESERVED
                 : l->state == LEASE_RUNNING ? PART_RUNNING
                 : l->state == LEASE_DONE    ? PART_DONE
                 : l->state == LEASE_SAVED   ? PART_SAVED
                                             : PART_GONE;
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

/* Takes the room of J's seats in the plan. */
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
  plan_submit (s->plan, &j->fleet);
  return FALSE;
}

/* A part without a lease on a worker that has reported is gone; on one that
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

static void
complete_or_undo (Core *c, Job *j, guint found)
{
  gboolean started = j->rec->state == JOB_RUNNING || j->lost;
  Part *gone = presume (c, j);
  guint n_saved = count_parts (j, PART_SAVED);

  j->phase = PHASE_START;
  if (n_saved == j->n_parts)
    saved (c, j);
  else if (gone && !started && (found == 0 || !j->rec->repeatable))
    gang_undo (c, j, JOB_QUEUED, "placed by a scheduler that is gone");
  else if (gone)
    broken (c, j, gone, FALSE, "a part is gone");
  else if (n_saved)
    gang_undo (c, j, JOB_QUEUED, "saved in part");
  else if (count_parts (j, PART_RESERVED) == 0)
    look (c, j);
  else if (!started)
    {
      j->phase = PHASE_RESERVE;
      look (c, j);
      if (j->phase == PHASE_RESERVE)
        start_all (c, j);
    }
  else
    start_all (c, j);
}

/* Takes over J, whose record says that it was placed or runs, with what the
   workers report: completes the gang or undoes it. */
void
gang_adopt (Core *c, Job *j)
{
  GPtrArray *list = g_hash_table_lookup (c->sched->orphans, j->rec->id);
  guint found;
  guint i;

  j->lost |= j->rec->state == JOB_QUEUED && any_started (list);
  if (list && !job_state_ended ((JobState)j->rec->state))
    seats_from_leases (j, list);
  if (job_state_ended ((JobState)j->rec->state) ||
      j->rec->state == JOB_QUEUED || !seats_exist (c, j))
    {
      for (i = 0; list && i < list->len; i++)
        {
          Orphan *o = g_ptr_array_index (list, i);

          stop_orphan (c, o->worker, o->lease);
        }
      g_hash_table_remove (c->sched->orphans, j->rec->id);
      if (job_state_ended ((JobState)j->rec->state))
        {
          j->phase = PHASE_ENDED;
          end_written (c, j);
        }
      else if ((j->rec->state == JOB_RUNNING || j->lost) && !may_repeat (j))
        {
          j->phase = PHASE_ENDED;
          end (c, j, JOB_UNKNOWN,
               j->lost ? "the store lost its record" : "its workers are gone");
        }
      else
        sched_submit (c, j);
      return;
    }
  make_parts (c, j);
  if (!adopt_room (c, j))
    {
      j->phase = PHASE_START;
      gang_undo (c, j, may_repeat (j) ? JOB_QUEUED : JOB_UNKNOWN,
                 "its room is held by another job");
      g_hash_table_remove (c->sched->orphans, j->rec->id);
      return;
    }
  found = fit_leases (c, j, list);
  g_hash_table_remove (c->sched->orphans, j->rec->id);
  j->run_since = j->rec->started_at ? MIN (j->rec->started_at, c->now) : c->now;
  complete_or_undo (c, j, found);
}

/* Stops the leases, reported before BEFORE, of jobs that a listing sent
   after it does not have. */
void
gang_reap_orphans (Core *c, ClockMs before)
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
          stop_orphan (c, o->worker, o->lease);
        }
      g_hash_table_iter_remove (&it);
    }
}
