#include "client_state.h"

#include <string.h>

/* How the calls of each kind of effect are made, and how their results are
   reported to the core. */

enum
{
  WATCH_GRACE_MS = 2000, /* a watch's answer may take as long beyond it */
  HTTP_OK = 200,
  HTTP_ACCEPTED = 202,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_MANY = 429,
  HTTP_UNAVAILABLE = 503
};

/* Has CALL sent with the header NAME. */
void
client_add_header (Call *call, const char *name, const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);

  call->headers = curl_slist_append (call->headers, line);
  g_free (line);
}

static void
set_deadline (Call *call, gint64 timeout_ms)
{
  const Settings *s = io_settings (call->client->io);

  if (timeout_ms == 0)
    timeout_ms = s->request_deadline_ms;
  call->deadline = io_now (call->client->io) + timeout_ms;
}

static void
set_json_body (Call *call, const RecDesc *d)
{
  char *text = rec_to_short_json (d, call->effect->body);

  call->body = g_bytes_new_take (text, strlen (text));
  call->url = g_strconcat (call->target->base, "/v1/call", NULL);
  client_add_header (call, "Content-Type", "application/json");
}

/* Reads the answer as a record of kind D; returns NULL if it is none. */
static void *
read_json_answer (Call *call, const RecDesc *d)
{
  void *rec = rec_new (d);
  Findings findings;
  gboolean ok;

  findings_init (&findings);
  ok =
      rec_from_json (d, rec, (const char *)call->answer->data,
                     call->answer->len, REC_MISSING_REFUSE, d->name, &findings);
  if (!ok)
    log_event (io_log (call->client->io), LOG_WARNING,
               io_now (call->client->io), "bad_answer", "url", call->url, "why",
               findings_at (&findings, 0)->text, NULL);
  findings_clear (&findings);
  if (ok)
    return rec;
  rec_free (d, rec);
  return NULL;
}

static void
prepare_store (Call *call)
{
  const StoreCall *s = call->effect->body;
  ClockMs grace = s->op == STORE_WATCH ? WATCH_GRACE_MS : 0;

  set_json_body (call, store_call_desc ());
  set_deadline (call, s->timeout_ms + grace);
}

static void
finish_store (Call *call)
{
  const StoreCall *s = call->effect->body;
  StoreReply failure = { .call = s->call, .op = s->op };
  StoreReply *reply = NULL;

  failure.status = call->sendings ? STORE_LOST : STORE_UNSENT;
  if (call->whole &&
      (call->status == HTTP_TOO_MANY || call->status == HTTP_UNAVAILABLE))
    failure.status = STORE_REFUSED;
  else if (call->whole && call->status == HTTP_OK)
    reply = read_json_answer (call, store_reply_desc ());
  if (reply && (reply->call != s->call || reply->op != s->op))
    {
      rec_free (store_reply_desc (), reply);
      reply = NULL;
    }
  io_post (call->client->io, EV_STORE_REPLY, reply ? reply : &failure);
  rec_free (store_reply_desc (), reply);
}

static void
prepare_worker (Call *call)
{
  const WorkerCall *w = call->effect->body;

  set_json_body (call, worker_call_desc ());
  set_deadline (call, w->timeout_ms);
}

static void
finish_worker (Call *call)
{
  const WorkerCall *w = call->effect->body;
  WorkerReply failure = { .call = w->call, .worker = w->worker, .op = w->op };
  WorkerReply *reply = NULL;

  failure.status = call->sendings ? WORKER_LOST : WORKER_UNSENT;
  if (call->whole && call->status == HTTP_OK)
    reply = read_json_answer (call, worker_reply_desc ());
  if (reply &&
      (reply->call != w->call || strcmp (reply->worker, w->worker) != 0))
    {
      rec_free (worker_reply_desc (), reply);
      reply = NULL;
    }
  io_post (call->client->io, EV_WORKER_REPLY, reply ? reply : &failure);
  rec_free (worker_reply_desc (), reply);
}

static char *
request_url (Call *call, const char *request)
{
  char *id = g_uri_escape_string (request, NULL, FALSE);
  char *url = g_strconcat (call->target->base, "/requests/", id, NULL);

  g_free (id);
  return url;
}

static void
prepare_send (Call *call)
{
  const UpstreamSend *s = call->effect->body;
  char attempt[24];

  g_snprintf (attempt, sizeof attempt, "%" G_GINT64_FORMAT, s->attempt);
  call->url = request_url (call, s->request);
  call->body = s->body ? g_bytes_ref (s->body) : NULL;
  client_add_header (call, "Content-Type", "application/octet-stream");
  client_add_header (call, "X-Attempt", attempt);
  client_add_header (call, "X-Workspace", s->workspace);
  client_add_header (call, "X-Caller", s->caller);
  client_add_header (call, "X-Kind", s->work_kind);
  set_deadline (call, s->timeout_ms);
}

