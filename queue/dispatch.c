#include "dispatch_state.h"

#include "term.h"

#include <string.h>

enum
{
  PLAN_MIN_INTERVAL_MS = 15,  /* batches changes that arrive close together */
  PLAN_MAX_INTERVAL_MS = 250, /* ages and quarantines change without an event */
  /* Passes are this many times their own length apart, so that they leave the
     processor to what else there is. */
  PLAN_PAUSE_FACTOR = 5,
  OCCURRENCE_CHECK_MS = 50, /* precision of occurrence due times */
  SCARCITY_CHECK_MS = 1000,
  /* From 1/8 of the workers on, scarce connections are taken for a property of
     all; a single worker may be ill. */
  SCARCE_WORKERS_DIVISOR = 8
};

/* Creates the scheduler of TERM.  JOB_CACHE and ROSTER must have been loaded
   completely within this term.  The store takes values of MAX_STORE_VALUE
   bytes; 0: unknown.  The caller keeps ownership of JOB_CACHE, ROSTER, FX and
   EVACUATIONS, the domains that are evacuated; all but ROSTER must outlive the
   scheduler. */
Dispatch *
dispatch_new (Effects *fx,
              JobCache *job_cache,
              const RosterRecords *roster,
              const DispatchTerm *term,
              gsize max_store_value,
              const Bounds *bounds,
              const EvacuationSet *evacuations,
              ClockMs now,
              ClockMs wall)
{
  Dispatch *d = g_new0 (Dispatch, 1);
  GHashTableIter i;
  gpointer entry;

  d->fx = fx;
  d->job_cache = job_cache;
  d->term = *term;
  d->bounds = *bounds;
  d->evacuations = evacuations;
  d->unsettled = g_ptr_array_new_with_free_func (g_free);
  d->now = now;
  d->wall = wall;
  d->started_at = now;
  d->load = (NodeLoad) { .pieces = G_MAXUINT };
  d->may_send_orders = TRUE;
  d->replan = TRUE;
  pool_init (&d->pool);
  d->services = service_table_new ();
  pace_init (&d->pace);
  due_init (d);
  APR_RING_INIT (&d->jobs, WorkJob, link);
  d->save.max_value = max_store_value;
  d->save.in_flight_jobs = g_ptr_array_new ();
  d->save.refused = g_ptr_array_new ();
  d->save.in_flight_values =
      g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_queue_init (&d->save.dirty);
  g_queue_init (&d->first_hold_queue);
  d->prev_leases_expire_at = former_leases_end (d);
  d->orphans = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  roster_load (d, roster);
  pace_save_load (d, roster);
  g_hash_table_iter_init (&i, job_cache_entries (job_cache));
  while (g_hash_table_iter_next (&i, NULL, &entry))
    dispatch_on_job_entry (d, entry);
  return d;
}

static void
remove_job (Dispatch *d, WorkJob *job)
{
  save_remove_job (d, job);
  job->entry->scheduler_job = NULL;
  APR_RING_REMOVE (job, link);
  work_job_free (job);
}

/* Frees D.  Running tasks continue; the next leader takes them over. */
void
dispatch_free (Dispatch *d)
{
  if (!d)
    return;
  while (!APR_RING_EMPTY (&d->jobs, WorkJob, link))
    remove_job (d, APR_RING_FIRST (&d->jobs));
  g_ptr_array_unref (d->roster.in_flight_ids);
  g_ptr_array_unref (d->unsettled);
  g_ptr_array_unref (d->save.in_flight_jobs);
  g_ptr_array_unref (d->save.in_flight_values);
  g_ptr_array_unref (d->save.refused);
  g_queue_clear (&d->save.dirty);
  g_queue_clear (&d->first_hold_queue);
  g_clear_pointer (&d->pending_calls, g_hash_table_unref);
  g_hash_table_unref (d->orphans);
  waiting_clear_save (d);
  due_clear (d);
  pace_clear (&d->pace);
  service_table_free (d->services);
  pool_clear (&d->pool);
  conf_unref (d->conf);
  g_free (d);
}

/* Sets the current time: NOW on the host's own clock, WALL as Unix time,
   both in milliseconds.  Without MAY_SEND_ORDERS, D neither starts nor stops
   tasks nor renews leases; it still polls workers and handles replies. */
