#ifndef PACE_H
#define PACE_H

#include "work.h"

/* How fast each worker is, learned from the progress of the runs on it. */

/* What is known of the estimates of one route's jobs.  All values are natural
   logarithms of a duration divided by its estimate, or variances of those. */
typedef struct PaceRoute
{
  guint n_samples; /* steps */
  double mean;
  double step_variance; /* of a step's tasks together */
  double task_variance; /* of a task compared to the others of its step */
} PaceRoute;

enum
{
  PACE_N_KINDS = 2 /* of steps: single tasks and gangs */
};

typedef struct PaceModel
{
  GHashTable *routes; /* name to an array of PaceRoute, one for each kind */
  gboolean changed;   /* something was learned since this was cleared */
} PaceModel;

void pace_init (PaceModel *m);
void pace_clear (PaceModel *m);
PaceRoute *pace_route (PaceModel *m, const char *name, gboolean gang);
void pace_learn (PaceModel *m, WorkPlacement *placement, ClockMs now);
PaceClass pace_class (const PoolWorker *w);

#endif
