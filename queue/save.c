#include "dispatch_state.h"
#include "progress.h"

enum
{
  /* The store allows 32 entries in a transaction: the precondition on the role
     key, and a precondition and a write for each job. */
  JOBS_PER_CALL = 15,
  MIN_INTERVAL_MS = 40,       /* batches runs that end close together */
  FULL_LINK_INTERVAL_MS = 80, /* while the host's link is saturated */
  CALL_TIMEOUT_MS = 900,
  RETRY_MS = 200,
  REFUSED_RETRY_MS = 1000,   /* doubles with each refusal */
  MAX_REFUSED_DOUBLINGS = 5, /* so it is 32 s at most */
  /* A refused record is tried again with so much less of what may be left out:
     the store may count bytes in another way than the settings. */
  REFUSED_SIZE_DIVISOR = 2
};

static int
compare_orders (gconstpointer a, gconstpointer b, gpointer data)
{
  const WorkJob *x = a;
  const WorkJob *y = b;

  (void)data;
  return x->save_order < y->save_order ? -1 : x->save_order > y->save_order;
}

/* Queues JOB for saving of its progress.  One whose record was refused waits
   for its next try, but not with a final state: that record is short. */
void
save_mark_dirty (Dispatch *d, WorkJob *job)
{
  ProgressSave *s = &d->save;

  if (spec_state_is_final (job->state))
    job->retry_save_at = d->now;
  if (job->saving)
    {
      /* save_order belongs to the oldest change that is not in flight yet. */
      if (!job->save_again)
        job->save_order = ++s->last_order;
      job->save_again = TRUE;
      return;
    }
  if (job->save_order)
    return;
  job->save_order = ++s->last_order;
  g_queue_push_tail (&s->dirty, job);
}

/* Removes JOB from the save queue before it is freed. */
void
save_remove_job (Dispatch *d, WorkJob *job)
{
  g_queue_remove (&d->save.dirty, job);
  g_ptr_array_remove (d->save.refused, job);
}

/* Tells whether all that W's ends have changed is in the store.  FALSE while
   jobs are in flight or wait for a retry, since such a change may be among
   them.  A job whose record is refused counts only if W has an end of it. */
gboolean
save_is_durable (const Dispatch *d, const PoolWorker *w)
{
  const ProgressSave *s = &d->save;
  const WorkJob *oldest = g_queue_peek_head ((GQueue *)&s->dirty);
  guint i;

  if (s->call_id || s->in_flight_jobs->len ||
      (oldest && oldest->save_order <= w->ends_applied_save))
    return FALSE;
  for (i = 0; i < s->refused->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->refused, i);

      if (job->save_order <= w->ends_applied_save &&
          pool_has_unacked_end_of (w, job->entry->id))
        return FALSE;
    }
  return TRUE;
}

/* Queues the refused jobs again whose next try is due. */
static void
requeue_refused (Dispatch *d)
{
  ProgressSave *s = &d->save;
  guint i = 0;

  while (i < s->refused->len)
    {
      WorkJob *job = g_ptr_array_index (s->refused, i);

      if (job->retry_save_at > d->now)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (s->refused, i);
      g_queue_insert_sorted (&s->dirty, job, compare_orders, NULL);
    }
}

/* Tells whether VALUE may be written by the same call as the values in flight:
   all together are no longer than one value may be. */
static gboolean
has_room_for (const ProgressSave *s, GBytes *value)
{
  gsize n = g_bytes_get_size (value);
  guint i;

  for (i = 0; i < s->in_flight_values->len; i++)
    n += g_bytes_get_size (g_ptr_array_index (s->in_flight_values, i));
  return s->in_flight_values->len == 0 || s->max_value == 0 ||
         n <= s->max_value;
}

/* Returns JOB's record, no longer than the store takes if that is possible, and
   logs when checkpoints begin to be left out. */
static GBytes *
pack_record (Dispatch *d, WorkJob *job)
{
  gsize max = job->max_record ? job->max_record : d->save.max_value;
  guint n_left_out;
  GBytes *value = progress_pack (job, d->wall, max, &n_left_out);

  if (n_left_out && !job->n_left_out)
    effects_log (
        d->fx,
        "event=checkpoints_left_out job=%s n=%u max_bytes=%" G_GSIZE_FORMAT,
        job->entry->id, n_left_out, max);
  job->n_left_out = n_left_out;
  return value;
}