void
dispatch_set_time (Dispatch *d,
                   ClockMs now,
                   ClockMs wall,
                   gboolean may_send_orders)
{
  d->may_send_orders = may_send_orders;
  d->now = MAX (d->now, now);
  d->wall = wall;
}

/* Applies CONF as the current configuration; takes a reference. */
void
dispatch_on_conf (Dispatch *d, Conf *conf)
{
  conf_unref (d->conf);
  d->conf = conf_ref (conf);
  d->replan = TRUE;
}

/* Applies ENTRY, a worker's current record in the store.  Takes ownership. */
void
dispatch_on_worker (Dispatch *d, PoolEntry *entry)
{
  PoolWorker *w = pool_find (&d->pool, entry->id);
  gboolean is_new = !w;

  if (w && (w->entry->draining != entry->draining ||
            strcmp (w->entry->address, entry->address) != 0))
    roster_mark_dirty (d, entry->id);
  w = pool_update (&d->pool, entry);
  if (entry->draining)
    {
      w->leaves_at = d->now + entry->drain_remaining;
      w->poll_immediately = w->n_placements > 0;
    }

  if (is_new)
    {
      w->lease_expiry = d->prev_leases_expire_at;
      w->next_poll = d->now;
      w->recorded = roster_may_name (d, entry->id);
    }
  else if (w->incarnation && entry->incarnation &&
           entry->incarnation > w->incarnation)
    {
      /* The worker restarted; a hold sent before that will not be answered. */
      holds_ignore_reply (d, w);
      w->next_poll = d->now;
      w->poll_immediately = TRUE;
      grant_on_newer_entry (d, w);
    }
  former_on_entry (d, w);
  withdraw_on_entry (d, w);
  due_mark (d, w);
  d->replan = TRUE;
}

/* Handles the removal of worker ID's record from the store.  The worker may be
   partitioned and still run its tasks, so its runs count as active until their
   lease expires. */
void
dispatch_on_worker_gone (Dispatch *d, const char *id)
{
  PoolWorker *w = pool_find (&d->pool, id);

  if (!w)
    return;
  w->registered = FALSE;
  w->poll_immediately = TRUE;
  due_mark (d, w);
  d->replan = TRUE;
}

/* Handles that DOMAIN was evacuated; IS_NAMED tells whether the settings name
   it.  Returns how many registered workers it has. */
guint
dispatch_on_evacuation (Dispatch *d, const char *domain, gboolean is_named)
{
  return withdraw_on_evacuation (d, domain, is_named);
}

/* Handles that DOMAIN is back in service after LASTED milliseconds. */
void
dispatch_on_evacuation_ended (Dispatch *d, const char *domain, ClockMs lasted)
{
  withdraw_on_evacuation_ended (d, domain, lasted);
}

/* Tells D that each request to evacuate a domain that was written more than AGE
   milliseconds ago is known.  With too great an age no start is sent. */
void
dispatch_set_evacuations_age (Dispatch *d, ClockMs age)
{
  withdraw_set_age (d, age);
}

/* Returns the scheduler's state of ENTRY's job; creates it if absent. */
WorkJob *
dispatch_ensure_job (Dispatch *d, JobEntry *entry)
{
  WorkJob *job = entry->scheduler_job;

  if (job)
    return job;
  job = work_job_new (entry, d->now, d->wall);
  entry->scheduler_job = job;
  APR_RING_INSERT_TAIL (&d->jobs, job, WorkJob, link);
  return job;
}

/* Moves JOB to STATE and queues it for saving; the caller has logged the
   reason. A final state other than completed stops the job's runs. */
void
dispatch_set_job_state (Dispatch *d, WorkJob *job, JobState state)
{
  effects_log (d->fx,
               "event=job_%s job=%s priority=%" G_GINT64_FORMAT
               " age_ms=%" CLOCK_MS_FORMAT " objective_ms=%" CLOCK_MS_FORMAT,
               spec_state_name (state), job->entry->id,
               job->entry->job->priority, d->now - job->accepted_at,
               job->objective);
  job->state = state;
  if (state == JOB_COMPLETED)
    effects_measure (d->fx, MEASURE_COMPLETION, d->now - job->accepted_at);
  save_mark_dirty (d, job);
  if (spec_state_is_final (state) && state != JOB_COMPLETED)
    runs_stop_job (d, job, spec_state_name (state));
  d->replan = TRUE;
  dispatch_check_finished (d, job);
}

