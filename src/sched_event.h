#ifndef SCHED_EVENT_H
#define SCHED_EVENT_H

#include "caller_event.h"
#include "worker_event.h"

#define SCHED_NAME_FIELDS(INT, STR, BYTES, LIST) STR (name, 1, 128)
REC_DECLARE (SchedName, sched_name, SCHED_NAME_FIELDS)

/* The scheduler of a domain shows itself to the domain's hosts.  CONFIRMED
   is 1 while the store's lease is held, LEAVING 1 when the role is free;
   REVISION is the store's, by which a store that went back is noticed,
   FULL the workspaces with as many jobs waiting as they may have. */
#define SCHED_BEAT_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (domain, 1, 64)                                                          \
  INT (term, 0, G_MAXINT64)                                                    \
  INT (revision, 0, G_MAXINT64)                                                \
  INT (confirmed, 0, 1)                                                        \
  INT (leaving, 0, 1)                                                          \
  LIST (full, 0, 4096, sched_name)
REC_DECLARE (SchedBeat, sched_beat, SCHED_BEAT_FIELDS)

/* To the scheduler: job ID of DOMAIN has the record VALUE at REVISION in the
   store, or, with CANCEL, shall end.  HOPS bounds the passing on,
   CONN is the caller's at ORIGIN, AGAIN
   says that an earlier scheduler has known of the job. */
#define SCHED_HINT_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (domain, 1, 64)                                                          \
  STR (id, 1, CALLER_MAX_ID)                                                   \
  INT (cancel, 0, 1)                                                           \
  INT (conn, 0, G_MAXINT64)                                                    \
  INT (again, 0, 1)                                                            \
  INT (hops, 0, 8)                                                             \
  STR (origin, 0, 64)                                                          \
  INT (revision, 0, G_MAXINT64)                                                \
  BYTES (value, 65536)
REC_DECLARE (SchedHint, sched_hint, SCHED_HINT_FIELDS)

/* From the scheduler: it knows of job ID, and with ENDED its end is in the
   store; with CANCEL, STATE is what the
   record now says. */
#define SCHED_KNOWN_FIELDS(INT, STR, BYTES, LIST)                              \
  STR (id, 1, CALLER_MAX_ID)                                                   \
  INT (cancel, 0, 1)                                                           \
  INT (ended, 0, 1)                                                            \
  INT (conn, 0, G_MAXINT64)                                                    \
  BYTES (json, 65536)
REC_DECLARE (SchedKnown, sched_known, SCHED_KNOWN_FIELDS)

#define SCHED_EVENTS(X)                                                        \
  X (EV_JOB, "job", caller_job, sched_on_job)                                  \
  X (EV_JOB_ASK, "job_ask", caller_ask, sched_on_ask)                          \
  X (EV_JOB_CANCEL, "job_cancel", caller_ask, sched_on_cancel)                 \
  X (EV_WORKER_REPLY, "worker_reply", worker_reply, sched_on_worker_reply)     \
  X (MSG_SCHED_BEAT, "sched_beat", sched_beat, sched_on_heartbeat)             \
  X (MSG_JOB_HINT, "job_hint", sched_hint, sched_on_hint)                      \
  X (MSG_JOB_KNOWN, "job_known", sched_known, sched_on_known)

#define SCHED_EFFECTS(X) X (FX_WORKER_CALL, "worker_call", worker_call)

#define SCHED_COUNTERS(X)                                                      \
  X (COUNT_JOBS, "jobs_total", "Jobs received.")                               \
  X (COUNT_JOBS_ACCEPTED, "jobs_accepted_total",                               \
     "Jobs whose record is in the store.")                                     \
  X (COUNT_JOBS_REFUSED, "jobs_refused_total",                                 \
     "Jobs refused; nothing of them ran.")                                     \
  X (COUNT_JOBS_DONE, "jobs_done_total", "Jobs that ended well.")              \
  X (COUNT_JOBS_FAILED, "jobs_failed_total", "Jobs failed for good.")          \
  X (COUNT_JOBS_CANCELLED, "jobs_cancelled_total", "Jobs cancelled.")          \
  X (COUNT_JOBS_UNKNOWN, "jobs_unknown_total",                                 \
     "Jobs that started and of which it is not known how they ended.")         \
  X (COUNT_JOB_RUNS, "job_runs_total", "Starts of jobs' gangs.")               \
  X (COUNT_JOB_UNDONE, "job_runs_undone_total",                                \
     "Gangs given up before or after their start.")                            \
  X (COUNT_JOB_ANSWERS_OVERDUE, "job_answers_overdue_total",                   \
     "Askers told that a job's end is not recorded yet.")                      \
  X (COUNT_JOB_WRITES, "job_record_writes_total",                              \
     "Writes of job records to the store.")                                    \
  X (COUNT_JOBS_WAITING, "jobs_waiting", "Jobs of the domain that wait.")      \
  X (COUNT_JOBS_RUNNING, "jobs_running", "Gangs of the domain that run.")      \
  X (COUNT_WORKER_CALLS, "worker_calls_total", "Calls made to workers.")       \
  X (COUNT_WORKER_STALE, "worker_stale_total",                                 \
     "Calls that workers refused for a lower term.")                           \
  X (COUNT_WORKER_OVERDUE, "worker_calls_overdue_total",                       \
     "Calls to workers that the host itself ended.")                           \
  X (COUNT_RECLAIMS, "reclaims_total", "Gangs taken off borrowed room.")       \
  X (COUNT_MOVES, "moves_total", "Gangs moved against fragmentation.")         \
  X (COUNT_QUARANTINES, "worker_quarantines_total",                            \
     "Workers taken out for failing what they start.")                         \
  X (COUNT_SCHEDULER, "scheduler", "1 while this host has the role.")          \
  X (COUNT_SCHEDULER_TERM, "scheduler_term", "The term of the role.")          \
  X (COUNT_TAKEOVERS, "scheduler_takeovers_total", "Times the role came.")     \
  X (COUNT_ROLES_CUT_OFF, "scheduler_roles_cut_off_total",                     \
     "Drains whose bound passed while gangs were being started or stopped.")   \
  X (COUNT_STEPDOWNS, "scheduler_stepdowns_total", "Times the role went.")

#define SCHED_NOTES(X)                                                         \
  X (NOTE_JOB_ACCEPTED, "job_accepted")                                        \
  X (NOTE_JOB_PLACED, "job_placed")                                            \
  X (NOTE_JOB_STARTED, "job_started")                                          \
  X (NOTE_JOB_UNDONE, "job_undone")                                            \
  X (NOTE_JOB_STOP_UNANSWERED, "job_stop_unanswered")                          \
  X (NOTE_JOB_RECLAIMED, "job_reclaimed")                                      \
  X (NOTE_JOB_ENDED, "job_ended")                                              \
  X (NOTE_ROLE_TAKEN, "role_taken")                                            \
  X (NOTE_ROLE_READY, "role_ready")                                            \
  X (NOTE_ROLE_LEFT, "role_left")                                              \
  X (NOTE_WORKER_QUARANTINED, "worker_quarantined")

#endif
