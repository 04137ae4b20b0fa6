#ifndef TABLE_EVENT_H
#define TABLE_EVENT_H

#include "rec.h"

enum
{
  TABLE_MAX_BYTES = 1 << 20
};

/* A table as one value: learnt from a peer, or loaded by the feeder of
   events (tests, a first start without a store). */
#define TABLE_VALUE_FIELDS(INT, STR, BYTES, LIST)                              \
  INT (revision, 0, G_MAXINT64)                                                \
  STR (edit_id, 0, 128)                                                        \
  BYTES (csv, TABLE_MAX_BYTES)
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
  X (COUNT_TABLE_REVISION, "table_revision", "Revision of the table in force.")

#define TABLE_NOTES(X) X (NOTE_TABLE_IN_FORCE, "table_in_force")

#endif
