#ifndef PROGRESS_H
#define PROGRESS_H

#include "work.h"

/* The progress record of a job, as the scheduler stores it. */

GBytes *progress_pack (const WorkJob *job,
                       ClockMs wall,
                       gsize max_bytes,
                       guint *n_left_out);

#endif
