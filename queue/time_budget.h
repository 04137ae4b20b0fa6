#ifndef TIME_BUDGET_H
#define TIME_BUDGET_H

#include "clock.h"

/* How long a caller's request is tried while the store is out of reach, and
   when a caller that is turned away should come back. */

ClockMs patience_span (ClockMs patience);
gboolean patience_suffices (ClockMs patience);
ClockMs patience_try_span (ClockMs patience, gboolean refused);
ClockMs patience_retry_after (ClockMs patience, gboolean tried);

#endif
