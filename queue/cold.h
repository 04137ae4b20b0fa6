#ifndef COLD_H
#define COLD_H

#include "bounds.h"
#include "pool.h"
#include "spec.h"

/* Cold workers: which they are, which work suits them, and how many tasks those
   of a failure domain may carry at a time. */

/* The cold workers of one service in one failure domain. */
typedef struct ColdGroup
{
  const char *service;
  const char *domain;
  guint n_workers;
  guint n_tasks;   /* placed on them */
  guint room;      /* how many more tasks may be placed on them */
  guint n_counted; /* of ROOM, by the count that is being made */
} ColdGroup;

/* The groups of all cold workers, as a placement pass finds them. */
typedef struct ColdRamp
{
  Bounds bounds;
  ClockMs now;
  GPtrArray *workers; /* of PoolWorker, those that are heard */
  GPtrArray *groups;  /* of ColdGroup */
} ColdRamp;

void cold_on_entry (PoolWorker *w, const Bounds *bounds, ClockMs now);
ClockMs cold_time_left (const PoolWorker *w, ClockMs now);
ClockMs cold_longest_suitable (const SpecStep *step);
ColdRamp *cold_ramp_new (GPtrArray *workers, const Bounds *bounds, ClockMs now);
void cold_ramp_free (ColdRamp *ramp);
void cold_ramp_recount (ColdRamp *ramp);
ColdGroup *cold_ramp_find (const ColdRamp *ramp, const PoolWorker *w);
void cold_ramp_begin_count (const ColdRamp *ramp);
guint cold_group_count (ColdGroup *group, guint slots);

#endif
