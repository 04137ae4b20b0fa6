#include "dispatch_state.h"

#include "speed.h"

#include <string.h>

/* What a worker's list of its active and ended runs tells of its placements. */

enum
{
  STALL_MS = 2600,       /* more than two holds with the shortest wait */
  HEALTHY_RUN_MS = 1000, /* on a defective worker a run fails before this */
  STALL_DIVISOR = 4,     /* a stall lasts at least 1/4 of the task's length */
  MIN_RATE_PERCENT = 5   /* progress needed to extrapolate a rate */
};

static const double full_percent = 100.0;

static void
adopt_run (Dispatch *d, PoolWorker *w, const RunActive *row)
{
  WorkTask *task = work_find_task (d->job_cache, row->task);
  WorkPlacement *placement;

  if (!task || task->placement)
    {
      effects_log_detail (d->fx,
                          "event=stray task=%s run=%" G_GINT64_FORMAT
                          " worker=%s",
                          row->task, row->run, w->entry->id);
      orphans_stop (d, w, row->task, row->run);
      g_hash_table_insert (d->orphans, g_strdup (row->task),
                           g_strdup (w->entry->id));
      w->poll_immediately = TRUE;
      return;
    }
  placement = work_placement_new (task, w, row->run, PLACEMENT_RUNNING);
  placement->start_sent = TRUE;
  placement->confirmed_call = d->fx->last_id;
  placement->last_start_at = d->now;
  placement->started_at = d->now;
  placement->progressed_at = d->now;
  speed_record_progress (placement, d->now, row->percent);
  effects_log_detail (d->fx,
                      "event=adopted task=%s run=%" G_GINT64_FORMAT
                      " worker=%s",
                      row->task, row->run, w->entry->id);
  /* Until all runs are known, a task that a previous leader may have started
     waits for its run to be listed.  From then on it is restarted instead, and
     a run that appears later is stopped. */
  if (task->done || spec_state_is_final (task->step->job->state) ||
      d->all_runs_known)
    runs_stop (d, placement, "not_wanted");
}

static WorkPlacement *
find_placement (const Dispatch *d,
                const PoolWorker *w,
                const char *name,
                gint64 run)
{
  WorkTask *task = work_find_task (d->job_cache, name);
  WorkPlacement *placement = task ? task->placement : NULL;

  return placement && placement->worker == w && placement->run == run
             ? placement
             : NULL;
}

/* Tells whether PLACEMENT has made no progress for longer than both STALL_MS
   and 1/STALL_DIVISOR of the task's length, which is its estimate or, if
   longer, the time since it started.  Progress is reported in whole percent, so
   this has to exceed the time that the slowest task needs for one percent.  A
   perpetual task never stalls, nor does one at 100 percent, where progress
   stays while a task takes longer than its worker expected. */
static gboolean
is_stalled (const Dispatch *d, const WorkPlacement *placement)
{
  ClockMs length = MAX (placement->task->step->spec->estimate_ms,
                        d->now - placement->started_at);

  if (placement->task->step->spec->perpetual ||
      placement->percent >= full_percent)
    return FALSE;
  return d->now - placement->progressed_at >
         MAX ((ClockMs)STALL_MS, length / STALL_DIVISOR);
}

/* Estimates PLACEMENT's remaining time in milliseconds from its progress so
   far, or from the step's estimate while the progress is too small or is 100
   percent. */
static ClockMs
time_left (const Dispatch *d, const WorkPlacement *placement)
{
  double elapsed_ms = (double)(d->now - placement->started_at);

  if (placement->percent >= MIN_RATE_PERCENT &&
      placement->percent < full_percent)
    return (ClockMs)(elapsed_ms * (full_percent - placement->percent) /
                     placement->percent);
  return MAX (placement->task->step->spec->estimate_ms - (ClockMs)elapsed_ms,
              0);
}

static void
apply_run_row (Dispatch *d, PoolWorker *w, const RunActive *row)
{
  WorkPlacement *placement = find_placement (d, w, row->task, row->run);

  if (!placement)
    {
      adopt_run (d, w, row);
      return;
    }
  if (placement->state == PLACEMENT_STARTING)
    {
      placement->state = PLACEMENT_RUNNING;
      begin_on_confirmed (d, placement->task);
      placement->retry_at = CLOCK_NEVER;
      placement->confirmed_call = d->fx->last_id;
    }
  speed_record_progress (placement, d->now, row->percent);
  pace_learn (&d->pace, placement, d->now);
  if (d->now - placement->started_at >= HEALTHY_RUN_MS &&
      placement->percent > placement->baseline_percent)
    w->last_success_start = MAX (w->last_success_start, placement->started_at);
  work_task_set_checkpoint (placement->task, row->checkpoint);
  if (placement->state == PLACEMENT_RUNNING && is_stalled (d, placement))
    runs_stop_stalled (d, placement);
  else if (placement->state == PLACEMENT_RUNNING && w->entry->draining &&
           d->now + time_left (d, placement) > holds_drain_stop_at (w))
    runs_stop (d, placement, "worker_leaves");
}

/* Applies the active runs that REPLY lists. */
void
run_list_apply_runs (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  guint i;

  for (i = 0; i < reply->running->len; i++)
    apply_run_row (d, w, &g_array_index (reply->running, RunActive, i));
}

