#include "dispatch_state.h"

#include <string.h>

enum
{
  ORDER_TIMEOUT_MS = 450, /* a round trip between regions and a slow host */
  RETRY_MS = 60,
  STOP_BACKOFF = 5, /* the longest wait, in retries of a start */
  START_TRIES = 4,  /* within the time that a gang waits for its members */
  AVOID_MS = 700,
  UNHEALTHY_AVOID_MS = 1500,
  SUSPECT_FAILURES = 2, /* in a row, of different jobs */
  FAILING_SHARE = 4,    /* one in so many workers may fail and be to blame */
  QUARANTINE_MS = 4000,
  QUARANTINE_MOST_MS = 16000
};

/* A worker's clock may be this much slow, in permille, and an answer may
   have been under way for a while. */
static const ClockMs clock_slow_permille = 30;
static const ClockMs clock_margin = 150;

/* Returns the deadline for a lease of W that begins now, on W's clock, and
   notes when it will have lapsed at the latest. */
gint64
runs_deadline (Dispatch *d, PoolWorker *w)
{
  ClockMs span = d->now - w->clock_at + holds_lease_duration (d, w);
  ClockMs lapse = w->clock_at + span + span * clock_slow_permille / 1000;

  w->lapse = MAX (w->lapse, lapse + clock_margin);
  return w->clock + span;
}

static void
ordered_free (gpointer p)
{
  PendingCall *o = p;

  g_free (o->worker);
  g_free (o->task);
  g_free (o);
}

/* Lets the answer to PART's order under way, which a new one supersedes,
   be ignored. */
static void
supersede (Dispatch *d, WorkPart *part)
{
  PendingCall *o = part->call_id && d->pending_calls
                       ? g_hash_table_lookup (d->pending_calls, &part->call_id)
                       : NULL;

  if (!o)
    return;
  if (o->op == RUN_START)
    part->unsure = TRUE;
  o->part = NULL;
  part->call_id = 0;
}

/* Sends CALL, which concerns PART if that isn't NULL.  Returns its
   number. */
gint64
runs_send (Dispatch *d, RunCall *call, WorkPart *part)
{
  PendingCall *o = g_new0 (PendingCall, 1);

  if (part)
    supersede (d, part);
  call->id = effects_next_id (d->fx);
  call->fence = d->term.fence;
  *o = (PendingCall) { .op = call->op,
                       .worker = g_strdup (call->worker),
                       .part = part,
                       .task = g_strdup (call->task),
                       .run = call->run };
  if (!d->pending_calls)
    d->pending_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, ordered_free);
  g_hash_table_insert (d->pending_calls, g_memdup2 (&call->id, sizeof call->id),
                       o);
  effects_run (d->fx, call);
  return call->id;
}

static RunCall *
part_call (RunOp op, const WorkPart *part)
{
  const PoolEntry *e = part->worker->entry;
  RunCall *call = run_call_new (op, e->id, e->address);

  call->task = work_task_name (part->task);
  call->run = part->run;
  call->timeout = ORDER_TIMEOUT_MS;
  return call;
}

static const char *
checkpoint_of (const WorkTask *task)
{
  const WorkStep *step = task->step;

  return step->spec->gang ? step->tasks[0].checkpoint : task->checkpoint;
}

static void
send_start (Dispatch *d, WorkPart *part)
{
  RunCall *call = part_call (RUN_START, part);

  call->text = g_strdup (part->task->step->job->entry->job->text);
  call->checkpoint = g_strdup (checkpoint_of (part->task));
  call->deadline = runs_deadline (d, part->worker);
  part->sent = TRUE;
  part->tries++;
  part->ordered = d->now;
  part->retry = CLOCK_NEVER;
  part->call_id = runs_send (d, call, part);
}

/* Orders PART, which has room, to be started. */
void
runs_start (Dispatch *d, WorkPart *part)
{
  work_part_set_state (part, PART_STARTING);
  part->tries = 0;
  part->started = d->now;
  part->moved = d->now;
  d->n_starts++;
  due_mark (d, part->worker);
  send_start (d, part);
}

static void
send_stop (Dispatch *d, WorkPart *part)
{
  if (!d->may_send_orders)
    {
      part->retry = d->now + RETRY_MS;
      return;
    }
  part->ordered = d->now;
  part->retry = CLOCK_NEVER;
  part->call_id = runs_send (d, part_call (RUN_STOP, part), part);
}

/* Has PART stopped; its room stays taken until its worker lists its end or
   no longer lists it. */
