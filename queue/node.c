#include "node.h"

#include "dispatch.h"
#include "in_flight.h"
#include "term.h"
#include "yield.h"

#include <string.h>

enum
{
  /* Minimum intervals between watches of one prefix. */
  JOB_CACHE_WATCH_INTERVAL_MS = 40,
  ROLE_WATCH_INTERVAL_MS = 250,
  CONF_WATCH_INTERVAL_MS = 20,
  WORKERS_WATCH_INTERVAL_MS = 100,
  CLAIM_JITTER_MS = 120,
  PAUSE_THRESHOLD_MS = 1000, /* twice MAX_POLL_MS of platform/host.c */
  JOB_CACHE_RESET_INTERVAL_MS = 600000 /* see reset_unused_job_cache */
};

struct Node
{
  const NodeCodec *codec;
  Effects fx;
  InFlight in_flight;
  GRand *rng;
  ClockMs now;
  ClockMs wall;
  Feed conf_feed;
  Feed role_feed;
  /* The next three are polled only while this host holds the role. */
  Feed job_cache_feed;
  Feed worker_feed;
  Feed roster_feed; /* listed once at the start of a term */
  RosterRecords roster;
  GHashTable *worker_values; /* worker id to its encoded entry, GBytes */
  /* Ids of entries that can't be read, which have been logged. */
  GHashTable *unreadable_workers;
  JobCache *job_cache;
  Waiting waiting;
  StoreHealth store_health;
  gsize max_store_value; /* bytes; 0: unknown */
  Bounds bounds;
  char **domains; /* names of all failure domains; NULL: not known */
  EvacuationFeed evacuations;
  gboolean evacuations_unlisted; /* requests, in the term that has begun */
  Yield yield;                   /* of that term */
  Conf *conf;
  Term term;
  Intake *intake;
  Dispatch *dispatch;       /* the scheduler; NULL without the role */
  gboolean role_key_listed; /* in the current listing of ROLE_FEED */
  gboolean relisting;       /* feeds list anew for the term that has begun */
  gboolean draining;
  ClockMs max_conf_age;
  ClockMs claim_delay;
  ClockMs next_job_cache_reset;
};

static ClockMs
jittered_claim_delay (Node *n)
{
  return n->claim_delay + g_rand_int_range (n->rng, 0, CLAIM_JITTER_MS);
}

/* Tells whether the settings name DOMAIN. */
static gboolean
is_named_domain (const Node *n, const char *domain)
{
  return n->domains &&
         g_strv_contains ((const char *const *)n->domains, domain);
}

/* Tells whether a request to evacuate DOMAIN can be meant: the settings name
   it, or it has N_WORKERS.  Hosts without the scheduler know no workers; where
   the settings name no domain, they can't tell. */
static gboolean
is_known_domain (const Node *n, const char *domain, guint n_workers)
{
  return is_named_domain (n, domain) || n_workers > 0 ||
         (!n->dispatch && (!n->domains || !n->domains[0]));
}

static void
on_evacuation_item (Node *n, const KvItem *item)
{
  const char *domain = evacuation_feed_domain (&n->evacuations, item->key);
  ClockMs lasted;
  EvacuationChange change =
      evacuation_feed_on_item (&n->evacuations, item, n->now, &lasted);
  guint n_workers = 0;

  if (change == EVACUATION_BEGUN)
    {
      if (n->dispatch)
        n_workers = dispatch_on_evacuation (n->dispatch, domain,
                                            is_named_domain (n, domain));
      if (!is_known_domain (n, domain, n_workers))
        evacuation_feed_note_unknown (&n->evacuations, domain);
    }
  else if (change == EVACUATION_ENDED && n->dispatch)
    dispatch_on_evacuation_ended (n->dispatch, domain, lasted);
}

