#include "event.h"

#include <json-c/json.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define EVENT_NAME(kind, name, record, handler) [kind] = name,
#define EFFECT_NAME(kind, name, record)         [kind] = name,
#define EVENT_DESC(kind, name, record, handler) [kind] = record##_desc,
#define EFFECT_DESC(kind, name, record)         [kind] = record##_desc,
#define NOTE_NAME(kind, name)                   name,

REC_DEFINE (CoreNote, core_note, CORE_NOTE_FIELDS)

static const char *const names[] = { EVENTS (EVENT_NAME)
                                         EFFECTS (EFFECT_NAME) };
static const RecDescFunc descs[] = { EVENTS (EVENT_DESC)
                                         EFFECTS (EFFECT_DESC) };
static const char *const note_names[] = { NOTES (NOTE_NAME) };

/* The line of a recorded trace: who, when, what, and the record. */
static const char *const line_format =
    "{\"node\":%s,\"at\":%" CLOCK_MS_FORMAT
    ",\"kind\":\"%s\",\"peer\":%s,\"body\":%s}";

/* Returns the name of KIND, as traces and frames carry it. */
const char *
event_name (EventKind kind)
{
  return kind < N_EVENT_KINDS && names[kind] ? names[kind] : "none";
}

/* Returns the kind called NAME, -1 for none. */
int
event_from_name (const char *name)
{
  int i;

  for (i = 0; i < N_EVENT_KINDS; i++)
    if (names[i] && strcmp (names[i], name) == 0)
      return i;
  return -1;
}

/* Returns the description of KIND's record. */
const RecDesc *
event_desc (EventKind kind)
{
  return descs[kind]();
}

/* Tells whether KIND travels between hosts: an event that a peer emits. */
gboolean
event_is_message (EventKind kind)
{
#define EVENT_IS_MESSAGE(kind, name, record, handler) [kind] = #kind[0] == 'M',
  static const gboolean is_message[] = { EVENTS (EVENT_IS_MESSAGE) };

  return kind < N_EVENTS && is_message[kind];
}

/* Returns the name of a time line entry's kind. */
const char *
note_name (NoteKind kind)
{
  return kind < N_NOTES ? note_names[kind] : "none";
}

/* Returns a new event with copies of PEER (NULL: empty) and BODY. */
Event *
event_new (EventKind kind, ClockMs at, const char *peer, void *body)
{
  Event *e = g_new (Event, 1);

  *e = (Event) { .kind = kind,
                 .at = at,
                 .peer = g_strdup (util_str (peer)),
                 .body = rec_copy (event_desc (kind), body) };
  return e;
}

/* Releases E and what it holds. */
void
event_free (Event *e)
{
  if (!e)
    return;
  rec_free (event_desc (e->kind), e->body);
  g_free ((gpointer)e->peer);
  g_free (e);
}

/* Returns a digest of E that depends on every field and on SEED. */
guint64
event_digest (const Event *e, guint64 seed)
{
  const char *name = event_name (e->kind);
  const char *peer = util_str (e->peer);
  guint64 h = XXH3_64bits_withSeed (name, strlen (name), seed);

  h = XXH3_64bits_withSeed (&e->at, sizeof e->at, h);
  h = XXH3_64bits_withSeed (peer, strlen (peer) + 1, h);
  return rec_digest (event_desc (e->kind), e->body, h);
}

static char *
quote (const char *s)
{
  json_object *o = json_object_new_string (util_str (s));
  char *text =
      g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));

  json_object_put (o);
  return text;
}

/* Returns E, fed to or emitted by NODE, as one line of JSON without its
   newline; the caller frees it. */
char *
event_to_json (const Event *e, const char *node)
{
  char *body = rec_to_json (event_desc (e->kind), e->body);
  char *quoted_node = quote (node);
  char *quoted_peer = quote (e->peer);
  char *line = g_strdup_printf (line_format, quoted_node, e->at,
                                event_name (e->kind), quoted_peer, body);

  g_free (quoted_peer);
  g_free (quoted_node);
  g_free (body);
  return line;
}

static const char *
string_member (json_object *o, const char *key)
{
  json_object *v;

  if (!json_object_object_get_ex (o, key, &v) ||
      !json_object_is_type (v, json_type_string))
    return NULL;
  return json_object_get_string (v);
}

static Event *
event_from_object (json_object *o, const char *place, Findings *findings)
{
  const char *name = string_member (o, "kind");
  const char *peer = string_member (o, "peer");
  int kind = name ? event_from_name (name) : -1;
  json_object *at;
  json_object *body;
  const char *text;
  Event *e;

  if (kind < 0)
    findings_add (findings, place, "unknown event kind \"%s\"",
                  util_str (name));
  else if (!json_object_object_get_ex (o, "at", &at) ||
           !json_object_is_type (at, json_type_int))
    findings_add (findings, place, "\"at\" is missing or not a number");
  else if (!json_object_object_get_ex (o, "body", &body))
    findings_add (findings, place, "\"body\" is missing");
  else
    {
      e = g_new (Event, 1);
      *e = (Event) { .kind = (EventKind)kind,
                     .at = json_object_get_int64 (at),
                     .peer = g_strdup (util_str (peer)),
                     .body = rec_new (event_desc ((EventKind)kind)) };
      text = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
      if (rec_from_json (event_desc (e->kind), e->body, text, strlen (text),
                         REC_MISSING_REFUSE, place, findings))
        return e;
      event_free (e);
    }
  return NULL;
}

/* Reads one line of a trace.  Returns the event and sets *NODE, which the
   caller frees, to the node that it was fed to; or returns NULL and adds
   findings at PLACE. */
Event *
event_from_json (const char *line,
                 const char *place,
                 char **node,
                 Findings *findings)
{
  json_object *o = json_tokener_parse (line);
  Event *e = NULL;

  if (!json_object_is_type (o, json_type_object))
    findings_add (findings, place, "is not a JSON object");
  else
    {
      e = event_from_object (o, place, findings);
      *node = g_strdup (util_str (string_member (o, "node")));
    }
  json_object_put (o);
  return e;
}
