#ifndef SHARE_H
#define SHARE_H

#include "conf.h"
#include "work.h"

/* Finds the urgent jobs that are covered by their workspace's guaranteed
   number of accelerators. */

void share_mark_guaranteed (struct WorkJobRing *jobs, const Conf *conf);

#endif
