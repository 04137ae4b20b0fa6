#ifndef FIT_H
#define FIT_H

#include "pool.h"

/* Where tasks go.  Plain functions over the workers' room: they change
   nothing. */

/* A worker as the placement sees it. */
typedef struct FitWorker
{
  PoolWorker *worker;
  PoolRoom room; /* what may be taken */
  guint placed;  /* tasks of the request under way */
} FitWorker;

/* COUNT equal tasks to be placed together. */
typedef struct FitRequest
{
  const char *service;
  PoolRoom need;
  guint count;
  guint max_per_worker; /* 0 for any number */
  const char *label;    /* empty for any worker */
  const char *rack;     /* of the data; empty for none */
  gboolean same_rack;
  gboolean proven;          /* only where the last run succeeded */
  gboolean quick;           /* not on workers that are slow ... */
  ClockMs now;              /* ... at this time */
  gboolean anywhere;        /* neither rack need be kept to */
  const PoolWorker *not_on; /* NULL for none */
} FitRequest;

gboolean fit_place (const FitRequest *rq,
                    FitWorker *workers,
                    guint n,
                    PoolWorker **chosen);
gboolean
fit_could_ever (const FitRequest *rq, const FitWorker *workers, guint n);
gboolean fit_allows (const FitRequest *rq, const PoolWorker *w);

#endif
