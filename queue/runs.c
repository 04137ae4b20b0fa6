#include "dispatch_state.h"

#include <string.h>

enum
{
  /* Time-out of an order, by the worker's round trips.  At the upper bound,
     two attempts fit into the time that a gang waits for its members. */
  ORDER_TIMEOUT_MS = 450,
  ORDER_TIMEOUT_MAX_MS = 1400,
  ORDER_RETRY_MS = 60,
  STOP_RETRY_MAX_FACTOR = 5, /* longest stop retry, times ORDER_RETRY_MS */
  /* With short round trips, all attempts fit into the time that a gang waits
     for its members. */
  START_ATTEMPTS = 4,
  UNHEALTHY_EXCLUSION_MS = 1500
};

/* How long a start is tried that gets no connection, in milliseconds: half of
   the time that a gang waits for its members. */
const ClockMs runs_connection_wait = 1500;

static void
pending_call_free (gpointer p)
{
  PendingCall *pending = p;

  g_free (pending->worker);
  g_free (pending->address);
  g_free (pending->task);
  g_free (pending);
}

/* Detaches PLACEMENT from its order in flight, if any, so that the answer is
   ignored.  A start order then remains unconfirmed. */
static void
detach_order (Dispatch *d, WorkPlacement *placement)
{
  PendingCall *pending =
      placement->call_id && d->pending_calls
          ? g_hash_table_lookup (d->pending_calls, &placement->call_id)
          : NULL;

  if (!pending)
    return;
  if (pending->op == RUN_START)
    placement->start_unconfirmed = TRUE;
  pending->placement = NULL;
  placement->call_id = 0;
}

/* Sends CALL, an order for PLACEMENT, or for no placement if that is NULL, and
   detaches PLACEMENT from its previous order.  Takes ownership of CALL and
   returns its id, which the caller stores in PLACEMENT->call_id. */
gint64
runs_send (Dispatch *d, RunCall *call, WorkPlacement *placement)
{
  PendingCall *pending = g_new0 (PendingCall, 1);
  PoolWorker *w = pool_find (&d->pool, call->worker);

  if (placement)
    detach_order (d, placement);
  call->close_after =
      w &&
      !call_limit_keeps_connection (&w->calls, d->pool.connections_are_scarce);
  if (w)
    call_limit_on_send (&w->calls);
  call->id = effects_next_id (d->fx);
  call->fence = d->term.fence;
  *pending = (PendingCall) { .op = call->op,
                             .worker = g_strdup (call->worker),
                             .placement = placement,
                             .task = g_strdup (call->task),
                             .run = call->run,
                             .sent_at = d->now,
                             .address = g_strdup (call->address),
                             .grants_lease = call->lease_deadline > 0,
                             .waits = call->max_wait > 0 };
  if (!d->pending_calls)
    d->pending_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, pending_call_free);
  g_hash_table_insert (d->pending_calls, g_memdup2 (&call->id, sizeof call->id),
                       pending);
  effects_run (d->fx, call);
  return call->id;
}

/* Returns the time-out of an order to W in milliseconds. */
ClockMs
runs_order_timeout (const PoolWorker *w)
{
  return rtt_timeout (&w->rtt, ORDER_TIMEOUT_MS, ORDER_TIMEOUT_MAX_MS);
}

static RunCall *
placement_call (RunOp op, const WorkPlacement *placement)
{
  const PoolEntry *e = placement->worker->entry;
  RunCall *call = run_call_new (op, e->id, e->address);

  call->task = work_task_name (placement->task);
  call->run = placement->run;
  call->timeout = runs_order_timeout (placement->worker);
  /* A stop frees room. */
  call->urgent = op == RUN_STOP || placement->came_first ||
                 work_task_is_urgent (placement->task);
  return call;
}

static const char *
checkpoint_of (const WorkTask *task)
{
  const WorkStep *step = task->step;

  return step->spec->gang ? step->tasks[0].checkpoint : task->checkpoint;
}

/* Tells whether PLACEMENT's order can be sent now.  If too many orders to its
   worker are in flight, it is queued instead; see runs_send_queued. */
static gboolean
can_send_order (WorkPlacement *placement)
{
  placement->order_queued = !call_limit_allows (&placement->worker->calls);
  if (!placement->order_queued)
    return TRUE;
  placement->retry_at = CLOCK_NEVER;
  return FALSE;
}

