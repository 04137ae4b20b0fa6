#ifndef RECLAIM_H
#define RECLAIM_H

#include "quota.h"

/* The cheapest set of work to stop so that the shape of a job comes free. */

/* Why work is stopped decides what may be. */
typedef enum ReclaimKind
{
  RECLAIM_GUARANTEE, /* any borrowed work */
  RECLAIM_DRAIN,     /* the same, for a gang that has waited too long */
  RECLAIM_MOVE       /* only what can save itself */
} ReclaimKind;

/* UNITS: which parts go side by side into which runs of the guarantee, by
   quota_charge; NULL for a job that borrows.  NEED: the runs that must still
   pack besides.  SCORES: each workspace's use of its share; of equal sets
   the one of those most over it is taken. */
typedef struct ReclaimAsk
{
  Fleet *fleet;
  FleetJob *job;
  ReclaimKind kind;
  ClockMs now;
  const QuotaUnit *units;
  guint n_units;
  const guint *need;
  const double *scores;
  guint n_scores;
} ReclaimAsk;

gboolean reclaim_find (const ReclaimAsk *ask, GPtrArray *victims, double *cost);

#endif
