#ifndef RESERVE_H
#define RESERVE_H

#include "pool.h"

/* How much room is kept free of less urgent work, so that urgent gangs begin
   at once instead of waiting for others to be stopped.  Room is counted in
   whole workers. */
typedef struct Reserve
{
  double rate;     /* of urgent work asked for, workers a millisecond ... */
  ClockMs counted; /* ... at this moment */
} Reserve;

void reserve_note (Reserve *r, ClockMs now, double workers);
double reserve_size (const Reserve *r, ClockMs now, guint n_workers);
double reserve_free (const PoolResources *room, const PoolResources *whole);
double reserve_need (const PoolResources *need, const PoolResources *whole);

#endif
