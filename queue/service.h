#ifndef SERVICE_H
#define SERVICE_H

#include "failure_spike.h"
#include "reserve.h"

/* What the scheduler counts for each service by itself.  A step runs only on
   the workers of its service; what those of others have free tells nothing
   about it. */

/* The room of a service's workers.  Numbers of workers are counted in workers
   as large as the largest one. */
typedef struct ServiceRoom
{
  /* Of the workers that are heard, at the last pass: */
  PoolResources total; /* their capacity */
  PoolResources used;  /* of it, in use */
  PoolResources free;  /* of it, free for placement, on any worker */
  /* At the last pass in which a step waited: */
  PoolResources largest;    /* largest amount of each resource on any worker */
  guint n_usable;           /* usable workers, out of quarantine */
  gboolean has_quarantined; /* some usable worker is in quarantine */
  /* Some usable workers are cold and others are not: urgent work then finds its
     room on the warm ones, and what is free on the cold ones counts apart. */
  gboolean cold_is_apart;
  guint n_cold;            /* usable workers that are cold */
  double free_cold;        /* with COLD_IS_APART: their free room */
  double free_workers;     /* free room of the other usable workers */
  double reserved_workers; /* of it, the part kept for urgent work */
} ServiceRoom;

typedef struct Service
{
  APR_RING_ENTRY (Service) link;
  char *name;
  Reserve reserve;
  FailureSpike failure_spike; /* of the runs on its workers */
  ServiceRoom room;
  guint n_reserve_delayed; /* tasks that wait for reserved room */
} Service;

typedef struct ServiceTable
{
  GHashTable *by_name; /* name to Service, which it owns */
  APR_RING_HEAD (ServiceRing, Service) all;
} ServiceTable;

ServiceTable *service_table_new (void);
void service_table_free (ServiceTable *t);
Service *service_get (ServiceTable *t, const char *name);
gboolean service_any_failure_spike (const ServiceTable *t);
ServiceRoom service_total_room (const ServiceTable *t);

#endif
