#ifndef CORE_STATE_H
#define CORE_STATE_H

#include "core.h"
#include "timer.h"

/* What the modules of one node share.  For the core's modules only. */

/* X (Type, name): each has NAME_new (Core *), NAME_start (Core *), called
   in this order once all exist, and NAME_free (Type *). */
#define CORE_MODULES(X)                                                        \
  X (Store, store)                                                             \
  X (Table, table)                                                             \
  X (Member, member)                                                           \
  X (Req, req)                                                                 \
  X (Sched, sched)                                                             \
  X (Oper, oper)

#define CORE_MODULE_TYPE(Type, name)   typedef struct Type Type;
#define CORE_MODULE_MEMBER(Type, name) Type *name;
CORE_MODULES (CORE_MODULE_TYPE)

struct Core
{
  Config *cfg;
  ClockMs now;
  GRand *rng;
  GQueue effects; /* of Event */
  TimerHeap timers;
  gint64 counters[N_COUNTERS];
  gboolean draining;
  gboolean drained;
  CORE_MODULES (CORE_MODULE_MEMBER)
};

void core_emit (Core *c, EventKind kind, const char *peer, const void *body);
void
core_reply_json (Core *c, gint64 conn, int status, const char *id, char *text);
void core_arm (Core *c, Timer *t, ClockMs at);
void core_stop (Core *c, Timer *t);
void core_add (Core *c, Counter n, gint64 by);
void core_set (Core *c, Counter n, gint64 value);
void core_write_note (Core *c, const CoreNote *note);
gint32 core_random (Core *c, gint32 below);
ClockMs core_jitter (Core *c, ClockMs span);

#endif
