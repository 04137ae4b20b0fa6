#ifndef SHARE_H
#define SHARE_H

#include "conf.h"
#include "work.h"

/* Which urgent jobs are within their workspace's guarantee. */

void share_mark_guaranteed (struct WorkJobRing *jobs, const Conf *conf);

#endif
