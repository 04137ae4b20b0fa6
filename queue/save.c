#include "dispatch_state.h"

enum
{
  /* The store takes 32 entries in a transaction: the role's precondition,
     and a precondition and a write for each job. */
  JOBS_PER_CALL = 15,
  PACE_MS = 40,      /* ends that come close together share a call */
  FULL_PACE_MS = 80, /* while the link is full */
  TIMEOUT_MS = 900,
  RETRY_MS = 200
};

/* Puts JOB among those whose progress is to be stored. */
void
save_mark (Dispatch *d, WorkJob *job)
{
  Save *s = &d->save;

  if (job->saving)
    {
      /* The order is that of the oldest change that is not stored. */
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

/* Takes JOB out, before it is freed. */
void
save_forget (Dispatch *d, WorkJob *job)
{
  g_queue_remove (&d->save.dirty, job);
}

/* Tells whether everything that was marked up to ORDER is in the store.
   Jobs under way count with the order that they had when they were taken
   out of the queue. */
gboolean
save_is_durable (const Dispatch *d, guint64 order)
{
  const Save *s = &d->save;
  const WorkJob *oldest = g_queue_peek_head ((GQueue *)&s->dirty);

  if (s->call_id || s->jobs->len)
    return FALSE;
  return !oldest || oldest->save_order > order;
}

static void
take_jobs (Dispatch *d)
{
  Save *s = &d->save;

  while (s->jobs->len < JOBS_PER_CALL && !g_queue_is_empty (&s->dirty))
    {
      WorkJob *job = g_queue_pop_head (&s->dirty);

      job->saving = TRUE;
      job->save_again = FALSE;
      g_ptr_array_add (s->jobs, job);
      g_ptr_array_add (s->values, work_job_progress (job, d->wall));
    }
}

static void
send_call (Dispatch *d)
{
  Save *s = &d->save;
  KvCall *call = kv_call_new (KV_TXN, NULL);
  guint i;

  kv_call_cond (call, book_role_key, d->term.role_revision);
  for (i = 0; i < s->jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->jobs, i);
      char *key = book_progress_key (job->entry->id);

      kv_call_cond (call, key, job->entry->progress_revision);
      kv_call_write (call, key, g_ptr_array_index (s->values, i), 0);
      g_free (key);
    }
  call->id = effects_next_id (d->fx);
  call->timeout = TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

/* Stores what has changed, one transaction at a time. */
void
save_tick (Dispatch *d)
{
  Save *s = &d->save;

  if (s->call_id || s->next > d->now)
    return;
  if (s->jobs->len == 0)
    take_jobs (d);
  if (s->jobs->len == 0)
    return;
  send_call (d);
  s->next = d->now + link_pace (&d->fx->link, d->now, PACE_MS, FULL_PACE_MS);
}

static int
compare_orders (gconstpointer a, gconstpointer b, gpointer data)
{
  const WorkJob *x = a;
  const WorkJob *y = b;

  (void)data;
  return x->save_order < y->save_order ? -1 : x->save_order > y->save_order;
}

/* A job that changed while it was being stored goes back to its place: the
   queue's head tells what is durable. */
static void
release_jobs (Dispatch *d)
{
  Save *s = &d->save;
  guint i;

  for (i = 0; i < s->jobs->len; i++)
    {
      WorkJob *job = g_ptr_array_index (s->jobs, i);

      job->saving = FALSE;
      if (job->save_again)
        g_queue_insert_sorted (&s->dirty, job, compare_orders, NULL);
      else
        job->save_order = 0;
      job->save_again = FALSE;
      dispatch_may_forget (d, job);
    }
  g_ptr_array_set_size (s->jobs, 0);
  g_ptr_array_set_size (s->values, 0);
}

static void
on_stored (Dispatch *d, gint64 revision)
{
  Save *s = &d->save;
  guint i;

  for (i = 0; i < s->jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->jobs, i);

      book_put_progress (d->book, job->entry, g_ptr_array_index (s->values, i),
                         revision);
    }
  release_jobs (d);
  due_touch_unacked (d);
}

/* A transaction whose answer was lost may have been executed, then this one
   finds its own values. */
static gboolean
is_stored (Dispatch *d, const KvReply *reply)
{
  Save *s = &d->save;
  gboolean all = TRUE;
  guint i;

  for (i = 0; i < s->jobs->len; i++)
    {
      const WorkJob *job = g_ptr_array_index (s->jobs, i);
      char *key = book_progress_key (job->entry->id);
      const KvItem *item = kv_reply_find (reply, key);

      all = all && item && item->value &&
            g_bytes_equal (item->value, g_ptr_array_index (s->values, i));
      g_free (key);
    }
  return all;
}

static void
take_revisions (Dispatch *d, const KvReply *reply)
{
  Save *s = &d->save;
  guint i;

  for (i = 0; i < s->jobs->len; i++)
    {
      WorkJob *job = g_ptr_array_index (s->jobs, i);
      char *key = book_progress_key (job->entry->id);
      const KvItem *item = kv_reply_find (reply, key);

      if (item && item->value)
        book_put_progress (d->book, job->entry, item->value, item->revision);
      g_free (key);
    }
}

static void
on_conflict (Dispatch *d, const KvReply *reply)
{
  const KvItem *role = kv_reply_find (reply, book_role_key);

  if (!role || role->revision != d->term.role_revision)
    {
      effects_log (d->fx,
                   "event=deposed reason=role_taken fence=%" G_GINT64_FORMAT,
                   d->term.fence);
      d->deposed = TRUE;
      return;
    }
  if (is_stored (d, reply))
    {
      take_revisions (d, reply);
      release_jobs (d);
      due_touch_unacked (d);
      return;
    }
  take_revisions (d, reply);
}

/* Takes REPLY if it answers the transaction under way; returns whether it
   did. */
gboolean
save_on_reply (Dispatch *d, const KvReply *reply)
{
  Save *s = &d->save;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  if (reply->status == KV_OK)
    on_stored (d, reply->revision);
  else if (reply->status == KV_CONFLICT)
    on_conflict (d, reply);
  else
    {
      effects_log (d->fx, "event=save_failed jobs=%u status=%s", s->jobs->len,
                   kv_status_name (reply->status));
      s->next = d->now + RETRY_MS;
    }
  return TRUE;
}

/* Returns when save_tick has something to do. */
ClockMs
save_next (const Dispatch *d)
{
  const Save *s = &d->save;

  if (s->call_id ||
      (s->jobs->len == 0 && g_queue_is_empty ((GQueue *)&s->dirty)))
    return CLOCK_NEVER;
  return s->next;
}
