#include "pace.h"

#include "speed.h"

#include <math.h>
#include <string.h>

enum
{
  MAX_TASKS = 500,      /* XXX nothing is learned from wider steps */
  MIN_SPAN_MS = 600,    /* progress is reported in whole percent */
  MAX_WEIGHT_STEPS = 50 /* a route's values are means of about this many */
};

/* Least progress that allows a measurement. */
static const double min_percent = 8.0;
static const double full_percent = 100.0;

/* Variance of a worker's logarithmic slowness before the first sample: most
   workers are within a quarter of the average. */
static const double initial_variance = 0.05;
/* Added with each sample, so that older ones lose weight. */
static const double drift_variance = 0.0005;

/* Of a route's estimates before the first sample, how many steps these values
   count for, and at least. */
static const double initial_step_variance = 0.5;
static const double initial_task_variance = 0.1;
static const double initial_member_variance = 0.01; /* members do equal work */
static const guint initial_weight = 2;
static const double least_variance = 0.001;

/* Samples that differ more than by a factor of two from the middle one of their
   step have another cause than the worker's pace. */
static const double outlier_limit = G_LN2;

/* A worker is fast or slow when its logarithmic slowness differs from 0 by more
   than this. */
static const double class_limit = 0.08;

/* Initializes M, which has learned nothing. */
void
pace_init (PaceModel *m)
{
  m->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Releases what M holds. */
void
pace_clear (PaceModel *m)
{
  g_hash_table_unref (m->routes);
}

/* Returns what is known of the estimates of the gangs of the route NAME, or of
   its single tasks. */
PaceRoute *
pace_route (PaceModel *m, const char *name, gboolean gang)
{
  PaceRoute *r = g_hash_table_lookup (m->routes, name);

  if (!r)
    {
      r = g_new (PaceRoute, PACE_N_KINDS);
      r[FALSE] = r[TRUE] =
          (PaceRoute) { .n_samples = initial_weight,
                        .step_variance = initial_step_variance,
                        .task_variance = initial_task_variance };
      r[TRUE].task_variance = initial_member_variance;
      g_hash_table_insert (m->routes, g_strdup (name), r);
    }
  return &r[gang ? TRUE : FALSE];
}

/* Returns W's estimate, with its initial variance before the first sample. */
static PoolPace
pace_of (const PoolWorker *w)
{
  PoolPace pace = w->pace;

  if (pace.variance <= 0.0)
    pace.variance = initial_variance;
  return pace;
}

/* Returns how W compares to the average worker. */
PaceClass
pace_class (const PoolWorker *w)
{
  if (w->pace.log_slowness > class_limit)
    return PACE_SLOW;
  return w->pace.log_slowness < -class_limit ? PACE_FAST : PACE_AVERAGE;
}

/* Tells whether PLACEMENT's worker alone sets its pace, as far as is known.  A
   run that began on a cold worker tells nothing of its pace when warm. */
static gboolean
shows_pace (const WorkPlacement *placement, ClockMs now)
{
  const SpecStep *spec = placement->task->step->spec;

  return (placement->state == PLACEMENT_STARTING ||
          placement->state == PLACEMENT_RUNNING) &&
         !placement->pace_measured && placement->from_zero &&
         !speed_is_slow (placement->worker, now) &&
         placement->started_at >= placement->worker->warm_up.ends_at &&
         (!*spec->rack ||
          g_strcmp0 (spec->rack, placement->worker->entry->rack) == 0);
}

/* Tells whether PLACEMENT has come far enough to be measured. */
static gboolean
is_measurable (const WorkPlacement *placement, ClockMs now)
{
  return placement->state == PLACEMENT_RUNNING &&
         now - placement->started_at >= MIN_SPAN_MS &&
         placement->percent >= min_percent && placement->percent < full_percent;
}

/* The measured pace of a run. */
typedef struct Sample
{
  PoolWorker *worker;
  double deviation; /* from what was expected of the route and the worker */
  double variance;  /* of that, within the step */
} Sample;

/* Returns the sample of PLACEMENT, which is measurable.  Its deviation is the
   logarithm of the duration at the pace so far, divided by the estimate, less
   what was expected. */
static Sample
measure (const WorkPlacement *placement, const PaceRoute *r)
{
  double span_ms = (double)(placement->sampled_at - placement->started_at);
  double estimate_ms = (double)placement->task->step->spec->estimate_ms;
  PoolPace pace = pace_of (placement->worker);
  double ratio = span_ms * full_percent / placement->percent / estimate_ms;

  return (Sample) { .worker = placement->worker,
                    .deviation = log (ratio) - r->mean - pace.log_slowness,
                    .variance = pace.variance + r->task_variance };
}

static gboolean
has_worker (const GArray *samples, const PoolWorker *w)
{
  guint i;

  for (i = 0; i < samples->len; i++)
    if (g_array_index (samples, Sample, i).worker == w)
      return TRUE;
  return FALSE;
}

/* Tells whether all runs of STEP that show their worker's pace can be measured
   at NOW.  When one has been reported again since it could be, the others have
   had their turn, and it is measured without them. */
static gboolean
is_ready (const WorkStep *step, ClockMs now)
{
  gboolean all = TRUE;
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      const WorkPlacement *placement = step->tasks[i].placement;

      if (!placement || !shows_pace (placement, now))
        continue;
      if (placement->measurable_at &&
          placement->measurable_at < placement->sampled_at)
        return TRUE;
      all = all && is_measurable (placement, now);
    }
  return all;
}

