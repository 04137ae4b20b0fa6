#include "dispatch_state.h"

#include "term.h"

#include <string.h>

/* The leases that former schedulers may have given.  A scheduler must wait for
   those of workers that do not answer it before it starts elsewhere what may
   run there, and until then starts no job that one of them may have started. So
   each scheduler records with the roster what a successor needs to know to wait
   no longer than it must: to which workers it has given no lease itself, and
   which may hold a long one, or the longest. */

enum
{
  FIRST_FENCE = 1, /* of the first term ever */
  /* After this time a worker that has not answered is recorded as silent: most
     answer the first hold. */
  SILENT_AFTER_MS = 1500
};

const char former_key[] = "wagtailpass-roster/leases";

/* The expiry of former schedulers' leases is computed with a margin of 1/20
   (5%), more than the 2% by which workers' clocks may be slow.  For leases of
   this scheduler see max_clock_lag_permille in grant.c. */
static const ClockMs clock_skew_divisor = 20;

static gboolean
has_long_step (const SpecJob *job)
{
  guint i;

  for (i = 0; i < job->steps.n; i++)
    if (holds_is_long_step (spec_job_step (job, i)))
      return TRUE;
  return FALSE;
}

/* Returns the longest lease that any of the recorded jobs may have had. */
static ClockMs
longest_lease (const Dispatch *d)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, job_cache_entries (d->job_cache));
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const JobEntry *e = p;

      if (e->job && has_long_step (e->job))
        return holds_long_lease;
    }
  return holds_normal_lease;
}

/* Returns the latest time at which a lease of LEASE milliseconds expires that
   was given in a term that had ended by ENDED_BY. */
static ClockMs
lease_end (ClockMs ended_by, ClockMs lease)
{
  return ended_by + term_order_grace + lease + lease / clock_skew_divisor;
}

/* Returns the latest time at which any lease of a former scheduler expires.
   XXX: a worker that restarted unnoticed, took a start just before its
   scheduler died and never wrote its entry may hold the longest lease. */
ClockMs
former_leases_end (const Dispatch *d)
{
  if (d->term.fence <= FIRST_FENCE)
    return d->started_at;
  return lease_end (d->started_at, longest_lease (d));
}

/* Returns the record of the scheduler just before this one, or NULL if the
   record is an earlier one's: what came after that is not known. */
static const GivenLeases *
predecessors_record (const Dispatch *d, const RosterRecords *records)
{
  const GivenLeases *r = records->given_leases;

  return r && r->fence == d->term.fence - 1 ? r : NULL;
}

/* Returns the last scheduler that may have given the worker ID a lease. */
static gint64
last_giver (const GivenLeases *r, const char *id)
{
  guint i;

  for (i = 0; i < r->silent.n; i++)
    {
      const SilentWorker *s =
          rec_list_at (silent_worker_desc (), &r->silent, i);

      if (strcmp (s->id, id) == 0)
        return s->fence;
    }
  return r->fence;
}

