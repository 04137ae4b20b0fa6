#include "bench.h"

#include "core.h"
#include "../tests/naive/fifo.h"

#include <malloc.h>
#include <math.h>
#include <string.h>

enum
{
  DELAY_MS = 1,
  N_WORKSPACES = 4,
  QUEUE = 10000,
  WARM_MS = 5000,
  COST_RUNS = 5 /* of which the least disturbed one counts */
};

static const char *const kinds[N_CLASSES] = { "preview", "proof", "nesting" };
static const ClockMs service_mean[N_CLASSES] = { 100, 1000, 5000 };

/* --- loads --- */

/* How long the calls of a stream take. */
typedef enum Spread
{
  SPREAD_EXPONENTIAL,
  SPREAD_EVEN /* from half to one and a half of the mean */
} Spread;

typedef struct Load
{
  Spread spread;
  GArray *calls; /* of FifoCall */
  GRand *rng;
} Load;

static gint
by_arrival (gconstpointer a, gconstpointer b)
{
  ClockMs x = ((const FifoCall *)a)->at;
  ClockMs y = ((const FifoCall *)b)->at;

  return x < y ? -1 : x > y;
}

static double
draw_exponential (GRand *rng, double mean)
{
  return -mean * log (1 - g_rand_double (rng));
}

static double
draw_service (Load *l, double mean)
{
  if (l->spread == SPREAD_EVEN)
    return mean * (0.5 + g_rand_double (l->rng));
  return draw_exponential (l->rng, mean);
}

/* Adds a stream of calls that keeps BUSY slots busy from FROM to UNTIL. */
static void
add_stream (Load *l,
            const FifoCall *like,
            double busy,
            ClockMs from,
            ClockMs until)
{
  double mean = (double)service_mean[like->work_class];
  double at = (double)from;

  for (;;)
    {
      FifoCall call = *like;

      at += draw_exponential (l->rng, mean / busy);
      if (at >= (double)until)
        return;
      call.at = (ClockMs)at;
      call.service = 1 + (ClockMs)draw_service (l, mean);
      g_array_append_val (l->calls, call);
    }
}

static Load
load_new (guint32 seed)
{
  return (Load) { .calls = g_array_new (FALSE, TRUE, sizeof (FifoCall)),
                  .rng = g_rand_new_with_seed (seed) };
}

static void
load_free (Load *l)
{
  g_array_unref (l->calls);
  g_rand_free (l->rng);
}

static FifoCall *
call_at (const Load *l, guint i)
{
  return &g_array_index (l->calls, FifoCall, i);
}

/* --- nodes over fake upstreams, in virtual time --- */

typedef struct SimEvent
{
  ClockMs at;
  guint64 order;
  guint host;
  Event *event;
  guint upstream; /* plus 1, of a reply that ends a run; otherwise 0 */
} SimEvent;

typedef struct Sim
{
  const FifoSite *site;
  Load *load;
  Config *cfg;
  Core **cores;
  guint *running;
  GSequence *queue;
  guint64 order;
  ClockMs now;
  gint64 events;
  gint64 ns;
  gint64 messages;
  gint64 in_flight;
} Sim;

static gint
by_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const SimEvent *x = a;
  const SimEvent *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
post (Sim *s, ClockMs at, guint host, Event *e, guint upstream)
{
  SimEvent *x = g_new (SimEvent, 1);

  *x = (SimEvent) { .at = at,
                    .order = ++s->order,
                    .host = host,
                    .event = e,
                    .upstream = upstream };
  g_sequence_insert_sorted (s->queue, x, by_order, NULL);
}

/* Returns the number in a name such as "u12", plus 1. */
static guint
number_of (const char *name)
{
  return (guint)g_ascii_strtoull (name + 1, NULL, 10) + 1;
}

/* The body of a request is the number of its call. */
static const FifoCall *
call_of (const Sim *s, GBytes *body)
{
  const guint *i = g_bytes_get_data (body, NULL);

  return call_at (s->load, *i);
}

