#include "oper.h"

#include "member.h"
#include "req.h"
#include "sched_state.h"
#include "store.h"
#include "table.h"

#include <json-c/json.h>
#include <string.h>

enum
{
  MAX_EDIT_DEPTH = 8
};

/* Nothing is kept between questions. */
struct Oper
{
  gint64 unused;
};

typedef void (*Question) (Core *c, const CallerOperator *q);

/* Returns the operators' side of node C. */
Oper *
oper_new (Core *c)
{
  (void)c;
  return g_new0 (Oper, 1);
}

/* Starts the module. */
void
oper_start (Core *c)
{
  (void)c;
}

/* Releases O. */
void
oper_free (Oper *o)
{
  g_free (o);
}

/* Answers CONN with O, which is released. */
static void
answer (Core *c, gint64 conn, int status, json_object *o)
{
  const char *text = json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN);

  core_reply_json (c, conn, status, NULL, g_strdup (text));
  json_object_put (o);
}

static void
refuse (Core *c, gint64 conn, int status, const char *reason)
{
  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = OUTCOME_NOT_RUN,
                              .status = status,
                              .reason = reason });
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

static void
add_bool (json_object *o, const char *key, gboolean value)
{
  json_object_object_add (o, key, json_object_new_boolean (value));
}

static json_object *
host_line (const Core *c, const MemberHost *h)
{
  json_object *o = json_object_new_object ();

  add_str (o, "host", h->name);
  add_str (o, "domain", h->domain);
  add_str (o, "region", h->region);
  add_str (o, "state", member_state_name (h->state));
  add_int (o, "incarnation", h->incarnation);
  add_int (o, "table_revision",
           h->self ? table_revision (c) : h->table_revision);
  add_int (o, "load", h->load);
  add_int (o, "heard_ms_ago", h->self ? 0 : c->now - h->heard_at);
  add_bool (o, "self", h->self);
  return o;
}

static void
add_hosts (Core *c, json_object *o)
{
  json_object *array = json_object_new_array ();
  guint i;

  for (i = 0; i < member_n_hosts (c); i++)
    json_object_array_add (array, host_line (c, member_host (c, i)));
  json_object_object_add (o, "hosts", array);
}

static void
add_leaving (Core *c, json_object *o)
{
  json_object *array = json_object_new_array ();
  guint i;

  for (i = 0; i < c->cfg->upstreams.n; i++)
    {
      const char *name = config_upstream (c->cfg, i)->name;

      if (member_is_leaving (c, name))
        json_object_array_add (array, json_object_new_string (name));
    }
  json_object_object_add (o, "leaving_upstreams", array);
}

/* What was learnt from the store is as fresh as its last answer. */
static void
add_store (Core *c, json_object *o)
{
  json_object *s = json_object_new_object ();

  add_bool (s, "up", store_is_up (c));
  add_int (s, "answered_ms_ago", c->now - store_answered_at (c));
  add_int (s, "calls_waiting", c->counters[COUNT_STORE_WAITING]);
  json_object_object_add (o, "store", s);
}

/* Names the hosts that count and have not acknowledged the table, and
   those that this host can't hear and so can't speak for. */
static void
add_table_state (Core *c, json_object *o)
{
  json_object *missing = json_object_new_array ();
  json_object *unheard = json_object_new_array ();
  guint n_live;
  guint n_in_force;
  guint i;

  add_int (o, "revision", table_revision (c));
  add_str (o, "edit_id", table_edit_id (c));
  add_bool (o, "in_force", table_in_force (c, &n_live, &n_in_force));
  add_int (o, "live_hosts", n_live);
  add_int (o, "hosts_in_force", n_in_force);
  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (h->state == MEMBER_SUSPECT || h->state == MEMBER_GONE)
        json_object_array_add (unheard, json_object_new_string (h->name));
      else if (!h->self && h->table_revision < table_revision (c))
        json_object_array_add (missing, json_object_new_string (h->name));
    }
  json_object_object_add (o, "not_in_force", missing);
  json_object_object_add (o, "not_heard", unheard);
  add_bool (o, "stale", table_checked_at (c) == 0 || !store_is_up (c));
  if (table_checked_at (c))
    add_int (o, "checked_ms_ago", c->now - table_checked_at (c));
}

