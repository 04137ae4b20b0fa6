#include "pass.h"

/* The room of each service, as a placement pass finds it. */

static ServiceRoom *
room_of_worker (const Dispatch *d, const PoolWorker *w)
{
  return &service_get (d->services, w->entry->service)->room;
}

/* Adds ROOM to TOTAL, where what is overcommitted counts as full. */
static void
add_free (PoolResources *total, const PoolResources *room)
{
  total->cpu_milli += MAX (room->cpu_milli, 0);
  total->mem_mb += MAX (room->mem_mb, 0);
  total->accelerators += MAX (room->accelerators, 0);
}

/* Sums up, by service, the capacity of D's workers that are heard, and what is
   used and free of it. */
void
room_sum_heard (Dispatch *d)
{
  Service *s;
  guint i;

  APR_RING_FOREACH (s, &d->services->all, Service, link)
    s->room.total = s->room.used = s->room.free = (PoolResources) { 0 };
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);
      PoolResources available = pool_available (w);
      ServiceRoom *room = room_of_worker (d, w);

      if (!assign_is_heard (w))
        continue;
      pool_resources_add (&room->total, &w->entry->capacity);
      pool_resources_add (&room->used, &w->used);
      add_free (&room->free, &available);
    }
}

/* Raises each resource of MAX to at least that of ROOM. */
static void
raise_to_max (PoolResources *max, const PoolResources *room)
{
  max->cpu_milli = MAX (max->cpu_milli, room->cpu_milli);
  max->mem_mb = MAX (max->mem_mb, room->mem_mb);
  max->accelerators = MAX (max->accelerators, room->accelerators);
}

/* Finds the largest amounts of each resource on any worker in service of each
   service. */
static void
find_largest (Dispatch *d)
{
  Service *s;
  guint i;

  APR_RING_FOREACH (s, &d->services->all, Service, link)
    s->room.largest = (PoolResources) { 0 };
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);

      if (!w->evacuated)
        raise_to_max (&room_of_worker (d, w)->largest, &w->entry->capacity);
    }
}

/* Counts W, which is usable, in ROOM, that of its service. */
static void
count_worker (const Dispatch *d, ServiceRoom *room, const PoolWorker *w)
{
  PoolResources available = pool_available (w);
  double free = reserve_free_fraction (&available, &room->largest);

  if (w->quarantined_until > d->now)
    {
      room->has_quarantined = TRUE;
      return;
    }
  room->n_usable++;
  if (cold_time_left (w, d->now) > 0)
    {
      room->n_cold++;
      room->free_cold += free;
    }
  else
    room->free_workers += free;
}

/* Counts the cold workers of ROOM with the others if there are no others. */
static void
separate_cold (ServiceRoom *room)
{
  room->cold_is_apart = room->n_cold > 0 && room->n_cold < room->n_usable;
  if (room->cold_is_apart)
    return;
  room->free_workers += room->free_cold;
  room->n_cold = 0;
  room->free_cold = 0.0;
}

/* Counts, by service, D's usable workers, how much of them is free, and how
   much is kept for urgent work. */
void
room_count_usable (Dispatch *d)
{
  Service *s;
  guint i;

  find_largest (d);
  APR_RING_FOREACH (s, &d->services->all, Service, link)
    {
      s->room.n_usable = 0;
      s->room.has_quarantined = FALSE;
      s->room.n_cold = 0;
      s->room.free_cold = 0.0;
      s->room.free_workers = 0.0;
    }
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);

      if (assign_is_usable (d, w))
        count_worker (d, room_of_worker (d, w), w);
    }
  APR_RING_FOREACH (s, &d->services->all, Service, link)
    {
      separate_cold (&s->room);
      s->room.reserved_workers =
          reserve_size (&s->reserve, d->now, s->room.n_usable - s->room.n_cold);
    }
}
