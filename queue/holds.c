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
  const WorkPart *part;

  if (w->n_parts == 0 || w->entry->draining || w->unanswered ||
      d->now < w->troubled + holds_late_order)
    return FALSE;
  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    if (part->state != PART_RUNNING || !is_quiet_step (part->task->step->spec))
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
  return w->known || w->lapsed;
}

static gboolean
has_unsaved (const Dispatch *d, const PoolWorker *w)
{
  return w->seen > w->acked && !save_is_durable (d, w->seen_save);
}

/* A worker that fell silent is asked until it answers, even when its lease
   has lapsed: it may be used again then, and may know of a success. */
static gboolean
wants_hold (const PoolWorker *w)
{
  return !w->known || w->n_parts > 0 || w->hold_now || w->seen > w->acked ||
         (w->unanswered && w->listed);
}

/* Returns when holds_tick has something to do for W. */
ClockMs
holds_next (const Dispatch *d, const PoolWorker *w)
{
  if (w->hold_id || w->queued || !wants_hold (w))
    return CLOCK_NEVER;
  if (has_unsaved (d, w) && w->hold_sent + DURABLE_MS > d->now)
    return w->hold_sent + DURABLE_MS;
  return w->next_hold;
}

static gboolean
is_stopping (const PoolWorker *w)
{
  WorkPart *part;

  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    if (part->state == PART_STOPPING)
      return TRUE;
  return FALSE;
}

/* Returns how long a hold waits for an end while nothing is urgent: the more
   workers there are, the less often each of them is looked at, within what
   the host and its link can do. */
static ClockMs
wait_for_end (const Dispatch *d)
{
  gint64 link_looks = d->fx->link.bytes_per_s / LINK_LOOK_SHARE / LOOK_BYTES;
  gint64 looks = LOOKS_PER_S;

  if (d->fx->link.bytes_per_s)
    looks = CLAMP (link_looks, 1, LOOKS_PER_S);
  return CLAMP (ms_per_s * pool_size (&d->pool) / looks, WAIT_MS, WAIT_MOST_MS);
}

/* Returns how long the next hold of W may wait for an end. */
static ClockMs
wait_of (const Dispatch *d, const PoolWorker *w, gboolean unsaved)
{
  if (!w->known || w->n_parts == 0 || w->hold_now || unsaved || w->unanswered)
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
  return w->unanswered % LOOKS_IN_TURN == PATIENT_LOOK ? LONG_TIMEOUT_MS
                                                       : SHORT_TIMEOUT_MS;
}

static gboolean
is_first_look (const PoolWorker *w)
{
  return !w->known && !w->unanswered;
}

/* Ends W's first look, if one is under way, and lets the next worker have
   its. */
static void
end_listing (Dispatch *d, PoolWorker *w)
{
  PoolWorker *next;

  if (!w->listing)
    return;
  w->listing = FALSE;
  d->n_listing--;
  next = g_queue_pop_head (&d->to_list);
  if (!next)
    return;
  next->queued = FALSE;
  due_mark (d, next);
}

/* Has the answer to the hold of W that is under way ignored. */
void
holds_drop_call (Dispatch *d, PoolWorker *w)
{
  w->hold_id = 0;
  end_listing (d, w);
}

static void
send_hold (Dispatch *d, PoolWorker *w)
{
  RunCall *call = run_call_new (RUN_HOLD, w->entry->id, w->entry->address);
  gboolean unsaved = has_unsaved (d, w);

  /* To a worker that does not answer, nothing is renewed, so that its lease
     lapses at a time that is known. */
  if (w->known && !w->unanswered && d->may_order)
    call->deadline = runs_deadline (d, w);
  call->ack = unsaved ? w->acked : w->seen;
  w->acking = call->ack;
  call->wait = wait_of (d, w, unsaved);
  call->timeout = call->wait ? call->wait + ANSWER_MS : short_timeout (w);
  w->hold_now = FALSE;
  w->hold_sent = d->now;
  w->listing = is_first_look (w);
  d->n_listing += w->listing;
  w->hold_id = runs_send (d, call, NULL);
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
  w->queued = TRUE;
  g_queue_push_tail (&d->to_list, w);
}

/* Returns when whatever still runs on W has to be stopped: the news of an
   end in its last moments might be lost with it. */
ClockMs
holds_clearing (const PoolWorker *w)
{
  return w->entry->draining ? w->leaves - LEAVE_MARGIN_MS : CLOCK_NEVER;
}