/* Tells whether PLACEMENT's worker's clock has to be read before its start is
   sent. */
static gboolean
needs_clock_reading (const Dispatch *d, const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STARTING &&
         !grant_clock_is_recent (d, placement->worker);
}

/* Returns the size of PLACEMENT's start on the link, in bytes. */
gsize
runs_start_bytes (const WorkPlacement *placement)
{
  return link_order_bytes (placement->task->step->job->entry->job->text,
                           checkpoint_of (placement->task));
}

/* Queues PLACEMENT's start until its worker has told its clock.  The link is
   charged at once, so that no more is placed than it carries. */
static void
await_clock_reading (Dispatch *d, WorkPlacement *placement)
{
  PoolWorker *w = placement->worker;

  if (!placement->awaits_reading)
    link_add_bytes (&d->fx->link, d->now, runs_start_bytes (placement));
  placement->awaits_reading = TRUE;
  placement->order_queued = TRUE;
  placement->retry_at = CLOCK_NEVER;
  w->poll_immediately = TRUE;
  w->next_poll = d->now;
  due_mark (d, w);
}

/* Tells whether PLACEMENT's start may be sent now. */
static gboolean
may_send_start (const Dispatch *d, const WorkPlacement *placement)
{
  return d->may_send_orders && !d->starts_held && !placement->worker->evacuated;
}

static void
send_start (Dispatch *d, WorkPlacement *placement)
{
  RunCall *call;

  if (!may_send_start (d, placement))
    {
      placement->retry_at = d->now + ORDER_RETRY_MS;
      return;
    }
  if (needs_clock_reading (d, placement))
    {
      await_clock_reading (d, placement);
      return;
    }
  if (!can_send_order (placement))
    return;
  if (placement->awaits_reading)
    link_remove_bytes (&d->fx->link, d->now, runs_start_bytes (placement));
  placement->awaits_reading = FALSE;
  call = placement_call (RUN_START, placement);
  call->text = g_strdup (placement->task->step->job->entry->job->text);
  call->checkpoint = g_strdup (checkpoint_of (placement->task));
  placement->from_zero = !call->checkpoint;
  call->lease_deadline = grant_lease_deadline (d, placement->worker);
  placement->start_sent = TRUE;
  placement->order_attempts++;
  placement->last_order_at = d->now;
  placement->last_start_at = d->now;
  placement->retry_at = CLOCK_NEVER;
  placement->call_id = runs_send (d, call, placement);
  begin_on_sent (d, placement->task);
}

/* Sends the first start order of PLACEMENT, whose worker has the capacity for
   it. */
void
runs_start (Dispatch *d, WorkPlacement *placement)
{
  work_placement_set_state (placement, PLACEMENT_STARTING);
  placement->order_attempts = 0;
  placement->started_at = d->now;
  placement->progressed_at = d->now;
  d->n_starts++;
  placement->worker->next_poll = MIN (placement->worker->next_poll, d->now);
  due_mark (d, placement->worker);
  send_start (d, placement);
}

static void
send_stop (Dispatch *d, WorkPlacement *placement)
{
  if (!d->may_send_orders)
    {
      placement->retry_at = d->now + ORDER_RETRY_MS;
      return;
    }
  if (!can_send_order (placement))
    return;
  placement->last_order_at = d->now;
  placement->retry_at = CLOCK_NEVER;
  placement->call_id =
      runs_send (d, placement_call (RUN_STOP, placement), placement);
}

/* Stops PLACEMENT.  Its resources stay in use until its worker reports its end
   or no longer lists it. */
void
runs_stop (Dispatch *d, WorkPlacement *placement, const char *reason)
{
  WorkTask *task = placement->task;

  if (placement->state == PLACEMENT_STOPPING)
    return;
  if (placement->state == PLACEMENT_RESERVED || !placement->start_sent)
    {
      runs_end (d, placement, RUN_STOPPED, NULL);
      return;
    }
  effects_log_detail (
      d->fx,
      "event=stop job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " worker=%s reason=%s",
      task->step->job->entry->id, task->step->occurrence, task->step->number,
      task->index, placement->run, placement->worker->entry->id, reason);
  placement->state = PLACEMENT_STOPPING;
  placement->stop_acked = FALSE;
  placement->stopping_at = d->now;
  send_stop (d, placement);
}

