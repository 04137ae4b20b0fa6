#include "dispatch_state.h"

enum
{
  LOOK_MS = 1000,
  TIMEOUT_MS = 900,
  /* Three deletions and a precondition each, beside the role's. */
  JOBS_PER_CALL = 7
};

/* How long the records of a job that is over are kept.  Callers may ask for
   its state that long, and a repeated submission is recognized. */
static const ClockMs keep = 600000;

static gboolean
is_over (const Dispatch *d, const JobEntry *e)
{
  return e->job && e->progress && !e->scheduler_job &&
         e->progress->ended_ms > 0 &&
         spec_state_is_final ((JobState)e->progress->state) &&
         d->wall - e->progress->ended_ms > keep;
}

static void
add_entry (KvCall *call, const JobEntry *e)
{
  char *job = job_cache_spec_key (e->id);
  char *progress = job_cache_progress_key (e->id);
  char *cancel = job_cache_cancel_key (e->id);

  kv_call_cond (call, progress, e->progress_revision);
  kv_call_write (call, job, NULL, 0);
  kv_call_write (call, progress, NULL, 0);
  if (e->cancelled)
    kv_call_write (call, cancel, NULL, 0);
  g_free (job);
  g_free (progress);
  g_free (cancel);
}

/* Deletes the records of jobs that were over long ago, a few at a time.  A
   call that is lost is made again at the next look. */
void
purge_tick (Dispatch *d)
{
  KvCall *call;
  GHashTableIter i;
  gpointer entry;
  guint n = 0;

  if (d->next_purge > d->now)
    return;
  d->next_purge = d->now + LOOK_MS;
  call = kv_call_new (KV_TXN, NULL);
  kv_call_cond (call, scheduler_role_key, d->term.role_revision);
  g_hash_table_iter_init (&i, job_cache_entries (d->job_cache));
  while (n < JOBS_PER_CALL && g_hash_table_iter_next (&i, NULL, &entry))
    if (is_over (d, entry))
      {
        add_entry (call, entry);
        n++;
      }
  if (n == 0)
    {
      kv_call_free (call);
      return;
    }
  effects_log (d->fx, "event=purge jobs=%u", n);
  call->id = effects_next_id (d->fx);
  call->timeout = TIMEOUT_MS;
  effects_kv (d->fx, call);
}
