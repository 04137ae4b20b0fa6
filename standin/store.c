#include "standin.h"

#include "store_event.h"

#include <stdlib.h>
#include <string.h>

/* The faults that POST /control sets; unnamed ones stay as they are. */
#define STORE_FAULT_FIELDS(INT, STR, BYTES, LIST)                              \
  INT (down, 0, 1)               /* closes every connection unanswered */      \
  INT (refuse, 0, 1)             /* answers 503 */                             \
  INT (hang, 0, 1)               /* takes calls and never answers */           \
  INT (delay_ms, 0, 600000)      /* before each answer */                      \
  INT (lose_answers, 0, 1000000) /* so many writes act unanswered */           \
  INT (save, 0, 1)               /* remember all keys */                       \
  INT (roll_back, 0, 1)          /* go back to what was saved */
REC_DECLARE (StoreFault, store_fault, STORE_FAULT_FIELDS)
REC_DEFINE (StoreFault, store_fault, STORE_FAULT_FIELDS)

/* The platform's list of hosts, as POST /hosts sets it. */
#define STORE_ROSTER_FIELDS(INT, STR, BYTES, LIST)                             \
  LIST (hosts, 0, 100000, store_host)
REC_DECLARE (StoreRoster, store_roster, STORE_ROSTER_FIELDS)
REC_DEFINE (StoreRoster, store_roster, STORE_ROSTER_FIELDS)

typedef struct Key
{
  gint64 revision;
  gint64 lease;
  GBytes *value;
} Key;

typedef struct Lease
{
  gint64 id;
  ClockMs span;
  ClockMs until;
} Lease;

/* A watch that waits. */
typedef struct Watch
{
  Exchange *x;
  StoreCall *call;
  ClockMs until;
} Watch;

typedef struct Kv
{
  GHashTable *keys;   /* name to Key */
  GHashTable *leases; /* id to Lease */
  GHashTable *saved;  /* keys at the last save */
  gint64 saved_revision;
  gint64 revision;
  gint64 last_lease;
  gint64 calls[N_STORE_OPS];
  GPtrArray *watches; /* of Watch */
  StoreRoster *roster;
  StoreFault fault;
} Kv;

static void
key_free (gpointer p)
{
  Key *k = p;

  if (k->value)
    g_bytes_unref (k->value);
  g_free (k);
}

static Key *
key_copy (const Key *k)
{
  Key *copy = g_new (Key, 1);

  *copy = *k;
  if (k->value)
    g_bytes_ref (k->value);
  return copy;
}

static GHashTable *
keys_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
}

static GHashTable *
keys_copy (GHashTable *keys)
{
  GHashTable *copy = keys_new ();
  GHashTableIter i;
  gpointer name;
  gpointer k;

  g_hash_table_iter_init (&i, keys);
  while (g_hash_table_iter_next (&i, &name, &k))
    g_hash_table_insert (copy, g_strdup (name), key_copy (k));
  return copy;
}

static void
add_item (StoreReply *r, const char *name, const Key *k)
{
  StoreItem *item = rec_list_add (store_item_desc (), &r->items);

  rec_set_str (&item->key, name);
  item->revision = k->revision;
  item->value = k->value ? g_bytes_ref (k->value) : NULL;
}

static gint64
revision_of (Kv *kv, const char *name)
{
  Key *k = g_hash_table_lookup (kv->keys, name);

  return k ? k->revision : 0;
}

/* Removes the leases that have ended, and their keys. */
static void
expire (Kv *kv, ClockMs now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, kv->leases);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (((Lease *)value)->until <= now)
      g_hash_table_iter_remove (&i);
  g_hash_table_iter_init (&i, kv->keys);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Key *k = value;

      if (!k->lease || g_hash_table_contains (kv->leases, &k->lease))
        continue;
      kv->revision++;
      g_hash_table_iter_remove (&i);
    }
}

static int
by_key (const void *a, const void *b)
{
  return strcmp (((const StoreItem *)a)->key, ((const StoreItem *)b)->key);
}

static void
list_keys (Kv *kv, const StoreCall *c, StoreReply *r)
{
  GHashTableIter i;
  gpointer name;
  gpointer k;

  g_hash_table_iter_init (&i, kv->keys);
  while (g_hash_table_iter_next (&i, &name, &k))
    if (g_str_has_prefix (name, c->key))
      add_item (r, name, k);
  if (r->items.n)
    qsort (r->items.items, r->items.n, sizeof (StoreItem), by_key);
}