/* Stops all placements of STEP. */
static void
stop_step (Dispatch *d, WorkStep *step, const char *reason)
{
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].placement)
      runs_stop (d, step->tasks[i].placement, reason);
}

/* Stops the placements of TASK, or of its gang, that belong to other runs than
   RUN, which has succeeded. */
void
runs_stop_other_runs (Dispatch *d, WorkTask *task, gint64 run)
{
  WorkStep *step = task->step;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      WorkTask *t = &step->tasks[i];

      if ((t == task || step->spec->gang) && t->placement &&
          t->placement->run != run)
        runs_stop (d, t->placement, "done_before");
    }
}

/* Stops all placements of JOB. */
void
runs_stop_job (Dispatch *d, WorkJob *job, const char *reason)
{
  WorkStep *step;

  APR_RING_FOREACH (step, &job->steps, WorkStep, link)
    stop_step (d, step, reason);
}

/* Counts that RUN of TASK failed, once, where the number of attempts is
   limited. The last one fails its job. */
static void
count_failed_run (Dispatch *d, WorkTask *task, gint64 run)
{
  WorkJob *job = task->step->job;
  gint64 max_attempts = job->entry->job->attempts;
  guint attempts;

  if (work_task_limits_attempts (task) && !work_task_add_failure (task, run))
    return;
  attempts = work_task_attempts (task);
  save_mark_dirty (d, job);
  effects_log (
      d->fx,
      "event=task_failed job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " attempts=%u most=%" G_GINT64_FORMAT,
      job->entry->id, task->step->occurrence, task->step->number, task->index,
      run, attempts, max_attempts);
  if (work_task_limits_attempts (task) && attempts >= max_attempts &&
      !spec_state_is_final (job->state))
    dispatch_set_job_state (d, job, JOB_FAILED);
}

/* Updates only TASK and its job after RUN has ended with the result HOW: counts
   a failure, or marks the task done.  For a run that has a placement, runs_end
   calls this. */
void
runs_apply_end (Dispatch *d, WorkTask *task, gint64 run, RunEnd how)
{
  WorkJob *job = task->step->job;

  d->replan = TRUE;
  if (task->done || spec_state_is_final (job->state))
    return;
  if (how == RUN_FAILED)
    count_failed_run (d, task, run);
  if (how != RUN_DONE)
    return;
  work_task_set_done (task);
  save_mark_dirty (d, job);
  if (work_job_is_complete (job))
    dispatch_set_job_state (d, job, JOB_COMPLETED);
}

/* Updates the gang STEP after one of its placements has ended: stops the
   others unless the gang has succeeded.  Once none is left, it may start
   again. */
static void
update_gang (Dispatch *d, WorkStep *step)
{
  if (step->n_placements == 0)
    {
      step->stopping_gang = FALSE;
      return;
    }
  if (work_step_is_done (step) || step->stopping_gang)
    return;
  step->stopping_gang = TRUE;
  stop_step (d, step, "gang_broken");
}

/* Returns the service in which a run of JOB has ended on W.  A worker that only
   the roster names has not told its own. */
static Service *
service_of_run (const Dispatch *d, const PoolWorker *w, const WorkJob *job)
{
  const char *name = w->entry->service;

  return service_get (d->services, *name ? name : job->entry->job->service);
}

/* Frees PLACEMENT, whose run has ended, or never began, with the result HOW.
   Records the result for its worker and, by runs_apply_end, for its task and
   job, and updates its gang.  CHECKPOINT is where the next run continues; NULL
   leaves it unchanged. */
void
runs_end (Dispatch *d,
          WorkPlacement *placement,
          RunEnd how,
          const char *checkpoint)
{
  WorkTask *task = placement->task;
  WorkStep *step = task->step;
  PoolWorker *w = placement->worker;
  gint64 run = placement->run;

  detach_order (d, placement);
  late_note_start (d, placement);
  due_mark (d, w);
  work_task_set_checkpoint (task, checkpoint);
  /* Of a gang's run, the members that fail after the first are one failure. */
  if (how == RUN_DONE || (how == RUN_FAILED && !step->stopping_gang))
    failure_spike_record (&service_of_run (d, w, step->job)->failure_spike,
                          d->now, how == RUN_FAILED);
  if (how == RUN_FAILED)
    {
      work_task_set_failed_on (task, w, d->now);
      quarantine_count_failure (d, w, step->job);
    }
  else if (how == RUN_DONE)
    quarantine_on_success (w, placement->started_at);
  work_placement_free (placement);
  runs_apply_end (d, task, run, how);
  if (step->spec->gang)
    update_gang (d, step);
  d->replan = TRUE;
  dispatch_check_finished (d, step->job);
}

