#ifndef REQ_STATE_H
#define REQ_STATE_H

#include "claim_event.h"
#include "fair.h"
#include "req.h"
#include "route.h"
#include "store.h"
#include "table.h"

/* What the modules of requests share.  For these alone:
   req.c          arrival, end, questions of callers, drain
   req_reply.c    callers that wait, and the replies to them
   req_admit.c    limits of workspaces and queue; what work costs
   req_place.c    slots; which upstream a request goes to, and when
   req_attempt.c  one attempt: silence, answers, retries
   req_upstream.c health of upstreams, and probes
   req_explain.c  where a request stands and how it ended
   claim.c        at most one run of work that must not be repeated
   slots.c        how hosts divide the slots */

enum
{
  PERMILLE = 1000,
  REQ_COST_FIRST_MS = 100 /* of a kind of work not seen yet */
};

#define REQUEST_STATES(X)                                                      \
  X (REQUEST_QUEUED, "queued")         /* in the fair queue */                 \
  X (REQUEST_PLACING, "placing")       /* its turn, but no upstream yet */     \
  X (REQUEST_CLAIMING, "claiming")     /* holds a slot, claim is on its way */ \
  X (REQUEST_STORE_WAIT, "store_wait") /* the store is away */                 \
  X (REQUEST_RUNNING, "running")       /* sent, and holds a slot */            \
  X (REQUEST_FOLLOWING, "following")   /* another host or process runs it */

#define REQUEST_STATE_ENUM(kind, name) kind,
typedef enum RequestState
{
  REQUEST_STATES (REQUEST_STATE_ENUM) N_REQUEST_STATES
} RequestState;

typedef struct Slots Slots;
typedef struct Claims Claims;

/* What work of one kind of one workspace costs, learnt. */
typedef struct CostEntry
{
  gint64 ms; /* of slot time */
} CostEntry;

typedef struct Request Request;

/* A caller that waits for the reply to a request. */
typedef struct Waiter
{
  APR_RING_ENTRY (Waiter) link;
  gint64 conn;
  Request *request; /* NULL: the request's first one, unused */
} Waiter;

APR_RING_HEAD (WaiterRing, Waiter);

/* One request from its arrival to its end.  FAIR comes first. */
struct Request
{
  FairItem fair;
  APR_RING_ENTRY (Request) link;    /* in PLACING */
  APR_RING_ENTRY (Request) watched; /* for its upstream's silence */
  gboolean is_watched;
  RequestState state;
  const char *id;
  const char *workspace;
  const char *caller;
  const char *work_kind;
  const char *key;
  GBytes *body;
  CostEntry *cost;
  struct WaiterRing waiters;
  guint n_waiters;
  Waiter first; /* of them, which nearly all have alone */
  WorkClass work_class;
  gboolean demoted;
  gboolean repeatable;
  ClockMs arrived;
  ClockMs deadline;
  ClockMs sent;
  ClockMs slot_since;  /* since when it holds its slot */
  gint64 used_slot_ms; /* slot time used up by earlier attempts */
  Timer expiry;
  Timer step;         /* what to do next: ask, claim again, look again */
  ClockMs step_delay; /* how long until STEP */
  gint64 attempt;
  guint retries;
  int upstream;      /* of the present attempt, ROUTE_NONE: none */
  gboolean has_slot; /* a slot of UPSTREAM */
  guint n_tried;
  int tried[ROUTE_MAX_TRIED];
  guint ask_failures;
  gboolean asking; /* its upstream was asked; STEP is the answer's bound */
  gboolean lost;   /* the present attempt's connection broke */
  Outcome known_outcome; /* if no more is heard of it */
  ClaimValue *claim;     /* the newest that is known */
  gint64 claim_revision; /* 0: none is known */
  gint64 claim_call;     /* the store call under way */
  gint64 serial;
  gboolean claim_sent; /* a claim of ours may be in the store */
  guint claim_tries;
  char digest[17];
  char text[]; /* the strings above */
};

