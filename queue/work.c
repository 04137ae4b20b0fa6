#include "work.h"

#include <string.h>

enum
{
  BITS_PER_BYTE = 8,
  /* Of a job, in the occurrences that were added: each pass goes over them. */
  MAX_OPEN_STEPS = 2000
};

static WorkStep *
step_new (WorkJob *job, guint occurrence, guint number)
{
  WorkStep *step = g_new0 (WorkStep, 1);
  const SpecStep *spec = spec_job_step (job->entry->job, number);
  guint i;

  step->job = job;
  step->spec = spec;
  step->occurrence = occurrence;
  step->number = number;
  step->need = (PoolResources) { .cpu_milli = spec->cpu_milli,
                                 .mem_mb = spec->mem_mb,
                                 .accelerators = spec->accelerators };
  step->tasks = g_new0 (WorkTask, spec->count);
  for (i = 0; i < spec->count; i++)
    {
      step->tasks[i].step = step;
      step->tasks[i].index = i;
    }
  APR_RING_INSERT_TAIL (&job->steps, step, WorkStep, link);
  g_ptr_array_add (job->steps_by_number, step);
  job->steps_left++;
  return step;
}

static void
restore_task (WorkJob *job, const ProgressTask *saved)
{
  WorkStep *step;
  WorkTask *task;
  guint i;

  work_job_add_occurrences_to (job, (guint)saved->occurrence);
  step = work_job_step (job, (guint)saved->occurrence, (guint)saved->step);
  if (!step || saved->index >= step->spec->count)
    return;
  task = &step->tasks[saved->index];
  for (i = 0; i < saved->failed.n; i++)
    {
      const ProgressRun *failed =
          rec_list_at (progress_run_desc (), &saved->failed, i);

      work_task_add_failure (task, failed->run);
    }
  work_task_set_checkpoint (task, saved->checkpoint);
}

static void
restore_step (WorkJob *job, const ProgressStep *saved)
{
  WorkStep *step;
  const guint8 *bits;
  gsize n = 0;
  guint i;

  work_job_add_occurrences_to (job, (guint)saved->occurrence);
  step = work_job_step (job, (guint)saved->occurrence, (guint)saved->step);
  if (!step || !saved->done)
    return;
  bits = g_bytes_get_data (saved->done, &n);
  for (i = 0; i < work_step_n_units (step) && i / BITS_PER_BYTE < n; i++)
    if (bits[i / BITS_PER_BYTE] & 1U << i % BITS_PER_BYTE)
      work_task_set_done (&step->tasks[i]);
}

/* Returns the state of ENTRY's job, restored from its stored progress.  NOW is
   the scheduler's clock, WALL the Unix time in milliseconds. */
WorkJob *
work_job_new (JobEntry *entry, ClockMs now, ClockMs wall)
{
  const SpecJob *spec = entry->job;
  WorkJob *job = g_new0 (WorkJob, 1);
  guint i;

  job->entry = entry;
  job->known_since = now;
  APR_RING_INIT (&job->steps, WorkStep, link);
  job->steps_by_number = g_ptr_array_new ();
  job->state = entry->progress ? (JobState)entry->progress->state : JOB_QUEUED;
  job->accepted_at =
      now - CLAMP (wall - spec->accepted_ms, 0, (ClockMs)G_MAXINT32);
  job->objective = spec_job_objective (spec);
  work_job_add_due (job, wall);
  for (i = 0; entry->progress && i < entry->progress->steps.n; i++)
    restore_step (job, rec_list_at (progress_step_desc (),
                                    &entry->progress->steps, i));
  for (i = 0; entry->progress && i < entry->progress->tasks.n; i++)
    restore_task (job, rec_list_at (progress_task_desc (),
                                    &entry->progress->tasks, i));
  return job;
}

