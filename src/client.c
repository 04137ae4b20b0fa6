#include "client.h"

#include "curl_loop.h"

#include <string.h>

enum
{
  MAX_IDLE_HANDLES = 256,
  MAX_IDLE_CONNECTIONS = 1024,
  STORE_CONNECTIONS = 16,
  WORKER_CONNECTIONS = 4,
  CONNECT_MS = 1000,
  EXPIRE_MS = 50,        /* how exact the deadlines of waiting calls are */
  WATCH_GRACE_MS = 2000, /* a watch's answer may take as long beyond it */
  KEEP_IDLE_S = 5,
  KEEP_INTERVAL_S = 2,
  HTTP_OK = 200,
  HTTP_ACCEPTED = 202,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_MANY = 429,
  HTTP_UNAVAILABLE = 503
};

static const int user_timeout_ms = 10000;

typedef struct Call Call;

/* Where calls go to: the store, a worker or an upstream.  CAP bounds the
   calls under way, and so the connections. */
typedef struct Target
{
  char *base; /* "http://ADDRESS:PORT" */
  guint cap;
  guint open;
  GQueue waiting; /* of Call */
} Target;

/* How the calls of one kind of effect are made, and how their results are
   reported. */
typedef struct CallKind
{
  const char *method;
  gboolean fresh; /* on a new connection, ahead of those that wait */
  void (*prepare) (Call *call);
  void (*finish) (Call *call);
} CallKind;

struct Call
{
  APR_RING_ENTRY (Call) link;
  Client *client;
  Target *target;
  const CallKind *kind;
  Event *effect;
  ClockMs deadline;
  char *url;
  GBytes *body;
  CURL *easy;
  CurlTransfer transfer;
  struct curl_slist *headers;
  GByteArray *answer;
  guint sendings; /* how often sending began */
  gboolean whole; /* an answer came, and all of it */
  gboolean sized; /* the answer says where it ends */
  gboolean leaving;
  gboolean not_run;
  gboolean cut; /* the answer exceeds max_answer_bytes */
  int status;
};

APR_RING_HEAD (CallRing, Call);

struct Client
{
  Io *io;
  CurlLoop curl;
  struct CallRing calls;
  GHashTable *upstreams; /* name to Target */
  GHashTable *workers;   /* name to Target */
  Target *store;
  GPtrArray *idle; /* of CURL */
  guint n_waiting;
  ClockMs expire_at; /* when calls that wait are looked at next */
};

static const CallKind call_kinds[N_EVENT_KINDS];

static Target *
target_new (const char *address, gint64 port, guint cap)
{
  Target *t = g_new0 (Target, 1);
  gboolean v6 = strchr (address, ':') != NULL;

  t->base = g_strdup_printf ("http://%s%s%s:%" G_GINT64_FORMAT, v6 ? "[" : "",
                             address, v6 ? "]" : "", port);
  t->cap = cap;
  g_queue_init (&t->waiting);
  return t;
}

static void
target_free (gpointer p)
{
  Target *t = p;

  g_queue_clear (&t->waiting);
  g_free (t->base);
  g_free (t);
}

static void
add_targets (Client *c)
{
  const Settings *s = io_settings (c->io);
  const Config *cfg = (const Config *)s;
  guint i;

  c->store = target_new (s->store_address, s->store_port, STORE_CONNECTIONS);
  for (i = 0; i < cfg->upstreams.n; i++)
    {
      const ConfigUpstream *u = config_upstream (cfg, i);

      g_hash_table_insert (c->upstreams, g_strdup (u->name),
                           target_new (u->address, u->port,
                                       (guint)u->connections));
    }
  for (i = 0; i < cfg->workers.n; i++)
    {
      const ConfigWorker *w = config_worker (cfg, i);

      g_hash_table_insert (c->workers, g_strdup (w->name),
                           target_new (w->address, w->port,
                                       WORKER_CONNECTIONS));
    }
}

