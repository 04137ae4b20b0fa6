#ifndef TABLE_EVENT_H
#define TABLE_EVENT_H

#include "rec.h"

enum
{
  TABLE_MAX_BYTES = (1 << 20) - (1 << 15), /* leaves room for the rest */
  TABLE_MAX_EDIT_ID = 128,
  TABLE_RECENT_EDITS = 64
};

/* An edit that is part of a table, and the revision that it made. */
#define TABLE_EDIT_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (edit_id, 0, TABLE_MAX_EDIT_ID)                                          \
  INT (revision, 0, G_MAXINT64)
REC_DECLARE (TableEdit, table_edit, TABLE_EDIT_FIELDS)

/* A table as one value: in the store under "table", learnt from a peer, or
   loaded by the feeder of events (tests, a first start without a store).
   REVISION is the table's own, since the store's starts again at a lower
   one when it is restored from a copy.  RECENT holds the last edits, the
   newest first, so that an edit whose answer was lost is found even when
   others came after it. */
#define TABLE_VALUE_FIELDS(INT, STR, BYTES, LIST)                              \
  INT (revision, 0, G_MAXINT64)                                                \
  STR (edit_id, 0, TABLE_MAX_EDIT_ID)                                          \
  BYTES (csv, TABLE_MAX_BYTES)                                                 \
  LIST (recent, 0, TABLE_RECENT_EDITS, table_edit)
REC_DECLARE (TableValue, table_value, TABLE_VALUE_FIELDS)

/* Asks a peer for a table above REVISION; answered by MSG_TABLE. */
#define TABLE_WANT_FIELDS(INT, STR, BYTES, LIST) INT (revision, 0, G_MAXINT64)
REC_DECLARE (TableWant, table_want, TABLE_WANT_FIELDS)

#define TABLE_EVENTS(X)                                                        \
  X (EV_TABLE, "table", table_value, table_on_value)                           \
  X (MSG_TABLE, "table_value", table_value, table_on_value)                    \
  X (MSG_TABLE_WANT, "table_want", table_want, table_on_want)

#define TABLE_EFFECTS(X)

#define TABLE_COUNTERS(X)                                                      \
  X (COUNT_TABLE_REVISION, "table_revision",                                   \
     "Revision of the table in force.")                                        \
  X (COUNT_TABLE_CHANGES, "table_changes_total",                               \
     "Tables that came into force on this host.")                              \
  X (COUNT_TABLE_FROM_STORE, "table_from_store_total",                         \
     "Tables learnt from the store.")                                          \
  X (COUNT_TABLE_FROM_PEER, "table_from_peer_total",                           \
     "Tables learnt from another host.")                                       \
  X (COUNT_TABLE_REFUSED, "table_refused_total",                               \
     "Tables from the store or a host that do not parse.")                     \
  X (COUNT_TABLE_ROLLBACKS, "table_rollbacks_total",                           \
     "Times that the store was found with a lower table than in force.")       \
  X (COUNT_TABLE_OFFERS, "table_offers_total",                                 \
     "Times that the table in force was written back to the store.")           \
  X (COUNT_TABLE_FORKS, "table_forks_total",                                   \
     "Different tables found under one revision.")                             \
  X (COUNT_TABLE_EDITS, "table_edits_total", "Edits asked of this host.")      \
  X (COUNT_TABLE_EDITS_DONE, "table_edits_done_total",                         \
     "Edits that were accepted.")                                              \
  X (COUNT_TABLE_EDITS_MERGED, "table_edits_merged_total",                     \
     "Edits accepted that were merged with another.")                          \
  X (COUNT_TABLE_CONFLICTS, "table_conflicts_total",                           \
     "Edits refused because another had changed the same cell.")               \
  X (COUNT_TABLE_CHECKED_MS, "table_checked_ms",                               \
     "When the store last confirmed the table, in milliseconds.")

#define TABLE_NOTES(X)                                                         \
  X (NOTE_TABLE_IN_FORCE, "table_in_force")                                    \
  X (NOTE_TABLE_REFUSED, "table_refused")                                      \
  X (NOTE_TABLE_ROLLED_BACK, "table_rolled_back")                              \
  X (NOTE_TABLE_OFFERED, "table_offered")                                      \
  X (NOTE_TABLE_FORK, "table_fork")                                            \
  X (NOTE_TABLE_EDITED, "table_edited")                                        \
  X (NOTE_TABLE_CONFLICT, "table_conflict")

#endif
