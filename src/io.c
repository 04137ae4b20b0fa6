#include "io.h"

#include "client.h"
#include "http.h"
#include "replay.h"
#include "wire.h"

#include <errno.h>
#include <string.h>

enum
{
  POLL_LONGEST_MS = 1000,
  DRAIN_GRACE_MS = 5000, /* beyond drain_ms, for the last answers to leave */
  LINGER_MS = 250,       /* after a drain, for requests on their way */
  TRACE_FLUSH_MS = 1000
};

static const ClockMs us_per_ms = 1000;

/* An event on its way to the core; STAMP is its sender's, for messages. */
typedef struct Posted
{
  Event *event;
  Hlc stamp;
} Posted;

struct Io
{
  Settings *settings;
  Loop *loop;
  Log *log;
  FILE *trace;
  ClockMs traced;
  Core *core;
  Timeline *timeline;
  Hlc clock;
  TimelineCause cause;
  Http *http;
  Client *client;
  Wire *wire;
  GQueue posted; /* of Posted */
  ClockMs wall_start;
  gint64 monotonic_start_us;
  ClockMs now;
  ClockMs drain_until;
  gboolean drained;
  ClockMs linger_until; /* CLOCK_NEVER: the drain has not ended */
  gint64 counters[N_SHELL_COUNTERS];
};

/* Returns the domain of the shell's errors. */
GQuark
io_error_quark (void)
{
  return g_quark_from_static_string ("wagtailpass-io-error-quark");
}

/* Wall time as it was at the start plus what has passed since: it neither
   jumps nor runs backwards when the wall clock is set. */
static void
read_clock (Io *io)
{
  gint64 passed_us = g_get_monotonic_time () - io->monotonic_start_us;

  io->now = io->wall_start + passed_us / us_per_ms;
}

/* Returns the settings of the process. */
const Settings *
io_settings (const Io *io)
{
  return io->settings;
}

/* Returns the pool that lives as long as IO. */
apr_pool_t *
io_pool (const Io *io)
{
  return loop_pool (io->loop);
}

/* Returns the logger. */
Log *
io_log (const Io *io)
{
  return io->log;
}

/* Returns the time of the present step, in milliseconds of wall time. */
ClockMs
io_now (const Io *io)
{
  return io->now;
}

/* Tells whether the process takes no new work any more. */
gboolean
io_draining (const Io *io)
{
  return io->drain_until != CLOCK_NEVER;
}

/* Returns the ring of notes. */
Timeline *
io_timeline (const Io *io)
{
  return io->timeline;
}

/* Returns all counters in the usual text form; the caller frees it. */
char *
io_metrics (const Io *io)
{
  return metrics_text (io->core, io->counters);
}

/* Adds BY to shell counter N. */
void
io_count (Io *io, ShellCounter n, gint64 by)
{
  io->counters[n] += by;
}

/* Returns the present value of shell counter N. */
gint64
io_shell_counter (const Io *io, ShellCounter n)
{
  return io->counters[n];
}

/* Returns the node that IO drives. */
const Core *
io_core (const Io *io)
{
  return io->core;
}

/* Returns the port that listener WHICH is bound to. */
guint
io_port (const Io *io, IoListener which)
{
  switch (which)
    {
    case IO_CALLERS:
      return http_port (io->http, FALSE);
    case IO_OPERATORS:
      return http_port (io->http, TRUE);
    case IO_PEERS:
      return wire_port (io->wire);
    }
  return 0;
}

static void
post (Io *io, Event *e, Hlc stamp)
{
  Posted *p = g_new (Posted, 1);

  *p = (Posted) { .event = e, .stamp = stamp };
  g_queue_push_tail (&io->posted, p);
}

/* Hands an event of KIND with a copy of BODY to the core, in this step but
   not before the caller returns. */
void
io_post (Io *io, EventKind kind, const void *body)
{
  post (io, event_new (kind, io->now, NULL, (void *)body), (Hlc) { 0 });
}

/* Hands a peer's message E, which becomes IO's, to the core.  STAMP is the
   sender's. */
void
io_post_message (Io *io, Event *e, Hlc stamp)
{
  post (io, e, stamp);
}

/* Returns the poll loop, for the shell's modules. */
Loop *
io_loop (const Io *io)
{
  return io->loop;
}

