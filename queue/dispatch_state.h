#ifndef DISPATCH_STATE_H
#define DISPATCH_STATE_H

#include "dispatch.h"
#include "fit.h"
#include "pace.h"
#include "roster.h"
#include "service.h"
#include "work.h"

/* State and functions shared by the scheduler's modules only. */

/* A call to a worker whose reply is outstanding. */
typedef struct PendingCall
{
  RunOp op;
  char *worker;
  /* NULL for a hold, and once the placement is freed or a newer call replaced
     this one. */
  WorkPlacement *placement;
  char *task; /* task name; NULL for a hold */
  gint64 run;
  ClockMs sent_at;
  char *address;
  gboolean grants_lease;
  gboolean waits; /* its reply may be delayed until a run ends */
} PendingCall;

/* Writes of job progress, one transaction at a time; see save.c. */
typedef struct ProgressSave
{
  gint64 call_id;              /* id of the call in flight; 0: none */
  GPtrArray *in_flight_jobs;   /* WorkJob, written by the current transaction */
  GPtrArray *in_flight_values; /* GBytes, the progress record of each job */
  ClockMs next_at;             /* earliest time of the next transaction */
  guint64 last_order;          /* highest WorkJob::save_order assigned so far */
  GQueue dirty;       /* WorkJob waiting to be saved, in ascending save_order */
  GPtrArray *refused; /* WorkJob whose record the store refused by itself */
  gsize max_value;    /* bytes that the store takes; 0: unknown */
  gint64 n_refused;   /* records refused by themselves, for metrics */
} ProgressSave;

/* Writes of the worker roster; see roster.c. */
typedef struct RosterSave
{
  gboolean dirty[ROSTER_SHARDS];     /* needs to be written */
  gboolean in_flight[ROSTER_SHARDS]; /* written by the call in flight */
  gint64 revisions[ROSTER_SHARDS];   /* in the store; 0: key is absent */
  /* What a former scheduler recorded there can't be read. */
  gboolean unreadable[ROSTER_SHARDS];
  gint64 call_id;           /* id of the call in flight; 0: none */
  GPtrArray *in_flight_ids; /* char *, worker ids in that call */
  ClockMs next_at;          /* earliest time of the next call */
} RosterSave;

/* Writes of the number of waiting jobs; see waiting.c. */
typedef struct WaitingSave
{
  gint64 call_id;    /* id of the call in flight; 0: none */
  GBytes *in_flight; /* value written by that call */
  GBytes *stored;    /* value in the store; NULL: not known */
  gint64 revision;   /* of the value in the store */
  ClockMs next_at;   /* earliest time of the next call */
} WaitingSave;

/* Writes of what was learned of the workers' pace; see pace_save.c. */
typedef struct PaceSave
{
  gint64 call_id;  /* id of the call in flight; 0: none */
  gint64 revision; /* of the value in the store */
  ClockMs next_at; /* earliest time of the next call */
} PaceSave;

/* What was found at the last look at placements that stand still; see
   standing.c. */
typedef struct Standing
{
  ClockMs next_look;
  ClockMs next_log;
  guint n[N_PLACEMENT_STATES]; /* by state; running ones that aren't listed */
  guint n_partial_gangs;       /* that neither start nor stop */
} Standing;

/* What was found at the last look at what is delayed; see delay.c. */
typedef struct DelayLook
{
  ClockMs next_look;
  ClockMs next_log;
  guint n_tasks[N_DELAY_CAUSES];
  ClockMs longest_hold; /* of a step that must not stand beside free room */
} DelayLook;

/* What became of orders to workers that started again, for metrics. */
typedef struct GrantCounts
{
  gint64 n_restarts;    /* processes that were found to be new */
  gint64 n_clocks_back; /* answers by the clock of a process not heard before */
  gint64 n_lost_starts; /* start orders without an answer */
} GrantCounts;

