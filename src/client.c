#include "client_state.h"

#include <string.h>

enum
{
  MAX_IDLE_HANDLES = 256,
  MAX_IDLE_CONNECTIONS = 1024,
  STORE_CONNECTIONS = 16,
  WORKER_CONNECTIONS = 4,
  CONNECT_MS = 1000,
  EXPIRE_MS = 50, /* how exact the deadlines of waiting calls are */
  KEEP_IDLE_S = 5,
  KEEP_INTERVAL_S = 2
};

static const int user_timeout_ms = 10000;

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

/* Frees CALL, whose transfer has ended. */
void
client_call_free (Call *call)
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
set_body (Call *call)
{
  gsize n = 0;
  gconstpointer data = call->body ? g_bytes_get_data (call->body, &n) : NULL;

  curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, data ? data : "");
  client_add_header (call, "Expect", "");
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
  client_call_free (call);
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
  call->kind = &client_kinds[effect->kind];
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

/* An answer that neither names its length nor is chunked ends where the
   connection does, which a fault looks like, too. */
static gboolean
is_whole (const Call *call, CURLcode code, long status)
{
  gboolean empty = status == 204 || status == 304;

  return code == CURLE_OK && !call->cut && (call->sized || empty);
}

/* Takes CALL's transfer away from curl. */
void
client_end_transfer (Call *call)
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
  client_end_transfer (call);
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
        client_end_transfer (call);
      APR_RING_REMOVE (call, link);
      client_call_free (call);
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
