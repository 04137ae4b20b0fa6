#include "req.h"

#include "member.h"
#include "req_state.h"
#include "slots.h"
#include "table.h"

#include <json-c/json.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

enum
{
  PERMILLE = 1000,
  COST_FIRST_MS = 100, /* of a kind not seen yet */
  COST_MAX_KINDS = 4096,
  COST_MAX_MS = 86400000,
  CLASS_QUEUE_PERCENT = 60, /* of the queue, for any one class */
  MAX_RETRIES = 2,
  RETRY_TOKENS_MAX = 100 * PERMILLE,
  RETRY_TOKENS_FIRST = 10 * PERMILLE,
  MAX_PLACING = 8,
  BORROW_FREE_MAX = 8, /* slots are borrowed when fewer than 1/8 are free */
  PLACE_AGAIN_MS = 25,
  WAITING_TICK_MS = 100,
  LOAN_TICK_MS = 500,
  STORE_WAIT_MIN_MS = 100,
  STORE_WAIT_MAX_MS = 5000,
  ASK_TIMEOUT_MS = 2000,
  ASK_AGAIN_MS = 1000,
  ASK_LOST_MS = 20, /* after a lost answer, which only asking can bring */
  ASK_MAX_MS = 60000,
  ASK_FAILURES_MAX = 3,
  LOOK_UP_MS = 5000,
  DETACHED_MS = 600000, /* how long an outcome nobody waits for is awaited */
  MAX_ENDED = 512,
  RETRY_AFTER_MS = 1000
};

/* Requests a second of one workspace. */
typedef struct Tenant
{
  gint64 tokens; /* in permille of a request */
  ClockMs at;
  gboolean seen;
} Tenant;

/* A request that has ended, for explanations. */
typedef struct Ended
{
  char *id;
  Outcome outcome;
  char *why;
  char *upstream;
  gint64 attempts;
  ClockMs took;
} Ended;

#define REQUEST_STATE_NAME(kind, name) name,
static const char *const state_names[] = {
  REQUEST_STATES (REQUEST_STATE_NAME)
};

static void on_tick (Core *c, Timer *t);
static void on_silence (Core *c, Timer *t);
static void on_probe (Core *c, Timer *t);
static void on_expiry (Core *c, Timer *t);
static void on_step (Core *c, Timer *t);
static void on_drain_bound (Core *c, Timer *t);

static void
request_free (gpointer p)
{
  Request *r = p;

  g_clear_pointer (&r->body, g_bytes_unref);
  rec_free (claim_value_desc (), r->claim);
  g_free (r);
}

static void
waiter_free (gpointer p)
{
  Waiter *w = p;
  Request *r = w->request;

  APR_RING_REMOVE (w, link);
  r->n_waiters--;
  w->request = NULL;
  if (w != &r->first)
    g_free (w);
}

static void
ended_free (gpointer p)
{
  Ended *x = p;

  g_free (x->id);
  g_free (x->why);
  g_free (x->upstream);
  g_free (x);
}

/* Returns the requests of node C: none. */
Req *
req_new (Core *c)
{
  Req *q = g_new0 (Req, 1);
  guint i;

  q->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  q->by_conn =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, waiter_free);
  q->costs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  q->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  q->ended = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, ended_free);
  g_queue_init (&q->ended_order);
  q->fair = fair_new ();
  q->route = route_new (c->rng);
  q->slots = slots_new (c);
  q->claims = claim_new (c);
  APR_RING_INIT (&q->placing, Request, link);
  APR_RING_INIT (&q->fresh, Request, fresh);
  q->silence = (Timer) { .fire = on_silence };
  q->retry_tokens = RETRY_TOKENS_FIRST;
  q->other_cost.ms = COST_FIRST_MS;
  q->tick = (Timer) { .fire = on_tick };
  q->drain_bound = (Timer) { .fire = on_drain_bound };
  q->probes = g_new0 (Timer, c->cfg->upstreams.n);
  for (i = 0; i < c->cfg->upstreams.n; i++)
    {
      const ConfigUpstream *u = config_upstream (c->cfg, i);
      gboolean own = strcmp (u->domain, c->cfg->domain) == 0;

      route_set_limit (q->route, route_add (q->route, u->name, own), !own);
      q->probes[i] = (Timer) { .fire = on_probe };
    }
  return q;
}

/* Starts the module. */
void
req_start (Core *c)
{
  c->req->spill_bytes = c->cfg->spill_bytes_per_s;
  c->req->spill_at = c->now;
  slots_sync (c);
}

/* Releases Q. */
void
req_free (Req *q)
{
  g_hash_table_unref (q->by_conn);
  g_hash_table_unref (q->by_id);
  g_hash_table_unref (q->costs);
  g_hash_table_unref (q->tenants);
  g_queue_clear (&q->ended_order);
  g_hash_table_unref (q->ended);
  fair_free (q->fair);
  route_free (q->route);
  slots_free (q->slots);
  claim_free (q->claims);
  g_free (q->probes);
  g_free (q);
}

/* Tells whether a request is in flight, or an outcome is not yet in the
   store. */
gboolean
req_busy (const Core *c)
{
  return g_hash_table_size (c->req->by_id) > 0 || claim_busy (c);
}

/* Returns twice SPAN, at most MOST, both in milliseconds. */
ClockMs
req_grow (ClockMs span, ClockMs most)
{
  return MIN (2 * span, most);
}

/* Sets *WAITING and *RUNNING to the workspace's requests at this node. */
void
req_workspace_counts (const Core *c,
                      const char *workspace,
                      guint *waiting,
                      guint *running)
{
  fair_workspace_counts (c->req->fair, workspace, waiting, running);
}

/* --- costs --- */