struct Dispatch
{
  Effects *fx;
  JobCache *job_cache;
  DispatchTerm term;
  Bounds bounds;
  const EvacuationSet *evacuations; /* the host's */
  GPtrArray *unsettled; /* char *, evacuated domains with outstanding starts */
  gboolean starts_held; /* a request to evacuate may not be known here */
  Conf *conf;
  ClockMs now;        /* on the host's clock, like the times below */
  ClockMs wall;       /* Unix time in milliseconds */
  ClockMs started_at; /* when this scheduler was created */
  /* By then every run that a previous leader started has ended, unless its
     worker has reported it to this one. */
  ClockMs prev_leases_expire_at;
  Pool pool;
  struct WorkJobRing jobs;
  GHashTable *pending_calls; /* call id to PendingCall; NULL until the first */
  /* Task name to the id of a worker that runs it without an assignment by this
     scheduler. */
  GHashTable *orphans;
  ProgressSave save;
  RosterSave roster;
  ServiceTable *services;
  PaceModel pace;
  WaitingSave waiting;
  PaceSave pace_save;
  TimerHeap worker_timers;  /* one timer per worker with future work */
  GPtrArray *dirty_workers; /* PoolWorker to process in the next due_run */
  GQueue first_hold_queue;  /* PoolWorker whose first hold is delayed */
  guint n_first_holds;      /* first holds in flight; their number is limited */
  /* Each worker has listed its runs, or their lease has expired. */
  gboolean all_runs_known;
  gboolean silent_marked;   /* see former_mark_silent */
  gboolean may_send_orders; /* leadership is certain; else only listen */
  gboolean replan;          /* assignments have to be recomputed */
  gboolean reap_pending;    /* a finished job may be ready to be freed */
  gboolean lost_role;       /* another host leads; step down */
  ClockMs next_plan;        /* earliest time of the next planning pass */
  NodeLoad load;            /* of the host */
  ClockMs next_purge;       /* next deletion of old job records */
  ClockMs next_occurrences; /* next check for due job occurrences */
  ClockMs next_scarcity;    /* next count of scarce connections */
  Standing standing;
  DelayLook delays;
  gint64 n_starts;    /* runs started, for metrics */
  gint64 n_evicted;   /* runs evicted for more urgent jobs, for metrics */
  gint64 n_withdrawn; /* placements in evacuated domains, for metrics */
  GrantCounts grants;
};

/* dispatch.c */
WorkJob *dispatch_ensure_job (Dispatch *d, JobEntry *entry);
void dispatch_set_job_state (Dispatch *d, WorkJob *job, JobState state);
void dispatch_check_finished (Dispatch *d, WorkJob *job);

/* runs.c */
void runs_start (Dispatch *d, WorkPlacement *placement);
void runs_stop (Dispatch *d, WorkPlacement *placement, const char *reason);
void runs_stop_unit (Dispatch *d, WorkPlacement *placement, const char *reason);
void runs_stop_job (Dispatch *d, WorkJob *job, const char *reason);
void runs_stop_other_runs (Dispatch *d, WorkTask *task, gint64 run);
void runs_end (Dispatch *d,
               WorkPlacement *placement,
               RunEnd how,
               const char *checkpoint);
void runs_end_all_on_worker (Dispatch *d, PoolWorker *w, const char *reason);
void runs_end_lapsed (Dispatch *d, PoolWorker *w);
void runs_on_other_worker (Dispatch *d, PoolWorker *w, const PendingCall *call);
void runs_on_reply (Dispatch *d, PendingCall *o, const RunReply *reply);
void runs_stop_unconfirmed_start (Dispatch *d, WorkPlacement *placement);
void runs_retry_order (Dispatch *d, WorkPlacement *placement);
void runs_send_queued (Dispatch *d, PoolWorker *w);
void runs_stop_stalled (Dispatch *d, WorkPlacement *placement);
void runs_apply_end (Dispatch *d, WorkTask *task, gint64 run, RunEnd how);
gsize runs_start_bytes (const WorkPlacement *placement);
ClockMs runs_order_timeout (const PoolWorker *w);
gint64 runs_send (Dispatch *d, RunCall *call, WorkPlacement *placement);
void runs_stop_incomplete_gangs (Dispatch *d);
extern const ClockMs runs_connection_wait;