/* Stops PLACEMENT, whose start order may still reach its restarted worker, so
   that the worker refuses it. */
void
runs_stop_unconfirmed_start (Dispatch *d, WorkPlacement *placement)
{
  placement->state = PLACEMENT_STOPPING;
  placement->stop_acked = FALSE;
  placement->stopping_at = d->now;
  send_stop (d, placement);
}

/* Returns for how many milliseconds a run on W that it has confirmed may go on
   without a renewal; negative once its lease has surely expired. */
static ClockMs
lease_left (const Dispatch *d, const PoolWorker *w)
{
  return w->lease_expiry - d->now;
}

/* Logs that PLACEMENT is ended although W has not reported its end. */
static void
log_given_up (const Dispatch *d,
              const WorkPlacement *placement,
              const char *reason)
{
  const WorkStep *step = placement->task->step;

  effects_log (
      d->fx,
      "event=run_given_up job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " worker=%s state=%s reason=%s lease_left_ms=%" CLOCK_MS_FORMAT,
      step->job->entry->id, step->occurrence, step->number,
      placement->task->index, placement->run, placement->worker->entry->id,
      work_placement_state_name (placement->state), reason,
      grant_run_expiry (placement) - d->now);
}

/* Ends all placements on W, because its process has ended or its lease has
   surely expired.  REASON is for the logs. */
void
runs_end_all_on_worker (Dispatch *d, PoolWorker *w, const char *reason)
{
  orphans_forget (d, w);
  if (w->n_placements || !w->runs_known)
    effects_log (d->fx,
                 "event=worker_void worker=%s parts=%u reason=%s draining=%d "
                 "listed=%d lease_left_ms=%" CLOCK_MS_FORMAT,
                 w->entry->id, w->n_placements, reason, w->entry->draining,
                 w->registered, lease_left (d, w));
  /* Ending one may end others, of its gang. */
  while (w->n_placements)
    {
      WorkPlacement *placement = APR_RING_FIRST (&w->placements);

      log_given_up (d, placement, reason);
      runs_end (d, placement, RUN_LEASE_EXPIRED, NULL);
    }
  w->lease_expired = TRUE;
}

static WorkPlacement *
find_lapsed (const Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (grant_run_expiry (placement) < d->now)
      return placement;
  return NULL;
}

/* Ends the placements on W, which does not answer, whose leases have surely
   expired. */
void
runs_end_lapsed (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;
  guint n = 0;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    n += grant_run_expiry (placement) >= d->now;
  if (n == 0)
    {
      runs_end_all_on_worker (d, w, "lapsed");
      return;
    }
  while ((placement = find_lapsed (d, w)))
    {
      log_given_up (d, placement, "lapsed");
      runs_end (d, placement, RUN_LEASE_EXPIRED, NULL);
    }
}

/* Handles that another worker answered CALL: if it has the address that W has
   now, and W itself answered there before, W's process has ended.  An address
   that W never answered at may stand in an entry of another writer. */
void
runs_on_other_worker (Dispatch *d, PoolWorker *w, const PendingCall *call)
{
  w->runs_known = FALSE;
  if (strcmp (call->address, w->entry->address) == 0 &&
      g_strcmp0 (call->address, w->heard_address) == 0)
    runs_end_all_on_worker (d, w, "other_life");
}

/* Stops PLACEMENT, and with it the rest of its gang, which would wait for it in
   vain. */
void
runs_stop_unit (Dispatch *d, WorkPlacement *placement, const char *reason)
{
  WorkStep *step = placement->task->step;

  runs_stop (d, placement, reason);
  if (!step->spec->gang || step->stopping_gang || step->n_placements == 0)
    return;
  step->stopping_gang = TRUE;
  stop_step (d, step, "gang_broken");
}