static void
add_csv (Core *c, json_object *o)
{
  gsize n = 0;
  const char *text = table_csv (c) ? g_bytes_get_data (table_csv (c), &n) : "";

  json_object_object_add (o, "csv", json_object_new_string_len (text, (int)n));
}

static void
on_table (Core *c, const CallerOperator *q)
{
  json_object *o = json_object_new_object ();

  add_table_state (c, o);
  add_csv (c, o);
  answer (c, q->conn, 200, o);
}

/* Accelerators of one workspace, in the domain that this host schedules. */
typedef struct Account
{
  gint64 held;     /* inside its guarantee */
  gint64 borrowed; /* beyond it */
  gint64 wanted;   /* by jobs that wait */
  gint64 jobs_waiting;
} Account;

static void
add_to_account (Account *a, const Job *j)
{
  gint64 n = (gint64)j->fleet.parts * j->fleet.accelerators;

  if (!j->planned)
    return;
  if (j->fleet.state == FLEET_PLACED && j->fleet.in_guarantee)
    a->held += n;
  else if (j->fleet.state == FLEET_PLACED)
    a->borrowed += n;
  else
    {
      a->wanted += n;
      a->jobs_waiting++;
    }
}

static Account *
accounts_new (const Core *c)
{
  Account *all = g_new0 (Account, table_n_workspaces (c) + 1);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, c->sched->jobs);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const Job *j = p;
      const Workspace *w = table_find (c, j->rec->workspace);

      if (w)
        add_to_account (&all[w->index], j);
    }
  return all;
}

static gint64
promised (const Workspace *w)
{
  gint64 sum = 0;
  guint i;

  for (i = 0; i < w->n_shapes; i++)
    sum += w->guarantee[i].count * w->guarantee[i].size;
  return sum;
}

/* What is owed is what the workspace waits for and would still be inside
   its promise.  Only the domain's scheduler knows the accelerators. */
static json_object *
workspace_line (const Core *c, const Workspace *w, const Account *a)
{
  json_object *o = json_object_new_object ();
  gint64 rest = MAX (0, promised (w) - a->held);
  guint waiting = 0;
  guint running = 0;

  req_workspace_counts (c, w->name, &waiting, &running);
  add_str (o, "workspace", w->name);
  add_int (o, "weight", w->weight);
  add_int (o, "promised", promised (w));
  if (c->sched->role.held)
    {
      add_int (o, "held", a->held);
      add_int (o, "borrowed", a->borrowed);
      add_int (o, "owed", MIN (rest, a->wanted));
      add_int (o, "waiting_accelerators", a->wanted);
      add_int (o, "waiting_jobs", a->jobs_waiting);
    }
  add_int (o, "waiting_requests", waiting);
  add_int (o, "running_requests", running);
  return o;
}

static void
add_workspaces (Core *c, json_object *o)
{
  json_object *array = json_object_new_array ();
  Account *accounts = accounts_new (c);
  guint i;

  for (i = 0; i < table_n_workspaces (c); i++)
    json_object_array_add (array, workspace_line (c, table_workspace (c, i),
                                                  &accounts[i]));
  json_object_object_add (o, "workspaces", array);
  g_free (accounts);
}

