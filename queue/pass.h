#ifndef PASS_H
#define PASS_H

#include "dispatch_state.h"

/* What the modules of a placement pass share. */

/* State of one placement pass. */
typedef struct Pass
{
  Dispatch *d;
  FitWorker *candidates; /* with room for some waiting task */
  guint n_candidates;
  PoolResources min_need; /* least amount of each resource that a task needs */
  /* Workers with all of their capacity: those in service, and those of
     evacuated domains too; NULL until needed. */
  FitWorker *idle[2];
  guint n_idle[2];
  guint evictions;
  gboolean link_full;  /* the pass stopped short and must be repeated */
  guint batch_left;    /* tasks that are not urgent and may start */
  gboolean batch_held; /* some of them may not start yet */
  ColdRamp *ramp;      /* NULL while no worker is cold */
  /* Work that is not urgent gets only the cold workers that suit it; a second
     round gives it the others. */
  gboolean suitable_only;
  /* Of the step that is being placed. */
  ServiceRoom *room;
  gboolean cold_only;    /* the reserve keeps it from the warm workers */
  guint n_cold_started;  /* of its tasks, in room that counts as cold */
  gboolean beyond_ramp;  /* it may exceed the ramp of cold workers */
  gboolean held_by_ramp; /* only that ramp keeps it from free room */
  /* Lasting and overdue: placed first, however short the link, the processor
     and the room for urgent work are. */
  WorkStep *first;
} Pass;

/* room.c */
void room_sum_heard (Dispatch *d);
void room_count_usable (Dispatch *d);

/* cold_domains.c */
ColdRamp *cold_domains_ramp (const Dispatch *d);

/* delay.c */
void delay_note (Pass *p, WorkStep *step, DelayCause cause);
gboolean delay_is_overdue (const WorkStep *step, ClockMs now);

/* choose.c */
void choose_count_placed (Pass *p, const WorkStep *step);
gboolean choose_for_gang (Pass *p, WorkStep *step, PoolWorker **chosen);
gboolean choose_waits_after_failure (const Pass *p, const WorkTask *task);
gboolean choose_for_task (Pass *p,
                          WorkTask *task,
                          FitTrust min_trust,
                          PoolWorker **chosen);

#endif