static void
on_conf_item (void *owner, const KvItem *item)
{
  Node *n = owner;
  Findings findings;
  Conf *conf;

  if (n->bounds.evacuation &&
      evacuation_feed_domain (&n->evacuations, item->key))
    {
      on_evacuation_item (n, item);
      return;
    }
  if (item->deleted || strcmp (item->key, n->codec->conf_key) != 0)
    return;
  findings_init (&findings);
  conf = n->codec->decode_conf (item->value, &findings);
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

  if (strcmp (item->key, scheduler_role_key) == 0)
    {
      n->role_key_listed = !item->deleted;
      term_on_role (&n->term, item, n->now, jittered_claim_delay (n));
    }
  else if (strcmp (item->key, scheduler_epoch_key) == 0)
    term_on_epoch (&n->term, item, n->now);
  else if (strcmp (item->key, waiting_key) == 0 &&
           !waiting_apply (&n->waiting, item))
    effects_log (&n->fx, "event=waiting_unreadable revision=%" G_GINT64_FORMAT,
                 item->revision);
}

static void
on_job_cache_item (void *owner, const KvItem *item)
{
  job_cache_apply (((Node *)owner)->job_cache, item);
}

static void
on_job_cache_changed (void *owner, JobEntry *entry)
{
  Node *n = owner;

  if (n->dispatch)
    dispatch_on_job_entry (n->dispatch, entry);
}

/* Logs the first of the unreadable entries of worker ID in a row: its writer
   may change it again and again. */
static void
log_unreadable_worker (Node *n, const char *id, const Findings *findings)
{
  char *name, *text;

  if (!g_hash_table_add (n->unreadable_workers, g_strdup (id)))
    return;
  name = g_uri_escape_string (id, NULL, FALSE);
  text = findings_line (findings);
  effects_log (&n->fx, "event=worker_unreadable worker=%s reason=\"%s\"", name,
               text);
  g_free (name);
  g_free (text);
}

