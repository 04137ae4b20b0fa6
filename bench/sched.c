#include "bench.h"

#include "core.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_HOSTS = 8, /* of the domain */
  STORE_MS = 2,
  LINK_MS = 1,
  WORKER_MS = 1,
  MAX_WORKERS = 300,
  MAX_LEASES = 16,      /* of one worker */
  REQUEST_HEADER = 150, /* bytes of HTTP around a call to a worker */
  REPLY_HEADER = 110,
  FRAME_HEADER = 8 /* bytes around a message between hosts */
};

/* --- nodes over a fake store and fake workers, in virtual time --- */

typedef struct SimEvent
{
  ClockMs at;
  guint64 order;
  guint host;
  Event *event;
} SimEvent;

typedef struct SimKey
{
  gint64 revision;
  gint64 lease;
  GBytes *value;
} SimKey;

typedef struct SimLease
{
  char *job;
  gint64 part;
  gint64 run;
  WorkerLeaseState state;
  gint64 first;
  gint64 count;
  ClockMs until;
  ClockMs done_at;  /* CLOCK_NEVER before the start */
  ClockMs saved_at; /* CLOCK_NEVER: no checkpoint asked */
  gboolean told;
} SimLease;

typedef struct SimWorker
{
  gint64 term;
  SimLease leases[MAX_LEASES];
  guint n;
} SimWorker;

typedef struct Sim
{
  Config *cfg;
  Core *cores[N_HOSTS]; /* NULL: dead */
  GSequence *events;    /* of SimEvent */
  guint64 order;
  ClockMs now;
  GRand *rng;
  GTree *keys;        /* name to SimKey */
  GHashTable *leases; /* gint64 to the end, ClockMs */
  gint64 revision;
  gint64 last_lease;
  gboolean store_down;
  gboolean store_silent;
  SimWorker workers[MAX_WORKERS];
  ClockMs checkpoint_ms; /* that a checkpoint takes */
  int run_percent;       /* of the declared time, that tasks take */
  gint64 store_writes;
  gint64 conns;
  gint64 started_parts; /* of the watched job */
  const char *watched;
  ClockMs ready_at;   /* the last scheduler that may plan */
  ClockMs watched_at; /* all parts of the watched job run */
  gint64 watched_parts;
  GHashTable *ids; /* conn to id */
  gint64 bytes[N_HOSTS];
  gint64 messages[N_HOSTS];
} Sim;

static gint
by_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const SimEvent *x = a;
  const SimEvent *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
post (Sim *s, guint host, ClockMs delay, EventKind kind, guint from, void *body)
{
  SimEvent *e = g_new (SimEvent, 1);
  const char *peer = from < N_HOSTS ? config_host (s->cfg, from)->name : "";

  *e = (SimEvent) { .at = s->now + delay,
                    .order = s->order++,
                    .host = host,
                    .event = event_new (kind, s->now + delay, peer, body) };
  g_sequence_insert_sorted (s->events, e, by_time, NULL);
}

