#include "dispatch_state.h"

#include "term.h"

enum
{
  PLAN_PACE_MS = 15,  /* changes that come close together are planned once */
  PLAN_IDLE_MS = 250, /* for what only time changes: ages, quarantines */
  DUE_LOOK_MS = 50    /* how exactly due times are kept */
};

/* Returns the scheduler for TERM.  BOOK and ROSTER, of which whole listings
   must have been taken over under this term, and FX stay the caller's. */
Dispatch *
dispatch_new (Effects *fx,
              Book *book,
              const RosterRecords *roster,
              const DispatchTerm *term,
              ClockMs now,
              ClockMs wall)
{
  Dispatch *d = g_new0 (Dispatch, 1);
  GHashTableIter i;
  gpointer entry;

  d->fx = fx;
  d->book = book;
  d->term = *term;
  d->now = now;
  d->wall = wall;
  d->started = now;
  d->may_order = TRUE;
  d->replan = TRUE;
  pool_init (&d->pool);
  due_start (d);
  APR_RING_INIT (&d->jobs, WorkJob, link);
  d->save.jobs = g_ptr_array_new ();
  d->save.values =
      g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_queue_init (&d->save.dirty);
  g_queue_init (&d->to_list);
  d->former_lapse = holds_former_lapse (d);
  d->strays = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  roster_start (d, roster);
  g_hash_table_iter_init (&i, book_entries (book));
  while (g_hash_table_iter_next (&i, NULL, &entry))
    dispatch_on_entry (d, entry);
  return d;
}

static void
forget (Dispatch *d, WorkJob *job)
{
  save_forget (d, job);
  job->entry->work = NULL;
  APR_RING_REMOVE (job, link);
  work_job_free (job);
}

/* Releases D; what runs goes on until another host takes it over. */
void
dispatch_free (Dispatch *d)
{
  if (!d)
    return;
  while (!APR_RING_EMPTY (&d->jobs, WorkJob, link))
    forget (d, APR_RING_FIRST (&d->jobs));
  g_ptr_array_unref (d->roster.ids);
  g_ptr_array_unref (d->save.jobs);
  g_ptr_array_unref (d->save.values);
  g_queue_clear (&d->save.dirty);
  g_queue_clear (&d->to_list);
  g_clear_pointer (&d->orders, g_hash_table_unref);
  g_hash_table_unref (d->strays);
  waiting_stop (d);
  due_clear (d);
  pool_clear (&d->pool);
  conf_unref (d->conf);
  g_free (d);
}

/* Tells D the time, NOW on the scheduler's clock, WALL in Unix time, and
   whether it may give orders and renew leases: else it only listens. */
void
dispatch_set_time (Dispatch *d, ClockMs now, ClockMs wall, gboolean may_order)
{
  d->may_order = may_order;
  d->now = MAX (d->now, now);
  d->wall = wall;
}

/* Takes CONF for the configuration in force. */
void
dispatch_on_conf (Dispatch *d, Conf *conf)
{
  conf_unref (d->conf);
  d->conf = conf_ref (conf);
  d->replan = TRUE;
}

/* Takes ENTRY, which becomes D's, for what its worker now says. */
void
dispatch_on_worker (Dispatch *d, PoolEntry *entry)
{
  PoolWorker *w = pool_find (&d->pool, entry->id);
  gboolean is_new = !w;

  if (w && w->entry->draining != entry->draining)
    roster_mark (d, entry->id);
  w = pool_update (&d->pool, entry);
  if (entry->draining)
    {
      w->leaves_at = d->now + entry->drain_remaining;
      w->poll_immediately = w->n_placements > 0;
    }

  if (is_new)
    {
      w->lease_expiry = d->former_lapse;
      w->next_poll = d->now;
      roster_mark (d, entry->id);
    }
  else if (w->incarnation && entry->incarnation &&
           entry->incarnation > w->incarnation)
    {
      /* A hold that the former life was sent is not waited for. */
      holds_drop_call (d, w);
      w->next_poll = d->now;
      w->poll_immediately = TRUE;
      runs_cancel_late_starts (d, w);
    }
  due_touch (d, w);
  d->replan = TRUE;
}

/* Takes worker ID for gone from the store.  It may be cut off and run on,
   so its runs count until their lease has lapsed. */
void
dispatch_on_worker_gone (Dispatch *d, const char *id)
{
  PoolWorker *w = pool_find (&d->pool, id);

  if (!w)
    return;
  w->registered = FALSE;
  w->poll_immediately = TRUE;
  due_touch (d, w);
  d->replan = TRUE;
}

/* Returns the scheduler's state of ENTRY's job, made if need be. */
WorkJob *
dispatch_work_of (Dispatch *d, BookEntry *entry)
{
  WorkJob *job = entry->work;

  if (job)
    return job;
  job = work_job_new (entry, d->now, d->wall);
  entry->work = job;
  APR_RING_INSERT_TAIL (&d->jobs, job, WorkJob, link);
  return job;
}

/* Puts JOB into STATE for the reason that the caller has logged; a final
   state stops what runs of it. */
