#include "sched_state.h"

#include <string.h>

enum
{
  SCHED_READY_MS = 1500, /* the first plan waits so long for reports */
  SCHED_TICK_MS = 1000   /* between looks at table and quarantines */
};

static void tick (Core *c, Timer *t);
static void on_ready_bound (Core *c, Timer *t);
static void on_drain_bound (Core *c, Timer *t);

static void
worker_free (gpointer p)
{
  g_free (p);
}

static void
pending_free (gpointer p)
{
  g_free (p);
}

static void
orphans_free (gpointer p)
{
  g_ptr_array_unref (p);
}

static void
add_worker (Sched *s, const ConfigWorker *cfg)
{
  Worker *w = g_new0 (Worker, 1);

  w->cfg = cfg;
  APR_RING_INIT (&w->parts, Part, link);
  w->timer.fire = lease_tick;
  w->timer.owner = w;
  g_ptr_array_add (s->workers, w);
  g_hash_table_insert (s->worker_by_name, (gpointer)cfg->name, w);
}

/* Returns the scheduling state of node C. */
Sched *
sched_new (Core *c)
{
  Sched *s = g_new0 (Sched, 1);
  guint i;

  s->workers = g_ptr_array_new_with_free_func (worker_free);
  s->worker_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  s->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->pending =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pending_free);
  s->orphans =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, orphans_free);
  s->writer = g_strdup_printf ("%s-%" G_GINT64_FORMAT, c->cfg->host,
                               c->cfg->incarnation);
  s->list_timer.fire = listing_send;
  s->plan_timer.fire = sched_run_plan;
  s->ready_timer.fire = on_ready_bound;
  s->tick_timer.fire = tick;
  s->drain_bound.fire = on_drain_bound;
  for (i = 0; i < c->cfg->workers.n; i++)
    if (strcmp (config_worker (c->cfg, i)->domain, c->cfg->domain) == 0)
      add_worker (s, config_worker (c->cfg, i));
  role_init (c, &s->role);
  submit_new (s);
  return s;
}

/* Starts to compete for the domain's scheduler role. */
void
sched_start (Core *c)
{
  role_start (c);
}

static void
asker_free (gpointer p)
{
  JobAsker *a = p;

  g_free (a->peer);
  g_free (a);
}

static void
job_free (Job *j)
{
  g_free (j->parts);
  g_free (j->fleet.part);
  g_ptr_array_unref (j->askers);
  if (j->writing)
    g_bytes_unref (j->writing);
  job_record_free (j->rec);
  g_free (j);
}

/* Releases S. */
void
sched_free (Sched *s)
{
  GHashTableIter it;
  gpointer value;

  submit_free (s);
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Job *j = value;

      if (s->plan && j->planned)
        plan_end (s->plan, &j->fleet, 0, FALSE);
      job_free (j);
    }
  if (s->plan)
    plan_free (s->plan);
  g_hash_table_unref (s->jobs);
  g_hash_table_unref (s->pending);
  g_hash_table_unref (s->orphans);
  g_hash_table_unref (s->worker_by_name);
  g_ptr_array_unref (s->workers);
  role_clear (&s->role);
  g_free (s->writer);
  g_free (s);
}

/* Tells whether a reply to a caller or a step of a gang is pending here. */
gboolean
sched_busy (const Core *c)
{
  return submit_busy (c) || role_is_held (c);
}

/* The bound of a drain has passed: callers are answered with what is known,
   and the role is left as it is. */
static void
on_drain_bound (Core *c, Timer *t)
{
  (void)t;
  c->sched->closed = TRUE;
  submit_close (c);
  ask_close (c);
  if (role_is_held (c))
    core_add (c, COUNT_ROLES_CUT_OFF, 1);
  role_drain (c);
}

/* Takes the start of a drain. */
void
sched_on_drain (Core *c)
{
  core_arm (c, &c->sched->drain_bound, c->now + c->cfg->drain_ms);
}

