#include "cold.h"

#include <string.h>

/* Cold workers: those that are slow for a time after their start.  After an
   evacuation, a rolling release or the loss of many workers at short notice, a
   whole failure domain is cold and free at once; these decisions keep it from
   being filled with work that would be late there. */

/* Work whose estimate is at least this many times a worker's time left is cold
   for a quarter of its run at most. */
static const ClockMs long_work_factor = 4;

/* Tells whether BOUNDS ask for decisions about cold workers. */
static gboolean
is_enabled (const Bounds *bounds)
{
  return bounds->cold_overage > 0.0 || bounds->cold_slack > 0.0;
}

/* Notes at NOW that W's present entry has been received.  Of the entries of one
   process the one counts by which it is warm first, since an entry that is
   listed again tells the time left as of when it was written. */
void
cold_on_entry (PoolWorker *w, const Bounds *bounds, ClockMs now)
{
  const PoolEntry *e = w->entry;
  ClockMs ends_at = now + e->warm_up_remaining;

  if (!is_enabled (bounds))
    return;
  if (w->warm_up.known && w->warm_up.incarnation == e->incarnation)
    ends_at = MIN (ends_at, w->warm_up.ends_at);
  else if (e->warm_up_remaining <= 0)
    ends_at = 0;
  w->warm_up = (PoolWarmUp) { .known = TRUE,
                              .incarnation = e->incarnation,
                              .ends_at = ends_at };
}

/* Returns for how long W is cold from NOW on, in milliseconds; 0: it is
   warm. */
ClockMs
cold_time_left (const PoolWorker *w, ClockMs now)
{
  return MAX (w->warm_up.ends_at - now, 0);
}

/* Returns the longest time left, in milliseconds, of a worker on which a task
   of STEP is mostly warm. */
ClockMs
cold_longest_suitable (const SpecStep *step)
{
  return step->perpetual ? CLOCK_NEVER : step->estimate_ms / long_work_factor;
}

/* Returns the group of RAMP's workers of W's service in W's domain, or NULL. */
static ColdGroup *
find_group (const ColdRamp *ramp, const PoolWorker *w)
{
  guint i;

  for (i = 0; i < ramp->groups->len; i++)
    {
      ColdGroup *g = g_ptr_array_index (ramp->groups, i);

      if (strcmp (g->service, w->entry->service) == 0 &&
          g_strcmp0 (g->domain, w->entry->domain) == 0)
        return g;
    }
  return NULL;
}

/* Adds W, which is cold, to its group in RAMP. */
static void
add_to_group (ColdRamp *ramp, const PoolWorker *w)
{
  ColdGroup *g = find_group (ramp, w);

  if (!g)
    {
      g = g_new0 (ColdGroup, 1);
      g->service = w->entry->service;
      g->domain = w->entry->domain;
      g_ptr_array_add (ramp->groups, g);
    }
  g->n_workers++;
}

/* Returns how many tasks the cold workers of G may carry: the slack, and the
   overage times what as many warm workers of RAMP carry on average.  Without
   any warm worker there is no average to keep to. */
static double
group_limit (const ColdRamp *ramp, const ColdGroup *g)
{
  guint n_warm = 0;
  guint n_tasks = 0;
  guint i;

  for (i = 0; i < ramp->workers->len; i++)
    {
      const PoolWorker *w = g_ptr_array_index (ramp->workers, i);

      if (cold_time_left (w, ramp->now) > 0 ||
          strcmp (w->entry->service, g->service) != 0)
        continue;
      n_warm++;
      n_tasks += w->n_placements;
    }
  if (n_warm == 0)
    return G_MAXINT32;
  return MIN (ramp->bounds.cold_slack +
                  ramp->bounds.cold_overage * g->n_workers * n_tasks / n_warm,
              G_MAXINT32);
}

/* Counts what RAMP's workers carry now, and how many tasks more its groups may
   take. */
void
cold_ramp_recount (ColdRamp *ramp)
{
  guint i;

  for (i = 0; i < ramp->groups->len; i++)
    ((ColdGroup *)g_ptr_array_index (ramp->groups, i))->n_tasks = 0;
  for (i = 0; i < ramp->workers->len; i++)
    {
      const PoolWorker *w = g_ptr_array_index (ramp->workers, i);
      ColdGroup *g = cold_ramp_find (ramp, w);

      if (g)
        g->n_tasks += w->n_placements;
    }
  for (i = 0; i < ramp->groups->len; i++)
    {
      ColdGroup *g = g_ptr_array_index (ramp->groups, i);
      guint limit = (guint)group_limit (ramp, g);

      g->room = limit - MIN (g->n_tasks, limit);
    }
}

/* Returns the ramp of WORKERS, an array of PoolWorker, at NOW.  Takes ownership
   of WORKERS.  The workers and their entries must outlive the ramp. */
ColdRamp *
cold_ramp_new (GPtrArray *workers, const Bounds *bounds, ClockMs now)
{
  ColdRamp *ramp = g_new0 (ColdRamp, 1);
  guint i;

  ramp->bounds = *bounds;
  ramp->now = now;
  ramp->workers = workers;
  ramp->groups = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < workers->len; i++)
    if (cold_time_left (g_ptr_array_index (workers, i), now) > 0)
      add_to_group (ramp, g_ptr_array_index (workers, i));
  cold_ramp_recount (ramp);
  return ramp;
}

/* Frees RAMP, which may be NULL. */
void
cold_ramp_free (ColdRamp *ramp)
{
  if (!ramp)
    return;
  g_ptr_array_unref (ramp->workers);
  g_ptr_array_unref (ramp->groups);
  g_free (ramp);
}

/* Returns W's group in RAMP; NULL if W is warm or there is no RAMP. */
ColdGroup *
cold_ramp_find (const ColdRamp *ramp, const PoolWorker *w)
{
  return ramp && cold_time_left (w, ramp->now) > 0 ? find_group (ramp, w)
                                                   : NULL;
}

/* Begins to count slots anew in all groups of RAMP, which may be NULL. */
void
cold_ramp_begin_count (const ColdRamp *ramp)
{
  guint i;

  for (i = 0; ramp && i < ramp->groups->len; i++)
    ((ColdGroup *)g_ptr_array_index (ramp->groups, i))->n_counted = 0;
}

/* Counts SLOTS on a worker of GROUP, which is NULL if the worker is warm.
   Returns how many of them the group may still take. */
guint
cold_group_count (ColdGroup *group, guint slots)
{
  guint n;

  if (!group)
    return slots;
  n = MIN (slots, group->room - MIN (group->n_counted, group->room));
  group->n_counted += n;
  return n;
}
