#include "sched_state.h"

/* Sends CALL, whose number, worker, term and time-out are filled in, to W:
   for part P, or with NULL for the worker as a whole.  Returns its number. */
gint64
lease_call (Core *c, Worker *w, Part *p, WorkerCall *call)
{
  Sched *s = c->sched;
  WorkerPending *pending = g_new (WorkerPending, 1);

  call->call = ++s->last_call;
  call->worker = w->cfg->name;
  call->term = s->role.term;
  call->timeout_ms = c->cfg->worker_timeout_ms;
  *pending = (WorkerPending) { .call = call->call,
                               .worker = w,
                               .part = p,
                               .op = (WorkerOp)call->op };
  g_hash_table_insert (s->pending, &pending->call, pending);
  core_add (c, COUNT_WORKER_CALLS, 1);
  core_emit (c, FX_WORKER_CALL, NULL, call);
  return call->call;
}

/* Asks W again in SPAN milliseconds, if not sooner. */
void
lease_wake (Core *c, Worker *w, ClockMs span)
{
  if (!w->call && (!w->timer.slot || w->timer.at > c->now + span))
    core_arm (c, &w->timer, c->now + span);
}

static Part *
find_part (Core *c, const WorkerLease *l, const Worker *w)
{
  Job *j = g_hash_table_lookup (c->sched->jobs, l->job);
  Part *p;

  if (!j || l->part >= j->n_parts || l->run != j->rec->run)
    return NULL;
  p = &j->parts[l->part];
  return p->worker == w ? p : NULL;
}

/* Ends lease L on W, which belongs to no planned part. */
void
lease_stop (Core *c, Worker *w, const WorkerLease *l)
{
  WorkerCall call = { .op = WORKER_STOP,
                      .job = l->job,
                      .part = l->part,
                      .run = l->run,
                      .first = l->first,
                      .count = l->count };

  lease_call (c, w, NULL, &call);
}

static void
orphan_free (gpointer p)
{
  Orphan *o = p;

  rec_free (worker_lease_desc (), o->lease);
  g_free (o);
}

/* Returns what LIST, which may be NULL, has of lease L on W, or NULL. */
static Orphan *
find_orphan (GPtrArray *list, const Worker *w, const WorkerLease *l)
{
  guint i;

  for (i = 0; list && i < list->len; i++)
    {
      Orphan *o = g_ptr_array_index (list, i);

      if (o->worker == w && o->lease->part == l->part &&
          o->lease->run == l->run)
        return o;
    }
  return NULL;
}

/* Notes lease L on W, of a job that is not known, as listed for CALL. */
static void
add_orphan (Core *c, Worker *w, const WorkerLease *l, gint64 call)
{
  GHashTable *orphans = c->sched->orphans;
  GPtrArray *list = g_hash_table_lookup (orphans, l->job);
  Orphan *o = find_orphan (list, w, l);

  if (o)
    {
      rec_free (worker_lease_desc (), o->lease);
      o->lease = rec_copy (worker_lease_desc (), l);
      o->listed_by = call;
      return;
    }
  if (!list)
    {
      list = g_ptr_array_new_with_free_func (orphan_free);
      g_hash_table_insert (orphans, g_strdup (l->job), list);
    }
  o = g_new (Orphan, 1);
  *o = (Orphan) { .worker = w,
                  .lease = rec_copy (worker_lease_desc (), l),
                  .seen = c->now,
                  .listed_by = call };
  g_ptr_array_add (list, o);
}

/* Drops from LIST the reservations on W that its report on CALL doesn't have:
   they have lapsed, or its process is a new one.  What has been started stays,
   as proof of that.  Returns whether LIST is empty then. */
static gboolean
drop_unlisted_reservations (GPtrArray *list, const Worker *w, gint64 call)
{
  guint i;

  for (i = list->len; i-- > 0;)
    {
      const Orphan *o = g_ptr_array_index (list, i);

      if (o->worker == w && o->lease->state == LEASE_RESERVED &&
          o->listed_by != call)
        g_ptr_array_remove_index (list, i);
    }
  return list->len == 0;
}