static void
on_note (Io *io, const Event *e)
{
  timeline_add (io->timeline, hlc_tick (&io->clock, io->now), e->body,
                &io->cause);
}

static void
on_drained (Io *io, const Event *e)
{
  (void)e;
  io->drained = TRUE;
  io->linger_until = io->now + LINGER_MS;
  http_stop_listening (io->http);
  log_event (io->log, LOG_INFO, io->now, "drained", NULL);
}

static void
on_reply (Io *io, const Event *e)
{
  http_reply (io->http, e->body);
}

static void
on_call (Io *io, const Event *e)
{
  client_call (io->client, e);
}

static void
on_drop (Io *io, const Event *e)
{
  client_drop (io->client, e);
}

typedef void (*EffectHandler) (Io *io, const Event *e);

/* Messages, which have no entry, go to their peer. */
static const EffectHandler effect_handlers[N_EVENT_KINDS] = {
  [FX_NOTE] = on_note,           [FX_DRAINED] = on_drained,
  [FX_REPLY] = on_reply,         [FX_STORE_CALL] = on_call,
  [FX_WORKER_CALL] = on_call,    [FX_UPSTREAM_SEND] = on_call,
  [FX_UPSTREAM_ASK] = on_call,   [FX_UPSTREAM_CANCEL] = on_call,
  [FX_UPSTREAM_PROBE] = on_call, [FX_UPSTREAM_DROP] = on_drop,
};

static void
take_effects (Io *io)
{
  Event *e;

  while ((e = core_next_effect (io->core)))
    {
      if (effect_handlers[e->kind])
        effect_handlers[e->kind](io, e);
      else if (event_is_message (e->kind))
        wire_send (io->wire, e, hlc_tick (&io->clock, io->now));
      event_free (e);
    }
}

static void
write_trace (Io *io, const Event *e)
{
  char *line;

  if (!io->trace)
    return;
  line = event_to_json (e, core_host (io->core));
  fprintf (io->trace, "%s\n", line);
  g_free (line);
  if (io->now - io->traced < TRACE_FLUSH_MS)
    return;
  io->traced = io->now;
  fflush (io->trace);
}

static void
feed (Io *io, Posted *p)
{
  Event *e = p->event;

  e->at = MAX (e->at, io->now);
  io->cause = (TimelineCause) { .event = event_name (e->kind),
                                .host = e->peer,
                                .stamp = p->stamp };
  if (*e->peer)
    hlc_merge (&io->clock, p->stamp, io->now);
  write_trace (io, e);
  core_feed (io->core, e);
  take_effects (io);
  io->cause = (TimelineCause) { 0 };
}

static void
feed_posted (Io *io)
{
  Posted *p;

  while ((p = g_queue_pop_head (&io->posted)))
    {
      feed (io, p);
      event_free (p->event);
      g_free (p);
    }
}

static void
feed_time (Io *io)
{
  if (core_next_deadline (io->core) <= io->now)
    io_post (io, EV_TICK, NULL);
  feed_posted (io);
}

/* Returns how long the poll may last, in milliseconds. */
static ClockMs
time_to_wait (Io *io, ClockMs longest)
{
  ClockMs next = core_next_deadline (io->core);

  next = MIN (next, client_next_deadline (io->client));
  next = MIN (next, wire_next_deadline (io->wire));
  next = MIN (next, http_next_deadline (io->http));
  next = MIN (next, io->drain_until);
  if (io->now < io->linger_until)
    next = MIN (next, io->linger_until);
  return CLAMP (next - io->now, 0, longest);
}

/* Does what is due and waits for more, LONGEST milliseconds at most. */
void
io_step (Io *io, ClockMs longest)
{
  read_clock (io);
  feed_time (io);
  loop_poll (io->loop, time_to_wait (io, longest));
  read_clock (io);
  client_run (io->client);
  wire_run (io->wire);
  feed_time (io);
  if (io->now >= io->linger_until)
    http_end_idle (io->http);
  http_run (io->http);
  feed_time (io);
}

/* Tells whether a drain has ended, every answer has left and every connection
   is closed. */
gboolean
io_done (const Io *io)
{
  if (io->now >= io->drain_until)
    return TRUE;
  return io->now >= io->linger_until && http_n_connections (io->http) == 0;
}