/* unsent.c */
void unsent_on_silent (Dispatch *d, PoolWorker *w);
void unsent_on_hold_refused (Dispatch *d, PoolWorker *w);
void unsent_on_restart (Dispatch *d, PoolWorker *w);
ClockMs unsent_deadline (const WorkPlacement *placement);
void unsent_give_up_overdue (Dispatch *d, PoolWorker *w);

/* withdraw.c */
guint withdraw_from_worker (Dispatch *d, PoolWorker *w);
void withdraw_on_entry (Dispatch *d, PoolWorker *w);
guint
withdraw_on_evacuation (Dispatch *d, const char *domain, gboolean is_named);
void
withdraw_on_evacuation_ended (Dispatch *d, const char *domain, ClockMs lasted);
void withdraw_set_age (Dispatch *d, ClockMs age);
void withdraw_tick (Dispatch *d);
void withdraw_append_metrics (const Dispatch *d, GString *text);

/* begin.c */
void begin_on_chosen (Dispatch *d, WorkJob *job);
void begin_on_sent (Dispatch *d, WorkTask *task);
void begin_on_confirmed (Dispatch *d, WorkTask *task);

/* grant.c */
gboolean grant_clock_is_recent (const Dispatch *d, const PoolWorker *w);
void grant_check_clock (Dispatch *d,
                        PoolWorker *w,
                        const PendingCall *call,
                        const RunReply *reply);
void grant_on_restart (Dispatch *d, PoolWorker *w, gint64 born);
void grant_on_newer_entry (Dispatch *d, PoolWorker *w);
void grant_on_former_restart (Dispatch *d, PoolWorker *w);
void grant_note_lost (Dispatch *d, PoolWorker *w, const PendingCall *call);
void grant_append_metrics (const Dispatch *d, GString *text);
gint64 grant_lease_deadline (Dispatch *d, PoolWorker *w);
ClockMs grant_run_expiry (const WorkPlacement *placement);
extern const ClockMs grant_longest_lease;

/* late.c */
void late_note_start (const Dispatch *d, const WorkPlacement *placement);
void late_cancel_starts (Dispatch *d, PoolWorker *w);
void late_refuse_starts (Dispatch *d, PoolWorker *w);
void late_record (const Dispatch *d, GivenLeases *r);
void late_load (Dispatch *d, const GivenLeases *r);

/* due.c */
void due_init (Dispatch *d);
void due_clear (Dispatch *d);
void due_mark (Dispatch *d, PoolWorker *w);
void due_mark_unacked (Dispatch *d);
void due_run (Dispatch *d);
ClockMs due_next (const Dispatch *d);

/* holds.c */
void holds_tick (Dispatch *d, PoolWorker *w);
void holds_on_reply (Dispatch *d,
                     PoolWorker *w,
                     const PendingCall *call,
                     const RunReply *reply);
gboolean holds_is_overdue (const Dispatch *d, const PoolWorker *w);
ClockMs holds_next (const Dispatch *d, const PoolWorker *w);
void holds_ignore_reply (Dispatch *d, PoolWorker *w);
void holds_ask_again (Dispatch *d, PoolWorker *w);
gboolean holds_runs_are_known (const PoolWorker *w);
ClockMs holds_drain_stop_at (const PoolWorker *w);
ClockMs holds_lease_duration (const Dispatch *d, const PoolWorker *w);
gboolean holds_is_long_step (const SpecStep *spec);
gboolean holds_wants_long_lease (const Dispatch *d, const PoolWorker *w);
extern const ClockMs holds_late_order_window;
extern const ClockMs holds_normal_lease;
extern const ClockMs holds_long_lease;

/* run_list.c */
void run_list_apply_ends (Dispatch *d,
                          PoolWorker *w,
                          const RunReply *reply,
                          gboolean stale);
void run_list_apply_runs (Dispatch *d, PoolWorker *w, const RunReply *reply);
void run_list_end_missing (Dispatch *d, PoolWorker *w, const RunReply *reply);

