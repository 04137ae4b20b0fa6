#include "dispatch_state.h"

#include <string.h>

/* Withdrawal of what is in flight to the workers of an evacuated domain.  What
   runs there goes on. */

/* Takes PLACEMENT's start back if it has not left the host yet.  The link is no
   longer charged for it. */
static void
recall_start (Dispatch *d, WorkPlacement *placement)
{
  gint64 id = placement->call_id;

  if (placement->awaits_reading)
    link_remove_bytes (&d->fx->link, d->now, runs_start_bytes (placement));
  placement->awaits_reading = FALSE;
  if (!id || placement->state != PLACEMENT_STARTING ||
      !effects_cancel_run (d->fx, id))
    return;
  call_limit_on_reply (&placement->worker->calls, d->now, FALSE);
  due_mark (d, placement->worker);
  g_hash_table_remove (d->pending_calls, &id);
  placement->call_id = 0;
  placement->order_attempts--;
  placement->start_sent =
      placement->order_attempts > 0 || placement->start_unconfirmed;
  placement->retry_at = d->now;
}

/* Takes back the starts of PLACEMENT, or of its gang, that have not left the
   host. */
static void
recall_unit (Dispatch *d, WorkPlacement *placement)
{
  WorkStep *step = placement->task->step;
  guint i;

  if (!step->spec->gang)
    {
      recall_start (d, placement);
      return;
    }
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].placement)
      recall_start (d, step->tasks[i].placement);
}

static gboolean
awaits_confirmation (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_RESERVED ||
         placement->state == PLACEMENT_STARTING;
}

/* Tells whether the gang STEP has a member that its worker has not confirmed.
   Members that run, but have not been listed to this scheduler, have no
   placement yet. */
static gboolean
has_unconfirmed_member (const WorkStep *step)
{
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].placement &&
        awaits_confirmation (step->tasks[i].placement))
      return TRUE;
  return FALSE;
}

static gboolean
is_unsent (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STARTING && !placement->start_sent;
}

/* Tells whether PLACEMENT, on an evacuated worker, must be placed elsewhere.  A
   start whose answer is outstanding is left alone until that has come.  A gang
   goes on only if all of its workers have confirmed it. */
static gboolean
must_withdraw (const WorkPlacement *placement)
{
  const WorkStep *step = placement->task->step;

  if (step->spec->gang)
    return !step->stopping_gang && has_unconfirmed_member (step);
  return awaits_confirmation (placement) && !placement->call_id;
}

/* Tells whether PLACEMENT's start may still begin a run. */
static gboolean
is_start_outstanding (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_STARTING ||
         (placement->state == PLACEMENT_STOPPING && !placement->stop_acked &&
          !placement->confirmed_call);
}

typedef gboolean (*PlacementFilter) (const WorkPlacement *placement);

static WorkPlacement *
find_placement (PoolWorker *w, PlacementFilter filter)
{
  WorkPlacement *placement;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    if (filter (placement))
      return placement;
  return NULL;
}

/* Logs that PLACEMENT, and its gang, is withdrawn for REASON. */
static void
log_withdrawn (Dispatch *d, const WorkPlacement *placement, const char *reason)
{
  const WorkStep *step = placement->task->step;

  effects_log_detail (
      d->fx,
      "event=withdrawn job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " worker=%s state=%s gang=%" G_GINT64_FORMAT " reason=%s",
      step->job->entry->id, step->occurrence, step->number,
      placement->task->index, placement->run, placement->worker->entry->id,
      work_placement_state_name (placement->state), step->spec->gang, reason);
}

/* Withdraws the placements on W that FILTER chooses, with their gangs: those
   that were never sent end at once, others are stopped.  No failure is counted.
   Returns how many there were. */
static guint
withdraw_chosen (Dispatch *d,
                 PoolWorker *w,
                 PlacementFilter filter,
                 const char *reason)
{
  WorkPlacement *placement;
  guint n = 0;

  APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
    recall_start (d, placement);
  /* Stopping one may free it, and others of its gang. */
  while ((placement = find_placement (w, filter)))
    {
      const WorkStep *step = placement->task->step;

      n += step->spec->gang ? step->n_placements : 1;
      recall_unit (d, placement);
      log_withdrawn (d, placement, reason);
      runs_stop_unit (d, placement, reason);
    }
  return n;
}

/* Withdraws what is in flight to W if its domain is evacuated.  Returns how
   many placements that were. */
guint
withdraw_from_worker (Dispatch *d, PoolWorker *w)
{
  guint n;

  if (!w->evacuated || w->n_placements == 0)
    return 0;
  n = withdraw_chosen (d, w, must_withdraw, "evacuation");
  d->n_withdrawn += n;
  return n;
}

/* Forgets what was found about the capacity of all workers. */
static void
forget_capacity (Dispatch *d)
{
  WorkJob *job;
  WorkStep *step;

  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    APR_RING_FOREACH (step, &job->steps, WorkStep, link)
      step->fits_idle_fleet_until = 0;
  d->replan = TRUE;
}

/* Notes whether W's domain, by its present entry, is evacuated. */
void
withdraw_on_entry (Dispatch *d, PoolWorker *w)
{
  gboolean evacuated = evacuation_is_closed (d->evacuations, w->entry->domain);

  if (evacuated != w->evacuated)
    forget_capacity (d);
  w->evacuated = evacuated;
  withdraw_from_worker (d, w);
}

/* Marks the workers of DOMAIN as EVACUATED or not.  Returns how many of them
   are registered. */