static void
step_free (WorkStep *step)
{
  guint i;

  for (i = 0; i < step->spec->count; i++)
    {
      if (step->tasks[i].placement)
        work_placement_free (step->tasks[i].placement);
      g_free (step->tasks[i].checkpoint);
      if (step->tasks[i].failed_runs)
        g_array_unref (step->tasks[i].failed_runs);
    }
  g_free (step->tasks);
  g_free (step);
}

/* Frees JOB with its steps, tasks and placements. */
void
work_job_free (WorkJob *job)
{
  WorkStep *step, *next;

  APR_RING_FOREACH_SAFE (step, next, &job->steps, WorkStep, link)
    step_free (step);
  g_ptr_array_unref (job->steps_by_number);
  g_free (job);
}

/* Returns the Unix time in milliseconds at which JOB's next occurrence is due,
   0 for a job that runs once, and CLOCK_NEVER when none is left. */
ClockMs
work_job_next_due (const WorkJob *job)
{
  const SpecJob *spec = job->entry->job;

  if (job->next_occurrence >= spec_job_occurrences (spec))
    return CLOCK_NEVER;
  if (spec->run_count == 0)
    return 0;
  return spec->first_run_ms + job->next_occurrence * spec->interval_ms;
}

static void
add_next_occurrence (WorkJob *job)
{
  guint i;

  for (i = 0; i < job->entry->job->steps.n; i++)
    step_new (job, job->next_occurrence, i);
  job->next_occurrence++;
}

/* Adds the steps of the occurrences that are due at WALL, in Unix milliseconds,
   while less than MAX_OPEN_STEPS are not done.  Returns whether there were
   any. */
gboolean
work_job_add_due (WorkJob *job, ClockMs wall)
{
  gboolean any = FALSE;

  while (work_job_next_due (job) <= wall && job->steps_left < MAX_OPEN_STEPS)
    {
      add_next_occurrence (job);
      any = TRUE;
    }
  return any;
}

/* Adds the steps of all occurrences up to OCCURRENCE, even if they are not
   due yet by this clock: the previous scheduler, whose clock may be ahead,
   found them due. */
void
work_job_add_occurrences_to (WorkJob *job, guint occurrence)
{
  while (job->next_occurrence <= occurrence &&
         job->next_occurrence < spec_job_occurrences (job->entry->job))
    add_next_occurrence (job);
}

/* Returns step NUMBER of JOB's OCCURRENCE, or NULL when that is not due. */
WorkStep *
work_job_step (const WorkJob *job, guint occurrence, guint number)
{
  guint n_steps = job->entry->job->steps.n;
  guint64 i = (guint64)occurrence * n_steps + number;

  return number < n_steps && i < job->steps_by_number->len
             ? g_ptr_array_index (job->steps_by_number, i)
             : NULL;
}

/* Returns whether every task of every occurrence of JOB has succeeded. */
gboolean
work_job_is_complete (const WorkJob *job)
{
  return job->steps_left == 0 &&
         job->next_occurrence >= spec_job_occurrences (job->entry->job);
}

/* Returns whether TASK belongs to an urgent job. */
gboolean
work_task_is_urgent (const WorkTask *task)
{
  return task->step->job->entry->job->priority == 0;
}

/* Returns how many tasks of STEP complete separately: a gang completes as
   one unit. */
guint
work_step_n_units (const WorkStep *step)
{
  return step->spec->gang ? 1 : (guint)step->spec->count;
}

/* Returns how many tasks of STEP are neither done nor placed. */
guint
work_step_unplaced (const WorkStep *step)
{
  return (guint)step->spec->count - step->n_done - step->n_placements;
}

/* Returns whether all tasks of STEP have succeeded. */
gboolean
work_step_is_done (const WorkStep *step)
{
  return step->n_done == step->spec->count;
}

