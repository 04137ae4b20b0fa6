#ifndef EXHAUSTIVE_H
#define EXHAUSTIVE_H

#include "reclaim.h"

/* Placement and reclaim by trying everything; for fleets of a few workers. */

gboolean exhaustive_pack (const guint *need, const guint *bins);
gboolean exhaustive_place (const Fleet *f, FleetJob *j);
gboolean exhaustive_reclaim (const ReclaimAsk *ask, double *cost);

#endif
