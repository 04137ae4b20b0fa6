#ifndef SPEC_H
#define SPEC_H

#include "clock.h"
#include "rec.h"

/* What lasts of a job in the store: the job as it was accepted, which never
   changes, and its progress, which only the scheduler writes. */

enum
{
  SPEC_MAX_STEPS = 64,
  SPEC_MAX_TASKS = 20000,
  SPEC_MAX_OCCURRENCES = 100000,
  SPEC_MAX_NAME = 200,
  SPEC_MAX_TEXT = 4000
};

/* The number of an earlier step, counted from 0. */
#define SPEC_AFTER_FIELDS(INT, STR, BYTES, LIST) INT (step, 0, SPEC_MAX_STEPS)
REC_DECLARE (SpecAfter, spec_after, SPEC_AFTER_FIELDS)

/* COUNT equal tasks; the amounts are for one of them.  LABEL must be among
   the worker's, RACK is where the data is. */
#define SPEC_STEP_FIELDS(INT, STR, BYTES, LIST)                                \
  INT (count, 1, SPEC_MAX_TASKS)                                               \
  INT (cpu_milli, 0, G_MAXINT32)                                               \
  INT (mem_mb, 0, G_MAXINT32)                                                  \
  INT (accelerators, 0, G_MAXINT32)                                            \
  INT (estimate_ms, 0, G_MAXINT64)                                             \
  INT (checkpointing, 0, 1)                                                    \
  INT (gang, 0, 1)                                                             \
  INT (same_rack, 0, 1)                                                        \
  INT (speculative, 0, 1)                                                      \
  INT (perpetual, 0, 1)                                                        \
  INT (max_per_worker, 0, SPEC_MAX_TASKS)                                      \
  STR (label, 0, SPEC_MAX_NAME)                                                \
  STR (rack, 0, SPEC_MAX_NAME)                                                 \
  LIST (after, 0, SPEC_MAX_STEPS, spec_after)
REC_DECLARE (SpecStep, spec_step, SPEC_STEP_FIELDS)

/* Occurrence K, counted from 0, is due at FIRST_RUN_MS + K * INTERVAL_MS of
   Unix time; a job with a RUN_COUNT of 0 runs once, at once. */
#define SPEC_JOB_FIELDS(INT, STR, BYTES, LIST)                                 \
  STR (id, 1, SPEC_MAX_NAME)                                                   \
  STR (route, 1, SPEC_MAX_NAME)                                                \
  STR (service, 1, SPEC_MAX_NAME)                                              \
  STR (workspace, 0, SPEC_MAX_NAME)                                            \
  STR (text, 0, SPEC_MAX_TEXT)                                                 \
  INT (accepted_ms, 0, G_MAXINT64)                                             \
  INT (priority, 0, G_MAXINT32)                                                \
  INT (attempts, 0, G_MAXINT32)                                                \
  INT (stretch_milli, 0, G_MAXINT32)                                           \
  INT (target_ms, 0, G_MAXINT32)                                               \
  INT (first_run_ms, 0, G_MAXINT64)                                            \
  INT (interval_ms, 0, G_MAXINT64)                                             \
  INT (run_count, 0, SPEC_MAX_OCCURRENCES)                                     \
  LIST (steps, 1, SPEC_MAX_STEPS, spec_step)
REC_DECLARE (SpecJob, spec_job, SPEC_JOB_FIELDS)

#define JOB_STATES(X)                                                          \
  X (JOB_QUEUED, "queued")                                                     \
  X (JOB_RUNNING, "running")                                                   \
  X (JOB_COMPLETED, "completed")                                               \
  X (JOB_FAILED, "failed")                                                     \
  X (JOB_CANCELLED, "cancelled")

#define JOB_STATE_ENUM(kind, name) kind,
typedef enum JobState
{
  JOB_STATES (JOB_STATE_ENUM) N_JOB_STATES
} JobState;

