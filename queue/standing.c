#include "dispatch_state.h"

/* Looks for placements that stand still: neither started nor ended for longer
   than a lease and its retries bear, or running but not listed by their
   worker.  It changes nothing; its lines and counters tell what they wait
   for. */

enum
{
  LOOK_INTERVAL_MS = 1000,
  LOG_INTERVAL_MS = 5000,
  STANDING_MS = 7000, /* longer than a lease */
  MAX_LINES = 16      /* at a look */
};

/* Notes a change of PLACEMENT's state since the last look. */
static void
note_state (WorkPlacement *placement, ClockMs now)
{
  if (placement->seen_state == placement->state)
    return;
  placement->seen_state = placement->state;
  placement->seen_state_at = now;
}

/* Returns since when PLACEMENT has stood still. */
static ClockMs
still_since (const WorkPlacement *placement)
{
  return placement->state == PLACEMENT_RUNNING
             ? MAX (placement->seen_state_at, placement->sampled_at)
             : placement->seen_state_at;
}

/* Returns the name of what has to happen before PLACEMENT's state changes. */
static const char *
awaited_event (const WorkPlacement *placement)
{
  if (placement->state == PLACEMENT_RESERVED)
    return "room";
  if (placement->state == PLACEMENT_RUNNING)
    return "list";
  if (placement->state == PLACEMENT_STARTING && placement->awaits_reading)
    return "clock";
  if (placement->order_queued)
    return "connection";
  if (placement->call_id)
    return "reply";
  return placement->retry_at == CLOCK_NEVER ? "list" : "retry";
}

static void
log_standing (Dispatch *d, const WorkPlacement *placement, ClockMs since)
{
  const WorkStep *step = placement->task->step;
  const PoolWorker *w = placement->worker;

  effects_log (
      d->fx,
      "event=standing job=%s step=%u.%u task=%u run=%" G_GINT64_FORMAT
      " state=%s awaits=%s for_ms=%" CLOCK_MS_FORMAT
      " worker=%s registered=%d hold_ms=%" CLOCK_MS_FORMAT
      " unanswered=%u in_flight=%u max=%u lease_left_ms=%" CLOCK_MS_FORMAT
      " read_ms=%" CLOCK_MS_FORMAT,
      step->job->entry->id, step->occurrence, step->number,
      placement->task->index, placement->run,
      work_placement_state_name (placement->state), awaited_event (placement),
      d->now - since, w->entry->id, w->registered,
      w->poll_id ? d->now - w->poll_sent_at : 0, w->polls_unanswered,
      w->calls.in_flight, w->calls.max, w->lease_expiry - d->now,
      d->now - w->worker_clock_at);
}

static gboolean
is_partial_gang (const WorkStep *step)
{
  return step->spec->gang && step->n_placements > 0 &&
         step->n_placements < step->spec->count && !step->stopping_gang &&
         !work_step_is_done (step);
}

/* Counts STEP's placements that stand still in S, and logs them while *LINES
   is not 0. */
static void
look_at_step (Dispatch *d, WorkStep *step, Standing *s, guint *lines)
{
  guint i;

  s->n_partial_gangs += is_partial_gang (step);
  for (i = 0; i < step->spec->count; i++)
    {
      WorkPlacement *placement = step->tasks[i].placement;
      ClockMs since;

      if (!placement)
        continue;
      note_state (placement, d->now);
      since = still_since (placement);
      if (d->now - since < STANDING_MS)
        continue;
      s->n[placement->state]++;
      if (*lines == 0)
        continue;
      --*lines;
      log_standing (d, placement, since);
    }
}

/* Looks for placements in D that stand still, if that is due. */
void
standing_tick (Dispatch *d)
{
  Standing s = { .next_look = d->now + LOOK_INTERVAL_MS,
                 .next_log = d->standing.next_log };
  guint lines = 0;
  WorkJob *job;
  WorkStep *step;

  if (d->standing.next_look > d->now)
    return;
  if (s.next_log <= d->now)
    {
      lines = MAX_LINES;
      s.next_log = d->now + LOG_INTERVAL_MS;
    }
  APR_RING_FOREACH (job, &d->jobs, WorkJob, link)
    if (job->n_placements > 0)
      APR_RING_FOREACH (step, &job->steps, WorkStep, link)
        if (step->n_placements > 0)
          look_at_step (d, step, &s, &lines);
  d->standing = s;
}

/* Appends the counts of the last look to TEXT, one per line. */
void
standing_append_metrics (const Dispatch *d, GString *text)
{
  guint i;

  for (i = 0; i < N_PLACEMENT_STATES; i++)
    g_string_append_printf (text,
                            "wagtailpass_scheduler_standing{state=\"%s\"} %u\n",
                            work_placement_state_name ((PlacementState)i),
                            d->standing.n[i]);
  g_string_append_printf (text, "wagtailpass_scheduler_partial_gangs %u\n",
                          d->standing.n_partial_gangs);
}