static void
forget_worker (Node *n, const char *id)
{
  g_hash_table_remove (n->worker_values, id);
  if (n->dispatch)
    dispatch_on_worker_gone (n->dispatch, id);
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
      g_hash_table_remove (n->unreadable_workers, id);
      forget_worker (n, id);
      return;
    }
  findings_init (&findings);
  entry = n->codec->decode_worker (id, item->value, &findings);
  if (!entry)
    {
      /* It names no worker to use, whatever the one before it said. */
      log_unreadable_worker (n, id, &findings);
      forget_worker (n, id);
    }
  else
    {
      g_hash_table_remove (n->unreadable_workers, id);
      g_hash_table_insert (n->worker_values, g_strdup (id),
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

/* Returns a new node; CODEC must outlive it.  NOW is the time on the host's
   monotonic clock, WALL Unix time, both in milliseconds. */
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
  n->max_conf_age = s->max_conf_age;
  n->claim_delay = s->claim_delay;
  n->rng = g_rand_new_with_seed (s->seed);
  effects_init (&n->fx, s->link_bytes_per_s);
  effects_set_time (&n->fx, now);
  in_flight_init (&n->in_flight);
  feed_init (&n->conf_feed, codec->conf_prefix, on_conf_item, n,
             CONF_WATCH_INTERVAL_MS);
  if (s->bounds.evacuation)
    feed_limit_wait (&n->conf_feed,
                     evacuation_watch_wait (s->bounds.evacuation));
  feed_init (&n->role_feed, scheduler_key_prefix, on_role_item, n,
             ROLE_WATCH_INTERVAL_MS);
  feed_init (&n->job_cache_feed, job_key_prefix, on_job_cache_item, n,
             JOB_CACHE_WATCH_INTERVAL_MS);
  feed_init (&n->worker_feed, codec->workers_prefix, on_worker_item, n,
             WORKERS_WATCH_INTERVAL_MS);
  feed_init (&n->roster_feed, roster_prefix, on_roster_item, n, 0);
  n->worker_values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  n->unreadable_workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  n->job_cache = job_cache_new (on_job_cache_changed, n);
  term_init (&n->term, s->holder_name, s->min_store_lease);
  n->max_store_value = s->max_store_value;
  n->bounds = s->bounds;
  evacuation_feed_init (&n->evacuations, codec->evacuation_prefix,
                        codec->check_evacuation, &n->fx);
  n->domains = g_strdupv ((char **)s->domains);
  waiting_init (&n->waiting);
  store_health_init (&n->store_health, now);
  n->next_job_cache_reset = now + JOB_CACHE_RESET_INTERVAL_MS;
  n->intake = intake_new (&n->fx, n->job_cache, &n->job_cache_feed, &n->waiting,
                          &n->store_health, codec->decode_job, s->max_conf_age);
  intake_set_time (n->intake, now, wall);
  intake_set_evacuations (n->intake, &n->evacuations.set,
                          (const char *const *)n->domains, n->rng);
  return n;
}

/* Frees N. */
void
node_free (Node *n)
{
  dispatch_free (n->dispatch);
  intake_free (n->intake);
  job_cache_free (n->job_cache);
  term_clear (&n->term);
  feed_clear (&n->conf_feed);
  feed_clear (&n->role_feed);
  feed_clear (&n->job_cache_feed);
  waiting_clear (&n->waiting);
  feed_clear (&n->worker_feed);
  feed_clear (&n->roster_feed);
  roster_records_clear (&n->roster);
  g_hash_table_unref (n->worker_values);
  g_hash_table_unref (n->unreadable_workers);
  evacuation_feed_clear (&n->evacuations);
  conf_unref (n->conf);
  g_strfreev (n->domains);
  g_rand_free (n->rng);
  effects_clear (&n->fx);
  in_flight_clear (&n->in_flight);
  g_free (n);
}

static void
stop_dispatch (Node *n, const char *why)
{
  effects_log (&n->fx,
               "event=role_left reason=%s renewed_ms_ago=%" CLOCK_MS_FORMAT,
               why, n->now - n->term.renewed_at);
  dispatch_free (n->dispatch);
  n->dispatch = NULL;
  effects_drop_later_calls (&n->fx);
  /* The next scheduler may need the connections that this one keeps open. */
  effects_disconnect_workers (&n->fx);
  n->relisting = FALSE;
  intake_set_job_cache_complete (n->intake, FALSE);
}

/* Sets the current time in milliseconds: NOW on the host's monotonic clock,
   WALL in Unix time.  After a pause of the process the role must be confirmed
   before the next order. */
void
node_set_time (Node *n, ClockMs now, ClockMs wall)
{
  gboolean was_paused = now - n->now > PAUSE_THRESHOLD_MS;

  n->now = MAX (n->now, now);
  n->wall = wall;
  effects_set_time (&n->fx, n->now);
  intake_set_time (n->intake, n->now, wall);
  /* Whatever event comes next, an expired role must not be acted on. */
  if (was_paused)
    term_require_renewal (&n->term, n->now);
  term_check_expiry (&n->term, n->now);
  if (n->dispatch && !term_is_leader (&n->term))
    stop_dispatch (n, "term_ended");
  if (n->dispatch)
    dispatch_set_time (n->dispatch, n->now, wall,
                       term_may_send_orders (&n->term, n->now));
}

/* Handles a caller's REQUEST; the answer is queued as an effect. */
void
node_on_request (Node *n, const Request *request)
{
  intake_on_request (n->intake, request, feed_age (&n->conf_feed, n->now));
}

/* Drops REQUEST, whose caller has disconnected. */
void
node_on_disconnect (Node *n, gint64 request)
{
  intake_on_disconnect (n->intake, request);
}

static void
on_role_listed (Node *n)
{
  if (!n->role_key_listed)
    term_on_role (&n->term,
                  &(KvItem) { .key = (char *)scheduler_role_key,
                              .deleted = TRUE },
                  n->now, jittered_claim_delay (n));
}

static void
start_dispatch (Node *n)
{
  DispatchTerm term = { .fence = term_fence (&n->term),
                        .first_run = term_first_run (&n->term),
                        .role_revision = n->term.own_role_revision,
                        .history = n->term.history };
  GHashTableIter i;
  gpointer id, value;

  n->dispatch =
      dispatch_new (&n->fx, n->job_cache, &n->roster, &term, n->max_store_value,
                    &n->bounds, &n->evacuations.set, n->now, n->wall);
  intake_set_job_cache_complete (n->intake, TRUE);
  if (n->conf)
    dispatch_on_conf (n->dispatch, n->conf);
  g_hash_table_iter_init (&i, n->worker_values);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      Findings findings;
      PoolEntry *entry;

      findings_init (&findings);
      entry = n->codec->decode_worker (id, value, &findings);
      if (entry)
        dispatch_on_worker (n->dispatch, entry);
      findings_clear (&findings);
    }
  g_hash_table_iter_init (&i, n->evacuations.set.closed);
  while (g_hash_table_iter_next (&i, &id, NULL))
    dispatch_on_evacuation (n->dispatch, id, is_named_domain (n, id));
  effects_log (&n->fx,
               "event=role_taken fence=%" G_GINT64_FORMAT " workers=%u jobs=%u",
               term.fence, g_hash_table_size (n->worker_values),
               g_hash_table_size (job_cache_entries (n->job_cache)));
}

