#ifndef CALL_LIMIT_H
#define CALL_LIMIT_H

#include "clock.h"

/* How many calls may be in flight to one worker.  Each takes a connection, and
   a worker accepts only some. */
typedef struct CallLimit
{
  guint in_flight;
  guint max;           /* how many the worker is assumed to accept */
  ClockMs raise_pause; /* between raises of MAX; 0 before the first refusal */
  ClockMs raise_at;    /* earliest time at which MAX is raised */
  gboolean raised;     /* since the last refusal */
  ClockMs refused_at;  /* the last refusal */
  /* The process that refused has answered later calls: it had not ended. */
  gboolean confirmed;
  ClockMs answered_at; /* when the worker last answered a call */
} CallLimit;

void call_limit_init (CallLimit *l);
void call_limit_reset (CallLimit *l);
gboolean call_limit_allows (const CallLimit *l);
gboolean call_limit_is_single (const CallLimit *l);
gboolean call_limit_is_scarce (const CallLimit *l);
gboolean call_limit_keeps_connection (const CallLimit *l, gboolean scarce);
void call_limit_on_send (CallLimit *l);
void call_limit_on_reply (CallLimit *l, ClockMs now, gboolean answered);
void call_limit_on_answer (CallLimit *l, ClockMs sent_at);
gboolean call_limit_serves_others (const CallLimit *l, ClockMs since);
void call_limit_on_refusal (CallLimit *l, ClockMs now);

#endif
