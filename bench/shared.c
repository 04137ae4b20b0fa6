#include "bench.h"

#include <stdio.h>
#include <string.h>

#include "core_state.h"
#include "member.h"
#include "sheet.h"
#include "store.h"
#include "table.h"

/* What hosts share: a fleet in virtual time, one millisecond a step, over a
   store of one map. */

enum
{
  MAX_HOSTS = 80,
  HORIZON_MS = 16384, /* the furthest that a delivery lies ahead */
  EDITS = 40,
  LINK_MS = 2,
  MESSAGE_OVERHEAD = 70, /* bytes of frame, TCP and IP headers */
  TABLE_ROWS = 360
};

typedef struct Delivery
{
  guint node;
  Event *event;
} Delivery;

typedef struct Item
{
  gint64 revision;
  GBytes *value;
} Item;

typedef struct Waiter
{
  guint node;
  StoreCall *call;
} Waiter;

typedef struct Faults
{
  const char *name;
  ClockMs store_ms;
  ClockMs jitter_ms; /* of messages between hosts */
  int lost_permille; /* of these */
  gboolean silent_watches;
  gboolean lose_write; /* the answer of each first write */
  gboolean only_polls; /* neither watches nor peers: the naive way */
} Faults;

typedef struct SharedFleet
{
  Core *core[MAX_HOSTS];
  guint n;
  ClockMs now;
  GQueue due[HORIZON_MS];
  GHashTable *items;
  gint64 revision;
  GQueue waiters;
  GRand *rng;
  Faults faults;
  gint64 messages;
  gint64 bytes;
  gint64 ns; /* in core_feed */
  gboolean dead[MAX_HOSTS];
  int edit_status;
  gboolean lose_next;
} SharedFleet;

static void
item_free (gpointer p)
{
  Item *i = p;

  g_bytes_unref (i->value);
  g_free (i);
}

static void
deliver_after (SharedFleet *f,
               guint node,
               ClockMs delay,
               EventKind kind,
               const char *peer,
               const void *body)
{
  Delivery *d = g_new (Delivery, 1);

  delay = CLAMP (delay, 1, HORIZON_MS - 1);
  d->node = node;
  d->event = event_new (kind, f->now + delay, peer, (void *)body);
  g_queue_push_tail (&f->due[(f->now + delay) % HORIZON_MS], d);
}

static void
add_item (StoreReply *r, const char *key, const Item *i)
{
  StoreItem *to = rec_list_add (store_item_desc (), &r->items);

  rec_set_str (&to->key, key);
  to->revision = i->revision;
  to->value = g_bytes_ref (i->value);
}

static void
wake_waiters (SharedFleet *f, const char *key)
{
  guint n = f->waiters.length;
  const Item *i = g_hash_table_lookup (f->items, key);

  while (n--)
    {
      Waiter *w = g_queue_pop_head (&f->waiters);
      StoreReply *r;

      if (strcmp (w->call->key, key) != 0 || i->revision <= w->call->expect)
        {
          g_queue_push_tail (&f->waiters, w);
          continue;
        }
      r = rec_new (store_reply_desc ());
      r->call = w->call->call;
      r->op = STORE_WATCH;
      add_item (r, key, i);
      deliver_after (f, w->node, f->faults.store_ms, EV_STORE_REPLY, "", r);
      rec_free (store_reply_desc (), r);
      rec_free (store_call_desc (), w->call);
      g_free (w);
    }
}

static void
store_put (SharedFleet *f, const StoreCall *call, StoreReply *r)
{
  Item *i = g_hash_table_lookup (f->items, call->key);

  if ((i ? i->revision : 0) != call->expect)
    {
      r->status = STORE_CONFLICT;
      if (i)
        add_item (r, call->key, i);
      return;
    }
  i = g_new (Item, 1);
  i->revision = ++f->revision;
  i->value = call->value ? g_bytes_ref (call->value) : g_bytes_new ("", 0);
  g_hash_table_replace (f->items, g_strdup (call->key), i);
  add_item (r, call->key, i);
  wake_waiters (f, call->key);
}

