#ifndef WORK_H
#define WORK_H

#include "job_cache.h"
#include "pool.h"

/* The scheduler's view of jobs: each occurrence of each step has tasks, and
   a task has at most one part, its presence on a worker. */

typedef struct WorkJob WorkJob;
typedef struct WorkStep WorkStep;
typedef struct WorkTask WorkTask;

typedef enum PartState
{
  PART_CLAIM,    /* waits for its worker's room to become free */
  PART_STARTING, /* the order has been sent */
  PART_RUNNING,
  PART_STOPPING /* to be stopped, or of unknown fate */
} PartState;

struct WorkPart
{
  APR_RING_ENTRY (WorkPart) on_worker;
  WorkTask *task;
  PoolWorker *worker;
  gint64 run;
  PartState state;
  gboolean sent;   /* an order to start it may have arrived */
  gboolean unsure; /* an order to start it got no answer */
  gboolean stop_acked;
  gint64 call_id;   /* of the order under way; 0 for none */
  ClockMs ordered;  /* when the last order began */
  gint64 confirmed; /* the last call made when its start or stop was answered */
  ClockMs retry;    /* when to send the order again */
  guint tries;
  ClockMs started;
  double percent;
  ClockMs moved;         /* when PERCENT last rose */
  ClockMs listed;        /* when its worker first listed it; 0: not yet ... */
  double listed_percent; /* ... and its progress then */
  ClockMs sound;         /* until when its pace was sound ... */
  double sound_percent;  /* ... and its progress then */
  ClockMs mark;          /* since when its pace is judged ... */
  double mark_percent;   /* ... and its progress then */
};

struct WorkTask
{
  WorkStep *step;
  guint index;
  gboolean done;
  GArray *failed_runs; /* of gint64; a gang's are kept by its first task */
  gint64 last_run;
  char *checkpoint;
  WorkPart *part;
  PoolWorker *failed_on; /* where it failed last; only ever compared */
  ClockMs unlucky;       /* when it failed or stood still last; 0: never */
};

struct WorkStep
{
  APR_RING_ENTRY (WorkStep) link;
  WorkJob *job;
  const SpecStep *spec;
  guint occurrence;
  guint number;
  WorkTask *tasks;
  guint n_done;
  guint n_parts;
  gboolean breaking;  /* a gang whose run has ended without success */
  gboolean counted;   /* among the urgent work that has come */
  PoolRoom need;      /* of one task */
  ClockMs next_evict; /* when to look for victims again */
  ClockMs next_could; /* until then COULD holds */
  gboolean could;     /* fits into an empty fleet */
};

APR_RING_HEAD (WorkStepRing, WorkStep);

struct WorkJob
{
  APR_RING_ENTRY (WorkJob) link;
  JobEntry *entry;
  JobState state;
  struct WorkStepRing steps; /* of the occurrences that have come due */
  guint next_occurrence;
  guint steps_left; /* of those in STEPS */
  guint n_parts;
  guint64 save_order; /* place among the jobs to be saved; 0: none */
  gboolean saving;
  gboolean again;      /* changed while it was being saved */
  gboolean guaranteed; /* urgent, and within its workspace's guarantee */
  ClockMs accepted;    /* on the scheduler's clock */
  ClockMs objective;   /* from its acceptance until it is late */
};

APR_RING_HEAD (WorkJobRing, WorkJob);

WorkJob *work_job_new (JobEntry *entry, ClockMs now, ClockMs wall);
void work_job_free (WorkJob *job);
gboolean work_job_add_due (WorkJob *job, ClockMs wall);
ClockMs work_job_next_due (const WorkJob *job);
WorkStep *work_job_step (const WorkJob *job, guint occurrence, guint number);
gboolean work_job_is_over (const WorkJob *job);
gboolean work_step_is_ready (const WorkStep *step);
guint work_step_left (const WorkStep *step);
gboolean work_step_is_done (const WorkStep *step);
void work_task_set_done (WorkTask *task);
gboolean work_task_add_failure (WorkTask *task, gint64 run);
guint work_task_attempts (const WorkTask *task);
void work_task_note_unlucky (WorkTask *task, PoolWorker *w, ClockMs now);
void work_task_set_checkpoint (WorkTask *task, const char *checkpoint);
char *work_task_name (const WorkTask *task);
WorkTask *work_find_task (const JobCache *book, const char *name);
void work_job_reach (WorkJob *job, guint occurrence);
gboolean work_name_parse (const char *name,
                          char **id,
                          guint *occurrence,
                          guint *step,
                          guint *index);
WorkPart *
work_part_new (WorkTask *task, PoolWorker *worker, gint64 run, PartState state);
void work_part_set_state (WorkPart *part, PartState state);
void work_part_free (WorkPart *part);
GBytes *work_job_progress (const WorkJob *job, ClockMs wall);

#endif
