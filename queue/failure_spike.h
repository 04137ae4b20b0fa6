#ifndef FAILURE_SPIKE_H
#define FAILURE_SPIKE_H

#include "clock.h"

/* Detects when so many runs fail that a few bad workers can't be the cause.
   Runs that succeeded before that moment no longer show that a worker is
   good. */
typedef struct FailureSpike
{
  double recent_failures; /* failed runs, decayed exponentially */
  double recent_ends;     /* all ended runs, decayed alike */
  ClockMs updated_at;     /* until when both are decayed */
  ClockMs first_failure;  /* the first since the rate was last usual */
  ClockMs began_at;       /* of the current spike; 0: none */
} FailureSpike;

void failure_spike_record (FailureSpike *s, ClockMs now, gboolean failed);
ClockMs failure_spike_since (const FailureSpike *s);

#endif
