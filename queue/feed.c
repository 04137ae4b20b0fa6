#include "feed.h"

enum
{
  WATCH_WAIT_MS = 900, /* bounds feed_age while nothing changes */
  /* Beyond its wait, after which a watch's connection counts as dead. */
  WATCH_ANSWER_MS = 600,
  LIST_TIMEOUT_MS = 800,
  FULL_LINK_WATCH_INTERVAL_MS = 80, /* while the link is full */
  MAX_DOUBLINGS = 3,
  MIN_RETRY_DELAY_MS = 60,
  MAX_RETRY_DELAY_MS = 480
};

/* Initializes F to follow the keys under PREFIX.  Calls ON_ITEM with OWNER for
   each change; watches start at least MIN_WATCH_INTERVAL milliseconds apart. */
void
feed_init (Feed *f,
           const char *prefix,
           FeedItemFunc on_item,
           void *owner,
           ClockMs min_watch_interval)
{
  *f = (Feed) { .prefix = g_strdup (prefix),
                .on_item = on_item,
                .owner = owner,
                .min_watch_interval = min_watch_interval,
                .max_wait = WATCH_WAIT_MS,
                .listing = TRUE,
                .current_as_of = -CLOCK_NEVER };
  f->revisions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Has F's watches wait for at most MAX_WAIT milliseconds. */
void
feed_limit_wait (Feed *f, ClockMs max_wait)
{
  f->max_wait = MIN (f->max_wait, max_wait);
}

/* Frees the members of F. */
void
feed_clear (Feed *f)
{
  g_clear_pointer (&f->prefix, g_free);
  g_clear_pointer (&f->page_after_key, g_free);
  g_clear_pointer (&f->revisions, g_hash_table_unref);
  g_clear_pointer (&f->listed_keys, g_hash_table_unref);
}

/* Starts a new listing at the next feed_poll; the reply to a call in flight
   is ignored.  Known revisions are kept, so unchanged items are not reported
   again. */
void
feed_relist (Feed *f)
{
  f->listing = TRUE;
  f->list_complete = FALSE;
  f->call_id = 0;
  f->next_call_at = 0;
  g_clear_pointer (&f->page_after_key, g_free);
  g_clear_pointer (&f->listed_keys, g_hash_table_unref);
}

/* Like feed_relist, but also forgets the known revisions, so the new listing
   reports every item again. */
void
feed_reset (Feed *f)
{
  feed_relist (f);
  f->current_as_of = -CLOCK_NEVER;
  g_hash_table_remove_all (f->revisions);
}

static gint64
known_revision (const Feed *f, const char *key)
{
  const gint64 *known = g_hash_table_lookup (f->revisions, key);

  return known ? *known : 0;
}

/* Passes ITEM to the owner unless the same or a newer revision is known.
   Owners skip the prefix of the key without checking it, so a key that lacks
   the prefix is ignored and logged to FX. */
void
feed_apply (Feed *f, const KvItem *item, Effects *fx)
{
  if (!g_str_has_prefix (item->key, f->prefix))
    {
      effects_log (fx, "event=key_ignored prefix=%s revision=%" G_GINT64_FORMAT,
                   f->prefix, item->revision);
      return;
    }
  if (known_revision (f, item->key) >= item->revision)
    return;
  if (item->deleted)
    g_hash_table_remove (f->revisions, item->key);
  else
    g_hash_table_insert (f->revisions, g_strdup (item->key),
                         g_memdup2 (&item->revision, sizeof item->revision));
  f->on_item (f->owner, item);
}

static KvCall *
list_call (Feed *f)
{
  KvCall *call = kv_call_new (KV_RANGE, f->prefix);

  call->after_key = g_strdup (f->page_after_key);
  /* On a slow link a page may need longer than the time-out; how much longer
     is not known, so each failure doubles it. */
  call->timeout = LIST_TIMEOUT_MS << MIN (f->failures, (guint)MAX_DOUBLINGS);
  if (!f->page_after_key)
    {
      g_clear_pointer (&f->listed_keys, g_hash_table_unref);
      f->listed_keys =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  return call;
}

/* After a failure the watch asks for an immediate answer, so that known data
   is confirmed without waiting for a change. */
static KvCall *
watch_call (Feed *f)
{
  KvCall *call = kv_call_new (KV_WATCH, f->prefix);

  call->after_revision = f->revision;
  call->max_wait = f->failures ? 0 : f->max_wait;
  call->timeout = f->max_wait + WATCH_ANSWER_MS;
  return call;
}

/* Queues F's next listing or watch in FX if none is in flight and it is
   due. */
void
feed_poll (Feed *f, ClockMs now, Effects *fx)
{
  KvCall *call;

  if (f->call_id || f->next_call_at > now)
    return;
  call = f->listing ? list_call (f) : watch_call (f);
  call->id = effects_next_id (fx);
  f->call_id = call->id;
  effects_kv (fx, call);
  f->next_call_at = now + link_interval (&fx->link, now, f->min_watch_interval,
                                         MAX (f->min_watch_interval,
                                              FULL_LINK_WATCH_INTERVAL_MS));
}

static void
apply_items (Feed *f, const KvReply *reply, Effects *fx)
{
  guint i;

  for (i = 0; reply->items && i < reply->items->len; i++)
    feed_apply (f, g_ptr_array_index (reply->items, i), fx);
}

/* Reports known keys that are missing from the finished listing as deleted.
   Keys changed after the listing began may be missing from its pages; the
   watch reports those. */
static void
drop_unlisted (Feed *f)
{
  GPtrArray *deleted_keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter i;
  gpointer key, revision;
  guint k;

  g_hash_table_iter_init (&i, f->revisions);
  while (g_hash_table_iter_next (&i, &key, &revision))
    if (!g_hash_table_contains (f->listed_keys, key) &&
        *(gint64 *)revision <= f->list_revision)
      g_ptr_array_add (deleted_keys, g_strdup (key));
  for (k = 0; k < deleted_keys->len; k++)
    {
      KvItem item = { .key = g_ptr_array_index (deleted_keys, k),
                      .revision = f->list_revision,
                      .deleted = TRUE };

      g_hash_table_remove (f->revisions, item.key);
      f->on_item (f->owner, &item);
    }
  g_ptr_array_unref (deleted_keys);
}

static void
on_page (Feed *f, const KvReply *reply, Effects *fx)
{
  guint i;

  if (!f->page_after_key)
    {
      f->list_revision = reply->revision;
      f->list_started_at = reply->call_started_at;
    }
  for (i = 0; reply->items && i < reply->items->len; i++)
    {
      const KvItem *item = g_ptr_array_index (reply->items, i);

      g_hash_table_add (f->listed_keys, g_strdup (item->key));
      g_free (f->page_after_key);
      f->page_after_key = g_strdup (item->key);
    }
  apply_items (f, reply, fx);
  f->next_call_at = 0;
  if (reply->has_more && f->page_after_key)
    return;
  drop_unlisted (f);
  g_clear_pointer (&f->listed_keys, g_hash_table_unref);
  g_clear_pointer (&f->page_after_key, g_free);
  f->revision = f->list_revision;
  f->listing = FALSE;
  f->list_complete = TRUE;
  /* Keys of the first pages may have changed since. */
  f->current_as_of = MAX (f->current_as_of, f->list_started_at);
}

static void
on_failure (Feed *f, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (f->failures == 0)
    effects_log (fx,
                 "event=feed_lost prefix=%s status=%s age_ms=%" CLOCK_MS_FORMAT,
                 f->prefix, kv_status_name (reply->status), feed_age (f, now));
  ClockMs wait = MIN_RETRY_DELAY_MS << MIN (f->failures, (guint)MAX_DOUBLINGS);

  f->failures++;
  f->next_call_at = now + MIN (wait, (ClockMs)MAX_RETRY_DELAY_MS);
}

static void
on_changes (Feed *f, const KvReply *reply, Effects *fx)
{
  apply_items (f, reply, fx);
  f->revision = MAX (f->revision, reply->revision);
  f->current_as_of = MAX (f->current_as_of, reply->call_started_at);
}

/* Handles REPLY if it belongs to F's call in flight, else returns FALSE.  Logs
   to FX when calls start to fail and when they succeed again. */
gboolean
feed_on_reply (Feed *f, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (!f->call_id || reply->id != f->call_id)
    return FALSE;
  f->call_id = 0;
  if (reply->status == KV_COMPACTED)
    feed_relist (f);
  else if (!kv_reply_is_list (reply))
    on_failure (f, reply, now, fx);
  else
    {
      if (f->failures)
        effects_log (fx, "event=feed_back prefix=%s tries=%u", f->prefix,
                     f->failures);
      f->failures = 0;
      if (f->listing)
        on_page (f, reply, fx);
      else
        on_changes (f, reply, fx);
    }
  return TRUE;
}

/* Returns when feed_poll is due; CLOCK_NEVER while a call is in flight. */
ClockMs
feed_next_deadline (const Feed *f)
{
  return f->call_id ? CLOCK_NEVER : f->next_call_at;
}

/* Returns an upper bound on the age of F's data in milliseconds; CLOCK_NEVER
   before the first listing has finished. */
ClockMs
feed_age (const Feed *f, ClockMs now)
{
  if (!f->list_complete && f->current_as_of < 0)
    return CLOCK_NEVER;
  return now - f->current_as_of;
}
