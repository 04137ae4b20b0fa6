#include "dispatch_state.h"

#include "speed.h"
#include "term.h"

#include <string.h>

enum
{
  WAIT_MS = 1000, /* for an end; also how often a busy lease is renewed */
  WAIT_MOST_MS = 2000,
  STOP_WAIT_MS = 250,  /* for the end of what is being stopped */
  ANSWER_MS = 500,     /* beyond the wait */
  LOOKS_PER_S = 500,   /* what a small host's processor has time for */
  LOOK_BYTES = 450,    /* that a look puts on the host's link */
  LINK_LOOK_SHARE = 8, /* one part in so many of the link is for looks */
  SHORT_TIMEOUT_MS = 600,
  LONG_TIMEOUT_MS = 1200,
  LOOKS_IN_TURN = 3,
  PATIENT_LOOK = 2, /* the one that gets LONG_TIMEOUT_MS */
  RETRY_MS = 200,
  RETRY_MOST_MS = 400, /* while its lease may last */
  RETRY_LAPSED_MS = 1000,
  AGAIN_MS = 60,         /* between looks at a worker that stops something */
  STALL_MS = 2600,       /* two renewals */
  GOES_WELL_MS = 1000,   /* workers that fail all do so sooner */
  STALL_SHARE = 4,       /* of a task's length, at the least */
  LEAVE_MARGIN_MS = 300, /* to hear of an end before its worker leaves */
  LEAST_PERCENT = 5,     /* of progress from which a rate follows */
  /* First looks under way.  A new scheduler has thousands of workers to look
     at; more of them at once than its processor answers within their time-out
     would be sent in vain. */
  MOST_LISTINGS = 200,
  DURABLE_MS = 300 /* ends that can't be stored hold up the next look */
};

static const double whole = 100.0; /* percent */
static const gint64 ms_per_s = 1000;

/* How long a worker's runs go on without a renewal.  Outlasts a change of
   the scheduler; a task of a worker that was cut off waits as long. */
static const ClockMs lease = 5500;

/* Workers whose tasks all last for minutes are looked at less often, under a
   longer lease: what that delays is a small share of such a task.  The
   platform's bound of a lease is 10 s. */
static const ClockMs quiet_lease = 9000;
static const ClockMs quiet_pause = 3000;
static const ClockMs quiet_task = 60000;

/* The platform may execute an order that got no answer up to 12 s later,
   perhaps in the worker's next life, whose ends a hold then acknowledges:
   they must have been heard of by then. */
const ClockMs holds_late_order = 13000;

/* Workers' clocks may be 2% slow; one part in so many is allowed for. */
static const ClockMs clock_slow_part = 20;

static gboolean
is_quiet_step (const SpecStep *spec)
{
  return spec->estimate_ms >= quiet_task && !spec->perpetual;
}

static gboolean
is_quiet (const Dispatch *d, const PoolWorker *w)
{
  const WorkPlacement *placement;

  if (w->n_placements == 0 || w->entry->draining || w->polls_unanswered ||
      d->now < w->last_disruption + holds_late_order)
    return FALSE;
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state != PLACEMENT_RUNNING ||
        !is_quiet_step (placement->task->step->spec))
      return FALSE;
  return TRUE;
}

/* Returns how long W's lease is to last. */
ClockMs
holds_lease (const Dispatch *d, const PoolWorker *w)
{
  return is_quiet (d, w) ? quiet_lease : lease;
}

static gboolean
has_quiet_step (const SpecJob *job)
{
  guint i;

  for (i = 0; i < job->steps.n; i++)
    if (is_quiet_step (spec_job_step (job, i)))
      return TRUE;
  return FALSE;
}

static ClockMs
longest_lease (const Dispatch *d)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, book_entries (d->book));
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const BookEntry *e = p;

      if (e->job && has_quiet_step (e->job))
        return quiet_lease;
    }
  return lease;
}

/* Returns when the leases that a former scheduler of the jobs on record gave
   have lapsed at the latest. */
ClockMs
holds_former_lapse (const Dispatch *d)
{
  ClockMs longest = longest_lease (d);

  return d->started + term_overhang + longest + longest / clock_slow_part;
}

