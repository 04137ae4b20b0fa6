#ifndef LEASE_H
#define LEASE_H

#include "gang.h"

/* The scheduler's link to each worker: one renewal for all its leases,
   polls for the ends of young tasks, full reports, and leases that nobody
   planned. */

typedef struct Worker Worker;

enum
{
  LEASE_SILENT = 2,             /* answers missed before a worker is not used */
  LEASE_ANSWER_GRACE_MS = 1000, /* past a call's time-out */
  LEASE_POLL_MIN_MS = 250,      /* between polls for a young task's end */
  LEASE_POLL_SHARE = 16,        /* a poll each sixteenth of a task's age */
  LEASE_LATE_SHARE = 4,         /* a poll each quarter of a task's lateness */
  LEASE_POLLS_PER_S = 4,        /* beyond the renewals */
  LEASE_POLL_BURST = 200,
  LEASE_OCCUPIED_MS = 1000, /* between reports of a worker with strange ones */
  LEASE_REPORT_LEASES = 4   /* leases' lengths between full reports */
};

gint64 lease_call (Core *c, Worker *w, Part *p, WorkerCall *call);
void lease_stop (Core *c, Worker *w, const WorkerLease *l);
void lease_wake (Core *c, Worker *w, ClockMs span);
void lease_report (Core *c, Worker *w);
void lease_mark_unreported (Core *c, Worker *w);
void lease_mark_all_unreported (Core *c);
void lease_tick (Core *c, Timer *t);
void lease_on_reply (Core *c, const Event *e);

#endif
