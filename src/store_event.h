#ifndef STORE_EVENT_H
#define STORE_EVENT_H

#include "rec.h"

/* The boundary to the platform's key-value store: keys with values and a
   revision of the last change, one revision counter over all keys, leases
   to which keys can be tied, and watches as calls that wait. */

enum
{
  STORE_MAX_KEY = 512,
  STORE_MAX_VALUE = 1 << 20,
  STORE_MAX_ITEMS = 100000
};

#define STORE_OPS(X)                                                           \
  X (STORE_GET, "get")                                                         \
  X (STORE_LIST, "list")     /* keys that start with KEY */                    \
  X (STORE_PUT, "put")       /* only if the revision is EXPECT, 0: absent */   \
  X (STORE_DELETE, "delete") /* only if the revision is EXPECT */              \
  X (STORE_WATCH, "watch")   /* wait until KEY's revision exceeds EXPECT */    \
  X (STORE_GRANT, "grant")   /* a lease of LEASE_MS */                         \
  X (STORE_KEEP, "keep")     /* renew LEASE */                                 \
  X (STORE_HOSTS, "hosts")   /* the platform's lagging list */

#define STORE_STATUSES(X)                                                      \
  X (STORE_OK, "ok")                                                           \
  X (STORE_CONFLICT, "conflict") /* not EXPECT; the value found is given */    \
  X (STORE_MISSING, "missing")                                                 \
  X (STORE_REFUSED, "refused") /* the store says no: too busy, too large */    \
  X (STORE_UNSENT, "unsent")   /* certainly not done */                        \
  X (STORE_LOST, "lost")       /* may have been done */

#define STORE_ENUM(kind, name) kind,
typedef enum StoreOp
{
  STORE_OPS (STORE_ENUM) N_STORE_OPS
} StoreOp;
typedef enum StoreStatus
{
  STORE_STATUSES (STORE_ENUM) N_STORE_STATUSES
} StoreStatus;

/* One call.  CALL comes back in the reply.  LEASE, when not 0, ties the
   key that is put to that lease. */
#define STORE_CALL_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (call, 0, G_MAXINT64)                                                    \
  INT (op, 0, N_STORE_OPS - 1)                                                 \
  STR (key, 0, STORE_MAX_KEY)                                                  \
  INT (expect, 0, G_MAXINT64)                                                  \
  INT (lease, 0, G_MAXINT64)                                                   \
  INT (lease_ms, 0, 86400000)                                                  \
  INT (timeout_ms, 0, 86400000)                                                \
  BYTES (value, STORE_MAX_VALUE)
REC_DECLARE (StoreCall, store_call, STORE_CALL_FIELDS)

#define STORE_ITEM_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (key, 0, STORE_MAX_KEY)                                                  \
  INT (revision, 0, G_MAXINT64)                                                \
  BYTES (value, STORE_MAX_VALUE)
REC_DECLARE (StoreItem, store_item, STORE_ITEM_FIELDS)

/* A line of the platform's lagging list.  ROLE is "host", "upstream" or
   "worker", STATE "live" or "leaving". */
#define STORE_HOST_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (name, 1, 64)                                                            \
  STR (role, 1, 16)                                                            \
  STR (state, 1, 16)
REC_DECLARE (StoreHost, store_host, STORE_HOST_FIELDS)

/* The reply to one call.  REVISION is the store's counter; ITEMS the keys
   found, for a conflict the one that stood in the way. */
#define STORE_REPLY_FIELDS(INT, STR, BYTES, LIST)                              \
  INT (call, 0, G_MAXINT64)                                                    \
  INT (op, 0, N_STORE_OPS - 1)                                                 \
  INT (status, 0, N_STORE_STATUSES - 1)                                        \
  INT (revision, 0, G_MAXINT64)                                                \
  INT (lease, 0, G_MAXINT64)                                                   \
  LIST (items, 0, STORE_MAX_ITEMS, store_item)                                 \
  LIST (hosts, 0, STORE_MAX_ITEMS, store_host)
REC_DECLARE (StoreReply, store_reply, STORE_REPLY_FIELDS)

#define STORE_EVENTS(X)                                                        \
  X (EV_STORE_REPLY, "store_reply", store_reply, store_on_reply)

#define STORE_EFFECTS(X) X (FX_STORE_CALL, "store_call", store_call)

#define STORE_COUNTERS(X)                                                      \
  X (COUNT_STORE_CALLS, "store_calls_total", "Calls sent to the store.")       \
  X (COUNT_STORE_CALLS_LEASE, "store_calls_lease_total",                       \
     "Calls sent for leases.")                                                 \
  X (COUNT_STORE_CALLS_CLAIM, "store_calls_claim_total",                       \
     "Calls sent for claims of idempotency keys.")                             \
  X (COUNT_STORE_CALLS_JOB, "store_calls_job_total",                           \
     "Calls sent for job records.")                                            \
  X (COUNT_STORE_CALLS_TABLE, "store_calls_table_total",                       \
     "Calls sent for the table, its waiting watches among them.")              \
  X (COUNT_STORE_CALLS_LIST, "store_calls_list_total",                         \
     "Calls sent for the platform's list of hosts.")                           \
  X (COUNT_STORE_WRITES, "store_writes_total",                                 \
     "Calls sent that change the store.")                                      \
  X (COUNT_STORE_LOST, "store_calls_lost_total",                               \
     "Calls sent of which no answer came.")                                    \
  X (COUNT_STORE_REFUSED, "store_calls_refused_total",                         \
     "Calls that the store refused.")                                          \
  X (COUNT_STORE_EXPIRED, "store_calls_expired_total",                         \
     "Calls that were never sent, for want of budget or of a store.")          \
  X (COUNT_STORE_LATE, "store_answers_late_total",                             \
     "Answers to calls that were given up.")                                   \
  X (COUNT_STORE_WATCHES_LOST, "store_watches_lost_total",                     \
     "Watches that were set up again after silence or an error.")              \
  X (COUNT_STORE_OUTAGES, "store_outages_total",                               \
     "Times that the store was taken for down.")                               \
  X (COUNT_STORE_UP, "store_up", "1 while the store answers, else 0.")         \
  X (COUNT_STORE_WAITING, "store_calls_waiting", "Calls that wait to be sent.")

#define STORE_NOTES(X)                                                         \
  X (NOTE_STORE_UP, "store_up")                                                \
  X (NOTE_STORE_DOWN, "store_down")

#endif
