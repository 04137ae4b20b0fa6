#ifndef TIME_BUDGET_H
#define TIME_BUDGET_H

#include "clock.h"

/* How long a host may work on a request before its caller times out, how long
   it keeps trying while the store is unavailable, and when a refused caller
   should retry. */

typedef struct TimeBudget
{
  ClockMs remaining; /* until the caller's timeout, as the request arrived */
  ClockMs total;     /* what such callers have at their first try */
} TimeBudget;

ClockMs time_budget_processing (ClockMs remaining);
gboolean time_budget_allows_write (ClockMs remaining);
ClockMs time_budget_outage_wait (const TimeBudget *b, gboolean refused);
ClockMs time_budget_retry_after (const TimeBudget *b, gboolean tried);

#endif
