#ifndef WORKER_EVENT_H
#define WORKER_EVENT_H

#include "rec.h"

/* The boundary to the platform's workers.  A worker is the arbiter of its
   accelerators: it refuses any call whose TERM is below the highest that it
   has seen, and stops a task whose lease has lapsed. */

enum
{
  WORKER_MAX_NAME = 64,
  WORKER_MAX_JOB = 192,
  WORKER_MAX_LEASES = 4096,
  WORKER_MAX_ACCELERATORS = 64
};

#define WORKER_OPS(X)                                                          \
  X (WORKER_REPORT, "report")         /* list all leases */                    \
  X (WORKER_RESERVE, "reserve")       /* take FIRST..FIRST+COUNT-1 */          \
  X (WORKER_START, "start")           /* run what was reserved */              \
  X (WORKER_RENEW, "renew")           /* all leases of TERM's holder */        \
  X (WORKER_CHECKPOINT, "checkpoint") /* save, then stop */                    \
  X (WORKER_THROTTLE, "throttle")                                              \
  X (WORKER_STOP, "stop") /* end and free; idempotent */

#define WORKER_STATUSES(X)                                                     \
  X (WORKER_OK, "ok")                                                          \
  X (WORKER_REFUSED, "refused") /* occupied, or no such lease */               \
  X (WORKER_STALE, "stale")     /* the term is too low */                      \
  X (WORKER_UNSENT, "unsent")   /* no byte left this host */                   \
  X (WORKER_LOST, "lost")       /* sent, and no answer came */

#define WORKER_LEASE_STATES(X)                                                 \
  X (LEASE_RESERVED, "reserved")                                               \
  X (LEASE_RUNNING, "running")                                                 \
  X (LEASE_SAVED, "saved")     /* checkpoint written, accelerators free */     \
  X (LEASE_DONE, "done")       /* ended well, accelerators free */             \
  X (LEASE_FAILED, "failed")   /* ended badly, accelerators free */            \
  X (LEASE_STOPPED, "stopped") /* by call, accelerators free */                \
  X (LEASE_LAPSED, "lapsed")   /* by lease, accelerators free */

#define WORKER_ENUM(kind, name) kind,
typedef enum WorkerOp
{
  WORKER_OPS (WORKER_ENUM) N_WORKER_OPS
} WorkerOp;
typedef enum WorkerStatus
{
  WORKER_STATUSES (WORKER_ENUM) N_WORKER_STATUSES
} WorkerStatus;
typedef enum WorkerLeaseState
{
  WORKER_LEASE_STATES (WORKER_ENUM) N_WORKER_LEASE_STATES
} WorkerLeaseState;

/* One call.  CALL comes back in the reply.  JOB, PART and RUN (the count of
   the job's starts, from 1) name a lease; RENEW and REPORT name none.
   RUN_MS is how long the stand-in lets the task run. */
#define WORKER_CALL_FIELDS(INT, STR, BYTES, LIST)                              \
  INT (call, 0, G_MAXINT64)                                                    \
  STR (worker, 1, WORKER_MAX_NAME)                                             \
  INT (op, 0, N_WORKER_OPS - 1)                                                \
  INT (term, 0, G_MAXINT64)                                                    \
  STR (job, 0, WORKER_MAX_JOB)                                                 \
  INT (part, 0, 127)                                                           \
  INT (run, 0, 1000000)                                                        \
  INT (first, 0, WORKER_MAX_ACCELERATORS)                                      \
  INT (count, 0, WORKER_MAX_ACCELERATORS)                                      \
  INT (cores, 0, 4096)                                                         \
  INT (memory_mb, 0, 100000000)                                                \
  INT (lease_ms, 0, 86400000)                                                  \
  INT (run_ms, 0, 86400000LL * 60)                                             \
  INT (resume, 0, 1)                                                           \
  INT (timeout_ms, 0, 86400000)
REC_DECLARE (WorkerCall, worker_call, WORKER_CALL_FIELDS)

/* One lease as its worker sees it; an ended one is reported until STOP. */
#define WORKER_LEASE_FIELDS(INT, STR, BYTES, LIST)                             \
  STR (job, 1, WORKER_MAX_JOB)                                                 \
  INT (part, 0, 127)                                                           \
  INT (run, 0, 1000000)                                                        \
  INT (term, 0, G_MAXINT64)                                                    \
  INT (state, 0, N_WORKER_LEASE_STATES - 1)                                    \
  INT (first, 0, WORKER_MAX_ACCELERATORS)                                      \
  INT (count, 0, WORKER_MAX_ACCELERATORS)                                      \
  INT (cores, 0, 4096)                                                         \
  INT (memory_mb, 0, 100000000)                                                \
  INT (used_memory_mb, 0, 100000000)                                           \
  INT (progress_ms, 0, 86400000LL * 60)                                        \
  INT (remaining_ms, 0, 86400000)
REC_DECLARE (WorkerLease, worker_lease, WORKER_LEASE_FIELDS)

/* The reply to one call, or, with CALL 0, a report the worker sent by
   itself.  TERM is the highest it has seen, RUNNING the number of its
   running leases.  LEASES holds every lease for REPORT, and for RENEW those
   whose state changed since the last reply. */
#define WORKER_REPLY_FIELDS(INT, STR, BYTES, LIST)                             \
  INT (call, 0, G_MAXINT64)                                                    \
  STR (worker, 1, WORKER_MAX_NAME)                                             \
  INT (op, 0, N_WORKER_OPS - 1)                                                \
  INT (status, 0, N_WORKER_STATUSES - 1)                                       \
  INT (term, 0, G_MAXINT64)                                                    \
  STR (reason, 0, 256)                                                         \
  INT (running, 0, WORKER_MAX_LEASES)                                          \
  LIST (leases, 0, WORKER_MAX_LEASES, worker_lease)
REC_DECLARE (WorkerReply, worker_reply, WORKER_REPLY_FIELDS)

#endif
