#include "dispatch_state.h"

/* Keeps track of the workers that need processing, by timers and by marks, so
   that the cost of a tick follows the number of changes, not of workers. */

/* Initializes the timers and marks in D. */
void
due_init (Dispatch *d)
{
  timer_heap_init (&d->worker_timers);
  d->dirty_workers = g_ptr_array_new ();
}

/* Releases the timers and marks in D.  The workers may have been freed
   already. */
void
due_clear (Dispatch *d)
{
  timer_heap_clear (&d->worker_timers);
  g_ptr_array_unref (d->dirty_workers);
}

/* Marks W as changed; the next due_run processes it. */
void
due_mark (Dispatch *d, PoolWorker *w)
{
  if (w->dirty)
    return;
  w->dirty = TRUE;
  g_ptr_array_add (d->dirty_workers, w);
}

/* Marks all workers with run ends that are not acknowledged yet, as a save may
   have made these durable. */
void
due_mark_unacked (Dispatch *d)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (w->ends_applied > w->ends_acked)
        due_mark (d, w);
    }
}

/* Returns when W needs processing next, or CLOCK_NEVER. */
static ClockMs
next_due_time (const Dispatch *d, const PoolWorker *w)
{
  ClockMs next = holds_next (d, w);
  const WorkPlacement *placement;

  if (w->polls_unanswered && !w->lease_expired && d->now <= w->lease_expiry)
    next = MIN (next, w->lease_expiry + 1);
  if (w->n_placements > 0 && holds_drain_stop_at (w) > d->now)
    next = MIN (next, holds_drain_stop_at (w));
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    {
      next = MIN (next, placement->retry_at);
      if (w->polls_unanswered)
        next = MIN (next, MAX (grant_run_expiry (placement), d->now) + 1);
      next = MIN (next, unsent_deadline (placement));
    }
  return next;
}

/* Tells whether W can be removed from the pool.  Its run ends need no
   acknowledgement once its lease has expired: if it returns, it reports them
   again. */
static gboolean
may_remove (const Dispatch *d, const PoolWorker *w)
{
  return !w->registered && w->n_placements == 0 && !w->poll_id &&
         (w->lease_expired ||
          (w->runs_known && w->ends_applied <= w->ends_acked)) &&
         !orphans_are_on (d, w);
}

/* Does what is due at W, then removes it or sets its timer. */
static void
process_worker (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;
  ClockMs next;

  withdraw_from_worker (d, w);
  if (!holds_is_overdue (d, w))
    runs_send_queued (d, w);
  holds_tick (d, w);
  runs_send_queued (d, w);
  unsent_give_up_overdue (d, w);
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    runs_retry_order (d, placement);
  timer_heap_stop (&d->worker_timers, &w->timer);
  roster_update_worker (d, w);
  if (may_remove (d, w))
    {
      if (w->dirty)
        g_ptr_array_remove (d->dirty_workers, w);
      if (w->first_poll_queued)
        g_queue_remove (&d->first_hold_queue, w);
      roster_mark_dirty (d, w->entry->id);
      pool_remove (&d->pool, w, d->now);
      return;
    }
  next = next_due_time (d, w);
  if (next == CLOCK_NEVER)
    return;
  w->timer.owner = w;
  timer_heap_arm (&d->worker_timers, &w->timer, next);
}

/* Processes the marked workers.  Marks set meanwhile are left for the next
   run. */
static void
process_marked (Dispatch *d)
{
  GPtrArray *touched = d->dirty_workers;
  guint i;

  if (touched->len == 0)
    return;
  d->dirty_workers = g_ptr_array_new ();
  for (i = 0; i < touched->len; i++)
    ((PoolWorker *)g_ptr_array_index (touched, i))->dirty = FALSE;
  for (i = 0; i < touched->len; i++)
    process_worker (d, g_ptr_array_index (touched, i));
  g_ptr_array_unref (touched);
}

/* Processes all workers that are marked or whose timer has expired. */
void
due_run (Dispatch *d)
{
  Timer *t;

  process_marked (d);
  while ((t = timer_heap_pop (&d->worker_timers, d->now)))
    process_worker (d, t->owner);
}

/* Returns when due_run must be called next. */
ClockMs
due_next (const Dispatch *d)
{
  return d->dirty_workers->len ? d->now : timer_heap_next (&d->worker_timers);
}
