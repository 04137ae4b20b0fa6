#ifndef CLAIM_EVENT_H
#define CLAIM_EVENT_H

#include "caller_event.h"

/* The value under claims/WORKSPACE/ID: who runs a request that must not
   run twice, where, and what came of it. */

#define CLAIM_STATES(X)                                                        \
  X (CLAIM_RUNNING, "running")                                                 \
  X (CLAIM_ANSWERED, "answered")                                               \
  X (CLAIM_FAILED, "failed")                                                   \
  X (CLAIM_NOT_RUN, "not run") /* may be claimed again */

#define CLAIM_STATE_ENUM(kind, name) kind,
typedef enum ClaimState
{
  CLAIM_STATES (CLAIM_STATE_ENUM) N_CLAIM_STATES
} ClaimState;

enum
{
  CLAIM_MAX_BODY = 64 << 10 /* a longer answer stays at its upstream */
};

/* SERIAL tells the claims of one process apart.  DIGEST is of the request's
   body.  BODY_AT_UPSTREAM is 1 when the answer was too long to keep. */
#define CLAIM_VALUE_FIELDS(INT, STR, BYTES, LIST)                              \
  STR (host, 1, 64)                                                            \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (serial, 0, G_MAXINT64)                                                  \
  STR (upstream, 1, 64)                                                        \
  STR (request, 1, CALLER_MAX_ID)                                              \
  STR (key, 0, CALLER_MAX_NAME)                                                \
  STR (digest, 0, 32)                                                          \
  INT (state, 0, N_CLAIM_STATES - 1)                                           \
  INT (status, 0, 599)                                                         \
  INT (body_at_upstream, 0, 1)                                                 \
  BYTES (body, CLAIM_MAX_BODY)
REC_DECLARE (ClaimValue, claim_value, CLAIM_VALUE_FIELDS)

#endif