static gboolean
store_watch (SharedFleet *f, guint node, const StoreCall *call, StoreReply *r)
{
  const Item *i = g_hash_table_lookup (f->items, call->key);
  Waiter *w;

  if (i && i->revision > call->expect)
    {
      add_item (r, call->key, i);
      return TRUE;
    }
  w = g_new (Waiter, 1);
  w->node = node;
  w->call = rec_copy (store_call_desc (), call);
  g_queue_push_tail (&f->waiters, w);
  return FALSE;
}

static void
on_store_call (SharedFleet *f, guint node, const StoreCall *call)
{
  StoreReply *r = rec_new (store_reply_desc ());
  const Item *i = g_hash_table_lookup (f->items, call->key);
  gboolean answered = TRUE;

  r->call = call->call;
  r->op = call->op;
  if (call->op == STORE_GET && i)
    add_item (r, call->key, i);
  else if (call->op == STORE_GET)
    r->status = STORE_MISSING;
  else if (call->op == STORE_PUT)
    store_put (f, call, r);
  else if (call->op == STORE_GRANT)
    r->lease = ++f->revision;
  else if (call->op == STORE_WATCH)
    answered = !f->faults.silent_watches && store_watch (f, node, call, r);
  if (call->op == STORE_PUT && f->lose_next && strcmp (call->key, "table") == 0)
    answered = f->lose_next = FALSE;
  if (answered)
    deliver_after (f, node, f->faults.store_ms, EV_STORE_REPLY, "", r);
  rec_free (store_reply_desc (), r);
}

static guint
find_node (const SharedFleet *f, const char *name)
{
  guint i;

  for (i = 0; i < f->n; i++)
    if (strcmp (core_host (f->core[i]), name) == 0)
      return i;
  return f->n;
}

static void
on_message (SharedFleet *f, guint node, const Event *e)
{
  guint to = find_node (f, e->peer);
  GBytes *b = rec_pack (event_desc (e->kind), e->body);
  ClockMs delay = LINK_MS;

  f->messages++;
  f->bytes += (gint64)g_bytes_get_size (b) + MESSAGE_OVERHEAD;
  g_bytes_unref (b);
  if (f->faults.jitter_ms)
    delay += g_rand_int_range (f->rng, 0, (gint32)f->faults.jitter_ms);
  if (to == f->n || f->dead[to] || f->dead[node] ||
      g_rand_int_range (f->rng, 0, 1000) < f->faults.lost_permille)
    return;
  deliver_after (f, to, delay, e->kind, core_host (f->core[node]), e->body);
}

static gboolean
is_left_out (const SharedFleet *f, const Event *e)
{
  const StoreCall *call = e->body;

  if (!f->faults.only_polls)
    return FALSE;
  return e->kind == MSG_TABLE_WANT ||
         (e->kind == FX_STORE_CALL && call->op == STORE_WATCH);
}

static void
feed (SharedFleet *f, guint node, const Event *e)
{
  gint64 start = bench_ns ();
  Event *x;

  if (f->dead[node])
    return;
  core_feed (f->core[node], e);
  f->ns += bench_ns () - start;
  while ((x = core_next_effect (f->core[node])))
    {
      if (is_left_out (f, x))
        ;
      else if (event_is_message (x->kind))
        on_message (f, node, x);
      else if (x->kind == FX_STORE_CALL)
        on_store_call (f, node, x->body);
      else if (x->kind == FX_REPLY)
        f->edit_status = (int)((CallerReply *)x->body)->status;
      event_free (x);
    }
}

static void
step (SharedFleet *f)
{
  GQueue *due = &f->due[f->now % HORIZON_MS];
  Delivery *d;
  guint i;

  while ((d = g_queue_pop_head (due)))
    {
      feed (f, d->node, d->event);
      event_free (d->event);
      g_free (d);
    }
  for (i = 0; i < f->n; i++)
    if (core_next_deadline (f->core[i]) <= f->now)
      feed (f, i, &(Event) { .kind = EV_TICK, .at = f->now });
  f->now++;
}

static void
run (SharedFleet *f, ClockMs span)
{
  ClockMs end = f->now + span;

  while (f->now < end)
    step (f);
}

