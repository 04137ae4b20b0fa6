#ifndef WORK_H
#define WORK_H

#include "job_cache.h"
#include "pool.h"

/* The scheduler's state of unfinished jobs.  A job has steps, once for each
   occurrence of the job; a step has tasks; and a task has at most one
   placement, its assignment to a worker. */

typedef struct WorkJob WorkJob;
typedef struct WorkStep WorkStep;
typedef struct WorkTask WorkTask;

typedef enum PlacementState
{
  PLACEMENT_RESERVED, /* waits for capacity to become free on its worker */
  PLACEMENT_STARTING, /* the start order has been sent */
  PLACEMENT_RUNNING,
  PLACEMENT_STOPPING, /* being stopped, or its state is unknown */
  N_PLACEMENT_STATES
} PlacementState;

struct WorkPlacement
{
  APR_RING_ENTRY (WorkPlacement) on_worker;
  WorkTask *task;
  PoolWorker *worker;
  gint64 run;
  PlacementState state;
  gboolean came_first;        /* in its pass, as it was overdue */
  gboolean start_sent;        /* a start order may have reached the worker */
  gboolean start_unconfirmed; /* a start order got no answer */
  gboolean stop_acked;
  gint64 call_id;        /* of the order in flight; 0 for none */
  ClockMs last_order_at; /* when the last order was sent */
  ClockMs last_start_at; /* when the last start was sent, or the run adopted */
  ClockMs stopping_at;   /* when it began to be stopped */
  gint64 confirmed_call; /* highest call id when its order was answered */
  ClockMs retry_at;      /* when to send the order again */
  gboolean order_queued; /* the order waits for another one to the worker */
  /* The start waits for a reading of the worker's clock. */
  gboolean awaits_reading;
  guint order_attempts;
  ClockMs started_at;
  double percent;            /* progress that the worker last reported */
  ClockMs progressed_at;     /* when PERCENT last rose */
  ClockMs baseline_at;       /* when its worker first listed it; 0: not yet */
  double baseline_percent;   /* progress at BASELINE_AT */
  ClockMs normal_at;         /* last time at which its speed was normal */
  double normal_percent;     /* progress at NORMAL_AT */
  ClockMs sample_at;         /* start of the current speed measurement */
  double sample_percent;     /* progress at SAMPLE_AT */
  gboolean from_zero;        /* started here, not from a checkpoint */
  gboolean pace_measured;    /* its pace was learned from */
  ClockMs sampled_at;        /* when PERCENT was reported */
  ClockMs measurable_at;     /* when its pace could first be measured */
  PlacementState seen_state; /* at the last look at what stands; standing.c */
  ClockMs seen_state_at;     /* when SEEN_STATE was first seen */
};

struct WorkTask
{
  WorkStep *step;
  guint index;
  gboolean done;
  gboolean confirmed;        /* its worker has confirmed a start of it */
  GArray *failed_runs;       /* of gint64; for a gang, in its first task only */
  gint64 last_run;           /* highest run number so far */
  char *checkpoint;          /* NULL for none; for a gang, in its first task */
  double checkpoint_percent; /* progress when it was reported; 0: unknown */
  WorkPlacement *placement;
  PoolWorker *failed_on;   /* where it last failed; may dangle: only compared */
  ClockMs last_failure_at; /* when it last failed or stalled; 0: never */
  guint n_evictions;       /* by this scheduler */
};

/* Why tasks of a step whose turn has come are not placed. */
#define DELAY_CAUSES(C)                                                        \
  C (DELAY_NONE, "none")             /* all are placed */                      \
  C (DELAY_ROOM, "room")             /* no worker has room */                  \
  C (DELAY_RESERVE, "reserve")       /* room is kept for urgent work */        \
  C (DELAY_TRUST, "trust")           /* room is on workers not proved good */  \
  C (DELAY_RACK, "rack")             /* room is in other racks */              \
  C (DELAY_FAILED_ON, "failed_on")   /* room is where they failed */           \
  C (DELAY_QUARANTINE, "quarantine") /* room is on workers in quarantine */    \
  C (DELAY_EXCLUSION, "exclusion")   /* room is where an order failed */       \
  C (DELAY_EVACUATION, "evacuation") /* its workers are evacuated */           \
  C (DELAY_LINK, "link")             /* the host's link is full */             \
  C (DELAY_PROCESSOR, "processor")   /* the host's processor is busy */        \
  C (DELAY_FORMER, "former")         /* a former scheduler's runs may go on */