/* Returns whether STEP is not done, but all steps that it depends on are. */
gboolean
work_step_is_ready (const WorkStep *step)
{
  guint i;

  if (work_step_is_done (step))
    return FALSE;
  for (i = 0; i < step->spec->after.n; i++)
    {
      const WorkStep *before = work_job_step (step->job, step->occurrence,
                                              spec_step_after (step->spec, i));

      if (!before || !work_step_is_done (before))
        return FALSE;
    }
  return TRUE;
}

static void
set_done (WorkTask *task)
{
  WorkStep *step = task->step;

  if (task->done)
    return;
  task->done = TRUE;
  step->n_done++;
  if (work_step_is_done (step))
    step->job->steps_left--;
}

/* Marks TASK as done; for a gang, marks all of its tasks.  A perpetual task is
   never done: it must be started again however it ends. */
void
work_task_set_done (WorkTask *task)
{
  WorkStep *step = task->step;
  guint i;

  if (step->spec->perpetual)
    return;
  if (!step->spec->gang)
    {
      set_done (task);
      return;
    }
  for (i = 0; i < step->spec->count; i++)
    set_done (&step->tasks[i]);
}

/* Returns the task that holds the failures and the checkpoint of TASK: the
   first task of its gang, or TASK itself. */
static WorkTask *
shared_state_of (WorkTask *task)
{
  return task->step->spec->gang ? &task->step->tasks[0] : task;
}

/* Tells whether TASK may fail only so often.  The failed runs of one
   that always starts again are not counted: their number has no bound. */
gboolean
work_task_limits_attempts (const WorkTask *task)
{
  return !task->step->spec->perpetual &&
         task->step->job->entry->job->attempts > 0;
}

/* Adds RUN to the failed runs of TASK.  Returns FALSE if it is one already, or
   if they are not counted, see work_task_limits_attempts. */
gboolean
work_task_add_failure (WorkTask *task, gint64 run)
{
  WorkTask *owner = shared_state_of (task);
  guint i;

  if (!work_task_limits_attempts (task))
    return FALSE;
  if (!owner->failed_runs)
    owner->failed_runs = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (i = 0; i < owner->failed_runs->len; i++)
    if (g_array_index (owner->failed_runs, gint64, i) == run)
      return FALSE;
  g_array_append_val (owner->failed_runs, run);
  return TRUE;
}

/* Returns how many runs of TASK have failed. */
guint
work_task_attempts (const WorkTask *task)
{
  const WorkTask *owner = shared_state_of ((WorkTask *)task);

  return owner->failed_runs ? owner->failed_runs->len : 0;
}

/* Records that TASK failed, or stalled, on W at NOW. */
void
work_task_set_failed_on (WorkTask *task, PoolWorker *w, ClockMs now)
{
  task->failed_on = w;
  task->last_failure_at = now;
}

/* Sets the checkpoint from which the next run of TASK continues.  Ignores NULL,
   the empty string and one that is too long to be stored. */
void
work_task_set_checkpoint (WorkTask *task, const char *checkpoint)
{
  WorkTask *owner = shared_state_of (task);

  if (!checkpoint || !*checkpoint ||
      strlen (checkpoint) > SPEC_MAX_CHECKPOINT ||
      g_strcmp0 (owner->checkpoint, checkpoint) == 0)
    return;
  g_free (owner->checkpoint);
  owner->checkpoint = g_strdup (checkpoint);
  owner->checkpoint_percent = task->placement ? task->placement->percent : 0;
}

/* Returns the name that identifies TASK in calls to workers,
   "JOB.OCCURRENCE.STEP.INDEX"; the caller frees it. */
char *
work_task_name (const WorkTask *task)
{
  const WorkStep *step = task->step;

  return g_strdup_printf ("%s.%u.%u.%u", step->job->entry->id, step->occurrence,
                          step->number, task->index);
}

/* Parses NAME, a task's name.  Returns FALSE when it is malformed; otherwise
   the caller frees ID, the job's. */
