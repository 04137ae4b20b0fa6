#include "intake.h"

#include "time_budget.h"

#include <apr_ring.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 600,
  RETRY_MS = 80,
  DEFAULT_PATIENCE_MS = 3000,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_UNAUTHORIZED = 401,
  HTTP_NOT_FOUND = 404,
  HTTP_GONE = 410,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504
};

static const gint64 milli = 1000;

#define INTAKE_COUNTERS(X)                                                     \
  X (INTAKE_ACCEPTED, "accepted")                                              \
  X (INTAKE_REPEATED, "repeated")                                              \
  X (INTAKE_CANCELLED, "cancelled")                                            \
  X (INTAKE_REFUSED, "refused")                                                \
  X (INTAKE_UNSURE, "unsure")                                                  \
  X (INTAKE_INVALID, "invalid")

#define INTAKE_ENUM(kind, name) kind,
typedef enum IntakeCounter
{
  INTAKE_COUNTERS (INTAKE_ENUM) N_INTAKE_COUNTERS
} IntakeCounter;

/* What a pending request waits for. */
typedef enum Stage
{
  STAGE_WRITE, /* the job's record */
  STAGE_READ,  /* whether there is such a job */
  STAGE_CANCEL /* the cancel's record */
} Stage;

typedef struct Pending
{
  APR_RING_ENTRY (Pending) link;
  gint64 request;
  RequestOp op;
  Stage stage;
  char *id;
  char *workspace;
  GBytes *record;
  gint64 call_id;
  gboolean unsure; /* a write may have been executed, or may be later */
  guint tries;
  ClockMs came;
  ClockMs sent;     /* when the last call began */
  ClockMs retry;    /* CLOCK_NEVER while a call is under way */
  ClockMs patience; /* of its caller when it came */
  ClockMs deadline; /* for the answer to leave */
  ClockMs conf_age; /* of what was known of the configuration when it came */
} Pending;

APR_RING_HEAD (PendingRing, Pending);

struct Intake
{
  Effects *fx;
  Book *book;
  Feed *feed;
  const Waiting *waiting;
  const StoreHealth *reach;
  gboolean whole; /* BOOK has every job, as it is now */
  IntakeReadJob read_job;
  ClockMs most_conf_age;
  Conf *conf;
  ClockMs now;
  ClockMs wall;
  ClockMs conf_age; /* with the request that is being taken */
  struct PendingRing pending;
  guint n_pending;
  gint64 counters[N_INTAKE_COUNTERS];
};

/* Returns an intake that stores jobs under BOOK's keys and tells FEED, their
   mirror, of what it finds; WAITING says how many jobs wait, and REACH whether
   the store answers this host.  Requests are turned away when the
   configuration in force could be older than MOST_CONF_AGE. */
Intake *
intake_new (Effects *fx,
            Book *book,
            Feed *feed,
            const Waiting *waiting,
            const StoreHealth *reach,
            IntakeReadJob read_job,
            ClockMs most_conf_age)
{
  Intake *in = g_new0 (Intake, 1);

  in->fx = fx;
  in->book = book;
  in->feed = feed;
  in->waiting = waiting;
  in->reach = reach;
  in->read_job = read_job;
  in->most_conf_age = most_conf_age;
  APR_RING_INIT (&in->pending, Pending, link);
  return in;
}

static void
pending_free (Intake *in, Pending *p)
{
  APR_RING_REMOVE (p, link);
  in->n_pending--;
  g_free (p->id);
  g_free (p->workspace);
  if (p->record)
    g_bytes_unref (p->record);
  g_free (p);
}

/* Releases IN; pending requests stay unanswered. */
void
intake_free (Intake *in)
{
  Pending *p, *next;

  APR_RING_FOREACH_SAFE (p, next, &in->pending, Pending, link)
    pending_free (in, p);
  conf_unref (in->conf);
  g_free (in);
}

/* Tells IN the time: NOW on the host's clock, WALL in Unix time. */
void
intake_set_time (Intake *in, ClockMs now, ClockMs wall)
{
  in->now = now;
  in->wall = wall;
}

/* Takes CONF for the configuration in force. */
void
intake_on_conf (Intake *in, Conf *conf)
{
  conf_unref (in->conf);
  in->conf = conf_ref (conf);
}