/* A run that failed. */
#define PROGRESS_RUN_FIELDS(INT, STR, BYTES, LIST) INT (run, 0, G_MAXINT64)
REC_DECLARE (ProgressRun, progress_run, PROGRESS_RUN_FIELDS)

/* Which tasks of a step have ended well, a bit each, the first task's the
   lowest of the first byte; a gang has one bit. */
#define PROGRESS_STEP_FIELDS(INT, STR, BYTES, LIST)                            \
  INT (occurrence, 0, SPEC_MAX_OCCURRENCES)                                    \
  INT (step, 0, SPEC_MAX_STEPS)                                                \
  BYTES (done, SPEC_MAX_TASKS / 8 + 1)
REC_DECLARE (ProgressStep, progress_step, PROGRESS_STEP_FIELDS)

/* One task, or a whole gang (INDEX 0), that is not done and has something to
   keep.  FAILED lists the runs that failed by number: a successor in the
   scheduler's role may be told of any of them again, in any order. */
#define PROGRESS_TASK_FIELDS(INT, STR, BYTES, LIST)                            \
  INT (occurrence, 0, SPEC_MAX_OCCURRENCES)                                    \
  INT (step, 0, SPEC_MAX_STEPS)                                                \
  INT (index, 0, SPEC_MAX_TASKS)                                               \
  STR (checkpoint, 0, SPEC_MAX_NAME)                                           \
  LIST (failed, 0, G_MAXINT32, progress_run)
REC_DECLARE (ProgressTask, progress_task, PROGRESS_TASK_FIELDS)

/* ENDED_MS is the Unix time of the last state, for the removal of old
   records. */
#define PROGRESS_FIELDS(INT, STR, BYTES, LIST)                                 \
  INT (state, 0, N_JOB_STATES - 1)                                             \
  INT (ended_ms, 0, G_MAXINT64)                                                \
  LIST (steps, 0, G_MAXINT32, progress_step)                                   \
  LIST (tasks, 0, SPEC_MAX_TASKS, progress_task)
REC_DECLARE (Progress, progress, PROGRESS_FIELDS)

/* A worker on which the scheduler may have started something: a successor
   must hear of it, or wait until its lease has lapsed, even when its own
   entry in the store is gone. */
#define ROSTER_WORKER_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (id, 1, SPEC_MAX_NAME)                                                   \
  STR (address, 1, SPEC_MAX_NAME)                                              \
  INT (draining, 0, 1)
REC_DECLARE (RosterWorker, roster_worker, ROSTER_WORKER_FIELDS)

#define ROSTER_FIELDS(INT, STR, BYTES, LIST)                                   \
  LIST (workers, 0, SPEC_MAX_TASKS, roster_worker)
REC_DECLARE (Roster, roster, ROSTER_FIELDS)

/* How many jobs of a route wait for their first start. */
#define WAITING_ROUTE_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (route, 1, SPEC_MAX_NAME)                                                \
  INT (jobs, 0, G_MAXINT32)
REC_DECLARE (WaitingRoute, waiting_route, WAITING_ROUTE_FIELDS)

#define WAITING_COUNTS_FIELDS(INT, STR, BYTES, LIST)                           \
  LIST (routes, 0, G_MAXINT32, waiting_route)
REC_DECLARE (WaitingCounts, waiting_counts, WAITING_COUNTS_FIELDS)

void *spec_unpack (const RecDesc *d, GBytes *value);
gboolean spec_state_is_final (JobState state);
const char *spec_state_name (JobState state);
const SpecStep *spec_job_step (const SpecJob *job, guint step);
guint spec_step_after (const SpecStep *step, guint i);
guint spec_job_occurrences (const SpecJob *job);
void spec_job_check (const SpecJob *job, Findings *findings);
ClockMs spec_job_critical_path_ms (const SpecJob *job);
double spec_step_cores (const SpecStep *step);
double spec_step_core_ms (const SpecStep *step);

#endif