/* Sees each step of time before anything else acts on it: a holder that
   was paused beyond its lease steps down first. */
void
sched_on_time (Core *c, ClockMs at)
{
  role_on_time (c, at);
}

/* Tells whether a gang of phase P is worth waiting for in a drain: one whose
   placement only the store can record is left to the next scheduler while
   the store is away. */
static gboolean
is_step (Core *c, JobPhase p)
{
  if (p == PHASE_INTENT)
    return store_is_up (c);
  return p != PHASE_WAITING && p != PHASE_RUN && p != PHASE_ENDED;
}

/* Tells whether a gang is between its placement and its start, or its
   stop. */
static gboolean
stepping (Core *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->sched->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (is_step (c, ((Job *)value)->phase))
      return TRUE;
  return FALSE;
}

static void
tick (Core *c, Timer *t)
{
  Sched *s = c->sched;

  core_arm (c, t, c->now + SCHED_TICK_MS);
  listing_after_loss (c);
  rec_list_clear (sched_name_desc (), &s->role.full);
  sched_account (c, &s->role.full);
  plan_tick (s->plan, c->now);
  sched_plan_soon (c);
  if (c->draining && !stepping (c))
    role_drain (c);
}

static void
fill_fleet_job (Core *c, Job *j)
{
  Sched *s = c->sched;
  const JobRecord *r = j->rec;

  j->fleet = (FleetJob) { .id = ++s->last_number,
                          .workspace = plan_workspace (s->plan, r->workspace),
                          .kind = plan_kind (s->plan, r->work_kind),
                          .work_class = (WorkClass)r->work_class,
                          .parts = (guint)r->parts,
                          .accelerators = (guint)r->accelerators,
                          .cores = r->cores,
                          .memory_mb = r->memory_mb,
                          .run_ms = r->run_ms,
                          .arrived = MIN (r->accepted_at, c->now),
                          .checkpointable = r->checkpointable != 0,
                          .repeatable = r->repeatable != 0,
                          .started = r->started_at,
                          .progress = r->saved_ms,
                          .owner = j };
}

/* Adds the job of REC, which becomes its own, at REVISION. */
Job *
sched_job_add (Core *c, JobRecord *rec, gint64 revision)
{
  Sched *s = c->sched;
  Job *j = g_new0 (Job, 1);

  j->rec = rec;
  j->revision = revision;
  j->written_at = c->now;
  j->askers = g_ptr_array_new_with_free_func (asker_free);
  fill_fleet_job (c, j);
  g_hash_table_insert (s->jobs, g_strdup (rec->id), j);
  return j;
}

static void
on_deleted (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  (void)c;
  (void)r;
  (void)owner;
  (void)arg;
}

static void
on_key_found (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  const StoreItem *item = store_first_item (r);
  StoreCall call = { .op = STORE_DELETE };

  (void)owner;
  (void)arg;
  if (!item)
    return;
  call.key = item->key;
  call.expect = item->revision;
  store_submit (c, STORE_FOR_JOB, &call, on_deleted, NULL, 0);
}

/* Frees the idempotency key of J for another use. */
static void
drop_key (Core *c, const Job *j)
{
  char *key = g_strdup_printf ("job-keys/%s", j->rec->id);
  StoreCall call = { .op = STORE_GET, .key = key };

  if (*util_str (j->rec->key))
    store_submit (c, STORE_FOR_JOB, &call, on_key_found, NULL, 0);
  g_free (key);
}

/* Ends the keeping of J: its record goes, and so does J. */
void
sched_job_drop (Core *c, Job *j)
{
  char *key = job_key (j->rec->domain, j->rec->id);
  StoreCall call = { .op = STORE_DELETE, .key = key, .expect = j->revision };

  store_submit (c, STORE_FOR_JOB, &call, on_deleted, NULL, 0);
  g_free (key);
  drop_key (c, j);
  gang_drop (c, j);
  if (j->askers->len)
    sched_notify_waiters (c, j);
  job_forget_write (c, j);
  core_stop (c, &j->timer);
  g_hash_table_remove (c->sched->jobs, j->rec->id);
  job_free (j);
}