/* Tells IN whether its book has every job as it is now: then callers'
   questions are answered without the store. */
void
intake_set_whole (Intake *in, gboolean whole)
{
  in->whole = whole;
}

static void
answer (Intake *in, gint64 request, const Answer *a)
{
  Answer full = *a;

  full.request = request;
  effects_answer (in->fx, &full);
}

static void
refuse (Intake *in, gint64 request, int status, const char *why)
{
  in->counters[status == HTTP_BAD_REQUEST ? INTAKE_INVALID : INTAKE_REFUSED]++;
  answer (in, request,
          &(Answer) { .status = status, .body = ANSWER_ERROR, .text = why });
}

/* Turns REQUEST, of which nothing has been stored, away for now; its caller
   may come back AFTER so many milliseconds. */
static void
turn_away (Intake *in, gint64 request, ClockMs after, const char *why)
{
  in->counters[INTAKE_REFUSED]++;
  answer (in, request,
          &(Answer) { .status = HTTP_UNAVAILABLE,
                      .body = ANSWER_ERROR,
                      .text = why,
                      .may_retry = TRUE,
                      .retry_after = after });
}

static void
answer_state (Intake *in, gint64 request, const BookEntry *entry)
{
  answer (in, request,
          &(Answer) { .status = HTTP_OK,
                      .body = ANSWER_STATE,
                      .text = spec_state_name (book_state (entry)) });
}

static void
log_outcome (Intake *in, const Pending *p, const char *what, int status)
{
  effects_log (in->fx,
               "event=%s job=%s workspace=%s status=%d conf=%" G_GINT64_FORMAT
               " conf_age_ms=%" CLOCK_MS_FORMAT " tries=%u",
               what, p->id, p->workspace ? p->workspace : "", status,
               in->conf ? in->conf->version : 0, p->conf_age, p->tries);
}

/* Answers P with the body-less STATUS and forgets it. */
static void
finish (Intake *in, Pending *p, int status)
{
  answer (in, p->request, &(Answer) { .status = status });
  pending_free (in, p);
}

static KvCall *
write_call (const Pending *p)
{
  KvCall *call = kv_call_new (KV_TXN, NULL);
  char *key = book_job_key (p->id);

  kv_call_cond (call, key, 0);
  kv_call_write (call, key, p->record, 0);
  g_free (key);
  return call;
}

static KvCall *
read_call (const Pending *p)
{
  char *prefix = book_id_prefix (p->id);
  KvCall *call = kv_call_new (KV_RANGE, prefix);

  g_free (prefix);
  return call;
}

static KvCall *
cancel_call (const Intake *in, const Pending *p)
{
  const BookEntry *entry = book_find (in->book, p->id);
  KvCall *call = kv_call_new (KV_TXN, NULL);
  char *job_key = book_job_key (p->id);
  char *cancel_key = book_cancel_key (p->id);
  GBytes *value = g_bytes_new_static ("1", 1);

  kv_call_cond (call, job_key, entry ? entry->job_revision : 0);
  kv_call_cond (call, cancel_key, 0);
  kv_call_write (call, cancel_key, value, 0);
  g_bytes_unref (value);
  g_free (job_key);
  g_free (cancel_key);
  return call;
}

static void
make_call (Intake *in, Pending *p)
{
  KvCall *call = p->stage == STAGE_WRITE  ? write_call (p)
                 : p->stage == STAGE_READ ? read_call (p)
                                          : cancel_call (in, p);
  ClockMs left = p->deadline - in->now;

  call->id = effects_next_id (in->fx);
  call->timeout = CLAMP (left, 1, CALL_TIMEOUT_MS);
  call->firm = TRUE;
  p->call_id = call->id;
  p->sent = in->now;
  p->retry = CLOCK_NEVER;
  p->tries++;
  effects_kv (in->fx, call);
}

static void
enter_stage (Intake *in, Pending *p, Stage stage)
{
  p->stage = stage;
  p->tries = 0;
  make_call (in, p);
}

static ClockMs
patience_of (const Request *request)
{
  return request->patience > 0 ? request->patience : DEFAULT_PATIENCE_MS;
}

