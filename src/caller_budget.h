#ifndef CALLER_BUDGET_H
#define CALLER_BUDGET_H

#include "clock.h"

#include <apr_ring.h>

/* Decides which callers a host refuses or closes when they make it hold more
   memory or descriptors than it may spend on them.  It knows no sockets: its
   owner reports what each connection holds and carries out the verdicts. */

/* What a connection is at. */
typedef enum CallerPhase
{
  CALLER_HEAD,    /* waits for a request's head, or receives it */
  CALLER_BODY,    /* receives a body that is kept */
  CALLER_DROPPED, /* receives a body that is read and not kept */
  CALLER_WAITING, /* its request is worked on */
  CALLER_ANSWER,  /* its answer is being sent */
  CALLER_GONE,    /* is not part of the budget */
  N_CALLER_PHASES = CALLER_GONE
} CallerPhase;

/* Why a caller is refused or closed. */
#define CALLER_CAUSES(X)                                                       \
  X (CALLER_STALLED_BODY, "stalled_body")                                      \
  X (CALLER_SLOW_BODY, "slow_body")                                            \
  X (CALLER_NO_ROOM, "no_room")                                                \
  X (CALLER_BY_HEAD, "by_head")                                                \
  X (CALLER_NO_REQUEST, "no_request")                                          \
  X (CALLER_UNREAD_ANSWER, "unread_answer")

#define CALLER_CAUSE_ENUM(cause, name) cause,
typedef enum CallerCause
{
  CALLER_CAUSES (CALLER_CAUSE_ENUM) N_CALLER_CAUSES
} CallerCause;

/* What one connection makes the host hold. */
typedef struct CallerHold
{
  APR_RING_ENTRY (CallerHold) link;
  void *owner; /* the connection */
  CallerPhase phase;
  gsize bytes;         /* beyond those of every connection */
  gsize since_mark;    /* bytes of the body since PROGRESS_AT */
  ClockMs progress_at; /* when it last made progress */
} CallerHold;

APR_RING_HEAD (CallerHoldRing, CallerHold);

typedef struct CallerLimits
{
  gsize bytes; /* of all connections together */
  guint connections;
  gsize connection_bytes; /* what each connection costs, whatever it does */
} CallerLimits;

/* Tells whether bytes of HOLD's connection have arrived that the host has not
   read yet. */
typedef gboolean (*CallerHasUnread) (const CallerHold *hold);

typedef struct CallerBudget
{
  CallerLimits limits;
  CallerHasUnread has_unread;
  struct CallerHoldRing phases[N_CALLER_PHASES]; /* oldest progress first */
  guint n_in[N_CALLER_PHASES];
  guint n_connections;
  gsize held;
  gsize peak;      /* of all that was held since memory was given back */
  ClockMs trim_at; /* CLOCK_NEVER while nothing is to be given back */
} CallerBudget;

/* What to do about one caller. */
typedef enum CallerAction
{
  CALLER_KEEP,
  CALLER_REFUSE, /* drop what is kept of its request, and answer "not run" */
  CALLER_CLOSE
} CallerAction;

typedef struct CallerVerdict
{
  CallerAction action;
  CallerHold *hold;
  CallerCause cause;
} CallerVerdict;

CallerLimits caller_budget_limits (gint64 memory_bytes, guint max_descriptors);
void caller_budget_init (CallerBudget *b,
                         const CallerLimits *limits,
                         CallerHasUnread has_unread);
void caller_budget_open (CallerBudget *b, CallerHold *hold, ClockMs now);
void caller_budget_enter (CallerBudget *b,
                          CallerHold *hold,
                          CallerPhase phase,
                          gsize bytes,
                          ClockMs now);
void
caller_budget_receive (CallerBudget *b, CallerHold *hold, gsize n, ClockMs now);
void caller_budget_close (CallerBudget *b, CallerHold *hold);
CallerVerdict
caller_budget_next (CallerBudget *b, CallerHold *asking, ClockMs now);
gboolean caller_budget_takes_trim (CallerBudget *b, ClockMs now);
const char *caller_budget_cause_name (CallerCause cause);

#endif
