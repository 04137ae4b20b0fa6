#include "dispatch_state.h"

#include <string.h>

/* The roster in the store lists every worker on which this scheduler may have
   started a run, so that the next leader can find those runs.  A worker gets
   its first run only after the roster that lists it has been stored. */

enum
{
  MIN_INTERVAL_MS = 100,
  JOIN_BATCH_MS = 10, /* workers that join at the same time share a write */
  CALL_TIMEOUT_MS = 900,
  RETRY_MS = 200
};

const char roster_prefix[] = "wagtailpass-roster/";

/* Returns the key of SHARD; the caller frees it. */
char *
roster_key (guint shard)
{
  return g_strdup_printf ("%s%02u", roster_prefix, shard);
}

/* Returns the index of the shard that lists the worker with id WORKER. */
guint
roster_shard_of (const char *worker)
{
  return g_str_hash (worker) % ROSTER_SHARDS;
}

static gboolean
parse_shard_key (const char *key, guint *shard)
{
  guint64 n;

  if (!g_str_has_prefix (key, roster_prefix) ||
      !g_ascii_string_to_unsigned (key + strlen (roster_prefix), 10, 0,
                                   ROSTER_SHARDS - 1, &n, NULL))
    return FALSE;
  *shard = (guint)n;
  return TRUE;
}

static gboolean
apply_pace (RosterRecords *r, const KvItem *item)
{
  if (r->pace)
    rec_free (pace_record_desc (), r->pace);
  r->pace =
      item->deleted ? NULL : spec_unpack (pace_record_desc (), item->value);
  r->pace_revision = item->deleted ? 0 : item->revision;
  return item->deleted || r->pace;
}

static gboolean
apply_given_leases (RosterRecords *r, const KvItem *item)
{
  if (r->given_leases)
    rec_free (given_leases_desc (), r->given_leases);
  r->given_leases =
      item->deleted ? NULL : spec_unpack (given_leases_desc (), item->value);
  return item->deleted || r->given_leases;
}

/* Applies ITEM, an item under roster_prefix, to R.  Returns FALSE if its key or
   value cannot be decoded. */
gboolean
roster_records_apply (RosterRecords *r, const KvItem *item)
{
  RosterShard *s;
  guint shard;

  if (strcmp (item->key, pace_key) == 0)
    return apply_pace (r, item);
  if (strcmp (item->key, former_key) == 0)
    return apply_given_leases (r, item);
  if (!parse_shard_key (item->key, &shard))
    return FALSE;
  s = &r->shards[shard];
  if (s->workers)
    rec_free (roster_desc (), s->workers);
  s->workers = item->deleted ? NULL : spec_unpack (roster_desc (), item->value);
  s->revision = item->deleted ? 0 : item->revision;
  return item->deleted || s->workers;
}

/* Frees the contents of R and makes it empty. */
void
roster_records_clear (RosterRecords *r)
{
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (r->shards[i].workers)
      rec_free (roster_desc (), r->shards[i].workers);
  if (r->pace)
    rec_free (pace_record_desc (), r->pace);
  if (r->given_leases)
    rec_free (given_leases_desc (), r->given_leases);
  *r = (RosterRecords) { 0 };
}

/* Adds a recorded worker to D's.  One that has no address, as older versions
   recorded it, was never reached and runs nothing. */
static void
adopt_listed_worker (Dispatch *d,
                     const RosterWorker *recorded_worker,
                     const RosterRecords *records)
{
  PoolEntry *entry;
  PoolWorker *w;

  if (!util_parse_address (recorded_worker->address, NULL, NULL))
    return;
  entry = pool_entry_new (recorded_worker->id);
  entry->address = g_strdup (recorded_worker->address);
  entry->service = g_strdup ("");
  entry->draining = recorded_worker->draining != 0;
  dispatch_on_worker (d, entry);
  w = pool_find (&d->pool, recorded_worker->id);
  w->registered = FALSE;
  w->recorded = TRUE;
  w->former_incarnation = recorded_worker->incarnation;
  w->heard_address = g_strdup (recorded_worker->address);
  former_load_worker (d, w, records);
}

/* Loads the workers that a previous leader recorded, so that D polls them for
   their runs, or waits until the leases of those runs have expired. */
void
roster_load (Dispatch *d, const RosterRecords *records)
{
  RosterSave *s = &d->roster;
  guint i, k;

  s->in_flight_ids = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      const Roster *roster = records->shards[i].workers;

      s->revisions[i] = records->shards[i].revision;
      s->dirty[i] = s->revisions[i] > 0;
      s->unreadable[i] = s->revisions[i] > 0 && !roster;
      for (k = 0; roster && k < roster->workers.n; k++)
        adopt_listed_worker (d,
                             rec_list_at (roster_worker_desc (),
                                          &roster->workers, k),
                             records);
    }
  late_load (d, records->given_leases);
}

/* Tells whether a former scheduler may have recorded the worker with id WORKER
   where it can't be read. */
gboolean
roster_may_name (const Dispatch *d, const char *worker)
{
  return d->roster.unreadable[roster_shard_of (worker)];
}

static gboolean
has_dirty_shard (const RosterSave *s)
{
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (s->dirty[i])
      return TRUE;
  return FALSE;
}

/* Notes whether W drains and has been emptied: no start, answered or not, is
   left there, and all ends that it listed are stored.  It gets no new starts,
   so a successor need not wait for it once it has left. */
