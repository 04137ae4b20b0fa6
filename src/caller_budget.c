#include "caller_budget.h"

enum
{
  /* A body makes progress with each of these many bytes.  A sender of single
     bytes so counts as one that has stopped. */
  PROGRESS_BYTES = 4096,
  /* Without progress for this long a body has stalled.  Shorter than any
     sender's time-out, longer than a packet that is lost and sent again. */
  STALLED_MS = 1000,
  /* Without progress for this long it gives way to a quicker one. */
  SLOW_MS = 100,
  /* Connections that are looked at for unread bytes before one is closed. */
  MAX_PASSED_OVER = 8,
  MIN_CONNECTIONS = 16,
  MAX_CONNECTIONS = 3000,
  /* For files, listeners, peers, the store and calls to workers. */
  OWN_DESCRIPTORS = 1100,
  /* The buffer of heads, 24 KB, the library's state, and what the kernel
     keeps of a connection. */
  CONNECTION_BYTES = 40 << 10,
  /* Memory is returned to the system once half of the most that was held has
     been free for this time, if that is this much.  By then the library has
     closed the connections whose bodies are gone. */
  TRIM_BYTES = 4 << 20,
  TRIM_DELAY_MS = 1000
};

/* The smallest host's, for one that cannot read its own. */
static const gint64 default_memory_bytes = (gint64)160 << 20;

/* Callers get 2/5 of the memory: the heap's fragments, bytes that wait unread
   in the kernel, and all that the host does for its workers need the rest. */
static const gint64 callers_share = 2;
static const gint64 all_shares = 5;

/* Returns what callers may make a host hold that has MEMORY_BYTES and may open
   MAX_DESCRIPTORS; 0 of either means that it is not known.  Open connections
   alone take at most 3/4 of the bytes, so that there is room for bodies. */
CallerLimits
caller_budget_limits (gint64 memory_bytes, guint max_descriptors)
{
  gint64 memory = memory_bytes > 0 ? memory_bytes : default_memory_bytes;
  gint64 bytes = memory / all_shares * callers_share;
  gint64 connections = bytes / 4 * 3 / CONNECTION_BYTES;

  if (max_descriptors > 0)
    connections =
        MIN (connections, MAX ((gint64)max_descriptors - OWN_DESCRIPTORS,
                               (gint64)max_descriptors / 4));
  return (CallerLimits) {
    .bytes = (gsize)bytes,
    .connections = (guint)CLAMP (connections, MIN_CONNECTIONS, MAX_CONNECTIONS),
    .connection_bytes = CONNECTION_BYTES
  };
}

/* Initializes B without connections; HAS_UNREAD is asked about them. */
void
caller_budget_init (CallerBudget *b,
                    const CallerLimits *limits,
                    CallerHasUnread has_unread)
{
  guint i;

  *b = (CallerBudget) { .limits = *limits,
                        .has_unread = has_unread,
                        .trim_at = CLOCK_NEVER };
  for (i = 0; i < N_CALLER_PHASES; i++)
    APR_RING_INIT (&b->phases[i], CallerHold, link);
}

/* Returns what callers hold, with the connections also where the limits have
   them apart. */
static gsize
footprint (const CallerBudget *b)
{
  return b->limits.connection_bytes > 0
             ? b->held
             : b->held + (gsize)b->n_connections * CONNECTION_BYTES;
}

static void
set_bytes (CallerBudget *b, CallerHold *hold, gsize bytes)
{
  b->held += bytes;
  b->held -= hold->bytes;
  hold->bytes = bytes;
  b->peak = MAX (b->peak, footprint (b));
}

static void
mark_progress (CallerBudget *b, CallerHold *hold, ClockMs now)
{
  hold->since_mark = 0;
  hold->progress_at = now;
  APR_RING_INSERT_TAIL (&b->phases[hold->phase], hold, CallerHold, link);
}

/* Adds HOLD, a new connection whose owner is set, which waits for a request's
 * head. */
void
caller_budget_open (CallerBudget *b, CallerHold *hold, ClockMs now)
{
  hold->phase = CALLER_HEAD;
  b->n_in[CALLER_HEAD]++;
  hold->bytes = 0;
  mark_progress (b, hold, now);
  b->n_connections++;
  set_bytes (b, hold, b->limits.connection_bytes);
}

