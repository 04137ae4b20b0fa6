#include "feed.h"

enum
{
  WATCH_WAIT_MS = 900,     /* bounds the age of what is known */
  WATCH_TIMEOUT_MS = 1500, /* a connection that hears nothing is given up */
  LIST_TIMEOUT_MS = 800,
  FULL_PACE_MS = 80, /* between watches while the link is full */
  MOST_DOUBLINGS = 3,
  RETRY_LEAST_MS = 60,
  RETRY_MOST_MS = 480
};

/* Prepares F: a mirror of PREFIX whose changes ON_ITEM is told of, with at
   least PACE milliseconds between two watches. */
void
feed_init (Feed *f,
           const char *prefix,
           FeedItem on_item,
           void *owner,
           ClockMs pace)
{
  *f = (Feed) { .prefix = g_strdup (prefix),
                .on_item = on_item,
                .owner = owner,
                .pace = pace,
                .listing = TRUE,
                .fresh = -CLOCK_NEVER };
  f->revisions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Releases what F holds. */
void
feed_clear (Feed *f)
{
  g_clear_pointer (&f->prefix, g_free);
  g_clear_pointer (&f->page_after, g_free);
  g_clear_pointer (&f->revisions, g_hash_table_unref);
  g_clear_pointer (&f->listed, g_hash_table_unref);
}

/* Begins a new listing; the answer to a call under way is ignored. */
void
feed_restart (Feed *f)
{
  f->listing = TRUE;
  f->complete = FALSE;
  f->call_id = 0;
  f->next = 0;
  g_clear_pointer (&f->page_after, g_free);
  g_clear_pointer (&f->listed, g_hash_table_unref);
}

/* Forgets what F knows, as if it had never listed anything. */
void
feed_forget (Feed *f)
{
  feed_restart (f);
  f->fresh = -CLOCK_NEVER;
  g_hash_table_remove_all (f->revisions);
}

static gint64
known_revision (const Feed *f, const char *key)
{
  const gint64 *known = g_hash_table_lookup (f->revisions, key);

  return known ? *known : 0;
}

/* Takes ITEM over unless something as new is known.  Owners read on behind the
   prefix: an item with another key is left out, and FX told. */
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

  call->after_key = g_strdup (f->page_after);
  /* A page takes its time on a thin link; what it takes is not known. */
  call->timeout = LIST_TIMEOUT_MS << MIN (f->failures, (guint)MOST_DOUBLINGS);
  if (!f->page_after)
    {
      g_clear_pointer (&f->listed, g_hash_table_unref);
      f->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  return call;
}

/* After a failure what is known is confirmed at once, without a wait for
   changes. */
static KvCall *
watch_call (Feed *f)
{
  KvCall *call = kv_call_new (KV_WATCH, f->prefix);

  call->after = f->revision;
  call->wait = f->failures ? 0 : WATCH_WAIT_MS;
  call->timeout = WATCH_TIMEOUT_MS;
  return call;
}

/* Asks FX for F's next call when its time has come. */
void
feed_poll (Feed *f, ClockMs now, Effects *fx)
{
  KvCall *call;

  if (f->call_id || f->next > now)
    return;
  call = f->listing ? list_call (f) : watch_call (f);
  call->id = effects_next_id (fx);
  f->call_id = call->id;
  effects_kv (fx, call);
  f->next = now + link_interval (&fx->link, now, f->pace,
                                 MAX (f->pace, FULL_PACE_MS));
}

static void
apply_all (Feed *f, const KvReply *reply, Effects *fx)
{
  guint i;

  for (i = 0; reply->items && i < reply->items->len; i++)
    feed_apply (f, g_ptr_array_index (reply->items, i), fx);
}

/* Reports the keys that the finished listing lacks as deleted.  Those that
   changed after it began are left to the watch. */
static void
drop_unlisted (Feed *f)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter i;
  gpointer key, revision;
  guint k;

  g_hash_table_iter_init (&i, f->revisions);
  while (g_hash_table_iter_next (&i, &key, &revision))
    if (!g_hash_table_contains (f->listed, key) &&
        *(gint64 *)revision <= f->list_revision)
      g_ptr_array_add (gone, g_strdup (key));
  for (k = 0; k < gone->len; k++)
    {
      KvItem item = { .key = g_ptr_array_index (gone, k),
                      .revision = f->list_revision,
                      .deleted = TRUE };

      g_hash_table_remove (f->revisions, item.key);
      f->on_item (f->owner, &item);
    }
  g_ptr_array_unref (gone);
}

static void
on_page (Feed *f, const KvReply *reply, Effects *fx)
{
  guint i;

  if (!f->page_after)
    f->list_revision = reply->revision;
  for (i = 0; reply->items && i < reply->items->len; i++)
    {
      const KvItem *item = g_ptr_array_index (reply->items, i);

      g_hash_table_add (f->listed, g_strdup (item->key));
      g_free (f->page_after);
      f->page_after = g_strdup (item->key);
    }
  apply_all (f, reply, fx);
  f->next = 0;
  if (reply->more && f->page_after)
    return;
  drop_unlisted (f);
  g_clear_pointer (&f->listed, g_hash_table_unref);
  g_clear_pointer (&f->page_after, g_free);
  f->revision = f->list_revision;
  f->listing = FALSE;
  f->complete = TRUE;
  f->fresh = reply->sent;
}

static void
on_failure (Feed *f, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (f->failures == 0)
    effects_log (fx,
                 "event=feed_lost prefix=%s status=%s age_ms=%" CLOCK_MS_FORMAT,
                 f->prefix, kv_status_name (reply->status), feed_age (f, now));
  ClockMs wait = RETRY_LEAST_MS << MIN (f->failures, (guint)MOST_DOUBLINGS);

  f->failures++;
  f->next = now + MIN (wait, (ClockMs)RETRY_MOST_MS);
}

static void
on_changes (Feed *f, const KvReply *reply, Effects *fx)
{
  apply_all (f, reply, fx);
  f->revision = MAX (f->revision, reply->revision);
  f->fresh = MAX (f->fresh, reply->sent);
}

/* Takes REPLY if it answers F's call, and tells FX when answers begin or
   cease to fail; returns whether it did. */
gboolean
feed_on_reply (Feed *f, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (!f->call_id || reply->id != f->call_id)
    return FALSE;
  f->call_id = 0;
  if (reply->status == KV_COMPACTED)
    feed_restart (f);
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

/* Returns when feed_poll has a call again. */
ClockMs
feed_next_deadline (const Feed *f)
{
  return f->call_id ? CLOCK_NEVER : f->next;
}

/* Returns how old what F knows is at most. */
ClockMs
feed_age (const Feed *f, ClockMs now)
{
  if (!f->complete && f->fresh < 0)
    return CLOCK_NEVER;
  return now - f->fresh;
}
