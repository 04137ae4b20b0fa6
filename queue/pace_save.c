#include "dispatch_state.h"

#include <math.h>

/* Stores what was learned of the workers' pace, so that the next leader need
   not learn it again.  Losing it costs time, never correctness. */

enum
{
  MIN_INTERVAL_MS = 3000,
  INTERVAL_PER_WORKER_MS = 30, /* a record grows with the workers */
  FULL_LINK_INTERVAL_FACTOR = 4,
  WRITE_TIMEOUT_MS = 900
};

/* Units of the stored numbers. */
static const double logarithm_unit = 1e-3;
static const double variance_unit = 1e-6;

const char pace_key[] = "wagtailpass-roster/pace";

static gint64
to_units (double value, double unit)
{
  return (gint64)lround (value / unit);
}

static void
add_workers (const Dispatch *d, PaceRecord *record)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);
      PaceWorkerRecord *r;

      if (w->pace.variance <= 0.0)
        continue;
      r = rec_list_add (pace_worker_record_desc (), &record->workers);
      rec_set_str (&r->id, w->entry->id);
      r->incarnation = w->pace.incarnation;
      r->log_slowness = to_units (w->pace.log_slowness, logarithm_unit);
      r->variance = MAX (to_units (w->pace.variance, variance_unit), 1);
    }
}

static void
add_routes (const Dispatch *d, PaceRecord *record)
{
  GHashTableIter i;
  gpointer name, value;
  guint gang;

  g_hash_table_iter_init (&i, d->pace.routes);
  while (g_hash_table_iter_next (&i, &name, &value))
    for (gang = 0; gang < PACE_N_KINDS; gang++)
      {
        const PaceRoute *route = &((const PaceRoute *)value)[gang];
        PaceRouteRecord *r =
            rec_list_add (pace_route_record_desc (), &record->routes);

        rec_set_str (&r->name, name);
        r->gang = gang;
        r->steps = route->n_samples;
        r->mean = to_units (route->mean, logarithm_unit);
        r->step_variance = to_units (route->step_variance, variance_unit);
        r->task_variance = to_units (route->task_variance, variance_unit);
      }
}

static GBytes *
pack (const Dispatch *d)
{
  PaceRecord *record = rec_new (pace_record_desc ());
  GBytes *packed;

  add_workers (d, record);
  add_routes (d, record);
  packed = rec_pack (pace_record_desc (), record);
  rec_free (pace_record_desc (), record);
  return packed;
}

static void
load_route (Dispatch *d, const PaceRouteRecord *r)
{
  PaceRoute *route = pace_route (&d->pace, r->name, r->gang != 0);

  *route =
      (PaceRoute) { .n_samples = (guint)r->steps,
                    .mean = (double)r->mean * logarithm_unit,
                    .step_variance = (double)r->step_variance * variance_unit,
                    .task_variance = (double)r->task_variance * variance_unit };
}

/* Loads what a previous leader learned.  All of its workers are in the roster,
   which must have been loaded. */
void
pace_save_load (Dispatch *d, const RosterRecords *records)
{
  const PaceRecord *record = records->pace;
  guint i;

  d->pace_save.revision = records->pace_revision;
  for (i = 0; record && i < record->workers.n; i++)
    {
      const PaceWorkerRecord *r =
          rec_list_at (pace_worker_record_desc (), &record->workers, i);
      PoolWorker *w = pool_find (&d->pool, r->id);

      if (w)
        w->pace =
            (PoolPace) { .incarnation = r->incarnation,
                         .log_slowness =
                             (double)r->log_slowness * logarithm_unit,
                         .variance = (double)r->variance * variance_unit };
    }
  for (i = 0; record && i < record->routes.n; i++)
    load_route (d, rec_list_at (pace_route_record_desc (), &record->routes, i));
}

/* Writes what was learned since the last write, once the interval has passed.
 */
void
pace_save_tick (Dispatch *d)
{
  PaceSave *s = &d->pace_save;
  ClockMs interval =
      MAX ((ClockMs)MIN_INTERVAL_MS,
           (ClockMs)INTERVAL_PER_WORKER_MS * pool_size (&d->pool));
  GBytes *value;
  KvCall *call;

  if (pace_save_next (d) > d->now)
    return;
  s->next_at = d->now + link_interval (&d->fx->link, d->now, interval,
                                       interval * FULL_LINK_INTERVAL_FACTOR);
  d->pace.changed = FALSE;
  value = pack (d);
  call = kv_call_new (KV_TXN, NULL);
  kv_call_add_precondition (call, scheduler_role_key, d->term.role_revision);
  kv_call_add_precondition (call, pace_key, s->revision);
  kv_call_add_write (call, pace_key, value, 0);
  g_bytes_unref (value);
  call->id = effects_next_id (d->fx);
  call->timeout = WRITE_TIMEOUT_MS;
  s->call_id = call->id;
  effects_kv (d->fx, call);
}

/* Handles REPLY if it answers the write in flight; returns whether it does.
   What a failed write held is part of the next one. */
gboolean
pace_save_on_reply (Dispatch *d, const KvReply *reply)
{
  PaceSave *s = &d->pace_save;
  const KvItem *item;

  if (!s->call_id || reply->id != s->call_id)
    return FALSE;
  s->call_id = 0;
  item = kv_reply_find (reply, pace_key);
  if (reply->status == KV_OK)
    s->revision = reply->revision;
  else
    d->pace.changed = TRUE;
  if (reply->status != KV_OK && item)
    s->revision = item->revision;
  return TRUE;
}

/* Returns when pace_save_tick must be called next. */
ClockMs
pace_save_next (const Dispatch *d)
{
  return d->pace_save.call_id || !d->pace.changed ? CLOCK_NEVER
                                                  : d->pace_save.next_at;
}