static gint
by_name (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
key_free (gpointer p)
{
  SimKey *k = p;

  if (k->value)
    g_bytes_unref (k->value);
  g_free (k);
}

static void
expire_keys (Sim *s)
{
  GPtrArray *gone = g_ptr_array_new ();
  GTreeNode *n;
  guint i;

  for (n = g_tree_node_first (s->keys); n; n = g_tree_node_next (n))
    {
      SimKey *k = g_tree_node_value (n);
      ClockMs *until =
          k->lease ? g_hash_table_lookup (s->leases, &k->lease) : NULL;

      if (k->lease && (!until || *until <= s->now))
        g_ptr_array_add (gone, g_tree_node_key (n));
    }
  for (i = 0; i < gone->len; i++)
    g_tree_remove (s->keys, g_ptr_array_index (gone, i));
  g_ptr_array_unref (gone);
}

static void
add_item (StoreReply *r, const char *key, const SimKey *k)
{
  StoreItem *item = rec_list_add (store_item_desc (), &r->items);

  rec_set_str (&item->key, key);
  item->revision = k->revision;
  item->value = k->value ? g_bytes_ref (k->value) : NULL;
}

static void
store_put (Sim *s, const StoreCall *call, StoreReply *r)
{
  SimKey *k = g_tree_lookup (s->keys, call->key);

  if ((k ? k->revision : 0) != call->expect)
    {
      r->status = STORE_CONFLICT;
      if (k)
        add_item (r, call->key, k);
      return;
    }
  s->store_writes++;
  s->revision++;
  if (call->op == STORE_DELETE)
    {
      g_tree_remove (s->keys, call->key);
      return;
    }
  k = g_new (SimKey, 1);
  *k = (SimKey) { .revision = s->revision,
                  .lease = call->lease,
                  .value = call->value ? g_bytes_ref (call->value) : NULL };
  g_tree_replace (s->keys, g_strdup (call->key), k);
  add_item (r, call->key, k);
}

static void
store_get (Sim *s, const StoreCall *call, StoreReply *r)
{
  gsize n = strlen (call->key);
  GTreeNode *node;

  for (node = g_tree_lower_bound (s->keys, call->key); node;
       node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);

      if (strncmp (key, call->key, n) != 0)
        break;
      if (call->op == STORE_LIST || key[n] == 0)
        add_item (r, key, g_tree_node_value (node));
    }
  if (r->items.n == 0 && call->op == STORE_GET)
    r->status = STORE_MISSING;
}

static void
store_lease (Sim *s, const StoreCall *call, StoreReply *r)
{
  gint64 *key;
  ClockMs *until;

  r->lease = call->op == STORE_GRANT ? ++s->last_lease : call->lease;
  until = g_hash_table_lookup (s->leases, &r->lease);
  if (call->op == STORE_KEEP && (!until || until[0] <= s->now))
    {
      r->status = STORE_MISSING;
      return;
    }
  key = g_new (gint64, 1);
  *key = r->lease;
  until = g_new (ClockMs, 2);
  until[1] = call->op == STORE_GRANT ? call->lease_ms : 3000;
  until[0] = s->now + until[1];
  g_hash_table_replace (s->leases, key, until);
}

static void
call_store (Sim *s, guint host, const StoreCall *call)
{
  StoreReply *r = rec_new (store_reply_desc ());
  ClockMs delay = STORE_MS;

  r->call = call->call;
  r->op = call->op;
  if (s->store_down || s->store_silent)
    {
      r->status = s->store_down ? STORE_UNSENT : STORE_LOST;
      delay = s->store_down ? 1 : call->timeout_ms;
    }
  else if (call->op == STORE_WATCH)
    {
      r->status = STORE_MISSING;
      delay = call->timeout_ms;
    }
  else
    {
      expire_keys (s);
      if (call->op == STORE_PUT || call->op == STORE_DELETE)
        store_put (s, call, r);
      else if (call->op == STORE_GRANT || call->op == STORE_KEEP)
        store_lease (s, call, r);
      else if (call->op != STORE_HOSTS)
        store_get (s, call, r);
      r->revision = s->revision;
    }
  post (s, host, delay, EV_STORE_REPLY, N_HOSTS, r);
  rec_free (store_reply_desc (), r);
}

static void
drop_lease (SimWorker *w, guint i)
{
  g_free (w->leases[i].job);
  w->leases[i] = w->leases[--w->n];
}

static void
settle (Sim *s, SimWorker *w)
{
  guint i;

  for (i = 0; i < w->n; i++)
    {
      SimLease *l = &w->leases[i];

      if (l->state > LEASE_RUNNING)
        continue;
      if (l->done_at <= s->now)
        l->state = LEASE_DONE;
      else if (l->saved_at <= s->now)
        l->state = LEASE_SAVED;
      else if (l->until <= s->now)
        l->state = LEASE_LAPSED;
      else
        continue;
      l->told = FALSE;
    }
}

static int
find_lease (const SimWorker *w, const WorkerCall *call)
{
  guint i;

  for (i = 0; i < w->n; i++)
    if (strcmp (w->leases[i].job, call->job) == 0 &&
        w->leases[i].part == call->part && w->leases[i].run == call->run)
      return (int)i;
  return -1;
}

