#include "dispatch_state.h"

/* What a worker has been granted and may still act on: its lease, and calls
   that a new process of the worker may have taken by the clock of the one
   before. */

/* A worker's clock may run slow by up to this many permille of the time. */
static const ClockMs max_clock_lag_permille = 30;

/* Least margin for the time that a worker's reply takes to arrive, in
   milliseconds.  Added to the lease expiry, as a reply sent before it may
   arrive later. */
static const ClockMs reply_delay_margin = 150;

/* Workers limit a lease to this many milliseconds. */
const ClockMs grant_longest_lease = 10000;

/* Greatest age in milliseconds of the reading of a worker's clock that a start
   is reckoned from: its process may have been replaced since.  As old as the
   holds of a busy worker let it become. */
static const ClockMs max_reading_age = 1000;

/* Returns the latest time by the scheduler's clock at which SPAN milliseconds
   of W's clock, which began at FROM, are over. */
static ClockMs
latest_end (const PoolWorker *w, ClockMs from, ClockMs span)
{
  return from + span + span * max_clock_lag_permille / 1000 +
         MAX (reply_delay_margin, rtt_bound (&w->rtt));
}

/* Tells whether W's clock was read so recently that a deadline by it is safe
   for a start.  A hold that was sent just after the reading, and has not
   failed, is mostly still with the process that was read.  If that process has
   ended silently, the next one takes the start for the longest lease, which
   unheard_expiry reckons with. */
gboolean
grant_clock_is_recent (const Dispatch *d, const PoolWorker *w)
{
  ClockMs seen_until = w->poll_id ? w->poll_sent_at : d->now;

  if (w->clock_in_doubt ||
      (w->incarnation && w->entry->incarnation > w->incarnation))
    return FALSE;
  return seen_until - w->worker_clock_at <= max_reading_age;
}

/* Records that W may hold a lease until END that was not reckoned with, as a
   new process of it took the deadline by the clock of the one before. */
static void
extend_expiry (PoolWorker *w, ClockMs end)
{
  w->lease_expiry = MAX (w->lease_expiry, end);
  w->longest_lease_until = MAX (w->longest_lease_until, end);
}

/* Returns the deadline of a lease of W that begins now, by W's clock: at most
   the lease's duration ahead, however slow that clock may be.  Updates W's
   lease expiry, the latest time at which the lease ends by the scheduler's
   clock. */
gint64
grant_lease_deadline (Dispatch *d, PoolWorker *w)
{
  ClockMs elapsed = d->now - w->worker_clock_at;
  /* A slow clock has moved on by less since its reading. */
  ClockMs span = elapsed - elapsed * max_clock_lag_permille / 1000 +
                 holds_lease_duration (d, w);

  w->lease_expiry =
      MAX (w->lease_expiry, latest_end (w, w->worker_clock_at, span));
  w->unheard_expiry =
      MAX (w->unheard_expiry, latest_end (w, d->now, grant_longest_lease));
  w->lease_deadline = MAX (w->lease_deadline, w->worker_clock + span);
  if (holds_lease_duration (d, w) > holds_normal_lease)
    w->long_lease_until = w->lease_expiry;
  return w->worker_clock + span;
}

/* Tells whether PLACEMENT's start may be with a process of its worker that has
   not answered: no answer and no list has confirmed it. */
static gboolean
may_run_unheard (const WorkPlacement *placement)
{
  return placement->start_sent && !placement->confirmed_call;
}

/* Returns the latest time at which PLACEMENT's run ends without a renewal. */
ClockMs
grant_run_expiry (const WorkPlacement *placement)
{
  const PoolWorker *w = placement->worker;

  return may_run_unheard (placement) ? MAX (w->lease_expiry, w->unheard_expiry)
                                     : w->lease_expiry;
}

/* Returns whether a start order of PLACEMENT may still be executed. */
static gboolean
may_still_start (const WorkPlacement *placement)
{
  return placement->start_unconfirmed ||
         (placement->state == PLACEMENT_STARTING && placement->call_id);
}

/* Handles that W's process was found to be a new one, which was BORN at that
   Unix millisecond.  Stops the placements whose start order the new process may
   still execute, and drops those that were not sent.  What else became of the
   placements is told by its lists: each ends once a list that was asked for
   after its last answered order does not show it.  Deadlines by the clock of
   the process before mean nothing to the new one, whose clock began anew: they
   may have granted it the longest lease. */
