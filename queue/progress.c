#include "progress.h"

#include <string.h>

enum
{
  BITS_PER_BYTE = 8
};

/* Progress of a task at a checkpoint of which it is not known: those that a
   former scheduler stored. */
static const double unknown_percent = 50.0;
static const double full_percent = 100.0;

/* A checkpoint that may be left out of a record. */
typedef struct Candidate
{
  guint i;      /* index of its task in the record */
  gsize bytes;  /* that the record becomes shorter by, at least */
  double worth; /* estimated work that it saves, core-milliseconds per byte */
} Candidate;

/* Adds what is to be stored of TASK to P.  The checkpoint of a placed task is
   not stored: its worker reports it in polls. */
static void
save_task (Progress *p, const WorkStep *step, const WorkTask *task)
{
  ProgressTask *saved;
  gboolean keep = !task->placement && task->checkpoint;
  guint i;

  if (task->done || (!work_task_attempts (task) && !keep))
    return;
  saved = rec_list_add (progress_task_desc (), &p->tasks);
  saved->occurrence = step->occurrence;
  saved->step = step->number;
  saved->index = task->index;
  for (i = 0; i < work_task_attempts (task); i++)
    {
      ProgressRun *failed = rec_list_add (progress_run_desc (), &saved->failed);

      failed->run = g_array_index (task->failed_runs, gint64, i);
    }
  if (keep)
    rec_set_str (&saved->checkpoint, task->checkpoint);
}

static void
save_step (Progress *p, const WorkStep *step)
{
  guint8 *bits;
  ProgressStep *saved;
  gsize n;
  guint i;

  for (i = 0; i < work_step_n_units (step); i++)
    save_task (p, step, &step->tasks[i]);
  if (step->n_done == 0)
    return;
  n = (work_step_n_units (step) + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
  bits = g_malloc0 (n);
  for (i = 0; i < work_step_n_units (step); i++)
    if (step->tasks[i].done)
      bits[i / BITS_PER_BYTE] |= (guint8)(1U << i % BITS_PER_BYTE);
  saved = rec_list_add (progress_step_desc (), &p->steps);
  saved->occurrence = step->occurrence;
  saved->step = step->number;
  saved->done = g_bytes_new_take (bits, n);
}

/* Returns the estimated work, in core-milliseconds, that the checkpoint of TASK
   saves. */
static double
saved_work (const WorkTask *task)
{
  const SpecStep *spec = task->step->spec;
  double percent = task->checkpoint_percent > 0.0 ? task->checkpoint_percent
                                                  : unknown_percent;
  guint n = spec->gang ? 1 : (guint)spec->count;

  return spec_step_core_ms (spec) / (double)n * percent / full_percent;
}

/* Returns by how many bytes a record becomes shorter without the checkpoint of
   SAVED, or without all of SAVED if nothing else is in it. */
static gsize
checkpoint_bytes (const ProgressTask *saved)
{
  GBytes *packed;
  gsize n;

  if (saved->failed.n)
    return strlen (saved->checkpoint);
  packed = rec_pack (progress_task_desc (), saved);
  n = g_bytes_get_size (packed);
  g_bytes_unref (packed);
  return n;
}

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->worth != y->worth)
    return x->worth < y->worth ? -1 : 1;
  return x->i > y->i ? -1 : x->i < y->i;
}

/* Returns the checkpoints in P, the record of JOB, as an array of Candidate;
   those that save the least work for their length come first. */
static GArray *
list_candidates (const WorkJob *job, const Progress *p)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  guint i;

  for (i = 0; i < p->tasks.n; i++)
    {
      const ProgressTask *saved =
          rec_list_at (progress_task_desc (), &p->tasks, i);
      const WorkStep *step =
          work_job_step (job, (guint)saved->occurrence, (guint)saved->step);
      Candidate c = { .i = i };

      if (!*saved->checkpoint)
        continue;
      c.bytes = checkpoint_bytes (saved);
      c.worth = saved_work (&step->tasks[saved->index]) / (double)c.bytes;
      g_array_append_val (candidates, c);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

/* Removes the tasks from P of which nothing is left. */
static void
remove_empty_tasks (Progress *p)
{
  guint n = 0;
  guint i;

  for (i = 0; i < p->tasks.n; i++)
    {
      ProgressTask *saved = rec_list_at (progress_task_desc (), &p->tasks, i);
      ProgressTask *to = rec_list_at (progress_task_desc (), &p->tasks, n);

      if (!saved->failed.n && !*saved->checkpoint)
        {
          rec_clear (progress_task_desc (), saved);
          continue;
        }
      if (to != saved)
        *to = *saved;
      n++;
    }
  p->tasks.n = n;
}

/* Makes P, the record of JOB, shorter by N_BYTES, or as far as possible, by
   leaving out checkpoints, and returns how many.  A task without one starts
   anew. */
static guint
leave_out_checkpoints (const WorkJob *job, Progress *p, gsize n_bytes)
{
  GArray *candidates = list_candidates (job, p);
  gsize n = 0;
  guint i;

  for (i = 0; i < candidates->len && n < n_bytes; i++)
    {
      const Candidate *c = &g_array_index (candidates, Candidate, i);
      ProgressTask *saved =
          rec_list_at (progress_task_desc (), &p->tasks, c->i);

      rec_set_str (&saved->checkpoint, NULL);
      n += c->bytes;
    }
  g_array_unref (candidates);
  remove_empty_tasks (p);
  return i;
}

/* Returns the progress of JOB, serialized for the store.  WALL is the Unix time
   in milliseconds.  A record of more than MAX_BYTES, unless that is 0, lacks
   the checkpoints that save the least work, and *N_LEFT_OUT is set to their
   number; what has ended and failed is always in it, so that it may still be
   too long. */
GBytes *
progress_pack (const WorkJob *job,
               ClockMs wall,
               gsize max_bytes,
               guint *n_left_out)
{
  Progress *p = rec_new (progress_desc ());
  WorkStep *step;
  GBytes *packed;

  p->state = job->state;
  p->ended_ms = spec_state_is_final (job->state) ? wall : 0;
  if (!spec_state_is_final (job->state))
    APR_RING_FOREACH (step, &job->steps, WorkStep, link)
      save_step (p, step);
  *n_left_out = 0;
  packed = rec_pack (progress_desc (), p);
  if (max_bytes && g_bytes_get_size (packed) > max_bytes)
    {
      *n_left_out =
          leave_out_checkpoints (job, p, g_bytes_get_size (packed) - max_bytes);
      g_bytes_unref (packed);
      packed = rec_pack (progress_desc (), p);
    }
  rec_free (progress_desc (), p);
  return packed;
}
