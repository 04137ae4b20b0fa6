#include "sched_state.h"

#include <string.h>

#include "member.h"
#include "table.h"

REC_DEFINE (SchedHint, sched_hint, SCHED_HINT_FIELDS)
REC_DEFINE (SchedKnown, sched_known, SCHED_KNOWN_FIELDS)

enum
{
  SUBMIT_BOUND_MS = 10000, /* for a job to get into the store */
  SUBMIT_RETRY_MS = 300,
  HINT_RETRY_MS = 500,
  HINT_TRIES = 40, /* then the listing finds the job */
  HINT_MAX_HOPS = 2,
  CANCEL_WAIT_MS = 1500 /* for the scheduler, before the record is marked */
};

/* A job on its way into the store. */
typedef struct Submit
{
  gint64 conn;
  JobRecord *rec;
  GBytes *value;
  gboolean claimed;    /* the key's domain is settled */
  gboolean maybe_done; /* a write's answer was lost */
  ClockMs bound;
  Timer timer;
} Submit;

/* A job that the scheduler shall know of.  It is kept until its end is
   known, for a next scheduler that finds neither store nor record. */
typedef struct Hint
{
  char *id;
  char *domain;
  GBytes *value;
  gint64 revision;
  int tries;
  gboolean known;
  gboolean again;
  ClockMs keep_until;
  Timer timer;
} Hint;

/* A question after a job, or its cancellation, that needs the store. */
typedef struct Ask
{
  gint64 conn;
  char *workspace;
  char *id;
  gboolean cancel;
  GPtrArray *domains; /* left to look in */
  JobRecord *rec;     /* found; to be cancelled */
  gint64 revision;
  gboolean marking; /* the scheduler did not answer in time */
  Timer timer;
} Ask;

static void submit_step (Core *c, Submit *s);
static void ask_step (Core *c, Ask *a);

static void
submit_drop (gpointer p)
{
  Submit *s = p;

  job_record_free (s->rec);
  if (s->value)
    g_bytes_unref (s->value);
  g_free (s);
}

static void
hint_drop (gpointer p)
{
  Hint *h = p;

  g_free (h->id);
  g_free (h->domain);
  if (h->value)
    g_bytes_unref (h->value);
  g_free (h);
}

static void
ask_drop (gpointer p)
{
  Ask *a = p;

  g_free (a->workspace);
  g_free (a->id);
  g_ptr_array_unref (a->domains);
  if (a->rec)
    job_record_free (a->rec);
  g_free (a);
}

/* Prepares the callers' side of S. */
void
submit_new (Sched *s)
{
  s->submits =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, submit_drop);
  s->hints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, hint_drop);
  s->asks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ask_drop);
}

/* Releases it. */
void
submit_free (Sched *s)
{
  g_hash_table_unref (s->submits);
  g_hash_table_unref (s->hints);
  g_hash_table_unref (s->asks);
}

/* Tells whether a caller waits for a reply about a job. */
gboolean
submit_busy (const Core *c)
{
  return g_hash_table_size (c->sched->submits) > 0 ||
         g_hash_table_size (c->sched->asks) > 0;
}

static void
reply_json (Core *c, gint64 conn, int status, const char *id, char *json)
{
  CallerReply r = { .conn = conn,
                    .outcome = OUTCOME_ANSWERED,
                    .status = status,
                    .id = id,
                    .body = g_bytes_new_take (json, strlen (json)) };

  core_emit (c, FX_REPLY, NULL, &r);
  g_bytes_unref (r.body);
}

/* Replies to CONN with the public state of job R. */
void
submit_reply (Core *c, gint64 conn, int status, const JobRecord *r)
{
  reply_json (c, conn, status, r->id, job_to_json (r));
}

static void
fail (Core *c,
      gint64 conn,
      Outcome outcome,
      int status,
      const char *id,
      const char *reason)
{
  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = outcome,
                              .status = status,
                              .id = id,
                              .reason = reason,
                              .retry_after_ms = status == 503 ? 1000 : 0 });
}

/* Refuses what CONN asked for; nothing of it ran. */
void
submit_refuse (Core *c, gint64 conn, int status, const char *reason)
{
  fail (c, conn, OUTCOME_NOT_RUN, status, NULL, reason);
}

static void
refuse_job (Core *c, gint64 conn, int status, const char *reason)
{
  core_add (c, COUNT_JOBS_REFUSED, 1);
  submit_refuse (c, conn, status, reason);
}

