#include "req.h"

#include "req_state.h"
#include "slots.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

enum
{
  RETRY_TOKENS_MAX = 100 * PERMILLE,
  RETRY_TOKENS_FIRST = 10 * PERMILLE,
  STORE_WAIT_MIN_MS = 100,
  STORE_WAIT_MAX_MS = 5000,
  LOOK_UP_MS = 5000,
  DETACHED_MS = 600000 /* how long an outcome nobody waits for is awaited */
};

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

/* Returns the requests of node C: none. */
Req *
req_new (Core *c)
{
  Req *q = g_new0 (Req, 1);
  guint i;

  q->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  q->by_conn = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      req_waiter_free);
  q->costs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  q->rate_buckets =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  q->ended =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, req_ended_free);
  g_queue_init (&q->ended_order);
  q->fair = fair_new ();
  q->route = route_new (c->rng);
  q->slots = slots_new (c);
  q->claims = claim_new (c);
  APR_RING_INIT (&q->placing, Request, link);
  APR_RING_INIT (&q->watched, Request, watched);
  q->silence = (Timer) { .fire = req_on_silence };
  q->retry_tokens = RETRY_TOKENS_FIRST;
  q->other_cost.ms = REQ_COST_FIRST_MS;
  q->tick = (Timer) { .fire = req_on_tick };
  q->drain_bound = (Timer) { .fire = on_drain_bound };
  q->probers = g_new0 (UpstreamProber, c->cfg->upstreams.n);
  for (i = 0; i < c->cfg->upstreams.n; i++)
    {
      const ConfigUpstream *u = config_upstream (c->cfg, i);
      gboolean own = strcmp (u->domain, c->cfg->domain) == 0;

      route_set_limit (q->route, route_add (q->route, u->name, own), !own);
      q->probers[i].timer =
          (Timer) { .fire = req_on_probe, .owner = &q->probers[i] };
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
  g_hash_table_unref (q->rate_buckets);
  g_queue_clear (&q->ended_order);
  g_hash_table_unref (q->ended);
  fair_free (q->fair);
  route_free (q->route);
  slots_free (q->slots);
  claim_free (q->claims);
  g_free (q->probers);
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
req_back_off (ClockMs span, ClockMs most)
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
  req_note (c, r, NOTE_REQUEST_ENDED, outcome_name (outcome));
  req_reply_all (c, r, outcome, status, reason, body);
  settle_claim (c, r, outcome, status, body);
  req_remember (c, r, outcome, reason);
  req_release (c, r);
  core_stop (c, &r->expiry);
  req_stop_step (c, r);
  if (r->claim_call)
    store_forget (c, r->claim_call);
  g_hash_table_remove (c->req->by_id, r->id);
  req_pump (c);
}

/* --- admission --- */

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
  r->known_outcome = OUTCOME_NOT_RUN;
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
  r->cost = req_cost (c->req, q->workspace, q->work_kind);
  r->work_class = (WorkClass)q->work_class;
  r->repeatable = q->repeatable != 0;
  if (!r->repeatable)
    make_digest (q->body, r->digest);
  return r;
}

/* Joins CONN to R, which has the same idempotency key. */
static void
join (Core *c, Request *r, const CallerRequest *q)
{
  char digest[17];

  make_digest (q->body, digest);
  if (r->digest[0] && strcmp (digest, r->digest) != 0)
    {
      req_refuse (c, q->conn, 422,
                  "idempotency key was used with another body");
      return;
    }
  core_add (c, COUNT_ATTACHED, 1);
  req_attach (c, r, q->conn);
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
  req_attach (c, r, q->conn);
  req_note (c, r, NOTE_REQUEST, class_name (r->work_class));
  if (!req_admit (c, r, w))
    return;
  c->req->retry_tokens =
      MIN (RETRY_TOKENS_MAX,
           c->req->retry_tokens + c->cfg->retry_budget_permille);
  req_enqueue (c, r);
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
    req_refuse (c, q->conn, 403, "no such workspace for this token");
  else if (c->draining)
    req_refuse (c, q->conn, 503, "this host is shutting down");
  else if (!q->repeatable && q->key[0] == '\0')
    req_refuse (c, q->conn, 400,
                "a request that must not be repeated needs an idempotency key");
  else
    begin (c, q, w);
}

/* --- waiting for the next step --- */

/* Does what R has waited for: asks its upstream, looks at its claim again, or
   goes back into the queue. */
static void
on_step (Core *c, Timer *t)
{
  Request *r = t->owner;

  if (r->asking)
    req_ask_overdue (c, r);
  else if (r->state == REQUEST_RUNNING)
    req_ask_upstream (c, r);
  else if (r->state == REQUEST_FOLLOWING && r->claim)
    claim_follow (c, r);
  else if (r->state == REQUEST_STORE_WAIT)
    {
      c->req->n_store_wait--;
      req_enqueue (c, r);
      req_pump (c);
    }
}

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
  r->step_delay =
      CLAMP (2 * r->step_delay, STORE_WAIT_MIN_MS, STORE_WAIT_MAX_MS);
  core_arm (c, &r->step, c->now + core_jitter (c, r->step_delay));
  req_pump (c);
}

/* --- ends that callers or time bring --- */

static void
expire_waiting (Core *c, Request *r)
{
  if (r->state == REQUEST_STORE_WAIT || r->state == REQUEST_CLAIMING)
    core_add (c, COUNT_REFUSED_STORE, 1);
  req_finish (c, r, r->known_outcome,
              r->known_outcome == OUTCOME_FAILED ? 502 : 504,
              "the deadline passed before it could run", NULL);
}

/* The callers of R, which must not run twice and is under way, are told
   that its outcome is unknown; it goes on without them. */
static void
detach (Core *c, Request *r, const char *reason)
{
  req_reply_all (c, r, OUTCOME_UNKNOWN, 504, reason, NULL);
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
      req_cancel_upstream (c, r);
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
      req_cancel_upstream (c, r);
      req_finish (c, r, OUTCOME_UNKNOWN, 409, "cancelled while it ran", NULL);
    }
  else
    req_finish (c, r,
                r->state == REQUEST_FOLLOWING ? OUTCOME_UNKNOWN
                                              : r->known_outcome,
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
    req_reply (c, q->conn, NULL, OUTCOME_UNKNOWN, 403,
               "no such workspace for this token", NULL);
  else if (r && (r->repeatable || r->digest[0]))
    core_reply_json (c, q->conn, 202, r->id, req_explain (c, r->id));
  else if (r)
    req_attach (c, r, q->conn);
  else if (c->req->closed)
    req_reply (c, q->conn, NULL, OUTCOME_UNKNOWN, 503,
               "this host is shutting down, ask another", NULL);
  else
    {
      claim_make_id (q->workspace, q->id, id);
      names = (CallerRequest) { .workspace = q->workspace,
                                .caller = "",
                                .work_kind = "",
                                .key = "" };
      r = request_new (c, is_claim_id (q->id) ? q->id : id, &names, LOOK_UP_MS);
      req_attach (c, r, q->conn);
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
      req_reply (c, q->conn, NULL, OUTCOME_UNKNOWN, 404,
                 "no such request at this host", NULL);
      return;
    }
  core_reply_json (c, q->conn, 200, r->id, req_explain (c, r->id));
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

      req_note (c, r, NOTE_REQUEST_CUT_OFF, req_state_name (r->state));
      req_finish (c, r, ran ? OUTCOME_UNKNOWN : r->known_outcome, 503,
                  "this host had to shut down", NULL);
    }
  g_ptr_array_unref (list);
  claim_abandon (c);
}