/* Tells whether PLACEMENT's start was refused only because its worker takes no
   more connections: others to it are still open. */
static gboolean
lacks_connections (const Dispatch *d,
                   const WorkPlacement *placement,
                   const RunReply *reply)
{
  const PoolWorker *w = placement->worker;

  return reply->refused && placement->state == PLACEMENT_STARTING &&
         d->now - placement->started_at <= runs_connection_wait &&
         call_limit_serves_others (&w->calls, placement->last_order_at);
}

/* Has PLACEMENT's start, whose connection was refused, sent again soon.  It
   doesn't count as an attempt; UNSENT tells that it was not sent at all. */
static void
retry_refused_start (Dispatch *d, WorkPlacement *placement, gboolean unsent)
{
  placement->order_attempts--;
  if (unsent)
    placement->start_sent =
        placement->order_attempts > 0 || placement->start_unconfirmed;
  else
    placement->start_unconfirmed = TRUE;
  placement->retry_at = d->now + ORDER_RETRY_MS;
}

/* Handles a start order that was certainly not executed.  An earlier order for
   the same run may have been, if its answer was lost. */
static void
on_start_refused (Dispatch *d, WorkPlacement *placement, RunStatus status)
{
  PoolWorker *w = placement->worker;

  effects_log (d->fx,
               "event=start_refused job=%s task=%u run=%" G_GINT64_FORMAT
               " worker=%s reason=%s tries=%u",
               placement->task->step->job->entry->id, placement->task->index,
               placement->run, w->entry->id, run_status_name (status),
               placement->order_attempts);
  if (status == RUN_UNHEALTHY)
    quarantine_exclude (d, w, UNHEALTHY_EXCLUSION_MS);
  else
    quarantine_exclude (d, w, quarantine_exclusion_span);
  w->poll_immediately = TRUE;
  if (placement->state == PLACEMENT_STOPPING)
    return;
  if (placement->order_attempts > 1 || placement->start_unconfirmed)
    runs_stop_unit (d, placement, "start_unsure");
  else
    runs_end (d, placement, RUN_STOPPED, NULL);
}

static void
on_start_lost (Dispatch *d, WorkPlacement *placement)
{
  placement->start_unconfirmed = TRUE;
  if (placement->state != PLACEMENT_STARTING)
    return;
  if (placement->order_attempts >= START_ATTEMPTS)
    {
      quarantine_exclude (d, placement->worker, quarantine_exclusion_span);
      runs_stop_unit (d, placement, "start_unanswered");
      return;
    }
  placement->retry_at = d->now + ORDER_RETRY_MS;
}

static void
on_start (Dispatch *d, WorkPlacement *placement, const RunReply *reply)
{
  if (lacks_connections (d, placement, reply))
    {
      retry_refused_start (d, placement, reply->status == RUN_UNSENT);
      return;
    }
  switch (reply->status)
    {
    case RUN_OK:
      placement->confirmed_call = d->fx->last_id;
      if (placement->state == PLACEMENT_STARTING)
        placement->state = PLACEMENT_RUNNING;
      begin_on_confirmed (d, placement->task);
      return;
    case RUN_LOST:
      on_start_lost (d, placement);
      return;
    case RUN_UNSENT:
      quarantine_exclude (d, placement->worker, quarantine_exclusion_span);
      placement->worker->poll_immediately = TRUE;
      on_start_refused (d, placement, reply->status);
      return;
    default:
      on_start_refused (d, placement, reply->status);
    }
}

/* Tells whether a stop with a reply of STATUS may not have been executed. */
static gboolean
is_stop_unsure (RunStatus status)
{
  return status == RUN_LOST || status == RUN_UNSENT ||
         status == RUN_UNHEALTHY || status == RUN_OTHER_INCARNATION;
}

static void
on_stop (Dispatch *d, WorkPlacement *placement, const RunReply *reply)
{
  if (is_stop_unsure (reply->status))
    {
      /* The count also includes the start orders sent, so the delay of the
         first stop retry is longer after several starts. */
      placement->order_attempts++;
      placement->retry_at =
          d->now + (ClockMs)ORDER_RETRY_MS *
                       MIN (placement->order_attempts, STOP_RETRY_MAX_FACTOR);
      return;
    }
  placement->stop_acked = TRUE;
  placement->confirmed_call = d->fx->last_id;
  placement->worker->next_poll = d->now;
}