static void
run_at_upstream (Sim *s, guint host, const UpstreamSend *call)
{
  guint u = number_of (call->upstream);
  ClockMs service = call_of (s, call->body)->service;
  UpstreamReply r = { .upstream = call->upstream,
                      .request = call->request,
                      .attempt = call->attempt,
                      .result = UPSTREAM_BUSY,
                      .status = 503 };
  gboolean free_slot = s->running[u - 1] < s->site->slots;

  if (free_slot)
    {
      s->running[u - 1]++;
      r.result = u <= s->site->n_failing ? UPSTREAM_FAILED : UPSTREAM_ANSWERED;
      r.status = r.result == UPSTREAM_FAILED ? 500 : 200;
      if (u <= s->site->n_slow)
        service *= s->site->slow_factor;
    }
  if (r.result != UPSTREAM_ANSWERED)
    service = DELAY_MS;
  post (s, s->now + service, host, event_new (EV_UPSTREAM_REPLY, 0, NULL, &r),
        free_slot ? u : 0);
}

static void
take_reply (Sim *s, const CallerReply *r)
{
  FifoCall *call = call_at (s->load, (guint)r->conn);

  s->in_flight--;
  call->done = r->outcome == OUTCOME_NOT_RUN ? -1 : s->now;
  call->failed = r->outcome != OUTCOME_ANSWERED;
}

static void
carry_out (Sim *s, guint host, const Event *e)
{
  guint to;

  if (e->kind == FX_UPSTREAM_SEND)
    run_at_upstream (s, host, e->body);
  else if (e->kind == FX_REPLY)
    take_reply (s, e->body);
  else if (event_is_message (e->kind))
    {
      to = number_of (e->peer);
      s->messages += e->kind != MSG_HEARTBEAT;
      post (s, s->now + DELAY_MS, to - 1,
            event_new (e->kind, 0,
                       s->cores[host] ? core_host (s->cores[host]) : NULL,
                       e->body),
            0);
    }
}

/* Feeds E to a host, and measures what that and its effects cost. */
static void
feed (Sim *s, guint host, Event *e)
{
  GQueue effects = G_QUEUE_INIT;
  gint64 start = bench_ns ();
  Event *x;

  e->at = s->now;
  core_feed (s->cores[host], e);
  while ((x = core_next_effect (s->cores[host])))
    g_queue_push_tail (&effects, x);
  s->ns += bench_ns () - start;
  s->events++;
  while ((x = g_queue_pop_head (&effects)))
    {
      carry_out (s, host, x);
      event_free (x);
    }
}

static void
add_names (Sim *s)
{
  char name[16];
  guint i;

  for (i = 0; i < s->site->n_hosts; i++)
    {
      ConfigHost *h = rec_list_add (config_host_desc (), &s->cfg->hosts);

      g_snprintf (name, sizeof name, "h%u", i);
      rec_set_str (&h->name, name);
      rec_set_str (&h->domain, "d1");
    }
  for (i = 0; i < s->site->n_upstreams; i++)
    {
      ConfigUpstream *u =
          rec_list_add (config_upstream_desc (), &s->cfg->upstreams);

      g_snprintf (name, sizeof name, "u%u", i);
      rec_set_str (&u->name, name);
      rec_set_str (&u->domain, "d1");
      u->slots = s->site->slots;
      u->connections = 60;
    }
}

static void
boot (Sim *s, guint host)
{
  static const char csv[] = "workspace,weight\nw0,1\nw1,2\nw2,4\nw3,8\n";
  GBytes *b = g_bytes_new_static (csv, strlen (csv));
  TableValue table = { .revision = 1, .edit_id = "bench", .csv = b };

  rec_set_str (&s->cfg->host, config_host (s->cfg, host)->name);
  rec_set_str (&s->cfg->domain, "d1");
  s->cfg->incarnation = 1;
  s->cores[host] = core_new (s->cfg, 7 + host, 0);
  feed (s, host, &(Event) { .kind = EV_TICK });
  feed (s, host, &(Event) { .kind = EV_TABLE, .body = &table });
  g_bytes_unref (b);
}