/* Returns a live host of DOMAIN to which news of its jobs may go. */
static const char *
host_of (Core *c, const char *domain)
{
  guint i;

  if (strcmp (domain, c->cfg->domain) == 0)
    return role_holder (c);
  for (i = 0; i < member_n_hosts (c); i++)
    if (strcmp (member_host (c, i)->domain, domain) == 0 &&
        member_is_live (c, member_host (c, i)->name))
      return member_host (c, i)->name;
  return NULL;
}

static gboolean
is_scheduler_of (Core *c, const char *domain)
{
  return role_is_held (c) && strcmp (domain, c->cfg->domain) == 0;
}

static void
hint_end (Core *c, Hint *h)
{
  core_stop (c, &h->timer);
  g_hash_table_remove (c->sched->hints, h->id);
}

static void
hint_send (Core *c, Timer *t)
{
  Hint *h = t->owner;
  const char *host = host_of (c, h->domain);
  SchedHint m = { .domain = h->domain,
                  .id = h->id,
                  .origin = c->cfg->host,
                  .again = h->again,
                  .revision = h->revision,
                  .value = h->value };

  if (c->now >= h->keep_until)
    {
      hint_end (c, h);
      return;
    }
  if (is_scheduler_of (c, h->domain))
    {
      h->known = sched_job_hinted (c, h->value, h->revision, h->again) >= 0;
    }
  else if (h->tries++ >= HINT_TRIES)
    h->known = TRUE;
  if (h->known)
    {
      core_arm (c, t, h->keep_until);
      return;
    }
  if (host && strcmp (host, c->cfg->host) != 0)
    core_emit (c, MSG_JOB_HINT, host, &m);
  core_arm (c, t, c->now + core_jitter (c, HINT_RETRY_MS));
}

/* Sends the job to the scheduler, repeatedly until it confirms it. */
static void
hint (Core *c, const Submit *s, gint64 revision)
{
  Hint *h;

  if (g_hash_table_contains (c->sched->hints, s->rec->id))
    return;
  h = g_new (Hint, 1);
  *h = (Hint) { .id = g_strdup (s->rec->id),
                .domain = g_strdup (s->rec->domain),
                .value = g_bytes_ref (s->value),
                .revision = revision,
                .keep_until = c->now + c->cfg->result_keep_ms / 2,
                .timer = { .fire = hint_send, .owner = h } };
  g_hash_table_insert (c->sched->hints, h->id, h);
  hint_send (c, &h->timer);
}

/* Tells a new scheduler of the jobs that this host took and that have not
   ended as far as it knows. */
void
submit_hint_again (Core *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->sched->hints);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Hint *h = value;

      if (strcmp (h->domain, c->cfg->domain) != 0)
        continue;
      h->again |= h->known || h->tries > 0;
      h->known = FALSE;
      h->tries = 0;
      core_arm (c, &h->timer, c->now + core_random (c, HINT_RETRY_MS));
    }
}

static void
submit_end (Core *c, Submit *s)
{
  core_stop (c, &s->timer);
  g_hash_table_remove (c->sched->submits, &s->conn);
}

static void
submit_give_up (Core *c, Submit *s)
{
  if (s->maybe_done)
    fail (c, s->conn, OUTCOME_UNKNOWN, 504, s->rec->id,
          "the store's answer is missing: the job may have been accepted");
  else
    refuse_job (c, s->conn, 503, "the store is away, the job was not taken");
  submit_end (c, s);
}

static void
submit_again (Core *c, Timer *t)
{
  submit_step (c, t->owner);
}

static void
submit_retry (Core *c, Submit *s)
{
  if (c->now >= s->bound)
    submit_give_up (c, s);
  else
    core_arm (c, &s->timer, c->now + core_jitter (c, SUBMIT_RETRY_MS));
}

static void
accepted (Core *c, Submit *s, gint64 revision)
{
  core_add (c, COUNT_JOBS_ACCEPTED, 1);
  core_write_note (c, &(CoreNote) { .kind = NOTE_JOB_ACCEPTED,
                                    .job = s->rec->id,
                                    .workspace = s->rec->workspace });
  submit_reply (c, s->conn, 202, s->rec);
  hint (c, s, revision);
  submit_end (c, s);
}