/* Makes HOLD, unless it is gone, enter PHASE and hold BYTES beside what every
   connection costs. */
void
caller_budget_enter (CallerBudget *b,
                     CallerHold *hold,
                     CallerPhase phase,
                     gsize bytes,
                     ClockMs now)
{
  if (hold->phase == CALLER_GONE)
    return;
  APR_RING_REMOVE (hold, link);
  b->n_in[hold->phase]--;
  b->n_in[phase]++;
  hold->phase = phase;
  mark_progress (b, hold, now);
  set_bytes (b, hold, b->limits.connection_bytes + bytes);
}

/* Adds N bytes of a body to HOLD, unless it is gone. */
void
caller_budget_receive (CallerBudget *b, CallerHold *hold, gsize n, ClockMs now)
{
  if (hold->phase == CALLER_GONE)
    return;
  hold->since_mark += n;
  if (hold->phase == CALLER_BODY)
    set_bytes (b, hold, hold->bytes + n);
  if (hold->since_mark < PROGRESS_BYTES)
    return;
  APR_RING_REMOVE (hold, link);
  mark_progress (b, hold, now);
}

/* Takes HOLD out of B, unless it is gone. */
void
caller_budget_close (CallerBudget *b, CallerHold *hold)
{
  if (hold->phase == CALLER_GONE)
    return;
  APR_RING_REMOVE (hold, link);
  set_bytes (b, hold, 0);
  b->n_in[hold->phase]--;
  hold->phase = CALLER_GONE;
  b->n_connections--;
}

/* Returns the connection of PHASE, other than ASKING, whose progress is the
   oldest, if that is SPAN milliseconds old at NOW; else NULL. */
static CallerHold *
oldest (CallerBudget *b,
        CallerPhase phase,
        const CallerHold *asking,
        ClockMs span,
        ClockMs now)
{
  CallerHold *hold;

  APR_RING_FOREACH (hold, &b->phases[phase], CallerHold, link)
    if (hold != asking)
      return hold->progress_at + span <= now ? hold : NULL;
  return NULL;
}

/* A kind of connections that may be closed, and why they are. */
typedef struct Closing
{
  CallerPhase phase;
  CallerCause cause;
} Closing;

static const CallerVerdict keep = { CALLER_KEEP, NULL, CALLER_NO_ROOM };

/* Those that have stalled, the least loss first: what they sent is refused
   already, cannot be carried out, or has been. */
static const Closing stalled_order[] = {
  { CALLER_DROPPED, CALLER_STALLED_BODY },
  { CALLER_BODY, CALLER_STALLED_BODY },
  { CALLER_ANSWER, CALLER_UNREAD_ANSWER },
};

static CallerVerdict
close_stalled (CallerBudget *b, const CallerHold *asking, ClockMs now)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (stalled_order); i++)
    {
      CallerHold *hold =
          oldest (b, stalled_order[i].phase, asking, STALLED_MS, now);

      if (hold)
        return (CallerVerdict) { CALLER_CLOSE, hold, stalled_order[i].cause };
    }
  return keep;
}

/* Returns the connection that has waited longest for a head, other than ASKING.
   One whose request has arrived is passed over: the host is late, not its
   caller. */
static CallerHold *
idlest (CallerBudget *b, const CallerHold *asking)
{
  CallerHold *hold;
  CallerHold *first = NULL;
  guint n = 0;

  APR_RING_FOREACH (hold, &b->phases[CALLER_HEAD], CallerHold, link)
    {
      if (hold == asking)
        continue;
      if (!b->has_unread (hold))
        return hold;
      if (!first)
        first = hold;
      if (++n == MAX_PASSED_OVER)
        break;
    }
  return first;
}

static CallerVerdict
close_idle (CallerBudget *b, const CallerHold *asking, ClockMs now)
{
  CallerHold *hold = idlest (b, asking);

  (void)now;
  return hold ? (CallerVerdict) { CALLER_CLOSE, hold, CALLER_NO_REQUEST }
              : keep;
}

/* Bodies that are not kept come first: they are refused already. */
static CallerVerdict
close_body (CallerBudget *b, const CallerHold *asking, ClockMs now)
{
  CallerHold *hold = oldest (b, CALLER_DROPPED, asking, 0, now);

  if (!hold)
    hold = oldest (b, CALLER_BODY, asking, 0, now);
  return hold ? (CallerVerdict) { CALLER_CLOSE, hold, CALLER_SLOW_BODY } : keep;
}

