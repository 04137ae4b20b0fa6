#ifndef FIFO_H
#define FIFO_H

#include "clock.h"
#include "outcome.h"

/* Requests by the simplest rules, to compare against: one queue, first come
   first served, any upstream with a free slot. */

/* One request of a load.  DONE is when its answer came, -1 without one. */
typedef struct FifoCall
{
  ClockMs at;
  WorkClass work_class;
  guint workspace;
  guint caller;
  ClockMs service; /* at an upstream of usual speed */
  ClockMs done;
  gboolean failed;
} FifoCall;

/* The upstreams: the first N_SLOW take SLOW_FACTOR times as long, the first
   N_FAILING fail everything at once. */
typedef struct FifoSite
{
  guint n_hosts;
  guint n_upstreams;
  guint slots;
  guint n_slow;
  guint slow_factor;
  guint n_failing;
  guint queue; /* what comes when so many wait is refused */
} FifoSite;

void fifo_run (const FifoSite *site, FifoCall *calls, guint n, GRand *rng);

#endif
