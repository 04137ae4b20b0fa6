#include "dispatch_state.h"

#include <string.h>

/* Workers that are kept from new tasks for a while, because their orders or
   their runs failed. */

/* How long a worker gets no new placements after a failed order, in
   milliseconds. */
const ClockMs quarantine_exclusion_span = 700;

enum
{
  QUARANTINE_FAILURES = 2, /* in a row, of different jobs */
  /* If more than 1/4 of a service's workers plus one fail, the jobs are
     blamed. */
  MAX_FAILING_DIVISOR = 4,
  QUARANTINE_MS = 4000,
  QUARANTINE_MAX_MS = 16000
};

/* Excludes W from new placements for SPAN milliseconds. */
void
quarantine_exclude (Dispatch *d, PoolWorker *w, ClockMs span)
{
  w->excluded_until = MAX (w->excluded_until, d->now + span);
}

/* Tells whether A and B may be of the same service.  A worker that only the
   roster names may be of any. */
static gboolean
may_share_service (const PoolWorker *a, const PoolWorker *b)
{
  const char *name_a = a->entry->service;
  const char *name_b = b->entry->service;

  return !*name_a || !*name_b || strcmp (name_a, name_b) == 0;
}

/* Returns whether only few workers of W's service fail, without evacuated ones,
   which get no new tasks.  If many do, the cause is probably in its jobs and
   not in the workers. */
static gboolean
few_workers_fail (const Dispatch *d, const PoolWorker *w)
{
  guint n = 0;
  guint failing = 0;
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *other = pool_at (&d->pool, i);

      if (!may_share_service (w, other) || (other != w && other->evacuated))
        continue;
      n++;
      failing += other->consecutive_failures > 0;
    }
  return failing * MAX_FAILING_DIVISOR <= n + MAX_FAILING_DIVISOR;
}

/* Counts a run of JOB that failed, or stalled, on W.  A worker on which
   different jobs fail in a row, while only few workers of its service fail, is
   quarantined; the quarantine doubles each time up to QUARANTINE_MAX_MS. */
void
quarantine_count_failure (Dispatch *d, PoolWorker *w, const WorkJob *job)
{
  guint hash = g_str_hash (job->entry->id);

  if (w->consecutive_failures && w->last_failed_job == hash)
    return;
  w->last_failed_job = hash;
  w->consecutive_failures++;
  if (w->consecutive_failures < QUARANTINE_FAILURES || !few_workers_fail (d, w))
    return;
  w->quarantine_span =
      CLAMP (w->quarantine_span * 2, QUARANTINE_MS, QUARANTINE_MAX_MS);
  w->quarantined_until = d->now + w->quarantine_span;
  effects_log (
      d->fx, "event=quarantine worker=%s failures=%u span_ms=%" CLOCK_MS_FORMAT,
      w->entry->id, w->consecutive_failures, w->quarantine_span);
}

/* Handles that a run that STARTED then has succeeded on W. */
void
quarantine_on_success (PoolWorker *w, ClockMs started)
{
  w->consecutive_failures = 0;
  w->last_success_start = MAX (w->last_success_start, started);
  w->quarantine_span = 0;
}
