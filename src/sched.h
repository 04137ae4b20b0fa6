#ifndef SCHED_H
#define SCHED_H

#include "core_state.h"

/* Jobs: their acceptance on any host, and the scheduler of the failure
   domain on the one that holds its lease. */

Sched *sched_new (Core *c);
void sched_start (Core *c);
void sched_free (Sched *s);
gboolean sched_busy (const Core *c);
void sched_on_drain (Core *c);
void sched_on_time (Core *c, ClockMs at);
void sched_on_job (Core *c, const Event *e);
void sched_on_ask (Core *c, const Event *e);
void sched_on_cancel (Core *c, const Event *e);
void sched_on_worker_reply (Core *c, const Event *e);
void sched_on_heartbeat (Core *c, const Event *e);
void sched_on_hint (Core *c, const Event *e);
void sched_on_known (Core *c, const Event *e);
char *sched_explain (Core *c, const char *id);
char *sched_status (Core *c);

#endif
