#ifndef POOL_H
#define POOL_H

#include "call_limit.h"
#include "rtt.h"
#include "timer.h"

#include <apr_ring.h>

/* The scheduler's workers: their capacity, what is placed on each of them,
   and the state of their leases. */

/* An amount of CPU, memory and accelerators. */
typedef struct PoolResources
{
  gint64 cpu_milli;
  gint64 mem_mb;
  gint64 accelerators;
} PoolResources;

/* What a worker publishes about itself in the store. */
typedef struct PoolEntry
{
  char *id;
  char *service;
  char *address;
  char *domain;
  char *rack;
  GPtrArray *labels; /* of char * */
  PoolResources capacity;
  gint64 incarnation; /* start of the worker process, Unix milliseconds */
  gboolean draining;
  ClockMs drain_remaining; /* while draining: minimum time until it exits */
} PoolEntry;

typedef struct WorkPlacement WorkPlacement;
APR_RING_HEAD (WorkPlacementRing, WorkPlacement);

/* A start order that got no answer and may still be executed after its run
   is over.  A restarted worker has no record of that run and would accept
   it. */
typedef struct PoolLateStart
{
  char *task; /* its name */
  gint64 run;
  ClockMs expires;   /* the order can't be executed after this */
  gboolean unwanted; /* its worker has restarted and may not refuse it yet */
} PoolLateStart;

/* How a worker's pace compares to the average. */
typedef enum PaceClass
{
  PACE_FAST = -1,
  PACE_AVERAGE = 0,
  PACE_SLOW = 1
} PaceClass;

/* What is known of a worker's pace; see pace.c. */
typedef struct PoolPace
{
  gint64 incarnation;  /* of the worker's process */
  double log_slowness; /* natural logarithm of the time that it takes, relative
                          to the average worker */
  double variance;     /* of that; 0 before the first sample */
} PoolPace;

/* The job of an end that a worker has listed, but not been acknowledged. */
typedef struct PoolUnackedEnd
{
  gint64 sequence; /* number of the end */
  guint job;       /* hash of the job's id */
} PoolUnackedEnd;

/* Each run that ends on a worker is numbered there in increasing order.  The
   worker keeps these records until the scheduler acknowledges them in a
   poll, which also renews the worker's lease. */
