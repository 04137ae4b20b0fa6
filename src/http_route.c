#include "http_state.h"

#include <string.h>

enum
{
  MAX_HEADER = 1024
};

static const char bearer[] = "Bearer ";
static const char text_type[] = "text/plain; version=0.0.4";
static const char body_type[] = "application/octet-stream";

/* The body of POST /v1/jobs. */
#define HTTP_JOB_FIELDS(INT, STR, BYTES, LIST)                                 \
  STR (key, 0, CALLER_MAX_NAME)                                                \
  STR (work_kind, 0, CALLER_MAX_NAME)                                          \
  STR (work_class, 0, 16)                                                      \
  INT (parts, 1, 128)                                                          \
  INT (accelerators, 0, 64)                                                    \
  INT (cores, 0, 4096)                                                         \
  INT (memory_mb, 0, 100000000)                                                \
  INT (run_ms, 0, 86400000LL * 60)                                             \
  INT (checkpointable, 0, 1)                                                   \
  INT (repeatable, 0, 1)
REC_DECLARE (HttpJob, http_job, HTTP_JOB_FIELDS)
REC_DEFINE (HttpJob, http_job, HTTP_JOB_FIELDS)

/* Returns the value of header NAME, empty without one.  Refuses CALL and
   returns NULL when it is longer than MOST or no UTF-8. */
static const char *
header (HttpCall *call, const char *name, gsize most)
{
  const char *value =
      util_str (MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                             name));
  char reason[MAX_HEADER];

  if (strlen (value) <= most && g_utf8_validate (value, -1, NULL))
    return value;
  g_snprintf (reason, sizeof reason,
              "header %s is longer than %" G_GSIZE_FORMAT " bytes or not UTF-8",
              name, most);
  if (!call->answer)
    http_refuse (call, STATUS_BAD_REQUEST, reason);
  return NULL;
}

/* Sets *NUMBER to the value of header NAME, and leaves it without one.
   Refuses CALL and returns FALSE if that is no number from 0 to MOST. */
static gboolean
header_number (HttpCall *call, const char *name, gint64 most, gint64 *number)
{
  const char *value = header (call, name, MAX_HEADER);
  char reason[MAX_HEADER];
  guint64 n;

  if (!value)
    return FALSE;
  if (!*value)
    return TRUE;
  if (g_ascii_string_to_unsigned (value, 10, 0, (guint64)most, &n, NULL))
    {
      *number = (gint64)n;
      return TRUE;
    }
  g_snprintf (reason, sizeof reason,
              "header %s is not a number from 0 to %" G_GINT64_FORMAT, name,
              most);
  http_refuse (call, STATUS_BAD_REQUEST, reason);
  return FALSE;
}

/* Who asks: the headers that all calls of callers have in common. */
typedef struct Identity
{
  const char *token;
  const char *workspace;
  const char *caller;
} Identity;

static gboolean
read_identity (HttpCall *call, Identity *who)
{
  const char *auth = header (call, MHD_HTTP_HEADER_AUTHORIZATION,
                             CALLER_MAX_TOKEN + strlen (bearer));

  who->workspace = header (call, "X-Workspace", CALLER_MAX_NAME);
  who->caller = header (call, "X-Caller", CALLER_MAX_NAME);
  if (!auth || !who->workspace || !who->caller)
    return FALSE;
  who->token = "";
  if (g_ascii_strncasecmp (auth, bearer, strlen (bearer)) == 0)
    who->token = auth + strlen (bearer);
  return TRUE;
}

static GBytes *
take_body (HttpCall *call)
{
  GBytes *bytes;

  if (!call->body)
    return NULL;
  bytes = g_bytes_new (call->body->data, call->body->len);
  return bytes;
}

static int
read_class (HttpCall *call, const char *name)
{
  int work_class = *name ? class_from_name (name) : CLASS_NORMAL;

  if (work_class < 0)
    http_refuse (call, STATUS_BAD_REQUEST,
                 "the class is not one of interactive, normal, batch");
  return work_class;
}