/* Adds JOB, the head of the queue, to the jobs in flight.  Returns FALSE if no
   more may be added to them, be it that JOB has to wait for the next call. */
static gboolean
dequeue_job (Dispatch *d, WorkJob *job)
{
  ProgressSave *s = &d->save;
  GBytes *value;

  if (job->save_apart && s->in_flight_jobs->len)
    return FALSE;
  value = pack_record (d, job);
  if (!has_room_for (s, value))
    {
      g_bytes_unref (value);
      return FALSE;
    }
  g_queue_pop_head (&s->dirty);
  job->saving = TRUE;
  job->save_again = FALSE;
  job->write_order = job->save_order;
  g_ptr_array_add (s->in_flight_jobs, job);
  g_ptr_array_add (s->in_flight_values, value);
  return !job->save_apart;
}

static void
dequeue_jobs (Dispatch *d)
{
  ProgressSave *s = &d->save;

  while (s->in_flight_jobs->len < JOBS_PER_CALL &&
         !g_queue_is_empty (&s->dirty) &&
         dequeue_job (d, g_queue_peek_head (&s->dirty)))
    continue;
}

static void
send_transaction (Dispatch *d)
{
  ProgressSave *s = &d->save;
  KvCall *call = kv_call_new (KV_TXN, NULL);
  guint i;

  kv_call_add_precondition (call, scheduler_role_key, d->term.role_revision);
  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);
      char *key = job_cache_progress_key (job->entry->id);

      kv_call_add_precondition (call, key, job->entry->progress_revision);
      kv_call_add_write (call, key, g_ptr_array_index (s->in_flight_values, i),
                         0);
      g_free (key);
    }
  call->id = effects_next_id (d->fx);
  call->timeout = CALL_TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

/* Writes changed progress records, one transaction at a time. */
void
save_tick (Dispatch *d)
{
  ProgressSave *s = &d->save;

  if (s->call_id || s->next_at > d->now)
    return;
  requeue_refused (d);
  if (s->in_flight_jobs->len == 0)
    dequeue_jobs (d);
  if (s->in_flight_jobs->len == 0)
    return;
  send_transaction (d);
  s->next_at = d->now + link_interval (&d->fx->link, d->now, MIN_INTERVAL_MS,
                                       FULL_LINK_INTERVAL_MS);
}

/* Ends the save of the jobs in flight.  A job that changed meanwhile is
   inserted in ascending save_order, because save_is_durable reads the queue's
   head. */
static void
release_jobs (Dispatch *d)
{
  ProgressSave *s = &d->save;
  guint i;

  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);

      job->saving = FALSE;
      job->save_apart = FALSE;
      job->n_refusals = 0;
      if (job->save_again)
        g_queue_insert_sorted (&s->dirty, job, compare_orders, NULL);
      else
        job->save_order = 0;
      job->save_again = FALSE;
      dispatch_check_finished (d, job);
    }
  g_ptr_array_set_size (s->in_flight_jobs, 0);
  g_ptr_array_set_size (s->in_flight_values, 0);
}

static void
on_stored (Dispatch *d, gint64 revision)
{
  ProgressSave *s = &d->save;
  guint i;

  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);

      job_cache_set_progress (d->job_cache, job->entry,
                              g_ptr_array_index (s->in_flight_values, i),
                              revision);
    }
  release_jobs (d);
  due_mark_unacked (d);
}

/* Tells whether the store already contains all values in flight: an earlier try
   whose reply was lost may have been executed. */
static gboolean
is_stored (Dispatch *d, const KvReply *reply)
{
  ProgressSave *s = &d->save;
  gboolean all = TRUE;
  guint i;

  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);
      char *key = job_cache_progress_key (job->entry->id);
      const KvItem *item = kv_reply_find (reply, key);

      all = all && item && item->value &&
            g_bytes_equal (item->value,
                           g_ptr_array_index (s->in_flight_values, i));
      g_free (key);
    }
  return all;
}

static void
update_revisions (Dispatch *d, const KvReply *reply)
{
  ProgressSave *s = &d->save;
  guint i;

  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);
      char *key = job_cache_progress_key (job->entry->id);
      const KvItem *item = kv_reply_find (reply, key);

      if (item && item->value)
        job_cache_set_progress (d->job_cache, job->entry, item->value,
                                item->revision);
      g_free (key);
    }
}

