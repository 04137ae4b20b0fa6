#include "rank.h"

/* A job that ends after this many times its objective is of no more use to
   its caller than one that ends much later. */
static const ClockMs late_factor = 3;

enum
{
  /* Of its estimate: a job that begins with less to spare, after its tasks
     have waited for each other, is late. */
  START_MARGIN_SHARE = 4,
  NEARLY_DONE_SHARE = 4
};

enum
{
  BAND_GUARANTEED,
  BAND_URGENT,
  BAND_IN_TIME,
  BAND_LATE,
  BAND_BEYOND
};

static gboolean
has_begun (const WorkStep *step)
{
  return step->n_done + step->n_placements > 0;
}

/* Tells whether STEP, which will be late, is all the same worth as much as a
   new job: what is left of it takes little. */
static gboolean
is_nearly_done (const WorkStep *step)
{
  return work_step_unplaced (step) * NEARLY_DONE_SHARE <=
         (guint)step->spec->count;
}

static guint
band_of (const WorkStep *step, ClockMs now)
{
  const WorkJob *job = step->job;
  ClockMs left = step->spec->estimate_ms;
  ClockMs end = now + left - job->accepted_at;
  ClockMs margin = has_begun (step) ? 0 : left / START_MARGIN_SHARE;

  if (job->guaranteed)
    return BAND_GUARANTEED;
  if (end > late_factor * job->objective)
    return BAND_BEYOND;
  if (job->entry->job->priority == 0)
    return BAND_URGENT;
  if (end + margin > job->objective && !is_nearly_done (step))
    return BAND_LATE;
  return BAND_IN_TIME;
}

/* Returns the estimated work of what STEP has still to start, in
   core-milliseconds. */
static double
work_left (const WorkStep *step)
{
  double tasks = (double)step->spec->count;

  return spec_step_core_ms (step->spec) / tasks * work_step_unplaced (step);
}

/* Returns STEP's key at NOW.  Answers the load of more work than fits:
   what workspaces are guaranteed first, then other urgent jobs, then those
   that can still end in time, and among equals the one whose rest keeps the
   fewest cores from others for each unit of priority: a job that has begun
   is rather finished than left for another. */
RankKey
rank_key (const WorkStep *step, ClockMs now)
{
  double work = work_left (step);
  double weight = 1.0 + (double)step->job->entry->job->priority;

  return (RankKey) { .band = band_of (step, now),
                     .cost = work * weight,
                     .accepted = step->job->accepted_at };
}

/* Compares two keys, like strcmp. */
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
