#ifndef UPSTREAM_EVENT_H
#define UPSTREAM_EVENT_H

#include "rec.h"

/* The boundary to upstreams.  A request is named by REQUEST, its id, and
   ATTEMPT, counted from 1; both travel with it and come back. */

enum
{
  UPSTREAM_MAX_NAME = 64,
  UPSTREAM_MAX_ID = 192,
  UPSTREAM_MAX_BODY = 64 << 20
};

/* How a call to an upstream ended. */
#define UPSTREAM_RESULTS(X)                                                    \
  X (UPSTREAM_ANSWERED, "answered")     /* whole answer, HTTP 2xx */           \
  X (UPSTREAM_FAILED, "failed")         /* whole answer, it ran and failed */  \
  X (UPSTREAM_BUSY, "busy")             /* says that it did not run it */      \
  X (UPSTREAM_UNSENT, "unsent")         /* no byte left this host */           \
  X (UPSTREAM_LOST, "lost")             /* sent, and no whole answer came */   \
  X (UPSTREAM_RUNNING, "running")       /* asked: still at work */             \
  X (UPSTREAM_NEVER_SEEN, "never seen") /* asked: does not know the id */

#define UPSTREAM_RESULT_ENUM(kind, name) kind,
typedef enum UpstreamResult
{
  UPSTREAM_RESULTS (UPSTREAM_RESULT_ENUM) N_UPSTREAM_RESULTS
} UpstreamResult;

/* Sends a request; answered by an UpstreamReply. */
#define UPSTREAM_SEND_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (upstream, 1, UPSTREAM_MAX_NAME)                                         \
  STR (request, 1, UPSTREAM_MAX_ID)                                            \
  INT (attempt, 1, 1000000)                                                    \
  STR (workspace, 0, 128)                                                      \
  STR (caller, 0, 128)                                                         \
  STR (work_kind, 0, 128)                                                      \
  INT (timeout_ms, 0, 86400000)                                                \
  BYTES (body, UPSTREAM_MAX_BODY)
REC_DECLARE (UpstreamSend, upstream_send, UPSTREAM_SEND_FIELDS)

/* Asks after a request (over a new connection) or tells that it is no
   longer wanted.  An ask is answered by an UpstreamReply with ASKED 1. */
#define UPSTREAM_ASK_FIELDS(INT, STR, BYTES, LIST)                             \
  STR (upstream, 1, UPSTREAM_MAX_NAME)                                         \
  STR (request, 1, UPSTREAM_MAX_ID)                                            \
  INT (attempt, 1, 1000000)                                                    \
  INT (timeout_ms, 0, 86400000)
REC_DECLARE (UpstreamAsk, upstream_ask, UPSTREAM_ASK_FIELDS)

/* What came of a send or an ask.  STATUS is the HTTP status, 0 without
   one; LEAVING 1 when the upstream says that it is going away. */
#define UPSTREAM_REPLY_FIELDS(INT, STR, BYTES, LIST)                           \
  STR (upstream, 1, UPSTREAM_MAX_NAME)                                         \
  STR (request, 1, UPSTREAM_MAX_ID)                                            \
  INT (attempt, 1, 1000000)                                                    \
  INT (asked, 0, 1)                                                            \
  INT (result, 0, N_UPSTREAM_RESULTS - 1)                                      \
  INT (status, 0, 599)                                                         \
  INT (leaving, 0, 1)                                                          \
  BYTES (body, UPSTREAM_MAX_BODY)
REC_DECLARE (UpstreamReply, upstream_reply, UPSTREAM_REPLY_FIELDS)

/* Asks whether an upstream answers at all (GET /health). */
#define UPSTREAM_PROBE_FIELDS(INT, STR, BYTES, LIST)                           \
  STR (upstream, 1, UPSTREAM_MAX_NAME)                                         \
  INT (timeout_ms, 0, 86400000)
REC_DECLARE (UpstreamProbe, upstream_probe, UPSTREAM_PROBE_FIELDS)

#define UPSTREAM_PROBED_FIELDS(INT, STR, BYTES, LIST)                          \
  STR (upstream, 1, UPSTREAM_MAX_NAME)                                         \
  INT (healthy, 0, 1)                                                          \
  INT (leaving, 0, 1)
REC_DECLARE (UpstreamProbed, upstream_probed, UPSTREAM_PROBED_FIELDS)

#endif