/* Returns how many milliseconds ago a request to evacuate may have been written
   that this host doesn't know. */
static ClockMs
evacuations_age (const Node *n)
{
  return n->evacuations_unlisted ? CLOCK_NEVER
                                 : feed_age (&n->conf_feed, n->now);
}

/* Tells whether a scheduler on this host could start no task now. */
static gboolean
holds_starts (const Node *n)
{
  return n->bounds.evacuation &&
         evacuations_age (n) > evacuation_max_age (n->bounds.evacuation);
}

/* Has what the scheduler of the term that has begun must know listed anew. */
static void
relist_for_term (Node *n)
{
  n->relisting = TRUE;
  feed_relist (&n->job_cache_feed);
  feed_relist (&n->worker_feed);
  feed_relist (&n->roster_feed);
  yield_init (&n->yield);
  n->evacuations_unlisted = n->bounds.evacuation > 0;
  if (n->bounds.evacuation)
    feed_relist (&n->conf_feed);
}

/* Tells whether that has been listed.  Without the requests to evacuate, which
   can't be listed now, the scheduler does all but start tasks. */
static gboolean
is_listed_for_term (const Node *n)
{
  return n->job_cache_feed.list_complete && n->worker_feed.list_complete &&
         n->roster_feed.list_complete &&
         (n->conf_feed.list_complete || n->conf_feed.failures > 0 ||
          !n->bounds.evacuation);
}

/* Starts the scheduler when a term has begun, and stops it when the term has
   ended.  Jobs, workers and roster are listed anew first, since the previous
   holder may have written until just before the new term, and so are requests
   to evacuate. */
static void
sync_dispatch_with_term (Node *n)
{
  gboolean is_holder = term_is_leader (&n->term);

  if (n->dispatch && dispatch_has_lost_role (n->dispatch))
    {
      term_step_down (&n->term, n->now);
      stop_dispatch (n, "deposed");
    }
  else if (n->dispatch && !is_holder)
    stop_dispatch (n, "term_ended");
  else if (!is_holder)
    n->relisting = FALSE;
  else if (!n->dispatch && !n->relisting)
    relist_for_term (n);
  else if (!n->dispatch && is_listed_for_term (n))
    start_dispatch (n);
}

/* Passes the store's REPLY to the module that made the call. */
void
node_on_kv_reply (Node *n, const KvReply *reply)
{
  gboolean was_list_complete = n->role_feed.list_complete;

  link_add_bytes (&n->fx.link, n->now, reply->bytes);
  in_flight_remove (&n->in_flight, reply->id);
  store_health_record (&n->store_health, n->now, reply->status);
  if (feed_on_reply (&n->conf_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->job_cache_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->worker_feed, reply, n->now, &n->fx) ||
      feed_on_reply (&n->roster_feed, reply, n->now, &n->fx))
    return;
  if (feed_on_reply (&n->role_feed, reply, n->now, &n->fx))
    {
      if (!was_list_complete && n->role_feed.list_complete)
        on_role_listed (n);
      return;
    }
  /* Long polls were handled above; the others are answered at once. */
  if (reply->status != KV_REFUSED && reply->status != KV_OUTCOME_UNKNOWN)
    rtt_record (&n->fx.store_rtt, n->now - reply->call_started_at);
  if (term_on_reply (&n->term, reply, n->now, &n->fx) ||
      intake_on_kv_reply (n->intake, reply))
    return;
  if (n->dispatch)
    dispatch_on_kv_reply (n->dispatch, reply);
}

