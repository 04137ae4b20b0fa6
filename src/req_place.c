#include "req_state.h"

#include "slots.h"

#include <string.h>

enum
{
  MAX_PLACING = 8,
  BORROW_FREE_MAX = 8, /* slots are borrowed when fewer than 1/8 are free */
  PLACE_AGAIN_MS = 25,
  WAITING_TICK_MS = 100,
  LOAN_TICK_MS = 500
};

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
  if (!r->has_slot)
    return;
  r->has_slot = FALSE;
  r->used_slot_ms += c->now - r->slot_since;
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
    fair_finish (c->req->fair, &r->fair, r->used_slot_ms);
  r->state = REQUEST_FOLLOWING;
}

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
  r->has_slot = TRUE;
  r->slot_since = c->now;
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
  r->step_delay = c->cfg->silence_ms;
  req_watch_silence (c, r);
  req_note (c, r, NOTE_REQUEST_SENT, NULL);
  core_emit (c, FX_UPSTREAM_SEND, NULL,
             &(UpstreamSend) { .upstream = req_upstream_name (c, r),
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

  return fair_startable (c->req->fair) &&
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
    slots_borrow (c, fair_startable (q->fair));
  core_set (c, COUNT_WAITING, fair_waiting (q->fair));
  core_set (c, COUNT_RUNNING, fair_running (q->fair));
  schedule_tick (c);
}

/* Handles the tick, at which waiting requests are placed again and loans of
   slots are looked after. */
void
req_on_tick (Core *c, Timer *t)
{
  (void)t;
  slots_sync (c);
  slots_tick (c);
  req_pump (c);
}

/* Gives up R's attempt at its upstream and places R at another one. */
void
req_place_elsewhere (Core *c, Request *r)
{
  add_tried (r, r->upstream);
  req_stop_step (c, r);
  free_slot (c, r);
  enter_placing (c, r);
  req_pump (c);
}