static void
clear_leaving (Dispatch *d, PoolWorker *w)
{
  WorkPart *part;

  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    if (part->state == PART_RUNNING || part->state == PART_STARTING)
      runs_stop (d, part, "worker_leaves");
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
  if (w->unanswered && d->now > w->lapse && !w->lapsed)
    {
      g_hash_table_foreach_remove (d->strays, is_of_worker, w);
      runs_void_worker (d, w, FALSE, "lapsed");
    }
  if (holds_clearing (w) <= d->now)
    clear_leaving (d, w);
  if (holds_next (d, w) <= d->now)
    send_or_queue (d, w);
}

static void
adopt_row (Dispatch *d, PoolWorker *w, const RunRow *row)
{
  WorkTask *task = work_find_task (d->book, row->task);
  WorkPart *part;

  if (!task || task->part)
    {
      effects_log_detail (d->fx,
                          "event=stray task=%s run=%" G_GINT64_FORMAT
                          " worker=%s",
                          row->task, row->run, w->entry->id);
      runs_stop_stray (d, w, row->task, row->run);
      g_hash_table_insert (d->strays, g_strdup (row->task),
                           g_strdup (w->entry->id));
      w->hold_now = TRUE;
      return;
    }
  part = work_part_new (task, w, row->run, PART_RUNNING);
  part->sent = TRUE;
  part->confirmed = d->fx->last_id;
  part->started = d->now;
  part->moved = d->now;
  speed_record_progress (part, d->now, row->percent);
  effects_log_detail (d->fx,
                      "event=adopted task=%s run=%" G_GINT64_FORMAT
                      " worker=%s",
                      row->task, row->run, w->entry->id);
  if (task->done || spec_state_is_final (task->step->job->state) ||
      d->all_known)
    runs_stop (d, part, "not_wanted");
}

static WorkPart *
find_part (const Dispatch *d, const PoolWorker *w, const char *name, gint64 run)
{
  WorkTask *task = work_find_task (d->book, name);
  WorkPart *part = task ? task->part : NULL;

  return part && part->worker == w && part->run == run ? part : NULL;
}

/* Tells whether PART has made no progress for as long as a task as slow as
   any would need for a percent.  Progress comes in whole percent, and stays
   at 100 while a task takes longer than its worker expected. */
static gboolean
is_stalled (const Dispatch *d, const WorkPart *part)
{
  ClockMs length =
      MAX (part->task->step->spec->estimate_ms, d->now - part->started);

  if (part->task->step->spec->perpetual || part->percent >= whole)
    return FALSE;
  return d->now - part->moved > MAX ((ClockMs)STALL_MS, length / STALL_SHARE);
}

/* Returns how long PART will run on, by its progress so far, or by its
   estimate while it has made none. */
static ClockMs
time_left (const Dispatch *d, const WorkPart *part)
{
  double run = (double)(d->now - part->started);

  if (part->percent >= LEAST_PERCENT && part->percent < whole)
    return (ClockMs)(run * (whole - part->percent) / part->percent);
  return MAX (part->task->step->spec->estimate_ms - (ClockMs)run, 0);
}

static void
take_row (Dispatch *d, PoolWorker *w, const RunRow *row)
{
  WorkPart *part = find_part (d, w, row->task, row->run);

  if (!part)
    {
      adopt_row (d, w, row);
      return;
    }
  if (part->state == PART_STARTING)
    {
      part->state = PART_RUNNING;
      part->retry = CLOCK_NEVER;
      part->confirmed = d->fx->last_id;
    }
  speed_record_progress (part, d->now, row->percent);
  if (d->now - part->started >= GOES_WELL_MS &&
      part->percent > part->listed_percent)
    w->well = MAX (w->well, part->started);
  work_task_set_checkpoint (part->task, row->checkpoint);
  if (part->state == PART_RUNNING && is_stalled (d, part))
    runs_move_stalled (d, part);
  else if (part->state == PART_RUNNING && w->entry->draining &&
           d->now + time_left (d, part) + LEAVE_MARGIN_MS > w->leaves)
    runs_stop (d, part, "worker_leaves");
}

static gboolean
has_run (const WorkTask *task)
{
  return task->step->spec->gang ? task->step->n_parts > 0 : task->part != NULL;
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
    runs_stop_others (d, task, e->run);
}

static void
take_end (Dispatch *d, PoolWorker *w, const RunEnded *e, gboolean stale)
{
  WorkPart *part = find_part (d, w, e->task, e->run);
  WorkTask *task = work_find_task (d->book, e->task);

  if (e->number <= w->seen)
    return;
  w->seen = e->number;
  effects_log_detail (d->fx,
                      "event=end task=%s run=%" G_GINT64_FORMAT
                      " worker=%s how=%s known=%d stale=%d",
                      e->task, e->run, w->entry->id, run_end_name (e->how),
                      part != NULL, stale);
  if (part)
    runs_end (d, part, e->how, e->checkpoint);
  else if (task)
    take_foreign_end (d, task, e, stale);
  w->seen_save = d->save.last_order;
}

