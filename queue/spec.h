#ifndef SPEC_H
#define SPEC_H

#include "clock.h"
#include "rec.h"

/* Records in the store: a job as it was accepted, which never changes, its
   progress, and the scheduler's own records.  Only the scheduler writes the
   latter two.  Field names are part of the stored format. */

enum
{
  SPEC_MAX_STEPS = 64,
  SPEC_MAX_TASKS = 20000,
  SPEC_MAX_LOGARITHM = 100000, /* in thousandths */
  SPEC_MAX_OCCURRENCES = 100000,
  SPEC_MAX_NAME = 200,        /* bytes */
  SPEC_MAX_CHECKPOINT = 1000, /* bytes */
  SPEC_MAX_TEXT = 4000        /* bytes */
};

/* A dependency: the index of an earlier step, from 0. */
#define SPEC_AFTER_FIELDS(INT, STR, BYTES, LIST) INT (step, 0, SPEC_MAX_STEPS)
REC_DECLARE (SpecAfter, spec_after, SPEC_AFTER_FIELDS)

/* A step of COUNT equal tasks; amounts are per task.  The worker must have
   LABEL, unless it is empty.  RACK is the rack that holds the input data. */
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

/* A job.  Occurrence K, from 0, is due at FIRST_RUN_MS + K * INTERVAL_MS of
   Unix time; a job with a RUN_COUNT of 0 runs once, immediately. */
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

/* The number of a failed run. */
#define PROGRESS_RUN_FIELDS(INT, STR, BYTES, LIST) INT (run, 0, G_MAXINT64)
REC_DECLARE (ProgressRun, progress_run, PROGRESS_RUN_FIELDS)

/* A bit set of the tasks of a step that have succeeded, beginning with the
   lowest bit of the first byte; a gang has one bit. */
#define PROGRESS_STEP_FIELDS(INT, STR, BYTES, LIST)                            \
  INT (occurrence, 0, SPEC_MAX_OCCURRENCES)                                    \
  INT (step, 0, SPEC_MAX_STEPS)                                                \
  BYTES (done, SPEC_MAX_TASKS / 8 + 1)
REC_DECLARE (ProgressStep, progress_step, PROGRESS_STEP_FIELDS)

/* A task, or a whole gang (INDEX 0), that is not done but has failed runs or a
   checkpoint.  FAILED lists the runs themselves instead of a count: workers may
   report any of them again to the next scheduler, in any order. */
#define PROGRESS_TASK_FIELDS(INT, STR, BYTES, LIST)                            \
  INT (occurrence, 0, SPEC_MAX_OCCURRENCES)                                    \
  INT (step, 0, SPEC_MAX_STEPS)                                                \
  INT (index, 0, SPEC_MAX_TASKS)                                               \
  STR (checkpoint, 0, SPEC_MAX_CHECKPOINT)                                     \
  LIST (failed, 0, G_MAXINT32, progress_run)
REC_DECLARE (ProgressTask, progress_task, PROGRESS_TASK_FIELDS)

/* The progress of a job.  ENDED_MS is the Unix time at which it reached a
   final state, 0 before; old records are removed by it. */
#define PROGRESS_FIELDS(INT, STR, BYTES, LIST)                                 \
  INT (state, 0, N_JOB_STATES - 1)                                             \
  INT (ended_ms, 0, G_MAXINT64)                                                \
  LIST (steps, 0, G_MAXINT32, progress_step)                                   \
  LIST (tasks, 0, SPEC_MAX_TASKS, progress_task)
REC_DECLARE (Progress, progress, PROGRESS_FIELDS)

/* A worker on which the scheduler may have started tasks.  The next scheduler
   must get a list of its runs, or wait until its lease has expired, even if
   the worker's own entry has been removed from the store. */
/* A worker that the scheduler may have used.  INCARNATION is the start of the
   process that it heard last, Unix milliseconds; 0: not known. */
#define ROSTER_WORKER_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (id, 1, SPEC_MAX_NAME)                                                   \
  STR (address, 1, SPEC_MAX_NAME)                                              \
  INT (draining, 0, 1)                                                         \
  INT (incarnation, 0, G_MAXINT64)