static WorkerStatus
reserve (Sim *s, SimWorker *w, const WorkerCall *call)
{
  guint i;

  for (i = 0; i < w->n; i++)
    if (w->leases[i].state <= LEASE_RUNNING &&
        w->leases[i].first < call->first + call->count &&
        call->first < w->leases[i].first + w->leases[i].count)
      return WORKER_REFUSED;
  if (w->n == MAX_LEASES)
    return WORKER_REFUSED;
  w->leases[w->n++] = (SimLease) { .job = g_strdup (call->job),
                                   .part = call->part,
                                   .run = call->run,
                                   .first = call->first,
                                   .count = call->count,
                                   .until = s->now + call->lease_ms,
                                   .done_at = CLOCK_NEVER,
                                   .saved_at = CLOCK_NEVER,
                                   .told = TRUE };
  return WORKER_OK;
}

static void
start (Sim *s, SimLease *l, const WorkerCall *call)
{
  l->until = s->now + call->lease_ms;
  if (l->state == LEASE_RUNNING)
    return;
  l->state = LEASE_RUNNING;
  l->done_at = s->now + call->run_ms * s->run_percent / 100;
  if (s->watched && strcmp (s->watched, call->job) == 0 &&
      ++s->started_parts == s->watched_parts)
    s->watched_at = s->now;
}

static WorkerStatus
apply (Sim *s, SimWorker *w, const WorkerCall *call)
{
  int found = find_lease (w, call);
  guint i;

  if (call->op == WORKER_RENEW)
    for (i = 0; i < w->n; i++)
      if (w->leases[i].state <= LEASE_RUNNING)
        w->leases[i].until = s->now + call->lease_ms;
  if (call->op == WORKER_RESERVE)
    return found >= 0 ? WORKER_OK : reserve (s, w, call);
  if (call->op == WORKER_STOP && found >= 0)
    drop_lease (w, (guint)found);
  if (call->op == WORKER_START &&
      (found < 0 || w->leases[found].state > LEASE_RUNNING))
    return WORKER_REFUSED;
  if (call->op == WORKER_START)
    start (s, &w->leases[found], call);
  if (call->op == WORKER_CHECKPOINT && found >= 0 && s->checkpoint_ms >= 0)
    w->leases[found].saved_at =
        MIN (w->leases[found].saved_at, s->now + s->checkpoint_ms);
  return WORKER_OK;
}

static void
list_leases (SimWorker *w, const WorkerCall *call, WorkerReply *r)
{
  guint i;

  if (call->op != WORKER_RENEW && call->op != WORKER_REPORT)
    return;
  for (i = 0; i < w->n; i++)
    {
      SimLease *l = &w->leases[i];
      WorkerLease *x;

      if (call->op == WORKER_RENEW && l->told)
        continue;
      x = rec_list_add (worker_lease_desc (), &r->leases);
      rec_set_str (&x->job, l->job);
      x->part = l->part;
      x->run = l->run;
      x->state = l->state;
      x->first = l->first;
      x->count = l->count;
      l->told = TRUE;
    }
}

static gint64
json_bytes (const RecDesc *d, const void *rec)
{
  char *text = rec_to_json (d, rec);
  gint64 n = (gint64)strlen (text);

  g_free (text);
  return n;
}

/* Returns N of a host or worker that is called "hN" or "wN". */
static guint
number_of (const char *name)
{
  return (guint)g_ascii_strtoull (name + 1, NULL, 10);
}

static gint64
count_running (const SimWorker *w)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < (guint)w->n; i++)
    if (w->leases[i].state == LEASE_RUNNING)
      n++;
  return n;
}

static void
call_worker (Sim *s, guint host, const WorkerCall *call)
{
  SimWorker *w = &s->workers[number_of (call->worker)];
  WorkerReply *r = rec_new (worker_reply_desc ());

  rec_set_str (&r->worker, call->worker);
  r->call = call->call;
  r->op = call->op;
  settle (s, w);
  r->status = call->term < w->term ? WORKER_STALE : WORKER_OK;
  w->term = MAX (w->term, call->term);
  if (r->status == WORKER_OK)
    r->status = apply (s, w, call);
  if (r->status == WORKER_OK)
    list_leases (w, call, r);
  r->term = w->term;
  r->running = count_running (w);
  s->messages[host]++;
  s->bytes[host] += json_bytes (worker_call_desc (), call) + REQUEST_HEADER +
                    json_bytes (worker_reply_desc (), r) + REPLY_HEADER;
  post (s, host, WORKER_MS, EV_WORKER_REPLY, N_HOSTS, r);
  rec_free (worker_reply_desc (), r);
}