static void
handle_request (HttpCall *call)
{
  CallerRequest q = { 0 };
  const char *class_header = header (call, "X-Class", MAX_HEADER);
  Identity who;
  int work_class;

  q.work_kind = header (call, "X-Kind", CALLER_MAX_NAME);
  q.key = header (call, "Idempotency-Key", CALLER_MAX_NAME);
  if (!read_identity (call, &who) || !class_header || !q.work_kind || !q.key)
    return;
  work_class = read_class (call, class_header);
  q.repeatable = !*q.key;
  if (work_class < 0 ||
      !header_number (call, "X-Deadline-Ms", CONFIG_DAY_MS, &q.deadline_ms) ||
      !header_number (call, "X-Repeatable", 1, &q.repeatable))
    return;
  q.token = who.token;
  q.workspace = who.workspace;
  q.caller = who.caller;
  q.work_class = work_class;
  q.body = take_body (call);
  q.conn = http_wait_for_reply (call);
  io_post (call->listener->http->io, EV_REQUEST, &q);
  if (q.body)
    g_bytes_unref (q.body);
}

static void
post_ask (HttpCall *call, EventKind kind)
{
  Identity who;

  if (!read_identity (call, &who))
    return;
  io_post (call->listener->http->io, kind,
           &(CallerAsk) { .conn = http_wait_for_reply (call),
                          .token = who.token,
                          .workspace = who.workspace,
                          .id = call->id });
}

static void
handle_request_ask (HttpCall *call)
{
  post_ask (call, EV_REQUEST_ASK);
}

static void
handle_request_cancel (HttpCall *call)
{
  post_ask (call, EV_REQUEST_CANCEL);
}

static void
handle_job_ask (HttpCall *call)
{
  post_ask (call, EV_JOB_ASK);
}

static void
handle_job_cancel (HttpCall *call)
{
  post_ask (call, EV_JOB_CANCEL);
}

static HttpJob *
read_job (HttpCall *call)
{
  HttpJob *job = rec_new (http_job_desc ());
  const char *text = call->body ? (const char *)call->body->data : "";
  Findings findings;
  char *reason;

  findings_init (&findings);
  job->parts = 1;
  job->repeatable = 1;
  if (rec_from_json (http_job_desc (), job, text,
                     call->body ? call->body->len : 0, REC_MISSING_KEEP, "job",
                     &findings))
    {
      findings_clear (&findings);
      return job;
    }
  reason = g_strchomp (findings_text (&findings));
  http_refuse (call, STATUS_BAD_REQUEST, reason);
  g_free (reason);
  findings_clear (&findings);
  rec_free (http_job_desc (), job);
  return NULL;
}

static void
post_job (HttpCall *call, const HttpJob *job, const Identity *who)
{
  int work_class = read_class (call, job->work_class);

  if (work_class < 0)
    return;
  io_post (call->listener->http->io, EV_JOB,
           &(CallerJob) { .conn = http_wait_for_reply (call),
                          .token = who->token,
                          .workspace = who->workspace,
                          .caller = who->caller,
                          .key = job->key,
                          .work_kind = job->work_kind,
                          .work_class = work_class,
                          .parts = job->parts,
                          .accelerators = job->accelerators,
                          .cores = job->cores,
                          .memory_mb = job->memory_mb,
                          .run_ms = job->run_ms,
                          .checkpointable = job->checkpointable,
                          .repeatable = job->repeatable });
}

static void
handle_job (HttpCall *call)
{
  const char *key = header (call, "Idempotency-Key", CALLER_MAX_NAME);
  Identity who;
  HttpJob *job;

  if (!key || !read_identity (call, &who))
    return;
  job = read_job (call);
  if (!job)
    return;
  if (!*job->key)
    rec_set_str (&job->key, key);
  post_job (call, job, &who);
  rec_free (http_job_desc (), job);
}

static void
handle_health (HttpCall *call)
{
  gboolean draining = io_draining (call->listener->http->io);

  http_set_answer (call, draining ? STATUS_UNAVAILABLE : STATUS_OK, text_type,
                   http_response_from_text (g_strdup (draining ? "draining\n"
                                                               : "ready\n")));
}

static void
handle_metrics (HttpCall *call)
{
  http_set_answer (
      call, STATUS_OK, text_type,
      http_response_from_text (io_metrics (call->listener->http->io)));
}

