#ifndef RTT_H
#define RTT_H

#include "clock.h"

/* The round trips to one peer, as TCP estimates them (RFC 6298). */
typedef struct RttEstimate
{
  double mean_ms; /* 0 before the first sample */
  double deviation_ms;
} RttEstimate;

void rtt_record (RttEstimate *e, ClockMs sample);
gboolean rtt_is_unknown (const RttEstimate *e);
ClockMs rtt_bound (const RttEstimate *e);
ClockMs rtt_timeout (const RttEstimate *e, ClockMs least, ClockMs most);

#endif