static guint
mark_workers (Dispatch *d, const char *domain, gboolean evacuated)
{
  guint n = 0;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (g_strcmp0 (w->entry->domain, domain) != 0)
        continue;
      w->evacuated = evacuated;
      n += w->registered;
    }
  forget_capacity (d);
  return n;
}

/* Returns how many starts in DOMAIN, which is evacuated, may still begin a
   run. */
static guint
count_outstanding (const Dispatch *d, const char *domain)
{
  guint n = 0;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);
      const WorkPlacement *placement;

      if (!w->evacuated || strcmp (w->entry->domain, domain) != 0)
        continue;
      APR_RING_FOREACH (placement, &w->placements, WorkPlacement, on_worker)
        n += is_start_outstanding (placement);
    }
  return n;
}

/* Withdraws all that is in flight to DOMAIN.  Returns how many placements that
   were. */
static guint
withdraw_from_domain (Dispatch *d, const char *domain)
{
  guint n = 0;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (w->evacuated && strcmp (w->entry->domain, domain) == 0)
        n += withdraw_from_worker (d, w);
    }
  return n;
}

/* Handles that DOMAIN was evacuated.  IS_NAMED tells whether the settings name
   it.  Returns how many registered workers it has. */
guint
withdraw_on_evacuation (Dispatch *d, const char *domain, gboolean is_named)
{
  const Evacuation *e = evacuation_find (d->evacuations, domain);
  guint n_workers = mark_workers (d, domain, TRUE);
  char *name = evacuation_log_name (domain);
  guint n;

  effects_log (d->fx,
               "event=evacuation_seen domain=%s revision=%" G_GINT64_FORMAT
               " workers=%u known=%d",
               name, e->revision, n_workers, is_named || n_workers > 0);
  n = withdraw_from_domain (d, domain);
  effects_log (d->fx,
               "event=evacuation_in_force domain=%s withdrawn=%u in_flight=%u "
               "age_ms=%" CLOCK_MS_FORMAT,
               name, n, count_outstanding (d, domain), d->now - e->since);
  g_free (name);
  g_ptr_array_add (d->unsettled, g_strdup (domain));
  return n_workers;
}

static void
settle (Dispatch *d, const char *domain)
{
  guint i;

  if (g_ptr_array_find_with_equal_func (d->unsettled, domain, g_str_equal, &i))
    g_ptr_array_remove_index_fast (d->unsettled, i);
}

/* Handles that DOMAIN is back in service after LASTED milliseconds. */
void
withdraw_on_evacuation_ended (Dispatch *d, const char *domain, ClockMs lasted)
{
  char *name = evacuation_log_name (domain);

  mark_workers (d, domain, FALSE);
  settle (d, domain);
  effects_log (d->fx,
               "event=evacuation_ended domain=%s lasted_ms=%" CLOCK_MS_FORMAT,
               name, lasted);
  g_free (name);
}

static void
log_last_start (Dispatch *d, const char *domain)
{
  char *name = evacuation_log_name (domain);

  effects_log (d->fx,
               "event=evacuation_last_start domain=%s age_ms=%" CLOCK_MS_FORMAT,
               name, d->now - evacuation_find (d->evacuations, domain)->since);
  g_free (name);
}

/* Tells whether it is certain what runs on each worker of DOMAIN, which is
   evacuated.  Until then, starts of a former scheduler may be outstanding
   there. */
static gboolean
runs_are_known_in (const Dispatch *d, const char *domain)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);

      if (w->evacuated && w->recorded && !holds_runs_are_known (w) &&
          strcmp (w->entry->domain, domain) == 0)
        return FALSE;
    }
  return TRUE;
}

/* Logs for each evacuated domain when its last outstanding start is over. */
void
withdraw_tick (Dispatch *d)
{
  guint i = d->unsettled->len;

  while (i-- > 0)
    {
      const char *domain = g_ptr_array_index (d->unsettled, i);

      if (!runs_are_known_in (d, domain) || count_outstanding (d, domain))
        continue;
      log_last_start (d, domain);
      g_ptr_array_remove_index_fast (d->unsettled, i);
    }
}

/* Withdraws the starts that have not left the host. */
static void
withdraw_unsent (Dispatch *d)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    withdraw_chosen (d, pool_at (&d->pool, i), is_unsent,
                     "evacuations_unknown");
}

/* Holds starts back while a request that was written AGE milliseconds ago, or
   at any time if CLOCK_NEVER, may not be known here, and a start that is sent
   now could be late for it. */
void
withdraw_set_age (Dispatch *d, ClockMs age)
{
  gboolean held =
      d->bounds.evacuation && age > evacuation_max_age (d->bounds.evacuation);

  if (held == d->starts_held)
    return;
  d->starts_held = held;
  if (held)
    {
      effects_log (d->fx,
                   "event=starts_held reason=evacuations_unknown "
                   "age_ms=%" CLOCK_MS_FORMAT,
                   age == CLOCK_NEVER ? -1 : age);
      withdraw_unsent (d);
    }
  else
    effects_log (d->fx, "event=starts_released");
  d->replan = TRUE;
}

/* Appends the counts of withdrawn starts to TEXT, one per line. */
void
withdraw_append_metrics (const Dispatch *d, GString *text)
{
  g_string_append_printf (
      text,
      "wagtailpass_scheduler_evacuation_withdrawn_total %" G_GINT64_FORMAT "\n",
      d->n_withdrawn);
  g_string_append_printf (text, "wagtailpass_scheduler_starts_held %d\n",
                          d->starts_held);
}
