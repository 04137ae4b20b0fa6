#ifndef MEMBER_EVENT_H
#define MEMBER_EVENT_H

#include "rec.h"

#define MEMBER_NAME_FIELDS(INT, STR, BYTES, LIST) STR (name, 1, 64)
REC_DECLARE (MemberName, member_name, MEMBER_NAME_FIELDS)

/* What a host tells its peers every second. */
#define MEMBER_HEARTBEAT_FIELDS(INT, STR, BYTES, LIST)                         \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (sequence, 0, G_MAXINT64)                                                \
  INT (draining, 0, 1)                                                         \
  INT (table_revision, 0, G_MAXINT64)                                          \
  INT (load, 0, G_MAXINT32)                                                    \
  LIST (leaving, 0, 10000, member_name)
REC_DECLARE (MemberHeartbeat, member_heartbeat, MEMBER_HEARTBEAT_FIELDS)

#define MEMBER_EVENTS(X)                                                       \
  X (MSG_HEARTBEAT, "heartbeat", member_heartbeat, member_on_heartbeat)

#define MEMBER_EFFECTS(X)

#define MEMBER_COUNTERS(X)                                                     \
  X (COUNT_HEARTBEATS, "heartbeats_received_total", "Heartbeats received.")

#define MEMBER_NOTES(X)                                                        \
  X (NOTE_MEMBER_LIVE, "member_live")                                          \
  X (NOTE_MEMBER_SUSPECT, "member_suspect")                                    \
  X (NOTE_MEMBER_GONE, "member_gone")

#endif
