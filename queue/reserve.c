#include "reserve.h"

#include <math.h>

/* For how long the arrivals of urgent work count. */
static const double memory_ms = 4000.0;

/* The room kept free is that of the urgent work of so long: by then other
   work has ended, or has been stopped. */
static const double span_ms = 2000.0;

/* Less urgent work keeps the rest of the fleet, however much is urgent. */
static const double most_share = 0.40;

static double
rate_at (const Reserve *r, ClockMs now)
{
  return r->rate * exp (-(double)MAX (now - r->counted, 0) / memory_ms);
}

/* Counts urgent work that fills WORKERS and has come at NOW. */
void
reserve_note (Reserve *r, ClockMs now, double workers)
{
  r->rate = rate_at (r, now) + workers / memory_ms;
  r->counted = now;
}

/* Returns how many workers' room to keep free out of N_WORKERS.  Answers the
   load of a fleet that less urgent work would fill: it is kept from the room
   that urgent work, as it has come of late, asks for next. */
double
reserve_size (const Reserve *r, ClockMs now, guint n_workers)
{
  return MIN (rate_at (r, now) * span_ms, most_share * (double)n_workers);
}

static double
share (gint64 amount, gint64 whole)
{
  return whole > 0 ? (double)MAX (amount, 0) / (double)whole : 0.0;
}

/* Returns which share of a worker as large as WHOLE is free in ROOM: the
   amount that is scarcest there decides. */
double
reserve_free (const PoolResources *room, const PoolResources *whole)
{
  double free =
      whole->cpu_milli > 0 ? share (room->cpu_milli, whole->cpu_milli) : 1.0;

  if (whole->mem_mb > 0)
    free = MIN (free, share (room->mem_mb, whole->mem_mb));
  if (whole->accelerators > 0)
    free = MIN (free, share (room->accelerators, whole->accelerators));
  return free;
}

/* Returns which share of a worker as large as WHOLE a task takes that asks
   for NEED. */
double
reserve_need (const PoolResources *need, const PoolResources *whole)
{
  double most = share (need->cpu_milli, whole->cpu_milli);

  most = MAX (most, share (need->mem_mb, whole->mem_mb));
  return MAX (most, share (need->accelerators, whole->accelerators));
}
