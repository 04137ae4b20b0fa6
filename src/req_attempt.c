#include "req_state.h"

#include "slots.h"

#include <string.h>

enum
{
  MAX_RETRIES = 2,
  ASK_TIMEOUT_MS = 2000,
  ASK_GRACE_MS = 1000, /* past the time-out, for the answer's way */
  ASK_AGAIN_MS = 1000,
  ASK_LOST_MS = 20, /* after a lost answer, which only asking can bring */
  ASK_MAX_MS = 60000,
  ASK_FAILURES_MAX = 3
};

static void
stop_watching (Request *r)
{
  if (!r->is_watched)
    return;
  APR_RING_REMOVE (r, watched);
  r->is_watched = FALSE;
}

/* Stops whatever R would do next by itself. */
void
req_stop_step (Core *c, Request *r)
{
  stop_watching (r);
  r->asking = FALSE;
  core_stop (c, &r->step);
}

/* Waits for the first sign of R's upstream, to which R was just sent.  All
   requests wait equally long, so one ring in the order of sending and one
   timer serve them. */
void
req_watch_silence (Core *c, Request *r)
{
  Req *q = c->req;

  if (!q->silence.slot)
    core_arm (c, &q->silence, c->now + c->cfg->silence_ms);
  APR_RING_INSERT_TAIL (&q->watched, r, Request, watched);
  r->is_watched = TRUE;
}

/* Handles the timer of watched requests: asks after those whose upstream has
   sent nothing for silence_ms. */
void
req_on_silence (Core *c, Timer *t)
{
  Req *q = c->req;
  ClockMs span = c->cfg->silence_ms;

  while (!APR_RING_EMPTY (&q->watched, Request, watched))
    {
      Request *r = APR_RING_FIRST (&q->watched);

      if (r->sent + span > c->now)
        {
          core_arm (c, t, r->sent + span);
          return;
        }
      stop_watching (r);
      req_ask_upstream (c, r);
    }
}

/* R certainly did not run at its upstream: it goes to another one. */
static void
replace (Core *c, Request *r)
{
  core_add (c, COUNT_REPLACED, 1);
  req_place_elsewhere (c, r);
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
  req_place_elsewhere (c, r);
  return TRUE;
}

static UpstreamAsk
ask_of (Core *c, const Request *r)
{
  return (UpstreamAsk) { .upstream = req_upstream_name (c, r),
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
  req_stop_step (c, r);
  r->asking = TRUE;
  core_arm (c, &r->step, c->now + ASK_TIMEOUT_MS + ASK_GRACE_MS);
  core_emit (c, FX_UPSTREAM_ASK, NULL, &ask);
}

static void
drop_connection (Core *c, Request *r)
{
  UpstreamAsk ask = ask_of (c, r);

  if (r->has_slot)
    core_emit (c, FX_UPSTREAM_DROP, NULL, &ask);
}

/* Tells R's upstream, if R runs there, to stop it. */
void
req_cancel_upstream (Core *c, Request *r)
{
  UpstreamAsk ask = ask_of (c, r);

  if (r->state != REQUEST_RUNNING)
    return;
  core_emit (c, FX_UPSTREAM_CANCEL, NULL, &ask);
  drop_connection (c, r);
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
  if (r->has_slot && !route_is_own (c->req->route, r->upstream) && u->body)
    c->req->spill_bytes -= (gint64)g_bytes_get_size (u->body);
  req_finish (c, r, answered ? OUTCOME_ANSWERED : OUTCOME_FAILED, status,
              answered ? NULL : "the upstream ran it and failed", u->body);
}

static gboolean
is_current (Core *c, const Request *r, const UpstreamReply *u)
{
  return r->attempt == u->attempt &&
         strcmp (req_upstream_name (c, r), u->upstream) == 0;
}

/* A whole answer ends R whichever attempt it is of, since the id names the
   same work every time. */
static void
on_answered (Core *c, Request *r, const UpstreamReply *u)
{
  gboolean running = r->state == REQUEST_RUNNING;

  if (running && is_current (c, r, u))
    {
      req_learn_result (c, r, UPSTREAM_ANSWERED);
      req_learn_cost (r, c->now - r->sent);
      if (u->asked)
        drop_connection (c, r);
    }
  else if (running)
    req_cancel_upstream (c, r);
  end_with (c, r, u);
}

static void
on_failed (Core *c, Request *r, const UpstreamReply *u)
{
  if (r->state == REQUEST_RUNNING)
    req_learn_result (c, r, UPSTREAM_FAILED);
  if (u->asked)
    drop_connection (c, r);
  r->known_outcome = OUTCOME_FAILED;
  if (!retry (c, r))
    end_with (c, r, u);
}

/* Handles the result of the send that R is waiting for. */
static void
on_sent (Core *c, Request *r, const UpstreamReply *u)
{
  if (u->result != UPSTREAM_FAILED)
    req_learn_result (c, r, (UpstreamResult)u->result);
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
      r->known_outcome = OUTCOME_UNKNOWN;
      r->lost = TRUE;
      r->step_delay = ASK_LOST_MS / 2;
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
  r->known_outcome = OUTCOME_UNKNOWN;
  drop_connection (c, r);
  if (r->state == REQUEST_RUNNING && retry (c, r))
    return;
  req_finish (c, r, OUTCOME_UNKNOWN, 504,
              "the upstream cannot tell what became of it", NULL);
}

static void
on_ask_lost (Core *c, Request *r)
{
  if (r->state == REQUEST_RUNNING)
    req_learn_result (c, r, UPSTREAM_LOST);
  on_not_told (c, r);
}

/* Handles the bound of a question after R: neither an answer nor a failure
   has come. */
void
req_ask_overdue (Core *c, Request *r)
{
  r->asking = FALSE;
  core_add (c, COUNT_ASKS_OVERDUE, 1);
  on_ask_lost (c, r);
}

/* Handles the result of asking for R's outcome. */
static void
on_asked (Core *c, Request *r, const UpstreamReply *u)
{
  req_stop_step (c, r);
  switch (u->result)
    {
    case UPSTREAM_FAILED:
      on_failed (c, r, u);
      break;
    case UPSTREAM_RUNNING:
      r->ask_failures = 0;
      r->step_delay = req_back_off (r->step_delay, ASK_MAX_MS);
      if (!r->lost) /* its answer may still come by itself */
        r->step_delay = MAX (r->step_delay, 2 * (ClockMs)ASK_AGAIN_MS);
      ask_later (c, r, r->step_delay);
      break;
    case UPSTREAM_LOST:
    case UPSTREAM_UNSENT:
      on_ask_lost (c, r);
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
    req_learn_leaving (c, u->upstream, index);
  if (r && u->result == UPSTREAM_ANSWERED && (r->attempt > 0 || u->asked))
    on_answered (c, r, u);
  else if (r && u->asked && r->asking && awaits_ask (r) &&
           u->attempt == MAX (1, r->attempt))
    on_asked (c, r, u);
  else if (r && !u->asked && r->state == REQUEST_RUNNING && !r->lost &&
           is_current (c, r, u))
    on_sent (c, r, u);
  else
    core_add (c, COUNT_LATE, 1);
}
