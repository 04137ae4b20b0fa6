#ifndef FAIR_H
#define FAIR_H

#include "clock.h"
#include "outcome.h"

#include <apr_ring.h>

/* The fair queue: which waiting request starts next.  Classes have floors
   in the slots; inside a class workspaces share by weight, and inside a
   workspace callers share equally, by start-time fair queueing over the
   cost in milliseconds of slot time. */

typedef struct Fair Fair;
typedef struct FairCaller FairCaller;
typedef struct FairItem FairItem;

typedef enum FairState
{
  FAIR_IDLE,
  FAIR_WAITING,
  FAIR_RUNNING
} FairState;

/* One request in the queue, embedded in it; zeroed when new. */
struct FairItem
{
  APR_RING_ENTRY (FairItem) link;
  FairCaller *caller;
  gint64 cost;  /* as charged, in milliseconds */
  gint64 bytes; /* held while it waits */
  FairState state;
};

/* Where an item belongs.  MAX_RUNNING of -1 is no limit. */
typedef struct FairPlace
{
  WorkClass work_class;
  const char *workspace;
  const char *caller;
  gint64 weight;
  gint64 max_running;
} FairPlace;

Fair *fair_new (void);
void fair_free (Fair *f);
void fair_push (Fair *f, FairItem *it, const FairPlace *place, ClockMs now);
FairItem *fair_pop (Fair *f, guint slots, ClockMs now);
void fair_cancel (Fair *f, FairItem *it);
void fair_finish (Fair *f, FairItem *it, gint64 cost);
guint fair_waiting (const Fair *f);
guint fair_startable (const Fair *f);
guint fair_running (const Fair *f);
guint fair_class_waiting (const Fair *f, WorkClass k);
guint fair_class_running (const Fair *f, WorkClass k);
gint64 fair_waiting_bytes (const Fair *f);
guint fair_caller_waiting (const Fair *f, const FairPlace *place);
void fair_workspace_counts (const Fair *f,
                            const char *workspace,
                            guint *waiting,
                            guint *running);
gint64 fair_wait_estimate (const Fair *f, const FairPlace *place, guint slots);
gint64 fair_class_floor (WorkClass k, guint slots);

#endif
