#include "node.h"

#include "dispatch.h"
#include "term.h"

#include <string.h>

enum
{
  /* How often changes are asked for at most. */
  BOOK_PACE_MS = 40,
  ROLE_PACE_MS = 250,
  CONF_PACE_MS = 20,
  WORKERS_PACE_MS = 100,
  CLAIM_JITTER_MS = 120,
  STOOD_STILL_MS = 1000, /* a host looks at the time twice as often */
  FORGET_MS = 600000     /* jobs that were asked about */
};

struct Node
{
  const NodeCodec *codec;
  Effects fx;
  GRand *rng;
  ClockMs now;
  ClockMs wall;
  Feed conf_feed;
  Feed role_feed;
  Feed book_feed; /* this and the next on the holder of the role only */
  Feed worker_feed;
  Feed roster_feed; /* listed once at the begin of a term */
  RosterRecords roster;
  GHashTable *entries; /* worker id to its entry's value, GBytes */
  Book *book;
  Waiting waiting;
  StoreHealth reach;
  Conf *conf;
  Term term;
  Intake *intake;
  Dispatch *dispatch; /* NULL on hosts without the role */
  gboolean role_seen; /* in the listing under way */
  gboolean relisting; /* the records as they are under the own term */
  gboolean draining;
  ClockMs most_conf_age;
  ClockMs claim_delay;
  ClockMs next_forget;
};

static ClockMs
claim_wait (Node *n)
{
  return n->claim_delay + g_rand_int_range (n->rng, 0, CLAIM_JITTER_MS);
}

static void
on_conf_item (void *owner, const KvItem *item)
{
  Node *n = owner;
  Findings findings;
  Conf *conf;

  if (item->deleted || strcmp (item->key, n->codec->conf_key) != 0)
    return;
  findings_init (&findings);
  conf = n->codec->read_conf (item->value, &findings);
  if (!conf || (n->conf && conf->version < n->conf->version))
    {
      char *text = findings_line (&findings);

      effects_log (&n->fx,
                   "event=conf_ignored revision=%" G_GINT64_FORMAT
                   " reason=\"%s\"",
                   item->revision, conf ? "older version" : text);
      g_free (text);
      conf_unref (conf);
    }
  else
    {
      effects_log (&n->fx,
                   "event=conf version=%" G_GINT64_FORMAT
                   " revision=%" G_GINT64_FORMAT " routes=%u workspaces=%u",
                   conf->version, item->revision, conf->routes->len,
                   conf->workspaces->len);
      conf_unref (n->conf);
      n->conf = conf;
      intake_on_conf (n->intake, conf);
      if (n->dispatch)
        dispatch_on_conf (n->dispatch, conf);
    }
  findings_clear (&findings);
}

static void
on_role_item (void *owner, const KvItem *item)
{
  Node *n = owner;

  if (strcmp (item->key, book_role_key) == 0)
    {
      n->role_seen = !item->deleted;
      term_on_role (&n->term, item, n->now, claim_wait (n));
    }
  else if (strcmp (item->key, waiting_key) == 0 &&
           !waiting_apply (&n->waiting, item))
    effects_log (&n->fx, "event=waiting_unreadable revision=%" G_GINT64_FORMAT,
                 item->revision);
}

static void
on_book_item (void *owner, const KvItem *item)
{
  book_apply (((Node *)owner)->book, item);
}

static void
on_book_changed (void *owner, BookEntry *entry)
{
  Node *n = owner;

  if (n->dispatch)
    dispatch_on_entry (n->dispatch, entry);
}

