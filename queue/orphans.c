#include "dispatch_state.h"

#include <string.h>

/* Runs on workers that this scheduler did not start there. */

/* Tells W to stop RUN of the task with the name TASK, or to refuse its start
   if that arrives later. */
void
orphans_send_stop (Dispatch *d, PoolWorker *w, const char *task, gint64 run)
{
  RunCall *call;

  if (!d->may_send_orders)
    return;
  call = run_call_new (RUN_STOP, w->entry->id, w->entry->address);
  call->task = g_strdup (task);
  call->run = run;
  call->timeout = runs_order_timeout (w);
  call->urgent = TRUE;
  runs_send (d, call, NULL);
}

static gboolean
is_on_worker (gpointer task, gpointer id, gpointer w)
{
  (void)task;
  return strcmp (id, ((const PoolWorker *)w)->entry->id) == 0;
}

/* Tells whether W runs tasks that this scheduler did not start there. */
gboolean
orphans_are_on (const Dispatch *d, const PoolWorker *w)
{
  return g_hash_table_find (d->orphans, is_on_worker, (gpointer)w) != NULL;
}

/* Forgets the runs on W that this scheduler did not start there, so that their
   tasks can be placed again. */
void
orphans_forget (Dispatch *d, PoolWorker *w)
{
  g_hash_table_foreach_remove (d->orphans, is_on_worker, w);
}

/* Stops RUN of a task on W that has no placement in this scheduler.  W gets no
   new placements for quarantine_exclusion_span. */
void
orphans_stop (Dispatch *d, PoolWorker *w, const char *task, gint64 run)
{
  orphans_send_stop (d, w, task, run);
  quarantine_exclude (d, w, quarantine_exclusion_span);
}