/* Stops PLACEMENT, which makes no progress although its worker answers.  In a
   gang it is unknown which member blocks the others, so a failure is counted
   for all of their workers until a run succeeds there. */
void
runs_stop_stalled (Dispatch *d, WorkPlacement *placement)
{
  WorkStep *step = placement->task->step;
  guint i;

  effects_log (d->fx,
               "event=stalled job=%s task=%u worker=%s percent=%.0f "
               "stalled_ms=%" CLOCK_MS_FORMAT,
               step->job->entry->id, placement->task->index,
               placement->worker->entry->id, placement->percent,
               d->now - placement->progressed_at);
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].placement &&
        (step->spec->gang || step->tasks[i].placement == placement))
      {
        work_task_set_failed_on (&step->tasks[i],
                                 step->tasks[i].placement->worker, d->now);
        quarantine_count_failure (d, step->tasks[i].placement->worker,
                                  step->job);
      }
  runs_stop (d, placement, "stalled");
}

/* Sends the order of PLACEMENT again if its retry is due. */
void
runs_retry_order (Dispatch *d, WorkPlacement *placement)
{
  if (placement->retry_at > d->now)
    return;
  if (placement->state == PLACEMENT_STARTING)
    send_start (d, placement);
  else if (placement->state == PLACEMENT_STOPPING)
    send_stop (d, placement);
  else
    placement->retry_at = CLOCK_NEVER;
}

/* Returns the queued order of W to send first: stops free room, so they come
   before starts, of which the most urgent job's comes first.  NULL if none can
   be sent. */
static WorkPlacement *
first_queued_order (const Dispatch *d, PoolWorker *w)
{
  WorkPlacement *best = NULL;
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      if (!placement->order_queued || needs_clock_reading (d, placement))
        continue;
      if (placement->state == PLACEMENT_STOPPING)
        return placement;
      if (!best || placement->task->step->job->entry->job->priority <
                       best->task->step->job->entry->job->priority)
        best = placement;
    }
  return best;
}

/* Sends the queued orders of W that its limit allows. */
void
runs_send_queued (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  while (call_limit_allows (&w->calls) &&
         (placement = first_queued_order (d, w)))
    {
      placement->order_queued = FALSE;
      placement->retry_at = d->now;
      runs_retry_order (d, placement);
    }
}

/* Handles REPLY to the pending start or stop order O. */
void
runs_on_reply (Dispatch *d, PendingCall *o, const RunReply *reply)
{
  PoolWorker *w = pool_find (&d->pool, o->worker);
  WorkPlacement *placement;

  if (reply->status == RUN_FENCED)
    {
      effects_log (
          d->fx,
          "event=deposed reason=fenced worker=%s fence=%" G_GINT64_FORMAT,
          o->worker, d->term.fence);
      d->lost_role = TRUE;
      return;
    }
  /* Frees the placement, unless W has another address by now. */
  if (reply->status == RUN_OTHER_INCARNATION && w)
    runs_on_other_worker (d, w, o);
  else if (w)
    grant_check_clock (d, w, o, reply);
  placement = o->placement;
  if (!placement && w && o->op == RUN_STOP && reply->status == RUN_OK)
    pool_late_start_refused (w, o->task, o->run);
  if (!placement)
    return;
  if (placement->call_id == reply->id)
    placement->call_id = 0;
  if (o->op == RUN_START)
    on_start (d, placement, reply);
  else
    on_stop (d, placement, reply);
}

static gboolean
gang_is_complete (const WorkStep *step)
{
  gint64 run = step->tasks[0].placement ? step->tasks[0].placement->run : 0;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (!step->tasks[i].placement || step->tasks[i].placement->run != run)
      return FALSE;
  return TRUE;
}

/* Stops the gangs that the previous scheduler left incomplete. */
void
runs_stop_incomplete_gangs (Dispatch *d)
{
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    APR_RING_FOREACH (step, &job->steps, WorkStep, link)
      if (step->spec->gang && step->n_placements > 0 && !step->stopping_gang &&
          !work_step_is_done (step) && !gang_is_complete (step))
        {
          step->stopping_gang = TRUE;
          stop_step (d, step, "gang_incomplete");
        }
}