/* Tells whether what runs on W can be relied on. */
gboolean
holds_is_settled (const PoolWorker *w)
{
  return w->runs_known || w->lease_expired;
}

static gboolean
has_unsaved (const Dispatch *d, const PoolWorker *w)
{
  return w->ends_applied > w->ends_acked &&
         !save_is_durable (d, w->ends_applied_save);
}

/* A worker that fell silent is asked until it answers, even when its lease
   has lapsed: it may be used again then, and may know of a success. */
static gboolean
wants_hold (const PoolWorker *w)
{
  return !w->runs_known || w->n_placements > 0 || w->poll_immediately ||
         w->ends_applied > w->ends_acked ||
         (w->polls_unanswered && w->registered);
}

/* Returns when holds_tick has something to do for W. */
ClockMs
holds_next (const Dispatch *d, const PoolWorker *w)
{
  if (w->poll_id || w->first_poll_queued || !wants_hold (w))
    return CLOCK_NEVER;
  if (has_unsaved (d, w) && w->poll_sent_at + DURABLE_MS > d->now)
    return w->poll_sent_at + DURABLE_MS;
  return w->next_poll;
}

static gboolean
is_stopping (const PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state == PLACEMENT_STOPPING)
      return TRUE;
  return FALSE;
}

/* Returns how long a hold waits for an end while nothing is urgent: the more
   workers there are, the less often each of them is looked at, within what
   the host and its link can do. */
static ClockMs
wait_for_end (const Dispatch *d)
{
  gint64 link_looks = d->fx->link.rate / LINK_LOOK_SHARE / LOOK_BYTES;
  gint64 looks = LOOKS_PER_S;

  if (d->fx->link.rate)
    looks = CLAMP (link_looks, 1, LOOKS_PER_S);
  return CLAMP (ms_per_s * pool_size (&d->pool) / looks, WAIT_MS, WAIT_MOST_MS);
}

/* Returns how long the next hold of W may wait for an end. */
static ClockMs
wait_of (const Dispatch *d, const PoolWorker *w, gboolean unsaved)
{
  if (!w->runs_known || w->n_placements == 0 || w->poll_immediately ||
      unsaved || w->polls_unanswered)
    return 0;
  return is_stopping (w) ? STOP_WAIT_MS : wait_for_end (d);
}

/* Returns how long a hold that does not wait may take.  A worker that fell
   silent is mostly asked with little patience, to hear soon that it is back,
   and now and then with more, in case it is only slow: both within its
   lease. */
static ClockMs
short_timeout (const PoolWorker *w)
{
  return w->polls_unanswered % LOOKS_IN_TURN == PATIENT_LOOK ? LONG_TIMEOUT_MS
                                                             : SHORT_TIMEOUT_MS;
}

static gboolean
is_first_look (const PoolWorker *w)
{
  return !w->runs_known && !w->polls_unanswered;
}

/* Ends W's first look, if one is under way, and lets the next worker have
   its. */
static void
end_listing (Dispatch *d, PoolWorker *w)
{
  PoolWorker *next;

  if (!w->first_poll_sent)
    return;
  w->first_poll_sent = FALSE;
  d->n_listing--;
  next = g_queue_pop_head (&d->to_list);
  if (!next)
    return;
  next->first_poll_queued = FALSE;
  due_touch (d, next);
}

/* Has the answer to the hold of W that is under way ignored. */
void
holds_drop_call (Dispatch *d, PoolWorker *w)
{
  w->poll_id = 0;
  end_listing (d, w);
}

static void
send_hold (Dispatch *d, PoolWorker *w)
{
  RunCall *call = run_call_new (RUN_POLL, w->entry->id, w->entry->address);
  gboolean unsaved = has_unsaved (d, w);

  /* To a worker that does not answer, nothing is renewed, so that its lease
     lapses at a time that is known. */
  if (w->runs_known && !w->polls_unanswered && d->may_order)
    call->lease_deadline = runs_lease_deadline (d, w);
  call->ack = unsaved ? w->ends_acked : w->ends_applied;
  w->ends_ack_sent = call->ack;
  call->max_wait = wait_of (d, w, unsaved);
  call->timeout =
      call->max_wait ? call->max_wait + ANSWER_MS : short_timeout (w);
  w->poll_immediately = FALSE;
  w->poll_sent_at = d->now;
  w->first_poll_sent = is_first_look (w);
  d->n_listing += w->first_poll_sent;
  w->poll_id = runs_send (d, call, NULL);
}

