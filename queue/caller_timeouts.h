#ifndef CALLER_TIMEOUTS_H
#define CALLER_TIMEOUTS_H

#include "clock.h"

/* How long the callers of each queue wait for an answer, learned from the
   longest times that requests brought lately. */
typedef struct CallerTimeouts
{
  GHashTable *queues; /* host and path without the job, to LongestTimeout */
} CallerTimeouts;

void caller_timeouts_init (CallerTimeouts *t);
void caller_timeouts_clear (CallerTimeouts *t);
ClockMs caller_timeouts_record (CallerTimeouts *t,
                                const char *host,
                                const char *path,
                                ClockMs remaining,
                                ClockMs now);

#endif