static void
send_message (Sim *s, guint host, const Event *e)
{
  GBytes *packed = rec_pack (event_desc (e->kind), e->body);
  gint64 n = (gint64)g_bytes_get_size (packed) + FRAME_HEADER;
  guint to = number_of (e->peer);

  g_bytes_unref (packed);
  s->messages[host]++;
  s->bytes[host] += n;
  s->bytes[to] += n;
  if (s->cores[to])
    post (s, to, LINK_MS, e->kind, host, e->body);
}

static void
take_reply (Sim *s, const CallerReply *r)
{
  gint64 *conn = g_new (gint64, 1);

  *conn = r->conn;
  if (r->status == 202)
    g_hash_table_replace (s->ids, conn, g_strdup (r->id));
  else
    g_free (conn);
}

static void
drain (Sim *s, guint host)
{
  Event *e;

  while (s->cores[host] && (e = core_next_effect (s->cores[host])))
    {
      if (e->kind == FX_STORE_CALL)
        call_store (s, host, e->body);
      else if (e->kind == FX_WORKER_CALL)
        call_worker (s, host, e->body);
      else if (e->kind == FX_REPLY)
        take_reply (s, e->body);
      else if (e->kind == FX_NOTE &&
               ((const CoreNote *)e->body)->kind == NOTE_ROLE_READY)
        s->ready_at = s->now;
      else if (event_is_message (e->kind))
        send_message (s, host, e);
      event_free (e);
    }
}

static void
feed (Sim *s, guint host, const Event *e)
{
  if (!s->cores[host])
    return;
  core_feed (s->cores[host], e);
  drain (s, host);
}

/* Runs until UNTIL, or until *STOP is not 0. */
static void
run (Sim *s, ClockMs until, const ClockMs *stop)
{
  while (!stop || !*stop)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (s->events);
      SimEvent *e =
          g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
      ClockMs at = e ? e->at : CLOCK_NEVER;
      guint host = N_HOSTS;
      guint i;

      for (i = 0; i < N_HOSTS; i++)
        if (s->cores[i] && core_next_deadline (s->cores[i]) < at)
          {
            at = core_next_deadline (s->cores[i]);
            host = i;
          }
      if (at > until)
        break;
      s->now = MAX (s->now, at);
      if (host < N_HOSTS)
        {
          feed (s, host, &(Event) { .kind = EV_TICK, .at = s->now });
          continue;
        }
      g_sequence_remove (first);
      feed (s, e->host, e->event);
      event_free (e->event);
      g_free (e);
    }
  if (!stop || !*stop)
    s->now = until;
}

static Config *
make_config (guint n_workers)
{
  Config *cfg = config_default ();
  char name[16];
  guint i;

  rec_set_str (&cfg->domain, "d1");
  for (i = 0; i < N_HOSTS; i++)
    {
      ConfigHost *h = rec_list_add (config_host_desc (), &cfg->hosts);

      g_snprintf (name, sizeof name, "h%u", i);
      rec_set_str (&h->name, name);
      rec_set_str (&h->domain, "d1");
    }
  for (i = 0; i < n_workers; i++)
    {
      ConfigWorker *w = rec_list_add (config_worker_desc (), &cfg->workers);

      g_snprintf (name, sizeof name, "w%u", i);
      rec_set_str (&w->name, name);
      rec_set_str (&w->domain, "d1");
      g_snprintf (name, sizeof name, "r%u", i / 8);
      rec_set_str (&w->rack, name);
      w->accelerators = 8;
      w->cores = 64;
      w->memory_mb = 256000;
    }
  return cfg;
}

