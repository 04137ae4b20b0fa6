#ifndef FAILURE_SPIKE_H
#define FAILURE_SPIKE_H

#include "clock.h"

/* Tells when runs begin to fail on so many workers that it can't be the work
   of a few bad ones: then what has run well before says little. */
typedef struct FailureSpike
{
  double recent_failures; /* ends of late, older ones counting less ... */
  double recent_ends;
  ClockMs updated_at;    /* ... as of this moment */
  ClockMs first_failure; /* failure since less than usual have failed */
  ClockMs began_at;      /* 0 while there is none */
} FailureSpike;

void failure_spike_record (FailureSpike *o, ClockMs now, gboolean failed);
ClockMs failure_spike_since (const FailureSpike *o);

#endif