static Sim *
sim_new (const FifoSite *site, Load *load)
{
  Sim *s = g_new0 (Sim, 1);
  guint i;

  s->site = site;
  s->load = load;
  s->cfg = config_default ();
  s->cfg->request_queue = site->queue;
  s->cfg->store_calls_per_s = 1;
  s->cores = g_new0 (Core *, site->n_hosts);
  s->running = g_new0 (guint, site->n_upstreams);
  s->queue = g_sequence_new (g_free);
  add_names (s);
  for (i = 0; i < site->n_hosts; i++)
    boot (s, i);
  s->events = s->ns = s->messages = 0;
  return s;
}

static void
sim_free (Sim *s)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s->queue);
  guint host;

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    event_free (((SimEvent *)g_sequence_get (i))->event);
  for (host = 0; host < s->site->n_hosts; host++)
    core_free (s->cores[host]);
  g_sequence_free (s->queue);
  g_free (s->running);
  g_free (s->cores);
  config_free (s->cfg);
  g_free (s);
}

static void
arrive (Sim *s, guint i, guint host)
{
  const FifoCall *call = call_at (s->load, i);
  char workspace[8];
  char caller[16];
  GBytes *body = g_bytes_new (&i, sizeof i);
  CallerRequest q = { .conn = i,
                      .token = "",
                      .workspace = workspace,
                      .caller = caller,
                      .work_class = call->work_class,
                      .work_kind = kinds[call->work_class],
                      .deadline_ms = CONFIG_DAY_MS,
                      .key = "",
                      .repeatable = 1,
                      .body = body };

  g_snprintf (workspace, sizeof workspace, "w%u", call->workspace);
  g_snprintf (caller, sizeof caller, "c%u", call->caller);
  s->in_flight++;
  feed (s, host, &(Event) { .kind = EV_REQUEST, .body = &q });
  g_bytes_unref (body);
}

static void
deliver_first (Sim *s)
{
  GSequenceIter *first = g_sequence_get_begin_iter (s->queue);
  SimEvent x = *(SimEvent *)g_sequence_get (first);

  g_sequence_remove (first);
  s->now = x.at;
  if (x.upstream)
    s->running[x.upstream - 1]--;
  feed (s, x.host, x.event);
  event_free (x.event);
}

static guint
next_to_wake (const Sim *s, ClockMs *at)
{
  guint first = 0;
  guint i;

  *at = CLOCK_NEVER;
  for (i = 0; i < s->site->n_hosts; i++)
    if (core_next_deadline (s->cores[i]) < *at)
      {
        first = i;
        *at = core_next_deadline (s->cores[i]);
      }
  return first;
}

static ClockMs
next_delivery (const Sim *s)
{
  GSequenceIter *first = g_sequence_get_begin_iter (s->queue);

  if (g_sequence_iter_is_end (first))
    return CLOCK_NEVER;
  return ((SimEvent *)g_sequence_get (first))->at;
}

/* Hosts get callers unevenly: the first gets as many as all others. */
static guint
host_for (const Sim *s, guint i)
{
  guint n = s->site->n_hosts;

  return n == 1 || i % 2 == 0 ? 0 : 1 + i / 2 % (n - 1);
}

/* Runs until time UNTIL, or all calls are answered. */
static void
sim_run (Sim *s, ClockMs until)
{
  guint n = s->load->calls->len;
  guint next = 0;

  while (next < n || s->in_flight > 0)
    {
      ClockMs arrival = next < n ? call_at (s->load, next)->at : CLOCK_NEVER;
      ClockMs delivery = next_delivery (s);
      ClockMs wake;
      guint host = next_to_wake (s, &wake);

      if (MIN (MIN (arrival, delivery), wake) > until)
        return;
      if (delivery <= MIN (arrival, wake))
        deliver_first (s);
      else if (wake <= arrival)
        {
          s->now = MAX (s->now, wake);
          feed (s, host, &(Event) { .kind = EV_TICK });
        }
      else
        {
          s->now = arrival;
          arrive (s, next, host_for (s, next));
          next++;
        }
    }
}