/* Tells whether the record of J, of which only a host has told, gives way to
   FOUND: nothing has been done with J here. */
static gboolean
gives_way (const Core *c, const Job *j, const JobRecord *found)
{
  return !c->sched->ready && j->phase == PHASE_WAITING &&
         !job_state_ended ((JobState)found->state) &&
         found->term <= c->sched->role.term;
}

/* Tells whether the store has lost what came after R, by which R's job may
   have been started. */
static gboolean
is_behind (const Core *c, const JobRecord *r)
{
  return c->sched->went_back && r->state <= JOB_PLACED;
}

/* Makes REC, which becomes J's, the record of J. */
static void
replace_record (Core *c, Job *j, JobRecord *rec, gint64 revision)
{
  job_record_free (j->rec);
  j->rec = rec;
  j->revision = revision;
  j->lost = is_behind (c, rec);
  fill_fleet_job (c, j);
}

/* Takes the record R of J, which becomes its own, from ITEM of the store. */
static void
see_again (Core *c, Job *j, JobRecord *r, const StoreItem *item)
{
  gboolean newer = !j->writing && !j->unwritten && item->revision > j->revision;

  j->listed = TRUE;
  if (newer && gives_way (c, j, r))
    {
      replace_record (c, j, r, item->revision);
      return;
    }
  job_record_free (r);
  if (newer)
    job_settle (c, j, item);
}

/* Takes the record VALUE that the store has, or had, at REVISION. */
void
sched_job_seen (Core *c, GBytes *value, gint64 revision)
{
  Sched *s = c->sched;
  JobRecord *r = job_decode (value);
  Job *j;

  if (!r)
    return;
  j = g_hash_table_lookup (s->jobs, r->id);
  if (j)
    {
      see_again (c, j, r,
                 &(StoreItem) { .key = "",
                                .revision = revision,
                                .value = value });
      return;
    }
  j = sched_job_add (c, r, revision);
  j->listed = TRUE;
  j->lost = is_behind (c, r);
  if (s->ready)
    adopt_job (c, j);
}

/* Takes VALUE from the host that took the job.  AGAIN: a scheduler before
   this one knew of it, so that what must not be repeated may have run, and
   is not started when the store has lost it; before the store is read that
   cannot be told.  Returns 1 if its end is in the store, 0 if not, -1 if it
   is not taken yet. */
int
sched_job_hinted (Core *c, GBytes *value, gint64 revision, gboolean again)
{
  Sched *s = c->sched;
  JobRecord *r = job_decode (value);
  Job *j = r ? g_hash_table_lookup (s->jobs, r->id) : NULL;

  if (!j && r && again && !r->repeatable && !s->records_known)
    {
      job_record_free (r);
      return -1;
    }
  if (j)
    job_record_free (r);
  else if (r)
    {
      j = sched_job_add (c, r, revision);
      j->lost = again;
      if (s->ready)
        adopt_job (c, j);
    }
  return j && job_state_ended ((JobState)j->rec->state) && !j->unwritten &&
         !j->writing;
}

/* Plans as soon as all workers have reported, and the records are known or
   the store is away. */
void
sched_check_ready (Core *c)
{
  Sched *s = c->sched;

  if (!s->ready && (s->records_known || !s->role.confirmed) &&
      s->reports_due == 0)
    core_arm (c, &s->ready_timer, c->now);
}

static gint
by_acceptance (gconstpointer a, gconstpointer b)
{
  const Job *x = *(Job *const *)a;
  const Job *y = *(Job *const *)b;

  if (x->rec->accepted_at != y->rec->accepted_at)
    return x->rec->accepted_at < y->rec->accepted_at ? -1 : 1;
  return strcmp (x->rec->id, y->rec->id);
}

