#include "waiting.h"

#include "dispatch_state.h"

enum
{
  /* Requirement: a count given to a caller is at most 2 s old. */
  PUBLISH_INTERVAL_MS = 1000,
  FULL_LINK_PUBLISH_INTERVAL_MS = 1500, /* while the link is full */
  WRITE_TIMEOUT_MS = 900
};

const char waiting_key[] = "wagtailpass/scheduler/waiting";

/* Initializes W with no waiting jobs. */
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

/* Replaces W's counts by the published ones in ITEM, or clears them if ITEM was
   deleted.  If ITEM can't be decoded, also clears them and returns FALSE. */
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

/* Returns how many jobs of ROUTE are waiting. */
guint
waiting_count (const Waiting *w, const char *route)
{
  const guint *jobs = g_hash_table_lookup (w->counts, route);

  return jobs ? *jobs : 0;
}

/* Returns the current counts in encoded form, sorted by route. */
static GBytes *
pack_counts (const Dispatch *d)
{
  WaitingCounts *counts = rec_new (waiting_counts_desc ());
  GHashTable *by_route = job_cache_count_waiting (d->job_cache);
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

/* Writes the counts to the store when they have changed and the interval has
   passed. */
void
waiting_tick (Dispatch *d)
{
  WaitingSave *s = &d->waiting;
  GBytes *value;
  KvCall *call;

  if (s->call_id || s->next_at > d->now)
    return;
  s->next_at =
      d->now + link_interval (&d->fx->link, d->now, PUBLISH_INTERVAL_MS,
                              FULL_LINK_PUBLISH_INTERVAL_MS);
  value = pack_counts (d);
  if (s->stored && g_bytes_equal (value, s->stored))
    {
      g_bytes_unref (value);
      return;
    }
  call = kv_call_new (KV_TXN, NULL);
  kv_call_add_precondition (call, scheduler_role_key, d->term.role_revision);
  kv_call_add_precondition (call, waiting_key, s->revision);
  kv_call_add_write (call, waiting_key, value, 0);
  call->id = effects_next_id (d->fx);
  call->timeout = WRITE_TIMEOUT_MS;
  s->call_id = call->id;
  s->in_flight = value;
  effects_kv (d->fx, call);
}

/* Handles REPLY if it answers the write in flight; returns whether it does.
   After a failed write, the then current counts are written. */
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
      s->stored = g_bytes_ref (s->in_flight);
    }
  else if (item)
    {
      s->revision = item->revision;
      s->next_at = d->now;
    }
  g_clear_pointer (&s->in_flight, g_bytes_unref);
  return TRUE;
}

/* Returns when waiting_tick must be called next. */
ClockMs
waiting_next (const Dispatch *d)
{
  return d->waiting.call_id ? CLOCK_NEVER : d->waiting.next_at;
}

/* Releases the state of the write in D. */
void
waiting_clear_save (Dispatch *d)
{
  g_clear_pointer (&d->waiting.stored, g_bytes_unref);
  g_clear_pointer (&d->waiting.in_flight, g_bytes_unref);
}