void
dispatch_set_state (Dispatch *d, WorkJob *job, JobState state)
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
  save_mark (d, job);
  if (spec_state_is_final (state) && state != JOB_COMPLETED)
    runs_stop_job (d, job, spec_state_name (state));
  d->replan = TRUE;
  dispatch_may_forget (d, job);
}

/* Lets JOB be forgotten once nothing of it is left to do. */
void
dispatch_may_forget (Dispatch *d, WorkJob *job)
{
  if (spec_state_is_final (job->state) && job->n_placements == 0)
    d->reap = TRUE;
}

static void
reap (Dispatch *d)
{
  WorkJob *job, *next;

  if (!d->reap)
    return;
  d->reap = FALSE;
  APR_RING_FOREACH_SAFE (job, next, &d->jobs, WorkJob, link)
    if (spec_state_is_final (job->state) && job->n_placements == 0 &&
        !job->saving && job->save_order == 0 && d->all_known)
      forget (d, job);
}

/* Takes over a change of ENTRY: a new job, or a cancel. */
void
dispatch_on_entry (Dispatch *d, BookEntry *entry)
{
  WorkJob *job = entry->work;

  if (!entry->job)
    {
      if (job && job->n_placements == 0 && !job->saving)
        forget (d, job);
      return;
    }
  if (!job &&
      spec_state_is_final (entry->progress ? (JobState)entry->progress->state
                                           : JOB_QUEUED) &&
      d->all_known)
    return;
  if (!job)
    {
      job = dispatch_work_of (d, entry);
      d->replan = TRUE;
    }
  if (entry->cancelled && !spec_state_is_final (job->state))
    dispatch_set_state (d, job, JOB_CANCELLED);
}

/* Takes REPLY to an order. */
void
dispatch_on_run_reply (Dispatch *d, const RunReply *reply)
{
  gpointer key, value;
  Ordered *o;
  PoolWorker *w;

  if (!d->orders ||
      !g_hash_table_lookup_extended (d->orders, &reply->id, &key, &value))
    return;
  o = value;
  w = pool_find (&d->pool, o->worker);
  if (w)
    due_touch (d, w);
  if (o->op != RUN_POLL)
    runs_on_reply (d, o, reply);
  else if (w)
    holds_on_reply (d, w, reply);
  g_hash_table_remove (d->orders, &reply->id);
}

/* Takes REPLY if it answers a call of D's to the store; returns whether it
   did. */
gboolean
dispatch_on_kv_reply (Dispatch *d, const KvReply *reply)
{
  return save_on_reply (d, reply) || roster_on_reply (d, reply) ||
         waiting_on_reply (d, reply);
}

/* Tells whether D must give the role up. */
gboolean
dispatch_is_deposed (const Dispatch *d)
{
  return d->deposed;
}

static void
look_for_all_known (Dispatch *d)
{
  guint i;

  if (d->all_known)
    return;
  for (i = 0; i < pool_size (&d->pool); i++)
    if (!holds_is_settled (pool_at (&d->pool, i)))
      return;
  d->all_known = TRUE;
  d->replan = TRUE;
  d->reap = TRUE;
  effects_log (d->fx,
               "event=workers_known workers=%u span_ms=%" CLOCK_MS_FORMAT,
               pool_size (&d->pool), d->now - d->started);
  effects_measure (d->fx, MEASURE_TAKEOVER, d->now - d->started);
  runs_stop_incomplete_gangs (d);
}

static void
add_due_occurrences (Dispatch *d)
{
  WorkJob *job;

  if (d->next_occurrences > d->now)
    return;
  d->next_occurrences = d->now + DUE_LOOK_MS;
  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (!spec_state_is_final (job->state) && work_job_add_due (job, d->wall))
      d->replan = TRUE;
}

/* Does what is due. */
void
dispatch_tick (Dispatch *d)
{
  if (d->deposed)
    return;
  due_run (d);
  look_for_all_known (d);
  add_due_occurrences (d);
  if (d->conf && d->may_order &&
      ((d->replan && d->now >= d->next_plan) ||
       d->now >= d->next_plan + PLAN_IDLE_MS))
    {
      d->replan = FALSE;
      d->next_plan = d->now + PLAN_PACE_MS;
      assign_all (d);
    }
  save_tick (d);
  roster_tick (d);
  waiting_tick (d);
  purge_tick (d);
  reap (d);
}

/* Returns when dispatch_tick has something to do. */
ClockMs
dispatch_next_deadline (const Dispatch *d)
{
  ClockMs next = MAX (d->next_occurrences, d->now + 1);

  if (d->replan && d->may_order)
    next = MIN (next, MAX (d->next_plan, d->now + 1));
  next = MIN (next, MAX (save_next (d), d->now + 1));
  next = MIN (next, MAX (roster_next (d), d->now + 1));
  next = MIN (next, MAX (waiting_next (d), d->now + 1));
  return MIN (next, MAX (due_next (d), d->now + 1));
}

/* Appends counters of D to TEXT, a line each. */
void
dispatch_describe (const Dispatch *d, GString *text)
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
}