static void
call_free (Call *call)
{
  if (call->easy && call->client->idle->len < MAX_IDLE_HANDLES)
    g_ptr_array_add (call->client->idle, call->easy);
  else if (call->easy)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  if (call->answer)
    g_byte_array_unref (call->answer);
  if (call->body)
    g_bytes_unref (call->body);
  event_free (call->effect);
  g_free (call->url);
  g_free (call);
}

static size_t
on_answer (char *data, size_t size, size_t n, void *owner)
{
  Call *call = owner;
  gsize most = (gsize)io_settings (call->client->io)->max_answer_bytes;

  if (call->answer->len + size * n > most)
    {
      call->cut = TRUE;
      return 0;
    }
  g_byte_array_append (call->answer, (const guint8 *)data, (guint)(size * n));
  return size * n;
}

static gboolean
header_is (const char *line, gsize n, const char *header)
{
  gsize length = strlen (header);

  return n >= length && g_ascii_strncasecmp (line, header, length) == 0;
}

static size_t
on_header (char *line, size_t size, size_t n, void *owner)
{
  Call *call = owner;

  n *= size;
  if (header_is (line, n, "X-Leaving: 1"))
    call->leaving = TRUE;
  else if (header_is (line, n, "X-Not-Run: 1"))
    call->not_run = TRUE;
  else if (header_is (line, n, "Content-Length:") ||
           header_is (line, n, "Transfer-Encoding: chunked"))
    call->sized = TRUE;
  return n;
}

static void
add_header (Call *call, const char *name, const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);

  call->headers = curl_slist_append (call->headers, line);
  g_free (line);
}

static void
set_body (Call *call)
{
  gsize n = 0;
  gconstpointer data = call->body ? g_bytes_get_data (call->body, &n) : NULL;

  curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, data ? data : "");
  add_header (call, "Expect", "");
}

static void
set_options (Call *call, ClockMs left)
{
  CURL *easy = call->easy;

  curl_loop_prepare (easy,
                     &(CurlLoopCall) { .url = call->url,
                                       .on_body = on_answer,
                                       .on_header = on_header,
                                       .owner = call,
                                       .sendings = &call->sendings,
                                       .user_timeout_ms = &user_timeout_ms,
                                       .timeout = left,
                                       .connect_timeout = CONNECT_MS });
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, (long)KEEP_IDLE_S);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, (long)KEEP_INTERVAL_S);
  if (call->kind->fresh)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  if (strcmp (call->kind->method, "POST") == 0)
    set_body (call);
  else if (strcmp (call->kind->method, "GET") != 0)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->kind->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
begin (Call *call, ClockMs left)
{
  call->target->open++;
  io_count (call->client->io, SHELL_CALLS_OPEN, 1);
  call->easy = curl_loop_take_handle (call->client->idle);
  call->answer = g_byte_array_new ();
  set_options (call, left);
  curl_loop_add (&call->client->curl, &call->transfer, call->easy, left);
}

/* Tells the core how CALL ended and forgets it. */
static void
finish (Call *call)
{
  Client *c = call->client;

  if (call->sendings == 0)
    io_count (c->io, SHELL_CALLS_UNSENT, 1);
  else if (!call->whole)
    io_count (c->io, SHELL_CALLS_LOST, 1);
  if (call->kind->finish)
    call->kind->finish (call);
  APR_RING_REMOVE (call, link);
  call_free (call);
}

/* Begins calls to T as far as its connections go.  Calls on a fresh
   connection may use the last one, so that an upstream whose connections
   all hang can still be asked. */
static void
begin_waiting (Client *c, Target *t)
{
  Call *call;

  while ((call = g_queue_peek_head (&t->waiting)))
    {
      ClockMs left = call->deadline - io_now (c->io);
      guint cap = call->kind->fresh || t->cap == 1 ? t->cap : t->cap - 1;

      if (left > 0 && t->open >= cap)
        return;
      g_queue_pop_head (&t->waiting);
      c->n_waiting--;
      io_count (c->io, SHELL_CALLS_WAITING, -1);
      if (left > 0)
        begin (call, left);
      else
        finish (call);
    }
}

