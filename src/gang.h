#ifndef GANG_H
#define GANG_H

#include "job.h"

/* Gangs on workers, all parts or none: intent, reserve, commit, start; and
   the renewal of what runs. */

struct Job;
struct Worker;

enum
{
  GANG_RESERVE_LEASE_MS = 10000, /* of a reservation that is not started */
  GANG_TRIES = 3,                /* of a call that gets no answer */
  GANG_SILENT = 2,             /* answers missed before a worker is not used */
  GANG_ANSWER_GRACE_MS = 1000, /* past a call's time-out */
  GANG_RETRY_MS = 200,
  GANG_RETRY_MAX_MS = 2000,
  GANG_POLL_MIN_MS = 250,  /* between polls of a worker with a young task */
  GANG_OCCUPIED_MS = 1000, /* between reports of a worker with strange leases */
  GANG_REPORT_LEASES = 4,  /* leases' lengths between full reports */
  GANG_POLLS_PER_S = 4,
  GANG_POLL_BURST = 200,
  GANG_POLL_SHARE = 8 /* a poll each eighth of a task's age */
};

void gang_place (Core *c, struct Job *j);
void gang_on_written (Core *c, struct Job *j);
void gang_on_unwritten (Core *c, struct Job *j);
void gang_undo (Core *c, struct Job *j, int verdict, const char *reason);
void gang_cancel (Core *c, struct Job *j);
void gang_take_end (Core *c, struct Job *j, JobRecord *found);
void gang_save (Core *c, struct Job *j);
void gang_adopt (Core *c, struct Job *j);
void gang_drop (Core *c, struct Job *j);
void gang_report (Core *c, struct Worker *w);
void gang_distrust_all (Core *c);
void gang_on_worker_reply (Core *c, const Event *e);
void gang_worker_tick (Core *c, Timer *t);
void gang_reap_orphans (Core *c, ClockMs before);

#endif
