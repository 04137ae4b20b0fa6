#include "dispatch_state.h"

enum
{
  PURGE_INTERVAL_MS = 1000,
  PURGE_TIMEOUT_MS = 900,
  /* Each takes three deletions and a condition, besides the condition on the
     leader's role. */
  MAX_JOBS_PER_CALL = 7
};

/* How long the records of an ended job are kept.  So long, callers can ask for
   its state and a repeated submission is recognized. */
static const ClockMs retention_ms = 600000;

/* Tells whether E's job ended longer than RETENTION_MS ago. */
static gboolean
may_purge (const Dispatch *d, const JobEntry *e)
{
  return e->job && e->progress && !e->scheduler_job &&
         e->progress->ended_ms > 0 &&
         spec_state_is_final ((JobState)e->progress->state) &&
         d->wall - e->progress->ended_ms > retention_ms;
}

/* Adds to CALL the deletion of E's records, on condition that its progress
   record has not changed. */
static void
add_deletions (KvCall *call, const JobEntry *e)
{
  char *job = job_cache_spec_key (e->id);
  char *progress = job_cache_progress_key (e->id);
  char *cancel = job_cache_cancel_key (e->id);

  kv_call_add_precondition (call, progress, e->progress_revision);
  kv_call_add_write (call, job, NULL, 0);
  kv_call_add_write (call, progress, NULL, 0);
  if (e->cancelled)
    kv_call_add_write (call, cancel, NULL, 0);
  g_free (job);
  g_free (progress);
  g_free (cancel);
}

/* Deletes the records of jobs whose retention has ended, a few per call.  A
   lost call is repeated at the next interval. */
void
purge_tick (Dispatch *d)
{
  KvCall *call;
  GHashTableIter i;
  gpointer entry;
  guint n = 0;

  if (d->next_purge > d->now)
    return;
  d->next_purge = d->now + PURGE_INTERVAL_MS;
  call = kv_call_new (KV_TXN, NULL);
  kv_call_add_precondition (call, scheduler_role_key, d->term.role_revision);
  g_hash_table_iter_init (&i, job_cache_entries (d->job_cache));
  while (n < MAX_JOBS_PER_CALL && g_hash_table_iter_next (&i, NULL, &entry))
    if (may_purge (d, entry))
      {
        add_deletions (call, entry);
        n++;
      }
  if (n == 0)
    {
      kv_call_free (call);
      return;
    }
  effects_log (d->fx, "event=purge jobs=%u", n);
  call->id = effects_next_id (d->fx);
  call->timeout = PURGE_TIMEOUT_MS;
  effects_kv (d->fx, call);
}
