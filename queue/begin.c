#include "dispatch_state.h"

/* What the time from a job's acceptance to its first running task went into. */

/* Notes that workers were chosen for tasks of JOB. */
void
begin_on_chosen (Dispatch *d, WorkJob *job)
{
  if (!job->chosen_at)
    job->chosen_at = d->now;
}

/* Notes that a start order of TASK was sent. */
void
begin_on_sent (Dispatch *d, WorkTask *task)
{
  task->step->job->sent_at = d->now;
}

static void
log_begun (Dispatch *d, const WorkStep *step)
{
  const WorkJob *job = step->job;
  ClockMs accepted_at = job->accepted_at;

  effects_log (d->fx,
               "event=begun job=%s priority=%" G_GINT64_FORMAT
               " tasks=%" G_GINT64_FORMAT " seen_ms=%" CLOCK_MS_FORMAT
               " chosen_ms=%" CLOCK_MS_FORMAT " sent_ms=%" CLOCK_MS_FORMAT
               " confirmed_ms=%" CLOCK_MS_FORMAT,
               job->entry->id, job->entry->job->priority, step->spec->count,
               job->known_since - accepted_at, job->chosen_at - accepted_at,
               job->sent_at - accepted_at, d->now - accepted_at);
}

/* Notes that the worker of TASK has confirmed its start.  Logs the times of its
   job once all tasks of the first step have been confirmed. */
void
begin_on_confirmed (Dispatch *d, WorkTask *task)
{
  WorkJob *job = task->step->job;

  if (task->confirmed || task->step->occurrence || task->step->number)
    return;
  task->confirmed = TRUE;
  if (++job->n_confirmed == task->step->spec->count && job->chosen_at)
    log_begun (d, task->step);
}