static Target *
find_target (Client *c, const Event *effect)
{
  const WorkerCall *worker = effect->body;
  const UpstreamSend *send = effect->body;
  const UpstreamAsk *ask = effect->body;
  const UpstreamProbe *probe = effect->body;

  switch ((int)effect->kind)
    {
    case FX_STORE_CALL:
      return c->store;
    case FX_WORKER_CALL:
      return g_hash_table_lookup (c->workers, worker->worker);
    case FX_UPSTREAM_SEND:
      return g_hash_table_lookup (c->upstreams, send->upstream);
    case FX_UPSTREAM_PROBE:
      return g_hash_table_lookup (c->upstreams, probe->upstream);
    default:
      return g_hash_table_lookup (c->upstreams, ask->upstream);
    }
}

/* Makes the call that EFFECT asks for; its end is posted to the core as
   the event that answers it. */
void
client_call (Client *c, const Event *effect)
{
  Call *call = g_new0 (Call, 1);

  call->client = c;
  call->kind = &call_kinds[effect->kind];
  call->effect =
      event_new (effect->kind, effect->at, effect->peer, effect->body);
  call->target = find_target (c, effect);
  APR_RING_INSERT_TAIL (&c->calls, call, Call, link);
  io_count (c->io, SHELL_CALLS, 1);
  if (!call->target)
    {
      finish (call);
      return;
    }
  call->kind->prepare (call);
  if (call->kind->fresh)
    g_queue_push_head (&call->target->waiting, call);
  else
    g_queue_push_tail (&call->target->waiting, call);
  c->n_waiting++;
  io_count (c->io, SHELL_CALLS_WAITING, 1);
  begin_waiting (c, call->target);
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
  add_header (call, "Content-Type", "application/json");
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
  add_header (call, "Content-Type", "application/octet-stream");
  add_header (call, "X-Attempt", attempt);
  add_header (call, "X-Workspace", s->workspace);
  add_header (call, "X-Caller", s->caller);
  add_header (call, "X-Kind", s->work_kind);
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

static void end_transfer (Call *call);

/* Gives up the connection of a request that is settled. */
static void
drop_send (Client *c, const UpstreamAsk *a)
{
  Call *call = find_send (c, a);

  if (!call)
    return;
  end_transfer (call);
  APR_RING_REMOVE (call, link);
  call_free (call);
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

static const CallKind call_kinds[N_EVENT_KINDS] = {
  [FX_STORE_CALL] = { "POST", FALSE, prepare_store, finish_store },
  [FX_WORKER_CALL] = { "POST", FALSE, prepare_worker, finish_worker },
  [FX_UPSTREAM_SEND] = { "POST", FALSE, prepare_send, finish_send },
  [FX_UPSTREAM_ASK] = { "GET", TRUE, prepare_ask, finish_ask },
  [FX_UPSTREAM_CANCEL] = { "DELETE", FALSE, prepare_ask, NULL },
  [FX_UPSTREAM_PROBE] = { "GET", TRUE, prepare_probe, finish_probe },
};

/* An answer that neither names its length nor is chunked ends where the
   connection does, which a fault looks like, too. */
static gboolean
is_whole (const Call *call, CURLcode code, long status)
{
  gboolean empty = status == 204 || status == 304;

  return code == CURLE_OK && !call->cut && (call->sized || empty);
}

/* Takes CALL's transfer away from curl. */
static void
end_transfer (Call *call)
{
  curl_loop_remove (&call->client->curl, &call->transfer);
  call->target->open--;
  io_count (call->client->io, SHELL_CALLS_OPEN, -1);
}

/* Counts what CALL cost beside the callers' own work: heads and bodies of
   calls to the store and the workers. */
static void
count_control (Call *call)
{
  curl_off_t sent = 0;
  curl_off_t received = 0;
  long request_head = 0;
  long answer_head = 0;

  if (call->effect->kind != FX_STORE_CALL &&
      call->effect->kind != FX_WORKER_CALL)
    return;
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request_head);
  curl_easy_getinfo (call->easy, CURLINFO_HEADER_SIZE, &answer_head);
  curl_easy_getinfo (call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  curl_easy_getinfo (call->easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  io_count (call->client->io, SHELL_CONTROL_BYTES_OUT, request_head + sent);
  io_count (call->client->io, SHELL_CONTROL_BYTES_IN, answer_head + received);
}

static void
on_transfer_end (void *owner, CURL *easy, CURLcode code)
{
  Client *c = owner;
  Target *target;
  Call *call;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&call);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  call->whole = is_whole (call, code, status);
  call->status = status >= 100 && status <= 599 ? (int)status : 0;
  target = call->target;
  count_control (call);
  end_transfer (call);
  finish (call);
  begin_waiting (c, target);
}

static void
on_transfer_overdue (void *owner, CURL *easy)
{
  Client *c = owner;

  io_count (c->io, SHELL_CALLS_OVERDUE, 1);
  on_transfer_end (c, easy, CURLE_OPERATION_TIMEDOUT);
}

static const CurlLoopOps transfer_ops = { .ended = on_transfer_end,
                                          .overdue = on_transfer_overdue };

/* Returns a client of the store, workers and upstreams in IO's settings. */
Client *
client_new (Io *io)
{
  Client *c = g_new0 (Client, 1);

  c->io = io;
  curl_loop_init (&c->curl, io_loop (io), MAX_IDLE_CONNECTIONS);
  APR_RING_INIT (&c->calls, Call, link);
  c->upstreams =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  c->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  c->idle = g_ptr_array_new_with_free_func ((GDestroyNotify)curl_easy_cleanup);
  add_targets (c);
  return c;
}

/* Drops all calls and releases C. */
void
client_free (Client *c)
{
  Call *call;
  Call *next;

  if (!c)
    return;
  APR_RING_FOREACH_SAFE (call, next, &c->calls, Call, link)
    {
      if (call->easy)
        end_transfer (call);
      APR_RING_REMOVE (call, link);
      call_free (call);
    }
  g_ptr_array_unref (c->idle);
  curl_loop_clear (&c->curl);
  g_hash_table_unref (c->upstreams);
  g_hash_table_unref (c->workers);
  target_free (c->store);
  g_free (c);
}

static void
expire_waiting (Client *c, Target *t)
{
  ClockMs now = io_now (c->io);
  GList *l = t->waiting.head;

  while (l)
    {
      Call *call = l->data;
      GList *next = l->next;

      if (call->deadline <= now)
        {
          g_queue_delete_link (&t->waiting, l);
          c->n_waiting--;
          io_count (c->io, SHELL_CALLS_WAITING, -1);
          finish (call);
        }
      l = next;
    }
}

static void
expire_all (Client *c, GHashTable *targets)
{
  GHashTableIter i;
  gpointer target;

  g_hash_table_iter_init (&i, targets);
  while (g_hash_table_iter_next (&i, NULL, &target))
    expire_waiting (c, target);
}

/* Ends the calls whose time was over before they found a connection. */
static void
run_expiry (Client *c)
{
  if (c->n_waiting == 0 || io_now (c->io) < c->expire_at)
    return;
  c->expire_at = io_now (c->io) + EXPIRE_MS;
  expire_waiting (c, c->store);
  expire_all (c, c->workers);
  expire_all (c, c->upstreams);
}

/* Runs what curl's timer asks for and tells the core which calls ended. */
void
client_run (Client *c)
{
  curl_loop_run (&c->curl, &transfer_ops, c);
  run_expiry (c);
}

/* Returns when client_run wants to be called without an event. */
ClockMs
client_next_deadline (const Client *c)
{
  ClockMs next = curl_loop_next_deadline (&c->curl);

  /* The loop's clock has another zero than the core's. */
  if (next != CLOCK_NEVER)
    next += io_now (c->io) - loop_now (io_loop (c->io));
  return c->n_waiting ? MIN (next, c->expire_at) : next;
}
