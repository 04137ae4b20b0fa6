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
  PLAN_ERROR_IMPOSSIBLE /* no state of the domain could hold the job */
} PlanError;

/* START: all parts of JOB have their room; reserve and start them, and call
   plan_requeue if a worker refuses.
   RECLAIM: JOB's room is claimed and nobody else gets it; checkpoint or stop
   each of VICTIMS, then plan_requeue or plan_end each.  Once they are gone
   the next steps hold the START of JOB.
   MOVE: checkpoint and stop VICTIMS[0] against fragmentation, then
   plan_requeue it. */
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

/* Why a job waits or was refused; plan_reason says it in words. */
typedef enum PlanWait
{
  PLAN_WAIT_TURN,      /* others go first */
  PLAN_WAIT_ROOM,      /* no room for its shape now */
  PLAN_WAIT_LIMIT,     /* its workspace is at a limit */
  PLAN_WAIT_RECLAIM,   /* borrowed work is being stopped for it */
  PLAN_WAIT_GUARANTEE, /* may run only inside its guarantee, which is used */
  PLAN_WAIT_NONE       /* it doesn't wait */
} PlanWait;

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
void plan_set_usable (Plan *p, const char *worker, gboolean usable);
void plan_set_table (Plan *p, const Workspace *const *rows, guint n);
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
                         double memory_mb);

PlanWait plan_wait (const Plan *p, const FleetJob *j);
const char *plan_wait_text (PlanWait w);
guint plan_n_waiting (const Plan *p);
guint plan_n_short (const Plan *p);
PlanShort plan_short_at (const Plan *p, guint i);
double plan_fragmentation (const Plan *p);
const Fleet *plan_fleet (const Plan *p);

/* How a run ended, for what is learnt of workers and jobs. */
typedef enum PlanBlame
{
  PLAN_BLAME_NONE,   /* nothing speaks against anyone yet */
  PLAN_BLAME_WORKER, /* the worker is in quarantine until a probe succeeds */
  PLAN_BLAME_JOB     /* failed on enough distinct healthy workers: for good */
} PlanBlame;

PlanBlame plan_failed (Plan *p, FleetJob *j, const char *worker, ClockMs now);
void plan_succeeded (Plan *p, FleetJob *j, ClockMs now);
void plan_tick (Plan *p, ClockMs now); /* ends quarantines; once a second */

#endif