static void
on_worker_item (void *owner, const KvItem *item)
{
  Node *n = owner;
  const char *id = item->key + strlen (n->codec->workers_prefix);
  Findings findings;
  PoolEntry *entry;

  if (item->deleted)
    {
      g_hash_table_remove (n->entries, id);
      if (n->dispatch)
        dispatch_on_worker_gone (n->dispatch, id);
      return;
    }
  findings_init (&findings);
  entry = n->codec->read_worker (id, item->value, &findings);
  if (!entry)
    {
      char *text = findings_line (&findings);

      effects_log (&n->fx, "event=worker_unreadable worker=%s reason=\"%s\"",
                   id, text);
      g_free (text);
    }
  else
    {
      g_hash_table_insert (n->entries, g_strdup (id),
                           g_bytes_ref (item->value));
      if (n->dispatch)
        dispatch_on_worker (n->dispatch, entry);
      else
        pool_entry_free (entry);
    }
  findings_clear (&findings);
}

static void
on_roster_item (void *owner, const KvItem *item)
{
  Node *n = owner;

  if (!roster_records_apply (&n->roster, item))
    effects_log (&n->fx, "event=roster_unreadable key=%s", item->key);
}

/* Returns a node that reads others' entries by CODEC.  NOW is the host's
   clock, WALL Unix time, both in milliseconds. */
Node *
node_new (const NodeSettings *s,
          const NodeCodec *codec,
          ClockMs now,
          ClockMs wall)
{
  Node *n = g_new0 (Node, 1);

  n->codec = codec;
  n->now = now;
  n->wall = wall;
  n->most_conf_age = s->most_conf_age;
  n->claim_delay = s->claim_delay;
  n->rng = g_rand_new_with_seed (s->seed);
  effects_init (&n->fx, s->link_rate);
  effects_set_time (&n->fx, now);
  feed_init (&n->conf_feed, codec->conf_prefix, on_conf_item, n, CONF_PACE_MS);
  feed_init (&n->role_feed, book_scheduler_prefix, on_role_item, n,
             ROLE_PACE_MS);
  feed_init (&n->book_feed, book_prefix, on_book_item, n, BOOK_PACE_MS);
  feed_init (&n->worker_feed, codec->workers_prefix, on_worker_item, n,
             WORKERS_PACE_MS);
  feed_init (&n->roster_feed, roster_prefix, on_roster_item, n, 0);
  n->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  n->book = book_new (on_book_changed, n);
  term_init (&n->term, s->holder_name);
  waiting_init (&n->waiting);
  store_health_init (&n->reach, now);
  n->next_forget = now + FORGET_MS;
  n->intake = intake_new (&n->fx, n->book, &n->book_feed, &n->waiting,
                          &n->reach, codec->read_job, s->most_conf_age);
  intake_set_time (n->intake, now, wall);
  return n;
}

/* Releases N. */
void
node_free (Node *n)
{
  dispatch_free (n->dispatch);
  intake_free (n->intake);
  book_free (n->book);
  term_clear (&n->term);
  feed_clear (&n->conf_feed);
  feed_clear (&n->role_feed);
  feed_clear (&n->book_feed);
  waiting_clear (&n->waiting);
  feed_clear (&n->worker_feed);
  feed_clear (&n->roster_feed);
  roster_records_clear (&n->roster);
  g_hash_table_unref (n->entries);
  conf_unref (n->conf);
  g_rand_free (n->rng);
  effects_clear (&n->fx);
  g_free (n);
}

static void
stop_dispatch (Node *n, const char *why)
{
  effects_log (&n->fx, "event=role_left reason=%s", why);
  dispatch_free (n->dispatch);
  n->dispatch = NULL;
  n->relisting = FALSE;
  intake_set_whole (n->intake, FALSE);
}

/* Tells N the time: NOW on the host's clock, WALL in Unix time. */
void
node_set_time (Node *n, ClockMs now, ClockMs wall)
{
  gboolean stood_still = now - n->now > STOOD_STILL_MS;

  n->now = MAX (n->now, now);
  n->wall = wall;
  effects_set_time (&n->fx, n->now);
  intake_set_time (n->intake, n->now, wall);
  /* Whatever comes next, a role that has run out is not acted on. */
  if (stood_still)
    term_doubt (&n->term, n->now);
  term_expire (&n->term, n->now);
  if (n->dispatch && !term_is_holder (&n->term))
    stop_dispatch (n, "term_ended");
  if (n->dispatch)
    dispatch_set_time (n->dispatch, n->now, wall,
                       term_may_order (&n->term, n->now));
}