/* The record is there already: the same job, submitted again or by a write
   whose answer was lost, or the key's second use for something else. */
static void
taken (Core *c, Submit *s, const StoreItem *item)
{
  JobRecord *found = item ? job_decode (item->value) : NULL;

  if (!found)
    submit_retry (c, s);
  else if (found->digest != s->rec->digest ||
           strcmp (found->workspace, s->rec->workspace) != 0)
    {
      refuse_job (c, s->conn, 409, "the key was used for another job");
      submit_end (c, s);
    }
  else if (found->state == JOB_QUEUED && found->run == 0)
    accepted (c, s, item->revision);
  else
    {
      submit_reply (c, s->conn, 202, found);
      submit_end (c, s);
    }
  if (found)
    job_record_free (found);
}

static void
on_created (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Submit *s = owner;
  const StoreItem *item = store_first_item (r);

  (void)arg;
  job_count_write (c, r);
  if (r->status == STORE_OK)
    accepted (c, s, item ? item->revision : r->revision);
  else if (r->status == STORE_CONFLICT)
    taken (c, s, item);
  else
    {
      s->maybe_done |= r->status == STORE_LOST;
      submit_retry (c, s);
    }
}

/* Writes the record, only if there is none of its key. */
static void
submit_create (Core *c, Submit *s)
{
  char *key = job_key (s->rec->domain, s->rec->id);
  StoreCall put = { .op = STORE_PUT, .key = key };

  if (!s->value)
    s->value = job_encode (s->rec);
  put.value = s->value;
  store_submit (c, STORE_FOR_JOB, &put, on_created, s, 0);
  g_free (key);
}

static void
on_claimed (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Submit *s = owner;
  const StoreItem *item = store_first_item (r);
  gsize n;

  (void)arg;
  job_count_write (c, r);
  if (r->status == STORE_OK)
    s->claimed = TRUE;
  else if (r->status == STORE_CONFLICT && item && item->value)
    {
      const char *text = g_bytes_get_data (item->value, &n);
      char *domain = g_strndup (text, n);

      rec_set_str (&s->rec->domain, domain);
      g_free (domain);
      s->claimed = TRUE;
    }
  if (s->claimed)
    submit_create (c, s);
  else
    submit_retry (c, s);
}

/* Settles which domain has the job of an idempotency key, for the key may
   be used in two domains at once. */
static void
submit_claim (Core *c, Submit *s)
{
  char *key = g_strdup_printf ("job-keys/%s", s->rec->id);
  const char *domain = s->rec->domain;
  StoreCall put = { .op = STORE_PUT,
                    .key = key,
                    .value = g_bytes_new (domain, strlen (domain)) };

  store_submit (c, STORE_FOR_JOB, &put, on_claimed, s, 0);
  g_bytes_unref (put.value);
  g_free (key);
}

static void
submit_step (Core *c, Submit *s)
{
  if (*util_str (s->rec->key) && !s->claimed)
    submit_claim (c, s);
  else
    submit_create (c, s);
}

/* Tells whether all parts of Q fit into DOMAIN when it is empty. */
static gboolean
fits (Core *c, const CallerJob *q, const char *domain)
{
  gint64 parts = 0;
  guint i;

  for (i = 0; i < c->cfg->workers.n && parts < q->parts; i++)
    {
      const ConfigWorker *w = config_worker (c->cfg, i);
      gint64 n = q->parts;

      if (strcmp (w->domain, domain) != 0)
        continue;
      if (q->accelerators)
        n = MIN (n, w->accelerators / q->accelerators);
      if (q->cores)
        n = MIN (n, w->cores / q->cores);
      if (q->memory_mb)
        n = MIN (n, w->memory_mb / q->memory_mb);
      parts += n;
    }
  return parts >= q->parts;
}

/* Returns the domain for Q: the own one, or the first that it fits. */
static const char *
choose_domain (Core *c, const CallerJob *q)
{
  guint i;

  if (fits (c, q, c->cfg->domain))
    return c->cfg->domain;
  for (i = 0; i < c->cfg->workers.n; i++)
    {
      const char *domain = config_worker (c->cfg, i)->domain;

      if ((i == 0 ||
           strcmp (domain, config_worker (c->cfg, i - 1)->domain) != 0) &&
          fits (c, q, domain))
        return domain;
    }
  return NULL;
}