/* Returns what is learnt of the kind; the entry stays where it is.  Kinds
   beyond COST_MAX_KINDS share one. */
static CostEntry *
cost_get (Req *q, const char *workspace, const char *kind)
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
  x->ms = COST_FIRST_MS;
  g_hash_table_insert (q->costs, g_strdup (key), x);
  return x;
}

static void
cost_learn (const Request *r, gint64 ms)
{
  CostEntry *x = r->cost;

  x->ms = CLAMP (x->ms + (ms - x->ms) / 8, 1, COST_MAX_MS);
}

/* --- replies --- */

static void
reply (Core *c,
       gint64 conn,
       const Request *r,
       Outcome outcome,
       int status,
       const char *reason,
       GBytes *body)
{
  gboolean later = outcome == OUTCOME_NOT_RUN && status >= 429;

  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = outcome,
                              .status = status,
                              .id = r ? r->id : NULL,
                              .reason = reason,
                              .retry_after_ms = later ? RETRY_AFTER_MS : 0,
                              .body = body });
}

static void
count_outcome (Core *c, Outcome outcome)
{
  static const Counter counters[N_OUTCOMES] = {
    [OUTCOME_ANSWERED] = COUNT_ANSWERED,
    [OUTCOME_FAILED] = COUNT_FAILED,
    [OUTCOME_NOT_RUN] = COUNT_NOT_RUN,
    [OUTCOME_UNKNOWN] = COUNT_UNKNOWN,
  };

  core_add (c, counters[outcome], 1);
}

/* Replies to every caller that waits for R, and empties the list. */
static void
reply_all (Core *c,
           Request *r,
           Outcome outcome,
           int status,
           const char *reason,
           GBytes *body)
{
  while (r->n_waiters > 0)
    {
      Waiter *w = APR_RING_FIRST (&r->waiters);

      count_outcome (c, outcome);
      reply (c, w->conn, r, outcome, status, reason, body);
      g_hash_table_remove (c->req->by_conn, &w->conn);
    }
}

static const char *
upstream_name (Core *c, const Request *r)
{
  return r->upstream == ROUTE_NONE ? ""
                                   : route_name (c->req->route, r->upstream);
}

static void
note (Core *c, const Request *r, NoteKind kind, const char *detail)
{
  core_write_note (c, &(CoreNote) { .kind = kind,
                                    .request = r->id,
                                    .workspace = r->workspace,
                                    .upstream = upstream_name (c, r),
                                    .detail = detail });
}

static void
remember (Core *c, const Request *r, Outcome outcome, const char *why)
{
  Req *q = c->req;
  Ended *x = g_new (Ended, 1);

  *x = (Ended) { .id = g_strdup (r->id),
                 .outcome = outcome,
                 .why = g_strdup (why),
                 .upstream = g_strdup (upstream_name (c, r)),
                 .attempts = r->attempt,
                 .took = c->now - r->arrived };
  if (g_hash_table_lookup (q->ended, x->id))
    {
      g_hash_table_replace (q->ended, x->id, x);
      return;
    }
  g_hash_table_insert (q->ended, x->id, x);
  g_queue_push_tail (&q->ended_order, x);
  if (q->ended_order.length > MAX_ENDED)
    {
      x = g_queue_pop_head (&q->ended_order);
      g_hash_table_remove (q->ended, x->id);
    }
}

/* --- silence --- */

static void
leave_fresh (Request *r)
{
  if (!r->is_fresh)
    return;
  APR_RING_REMOVE (r, fresh);
  r->is_fresh = FALSE;
}

static void
stop_step (Core *c, Request *r)
{
  leave_fresh (r);
  core_stop (c, &r->step);
}

/* All wait equally long for the first sign of their upstream, so one ring
   in the order of sending and one timer serve them. */
static void
watch_silence (Core *c, Request *r)
{
  Req *q = c->req;

  if (!q->silence.slot)
    core_arm (c, &q->silence, c->now + c->cfg->silence_ms);
  APR_RING_INSERT_TAIL (&q->fresh, r, Request, fresh);
  r->is_fresh = TRUE;
}

static void
on_silence (Core *c, Timer *t)
{
  Req *q = c->req;
  ClockMs span = c->cfg->silence_ms;

  while (!APR_RING_EMPTY (&q->fresh, Request, fresh))
    {
      Request *r = APR_RING_FIRST (&q->fresh);

      if (r->sent + span > c->now)
        {
          core_arm (c, t, r->sent + span);
          return;
        }
      leave_fresh (r);
      req_ask_upstream (c, r);
    }
}

/* --- slots --- */

static void
leave_placing (Core *c, Request *r)
{
  if (r->state != REQUEST_PLACING)
    return;
  APR_RING_REMOVE (r, link);
  c->req->n_placing--;
}

static void
free_slot (Core *c, Request *r)
{
  if (!r->holds)
    return;
  r->holds = FALSE;
  r->slot_ms += c->now - r->held_at;
  route_end (c->req->route, r->upstream);
  if (!route_is_own (c->req->route, r->upstream))
    c->req->n_spilled--;
}

/* Gives back whatever R holds: its place in a queue, its slot. */
void
req_release (Core *c, Request *r)
{
  leave_placing (c, r);
  if (r->state == REQUEST_STORE_WAIT)
    c->req->n_store_wait--;
  free_slot (c, r);
  if (r->fair.state == FAIR_WAITING)
    fair_cancel (c->req->fair, &r->fair);
  else if (r->fair.state == FAIR_RUNNING)
    fair_finish (c->req->fair, &r->fair, r->slot_ms);
  r->state = REQUEST_FOLLOWING;
}

