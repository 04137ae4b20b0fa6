#ifndef PLACE_H
#define PLACE_H

#include "fleet.h"

/* Finding room for all parts of a job at once, or for none.  A placement
   changes nothing but WORKER and FIRST of the job's parts: the caller then
   takes the room by fleet_place or fleet_claim. */

/* KEEP_SHARES leaves the cores and memory alone that belong to accelerators
   which may serve guarantees; with MAY_SPOIL only on workers that hold some.
   IGNORE_DRAIN: the reservation is its own. */
typedef struct PlaceAsk
{
  Fleet *fleet;
  FleetJob *job;
  ClockMs ends; /* when it is expected to end, CLOCK_NEVER if unknown */
  gboolean ignore_drain;
  gboolean keep_shares;
  gboolean may_spoil;
  GRand *rng; /* for placers that draw */
} PlaceAsk;

typedef struct PlaceOps
{
  const char *name;
  gboolean (*find) (const PlaceAsk *ask);
} PlaceOps;

extern const PlaceOps place_best;      /* keeps the largest holes */
extern const PlaceOps place_first_fit; /* the naive peers */
extern const PlaceOps place_random;

gboolean place_worker_takes (const PlaceAsk *ask, const FleetWorker *w);
gboolean place_is_feasible_when_empty (const Fleet *f, const FleetJob *j);

#endif
