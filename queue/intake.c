#include "intake_state.h"

#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 600,
  DEFAULT_CALLER_TIMEOUT_MS = 3000
};

static const gint64 milli_per_unit = 1000;

/* Returns a new intake.  It stores jobs under JOB_CACHE's keys and passes the
   items that it reads or writes to FEED, which updates JOB_CACHE.  WAITING
   holds the numbers of waiting jobs, STORE_HEALTH when the store last answered
   this host. Requests are refused with 503 while the configuration may be older
   than MAX_CONF_AGE milliseconds. */
Intake *
intake_new (Effects *fx,
            JobCache *job_cache,
            Feed *feed,
            const Waiting *waiting,
            const StoreHealth *store_health,
            IntakeDecodeJob decode_job,
            ClockMs max_conf_age)
{
  Intake *in = g_new0 (Intake, 1);

  in->fx = fx;
  in->job_cache = job_cache;
  in->feed = feed;
  in->waiting = waiting;
  in->store_health = store_health;
  in->decode_job = decode_job;
  in->max_conf_age = max_conf_age;
  caller_timeouts_init (&in->timeouts);
  APR_RING_INIT (&in->pending, Pending, link);
  return in;
}

/* Frees P, which has been answered. */
void
intake_pending_free (Intake *in, Pending *p)
{
  APR_RING_REMOVE (p, link);
  in->n_pending--;
  g_free (p->job_id);
  g_free (p->workspace);
  if (p->record)
    g_bytes_unref (p->record);
  g_free (p);
}

/* Frees IN; pending requests are not answered. */
void
intake_free (Intake *in)
{
  Pending *p, *next;

  APR_RING_FOREACH_SAFE (p, next, &in->pending, Pending, link)
    intake_pending_free (in, p);
  conf_unref (in->conf);
  caller_timeouts_clear (&in->timeouts);
  g_free (in);
}

/* Sets the current time in milliseconds: NOW on the host's monotonic clock,
   WALL in Unix time. */
void
intake_set_time (Intake *in, ClockMs now, ClockMs wall)
{
  in->now = now;
  in->wall = wall;
}

/* Makes CONF the active configuration; takes its own reference. */
void
intake_on_conf (Intake *in, Conf *conf)
{
  conf_unref (in->conf);
  in->conf = conf_ref (conf);
}

/* Has IN refuse jobs that can't be in time while SET has all of DOMAINS, a
   NULL-terminated array or NULL.  All outlive IN. */
void
intake_set_evacuations (Intake *in,
                        const EvacuationSet *set,
                        const char *const *domains,
                        GRand *rng)
{
  in->evacuations = set;
  in->domains = domains;
  in->rng = rng;
}

/* Sets whether the job cache has the current state of every job.  While it
   does, questions about jobs are answered without a read from the store. */
void
intake_set_job_cache_complete (Intake *in, gboolean job_cache_complete)
{
  in->job_cache_complete = job_cache_complete;
}

static KvCall *
write_call (const Pending *p)
{
  KvCall *call = kv_call_new (KV_TXN, NULL);
  char *key = job_cache_spec_key (p->job_id);

  kv_call_add_precondition (call, key, 0);
  kv_call_add_write (call, key, p->record, 0);
  g_free (key);
  return call;
}

static KvCall *
read_call (const Pending *p)
{
  char *prefix = job_cache_key_prefix (p->job_id);
  KvCall *call = kv_call_new (KV_RANGE, prefix);

  g_free (prefix);
  return call;
}

static KvCall *
cancel_call (const Intake *in, const Pending *p)
{
  const JobEntry *entry = job_cache_find (in->job_cache, p->job_id);
  KvCall *call = kv_call_new (KV_TXN, NULL);
  char *job_key = job_cache_spec_key (p->job_id);
  char *cancel_key = job_cache_cancel_key (p->job_id);
  GBytes *value = g_bytes_new_static ("1", 1);

  kv_call_add_precondition (call, job_key, entry ? entry->job_revision : 0);
  kv_call_add_precondition (call, cancel_key, 0);
  kv_call_add_write (call, cancel_key, value, 0);
  g_bytes_unref (value);
  g_free (job_key);
  g_free (cancel_key);
  return call;
}