static void
settle_claim (Core *c, Request *r, Outcome outcome, int status, GBytes *body)
{
  static const ClaimState states[N_OUTCOMES] = {
    [OUTCOME_ANSWERED] = CLAIM_ANSWERED,
    [OUTCOME_FAILED] = CLAIM_FAILED,
    [OUTCOME_NOT_RUN] = CLAIM_NOT_RUN,
  };

  if (r->claim_sent && outcome != OUTCOME_UNKNOWN)
    claim_settle (c, r, states[outcome], status, body);
}

/* Ends R with OUTCOME: replies to its callers, gives back what it holds and
   writes the outcome of a claimed one to the store. */
void
req_finish (Core *c,
            Request *r,
            Outcome outcome,
            int status,
            const char *reason,
            GBytes *body)
{
  note (c, r, NOTE_REQUEST_ENDED, outcome_name (outcome));
  reply_all (c, r, outcome, status, reason, body);
  settle_claim (c, r, outcome, status, body);
  remember (c, r, outcome, reason);
  req_release (c, r);
  core_stop (c, &r->expiry);
  stop_step (c, r);
  if (r->claim_call)
    store_forget (c, r->claim_call);
  g_hash_table_remove (c->req->by_id, r->id);
  req_pump (c);
}

/* --- placing --- */

static void
add_tried (Request *r, int u)
{
  if (r->n_tried < ROUTE_MAX_TRIED)
    r->tried[r->n_tried++] = u;
  else
    r->tried[r->attempt % ROUTE_MAX_TRIED] = u;
}

static gboolean
is_pressed (Core *c)
{
  return fair_waiting (c->req->fair) > 2 * (guint)route_slots (c->req->route);
}

/* Other domains take work only when the own one has no capacity and the
   bytes allow it. */
static gboolean
may_spill (Core *c)
{
  Req *q = c->req;
  gint64 rate = c->cfg->spill_bytes_per_s;

  if (rate == 0 || !route_has_others (q->route))
    return FALSE;
  if (route_slots (q->route) > 0 && !is_pressed (c))
    return FALSE;
  q->spill_bytes =
      MIN (rate, q->spill_bytes + rate * (c->now - q->spill_at) / 1000);
  q->spill_at = c->now;
  return q->spill_bytes > 0;
}

static int
choose (Core *c, Request *r, gboolean elsewhere)
{
  RouteWish wish = { .kind = route_kind (c->req->route, r->work_kind),
                     .repeatable = r->repeatable,
                     .pressed = is_pressed (c),
                     .elsewhere = elsewhere,
                     .n_tried = r->n_tried };

  memcpy (wish.tried, r->tried, sizeof wish.tried);
  return route_choose (c->req->route, &wish, c->now);
}

static void
hold_slot (Core *c, Request *r, int u)
{
  Req *q = c->req;

  r->upstream = u;
  r->holds = TRUE;
  r->held_at = c->now;
  route_begin (q->route, u);
  if (route_is_own (q->route, u))
    return;
  q->n_spilled++;
  core_add (c, COUNT_SPILLED, 1);
  q->spill_bytes -= r->body ? (gint64)g_bytes_get_size (r->body) : 0;
}

/* Sends R to the upstream of which it holds a slot. */
void
req_send (Core *c, Request *r)
{
  r->state = REQUEST_RUNNING;
  r->attempt++;
  r->sent = c->now;
  r->ask_failures = 0;
  r->lost = FALSE;
  r->patience = c->cfg->silence_ms;
  watch_silence (c, r);
  note (c, r, NOTE_REQUEST_SENT, NULL);
  core_emit (c, FX_UPSTREAM_SEND, NULL,
             &(UpstreamSend) { .upstream = upstream_name (c, r),
                               .request = r->id,
                               .attempt = r->attempt,
                               .workspace = r->workspace,
                               .caller = r->caller,
                               .work_kind = r->work_kind,
                               .timeout_ms = MAX (1, r->deadline - c->now),
                               .body = r->body });
}

/* Puts R on an upstream, of the own domain or ELSEWHERE.  Returns FALSE when
   there is none. */
static gboolean
place (Core *c, Request *r, gboolean elsewhere)
{
  int u = choose (c, r, elsewhere);

  if (u == ROUTE_NONE)
    return FALSE;
  leave_placing (c, r);
  hold_slot (c, r, u);
  if (r->repeatable)
    req_send (c, r);
  else
    claim_take (c, r);
  return TRUE;
}

static void
enter_placing (Core *c, Request *r)
{
  r->state = REQUEST_PLACING;
  APR_RING_INSERT_TAIL (&c->req->placing, r, Request, link);
  c->req->n_placing++;
}

static void
place_waiting (Core *c)
{
  Req *q = c->req;
  guint n = q->n_placing;

  while (n-- > 0 && !APR_RING_EMPTY (&q->placing, Request, link))
    {
      Request *r = APR_RING_FIRST (&q->placing);

      APR_RING_REMOVE (r, link);
      APR_RING_INSERT_TAIL (&q->placing, r, Request, link);
      if (!place (c, r, FALSE) && may_spill (c))
        place (c, r, TRUE);
    }
}

static void
schedule_tick (Core *c)
{
  Req *q = c->req;
  ClockMs span = CLOCK_NEVER;

  if (q->n_placing)
    span = PLACE_AGAIN_MS;
  else if (fair_waiting (q->fair))
    span = WAITING_TICK_MS;
  else if (slots_lent_or_borrowed (c))
    span = LOAN_TICK_MS;
  if (span == CLOCK_NEVER)
    core_stop (c, &q->tick);
  else if (!q->tick.slot || q->tick.at > c->now + span)
    core_arm (c, &q->tick, c->now + span);
}

