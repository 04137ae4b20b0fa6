#ifndef STORE_H
#define STORE_H

#include "core_state.h"

/* The store session: the one way from the core to the platform's store.
   It bounds the calls a second, sends the urgent purposes first, and backs
   off while the store is away. */

/* What a call is for, the most urgent first. */
#define STORE_PURPOSES(X)                                                      \
  X (STORE_FOR_LEASE, "lease") /* the scheduler's role */                      \
  X (STORE_FOR_CLAIM, "claim") /* requests that run at most once */            \
  X (STORE_FOR_JOB, "job")     /* job records */                               \
  X (STORE_FOR_TABLE, "table")                                                 \
  X (STORE_FOR_LIST, "list") /* the platform's host list */

#define STORE_PURPOSE_ENUM(kind, name) kind,
typedef enum StorePurpose
{
  STORE_PURPOSES (STORE_PURPOSE_ENUM) N_STORE_PURPOSES
} StorePurpose;

/* Called once for every submitted call.  R->status STORE_UNSENT says that
   the call certainly had no effect, STORE_LOST that it may have had one:
   the caller settles it by reading back. */
typedef void (*StoreDone) (Core *c,
                           const StoreReply *r,
                           gpointer owner,
                           guint64 arg);

/* A watch that the session keeps up over timeouts, silence and outages.
   CHANGED is called with every item whose revision exceeds REVISION, the
   last one known; the owner may raise or lower REVISION at any time by
   store_watch_from.  To be embedded, zeroed when new. */
typedef struct StoreWatch StoreWatch;
typedef void (*StoreChanged) (Core *c, StoreWatch *w, const StoreItem *item);

struct StoreWatch
{
  StorePurpose purpose;
  const char *key;
  gint64 revision;
  StoreChanged changed;
  void *owner;
  gint64 call; /* 0: none is waiting */
  ClockMs sent_at;
  guint failures; /* in a row */
  Timer retry;
};

Store *store_new (Core *c);
void store_start (Core *c);
void store_free (Store *s);
gint64 store_submit (Core *c,
                     StorePurpose purpose,
                     const StoreCall *call,
                     StoreDone done,
                     gpointer owner,
                     guint64 arg);
void store_forget (Core *c, gint64 call);
void store_watch_start (Core *c, StoreWatch *w);
void store_watch_from (Core *c, StoreWatch *w, gint64 revision);
const StoreItem *store_first_item (const StoreReply *r);
gboolean store_is_up (const Core *c);
ClockMs store_answered_at (const Core *c);
void store_on_reply (Core *c, const Event *e);

#endif