/* Returns the Samples of STEP's runs, and marks these as measured.  Members of
   a gang that share a worker make the same progress and count once. */
static GArray *
take_samples (WorkStep *step, const PaceRoute *r, ClockMs now)
{
  GArray *samples = g_array_new (FALSE, FALSE, sizeof (Sample));
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      WorkPlacement *placement = step->tasks[i].placement;

      if (!placement || !shows_pace (placement, now) ||
          !is_measurable (placement, now))
        continue;
      placement->pace_measured = TRUE;
      if (!step->spec->gang || !has_worker (samples, placement->worker))
        {
          Sample s = measure (placement, r);

          g_array_append_val (samples, s);
        }
    }
  return samples;
}

static int
compare_samples (gconstpointer a, gconstpointer b)
{
  double x = ((const Sample *)a)->deviation;
  double y = ((const Sample *)b)->deviation;

  return x < y ? -1 : x > y;
}

/* Removes the samples that have another cause than their worker's pace. */
static void
remove_outliers (GArray *samples)
{
  double middle;
  guint i;

  g_array_sort (samples, compare_samples);
  middle = g_array_index (samples, Sample, samples->len / 2).deviation;
  for (i = samples->len; i-- > 0;)
    if (fabs (g_array_index (samples, Sample, i).deviation - middle) >
        outlier_limit)
      g_array_remove_index (samples, i);
}

/* How far a step's tasks deviate together from what was expected: a weighted
   mean, whose weight is the inverse of its variance. */
typedef struct StepDeviation
{
  double sum;
  double weight;
} StepDeviation;

/* Returns the deviation that R and SAMPLES tell. */
static StepDeviation
step_deviation (const PaceRoute *r, const GArray *samples)
{
  StepDeviation d = { .weight = 1.0 / r->step_variance };
  guint i;

  for (i = 0; i < samples->len; i++)
    {
      const Sample *s = &g_array_index (samples, Sample, i);

      d.sum += s->deviation / s->variance;
      d.weight += 1.0 / s->variance;
    }
  return d;
}

/* Corrects the estimate of the worker of S, one of the samples that tell the
   deviation STEP.  S itself must not count in it. */
static void
update_worker (const Sample *s, StepDeviation step)
{
  double weight = step.weight - 1.0 / s->variance;
  double mean = (step.sum - s->deviation / s->variance) / weight;
  PoolPace pace = pace_of (s->worker);
  double gain = pace.variance / (s->variance + 1.0 / weight);

  pace.log_slowness += gain * (s->deviation - mean);
  pace.variance =
      MIN (pace.variance * (1.0 - gain) + drift_variance, initial_variance);
  s->worker->pace = pace;
}

/* Moves VARIANCE towards EXCESS by GAIN. */
static void
update_variance (double *variance, double gain, double excess)
{
  *variance += gain * (MAX (excess, 0.0) - *variance);
  *variance = MAX (*variance, least_variance);
}

/* Moves R's values towards what SAMPLES, of one step that deviates by MEAN,
   show. */
static void
update_route (PaceRoute *r, const GArray *samples, double mean)
{
  double excess = 0.0;
  double gain;
  guint i;

  r->n_samples++;
  gain = 1.0 / (double)MIN (r->n_samples, (guint)MAX_WEIGHT_STEPS);
  for (i = 0; i < samples->len; i++)
    {
      const Sample *s = &g_array_index (samples, Sample, i);
      double rest = s->deviation - mean;

      excess += rest * rest - (s->variance - r->task_variance);
    }
  if (samples->len > 1)
    update_variance (&r->task_variance, gain,
                     excess / (double)(samples->len - 1));
  update_variance (&r->step_variance, gain, mean * mean);
  r->mean += gain * mean;
}

/* Learns from the progress of PLACEMENT's step up to NOW, once per run.  How
   long a task takes depends on how far its route's estimates are off, how far
   this step's is, and on its worker; a Kalman filter tells them apart.  Members
   of a gang do the same work, so that they show best how their workers differ.
 */
void
pace_learn (PaceModel *m, WorkPlacement *placement, ClockMs now)
{
  WorkStep *step = placement->task->step;
  PaceRoute *r;
  GArray *samples;
  StepDeviation deviation;
  guint i;

  placement->sampled_at = now;
  if (step->spec->estimate_ms <= 0 || step->spec->perpetual ||
      step->spec->count > MAX_TASKS || !shows_pace (placement, now) ||
      !is_measurable (placement, now))
    return;
  if (!placement->measurable_at)
    placement->measurable_at = now;
  if (!is_ready (step, now))
    return;
  r = pace_route (m, step->job->entry->job->route, step->spec->gang != 0);
  samples = take_samples (step, r, now);
  remove_outliers (samples);
  deviation = step_deviation (r, samples);
  for (i = 0; i < samples->len; i++)
    update_worker (&g_array_index (samples, Sample, i), deviation);
  update_route (r, samples, deviation.sum / deviation.weight);
  m->changed = TRUE;
  g_array_unref (samples);
}
