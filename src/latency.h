#ifndef LATENCY_H
#define LATENCY_H

#include "clock.h"

/* A histogram of spans, in the usual text form of /metrics. */
typedef struct Latency Latency;

Latency *latency_new (const char *name);
void latency_free (Latency *l);
void latency_add (Latency *l, ClockMs span);
void latency_append (const Latency *l, GString *text);

#endif
