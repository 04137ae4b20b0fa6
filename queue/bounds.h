#ifndef BOUNDS_H
#define BOUNDS_H

#include "clock.h"

enum
{
  /* The least bound of evacuations: a host that asks the store as often as it
     may, every 100 ms, knows of a request early enough. */
  BOUNDS_MIN_EVACUATION_MS = 1700
};

/* What the deployment's settings say of its operations and of its workers.  A
   value of 0 means that the deployment does not name it; decisions that need it
   are then switched off. */
typedef struct Bounds
{
  ClockMs evacuation;  /* no start in a domain later than this after its
                          evacuation was requested */
  double cold_overage; /* load of cold workers, relative to warm ones */
  double cold_slack;   /* tasks on cold workers of a domain beyond that */
  ClockMs stop;        /* to stop a run, at most */
} Bounds;

#endif