static Sim *
sim_new (guint32 seed, guint n_workers, const char *table)
{
  Sim *s = g_new0 (Sim, 1);
  TableValue v = { .revision = 1,
                   .edit_id = "bench",
                   .csv = g_bytes_new (table, strlen (table)) };
  guint i;

  s->cfg = make_config (n_workers);
  s->now = 1000000;
  s->run_percent = 100;
  s->rng = g_rand_new_with_seed (seed);
  s->events = g_sequence_new (NULL);
  s->keys = g_tree_new_full (by_name, NULL, g_free, key_free);
  s->leases =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  s->ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (i = 0; i < N_HOSTS; i++)
    {
      rec_set_str (&s->cfg->host, config_host (s->cfg, i)->name);
      s->cfg->incarnation = 1;
      s->cores[i] = core_new (s->cfg, seed * N_HOSTS + i, s->now);
      drain (s, i);
    }
  for (i = 0; i < N_HOSTS; i++)
    feed (s, i, &(Event) { .kind = EV_TABLE, .at = s->now, .body = &v });
  g_bytes_unref (v.csv);
  run (s, s->now + 3000 + g_rand_int_range (s->rng, 0, 2000), NULL);
  return s;
}

static void
sim_free (Sim *s)
{
  GSequenceIter *it;
  guint i;

  for (it = g_sequence_get_begin_iter (s->events); !g_sequence_iter_is_end (it);
       it = g_sequence_iter_next (it))
    {
      SimEvent *e = g_sequence_get (it);

      event_free (e->event);
      g_free (e);
    }
  g_sequence_free (s->events);
  for (i = 0; i < MAX_WORKERS; i++)
    while (s->workers[i].n)
      drop_lease (&s->workers[i], 0);
  for (i = 0; i < N_HOSTS; i++)
    core_free (s->cores[i]);
  g_tree_unref (s->keys);
  g_hash_table_unref (s->leases);
  g_hash_table_unref (s->ids);
  g_rand_free (s->rng);
  config_free (s->cfg);
  g_free (s);
}

static gint64
submit (Sim *s, guint host, const CallerJob *like)
{
  CallerJob q = *like;

  q.conn = ++s->conns;
  feed (s, host, &(Event) { .kind = EV_JOB, .at = s->now, .body = &q });
  return q.conn;
}

static int
scheduler (const Sim *s)
{
  int i;

  for (i = 0; i < N_HOSTS; i++)
    if (s->cores[i] && core_counter (s->cores[i], COUNT_SCHEDULER))
      return i;
  return -1;
}

static gint64
total (const Sim *s, Counter n)
{
  gint64 sum = 0;
  guint i;

  for (i = 0; i < N_HOSTS; i++)
    sum += s->cores[i] ? core_counter (s->cores[i], n) : 0;
  return sum;
}

/* --- measures --- */

static const char *const table = "workspace,weight,guarantee\n"
                                 "alpha,1,2x8\nbeta,1,\n";

static CallerJob
job_of (const char *workspace, gint64 parts, ClockMs run_ms)
{
  return (CallerJob) { .workspace = workspace,
                       .work_kind = "k",
                       .work_class = CLASS_BATCH,
                       .parts = parts,
                       .accelerators = 8,
                       .cores = 8,
                       .memory_mb = 1000,
                       .run_ms = run_ms,
                       .repeatable = 1 };
}

/* Returns how long nobody may plan after the scheduler's host has died. */
static ClockMs
gap (guint32 seed, int outage)
{
  Sim *s = sim_new (seed, 20, table);
  CallerJob q = job_of ("beta", 2, 600000);
  ClockMs died;
  ClockMs span;
  int host;
  int i;

  for (i = 0; i < 8; i++)
    submit (s, (guint)i, &q);
  run (s, s->now + 3000, NULL);
  s->store_down = outage == 1;
  s->store_silent = outage == 2;
  run (s, s->now + g_rand_int_range (s->rng, 1, 10000), NULL);
  host = scheduler (s);
  core_free (s->cores[host]);
  s->cores[host] = NULL;
  died = s->now;
  s->ready_at = 0;
  run (s, s->now + 20000, &s->ready_at);
  span = s->ready_at ? s->ready_at - died : 20000;
  sim_free (s);
  return span;
}

