#ifndef RESERVE_H
#define RESERVE_H

#include "pool.h"

/* How much room is kept free of less urgent work, so that urgent gangs begin
   at once instead of waiting for others to be stopped.  Room is counted in
   whole workers. */
typedef struct Reserve
{
  double
      demand_per_ms;  /* of urgent work asked for, workers a millisecond ... */
  ClockMs updated_at; /* ... at this moment */
} Reserve;

void reserve_record_demand (Reserve *r, ClockMs now, double workers);
double reserve_size (const Reserve *r, ClockMs now, guint n_workers);
double reserve_free_fraction (const PoolRoom *room, const PoolRoom *largest);
double reserve_need_fraction (const PoolRoom *need, const PoolRoom *largest);

#endif
