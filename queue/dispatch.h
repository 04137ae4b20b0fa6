#ifndef DISPATCH_H
#define DISPATCH_H

#include "bounds.h"
#include "job_cache.h"
#include "conf.h"
#include "effects.h"
#include "evacuation.h"
#include "node_load.h"
#include "pool.h"
#include "roster.h"
#include "term.h"

/* The scheduler; exists only on the leader, the host that holds the scheduler
   role.  It learns from the workers what runs, starts and stops tasks, and
   records how they end. */
typedef struct Dispatch Dispatch;

/* Identifies the term of leadership that the scheduler acts under. */
typedef struct DispatchTerm
{
  gint64 fence;         /* fencing token sent with every order */
  gint64 first_run;     /* lowest run number of this term */
  gint64 role_revision; /* of the role key; precondition of every write */
  TermHistory history;  /* of the terms before */
} DispatchTerm;

Dispatch *dispatch_new (Effects *fx,
                        JobCache *job_cache,
                        const RosterRecords *roster,
                        const DispatchTerm *term,
                        gsize max_store_value,
                        const Bounds *bounds,
                        const EvacuationSet *evacuations,
                        ClockMs now,
                        ClockMs wall);
void dispatch_free (Dispatch *d);
void dispatch_set_time (Dispatch *d,
                        ClockMs now,
                        ClockMs wall,
                        gboolean may_send_orders);
void dispatch_on_conf (Dispatch *d, Conf *conf);
void dispatch_on_worker (Dispatch *d, PoolEntry *entry);
void dispatch_on_worker_gone (Dispatch *d, const char *id);
guint
dispatch_on_evacuation (Dispatch *d, const char *domain, gboolean is_named);
void
dispatch_on_evacuation_ended (Dispatch *d, const char *domain, ClockMs lasted);
void dispatch_set_evacuations_age (Dispatch *d, ClockMs age);
void dispatch_on_job_entry (Dispatch *d, JobEntry *entry);
void dispatch_on_run_reply (Dispatch *d, const RunReply *reply);
gboolean dispatch_on_kv_reply (Dispatch *d, const KvReply *reply);
void dispatch_tick (Dispatch *d);
gboolean dispatch_plan (Dispatch *d);
void dispatch_on_plan_span (Dispatch *d, ClockMs span);
void dispatch_set_load (Dispatch *d, const NodeLoad *load);
ClockMs dispatch_next_deadline (const Dispatch *d);
gboolean dispatch_has_lost_role (const Dispatch *d);
void dispatch_append_metrics (const Dispatch *d, GString *text);

#endif