static void
measure_gaps (void)
{
  static const char *const names[] = { "sched.gap.store_up.max",
                                       "sched.gap.store_down.max",
                                       "sched.gap.store_silent.max" };
  static const guint32 n_seeds = 100;
  int outage;

  for (outage = 0; outage < 3; outage++)
    {
      ClockMs most = 0;
      guint32 seed;

      for (seed = 1; seed <= n_seeds; seed++)
        most = MAX (most, gap (seed, outage));
      bench_value (names[outage], (double)most, "ms", BENCH_AT_MOST, 5000);
    }
}

/* Returns how long urgent work inside its guarantee waits for its start on a
   domain that borrowed work fills.  Checkpoints take up to 6 s, or never
   end. */
static ClockMs
urgent (guint32 seed)
{
  Sim *s = sim_new (seed, 6, table);
  CallerJob q = job_of ("beta", 1, 3600000);
  CallerJob u = job_of ("alpha", 1 + seed % 2, 60000);
  ClockMs from;
  gint64 conn;
  ClockMs span;
  int i;

  s->checkpoint_ms = g_rand_int_range (s->rng, -1, 6000);
  q.checkpointable = g_rand_boolean (s->rng);
  for (i = 0; i < 6; i++)
    submit (s, (guint)i, &q);
  run (s, s->now + 5000 + g_rand_int_range (s->rng, 0, 30000), NULL);
  u.work_class = CLASS_INTERACTIVE;
  u.key = "urgent";
  from = s->now;
  s->watched_parts = u.parts;
  conn = submit (s, (guint)g_rand_int_range (s->rng, 0, N_HOSTS), &u);
  while (!s->watched && s->now < from + 3000)
    {
      run (s, s->now + 1, NULL);
      s->watched = g_hash_table_lookup (s->ids, &conn);
    }
  run (s, from + 30000, &s->watched_at);
  span = s->watched_at ? s->watched_at - from : 30000;
  sim_free (s);
  return span;
}

static gint
by_span (gconstpointer a, gconstpointer b)
{
  ClockMs x = *(const ClockMs *)a;
  ClockMs y = *(const ClockMs *)b;

  return x < y ? -1 : x > y;
}

static void
measure_urgent (void)
{
  static const guint32 n_seeds = 1000;
  static const guint32 middle = 500;
  GArray *spans = g_array_new (FALSE, FALSE, sizeof (ClockMs));
  guint32 seed;

  for (seed = 1; seed <= n_seeds; seed++)
    {
      ClockMs span = urgent (seed);

      g_array_append_val (spans, span);
    }
  g_array_sort (spans, by_span);
  bench_value ("sched.urgent.p50",
               (double)g_array_index (spans, ClockMs, middle), "ms",
               BENCH_AT_MOST, 8300);
  bench_value ("sched.urgent.max",
               (double)g_array_index (spans, ClockMs, n_seeds - 1), "ms",
               BENCH_AT_MOST, 8300);
  g_array_unref (spans);
}

/* 500 jobs at once, to all hosts; against a record written at every step of
   every part. */
static void
measure_burst (void)
{
  static const int n = 500;
  Sim *s = sim_new (1, 50, table);
  CallerJob q = job_of ("beta", 4, 20000);
  gint64 writes;
  ClockMs from = s->now;
  ClockMs taken;
  int i;

  writes = s->store_writes;
  for (i = 0; i < n; i++)
    submit (s, (guint)i % N_HOSTS, &q);
  while (total (s, COUNT_JOBS_ACCEPTED) < n && s->now < from + 60000)
    run (s, s->now + 10, NULL);
  taken = s->now - from;
  while (total (s, COUNT_JOBS_DONE) < n && s->now < from + 3600000)
    run (s, s->now + 1000, NULL);
  run (s, s->now + 5000, NULL);
  writes = s->store_writes - writes;
  bench_row ("sched.burst500.writes_per_job", (double)writes / n,
             1 + 3 * (double)q.parts, BENCH_AT_MOST, 0.5);
  bench_value ("sched.burst500.jobs_done", (double)total (s, COUNT_JOBS_DONE),
               "", BENCH_AT_LEAST, n);
  bench_value ("sched.burst500.accepted_after", (double)taken, "ms",
               BENCH_AT_MOST, 10000);
  sim_free (s);
}