/* Starts the next request.  Returns FALSE when none may start. */
static gboolean
start_next (Core *c)
{
  Req *q = c->req;
  guint slots = (guint)route_slots (q->route) + q->n_spilled;
  FairItem *it = NULL;
  gboolean elsewhere = FALSE;

  if (route_free_slots (q->route) > 0)
    it = fair_pop (q->fair, slots, c->now);
  if (!it && may_spill (c))
    {
      elsewhere = TRUE;
      it = fair_pop (q->fair, slots + 1, c->now);
    }
  if (!it)
    return FALSE;
  enter_placing (c, (Request *)it);
  return place (c, (Request *)it, elsewhere);
}

static gboolean
wants_slots (Core *c)
{
  const Route *route = c->req->route;

  return fair_waiting (c->req->fair) &&
         route_free_slots (route) * BORROW_FREE_MAX < route_slots (route);
}

/* Starts whatever may start now. */
void
req_pump (Core *c)
{
  Req *q = c->req;

  if (q->closed)
    return;
  place_waiting (c);
  while (q->n_placing < MAX_PLACING && fair_waiting (q->fair))
    if (!start_next (c))
      break;
  if (wants_slots (c))
    slots_borrow (c, fair_waiting (q->fair));
  core_set (c, COUNT_WAITING, fair_waiting (q->fair));
  core_set (c, COUNT_RUNNING, fair_running (q->fair));
  schedule_tick (c);
}

static void
on_tick (Core *c, Timer *t)
{
  (void)t;
  slots_sync (c);
  slots_tick (c);
  req_pump (c);
}

/* --- admission --- */

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

static void
enqueue (Core *c, Request *r)
{
  FairPlace p = place_of (c, r, table_find (c, r->workspace));

  r->state = REQUEST_QUEUED;
  r->slot_ms = 0;
  r->fair.cost = r->cost->ms;
  r->fair.bytes = r->body ? (gint64)g_bytes_get_size (r->body) : 0;
  fair_push (c->req->fair, &r->fair, &p, c->now);
}

/* Takes a token of the workspace's rate.  The limit counts for the failure
   domain and is divided among its hosts. */