/* Tells whether the guarantee of W, all of it, holds Q. */
static gboolean
guaranteed (const Workspace *w, const CallerJob *q)
{
  gint64 parts = 0;
  guint i;

  for (i = 0; i < w->n_shapes && q->accelerators > 0; i++)
    parts += w->guarantee[i].count * (w->guarantee[i].size / q->accelerators);
  return q->accelerators == 0 || parts >= q->parts;
}

/* Returns why Q is refused and sets *STATUS, or NULL. */
static const char *
why_refused (Core *c, const CallerJob *q, int *status)
{
  const Workspace *w = table_authorize (c, q->token, q->workspace);

  *status = 422;
  if (c->draining)
    {
      *status = 503;
      return "the host is leaving";
    }
  if (!w)
    {
      *status = 403;
      return "no such workspace, or not with this token";
    }
  if (!q->repeatable && !*util_str (q->key))
    {
      *status = 400;
      return "a job that must not be repeated needs an idempotency key";
    }
  if (q->body && g_bytes_get_size (q->body) > JOB_MAX_BODY)
    {
      *status = 413;
      return "the description is larger than 16384 bytes";
    }
  if (w->max_accelerators >= 0 &&
      q->parts * q->accelerators > w->max_accelerators)
    return "the job is larger than the workspace's max_accelerators";
  if (role_is_full (c, q->workspace))
    {
      *status = 429;
      return "the workspace has max_queued jobs waiting";
    }
  if (!q->repeatable && !q->checkpointable && !guaranteed (w, q))
    return "a job that can be neither repeated nor saved runs only inside its "
           "workspace's guarantee, which is too small for it";
  if (!choose_domain (c, q))
    return "no domain can ever hold all parts of the job at once";
  return NULL;
}

/* Takes a caller's job: it is acknowledged once its record is in the
   store. */
void
sched_on_job (Core *c, const Event *e)
{
  const CallerJob *q = e->body;
  int status;
  const char *why = why_refused (c, q, &status);
  Submit *s;
  char *id;

  core_add (c, COUNT_JOBS, 1);
  if (why)
    {
      refuse_job (c, q->conn, status, why);
      return;
    }
  id = job_id (c, q, ++c->sched->sequence);
  s = g_new (Submit, 1);
  *s = (Submit) { .conn = q->conn,
                  .rec = job_record_new (c, q, id, choose_domain (c, q)),
                  .bound = c->now + SUBMIT_BOUND_MS,
                  .timer = { .fire = submit_again, .owner = s } };
  g_free (id);
  g_hash_table_insert (c->sched->submits, &s->conn, s);
  submit_step (c, s);
}

static void
ask_end (Core *c, Ask *a)
{
  core_stop (c, &a->timer);
  g_hash_table_remove (c->sched->asks, &a->conn);
}

static void
ask_missing (Core *c, Ask *a)
{
  submit_refuse (c, a->conn, 404, "no such job");
  ask_end (c, a);
}

static void
add_asker (Job *j, gint64 conn, const char *peer)
{
  JobAsker *a = g_new (JobAsker, 1);

  *a = (JobAsker) { .conn = conn, .peer = g_strdup (peer) };
  g_ptr_array_add (j->askers, a);
}

static gboolean
end_unwritten (const Job *j)
{
  return job_state_ended ((JobState)j->rec->state) &&
         (j->unwritten || j->writing);
}

/* Tells the host that took J that it need not remember it any more. */
static void
tell_origin (Core *c, Job *j)
{
  Hint *own = g_hash_table_lookup (c->sched->hints, j->rec->id);

  if (own)
    hint_end (c, own);
  else if (*util_str (j->rec->origin) &&
           strcmp (j->rec->origin, c->cfg->host) != 0)
    core_emit (c, MSG_JOB_KNOWN, j->rec->origin,
               &(SchedKnown) { .id = j->rec->id, .ended = 1 });
}

/* Answers the callers and hosts that wait for the recorded end of J. */
void
sched_notify_waiters (Core *c, Job *j)
{
  gboolean left = !role_is_held (c) || end_unwritten (j);
  guint i;

  if (!left && job_state_ended ((JobState)j->rec->state))
    tell_origin (c, j);
  for (i = 0; i < j->askers->len; i++)
    {
      const JobAsker *a = g_ptr_array_index (j->askers, i);
      char *json = job_to_json (j->rec);
      SchedKnown m = { .id = j->rec->id,
                       .cancel = 1,
                       .conn = a->conn,
                       .json = g_bytes_new (json, strlen (json)) };

      if (left && !a->peer)
        fail (c, a->conn, OUTCOME_UNKNOWN, 503, j->rec->id,
              "the scheduler is changing, ask again");
      else if (!left && a->peer)
        core_emit (c, MSG_JOB_KNOWN, a->peer, &m);
      else if (!left)
        submit_reply (c, a->conn, 200, j->rec);
      g_bytes_unref (m.json);
      g_free (json);
    }
  g_ptr_array_set_size (j->askers, 0);
}

