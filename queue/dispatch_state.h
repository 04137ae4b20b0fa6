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
typedef struct PendingCall
{
  RunOp op;
  char *worker;
  WorkPart *part; /* NULL once the part is gone, and for holds */
  char *task;
  gint64 run;
} PendingCall;

typedef struct Save
{
  gint64 call_id;              /* 0 while none is under way */
  GPtrArray *in_flight_jobs;   /* of WorkJob, in the call under way */
  GPtrArray *in_flight_values; /* of GBytes, alike */
  ClockMs next_at;
  guint64 last_order;
  GQueue dirty; /* of WorkJob, oldest first */
} Save;

/* The write of the workers in use, see roster.c. */
typedef struct RosterSave
{
  gboolean dirty[ROSTER_SHARDS];
  gboolean in_flight[ROSTER_SHARDS]; /* in the call under way */
  gint64 revisions[ROSTER_SHARDS];
  gint64 call_id;           /* 0 while none is under way */
  GPtrArray *in_flight_ids; /* of char *, in the call under way */
  ClockMs next_at;
} RosterSave;

/* The write of how many jobs wait, see waiting.c. */
typedef struct WaitingSave
{
  gint64 call_id; /* 0 while none is under way */
  GBytes *in_flight;
  GBytes *stored; /* NULL when that is not known */
  gint64 revision;
  ClockMs next_at;
} WaitingSave;

struct Dispatch
{
  Effects *fx;
  JobCache *job_cache;
  DispatchTerm term;
  Conf *conf;
  ClockMs now;
  ClockMs wall;
  ClockMs started_at;
  ClockMs prev_leases_expire_at; /* all that a former holder started has ended
                           by then, unless it was heard of */
  Pool pool;
  struct WorkJobRing jobs;
  GHashTable *pending_calls; /* id to Ordered */
  GHashTable *orphans; /* task to the id of the worker that runs it unasked */
  Save save;
  RosterSave roster;
  Reserve reserve;
  Outbreak outbreak;
  WaitingSave waiting;
  TimerHeap worker_timers;  /* of workers */
  GPtrArray *dirty_workers; /* of PoolWorker, to be looked at at once */
  GQueue
      first_hold_queue; /* of PoolWorker, that wait for their first look ... */
  guint n_first_holds;  /* ... until fewer of these are under way */
  gboolean all_runs_known;  /* every worker's runs are known, or void */
  gboolean may_send_orders; /* the role is surely this host's */
  gboolean replan;
  gboolean reap_pending; /* a job may be forgotten */
  gboolean lost_role;
  ClockMs next_plan;
  ClockMs next_purge;
  ClockMs next_occurrences;
  gint64 n_starts;
  gint64 n_evicted;
};

/* dispatch.c */
WorkJob *dispatch_ensure_job (Dispatch *d, JobEntry *entry);
void dispatch_set_job_state (Dispatch *d, WorkJob *job, JobState state);
void dispatch_check_finished (Dispatch *d, WorkJob *job);

/* runs.c */
void runs_start (Dispatch *d, WorkPart *part);
void runs_stop (Dispatch *d, WorkPart *part, const char *why);
void runs_stop_job (Dispatch *d, WorkJob *job, const char *why);
void runs_stop_others (Dispatch *d, WorkTask *task, gint64 run);
void runs_end (Dispatch *d, WorkPart *part, RunEnd how, const char *checkpoint);
void runs_void_worker (Dispatch *d,
                       PoolWorker *w,
                       gboolean new_life,
                       const char *why);
void runs_on_reply (Dispatch *d, PendingCall *o, const RunReply *reply);
void runs_refuse_late (Dispatch *d, PoolWorker *w);
void runs_stop_stray (Dispatch *d, PoolWorker *w, const char *task, gint64 run);
void runs_retry (Dispatch *d, WorkPart *part);
void runs_move_stalled (Dispatch *d, WorkPart *part);
void runs_apply_end (Dispatch *d, WorkTask *task, gint64 run, RunEnd how);
gint64 runs_send (Dispatch *d, RunCall *call, WorkPart *part);
gint64 runs_deadline (Dispatch *d, PoolWorker *w);
void runs_break_partial_gangs (Dispatch *d);

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
void holds_ignore_reply (Dispatch *d, PoolWorker *w);
gboolean holds_runs_are_known (const PoolWorker *w);
ClockMs holds_evacuate_at (const PoolWorker *w);
ClockMs holds_lease_duration (const Dispatch *d, const PoolWorker *w);
ClockMs holds_prev_leases_expire_at (const Dispatch *d);
extern const ClockMs holds_late_order_window;

/* save.c */
void save_mark_dirty (Dispatch *d, WorkJob *job);
void save_remove_job (Dispatch *d, WorkJob *job);
void save_tick (Dispatch *d);
gboolean save_on_reply (Dispatch *d, const KvReply *reply);
gboolean save_is_durable (const Dispatch *d, guint64 order);
ClockMs save_next (const Dispatch *d);

/* roster.c */
void roster_load (Dispatch *d, const RosterRecords *records);
void roster_mark_dirty (Dispatch *d, const char *worker);
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
