#include "codec.h"
#include "kv_client.h"
#include "node.h"
#include "run_client.h"

#include <string.h>

/* libFuzzer target: runs one node against arbitrary replies of the store and
   the workers and arbitrary requests of callers.  The node must handle
   each message or report what is wrong with it, without a sanitizer error or a
   timeout.

   Each line of the input is one message: a letter and the body.  Where the
   node expects a reply, the letter selects the HTTP outcome, see
   fetch_reply_from_line.  Where a request may arrive, R submits a job, S
   queries a job's state and X cancels a job; another letter starts no
   request. */

/* The entry point's name is given by libFuzzer. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const guint8 *data, size_t n);

enum
{
  MAX_STEPS = 120, /* ticks and requests of one input, counted together */
  TICK_INTERVAL_MS = 40,
  START_CLOCK_MS = 1000 /* the node's clock at its creation */
};

/* Unix time at which the node's clock would read 0. */
static const gint64 wall_clock_offset_ms = 1700000000000;

/* The part of the input that has not been read yet. */
typedef struct Input
{
  const char *next;
  const char *end;
} Input;

typedef struct InputLine
{
  char letter;
  const char *body;
  gsize body_size;
} InputLine;

/* Reads the next line of IN into LINE, which points into the input; an empty
   line has the letter ' '.  Returns FALSE at the end of the input. */
static gboolean
next_line (Input *in, InputLine *line)
{
  const char *end;

  if (in->next >= in->end)
    return FALSE;
  end = memchr (in->next, '\n', (gsize)(in->end - in->next));
  if (!end)
    end = in->end;
  line->letter = ' ';
  if (end > in->next)
    line->letter = *in->next;
  line->body = MIN (in->next + 1, end);
  line->body_size = (gsize)(end - line->body);
  in->next = end + 1;
  return TRUE;
}

/* Returns the HTTP reply that LINE stands for: status 200 unless its letter is
   in the table. */
static FetchReply
fetch_reply_from_line (const InputLine *line)
{
  static const struct
  {
    char letter;
    FetchOutcome outcome;
    int status;
  } outcomes[] = { { 'm', FETCH_ANSWERED, 404 }, { 'c', FETCH_ANSWERED, 412 },
                   { 'g', FETCH_ANSWERED, 410 }, { 'f', FETCH_ANSWERED, 409 },
                   { 'o', FETCH_ANSWERED, 421 }, { 'b', FETCH_ANSWERED, 503 },
                   { 'l', FETCH_LOST, 0 },       { 'u', FETCH_UNSENT, 0 } };
  FetchReply fetched = { .outcome = FETCH_ANSWERED,
                         .status = 200,
                         .body = line->body,
                         .n = line->body_size };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (outcomes[i].letter == line->letter)
      {
        fetched.outcome = outcomes[i].outcome;
        fetched.status = outcomes[i].status;
      }
  return fetched;
}

/* Passes LINE to NODE as the store's reply to CALL. */
static void
reply_to_kv_call (Node *node,
                  const KvCall *call,
                  const InputLine *line,
                  ClockMs now)
{
  FetchReply fetched = fetch_reply_from_line (line);
  KvReply reply = { .id = call->id, .call_started_at = now };

  kv_client_decode (&fetched, &reply);
  reply.id = call->id;
  reply.call_started_at = now;
  node_on_kv_reply (node, &reply);
  kv_reply_clear (&reply);
}

/* Passes LINE to NODE as the worker's reply to CALL. */
static void
reply_to_run_call (Node *node, const RunCall *call, const InputLine *line)
{
  FetchReply fetched = fetch_reply_from_line (line);
  RunReply reply;

  run_reply_init (&reply);
  run_client_decode (&fetched, call->op, &reply);
  reply.id = call->id;
  node_on_run_reply (node, &reply);
  run_reply_clear (&reply);
}

/* Passes LINE, which send_next_request has checked, to NODE as a caller's
   request. */
static void
send_request (Node *node, const InputLine *line, gint64 id)
{
  static const RequestOp ops[] = { ['R'] = REQUEST_SUBMIT,
                                   ['S'] = REQUEST_STATE,
                                   ['X'] = REQUEST_CANCEL };
  Request r = { .id = id,
                .op = ops[(int)line->letter],
                .host = "h.example",
                .path = "/q1/00000000000000a1",
                .token = "key",
                .caller_timeout = 3000 };

  if (r.op == REQUEST_SUBMIT)
    r.body = g_bytes_new (line->body, line->body_size);
  node_on_request (node, &r);
  if (r.body)
    g_bytes_unref (r.body);
}

/* Returns the next effect of NODE, the calls that can wait last, or NULL. */
static Effect *
pop_effect (Node *node)
{
  Effect *e = node_pop_effect (node);

  return e ? e : node_pop_later_call (node);
}

/* Replies to each pending call of NODE with the next line of IN; other effects
   are discarded.  Returns FALSE if the input ended before a call had its
   reply. */
static gboolean
reply_to_calls (Node *node, Input *in, ClockMs now)
{
  Effect *e;
  InputLine line;
  gboolean more = TRUE;

  while (more && (e = pop_effect (node)))
    {
      if (e->kind == EFFECT_KV && (more = next_line (in, &line)))
        reply_to_kv_call (node, e->kv, &line, now);
      else if (e->kind == EFFECT_RUN && (more = next_line (in, &line)))
        reply_to_run_call (node, e->run, &line);
      effect_free (e);
    }
  return more;
}

/* Sends the next line of IN as request ID if its letter is R, S or X; a NUL
   counts as R, since strchr finds the string's end.  Returns FALSE, with the
   line unread, for another letter or at the end of the input. */
static gboolean
send_next_request (Node *node, Input *in, gint64 id)
{
  Input ahead = *in;
  InputLine line;

  if (!next_line (&ahead, &line) || !strchr ("RSX", line.letter))
    return FALSE;
  *in = ahead;
  send_request (node, &line, id);
  return TRUE;
}

/* GLib log handler that drops all messages: invalid replies cause many
   warnings. */
static void
discard_log (const char *domain,
             GLogLevelFlags level,
             const char *text,
             gpointer owner)
{
  (void)domain;
  (void)level;
  (void)text;
  (void)owner;
}

/* Runs a new node on the N bytes of input at DATA.  Returns 0, as libFuzzer
   requires. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput (const guint8 *data, size_t n)
{
  NodeSettings settings = { .holder_name = "h1",
                            .seed = 1,
                            .max_conf_age = 3700 };
  Input in = { (const char *)data, (const char *)data + n };
  ClockMs now = START_CLOCK_MS;
  Node *node;
  Effect *e;
  int i;

  g_log_set_default_handler (discard_log, NULL);
  node = node_new (&settings, &platform_codec, now, wall_clock_offset_ms + now);
  for (i = 0; i < MAX_STEPS; i++)
    {
      node_set_time (node, now, wall_clock_offset_ms + now);
      while (send_next_request (node, &in, i + 1))
        i++;
      node_tick (node);
      node_plan (node);
      if (!reply_to_calls (node, &in, now))
        break;
      now += TICK_INTERVAL_MS;
    }
  while ((e = pop_effect (node)))
    effect_free (e);
  node_free (node);
  return 0;
}
