#include "dispatch_state.h"

#include "speed.h"
#include "term.h"

#include <math.h>
#include <string.h>

/* A hold is a long poll of a worker: it renews the worker's lease, acknowledges
   run ends that are stored, and returns the worker's active runs and the runs
   that have ended.  The worker delays its reply until a run ends or the wait
   that the hold allows is over. */

enum
{
  /* Wait of a hold.  It also sets how often the lease of a busy worker is
     renewed. */
  POLL_MIN_MS = 1000,
  POLL_MAX_MS = 2000,
  STOP_POLL_MS = 250,     /* wait while a run is being stopped */
  SHARED_POLL_MS = 100,   /* wait if orders need the same connection */
  REPLY_MARGIN_MS = 500,  /* least time-out beyond the wait */
  MAX_HOLDS_PER_S = 500,  /* what the processor of a small host can handle */
  HOLD_BYTES = 450,       /* size of a hold on the host's link */
  LINK_SHARE_DIVISOR = 8, /* holds may use 1/8 of the link's rate */
  SHORT_TIMEOUT_MS = 600, /* least, of a hold without a wait */
  LONG_TIMEOUT_MS = 1200,
  TIMEOUT_MAX_MS = 1800, /* well below a lease */
  /* An unresponsive worker gets LONG_TIMEOUT_MS in turn 2, counted from 0, of
     each 3. */
  TIMEOUT_CYCLE = 3,
  LONG_TIMEOUT_TURN = 2,
  RETRY_MS = 200,         /* delay per consecutive unanswered hold ... */
  RETRY_MAX_MS = 400,     /* ... up to this until the lease has expired, ... */
  RETRY_LAPSED_MS = 1000, /* ... and up to this from then on */
  /* Between holds while a run is being stopped or poll_immediately is set. */
  STOPPING_INTERVAL_MS = 60,
  DRAIN_MARGIN_MS = 300, /* to receive a run's end before its worker leaves */
  /* Limit of first holds in flight.  A new leader has thousands of workers to
     poll.  If it sent more polls at once than it can process replies for within
     the time-out, the excess would time out. */
  MAX_FIRST_HOLDS = 200,
  /* Between holds of an idle worker that may still execute a start: a new
     process of it must be told to refuse that. */
  LATE_START_INTERVAL_MS = 500,
  UNSAVED_DELAY_MS = 300, /* between holds while ends are unsaved */
  /* Between readings of an idle worker's clock.  A lease reckoned from an older
     reading would be too short for a worker whose clock is right.  Up to the
     spread earlier, so that workers heard at one moment are not read at one. */
  CLOCK_READING_MS = 60000,
  CLOCK_READING_SPREAD_MS = 30000
};

/* Spreads the hashes of ids that hardly differ: 2^32 by the golden ratio. */
static const guint32 hash_multiplier = 2654435769U;

static const gint64 ms_per_s = 1000;

/* Lease of a worker's runs in milliseconds: how long they continue without a
   renewal.  Long enough for a change of leader.  A task of a partitioned worker
   is restarted elsewhere only after this time. */
const ClockMs holds_normal_lease = 5500;

/* Workers that run only tasks of at least long_task are polled less often and
   get a longer lease: the delay that this adds is a small share of such a task.
   The platform limits a lease to 10 s. */
const ClockMs holds_long_lease = 9000;
static const ClockMs long_lease_pause = 3000;
static const ClockMs long_task = 60000;

/* The platform may execute an order without a reply up to 12 s later, possibly
   after the worker has restarted.  The holds sent to the restarted worker also
   acknowledge the end of a run that such an order started, so that end must
   have been received within this time.  For this long after a disruption the
   worker does not get the long lease and pause. */
const ClockMs holds_late_order_window = 13000;

/* Tells whether the tasks of SPEC last so long that their workers may get the
   long lease. */
gboolean
holds_is_long_step (const SpecStep *spec)
{
  return spec->estimate_ms >= long_task && !spec->perpetual;
}

/* Tells whether W should get the long lease. */
gboolean
holds_wants_long_lease (const Dispatch *d, const PoolWorker *w)
{
  const WorkPlacement *placement;

  if (w->n_placements == 0 || w->entry->draining || w->polls_unanswered ||
      d->now < w->last_disruption + holds_late_order_window)
    return FALSE;
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state != PLACEMENT_RUNNING ||
        !holds_is_long_step (placement->task->step->spec))
      return FALSE;
  return TRUE;
}

