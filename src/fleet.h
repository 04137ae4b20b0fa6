#ifndef FLEET_H
#define FLEET_H

#include <apr_ring.h>

#include "clock.h"
#include "outcome.h"

/* The workers of one failure domain and what occupies them.  Plain state
   without any decision: place.h finds room, quota.h says what must stay
   reclaimable, plan.h ties them together and is what a scheduler calls. */

enum
{
  FLEET_MAX_ACCELERATORS = 64, /* of one worker */
  FLEET_MAX_PARTS = 128,       /* of one job */
  FLEET_MAX_FAILURES = 3,      /* of a job, on distinct workers */
  FLEET_NO_SLOT = -1
};

/* WAITING jobs hold nothing.  A CLAIMED job holds its place against others
   while borrowed work there is being stopped.  A PLACED job occupies it. */
typedef enum FleetState
{
  FLEET_WAITING,
  FLEET_CLAIMED,
  FLEET_PLACED
} FleetState;

typedef struct FleetJob FleetJob;

/* What a part keeps from guarantees.  One that is charged to a run needs
   nothing but the cores and memory beyond its accelerators' share: the run
   holds the accelerators. */
typedef enum FleetHold
{
  FLEET_HOLD_NONE,
  FLEET_HOLD_OWN,
  FLEET_HOLD_EXTRA
} FleetHold;

/* One part of a job.  WORKER and FIRST count from 0 and mean nothing while
   the job waits.  SLOT is the run of its workspace's guarantee that the part
   is charged to, FLEET_NO_SLOT when it is borrowed. */
typedef struct FleetPart
{
  APR_RING_ENTRY (FleetPart) link; /* in the ring of its worker */
  FleetJob *job;
  guint32 worker;
  gint32 slot;
  guint8 first;
  guint8 region; /* where the run that it is charged to begins */
  guint8 hold;   /* FleetHold, as it was put in place */
} FleetPart;

/* A job.  The owner fills the first group and keeps the struct alive while
   the job is known to a Plan; the rest belongs to the modules around it.
   CORES and MEMORY_MB count per part.  RUN_MS is declared, LEARNT_MS is what
   such work has taken, 0 while unknown. */
struct FleetJob
{
  gint64 id;       /* unique and rising with acceptance; settles ties */
  guint workspace; /* by plan_workspace */
  guint kind;      /* by plan_kind */
  WorkClass work_class;
  guint parts;
  guint accelerators; /* per part, adjacent on one worker */
  gint64 cores;
  gint64 memory_mb;
  ClockMs run_ms;
  ClockMs arrived;
  gboolean checkpointable;
  gboolean repeatable;
  gpointer owner;

  FleetState state;
  gboolean in_guarantee;
  ClockMs started;  /* when it was placed */
  ClockMs saved;    /* its last checkpoint, or started */
  ClockMs progress; /* work kept from earlier starts */
  ClockMs learnt_ms;
  guint stopping; /* chosen by a reclaim that is under way */
  guint mark;     /* scratch of the searches */
  guint seen;
  guint wait;                          /* PlanWait */
  guint failed_on[FLEET_MAX_FAILURES]; /* distinct healthy workers */
  guint n_failures;
  ClockMs blocked_until; /* stopping all borrowed work gave it no room */
  ClockMs check_at;      /* when that is looked at again */
  guint avoid;           /* 1 + the worker where it failed last, 0: none */
  FleetPart *part;       /* PARTS of them */
  APR_RING_ENTRY (FleetJob) link; /* waiting or placed, in its workspace */
};

APR_RING_HEAD (FleetParts, FleetPart);

/* One worker.  Bit I of a mask stands for accelerator I.  What is pinned is
   the share of cores and memory that work which can't be taken back uses or
   is entitled to with its accelerators. */
typedef struct FleetWorker
{
  char *name;
  guint index;
  guint rack;
  guint accelerators;
  gint64 cores;
  gint64 memory_mb;
  gint64 cores_free;
  gint64 memory_free;
  gint64 cores_pinned;
  gint64 memory_pinned;
  guint64 used;     /* occupied */
  guint64 held;     /* by work inside its guarantee, claims included */
  guint64 claimed;  /* by a claimant that waits for borrowed work to stop */
  gboolean up;      /* by the plan's owner */
  gboolean usable;  /* up, and not in quarantine */
  gboolean drained; /* kept for the draining reservation */
  struct FleetParts parts;
} FleetWorker;

/* The workers of a domain.  BINS[L] counts the runs of L adjacent
   accelerators on usable workers that no work inside its guarantee holds:
   free, or borrowed and so reclaimable. */
typedef struct Fleet
{
  GPtrArray *workers; /* of FleetWorker */
  GPtrArray *racks;   /* of names */
  GHashTable *by_name;
  guint max_accelerators; /* of a worker */
  guint bins[FLEET_MAX_ACCELERATORS + 1];
  guint n_accelerators; /* of usable workers */
  guint n_used;         /* of usable workers */
  gint64 cores;         /* of usable workers */
  gint64 memory_mb;
  guint64 releases; /* rises whenever room may have appeared */
  ClockMs drained_until;
  guint mark;
} Fleet;

void fleet_init (Fleet *f);
void fleet_clear (Fleet *f);
guint fleet_add_worker (Fleet *f,
                        const char *name,
                        const char *rack,
                        guint accelerators,
                        gint64 cores,
                        gint64 memory_mb);
FleetWorker *fleet_worker (const Fleet *f, guint i);
gboolean fleet_find (const Fleet *f, const char *name, guint *i);
void fleet_set_usable (Fleet *f, guint i, gboolean usable);
gboolean fleet_place (Fleet *f, FleetJob *j);
void fleet_claim (Fleet *f, FleetJob *j);
gboolean fleet_claim_is_free (const Fleet *f, const FleetJob *j);
void fleet_release (Fleet *f, FleetJob *j);
void fleet_set_in_guarantee (Fleet *f, FleetJob *j, gboolean in_guarantee);
gboolean fleet_can_stop (const FleetJob *j);
gboolean fleet_needs_guarantee (const FleetJob *j);
guint fleet_parts_of (const FleetJob *j,
                      guint64 open,
                      gint64 cores,
                      gint64 memory_mb);
gint64 fleet_stop_cost (const FleetJob *j, ClockMs now);
double fleet_fragmentation (const Fleet *f, guint accelerators);
gboolean fleet_has_matching_room (const FleetWorker *w);
gboolean fleet_is_sound (const FleetWorker *w);
gboolean fleet_job_is_sound (const Fleet *f, const FleetJob *j);
void fleet_count_bins (const FleetWorker *w, guint *bins, int sign);
void fleet_hold_region (Fleet *f, guint i, guint64 mask, int sign);
void fleet_try_region (FleetWorker *w, guint64 mask);
void fleet_try_part (FleetWorker *w, FleetJob *j, FleetHold hold, guint first);
guint64 fleet_run_mask (guint first, guint count);
guint fleet_run_length (guint64 mask);
guint fleet_parts_in (guint64 open, guint size);

#endif
