#include "dispatch_state.h"

/* Starts without an answer, which the platform may execute late.  The process
   that they were meant for refuses them once their runs are over there; the
   next process of the worker knows nothing of those and has to be told. */

/* XXX: a successor isn't told of more than so many late starts. */
static const guint max_recorded = 4000;

/* Records on its worker that PLACEMENT, which is about to be freed, has an
   unconfirmed start order that may still be executed. */
void
late_note_start (const Dispatch *d, const WorkPlacement *placement)
{
  PoolWorker *w = placement->worker;

  pool_expire_late_starts (w, d->now);
  if (placement->start_unconfirmed)
    pool_add_late_start (w, work_task_name (placement->task), placement->run,
                         placement->last_order_at + holds_late_order_window);
}

/* Has W, which has restarted and has no record of its former process's runs,
   refuse the late starts; see late_refuse_starts. */
void
late_cancel_starts (Dispatch *d, PoolWorker *w)
{
  guint i;

  for (i = 0; i < w->late_starts->len; i++)
    pool_late_start_at (w, i)->unwanted = TRUE;
  late_refuse_starts (d, w);
}

/* Sends stop orders for the unwanted late starts of W.  Called until W has
   confirmed each, as a stop may be lost too. */
void
late_refuse_starts (Dispatch *d, PoolWorker *w)
{
  guint i;

  pool_expire_late_starts (w, d->now);
  for (i = 0; i < w->late_starts->len; i++)
    {
      const PoolLateStart *late = pool_late_start_at (w, i);

      if (late->unwanted)
        orphans_send_stop (d, w, late->task, late->run);
    }
}

/* Adds RUN of the task with the name TASK on WORKER to R, unless that has too
   many. */
static void
add_to_record (GivenLeases *r, const char *worker, const char *task, gint64 run)
{
  LateStart *late;

  if (r->late.n >= max_recorded)
    return;
  late = rec_list_add (late_start_desc (), &r->late);
  rec_set_str (&late->worker, worker);
  rec_set_str (&late->task, task);
  late->run = run;
}

/* Adds to R the starts on W that may be executed late. */
static void
record_worker (const Dispatch *d, const PoolWorker *w, GivenLeases *r)
{
  const WorkPlacement *placement;
  guint i;

  for (i = 0; i < w->late_starts->len; i++)
    {
      const PoolLateStart *late = pool_late_start_at (w, i);

      if (late->expires > d->now)
        add_to_record (r, w->entry->id, late->task, late->run);
    }
  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (placement->start_unconfirmed &&
        placement->last_start_at + holds_late_order_window > d->now)
      {
        char *name = work_task_name (placement->task);

        add_to_record (r, w->entry->id, name, placement->run);
        g_free (name);
      }
}

/* Adds to R, the record for a successor, the starts that may be executed
   late. */
void
late_record (const Dispatch *d, GivenLeases *r)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    record_worker (d, pool_at (&d->pool, i), r);
  if (r->late.n >= max_recorded)
    effects_log (d->fx, "event=late_starts_unrecorded recorded=%u", r->late.n);
}

/* Loads the late starts that R, a former scheduler's record, names. */
void
late_load (Dispatch *d, const GivenLeases *r)
{
  guint i;

  for (i = 0; r && i < r->late.n; i++)
    {
      const LateStart *late = rec_list_at (late_start_desc (), &r->late, i);

      pool_add_late_start_of (&d->pool, late->worker, late->task, late->run,
                              d->started_at + holds_late_order_window);
    }
}
