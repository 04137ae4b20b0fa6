#include "reserve.h"

#include <math.h>

/* Time constant of the exponential decay of past urgent demand. */
static const double demand_decay_ms = 4000.0;

/* The reserve covers the urgent demand expected in this time: after it, other
   work has ended or been evicted. */
static const double horizon_ms = 2000.0;

/* Upper limit of the reserve; less urgent work keeps the rest of the workers,
   however much urgent work arrives. */
static const double max_fleet_fraction = 0.40;

/* A smaller reserve, in workers, is none.  Past demand never decays to nothing,
   and any reserve holds back a task that needs all of the room. */
static const double min_size = 0.05;

/* Returns R's demand, decayed until NOW, in workers per millisecond. */
static double
demand_at (const Reserve *r, ClockMs now)
{
  return r->demand_per_ms *
         exp (-(double)MAX (now - r->updated_at, 0) / demand_decay_ms);
}

/* Records, at NOW, that urgent work which fills WORKERS workers arrived at
   ARRIVED_AT. */
void
reserve_record_demand (Reserve *r,
                       ClockMs now,
                       ClockMs arrived_at,
                       double workers)
{
  double left = exp (-(double)MAX (now - arrived_at, 0) / demand_decay_ms);

  r->demand_per_ms = demand_at (r, now) + left * workers / demand_decay_ms;
  r->updated_at = now;
}

/* Returns how many workers' worth of room to keep free out of N_WORKERS.
   Otherwise less urgent work would fill all workers and leave no room for the
   urgent work that recent demand predicts. */
double
reserve_size (const Reserve *r, ClockMs now, guint n_workers)
{
  double size = MIN (demand_at (r, now) * horizon_ms,
                     max_fleet_fraction * (double)n_workers);

  return size < min_size ? 0.0 : size;
}

static double
fraction (gint64 amount, gint64 largest)
{
  return largest > 0 ? (double)MAX (amount, 0) / (double)largest : 0.0;
}

/* Returns ROOM as a fraction of LARGEST, by the scarcest resource. */
double
reserve_free_fraction (const PoolResources *room, const PoolResources *largest)
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

/* Returns NEED as a fraction of LARGEST, by the resource it takes most of. */
double
reserve_need_fraction (const PoolResources *need, const PoolResources *largest)
{
  double max = fraction (need->cpu_milli, largest->cpu_milli);

  max = MAX (max, fraction (need->mem_mb, largest->mem_mb));
  return MAX (max, fraction (need->accelerators, largest->accelerators));
}