static Config *
fleet_config (guint n)
{
  Config *cfg = config_default ();
  guint i;

  for (i = 0; i < n; i++)
    {
      ConfigHost *h = rec_list_add (config_host_desc (), &cfg->hosts);
      char *name = g_strdup_printf ("entry-%02u", i);
      char *domain = g_strdup_printf ("domain-%u", i % 5);

      rec_set_str (&h->name, name);
      rec_set_str (&h->domain, domain);
      rec_set_str (&h->region, i % 5 < 3 ? "north" : "south");
      g_free (domain);
      g_free (name);
    }
  return cfg;
}

static SharedFleet *
fleet_new (guint n, const Faults *faults)
{
  SharedFleet *f = g_new0 (SharedFleet, 1);
  Config *cfg = fleet_config (n);
  guint i;

  f->n = n;
  f->now = 1000000;
  f->rng = g_rand_new_with_seed (n);
  f->faults = *faults;
  f->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, item_free);
  cfg->incarnation = f->now;
  for (i = 0; i < n; i++)
    {
      const ConfigHost *h = config_host (cfg, i);

      rec_set_str (&cfg->host, h->name);
      rec_set_str (&cfg->domain, h->domain);
      rec_set_str (&cfg->region, h->region);
      f->core[i] = core_new (cfg, i + 1, f->now);
    }
  config_free (cfg);
  return f;
}

static void
fleet_free (SharedFleet *f)
{
  Waiter *w;
  Delivery *d;
  guint i;

  for (i = 0; i < f->n; i++)
    core_free (f->core[i]);
  for (i = 0; i < HORIZON_MS; i++)
    while ((d = g_queue_pop_head (&f->due[i])))
      {
        event_free (d->event);
        g_free (d);
      }
  while ((w = g_queue_pop_head (&f->waiters)))
    {
      rec_free (store_call_desc (), w->call);
      g_free (w);
    }
  g_hash_table_unref (f->items);
  g_rand_free (f->rng);
  g_free (f);
}

static gboolean
all_at (const SharedFleet *f, gint64 revision)
{
  guint i;

  for (i = 0; i < f->n; i++)
    if (!f->dead[i] && table_revision (f->core[i]) < revision)
      return FALSE;
  return TRUE;
}

/* Edits the table at host AT and returns how long it takes to be in force
   on all hosts, in milliseconds, 60000 at most. */