/* What the scheduler's host sends and receives with 300 busy workers, all
   traffic of the core counted. */
static void
measure_control (void)
{
  static const ClockMs span = 120000;
  Sim *s = sim_new (1, MAX_WORKERS, table);
  CallerJob q = job_of ("beta", 10, 36000000);
  gint64 bytes;
  gint64 messages;
  gint64 start_ns;
  int host;
  int i;

  for (i = 0; i < MAX_WORKERS / 10; i++)
    submit (s, (guint)i % N_HOSTS, &q);
  run (s, s->now + 600000, NULL);
  host = scheduler (s);
  bytes = s->bytes[host];
  messages = s->messages[host];
  start_ns = bench_ns ();
  run (s, s->now + span, NULL);
  bench_value ("sched.control300.bytes_per_s",
               (double)(s->bytes[host] - bytes) * 1000 / (double)span, "B",
               BENCH_AT_MOST, 12000);
  bench_value ("sched.control300.messages_per_s",
               (double)(s->messages[host] - messages) * 1000 / (double)span, "",
               BENCH_AT_MOST, 60);
  bench_value ("sched.control300.cpu_all_hosts",
               (double)(bench_ns () - start_ns) / 1e4 / (double)span, "%",
               BENCH_AT_MOST, 4.2);
  sim_free (s);
}

/* Returns the mean and sets *WORST to the largest time between the end of a
   task and its record, for tasks of RUN_MS. */
static double
end_delay (ClockMs run_ms, int percent, ClockMs *worst)
{
  static const int n = 20;
  double sum = 0;
  int i;

  *worst = 0;
  for (i = 1; i <= n; i++)
    {
      Sim *s = sim_new ((guint32)i, 20, table);
      CallerJob q = job_of ("beta", 1, run_ms);
      gint64 conn = submit (s, (guint)i % N_HOSTS, &q);
      ClockMs late;

      s->run_percent = percent;
      s->watched_parts = 1;
      while (!s->watched)
        {
          run (s, s->now + 1, NULL);
          s->watched = g_hash_table_lookup (s->ids, &conn);
        }
      run (s, s->now + 10000, &s->watched_at);
      while (total (s, COUNT_JOBS_DONE) == 0)
        run (s, s->now + 1, NULL);
      late = s->now - s->watched_at - run_ms * percent / 100;
      sum += (double)late;
      *worst = MAX (*worst, late);
      sim_free (s);
    }
  return sum / n;
}

static void
measure_end (const char *name, ClockMs run_ms, int percent)
{
  char row[64];
  ClockMs worst;
  double mean = end_delay (run_ms, percent, &worst);
  double renewals = 10000; /* half the time between two */

  g_snprintf (row, sizeof row, "sched.end_seen.%s.mean", name);
  bench_row (row, mean, renewals, BENCH_AT_MOST, 1);
  g_snprintf (row, sizeof row, "sched.end_seen.%s.max", name);
  bench_value (row, (double)worst, "ms", BENCH_AT_MOST, 25000);
}

/* How late the ends of tasks are seen, against renewals alone: as declared,
   and when they end earlier or later than that. */
static void
measure_ends (void)
{
  measure_end ("2s", 2000, 100);
  measure_end ("2s_declared_3s", 3000, 67);
  measure_end ("20s", 20000, 100);
  measure_end ("20s_declared_30s", 30000, 67);
  measure_end ("20s_declared_10s", 10000, 200);
  measure_end ("200s_declared_300s", 300000, 67);
}

/* Measures the jobs' scheduler as a whole reducer, in virtual time. */
void
bench_sched (void)
{
  /* Thousands of short-lived nodes: their memory is kept, not given back. */
  mallopt (M_MMAP_THRESHOLD, 1 << 28);
  mallopt (M_TRIM_THRESHOLD, 1 << 28);
  measure_gaps ();
  measure_urgent ();
  measure_burst ();
  measure_control ();
  measure_ends ();
}
