#include "sched_state.h"

#include <string.h>

#include "member.h"

REC_DEFINE (SchedHint, sched_hint, SCHED_HINT_FIELDS)
REC_DEFINE (SchedKnown, sched_known, SCHED_KNOWN_FIELDS)

enum
{
  HINT_RETRY_MS = 500,
  HINT_TRIES = 40, /* then the listing finds the job */
  HINT_MAX_HOPS = 2
};

/* A job that the scheduler shall know of.  It is kept until its end is
   known, for a next scheduler that finds neither store nor record. */
typedef struct Hint
{
  char *id;
  char *domain;
  GBytes *value;
  gint64 revision;
  int tries;
  gboolean known; /* the scheduler has confirmed it */
  gboolean again; /* an earlier scheduler may have known it */
  ClockMs keep_until;
  Timer timer;
} Hint;

/* Releases P, a Hint; for the table of hints. */
void
hint_free (gpointer p)
{
  Hint *h = p;

  g_free (h->id);
  g_free (h->domain);
  if (h->value)
    g_bytes_unref (h->value);
  g_free (h);
}

/* Returns a live host of DOMAIN to which news of its jobs may go. */
const char *
hint_host (Core *c, const char *domain)
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
  const char *host = hint_host (c, h->domain);
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
void
hint_start (Core *c, const JobRecord *rec, GBytes *value, gint64 revision)
{
  Hint *h;

  if (g_hash_table_contains (c->sched->hints, rec->id))
    return;
  h = g_new (Hint, 1);
  *h = (Hint) { .id = g_strdup (rec->id),
                .domain = g_strdup (rec->domain),
                .value = g_bytes_ref (value),
                .revision = revision,
                .keep_until = c->now + c->cfg->result_keep_ms / 2,
                .timer = { .fire = hint_send, .owner = h } };
  g_hash_table_insert (c->sched->hints, h->id, h);
  hint_send (c, &h->timer);
}

/* Tells a new scheduler of the jobs that this host took and that have not
   ended as far as it knows. */
void
hint_send_again (Core *c)
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

/* Tells the host that took J that it need not remember it any more. */
void
hint_tell_origin (Core *c, Job *j)
{
  Hint *own = g_hash_table_lookup (c->sched->hints, j->rec->id);

  if (own)
    hint_end (c, own);
  else if (*util_str (j->rec->origin) &&
           strcmp (j->rec->origin, c->cfg->host) != 0)
    core_emit (c, MSG_JOB_KNOWN, j->rec->origin,
               &(SchedKnown) { .id = j->rec->id, .ended = 1 });
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
          ask_add_asker (c, j, h->conn, h->origin);
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

/* Handles the scheduler's confirmation of a job. */
void
sched_on_known (Core *c, const Event *e)
{
  const SchedKnown *m = e->body;
  Hint *h = g_hash_table_lookup (c->sched->hints, m->id);

  if (m->cancel)
    ask_cancel_answered (c, m);
  else if (h && m->ended)
    hint_end (c, h);
  else if (h)
    {
      h->known = TRUE;
      core_arm (c, &h->timer, h->keep_until);
    }
}
