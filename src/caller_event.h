#ifndef CALLER_EVENT_H
#define CALLER_EVENT_H

#include "outcome.h"
#include "rec.h"

/* The boundary to callers and operators.  CONN is the shell's number for a
   pending reply; it is never used twice by one process.  TOKEN is the
   bearer token as presented. */

enum
{
  CALLER_MAX_TOKEN = 512,
  CALLER_MAX_NAME = 128,
  CALLER_MAX_ID = 192,
  CALLER_MAX_REASON = 1024,
  CALLER_MAX_BODY = 64 << 20
};

/* A request.  DEADLINE_MS counts from its arrival, 0 means the default.
   REPEATABLE is 1 when running it twice does no harm; without it KEY, the
   idempotency key, is required. */
#define CALLER_REQUEST_FIELDS(INT, STR, BYTES, LIST)                           \
  INT (conn, 0, G_MAXINT64)                                                    \
  STR (token, 0, CALLER_MAX_TOKEN)                                             \
  STR (workspace, 0, CALLER_MAX_NAME)                                          \
  STR (caller, 0, CALLER_MAX_NAME)                                             \
  INT (work_class, 0, N_CLASSES - 1)                                           \
  STR (work_kind, 0, CALLER_MAX_NAME)                                          \
  INT (deadline_ms, 0, 86400000)                                               \
  STR (key, 0, CALLER_MAX_NAME)                                                \
  INT (repeatable, 0, 1)                                                       \
  BYTES (body, CALLER_MAX_BODY)
REC_DECLARE (CallerRequest, caller_request, CALLER_REQUEST_FIELDS)

/* Asks after, or cancels, the request or job called ID. */
#define CALLER_ASK_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (conn, 0, G_MAXINT64)                                                    \
  STR (token, 0, CALLER_MAX_TOKEN)                                             \
  STR (workspace, 0, CALLER_MAX_NAME)                                          \
  STR (id, 0, CALLER_MAX_ID)
REC_DECLARE (CallerAsk, caller_ask, CALLER_ASK_FIELDS)

/* A job: PARTS parts of ACCELERATORS adjacent accelerators each, all at
   once or none.  CORES and MEMORY_MB count per part, RUN_MS is declared. */
#define CALLER_JOB_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (conn, 0, G_MAXINT64)                                                    \
  STR (token, 0, CALLER_MAX_TOKEN)                                             \
  STR (workspace, 0, CALLER_MAX_NAME)                                          \
  STR (caller, 0, CALLER_MAX_NAME)                                             \
  STR (key, 0, CALLER_MAX_NAME)                                                \
  STR (work_kind, 0, CALLER_MAX_NAME)                                          \
  INT (work_class, 0, N_CLASSES - 1)                                           \
  INT (parts, 1, 128)                                                          \
  INT (accelerators, 0, 64)                                                    \
  INT (cores, 0, 4096)                                                         \
  INT (memory_mb, 0, 100000000)                                                \
  INT (run_ms, 0, 86400000LL * 60)                                             \
  INT (checkpointable, 0, 1)                                                   \
  INT (repeatable, 0, 1)                                                       \
  BYTES (body, CALLER_MAX_BODY)
REC_DECLARE (CallerJob, caller_job, CALLER_JOB_FIELDS)

/* The caller of CONN has hung up; what it waited for may be dropped. */
#define CALLER_GONE_FIELDS(INT, STR, BYTES, LIST) INT (conn, 0, G_MAXINT64)
REC_DECLARE (CallerGone, caller_gone, CALLER_GONE_FIELDS)

/* An operator's question: WHAT is "hosts", "status", "explain", "table",
   ..., ARG what it is about.  Answered by a CallerReply with a JSON body. */
#define CALLER_OPERATOR_FIELDS(INT, STR, BYTES, LIST)                          \
  INT (conn, 0, G_MAXINT64)                                                    \
  STR (what, 0, CALLER_MAX_NAME)                                               \
  STR (arg, 0, CALLER_MAX_ID)                                                  \
  BYTES (body, CALLER_MAX_BODY)
REC_DECLARE (CallerOperator, caller_operator, CALLER_OPERATOR_FIELDS)

/* The one reply to CONN.  STATUS is the HTTP status.  An OUTCOME other than
   answered is shown to the caller as a JSON error body made from OUTCOME,
   REASON and ID; otherwise BODY is passed as it is. */
#define CALLER_REPLY_FIELDS(INT, STR, BYTES, LIST)                             \
  INT (conn, 0, G_MAXINT64)                                                    \
  INT (outcome, 0, N_OUTCOMES - 1)                                             \
  INT (status, 100, 599)                                                       \
  STR (id, 0, CALLER_MAX_ID)                                                   \
  STR (reason, 0, CALLER_MAX_REASON)                                           \
  INT (retry_after_ms, 0, 86400000)                                            \
  BYTES (body, CALLER_MAX_BODY)
REC_DECLARE (CallerReply, caller_reply, CALLER_REPLY_FIELDS)

#endif
