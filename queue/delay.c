#include "pass.h"

/* Knows what delays each task whose turn has come: why the last pass did not
   place it, and for how long there has been room for it all the same.  Its
   lines and counters tell; what is overdue is placed by others. */

enum
{
  /* A task is held if there is room for it so many times. */
  HELD_ROOMS = 2,
  PROBE_INTERVAL_MS = 250,       /* of what must not be held */
  SLOW_PROBE_INTERVAL_MS = 1000, /* of anything else */
  LOOK_INTERVAL_MS = 1000,
  LOG_INTERVAL_MS = 5000,
  LONG_HOLD_MS = 1500, /* shorter ones are not logged */
  /* What must not stand may do so for 3 s; the rest is for its start. */
  MAX_HOLD_MS = 1500,
  MAX_LINES = 16 /* at a look */
};

static const char *const cause_names[N_DELAY_CAUSES] = {
#define DELAY_NAME(cause, name) [cause] = (name),
  DELAY_CAUSES (DELAY_NAME)
#undef DELAY_NAME
};

/* Returns the workers that are heard, with their free room and how many tasks
   of STEP each has.  The caller frees it. */
static FitWorker *
heard_workers (const Dispatch *d, const WorkStep *step, guint *n)
{
  FitWorker *workers = g_new0 (FitWorker, pool_size (&d->pool) + 1);
  guint i, k;

  *n = 0;
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (!assign_is_heard (w))
        continue;
      workers[*n] = (FitWorker) { .worker = w, .room = pool_available (w) };
      for (k = 0; step->spec->max_per_worker && k < step->spec->count; k++)
        workers[*n].n_placed +=
            step->tasks[k].placement && step->tasks[k].placement->worker == w;
      ++*n;
    }
  return workers;
}

/* Returns a request for COUNT tasks of STEP that asks for nothing but room. */
static FitRequest
request_for_room (const Dispatch *d, const WorkStep *step, guint count)
{
  FitRequest rq = choose_request (d, step, count);

  rq.trust = FIT_ANY;
  rq.ignore_racks = TRUE;
  rq.allow_quarantined = TRUE;
  return rq;
}

/* Returns the least number of STEP's tasks that are placed together. */
static guint
unit_size (const WorkStep *step)
{
  return step->spec->gang ? (guint)step->spec->count : 1;
}

/* Returns the first unplaced task of STEP, or NULL. */
static const WorkTask *
first_unplaced (const WorkStep *step)
{
  guint i;

  for (i = 0; i < step->spec->count; i++)
    if (!step->tasks[i].done && !step->tasks[i].placement)
      return &step->tasks[i];
  return NULL;
}

/* Returns what keeps STEP, which has room on the N WORKERS, from it. */
static DelayCause
find_cause (const Dispatch *d,
            const WorkStep *step,
            const FitWorker *workers,
            guint n)
{
  const WorkTask *task = first_unplaced (step);
  FitRequest rq = choose_request (d, step, unit_size (step));
  FitWorker *usable = g_new0 (FitWorker, n + 1);
  DelayCause cause = DELAY_TRUST;
  guint n_usable = 0;
  guint i;

  for (i = 0; i < n; i++)
    if (assign_is_usable (d, workers[i].worker))
      usable[n_usable++] = workers[i];
  rq.excluded_worker = task ? task->failed_on : NULL;
  if (!fit_feasible (&rq, usable, n_usable))
    {
      cause = DELAY_RACK;
      rq.ignore_racks = TRUE;
    }
  if (!fit_feasible (&rq, usable, n_usable))
    {
      cause = DELAY_FAILED_ON;
      rq.excluded_worker = NULL;
    }
  if (!fit_feasible (&rq, usable, n_usable))
    {
      cause = DELAY_QUARANTINE;
      rq.allow_quarantined = TRUE;
    }
  if (!fit_feasible (&rq, usable, n_usable))
    cause = DELAY_EXCLUSION;
  g_free (usable);
  return cause;
}

/* Tells whether less than half of ROOM's capacity is in use, as spec_cores
   counts it. */
static gboolean
is_half_free (const ServiceRoom *room)
{
  return 2 * spec_cores (room->used.cpu_milli, room->used.accelerators) <
         spec_cores (room->total.cpu_milli, room->total.accelerators);
}

/* Tells whether STEP must not stand beside free room: a lasting task, or a job
   of which nothing runs while half of its service's room is free. */
static gboolean
must_not_stand (const Dispatch *d, const WorkStep *step)
{
  return step->spec->perpetual ||
         (step->job->n_placements == 0 &&
          is_half_free (&choose_service (d, step->job)->room));
}

/* Tells whether STEP has been held for so long that nothing but want of room
   may keep its next task, or its gang, from being placed. */
