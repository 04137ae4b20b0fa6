#include "dispatch_state.h"

/* Which workers have something to do, so that a tick costs what changed and
   not what the fleet has. */

/* Prepares D's part of it. */
void
due_start (Dispatch *d)
{
  timer_heap_init (&d->due);
  d->touched = g_ptr_array_new ();
}

/* Releases it; the workers may be gone already. */
void
due_clear (Dispatch *d)
{
  timer_heap_clear (&d->due);
  g_ptr_array_unref (d->touched);
}

/* Has W looked at in the next due_run: something about it has changed. */
void
due_touch (Dispatch *d, PoolWorker *w)
{
  if (w->dirty)
    return;
  w->dirty = TRUE;
  g_ptr_array_add (d->touched, w);
}

/* Has every worker looked at whose ends may have become durable. */
void
due_touch_unacked (Dispatch *d)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (w->ends_applied > w->ends_acked)
        due_touch (d, w);
    }
}

static ClockMs
next_of (const Dispatch *d, const PoolWorker *w)
{
  ClockMs next = holds_next (d, w);
  const WorkPlacement *placement;

  if (w->polls_unanswered && !w->lease_expired)
    next = MIN (next, w->lease_expiry + 1);
  if (w->n_placements > 0 && holds_clearing (w) > d->now)
    next = MIN (next, holds_clearing (w));
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    next = MIN (next, placement->retry_at);
  return next;
}

/* A worker whose lease has lapsed need not acknowledge anything: if it comes
   back, it tells of its ends once more. */
static gboolean
is_gone (const PoolWorker *w)
{
  return !w->registered && w->n_placements == 0 && !w->poll_id &&
         (w->lease_expired ||
          (w->runs_known && w->ends_applied <= w->ends_acked));
}

static void
look_at (Dispatch *d, PoolWorker *w)
{
  WorkPlacement *placement;
  ClockMs next;

  holds_tick (d, w);
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    runs_retry_order (d, placement);
  timer_heap_stop (&d->due, &w->timer);
  if (is_gone (w))
    {
      if (w->dirty)
        g_ptr_array_remove (d->touched, w);
      if (w->first_poll_queued)
        g_queue_remove (&d->to_list, w);
      roster_mark (d, w->entry->id);
      pool_remove (&d->pool, w);
      return;
    }
  next = next_of (d, w);
  if (next == CLOCK_NEVER)
    return;
  w->timer.owner = w;
  timer_heap_arm (&d->due, &w->timer, next);
}

static void
look_at_touched (Dispatch *d)
{
  GPtrArray *touched = d->touched;
  guint i;

  if (touched->len == 0)
    return;
  d->touched = g_ptr_array_new ();
  for (i = 0; i < touched->len; i++)
    ((PoolWorker *)g_ptr_array_index (touched, i))->dirty = FALSE;
  for (i = 0; i < touched->len; i++)
    look_at (d, g_ptr_array_index (touched, i));
  g_ptr_array_unref (touched);
}

/* Does what is due at each worker. */
void
due_run (Dispatch *d)
{
  Timer *t;

  look_at_touched (d);
  while ((t = timer_heap_pop (&d->due, d->now)))
    look_at (d, t->owner);
}

/* Returns when due_run has something to do. */
ClockMs
due_next (const Dispatch *d)
{
  return d->touched->len ? d->now : timer_heap_next (&d->due);
}