gboolean
work_name_parse (const char *name,
                 char **id,
                 guint *occurrence,
                 guint *step,
                 guint *index)
{
  char **words = g_strsplit (name, ".", -1);
  guint *const numbers[] = { occurrence, step, index };
  gboolean ok = g_strv_length (words) == 1 + G_N_ELEMENTS (numbers);
  guint i;

  for (i = 0; ok && i < G_N_ELEMENTS (numbers); i++)
    {
      guint64 value;

      ok = g_ascii_string_to_unsigned (words[i + 1], 10, 0, G_MAXINT32, &value,
                                       NULL);
      *numbers[i] = ok ? (guint)value : 0;
    }
  *id = ok ? g_strdup (words[0]) : NULL;
  g_strfreev (words);
  return ok;
}

/* Returns the task called NAME, or NULL when the scheduler has no state of
   its job. */
WorkTask *
work_find_task (const JobCache *job_cache, const char *name)
{
  guint occurrence, number, index;
  JobEntry *entry;
  WorkStep *step;
  char *id;

  if (!work_name_parse (name, &id, &occurrence, &number, &index))
    return NULL;
  entry = job_cache_find (job_cache, id);
  g_free (id);
  if (!entry || !entry->scheduler_job)
    return NULL;
  work_job_add_occurrences_to (entry->scheduler_job, occurrence);
  step = work_job_step (entry->scheduler_job, occurrence, number);
  return step && index < step->spec->count ? &step->tasks[index] : NULL;
}

/* Places TASK on WORKER and returns the placement.  What the task needs is
   counted as reserved in PLACEMENT_RESERVED, as used in any other STATE. */
WorkPlacement *
work_placement_new (WorkTask *task,
                    PoolWorker *worker,
                    gint64 run,
                    PlacementState state)
{
  WorkPlacement *placement = g_new0 (WorkPlacement, 1);

  placement->task = task;
  placement->worker = worker;
  placement->run = run;
  placement->state = state;
  placement->seen_state = N_PLACEMENT_STATES;
  placement->retry_at = CLOCK_NEVER;
  pool_resources_add (state == PLACEMENT_RESERVED ? &worker->reserved
                                                  : &worker->used,
                      &task->step->need);
  APR_RING_INSERT_TAIL (&worker->placements, placement, WorkPlacement,
                        on_worker);
  worker->n_placements++;
  task->placement = placement;
  task->last_run = MAX (task->last_run, run);
  task->step->n_placements++;
  task->step->job->n_placements++;
  return placement;
}

/* Sets the state of PLACEMENT.  When it is no longer reserved, its resources
   count as used. */
void
work_placement_set_state (WorkPlacement *placement, PlacementState state)
{
  const PoolResources *need = &placement->task->step->need;

  if (placement->state == PLACEMENT_RESERVED && state != PLACEMENT_RESERVED)
    {
      pool_resources_subtract (&placement->worker->reserved, need);
      pool_resources_add (&placement->worker->used, need);
    }
  placement->state = state;
}

/* Returns the name of STATE, for logs and metrics. */
const char *
work_placement_state_name (PlacementState state)
{
  static const char *const names[N_PLACEMENT_STATES] = {
    [PLACEMENT_RESERVED] = "reserved",
    [PLACEMENT_STARTING] = "starting",
    [PLACEMENT_RUNNING] = "running",
    [PLACEMENT_STOPPING] = "stopping",
  };

  return names[state];
}

/* Frees PLACEMENT and releases its resources on the worker. */
void
work_placement_free (WorkPlacement *placement)
{
  WorkTask *task = placement->task;

  pool_resources_subtract (placement->state == PLACEMENT_RESERVED
                               ? &placement->worker->reserved
                               : &placement->worker->used,
                           &task->step->need);
  APR_RING_REMOVE (placement, on_worker);
  placement->worker->n_placements--;
  task->placement = NULL;
  task->step->n_placements--;
  task->step->job->n_placements--;
  g_free (placement);
}