/* Sends the store call of P's stage. */
void
intake_start_call (Intake *in, Pending *p)
{
  KvCall *call = p->stage == STAGE_WRITE  ? write_call (p)
                 : p->stage == STAGE_READ ? read_call (p)
                                          : cancel_call (in, p);
  ClockMs left = p->answer_deadline - in->now;

  call->id = effects_next_id (in->fx);
  call->timeout =
      CLAMP (left, 1, effects_store_timeout (in->fx, CALL_TIMEOUT_MS));
  call->fixed_timeout = TRUE;
  p->call_id = call->id;
  p->call_started_at = in->now;
  p->next_attempt_at = CLOCK_NEVER;
  p->attempts++;
  effects_kv (in->fx, call);
}

static void
enter_stage (Intake *in, Pending *p, Stage stage)
{
  p->stage = stage;
  p->attempts = 0;
  intake_start_call (in, p);
}

static ClockMs
caller_timeout_of (const Request *request)
{
  return request->caller_timeout > 0 ? request->caller_timeout
                                     : DEFAULT_CALLER_TIMEOUT_MS;
}

static Pending *
pending_new (Intake *in, const Request *request, const char *id)
{
  Pending *p = g_new0 (Pending, 1);

  p->request_id = request->id;
  p->op = request->op;
  p->conf_age = in->conf_age;
  p->job_id = g_strdup (id);
  p->received_at = in->now;
  p->answer_deadline = in->now + time_budget_processing (in->budget.remaining);
  p->budget = in->budget;
  APR_RING_INSERT_TAIL (&in->pending, p, Pending, link);
  in->n_pending++;
  return p;
}

static void
set_accepted_fields (const Intake *in,
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
  job->attempts = route->max_attempts;
  job->stretch_milli = (gint64)(route->stretch * (double)milli_per_unit);
  job->target_ms = route->target_latency;
}

/* Returns the job that REQUEST submits, or NULL, after a log line, if it can't
   be read.  The caller frees it. */
static SpecJob *
read_submitted (Intake *in,
                const Request *request,
                const char *id,
                const ConfRoute *route,
                const ConfWorkspace *workspace)
{
  SpecJob *job = rec_new (spec_job_desc ());
  Findings findings;
  gboolean valid = FALSE;

  findings_init (&findings);
  if (request->body && in->decode_job (request->body, job, &findings))
    {
      set_accepted_fields (in, job, id, route, workspace);
      spec_job_check (job, &findings);
      valid = findings_count (&findings) == 0;
    }
  if (!valid)
    {
      char *text = findings_line (&findings);

      effects_log (in->fx, "event=job_invalid job=%s reason=\"%s\"", id, text);
      g_free (text);
      rec_free (spec_job_desc (), job);
    }
  findings_clear (&findings);
  return valid ? job : NULL;
}

/* Returns for how many milliseconds more all domains are expected to be
   evacuated if that is too long for JOB to be in time, else 0. */
static ClockMs
evacuated_for_too_long (const Intake *in, const SpecJob *job)
{
  ClockMs left =
      evacuation_expected_left (in->evacuations, in->domains, in->now);
  ClockMs due_in =
      job->run_count > 0 ? MAX (job->first_run_ms - in->wall, 0) : 0;

  return due_in + spec_job_objective (job) < left ? left : 0;
}

static void
submit (Intake *in,
        const Request *request,
        const char *id,
        const ConfRoute *route,
        const ConfWorkspace *workspace)
{
  const JobEntry *known = job_cache_find (in->job_cache, id);
  SpecJob *job;
  Pending *p;

  if (known && known->job)
    {
      in->counters[INTAKE_REPEATED]++;
      intake_answer (in, request->id, &(Answer) { .status = HTTP_OK });
      return;
    }
  job = read_submitted (in, request, id, route, workspace);
  if (!job)
    {
      intake_refuse (in, request->id, HTTP_BAD_REQUEST,
                     "the job cannot be read");
      return;
    }
  p = pending_new (in, request, id);
  p->workspace = g_strdup (workspace ? workspace->name : "");
  p->evacuated_for = evacuated_for_too_long (in, job);
  if (!p->evacuated_for)
    p->record = rec_pack (spec_job_desc (), job);
  rec_free (spec_job_desc (), job);
  /* A job that an earlier try has stored must not be refused. */
  enter_stage (in, p, p->evacuated_for ? STAGE_READ : STAGE_WRITE);
}

/* Answers P, or goes on with its cancellation, now that its job, ENTRY, is
   known. */
