#include "reserve.h"

#include <math.h>

/* For how long the arrivals of urgent work count. */
static const double demand_decay_ms = 4000.0;

/* The room kept free is that of the urgent work of so long: by then other
   work has ended, or has been stopped. */
static const double horizon_ms = 2000.0;

/* Less urgent work keeps the rest of the fleet, however much is urgent. */
static const double max_fleet_fraction = 0.40;

static double
demand_at (const Reserve *r, ClockMs now)
{
  return r->demand_per_ms *
         exp (-(double)MAX (now - r->updated_at, 0) / demand_decay_ms);
}

/* Counts urgent work that fills WORKERS and has come at NOW. */
void
reserve_record_demand (Reserve *r, ClockMs now, double workers)
{
  r->demand_per_ms = demand_at (r, now) + workers / demand_decay_ms;
  r->updated_at = now;
}

/* Returns how many workers' room to keep free out of N_WORKERS.  Answers the
   load of a fleet that less urgent work would fill: it is kept from the room
   that urgent work, as it has come of late, asks for next. */
double
reserve_size (const Reserve *r, ClockMs now, guint n_workers)
{
  return MIN (demand_at (r, now) * horizon_ms,
              max_fleet_fraction * (double)n_workers);
}

static double
fraction (gint64 amount, gint64 largest)
{
  return largest > 0 ? (double)MAX (amount, 0) / (double)largest : 0.0;
}

/* Returns which share of a worker as large as WHOLE is free in ROOM: the
   amount that is scarcest there decides. */
double
reserve_free_fraction (const PoolRoom *room, const PoolRoom *largest)
{
  double free = largest->cpu_milli > 0
                    ? fraction (room->cpu_milli, largest->cpu_milli)
                    : 1.0;

  if (largest->mem_mb > 0)
    free = MIN (free, fraction (room->mem_mb, largest->mem_mb));
  if (largest->accelerators > 0)
    free = MIN (free, fraction (room->accelerators, largest->accelerators));
  return free;
}

/* Returns which share of a worker as large as WHOLE a task takes that asks
   for NEED. */
double
reserve_need_fraction (const PoolRoom *need, const PoolRoom *largest)
{
  double max = fraction (need->cpu_milli, largest->cpu_milli);

  max = MAX (max, fraction (need->mem_mb, largest->mem_mb));
  return MAX (max, fraction (need->accelerators, largest->accelerators));
}
