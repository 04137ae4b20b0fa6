#include "rank.h"

/* A job that takes more than this many times its objective is very late: its
   caller gains nothing from having it a little earlier. */
static const ClockMs very_late_factor = 3;

enum
{
  /* A step that has not started counts as late when less than 1/4 of its
     estimate remains as slack, since its tasks also wait for each other. */
  START_MARGIN_DIVISOR = 4,
  /* A step is nearly done when at most 1/4 of its tasks are left to start. */
  NEARLY_DONE_DIVISOR = 4
};

/* Values of RankKey.band; lower is placed first. */
enum
{
  BAND_GUARANTEED,
  BAND_URGENT,
  BAND_IN_TIME,
  BAND_LATE,
  BAND_VERY_LATE
};

static gboolean
has_started (const WorkStep *step)
{
  return step->n_done + step->n_placements > 0;
}

/* Tells whether so little of STEP is left that it is finished ahead of new
   jobs even though it will be late. */
static gboolean
is_nearly_done (const WorkStep *step)
{
  return work_step_unplaced (step) * NEARLY_DONE_DIVISOR <=
         (guint)step->spec->count;
}

/* Returns STEP's band, from how long its job will have taken by its end if it
   starts at NOW and keeps to its estimate.  A lasting task is worth the same
   however long ago its job was accepted. */
static guint
band_of (const WorkStep *step, ClockMs now)
{
  const WorkJob *job = step->job;
  ClockMs estimate_ms = step->spec->estimate_ms;
  ClockMs duration_ms = now + estimate_ms - job->accepted_at;
  ClockMs margin_ms =
      has_started (step) ? 0 : estimate_ms / START_MARGIN_DIVISOR;

  if (job->guaranteed)
    return BAND_GUARANTEED;
  if (step->spec->perpetual)
    return job->entry->job->priority == 0 ? BAND_URGENT : BAND_IN_TIME;
  if (duration_ms > very_late_factor * job->objective)
    return BAND_VERY_LATE;
  if (job->entry->job->priority == 0)
    return BAND_URGENT;
  if (duration_ms + margin_ms > job->objective && !is_nearly_done (step))
    return BAND_LATE;
  return BAND_IN_TIME;
}

/* Returns the estimated work of STEP's tasks that have not started yet, in
   core-milliseconds. */
static double
remaining_core_ms (const WorkStep *step)
{
  double tasks = (double)step->spec->count;

  return spec_step_core_ms (step->spec) / tasks * work_step_unplaced (step);
}

/* Returns STEP's cost inside its band: its remaining work, weighted by
   priority. A lasting task takes its room for good whenever it starts. */
static double
cost_of (const WorkStep *step)
{
  double weight = 1.0 + (double)step->job->entry->job->priority;

  return step->spec->perpetual ? 0.0 : remaining_core_ms (step) * weight;
}

/* Returns STEP's sort key at NOW.  When there is more work than room, jobs
   inside their workspace's guarantee come first, then other urgent jobs, then
   jobs that can still meet their objective.  Inside a band, the step of the
   least cost comes first, so that a started job is finished rather than left
   for another. */
RankKey
rank_key (const WorkStep *step, ClockMs now)
{
  return (RankKey) { .band = band_of (step, now),
                     .cost = cost_of (step),
                     .accepted = step->job->accepted_at };
}

/* Compares two keys; returns -1, 0 or 1. */
int
rank_compare (const RankKey *a, const RankKey *b)
{
  if (a->band != b->band)
    return a->band < b->band ? -1 : 1;
  if (a->cost != b->cost)
    return a->cost < b->cost ? -1 : 1;
  if (a->accepted != b->accepted)
    return a->accepted < b->accepted ? -1 : 1;
  return 0;
}