static gboolean
uses_long_lease (const Dispatch *d, const PoolWorker *w)
{
  return w->may_get_long_lease && holds_wants_long_lease (d, w);
}

/* Returns the duration in milliseconds of W's next lease. */
ClockMs
holds_lease_duration (const Dispatch *d, const PoolWorker *w)
{
  return uses_long_lease (d, w) ? holds_long_lease : holds_normal_lease;
}

/* Tells whether it is certain which runs are active on W: W has listed them, or
   all have ended because their lease expired or W's process was replaced. */
gboolean
holds_runs_are_known (const PoolWorker *w)
{
  return w->runs_known || w->lease_expired;
}

/* Returns when W needs a hold though nothing runs there: what its next lease is
   reckoned from must not get too old. */
static ClockMs
next_clock_reading (const PoolWorker *w)
{
  guint32 mixed = g_str_hash (w->entry->id) * hash_multiplier;
  ClockMs early = mixed % CLOCK_READING_SPREAD_MS;

  return w->registered ? w->worker_clock_at + CLOCK_READING_MS - early
                       : CLOCK_NEVER;
}

static gboolean
has_unsaved_ends (const Dispatch *d, const PoolWorker *w)
{
  return w->ends_applied > w->ends_acked && !save_is_durable (d, w);
}

/* An unresponsive worker is polled until it replies, even after its lease has
   expired: it can be used again then, and may report a successful run. */
static gboolean
needs_hold (const PoolWorker *w)
{
  return !w->runs_known || w->n_placements > 0 || w->poll_immediately ||
         w->ends_applied > w->ends_acked || w->late_starts->len > 0 ||
         (w->polls_unanswered && w->registered);
}

/* Tells whether W's next hold must not wait for queued orders any longer. */
gboolean
holds_is_overdue (const Dispatch *d, const PoolWorker *w)
{
  return !w->poll_id && w->poll_sent_at + POLL_MIN_MS <= d->now;
}

/* Returns when W, which has unsaved ends, may get a hold.  Until these are
   saved W only lists them again, so nothing is asked for unless other news may
   be there. */
static ClockMs
unsaved_hold_at (const PoolWorker *w)
{
  ClockMs listed_at = w->poll_immediately ? 0 : w->worker_clock_at;

  return MAX (w->poll_sent_at, listed_at) + UNSAVED_DELAY_MS;
}

/* Returns when the next hold of W is due; not before one of the calls to W has
   its reply if too many are in flight. */
