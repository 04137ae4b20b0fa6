#ifndef SCHED_STATE_H
#define SCHED_STATE_H

#include <apr_ring.h>

#include "adopt.h"
#include "gang.h"
#include "job.h"
#include "lease.h"
#include "plan.h"
#include "role.h"
#include "sched.h"
#include "store.h"

/* What the modules of the scheduler share.  For these alone:
   sched.c        the domain's jobs and workers, while the role is held
   sched_plan.c   the plan: jobs that wait, and its steps carried out
   role.c         the scheduler's role: the store's lease and a term
   listing.c      listings of the domain's records
   job.c          records of jobs in the store
   gang.c         one run of a job, all parts or none
   gang_part.c    one part of it on its worker
   lease.c        renewals of workers' leases, and their reports
   adopt.c        what a new scheduler finds
   sched_status.c the state as operators see it
   submit.c       callers' new jobs, and the replies about jobs
   hint.c         news of jobs to the scheduler
   ask.c          callers' questions and cancellations */

/* Where a gang stands on this host. */
#define JOB_PHASES(X)                                                          \
  X (PHASE_WAITING, "waiting")                                                 \
  X (PHASE_INTENT, "intent")   /* the placement is being recorded */           \
  X (PHASE_RESERVE, "reserve") /* reservations are out */                      \
  X (PHASE_COMMIT, "commit")   /* the start is being recorded */               \
  X (PHASE_START, "start")                                                     \
  X (PHASE_RUN, "run")                                                         \
  X (PHASE_SAVE, "save") /* checkpoints are being written */                   \
  X (PHASE_UNDO, "undo") /* parts are being stopped */                         \
  X (PHASE_ENDED, "ended")

#define PART_STATES(X)                                                         \
  X (PART_FREE, "free")                                                        \
  X (PART_RESERVING, "reserving")                                              \
  X (PART_RESERVED, "reserved")                                                \
  X (PART_STARTING, "starting")                                                \
  X (PART_RUNNING, "running")                                                  \
  X (PART_SAVED, "saved")                                                      \
  X (PART_DONE, "done")                                                        \
  X (PART_GONE, "gone") /* ended badly, still reported */                      \
  X (PART_STOPPING, "stopping")

#define SCHED_ENUM(kind, name) kind,
typedef enum JobPhase
{
  JOB_PHASES (SCHED_ENUM) N_JOB_PHASES
} JobPhase;
typedef enum PartState
{
  PART_STATES (SCHED_ENUM) N_PART_STATES
} PartState;

/* One part of a gang on its worker. */
struct Part
{
  APR_RING_ENTRY (Part) link; /* on its worker */
  Job *job;
  Worker *worker;
  guint index;
  gint64 first;
  gint64 count;
  PartState state;
  gint64 call;       /* in flight, 0: none */
  gint64 known_by;   /* the last call sent when its start was known, 0: never */
  ClockMs lease_end; /* the worker holds nothing for it after this */
  ClockMs stop_since;
  gint64 progress_ms;
  gint64 used_mb; /* memory, as last reported; 0: not yet */
  gboolean throttled;
  gboolean listed; /* by the report under way */
  int tries;
  Timer timer; /* to try again */
};

APR_RING_HEAD (PartRing, Part);

/* A job that the scheduler of its domain knows. */
struct Job
{
  JobRecord *rec;
  gint64 revision; /* of the record in the store, 0: not there */
  JobPhase phase;
  gboolean unwritten; /* the record has changed since the last write */
  GBytes *writing;    /* the value in flight, NULL: none */
  gint64 store_call;
  GList write_link;  /* in QUEUED_IN */
  GQueue *queued_in; /* NULL: not due */
  ClockMs written_at;
  Timer write_timer;
  Part *parts;
  guint n_parts;    /* 0 while it has no seats */
  JobState verdict; /* what follows when all parts are free */
  Timer timer;      /* the bound of the phase; the end of keeping */
  ClockMs waiting_since;
  ClockMs run_since;
  GPtrArray *askers; /* of JobAsker, told when the end is in the store */
  gboolean planned;  /* the plan has it */
  gboolean adopted;  /* by the pass over all jobs */
  gboolean save_due; /* once all parts have started */
  gboolean failed;   /* its last run, which counts against it */
  gboolean lost;     /* it may have run, and the store does not say so */
  FleetJob fleet;    /* what the plan knows of it */
  gboolean listed;   /* seen in the listing under way */
};

/* Who is to be told of a job's recorded end: a caller here, or a peer. */
typedef struct JobAsker
{
  Job *job;
  gint64 conn;
  char *peer;
  Timer timer; /* the end of its patience */
} JobAsker;