/* Schedules the removal of JOB if it is in a final state and has no parts. */
void
dispatch_check_finished (Dispatch *d, WorkJob *job)
{
  if (spec_state_is_final (job->state) && job->n_placements == 0)
    d->reap_pending = TRUE;
}

static void
reap (Dispatch *d)
{
  WorkJob *job, *next;

  if (!d->reap_pending)
    return;
  d->reap_pending = FALSE;
  APR_RING_FOREACH_SAFE (job, next, &d->jobs, WorkJob, link)
    if (spec_state_is_final (job->state) && job->n_placements == 0 &&
        !job->saving && job->save_order == 0 && d->all_runs_known)
      remove_job (d, job);
}

/* Handles a change of ENTRY: a new or deleted job, or a cancellation. */
void
dispatch_on_job_entry (Dispatch *d, JobEntry *entry)
{
  WorkJob *job = entry->scheduler_job;

  if (!entry->job)
    {
      if (job && job->n_placements == 0 && !job->saving)
        remove_job (d, job);
      return;
    }
  if (!job &&
      spec_state_is_final (entry->progress ? (JobState)entry->progress->state
                                           : JOB_QUEUED) &&
      d->all_runs_known)
    return;
  if (!job)
    {
      job = dispatch_ensure_job (d, entry);
      d->replan = TRUE;
    }
  if (entry->cancelled && !spec_state_is_final (job->state))
    dispatch_set_job_state (d, job, JOB_CANCELLED);
}

/* Counts REPLY to CALL, which was sent to W.  A worker that refuses the call's
   connection while it serves others accepts no more of them. */
static void
count_reply (Dispatch *d,
             PoolWorker *w,
             const PendingCall *call,
             const RunReply *reply)
{
  gboolean answered = reply->status != RUN_LOST && reply->status != RUN_UNSENT;

  call_limit_on_reply (&w->calls, d->now, answered);
  if (answered)
    call_limit_on_answer (&w->calls, call->sent_at);
  if (answered && !call->waits)
    rtt_record (&w->rtt, d->now - call->sent_at);
  if (!reply->refused || !call_limit_serves_others (&w->calls, call->sent_at))
    return;
  call_limit_on_refusal (&w->calls, d->now);
  effects_log_detail (d->fx, "event=connection_refused worker=%s max_calls=%u",
                      w->entry->id, w->calls.max);
}

/* Dispatches REPLY, a worker's reply, to the call that it answers. */
void
dispatch_on_run_reply (Dispatch *d, const RunReply *reply)
{
  gpointer key, value;
  PendingCall *o;
  PoolWorker *w;

  if (!d->pending_calls ||
      !g_hash_table_lookup_extended (d->pending_calls, &reply->id, &key,
                                     &value))
    return;
  o = value;
  w = pool_find (&d->pool, o->worker);
  if (w)
    {
      due_mark (d, w);
      count_reply (d, w, o, reply);
      if (reply->status == RUN_LOST)
        grant_note_lost (d, w, o);
    }
  if (o->op != RUN_POLL)
    runs_on_reply (d, o, reply);
  else if (w)
    holds_on_reply (d, w, o, reply);
  g_hash_table_remove (d->pending_calls, &reply->id);
}

/* Handles REPLY if it answers one of D's store calls.  Returns whether it
   does. */
gboolean
dispatch_on_kv_reply (Dispatch *d, const KvReply *reply)
{
  return save_on_reply (d, reply) || roster_on_reply (d, reply) ||
         pace_save_on_reply (d, reply) || waiting_on_reply (d, reply);
}

/* Tells whether another host leads, so that this one has to step down. */
gboolean
dispatch_has_lost_role (const Dispatch *d)
{
  return d->lost_role;
}

static void
check_all_runs_known (Dispatch *d)
{
  guint i;

  if (d->all_runs_known)
    return;
  /* A former scheduler has recorded each worker before it used it. */
  for (i = 0; i < pool_size (&d->pool); i++)
    if (pool_at (&d->pool, i)->recorded &&
        !holds_runs_are_known (pool_at (&d->pool, i)))
      return;
  d->all_runs_known = TRUE;
  d->replan = TRUE;
  d->reap_pending = TRUE;
  effects_log (d->fx,
               "event=workers_known workers=%u span_ms=%" CLOCK_MS_FORMAT,
               pool_size (&d->pool), d->now - d->started_at);
  effects_measure (d->fx, MEASURE_TAKEOVER, d->now - d->started_at);
  runs_stop_incomplete_gangs (d);
}