static void
write_key (Kv *kv, const StoreCall *c, StoreReply *r)
{
  Key *k = g_hash_table_lookup (kv->keys, c->key);

  if (revision_of (kv, c->key) != c->expect)
    {
      r->status = STORE_CONFLICT;
      if (k)
        add_item (r, c->key, k);
    }
  else if (c->lease && !g_hash_table_contains (kv->leases, &c->lease))
    r->status = STORE_MISSING;
  else if (c->op == STORE_DELETE)
    {
      kv->revision++;
      g_hash_table_remove (kv->keys, c->key);
    }
  else
    {
      k = g_new (Key, 1);
      *k = (Key) { .revision = ++kv->revision,
                   .lease = c->lease,
                   .value = c->value ? g_bytes_ref (c->value) : NULL };
      g_hash_table_insert (kv->keys, g_strdup (c->key), k);
      add_item (r, c->key, k);
    }
}

static void
use_lease (Kv *kv, const StoreCall *c, StoreReply *r, ClockMs now)
{
  Lease *l = g_hash_table_lookup (kv->leases, &c->lease);

  if (c->op == STORE_GRANT)
    {
      l = g_new (Lease, 1);
      *l = (Lease) { .id = ++kv->last_lease, .span = c->lease_ms };
      g_hash_table_insert (kv->leases, &l->id, l);
    }
  if (!l)
    {
      r->status = STORE_MISSING;
      return;
    }
  l->until = now + l->span;
  r->lease = l->id;
}

static void
copy_roster (const Kv *kv, StoreReply *r)
{
  const StoreHost *lines = kv->roster->hosts.items;
  guint i;

  for (i = 0; i < kv->roster->hosts.n; i++)
    {
      StoreHost *h = rec_list_add (store_host_desc (), &r->hosts);

      rec_set_str (&h->name, lines[i].name);
      rec_set_str (&h->role, lines[i].role);
      rec_set_str (&h->state, lines[i].state);
    }
}

static void
apply (Kv *kv, const StoreCall *c, StoreReply *r)
{
  ClockMs now = server_now ();
  Key *k;

  expire (kv, now);
  k = g_hash_table_lookup (kv->keys, c->key);
  r->call = c->call;
  r->op = c->op;
  r->status = STORE_OK;
  if ((c->op == STORE_GET || c->op == STORE_WATCH) && k)
    add_item (r, c->key, k);
  else if (c->op == STORE_GET)
    r->status = STORE_MISSING;
  else if (c->op == STORE_LIST)
    list_keys (kv, c, r);
  else if (c->op == STORE_PUT || c->op == STORE_DELETE)
    write_key (kv, c, r);
  else if (c->op == STORE_GRANT || c->op == STORE_KEEP)
    use_lease (kv, c, r, now);
  else if (c->op == STORE_HOSTS)
    copy_roster (kv, r);
  r->revision = kv->revision;
}

static void
reply_call (Kv *kv, Exchange *x, const StoreCall *c)
{
  StoreReply *r = rec_new (store_reply_desc ());
  gboolean write = c->op == STORE_PUT || c->op == STORE_DELETE;

  apply (kv, c, r);
  if (write && kv->fault.lose_answers > 0)
    {
      kv->fault.lose_answers--;
      exchange_close (x);
    }
  else
    exchange_reply_record (x, kv->fault.delay_ms, store_reply_desc (), r);
  rec_free (store_reply_desc (), r);
}

static void
watch_free (gpointer p)
{
  Watch *w = p;

  rec_free (store_call_desc (), w->call);
  g_free (w);
}

/* Answers a watch that waited: with the key if it has changed by now. */
static void
end_watch (Kv *kv, Watch *w)
{
  StoreReply *r = rec_new (store_reply_desc ());

  r->call = w->call->call;
  r->op = STORE_WATCH;
  if (revision_of (kv, w->call->key) > w->call->expect)
    apply (kv, w->call, r);
  r->revision = kv->revision;
  exchange_reply_record (w->x, 0, store_reply_desc (), r);
  rec_free (store_reply_desc (), r);
  g_ptr_array_remove_fast (kv->watches, w);
}

static void
check_watches (Kv *kv)
{
  ClockMs now = server_now ();
  guint i = 0;

  while (i < kv->watches->len)
    {
      Watch *w = g_ptr_array_index (kv->watches, i);

      if (w->until <= now || revision_of (kv, w->call->key) > w->call->expect)
        end_watch (kv, w);
      else
        i++;
    }
}

