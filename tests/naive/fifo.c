#include "fifo.h"

/* An answer on its way. */
typedef struct FifoEnd
{
  ClockMs at;
  guint call;
  guint upstream;
} FifoEnd;

typedef struct FifoRun
{
  const FifoSite *site;
  FifoCall *calls;
  GRand *rng;
  GSequence *ends; /* of FifoEnd, by time */
  GQueue waiting;  /* of FifoCall */
  guint *running;  /* by upstream */
  GArray *open;    /* upstreams with a free slot */
} FifoRun;

static gint
by_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const FifoEnd *x = a;
  const FifoEnd *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->call < y->call ? -1 : x->call > y->call;
}

static void
start (FifoRun *f, FifoCall *call, ClockMs now)
{
  gint32 pick = g_rand_int_range (f->rng, 0, (gint32)f->open->len);
  guint u = g_array_index (f->open, guint, pick);
  ClockMs service = call->service;
  FifoEnd *end = g_new (FifoEnd, 1);

  if (++f->running[u] == f->site->slots)
    g_array_remove_index_fast (f->open, (guint)pick);
  if (u < f->site->n_slow)
    service *= f->site->slow_factor;
  call->failed = u < f->site->n_failing;
  *end = (FifoEnd) { .at = now + (call->failed ? 1 : service),
                     .call = (guint)(call - f->calls),
                     .upstream = u };
  g_sequence_insert_sorted (f->ends, end, by_time, NULL);
}

static void
finish (FifoRun *f, GSequenceIter *first)
{
  FifoEnd end = *(FifoEnd *)g_sequence_get (first);

  g_sequence_remove (first);
  f->calls[end.call].done = end.at;
  if (f->running[end.upstream]-- == f->site->slots)
    g_array_append_val (f->open, end.upstream);
  if (!g_queue_is_empty (&f->waiting))
    start (f, g_queue_pop_head (&f->waiting), end.at);
}

static void
arrive (FifoRun *f, FifoCall *call)
{
  call->done = -1;
  if (f->open->len > 0)
    start (f, call, call->at);
  else if (f->waiting.length < f->site->queue)
    g_queue_push_tail (&f->waiting, call);
}

/* Runs the N CALLS, in the order of time, to their ends. */
void
fifo_run (const FifoSite *site, FifoCall *calls, guint n, GRand *rng)
{
  FifoRun f = { .site = site,
                .calls = calls,
                .rng = rng,
                .ends = g_sequence_new (g_free),
                .running = g_new0 (guint, site->n_upstreams),
                .open = g_array_new (FALSE, FALSE, sizeof (guint)) };
  guint next = 0;
  guint u;

  g_queue_init (&f.waiting);
  for (u = 0; u < site->n_upstreams; u++)
    g_array_append_val (f.open, u);
  while (next < n || !g_sequence_is_empty (f.ends))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (f.ends);
      const FifoEnd *end =
          g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);

      if (end && (next == n || end->at <= calls[next].at))
        finish (&f, first);
      else
        arrive (&f, &calls[next++]);
    }
  g_queue_clear (&f.waiting);
  g_sequence_free (f.ends);
  g_free (f.running);
  g_array_unref (f.open);
}