static gboolean
take_rate (Core *c, const Workspace *w)
{
  Tenant *t = g_hash_table_lookup (c->req->tenants, w->name);
  gint64 n = slots_n_hosts (c);
  gint64 most = MAX (PERMILLE, w->requests_per_s * PERMILLE / n);

  if (w->requests_per_s < 0)
    return TRUE;
  if (!t)
    {
      t = g_new0 (Tenant, 1);
      t->tokens = most;
      t->at = c->now;
      g_hash_table_insert (c->req->tenants, g_strdup (w->name), t);
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
static gboolean
admit (Core *c, Request *r, const Workspace *w)
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

static void
attach (Core *c, Request *r, gint64 conn)
{
  Waiter *w = r->first.request ? g_new0 (Waiter, 1) : &r->first;

  w->conn = conn;
  w->request = r;
  APR_RING_INSERT_TAIL (&r->waiters, w, Waiter, link);
  r->n_waiters++;
  g_hash_table_insert (c->req->by_conn, &w->conn, w);
}

static void
make_id (Core *c, const CallerRequest *q, char id[CALLER_MAX_ID + 1])
{
  if (q->repeatable)
    g_snprintf (id, CALLER_MAX_ID + 1,
                "%s-%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT, c->cfg->host,
                c->cfg->incarnation, c->req->serial + 1);
  else
    claim_make_id (q->workspace, q->key, id);
}

static void
make_digest (GBytes *body, char digest[17])
{
  gsize n = 0;
  gconstpointer data = body ? g_bytes_get_data (body, &n) : NULL;

  g_snprintf (digest, 17, "%016" G_GINT64_MODIFIER "x",
              (guint64)XXH3_64bits (data, n));
}

/* Copies S to *END, moves *END behind the copy, and returns the copy. */
static const char *
pack (char **end, const char *s)
{
  char *copy = *end;
  gsize n = strlen (s) + 1;

  memcpy (copy, s, n);
  *end += n;
  return copy;
}

/* Returns a new request with ID and the names in Q. */
static Request *
request_new (Core *c, const char *id, const CallerRequest *q, ClockMs span)
{
  gsize n = strlen (id) + strlen (q->workspace) + strlen (q->caller) +
            strlen (q->work_kind) + strlen (q->key) + 5;
  Request *r = g_malloc0 (sizeof *r + n);
  char *end = r->text;

  r->id = pack (&end, id);
  r->workspace = pack (&end, q->workspace);
  r->caller = pack (&end, q->caller);
  r->work_kind = pack (&end, q->work_kind);
  r->key = pack (&end, q->key);
  APR_RING_INIT (&r->waiters, Waiter, link);
  r->arrived = c->now;
  r->deadline = c->now + span;
  r->upstream = ROUTE_NONE;
  r->so_far = OUTCOME_NOT_RUN;
  r->state = REQUEST_FOLLOWING;
  r->serial = ++c->req->serial;
  r->expiry = (Timer) { .fire = on_expiry, .owner = r };
  r->step = (Timer) { .fire = on_step, .owner = r };
  g_hash_table_insert (c->req->by_id, (gpointer)r->id, r);
  core_arm (c, &r->expiry, r->deadline);
  return r;
}

static Request *
request_from (Core *c, const char *id, const CallerRequest *q)
{
  ClockMs span = q->deadline_ms ? q->deadline_ms : c->cfg->request_deadline_ms;
  Request *r = request_new (c, id, q, span);

  r->body = q->body ? g_bytes_ref (q->body) : NULL;
  r->cost = cost_get (c->req, q->workspace, q->work_kind);
  r->work_class = (WorkClass)q->work_class;
  r->repeatable = q->repeatable != 0;
  if (!r->repeatable)
    make_digest (q->body, r->digest);
  return r;
}

static void
refuse (Core *c, gint64 conn, int status, const char *reason)
{
  core_add (c, COUNT_NOT_RUN, 1);
  reply (c, conn, NULL, OUTCOME_NOT_RUN, status, reason, NULL);
}

/* Joins CONN to R, which has the same idempotency key. */
static void
join (Core *c, Request *r, const CallerRequest *q)
{
  char digest[17];

  make_digest (q->body, digest);
  if (r->digest[0] && strcmp (digest, r->digest) != 0)
    {
      refuse (c, q->conn, 422, "idempotency key was used with another body");
      return;
    }
  core_add (c, COUNT_ATTACHED, 1);
  attach (c, r, q->conn);
}

static void
begin (Core *c, const CallerRequest *q, const Workspace *w)
{
  char id[CALLER_MAX_ID + 1];
  Request *r;

  make_id (c, q, id);
  r = g_hash_table_lookup (c->req->by_id, id);
  if (r)
    {
      join (c, r, q);
      return;
    }
  r = request_from (c, id, q);
  attach (c, r, q->conn);
  note (c, r, NOTE_REQUEST, class_name (r->work_class));
  if (!admit (c, r, w))
    return;
  c->req->retry_tokens =
      MIN (RETRY_TOKENS_MAX,
           c->req->retry_tokens + c->cfg->retry_budget_permille);
  enqueue (c, r);
  req_pump (c);
}

/* Takes a caller's request. */
void
req_on_request (Core *c, const Event *e)
{
  const CallerRequest *q = e->body;
  const Workspace *w = table_authorize (c, q->token, q->workspace);

  core_add (c, COUNT_REQUESTS, 1);
  slots_sync (c);
  if (!w)
    refuse (c, q->conn, 403, "no such workspace for this token");
  else if (c->draining)
    refuse (c, q->conn, 503, "this host is shutting down");
  else if (!q->repeatable && q->key[0] == '\0')
    refuse (c, q->conn, 400,
            "a request that must not be repeated needs an idempotency key");
  else
    begin (c, q, w);
}

/* --- retries --- */

/* Gives up R's attempt at its upstream and places R at another one. */
static void
place_elsewhere (Core *c, Request *r)
{
  add_tried (r, r->upstream);
  stop_step (c, r);
  free_slot (c, r);
  enter_placing (c, r);
  req_pump (c);
}

/* R certainly did not run at its upstream: it goes to another one. */
static void
replace (Core *c, Request *r)
{
  core_add (c, COUNT_REPLACED, 1);
  place_elsewhere (c, r);
}

/* Tries R, which may have run, once more elsewhere if it is repeatable and
   the budget allows.  Returns FALSE when not. */
static gboolean
retry (Core *c, Request *r)
{
  Req *q = c->req;

  if (!r->repeatable || r->retries >= MAX_RETRIES || r->n_waiters == 0)
    return FALSE;
  if (q->retry_tokens < PERMILLE)
    {
      core_add (c, COUNT_RETRIES_DENIED, 1);
      return FALSE;
    }
  q->retry_tokens -= PERMILLE;
  r->retries++;
  core_add (c, COUNT_RETRIES, 1);
  place_elsewhere (c, r);
  return TRUE;
}

/* --- upstreams --- */

static UpstreamAsk
ask_of (Core *c, const Request *r)
{
  return (UpstreamAsk) { .upstream = upstream_name (c, r),
                         .request = r->id,
                         .attempt = MAX (1, r->attempt),
                         .timeout_ms = ASK_TIMEOUT_MS };
}

/* Asks R's upstream for R's outcome, over a new connection. */
void
req_ask_upstream (Core *c, Request *r)
{
  UpstreamAsk ask = ask_of (c, r);

  core_add (c, COUNT_SILENCES, 1);
  stop_step (c, r);
  core_emit (c, FX_UPSTREAM_ASK, NULL, &ask);
}

static void
drop_connection (Core *c, Request *r)
{
  UpstreamAsk ask = ask_of (c, r);

  if (r->holds)
    core_emit (c, FX_UPSTREAM_DROP, NULL, &ask);
}

static void
cancel_upstream (Core *c, Request *r)
{
  UpstreamAsk ask = ask_of (c, r);

  if (r->state != REQUEST_RUNNING)
    return;
  core_emit (c, FX_UPSTREAM_CANCEL, NULL, &ask);
  drop_connection (c, r);
}

static void
note_health (Core *c, const Request *r, RouteHealth was, RouteHealth is)
{
  NoteKind kind =
      is == ROUTE_HEALTHY ? NOTE_UPSTREAM_HEALTHY : NOTE_UPSTREAM_DEGRADED;

  if ((was == ROUTE_HEALTHY) == (is == ROUTE_HEALTHY))
    return;
  core_write_note (c, &(CoreNote) { .kind = kind,
                                    .upstream = upstream_name (c, r),
                                    .detail = r->work_kind });
}

static void
learn (Core *c, Request *r, UpstreamResult result)
{
  Req *q = c->req;
  guint kind = route_kind (q->route, r->work_kind);
  RouteHealth health = route_health (q->route, r->upstream, kind);
  gboolean was_reachable = route_is_reachable (q->route, r->upstream);

  route_learn (q->route, r->upstream, kind, result, c->now - r->sent, c->now);
  note_health (c, r, health, route_health (q->route, r->upstream, kind));
  if (was_reachable && !route_is_reachable (q->route, r->upstream))
    {
      core_write_note (c, &(CoreNote) { .kind = NOTE_UPSTREAM_UNREACHABLE,
                                        .upstream = upstream_name (c, r) });
      core_arm (c, &q->probes[r->upstream],
                route_probe_at (q->route, r->upstream));
    }
}

static void
on_probe (Core *c, Timer *t)
{
  int u = (int)(t - c->req->probes);

  core_emit (c, FX_UPSTREAM_PROBE, NULL,
             &(UpstreamProbe) { .upstream = route_name (c->req->route, u),
                                .timeout_ms = ASK_TIMEOUT_MS });
}

static void
learn_leaving (Core *c, const char *name, int u)
{
  if (u == ROUTE_NONE || route_is_leaving (c->req->route, u))
    return;
  route_set_leaving (c->req->route, u, TRUE);
  member_set_leaving (c, name);
}

/* Takes an upstream's answer to a probe. */
void
req_on_upstream_probed (Core *c, const Event *e)
{
  const UpstreamProbed *p = e->body;
  int u = route_find (c->req->route, p->upstream);

  if (u == ROUTE_NONE)
    return;
  if (p->leaving)
    learn_leaving (c, p->upstream, u);
  route_probed (c->req->route, u, p->healthy != 0, c->now);
  if (!p->healthy)
    {
      core_arm (c, &c->req->probes[u], route_probe_at (c->req->route, u));
      return;
    }
  core_write_note (c, &(CoreNote) { .kind = NOTE_UPSTREAM_REACHABLE,
                                    .upstream = p->upstream });
  req_pump (c);
}

/* Ends R, which ran at its upstream, with what the upstream said. */
static void
end_with (Core *c, Request *r, const UpstreamReply *u)
{
  gboolean answered = u->result == UPSTREAM_ANSWERED;
  int status = u->status ? (int)u->status : (answered ? 200 : 502);

  if (r->claim && !r->claim_sent)
    claim_settle (c, r, answered ? CLAIM_ANSWERED : CLAIM_FAILED, status,
                  u->body);
  if (r->holds && !route_is_own (c->req->route, r->upstream) && u->body)
    c->req->spill_bytes -= (gint64)g_bytes_get_size (u->body);
  req_finish (c, r, answered ? OUTCOME_ANSWERED : OUTCOME_FAILED, status,
              answered ? NULL : "the upstream ran it and failed", u->body);
}

static gboolean
is_current (Core *c, const Request *r, const UpstreamReply *u)
{
  return r->attempt == u->attempt &&
         strcmp (upstream_name (c, r), u->upstream) == 0;
}

/* A whole answer ends R whichever attempt it is of, since the id names the
   same work every time. */
static void
on_answered (Core *c, Request *r, const UpstreamReply *u)
{
  gboolean running = r->state == REQUEST_RUNNING;

  if (running && is_current (c, r, u))
    {
      learn (c, r, UPSTREAM_ANSWERED);
      cost_learn (r, c->now - r->sent);
      if (u->asked)
        drop_connection (c, r);
    }
  else if (running)
    cancel_upstream (c, r);
  end_with (c, r, u);
}

static void
on_failed (Core *c, Request *r, const UpstreamReply *u)
{
  if (r->state == REQUEST_RUNNING)
    learn (c, r, UPSTREAM_FAILED);
  if (u->asked)
    drop_connection (c, r);
  r->so_far = OUTCOME_FAILED;
  if (!retry (c, r))
    end_with (c, r, u);
}

/* Handles the result of the send that R is waiting for. */
static void
on_sent (Core *c, Request *r, const UpstreamReply *u)
{
  if (u->result != UPSTREAM_FAILED)
    learn (c, r, (UpstreamResult)u->result);
  switch (u->result)
    {
    case UPSTREAM_FAILED:
      on_failed (c, r, u);
      break;
    case UPSTREAM_BUSY:
    case UPSTREAM_UNSENT:
      replace (c, r);
      break;
    default:
      r->so_far = OUTCOME_UNKNOWN;
      r->lost = TRUE;
      r->patience = ASK_LOST_MS / 2;
      req_ask_upstream (c, r);
      break;
    }
}

static void
ask_later (Core *c, Request *r, ClockMs span)
{
  core_arm (c, &r->step, c->now + core_jitter (c, span));
}

/* Handles a reply in which the upstream does not know R's outcome. */
static void
on_not_told (Core *c, Request *r)
{
  guint enough = r->lost && r->repeatable ? 1 : ASK_FAILURES_MAX;

  if (++r->ask_failures < enough)
    {
      ask_later (c, r, ASK_AGAIN_MS);
      return;
    }
  r->so_far = OUTCOME_UNKNOWN;
  drop_connection (c, r);
  if (r->state == REQUEST_RUNNING && retry (c, r))
    return;
  req_finish (c, r, OUTCOME_UNKNOWN, 504,
              "the upstream cannot tell what became of it", NULL);
}

/* Handles the result of asking for R's outcome. */
static void
on_asked (Core *c, Request *r, const UpstreamReply *u)
{
  switch (u->result)
    {
    case UPSTREAM_FAILED:
      on_failed (c, r, u);
      break;
    case UPSTREAM_RUNNING:
      r->ask_failures = 0;
      r->patience = req_grow (r->patience, ASK_MAX_MS);
      if (!r->lost) /* its answer may still come by itself */
        r->patience = MAX (r->patience, 2 * (ClockMs)ASK_AGAIN_MS);
      ask_later (c, r, r->patience);
      break;
    case UPSTREAM_LOST:
    case UPSTREAM_UNSENT:
      if (r->state == REQUEST_RUNNING)
        learn (c, r, UPSTREAM_LOST);
      on_not_told (c, r);
      break;
    default:
      on_not_told (c, r);
      break;
    }
}

static gboolean
awaits_ask (const Request *r)
{
  return r->state == REQUEST_RUNNING ||
         (r->state == REQUEST_FOLLOWING && r->claim);
}

/* Handles the result of a send, or of asking for an outcome. */
void
req_on_upstream_reply (Core *c, const Event *e)
{
  const UpstreamReply *u = e->body;
  Request *r = g_hash_table_lookup (c->req->by_id, u->request);
  int index = route_find (c->req->route, u->upstream);

  slots_sync (c);
  if (u->leaving)
    learn_leaving (c, u->upstream, index);
  if (r && u->result == UPSTREAM_ANSWERED && (r->attempt > 0 || u->asked))
    on_answered (c, r, u);
  else if (r && u->asked && awaits_ask (r) && u->attempt == MAX (1, r->attempt))
    on_asked (c, r, u);
  else if (r && !u->asked && r->state == REQUEST_RUNNING && !r->lost &&
           is_current (c, r, u))
    on_sent (c, r, u);
  else
    core_add (c, COUNT_LATE, 1);
}

static void
on_step (Core *c, Timer *t)
{
  Request *r = t->owner;

  if (r->state == REQUEST_RUNNING)
    req_ask_upstream (c, r);
  else if (r->state == REQUEST_FOLLOWING && r->claim)
    claim_follow (c, r);
  else if (r->state == REQUEST_STORE_WAIT)
    {
      c->req->n_store_wait--;
      enqueue (c, r);
      req_pump (c);
    }
}

/* --- the store is away --- */

/* Lets R, which could not be claimed, wait without a slot.  There is room
   for a quarter of the queue. */
void
req_wait_for_store (Core *c, Request *r)
{
  req_release (c, r);
  if (c->req->n_store_wait >= MAX (1, c->cfg->request_queue / 4))
    {
      core_add (c, COUNT_REFUSED_STORE, 1);
      req_finish (c, r, OUTCOME_NOT_RUN, 503,
                  "the store is away, and too many wait for it", NULL);
      return;
    }
  r->state = REQUEST_STORE_WAIT;
  r->claim_tries = 0;
  c->req->n_store_wait++;
  r->patience = CLAMP (2 * r->patience, STORE_WAIT_MIN_MS, STORE_WAIT_MAX_MS);
  core_arm (c, &r->step, c->now + core_jitter (c, r->patience));
  req_pump (c);
}

/* --- ends that callers or time bring --- */

static void
expire_waiting (Core *c, Request *r)
{
  if (r->state == REQUEST_STORE_WAIT || r->state == REQUEST_CLAIMING)
    core_add (c, COUNT_REFUSED_STORE, 1);
  req_finish (c, r, r->so_far, r->so_far == OUTCOME_FAILED ? 502 : 504,
              "the deadline passed before it could run", NULL);
}

/* The callers of R, which must not run twice and is under way, are told
   that its outcome is unknown; it goes on without them. */
static void
detach (Core *c, Request *r, const char *reason)
{
  reply_all (c, r, OUTCOME_UNKNOWN, 504, reason, NULL);
  core_arm (c, &r->expiry, c->now + DETACHED_MS);
}

static void
on_expiry (Core *c, Timer *t)
{
  Request *r = t->owner;
  gboolean waited_for = r->n_waiters > 0;

  if (r->state == REQUEST_RUNNING && !r->repeatable && waited_for)
    detach (c, r, "the deadline passed while it ran");
  else if (r->state == REQUEST_RUNNING)
    {
      cancel_upstream (c, r);
      req_finish (c, r, OUTCOME_UNKNOWN, 504,
                  "the deadline passed while it ran", NULL);
    }
  else if (r->state == REQUEST_FOLLOWING)
    req_finish (c, r, OUTCOME_UNKNOWN, 504,
                "another host runs it and has not ended it", NULL);
  else
    expire_waiting (c, r);
}

/* Ends R, which has no callers left. */
static void
cancel (Core *c, Request *r)
{
  core_add (c, COUNT_CANCELLED, 1);
  if (r->state == REQUEST_RUNNING)
    {
      cancel_upstream (c, r);
      req_finish (c, r, OUTCOME_UNKNOWN, 409, "cancelled while it ran", NULL);
    }
  else
    req_finish (c, r,
                r->state == REQUEST_FOLLOWING ? OUTCOME_UNKNOWN : r->so_far,
                409, "cancelled", NULL);
}

/* Takes the news that a caller has hung up.  What must not be repeated goes
   on once it is claimed, since the caller may ask for it again. */
void
req_on_caller_gone (Core *c, const Event *e)
{
  const CallerGone *g = e->body;
  Waiter *w = g_hash_table_lookup (c->req->by_conn, &g->conn);
  Request *r = w ? w->request : NULL;

  if (!r)
    return;
  g_hash_table_remove (c->req->by_conn, &w->conn);
  if (r->n_waiters == 0 && (r->repeatable || !r->claim_sent))
    cancel (c, r);
}

/* Returns the request called ID that a caller of WORKSPACE may see. */
static Request *
find_for (Core *c, const CallerAsk *q)
{
  Request *r = g_hash_table_lookup (c->req->by_id, q->id);
  char id[40];

  if (!r)
    {
      claim_make_id (q->workspace, q->id, id);
      r = g_hash_table_lookup (c->req->by_id, id);
    }
  return r && strcmp (r->workspace, q->workspace) == 0 ? r : NULL;
}

static void
reply_json (Core *c, gint64 conn, const char *id, int status, char *text)
{
  GBytes *body = g_bytes_new_take (text, strlen (text));

  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = OUTCOME_ANSWERED,
                              .status = status,
                              .id = id,
                              .body = body });
  g_bytes_unref (body);
}

