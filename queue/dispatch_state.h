#ifndef DISPATCH_STATE_H
#define DISPATCH_STATE_H

#include "dispatch.h"
#include "fit.h"
#include "outbreak.h"
#include "reserve.h"
#include "roster.h"
#include "work.h"

/* What the scheduler's modules share.  For them only. */

/* An order whose answer is awaited. */
typedef struct Ordered
{
  RunOp op;
  char *worker;
  WorkPlacement *placement; /* NULL once the part is gone, and for holds */
  char *task;
  gint64 run;
} Ordered;

typedef struct Save
{
  gint64 call_id;    /* 0 while none is under way */
  GPtrArray *jobs;   /* of WorkJob, in the call under way */
  GPtrArray *values; /* of GBytes, alike */
  ClockMs next;
  guint64 last_order;
  GQueue dirty; /* of WorkJob, oldest first */
} Save;

/* The write of the workers in use, see roster.c. */
typedef struct RosterSave
{
  gboolean changed[ROSTER_SHARDS];
  gboolean writing[ROSTER_SHARDS]; /* in the call under way */
  gint64 revisions[ROSTER_SHARDS];
  gint64 call_id; /* 0 while none is under way */
  GPtrArray *ids; /* of char *, in the call under way */
  ClockMs next;
} RosterSave;

/* The write of how many jobs wait, see waiting.c. */
typedef struct WaitingSave
{
  gint64 call_id; /* 0 while none is under way */
  GBytes *writing;
  GBytes *stored; /* NULL when that is not known */
  gint64 revision;
  ClockMs next;
} WaitingSave;

struct Dispatch
{
  Effects *fx;
  Book *book;
  DispatchTerm term;
  Conf *conf;
  ClockMs now;
  ClockMs wall;
  ClockMs started;
  ClockMs former_lapse; /* all that a former holder started has ended by then,
                           unless it was heard of */
  Pool pool;
  struct WorkJobRing jobs;
  GHashTable *orders; /* id to Ordered */
  GHashTable *strays; /* task to the id of the worker that runs it unasked */
  Save save;
  RosterSave roster;
  Reserve reserve;
  Outbreak outbreak;
  WaitingSave waiting;
  TimerHeap due;      /* of workers */
  GPtrArray *touched; /* of PoolWorker, to be looked at at once */
  GQueue to_list;     /* of PoolWorker, that wait for their first look ... */
  guint n_listing;    /* ... until fewer of these are under way */
  gboolean all_known; /* every worker's runs are known, or void */
  gboolean may_order; /* the role is surely this host's */
  gboolean replan;
  gboolean reap; /* a job may be forgotten */
  gboolean deposed;
  ClockMs next_plan;
  ClockMs next_purge;
  ClockMs next_occurrences;
  gint64 n_starts;
  gint64 n_evicted;
};

/* dispatch.c */
WorkJob *dispatch_work_of (Dispatch *d, BookEntry *entry);
void dispatch_set_state (Dispatch *d, WorkJob *job, JobState state);
void dispatch_may_forget (Dispatch *d, WorkJob *job);

/* runs.c */
void runs_start (Dispatch *d, WorkPlacement *placement);
void runs_stop (Dispatch *d, WorkPlacement *placement, const char *reason);
void runs_stop_job (Dispatch *d, WorkJob *job, const char *reason);
void runs_stop_other_runs (Dispatch *d, WorkTask *task, gint64 run);
void runs_end (Dispatch *d,
               WorkPlacement *placement,
               RunEnd how,
               const char *checkpoint);
void runs_end_all_on_worker (Dispatch *d,
                             PoolWorker *w,
                             gboolean restarted,
                             const char *reason);
void runs_on_reply (Dispatch *d, Ordered *o, const RunReply *reply);
void runs_cancel_late_starts (Dispatch *d, PoolWorker *w);
void
runs_stop_orphan (Dispatch *d, PoolWorker *w, const char *task, gint64 run);
void runs_retry_order (Dispatch *d, WorkPlacement *placement);
void runs_stop_stalled (Dispatch *d, WorkPlacement *placement);
void runs_apply_end (Dispatch *d, WorkTask *task, gint64 run, RunEnd how);
gint64 runs_send (Dispatch *d, RunCall *call, WorkPlacement *placement);
gint64 runs_lease_deadline (Dispatch *d, PoolWorker *w);
void runs_stop_incomplete_gangs (Dispatch *d);

/* due.c */
void due_start (Dispatch *d);
void due_clear (Dispatch *d);
void due_touch (Dispatch *d, PoolWorker *w);
void due_touch_unacked (Dispatch *d);
void due_run (Dispatch *d);
ClockMs due_next (const Dispatch *d);

/* holds.c */
void holds_tick (Dispatch *d, PoolWorker *w);
void holds_on_reply (Dispatch *d, PoolWorker *w, const RunReply *reply);
ClockMs holds_next (const Dispatch *d, const PoolWorker *w);
void holds_drop_call (Dispatch *d, PoolWorker *w);
gboolean holds_is_settled (const PoolWorker *w);
ClockMs holds_clearing (const PoolWorker *w);
ClockMs holds_lease (const Dispatch *d, const PoolWorker *w);
ClockMs holds_former_lapse (const Dispatch *d);
extern const ClockMs holds_late_order;

/* save.c */
void save_mark (Dispatch *d, WorkJob *job);
void save_forget (Dispatch *d, WorkJob *job);
void save_tick (Dispatch *d);
gboolean save_on_reply (Dispatch *d, const KvReply *reply);
gboolean save_is_durable (const Dispatch *d, guint64 order);
ClockMs save_next (const Dispatch *d);

/* roster.c */
void roster_start (Dispatch *d, const RosterRecords *records);
void roster_mark (Dispatch *d, const char *worker);
void roster_tick (Dispatch *d);
gboolean roster_on_reply (Dispatch *d, const KvReply *reply);
ClockMs roster_next (const Dispatch *d);

/* waiting.c */
void waiting_tick (Dispatch *d);
gboolean waiting_on_reply (Dispatch *d, const KvReply *reply);
ClockMs waiting_next (const Dispatch *d);
void waiting_stop (Dispatch *d);

/* purge.c */
void purge_tick (Dispatch *d);

/* assign.c */
void assign_all (Dispatch *d);
gboolean assign_is_usable (const Dispatch *d, const PoolWorker *w);
FitRequest
assign_request (const Dispatch *d, const WorkStep *step, guint count);
FitTrust assign_least_trust (const Dispatch *d, const WorkTask *task);
gint64 assign_next_run (const Dispatch *d, const WorkStep *step);

/* evict.c */
gboolean evict_for (Dispatch *d, WorkStep *step);

#endif