/* former.c */
ClockMs former_leases_end (const Dispatch *d);
void
former_load_worker (Dispatch *d, PoolWorker *w, const RosterRecords *records);
void former_on_entry (const Dispatch *d, PoolWorker *w);
gboolean former_is_silent (const Dispatch *d, const PoolWorker *w);
gboolean former_may_give_lease (const PoolWorker *w);
gboolean former_needs_write (const Dispatch *d, PoolWorker *w);
void former_mark_silent (Dispatch *d);
ClockMs former_next (const Dispatch *d);
void former_on_write (Dispatch *d, PoolWorker *w);
void former_on_stored (Dispatch *d);
GBytes *former_record (const Dispatch *d);

/* save.c */
void save_mark_dirty (Dispatch *d, WorkJob *job);
void save_remove_job (Dispatch *d, WorkJob *job);
void save_tick (Dispatch *d);
gboolean save_on_reply (Dispatch *d, const KvReply *reply);
gboolean save_is_durable (const Dispatch *d, const PoolWorker *w);
void save_append_metrics (const Dispatch *d, GString *text);
ClockMs save_next (const Dispatch *d);

/* roster.c */
void roster_load (Dispatch *d, const RosterRecords *records);
void roster_mark_dirty (Dispatch *d, const char *worker);
gboolean roster_may_name (const Dispatch *d, const char *worker);
void roster_update_worker (Dispatch *d, PoolWorker *w);
void roster_tick (Dispatch *d);
gboolean roster_on_reply (Dispatch *d, const KvReply *reply);
ClockMs roster_next (const Dispatch *d);

/* waiting.c */
void waiting_tick (Dispatch *d);
gboolean waiting_on_reply (Dispatch *d, const KvReply *reply);
ClockMs waiting_next (const Dispatch *d);
void waiting_clear_save (Dispatch *d);

/* pace_save.c */
void pace_save_load (Dispatch *d, const RosterRecords *records);
void pace_save_tick (Dispatch *d);
gboolean pace_save_on_reply (Dispatch *d, const KvReply *reply);
ClockMs pace_save_next (const Dispatch *d);

/* purge.c */
void purge_tick (Dispatch *d);

/* assign.c */
void assign_all (Dispatch *d);
gboolean assign_is_heard (const PoolWorker *w);
gboolean assign_is_usable (const Dispatch *d, const PoolWorker *w);
gint64 assign_next_run (const Dispatch *d, const WorkStep *step);

void assign_record_start (Dispatch *d, WorkStep *step, guint n, gint64 run);

/* choose.c; the rest is in pass.h */
FitRequest
choose_request (const Dispatch *d, const WorkStep *step, guint count);
FitTrust choose_min_trust (const Dispatch *d, const WorkTask *task);
Service *choose_service (const Dispatch *d, const WorkJob *job);

/* claims.c */
void claims_resolve (Dispatch *d);
extern const ClockMs claims_timeout;

/* quarantine.c */
extern const ClockMs quarantine_exclusion_span;
void quarantine_exclude (Dispatch *d, PoolWorker *w, ClockMs span);
void quarantine_count_failure (Dispatch *d, PoolWorker *w, const WorkJob *job);
void quarantine_on_success (PoolWorker *w, ClockMs started);

/* standing.c */
void standing_tick (Dispatch *d);
void standing_append_metrics (const Dispatch *d, GString *text);

/* delay.c; the rest is in pass.h */
void delay_tick (Dispatch *d);
void delay_append_metrics (const Dispatch *d, GString *text);

/* orphans.c */
gboolean orphans_are_on (const Dispatch *d, const PoolWorker *w);
void orphans_stop (Dispatch *d, PoolWorker *w, const char *task, gint64 run);
void
orphans_send_stop (Dispatch *d, PoolWorker *w, const char *task, gint64 run);
void orphans_forget (Dispatch *d, PoolWorker *w);

/* evict.c */
gboolean evict_for (Dispatch *d, WorkStep *step);

#endif