/* Passes a worker's REPLY to the scheduler, if it still runs here. */
void
node_on_run_reply (Node *n, const RunReply *reply)
{
  link_add_bytes (&n->fx.link, n->now, reply->link_bytes);
  in_flight_remove (&n->in_flight, reply->id);
  if (n->dispatch)
    dispatch_on_run_reply (n->dispatch, reply);
}

/* Frees the memory of the job cache from time to time on hosts without the
   role. There it only caches jobs that callers have asked about; they are read
   again when needed. */
static void
reset_unused_job_cache (Node *n)
{
  if (n->next_job_cache_reset > n->now)
    return;
  n->next_job_cache_reset = n->now + JOB_CACHE_RESET_INTERVAL_MS;
  if (n->dispatch || term_is_leader (&n->term))
    return;
  feed_reset (&n->job_cache_feed);
  job_cache_clear (n->job_cache);
}

static void
give_up_call (Node *n, const InFlightCall *call)
{
  KvReply no_answer = { .id = call->id,
                        .status = KV_OUTCOME_UNKNOWN,
                        .call_started_at = call->began_at };
  RunReply lost;

  if (call->peer == IN_FLIGHT_STORE)
    {
      node_on_kv_reply (n, &no_answer);
      return;
    }
  run_reply_init (&lost);
  lost.id = call->id;
  lost.status = RUN_LOST;
  lost.error = "no reply in time";
  node_on_run_reply (n, &lost);
  run_reply_clear (&lost);
}

/* Takes the calls for lost that are overdue; a reply that comes later is
   ignored. */
static void
give_up_overdue_calls (Node *n)
{
  const InFlightCall *call;

  while ((call = in_flight_next_overdue (&n->in_flight, n->now)))
    {
      effects_log (&n->fx,
                   "event=call_overdue op=%s worker=%s"
                   " timeout_ms=%" CLOCK_MS_FORMAT " age_ms=%" CLOCK_MS_FORMAT,
                   call->op, call->worker ? call->worker : "", call->timeout,
                   n->now - call->began_at);
      give_up_call (n, call);
    }
}

/* Tells the scheduler how old what it knows of evacuations is, and gives up the
   role if that has kept it from starting tasks for too long. */
static void
check_evacuations_age (Node *n)
{
  dispatch_set_evacuations_age (n->dispatch, evacuations_age (n));
  yield_set_held (&n->yield, holds_starts (n), n->now);
  if (!yield_is_due (&n->yield, &n->term, n->now))
    return;
  term_step_down (&n->term, n->now);
  stop_dispatch (n, "evacuations_unknown");
}

/* Starts the store and worker calls that are due and expires requests. */
void
node_tick (Node *n)
{
  give_up_overdue_calls (n);
  if (n->conf_feed.list_complete)
    n->evacuations_unlisted = FALSE;
  term_set_last_resort (&n->term, holds_starts (n));
  term_poll (&n->term, n->now, &n->fx);
  sync_dispatch_with_term (n);
  feed_poll (&n->conf_feed, n->now, &n->fx);
  feed_poll (&n->role_feed, n->now, &n->fx);
  if (term_is_leader (&n->term))
    {
      feed_poll (&n->job_cache_feed, n->now, &n->fx);
      feed_poll (&n->worker_feed, n->now, &n->fx);
      if (!n->roster_feed.list_complete)
        feed_poll (&n->roster_feed, n->now, &n->fx);
    }
  intake_tick (n->intake);
  reset_unused_job_cache (n);
  if (n->dispatch)
    check_evacuations_age (n);
  if (n->dispatch)
    dispatch_tick (n->dispatch);
}

/* Places waiting tasks if that is due; to be called after node_tick.  Returns
   whether it was. */
gboolean
node_plan (Node *n)
{
  return n->dispatch && dispatch_plan (n->dispatch);
}

