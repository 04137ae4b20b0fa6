#include "codec.h"
#include "kv_client.h"
#include "node.h"
#include "run_client.h"

#include <string.h>

/* Feeds a node with whatever the store, the workers and callers may say.  Each
   line of the input is one answer or one request: a letter that says how it
   came, and its body.  The node must take it or say what is wrong with it. */

/* The fuzzing library's name for its entry point. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const guint8 *data, size_t n);

enum
{
  MOST_LINES = 120,
  STEP_MS = 40,
  START_MS = 1000
};

static const gint64 start_wall = 1700000000000;

/* What is left of the input. */
typedef struct Input
{
  const char *at;
  const char *end;
} Input;

typedef struct Line
{
  char kind;
  const char *body;
  gsize n;
} Line;

static gboolean
take_line (Input *in, Line *line)
{
  const char *end;

  if (in->at >= in->end)
    return FALSE;
  end = memchr (in->at, '\n', (gsize)(in->end - in->at));
  if (!end)
    end = in->end;
  line->kind = ' ';
  if (end > in->at)
    line->kind = *in->at;
  line->body = MIN (in->at + 1, end);
  line->n = (gsize)(end - line->body);
  in->at = end + 1;
  return TRUE;
}

static FetchReply
fetched_of (const Line *line)
{
  static const struct
  {
    char kind;
    FetchOutcome outcome;
    int status;
  } kinds[] = { { 'm', FETCH_ANSWERED, 404 }, { 'c', FETCH_ANSWERED, 412 },
                { 'g', FETCH_ANSWERED, 410 }, { 'f', FETCH_ANSWERED, 409 },
                { 'o', FETCH_ANSWERED, 421 }, { 'b', FETCH_ANSWERED, 503 },
                { 'l', FETCH_LOST, 0 },       { 'u', FETCH_UNSENT, 0 } };
  FetchReply fetched = { .outcome = FETCH_ANSWERED,
                         .status = 200,
                         .body = line->body,
                         .n = line->n };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (kinds[i].kind == line->kind)
      {
        fetched.outcome = kinds[i].outcome;
        fetched.status = kinds[i].status;
      }
  return fetched;
}

static void
answer_kv (Node *node, const KvCall *call, const Line *line, ClockMs now)
{
  FetchReply fetched = fetched_of (line);
  KvReply reply = { .id = call->id, .call_started_at = now };

  kv_client_decode (&fetched, &reply);
  reply.id = call->id;
  reply.call_started_at = now;
  node_on_kv_reply (node, &reply);
  kv_reply_clear (&reply);
}

static void
answer_run (Node *node, const RunCall *call, const Line *line)
{
  FetchReply fetched = fetched_of (line);
  RunReply reply;

  run_reply_init (&reply);
  run_client_decode (&fetched, call->op, &reply);
  reply.id = call->id;
  node_on_run_reply (node, &reply);
  run_reply_clear (&reply);
}

/* Hands LINE in as a caller's request. */
static void
request (Node *node, const Line *line, gint64 id)
{
  static const RequestOp ops[] = { ['R'] = REQUEST_SUBMIT,
                                   ['S'] = REQUEST_STATE,
                                   ['X'] = REQUEST_CANCEL };
  Request r = { .id = id,
                .op = ops[(int)line->kind],
                .host = "h.example",
                .path = "/q1/00000000000000a1",
                .token = "key",
                .caller_timeout = 3000 };

  if (r.op == REQUEST_SUBMIT)
    r.body = g_bytes_new (line->body, line->n);
  node_on_request (node, &r);
  if (r.body)
    g_bytes_unref (r.body);
}

/* Answers every call that NODE has made with the next line.  Returns FALSE at
   the input's end. */
static gboolean
answer_calls (Node *node, Input *in, ClockMs now)
{
  Effect *e;
  Line line;
  gboolean more = TRUE;

  while (more && (e = node_pop_effect (node)))
    {
      if (e->kind == EFFECT_KV && (more = take_line (in, &line)))
        answer_kv (node, e->kv, &line, now);
      else if (e->kind == EFFECT_RUN && (more = take_line (in, &line)))
        answer_run (node, e->run, &line);
      effect_free (e);
    }
  return more;
}

static gboolean
take_request (Node *node, Input *in, gint64 id)
{
  Input ahead = *in;
  Line line;

  if (!take_line (&ahead, &line) || !strchr ("RSX", line.kind))
    return FALSE;
  *in = ahead;
  request (node, &line, id);
  return TRUE;
}

static void
ignore_warning (const char *domain,
                GLogLevelFlags level,
                const char *text,
                gpointer owner)
{
  (void)domain;
  (void)level;
  (void)text;
  (void)owner;
}

/* Plays the input DATA of N bytes on a new node.  Returns 0, as the fuzzing
   library asks. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput (const guint8 *data, size_t n)
{
  NodeSettings settings = { .holder_name = "h1",
                            .seed = 1,
                            .max_conf_age = 3700 };
  Input in = { (const char *)data, (const char *)data + n };
  ClockMs now = START_MS;
  Node *node;
  Effect *e;
  int i;

  g_log_set_default_handler (ignore_warning, NULL);
  node = node_new (&settings, &platform_codec, now, start_wall + now);
  for (i = 0; i < MOST_LINES; i++)
    {
      node_set_time (node, now, start_wall + now);
      while (take_request (node, &in, i + 1))
        i++;
      node_tick (node);
      if (!answer_calls (node, &in, now))
        break;
      now += STEP_MS;
    }
  while ((e = node_pop_effect (node)))
    effect_free (e);
  node_free (node);
  return 0;
}
