#ifndef POOL_H
#define POOL_H

#include "clock.h"
#include "timer.h"

#include <apr_ring.h>

/* The workers and how much room each has. */

typedef struct PoolResources
{
  gint64 cpu_milli;
  gint64 mem_mb;
  gint64 accelerators;
} PoolResources;

/* What a worker's own entry in the store says. */
typedef struct PoolEntry
{
  char *id;
  char *service;
  char *address;
  char *domain;
  char *rack;
  GPtrArray *labels; /* of char * */
  PoolResources capacity;
  gint64 incarnation; /* start of its present life, Unix milliseconds */
  gboolean draining;
  ClockMs drain_remaining; /* while draining: it stays this long at the least */
} PoolEntry;

typedef struct WorkPlacement WorkPlacement;
APR_RING_HEAD (WorkPlacementRing, WorkPlacement);

/* A start that got no answer and may be executed late, though its run is
   over: a new life of the worker does not know that. */
typedef struct PoolLateStart
{
  APR_RING_ENTRY (PoolLateStart) link;
  char *task;
  gint64 run;
  ClockMs expires;
} PoolLateStart;

APR_RING_HEAD (PoolLateStartRing, PoolLateStart);

typedef struct PoolWorker
{
  PoolEntry *entry;
  gboolean registered;    /* its entry is in the store */
  gboolean in_roster;     /* in the roster in the store */
  gboolean runs_known;    /* has listed its runs to this holder of the role */
  gboolean lease_expired; /* not known, but whatever it ran has surely lapsed */
  gint64 incarnation;     /* of the life that was listed last */
  PoolResources used;     /* by what runs, may run, or is being stopped */
  PoolResources reserved; /* by what waits for room here */
  struct WorkPlacementRing placements;
  guint n_placements;
  struct PoolLateStartRing late_starts;
  gint64 worker_clock;     /* the worker's clock ... */
  ClockMs worker_clock_at; /* ... at this moment or later */
  ClockMs
      lease_expiry;  /* whatever runs here has ended by then, unless renewed */
  gint64 ends_acked; /* the worker may have forgotten the ends up to this */
  gint64 ends_ack_sent; /* what the hold under way acknowledges */
  gint64 ends_applied;  /* ends up to this number have been taken over ... */
  guint64 ends_applied_save; /* ... and last once this save has */
  gint64 poll_id;            /* of the hold under way; 0 for none */
  ClockMs poll_sent_at;
  gboolean first_poll_sent;   /* that hold is its first look */
  gboolean first_poll_queued; /* waits for its first look */
  ClockMs next_poll;
  gboolean poll_immediately; /* the next hold must not wait for an end */
  ClockMs leaves_at;      /* while draining: it stays until then at the least */
  guint polls_unanswered; /* holds in a row */
  ClockMs last_disruption; /* when a hold got no answer last, or a life began */
  guint consecutive_failures; /* in a row, of different jobs */
  guint last_failed_job;      /* hash of the last one's id */
  ClockMs last_success_start; /* begin of the last run that went well here; 0:
                                 none */
  ClockMs excluded_until;     /* takes nothing new before */
  ClockMs quarantine_span;
  ClockMs slow_until; /* taken for slow before */
  double evict_cost;  /* of one more task here, in the plan under way */
  Timer timer;        /* when to look at it again */
  gboolean dirty;     /* to be looked at at once */
} PoolWorker;

typedef struct Pool
{
  GHashTable *workers; /* id to PoolWorker */
  GPtrArray *by_rack;  /* of PoolWorker, by rack and id */
} Pool;

void pool_init (Pool *p);
void pool_clear (Pool *p);
PoolWorker *pool_find (const Pool *p, const char *id);
guint pool_size (const Pool *p);
PoolWorker *pool_at (const Pool *p, guint i);
guint pool_rack_end (const Pool *p, guint from);
PoolWorker *pool_update (Pool *p, PoolEntry *entry);
void pool_remove (Pool *p, PoolWorker *w);
void
pool_add_late_start (PoolWorker *w, char *task, gint64 run, ClockMs expires);
void pool_expire_late_starts (PoolWorker *w, ClockMs now);
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