static Pending *
pending_new (Intake *in, const Request *request, const char *id)
{
  Pending *p = g_new0 (Pending, 1);
  ClockMs patience = patience_of (request);

  p->request = request->id;
  p->op = request->op;
  p->conf_age = in->conf_age;
  p->id = g_strdup (id);
  p->came = in->now;
  p->deadline = in->now + time_budget_processing (patience);
  p->patience = patience;
  APR_RING_INSERT_TAIL (&in->pending, p, Pending, link);
  in->n_pending++;
  return p;
}

static void
fill_job (const Intake *in,
          SpecJob *job,
          const char *id,
          const ConfRoute *route,
          const ConfWorkspace *workspace)
{
  rec_set_str (&job->id, id);
  rec_set_str (&job->route, route->name);
  rec_set_str (&job->service, route->service);
  rec_set_str (&job->workspace, workspace ? workspace->name : "");
  job->accepted_ms = in->wall;
  job->priority = route->priority;
  job->attempts = route->attempts;
  job->stretch_milli = (gint64)(route->stretch * (double)milli);
  job->target_ms = route->target;
}

static GBytes *
read_record (Intake *in,
             const Request *request,
             const char *id,
             const ConfRoute *route,
             const ConfWorkspace *workspace)
{
  SpecJob *job = rec_new (spec_job_desc ());
  GBytes *record = NULL;
  Findings findings;

  findings_init (&findings);
  if (request->body && in->read_job (request->body, job, &findings))
    {
      fill_job (in, job, id, route, workspace);
      spec_job_check (job, &findings);
      if (findings_count (&findings) == 0)
        record = rec_pack (spec_job_desc (), job);
    }
  if (!record)
    {
      char *text = findings_line (&findings);

      effects_log (in->fx, "event=job_invalid job=%s reason=\"%s\"", id, text);
      g_free (text);
    }
  findings_clear (&findings);
  rec_free (spec_job_desc (), job);
  return record;
}

static void
submit (Intake *in,
        const Request *request,
        const char *id,
        const ConfRoute *route,
        const ConfWorkspace *workspace)
{
  const BookEntry *known = book_find (in->book, id);
  GBytes *record;
  Pending *p;

  if (known && known->job)
    {
      in->counters[INTAKE_REPEATED]++;
      answer (in, request->id, &(Answer) { .status = HTTP_OK });
      return;
    }
  record = read_record (in, request, id, route, workspace);
  if (!record)
    {
      refuse (in, request->id, HTTP_BAD_REQUEST, "the job cannot be read");
      return;
    }
  p = pending_new (in, request, id);
  p->record = record;
  p->workspace = g_strdup (workspace ? workspace->name : "");
  enter_stage (in, p, STAGE_WRITE);
}

/* Goes on with P, whose job is ENTRY. */
static void
with_job (Intake *in, Pending *p, const BookEntry *entry)
{
  JobState state = book_state (entry);

  if (p->op == REQUEST_STATE)
    {
      answer_state (in, p->request, entry);
      pending_free (in, p);
    }
  else if (entry->cancelled)
    finish (in, p, HTTP_OK);
  else if (spec_state_is_final (state))
    finish (in, p, HTTP_GONE);
  else
    enter_stage (in, p, STAGE_CANCEL);
}

/* Tells whether what is known of ENTRY's job is what the store has. */
static gboolean
is_current (const Intake *in, const BookEntry *entry)
{
  return in->whole || entry->cancelled ||
         spec_state_is_final (book_state (entry));
}

static void
ask_job (Intake *in, const Request *request, const char *id)
{
  const BookEntry *entry = book_find (in->book, id);
  Pending *p = pending_new (in, request, id);

  if (entry && entry->job && is_current (in, entry))
    with_job (in, p, entry);
  else
    enter_stage (in, p, STAGE_READ);
}

static gboolean
is_job_id (const char *id)
{
  return *id && util_is_name (id);
}

static void
route_request (Intake *in,
               const Request *request,
               const ConfRoute *route,
               const ConfWorkspace *workspace)
{
  const char *id = request->path + strlen (route->prefix);

  if (!*id && request->op == REQUEST_STATE)
    answer (in, request->id,
            &(Answer) { .status = HTTP_OK,
                        .body = ANSWER_WAITING,
                        .number = waiting_of (in->waiting, route->name) });
  else if (!is_job_id (id))
    refuse (in, request->id, HTTP_BAD_REQUEST, "not a job's id");
  else if (!time_budget_allows_write (patience_of (request)))
    turn_away (in, request->id, 0, "too little time is left");
  else if (request->op == REQUEST_SUBMIT)
    submit (in, request, id, route, workspace);
  else
    ask_job (in, request, id);
}

