#include "replay.h"

#include <json-c/json.h>
#include <string.h>

/* How a node was started: the line that a trace begins with. */
#define REPLAY_START_FIELDS(INT, STR, BYTES, LIST)                             \
  INT (start, 1, 1)                                                            \
  INT (seed, 0, G_MAXUINT32)                                                   \
  INT (at, 0, G_MAXINT64)                                                      \
  LIST (config, 1, 1, config)
REC_DECLARE (ReplayStart, replay_start, REPLAY_START_FIELDS)
REC_DEFINE (ReplayStart, replay_start, REPLAY_START_FIELDS)

static const char start_prefix[] = "{\"start\":";

struct Replay
{
  GHashTable *nodes; /* name to Core */
  GString *outcomes;
  guint64 digest;
  guint events;
};

/* Returns a replay without nodes. */
Replay *
replay_new (void)
{
  Replay *r = g_new0 (Replay, 1);

  r->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)core_free);
  r->outcomes = g_string_new ("");
  return r;
}

/* Releases R and its nodes. */
void
replay_free (Replay *r)
{
  g_hash_table_unref (r->nodes);
  g_string_free (r->outcomes, TRUE);
  g_free (r);
}

/* Returns the line that starts a node of CFG, SEED and NOW as core_new
   does; the caller frees it. */
char *
replay_start_line (const Config *cfg, guint32 seed, ClockMs now)
{
  ReplayStart start = { .start = 1,
                        .seed = seed,
                        .at = now,
                        .config = { .n = 1, .items = (void *)cfg } };

  return rec_to_json (replay_start_desc (), &start);
}

static void
add_reply (Replay *r, const char *node, const CallerReply *reply)
{
  g_string_append_printf (r->outcomes,
                          "%s reply %" G_GINT64_FORMAT " %s %" G_GINT64_FORMAT,
                          node, reply->conn,
                          outcome_name ((Outcome)reply->outcome),
                          reply->status);
  if (*reply->reason)
    g_string_append_printf (r->outcomes, ": %s", reply->reason);
  g_string_append_c (r->outcomes, '\n');
}

static void
add_note (Replay *r, const char *node, const CoreNote *note)
{
  const char *subjects[] = { note->request,  note->job,    note->workspace,
                             note->upstream, note->worker, note->detail };
  gsize i;

  g_string_append_printf (r->outcomes, "%s %s", node,
                          note_name ((NoteKind)note->kind));
  for (i = 0; i < G_N_ELEMENTS (subjects); i++)
    if (*subjects[i])
      g_string_append_printf (r->outcomes, " %s", subjects[i]);
  g_string_append_c (r->outcomes, '\n');
}

static void
drain (Replay *r, const char *node, Core *c)
{
  Event *e;

  while ((e = core_next_effect (c)))
    {
      r->digest = event_digest (e, r->digest);
      if (e->kind == FX_REPLY)
        add_reply (r, node, e->body);
      else if (e->kind == FX_NOTE)
        add_note (r, node, e->body);
      event_free (e);
    }
}

static gboolean
start_node (Replay *r, const char *line, const char *place, Findings *findings)
{
  ReplayStart *start = rec_new (replay_start_desc ());
  gboolean ok = rec_from_json (replay_start_desc (), start, line, strlen (line),
                               REC_MISSING_REFUSE, place, findings);

  if (ok)
    {
      const Config *cfg = start->config.items;
      Core *c = core_new (cfg, (guint32)start->seed, start->at);

      g_hash_table_replace (r->nodes, g_strdup (cfg->host), c);
      drain (r, cfg->host, c);
    }
  rec_free (replay_start_desc (), start);
  return ok;
}

static gboolean
feed_node (Replay *r, const char *line, const char *place, Findings *findings)
{
  char *node = NULL;
  Event *e = event_from_json (line, place, &node, findings);
  Core *c = e ? g_hash_table_lookup (r->nodes, node) : NULL;

  if (e && !c)
    findings_add (findings, place, "node \"%s\" has not been started", node);
  if (c)
    {
      r->events++;
      core_feed (c, e);
      drain (r, node, c);
    }
  event_free (e);
  g_free (node);
  return c != NULL;
}

/* Carries out one LINE of a trace.  Returns FALSE and adds findings at
   PLACE when it can't be read; the replay is then as before. */
gboolean
replay_line (Replay *r, const char *line, const char *place, Findings *findings)
{
  if (g_str_has_prefix (line, start_prefix))
    return start_node (r, line, place, findings);
  return feed_node (r, line, place, findings);
}

/* Carries out every line of TEXT, a trace called NAME; empty lines and
   those that start with "#" are passed over.  Returns FALSE and adds a
   finding for each line that can't be read. */
gboolean
replay_text (Replay *r, const char *text, const char *name, Findings *findings)
{
  char **lines = g_strsplit (text, "\n", -1);
  gboolean ok = TRUE;
  guint i;

  for (i = 0; lines[i]; i++)
    {
      char *place;

      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      place = g_strdup_printf ("%s:%u", name, i + 1);
      ok &= replay_line (r, lines[i], place, findings);
      g_free (place);
    }
  g_strfreev (lines);
  return ok;
}

/* Returns what the nodes have told so far: a line for every reply and every
   note, in order. */
const char *
replay_outcomes (const Replay *r)
{
  return r->outcomes->str;
}

/* Returns a digest of all effects so far. */
guint64
replay_digest (const Replay *r)
{
  return r->digest;
}

/* Returns the number of events fed so far. */
guint
replay_events (const Replay *r)
{
  return r->events;
}