/* Starts a drain: nothing new is taken, what is in flight is finished. */
void
io_drain (Io *io)
{
  if (io_draining (io))
    return;
  read_clock (io);
  io->drain_until = io->now + io->settings->drain_ms + DRAIN_GRACE_MS;
  log_event (io->log, LOG_INFO, io->now, "draining", NULL);
  io_post (io, EV_DRAIN, NULL);
}

static void
log_stopped (Io *io)
{
  char open[24];
  char connections[24];
  char reopened[24];

  g_snprintf (open, sizeof open, "%u", http_n_calls (io->http));
  g_snprintf (connections, sizeof connections, "%u",
              http_n_connections (io->http));
  g_snprintf (reopened, sizeof reopened, "%" G_GINT64_FORMAT,
              io_shell_counter (io, SHELL_HTTP_REOPENED));
  log_event (io->log, LOG_INFO, io->now, "stopped", "open_requests", open,
             "open_connections", connections, "reopened", reopened, NULL);
}

/* Steps until a drain has ended.  Returns FALSE when work was left. */
gboolean
io_run (Io *io)
{
  while (!io_done (io))
    io_step (io, POLL_LONGEST_MS);
  log_stopped (io);
  if (io->drained)
    return TRUE;
  log_event (io->log, LOG_ERROR, io->now, "drain_cut_off", NULL);
  http_log_pending (io->http);
  return FALSE;
}

/* A trace begins with what the replay needs to make the same node. */
static void
write_trace_start (Io *io, const Config *cfg, guint32 seed)
{
  char *line;

  if (!io->trace)
    return;
  line = replay_start_line (cfg, seed, io->now);
  fprintf (io->trace, "%s\n", line);
  g_free (line);
}

static void
start_core (Io *io)
{
  Config *cfg = settings_config (io->settings);
  guint32 seed;

  if (cfg->incarnation == 0)
    cfg->incarnation = io->now;
  seed = g_str_hash (cfg->host) ^ (guint32)cfg->incarnation;
  write_trace_start (io, cfg, seed);
  io->core = core_new (cfg, seed, io->now);
  config_free (cfg);
}

static gboolean
open_all (Io *io, GError **error)
{
  const Settings *s = io->settings;

  io->loop = loop_new ();
  if (!io->loop)
    {
      g_set_error (error, IO_ERROR, IO_ERROR_SETUP, "no pollset: %s",
                   g_strerror (errno));
      return FALSE;
    }
  io->timeline = timeline_new (s->host, (guint)s->timeline_entries);
  io->client = client_new (io);
  io->wire = wire_new (io, s, error);
  if (!io->wire)
    return FALSE;
  io->http = http_new (io, error);
  return io->http != NULL;
}

/* Returns a node with its listeners open, configured by a copy of S.  Every
   event that is fed to the core is written to TRACE, unless that is NULL,
   as a line of JSON.  Returns NULL and sets ERROR (IO_ERROR) when a
   listener can't be opened. */
Io *
io_new (const Settings *s, FILE *trace, GError **error)
{
  Io *io = g_new0 (Io, 1);

  io->settings = rec_copy (settings_desc (), s);
  io->log =
      log_new (stderr, (LogLevel)log_level_from_name (s->log_level), s->host);
  io->trace = trace;
  io->drain_until = CLOCK_NEVER;
  io->linger_until = CLOCK_NEVER;
  io->wall_start = g_get_real_time () / us_per_ms;
  io->monotonic_start_us = g_get_monotonic_time ();
  g_queue_init (&io->posted);
  read_clock (io);
  if (!open_all (io, error))
    {
      io_free (io);
      return NULL;
    }
  start_core (io);
  log_event (io->log, LOG_INFO, io->now, "started", "domain", s->domain, NULL);
  io->cause.event = "start";
  take_effects (io);
  return io;
}

/* Closes all and releases IO; what is in flight is dropped. */
void
io_free (Io *io)
{
  Posted *p;

  http_free (io->http);
  client_free (io->client);
  wire_free (io->wire);
  while ((p = g_queue_pop_head (&io->posted)))
    {
      event_free (p->event);
      g_free (p);
    }
  core_free (io->core);
  timeline_free (io->timeline);
  log_free (io->log);
  settings_free (io->settings);
  loop_free (io->loop);
  g_free (io);
}