ClockMs
holds_next (const Dispatch *d, const PoolWorker *w)
{
  if (w->poll_id || w->first_poll_queued || !call_limit_allows (&w->calls))
    return CLOCK_NEVER;
  if (!needs_hold (w))
    return next_clock_reading (w);
  if (!has_unsaved_ends (d, w))
    return w->next_poll;
  return MAX (w->next_poll, unsaved_hold_at (w));
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

/* Returns the wait of a hold when nothing is urgent.  It grows with the number
   of workers, to limit the load on the host's processor and link. */
static ClockMs
normal_poll_wait (const Dispatch *d)
{
  gint64 link_holds = d->fx->link.bytes_per_s / LINK_SHARE_DIVISOR / HOLD_BYTES;
  gint64 holds_per_s = MAX_HOLDS_PER_S;

  if (d->fx->link.bytes_per_s)
    holds_per_s = CLAMP (link_holds, 1, MAX_HOLDS_PER_S);
  return CLAMP (ms_per_s * pool_size (&d->pool) / holds_per_s, POLL_MIN_MS,
                POLL_MAX_MS);
}

/* Tells whether W's next hold must read its clock without delay, as starts may
   come that need it.  Few come to a worker with a long pause. */
static gboolean
must_read_clock (const Dispatch *d, const PoolWorker *w)
{
  return !grant_clock_is_recent (d, w) && !uses_long_lease (d, w);
}

/* Returns how long the next hold of W may wait for a run to end. */
static ClockMs
hold_wait (const Dispatch *d, const PoolWorker *w, gboolean unsaved)
{
  if (!w->runs_known || w->n_placements == 0 || w->poll_immediately ||
      unsaved || w->polls_unanswered || must_read_clock (d, w))
    return 0;
  if (call_limit_is_single (&w->calls))
    return SHARED_POLL_MS;
  return is_stopping (w) ? STOP_POLL_MS : normal_poll_wait (d);
}

/* Returns the time-out of a hold without a wait, by the worker's round trips.
   A worker that is not known to be near gets a long one.  An unresponsive
   worker mostly gets a short one, to detect its return quickly, and every third
   time a long one, in case it is only slow.  All are shorter than a lease. */
static ClockMs
short_timeout (const PoolWorker *w)
{
  gboolean is_long = rtt_is_unknown (&w->rtt) ||
                     w->polls_unanswered % TIMEOUT_CYCLE == LONG_TIMEOUT_TURN;

  return rtt_timeout (&w->rtt, is_long ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS,
                      TIMEOUT_MAX_MS);
}

static gboolean
is_first_hold (const PoolWorker *w)
{
  return !w->runs_known && !w->polls_unanswered;
}

/* Ends W's first hold, if one is in flight, and wakes the next worker in the
   queue. */
static void
finish_first_hold (Dispatch *d, PoolWorker *w)
{
  PoolWorker *next;

  if (!w->first_poll_sent)
    return;
  w->first_poll_sent = FALSE;
  d->n_first_holds--;
  next = g_queue_pop_head (&d->first_hold_queue);
  if (!next)
    return;
  next->first_poll_queued = FALSE;
  due_mark (d, next);
}

static void
finish_hold (Dispatch *d, PoolWorker *w)
{
  w->poll_id = 0;
  finish_first_hold (d, w);
}

/* Records that W's hold in flight may be executed late. */
static void
note_late_ack (PoolWorker *w)
{
  if (w->ends_ack_sent > 0)
    w->late_ack_until = w->poll_sent_at + holds_late_order_window;
}

/* Makes D ignore the reply to W's hold in flight. */
void
holds_ignore_reply (Dispatch *d, PoolWorker *w)
{
  if (!w->poll_id)
    return;
  note_late_ack (w);
  finish_hold (d, w);
}

/* Has W asked for its list at once, in place of the hold that may be under way
   and wait, perhaps at a process that has ended.  Where W takes no more calls,
   the hold is left: one that is ignored would keep its connection. */
void
holds_ask_again (Dispatch *d, PoolWorker *w)
{
  if (w->polls_unanswered)
    return;
  w->poll_immediately = TRUE;
  if (!call_limit_allows (&w->calls))
    return;
  holds_ignore_reply (d, w);
  w->next_poll = d->now;
}

/* Tells whether W's process may be another one than that whose list was seen
   last. */
static gboolean
may_have_restarted (const PoolWorker *w)
{
  return w->polls_unanswered || w->entry->incarnation > w->incarnation;
}

/* Returns what W's next hold acknowledges: 0 if W has confirmed all of it
   already, or may have restarted.  A new process numbers its ends from 1 again,
   and the hold may also be executed late. */
static gint64
ack_to_send (const PoolWorker *w, gboolean unsaved)
{
  if (unsaved || w->ends_applied <= w->ends_acked || may_have_restarted (w))
    return 0;
  return w->ends_applied;
}

/* Tells whether W needs a lease: for its runs, or for ends whose
   acknowledgement counts only before the lease has expired. */
static gboolean
needs_lease (const PoolWorker *w)
{
  const WorkPlacement *placement;

  if (w->ends_applied > w->ends_acked)
    return TRUE;
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->start_sent)
      return TRUE;
  return FALSE;
}

/* Tells whether the start of an urgent task waits for a reading of W's clock.
 */
static gboolean
delays_urgent_start (PoolWorker *w)
{
  const WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->awaits_reading && work_task_is_urgent (placement->task))
      return TRUE;
  return FALSE;
}

