#include "dispatch_state.h"

/* Lasting steps of which only some tasks may be missing at a time, such as
   services that answer with what is left of them.  Evictions for a burst of
   urgent work would stop most of them at once. */

/* Tells whether PLACEMENT runs and is in neither of the sets, what an eviction
   is going to stop. */
static gboolean
keeps_running (const WorkPlacement *placement,
               GHashTable *victims,
               GHashTable *new_victims)
{
  return placement->state == PLACEMENT_RUNNING &&
         !g_hash_table_contains (victims, placement) &&
         !g_hash_table_contains (new_victims, placement);
}

/* Tells whether an eviction that also stops VICTIMS and NEW_VICTIMS, sets of
   placements, may stop PLACEMENT: enough other tasks of its step go on running.
   A gang stops as a whole. */
gboolean
lasting_may_stop (const WorkPlacement *placement,
                  GHashTable *victims,
                  GHashTable *new_victims)
{
  const WorkStep *step = placement->task->step;
  gint64 n_others = 0;
  guint i;

  if (step->spec->min_running == 0 || step->spec->gang)
    return step->spec->min_running == 0;
  for (i = 0; i < step->spec->count; i++)
    {
      const WorkPlacement *other = step->tasks[i].placement;

      n_others += other && other != placement &&
                  keeps_running (other, victims, new_victims);
    }
  return n_others >= step->spec->min_running;
}