/* --- figures --- */

static gint
by_value (gconstpointer a, gconstpointer b)
{
  ClockMs x = *(const ClockMs *)a;
  ClockMs y = *(const ClockMs *)b;

  return x < y ? -1 : x > y;
}

/* Whether a call counts: of class K (-1: any), of callers from FIRST on. */
static gboolean
counts (const FifoCall *call, int k, guint first, guint last)
{
  return (k < 0 || (int)call->work_class == k) && call->caller >= first &&
         call->caller <= last && call->at >= WARM_MS;
}

static double
percentile (const Load *l, double p, int k, guint first, guint last)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (ClockMs));
  double value = 0;
  guint i;

  for (i = 0; i < l->calls->len; i++)
    {
      const FifoCall *call = call_at (l, i);
      ClockMs took = call->done - call->at;

      if (counts (call, k, first, last) && call->done >= 0)
        g_array_append_val (a, took);
    }
  g_array_sort (a, by_value);
  if (a->len)
    value = (double)g_array_index (a, ClockMs, (guint)(p * (a->len - 1)));
  g_array_unref (a);
  return value;
}

/* Slot time answered for the callers up to LAST until time UNTIL. */
static double
throughput (const Load *l, int k, guint last, ClockMs until)
{
  double sum = 0;
  guint i;

  for (i = 0; i < l->calls->len; i++)
    {
      const FifoCall *call = call_at (l, i);

      if (counts (call, k, 0, last) && call->done >= 0 && call->done <= until)
        sum += (double)call->service;
    }
  return sum;
}

static Load
load_copy (const Load *l)
{
  Load copy = load_new (1);

  g_array_append_vals (copy.calls, l->calls->data, l->calls->len);
  return copy;
}

static void
run_ours (const FifoSite *site, Load *l, ClockMs until)
{
  Sim *s = sim_new (site, l);
  guint i;

  for (i = 0; i < l->calls->len; i++)
    call_at (l, i)->done = -1;
  sim_run (s, until);
  sim_free (s);
}

/* Runs the load by our rules, and a copy of it, which is returned, by the
   naive ones. */
static Load
run_both (const FifoSite *site, Load *l, ClockMs until)
{
  Load naive = load_copy (l);

  g_array_sort (l->calls, by_arrival);
  g_array_sort (naive.calls, by_arrival);
  run_ours (site, l, until);
  fifo_run (site, (FifoCall *)naive.calls->data, naive.calls->len, naive.rng);
  return naive;
}

/* --- the measures --- */

static const FifoSite small_site = { .n_hosts = 1,
                                     .n_upstreams = 10,
                                     .slots = 8,
                                     .slow_factor = 10,
                                     .queue = QUEUE };

enum
{
  SMALL_SLOTS = 80,
  FLOOD_SPAN_MS = 40000,
  FLOOD_CALLER = 1000
};

/* 25% interactive, 25% normal, 15% batch, of 20 callers. */
static Load
calm_load (ClockMs span)
{
  static const double part[N_CLASSES] = { 0.25, 0.25, 0.15 };
  Load l = load_new (11);
  guint k;
  guint i;

  for (k = 0; k < N_CLASSES; k++)
    for (i = 0; i < 20; i++)
      add_stream (&l,
                  &(FifoCall) { .work_class = (WorkClass)k,
                                .workspace = i % N_WORKSPACES,
                                .caller = i },
                  part[k] * SMALL_SLOTS / 20, 0, span);
  return l;
}

static void
print_flood (const char *name,
             WorkClass flooded,
             const Load *calm,
             const Load *ours,
             const Load *naive)
{
  char row[64];
  int k;

  for (k = 0; k < N_CLASSES; k++)
    {
      double before = throughput (calm, k, FLOOD_CALLER - 1, FLOOD_SPAN_MS);

      if (k == (int)flooded)
        continue;
      g_snprintf (row, sizeof row, "req.flood.%s.%s.kept", name,
                  class_name ((WorkClass)k));
      bench_judge (
          row, throughput (ours, k, FLOOD_CALLER - 1, FLOOD_SPAN_MS) / before,
          throughput (naive, k, FLOOD_CALLER - 1, FLOOD_SPAN_MS) / before,
          BENCH_AT_LEAST, 0.9);
    }
}