/* Tells N what the host's processor has ahead of it. */
void
node_set_load (Node *n, const NodeLoad *load)
{
  if (n->dispatch)
    dispatch_set_load (n->dispatch, load);
}

/* Tells N that the last node_plan took SPAN milliseconds. */
void
node_on_plan_span (Node *n, ClockMs span)
{
  if (n->dispatch)
    dispatch_on_plan_span (n->dispatch, span);
}

/* Begins the shutdown of N: gives up the role and reports not ready.  Requests
   are still served until the process ends. */
void
node_drain (Node *n)
{
  n->draining = TRUE;
  term_set_eligible (&n->term, FALSE);
}

/* Answers all pending requests, as the process is about to end.  Calls to the
   store and to workers that are queued from now on need not be made. */
void
node_stop (Node *n)
{
  intake_stop (n->intake);
}

static Effect *
note_call (Node *n, Effect *e)
{
  if (e)
    in_flight_add (&n->in_flight, e, n->now);
  return e;
}

/* Removes and returns the oldest queued effect, which the caller frees, or
   NULL.  A call has to get its reply within its time-out from now on; one that
   gets none is taken for lost some time later. */
Effect *
node_pop_effect (Node *n)
{
  return note_call (n, effects_pop (&n->fx));
}

/* Removes and returns the oldest call to a worker that can wait until all other
   effects have been carried out, or NULL; the caller frees it. */
Effect *
node_pop_later_call (Node *n)
{
  return note_call (n, effects_pop_later_call (&n->fx));
}

/* Returns how many such calls wait. */
guint
node_n_later_calls (const Node *n)
{
  return effects_n_later_calls (&n->fx);
}

/* Returns when node_tick and node_plan must be called next if nothing else
   happens. */
ClockMs
node_next_deadline (const Node *n)
{
  ClockMs next = term_next_deadline (&n->term);

  next = MIN (next, feed_next_deadline (&n->conf_feed));
  next = MIN (next, feed_next_deadline (&n->role_feed));
  next = MIN (next, intake_next_deadline (n->intake));
  next = MIN (next, in_flight_next_deadline (&n->in_flight));
  if (term_is_leader (&n->term))
    next = MIN (next, MIN (feed_next_deadline (&n->job_cache_feed),
                           feed_next_deadline (&n->worker_feed)));
  if (term_is_leader (&n->term) && !n->roster_feed.list_complete)
    next = MIN (next, feed_next_deadline (&n->roster_feed));
  if (n->dispatch)
    next = MIN (next, dispatch_next_deadline (n->dispatch));
  return next;
}

/* Tells whether N can serve new callers: it is not draining, has a recent
   configuration and reaches the store. */
gboolean
node_is_ready (const Node *n)
{
  return !n->draining && n->conf && n->role_feed.current_as_of >= 0 &&
         !store_health_is_down (&n->store_health, n->now) &&
         feed_age (&n->conf_feed, n->now) <= n->max_conf_age;
}

/* Tells whether N runs the scheduler. */
gboolean
node_is_scheduler (const Node *n)
{
  return n->dispatch != NULL;
}

/* Returns the active configuration, or NULL before the first. */
const Conf *
node_conf (const Node *n)
{
  return n->conf;
}

/* Returns the number of unanswered requests. */
guint
node_n_pending (const Node *n)
{
  return intake_n_pending (n->intake);
}

/* Returns N's metrics in the Prometheus text format; the caller frees them. */
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
                          g_hash_table_size (job_cache_entries (n->job_cache)));
  g_string_append_printf (text, "wagtailpass_records_unreadable %u\n",
                          job_cache_n_unreadable (n->job_cache));
  g_string_append_printf (text, "wagtailpass_is_scheduler %d\n",
                          n->dispatch != NULL);
  evacuation_feed_append_metrics (&n->evacuations, text);
  in_flight_append_metrics (&n->in_flight, text, n->now);
  intake_append_metrics (n->intake, text);
  if (n->dispatch)
    dispatch_append_metrics (n->dispatch, text);
  return g_string_free (text, FALSE);
}
