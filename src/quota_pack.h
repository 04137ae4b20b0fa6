#ifndef QUOTA_PACK_H
#define QUOTA_PACK_H

#include "fleet.h"

/* Packing of runs of adjacent accelerators into free runs of workers. */

enum
{
  QUOTA_SIZES = FLEET_MAX_ACCELERATORS + 1
};

gboolean quota_pack (const guint *need, const guint *bins);

#endif