static double
edit (SharedFleet *f, guint at, gint64 base)
{
  char *json =
      g_strdup_printf ("{\"edit_id\":\"e%" G_GINT64_FORMAT
                       "\",\"base_revision\":%" G_GINT64_FORMAT
                       ",\"csv\":\"workspace,weight\\na,%" G_GINT64_FORMAT
                       "\\n\"}",
                       base, base, base + 1);
  CallerOperator q = { .conn = base + 1, .what = "table_edit", .arg = "" };
  ClockMs start = f->now;

  q.body = g_bytes_new_take (json, strlen (json));
  f->lose_next = f->faults.lose_write;
  feed (f, at, &(Event) { .kind = EV_OPERATOR, .at = f->now, .body = &q });
  g_bytes_unref (q.body);
  while (!all_at (f, base + 1) && f->now < start + 60000)
    step (f);
  return (double)(f->now - start);
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Sets the median, 99th percentile and worst of EDITS edits. */
static void
measure_edits (guint n, const Faults *faults, double out[3])
{
  SharedFleet *f = fleet_new (n, faults);
  double ms[EDITS];
  int i;

  run (f, 3000);
  for (i = 0; i < EDITS; i++)
    {
      ms[i] = edit (f, (guint)i % n, i);
      run (f, 1500 + (i * 37) % 500);
    }
  qsort (ms, EDITS, sizeof *ms, by_value);
  out[0] = ms[EDITS / 2];
  out[1] = ms[EDITS * 99 / 100];
  out[2] = ms[EDITS - 1];
  fleet_free (f);
}

static void
bench_edits (void)
{
  static const Faults all[] = {
    { .name = "calm", .store_ms = 3 },
    { .name = "slow_store", .store_ms = 400 },
    { .name = "lost_answer", .store_ms = 3, .lose_write = TRUE },
    { .name = "silent_watch", .store_ms = 3, .silent_watches = TRUE },
    { .name = "lossy_links",
      .store_ms = 3,
      .lost_permille = 200,
      .jitter_ms = 200 },
    { .name = "silent_watch_lossy_links",
      .store_ms = 3,
      .lost_permille = 200,
      .jitter_ms = 200,
      .silent_watches = TRUE },
  };
  static const Faults naive = { .store_ms = 3, .only_polls = TRUE };
  static const char *const parts[] = { "median", "p99", "worst" };
  const guint sizes[] = { 8, 40 };
  double ours[3];
  double base[3];
  char name[96];
  gsize i;
  gsize s;
  gsize p;

  for (s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      measure_edits (sizes[s], &naive, base);
      for (i = 0; i < G_N_ELEMENTS (all); i++)
        {
          measure_edits (sizes[s], &all[i], ours);
          for (p = 0; p < 3; p++)
            {
              g_snprintf (name, sizeof name, "shared.in_force.%s.%u.%s",
                          all[i].name, sizes[s], parts[p]);
              bench_value (name, ours[p], "ms", BENCH_AT_MOST, 4000);
            }
          if (i == 0)
            {
              g_snprintf (name, sizeof name, "shared.in_force.vs_poll.%u.p99",
                          sizes[s]);
              bench_row (name, ours[1], base[1], BENCH_AT_MOST, 0.4);
            }
        }
    }
}

static gint64
sum_counter (const SharedFleet *f, Counter n)
{
  gint64 sum = 0;
  guint i;

  for (i = 0; i < f->n; i++)
    sum += core_counter (f->core[i], n);
  return sum;
}

/* The cost of an idle node, both directions, and its store calls. */
static void
bench_idle (guint n)
{
  static const Faults calm = { .store_ms = 3 };
  static const struct
  {
    const char *name;
    Counter counter;
  } purposes[] = { { "table", COUNT_STORE_CALLS_TABLE },
                   { "list", COUNT_STORE_CALLS_LIST },
                   { "lease", COUNT_STORE_CALLS_LEASE },
                   { "job", COUNT_STORE_CALLS_JOB } };
  const double seconds = 60;
  gint64 before[G_N_ELEMENTS (purposes)];
  SharedFleet *f = fleet_new (n, &calm);
  char name[64];
  double bytes;
  double plain;
  gsize i;

  run (f, 5000);
  edit (f, 0, 0);
  run (f, 5000);
  f->messages = f->bytes = f->ns = 0;
  for (i = 0; i < G_N_ELEMENTS (purposes); i++)
    before[i] = sum_counter (f, purposes[i].counter);
  run (f, (ClockMs)seconds * 1000);
  bytes = 2.0 * (double)f->bytes / n / seconds;
  bench_point ("shared.bytes_per_s", "node", n, bytes);
  bench_point ("shared.messages_per_s", "node", n,
               2.0 * (double)f->messages / n / seconds);
  bench_point ("shared.core_permille", "node", n,
               (double)f->ns / n / seconds / 1e6);
  for (i = 0; i < G_N_ELEMENTS (purposes); i++)
    bench_point ("shared.store_calls_per_s", purposes[i].name, n,
                 (double)(sum_counter (f, purposes[i].counter) - before[i]) /
                     seconds);
  if (n == 40)
    {
      /* The naive way: one such heartbeat to everybody, every second. */
      plain = 2.0 * (n - 1) * (double)f->bytes / (double)f->messages;
      bench_value ("shared.bytes_per_s.40", bytes, "B/s", BENCH_AT_MOST, 12000);
      bench_row ("shared.bytes_per_s.vs_all_to_all.40", bytes, plain,
                 BENCH_AT_MOST, 0.6);
      g_snprintf (name, sizeof name, "shared.core_share.%u", n);
      bench_value (name, (double)f->ns / n / seconds / 1e7, "%", BENCH_AT_MOST,
                   1);
    }
  fleet_free (f);
}

/* How long until every host of the same and of another domain suspects a
   host that has died. */
static void
bench_suspicion (void)
{
  static const Faults calm = { .store_ms = 3 };
  static const Faults lossy = { .store_ms = 3,
                                .lost_permille = 200,
                                .jitter_ms = 200 };
  SharedFleet *f = fleet_new (40, &calm);
  ClockMs start;
  ClockMs far;

  run (f, 10000);
  f->dead[0] = TRUE;
  start = f->now;
  while (member_is_live (f->core[5], "entry-00") && f->now < start + 60000)
    step (f);
  bench_value ("shared.suspect.same_domain", (double)(f->now - start), "ms",
               BENCH_AT_MOST, 4100);
  while (member_is_live (f->core[1], "entry-00") && f->now < start + 60000)
    step (f);
  far = f->now - start;
  bench_value ("shared.suspect.other_domain", (double)far, "ms", BENCH_AT_MOST,
               9100);
  fleet_free (f);
  f = fleet_new (40, &lossy);
  run (f, 200000);
  bench_value ("shared.false_suspicions.lossy",
               (double)sum_counter (f, COUNT_SUSPICIONS) /
                   (40 * 39 * 200.0 / 3600),
               "/view-h", BENCH_AT_MOST, 0.1);
  fleet_free (f);
}

/* The rows of two tables of TABLE_ROWS, which differ in every tenth. */
static GString *
big_table (guint shift)
{
  GString *s = g_string_new ("workspace,weight,guarantee,max_running\n");
  guint i;

  for (i = 0; i < TABLE_ROWS; i++)
    g_string_append_printf (s, "team-%03u,%u,%ux1,%u\n", i,
                            1 + (i % 10 == 0 ? shift : 0), 1 + i % 4, 100 + i);
  return s;
}

/* The diff without an index: every row is sought from the start. */
static guint
naive_diff (const Sheet *a, const Sheet *b)
{
  guint n = 0;
  guint i;
  guint j;
  int column;

  for (i = 0; i < sheet_n_workspaces (a); i++)
    for (j = 0; j < sheet_n_workspaces (b); j++)
      {
        const char *name = sheet_workspace (a, i)->name;

        if (strcmp (name, sheet_workspace (b, j)->name) != 0)
          continue;
        for (column = 0; column < N_SHEET_COLUMNS; column++)
          n += strcmp (sheet_cell (a, name, (SheetColumn)column),
                       sheet_cell (b, name, (SheetColumn)column)) != 0;
      }
  return n;
}

static void
bench_sheet (void)
{
  enum
  {
    ROUNDS = 50
  };
  GString *before = big_table (0);
  GString *after = big_table (1);
  SheetWorker workers[300];
  Findings findings;
  Sheet *a = NULL;
  Sheet *b;
  GPtrArray *changes;
  gint64 start;
  gint64 ours;
  guint found = 0;
  guint i;

  findings_init (&findings);
  for (i = 0; i < G_N_ELEMENTS (workers); i++)
    workers[i] = (SheetWorker) { "d", "r", 8 };
  start = bench_ns ();
  for (i = 0; i < ROUNDS; i++)
    {
      sheet_free (a);
      a = sheet_parse (before->str, before->len, "a", &findings);
    }
  bench_value ("shared.parse_360", (double)(bench_ns () - start) / ROUNDS / 1e6,
               "ms", BENCH_AT_MOST, 5);
  start = bench_ns ();
  sheet_check_fleet (a, workers, G_N_ELEMENTS (workers), "a", &findings);
  bench_value ("shared.check_360", (double)(bench_ns () - start) / 1e6, "ms",
               BENCH_AT_MOST, 20);
  b = sheet_parse (after->str, after->len, "b", &findings);
  start = bench_ns ();
  for (i = 0; i < ROUNDS; i++)
    {
      changes = sheet_diff (a, b);
      found = changes->len;
      g_ptr_array_unref (changes);
    }
  ours = bench_ns () - start;
  start = bench_ns ();
  for (i = 0; i < ROUNDS; i++)
    if (naive_diff (a, b) != found)
      printf ("bench shared.diff_360 differs from the naive diff\n");
  bench_row ("shared.diff_360", (double)ours / ROUNDS / 1e6,
             (double)(bench_ns () - start) / ROUNDS / 1e6, BENCH_AT_MOST, 1);
  sheet_free (a);
  sheet_free (b);
  findings_clear (&findings);
  g_string_free (before, TRUE);
  g_string_free (after, TRUE);
}

/* Measures what the hosts share: the table, the members, the store. */
void
bench_shared (void)
{
  const guint sizes[] = { 8, 16, 24, 40, 80 };
  gsize i;

  bench_edits ();
  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    bench_idle (sizes[i]);
  bench_suspicion ();
  bench_sheet ();
}
