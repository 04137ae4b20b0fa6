#include "req_state.h"

#include <json-c/json.h>

enum
{
  MAX_ENDED = 512
};

/* A request that has ended, for explanations. */
typedef struct EndedRequest
{
  char *id;
  Outcome outcome;
  char *why;
  char *upstream;
  gint64 attempts;
  ClockMs took;
} EndedRequest;

#define REQUEST_STATE_NAME(kind, name) name,
static const char *const state_names[] = {
  REQUEST_STATES (REQUEST_STATE_NAME)
};

/* Returns the name of S, as explanations show it. */
const char *
req_state_name (RequestState s)
{
  return state_names[s];
}

/* Releases P, an entry of the ended requests. */
void
req_ended_free (gpointer p)
{
  EndedRequest *x = p;

  g_free (x->id);
  g_free (x->why);
  g_free (x->upstream);
  g_free (x);
}

/* Returns the name of R's present upstream, "" if it has none. */
const char *
req_upstream_name (Core *c, const Request *r)
{
  return r->upstream == ROUTE_NONE ? ""
                                   : route_name (c->req->route, r->upstream);
}

/* Writes a note of KIND about R, with DETAIL (may be NULL), to the
   timeline. */
void
req_note (Core *c, const Request *r, NoteKind kind, const char *detail)
{
  core_write_note (c, &(CoreNote) { .kind = kind,
                                    .request = r->id,
                                    .workspace = r->workspace,
                                    .upstream = req_upstream_name (c, r),
                                    .detail = detail });
}

/* Keeps how R ended, for explanations; the oldest of more than MAX_ENDED is
   dropped. */
void
req_remember (Core *c, const Request *r, Outcome outcome, const char *why)
{
  Req *q = c->req;
  EndedRequest *x = g_new (EndedRequest, 1);

  *x = (EndedRequest) { .id = g_strdup (r->id),
                        .outcome = outcome,
                        .why = g_strdup (why),
                        .upstream = g_strdup (req_upstream_name (c, r)),
                        .attempts = r->attempt,
                        .took = c->now - r->arrived };
  if (g_hash_table_lookup (q->ended, x->id))
    {
      g_hash_table_replace (q->ended, x->id, x);
      return;
    }
  g_hash_table_insert (q->ended, x->id, x);
  g_queue_push_tail (&q->ended_order, x);
  if (q->ended_order.length > MAX_ENDED)
    {
      x = g_queue_pop_head (&q->ended_order);
      g_hash_table_remove (q->ended, x->id);
    }
}

static void
add_str (json_object *o, const char *key, const char *value)
{
  json_object_object_add (o, key, json_object_new_string (util_str (value)));
}

static void
add_int (json_object *o, const char *key, gint64 value)
{
  json_object_object_add (o, key, json_object_new_int64 (value));
}

static const char *
waits_for (Core *c, const Request *r)
{
  Req *q = c->req;

  switch (r->state)
    {
    case REQUEST_QUEUED:
      if (route_slots (q->route) == 0)
        return "no usable upstream in this failure domain";
      return route_free_slots (q->route) ? "its class or workspace limit"
                                         : "a free slot";
    case REQUEST_PLACING:
      return "an upstream that it was not tried at";
    case REQUEST_CLAIMING:
    case REQUEST_STORE_WAIT:
      return "the store, to claim its idempotency key";
    case REQUEST_FOLLOWING:
      return "the host that claimed its idempotency key";
    default:
      return "its upstream";
    }
}

static void
explain_open (Core *c, json_object *o, const Request *r)
{
  add_str (o, "state", req_state_name (r->state));
  add_str (o, "waits_for", waits_for (c, r));
  add_str (o, "workspace", r->workspace);
  add_str (o, "class", class_name (r->work_class));
  json_object_object_add (o, "demoted", json_object_new_boolean (r->demoted));
  add_str (o, "upstream", req_upstream_name (c, r));
  add_int (o, "attempts", r->attempt);
  add_int (o, "age_ms", c->now - r->arrived);
  add_int (o, "deadline_in_ms", r->deadline - c->now);
}

/* Returns, as JSON text for the caller to free, where the request called ID
   stands or how it ended at this node; NULL when it is not known. */
char *
req_explain (Core *c, const char *id)
{
  const Request *r = g_hash_table_lookup (c->req->by_id, id);
  const EndedRequest *x = g_hash_table_lookup (c->req->ended, id);
  json_object *o;
  char *text;

  if (!r && !x)
    return NULL;
  o = json_object_new_object ();
  add_str (o, "request", id);
  if (r)
    explain_open (c, o, r);
  else
    {
      add_str (o, "state", "ended");
      add_str (o, "outcome", outcome_name (x->outcome));
      add_str (o, "reason", x->why);
      add_str (o, "upstream", x->upstream);
      add_int (o, "attempts", x->attempts);
      add_int (o, "took_ms", x->took);
    }
  text = g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  return text;
}
