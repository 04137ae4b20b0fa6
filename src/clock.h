#ifndef CLOCK_H
#define CLOCK_H

#include <glib.h>

/* A point in time or a span, in milliseconds.  Points count from an epoch
   that the feeder of events chooses; the core only ever compares them. */
typedef gint64 ClockMs;

#define CLOCK_NEVER     G_MAXINT64
#define CLOCK_MS_FORMAT G_GINT64_FORMAT

#endif
