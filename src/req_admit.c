#include "req_state.h"

#include "slots.h"

enum
{
  COST_MAX_KINDS = 4096,
  COST_MAX_MS = 86400000,
  CLASS_QUEUE_PERCENT = 60 /* of the queue, for any one class */
};

/* The token bucket of one workspace's requests_per_s. */
typedef struct RateBucket
{
  gint64 tokens; /* in permille of a request */
  ClockMs at;    /* when TOKENS were last added */
} RateBucket;

/* Returns the learnt cost of work of KIND of WORKSPACE; the entry lives as
   long as Q.  Kinds beyond COST_MAX_KINDS share one. */
CostEntry *
req_cost (Req *q, const char *workspace, const char *kind)
{
  char key[2 * CALLER_MAX_NAME + 2];
  CostEntry *x;

  g_snprintf (key, sizeof key, "%s %s", workspace, kind);
  x = g_hash_table_lookup (q->costs, key);
  if (x)
    return x;
  if (g_hash_table_size (q->costs) >= COST_MAX_KINDS)
    return &q->other_cost;
  x = g_new (CostEntry, 1);
  x->ms = REQ_COST_FIRST_MS;
  g_hash_table_insert (q->costs, g_strdup (key), x);
  return x;
}

/* Learns that R, which ran, took MS of slot time. */
void
req_learn_cost (const Request *r, gint64 ms)
{
  CostEntry *x = r->cost;

  x->ms = CLAMP (x->ms + (ms - x->ms) / 8, 1, COST_MAX_MS);
}

static FairPlace
place_of (Core *c, const Request *r, const Workspace *w)
{
  FairPlace p = { .work_class = r->work_class,
                  .workspace = r->workspace,
                  .caller = r->caller,
                  .weight = w ? w->weight : 1,
                  .max_running = w ? w->max_running : -1 };
  gint64 n = slots_n_hosts (c);

  if (p.max_running > 0)
    p.max_running = (p.max_running + n - 1) / n;
  return p;
}

/* Puts R into the fair queue. */
void
req_enqueue (Core *c, Request *r)
{
  FairPlace p = place_of (c, r, table_find (c, r->workspace));

  r->state = REQUEST_QUEUED;
  r->used_slot_ms = 0;
  r->fair.cost = r->cost->ms;
  r->fair.bytes = r->body ? (gint64)g_bytes_get_size (r->body) : 0;
  fair_push (c->req->fair, &r->fair, &p, c->now);
}

/* Takes a token of the workspace's rate.  The limit counts for the failure
   domain and is divided among its hosts. */
static gboolean
take_rate (Core *c, const Workspace *w)
{
  RateBucket *t = g_hash_table_lookup (c->req->rate_buckets, w->name);
  gint64 n = slots_n_hosts (c);
  gint64 most = MAX (PERMILLE, w->requests_per_s * PERMILLE / n);

  if (w->requests_per_s < 0)
    return TRUE;
  if (!t)
    {
      t = g_new0 (RateBucket, 1);
      t->tokens = most;
      t->at = c->now;
      g_hash_table_insert (c->req->rate_buckets, g_strdup (w->name), t);
    }
  t->tokens = MIN (most, t->tokens + w->requests_per_s * (c->now - t->at) / n);
  t->at = c->now;
  if (t->tokens < PERMILLE)
    return FALSE;
  t->tokens -= PERMILLE;
  return TRUE;
}

/* Says why the queues cannot take R, NULL when they can.  A caller may hold
   as many places as are left free, so that one who floods finds the queue
   full before others do. */
static const char *
queue_refusal (Core *c, Request *r, const FairPlace *p, const Workspace *w)
{
  const Fair *f = c->req->fair;
  gint64 most = c->cfg->request_queue * CLASS_QUEUE_PERCENT / 100;
  gint64 left = most - fair_class_waiting (f, p->work_class);
  gint64 bytes = r->body ? (gint64)g_bytes_get_size (r->body) : 0;
  gint64 n = slots_n_hosts (c);
  guint waiting;
  guint running;

  fair_workspace_counts (f, w->name, &waiting, &running);
  if (w->max_queued >= 0 && waiting >= (w->max_queued + n - 1) / n)
    return "the workspace's max_queued is reached";
  if (fair_waiting (f) >= c->cfg->request_queue || left <= 0)
    return "the queue is full";
  if (fair_waiting_bytes (f) + bytes > c->cfg->request_queue_bytes)
    return "the queue's bytes are used up";
  if (fair_caller_waiting (f, p) >= (guint)left)
    return "the queue is full for a caller with so much in it";
  return NULL;
}

/* Applies the limits to R.  Returns FALSE after refusing it. */
gboolean
req_admit (Core *c, Request *r, const Workspace *w)
{
  guint slots = (guint)route_slots (c->req->route);
  FairPlace p;
  const char *why;
  gint64 wait;

  if (!take_rate (c, w))
    {
      if (r->work_class != CLASS_INTERACTIVE)
        {
          core_add (c, COUNT_REFUSED_RATE, 1);
          req_finish (c, r, OUTCOME_NOT_RUN, 429,
                      "the workspace's requests_per_s is reached", NULL);
          return FALSE;
        }
      core_add (c, COUNT_DEMOTED, 1);
      r->work_class = CLASS_BATCH;
      r->demoted = TRUE;
    }
  p = place_of (c, r, w);
  why = queue_refusal (c, r, &p, w);
  if (why)
    {
      core_add (c, COUNT_REFUSED_QUEUE, 1);
      req_finish (c, r, OUTCOME_NOT_RUN, 503, why, NULL);
      return FALSE;
    }
  wait = fair_wait_estimate (c->req->fair, &p, slots);
  if (wait == 0 || wait + r->cost->ms <= r->deadline - c->now)
    return TRUE;
  core_add (c, COUNT_REFUSED_DEADLINE, 1);
  req_finish (c, r, OUTCOME_NOT_RUN, 503,
              "the deadline cannot be met by what waits already", NULL);
  return FALSE;
}
