#ifndef SPEED_H
#define SPEED_H

#include "pool.h"

/* Detects slow workers from the progress of the runs on them. */

void
speed_record_progress (WorkPlacement *placement, ClockMs now, double percent);
gboolean speed_evaluate (PoolWorker *w, ClockMs now);
gboolean speed_is_slow (const PoolWorker *w, ClockMs now);

#endif