/* Takes a caller's REQUEST; it is answered by an effect. */
void
node_on_request (Node *n, const Request *request)
{
  intake_on_request (n->intake, request, feed_age (&n->conf_feed, n->now));
}

/* Forgets REQUEST, whose caller has hung up. */
void
node_on_gone (Node *n, gint64 request)
{
  intake_on_gone (n->intake, request);
}

static void
on_role_listed (Node *n)
{
  if (!n->role_seen)
    term_on_role (&n->term,
                  &(KvItem) { .key = (char *)book_role_key, .deleted = TRUE },
                  n->now, claim_wait (n));
}

static void
start_dispatch (Node *n)
{
  DispatchTerm term = { .fence = term_fence (&n->term),
                        .first_run = term_first_run (&n->term),
                        .role_revision = n->term.revision };
  GHashTableIter i;
  gpointer id, value;

  n->dispatch =
      dispatch_new (&n->fx, n->book, &n->roster, &term, n->now, n->wall);
  intake_set_whole (n->intake, TRUE);
  if (n->conf)
    dispatch_on_conf (n->dispatch, n->conf);
  g_hash_table_iter_init (&i, n->entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      Findings findings;
      PoolEntry *entry;

      findings_init (&findings);
      entry = n->codec->read_worker (id, value, &findings);
      if (entry)
        dispatch_on_worker (n->dispatch, entry);
      findings_clear (&findings);
    }
  effects_log (&n->fx,
               "event=role_taken fence=%" G_GINT64_FORMAT " workers=%u jobs=%u",
               term.fence, g_hash_table_size (n->entries),
               g_hash_table_size (book_entries (n->book)));
}

/* The records and workers are listed anew under a new term, since a former
   holder may have written until just before it. */
static void
follow_term (Node *n)
{
  gboolean holder = term_is_holder (&n->term);

  if (n->dispatch && dispatch_is_deposed (n->dispatch))
    {
      term_give_up (&n->term, n->now);
      stop_dispatch (n, "deposed");
    }
  else if (n->dispatch && !holder)
    stop_dispatch (n, "term_ended");
  else if (!holder)
    n->relisting = FALSE;
  else if (!n->dispatch && !n->relisting)
    {
      n->relisting = TRUE;
      feed_restart (&n->book_feed);
      feed_restart (&n->worker_feed);
      feed_restart (&n->roster_feed);
    }
  else if (!n->dispatch && n->book_feed.complete && n->worker_feed.complete &&
           n->roster_feed.complete)
    start_dispatch (n);
}

/* Takes the store's REPLY. */
void
node_on_kv_reply (Node *n, const KvReply *reply)
{
  gboolean listed = n->role_feed.complete;

  link_add (&n->fx.link, n->now, reply->bytes);
  store_health_record (&n->reach, n->now, reply->status);
  if (feed_on_reply (&n->conf_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->book_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->worker_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->roster_feed, reply, n->now, &n->fx) ||
      term_on_reply (&n->term, reply, n->now, &n->fx) ||
      intake_on_kv_reply (n->intake, reply) ||
      (n->dispatch && dispatch_on_kv_reply (n->dispatch, reply)))
    return;
  if (feed_on_reply (&n->role_feed, reply, n->now, &n->fx) && !listed &&
      n->role_feed.complete)
    on_role_listed (n);
}

/* Takes a worker's REPLY. */
void
node_on_run_reply (Node *n, const RunReply *reply)
{
  link_add (&n->fx.link, n->now, reply->link_bytes);
  if (n->dispatch)
    dispatch_on_run_reply (n->dispatch, reply);
}

