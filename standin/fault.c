#include "fault.h"

#include "reply.h"

#include <stdio.h>
#include <string.h>

const char *const fault_path = "/standin/fault";

static const JsonRange share_range = { 0, 1 };
static const JsonRange seed_range = { 0, G_MAXUINT32 };
static const double rounding = 1e-9;

/* The fields that hold the shares, and the words of the log. */
static const char *const kind_names[N_FAULT_KINDS] = {
  [FAULT_NONE] = "none",
  [FAULT_REFUSE] = "refuse",
  [FAULT_HANG] = "hang",
  [FAULT_LATE] = "late",
  [FAULT_LOSE_ANSWER] = "loseAnswers",
};

static const char *const common_fields[] = { "forMs",  "seed",        "slowMs",
                                             "refuse", "hang",        "late",
                                             "lateMs", "loseAnswers", NULL };

static void
check_fields (json_object *o, const char *const *port_fields, Findings *f)
{
  json_object_object_foreach (o, name, value)
  {
    (void)value;
    if (!g_strv_contains (common_fields, name) &&
        !g_strv_contains (port_fields, name))
      findings_add (f, name, "is not known here");
  }
}

static void
read_shares (Faults *f, json_object *o, Findings *findings)
{
  double sum = 0;
  int kind;

  f->shares[FAULT_NONE] = 0;
  for (kind = FAULT_NONE + 1; kind < N_FAULT_KINDS; kind++)
    {
      f->shares[kind] =
          json_number (o, kind_names[kind], 0, &share_range, findings);
      sum += f->shares[kind];
    }
  if (sum > 1 + rounding)
    findings_add (findings, "body", "the shares are over 1 together");
}

static void
read_late (Faults *f, json_object *o, Findings *findings)
{
  json_object *span = json_array (o, "lateMs", findings);

  f->late_min = f->late_max = 0;
  if (span && json_object_array_length (span) == 2)
    {
      f->late_min = json_object_get_int64 (json_object_array_get_idx (span, 0));
      f->late_max = json_object_get_int64 (json_object_array_get_idx (span, 1));
    }
  else if (span || f->shares[FAULT_LATE] > 0)
    findings_add (findings, "lateMs", "is not a pair of numbers");
  if (f->late_min < 0 || f->late_max < f->late_min ||
      f->late_max > G_MAXINT32 - 1)
    findings_add (findings, "lateMs", "is not a span of time");
}

/* Replaces F by what O asks for; without a change if O is wrong. */
static gboolean
read_faults (Faults *f,
             json_object *o,
             const char *const *port_fields,
             Findings *findings)
{
  Faults next = *f;
  guint32 seed = (guint32)json_int (o, "seed", 0, &seed_range, findings);

  next.until =
      server_now () + json_int (o, "forMs", 0, &json_range_duration, findings);
  next.slow = json_int (o, "slowMs", 0, &json_range_duration, findings);
  check_fields (o, port_fields, findings);
  read_shares (&next, o, findings);
  read_late (&next, o, findings);
  if (findings_count (findings) > 0)
    return FALSE;
  if (next.rand)
    g_rand_set_seed (next.rand, seed);
  else
    next.rand = g_rand_new_with_seed (seed);
  *f = next;
  return TRUE;
}

static void
reply_findings (Exchange *x, const Findings *findings)
{
  json_object *o = json_object_new_object ();
  char *text = findings_text (findings);

  json_put_string (o, "findings", text);
  standin_reply (x, MHD_HTTP_BAD_REQUEST, o);
  g_free (text);
}

static void
reply_counts (const Faults *f, Exchange *x)
{
  json_object *o = json_object_new_object ();
  int kind;

  json_put_int (o, "leftMs", MAX (f->until - server_now (), 0));
  for (kind = 0; kind < N_FAULT_KINDS; kind++)
    json_put_int (o, kind_names[kind], f->counts[kind]);
  standin_reply (x, MHD_HTTP_OK, o);
}

/* Replies to X, a request to fault_path with body O, which is NULL if it can't
   be read.  A POST replaces F; PORT_FIELDS names the fields that the port
   itself reads.  Returns whether F was replaced. */
gboolean
faults_on_request (Faults *f,
                   Exchange *x,
                   json_object *o,
                   const char *const *port_fields,
                   Findings *findings)
{
  gboolean is_post = strcmp (x->method, MHD_HTTP_METHOD_POST) == 0;

  if (is_post && (!o || !read_faults (f, o, port_fields, findings)))
    {
      reply_findings (x, findings);
      return FALSE;
    }
  reply_counts (f, x);
  return is_post;
}

static FaultKind
draw (const Faults *f)
{
  double at = g_rand_double (f->rand);
  int kind;

  for (kind = FAULT_NONE + 1; kind < N_FAULT_KINDS; kind++)
    {
      if (at < f->shares[kind])
        return kind;
      at -= f->shares[kind];
    }
  return FAULT_NONE;
}

static ClockMs
draw_lateness (const Faults *f)
{
  return g_rand_int_range (f->rand, (gint32)f->late_min,
                           (gint32)f->late_max + 1);
}

static gboolean
is_in_force (const Faults *f)
{
  return server_now () < f->until;
}

/* A read has no effect to come late; what a runner says of itself is always
   its latest. */
static gboolean
can_be_late (const Exchange *x)
{
  return strcmp (x->method, MHD_HTTP_METHOD_GET) != 0 &&
         g_str_has_prefix (x->path, "/api/");
}

/* Draws what X meets.  Returns TRUE if it is not to be carried out now. */
gboolean
faults_strike (Faults *f, Exchange *x)
{
  FaultKind kind;

  if (x->deferred || !is_in_force (f))
    return FALSE;
  kind = draw (f);
  if (kind == FAULT_LATE && !can_be_late (x))
    kind = FAULT_HANG;
  f->counts[kind]++;
  x->delay = f->slow;
  x->loses_answer = kind == FAULT_LOSE_ANSWER;
  if (kind == FAULT_NONE)
    return FALSE;
  printf ("%" CLOCK_MS_FORMAT " %s %s on %s\n", server_now (), kind_names[kind],
          x->path, f->where);
  fflush (stdout);
  if (kind == FAULT_REFUSE)
    standin_reply (x, MHD_HTTP_SERVICE_UNAVAILABLE, json_object_new_object ());
  else if (kind == FAULT_LATE)
    exchange_defer (x, draw_lateness (f));
  else if (kind == FAULT_HANG)
    exchange_abandon (x);
  return kind != FAULT_LOSE_ANSWER;
}