typedef enum DelayCause
{
#define DELAY_ENUM(cause, name) cause,
  DELAY_CAUSES (DELAY_ENUM)
#undef DELAY_ENUM
      N_DELAY_CAUSES
} DelayCause;

/* What delays the unplaced tasks of a step; see delay.c. */
typedef struct StepDelay
{
  DelayCause cause;
  ClockMs since;      /* CAUSE has been the same since */
  ClockMs held_since; /* there was room for it meanwhile; 0: it isn't held */
  ClockMs probed_at;  /* when room was last looked for; 0: never */
} StepDelay;

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
  gboolean stopping_gang;  /* its gang failed; the other members are stopped */
  gboolean demand_counted; /* already counted as arrived urgent work */
  StepDelay delay;
  PoolResources need;            /* for one task */
  ClockMs next_evict;            /* when to look for tasks to evict again */
  ClockMs fits_idle_fleet_until; /* FITS_IDLE_FLEET is valid before */
  gboolean fits_idle_fleet;      /* would fit once all that ends has ended */
};

APR_RING_HEAD (WorkStepRing, WorkStep);

struct WorkJob
{
  APR_RING_ENTRY (WorkJob) link;
  JobEntry *entry;
  JobState state;
  struct WorkStepRing steps;  /* of the occurrences that were added */
  GPtrArray *steps_by_number; /* the same, by occurrence, then number */
  guint next_occurrence;
  guint steps_left; /* in STEPS, not done */
  guint n_placements;
  guint64 save_order;  /* position in the save queue; 0: not queued */
  gboolean saving;     /* a write of its progress is in flight */
  gboolean save_again; /* it changed during that write */
  guint64 write_order; /* its save_order when that write began */
  gboolean save_apart; /* by a write of its own: one with others was refused */
  guint n_refusals;    /* of its record by itself, since it was stored */
  ClockMs retry_save_at; /* with N_REFUSALS: when to write it again */
  gsize max_record;      /* bytes that the store may take; 0: as usual */
  guint n_left_out;      /* checkpoints that did not fit in its record */
  gboolean guaranteed;   /* urgent and within its workspace's guarantee */
  ClockMs known_since;   /* to this scheduler */
  ClockMs chosen_at;   /* workers were chosen for its first tasks; 0: not yet */
  ClockMs sent_at;     /* its last start order was sent */
  guint n_confirmed;   /* of its tasks that are CONFIRMED */
  ClockMs accepted_at; /* on the scheduler's clock */
  ClockMs objective;   /* target time from acceptance to completion */
};

APR_RING_HEAD (WorkJobRing, WorkJob);

WorkJob *work_job_new (JobEntry *entry, ClockMs now, ClockMs wall);
void work_job_free (WorkJob *job);
gboolean work_job_add_due (WorkJob *job, ClockMs wall);
ClockMs work_job_next_due (const WorkJob *job);
WorkStep *work_job_step (const WorkJob *job, guint occurrence, guint number);
gboolean work_job_is_complete (const WorkJob *job);
gboolean work_step_is_ready (const WorkStep *step);
guint work_step_n_units (const WorkStep *step);
guint work_step_unplaced (const WorkStep *step);
gboolean work_step_is_done (const WorkStep *step);
void work_task_set_done (WorkTask *task);
gboolean work_task_add_failure (WorkTask *task, gint64 run);
gboolean work_task_limits_attempts (const WorkTask *task);
guint work_task_attempts (const WorkTask *task);
gboolean work_task_is_urgent (const WorkTask *task);
void work_task_set_failed_on (WorkTask *task, PoolWorker *w, ClockMs now);
void work_task_set_checkpoint (WorkTask *task, const char *checkpoint);
char *work_task_name (const WorkTask *task);
WorkTask *work_find_task (const JobCache *job_cache, const char *name);
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
const char *work_placement_state_name (PlacementState state);

#endif