static GBytes *
take_answer (Call *call)
{
  GBytes *bytes;

  if (!call->whole || call->answer->len == 0)
    return NULL;
  bytes = g_byte_array_free_to_bytes (call->answer);
  call->answer = NULL;
  return bytes;
}

static void
post_upstream_reply (Call *call, UpstreamReply *reply)
{
  reply->status = call->whole ? call->status : 0;
  reply->leaving = call->leaving;
  reply->body = take_answer (call);
  io_post (call->client->io, EV_UPSTREAM_REPLY, reply);
  if (reply->body)
    g_bytes_unref (reply->body);
}

static gboolean
is_success (int status)
{
  return status / 100 == 2;
}

static void
finish_send (Call *call)
{
  const UpstreamSend *s = call->effect->body;
  UpstreamReply reply = { .upstream = s->upstream,
                          .request = s->request,
                          .attempt = s->attempt };

  if (call->sendings == 0)
    reply.result = UPSTREAM_UNSENT;
  else if (!call->whole)
    reply.result = UPSTREAM_LOST;
  else if (is_success (call->status))
    reply.result = UPSTREAM_ANSWERED;
  else if (call->status == HTTP_UNAVAILABLE && call->not_run)
    reply.result = UPSTREAM_BUSY;
  else
    reply.result = UPSTREAM_FAILED;
  post_upstream_reply (call, &reply);
}

static void
prepare_ask (Call *call)
{
  const UpstreamAsk *a = call->effect->body;

  call->url = request_url (call, a->request);
  set_deadline (call, a->timeout_ms);
}

static Call *
find_send (Client *c, const UpstreamAsk *a)
{
  Call *call;

  APR_RING_FOREACH (call, &c->calls, Call, link)
    {
      const UpstreamSend *s = call->effect->body;

      if (call->effect->kind == FX_UPSTREAM_SEND && call->easy &&
          s->attempt == a->attempt && strcmp (s->request, a->request) == 0 &&
          strcmp (s->upstream, a->upstream) == 0)
        return call;
    }
  return NULL;
}

/* Gives up the connection of a request that is settled. */
static void
drop_send (Client *c, const UpstreamAsk *a)
{
  Call *call = find_send (c, a);

  if (!call)
    return;
  client_end_transfer (call);
  APR_RING_REMOVE (call, link);
  client_call_free (call);
}

/* Closes the connection of the attempt that EFFECT, an FX_UPSTREAM_DROP,
   names; nothing is posted of it any more. */
void
client_drop (Client *c, const Event *effect)
{
  drop_send (c, effect->body);
}

static void
finish_ask (Call *call)
{
  const UpstreamAsk *a = call->effect->body;
  UpstreamReply reply = { .upstream = a->upstream,
                          .request = a->request,
                          .attempt = a->attempt,
                          .asked = 1 };

  if (!call->whole || call->status == HTTP_UNAVAILABLE)
    reply.result = UPSTREAM_LOST;
  else if (call->status == HTTP_OK)
    reply.result = UPSTREAM_ANSWERED;
  else if (call->status == HTTP_ACCEPTED)
    reply.result = UPSTREAM_RUNNING;
  else if (call->status == HTTP_NOT_FOUND)
    reply.result = UPSTREAM_NEVER_SEEN;
  else
    reply.result = UPSTREAM_FAILED;
  if (reply.result == UPSTREAM_ANSWERED || reply.result == UPSTREAM_FAILED)
    drop_send (call->client, a);
  post_upstream_reply (call, &reply);
}

static void
prepare_probe (Call *call)
{
  const UpstreamProbe *p = call->effect->body;

  call->url = g_strconcat (call->target->base, "/health", NULL);
  set_deadline (call, p->timeout_ms);
}

static void
finish_probe (Call *call)
{
  const UpstreamProbe *p = call->effect->body;

  io_post (call->client->io, EV_UPSTREAM_PROBED,
           &(UpstreamProbed) { .upstream = p->upstream,
                               .healthy =
                                   call->whole && call->status == HTTP_OK,
                               .leaving = call->leaving });
}

/* By the kind of the effect that asks for the call. */
const CallKind client_kinds[N_EVENT_KINDS] = {
  [FX_STORE_CALL] = { "POST", FALSE, prepare_store, finish_store },
  [FX_WORKER_CALL] = { "POST", FALSE, prepare_worker, finish_worker },
  [FX_UPSTREAM_SEND] = { "POST", FALSE, prepare_send, finish_send },
  [FX_UPSTREAM_ASK] = { "GET", TRUE, prepare_ask, finish_ask },
  [FX_UPSTREAM_CANCEL] = { "DELETE", FALSE, prepare_ask, NULL },
  [FX_UPSTREAM_PROBE] = { "GET", TRUE, prepare_probe, finish_probe },
};
