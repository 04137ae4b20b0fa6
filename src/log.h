#ifndef LOG_H
#define LOG_H

#include "clock.h"

#include <stdio.h>

/* Log lines in logfmt for changes of state, under stable event names.  An
   event that repeats is written a few times in a while, then counted, and
   the count is given by the next line of that event. */

#define LOG_LEVELS(X)                                                          \
  X (LOG_ERROR, "error")                                                       \
  X (LOG_WARNING, "warning")                                                   \
  X (LOG_INFO, "info")                                                         \
  X (LOG_DEBUG, "debug")

#define LOG_ENUM(kind, name) kind,
typedef enum LogLevel
{
  LOG_LEVELS (LOG_ENUM) N_LOG_LEVELS
} LogLevel;

typedef struct Log Log;

Log *log_new (FILE *out, LogLevel least, const char *host);
void log_free (Log *l);
void log_event (Log *l, LogLevel level, ClockMs now, const char *event, ...)
    G_GNUC_NULL_TERMINATED;
int log_level_from_name (const char *name);

#endif
