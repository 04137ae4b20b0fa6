#include "sched_state.h"

#include <string.h>

#include "table.h"

enum
{
  CANCEL_WAIT_MS = 1500, /* for the scheduler, before the record is marked */
  RECORD_WAIT_MS = 10000 /* for the store, before an asker is answered */
};

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
  gint64 call;      /* the store call under way, 0: none */
  Timer timer;
} Ask;

static void ask_step (Core *c, Ask *a);

/* Releases P, an Ask; for the table of questions. */
void
ask_free (gpointer p)
{
  Ask *a = p;

  g_free (a->workspace);
  g_free (a->id);
  g_ptr_array_unref (a->domains);
  if (a->rec)
    job_record_free (a->rec);
  g_free (a);
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

/* The end of A's job is not in the store in time.  A peer finds that out by
   itself. */
static void
asker_overdue (Core *c, Timer *t)
{
  JobAsker *a = t->owner;
  Job *j = a->job;

  core_add (c, COUNT_JOB_ANSWERS_OVERDUE, 1);
  if (!a->peer)
    submit_fail (c, a->conn, OUTCOME_UNKNOWN, 503, j->rec->id,
                 "the store has not recorded the job's end yet, ask again");
  g_ptr_array_remove (j->askers, a);
}

/* Adds CONN, of this host or of PEER, to those that are told the recorded end
   of J. */
void
ask_add_asker (Core *c, Job *j, gint64 conn, const char *peer)
{
  JobAsker *a = g_new (JobAsker, 1);

  *a = (JobAsker) { .job = j,
                    .conn = conn,
                    .peer = g_strdup (peer),
                    .timer = { .fire = asker_overdue, .owner = a } };
  g_ptr_array_add (j->askers, a);
  core_arm (c, &a->timer, c->now + RECORD_WAIT_MS);
}

static gboolean
end_unwritten (const Job *j)
{
  return job_state_ended ((JobState)j->rec->state) &&
         (j->unwritten || j->writing);
}

/* Answers the callers and hosts that wait for the recorded end of J. */
void
sched_notify_waiters (Core *c, Job *j)
{
  gboolean left = !role_is_held (c) || end_unwritten (j);
  guint i;

  if (!left && job_state_ended ((JobState)j->rec->state))
    hint_tell_origin (c, j);
  for (i = 0; i < j->askers->len; i++)
    {
      JobAsker *a = g_ptr_array_index (j->askers, i);
      char *json = job_to_json (j->rec);
      SchedKnown m = { .id = j->rec->id,
                       .cancel = 1,
                       .conn = a->conn,
                       .json = g_bytes_new (json, strlen (json)) };

      core_stop (c, &a->timer);
      if (left && !a->peer)
        submit_fail (c, a->conn, OUTCOME_UNKNOWN, 503, j->rec->id,
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
      ask_add_asker (c, j, q->conn, NULL);
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
  a->call = 0;
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
      submit_fail (c, a->conn, OUTCOME_UNKNOWN, 503, a->id,
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
  a->call = store_submit (c, STORE_FOR_JOB, &put, on_marked, a, 0);
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
  const char *host = hint_host (c, a->rec->domain);
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
  a->call = 0;
  if (r->status == STORE_OK && r->items.n)
    ask_found (c, a, store_first_item (r));
  else if (r->status == STORE_OK || r->status == STORE_MISSING)
    {
      g_ptr_array_remove_index (a->domains, 0);
      ask_step (c, a);
    }
  else
    {
      submit_fail (c, a->conn, a->marking ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                   503, a->id, "the store is away, ask again");
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
  a->call = store_submit (c, STORE_FOR_JOB, &get, on_looked, a, 0);
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
  if (c->sched->closed)
    {
      submit_refuse (c, q->conn, 503, "this host is shutting down");
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

/* Ends all questions under way, for the host stops. */
void
ask_close (Core *c)
{
  GList *list = g_hash_table_get_values (c->sched->asks);
  GList *l;

  for (l = list; l; l = l->next)
    {
      Ask *a = l->data;

      if (a->call)
        store_forget (c, a->call);
      submit_fail (c, a->conn,
                   a->cancel && a->rec ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, 503,
                   a->id, "this host is shutting down, ask again");
      ask_end (c, a);
    }
  g_list_free (list);
}

/* Passes the scheduler's answer M to a cancellation on to its caller. */
void
ask_cancel_answered (Core *c, const SchedKnown *m)
{
  Ask *a = g_hash_table_lookup (c->sched->asks, &m->conn);
  gsize n = 0;
  const char *text = m->json ? g_bytes_get_data (m->json, &n) : "";

  if (!a || !a->cancel || a->marking || !a->rec || strcmp (a->id, m->id) != 0)
    return;
  core_reply_json (c, a->conn, 200, a->id, g_strndup (text, n));
  ask_end (c, a);
}
