#ifndef WORK_H
#define WORK_H

#include "book.h"
#include "pool.h"

/* The scheduler's view of jobs: each occurrence of each step has tasks, and
   a task has at most one part, its presence on a worker. */

typedef struct WorkJob WorkJob;
typedef struct WorkStep WorkStep;
typedef struct WorkTask WorkTask;

typedef enum PlacementState
{
  PLACEMENT_RESERVED, /* waits for its worker's room to become free */
  PLACEMENT_STARTING, /* the order has been sent */
  PLACEMENT_RUNNING,
  PLACEMENT_STOPPING /* to be stopped, or of unknown fate */
} PlacementState;

struct WorkPlacement
{
  APR_RING_ENTRY (WorkPlacement) on_worker;
  WorkTask *task;
  PoolWorker *worker;
  gint64 run;
  PlacementState state;
  gboolean start_sent;        /* an order to start it may have arrived */
  gboolean start_unconfirmed; /* an order to start it got no answer */
  gboolean stop_acked;
  gint64 call_id;        /* of the order under way; 0 for none */
  ClockMs last_order_at; /* when the last order began */
  gint64 confirmed_call; /* the last call made when its start or stop was
                            answered */
  ClockMs retry_at;      /* when to send the order again */
  guint order_attempts;
  ClockMs started_at;
  double percent;
  ClockMs progressed_at;   /* when PERCENT last rose */
  ClockMs baseline_at;     /* when its worker first listed it; 0: not yet ... */
  double baseline_percent; /* ... and its progress then */
  ClockMs normal_at;       /* until when its pace was sound ... */
  double normal_percent;   /* ... and its progress then */
  ClockMs sample_at;       /* since when its pace is judged ... */
  double sample_percent;   /* ... and its progress then */
};

struct WorkTask
{
  WorkStep *step;
  guint index;
  gboolean done;
  GArray *failed_runs; /* of gint64; a gang's are kept by its first task */
  gint64 last_run;
  char *checkpoint;
  WorkPlacement *placement;
  PoolWorker *failed_on;   /* where it failed last; only ever compared */
  ClockMs last_failure_at; /* when it failed or stood still last; 0: never */
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
  guint n_placements;
  gboolean stopping_gang;  /* a gang whose run has ended without success */
  gboolean demand_counted; /* among the urgent work that has come */
  PoolResources need;      /* of one task */
  ClockMs next_evict;      /* when to look for victims again */
  ClockMs fits_empty_fleet_until; /* until then COULD holds */
  gboolean fits_empty_fleet;      /* fits into an empty fleet */
};

APR_RING_HEAD (WorkStepRing, WorkStep);

struct WorkJob
{
  APR_RING_ENTRY (WorkJob) link;
  BookEntry *entry;
  JobState state;
  struct WorkStepRing steps; /* of the occurrences that have come due */
  guint next_occurrence;
  guint steps_left; /* of those in STEPS */
  guint n_placements;
  guint64 save_order; /* place among the jobs to be saved; 0: none */
  gboolean saving;
  gboolean save_again; /* changed while it was being saved */
  gboolean guaranteed; /* urgent, and within its workspace's guarantee */
  ClockMs accepted_at; /* on the scheduler's clock */
  ClockMs objective;   /* from its acceptance until it is late */
};

APR_RING_HEAD (WorkJobRing, WorkJob);

WorkJob *work_job_new (BookEntry *entry, ClockMs now, ClockMs wall);
void work_job_free (WorkJob *job);
gboolean work_job_add_due (WorkJob *job, ClockMs wall);
ClockMs work_job_next_due (const WorkJob *job);
WorkStep *work_job_step (const WorkJob *job, guint occurrence, guint number);
gboolean work_job_is_complete (const WorkJob *job);
gboolean work_step_is_ready (const WorkStep *step);
guint work_step_unplaced (const WorkStep *step);
gboolean work_step_is_done (const WorkStep *step);
void work_task_set_done (WorkTask *task);
gboolean work_task_add_failure (WorkTask *task, gint64 run);
guint work_task_attempts (const WorkTask *task);
void work_task_set_failed_on (WorkTask *task, PoolWorker *w, ClockMs now);
void work_task_set_checkpoint (WorkTask *task, const char *checkpoint);
char *work_task_name (const WorkTask *task);
WorkTask *work_find_task (const Book *book, const char *name);
void work_job_add_occurrences_to (WorkJob *job, guint occurrence);
gboolean work_name_parse (const char *name,
                          char **id,
                          guint *occurrence,
                          guint *step,
                          guint *index);
WorkPlacement *work_placement_new (WorkTask *task,
                                   PoolWorker *worker,
                                   gint64 run,
                                   PlacementState state);
void work_placement_set_state (WorkPlacement *placement, PlacementState state);
void work_placement_free (WorkPlacement *placement);
GBytes *work_job_progress (const WorkJob *job, ClockMs wall);

#endif