/* A flood of one class at ten times the capacity. */
static void
bench_flood (WorkClass flooded)
{
  Load calm = calm_load (FLOOD_SPAN_MS);
  Load flood = calm_load (FLOOD_SPAN_MS);
  Load calm_naive = run_both (&small_site, &calm, FLOOD_SPAN_MS);
  Load naive;
  char row[64];
  const char *name = class_name (flooded);

  add_stream (&flood,
              &(FifoCall) { .work_class = flooded, .caller = FLOOD_CALLER },
              10 * SMALL_SLOTS, 0, FLOOD_SPAN_MS);
  naive = run_both (&small_site, &flood, FLOOD_SPAN_MS);
  print_flood (name, flooded, &calm, &flood, &naive);
  if (flooded != CLASS_INTERACTIVE)
    {
      double before =
          percentile (&calm, 0.99, CLASS_INTERACTIVE, 0, FLOOD_CALLER - 1);

      g_snprintf (row, sizeof row, "req.flood.%s.interactive_p99", name);
      bench_row (row,
                 percentile (&flood, 0.99, CLASS_INTERACTIVE, 0,
                             FLOOD_CALLER - 1),
                 before, BENCH_AT_MOST, 1.5);
      g_snprintf (row, sizeof row, "req.flood.%s.interactive_p99_of_fifo",
                  name);
      bench_row (row,
                 percentile (&flood, 0.99, CLASS_INTERACTIVE, 0,
                             FLOOD_CALLER - 1),
                 percentile (&naive, 0.99, CLASS_INTERACTIVE, 0,
                             FLOOD_CALLER - 1),
                 BENCH_AT_MOST, 0.5);
    }
  load_free (&calm);
  load_free (&flood);
  load_free (&calm_naive);
  load_free (&naive);
}

/* One caller asks fifty times as much as each of nineteen others. */
static void
bench_large_caller (void)
{
  Load without = load_new (21);
  Load with;
  Load naive_without;
  Load naive;
  guint i;

  for (i = 0; i < 19; i++)
    add_stream (&without,
                &(FifoCall) { .work_class = CLASS_NORMAL, .caller = i }, 2, 0,
                FLOOD_SPAN_MS);
  with = load_copy (&without);
  add_stream (&with,
              &(FifoCall) { .work_class = CLASS_NORMAL,
                            .caller = FLOOD_CALLER },
              100, 0, FLOOD_SPAN_MS);
  naive_without = run_both (&small_site, &without, 2 * (ClockMs)FLOOD_SPAN_MS);
  naive = run_both (&small_site, &with, 2 * (ClockMs)FLOOD_SPAN_MS);
  bench_row ("req.large_caller.small_p99", percentile (&with, 0.99, -1, 0, 18),
             percentile (&without, 0.99, -1, 0, 18), BENCH_AT_MOST, 1.5);
  bench_row ("req.large_caller.small_p99_of_fifo",
             percentile (&with, 0.99, -1, 0, 18),
             percentile (&naive, 0.99, -1, 0, 18), BENCH_AT_MOST, 0.5);
  load_free (&without);
  load_free (&with);
  load_free (&naive_without);
  load_free (&naive);
}

static double
jain (const Load *l, ClockMs until)
{
  static const double weights[N_WORKSPACES] = { 1, 2, 4, 8 };
  double sum = 0;
  double squares = 0;
  guint w;
  guint i;

  for (w = 0; w < N_WORKSPACES; w++)
    {
      double served = 0;

      for (i = 0; i < l->calls->len; i++)
        {
          const FifoCall *call = call_at (l, i);

          if (call->workspace == w && call->done >= 0 && call->done <= until)
            served += (double)call->service;
        }
      served /= weights[w];
      sum += served;
      squares += served * served;
    }
  return sum * sum / (N_WORKSPACES * squares);
}