static void add_trouble (json_object *array, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_trouble (json_object *array, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  json_object_array_add (array, json_object_new_string (text));
  g_free (text);
}

static void
add_shortages (const Core *c, json_object *array)
{
  const Plan *plan = c->sched->plan;
  guint i;

  for (i = 0; plan && i < plan_n_short (plan); i++)
    {
      PlanShort s = plan_shortfall (plan, i);

      add_trouble (array,
                   "workspace \"%s\" is short of %u of its %u guaranteed "
                   "accelerators in domain \"%s\": workers are missing",
                   s.workspace, s.short_of, s.accelerators, c->cfg->domain);
    }
}

/* Lists what can't be kept at the moment, and why. */
static void
add_cannot_keep (Core *c, json_object *o)
{
  json_object *array = json_object_new_array ();
  guint n_live;
  guint n_in_force;
  guint i;

  if (table_revision (c) == 0)
    add_trouble (array, "nothing is served: no table has been found yet");
  if (!store_is_up (c))
    add_trouble (array,
                 "no edit, job or request that runs at most once is taken: "
                 "the store has not answered for %" CLOCK_MS_FORMAT " ms",
                 c->now - store_answered_at (c));
  if (!table_in_force (c, &n_live, &n_in_force))
    add_trouble (array,
                 "table revision %" G_GINT64_FORMAT
                 " is in force on %u of %u live hosts",
                 table_revision (c), n_in_force, n_live);
  for (i = 0; i < member_n_hosts (c); i++)
    if (member_host (c, i)->state == MEMBER_SUSPECT)
      add_trouble (array,
                   "host \"%s\" has been silent for %" CLOCK_MS_FORMAT " ms",
                   member_host (c, i)->name,
                   c->now - member_host (c, i)->heard_at);
  add_shortages (c, array);
  json_object_object_add (o, "cannot_keep", array);
}

static void
on_hosts (Core *c, const CallerOperator *q)
{
  json_object *o = json_object_new_object ();

  add_str (o, "seen_by", c->cfg->host);
  add_hosts (c, o);
  add_leaving (c, o);
  add_cannot_keep (c, o);
  answer (c, q->conn, 200, o);
}

/* Adds a module's status, a JSON text, which is freed. */
static void
add_text (json_object *o, const char *key, char *text)
{
  json_object *v = text ? json_tokener_parse (text) : NULL;

  if (v)
    json_object_object_add (o, key, v);
  g_free (text);
}

static void
on_status (Core *c, const CallerOperator *q)
{
  json_object *o = json_object_new_object ();
  json_object *table = json_object_new_object ();

  add_str (o, "host", c->cfg->host);
  add_str (o, "domain", c->cfg->domain);
  add_bool (o, "draining", c->draining);
  add_int (o, "live_hosts", member_n_live (c));
  add_store (c, o);
  add_table_state (c, table);
  json_object_object_add (o, "table", table);
  add_text (o, "scheduler", sched_status (c));
  add_workspaces (c, o);
  add_cannot_keep (c, o);
  answer (c, q->conn, 200, o);
}

static int
verdict_status (TableVerdict v)
{
  static const int statuses[] = {
    [TABLE_ACCEPTED] = 200,    [TABLE_CONFLICT] = 409,
    [TABLE_INVALID] = 422,     [TABLE_BASE_UNKNOWN] = 409,
    [TABLE_NOT_WRITTEN] = 503, [TABLE_UNSETTLED] = 504
  };

  return statuses[v];
}

static json_object *
findings_json (const Findings *findings)
{
  json_object *array = json_object_new_array ();
  guint i;

  for (i = 0; findings && i < findings_count (findings); i++)
    {
      const Finding *f = findings_at (findings, i);
      json_object *o = json_object_new_object ();

      add_str (o, "place", f->place);
      add_str (o, "text", f->text);
      json_object_array_add (array, o);
    }
  return array;
}

static void
on_edited (Core *c,
           guint64 arg,
           TableVerdict verdict,
           gint64 revision,
           gboolean merged,
           const Findings *findings)
{
  json_object *o = json_object_new_object ();

  add_str (o, "result", table_verdict_name (verdict));
  add_int (o, "revision", revision);
  add_bool (o, "merged", merged);
  json_object_object_add (o, "findings", findings_json (findings));
  answer (c, (gint64)arg, verdict_status (verdict), o);
}

static GBytes *
bytes_member (json_object *o, const char *key)
{
  json_object *v;

  if (!json_object_object_get_ex (o, key, &v) ||
      !json_object_is_type (v, json_type_string))
    return NULL;
  return g_bytes_new (json_object_get_string (v),
                      (gsize)json_object_get_string_len (v));
}

static json_object *
parse_body (GBytes *body)
{
  json_tokener *tok = json_tokener_new_ex (MAX_EDIT_DEPTH);
  gsize n = 0;
  const char *text = body ? g_bytes_get_data (body, &n) : "";
  json_object *o = json_tokener_parse_ex (tok, text, (int)n);

  json_tokener_free (tok);
  if (json_object_is_type (o, json_type_object))
    return o;
  json_object_put (o);
  return NULL;
}

/* The body of an edit: "edit_id", "base_revision" and "csv", and "base",
   the text of the base revision, for the case that no host remembers it. */
static void
on_table_edit (Core *c, const CallerOperator *q)
{
  json_object *o = parse_body (q->body);
  json_object *id = NULL;
  json_object *revision = NULL;
  TableChange change = { 0 };

  if (o)
    {
      json_object_object_get_ex (o, "edit_id", &id);
      json_object_object_get_ex (o, "base_revision", &revision);
      change.csv = bytes_member (o, "csv");
      change.base = bytes_member (o, "base");
    }
  if (json_object_is_type (id, json_type_string))
    change.edit_id = json_object_get_string (id);
  change.base_revision = json_object_get_int64 (revision);
  if (!change.csv || !change.edit_id || *change.edit_id == '\0' ||
      strlen (change.edit_id) > TABLE_MAX_EDIT_ID ||
      !json_object_is_type (revision, json_type_int))
    refuse (c, q->conn, 400,
            "the body must be a JSON object with the strings \"edit_id\" (1 "
            "to 128 bytes) and \"csv\" and the number \"base_revision\"");
  else if (g_bytes_get_size (change.csv) > TABLE_MAX_BYTES)
    refuse (c, q->conn, 413, "the table is larger than 1015808 bytes");
  else
    table_edit (c, &change, on_edited, (guint64)q->conn);
  g_clear_pointer (&change.csv, g_bytes_unref);
  g_clear_pointer (&change.base, g_bytes_unref);
  json_object_put (o);
}

/* Explains a request or job by its id, or a host, workspace or upstream by
   its name; a name may be several of these. */
static void
on_explain (Core *c, const CallerOperator *q)
{
  json_object *o = json_object_new_object ();
  const MemberHost *h = member_find (c, q->arg);
  const Workspace *w = table_find (c, q->arg);
  Account *accounts;

  add_text (o, "request", req_explain (c, q->arg));
  add_text (o, "job", sched_explain (c, q->arg));
  if (h)
    json_object_object_add (o, "host", host_line (c, h));
  if (w)
    {
      accounts = accounts_new (c);
      json_object_object_add (o, "workspace",
                              workspace_line (c, w, &accounts[w->index]));
      g_free (accounts);
    }
  if (member_is_leaving (c, q->arg))
    add_str (o, "upstream", "leaving: it gets no new work");
  if (json_object_object_length (o) > 0)
    {
      answer (c, q->conn, 200, o);
      return;
    }
  json_object_put (o);
  refuse (c, q->conn, 404,
          "no request, job, host, workspace or leaving upstream of this name "
          "is known here");
}

/* Answers one question. */
void
oper_on_question (Core *c, const Event *e)
{
  static const struct
  {
    const char *what;
    Question ask;
  } questions[] = { { "hosts", on_hosts },
                    { "status", on_status },
                    { "table", on_table },
                    { "table_edit", on_table_edit },
                    { "explain", on_explain } };
  const CallerOperator *q = e->body;
  gsize i;

  core_add (c, COUNT_OPERATOR_QUESTIONS, 1);
  for (i = 0; i < G_N_ELEMENTS (questions); i++)
    if (strcmp (questions[i].what, q->what) == 0)
      {
        questions[i].ask (c, q);
        return;
      }
  refuse (c, q->conn, 404, "no such question");
}