void
intake_continue (Intake *in, Pending *p, const JobEntry *entry)
{
  JobState state = job_cache_state (entry);

  if (p->op == REQUEST_STATE)
    {
      intake_answer_state (in, p->request_id, entry);
      intake_pending_free (in, p);
    }
  else if (entry->cancelled)
    intake_finish (in, p, HTTP_OK);
  else if (spec_state_is_final (state))
    intake_finish (in, p, HTTP_GONE);
  else
    enter_stage (in, p, STAGE_CANCEL);
}

/* Tells whether ENTRY needs no read from the store: the job cache is complete,
   or the job's state can no longer change. */
static gboolean
is_current (const Intake *in, const JobEntry *entry)
{
  return in->job_cache_complete || entry->cancelled ||
         spec_state_is_final (job_cache_state (entry));
}

static void
look_up_job (Intake *in, const Request *request, const char *id)
{
  const JobEntry *entry = job_cache_find (in->job_cache, id);
  Pending *p = pending_new (in, request, id);

  if (entry && entry->job && is_current (in, entry))
    intake_continue (in, p, entry);
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
    intake_answer (in, request->id,
                   &(Answer) { .status = HTTP_OK,
                               .body = ANSWER_WAITING,
                               .number =
                                   waiting_count (in->waiting, route->name) });
  else if (!is_job_id (id))
    intake_refuse (in, request->id, HTTP_BAD_REQUEST, "not a job's id");
  else if (!time_budget_allows_write (in->budget.remaining))
    intake_refuse_temporarily (in, request->id, 0, "too little time is left");
  else if (request->op == REQUEST_SUBMIT)
    submit (in, request, id, route, workspace);
  else
    look_up_job (in, request, id);
}

static TimeBudget
budget_of (Intake *in, const Request *request)
{
  ClockMs remaining = caller_timeout_of (request);

  return (TimeBudget) {
    .remaining = remaining,
    .total = caller_timeouts_record (&in->timeouts, request->host,
                                     request->path, remaining, in->now)
  };
}

/* Handles a caller's REQUEST.  CONF_AGE is an upper bound on the age of the
   configuration in milliseconds.  An old one is not used, since it could admit
   a revoked token or deny a route that has been added. */
void
intake_on_request (Intake *in, const Request *request, ClockMs conf_age)
{
  const ConfRoute *route;
  const ConfWorkspace *workspace = NULL;

  in->conf_age = conf_age;
  in->budget = budget_of (in, request);
  if (!in->conf || conf_age > in->max_conf_age)
    {
      effects_log (in->fx,
                   "event=request_refused path=%s status=%d"
                   " conf_age_ms=%" CLOCK_MS_FORMAT,
                   request->path, HTTP_UNAVAILABLE, conf_age);
      intake_refuse_temporarily (in, request->id,
                                 time_budget_retry_after (&in->budget, FALSE),
                                 "configuration not confirmed");
      return;
    }
  route = conf_find_route (in->conf, request->host, request->path);
  if (!route)
    {
      intake_refuse (in, request->id, HTTP_NOT_FOUND, "no such queue");
      return;
    }
  if (request->token)
    workspace = conf_find_workspace_by_token (in->conf, request->token);
  if (!route->allows_anonymous && !workspace)
    {
      intake_refuse (in, request->id, HTTP_UNAUTHORIZED, "unknown token");
      return;
    }
  route_request (in, request, route, workspace);
}

/* Drops REQUEST, whose caller has disconnected.  A write in flight may still
   be executed; the job is then accepted nevertheless. */
void
intake_on_disconnect (Intake *in, gint64 request)
{
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    if (p->request_id == request)
      {
        intake_pending_free (in, p);
        return;
      }
}

/* Returns when intake_tick is due, or CLOCK_NEVER. */
ClockMs
intake_next_deadline (const Intake *in)
{
  ClockMs next = CLOCK_NEVER;
  Pending *p;

  APR_RING_FOREACH (p, &in->pending, Pending, link)
    next = MIN (next, p->next_attempt_at);
  return next;
}

/* Returns the number of requests that wait for the store. */
guint
intake_n_pending (const Intake *in)
{
  return in->n_pending;
}

/* Appends IN's counters to TEXT in the Prometheus text format. */
void
intake_append_metrics (const Intake *in, GString *text)
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