/* What a host without the role knows of jobs only saves it reading them
   again. */
static void
forget_jobs (Node *n)
{
  if (n->next_forget > n->now)
    return;
  n->next_forget = n->now + FORGET_MS;
  if (n->dispatch || term_is_holder (&n->term))
    return;
  feed_forget (&n->book_feed);
  book_forget_all (n->book);
}

/* Does what is due. */
void
node_tick (Node *n)
{
  term_poll (&n->term, n->now, &n->fx);
  follow_term (n);
  feed_poll (&n->conf_feed, n->now, &n->fx);
  feed_poll (&n->role_feed, n->now, &n->fx);
  if (term_is_holder (&n->term))
    {
      feed_poll (&n->book_feed, n->now, &n->fx);
      feed_poll (&n->worker_feed, n->now, &n->fx);
      if (!n->roster_feed.complete)
        feed_poll (&n->roster_feed, n->now, &n->fx);
    }
  intake_tick (n->intake);
  forget_jobs (n);
  if (n->dispatch)
    dispatch_tick (n->dispatch);
}

/* Gives the role up and reports N as not ready; requests are served until
   the process ends. */
void
node_drain (Node *n)
{
  n->draining = TRUE;
  term_want (&n->term, FALSE);
}

/* Takes the oldest effect, to be freed by the caller, or NULL. */
Effect *
node_pop_effect (Node *n)
{
  return effects_pop (&n->fx);
}

/* Returns when node_tick wants to be called, if only by the time. */
ClockMs
node_next_deadline (const Node *n)
{
  ClockMs next = term_next_deadline (&n->term);

  next = MIN (next, feed_next_deadline (&n->conf_feed));
  next = MIN (next, feed_next_deadline (&n->role_feed));
  next = MIN (next, intake_next_deadline (n->intake));
  if (term_is_holder (&n->term))
    next = MIN (next, MIN (feed_next_deadline (&n->book_feed),
                           feed_next_deadline (&n->worker_feed)));
  if (term_is_holder (&n->term) && !n->roster_feed.complete)
    next = MIN (next, feed_next_deadline (&n->roster_feed));
  if (n->dispatch)
    next = MIN (next, dispatch_next_deadline (n->dispatch));
  return next;
}

/* Tells whether new callers are well served by N. */
gboolean
node_is_ready (const Node *n)
{
  return !n->draining && n->conf && n->role_feed.fresh >= 0 &&
         !store_health_is_down (&n->reach, n->now) &&
         feed_age (&n->conf_feed, n->now) <= n->most_conf_age;
}

/* Tells whether N schedules. */
gboolean
node_is_scheduler (const Node *n)
{
  return n->dispatch != NULL;
}

/* Returns the configuration in force, or NULL. */
const Conf *
node_conf (const Node *n)
{
  return n->conf;
}

/* Returns the number of requests that wait for their answer. */
guint
node_n_pending (const Node *n)
{
  return intake_n_pending (n->intake);
}

/* Returns N's counters in the usual text form; the caller frees them. */
char *
node_metrics (const Node *n)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "wagtailpass_conf_version %" G_GINT64_FORMAT "\n",
                          n->conf ? n->conf->version : 0);
  g_string_append_printf (text,
                          "wagtailpass_conf_age_ms %" CLOCK_MS_FORMAT "\n",
                          feed_age (&n->conf_feed, n->now));
  g_string_append_printf (text, "wagtailpass_jobs_known %u\n",
                          g_hash_table_size (book_entries (n->book)));
  g_string_append_printf (text, "wagtailpass_records_unreadable %u\n",
                          book_unreadable (n->book));
  g_string_append_printf (text, "wagtailpass_is_scheduler %d\n",
                          n->dispatch != NULL);
  intake_describe (n->intake, text);
  if (n->dispatch)
    dispatch_describe (n->dispatch, text);
  return g_string_free (text, FALSE);
}