REC_DECLARE (RosterWorker, roster_worker, ROSTER_WORKER_FIELDS)

#define ROSTER_FIELDS(INT, STR, BYTES, LIST)                                   \
  LIST (workers, 0, SPEC_MAX_TASKS, roster_worker)
REC_DECLARE (Roster, roster, ROSTER_FIELDS)

/* A recorded worker that has not answered the present scheduler.  FENCE is that
   of the last one that may have given it a lease. */
#define SILENT_WORKER_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (id, 1, SPEC_MAX_NAME)                                                   \
  INT (fence, 1, G_MAXINT64)
REC_DECLARE (SilentWorker, silent_worker, SILENT_WORKER_FIELDS)

/* A worker that may hold a long lease, or the longest. */
#define LONG_LEASE_FIELDS(INT, STR, BYTES, LIST) STR (id, 1, SPEC_MAX_NAME)
REC_DECLARE (LongLease, long_lease, LONG_LEASE_FIELDS)

/* A start of RUN on WORKER that got no answer and may be executed late. */
#define LATE_START_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (worker, 1, SPEC_MAX_NAME)                                               \
  STR (task, 1, SPEC_MAX_NAME)                                                 \
  INT (run, 1, G_MAXINT64)
REC_DECLARE (LateStart, late_start, LATE_START_FIELDS)

/* The leases that the scheduler with FENCE may have given: normal ones to all
   recorded workers but those listed.  Those under LONGEST may hold the longest
   lease that any worker takes, whatever they were given. */
#define GIVEN_LEASES_FIELDS(INT, STR, BYTES, LIST)                             \
  INT (fence, 1, G_MAXINT64)                                                   \
  LIST (silent, 0, SPEC_MAX_TASKS, silent_worker)                              \
  LIST (longer, 0, SPEC_MAX_TASKS, long_lease)                                 \
  LIST (longest, 0, SPEC_MAX_TASKS, long_lease)                                \
  LIST (late, 0, SPEC_MAX_TASKS, late_start)
REC_DECLARE (GivenLeases, given_leases, GIVEN_LEASES_FIELDS)

/* What was learned of a worker's pace: a logarithm in thousandths and its
   variance in millionths. */
#define PACE_WORKER_RECORD_FIELDS(INT, STR, BYTES, LIST)                       \
  STR (id, 1, SPEC_MAX_NAME)                                                   \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (log_slowness, -SPEC_MAX_LOGARITHM, SPEC_MAX_LOGARITHM)                  \
  INT (variance, 1, G_MAXINT32)
REC_DECLARE (PaceWorkerRecord, pace_worker_record, PACE_WORKER_RECORD_FIELDS)

/* What was learned of the estimates of a route's single tasks, or gangs. */
#define PACE_ROUTE_RECORD_FIELDS(INT, STR, BYTES, LIST)                        \
  STR (name, 1, SPEC_MAX_NAME)                                                 \
  INT (gang, 0, 1)                                                             \
  INT (steps, 1, G_MAXINT32)                                                   \
  INT (mean, -SPEC_MAX_LOGARITHM, SPEC_MAX_LOGARITHM)                          \
  INT (step_variance, 1, G_MAXINT32)                                           \
  INT (task_variance, 1, G_MAXINT32)
REC_DECLARE (PaceRouteRecord, pace_route_record, PACE_ROUTE_RECORD_FIELDS)

#define PACE_RECORD_FIELDS(INT, STR, BYTES, LIST)                              \
  LIST (workers, 0, SPEC_MAX_TASKS, pace_worker_record)                        \
  LIST (routes, 0, SPEC_MAX_TASKS, pace_route_record)
REC_DECLARE (PaceRecord, pace_record, PACE_RECORD_FIELDS)

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
ClockMs spec_job_objective (const SpecJob *job);
double spec_cores (gint64 cpu_milli, gint64 accelerators);
double spec_step_cores (const SpecStep *step);
double spec_step_core_ms (const SpecStep *step);

#endif
