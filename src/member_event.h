#ifndef MEMBER_EVENT_H
#define MEMBER_EVENT_H

#include "rec.h"

enum
{
  MEMBER_MAX_HOSTS = 2000,
  MEMBER_MAX_LEAVING = 10000,
  MEMBER_LEAVING_MS = 600000 /* how long such news is kept */
};

/* News of an upstream.  The higher VERSION is the newer news, the tie goes
   to LEAVING 1; AGE_MS counts from where the news began. */
#define MEMBER_LEAVING_FIELDS(INT, STR, BYTES, LIST)                           \
  STR (name, 1, 64)                                                            \
  INT (version, 1, G_MAXINT32)                                                 \
  INT (leaving, 0, 1)                                                          \
  INT (age_ms, 0, MEMBER_LEAVING_MS)
REC_DECLARE (MemberLeaving, member_leaving, MEMBER_LEAVING_FIELDS)

/* What the sender has heard of another host, so that one lost or cut link
   does not hide it. */
#define MEMBER_SEEN_FIELDS(INT, STR, BYTES, LIST)                              \
  STR (name, 1, 64)                                                            \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (sequence, 0, G_MAXINT64)                                                \
  INT (draining, 0, 1)                                                         \
  INT (table_revision, 0, G_MAXINT64)
REC_DECLARE (MemberSeen, member_seen, MEMBER_SEEN_FIELDS)

/* What a host tells its peers every second, and at once when something has
   changed that cannot wait. */
#define MEMBER_HEARTBEAT_FIELDS(INT, STR, BYTES, LIST)                         \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (sequence, 0, G_MAXINT64)                                                \
  INT (draining, 0, 1)                                                         \
  INT (table_revision, 0, G_MAXINT64)                                          \
  INT (load, 0, G_MAXINT32)                                                    \
  STR (domain, 0, 64)                                                          \
  STR (region, 0, 64)                                                          \
  INT (leaving_digest, 0, G_MAXINT64)                                          \
  LIST (leaving, 0, MEMBER_MAX_LEAVING, member_leaving)                        \
  LIST (seen, 0, MEMBER_MAX_HOSTS, member_seen)
REC_DECLARE (MemberHeartbeat, member_heartbeat, MEMBER_HEARTBEAT_FIELDS)

#define MEMBER_EVENTS(X)                                                       \
  X (MSG_HEARTBEAT, "heartbeat", member_heartbeat, member_on_heartbeat)

#define MEMBER_EFFECTS(X)

#define MEMBER_COUNTERS(X)                                                     \
  X (COUNT_HEARTBEATS, "heartbeats_received_total", "Heartbeats received.")    \
  X (COUNT_HEARTBEATS_SENT, "heartbeats_sent_total", "Heartbeats sent.")       \
  X (COUNT_HEARTBEATS_OLD, "heartbeats_old_total",                             \
     "Heartbeats of an earlier incarnation or out of order.")                  \
  X (COUNT_SUSPICIONS, "member_suspicions_total",                              \
     "Times that a host fell silent and was suspected.")                       \
  X (COUNT_FALSE_SUSPICIONS, "member_suspicions_false_total",                  \
     "Suspected hosts that were heard again in the same incarnation.")         \
  X (COUNT_MEMBER_CHANGES, "member_changes_total",                             \
     "Changes in the set of live hosts.")                                      \
  X (COUNT_MEMBER_PAUSES, "member_pauses_total",                               \
     "Times that this host found itself to have been paused.")                 \
  X (COUNT_HOSTS_LIVE, "hosts_live", "Hosts that are live, this one counted.") \
  X (COUNT_HOSTS_KNOWN, "hosts_known", "Hosts known, in whatever state.")      \
  X (COUNT_UPSTREAMS_LEAVING, "upstreams_leaving",                             \
     "Upstreams that are known to be leaving.")

#define MEMBER_NOTES(X)                                                        \
  X (NOTE_MEMBER_LIVE, "member_live")                                          \
  X (NOTE_MEMBER_SUSPECT, "member_suspect")                                    \
  X (NOTE_MEMBER_DRAINING, "member_draining")                                  \
  X (NOTE_MEMBER_GONE, "member_gone")                                          \
  X (NOTE_MEMBER_PAUSED, "member_paused")                                      \
  X (NOTE_UPSTREAM_LEAVING, "upstream_leaving")                                \
  X (NOTE_UPSTREAM_BACK, "upstream_back")

#endif