typedef struct PoolWorker
{
  PoolEntry *entry;
  gboolean registered; /* its entry is in the store */
  gboolean recorded;   /* a former scheduler may have used it */
  gboolean listed;     /* in the last roster that was written or is due */
  gboolean in_roster;  /* the roster in the store contains it */
  gboolean evacuated;  /* so is its domain: it gets no starts */
  /* While RECORDED and not heard: of the last scheduler that may have given it
     a lease. */
  gint64 former_fence;
  /* The process that the scheduler before heard last; 0: not known. */
  gint64 former_incarnation;
  /* The process that the records that were written last name. */
  gint64 recorded_incarnation;
  /* The records that were written last, or are being written, say that this
     scheduler has given it no lease. */
  gboolean recorded_as_silent;
  ClockMs long_lease_until;    /* it may hold a long lease until then */
  gboolean wants_long_lease;   /* its runs last long */
  gboolean recorded_as_long;   /* so say the records that were written last */
  gboolean may_get_long_lease; /* so say the records in the store */
  /* Until then a process of it that was taken for the one before may hold the
     longest lease. */
  ClockMs longest_lease_until;
  gboolean recorded_as_longest; /* so say the records that were written last */
  gboolean runs_known;          /* it has listed its runs to this scheduler */
  /* All runs on it have ended, because their lease expired or its process was
     replaced.  That it can't be reached proves nothing. */
  gboolean lease_expired;
  gint64 incarnation;     /* the one that answered the last poll */
  char *heard_address;    /* where it, or a recorded one, answered; or NULL */
  PoolResources used;     /* by placements that may run, or are stopping */
  PoolResources reserved; /* by placements that wait for free capacity */
  struct WorkPlacementRing placements;
  guint n_placements;
  GPtrArray *late_starts;  /* of PoolLateStart */
  gint64 worker_clock;     /* last reading of the worker's own clock */
  ClockMs worker_clock_at; /* latest time at which that was read */
  /* A call has got no answer since: its process may have been replaced. */
  gboolean clock_in_doubt;
  CallLimit calls; /* in flight */
  RttEstimate rtt;
  ClockMs lease_expiry; /* latest end of its runs without a renewal */
  /* Latest end of what a process of it that has not answered may have taken
     from the calls that were sent so far. */
  ClockMs unheard_expiry;
  /* Greatest that its present process was sent, by the worker's clock. */
  gint64 lease_deadline;
  /* Until then a call without an answer may be executed and grant a lease. */
  ClockMs late_grant_until;
  ClockMs process_known_at; /* first list of its present process */
  gint64 ends_acked;        /* acknowledged: it may have dropped these ends */
  gint64 ends_ack_sent;     /* acknowledged by the poll in flight */
  gint64 ends_applied;      /* last end that was processed here */
  /* Until then a hold that was lost may be executed and acknowledge ends. */
  ClockMs late_ack_until;
  GArray *unacked_ends; /* of PoolUnackedEnd, by ascending number */
  /* Sequence number of the save that makes ENDS_APPLIED durable. */
  guint64 ends_applied_save;
  gint64 poll_id; /* of the poll in flight; 0 for none */
  ClockMs poll_sent_at;
  gboolean first_poll_sent;   /* the poll in flight is the first one */
  gboolean first_poll_queued; /* waits to send its first poll */
  ClockMs next_poll;
  gboolean poll_immediately; /* the next poll asks for an answer at once */
  ClockMs leaves_at;         /* while draining: earliest exit */
  guint polls_unanswered;    /* consecutive polls without a RUN_OK reply */
  /* Last poll without a RUN_OK reply, restart, or first reply to this
     scheduler. */
  ClockMs last_disruption;
  guint consecutive_failures; /* in a row, of different jobs */
  guint last_failed_job;      /* hash of the id of the job that failed last */
  /* Start of the latest run that succeeded, or made progress and lasted at
     least HEALTHY_RUN_MS (run_list.c); 0: none. */
  ClockMs last_success_start;
  ClockMs excluded_until; /* gets no new placements before */
  /* Until then it gets only tasks that no other worker can ever take. */
  ClockMs quarantined_until;
  ClockMs quarantine_span; /* of the last quarantine; 0: none */
  ClockMs slow_until;      /* considered slow before */
  PoolPace pace;
  PaceClass logged_pace; /* in the last log line */
  /* Cost of the evictions that make room for one more task here, in the current
     plan. */
  double evict_cost;
  Timer timer;    /* the next check */
  gboolean dirty; /* to be checked in the next tick */
} PoolWorker;

typedef struct Pool
{
  GHashTable *workers; /* id to PoolWorker, which it owns */
  /* Id of a worker that was removed to its late starts, a GPtrArray: it may
     come back before they have expired. */
  GHashTable *departed;
  GPtrArray *by_rack; /* of PoolWorker, sorted by rack, then id */
  /* Many workers accept so few connections that none is kept open. */
  gboolean connections_are_scarce;
} Pool;

void pool_init (Pool *p);
void pool_clear (Pool *p);
PoolWorker *pool_find (const Pool *p, const char *id);
guint pool_size (const Pool *p);
PoolWorker *pool_at (const Pool *p, guint i);
guint pool_rack_end (const Pool *p, guint from);
PoolWorker *pool_update (Pool *p, PoolEntry *entry);
guint pool_count_scarce (const Pool *p);
void pool_remove (Pool *p, PoolWorker *w, ClockMs now);
void
pool_add_late_start (PoolWorker *w, char *task, gint64 run, ClockMs expires);
void pool_add_late_start_of (Pool *p,
                             const char *worker,
                             const char *task,
                             gint64 run,
                             ClockMs expires);
PoolLateStart *pool_late_start_at (const PoolWorker *w, guint i);
void pool_add_unacked_end (PoolWorker *w, gint64 sequence, const char *job);
void pool_drop_acked_ends (PoolWorker *w);
gboolean pool_has_unacked_end_of (const PoolWorker *w, const char *job);
void pool_expire_late_starts (PoolWorker *w, ClockMs now);
void pool_late_start_refused (PoolWorker *w, const char *task, gint64 run);
gboolean pool_has_unwanted_late_start (const PoolWorker *w);
PoolEntry *pool_entry_new (const char *id);
void pool_entry_free (gpointer entry);
gboolean pool_has_label (const PoolWorker *w, const char *label);
void pool_resources_add (PoolResources *total, const PoolResources *need);
void pool_resources_subtract (PoolResources *total, const PoolResources *need);
PoolResources pool_available (const PoolWorker *w);
guint pool_resources_count (const PoolResources *total,
                            const PoolResources *need);
gboolean pool_resources_fit (const PoolResources *total,
                             const PoolResources *need);

#endif