static gboolean
has_run (const WorkTask *task)
{
  return task->step->spec->gang ? task->step->n_placements > 0
                                : task->placement != NULL;
}

/* Applies the end E of a run that this scheduler has no placement for: a
   previous leader did not store the end, or the run was given up as lost.  With
   STALE its lease has expired since, and only success counts.  A success counts
   even if the task was restarted meanwhile; the other runs are stopped. */
static void
apply_unassigned_end (Dispatch *d,
                      WorkTask *task,
                      const RunEnded *e,
                      gboolean stale)
{
  if (stale && e->how != RUN_DONE)
    return;
  if (!has_run (task))
    work_task_set_checkpoint (task, e->checkpoint);
  runs_apply_end (d, task, e->run, e->how);
  if (task->done && e->how == RUN_DONE)
    runs_stop_other_runs (d, task, e->run);
}

static void
apply_end (Dispatch *d, PoolWorker *w, const RunEnded *e, gboolean stale)
{
  WorkPlacement *placement = find_placement (d, w, e->task, e->run);
  WorkTask *task = work_find_task (d->job_cache, e->task);

  if (e->sequence <= w->ends_applied)
    return;
  w->ends_applied = e->sequence;
  effects_log_detail (d->fx,
                      "event=end task=%s run=%" G_GINT64_FORMAT
                      " worker=%s how=%s known=%d stale=%d",
                      e->task, e->run, w->entry->id, run_end_name (e->how),
                      placement != NULL, stale);
  if (task)
    pool_add_unacked_end (w, e->sequence, task->step->job->entry->id);
  if (placement)
    runs_end (d, placement, e->how, e->checkpoint);
  else if (task)
    apply_unassigned_end (d, task, e, stale);
  /* The changes above have been given save orders up to this one. */
  w->ends_applied_save = d->save.last_order;
}

/* Applies the ends that REPLY lists.  With STALE, W's lease has expired since
   its last list. */
void
run_list_apply_ends (Dispatch *d,
                     PoolWorker *w,
                     const RunReply *reply,
                     gboolean stale)
{
  guint i;

  for (i = 0; i < reply->ended->len; i++)
    apply_end (d, w, &g_array_index (reply->ended, RunEnded, i), stale);
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

/* Tells whether PLACEMENT's worker had confirmed the start or stop before the
   hold that REPLY answers was sent.  Calls are ordered by number rather than by
   time, because many are sent and answered within a millisecond. */
static gboolean
was_confirmed (const RunReply *reply, const WorkPlacement *placement)
{
  gboolean confirmed =
      placement->state == PLACEMENT_RUNNING ||
      (placement->state == PLACEMENT_STOPPING && placement->stop_acked);

  return confirmed && placement->confirmed_call < reply->id;
}

/* Tells whether PLACEMENT, whose stop has got no answer, was sent its last
   start so long before the last hold that the start can't be executed any more.
 */
static gboolean
is_past_late_start (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STOPPING &&
         placement->worker->poll_sent_at >=
             placement->last_start_at + holds_late_order_window;
}

/* Tells whether REPLY, which answers W's last hold, shows that PLACEMENT's run
   is over, or will never begin. */
static gboolean
is_missing (const RunReply *reply, const WorkPlacement *placement)
{
  return (was_confirmed (reply, placement) || is_past_late_start (placement)) &&
         !is_listed (reply, placement);
}

/* Logs that PLACEMENT is_missing.  A worker that did not answer its stop gets
   no new placements for a while. */
static void
note_missing (Dispatch *d, WorkPlacement *placement)
{
  const WorkTask *task = placement->task;
  PoolWorker *w = placement->worker;

  if (placement->state == PLACEMENT_RUNNING)
    effects_log (d->fx,
                 "event=run_vanished job=%s task=%u run=%" G_GINT64_FORMAT
                 " worker=%s",
                 task->step->job->entry->id, task->index, placement->run,
                 w->entry->id);
  else if (!placement->stop_acked)
    {
      effects_log (d->fx,
                   "event=stop_unanswered job=%s task=%u run=%" G_GINT64_FORMAT
                   " worker=%s waited_ms=%" CLOCK_MS_FORMAT,
                   task->step->job->entry->id, task->index, placement->run,
                   w->entry->id, d->now - placement->stopping_at);
      quarantine_exclude (d, w, quarantine_exclusion_span);
    }
}

/* Ends the placements on W that are missing in REPLY.  If there are more ends
   than REPLY has, none is known to be missing. */
void
run_list_end_missing (Dispatch *d, PoolWorker *w, const RunReply *reply)
{
  GPtrArray *gone = g_ptr_array_new ();
  WorkPlacement *placement;
  guint i;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (!reply->more_ended && is_missing (reply, placement))
      g_ptr_array_add (gone, placement);
  /* Ending one may stop others, of its gang. */
  for (i = 0; i < gone->len; i++)
    note_missing (d, g_ptr_array_index (gone, i));
  for (i = 0; i < gone->len; i++)
    runs_end (d, g_ptr_array_index (gone, i), RUN_STOPPED, NULL);
  g_ptr_array_unref (gone);
}