void
runs_stop (Dispatch *d, WorkPart *part, const char *why)
{
  WorkTask *task = part->task;

  if (part->state == PART_STOPPING)
    return;
  if (part->state == PART_CLAIM || !part->sent)
    {
      runs_end (d, part, RUN_STOPPED, NULL);
      return;
    }
  effects_log_detail (
      d->fx,
      "event=stop job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " worker=%s reason=%s",
      task->step->job->entry->id, task->step->occurrence, task->step->number,
      task->index, part->run, part->worker->entry->id, why);
  part->state = PART_STOPPING;
  part->stop_acked = FALSE;
  send_stop (d, part);
}

/* Stops every part of STEP but KEEP. */
static void
stop_step (Dispatch *d, WorkStep *step, const char *why)
{
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].part)
      runs_stop (d, step->tasks[i].part, why);
}

/* Stops what runs of TASK, or of its gang, in other runs than RUN, which has
   ended well. */
void
runs_stop_others (Dispatch *d, WorkTask *task, gint64 run)
{
  WorkStep *step = task->step;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      WorkTask *t = &step->tasks[i];

      if ((t == task || step->spec->gang) && t->part && t->part->run != run)
        runs_stop (d, t->part, "done_before");
    }
}

/* Stops everything of JOB. */
void
runs_stop_job (Dispatch *d, WorkJob *job, const char *why)
{
  WorkStep *step;

  APR_RING_FOREACH (step, &job->steps, WorkStep, link)
    stop_step (d, step, why);
}

/* Has W take nothing new for SPAN milliseconds. */
static void
avoid (Dispatch *d, PoolWorker *w, ClockMs span)
{
  w->avoid_until = MAX (w->avoid_until, d->now + span);
}

/* Tells whether few workers fail: where many do, the jobs are to blame. */
static gboolean
peers_are_well (const Dispatch *d)
{
  guint n = pool_size (&d->pool);
  guint failing = 0;
  guint i;

  for (i = 0; i < n; i++)
    failing += pool_at (&d->pool, i)->failures > 0;
  return failing * FAILING_SHARE <= n + FAILING_SHARE;
}

/* Counts a run of JOB that failed, or stood still, against W.  A worker on
   which different jobs fail in a row while its peers are well is given a
   rest that doubles. */
static void
note_failure (Dispatch *d, PoolWorker *w, const WorkJob *job)
{
  guint hash = g_str_hash (job->entry->id);

  if (w->failures && w->failed_job == hash)
    return;
  w->failed_job = hash;
  w->failures++;
  if (w->failures < SUSPECT_FAILURES || !peers_are_well (d))
    return;
  w->avoid_span = CLAMP (w->avoid_span * 2, QUARANTINE_MS, QUARANTINE_MOST_MS);
  avoid (d, w, w->avoid_span);
  effects_log (
      d->fx, "event=quarantine worker=%s failures=%u span_ms=%" CLOCK_MS_FORMAT,
      w->entry->id, w->failures, w->avoid_span);
}

static void
note_success (PoolWorker *w, ClockMs started)
{
  w->failures = 0;
  w->well = MAX (w->well, started);
  w->avoid_span = 0;
}

static void
count_attempt (Dispatch *d, WorkTask *task, gint64 run)
{
  WorkJob *job = task->step->job;
  gint64 most = job->entry->job->attempts;
  guint attempts;

  if (!work_task_add_failure (task, run))
    return;
  attempts = work_task_attempts (task);
  save_mark_dirty (d, job);
  effects_log (
      d->fx,
      "event=task_failed job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " attempts=%u most=%" G_GINT64_FORMAT,
      job->entry->id, task->step->occurrence, task->step->number, task->index,
      run, attempts, most);
  if (most > 0 && attempts >= most && !task->step->spec->perpetual &&
      !spec_state_is_final (job->state))
    dispatch_set_job_state (d, job, JOB_FAILED);
}

/* Takes over that RUN of TASK has ended in the way HOW. */
void
runs_apply_end (Dispatch *d, WorkTask *task, gint64 run, RunEnd how)
{
  WorkJob *job = task->step->job;

  d->replan = TRUE;
  if (task->done || spec_state_is_final (job->state))
    return;
  if (how == RUN_FAILED)
    count_attempt (d, task, run);
  if (how != RUN_DONE)
    return;
  work_task_set_done (task);
  save_mark_dirty (d, job);
  if (work_job_is_over (job))
    dispatch_set_job_state (d, job, JOB_COMPLETED);
}

/* A gang goes on until all of its parts are gone, then it may start
   again. */
static void
settle_gang (Dispatch *d, WorkStep *step)
{
  if (step->n_parts == 0)
    {
      step->breaking = FALSE;
      return;
    }
  if (work_step_is_done (step) || step->breaking)
    return;
  step->breaking = TRUE;
  stop_step (d, step, "gang_broken");
}