static void
send_hold (Dispatch *d, PoolWorker *w)
{
  RunCall *call = run_call_new (RUN_POLL, w->entry->id, w->entry->address);
  gboolean unsaved = has_unsaved_ends (d, w);

  /* The lease of an unresponsive worker is not renewed, so that it expires at a
     known time; nor one by a clock that may be another process's. */
  if (w->runs_known && !w->polls_unanswered && !w->clock_in_doubt &&
      d->may_send_orders && needs_lease (w) && former_may_give_lease (w))
    call->lease_deadline = grant_lease_deadline (d, w);
  call->urgent = delays_urgent_start (w);
  call->ack = ack_to_send (w, unsaved);
  w->ends_ack_sent = call->ack;
  call->max_wait = hold_wait (d, w, unsaved);
  call->timeout = call->max_wait
                      ? call->max_wait + rtt_timeout (&w->rtt, REPLY_MARGIN_MS,
                                                      TIMEOUT_MAX_MS)
                      : short_timeout (w);
  w->poll_immediately = FALSE;
  w->poll_sent_at = d->now;
  w->first_poll_sent = is_first_hold (w);
  d->n_first_holds += w->first_poll_sent;
  w->poll_id = runs_send (d, call, NULL);
}

/* Sends W's next hold, or queues W if too many first holds are in flight. */
static void
send_or_queue (Dispatch *d, PoolWorker *w)
{
  if (!is_first_hold (w) || d->n_first_holds < MAX_FIRST_HOLDS)
    {
      send_hold (d, w);
      return;
    }
  w->first_poll_queued = TRUE;
  g_queue_push_tail (&d->first_hold_queue, w);
}

/* Returns when all remaining runs on W, if it drains, have to be stopped.  The
   report of a run that ends later might be lost when W leaves. */
ClockMs
holds_drain_stop_at (const PoolWorker *w)
{
  return w->entry->draining ? w->leaves_at - DRAIN_MARGIN_MS : CLOCK_NEVER;
}

/* Returns a placement on W that runs or starts, or NULL. */
static WorkPlacement *
find_active (PoolWorker *w)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->state == PLACEMENT_RUNNING ||
        placement->state == PLACEMENT_STARTING)
      return placement;
  return NULL;
}

static void
stop_draining (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;

  /* Stopping one may free it, and others of its gang. */
  while ((placement = find_active (w)))
    runs_stop (d, placement, "worker_leaves");
}

/* Sends W's next hold if it is due, stops W's runs if W is about to leave, and
   gives them up once their lease has expired. */
void
holds_tick (Dispatch *d, PoolWorker *w)
{
  if (w->polls_unanswered && d->now > w->lease_expiry && !w->lease_expired)
    runs_end_lapsed (d, w);
  if (holds_drain_stop_at (w) <= d->now)
    stop_draining (d, w);
  if (holds_next (d, w) <= d->now)
    send_or_queue (d, w);
}

/* Handles the first reply of a worker process to this scheduler.  If another
   process of W replied before, W has restarted. */
static void
detect_restart (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  if (!reply->incarnation || reply->incarnation == w->incarnation)
    return;
  if (w->incarnation)
    grant_on_restart (d, w, reply->incarnation);
  else if (w->recorded && reply->incarnation != w->former_incarnation)
    grant_on_former_restart (d, w);
  w->incarnation = reply->incarnation;
  if (w->pace.incarnation != w->incarnation)
    w->pace = (PoolPace) { .incarnation = w->incarnation };
  w->last_disruption = d->now;
  call_limit_reset (&w->calls);
  w->ends_applied = 0;
  w->ends_acked = 0;
  w->ends_ack_sent = 0;
  g_array_set_size (w->unacked_ends, 0);
  w->worker_clock_at = 0;
  w->consecutive_failures = 0;
}

/* Returns the pause before the next hold of W.  RENEW_NOW: W has just listed
   its runs, so their lease has to be renewed at once. */
static ClockMs
pause_after (const Dispatch *d, const PoolWorker *w, gboolean renew_now)
{
  if (renew_now)
    return 0;
  if (w->poll_immediately || is_stopping (w))
    return STOPPING_INTERVAL_MS;
  if (w->n_placements == 0 && w->late_starts->len > 0 &&
      !pool_has_unwanted_late_start (w))
    return LATE_START_INTERVAL_MS;
  return uses_long_lease (d, w) && w->ends_applied <= w->ends_acked
             ? long_lease_pause
             : 0;
}

