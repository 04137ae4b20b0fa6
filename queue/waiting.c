#include "waiting.h"

#include "dispatch_state.h"

enum
{
  PACE_MS = 1000, /* callers may be told a number that is 2 s old */
  FULL_PACE_MS = 1500,
  TIMEOUT_MS = 900
};

const char waiting_key[] = "wagtailpass/scheduler/waiting";

/* Prepares W, with nothing waiting. */
void
waiting_init (Waiting *w)
{
  w->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Releases what W holds. */
void
waiting_clear (Waiting *w)
{
  g_clear_pointer (&w->counts, g_hash_table_unref);
}

/* Takes over ITEM, the published numbers.  Returns FALSE when it can't be
   read. */
gboolean
waiting_apply (Waiting *w, const KvItem *item)
{
  WaitingCounts *published =
      item->deleted ? NULL : spec_unpack (waiting_counts_desc (), item->value);
  guint i;

  g_hash_table_remove_all (w->counts);
  if (!published)
    return item->deleted;
  for (i = 0; i < published->routes.n; i++)
    {
      const WaitingRoute *r =
          rec_list_at (waiting_route_desc (), &published->routes, i);

      guint jobs = (guint)r->jobs;

      g_hash_table_insert (w->counts, g_strdup (r->route),
                           g_memdup2 (&jobs, sizeof jobs));
    }
  rec_free (waiting_counts_desc (), published);
  return TRUE;
}

/* Returns how many jobs of ROUTE wait. */
guint
waiting_of (const Waiting *w, const char *route)
{
  const guint *jobs = g_hash_table_lookup (w->counts, route);

  return jobs ? *jobs : 0;
}

static GBytes *
pack (const Dispatch *d)
{
  WaitingCounts *counts = rec_new (waiting_counts_desc ());
  GHashTable *by_route = book_count_waiting (d->book);
  GList *routes =
      g_list_sort (g_hash_table_get_keys (by_route), (GCompareFunc)g_strcmp0);
  GBytes *packed;
  GList *l;

  for (l = routes; l; l = l->next)
    {
      WaitingRoute *r = rec_list_add (waiting_route_desc (), &counts->routes);

      rec_set_str (&r->route, l->data);
      r->jobs = *(guint *)g_hash_table_lookup (by_route, l->data);
    }
  packed = rec_pack (waiting_counts_desc (), counts);
  g_list_free (routes);
  g_hash_table_unref (by_route);
  rec_free (waiting_counts_desc (), counts);
  return packed;
}

/* Publishes the numbers when they have changed. */
void
waiting_tick (Dispatch *d)
{
  WaitingSave *s = &d->waiting;
  GBytes *value;
  KvCall *call;

  if (s->call_id || s->next > d->now)
    return;
  s->next = d->now + link_pace (&d->fx->link, d->now, PACE_MS, FULL_PACE_MS);
  value = pack (d);
  if (s->stored && g_bytes_equal (value, s->stored))
    {
      g_bytes_unref (value);
      return;
    }
  call = kv_call_new (KV_TXN, NULL);
  kv_call_cond (call, book_role_key, d->term.role_revision);
  kv_call_cond (call, waiting_key, s->revision);
  kv_call_write (call, waiting_key, value, 0);
  call->id = effects_next_id (d->fx);
  call->timeout = TIMEOUT_MS;
  s->call_id = call->id;
  s->writing = value;
  effects_kv (d->fx, call);
}

/* Takes REPLY if it answers the write under way; returns whether it did.  A
   write that failed is made again with the next numbers. */
gboolean
waiting_on_reply (Dispatch *d, const KvReply *reply)
{
  WaitingSave *s = &d->waiting;
  const KvItem *item;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  g_clear_pointer (&s->stored, g_bytes_unref);
  item = kv_reply_find (reply, waiting_key);
  if (reply->status == KV_OK)
    {
      s->revision = reply->revision;
      s->stored = g_bytes_ref (s->writing);
    }
  else if (item)
    {
      s->revision = item->revision;
      s->next = d->now;
    }
  g_clear_pointer (&s->writing, g_bytes_unref);
  return TRUE;
}

/* Returns when waiting_tick has something to do. */
ClockMs
waiting_next (const Dispatch *d)
{
  return d->waiting.call_id ? CLOCK_NEVER : d->waiting.next;
}

/* Releases D's part of it. */
void
waiting_stop (Dispatch *d)
{
  g_clear_pointer (&d->waiting.stored, g_bytes_unref);
  g_clear_pointer (&d->waiting.writing, g_bytes_unref);
}
