#ifndef PLAN_STATE_H
#define PLAN_STATE_H

#include "learn.h"
#include "order.h"
#include "plan.h"
#include "quota.h"
#include "reclaim.h"

/* What the modules of the plan share.  For these alone:
   plan.c         workers, table, arrival and end of jobs, questions
   plan_charge.c  which placed work counts for its workspace's guarantee
   plan_step.c    the next step: starts and reclaims
   plan_drain.c   jobs that have waited long: draining and moves */

enum
{
  PLAN_MAX_FAILED = 32 /* shapes remembered to have no room */
};

/* A shape that found no room, and so has no larger one.  Work that can be
   stopped finds room where other work doesn't. */
typedef struct PlanShape
{
  guint parts;
  guint accelerators;
  gint64 cores;
  gint64 memory_mb;
  gboolean may_backfill;
  gboolean can_stop;
} PlanShape;

/* What the plan keeps of a workspace besides Quota and Order. */
typedef struct PlanWorkspace
{
  char *name;
  gint64 max_queued; /* -1: no limit */
  gboolean in_table; /* in the table in force */
} PlanWorkspace;

struct Plan
{
  char *domain;
  GRand *rng;
  Fleet fleet;
  Quota quota;
  Order order;
  Learn learn;
  QuotaInventory inventory;
  const PlaceOps *ops;
  GHashTable *workspaces; /* name -> guint */
  GHashTable *kinds;
  GPtrArray *rows;      /* of PlanRow, by workspace */
  GPtrArray *claimants; /* of FleetJob */
  GPtrArray *victims;   /* of the last step */
  GArray *units;        /* of QuotaUnit, of the job that is tried */
  double *scores;       /* by workspace, while a search runs */
  PlanShape failed[PLAN_MAX_FAILED];
  guint n_failed;
  guint64 failed_at; /* releases when they failed */
  FleetJob *drain;   /* who the draining reservation is for */
  ClockMs drain_since;
  ClockMs last_move; /* when a move was last tried */
  gboolean is_idle;  /* nothing changed since the last round found nothing */
  gboolean has_adopted;
  gboolean must_refit; /* the guarantees have to be fitted again */
  gboolean must_sweep; /* jobs behind the first ones are due to be tried */
};

void plan_prepare (FleetJob *j);

void plan_set_in_guarantee (Plan *p,
                            FleetJob *j,
                            gboolean in_guarantee,
                            ClockMs now);
gboolean plan_charge (Plan *p, FleetJob *j, ClockMs now);
void
plan_charge_anew (Plan *p, guint workspace, const GArray *sizes, ClockMs now);
void plan_promote (Plan *p, guint workspace, ClockMs now);
void plan_fit_guarantees (Plan *p, ClockMs now);

gboolean
plan_find_room (Plan *p, FleetJob *j, ClockMs ends, gboolean may_spoil);
gboolean
plan_search (Plan *p, FleetJob *j, ReclaimKind kind, ClockMs now, double *cost);
void plan_give_claim (Plan *p,
                      FleetJob *j,
                      PlanKind kind,
                      ClockMs now,
                      PlanStep *step);

void plan_end_drain (Plan *p);
void plan_check_blocked (Plan *p, FleetJob *j, ClockMs now);
gboolean plan_run_drain (Plan *p, ClockMs now, PlanStep *step);
gboolean plan_run_move (Plan *p, ClockMs now, PlanStep *step);

#endif