/* Forgets the reservations of unknown jobs that W's report R doesn't have. */
static void
check_orphans (Core *c, const Worker *w, const WorkerReply *r)
{
  GHashTableIter it;
  gpointer list;

  g_hash_table_iter_init (&it, c->sched->orphans);
  while (g_hash_table_iter_next (&it, NULL, &list))
    if (drop_unlisted_reservations (list, w, r->call))
      g_hash_table_iter_remove (&it);
}

/* Takes lease L, as W listed it for CALL. */
static void
take_lease (Core *c, Worker *w, const WorkerLease *l, gint64 call)
{
  Part *p = find_part (c, l, w);

  role_note_term (c, l->term);
  if (p)
    {
      if (l->state <= LEASE_RUNNING)
        p->lease_end = c->now + c->cfg->worker_lease_ms;
      gang_apply_lease (c, p, l, call);
    }
  else if (c->sched->ready && g_hash_table_contains (c->sched->jobs, l->job))
    lease_stop (c, w, l);
  else
    add_orphan (c, w, l, call);
}

/* Tells whether nothing that was sent to W before P was to be stopped can
   still take effect after W was asked for its report. */
static gboolean
is_stop_settled (const Core *c, const Worker *w, const Part *p)
{
  return w->asked - p->stop_since >=
         c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS;
}

/* Tells whether a report that W was asked for by CALL is newer than what is
   known of P. */
static gboolean
is_report_newer (const Core *c, const Worker *w, const Part *p, gint64 call)
{
  if (p->state == PART_STOPPING)
    return is_stop_settled (c, w, p);
  return call > p->known_by;
}

/* Returns a part in STATE that W did not list, asked by CALL, and so does not
   have. */
static Part *
unlisted (const Core *c, Worker *w, PartState state, gint64 call)
{
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == state && !p->listed && is_report_newer (c, w, p, call))
        return p;
    }
  return NULL;
}

/* Handles parts that are missing from their worker's report: they have
   ended, unless they were started after it was asked for. */
static void
check_missing (Core *c, Worker *w, const WorkerReply *r)
{
  Part *p = NULL;
  guint i;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      p->listed = FALSE;
    }
  for (i = 0; i < r->leases.n; i++)
    {
      p = find_part (c, rec_list_at (worker_lease_desc (), &r->leases, i), w);
      if (p)
        p->listed = TRUE;
    }
  while ((p = unlisted (c, w, PART_RUNNING, r->call)))
    {
      p->state = PART_GONE;
      gang_broken (c, p->job, p, FALSE, "a worker lost a part");
    }
  while ((p = unlisted (c, w, PART_STOPPING, r->call)))
    gang_part_ended (c, p);
}

/* Polls beyond the renewals come out of a budget, so that many short tasks
   do not cost the host more than it may spend. */
static gboolean
take_poll (Core *c)
{
  Sched *s = c->sched;
  gint64 filled = (c->now - s->polls_at) * LEASE_POLLS_PER_S;

  s->polls = MIN (s->polls + filled, (gint64)LEASE_POLL_BURST * 1000);
  s->polls_at = c->now;
  if (s->polls < 1000)
    return FALSE;
  s->polls -= 1000;
  return TRUE;
}

/* Returns how soon a task that is expected to end at END is worth a look:
   at that time, and after it ever more rarely. */
static ClockMs
until_end (Core *c, ClockMs end)
{
  if (end > c->now)
    return end - c->now + LEASE_POLL_MIN_MS / 2;
  return MAX (LEASE_POLL_MIN_MS, (c->now - end) / LEASE_LATE_SHARE);
}

static ClockMs
poll_for (Core *c, const Part *p)
{
  const Job *j = p->job;
  ClockMs age = c->now - j->run_since;
  ClockMs declared = j->run_since + MAX (0, j->rec->run_ms - j->rec->saved_ms);
  ClockMs span = MAX (LEASE_POLL_MIN_MS, age / LEASE_POLL_SHARE);

  span = MIN (span, until_end (c, declared));
  return MIN (span, until_end (c, j->run_since +
                                      plan_run_ms (c->sched->plan, &j->fleet)));
}