static void
adopt_each (Core *c, const GPtrArray *all, gboolean leased)
{
  guint i;

  for (i = 0; i < all->len; i++)
    {
      Job *j = g_ptr_array_index (all, i);

      if (!j->adopted &&
          (!leased || g_hash_table_contains (c->sched->orphans, j->rec->id)))
        {
          j->adopted = TRUE;
          adopt_job (c, j);
        }
    }
}

/* Takes over, in the order of their acceptance, all jobs that were found;
   what workers hold leases of first, for that room is really taken. */
static void
adopt_all (Core *c)
{
  Sched *s = c->sched;
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_ptr_array_add (all, value);
  g_ptr_array_sort (all, by_acceptance);
  for (i = 0; i < all->len; i++)
    ((Job *)g_ptr_array_index (all, i))->fleet.id = ++s->last_number;
  adopt_each (c, all, TRUE);
  adopt_each (c, all, FALSE);
  g_ptr_array_unref (all);
}

static void
on_ready_bound (Core *c, Timer *t)
{
  Sched *s = c->sched;

  (void)t;
  if (s->ready)
    return;
  sched_sync_table (c);
  s->ready = TRUE;
  adopt_all (c);
  core_write_note (c, &(CoreNote) { .kind = NOTE_ROLE_READY });
  tick (c, &s->tick_timer);
}

/* Begins the work of a scheduler: rebuilds its state from the records and
   the workers' reports. */
void
sched_take (Core *c)
{
  Sched *s = c->sched;
  guint i;

  sched_make_plan (c);
  s->taken_at = c->now;
  hint_send_again (c);
  s->ready = s->records_known = FALSE;
  s->reports_due = s->workers->len;
  for (i = 0; i < s->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (s->workers, i);

      w->reported = FALSE;
      w->silent = 0;
      w->renewed = c->now;
      plan_set_usable (s->plan, w->cfg->name, FALSE, c->now);
      lease_report (c, w);
    }
  core_arm (c, &s->ready_timer, c->now + SCHED_READY_MS);
  listing_send (c, NULL);
}

static void
drop_all (Core *c)
{
  Sched *s = c->sched;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Job *j = value;

      g_hash_table_iter_remove (&it);
      gang_drop (c, j);
      job_forget_write (c, j);
      core_stop (c, &j->timer);
      if (j->planned)
        plan_end (s->plan, &j->fleet, c->now, FALSE);
      sched_notify_waiters (c, j);
      job_free (j);
    }
}

/* Ends the work of a scheduler on this host: everything is left as it is,
   for the next one to find. */
void
sched_leave (Core *c)
{
  Sched *s = c->sched;
  guint i;

  s->ready = FALSE;
  drop_all (c);
  g_clear_pointer (&s->plan, plan_free);
  g_hash_table_remove_all (s->pending);
  g_hash_table_remove_all (s->orphans);
  if (s->list_call)
    store_forget (c, s->list_call);
  s->list_call = 0;
  s->n_running = 0;
  s->n_writing = 0;
  core_set (c, COUNT_JOBS_RUNNING, 0);
  core_set (c, COUNT_JOBS_WAITING, 0);
  core_stop (c, &s->list_timer);
  core_stop (c, &s->plan_timer);
  core_stop (c, &s->ready_timer);
  core_stop (c, &s->tick_timer);
  for (i = 0; i < s->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (s->workers, i);

      w->call = 0;
      core_stop (c, &w->timer);
    }
}

/* Takes a worker's reply. */
void
sched_on_worker_reply (Core *c, const Event *e)
{
  lease_on_reply (c, e);
  if (role_is_held (c))
    sched_check_ready (c);
}

/* Takes the sign of a scheduler. */
void
sched_on_heartbeat (Core *c, const Event *e)
{
  role_on_heartbeat (c, e);
}
