#ifndef CORE_H
#define CORE_H

#include "config.h"
#include "counter.h"
#include "event.h"

/* One node: all state and all decisions of one entry host.  It reads no
   clock and opens no socket: it is fed events and emits effects.  The same
   events from the same start give the same effects.  Any number of nodes
   live in one process; a node is used by one thread at a time. */
typedef struct Core Core;

Core *core_new (const Config *cfg, guint32 seed, ClockMs now);
void core_free (Core *c);
void core_feed (Core *c, const Event *e);
Event *core_next_effect (Core *c);
ClockMs core_next_deadline (const Core *c);
gint64 core_counter (const Core *c, Counter n);
const char *core_host (const Core *c);

#endif
