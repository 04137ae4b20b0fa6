#ifndef JOB_H
#define JOB_H

#include "core_state.h"

/* Job records: what the store keeps of a job from its acceptance to the
   end of its result's keeping, under "jobs/DOMAIN/ID". */

enum
{
  JOB_MAX_BODY = 16384,  /* of the caller's description, in bytes */
  JOB_MAX_EVIDENCE = 16, /* runs that may fail, wherever */
  JOB_MAX_WRITING = 32,  /* records on their way to the store at once */
  JOB_RETRY_MS = 500     /* between writes that fail */
};

#define JOB_STATES(X)                                                          \
  X (JOB_QUEUED, "queued")                                                     \
  X (JOB_PLACED, "placed")   /* intent: reserved, never started */             \
  X (JOB_RUNNING, "running") /* commit: parts may have started */              \
  X (JOB_DONE, "done")                                                         \
  X (JOB_FAILED, "failed")                                                     \
  X (JOB_CANCELLED, "cancelled")                                               \
  X (JOB_UNKNOWN, "unknown") /* started once; not known how it ended */

#define JOB_STATE_ENUM(kind, name) kind,
typedef enum JobState
{
  JOB_STATES (JOB_STATE_ENUM) N_JOB_STATES
} JobState;

#define JOB_SEAT_FIELDS(INT, STR, BYTES, LIST)                                 \
  STR (worker, 1, 64)                                                          \
  INT (first, 0, 64)                                                           \
  INT (count, 0, 64)
REC_DECLARE (JobSeat, job_seat, JOB_SEAT_FIELDS)

/* One run that ended badly. */
#define JOB_EVIDENCE_FIELDS(INT, STR, BYTES, LIST)                             \
  INT (run, 0, 1000000)                                                        \
  STR (worker, 0, 64)                                                          \
  STR (reason, 0, 256)
REC_DECLARE (JobEvidence, job_evidence, JOB_EVIDENCE_FIELDS)

/* RUN counts the starts.  SAVED_MS is the progress in the last checkpoint.
   WRITER and WRITE name the write itself, so that a write whose answer was
   lost is recognised when it is read back.  DIGEST is that of the caller's
   own fields, ORIGIN the host that took the job.  SEATS is where the parts are,
   one a part. */
#define JOB_RECORD_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (id, 1, 192)                                                             \
  STR (workspace, 1, 128)                                                      \
  STR (caller, 0, 128)                                                         \
  STR (key, 0, 128)                                                            \
  STR (work_kind, 0, 128)                                                      \
  INT (work_class, 0, N_CLASSES - 1)                                           \
  INT (parts, 1, 128)                                                          \
  INT (accelerators, 0, 64)                                                    \
  INT (cores, 0, 4096)                                                         \
  INT (memory_mb, 0, 100000000)                                                \
  INT (run_ms, 0, 86400000LL * 60)                                             \
  INT (checkpointable, 0, 1)                                                   \
  INT (repeatable, 0, 1)                                                       \
  STR (domain, 1, 64)                                                          \
  STR (origin, 0, 64)                                                          \
  INT (digest, 0, G_MAXINT64)                                                  \
  INT (accepted_at, 0, G_MAXINT64)                                             \
  INT (started_at, 0, G_MAXINT64)                                              \
  INT (ended_at, 0, G_MAXINT64)                                                \
  INT (state, 0, N_JOB_STATES - 1)                                             \
  INT (cancel, 0, 1)                                                           \
  INT (run, 0, 1000000)                                                        \
  INT (term, 0, G_MAXINT64)                                                    \
  INT (saved_ms, 0, 86400000LL * 60)                                           \
  STR (reason, 0, 256)                                                         \
  STR (writer, 0, 128)                                                         \
  INT (write, 0, G_MAXINT64)                                                   \
  LIST (seats, 0, 128, job_seat)                                               \
  LIST (evidence, 0, JOB_MAX_EVIDENCE, job_evidence)                           \
  BYTES (body, JOB_MAX_BODY)
REC_DECLARE (JobRecord, job_record, JOB_RECORD_FIELDS)

const char *job_state_name (JobState s);
gboolean job_state_ended (JobState s);
char *job_id (Core *c, const CallerJob *q, gint64 sequence);
char *job_key (const char *domain, const char *id);
gint64 job_digest (const CallerJob *q);
JobRecord *job_record_new (Core *c,
                           const CallerJob *q,
                           const char *id,
                           const char *domain);
void job_record_free (JobRecord *r);
const JobSeat *job_seat (const JobRecord *r, guint i);
GBytes *job_encode (JobRecord *r);
JobRecord *job_decode (GBytes *value);
char *job_to_json (const JobRecord *r);

#endif
