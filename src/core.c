#include "core_state.h"

#include "member.h"
#include "oper.h"
#include "req.h"
#include "sched.h"
#include "slots.h"
#include "store.h"
#include "table.h"

#include <string.h>

typedef void (*EventHandler) (Core *c, const Event *e);

static void core_on_tick (Core *c, const Event *e);
static void core_on_drain (Core *c, const Event *e);

#define EVENT_HANDLER(kind, name, record, handler) [kind] = handler,
static const EventHandler handlers[] = { EVENTS (EVENT_HANDLER) };

/* Time only wakes the timers, which core_feed runs for every event. */
static void
core_on_tick (Core *c, const Event *e)
{
  (void)c;
  (void)e;
}

static void
core_on_drain (Core *c, const Event *e)
{
  (void)e;
  if (c->draining)
    return;
  c->draining = TRUE;
  core_write_note (c, &(CoreNote) { .kind = NOTE_DRAINING });
  req_on_drain (c);
  sched_on_drain (c);
  member_announce (c);
}

/* Returns a new node that is configured by a copy of CFG, draws its random
   numbers from SEED and starts at NOW, in milliseconds. */
Core *
core_new (const Config *cfg, guint32 seed, ClockMs now)
{
  Core *c = g_new0 (Core, 1);

#define CORE_MODULE_NEW(Type, name)   c->name = name##_new (c);
#define CORE_MODULE_START(Type, name) name##_start (c);
  c->cfg = rec_copy (config_desc (), cfg);
  c->now = now;
  c->rng = g_rand_new_with_seed (seed);
  g_queue_init (&c->effects);
  timer_heap_init (&c->timers);
  CORE_MODULES (CORE_MODULE_NEW)
  CORE_MODULES (CORE_MODULE_START)
  core_write_note (c, &(CoreNote) { .kind = NOTE_STARTED });
  return c;
}

/* Releases the node and all that it holds. */
void
core_free (Core *c)
{
  if (!c)
    return;
#define CORE_MODULE_FREE(Type, name) name##_free (c->name);
  CORE_MODULES (CORE_MODULE_FREE)
  g_queue_clear_full (&c->effects, (GDestroyNotify)event_free);
  timer_heap_clear (&c->timers);
  g_rand_free (c->rng);
  config_free (c->cfg);
  g_free (c);
}

static void
run_timers (Core *c)
{
  Timer *t;

  while ((t = timer_heap_pop (&c->timers, c->now)))
    t->fire (c, t);
}

/* A drain ends when nothing is in flight any more. */
static void
check_drained (Core *c)
{
  if (!c->draining || c->drained || req_busy (c) || sched_busy (c))
    return;
  c->drained = TRUE;
  core_write_note (c, &(CoreNote) { .kind = NOTE_DRAINED });
  core_emit (c, FX_DRAINED, NULL, NULL);
}

/* Feeds E, which stays the caller's, to the node.  Time never runs
   backwards: an event older than the last one counts as of that one's
   time.  A step that is far above the node's next deadline shows a pause;
   modules that hold leases look at it before anything else. */
void
core_feed (Core *c, const Event *e)
{
  c->counters[COUNT_EVENTS]++;
  if (e->at > c->now)
    {
      sched_on_time (c, e->at);
      c->now = e->at;
    }
  run_timers (c);
  if (e->kind < N_EVENTS)
    handlers[e->kind](c, e);
  run_timers (c);
  check_drained (c);
}

/* Returns the oldest effect not yet taken, for the caller to event_free,
   or NULL. */
Event *
core_next_effect (Core *c)
{
  return g_queue_pop_head (&c->effects);
}

/* Returns when the node next wants to be fed, if only by EV_TICK;
   CLOCK_NEVER when it waits for nothing. */
ClockMs
core_next_deadline (const Core *c)
{
  return timer_heap_next (&c->timers);
}

/* Returns the present value of counter N. */
gint64
core_counter (const Core *c, Counter n)
{
  return c->counters[n];
}

/* Returns the name of the host that the node is. */
const char *
core_host (const Core *c)
{
  return c->cfg->host;
}

/* Emits an effect of KIND with a copy of BODY, for PEER when it is a
   message. */
void
core_emit (Core *c, EventKind kind, const char *peer, const void *body)
{
  c->counters[COUNT_EFFECTS]++;
  g_queue_push_tail (&c->effects, event_new (kind, c->now, peer, (void *)body));
}

/* Answers CONN with STATUS and TEXT, JSON that is freed here, about the
   request or job ID. */
void
core_reply_json (Core *c, gint64 conn, int status, const char *id, char *text)
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

/* Arms T for AT, in milliseconds. */
void
core_arm (Core *c, Timer *t, ClockMs at)
{
  timer_heap_arm (&c->timers, t, at);
}

/* Stops T; nothing happens when it is not armed. */
void
core_stop (Core *c, Timer *t)
{
  timer_heap_stop (&c->timers, t);
}

/* Adds BY to counter N. */
void
core_add (Core *c, Counter n, gint64 by)
{
  c->counters[n] += by;
}

/* Sets gauge N to VALUE. */
void
core_set (Core *c, Counter n, gint64 value)
{
  c->counters[n] = value;
}

/* Adds NOTE to the time line. */
void
core_write_note (Core *c, const CoreNote *note)
{
  core_emit (c, FX_NOTE, NULL, note);
}

/* Returns a number from 0 to BELOW - 1 from the node's own generator. */
gint32
core_random (Core *c, gint32 below)
{
  return g_rand_int_range (c->rng, 0, below);
}

/* Returns SPAN plus or minus up to a quarter of it. */
ClockMs
core_jitter (Core *c, ClockMs span)
{
  gint32 quarter = (gint32)MIN (span / 4, G_MAXINT32 / 4);

  return span - quarter + core_random (c, 2 * quarter + 1);
}