/* Tells whether WORKERS, a list of LongLease, has the worker ID. */
static gboolean
names_worker (const RecList *workers, const char *id)
{
  guint i;

  for (i = 0; i < workers->n; i++)
    {
      const LongLease *l = rec_list_at (long_lease_desc (), workers, i);

      if (strcmp (l->id, id) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns the longest lease that the worker ID may have had of former
   schedulers, by RECORDS. */
static ClockMs
possible_lease (const Dispatch *d, const RosterRecords *records, const char *id)
{
  const GivenLeases *last = records->given_leases;
  const GivenLeases *r = predecessors_record (d, records);

  if (last && names_worker (&last->longest, id))
    return grant_longest_lease;
  if (r && !names_worker (&r->longer, id))
    return holds_normal_lease;
  return longest_lease (d);
}

/* Returns a time by which the last scheduler that may have given W, which is
   recorded, a lease had ended. */
static ClockMs
giver_ended_by (const Dispatch *d, const PoolWorker *w)
{
  return MIN (term_ended_by (&d->term.history, w->former_fence), d->started_at);
}

/* Sets until when W, a worker that RECORDS name, may hold a lease of a former
   scheduler. */
void
former_load_worker (Dispatch *d, PoolWorker *w, const RosterRecords *records)
{
  const GivenLeases *r = predecessors_record (d, records);
  const char *id = w->entry->id;
  ClockMs lease = possible_lease (d, records, id);

  w->former_fence = r ? last_giver (r, id) : d->term.fence - 1;
  w->lease_expiry = lease_end (giver_ended_by (d, w), lease);
  if (lease > holds_long_lease)
    w->longest_lease_until = w->lease_expiry;
  else if (lease > holds_normal_lease)
    w->long_lease_until = w->lease_expiry;
}

/* Handles that W's entry is known, or another one.  If it is that of a newer
   process than the one that a former scheduler heard, that process may have
   taken the longest lease by the clock of the one before. */
void
former_on_entry (const Dispatch *d, PoolWorker *w)
{
  if (!w->former_incarnation || w->worker_clock_at || w->lease_expired ||
      w->entry->incarnation <= w->former_incarnation)
    return;
  w->longest_lease_until =
      lease_end (giver_ended_by (d, w), grant_longest_lease);
  w->lease_expiry = MAX (w->lease_expiry, w->longest_lease_until);
}

/* Tells whether W has not answered this scheduler, so that it got no lease from
   it, and may still hold one of a former scheduler. */
gboolean
former_is_silent (const Dispatch *d, const PoolWorker *w)
{
  return w->recorded && w->former_fence && !w->worker_clock_at &&
         !w->lease_expired && d->now >= d->started_at + SILENT_AFTER_MS;
}

/* Tells whether W may get a lease: not while the records say that this
   scheduler gives it none. */
gboolean
former_may_give_lease (const PoolWorker *w)
{
  return w->in_roster || !w->recorded_as_silent;
}

static gboolean
may_hold_longest (const Dispatch *d, const PoolWorker *w)
{
  return d->now < w->longest_lease_until;
}

/* Returns the process of W that this scheduler, or else the one before, heard
   last; 0: not known. */
static gint64
heard_incarnation (const PoolWorker *w)
{
  return w->incarnation ? w->incarnation : w->former_incarnation;
}

/* Tells whether what is recorded of W's leases must change: before it can get
   the lease that it needs, or because a successor would wait too short or too
   long for those that it may hold. */
gboolean
former_needs_write (const Dispatch *d, PoolWorker *w)
{
  w->wants_long_lease = holds_wants_long_lease (d, w);
  return (w->recorded_as_silent && w->worker_clock_at) ||
         (w->wants_long_lease && !w->recorded_as_long) ||
         w->recorded_as_longest != may_hold_longest (d, w) ||
         w->recorded_incarnation != heard_incarnation (w);
}

/* Logs until when W, which is silent, may hold a lease of a former scheduler.
 */
static void
log_awaited (const Dispatch *d, const PoolWorker *w)
{
  effects_log_detail (d->fx,
                      "event=lease_awaited worker=%s left_ms=%" CLOCK_MS_FORMAT
                      " fence=%" G_GINT64_FORMAT
                      " long=%d longest=%d listed=%d born=%" G_GINT64_FORMAT,
                      w->entry->id, w->lease_expiry - d->now, w->former_fence,
                      w->long_lease_until > d->now, may_hold_longest (d, w),
                      w->registered, w->entry->incarnation);
}

/* Once, when most workers have answered: has the others recorded as silent. */
void
former_mark_silent (Dispatch *d)
{
  guint i;

  if (former_next (d) > d->now)
    return;
  d->silent_marked = TRUE;
  for (i = 0; i < pool_size (&d->pool); i++)
    if (former_is_silent (d, pool_at (&d->pool, i)))
      {
        log_awaited (d, pool_at (&d->pool, i));
        roster_mark_dirty (d, pool_at (&d->pool, i)->entry->id);
      }
}

/* Returns when former_mark_silent is due. */
ClockMs
former_next (const Dispatch *d)
{
  return d->silent_marked ? CLOCK_NEVER : d->started_at + SILENT_AFTER_MS;
}

/* Notes what the record that is about to be written says of W's leases. */
void
former_on_write (Dispatch *d, PoolWorker *w)
{
  w->recorded_as_silent = former_is_silent (d, w);
  if (w->recorded_as_silent)
    w->in_roster = FALSE;
  w->recorded_as_long = w->wants_long_lease || d->now < w->long_lease_until;
  if (!w->recorded_as_long)
    w->may_get_long_lease = FALSE;
  w->recorded_as_longest = may_hold_longest (d, w);
  w->recorded_incarnation = heard_incarnation (w);
}

/* Handles that the record that was written last is in the store. */
void
former_on_stored (Dispatch *d)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      PoolWorker *w = pool_at (&d->pool, i);

      w->may_get_long_lease = w->recorded_as_long;
    }
}

static void
add_worker (RecList *workers, const PoolWorker *w)
{
  LongLease *l = rec_list_add (long_lease_desc (), workers);

  rec_set_str (&l->id, w->entry->id);
}

/* Returns the record of the leases that this scheduler may have given, or may
   give until the next one. */
GBytes *
former_record (const Dispatch *d)
{
  GivenLeases *r = rec_new (given_leases_desc ());
  GBytes *packed;
  guint i;

  r->fence = d->term.fence;
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);

      if (w->recorded_as_silent)
        {
          SilentWorker *s = rec_list_add (silent_worker_desc (), &r->silent);

          rec_set_str (&s->id, w->entry->id);
          s->fence = w->former_fence;
        }
      if (w->recorded_as_long)
        add_worker (&r->longer, w);
      if (w->recorded_as_longest)
        add_worker (&r->longest, w);
    }
  late_record (d, r);
  packed = rec_pack (given_leases_desc (), r);
  rec_free (given_leases_desc (), r);
  return packed;
}
