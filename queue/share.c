#include "share.h"

#include <string.h>

/* Returns how many accelerators JOB needs for its unfinished tasks in steps
   that are ready to run, running ones included. */
static gint64
accelerators_needed (const WorkJob *job)
{
  const WorkStep *step;
  gint64 sum = 0;

  APR_RING_FOREACH (step, &job->steps, WorkStep, link)
    if (work_step_is_ready (step))
      sum += (step->spec->count - step->n_done) * step->need.accelerators;
  return sum;
}

/* Sorts jobs by time of acceptance, then id: a job inside the guarantee stays
   inside it whatever is accepted later. */
static int
compare_acceptance (gconstpointer a, gconstpointer b)
{
  const WorkJob *x = *(WorkJob *const *)a;
  const WorkJob *y = *(WorkJob *const *)b;

  if (x->entry->job->accepted_ms != y->entry->job->accepted_ms)
    return x->entry->job->accepted_ms < y->entry->job->accepted_ms ? -1 : 1;
  return strcmp (x->entry->id, y->entry->id);
}

/* Returns the unfinished urgent jobs of JOBS in the order of acceptance, and
   clears the guaranteed mark of all jobs. */
static GPtrArray *
urgent_jobs (struct WorkJobRing *jobs)
{
  GPtrArray *urgent = g_ptr_array_new ();
  WorkJob *job;

  APR_RING_FOREACH (job, jobs, WorkJob, link)
    {
      job->guaranteed = FALSE;
      if (job->entry->job->priority == 0 && !spec_state_is_final (job->state))
        g_ptr_array_add (urgent, job);
    }
  g_ptr_array_sort (urgent, compare_acceptance);
  return urgent;
}

/* Returns a pointer to the accelerators left of WORKSPACE's guarantee; the
   caller subtracts what it uses. */
static gint64 *
remaining_guarantee (GHashTable *remaining,
                     const Conf *conf,
                     const char *workspace)
{
  gint64 *n = g_hash_table_lookup (remaining, workspace);
  const ConfWorkspace *w;

  if (n)
    return n;
  w = conf_find_workspace_by_name (conf, workspace);
  n = g_new (gint64, 1);
  *n = w ? w->guaranteed_accelerators : 0;
  g_hash_table_insert (remaining, (gpointer)workspace, n);
  return n;
}

/* Marks the urgent jobs of JOBS that fit, oldest first, into what CONF
   guarantees their workspace.  When a workspace floods the workers with urgent
   work, this separates the jobs inside its guarantee from those on borrowed
   room, which can be reclaimed. */
void
share_mark_guaranteed (struct WorkJobRing *jobs, const Conf *conf)
{
  GPtrArray *urgent = urgent_jobs (jobs);
  GHashTable *remaining =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint i;

  for (i = 0; i < urgent->len; i++)
    {
      WorkJob *job = g_ptr_array_index (urgent, i);
      gint64 *n =
          remaining_guarantee (remaining, conf, job->entry->job->workspace);
      gint64 need = accelerators_needed (job);

      job->guaranteed = need <= *n;
      if (job->guaranteed)
        *n -= need;
    }
  g_hash_table_unref (remaining);
  g_ptr_array_unref (urgent);
}
