#ifndef SPEED_H
#define SPEED_H

#include "pool.h"

/* Which workers are slow, by the progress of what runs on them. */

void speed_note (WorkPlacement *placement, ClockMs now, double percent);
gboolean speed_judge (PoolWorker *w, ClockMs now);
gboolean speed_is_slow (const PoolWorker *w, ClockMs now);

#endif
