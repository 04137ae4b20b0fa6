#include "call_limit.h"

enum
{
  /* A worker that accepts fewer mostly shows it by a refusal before its host
     fails. */
  INITIAL_MAX = 4,
  HIGHEST_MAX = 32,
  SCARCE_MAX = 4, /* connections are scarce up to this limit */
  /* Pause after a refusal before more calls are tried.  It doubles with each
     try that is refused. */
  RAISE_PAUSE_MS = 5000,
  RAISE_PAUSE_MAX_MS = 60000
};

/* Initializes L for a worker process that has refused no connection yet. */
void
call_limit_init (CallLimit *l)
{
  *l = (CallLimit) { .max = INITIAL_MAX };
}

/* Forgets what the worker has refused, since its process has restarted. */
void
call_limit_reset (CallLimit *l)
{
  l->max = INITIAL_MAX;
  l->raise_pause = 0;
  l->raise_at = 0;
  l->confirmed = FALSE;
}

static gboolean
has_refused (const CallLimit *l)
{
  return l->raise_pause > 0;
}

/* Returns how many calls may be in flight at once.  Once a worker has refused
   one and connections are scarce, half of them are left to the next scheduler:
   a worker does not notice when a host loses power, and goes on counting its
   connections. */
static guint
usable_max (const CallLimit *l)
{
  return has_refused (l) && l->max <= SCARCE_MAX ? MAX (l->max / 2, 1) : l->max;
}

/* Tells whether another call may be sent now. */
gboolean
call_limit_allows (const CallLimit *l)
{
  return l->in_flight < usable_max (l);
}

/* Tells whether polls and orders have to share one connection. */
gboolean
call_limit_is_single (const CallLimit *l)
{
  return usable_max (l) == 1;
}

/* Tells whether the worker surely accepts so few calls that connections are
   scarce. */
gboolean
call_limit_is_scarce (const CallLimit *l)
{
  return l->confirmed && l->max <= SCARCE_MAX;
}

/* Tells whether the connection of a call is kept open after it.  Where
   connections are scarce, none is, so that a host that loses power leaves only
   those of its calls in flight.  SCARCE tells whether they are at a worker that
   has refused none. */
gboolean
call_limit_keeps_connection (const CallLimit *l, gboolean scarce)
{
  return has_refused (l) ? l->max > SCARCE_MAX : !scarce;
}

/* Counts a call that is sent. */
void
call_limit_on_send (CallLimit *l)
{
  l->in_flight++;
}

/* Raises MAX: by one with each reply before the first refusal; after it to the
   double, or, where connections are scarce, beyond what counts as scarce, as
   only the use of more of them shows whether the worker accepts them again. */
static void
raise_max (CallLimit *l, ClockMs now)
{
  guint more = has_refused (l) ? MAX (2 * l->max, SCARCE_MAX + 1) : l->max + 1;

  l->max = MIN (more, HIGHEST_MAX);
  l->raise_at = now + l->raise_pause;
  l->raised = TRUE;
}

/* Counts the reply at NOW to a call, or its loss if not ANSWERED.  MAX is
   raised when all that may be used was used. */
void
call_limit_on_reply (CallLimit *l, ClockMs now, gboolean answered)
{
  gboolean was_full = !call_limit_allows (l);

  if (l->in_flight)
    l->in_flight--;
  if (!answered)
    return;
  l->answered_at = now;
  if (was_full && now >= l->raise_at)
    raise_max (l, now);
}

/* Handles that the worker has answered a call that was sent at SENT_AT.  A
   worker that ends refuses connections, too, but answers no later call. */
void
call_limit_on_answer (CallLimit *l, ClockMs sent_at)
{
  if (has_refused (l) && sent_at > l->refused_at)
    l->confirmed = TRUE;
}

/* Handles the refusal at NOW of a call's connection, after its reply has been
   counted: the worker accepts those that are in flight, but no more. */
void
call_limit_on_refusal (CallLimit *l, ClockMs now)
{
  if (!has_refused (l) || l->raised)
    l->raise_pause =
        CLAMP (2 * l->raise_pause, RAISE_PAUSE_MS, RAISE_PAUSE_MAX_MS);
  l->max = CLAMP (l->in_flight, 1, l->max);
  l->raised = FALSE;
  l->refused_at = now;
  l->raise_at = now + l->raise_pause;
}

/* Tells whether a worker that refuses the connection of a call sent at SINCE
   serves others, so that it only takes no more. */
gboolean
call_limit_serves_others (const CallLimit *l, ClockMs since)
{
  return l->in_flight > 0 || l->answered_at >= since;
}