static void
note_emptied (const Dispatch *d, PoolWorker *w)
{
  if (!w->entry->draining || !w->runs_known || w->n_placements > 0 ||
      w->late_starts->len > 0 || orphans_are_on (d, w))
    w->emptied = FALSE;
  else if (w->ends_applied <= w->ends_acked || save_is_durable (d, w))
    w->emptied = TRUE;
}

/* Tells whether runs may be on W: it has answered this scheduler, which may
   have used it since, or a former one may have used it. */
static gboolean
may_have_runs (const PoolWorker *w)
{
  return !w->emptied &&
         (w->worker_clock_at || (w->recorded && !w->lease_expired));
}

/* Marks the shard of the worker with id WORKER as needing a write. */
void
roster_mark_dirty (Dispatch *d, const char *worker)
{
  d->roster.dirty[roster_shard_of (worker)] = TRUE;
}

/* Marks W's shard as needing a write if W has to be added or taken out, or if
   it is in and what is recorded of its leases must change. */
void
roster_update_worker (Dispatch *d, PoolWorker *w)
{
  gboolean must_change;

  note_emptied (d, w);
  must_change = former_needs_write (d, w) && may_have_runs (w);
  if (!must_change && may_have_runs (w) == w->listed)
    return;
  w->listed = may_have_runs (w);
  if (!has_dirty_shard (&d->roster))
    d->roster.next_at = MAX (d->roster.next_at, d->now + JOIN_BATCH_MS);
  roster_mark_dirty (d, w->entry->id);
}

static GBytes *
encode_shard (Dispatch *d, guint shard)
{
  Roster *roster = rec_new (roster_desc ());
  GBytes *packed;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);
      RosterWorker *r;

      if (roster_shard_of (w->entry->id) != shard)
        continue;
      w->listed = may_have_runs (w);
      w->in_roster = w->in_roster && w->listed;
      if (!w->listed)
        continue;
      r = rec_list_add (roster_worker_desc (), &roster->workers);
      rec_set_str (&r->id, w->entry->id);
      rec_set_str (&r->address,
                   w->heard_address ? w->heard_address : w->entry->address);
      r->draining = w->entry->draining;
      former_on_write (d, w);
      r->incarnation = w->recorded_incarnation;
      if (!w->recorded_as_silent)
        g_ptr_array_add (d->roster.in_flight_ids, g_strdup (w->entry->id));
    }
  packed = rec_pack (roster_desc (), roster);
  rec_free (roster_desc (), roster);
  return packed;
}

static void
add_shard (Dispatch *d, KvCall *call, guint shard)
{
  char *key = roster_key (shard);
  GBytes *value = encode_shard (d, shard);

  kv_call_add_precondition (call, key, d->roster.revisions[shard]);
  kv_call_add_write (call, key, value, 0);
  g_bytes_unref (value);
  g_free (key);
}

static void
add_given_leases (Dispatch *d, KvCall *call)
{
  GBytes *value = former_record (d);

  /* A late write is refused by the conditions on the shards. */
  kv_call_add_write (call, former_key, value, 0);
  g_bytes_unref (value);
}

/* Writes the shards that have changed, and with them the given leases, unless a
   write is in flight. */
void
roster_tick (Dispatch *d)
{
  RosterSave *s = &d->roster;
  KvCall *call;
  guint i;

  former_mark_silent (d);
  if (s->call_id || s->next_at > d->now || !has_dirty_shard (s))
    return;
  s->next_at = d->now + MIN_INTERVAL_MS;
  g_ptr_array_set_size (s->in_flight_ids, 0);
  call = kv_call_new (KV_TXN, NULL);
  kv_call_add_precondition (call, scheduler_role_key, d->term.role_revision);
  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      s->in_flight[i] = s->dirty[i];
      s->dirty[i] = FALSE;
      if (s->in_flight[i])
        add_shard (d, call, i);
    }
  add_given_leases (d, call);
  call->id = effects_next_id (d->fx);
  call->timeout = CALL_TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

static void
on_stored (Dispatch *d, gint64 revision)
{
  RosterSave *s = &d->roster;
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    if (s->in_flight[i])
      s->revisions[i] = revision;
  for (i = 0; i < s->in_flight_ids->len; i++)
    {
      PoolWorker *w =
          pool_find (&d->pool, g_ptr_array_index (s->in_flight_ids, i));

      if (w)
        w->in_roster = TRUE;
    }
  former_on_stored (d);
  d->replan = TRUE;
}

/* A write whose reply was lost may have been executed.  Adopts the revisions
   that the reply contains and writes the same shards again. */
static void
on_write_failed (Dispatch *d, const KvReply *reply)
{
  RosterSave *s = &d->roster;
  guint i;

  for (i = 0; i < ROSTER_SHARDS; i++)
    {
      char *key = roster_key (i);
      const KvItem *item = kv_reply_find (reply, key);

      if (item)
        s->revisions[i] = item->revision;
      s->dirty[i] = s->dirty[i] || s->in_flight[i];
      g_free (key);
    }
  s->next_at = d->now + RETRY_MS;
}

/* Handles REPLY if it answers the write in flight.  Returns whether it does. */
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
    on_write_failed (d, reply);
  return TRUE;
}

/* Returns when roster_tick has to be called next. */
ClockMs
roster_next (const Dispatch *d)
{
  const RosterSave *s = &d->roster;

  if (s->call_id)
    return CLOCK_NEVER;
  return has_dirty_shard (s) ? s->next_at : former_next (d);
}