static const char *
query (HttpCall *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

static ClockMs
query_time (HttpCall *call, const char *name)
{
  return g_ascii_strtoll (util_str (query (call, name)), NULL, 10);
}

static void
handle_timeline (HttpCall *call)
{
  const TimelineFilter filter = { .request = query (call, "request"),
                                  .job = query (call, "job"),
                                  .workspace = query (call, "workspace"),
                                  .upstream = query (call, "upstream"),
                                  .host = query (call, "host"),
                                  .since = query_time (call, "since"),
                                  .until = query_time (call, "until") };
  const Timeline *t = io_timeline (call->listener->http->io);

  http_set_answer (call, STATUS_OK, "application/x-ndjson",
                   http_response_from_text (timeline_to_json (t, &filter)));
}

static void
post_question (HttpCall *call, const char *what)
{
  const char *arg = call->id ? call->id : util_str (query (call, "arg"));
  GBytes *body;

  if (strlen (arg) > CALLER_MAX_ID || !g_utf8_validate (arg, -1, NULL))
    {
      http_refuse (call, STATUS_BAD_REQUEST,
                   "the argument is too long or not UTF-8");
      return;
    }
  body = take_body (call);
  io_post (call->listener->http->io, EV_OPERATOR,
           &(CallerOperator) { .conn = http_wait_for_reply (call),
                               .what = what,
                               .arg = arg,
                               .body = body });
  if (body)
    g_bytes_unref (body);
}

/* GET /v1/WHAT and GET /v1/WHAT/ARG are the question WHAT; the core says
   when there is no such question. */
static void
handle_question (HttpCall *call)
{
  char **part = g_strsplit (call->id, "/", 2);
  char *what = g_strndup (util_str (part[0]), CALLER_MAX_NAME);

  g_free (call->id);
  call->id = part[0] && part[1] ? g_strdup (part[1]) : NULL;
  post_question (call, what);
  g_free (what);
  g_strfreev (part);
}

static void
handle_table_edit (HttpCall *call)
{
  post_question (call, "table_edit");
}

static const HttpRoute routes[] = {
  { "POST", "/v1/requests", FALSE, handle_request, body_type },
  { "GET", "/v1/requests/", FALSE, handle_request_ask, body_type },
  { "DELETE", "/v1/requests/", FALSE, handle_request_cancel, http_json_type },
  { "POST", "/v1/jobs", FALSE, handle_job, http_json_type },
  { "GET", "/v1/jobs/", FALSE, handle_job_ask, http_json_type },
  { "DELETE", "/v1/jobs/", FALSE, handle_job_cancel, http_json_type },
  { "GET", "/healthz", FALSE, handle_health, text_type },
  { "GET", "/healthz", TRUE, handle_health, text_type },
  { "GET", "/metrics", TRUE, handle_metrics, text_type },
  { "GET", "/timeline", TRUE, handle_timeline, text_type },
  { "POST", "/v1/table", TRUE, handle_table_edit, http_json_type },
  { "GET", "/v1/", TRUE, handle_question, http_json_type },
};

static gboolean
path_matches (const HttpRoute *r, const char *path)
{
  gsize n = strlen (r->path);

  if (r->path[n - 1] != '/')
    return strcmp (path, r->path) == 0;
  return strncmp (path, r->path, n) == 0 && path[n];
}

/* Sets CALL's route and, from PATH, its id; refuses CALL if nothing is served
   there or not by METHOD. */
void
http_find_route (HttpCall *call, const char *method, const char *path)
{
  gboolean known = FALSE;
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const HttpRoute *r = &routes[i];

      if (r->operators != call->listener->operators || !path_matches (r, path))
        continue;
      known = TRUE;
      if (strcmp (method, r->method) != 0)
        continue;
      call->route = r;
      if (g_str_has_suffix (r->path, "/"))
        call->id = g_strdup (path + strlen (r->path));
      break;
    }
  if (!known)
    http_refuse (call, STATUS_NOT_FOUND, "no such path");
  else if (!call->route)
    http_refuse (call, STATUS_NOT_ALLOWED,
                 "the path does not take this method");
  else if (call->id && (strlen (call->id) > CALLER_MAX_ID ||
                        !g_utf8_validate (call->id, -1, NULL)))
    http_refuse (call, STATUS_BAD_REQUEST, "the id is too long or not UTF-8");
}