static gboolean
is_claim_id (const char *id)
{
  return strlen (id) == 34 && strncmp (id, "k-", 2) == 0;
}

/* Takes a caller's question after a request, by its id or its idempotency
   key.  One that is under way here is answered with its state; otherwise
   the store and the upstream are asked for the outcome. */
void
req_on_ask (Core *c, const Event *e)
{
  const CallerAsk *q = e->body;
  const Workspace *w = table_authorize (c, q->token, q->workspace);
  Request *r = w ? find_for (c, q) : NULL;
  CallerRequest names;
  char id[40];

  if (!w)
    reply (c, q->conn, NULL, OUTCOME_UNKNOWN, 403,
           "no such workspace for this token", NULL);
  else if (r && (r->repeatable || r->digest[0]))
    reply_json (c, q->conn, r->id, 202, req_explain (c, r->id));
  else if (r)
    attach (c, r, q->conn);
  else
    {
      claim_make_id (q->workspace, q->id, id);
      names = (CallerRequest) { .workspace = q->workspace,
                                .caller = "",
                                .work_kind = "",
                                .key = "" };
      r = request_new (c, is_claim_id (q->id) ? q->id : id, &names, LOOK_UP_MS);
      attach (c, r, q->conn);
      claim_read_outcome (c, r);
    }
}

