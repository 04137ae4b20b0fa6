#include "intake_state.h"

/* What the store replies to the calls of pending requests, and what becomes of
   those that it does not reply to in time. */

enum
{
  RETRY_DELAY_MS = 80
};

static Pending *
find_pending (Intake *in, gint64 call_id)
{
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    if (p->call_id == call_id)
      return p;
  return NULL;
}

static void
apply_write (Intake *in, const char *key, GBytes *value, gint64 revision)
{
  KvItem *item = kv_item_new (key, value, revision);

  feed_apply (in->feed, item, in->fx);
  kv_item_free (item);
}

static void
on_written (Intake *in, Pending *p, gint64 revision)
{
  char *key = job_cache_spec_key (p->job_id);

  in->counters[INTAKE_ACCEPTED]++;
  intake_log_outcome (in, p, "job_accepted", HTTP_OK);
  apply_write (in, key, p->record, revision);
  g_free (key);
  intake_finish (in, p, HTTP_OK);
}

static void
apply_items (Intake *in, const KvReply *reply)
{
  guint i;

  for (i = 0; reply->items && i < reply->items->len; i++)
    {
      const KvItem *item = g_ptr_array_index (reply->items, i);

      if (item->value && item->revision > 0)
        feed_apply (in->feed, item, in->fx);
    }
}

static void
on_cancelled (Intake *in, Pending *p, gint64 revision)
{
  char *key = job_cache_cancel_key (p->job_id);
  GBytes *value = g_bytes_new_static ("1", 1);

  in->counters[INTAKE_CANCELLED]++;
  intake_log_outcome (in, p, "cancel_accepted", HTTP_OK);
  apply_write (in, key, value, revision);
  g_bytes_unref (value);
  g_free (key);
  intake_finish (in, p, HTTP_OK);
}

static void
on_read (Intake *in, Pending *p, const KvReply *reply)
{
  const JobEntry *entry;

  apply_items (in, reply);
  entry = job_cache_find (in->job_cache, p->job_id);
  if (p->op == REQUEST_SUBMIT && entry && entry->job)
    {
      in->counters[INTAKE_REPEATED]++;
      intake_finish (in, p, HTTP_OK);
    }
  else if (p->op == REQUEST_SUBMIT)
    intake_refuse_evacuated (in, p);
  else if (entry && entry->job)
    intake_continue (in, p, entry);
  else
    intake_finish (in, p, HTTP_GONE);
}

static void
on_conflict (Intake *in, Pending *p, const KvReply *reply)
{
  const JobEntry *entry;

  apply_items (in, reply);
  if (p->stage == STAGE_WRITE)
    {
      intake_log_outcome (in, p,
                          p->outcome_unknown ? "job_accepted" : "job_known",
                          HTTP_OK);
      in->counters[p->outcome_unknown ? INTAKE_ACCEPTED : INTAKE_REPEATED]++;
      intake_finish (in, p, HTTP_OK);
      return;
    }
  entry = job_cache_find (in->job_cache, p->job_id);
  intake_finish (in, p, entry && entry->cancelled ? HTTP_OK : HTTP_GONE);
}

/* Answers P, for which the store could not be reached, and frees it.  A write
   that was sent may still be executed: the answer is then 504, and 503 only if
   certainly nothing was written. */
static void
answer_store_failure (Intake *in, Pending *p)
{
  if (p->outcome_unknown)
    {
      in->counters[INTAKE_OUTCOME_UNKNOWN]++;
      intake_log_outcome (in, p, "request_refused", HTTP_GATEWAY_TIMEOUT);
      intake_refuse (in, p->request_id, HTTP_GATEWAY_TIMEOUT,
                     "the store did not answer");
    }
  else
    {
      intake_log_outcome (in, p, "request_refused", HTTP_UNAVAILABLE);
      intake_refuse_temporarily (in, p->request_id,
                                 time_budget_retry_after (&p->budget, TRUE),
                                 "the store is not reached");
    }
  intake_pending_free (in, p);
}

/* Answers P from the job cache, which may be out of date, if P asks for the
   state of a job that the job cache has; else returns FALSE. */
static gboolean
answer_from_job_cache (Intake *in, Pending *p)
{
  const JobEntry *entry = job_cache_find (in->job_cache, p->job_id);

  if (p->stage != STAGE_READ || p->op != REQUEST_STATE || !entry || !entry->job)
    return FALSE;
  intake_continue (in, p, entry);
  return TRUE;
}

/* Tells whether the caller of P, whose call has failed with STATUS, should try
   another host: the store has answered no call of this host since P's call
   began, and P has been tried here for long enough. */
static gboolean
should_try_other_host (const Intake *in, const Pending *p, KvStatus status)
{
  ClockMs span = time_budget_outage_wait (&p->budget, status == KV_REFUSED);

  return in->store_health->last_success < p->call_started_at &&
         in->now - p->received_at >= span;
}

static void
on_failure (Intake *in, Pending *p, KvStatus status)
{
  if (answer_from_job_cache (in, p))
    return;
  if (status == KV_OUTCOME_UNKNOWN && p->stage != STAGE_READ)
    p->outcome_unknown = TRUE;
  if (in->now + RETRY_DELAY_MS >= p->answer_deadline ||
      should_try_other_host (in, p, status))
    answer_store_failure (in, p);
  else
    p->next_attempt_at = in->now + RETRY_DELAY_MS;
}

static void
on_success (Intake *in, Pending *p, const KvReply *reply)
{
  if (p->stage == STAGE_WRITE)
    on_written (in, p, reply->revision);
  else if (p->stage == STAGE_READ && !kv_reply_is_list (reply))
    on_failure (in, p, KV_OUTCOME_UNKNOWN);
  else if (p->stage == STAGE_READ)
    on_read (in, p, reply);
  else
    on_cancelled (in, p, reply->revision);
}

/* Handles REPLY if it belongs to one of IN's calls, else returns FALSE. */
gboolean
intake_on_kv_reply (Intake *in, const KvReply *reply)
{
  Pending *p = find_pending (in, reply->id);

  if (!p)
    return FALSE;
  p->call_id = 0;
  switch (reply->status)
    {
    case KV_OK:
      on_success (in, p, reply);
      break;
    case KV_CONFLICT:
      on_conflict (in, p, reply);
      break;
    case KV_MISSING:
      intake_finish (in, p, HTTP_GONE);
      break;
    default:
      on_failure (in, p, reply->status);
    }
  return TRUE;
}

/* Repeats failed calls that are due, and answers requests whose deadline has
   passed. */
void
intake_tick (Intake *in)
{
  Pending *p, *next;

  APR_RING_FOREACH_SAFE (p, next, &in->pending, Pending, link)
    {
      if (p->next_attempt_at > in->now)
        continue;
      if (in->now >= p->answer_deadline)
        answer_store_failure (in, p);
      else
        intake_start_call (in, p);
    }
}

/* Answers all pending requests, as the process is about to end.  A write in
   flight may have been executed, or still be. */
void
intake_stop (Intake *in)
{
  Pending *p, *next;

  APR_RING_FOREACH_SAFE (p, next, &in->pending, Pending, link)
    {
      if (answer_from_job_cache (in, p))
        continue;
      if (p->call_id && p->stage != STAGE_READ)
        p->outcome_unknown = TRUE;
      answer_store_failure (in, p);
    }
}