/* Has RUN of TASK, a name, stopped on W, or refused if it comes later. */
static void
send_stray_stop (Dispatch *d, PoolWorker *w, const char *task, gint64 run)
{
  RunCall *call;

  if (!d->may_send_orders)
    return;
  call = run_call_new (RUN_STOP, w->entry->id, w->entry->address);
  call->task = g_strdup (task);
  call->run = run;
  call->timeout = ORDER_TIMEOUT_MS;
  runs_send (d, call, NULL);
}

/* A start of PART that got no answer outlasts PART itself. */
static void
note_late (const Dispatch *d, const WorkPart *part)
{
  PoolWorker *w = part->worker;

  pool_drop_late (w, d->now);
  if (part->unsure)
    pool_add_late (w, work_task_name (part->task), part->run,
                   part->ordered + holds_late_order_window);
}

/* Has the starts that may still be executed on W refused by its new life,
   which knows nothing of their runs. */
void
runs_refuse_late (Dispatch *d, PoolWorker *w)
{
  const PoolLate *late;

  pool_drop_late (w, d->now);
  APR_RING_FOREACH (late, &w->late, PoolLate, link)
    send_stray_stop (d, w, late->task, late->run);
}

/* Forgets PART, whose run has ended, or never began, in the way HOW. */
void
runs_end (Dispatch *d, WorkPart *part, RunEnd how, const char *checkpoint)
{
  WorkTask *task = part->task;
  WorkStep *step = task->step;
  PoolWorker *w = part->worker;
  gint64 run = part->run;

  supersede (d, part);
  note_late (d, part);
  due_mark (d, w);
  work_task_set_checkpoint (task, checkpoint);
  if (how == RUN_FAILED || how == RUN_DONE)
    failure_spike_record (&d->outbreak, d->now, how == RUN_FAILED);
  if (how == RUN_FAILED)
    {
      work_task_note_unlucky (task, w, d->now);
      note_failure (d, w, step->job);
    }
  else if (how == RUN_DONE)
    note_success (w, part->started);
  work_part_free (part);
  runs_apply_end (d, task, run, how);
  if (step->spec->gang)
    settle_gang (d, step);
  d->replan = TRUE;
  dispatch_check_finished (d, step->job);
}

/* Has PART, whose start may still reach its worker's new life, refused
   there. */
static void
stop_unsure (Dispatch *d, WorkPart *part)
{
  part->state = PART_STOPPING;
  part->stop_acked = FALSE;
  send_stop (d, part);
}

/* Tells whether an order to start PART may be executed yet. */
static gboolean
may_still_start (const WorkPart *part)
{
  return part->unsure || (part->state == PART_STARTING && part->call_id);
}

/* Returns a part of W that has ended with W's life, or NULL.  The end of one
   may be the end of others, so that they are looked for one by one. */
static WorkPart *
find_over (PoolWorker *w, gboolean new_life)
{
  WorkPart *part;

  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    if (!new_life || part->state != PART_STOPPING || part->stop_acked)
      return part;
  return NULL;
}

/* Takes everything on W for ended, for the reason WHY: its life is over, or
   its lease has surely lapsed.  With NEW_LIFE, W answers again under the
   same id, and an order that was under way may yet be executed there. */
void
runs_void_worker (Dispatch *d,
                  PoolWorker *w,
                  gboolean new_life,
                  const char *why)
{
  WorkPart *part;

  if (w->n_parts)
    effects_log (d->fx, "event=worker_void worker=%s parts=%u reason=%s",
                 w->entry->id, w->n_parts, why);
  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    if (new_life && may_still_start (part))
      stop_unsure (d, part);
  while ((part = find_over (w, new_life)))
    runs_end (d, part, RUN_LAPSED, NULL);
  w->lapsed = TRUE;
}

/* Stops RUN of a task on W that this scheduler knows nothing of. */
void
runs_stop_stray (Dispatch *d, PoolWorker *w, const char *task, gint64 run)
{
  send_stray_stop (d, w, task, run);
  avoid (d, w, AVOID_MS);
}

/* The order surely had no effect, unless an earlier one for the same run
   was lost. */
static void
start_refused (Dispatch *d, WorkPart *part, RunStatus status)
{
  PoolWorker *w = part->worker;

  effects_log (d->fx,
               "event=start_refused job=%s task=%u run=%" G_GINT64_FORMAT
               " worker=%s reason=%s tries=%u",
               part->task->step->job->entry->id, part->task->index, part->run,
               w->entry->id, run_status_name (status), part->tries);
  if (status == RUN_UNHEALTHY)
    avoid (d, w, UNHEALTHY_AVOID_MS);
  else
    avoid (d, w, AVOID_MS);
  w->hold_now = TRUE;
  if (part->state == PART_STOPPING)
    return;
  if (part->tries > 1)
    runs_stop (d, part, "start_unsure");
  else
    runs_end (d, part, RUN_STOPPED, NULL);
}