/* Handles a caller's cancellation of a request at this host. */
void
req_on_cancel (Core *c, const Event *e)
{
  const CallerAsk *q = e->body;
  const Workspace *w = table_authorize (c, q->token, q->workspace);
  Request *r = w ? find_for (c, q) : NULL;

  if (!r)
    {
      reply (c, q->conn, NULL, OUTCOME_UNKNOWN, 404,
             "no such request at this host", NULL);
      return;
    }
  reply_json (c, q->conn, r->id, 200, req_explain (c, r->id));
  cancel (c, r);
}

/* --- drain --- */

static void
hand_over (gpointer key, gpointer value, gpointer data)
{
  Request *r = value;

  (void)key;
  if (r->n_waiters == 0)
    g_ptr_array_add (data, r);
}

static void
collect (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  g_ptr_array_add (data, value);
}

/* Takes nothing new any more.  Outcomes that nobody waits for are left to
   whoever asks next, by the claim in the store. */
void
req_on_drain (Core *c)
{
  GPtrArray *list = g_ptr_array_new ();
  guint i;

  core_arm (c, &c->req->drain_bound, c->now + c->cfg->drain_ms);
  g_hash_table_foreach (c->req->by_id, hand_over, list);
  for (i = 0; i < list->len; i++)
    req_finish (c, g_ptr_array_index (list, i), OUTCOME_UNKNOWN, 504,
                "handed over", NULL);
  g_ptr_array_unref (list);
}