/* A worker of the own domain. */
struct Worker
{
  const ConfigWorker *cfg;
  guint index;
  struct PartRing parts;
  Timer timer;       /* the next renewal or poll */
  gint64 call;       /* the renewal or report in flight */
  ClockMs asked;     /* when it went out */
  ClockMs renewed;   /* the last renewal that was answered */
  ClockMs heard;     /* the last answer, 0: never */
  ClockMs listed_at; /* the last full report */
  gboolean occupied; /* by leases that are not planned there */
  gboolean reported; /* its leases are known to this term */
  int silent;        /* calls without an answer in a row */
};

/* A call to a worker that is in flight. */
typedef struct WorkerPending
{
  gint64 call;
  Worker *worker;
  Part *part; /* NULL: of the whole worker */
  WorkerOp op;
} WorkerPending;

/* A lease that a worker reported of a job that is not known. */
typedef struct Orphan
{
  Worker *worker;
  WorkerLease *lease;
  ClockMs seen;     /* first */
  gint64 listed_by; /* the call that last had it listed, 0: unasked */
} Orphan;

struct Sched
{
  Role role;
  GPtrArray *workers; /* of Worker, the own domain's, in their order */
  GHashTable *worker_by_name;
  GHashTable *jobs; /* id to Job, while the role is held */
  Plan *plan;
  gint64 last_number;    /* of the plan's jobs */
  gint64 table_revision; /* that the plan has */
  GHashTable *pending;   /* call to WorkerPending */
  gint64 last_call;
  GHashTable *orphans; /* id to GPtrArray of Orphan */
  gint64 last_write;
  GQueue to_write[2]; /* steps of gangs, then ends */
  guint n_writing;
  char *writer;
  Timer list_timer;
  gint64 list_call;
  ClockMs list_sent;
  ClockMs taken_at;       /* the role */
  gboolean went_back;     /* the store, before the role was taken */
  gboolean records_known; /* a listing has come since the role was taken */
  guint reports_due;
  gboolean ready;         /* may plan */
  gboolean heeded_outage; /* the plan is without what waits for the store */
  Timer ready_timer;
  Timer plan_timer;
  Timer tick_timer;
  Timer drain_bound;
  gboolean closed; /* a drain's bound has passed: nothing is waited for */
  guint n_live;    /* hosts, at the last tick */
  gint64 n_running;
  gint64 polls; /* that the budget has, in thousandths */
  ClockMs polls_at;

  /* The callers' side, on every host. */
  gint64 sequence;
  GHashTable *submits; /* set of Submit */
  GHashTable *hints;   /* id to Hint */
  GHashTable *asks;    /* set of Ask */
};

guint gang_count (const Job *j, PartState state);

void sched_make_plan (Core *c);
void sched_sync_table (Core *c);
void sched_run_plan (Core *c, Timer *t);
void sched_plan_soon (Core *c);
void sched_account (Core *c, RecList *full);
Job *sched_job_add (Core *c, JobRecord *rec, gint64 revision);
void sched_job_drop (Core *c, Job *j);
void sched_requeue (Core *c, Job *j);
void sched_submit (Core *c, Job *j);
gboolean sched_waits_for_store (const Core *c, const Job *j);
void sched_job_seen (Core *c, GBytes *value, gint64 revision);
int sched_job_hinted (Core *c, GBytes *value, gint64 revision, gboolean again);
void sched_take (Core *c);
void sched_leave (Core *c);
void sched_cancel (Core *c, Job *j);
void sched_notify_waiters (Core *c, Job *j);
void sched_check_ready (Core *c);

void listing_send (Core *c, Timer *t);
void listing_after_loss (Core *c);

void job_count_write (Core *c, const StoreReply *r);
void job_write (Core *c, Job *j);
void job_settle (Core *c, Job *j, const StoreItem *item);
void job_forget_write (Core *c, Job *j);

void submit_new (Sched *s);
void submit_free (Sched *s);
gboolean submit_busy (const Core *c);
void submit_close (Core *c);
void submit_reply (Core *c, gint64 conn, int status, const JobRecord *r);
void submit_fail (Core *c,
                  gint64 conn,
                  Outcome outcome,
                  int status,
                  const char *id,
                  const char *reason);
void submit_refuse (Core *c, gint64 conn, int status, const char *reason);

const char *hint_host (Core *c, const char *domain);
void hint_start (Core *c, const JobRecord *rec, GBytes *value, gint64 revision);
void hint_send_again (Core *c);
void hint_tell_origin (Core *c, Job *j);
void hint_free (gpointer p);

void ask_add_asker (Core *c, Job *j, gint64 conn, const char *peer);
void ask_cancel_answered (Core *c, const SchedKnown *m);
void ask_close (Core *c);
void ask_free (gpointer p);

#endif