/* Four workspaces of weights 1, 2, 4 and 8 ask for twice the capacity
   each; one does so by a caller fifty times as large as its others. */
static void
bench_jain (void)
{
  Load l = load_new (31);
  Load naive;
  guint w;
  guint i;

  for (w = 0; w < N_WORKSPACES; w++)
    for (i = 0; i < 10; i++)
      {
        FifoCall like = { .work_class = CLASS_NORMAL,
                          .workspace = w,
                          .caller = i };
        gboolean large = w == 0 && i == 0;

        add_stream (&l, &like, large ? 800 : 16, 0, FLOOD_SPAN_MS);
      }
  naive = run_both (&small_site, &l, FLOOD_SPAN_MS);
  bench_judge ("req.jain.weighted", jain (&l, FLOOD_SPAN_MS),
               jain (&naive, FLOOD_SPAN_MS), BENCH_AT_LEAST, 0.98);
  load_free (&l);
  load_free (&naive);
}

static double
failed_part (const Load *l)
{
  guint failed = 0;
  guint i;

  for (i = 0; i < l->calls->len; i++)
    failed += call_at (l, i)->failed;
  return (double)failed / l->calls->len;
}

/* One upstream in five fails everything. */
static void
bench_failing (void)
{
  FifoSite site = small_site;
  Load l = calm_load (FLOOD_SPAN_MS);
  Load naive = load_copy (&l);
  Sim *s;

  site.n_failing = 2;
  g_array_sort (l.calls, by_arrival);
  g_array_sort (naive.calls, by_arrival);
  fifo_run (&site, (FifoCall *)naive.calls->data, naive.calls->len, naive.rng);
  s = sim_new (&site, &l);
  sim_run (s, CLOCK_NEVER - 1);
  bench_judge ("req.failing.failed_part", failed_part (&l),
               failed_part (&naive), BENCH_AT_MOST, 0.01);
  bench_value ("req.failing.retried_part",
               (double)core_counter (s->cores[0], COUNT_RETRIES) / l.calls->len,
               "", BENCH_AT_MOST, 0.1);
  sim_free (s);
  load_free (&l);
  load_free (&naive);
}

/* One upstream in ten takes ten times as long. */
static void
bench_slow (void)
{
  FifoSite site = small_site;
  Load l = load_new (41);
  Load naive;
  guint i;

  site.n_slow = 1;
  l.spread = SPREAD_EVEN; /* so that the tail is the upstreams' alone */
  for (i = 0; i < 20; i++)
    add_stream (&l, &(FifoCall) { .work_class = CLASS_NORMAL, .caller = i },
                0.5 * SMALL_SLOTS / 20, 0, 4 * (ClockMs)FLOOD_SPAN_MS);
  naive = run_both (&site, &l, CLOCK_NEVER - 1);
  bench_row ("req.slow_upstream.p99_of_random",
             percentile (&l, 0.99, -1, 0, 100),
             percentile (&naive, 0.99, -1, 0, 100), BENCH_AT_MOST, 0.5);
  load_free (&l);
  load_free (&naive);
}

/* The other way: each host owns some upstreams and queues for them; calls
   are dealt to the owners at random. */
static void
print_owners (const Load *l, const FifoSite *site, double one_queue)
{
  FifoSite part = *site;
  Load all = load_new (71);
  guint owner;
  guint i;

  part.n_upstreams = site->n_upstreams / site->n_hosts;
  for (owner = 0; owner < site->n_hosts; owner++)
    {
      Load own = load_new (72 + owner);

      for (i = owner; i < l->calls->len; i += site->n_hosts)
        g_array_append_val (own.calls, *call_at (l, i));
      fifo_run (&part, (FifoCall *)own.calls->data, own.calls->len, own.rng);
      g_array_append_vals (all.calls, own.calls->data, own.calls->len);
      load_free (&own);
    }
  bench_row ("req.owners.p99_of_one_queue", percentile (&all, 0.99, -1, 0, 100),
             one_queue, BENCH_AT_MOST, 1.5);
  load_free (&all);
}

