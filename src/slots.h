#ifndef SLOTS_H
#define SLOTS_H

#include "core_state.h"

/* How the hosts of a failure domain divide the slots of its upstreams. */

gint64 slots_share (gint64 total, guint n_hosts, guint rank, guint salt);
void slots_on_want (Core *c, const Event *e);
void slots_on_lend (Core *c, const Event *e);
void slots_on_held (Core *c, const Event *e);

#endif