/* Takes REQUEST.  CONF_AGE is how old the knowledge of the configuration is
   at most: a token that was withdrawn since must not be let in, nor may a
   route be denied that was added. */
void
intake_on_request (Intake *in, const Request *request, ClockMs conf_age)
{
  const ConfRoute *route;
  const ConfWorkspace *workspace = NULL;

  in->conf_age = conf_age;
  if (!in->conf || conf_age > in->most_conf_age)
    {
      effects_log (in->fx,
                   "event=request_refused path=%s status=%d"
                   " conf_age_ms=%" CLOCK_MS_FORMAT,
                   request->path, HTTP_UNAVAILABLE, conf_age);
      turn_away (in, request->id,
                 time_budget_retry_after (patience_of (request), FALSE),
                 "configuration not confirmed");
      return;
    }
  route = conf_find_route (in->conf, request->host, request->path);
  if (!route)
    {
      refuse (in, request->id, HTTP_NOT_FOUND, "no such queue");
      return;
    }
  if (request->token)
    workspace = conf_find_token (in->conf, request->token);
  if (!route->open && !workspace)
    {
      refuse (in, request->id, HTTP_UNAUTHORIZED, "unknown token");
      return;
    }
  route_request (in, request, route, workspace);
}

static Pending *
find_pending (Intake *in, gint64 call_id)
{
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    if (p->call_id == call_id)
      return p;
  return NULL;
}

/* Forgets REQUEST, whose caller has hung up.  A write under way may still
   be executed; the job is then accepted all the same. */
void
intake_on_gone (Intake *in, gint64 request)
{
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    if (p->request == request)
      {
        pending_free (in, p);
        return;
      }
}

static void
put_record (Intake *in, const char *key, GBytes *value, gint64 revision)
{
  KvItem *item = kv_item_new (key, value, revision);

  feed_apply (in->feed, item, in->fx);
  kv_item_free (item);
}

static void
on_written (Intake *in, Pending *p, gint64 revision)
{
  char *key = book_job_key (p->id);

  in->counters[INTAKE_ACCEPTED]++;
  log_outcome (in, p, "job_accepted", HTTP_OK);
  put_record (in, key, p->record, revision);
  g_free (key);
  finish (in, p, HTTP_OK);
}

static void
take_items (Intake *in, const KvReply *reply)
{
  guint i;

  for (i = 0; reply->items && i < reply->items->len; i++)
    {
      const KvItem *item = g_ptr_array_index (reply->items, i);

      if (item->value && item->revision > 0)
        feed_apply (in->feed, item, in->fx);
    }
}

static void
on_cancelled (Intake *in, Pending *p, gint64 revision)
{
  char *key = book_cancel_key (p->id);
  GBytes *value = g_bytes_new_static ("1", 1);

  in->counters[INTAKE_CANCELLED]++;
  log_outcome (in, p, "cancel_accepted", HTTP_OK);
  put_record (in, key, value, revision);
  g_bytes_unref (value);
  g_free (key);
  finish (in, p, HTTP_OK);
}

static void
on_read (Intake *in, Pending *p, const KvReply *reply)
{
  const BookEntry *entry;

  take_items (in, reply);
  entry = book_find (in->book, p->id);
  if (entry && entry->job)
    with_job (in, p, entry);
  else
    finish (in, p, HTTP_GONE);
}

static void
on_conflict (Intake *in, Pending *p, const KvReply *reply)
{
  const BookEntry *entry;

  take_items (in, reply);
  if (p->stage == STAGE_WRITE)
    {
      log_outcome (in, p, p->unsure ? "job_accepted" : "job_known", HTTP_OK);
      in->counters[p->unsure ? INTAKE_ACCEPTED : INTAKE_REPEATED]++;
      finish (in, p, HTTP_OK);
      return;
    }
  entry = book_find (in->book, p->id);
  finish (in, p, entry && entry->cancelled ? HTTP_OK : HTTP_GONE);
}