gboolean
delay_is_overdue (const WorkStep *step, ClockMs now)
{
  const StepDelay *delay = &step->delay;

  return delay->held_since && now - delay->held_since >= MAX_HOLD_MS &&
         (step->spec->perpetual || step->job->n_placements == 0);
}

/* Logs the hold of STEP, which ends now, if it was long.  That workers_known
   ends many is left to that line. */
static void
end_hold (Dispatch *d, WorkStep *step)
{
  StepDelay *delay = &step->delay;

  if (delay->held_since && delay->cause != DELAY_FORMER &&
      d->now - delay->held_since >= LONG_HOLD_MS)
    effects_log (
        d->fx,
        "event=held job=%s step=%u.%u cause=%s held_ms=%" CLOCK_MS_FORMAT,
        step->job->entry->id, step->occurrence, step->number,
        cause_names[delay->cause], d->now - delay->held_since);
  delay->held_since = 0;
}

/* Tells whether to look for room for STEP again: soon after it has become one
   that must not stand, too. */
static gboolean
is_probe_due (const Pass *p, const WorkStep *step)
{
  ClockMs interval =
      must_not_stand (p->d, step) ? PROBE_INTERVAL_MS : SLOW_PROBE_INTERVAL_MS;

  return !step->delay.probed_at ||
         p->d->now - step->delay.probed_at >= interval;
}

/* Returns the workers that stay and, unless WITH_EVACUATED, are in service,
   each with all of its capacity.  The caller frees it. */
static FitWorker *
idle_workers (const Dispatch *d, gboolean with_evacuated, guint *n)
{
  FitWorker *workers = g_new0 (FitWorker, pool_size (&d->pool) + 1);
  guint i;

  *n = 0;
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      if (w->registered && !w->entry->draining &&
          (with_evacuated || !w->evacuated))
        workers[(*n)++] =
            (FitWorker) { .worker = w, .room = w->entry->capacity };
    }
  return workers;
}

/* Tells whether STEP fits on P's idle workers, those of evacuated domains
   included if WITH_EVACUATED. */
static gboolean
fits_idle (Pass *p, const WorkStep *step, gboolean with_evacuated)
{
  FitRequest one = request_for_room (p->d, step, unit_size (step));

  if (!p->idle[with_evacuated])
    p->idle[with_evacuated] =
        idle_workers (p->d, with_evacuated, &p->n_idle[with_evacuated]);
  return fit_feasible (&one, p->idle[with_evacuated],
                       p->n_idle[with_evacuated]);
}

/* Tells whether only workers in evacuated domains could ever hold STEP. */
static gboolean
needs_evacuated (Pass *p, const WorkStep *step)
{
  return evacuation_is_any_closed (p->d->evacuations) &&
         !fits_idle (p, step, FALSE) && fits_idle (p, step, TRUE);
}

/* Looks worker by worker whether there is room for STEP, and corrects CAUSE by
   what it finds. */
static DelayCause
probe_workers (Pass *p, WorkStep *step, DelayCause cause)
{
  StepDelay *delay = &step->delay;
  const Dispatch *d = p->d;
  guint n;
  FitWorker *workers = heard_workers (d, step, &n);
  FitRequest one = request_for_room (d, step, unit_size (step));
  FitRequest twice = request_for_room (d, step, HELD_ROOMS * unit_size (step));

  if (!must_not_stand (d, step) || !fit_feasible (&twice, workers, n))
    end_hold (p->d, step);
  else if (!delay->held_since)
    delay->held_since = d->now;
  if (cause == DELAY_ROOM && fit_feasible (&one, workers, n))
    cause = find_cause (d, step, workers, n);
  g_free (workers);
  return cause;
}

/* Looks whether there is room for STEP, and corrects CAUSE by what it finds.
   Where all workers of its service together have no room, which is when most
   steps wait, it doesn't look at each. */
static DelayCause
probe (Pass *p, WorkStep *step, DelayCause cause)
{
  const ServiceRoom *room = &choose_service (p->d, step->job)->room;

  step->delay.probed_at = p->d->now;
  if (cause == DELAY_ROOM && needs_evacuated (p, step))
    cause = DELAY_EVACUATION;
  if (pool_resources_count (&room->free, &step->need) >= unit_size (step))
    return probe_workers (p, step, cause);
  end_hold (p->d, step);
  return cause;
}

/* Tells whether CAUSE is one that a probe finds where a pass finds no room. */
static gboolean
is_found_by_probe (DelayCause cause)
{
  return cause == DELAY_ROOM ||
         (cause >= DELAY_TRUST && cause <= DELAY_EVACUATION);
}

