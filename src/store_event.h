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
  X (COUNT_STORE_CALLS, "store_calls_total", "Calls sent to the store.")

#define STORE_NOTES(X)                                                         \
  X (NOTE_STORE_UP, "store_up")                                                \
  X (NOTE_STORE_DOWN, "store_down")

#endif