static void
take_watch (Kv *kv, Exchange *x, StoreCall *c)
{
  Watch *w = g_new0 (Watch, 1);

  w->x = x;
  w->call = c;
  w->until = server_now () + c->timeout_ms;
  g_ptr_array_add (kv->watches, w);
  exchange_hang (x);
}

static void
take_call (Kv *kv, Exchange *x)
{
  StoreCall *c = rec_new (store_call_desc ());

  if (!exchange_record (x, store_call_desc (), c, REC_MISSING_KEEP))
    {
      rec_free (store_call_desc (), c);
      return;
    }
  kv->calls[c->op]++;
  if (kv->fault.down)
    exchange_close (x);
  else if (kv->fault.refuse)
    exchange_reply (x, 0, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, "", 0);
  else if (kv->fault.hang)
    exchange_hang (x);
  else if (c->op == STORE_WATCH && revision_of (kv, c->key) <= c->expect)
    take_watch (kv, x, g_steal_pointer (&c));
  else
    reply_call (kv, x, c);
  rec_free (store_call_desc (), c);
}

static void
take_control (Kv *kv, Exchange *x)
{
  if (!exchange_record (x, store_fault_desc (), &kv->fault, REC_MISSING_KEEP))
    return;
  if (kv->fault.save)
    {
      g_clear_pointer (&kv->saved, g_hash_table_unref);
      kv->saved = keys_copy (kv->keys);
      kv->saved_revision = kv->revision;
    }
  if (kv->fault.roll_back && kv->saved)
    {
      g_hash_table_unref (kv->keys);
      kv->keys = keys_copy (kv->saved);
      kv->revision = kv->saved_revision;
    }
  kv->fault.save = 0;
  kv->fault.roll_back = 0;
  exchange_reply_record (x, 0, store_fault_desc (), &kv->fault);
}

static void
take_roster (Kv *kv, Exchange *x)
{
  rec_clear (store_roster_desc (), kv->roster);
  if (exchange_record (x, store_roster_desc (), kv->roster, REC_MISSING_REFUSE))
    exchange_reply_record (x, 0, store_roster_desc (), kv->roster);
}

/* Shows how many calls of each kind came in. */
static void
show_calls (Kv *kv, Exchange *x)
{
#define STORE_OP_NAME(kind, name) name,
  static const char *const names[] = { STORE_OPS (STORE_OP_NAME) };
  GString *s = g_string_new ("");
  int i;

  for (i = 0; i < N_STORE_OPS; i++)
    g_string_append_printf (s, "%s %" G_GINT64_FORMAT "\n", names[i],
                            kv->calls[i]);
  exchange_reply (x, 0, MHD_HTTP_OK, NULL, s->str, s->len);
  g_string_free (s, TRUE);
}

static void
handle (Exchange *x, void *data)
{
  Kv *kv = data;

  if (strcmp (x->path, "/v1/call") == 0)
    take_call (kv, x);
  else if (strcmp (x->path, "/control") == 0)
    take_control (kv, x);
  else if (strcmp (x->path, "/hosts") == 0)
    take_roster (kv, x);
  else if (strcmp (x->path, "/calls") == 0)
    show_calls (kv, x);
  else
    exchange_reply (x, 0, MHD_HTTP_NOT_FOUND, NULL, "", 0);
  check_watches (kv);
}

/* Serves a key-value store in memory. */
int
standin_store (int argc, char **argv, GError **error)
{
  static const ClockMs step_ms = 20; /* between looks at waiting watches */
  StandinPlace place = { .port = 7100, .seconds = 3600 };
  const GOptionEntry entries[] = { { NULL } };
  Kv kv = { .keys = keys_new (),
            .leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             g_free),
            .watches = g_ptr_array_new_with_free_func (watch_free),
            .roster = rec_new (store_roster_desc ()) };
  Server *s = server_new ();
  ClockMs end;

  if (!standin_options ("Stands in for the platform's store.", entries, &place,
                        argc, argv, error) ||
      !standin_listen (s, &place, 0, handle, &kv, error))
    return 1;
  end = server_now () + (ClockMs)place.seconds * 1000;
  while (server_now () < end)
    {
      server_run (s, server_now () + step_ms);
      expire (&kv, server_now ());
      check_watches (&kv);
    }
  return 0;
}