/* Notes that P has left tasks of STEP unplaced because of CAUSE, or none with
   DELAY_NONE. */
void
delay_note (Pass *p, WorkStep *step, DelayCause cause)
{
  StepDelay *delay = &step->delay;

  if (cause == DELAY_NONE)
    {
      end_hold (p->d, step);
      *delay = (StepDelay) { .cause = DELAY_NONE };
      return;
    }
  if (is_probe_due (p, step))
    cause = probe (p, step, cause);
  else if (cause == DELAY_ROOM && is_found_by_probe (delay->cause))
    cause = delay->cause;
  if (cause == delay->cause)
    return;
  if (cause == DELAY_COLD)
    p->d->cold.n_held += work_step_unplaced (step);
  delay->cause = cause;
  delay->since = p->d->now;
}

static void
log_delay (Dispatch *d, const WorkStep *step)
{
  const StepDelay *delay = &step->delay;

  effects_log (d->fx,
               "event=delayed job=%s step=%u.%u tasks=%u cause=%s "
               "for_ms=%" CLOCK_MS_FORMAT " held_ms=%" CLOCK_MS_FORMAT
               " priority=%" G_GINT64_FORMAT " age_ms=%" CLOCK_MS_FORMAT,
               step->job->entry->id, step->occurrence, step->number,
               work_step_unplaced (step), cause_names[delay->cause],
               d->now - delay->since,
               delay->held_since ? d->now - delay->held_since : 0,
               step->job->entry->job->priority,
               d->now - step->job->accepted_at);
}

/* Logs the room of each of D's services in which tasks wait for what is kept
   for urgent work. */
static void
log_reserves (Dispatch *d)
{
  const Service *s;

  APR_RING_FOREACH (s, &d->services->all, Service, link)
    if (s->n_reserve_delayed)
      effects_log (d->fx,
                   "event=reserve service=%s size=%.2f free=%.2f usable=%u "
                   "delayed=%u",
                   s->name, s->room.reserved_workers, s->room.free_workers,
                   s->room.n_usable, s->n_reserve_delayed);
}

static void
look_at_step (Dispatch *d, const WorkStep *step, DelayLook *look, guint *lines)
{
  const StepDelay *delay = &step->delay;
  ClockMs held = delay->held_since ? d->now - delay->held_since : 0;

  if (delay->cause == DELAY_NONE)
    return;
  look->n_tasks[delay->cause] += work_step_unplaced (step);
  if (delay->cause == DELAY_RESERVE)
    choose_service (d, step->job)->n_reserve_delayed +=
        work_step_unplaced (step);
  look->longest_hold = MAX (look->longest_hold, held);
  if (*lines == 0 || delay->cause == DELAY_FORMER ||
      (held < LONG_HOLD_MS && delay->cause != DELAY_EVACUATION))
    return;
  --*lines;
  log_delay (d, step);
}

/* Looks at what is delayed in D, if that is due. */
void
delay_tick (Dispatch *d)
{
  DelayLook look = { .next_look = d->now + LOOK_INTERVAL_MS,
                     .next_log = d->delays.next_log };
  guint lines = 0;
  Service *s;
  WorkJob *job;
  WorkStep *step;

  if (d->delays.next_look > d->now)
    return;
  if (look.next_log <= d->now)
    {
      lines = MAX_LINES;
      look.next_log = d->now + LOG_INTERVAL_MS;
    }
  APR_RING_FOREACH (s, &d->services->all, Service, link)
    s->n_reserve_delayed = 0;
  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (!spec_state_is_final (job->state))
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        look_at_step (d, step, &look, &lines);
  if (lines)
    log_reserves (d);
  d->delays = look;
}

/* Appends the counts of the last look, and the room of all services together,
   to TEXT, one per line. */
void
delay_append_metrics (const Dispatch *d, GString *text)
{
  const DelayLook *look = &d->delays;
  ServiceRoom room = service_total_room (d->services);
  guint i;

  for (i = DELAY_NONE + 1; i < N_DELAY_CAUSES; i++)
    g_string_append_printf (
        text, "wagtailpass_scheduler_delayed_tasks{cause=\"%s\"} %u\n",
        cause_names[i], look->n_tasks[i]);
  g_string_append_printf (
      text, "wagtailpass_scheduler_longest_hold_ms %" CLOCK_MS_FORMAT "\n",
      look->longest_hold);
  g_string_append_printf (text, "wagtailpass_scheduler_usable_workers %u\n",
                          room.n_usable);
  g_string_append_printf (text, "wagtailpass_scheduler_free_workers %.3f\n",
                          room.free_workers);
  g_string_append_printf (text, "wagtailpass_scheduler_reserved_workers %.3f\n",
                          room.reserved_workers);
}