/* Answers out of the scheduler's own state.  An end counts once it is
   recorded, so that a caller never hears of two. */
static gboolean
ask_here (Core *c, const CallerAsk *q, gboolean cancel)
{
  Job *j =
      role_is_held (c) ? g_hash_table_lookup (c->sched->jobs, q->id) : NULL;

  if (!j || strcmp (j->rec->workspace, q->workspace) != 0)
    return FALSE;
  if (cancel || end_unwritten (j))
    {
      add_asker (j, q->conn, NULL);
      if (cancel)
        sched_cancel (c, j);
    }
  else
    submit_reply (c, q->conn, 200, j->rec);
  return TRUE;
}

/* Ends J by its caller's wish; its askers are told when that, or the end
   that came before, is recorded. */
void
sched_cancel (Core *c, Job *j)
{
  j->rec->cancel = 1;
  gang_cancel (c, j);
  if (!end_unwritten (j) && job_state_ended ((JobState)j->rec->state))
    sched_notify_waiters (c, j);
}

static void
on_marked (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Ask *a = owner;

  (void)arg;
  job_count_write (c, r);
  if (r->status == STORE_OK)
    {
      submit_reply (c, a->conn, 202, a->rec);
      ask_end (c, a);
    }
  else if (r->status == STORE_CONFLICT || r->status == STORE_MISSING)
    {
      g_clear_pointer (&a->rec, job_record_free);
      ask_step (c, a);
    }
  else
    {
      fail (c, a->conn, OUTCOME_UNKNOWN, 503, a->id,
            "the store is away: the job may have been cancelled");
      ask_end (c, a);
    }
}

/* Marks the record: its scheduler, whoever that is, will see it. */
static void
mark (Core *c, Ask *a)
{
  char *key = job_key (a->rec->domain, a->id);
  StoreCall put = { .op = STORE_PUT, .key = key, .expect = a->revision };

  a->rec->cancel = 1;
  rec_set_str (&a->rec->writer, c->sched->writer);
  a->rec->write = ++c->sched->last_write;
  put.value = job_encode (a->rec);
  store_submit (c, STORE_FOR_JOB, &put, on_marked, a, 0);
  g_bytes_unref (put.value);
  g_free (key);
}

static void
cancel_overdue (Core *c, Timer *t)
{
  Ask *a = t->owner;

  a->marking = TRUE;
  mark (c, a);
}

static void
cancel_found (Core *c, Ask *a)
{
  const char *host = host_of (c, a->rec->domain);
  SchedHint m = { .domain = a->rec->domain,
                  .id = a->id,
                  .cancel = 1,
                  .conn = a->conn,
                  .origin = c->cfg->host };

  if (a->marking)
    {
      mark (c, a);
      return;
    }
  if (host)
    core_emit (c, MSG_JOB_HINT, host, &m);
  a->timer.fire = cancel_overdue;
  a->timer.owner = a;
  core_arm (c, &a->timer, c->now + (host ? CANCEL_WAIT_MS : 0));
}

static void
ask_found (Core *c, Ask *a, const StoreItem *item)
{
  JobRecord *r = job_decode (item->value);

  if (!r || strcmp (r->workspace, a->workspace) != 0)
    {
      if (r)
        job_record_free (r);
      ask_missing (c, a);
      return;
    }
  a->rec = r;
  a->revision = item->revision;
  if (a->cancel && !job_state_ended ((JobState)r->state))
    {
      cancel_found (c, a);
      return;
    }
  submit_reply (c, a->conn, 200, r);
  ask_end (c, a);
}

static void
on_looked (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Ask *a = owner;

  (void)arg;
  if (r->status == STORE_OK && r->items.n)
    ask_found (c, a, store_first_item (r));
  else if (r->status == STORE_OK || r->status == STORE_MISSING)
    {
      g_ptr_array_remove_index (a->domains, 0);
      ask_step (c, a);
    }
  else
    {
      fail (c, a->conn, a->marking ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, 503,
            a->id, "the store is away, ask again");
      ask_end (c, a);
    }
}

