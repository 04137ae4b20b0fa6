#include "fault.h"
#include "json.h"
#include "reply.h"
#include "runner.h"
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Stands in for the users' platform on loopback: the metadata store on PORT,
   a runner on each port after it.  Tasks take the time that their text
   names, "ms=N".  The operator's configuration is replaced by a POST to
   /standin/config on the store's port; a POST to /standin/evacuate/DOMAIN
   evacuates a failure domain, a DELETE returns it to service.  The store and
   each runner inject the faults that a POST to /standin/fault on their port
   asks for.
   XXX: leases of keys are kept, other leases are not. */

enum
{
  LOOK_MS = 10,
  RUNNERS_PER_RACK = 4,
  ENTRY_MS = 4500, /* three heartbeats of a runner */
  PAGE_ITEMS = 500,
  PAGE_BYTES = 1 << 20,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_GONE = 410,
  HTTP_PRECONDITION = 412
};

static const char evacuate_path[] = "/standin/evacuate/";

typedef struct Item
{
  char *key;
  char *value; /* as it came, base64 */
  gint64 revision;
  gint64 lease;
  gboolean deleted; /* kept for those that watch */
} Item;

typedef struct Lease
{
  gint64 id;
  ClockMs ttl;
  ClockMs until;
} Lease;

/* A watch that waits for something to happen. */
typedef struct Waiter
{
  Exchange *x;
  char *prefix;
  gint64 after;
  ClockMs until;
} Waiter;

typedef struct Platform
{
  Server *server;
  StandinPlace place;
  int n_runners;
  int advertised;   /* first port that runners are said to have; 0: their own */
  GPtrArray *items; /* of Item, by key */
  GPtrArray *leases;
  GPtrArray *waiters;
  Runner **runners;
  gint64 revision;
  gint64 oldest_history; /* a watch from before is gone */
  gint64 last_lease;
  Faults faults;
  gboolean faults_meet_reports; /* of runners, too */
  Timer look;
} Platform;

static const char *
query (const Exchange *x, const char *name)
{
  const char *value =
      MHD_lookup_connection_value (x->connection, MHD_GET_ARGUMENT_KIND, name);

  return value ? value : "";
}

/* The store. */

