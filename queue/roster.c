#include "dispatch_state.h"

/* The roster in the store names every worker on which this scheduler may
   have started something.  A worker is used only once it is recorded. */

enum
{
  PACE_MS = 100, /* workers that join together share a call */
  TIMEOUT_MS = 900,
  RETRY_MS = 200
};

/* Takes the workers of a former holder of the role over, so that their runs
   are asked for, or waited out. */
void
roster_start (Dispatch *d)
{
  const Roster *roster = book_roster (d->book, &d->roster.revision);
  guint i;

  d->roster.ids = g_ptr_array_new_with_free_func (g_free);
  d->roster.changed = TRUE;
  for (i = 0; roster && i < roster->workers.n; i++)
    {
      const RosterWorker *former =
          rec_list_at (roster_worker_desc (), &roster->workers, i);
      PoolEntry *entry = pool_entry_new (former->id);

      entry->address = g_strdup (former->address);
      entry->service = g_strdup ("");
      entry->draining = former->draining != 0;
      dispatch_on_worker (d, entry);
      pool_find (&d->pool, former->id)->listed = FALSE;
    }
}

static GBytes *
pack_roster (Dispatch *d)
{
  Roster *roster = rec_new (roster_desc ());
  GBytes *packed;
  guint i;

  g_ptr_array_set_size (d->roster.ids, 0);
  for (i = 0; i < d->pool.order->len; i++)
    {
      const PoolWorker *w = g_ptr_array_index (d->pool.order, i);
      RosterWorker *r = rec_list_add (roster_worker_desc (), &roster->workers);

      rec_set_str (&r->id, w->entry->id);
      rec_set_str (&r->address, w->entry->address);
      r->draining = w->entry->draining;
      g_ptr_array_add (d->roster.ids, g_strdup (w->entry->id));
    }
  packed = rec_pack (roster_desc (), roster);
  rec_free (roster_desc (), roster);
  return packed;
}

/* Stores the roster when it has changed. */
void
roster_tick (Dispatch *d)
{
  RosterSave *s = &d->roster;
  KvCall *call;
  GBytes *value;

  if (s->call_id || !s->changed || s->next > d->now)
    return;
  s->changed = FALSE;
  s->next = d->now + PACE_MS;
  value = pack_roster (d);
  call = kv_call_new (KV_TXN, NULL);
  kv_call_cond (call, book_role_key, d->term.role_revision);
  kv_call_cond (call, book_roster_key, s->revision);
  kv_call_write (call, book_roster_key, value, 0);
  g_bytes_unref (value);
  call->id = effects_next_id (d->fx);
  call->timeout = TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

static void
on_stored (Dispatch *d, gint64 revision)
{
  guint i;

  d->roster.revision = revision;
  for (i = 0; i < d->roster.ids->len; i++)
    {
      PoolWorker *w =
          pool_find (&d->pool, g_ptr_array_index (d->roster.ids, i));

      if (w)
        w->recorded = TRUE;
    }
  d->replan = TRUE;
}

/* Takes REPLY if it answers the write under way; returns whether it did. */
gboolean
roster_on_reply (Dispatch *d, const KvReply *reply)
{
  RosterSave *s = &d->roster;
  const KvItem *item;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  if (reply->status == KV_OK)
    {
      on_stored (d, reply->revision);
      return TRUE;
    }
  item = kv_reply_find (reply, book_roster_key);
  if (item)
    s->revision = item->revision;
  s->changed = TRUE;
  s->next = d->now + RETRY_MS;
  return TRUE;
}

/* Returns when roster_tick has something to do. */
ClockMs
roster_next (const Dispatch *d)
{
  return d->roster.changed && !d->roster.call_id ? d->roster.next : CLOCK_NEVER;
}