static void
ask_step (Core *c, Ask *a)
{
  StoreCall get = { .op = STORE_GET };
  char *key;

  if (a->domains->len == 0)
    {
      ask_missing (c, a);
      return;
    }
  key = job_key (g_ptr_array_index (a->domains, 0), a->id);
  get.key = key;
  store_submit (c, STORE_FOR_JOB, &get, on_looked, a, 0);
  g_free (key);
}

static void
add_domain (GPtrArray *domains, const char *domain)
{
  guint i;

  for (i = 0; i < domains->len; i++)
    if (strcmp (g_ptr_array_index (domains, i), domain) == 0)
      return;
  g_ptr_array_add (domains, g_strdup (domain));
}

static void
ask (Core *c, const CallerAsk *q, gboolean cancel)
{
  Ask *a;
  guint i;

  if (!table_authorize (c, q->token, q->workspace))
    {
      submit_refuse (c, q->conn, 403,
                     "no such workspace, or not with this "
                     "token");
      return;
    }
  if (!*util_str (q->id) || ask_here (c, q, cancel))
    {
      if (!*util_str (q->id))
        submit_refuse (c, q->conn, 404, "no such job");
      return;
    }
  a = g_new (Ask, 1);
  *a = (Ask) { .conn = q->conn,
               .workspace = g_strdup (q->workspace),
               .id = g_strdup (q->id),
               .cancel = cancel,
               .domains = g_ptr_array_new_with_free_func (g_free) };
  add_domain (a->domains, c->cfg->domain);
  for (i = 0; i < c->cfg->workers.n; i++)
    add_domain (a->domains, config_worker (c->cfg, i)->domain);
  g_hash_table_insert (c->sched->asks, &a->conn, a);
  ask_step (c, a);
}

/* Takes a caller's question after a job. */
void
sched_on_ask (Core *c, const Event *e)
{
  ask (c, e->body, FALSE);
}

/* Handles a caller's cancellation of a job. */
void
sched_on_cancel (Core *c, const Event *e)
{
  ask (c, e->body, TRUE);
}

static void
take_hint (Core *c, const SchedHint *h)
{
  Job *j;
  int ended;

  if (h->cancel)
    {
      j = g_hash_table_lookup (c->sched->jobs, h->id);
      if (j)
        {
          add_asker (j, h->conn, h->origin);
          sched_cancel (c, j);
        }
      return;
    }
  ended = sched_job_hinted (c, h->value, h->revision, h->again != 0);
  if (ended >= 0)
    core_emit (c, MSG_JOB_KNOWN, h->origin,
               &(SchedKnown) { .id = h->id, .ended = ended });
}

/* Takes news of a job, or passes it on to the scheduler. */
void
sched_on_hint (Core *c, const Event *e)
{
  const SchedHint *h = e->body;
  SchedHint on = *h;
  const char *holder = role_holder (c);

  if (strcmp (h->domain, c->cfg->domain) != 0)
    return;
  if (role_is_held (c))
    {
      take_hint (c, h);
      return;
    }
  on.hops++;
  if (holder && on.hops <= HINT_MAX_HOPS)
    core_emit (c, MSG_JOB_HINT, holder, &on);
}

static void
cancel_answered (Core *c, const SchedKnown *m)
{
  Ask *a = g_hash_table_lookup (c->sched->asks, &m->conn);
  gsize n = 0;
  const char *text = m->json ? g_bytes_get_data (m->json, &n) : "";

  if (!a || !a->cancel || a->marking || !a->rec || strcmp (a->id, m->id) != 0)
    return;
  reply_json (c, a->conn, 200, a->id, g_strndup (text, n));
  ask_end (c, a);
}

/* Handles the scheduler's confirmation of a job. */
void
sched_on_known (Core *c, const Event *e)
{
  const SchedKnown *m = e->body;
  Hint *h = g_hash_table_lookup (c->sched->hints, m->id);

  if (m->cancel)
    cancel_answered (c, m);
  else if (h && m->ended)
    hint_end (c, h);
  else if (h)
    {
      h->known = TRUE;
      core_arm (c, &h->timer, h->keep_until);
    }
}