/* Sends W's next hold, or queues W for its first look. */
static void
send_or_queue (Dispatch *d, PoolWorker *w)
{
  if (!is_first_look (w) || d->n_listing < MOST_LISTINGS)
    {
      send_hold (d, w);
      return;
    }
  w->first_poll_queued = TRUE;
  g_queue_push_tail (&d->to_list, w);
}

/* Returns when whatever still runs on W has to be stopped: the news of an
   end in its last moments might be lost with it. */
ClockMs
holds_clearing (const PoolWorker *w)
{
  return w->entry->draining ? w->leaves_at - LEAVE_MARGIN_MS : CLOCK_NEVER;
}

static void
clear_leaving (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state == PLACEMENT_RUNNING ||
        placement->state == PLACEMENT_STARTING)
      runs_stop (d, placement, "worker_leaves");
}

static gboolean
is_of_worker (gpointer task, gpointer id, gpointer w)
{
  (void)task;
  return strcmp (id, ((const PoolWorker *)w)->entry->id) == 0;
}

/* Looks at W when it is time to, and takes its runs for ended when they
   surely are. */
void
holds_tick (Dispatch *d, PoolWorker *w)
{
  if (w->polls_unanswered && d->now > w->lease_expiry && !w->lease_expired)
    {
      g_hash_table_foreach_remove (d->strays, is_of_worker, w);
      runs_end_all_on_worker (d, w, FALSE, "lapsed");
    }
  if (holds_clearing (w) <= d->now)
    clear_leaving (d, w);
  if (holds_next (d, w) <= d->now)
    send_or_queue (d, w);
}

static void
adopt_row (Dispatch *d, PoolWorker *w, const RunActive *row)
{
  WorkTask *task = work_find_task (d->book, row->task);
  WorkPlacement *placement;

  if (!task || task->placement)
    {
      effects_log_detail (d->fx,
                          "event=stray task=%s run=%" G_GINT64_FORMAT
                          " worker=%s",
                          row->task, row->run, w->entry->id);
      runs_stop_orphan (d, w, row->task, row->run);
      g_hash_table_insert (d->strays, g_strdup (row->task),
                           g_strdup (w->entry->id));
      w->poll_immediately = TRUE;
      return;
    }
  placement = work_placement_new (task, w, row->run, PLACEMENT_RUNNING);
  placement->start_sent = TRUE;
  placement->confirmed_call = d->fx->last_id;
  placement->started_at = d->now;
  placement->progressed_at = d->now;
  speed_note (placement, d->now, row->percent);
  effects_log_detail (d->fx,
                      "event=adopted task=%s run=%" G_GINT64_FORMAT
                      " worker=%s",
                      row->task, row->run, w->entry->id);
  if (task->done || spec_state_is_final (task->step->job->state) ||
      d->all_known)
    runs_stop (d, placement, "not_wanted");
}

static WorkPlacement *
find_part (const Dispatch *d, const PoolWorker *w, const char *name, gint64 run)
{
  WorkTask *task = work_find_task (d->book, name);
  WorkPlacement *placement = task ? task->placement : NULL;

  return placement && placement->worker == w && placement->run == run
             ? placement
             : NULL;
}

/* Tells whether PART has made no progress for as long as a task as slow as
   any would need for a percent.  Progress comes in whole percent, and stays
   at 100 while a task takes longer than its worker expected. */
static gboolean
is_stalled (const Dispatch *d, const WorkPlacement *placement)
{
  ClockMs length = MAX (placement->task->step->spec->estimate_ms,
                        d->now - placement->started_at);

  if (placement->task->step->spec->perpetual || placement->percent >= whole)
    return FALSE;
  return d->now - placement->progressed_at >
         MAX ((ClockMs)STALL_MS, length / STALL_SHARE);
}

/* Returns how long PART will run on, by its progress so far, or by its
   estimate while it has made none. */
