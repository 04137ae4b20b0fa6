#ifndef PLAN_H
#define PLAN_H

#include "fleet.h"
#include "place.h"
#include "table.h"

/* All decisions about the jobs of one failure domain, and what a scheduler
   calls.  No clock, no messages: the scheduler says what happened, asks for
   the next step until there is none, and carries it out.

     plan_set_table, plan_add_worker, plan_set_usable     what there is
     plan_submit (job)                                    a job waits
     while (plan_next (plan, now, &step)) carry out       see PlanKind
     plan_saved (job)                                     checkpoint written
     plan_requeue (job) or plan_end (job)                 its room is free
     plan_adopt (job)                                     found running
*/

typedef struct Plan Plan;

#define PLAN_ERROR (g_quark_from_static_string ("plan"))
typedef enum PlanError
{
  PLAN_ERROR_IMPOSSIBLE, /* no state of the domain could hold the job */
  PLAN_ERROR_LIMIT,      /* alone it is beyond a limit of its workspace */
  PLAN_ERROR_FULL        /* its workspace has max_queued jobs waiting */
} PlanError;

/* START: all parts of JOB have their room; reserve and start them, and call
   plan_requeue if a worker refuses.
   RECLAIM: JOB's room is claimed and nobody else gets it; checkpoint or stop
   each of VICTIMS, then plan_requeue or plan_end each.  Once they are gone
   the next steps hold the START of JOB.
   MOVE: the same against fragmentation; each of VICTIMS can save itself and
   has room elsewhere. */
typedef enum PlanKind
{
  PLAN_START,
  PLAN_RECLAIM,
  PLAN_MOVE
} PlanKind;

typedef struct PlanStep
{
  PlanKind kind;
  FleetJob *job;
  FleetJob **victims; /* valid until the next call */
  guint n_victims;
} PlanStep;

/* Why a job waits; plan_wait_text says it in words. */
#define PLAN_WAITS(X)                                                          \
  X (PLAN_WAIT_TURN, "other work goes first")                                  \
  X (PLAN_WAIT_ROOM, "no room for its shape is free now")                      \
  X (PLAN_WAIT_LIMIT, "its workspace is at a limit")                           \
  X (PLAN_WAIT_RECLAIM, "borrowed work is being stopped for it")               \
  X (PLAN_WAIT_GUARANTEE,                                                      \
     "it can't be taken back and its workspace's guarantee is in use")         \
  X (PLAN_WAIT_DRAIN, "workers are being kept free for it")                    \
  X (PLAN_WAIT_BLOCKED,                                                        \
     "its shape would have no room if all borrowed work were stopped")         \
  X (PLAN_WAIT_NONE, "it doesn't wait")

#define PLAN_WAIT_ENUM(kind, text) kind,
typedef enum PlanWait
{
  PLAN_WAITS (PLAN_WAIT_ENUM) N_PLAN_WAITS
} PlanWait;

/* Nobody starves: of the jobs within their limits and allowed to borrow, the
   oldest gets its shape at the latest PLAN_DRAIN_AFTER_MS +
   PLAN_DRAIN_MOST_MS after it came, plus what stopping borrowed work takes;
   the next oldest after that.  One for which stopping all borrowed work
   would not make room is passed over, and looked at again every
   PLAN_DRAIN_RETRY_MS. */
enum
{
  PLAN_DRAIN_AFTER_MS = 600000,
  PLAN_DRAIN_MOST_MS = 3600000,
  PLAN_DRAIN_RETRY_MS = 60000,
  PLAN_MOVE_AFTER_MS = 60000,
  PLAN_MOVE_EVERY_MS = 60000
};

/* What a guarantee lacks because hardware is missing. */
typedef struct PlanShort
{
  const char *workspace;
  guint accelerators; /* guaranteed here by the table */
  guint short_of;     /* of these, not upheld now */
} PlanShort;

Plan *plan_new (const char *domain, guint32 seed);
void plan_free (Plan *p);
void plan_set_placer (Plan *p, const PlaceOps *ops);

/* Every worker of every domain is added, so that the guarantees' split by
   domain is the same everywhere; only those of the plan's domain are used. */
void plan_add_worker (Plan *p,
                      const char *domain,
                      const char *name,
                      const char *rack,
                      guint accelerators,
                      gint64 cores,
                      gint64 memory_mb);
void
plan_set_usable (Plan *p, const char *worker, gboolean usable, ClockMs now);
void
plan_set_table (Plan *p, const Workspace *const *rows, guint n, ClockMs now);
guint plan_workspace (Plan *p, const char *name);
guint plan_kind (Plan *p, const char *name);
const char *plan_worker_name (const Plan *p, const FleetPart *part);

gboolean plan_check (const Plan *p, const FleetJob *j, GError **error);
void plan_submit (Plan *p, FleetJob *j);
gboolean plan_adopt (Plan *p, FleetJob *j, ClockMs now);
gboolean plan_next (Plan *p, ClockMs now, PlanStep *step);
void plan_saved (Plan *p, FleetJob *j, ClockMs now);
void plan_requeue (Plan *p, FleetJob *j, ClockMs now);
void plan_end (Plan *p, FleetJob *j, ClockMs now, gboolean ran_to_end);
void plan_correct_usage (Plan *p,
                         guint workspace,
                         double accelerators,
                         double cores,
                         double memory_mb,
                         ClockMs now);

PlanWait plan_wait (const Plan *p, const FleetJob *j);
const char *plan_wait_text (PlanWait w);
guint plan_n_waiting (const Plan *p);
guint plan_n_short (const Plan *p);
PlanShort plan_shortfall (const Plan *p, guint i);
guint plan_unplaced (const Plan *p);
double plan_fragmentation (const Plan *p);
gboolean plan_holds (const Plan *p);
ClockMs plan_run_ms (const Plan *p, const FleetJob *j);
const Fleet *plan_fleet (const Plan *p);

/* How a run ended, for what is learnt of workers and jobs. */
typedef enum PlanBlame
{
  PLAN_BLAME_NONE,   /* nothing speaks against anyone yet */
  PLAN_BLAME_WORKER, /* the worker is in quarantine until a probe succeeds */
  PLAN_BLAME_JOB     /* failed on enough distinct healthy workers: for good */
} PlanBlame;

/* What to do about a part that uses more memory than it may. */
typedef enum PlanMemoryAction
{
  PLAN_MEMORY_ALLOW,
  PLAN_MEMORY_THROTTLE,
  PLAN_MEMORY_STOP
} PlanMemoryAction;

PlanMemoryAction plan_used_memory (Plan *p, const FleetJob *j, gint64 used_mb);
PlanBlame plan_failed (Plan *p, FleetJob *j, const char *worker, ClockMs now);
void plan_succeeded (Plan *p, FleetJob *j, ClockMs now);
void plan_tick (Plan *p, ClockMs now); /* ends quarantines; once a second */

#endif