void
grant_on_restart (Dispatch *d, PoolWorker *w, gint64 born)
{
  WorkPlacement *placement;

  d->grants.n_restarts++;
  effects_log (
      d->fx,
      "event=worker_restarted worker=%s parts=%u born=%" G_GINT64_FORMAT
      " was=%" G_GINT64_FORMAT " reading_age_ms=%" CLOCK_MS_FORMAT
      " lease_left_ms=%" CLOCK_MS_FORMAT " recorded_long=%d",
      w->entry->id, w->n_placements, born, w->incarnation,
      d->now - w->worker_clock_at, w->lease_expiry - d->now,
      w->recorded_as_long);
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (may_still_start (placement))
      runs_stop_unconfirmed_start (d, placement);
  late_cancel_starts (d, w);
  unsent_on_restart (d, w);
  w->process_known_at = d->now;
  w->lease_deadline = 0;
  extend_expiry (w, latest_end (w, MAX (d->now, w->late_grant_until),
                                grant_longest_lease));
  /* A late acknowledgement of the former process's ends would make the new one
     forget ends that it has not reported yet. */
  w->excluded_until = MAX (w->excluded_until, w->late_ack_until);
}

/* Compares what the clock in REPLY, W's answer to CALL, leaves of the
   greatest deadline that W was sent with the lease that was reckoned with.  A
   clock that leaves more is that of a new process. */
void
grant_check_clock (Dispatch *d,
                   PoolWorker *w,
                   const PendingCall *call,
                   const RunReply *reply)
{
  ClockMs left =
      CLAMP (w->lease_deadline - reply->worker_clock, 0, grant_longest_lease);
  ClockMs lease_end = d->now + left + left * max_clock_lag_permille / 1000;

  if (!reply->worker_clock || lease_end <= w->lease_expiry)
    return;
  d->grants.n_clocks_back++;
  effects_log (d->fx,
               "event=worker_clock_back worker=%s call=%s task=%s run="
               "%" G_GINT64_FORMAT " longer_ms=%" CLOCK_MS_FORMAT
               " reading_age_ms=%" CLOCK_MS_FORMAT " recorded_long=%d",
               w->entry->id, run_op_name (call->op), call->task, call->run,
               lease_end - w->lease_expiry, d->now - w->worker_clock_at,
               w->recorded_as_long);
  extend_expiry (w, lease_end);
  w->poll_immediately = TRUE;
}

static void
log_lost_start (Dispatch *d, const PoolWorker *w, const PendingCall *call)
{
  d->grants.n_lost_starts++;
  effects_log_detail (
      d->fx,
      "event=start_unanswered worker=%s task=%s run=%" G_GINT64_FORMAT
      " sent_ms_ago=%" CLOCK_MS_FORMAT " reading_age_ms=%" CLOCK_MS_FORMAT
      " hold_out_ms=%" CLOCK_MS_FORMAT,
      w->entry->id, call->task, call->run, d->now - call->sent_at,
      call->sent_at - w->worker_clock_at,
      w->poll_id ? d->now - w->poll_sent_at : 0);
}

/* Records that CALL to W got no answer: it may be executed late.  One that was
   sent to the former process would then grant the present one the longest
   lease. */
void
grant_note_lost (Dispatch *d, PoolWorker *w, const PendingCall *call)
{
  w->clock_in_doubt = TRUE;
  if (!call->grants_lease)
    return;
  if (call->op == RUN_START)
    {
      log_lost_start (d, w, call);
      roster_mark_dirty (d, w->entry->id);
      holds_ask_again (d, w);
    }
  w->late_grant_until =
      MAX (w->late_grant_until, call->sent_at + holds_late_order_window);
  if (call->sent_at < w->process_known_at)
    extend_expiry (w, latest_end (w, w->late_grant_until, grant_longest_lease));
}

/* Appends to TEXT, one per line, what became of orders to workers that started
   again. */
void
grant_append_metrics (const Dispatch *d, GString *text)
{
  g_string_append_printf (
      text,
      "wagtailpass_scheduler_worker_restarts_total %" G_GINT64_FORMAT "\n",
      d->grants.n_restarts);
  g_string_append_printf (
      text, "wagtailpass_scheduler_clocks_back_total %" G_GINT64_FORMAT "\n",
      d->grants.n_clocks_back);
  g_string_append_printf (
      text,
      "wagtailpass_scheduler_unanswered_starts_total %" G_GINT64_FORMAT "\n",
      d->grants.n_lost_starts);
}