/* Returns how soon W is asked again: to renew its leases, earlier while it
   writes a checkpoint, has tasks so young that a late look would matter, or
   some that should end. */
static ClockMs
next_poll (Core *c, const Worker *w)
{
  ClockMs most = core_jitter (c, c->cfg->worker_lease_ms / 3);
  ClockMs span = w->occupied ? LEASE_OCCUPIED_MS : most;
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->job->phase == PHASE_SAVE)
        return LEASE_POLL_MIN_MS;
      if (p->state == PART_RUNNING)
        span = MIN (span, poll_for (c, p));
    }
  return span < most && !take_poll (c) ? most : span;
}

/* Asks W for all its leases, under the present term. */
void
lease_report (Core *c, Worker *w)
{
  WorkerCall call = { .op = WORKER_REPORT };

  if (w->call)
    g_hash_table_remove (c->sched->pending, &w->call);
  w->asked = c->now;
  w->call = lease_call (c, w, NULL, &call);
  core_arm (c, &w->timer,
            c->now + c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS);
}

/* Makes every worker report its leases again, since another scheduler with a
   lower term may have changed them. */
void
lease_mark_all_unreported (Core *c)
{
  guint i;

  for (i = 0; i < c->sched->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (c->sched->workers, i);

      w->reported = FALSE;
      lease_wake (c, w, 0);
    }
}

static Part *
lapsed (Core *c, Worker *w)
{
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == PART_RUNNING && p->lease_end <= c->now)
        return p;
    }
  return NULL;
}

/* Notes that all leases on W may have been renewed until now, also those of
   parts that are being stopped. */
static void
note_renewal (Core *c, Worker *w)
{
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == PART_RUNNING || p->state == PART_STOPPING)
        p->lease_end = MAX (p->lease_end, c->now + c->cfg->worker_lease_ms);
    }
}

/* Tells whether the call that W has not answered is a renewal. */
static gboolean
is_renewing (const Core *c, const Worker *w)
{
  const WorkerPending *p = g_hash_table_lookup (c->sched->pending, &w->call);

  return p && p->op == WORKER_RENEW;
}

static void
worker_silent (Core *c, Worker *w)
{
  Part *p;

  w->silent++;
  while ((p = lapsed (c, w)))
    {
      p->state = PART_GONE;
      gang_broken (c, p->job, p, FALSE, "a worker is silent");
    }
  if (w->silent >= LEASE_SILENT)
    {
      w->reported = FALSE;
      plan_set_usable (c->sched->plan, w->cfg->name, FALSE, c->now);
    }
  core_arm (c, &w->timer,
            c->now + core_jitter (c, MIN ((ClockMs)500 << MIN (w->silent, 5),
                                          c->cfg->worker_lease_ms / 4)));
}

/* Renews all leases on a worker.  One that has not reported to this term, or
   does not answer, is asked for its leases first, so that these end at a known
   time. */
void
lease_tick (Core *c, Timer *t)
{
  Worker *w = t->owner;
  WorkerCall call = { .op = WORKER_RENEW, .lease_ms = c->cfg->worker_lease_ms };

  if (w->call)
    {
      if (c->now - w->asked < c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS)
        return;
      core_add (c, COUNT_WORKER_OVERDUE, 1);
      if (is_renewing (c, w))
        note_renewal (c, w);
      g_hash_table_remove (c->sched->pending, &w->call);
      w->call = 0;
      worker_silent (c, w);
      return;
    }
  if (!w->reported || w->silent ||
      c->now - w->renewed > c->cfg->worker_lease_ms ||
      (w->occupied && c->now - w->listed_at >= LEASE_OCCUPIED_MS) ||
      c->now - w->listed_at > c->cfg->worker_lease_ms * LEASE_REPORT_LEASES)
    {
      lease_report (c, w);
      return;
    }
  w->asked = c->now;
  w->call = lease_call (c, w, NULL, &call);
  core_arm (c, &w->timer,
            c->now + c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS);
}