static void
start_lost (Dispatch *d, WorkPart *part)
{
  part->unsure = TRUE;
  if (part->state != PART_STARTING)
    return;
  if (part->tries >= START_TRIES)
    {
      avoid (d, part->worker, AVOID_MS);
      runs_stop (d, part, "start_unanswered");
      return;
    }
  part->retry = d->now + RETRY_MS;
}

static void
on_start (Dispatch *d, WorkPart *part, const RunReply *reply)
{
  switch (reply->status)
    {
    case RUN_OK:
      part->confirmed = d->fx->last_id;
      if (part->state == PART_STARTING)
        part->state = PART_RUNNING;
      return;
    case RUN_LOST:
      start_lost (d, part);
      return;
    case RUN_UNSENT:
      avoid (d, part->worker, AVOID_MS);
      part->worker->hold_now = TRUE;
      start_refused (d, part, reply->status);
      return;
    default:
      start_refused (d, part, reply->status);
    }
}

static void
on_stop (Dispatch *d, WorkPart *part, const RunReply *reply)
{
  if (reply->status == RUN_LOST || reply->status == RUN_UNSENT ||
      reply->status == RUN_UNHEALTHY)
    {
      part->tries++;
      part->retry =
          d->now + (ClockMs)RETRY_MS * MIN (part->tries, STOP_BACKOFF);
      return;
    }
  part->stop_acked = TRUE;
  part->confirmed = d->fx->last_id;
  part->worker->next_hold = d->now;
}

/* Stops PART, which makes no progress while its worker answers.  Which
   member of a gang holds it up can't be told, so that all of their workers
   are suspected until something succeeds on them. */
void
runs_move_stalled (Dispatch *d, WorkPart *part)
{
  WorkStep *step = part->task->step;
  guint i;

  effects_log (d->fx,
               "event=stalled job=%s task=%u worker=%s percent=%.0f "
               "stalled_ms=%" CLOCK_MS_FORMAT,
               step->job->entry->id, part->task->index, part->worker->entry->id,
               part->percent, d->now - part->moved);
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].part &&
        (step->spec->gang || step->tasks[i].part == part))
      {
        work_task_note_unlucky (&step->tasks[i], step->tasks[i].part->worker,
                                d->now);
        note_failure (d, step->tasks[i].part->worker, step->job);
      }
  runs_stop (d, part, "stalled");
}

/* Sends PART's order again when its time has come. */
void
runs_retry (Dispatch *d, WorkPart *part)
{
  if (part->retry > d->now)
    return;
  if (part->state == PART_STARTING && d->may_send_orders)
    send_start (d, part);
  else if (part->state == PART_STARTING)
    part->retry = d->now + RETRY_MS;
  else if (part->state == PART_STOPPING)
    send_stop (d, part);
  else
    part->retry = CLOCK_NEVER;
}

/* Takes REPLY to the start or stop O. */
void
runs_on_reply (Dispatch *d, PendingCall *o, const RunReply *reply)
{
  PoolWorker *w = pool_find (&d->pool, o->worker);
  WorkPart *part = o->part;

  if (reply->status == RUN_FENCED)
    {
      effects_log (
          d->fx,
          "event=deposed reason=fenced worker=%s fence=%" G_GINT64_FORMAT,
          o->worker, d->term.fence);
      d->lost_role = TRUE;
      return;
    }
  if (reply->status == RUN_OTHER_LIFE && w)
    {
      runs_void_worker (d, w, FALSE, "other_life");
      w->known = FALSE;
      return;
    }
  if (!part)
    return;
  if (part->call_id == reply->id)
    part->call_id = 0;
  if (o->op == RUN_START)
    on_start (d, part, reply);
  else
    on_stop (d, part, reply);
}

static gboolean
is_whole (const WorkStep *step)
{
  gint64 run = step->tasks[0].part ? step->tasks[0].part->run : 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (!step->tasks[i].part || step->tasks[i].part->run != run)
      return FALSE;
  return TRUE;
}

/* Stops the gangs that a former holder of the role left incomplete. */
void
runs_break_partial_gangs (Dispatch *d)
{
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    APR_RING_FOREACH (step, &job->steps, WorkStep, link)
      if (step->spec->gang && step->n_parts > 0 && !step->breaking &&
          !work_step_is_done (step) && !is_whole (step))
        {
          step->breaking = TRUE;
          stop_step (d, step, "gang_incomplete");
        }
}
