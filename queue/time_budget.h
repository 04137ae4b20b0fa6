#ifndef TIME_BUDGET_H
#define TIME_BUDGET_H

#include "clock.h"

/* How long a caller's request is tried while the store is out of reach, and
   when a caller that is turned away should come back. */

ClockMs time_budget_processing (ClockMs remaining);
gboolean time_budget_allows_write (ClockMs remaining);
ClockMs time_budget_outage_wait (ClockMs remaining, gboolean refused);
ClockMs time_budget_retry_after (ClockMs remaining, gboolean tried);

#endif