/* Returns where the first key that isn't before KEY stands. */
static guint
place_of (const Platform *p, const char *key)
{
  guint low = 0, high = p->items->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      const Item *item = g_ptr_array_index (p->items, middle);

      if (strcmp (item->key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static Item *
find_item (const Platform *p, const char *key)
{
  guint i = place_of (p, key);
  Item *item = i < p->items->len ? g_ptr_array_index (p->items, i) : NULL;

  return item && strcmp (item->key, key) == 0 ? item : NULL;
}

static gint64
revision_of (const Platform *p, const char *key)
{
  const Item *item = find_item (p, key);

  return item && !item->deleted ? item->revision : 0;
}

static void
put (Platform *p, const char *key, const char *value, gint64 lease)
{
  Item *item = find_item (p, key);

  if (!item)
    {
      item = g_new0 (Item, 1);
      item->key = g_strdup (key);
      g_ptr_array_insert (p->items, (gint)place_of (p, key), item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->deleted = value == NULL;
  item->lease = lease;
  item->revision = p->revision;
}

static void
put_text (Platform *p, const char *key, const char *text)
{
  char *value = g_base64_encode ((const guchar *)text, strlen (text));

  p->revision++;
  put (p, key, value, 0);
  g_free (value);
}

static json_object *
item_json (const Item *item)
{
  json_object *o = json_object_new_object ();

  json_put_string (o, "key", item->key);
  json_put_int (o, "revision", item->revision);
  if (item->deleted)
    json_object_object_add (o, "deleted", json_object_new_boolean (1));
  else
    {
      json_put_string (o, "value", item->value);
      json_put_int (o, "lease", item->lease);
    }
  return o;
}

/* Returns the items under PREFIX that changed after REVISION, and those that
   were deleted since. */
static json_object *
events_json (const Platform *p, const char *prefix, gint64 revision)
{
  json_object *list = json_object_new_array ();
  guint i;

  for (i = place_of (p, prefix); i < p->items->len; i++)
    {
      const Item *item = g_ptr_array_index (p->items, i);

      if (!g_str_has_prefix (item->key, prefix))
        break;
      if (item->revision > revision)
        json_object_array_add (list, item_json (item));
    }
  return list;
}

static void
handle_key (Platform *p, Exchange *x)
{
  const Item *item = find_item (p, query (x, "key"));
  json_object *o;

  if (!item || item->deleted)
    {
      standin_reply (x, HTTP_NOT_FOUND, json_object_new_object ());
      return;
    }
  o = item_json (item);
  json_put_int (o, "storeRevision", p->revision);
  standin_reply (x, HTTP_OK, o);
}

/* Adds to PAGE the items under PREFIX whose keys come after AFTER, as many as
   it holds.  Returns whether there are more. */
static gboolean
fill_page (const Platform *p,
           const char *prefix,
           const char *after,
           json_object *page)
{
  gsize bytes = 0;
  guint i = place_of (p, strcmp (after, prefix) > 0 ? after : prefix);

  for (; i < p->items->len; i++)
    {
      const Item *item = g_ptr_array_index (p->items, i);
      gsize n = json_object_array_length (page);

      if (!g_str_has_prefix (item->key, prefix))
        return FALSE;
      if (item->deleted || strcmp (item->key, after) <= 0)
        continue;
      bytes += strlen (item->value);
      if (n >= PAGE_ITEMS || (n > 0 && bytes > PAGE_BYTES))
        return TRUE;
      json_object_array_add (page, item_json (item));
    }
  return FALSE;
}

static void
handle_range (Platform *p, Exchange *x)
{
  json_object *o = json_object_new_object ();
  json_object *page = json_object_new_array ();
  gboolean more = fill_page (p, query (x, "prefix"), query (x, "after"), page);

  json_object_object_add (o, "items", page);
  json_object_object_add (o, "hasMore", json_object_new_boolean (more));
  json_put_int (o, "storeRevision", p->revision);
  standin_reply (x, HTTP_OK, o);
}

static void
handle_watch (Platform *p, Exchange *x)
{
  gint64 after = g_ascii_strtoll (query (x, "after"), NULL, 10);
  Waiter *w;

  if (after < p->oldest_history)
    {
      standin_reply (x, HTTP_GONE, json_object_new_object ());
      return;
    }
  w = g_new0 (Waiter, 1);
  w->x = x;
  w->prefix = g_strdup (query (x, "prefix"));
  w->after = after;
  w->until = server_now () + g_ascii_strtoll (query (x, "waitMs"), NULL, 10);
  exchange_hang (x);
  g_ptr_array_add (p->waiters, w);
}

static gboolean
conditions_hold (const Platform *p,
                 json_object *conds,
                 json_object *found,
                 Findings *f)
{
  gboolean hold = TRUE;
  gsize i;

  for (i = 0; conds && i < json_object_array_length (conds); i++)
    {
      json_object *cond = json_object_array_get_idx (conds, i);
      const char *key = json_string (cond, "key", "", f);
      const Item *item = find_item (p, key);
      gint64 now = revision_of (p, key);

      hold = hold && now == json_int (cond, "revision", 0, &json_range_id, f);
      if (now > 0)
        json_object_array_add (found, item_json (item));
    }
  return hold;
}

static void
apply_writes (Platform *p, json_object *o, Findings *f)
{
  json_object *writes = json_array (o, "writes", f);
  json_object *deletes = json_array (o, "deletes", f);
  gsize i;

  p->revision++;
  for (i = 0; writes && i < json_object_array_length (writes); i++)
    {
      json_object *w = json_object_array_get_idx (writes, i);

      put (p, json_string (w, "key", "", f), json_string (w, "value", "", f),
           json_int (w, "lease", 0, &json_range_id, f));
    }
  for (i = 0; deletes && i < json_object_array_length (deletes); i++)
    put (p, json_object_get_string (json_object_array_get_idx (deletes, i)),
         NULL, 0);
}

static void
handle_txn (Platform *p, Exchange *x, json_object *o, Findings *f)
{
  json_object *answer = json_object_new_object ();
  json_object *found = json_object_new_array ();

  if (!conditions_hold (p, json_array (o, "precondition", f), found, f))
    {
      json_object_object_add (answer, "items", found);
      standin_reply (x, HTTP_PRECONDITION, answer);
      return;
    }
  json_object_put (found);
  apply_writes (p, o, f);
  json_put_int (answer, "revision", p->revision);
  standin_reply (x, HTTP_OK, answer);
}

static Lease *
find_lease (const Platform *p, gint64 number)
{
  guint i;

  for (i = 0; i < p->leases->len; i++)
    if (((Lease *)g_ptr_array_index (p->leases, i))->id == number)
      return g_ptr_array_index (p->leases, i);
  return NULL;
}

static json_object *
lease_json (const Lease *lease)
{
  json_object *o = json_object_new_object ();

  json_put_int (o, "lease", lease->id);
  json_put_int (o, "ttlMs", lease->ttl);
  return o;
}

static Lease *
add_lease (Platform *p, ClockMs ttl)
{
  Lease *lease = g_new0 (Lease, 1);

  lease->id = ++p->last_lease;
  lease->ttl = ttl;
  lease->until = server_now () + ttl;
  g_ptr_array_add (p->leases, lease);
  return lease;
}

static void
handle_lease (Platform *p, Exchange *x, json_object *o, Findings *f)
{
  ClockMs ttl = json_int (o, "ttlMs", 0, &json_range_duration, f);

  standin_reply (x, HTTP_OK, lease_json (add_lease (p, ttl)));
}

/* Keeps what a runner says of itself, O, or removes its entry when that is
   NULL.  A heartbeat that says nothing new only keeps the entry. */
static void
handle_entry (Platform *p, Exchange *x, json_object *o)
{
  char *key = g_strdup_printf ("servers/%s", strrchr (x->path, '/') + 1);
  const char *text =
      o ? json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN) : "";
  char *value =
      o ? g_base64_encode ((const guchar *)text, strlen (text)) : NULL;
  const Item *item = find_item (p, key);
  Lease *lease = item ? find_lease (p, item->lease) : NULL;

  if (!lease && o)
    lease = add_lease (p, ENTRY_MS);
  if (lease)
    lease->until = server_now () + ENTRY_MS;
  if (!item || g_strcmp0 (item->value, value) != 0)
    {
      p->revision++;
      put (p, key, value, o ? lease->id : 0);
    }
  standin_reply (x, HTTP_OK, json_object_new_object ());
  g_free (value);
  g_free (key);
}

static void
handle_keep (Platform *p, Exchange *x, gboolean end)
{
  gint64 number = g_ascii_strtoll (strrchr (x->path, '/') + 1, NULL, 10);
  Lease *lease = find_lease (p, number);

  if (!lease)
    {
      standin_reply (x, HTTP_NOT_FOUND, json_object_new_object ());
      return;
    }
  lease->until = end ? 0 : server_now () + lease->ttl;
  standin_reply (x, HTTP_OK, lease_json (lease));
}

static void
drop_lease (Platform *p, const Lease *lease)
{
  guint i;

  p->revision++;
  for (i = 0; i < p->items->len; i++)
    {
      Item *item = g_ptr_array_index (p->items, i);

      if (!item->deleted && item->lease == lease->id)
        put (p, item->key, NULL, 0);
    }
}

static void
expire_leases (Platform *p)
{
  guint i = p->leases->len;

  while (i--)
    {
      Lease *lease = g_ptr_array_index (p->leases, i);

      if (lease->until > server_now ())
        continue;
      drop_lease (p, lease);
      g_ptr_array_remove_index (p->leases, i);
    }
}

static void
handle_post (Platform *p, Exchange *x)
{
  Findings f;
  json_object *o;

  findings_init (&f);
  o = standin_body (x, &f);
  if (!o)
    standin_reply (x, HTTP_BAD_REQUEST, json_object_new_object ());
  else if (strcmp (x->path, "/api/kv-txn") == 0)
    handle_txn (p, x, o, &f);
  else if (strcmp (x->path, "/api/kv-lease") == 0)
    handle_lease (p, x, o, &f);
  else if (g_str_has_prefix (x->path, "/api/kv-keep/"))
    handle_keep (p, x, FALSE);
  else if (g_str_has_prefix (x->path, "/standin/entry/"))
    handle_entry (p, x, o);
  else if (strcmp (x->path, "/standin/config") == 0)
    {
      put_text (p, "op/config",
                json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
      standin_reply (x, HTTP_OK, json_object_new_object ());
    }
  else
    standin_reply (x, HTTP_NOT_FOUND, json_object_new_object ());
  if (o)
    json_object_put (o);
  findings_clear (&f);
}

/* Takes a request about faults.  History is forgotten at once: what was
   deleted stays known to the watches that wait. */
static void
handle_fault (Platform *p, Exchange *x)
{
  static const char *const fields[] = { "reports", "forgetHistory", NULL };
  Findings f;
  json_object *o;

  findings_init (&f);
  o = standin_body (x, &f);
  if (faults_on_request (&p->faults, x, o, fields, &f))
    {
      p->faults_meet_reports = json_boolean (o, "reports", &f);
      if (json_boolean (o, "forgetHistory", &f))
        p->oldest_history = p->revision;
    }
  if (o)
    json_object_put (o);
  findings_clear (&f);
}

/* Tells whether X is one of the calls that faults are meant for. */
static gboolean
meets_faults (const Platform *p, const Exchange *x)
{
  return g_str_has_prefix (x->path, "/api/") ||
         (p->faults_meet_reports &&
          g_str_has_prefix (x->path, "/standin/entry/"));
}

/* Writes the operator's request to evacuate the domain that X names, or deletes
   it.  Replies with the store's revision. */
static void
handle_evacuate (Platform *p, Exchange *x)
{
  char *key =
      g_strconcat ("op/evacuate/", x->path + strlen (evacuate_path), NULL);
  json_object *answer = json_object_new_object ();

  if (strcmp (x->method, MHD_HTTP_METHOD_POST) == 0)
    put_text (p, key, "{}");
  else if (revision_of (p, key) > 0)
    {
      p->revision++;
      put (p, key, NULL, 0);
    }
  json_put_int (answer, "revision", p->revision);
  standin_reply (x, HTTP_OK, answer);
  g_free (key);
}

static void
on_store (Exchange *x, void *data)
{
  Platform *p = data;

  if (strcmp (x->path, fault_path) == 0)
    handle_fault (p, x);
  else if (meets_faults (p, x) && faults_strike (&p->faults, x))
    return;
  else if (g_str_has_prefix (x->path, evacuate_path))
    handle_evacuate (p, x);
  else if (strcmp (x->method, "POST") == 0)
    handle_post (p, x);
  else if (g_str_has_prefix (x->path, "/standin/entry/"))
    handle_entry (p, x, NULL);
  else if (strcmp (x->method, "DELETE") == 0)
    handle_keep (p, x, TRUE);
  else if (strcmp (x->path, "/api/kv-key") == 0)
    handle_key (p, x);
  else if (strcmp (x->path, "/api/kv-range") == 0)
    handle_range (p, x);
  else if (strcmp (x->path, "/api/kv-watch") == 0)
    handle_watch (p, x);
  else
    standin_reply (x, HTTP_NOT_FOUND, json_object_new_object ());
}

static gboolean
waiter_is_due (const Platform *p, const Waiter *w)
{
  json_object *events;
  gboolean due;

  if (server_now () >= w->until)
    return TRUE;
  if (w->after >= p->revision)
    return FALSE;
  events = events_json (p, w->prefix, w->after);
  due = json_object_array_length (events) > 0;
  json_object_put (events);
  return due;
}

static void
answer_waiter (const Platform *p, const Waiter *w)
{
  json_object *o = json_object_new_object ();

  json_object_object_add (o, "events", events_json (p, w->prefix, w->after));
  json_put_int (o, "storeRevision", p->revision);
  standin_reply (w->x, HTTP_OK, o);
}

static void
on_look (Core *unused, Timer *t)
{
  Platform *p = t->owner;
  guint i;

  (void)unused;
  expire_leases (p);
  for (i = 0; i < (guint)p->n_runners; i++)
    runner_look (p->runners[i]);
  i = p->waiters->len;
  while (i--)
    {
      Waiter *w = g_ptr_array_index (p->waiters, i);

      if (!waiter_is_due (p, w))
        continue;
      answer_waiter (p, w);
      g_ptr_array_remove_index (p->waiters, i);
    }
  server_arm (p->server, t, server_now () + LOOK_MS);
}

static void
waiter_free (gpointer data)
{
  Waiter *w = data;

  g_free (w->prefix);
  g_free (w);
}

static void
add_runner (Platform *p, int i)
{
  char *id = g_strdup_printf ("w%d", i); /* the runner's from now on */
  char *key = g_strdup_printf ("servers/%s", id);
  const RunnerLife life = { .id = id,
                            .born = 1 + i,
                            .max_lease = runner_usual_max_lease };
  RunnerEntry entry = {
    .address = p->place.address,
    .port = (p->advertised ? p->advertised : p->place.port + 1) + i,
    .shape = runner_usual_shape,
    .born = life.born,
  };
  char *text;

  entry.shape.rack = i / RUNNERS_PER_RACK;
  text = runner_entry_text (&entry);
  p->runners[i] = runner_new (&life);
  put_text (p, key, text);
  g_free (key);
  g_free (text);
}

static gboolean
listen_all (Platform *p, GError **error)
{
  int i;

  if (!standin_listen (p->server, &p->place, 0, on_store, p, error))
    return FALSE;
  for (i = 0; i < p->n_runners; i++)
    {
      add_runner (p, i);
      if (!standin_listen (p->server, &p->place, 1 + i, runner_on_request,
                           p->runners[i], error))
        return FALSE;
    }
  return TRUE;
}

/* Serves the store and the runners for a while. */
int
standin_platform (int argc, char **argv, GError **error)
{
  Platform p = { .n_runners = 4,
                 .place = { .port = 17400, .seconds = 60 },
                 .faults = { .where = "store" } };
  const GOptionEntry entries[] = {
    { "runners", 0, 0, G_OPTION_ARG_INT, &p.n_runners, "stand in for N runners",
      "N" },
    { "advertise", 0, 0, G_OPTION_ARG_INT, &p.advertised,
      "say that the runners listen on PORT and the ports after it", "PORT" },
    { NULL }
  };

  if (!standin_options ("The platform's store and its runners.", entries,
                        &p.place, argc, argv, error))
    return EXIT_FAILURE;
  p.server = server_new ();
  p.items = g_ptr_array_new ();
  p.leases = g_ptr_array_new_with_free_func (g_free);
  p.waiters = g_ptr_array_new_with_free_func (waiter_free);
  p.runners = g_new0 (Runner *, p.n_runners);
  p.look = (Timer) { .fire = on_look, .owner = &p };
  if (!listen_all (&p, error))
    return EXIT_FAILURE;
  server_arm (p.server, &p.look, server_now ());
  server_run (p.server, server_now () + (ClockMs)p.place.seconds * 1000);
  return EXIT_SUCCESS;
}