static void
update_speed (Dispatch *d, PoolWorker *w)
{
  if (!speed_evaluate (w, d->now))
    return;
  effects_log_detail (d->fx, "event=worker_speed worker=%s slow=%d parts=%u",
                      w->entry->id, speed_is_slow (w, d->now), w->n_placements);
}

/* Logs W's pace if its class has changed. */
static void
log_pace (Dispatch *d, PoolWorker *w)
{
  PaceClass c = pace_class (w);

  if (c == w->logged_pace)
    return;
  w->logged_pace = c;
  effects_log_detail (
      d->fx, "event=worker_pace worker=%s slowness=%.2f deviation=%.2f",
      w->entry->id, exp (w->pace.log_slowness), sqrt (w->pace.variance));
}

/* Records that W answered at ADDRESS. */
static void
note_address (Dispatch *d, PoolWorker *w, const char *address)
{
  if (g_strcmp0 (w->heard_address, address) == 0)
    return;
  g_free (w->heard_address);
  w->heard_address = g_strdup (address);
  if (w->listed)
    roster_mark_dirty (d, w->entry->id);
}

static void
apply_list (Dispatch *d,
            PoolWorker *w,
            const PendingCall *call,
            const RunReply *reply)
{
  gboolean was_unresponsive = w->polls_unanswered > 0;
  gboolean stale =
      w->lease_expired || (was_unresponsive && d->now > w->lease_expiry);
  gboolean renew_now = FALSE;

  detect_restart (d, w, reply);
  late_refuse_starts (d, w);
  note_address (d, w, call->address);
  w->worker_clock = reply->worker_clock;
  w->worker_clock_at = d->now;
  w->clock_in_doubt = FALSE;
  w->polls_unanswered = 0;
  w->ends_acked = MAX (w->ends_acked, w->ends_ack_sent);
  pool_drop_acked_ends (w);
  run_list_apply_ends (d, w, reply, stale);
  orphans_forget (d, w);
  run_list_apply_runs (d, w, reply);
  run_list_end_missing (d, w, reply);
  update_speed (d, w);
  log_pace (d, w);
  if (!w->runs_known || was_unresponsive)
    {
      w->runs_known = TRUE;
      renew_now = w->n_placements > 0;
      d->replan = TRUE;
    }
  w->lease_expired = FALSE;
  w->next_poll = d->now + pause_after (d, w, renew_now);
  w->poll_immediately = w->poll_immediately || renew_now;
}

static void
on_failure (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  w->polls_unanswered++;
  w->last_disruption = d->now;
  unsent_on_silent (d, w);
  w->next_poll = d->now + MIN ((ClockMs)RETRY_MS * w->polls_unanswered,
                               (ClockMs)(w->lease_expired ? RETRY_LAPSED_MS
                                                          : RETRY_MAX_MS));
  if (w->polls_unanswered == 1)
    effects_log (d->fx, "event=worker_silent worker=%s status=%s error=\"%s\"",
                 w->entry->id, run_status_name (reply->status),
                 reply->error ? reply->error : "");
}

/* Handles REPLY if it answers W's hold in flight. */
void
holds_on_reply (Dispatch *d,
                PoolWorker *w,
                const PendingCall *call,
                const RunReply *reply)
{
  if (reply->id != w->poll_id)
    return;
  finish_hold (d, w);
  if (reply->status == RUN_LOST)
    note_late_ack (w);
  if (reply->status == RUN_OK)
    {
      if (w->polls_unanswered)
        {
          effects_log (d->fx, "event=worker_back worker=%s", w->entry->id);
          d->replan = TRUE;
        }
      apply_list (d, w, call, reply);
    }
  else if (reply->status == RUN_FENCED)
    {
      effects_log (d->fx, "event=deposed reason=fenced worker=%s",
                   w->entry->id);
      d->lost_role = TRUE;
    }
  else if (reply->refused &&
           call_limit_serves_others (&w->calls, w->poll_sent_at))
    {
      /* The worker takes no more connections, but serves others.  What this
         hold was sent for is still to be asked. */
      w->next_poll = d->now + RETRY_MS;
      w->poll_immediately = TRUE;
      unsent_on_hold_refused (d, w);
    }
  else
    {
      if (reply->status == RUN_OTHER_INCARNATION)
        runs_on_other_worker (d, w, call);
      on_failure (d, w, reply);
    }
}