static void
on_conflict (Dispatch *d, const KvReply *reply)
{
  const KvItem *role = kv_reply_find (reply, scheduler_role_key);

  if (!role || role->revision != d->term.role_revision)
    {
      effects_log (d->fx,
                   "event=deposed reason=role_taken fence=%" G_GINT64_FORMAT,
                   d->term.fence);
      d->lost_role = TRUE;
      return;
    }
  if (is_stored (d, reply))
    {
      update_revisions (d, reply);
      release_jobs (d);
      due_mark_unacked (d);
      return;
    }
  update_revisions (d, reply);
}

/* Plans the next try of JOB, whose record VALUE was refused by itself. */
static void
on_record_refused (Dispatch *d, WorkJob *job, GBytes *value)
{
  ProgressSave *s = &d->save;
  gboolean has_ended = job->save_again && spec_state_is_final (job->state);
  ClockMs pause = (ClockMs)REFUSED_RETRY_MS
                  << MIN (job->n_refusals, MAX_REFUSED_DOUBLINGS);

  s->n_refused++;
  job->n_refusals++;
  job->max_record = MAX (g_bytes_get_size (value) / REFUSED_SIZE_DIVISOR, 1);
  job->retry_save_at = has_ended ? d->now : d->now + pause;
  g_ptr_array_add (s->refused, job);
  effects_log (d->fx,
               "event=progress_refused job=%s bytes=%" G_GSIZE_FORMAT
               " refusals=%u retry_in_ms=%" CLOCK_MS_FORMAT,
               job->entry->id, g_bytes_get_size (value), job->n_refusals,
               job->retry_save_at - d->now);
}

/* Handles that the store refuses the transaction in flight for good: its jobs
   are written apart, so that only one whose own record is refused waits. */
static void
on_invalid (Dispatch *d)
{
  ProgressSave *s = &d->save;
  gboolean alone = s->in_flight_jobs->len == 1;
  guint i;

  for (i = 0; i < s->in_flight_jobs->len; i++)
    {
      WorkJob *job = g_ptr_array_index (s->in_flight_jobs, i);

      job->saving = FALSE;
      job->save_apart = TRUE;
      job->save_order = job->write_order;
      if (alone)
        on_record_refused (d, job, g_ptr_array_index (s->in_flight_values, i));
      else
        g_queue_insert_sorted (&s->dirty, job, compare_orders, NULL);
      job->save_again = FALSE;
    }
  g_ptr_array_set_size (s->in_flight_jobs, 0);
  g_ptr_array_set_size (s->in_flight_values, 0);
  due_mark_unacked (d);
}

/* Handles REPLY if it answers the transaction in flight.  Returns whether it
   does. */
gboolean
save_on_reply (Dispatch *d, const KvReply *reply)
{
  ProgressSave *s = &d->save;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  if (reply->status == KV_OK)
    on_stored (d, reply->revision);
  else if (reply->status == KV_CONFLICT)
    on_conflict (d, reply);
  else if (reply->status == KV_INVALID)
    on_invalid (d);
  else
    {
      effects_log (d->fx, "event=save_failed jobs=%u status=%s",
                   s->in_flight_jobs->len, kv_status_name (reply->status));
      s->next_at = d->now + RETRY_MS;
    }
  return TRUE;
}

/* Returns when save_tick has to be called next. */
ClockMs
save_next (const Dispatch *d)
{
  const ProgressSave *s = &d->save;
  ClockMs next = CLOCK_NEVER;
  guint i;

  if (s->call_id)
    return CLOCK_NEVER;
  if (s->in_flight_jobs->len || !g_queue_is_empty ((GQueue *)&s->dirty))
    return s->next_at;
  for (i = 0; i < s->refused->len; i++)
    next = MIN (next, ((const WorkJob *)g_ptr_array_index (s->refused, i))
                          ->retry_save_at);
  return MAX (next, s->next_at);
}

/* Appends what the store refuses to TEXT, one metric per line. */
void
save_append_metrics (const Dispatch *d, GString *text)
{
  g_string_append_printf (
      text,
      "wagtailpass_scheduler_refused_jobs %u\n"
      "wagtailpass_scheduler_progress_refused_total %" G_GINT64_FORMAT "\n",
      d->save.refused->len, d->save.n_refused);
}