/* Tells whether W leases accelerators to what is not planned there. */
static gboolean
occupied (Core *c, Worker *w, const WorkerReply *r)
{
  guint i;

  for (i = 0; i < r->leases.n; i++)
    {
      const WorkerLease *l = rec_list_at (worker_lease_desc (), &r->leases, i);

      if (l->state <= LEASE_RUNNING && !find_part (c, l, w))
        return TRUE;
    }
  return FALSE;
}

/* Tells whether W runs fewer parts than it should: a worker that was
   restarted has forgotten them, and would not report their end. */
static gboolean
has_forgotten (const Worker *w, const WorkerReply *r)
{
  gint64 running = 0;
  Part *p = NULL;

  APR_RING_FOREACH (p, &w->parts, Part, link)
    {
      if (p->state == PART_RUNNING)
        running++;
    }
  return r->running < running;
}

static void
on_worker_answer (Core *c, Worker *w, WorkerOp op, const WorkerReply *r)
{
  guint i;

  if (w->silent && op == WORKER_RENEW)
    w->reported = FALSE; /* an answer in between may have been lost */
  w->silent = 0;
  w->renewed = c->now;
  for (i = 0; i < r->leases.n; i++)
    take_lease (c, w, rec_list_at (worker_lease_desc (), &r->leases, i),
                r->call);
  if (op == WORKER_RENEW && has_forgotten (w, r))
    {
      lease_report (c, w);
      return;
    }
  if (op == WORKER_RENEW)
    note_renewal (c, w);
  if (op == WORKER_REPORT)
    {
      check_missing (c, w, r);
      check_orphans (c, w, r);
      if (!w->reported && c->sched->reports_due > 0)
        c->sched->reports_due--;
      w->reported = TRUE;
      w->listed_at = c->now;
      w->occupied = occupied (c, w, r);
      plan_set_usable (c->sched->plan, w->cfg->name, !w->occupied, c->now);
      sched_plan_soon (c);
    }
  core_arm (c, &w->timer,
            w->reported && op != WORKER_REPORT ? c->now + next_poll (c, w)
                                               : c->now);
}

/* Makes W unusable until it has reported its leases. */
void
lease_mark_unreported (Core *c, Worker *w)
{
  w->reported = FALSE;
  plan_set_usable (c->sched->plan, w->cfg->name, FALSE, c->now);
  if (!w->call)
    core_arm (c, &w->timer, c->now);
}

static void
on_whole_answer (Core *c, Worker *w, WorkerOp op, const WorkerReply *r)
{
  if (op == WORKER_STOP)
    return;
  w->call = 0;
  if (r->status == WORKER_OK)
    on_worker_answer (c, w, op, r);
  else if (r->status == WORKER_STALE)
    {
      role_on_stale (c, r->term);
      w->reported = FALSE;
      if (role_is_held (c))
        core_arm (c, &w->timer, c->now + GANG_RETRY_MS);
    }
  else
    {
      if (op == WORKER_RENEW && r->status == WORKER_LOST)
        note_renewal (c, w);
      worker_silent (c, w);
    }
}

/* Takes a worker's reply, or a report that it sent by itself. */
void
lease_on_reply (Core *c, const Event *e)
{
  const WorkerReply *r = e->body;
  Sched *s = c->sched;
  WorkerPending *p = g_hash_table_lookup (s->pending, &r->call);
  WorkerPending call;
  Worker *w;
  guint i;

  if (!role_is_held (c))
    return;
  if (!p)
    {
      w = g_hash_table_lookup (s->worker_by_name, util_str (r->worker));
      for (i = 0; r->call == 0 && w && i < r->leases.n; i++)
        take_lease (c, w, rec_list_at (worker_lease_desc (), &r->leases, i),
                    r->call);
      return;
    }
  call = *p;
  g_hash_table_remove (s->pending, &r->call);
  if (r->status == WORKER_OK)
    role_note_term (c, r->term);
  if (call.part)
    gang_on_part_answer (c, call.part, call.op, r);
  else
    on_whole_answer (c, call.worker, call.op, r);
}
