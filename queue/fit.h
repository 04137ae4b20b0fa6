#ifndef FIT_H
#define FIT_H

#include "cold.h"
#include "pool.h"

/* Chooses workers for tasks by best fit.  Only the FitWorker array passed in
   is changed; the pool itself is not. */

/* A worker as a placement candidate. */
typedef struct FitWorker
{
  PoolWorker *worker;
  PoolResources room; /* still free for placement */
  guint n_placed;     /* tasks of the current step already here */
  ColdGroup *cold;    /* limits tasks on it while it is cold; NULL: nothing */
} FitWorker;

/* How reliable a worker must have been lately; each level includes the ones
   before it. */
typedef enum FitTrust
{
  FIT_ANY,         /* no requirement */
  FIT_NOT_SLOW,    /* the worker is not marked slow */
  FIT_NO_FAILURES, /* and its last run did not fail */
  /* and a run has succeeded there, or made progress and lasted at least
     HEALTHY_RUN_MS (run_list.c) */
  FIT_PROVEN,
  FIT_PROVEN_SINCE /* and that run began at PROVEN_SINCE or later */
} FitTrust;

/* COUNT identical tasks that are placed together. */
typedef struct FitRequest
{
  const char *service;
  PoolResources need;
  guint count;
  guint max_per_worker;  /* 0: no limit */
  const char *label;     /* that the worker must have; empty: none */
  const char *data_rack; /* where the input data is; empty: none */
  gboolean same_rack;    /* all tasks in one rack */
  FitTrust trust;
  gboolean prefer_fast; /* else slow workers are preferred */
  ClockMs proven_since; /* for FIT_PROVEN_SINCE; scheduler clock */
  ClockMs now;
  gboolean ignore_racks;             /* disregard DATA_RACK and SAME_RACK */
  const PoolWorker *excluded_worker; /* NULL: none */
  gboolean allow_quarantined;        /* workers in quarantine may be used */
  ClockMs min_warm_up;               /* least time left: 1 for cold workers */
  ClockMs max_warm_up;               /* longest time left of a cold worker */
  const ColdRamp *ramp;              /* NULL while no worker is cold */
  gboolean beyond_ramp;              /* it does not limit the tasks */
} FitRequest;

gboolean fit_place (const FitRequest *rq,
                    FitWorker *workers,
                    guint n,
                    PoolWorker **chosen);
gboolean fit_feasible (const FitRequest *rq, const FitWorker *workers, guint n);
gboolean fit_is_eligible (const FitRequest *rq, const PoolWorker *w);

#endif