APR_RING_HEAD (RequestRing, Request);

/* Asks an unreachable upstream whether it is back. */
typedef struct UpstreamProber
{
  Timer timer;
  gboolean probing; /* TIMER is the answer's bound */
} UpstreamProber;

struct Req
{
  GHashTable *by_id;   /* to Request */
  GHashTable *by_conn; /* to Waiter */
  GHashTable *costs;   /* "WORKSPACE KIND" to its CostEntry */
  CostEntry other_cost;
  GHashTable *rate_buckets; /* workspace to RateBucket */
  GHashTable *ended;        /* id to the explanation of its end */
  GQueue ended_order;
  Fair *fair;
  Route *route;
  Slots *slots;
  Claims *claims;
  struct RequestRing placing;
  struct RequestRing watched;
  Timer silence;
  guint n_placing;
  guint n_store_wait;
  guint n_spilled;
  gint64 serial;
  gint64 retry_tokens; /* in permille of a retry */
  gint64 spill_bytes;
  ClockMs spill_at;
  Timer tick;
  UpstreamProber *probers; /* one an upstream */
  Timer drain_bound;
  gboolean closed; /* a drain's bound has passed: nothing starts */
};

void req_finish (Core *c,
                 Request *r,
                 Outcome outcome,
                 int status,
                 const char *reason,
                 GBytes *body);
void req_wait_for_store (Core *c, Request *r);
ClockMs req_back_off (ClockMs span, ClockMs most);

void req_attach (Core *c, Request *r, gint64 conn);
void req_waiter_free (gpointer p);
void req_reply (Core *c,
                gint64 conn,
                const Request *r,
                Outcome outcome,
                int status,
                const char *reason,
                GBytes *body);
void req_reply_all (Core *c,
                    Request *r,
                    Outcome outcome,
                    int status,
                    const char *reason,
                    GBytes *body);
void req_refuse (Core *c, gint64 conn, int status, const char *reason);

CostEntry *req_cost (Req *q, const char *workspace, const char *kind);
void req_learn_cost (const Request *r, gint64 ms);
gboolean req_admit (Core *c, Request *r, const Workspace *w);
void req_enqueue (Core *c, Request *r);

void req_pump (Core *c);
void req_send (Core *c, Request *r);
void req_place_elsewhere (Core *c, Request *r);
void req_release (Core *c, Request *r);
void req_on_tick (Core *c, Timer *t);

void req_watch_silence (Core *c, Request *r);
void req_on_silence (Core *c, Timer *t);
void req_stop_step (Core *c, Request *r);
void req_ask_upstream (Core *c, Request *r);
void req_ask_overdue (Core *c, Request *r);
void req_cancel_upstream (Core *c, Request *r);

void req_learn_result (Core *c, Request *r, UpstreamResult result);
void req_learn_leaving (Core *c, const char *name, int u);
void req_on_probe (Core *c, Timer *t);

const char *req_upstream_name (Core *c, const Request *r);
const char *req_state_name (RequestState s);
void req_note (Core *c, const Request *r, NoteKind kind, const char *detail);
void req_remember (Core *c, const Request *r, Outcome outcome, const char *why);
void req_ended_free (gpointer p);

Claims *claim_new (Core *c);
void claim_free (Claims *k);
gboolean claim_busy (const Core *c);
void claim_make_id (const char *workspace, const char *key, char id[40]);
void claim_take (Core *c, Request *r);
void claim_follow (Core *c, Request *r);
void
claim_settle (Core *c, Request *r, ClaimState state, int status, GBytes *body);
void claim_read_outcome (Core *c, Request *r);
void claim_abandon (Core *c);

Slots *slots_new (Core *c);
void slots_free (Slots *s);
void slots_sync (Core *c);
void slots_borrow (Core *c, guint n);
void slots_tick (Core *c);
gboolean slots_lent_or_borrowed (const Core *c);
guint slots_n_hosts (const Core *c);

#endif