static gboolean
is_listed (const RunReply *reply, const WorkPart *part)
{
  char *name = work_task_name (part->task);
  gboolean found = FALSE;
  guint i;

  for (i = 0; i < reply->running->len && !found; i++)
    {
      const RunRow *row = &g_array_index (reply->running, RunRow, i);

      found = row->run == part->run && strcmp (row->task, name) == 0;
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
  WorkPart *part;
  guint i;

  APR_RING_FOREACH (part, &w->parts, WorkPart, on_worker)
    {
      gboolean answered = part->state == PART_RUNNING ||
                          (part->state == PART_STOPPING && part->stop_acked);

      if (answered && part->confirmed < reply->id && !is_listed (reply, part))
        g_ptr_array_add (gone, part);
    }
  for (i = 0; i < gone->len; i++)
    {
      part = g_ptr_array_index (gone, i);
      if (part->state == PART_RUNNING)
        effects_log (d->fx, "event=run_vanished job=%s task=%u worker=%s",
                     part->task->step->job->entry->id, part->task->index,
                     w->entry->id);
      runs_end (d, part, RUN_STOPPED, NULL);
    }
  g_ptr_array_unref (gone);
}

/* A worker that was born anew runs nothing of before. */
static void
check_life (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  if (!reply->born || reply->born == w->born)
    return;
  if (w->born)
    {
      runs_void_worker (d, w, TRUE, "new_life");
      runs_refuse_late (d, w);
      w->lapse = 0;
    }
  w->born = reply->born;
  w->troubled = d->now;
  w->seen = 0;
  w->acked = 0;
  w->acking = 0;
  w->clock_at = 0;
  w->failures = 0;
}

/* Returns how long to wait before W is looked at again; RENEW says that its
   lease has just become known. */
static ClockMs
pause_after (const Dispatch *d, const PoolWorker *w, gboolean renew)
{
  if (renew)
    return 0;
  if (w->hold_now || is_stopping (w))
    return AGAIN_MS;
  return is_quiet (d, w) && w->seen <= w->acked ? quiet_pause : 0;
}

static void
judge_speed (Dispatch *d, PoolWorker *w)
{
  if (!speed_evaluate (w, d->now))
    return;
  effects_log_detail (d->fx, "event=worker_speed worker=%s slow=%d parts=%u",
                      w->entry->id, speed_is_slow (w, d->now), w->n_parts);
}

static void
take_list (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  gboolean was_silent = w->unanswered > 0;
  gboolean stale = w->lapsed;
  gboolean renew = FALSE;
  guint i;

  check_life (d, w, reply);
  w->clock = reply->clock;
  w->clock_at = d->now;
  w->unanswered = 0;
  w->acked = MAX (w->acked, w->acking);
  for (i = 0; i < reply->ended->len; i++)
    take_end (d, w, &g_array_index (reply->ended, RunEnded, i), stale);
  g_hash_table_foreach_remove (d->strays, is_of_worker, w);
  for (i = 0; i < reply->running->len; i++)
    take_row (d, w, &g_array_index (reply->running, RunRow, i));
  drop_unlisted (d, w, reply);
  judge_speed (d, w);
  if (!w->known || was_silent)
    {
      w->known = TRUE;
      renew = w->n_parts > 0;
      d->replan = TRUE;
    }
  w->lapsed = FALSE;
  w->next_hold = d->now + pause_after (d, w, renew);
  w->hold_now = w->hold_now || renew;
}

static void
on_failure (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  w->unanswered++;
  w->troubled = d->now;
  if (reply->status == RUN_UNSENT && w->entry->draining && !w->listed)
    {
      /* It said that it would leave, and its process is gone. */
      runs_void_worker (d, w, FALSE, "left");
    }
  w->next_hold =
      d->now + MIN ((ClockMs)RETRY_MS * w->unanswered,
                    (ClockMs)(w->lapsed ? RETRY_LAPSED_MS : RETRY_MOST_MS));
  if (w->unanswered == 1)
    effects_log (d->fx, "event=worker_silent worker=%s status=%s", w->entry->id,
                 run_status_name (reply->status));
}

/* Takes REPLY to the hold under way at W. */
void
holds_on_reply (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  if (reply->id != w->hold_id)
    return;
  holds_drop_call (d, w);
  if (reply->status == RUN_OK)
    {
      if (w->unanswered)
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
      if (reply->status == RUN_OTHER_LIFE)
        runs_void_worker (d, w, FALSE, "other_life");
      on_failure (d, w, reply);
    }
}
