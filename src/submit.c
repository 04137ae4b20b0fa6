#include "sched_state.h"

#include <string.h>

#include "table.h"

enum
{
  SUBMIT_BOUND_MS = 10000, /* for a job to get into the store */
  SUBMIT_RETRY_MS = 300
};

/* A job on its way into the store. */
typedef struct Submit
{
  gint64 conn;
  JobRecord *rec;
  GBytes *value;
  gboolean claimed;    /* the key's domain is settled */
  gboolean maybe_done; /* a write's answer was lost */
  gint64 call;         /* the store call under way, 0: none */
  ClockMs bound;
  Timer timer;
} Submit;

static void submit_step (Core *c, Submit *s);

static void
submit_drop (gpointer p)
{
  Submit *s = p;

  job_record_free (s->rec);
  if (s->value)
    g_bytes_unref (s->value);
  g_free (s);
}

/* Prepares the callers' side of S. */
void
submit_new (Sched *s)
{
  s->submits =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, submit_drop);
  s->hints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, hint_free);
  s->asks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ask_free);
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

/* Replies to CONN with the public state of job R. */
void
submit_reply (Core *c, gint64 conn, int status, const JobRecord *r)
{
  core_reply_json (c, conn, status, r->id, job_to_json (r));
}

/* Replies to CONN that what it asked for was not done: REASON says why, and
   OUTCOME what became of job ID, which may be NULL. */
void
submit_fail (Core *c,
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
  submit_fail (c, conn, OUTCOME_NOT_RUN, status, NULL, reason);
}

static void
refuse_job (Core *c, gint64 conn, int status, const char *reason)
{
  core_add (c, COUNT_JOBS_REFUSED, 1);
  submit_refuse (c, conn, status, reason);
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
    submit_fail (
        c, s->conn, OUTCOME_UNKNOWN, 504, s->rec->id,
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
  hint_start (c, s->rec, s->value, revision);
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
  s->call = 0;
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
  s->call = store_submit (c, STORE_FOR_JOB, &put, on_created, s, 0);
  g_free (key);
}

static void
on_claimed (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Submit *s = owner;
  const StoreItem *item = store_first_item (r);
  gsize n;

  (void)arg;
  s->call = 0;
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

  s->call = store_submit (c, STORE_FOR_JOB, &put, on_claimed, s, 0);
  g_bytes_unref (put.value);
  g_free (key);
}

static gboolean
is_claimed (const Submit *s)
{
  return s->claimed || !*util_str (s->rec->key);
}

static void
submit_step (Core *c, Submit *s)
{
  if (is_claimed (s))
    submit_create (c, s);
  else
    submit_claim (c, s);
}

/* Ends all submissions under way, for the host stops: their callers are told
   what is known. */
void
submit_close (Core *c)
{
  GList *list = g_hash_table_get_values (c->sched->submits);
  GList *l;

  for (l = list; l; l = l->next)
    {
      Submit *s = l->data;

      if (s->call)
        {
          store_forget (c, s->call);
          s->maybe_done |= is_claimed (s);
        }
      submit_give_up (c, s);
    }
  g_list_free (list);
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