static CallerVerdict
close_answer (CallerBudget *b, const CallerHold *asking, ClockMs now)
{
  CallerHold *hold = oldest (b, CALLER_ANSWER, asking, 0, now);

  return hold ? (CallerVerdict) { CALLER_CLOSE, hold, CALLER_UNREAD_ANSWER }
              : keep;
}

/* Connections that do the same. */
typedef struct Kind
{
  guint n;
  CallerVerdict (*close) (CallerBudget *b,
                          const CallerHold *asking,
                          ClockMs now);
} Kind;

static gint
by_number (gconstpointer a, gconstpointer b, gpointer unused)
{
  const Kind *x = a;
  const Kind *y = b;

  (void)unused;
  return x->n == y->n ? 0 : x->n > y->n ? -1 : 1;
}

/* Where none has stalled, the kind of which most are open gives way, so that a
   crowd pays for itself: callers that wait between two calls don't pay for one
   of bodies, nor bodies for one that says nothing.  A request that is worked on
   is of no kind: nobody could say truly that it was not run. */
static CallerVerdict
close_of_largest (CallerBudget *b, const CallerHold *asking, ClockMs now)
{
  Kind kinds[] = {
    { b->n_in[CALLER_HEAD], close_idle },
    { b->n_in[CALLER_DROPPED] + b->n_in[CALLER_BODY], close_body },
    { b->n_in[CALLER_ANSWER], close_answer },
  };
  CallerVerdict v = keep;
  gsize i;

  g_qsort_with_data (kinds, G_N_ELEMENTS (kinds), sizeof *kinds, by_number,
                     NULL);
  for (i = 0; i < G_N_ELEMENTS (kinds) && v.action == CALLER_KEEP; i++)
    v = kinds[i].close (b, asking, now);
  return v;
}

/* Bytes are short and nothing has stalled: a slow body gives way, then the body
   or the request that asks for room. */
static CallerVerdict
refuse_one (CallerBudget *b, CallerHold *asking, ClockMs now)
{
  CallerHold *slow = oldest (b, CALLER_BODY, asking, SLOW_MS, now);

  if (slow)
    return (CallerVerdict) { CALLER_REFUSE, slow, CALLER_SLOW_BODY };
  if (asking->phase == CALLER_BODY || asking->phase == CALLER_WAITING)
    return (CallerVerdict) { CALLER_REFUSE, asking, CALLER_NO_ROOM };
  return keep;
}

/* Returns what to do next for B to be within its limits, with KEEP if that is
   nothing.  ASKING is the connection that has just taken more; it comes last
   where another one can give way.  The owner carries the verdict out, which
   makes the connection enter another phase or close, and asks again. */
CallerVerdict
caller_budget_next (CallerBudget *b, CallerHold *asking, ClockMs now)
{
  gboolean crowded = b->n_connections > b->limits.connections;
  CallerVerdict v;

  if (asking->phase == CALLER_GONE || (!crowded && b->held <= b->limits.bytes))
    return keep;
  v = close_stalled (b, asking, now);
  if (v.action == CALLER_KEEP && !crowded)
    v = refuse_one (b, asking, now);
  /* Closing an idle connection frees bytes only where it costs some. */
  if (v.action == CALLER_KEEP && (crowded || b->limits.connection_bytes > 0))
    v = close_of_largest (b, asking, now);
  return v;
}

/* Tells whether so much has become free that memory should be returned to the
   system now; asked from time to time. */
gboolean
caller_budget_takes_trim (CallerBudget *b, ClockMs now)
{
  gsize freed = b->peak - footprint (b);

  if (freed < TRIM_BYTES || freed < b->peak / 2)
    b->trim_at = CLOCK_NEVER;
  else if (b->trim_at == CLOCK_NEVER)
    b->trim_at = now + TRIM_DELAY_MS;
  if (now < b->trim_at)
    return FALSE;
  b->peak = footprint (b);
  b->trim_at = CLOCK_NEVER;
  return TRUE;
}

/* Returns the name under which CAUSE is counted. */
const char *
caller_budget_cause_name (CallerCause cause)
{
#define CALLER_CAUSE_NAME(cause, name) [cause] = name,
  static const char *const names[] = { CALLER_CAUSES (CALLER_CAUSE_NAME) };

  return names[cause];
}