static void
add_due_occurrences (Dispatch *d)
{
  WorkJob *job;

  if (d->next_occurrences > d->now)
    return;
  d->next_occurrences = d->now + OCCURRENCE_CHECK_MS;
  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (!spec_state_is_final (job->state) && work_job_add_due (job, d->wall))
      d->replan = TRUE;
}

/* Counts the workers with scarce connections now and then, and logs when all
   are taken to be like them or no longer. */
static void
check_scarcity (Dispatch *d)
{
  guint n;
  gboolean scarce;

  if (d->next_scarcity > d->now)
    return;
  d->next_scarcity = d->now + SCARCITY_CHECK_MS;
  n = pool_count_scarce (&d->pool);
  scarce = n > 0 && n * SCARCE_WORKERS_DIVISOR >= pool_size (&d->pool);
  if (scarce == d->pool.connections_are_scarce)
    return;
  d->pool.connections_are_scarce = scarce;
  effects_log (d->fx, "event=connections scarce=%d workers=%u of=%u", scarce, n,
               pool_size (&d->pool));
}

/* Runs all due work but placement: polls workers and writes changes to the
   store. */
void
dispatch_tick (Dispatch *d)
{
  if (d->lost_role)
    return;
  due_run (d);
  check_all_runs_known (d);
  add_due_occurrences (d);
  check_scarcity (d);
  save_tick (d);
  roster_tick (d);
  waiting_tick (d);
  pace_save_tick (d);
  purge_tick (d);
  withdraw_tick (d);
  standing_tick (d);
  delay_tick (d);
  reap (d);
}

static gboolean
may_place (const Dispatch *d)
{
  return d->may_send_orders && !d->starts_held;
}

/* Runs a placement pass if one is due.  Returns whether it was. */
gboolean
dispatch_plan (Dispatch *d)
{
  if (d->lost_role || !d->conf || !may_place (d))
    return FALSE;
  if ((!d->replan || d->now < d->next_plan) &&
      d->now < d->next_plan + PLAN_MAX_INTERVAL_MS)
    return FALSE;
  d->replan = FALSE;
  d->next_plan = d->now + PLAN_MIN_INTERVAL_MS;
  assign_all (d);
  return TRUE;
}

/* Tells D what the host's processor has ahead of it. */
void
dispatch_set_load (Dispatch *d, const NodeLoad *load)
{
  d->load = *load;
}

/* Tells D that the last placement pass took SPAN milliseconds. */
void
dispatch_on_plan_span (Dispatch *d, ClockMs span)
{
  d->next_plan = MAX (d->next_plan, d->now + span * PLAN_PAUSE_FACTOR);
}

/* Returns when dispatch_tick and dispatch_plan have to be called next. */
ClockMs
dispatch_next_deadline (const Dispatch *d)
{
  ClockMs next = MAX (d->next_occurrences, d->now + 1);

  if (d->replan && may_place (d))
    next = MIN (next, MAX (d->next_plan, d->now + 1));
  next = MIN (next, MAX (save_next (d), d->now + 1));
  next = MIN (next, MAX (roster_next (d), d->now + 1));
  next = MIN (next, MAX (waiting_next (d), d->now + 1));
  next = MIN (next, MAX (pace_save_next (d), d->now + 1));
  return MIN (next, MAX (due_next (d), d->now + 1));
}

/* Appends D's metrics to TEXT, one per line. */
void
dispatch_append_metrics (const Dispatch *d, GString *text)
{
  g_string_append_printf (text, "wagtailpass_scheduler_workers %u\n",
                          pool_size (&d->pool));
  g_string_append_printf (text,
                          "wagtailpass_scheduler_starts_total %" G_GINT64_FORMAT
                          "\n",
                          d->n_starts);
  g_string_append_printf (
      text, "wagtailpass_scheduler_evictions_total %" G_GINT64_FORMAT "\n",
      d->n_evicted);
  g_string_append_printf (text, "wagtailpass_scheduler_failure_spike %d\n",
                          service_any_failure_spike (d->services));
  save_append_metrics (d, text);
  grant_append_metrics (d, text);
  standing_append_metrics (d, text);
  withdraw_append_metrics (d, text);
  delay_append_metrics (d, text);
}
