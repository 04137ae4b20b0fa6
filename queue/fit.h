#ifndef FIT_H
#define FIT_H

#include "pool.h"

/* Where tasks go.  Plain functions over the workers' room: they change
   nothing. */

/* A worker as the placement sees it. */
typedef struct FitWorker
{
  PoolWorker *worker;
  PoolResources room; /* what may be taken */
  guint placed;       /* tasks of the request under way */
} FitWorker;

/* How much is asked of a worker's past; each includes those before. */
typedef enum FitTrust
{
  FIT_ANY,
  FIT_QUICK,  /* it is not slow */
  FIT_SOUND,  /* the last run there has not failed */
  FIT_PROVEN, /* a run has gone well there ... */
  FIT_LATELY  /* ... that began after a given time */
} FitTrust;

/* COUNT equal tasks to be placed together. */
typedef struct FitRequest
{
  const char *service;
  PoolResources need;
  guint count;
  guint max_per_worker; /* 0 for any number */
  const char *label;    /* empty for any worker */
  const char *rack;     /* of the data; empty for none */
  gboolean same_rack;
  FitTrust trust;
  ClockMs since; /* with FIT_LATELY */
  ClockMs now;
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
