#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include "event.h"
#include "rec.h"
#include "timeline.h"
#include "wire.h"

/* What hosts say to each other on a connection. */

/* The dialler's first frame: who it is, and whom it means to reach. */
#define WIRE_HELLO_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (version, WIRE_VERSION, WIRE_VERSION)                                    \
  STR (host, 1, WIRE_MAX_NAME)                                                 \
  STR (peer, 1, WIRE_MAX_NAME)                                                 \
  BYTES (nonce, WIRE_NONCE)
REC_DECLARE (WireHello, wire_hello, WIRE_HELLO_FIELDS)

/* The accepter's answer: its own nonce, and proof of the key. */
#define WIRE_CHALLENGE_FIELDS(INT, STR, BYTES, LIST)                           \
  INT (version, WIRE_VERSION, WIRE_VERSION)                                    \
  BYTES (nonce, WIRE_NONCE)                                                    \
  BYTES (proof, WIRE_MAC)
REC_DECLARE (WireChallenge, wire_challenge, WIRE_CHALLENGE_FIELDS)

/* The dialler's proof, after which it sends frames. */
#define WIRE_PROOF_FIELDS(INT, STR, BYTES, LIST) BYTES (proof, WIRE_MAC)
REC_DECLARE (WireProof, wire_proof, WIRE_PROOF_FIELDS)

/* One message.  On the wire a MAC under the session's key follows it. */
#define WIRE_FRAME_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (sequence, 0, G_MAXINT64)                                                \
  STR (kind, 1, 64)                                                            \
  INT (ms, 0, G_MAXINT64)                                                      \
  INT (count, 0, HLC_MAX_COUNT)                                                \
  BYTES (body, 64 << 20)
REC_DECLARE (WireFrame, wire_frame, WIRE_FRAME_FIELDS)

WireFrame *wire_frame_new (const Event *e, Hlc stamp);
void wire_frame_free (gpointer frame);
Event *wire_frame_read (const WireFrame *f,
                        ClockMs now,
                        const char *from,
                        Findings *findings);

#endif