/* What has not ended by the bound of a drain is reported by id. */
static void
on_drain_bound (Core *c, Timer *t)
{
  GPtrArray *list = g_ptr_array_new ();
  guint i;

  (void)t;
  c->req->closed = TRUE;
  g_hash_table_foreach (c->req->by_id, collect, list);
  for (i = 0; i < list->len; i++)
    {
      Request *r = g_ptr_array_index (list, i);
      gboolean ran =
          r->state == REQUEST_RUNNING || r->state == REQUEST_FOLLOWING;

      note (c, r, NOTE_REQUEST_CUT_OFF, state_names[r->state]);
      req_finish (c, r, ran ? OUTCOME_UNKNOWN : r->so_far, 503,
                  "this host had to shut down", NULL);
    }
  g_ptr_array_unref (list);
  claim_abandon (c);
}

/* --- explanations --- */

static void
add_str (json_object *o, const char *key, const char *value)
{
  json_object_object_add (o, key, json_object_new_string (util_str (value)));
}

static void
add_int (json_object *o, const char *key, gint64 value)
{
  json_object_object_add (o, key, json_object_new_int64 (value));
}

static const char *
waits_for (Core *c, const Request *r)
{
  Req *q = c->req;

  switch (r->state)
    {
    case REQUEST_QUEUED:
      if (route_slots (q->route) == 0)
        return "no usable upstream in this failure domain";
      return route_free_slots (q->route) ? "its class or workspace limit"
                                         : "a free slot";
    case REQUEST_PLACING:
      return "an upstream that it was not tried at";
    case REQUEST_CLAIMING:
    case REQUEST_STORE_WAIT:
      return "the store, to claim its idempotency key";
    case REQUEST_FOLLOWING:
      return "the host that claimed its idempotency key";
    default:
      return "its upstream";
    }
}

static void
explain_open (Core *c, json_object *o, const Request *r)
{
  add_str (o, "state", state_names[r->state]);
  add_str (o, "waits_for", waits_for (c, r));
  add_str (o, "workspace", r->workspace);
  add_str (o, "class", class_name (r->work_class));
  json_object_object_add (o, "demoted", json_object_new_boolean (r->demoted));
  add_str (o, "upstream", upstream_name (c, r));
  add_int (o, "attempts", r->attempt);
  add_int (o, "age_ms", c->now - r->arrived);
  add_int (o, "deadline_in_ms", r->deadline - c->now);
}

/* Returns, as JSON text for the caller to free, where the request called ID
   stands or how it ended at this node; NULL when it is not known. */
char *
req_explain (Core *c, const char *id)
{
  const Request *r = g_hash_table_lookup (c->req->by_id, id);
  const Ended *x = g_hash_table_lookup (c->req->ended, id);
  json_object *o;
  char *text;

  if (!r && !x)
    return NULL;
  o = json_object_new_object ();
  add_str (o, "request", id);
  if (r)
    explain_open (c, o, r);
  else
    {
      add_str (o, "state", "ended");
      add_str (o, "outcome", outcome_name (x->outcome));
      add_str (o, "reason", x->why);
      add_str (o, "upstream", x->upstream);
      add_int (o, "attempts", x->attempts);
      add_int (o, "took_ms", x->took);
    }
  text = g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  return text;
}
