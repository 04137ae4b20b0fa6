#ifndef ADOPT_H
#define ADOPT_H

#include "lease.h"

/* Taking over from a scheduler that is gone: each gang is completed or
   undone, by its record and by what the workers report. */

void adopt_job (Core *c, Job *j);
void adopt_reap (Core *c, ClockMs before);

#endif