/* Eight hosts, of which one gets half of the callers, against one queue
   that knows everything. */
static void
bench_shares (void)
{
  FifoSite site = { .n_hosts = 8,
                    .n_upstreams = 50,
                    .slots = 8,
                    .queue = QUEUE };
  Load l = load_new (51);
  Load naive;
  Sim *s;
  guint i;

  for (i = 0; i < 40; i++)
    add_stream (&l, &(FifoCall) { .work_class = CLASS_NORMAL, .caller = i },
                0.6 * 400 / 40, 0, FLOOD_SPAN_MS);
  naive = load_copy (&l);
  g_array_sort (l.calls, by_arrival);
  g_array_sort (naive.calls, by_arrival);
  fifo_run (&site, (FifoCall *)naive.calls->data, naive.calls->len, naive.rng);
  s = sim_new (&site, &l);
  sim_run (s, 3 * (ClockMs)FLOOD_SPAN_MS);
  bench_row ("req.shares.p99_of_one_queue", percentile (&l, 0.99, -1, 0, 100),
             percentile (&naive, 0.99, -1, 0, 100), BENCH_AT_MOST, 1.5);
  bench_value ("req.shares.messages_per_request",
               (double)s->messages / l.calls->len, "", BENCH_AT_MOST, 1);
  print_owners (&l, &site, percentile (&naive, 0.99, -1, 0, 100));
  sim_free (s);
  load_free (&l);
  load_free (&naive);
}

/* What an event costs with SLOTS slots, at four fifths of their capacity. */
static double
cost_of_event (guint slots, double *bytes)
{
  FifoSite site = { .n_hosts = 1,
                    .n_upstreams = slots / 8,
                    .slots = 8,
                    .queue = 10 * QUEUE };
  ClockMs span = 12000000 / (ClockMs)slots;
  Load l = load_new (61);
  struct mallinfo2 before;
  Sim *s;
  double ns;
  guint i;

  for (i = 0; i < 100; i++)
    add_stream (&l,
                &(FifoCall) { .work_class = CLASS_NORMAL,
                              .workspace = i % N_WORKSPACES,
                              .caller = i },
                0.8 * slots / 100, 0, span);
  g_array_sort (l.calls, by_arrival);
  s = sim_new (&site, &l);
  before = mallinfo2 ();
  sim_run (s, span);
  *bytes = (double)(mallinfo2 ().uordblks - before.uordblks) /
           (double)MAX (1, s->in_flight);
  ns = (double)s->ns / (double)s->events;
  sim_free (s);
  load_free (&l);
  return ns;
}

static void
bench_cost (void)
{
  static const guint sizes[] = { 400, 4000, 12000 };
  double ns[G_N_ELEMENTS (sizes)];
  double bytes[G_N_ELEMENTS (sizes)];
  char row[64];
  guint i;
  int n;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      ns[i] = cost_of_event (sizes[i], &bytes[i]);
      for (n = 1; n < COST_RUNS; n++)
        ns[i] = MIN (ns[i], cost_of_event (sizes[i], &bytes[i]));
      g_snprintf (row, sizeof row, "req.event.%u_slots", sizes[i]);
      bench_value (row, ns[i], "ns", BENCH_AT_MOST, 5000);
      g_snprintf (row, sizeof row, "req.object.%u_slots", sizes[i]);
      bench_value (row, bytes[i], "B", BENCH_AT_MOST, 4096);
      bench_point ("req.event_ns_by_slots", "ours", sizes[i], ns[i]);
    }
  bench_row ("req.event.slope", ns[2], ns[0], BENCH_AT_MOST, 1.5);
}

/* Measures requests: floods, a large caller, bad and slow upstreams, slot
   shares, and what an event costs. */
void
bench_req (void)
{
  bench_flood (CLASS_BATCH);
  bench_flood (CLASS_INTERACTIVE);
  bench_large_caller ();
  bench_jain ();
  bench_failing ();
  bench_slow ();
  bench_shares ();
  bench_cost ();
}
