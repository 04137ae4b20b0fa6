#include "dispatch_state.h"

#include <string.h>

/* The roster in the store names every worker on which this scheduler may
   have started something.  A worker is used only once it is recorded. */

enum
{
  PACE_MS = 100, /* workers that join together share a call */
  TIMEOUT_MS = 900,
  RETRY_MS = 200
};

const char roster_prefix[] = "wagtailpass-roster/";

/* Returns the key of SHARD; the caller frees it. */
char *
roster_key (guint shard)
{
  return g_strdup_printf ("%s%02u", roster_prefix, shard);
}

/* Returns the shard that WORKER, an id, is recorded in. */
guint
roster_shard_of (const char *worker)
{
  return g_str_hash (worker) % ROSTER_SHARDS;
}

static gboolean
shard_of_key (const char *key, guint *shard)
{
  guint64 n;

  if (!g_str_has_prefix (key, roster_prefix) ||
      !g_ascii_string_to_unsigned (key + strlen (roster_prefix), 10, 0,
                                   ROSTER_SHARDS - 1, &n, NULL))
    return FALSE;
  *shard = (guint)n;
  return TRUE;
}

/* Takes over ITEM, from under roster_prefix, into R.  Returns FALSE when it
   can't be read. */
gboolean
roster_records_apply (RosterRecords *r, const KvItem *item)
{
  RosterShard *s;
  guint shard;

  if (!shard_of_key (item->key, &shard))
    return FALSE;
  s = &r->shards[shard];
  if (s->workers)
    rec_free (roster_desc (), s->workers);
  s->workers = item->deleted ? NULL : spec_unpack (roster_desc (), item->value);
  s->revision = item->deleted ? 0 : item->revision;
  return item->deleted || s->workers;
}

/* Releases what R holds. */
void
roster_records_clear (RosterRecords *r)
{
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (r->shards[i].workers)
      rec_free (roster_desc (), r->shards[i].workers);
  *r = (RosterRecords) { 0 };
}

static void
take_former (Dispatch *d, const RosterWorker *former)
{
  PoolEntry *entry = pool_entry_new (former->id);

  entry->address = g_strdup (former->address);
  entry->service = g_strdup ("");
  entry->draining = former->draining != 0;
  dispatch_on_worker (d, entry);
  pool_find (&d->pool, former->id)->registered = FALSE;
}

/* Takes the workers of a former holder of the role over, so that their runs
   are asked for, or waited out. */
void
roster_start (Dispatch *d, const RosterRecords *records)
{
  RosterSave *s = &d->roster;
  guint i, k;

  s->ids = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      const Roster *roster = records->shards[i].workers;

      s->revisions[i] = records->shards[i].revision;
      s->changed[i] = TRUE;
      for (k = 0; roster && k < roster->workers.n; k++)
        take_former (d,
                     rec_list_at (roster_worker_desc (), &roster->workers, k));
    }
}

/* Has the record that WORKER, an id, is in written again. */
void
roster_mark (Dispatch *d, const char *worker)
{
  d->roster.changed[roster_shard_of (worker)] = TRUE;
}

static gboolean
is_changed (const RosterSave *s)
{
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (s->changed[i])
      return TRUE;
  return FALSE;
}

static GBytes *
pack_shard (Dispatch *d, guint shard)
{
  Roster *roster = rec_new (roster_desc ());
  GBytes *packed;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);
      RosterWorker *r;

      if (roster_shard_of (w->entry->id) != shard)
        continue;
      r = rec_list_add (roster_worker_desc (), &roster->workers);
      rec_set_str (&r->id, w->entry->id);
      rec_set_str (&r->address, w->entry->address);
      r->draining = w->entry->draining;
      g_ptr_array_add (d->roster.ids, g_strdup (w->entry->id));
    }
  packed = rec_pack (roster_desc (), roster);
  rec_free (roster_desc (), roster);
  return packed;
}

static void
add_shard (Dispatch *d, KvCall *call, guint shard)
{
  char *key = roster_key (shard);
  GBytes *value = pack_shard (d, shard);

  kv_call_cond (call, key, d->roster.revisions[shard]);
  kv_call_write (call, key, value, 0);
  g_bytes_unref (value);
  g_free (key);
}

/* Stores the shards that have changed. */
void
roster_tick (Dispatch *d)
{
  RosterSave *s = &d->roster;
  KvCall *call;
  guint i;

  if (s->call_id || s->next > d->now || !is_changed (s))
    return;
  s->next = d->now + PACE_MS;
  g_ptr_array_set_size (s->ids, 0);
  call = kv_call_new (KV_TXN, NULL);
  kv_call_cond (call, book_role_key, d->term.role_revision);
  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      s->writing[i] = s->changed[i];
      s->changed[i] = FALSE;
      if (s->writing[i])
        add_shard (d, call, i);
    }
  call->id = effects_next_id (d->fx);
  call->timeout = TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

static void
on_stored (Dispatch *d, gint64 revision)
{
  RosterSave *s = &d->roster;
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (s->writing[i])
      s->revisions[i] = revision;
  for (i = 0; i < s->ids->len; i++)
    {
      PoolWorker *w = pool_find (&d->pool, g_ptr_array_index (s->ids, i));

      if (w)
        w->in_roster = TRUE;
    }
  d->replan = TRUE;
}

/* A write whose answer was lost may have been executed: the store's
   revisions are taken, and everything is written again. */
static void
on_not_stored (Dispatch *d, const KvReply *reply)
{
  RosterSave *s = &d->roster;
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      char *key = roster_key (i);
      const KvItem *item = kv_reply_find (reply, key);

      if (item)
        s->revisions[i] = item->revision;
      s->changed[i] = s->changed[i] || s->writing[i];
      g_free (key);
    }
  s->next = d->now + RETRY_MS;
}

/* Takes REPLY if it answers the write under way; returns whether it did. */
gboolean
roster_on_reply (Dispatch *d, const KvReply *reply)
{
  RosterSave *s = &d->roster;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  if (reply->status == KV_OK)
    on_stored (d, reply->revision);
  else
    on_not_stored (d, reply);
  return TRUE;
}

/* Returns when roster_tick has something to do. */
ClockMs
roster_next (const Dispatch *d)
{
  const RosterSave *s = &d->roster;

  return !s->call_id && is_changed (s) ? s->next : CLOCK_NEVER;
}