static ClockMs
time_left (const Dispatch *d, const WorkPlacement *placement)
{
  double run = (double)(d->now - placement->started_at);

  if (placement->percent >= LEAST_PERCENT && placement->percent < whole)
    return (ClockMs)(run * (whole - placement->percent) / placement->percent);
  return MAX (placement->task->step->spec->estimate_ms - (ClockMs)run, 0);
}

static void
take_row (Dispatch *d, PoolWorker *w, const RunActive *row)
{
  WorkPlacement *placement = find_part (d, w, row->task, row->run);

  if (!placement)
    {
      adopt_row (d, w, row);
      return;
    }
  if (placement->state == PLACEMENT_STARTING)
    {
      placement->state = PLACEMENT_RUNNING;
      placement->retry_at = CLOCK_NEVER;
      placement->confirmed_call = d->fx->last_id;
    }
  speed_note (placement, d->now, row->percent);
  if (d->now - placement->started_at >= GOES_WELL_MS &&
      placement->percent > placement->baseline_percent)
    w->last_success_start = MAX (w->last_success_start, placement->started_at);
  work_task_set_checkpoint (placement->task, row->checkpoint);
  if (placement->state == PLACEMENT_RUNNING && is_stalled (d, placement))
    runs_stop_stalled (d, placement);
  else if (placement->state == PLACEMENT_RUNNING && w->entry->draining &&
           d->now + time_left (d, placement) + LEAVE_MARGIN_MS > w->leaves_at)
    runs_stop (d, placement, "worker_leaves");
}

static gboolean
has_run (const WorkTask *task)
{
  return task->step->spec->gang ? task->step->n_placements > 0
                                : task->placement != NULL;
}

/* Takes over the end E of a run that this scheduler has no part of: a
   former holder of the role may not have stored it, or it was given up for
   lost.  With STALE the lease lapsed since, and only success is worth
   anything.  A success counts whatever was started in its place. */
static void
take_foreign_end (Dispatch *d,
                  WorkTask *task,
                  const RunEnded *e,
                  gboolean stale)
{
  if (stale && e->how != RUN_DONE)
    return;
  if (!has_run (task))
    work_task_set_checkpoint (task, e->checkpoint);
  runs_apply_end (d, task, e->run, e->how);
  if (e->how == RUN_DONE)
    runs_stop_other_runs (d, task, e->run);
}

static void
take_end (Dispatch *d, PoolWorker *w, const RunEnded *e, gboolean stale)
{
  WorkPlacement *placement = find_part (d, w, e->task, e->run);
  WorkTask *task = work_find_task (d->book, e->task);

  if (e->sequence <= w->ends_applied)
    return;
  w->ends_applied = e->sequence;
  effects_log_detail (d->fx,
                      "event=end task=%s run=%" G_GINT64_FORMAT
                      " worker=%s how=%s known=%d stale=%d",
                      e->task, e->run, w->entry->id, run_end_name (e->how),
                      placement != NULL, stale);
  if (placement)
    runs_end (d, placement, e->how, e->checkpoint);
  else if (task)
    take_foreign_end (d, task, e, stale);
  w->ends_applied_save = d->save.last_order;
}

static gboolean
is_listed (const RunReply *reply, const WorkPlacement *placement)
{
  char *name = work_task_name (placement->task);
  gboolean found = FALSE;
  guint i;

  for (i = 0; i < reply->running->len && !found; i++)
    {
      const RunActive *row = &g_array_index (reply->running, RunActive, i);

      found = row->run == placement->run && strcmp (row->task, name) == 0;
    }
  g_free (name);
  return found;
}

/* A part that the worker answered for before the hold left, and that the
   worker does not list, is gone.  Calls are told apart by number: many are
   made and answered within a millisecond. */
static void
drop_unlisted (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  GPtrArray *gone = g_ptr_array_new ();
  WorkPlacement *placement;
  guint i;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      gboolean answered =
          placement->state == PLACEMENT_RUNNING ||
          (placement->state == PLACEMENT_STOPPING && placement->stop_acked);

      if (answered && placement->confirmed_call < reply->id &&
          !is_listed (reply, placement))
        g_ptr_array_add (gone, placement);
    }
  for (i = 0; i < gone->len; i++)
    {
      placement = g_ptr_array_index (gone, i);
      if (placement->state == PLACEMENT_RUNNING)
        effects_log (d->fx, "event=run_vanished job=%s task=%u worker=%s",
                     placement->task->step->job->entry->id,
                     placement->task->index, w->entry->id);
      runs_end (d, placement, RUN_STOPPED, NULL);
    }
  g_ptr_array_unref (gone);
}

