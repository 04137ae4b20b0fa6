#ifndef SCHED_EVENT_H
#define SCHED_EVENT_H

#include "caller_event.h"
#include "worker_event.h"

#define SCHED_EVENTS(X)                                                        \
  X (EV_JOB, "job", caller_job, sched_on_job)                                  \
  X (EV_JOB_ASK, "job_ask", caller_ask, sched_on_ask)                          \
  X (EV_JOB_CANCEL, "job_cancel", caller_ask, sched_on_cancel)                 \
  X (EV_WORKER_REPLY, "worker_reply", worker_reply, sched_on_worker_reply)

#define SCHED_EFFECTS(X) X (FX_WORKER_CALL, "worker_call", worker_call)

#define SCHED_COUNTERS(X)                                                      \
  X (COUNT_JOBS, "jobs_total", "Jobs received.")                               \
  X (COUNT_JOBS_ACCEPTED, "jobs_accepted_total",                               \
     "Jobs whose record is in the store.")                                     \
  X (COUNT_JOBS_DONE, "jobs_done_total", "Jobs that ended well.")

#define SCHED_NOTES(X)                                                         \
  X (NOTE_JOB_ACCEPTED, "job_accepted")                                        \
  X (NOTE_JOB_PLACED, "job_placed")                                            \
  X (NOTE_JOB_STARTED, "job_started")                                          \
  X (NOTE_JOB_ENDED, "job_ended")

#endif
