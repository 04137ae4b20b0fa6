#ifndef TIME_BUDGET_H
#define TIME_BUDGET_H

#include "clock.h"

/* How long a host may work on a request before its caller times out, how long
   it keeps trying while the store is unavailable, and when a refused caller
   should retry.  REMAINING is the time until the caller's timeout, measured
   when the request arrived. */

ClockMs time_budget_processing (ClockMs remaining);
gboolean time_budget_allows_write (ClockMs remaining);
ClockMs time_budget_outage_wait (ClockMs remaining, gboolean refused);
ClockMs time_budget_retry_after (ClockMs remaining, gboolean tried);

#endif
