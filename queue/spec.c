#include "spec.h"

/* The weight of an accelerator in cores, in comparisons of work. */
static const double cores_per_accelerator = 8.0;
static const double milli_per_unit = 1000.0;
/* What SpecJob.stretch_milli is counted in. */
static const ClockMs stretch_one = 1000;

REC_DEFINE (SpecAfter, spec_after, SPEC_AFTER_FIELDS)
REC_DEFINE (SpecStep, spec_step, SPEC_STEP_FIELDS)
REC_DEFINE (SpecJob, spec_job, SPEC_JOB_FIELDS)
REC_DEFINE (ProgressRun, progress_run, PROGRESS_RUN_FIELDS)
REC_DEFINE (ProgressStep, progress_step, PROGRESS_STEP_FIELDS)
REC_DEFINE (ProgressTask, progress_task, PROGRESS_TASK_FIELDS)
REC_DEFINE (Progress, progress, PROGRESS_FIELDS)
REC_DEFINE (PaceWorkerRecord, pace_worker_record, PACE_WORKER_RECORD_FIELDS)
REC_DEFINE (PaceRouteRecord, pace_route_record, PACE_ROUTE_RECORD_FIELDS)
REC_DEFINE (SilentWorker, silent_worker, SILENT_WORKER_FIELDS)
REC_DEFINE (LongLease, long_lease, LONG_LEASE_FIELDS)
REC_DEFINE (LateStart, late_start, LATE_START_FIELDS)
REC_DEFINE (GivenLeases, given_leases, GIVEN_LEASES_FIELDS)
REC_DEFINE (PaceRecord, pace_record, PACE_RECORD_FIELDS)
REC_DEFINE (WaitingRoute, waiting_route, WAITING_ROUTE_FIELDS)
REC_DEFINE (WaitingCounts, waiting_counts, WAITING_COUNTS_FIELDS)
REC_DEFINE (RosterWorker, roster_worker, ROSTER_WORKER_FIELDS)
REC_DEFINE (Roster, roster, ROSTER_FIELDS)

/* Returns whether STATE is final. */
gboolean
spec_state_is_final (JobState state)
{
  return state == JOB_COMPLETED || state == JOB_FAILED ||
         state == JOB_CANCELLED;
}

/* Returns the name of STATE in answers and logs. */
const char *
spec_state_name (JobState state)
{
#define JOB_STATE_NAME(kind, name) [kind] = name,
  static const char *const names[] = { JOB_STATES (JOB_STATE_NAME) };

  return names[state];
}

/* Returns the step of JOB with the index STEP. */
const SpecStep *
spec_job_step (const SpecJob *job, guint step)
{
  return rec_list_at (spec_step_desc (), &job->steps, step);
}

/* Returns the index of the I-th step that STEP depends on. */
guint
spec_step_after (const SpecStep *step, guint i)
{
  const SpecAfter *after = rec_list_at (spec_after_desc (), &step->after, i);

  return (guint)after->step;
}

/* Returns the number of JOB's occurrences, at least 1. */
guint
spec_job_occurrences (const SpecJob *job)
{
  return job->run_count > 0 ? (guint)job->run_count : 1;
}

static void
check_after (const SpecJob *job, guint number, Findings *findings)
{
  const SpecStep *step = spec_job_step (job, number);
  char *place = g_strdup_printf ("steps[%u].after", number);
  guint i;

  for (i = 0; i < step->after.n; i++)
    if (spec_step_after (step, i) >= number)
      findings_add (findings, place, "step %u is not an earlier step",
                    spec_step_after (step, i));
  g_free (place);
}

/* Validates JOB, first the ranges of its fields, then what relates them, and
   adds the errors to FINDINGS. */
void
spec_job_check (const SpecJob *job, Findings *findings)
{
  gint64 tasks = 0;
  guint i;

  if (!rec_check (spec_job_desc (), job, "job", findings))
    return;
  for (i = 0; i < job->steps.n; i++)
    {
      tasks += spec_job_step (job, i)->count;
      check_after (job, i, findings);
    }
  if (tasks > SPEC_MAX_TASKS)
    findings_add (findings, "steps", "more than %d tasks", SPEC_MAX_TASKS);
}

/* Returns the estimated duration of JOB's critical path, the longest chain of
   dependent steps, in milliseconds. */
ClockMs
spec_job_critical_path_ms (const SpecJob *job)
{
  ClockMs *ends = g_new0 (ClockMs, job->steps.n);
  ClockMs longest = 0;
  guint i, k;

  for (i = 0; i < job->steps.n; i++)
    {
      const SpecStep *step = spec_job_step (job, i);

      for (k = 0; k < step->after.n; k++)
        ends[i] = MAX (ends[i], ends[spec_step_after (step, k)]);
      ends[i] += step->estimate_ms;
      longest = MAX (longest, ends[i]);
    }
  g_free (ends);
  return longest;
}

/* Returns the target time from JOB's acceptance to its completion, in
   milliseconds. */
ClockMs
spec_job_objective (const SpecJob *job)
{
  return job->stretch_milli * spec_job_critical_path_ms (job) / stretch_one +
         job->target_ms;
}

/* Returns the size of CPU_MILLI thousandths of a core and ACCELERATORS in
   cores; an accelerator counts as cores_per_accelerator. */
double
spec_cores (gint64 cpu_milli, gint64 accelerators)
{
  return (double)cpu_milli / milli_per_unit +
         cores_per_accelerator * (double)accelerators;
}

/* Returns how many cores one task of STEP takes, as spec_cores counts them. */
double
spec_step_cores (const SpecStep *step)
{
  return spec_cores (step->cpu_milli, step->accelerators);
}

/* Returns the estimated work of all tasks of STEP, in core-milliseconds. */
double
spec_step_core_ms (const SpecStep *step)
{
  return spec_step_cores (step) * (double)step->estimate_ms *
         (double)step->count;
}

/* Deserializes VALUE, a record of type D.  Returns NULL when it is malformed;
   otherwise the caller frees the record. */
void *
spec_unpack (const RecDesc *d, GBytes *value)
{
  void *rec = rec_new (d);
  Findings findings;
  gsize n;
  gconstpointer data = g_bytes_get_data (value, &n);

  findings_init (&findings);
  if (!rec_unpack (d, rec, data, n, &findings))
    {
      rec_free (d, rec);
      rec = NULL;
    }
  findings_clear (&findings);
  return rec;
}
