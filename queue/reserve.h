#ifndef RESERVE_H
#define RESERVE_H

#include "pool.h"

/* Room that is kept free of less urgent work, so that urgent gangs start at
   once instead of waiting for an eviction.  It follows the recent demand of
   urgent work, and is counted in workers as large as the largest one. */
typedef struct Reserve
{
  double demand_per_ms; /* workers' worth of urgent work per millisecond */
  ClockMs updated_at;   /* when DEMAND_PER_MS was last brought up to date */
} Reserve;

void reserve_record_demand (Reserve *r,
                            ClockMs now,
                            ClockMs arrived_at,
                            double workers);
double reserve_size (const Reserve *r, ClockMs now, guint n_workers);
double reserve_free_fraction (const PoolResources *room,
                              const PoolResources *largest);
double reserve_need_fraction (const PoolResources *need,
                              const PoolResources *largest);

#endif