/* Ends P without having reached the store.  What was sent may still be
   executed, so that only an attempt that surely was not may be called
   refused. */
static void
give_up (Intake *in, Pending *p)
{
  if (p->unsure)
    {
      in->counters[INTAKE_UNSURE]++;
      log_outcome (in, p, "request_refused", HTTP_GATEWAY_TIMEOUT);
      refuse (in, p->request, HTTP_GATEWAY_TIMEOUT, "the store did not answer");
    }
  else
    {
      log_outcome (in, p, "request_refused", HTTP_UNAVAILABLE);
      turn_away (in, p->request, time_budget_retry_after (p->patience, TRUE),
                 "the store is not reached");
    }
  pending_free (in, p);
}

/* Answers P, a question about a job that is known, from what was last heard
   of it.  Returns FALSE if it isn't one. */
static gboolean
answer_known (Intake *in, Pending *p)
{
  const BookEntry *entry = book_find (in->book, p->id);

  if (p->stage != STAGE_READ || p->op != REQUEST_STATE || !entry || !entry->job)
    return FALSE;
  with_job (in, p, entry);
  return TRUE;
}

/* Tells whether P, whose call has failed with STATUS, is rather tried at
   another host: the store has done nothing for this one since. */
static gboolean
is_better_elsewhere (const Intake *in, const Pending *p, KvStatus status)
{
  ClockMs span = time_budget_outage_wait (p->patience, status == KV_REFUSED);

  return in->reach->last_success < p->sent && in->now - p->came >= span;
}

static void
on_failure (Intake *in, Pending *p, KvStatus status)
{
  if (answer_known (in, p))
    return;
  if (status == KV_LOST && p->stage != STAGE_READ)
    p->unsure = TRUE;
  if (in->now + RETRY_MS >= p->deadline || is_better_elsewhere (in, p, status))
    give_up (in, p);
  else
    p->retry = in->now + RETRY_MS;
}

static void
on_success (Intake *in, Pending *p, const KvReply *reply)
{
  if (p->stage == STAGE_WRITE)
    on_written (in, p, reply->revision);
  else if (p->stage == STAGE_READ && !kv_reply_is_list (reply))
    on_failure (in, p, KV_LOST);
  else if (p->stage == STAGE_READ)
    on_read (in, p, reply);
  else
    on_cancelled (in, p, reply->revision);
}

/* Takes REPLY if it answers a call of IN's; returns whether it did. */
gboolean
intake_on_kv_reply (Intake *in, const KvReply *reply)
{
  Pending *p = find_pending (in, reply->id);

  if (!p)
    return FALSE;
  p->call_id = 0;
  switch (reply->status)
    {
    case KV_OK:
      on_success (in, p, reply);
      break;
    case KV_CONFLICT:
      on_conflict (in, p, reply);
      break;
    case KV_MISSING:
      finish (in, p, HTTP_GONE);
      break;
    default:
      on_failure (in, p, reply->status);
    }
  return TRUE;
}

/* Repeats the calls whose time has come. */
void
intake_tick (Intake *in)
{
  Pending *p, *next;

  APR_RING_FOREACH_SAFE (p, next, &in->pending, Pending, link)
    {
      if (p->retry > in->now)
        continue;
      if (in->now >= p->deadline)
        give_up (in, p);
      else
        make_call (in, p);
    }
}

/* Returns when intake_tick has something to do. */
ClockMs
intake_next_deadline (const Intake *in)
{
  ClockMs next = CLOCK_NEVER;
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    next = MIN (next, p->retry);
  return next;
}

/* Returns the number of requests that wait for the store. */
guint
intake_n_pending (const Intake *in)
{
  return in->n_pending;
}

/* Appends IN's counters to TEXT, a line each. */
void
intake_describe (const Intake *in, GString *text)
{
#define INTAKE_NAME(kind, name) [kind] = name,
  static const char *const names[] = { INTAKE_COUNTERS (INTAKE_NAME) };
  guint i;

  for (i = 0; i < N_INTAKE_COUNTERS; i++)
    g_string_append_printf (text,
                            "wagtailpass_intake_%s_total %" G_GINT64_FORMAT
                            "\n",
                            names[i], in->counters[i]);
}