/* A worker that was born anew runs nothing of before. */
static void
check_life (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  if (!reply->incarnation || reply->incarnation == w->incarnation)
    return;
  if (w->incarnation)
    {
      runs_end_all_on_worker (d, w, TRUE, "new_life");
      runs_cancel_late_starts (d, w);
      w->lease_expiry = 0;
    }
  w->incarnation = reply->incarnation;
  w->last_disruption = d->now;
  w->ends_applied = 0;
  w->ends_acked = 0;
  w->ends_ack_sent = 0;
  w->worker_clock_at = 0;
  w->consecutive_failures = 0;
}

/* Returns how long to wait before W is looked at again; RENEW says that its
   lease has just become known. */
static ClockMs
pause_after (const Dispatch *d, const PoolWorker *w, gboolean renew)
{
  if (renew)
    return 0;
  if (w->poll_immediately || is_stopping (w))
    return AGAIN_MS;
  return is_quiet (d, w) && w->ends_applied <= w->ends_acked ? quiet_pause : 0;
}

static void
judge_speed (Dispatch *d, PoolWorker *w)
{
  if (!speed_judge (w, d->now))
    return;
  effects_log_detail (d->fx, "event=worker_speed worker=%s slow=%d parts=%u",
                      w->entry->id, speed_is_slow (w, d->now), w->n_placements);
}

static void
take_list (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  gboolean was_silent = w->polls_unanswered > 0;
  gboolean stale = w->lease_expired;
  gboolean renew = FALSE;
  guint i;

  check_life (d, w, reply);
  w->worker_clock = reply->worker_clock;
  w->worker_clock_at = d->now;
  w->polls_unanswered = 0;
  w->ends_acked = MAX (w->ends_acked, w->ends_ack_sent);
  for (i = 0; i < reply->ended->len; i++)
    take_end (d, w, &g_array_index (reply->ended, RunEnded, i), stale);
  g_hash_table_foreach_remove (d->strays, is_of_worker, w);
  for (i = 0; i < reply->running->len; i++)
    take_row (d, w, &g_array_index (reply->running, RunActive, i));
  drop_unlisted (d, w, reply);
  judge_speed (d, w);
  if (!w->runs_known || was_silent)
    {
      w->runs_known = TRUE;
      renew = w->n_placements > 0;
      d->replan = TRUE;
    }
  w->lease_expired = FALSE;
  w->next_poll = d->now + pause_after (d, w, renew);
  w->poll_immediately = w->poll_immediately || renew;
}

static void
on_failure (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  w->polls_unanswered++;
  w->last_disruption = d->now;
  if (reply->status == RUN_UNSENT && w->entry->draining && !w->registered)
    {
      /* It said that it would leave, and its process is gone. */
      runs_end_all_on_worker (d, w, FALSE, "left");
    }
  w->next_poll = d->now + MIN ((ClockMs)RETRY_MS * w->polls_unanswered,
                               (ClockMs)(w->lease_expired ? RETRY_LAPSED_MS
                                                          : RETRY_MOST_MS));
  if (w->polls_unanswered == 1)
    effects_log (d->fx, "event=worker_silent worker=%s status=%s", w->entry->id,
                 run_status_name (reply->status));
}

/* Takes REPLY to the hold under way at W. */
void
holds_on_reply (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  if (reply->id != w->poll_id)
    return;
  holds_drop_call (d, w);
  if (reply->status == RUN_OK)
    {
      if (w->polls_unanswered)
        {
          effects_log (d->fx, "event=worker_back worker=%s", w->entry->id);
          d->replan = TRUE;
        }
      take_list (d, w, reply);
    }
  else if (reply->status == RUN_FENCED)
    {
      effects_log (d->fx, "event=deposed reason=fenced worker=%s",
                   w->entry->id);
      d->deposed = TRUE;
    }
  else
    {
      if (reply->status == RUN_OTHER_INCARNATION)
        runs_end_all_on_worker (d, w, FALSE, "other_life");
      on_failure (d, w, reply);
    }
}
