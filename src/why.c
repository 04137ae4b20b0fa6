#include "why.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* How long before and after the job's lines what concerns all jobs is
     shown. */
  CONTEXT_MS = 5000
};

typedef enum LineKind
{
  LINE_OF_JOB,
  LINE_OF_ALL,  /* concerns every job: the scheduler's role, the store */
  LINE_OF_HOST, /* of a host that had to do with the job */
  LINE_OF_WORKER,
  LINE_OF_LOG /* lines were left out */
} LineKind;

typedef struct WhyLine
{
  gint64 ts; /* Unix milliseconds of the host's clock */
  guint order;
  LineKind kind;
  char *host;
  char *event;
  char *rest;        /* the pairs after the event */
  GHashTable *pairs; /* of all pairs */
} WhyLine;

struct Why
{
  char *job;
  GPtrArray *lines;    /* of WhyLine */
  GHashTable *hosts;   /* whose lines name the job */
  GHashTable *workers; /* that ran something of it */
};

static void
line_free (gpointer p)
{
  WhyLine *l = p;

  g_free (l->host);
  g_free (l->event);
  g_free (l->rest);
  g_hash_table_unref (l->pairs);
  g_free (l);
}

/* Returns the life of JOB, an id, of which nothing is known yet. */
Why *
why_new (const char *job)
{
  Why *w = g_new0 (Why, 1);

  w->job = g_strdup (job);
  w->lines = g_ptr_array_new_with_free_func (line_free);
  w->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return w;
}

/* Releases W. */
void
why_free (Why *w)
{
  g_ptr_array_unref (w->lines);
  g_hash_table_unref (w->hosts);
  g_hash_table_unref (w->workers);
  g_free (w->job);
  g_free (w);
}

/* Takes the pair that *AT points to into PAIRS and moves *AT behind it.  A
   value in quotes may hold spaces.  Returns FALSE at the end. */
static gboolean
take_pair (const char **at, GHashTable *pairs)
{
  const char *key, *value, *end;

  *at += strspn (*at, " ");
  key = *at;
  end = key + strcspn (key, "= ");
  if (*end != '=')
    return FALSE;
  value = end + 1;
  if (*value == '"')
    {
      const char *close = strchr (value + 1, '"');

      *at = close ? close + 1 : value + strlen (value);
      g_hash_table_insert (pairs, g_strndup (key, (gsize)(end - key)),
                           g_strndup (value + 1,
                                      close ? (gsize)(close - value - 1)
                                            : strlen (value + 1)));
      return TRUE;
    }
  *at = value + strcspn (value, " ");
  g_hash_table_insert (pairs, g_strndup (key, (gsize)(end - key)),
                       g_strndup (value, (gsize)(*at - value)));
  return TRUE;
}

static const char *
value_of (const WhyLine *l, const char *key)
{
  const char *value = g_hash_table_lookup (l->pairs, key);

  return value ? value : "";
}

static gint64
number_of (const WhyLine *l, const char *key)
{
  return g_ascii_strtoll (value_of (l, key), NULL, 10);
}

static gboolean
is_of_job (const Why *w, const WhyLine *l)
{
  const char *task = value_of (l, "task");
  gsize n = strlen (w->job);

  if (strcmp (value_of (l, "job"), w->job) == 0)
    return TRUE;
  return strncmp (task, w->job, n) == 0 && task[n] == '.';
}

/* Sets KIND to the subject of L.  Returns FALSE if L is irrelevant to W. */
static gboolean
kind_of (const Why *w, const WhyLine *l, LineKind *kind)
{
  static const struct
  {
    const char *event;
    LineKind kind;
  } kinds[] = {
    { "role_taken", LINE_OF_ALL },
    { "role_left", LINE_OF_ALL },
    { "workers_known", LINE_OF_ALL },
    { "deposed", LINE_OF_ALL },
    { "save_failed", LINE_OF_ALL },
    { "started", LINE_OF_HOST },
    { "stopping", LINE_OF_HOST },
    { "conf", LINE_OF_HOST },
    { "worker_silent", LINE_OF_WORKER },
    { "worker_back", LINE_OF_WORKER },
    { "worker_void", LINE_OF_WORKER },
    { "quarantine", LINE_OF_WORKER },
    { "worker_restarted", LINE_OF_WORKER },
    { "worker_clock_back", LINE_OF_WORKER },
    { "lease_awaited", LINE_OF_WORKER },
    { "worker_speed", LINE_OF_WORKER },
    { "reserve", LINE_OF_ALL },
    { "evacuation_seen", LINE_OF_ALL },
    { "evacuation_in_force", LINE_OF_ALL },
    { "evacuation_last_start", LINE_OF_ALL },
    { "evacuation_ended", LINE_OF_ALL },
    { "evacuation_unreadable", LINE_OF_ALL },
    { "evacuation_unknown_domain", LINE_OF_ALL },
    { "starts_held", LINE_OF_ALL },
    { "starts_released", LINE_OF_ALL },
    { "lines_dropped", LINE_OF_LOG },
  };
  guint i;

  if (is_of_job (w, l))
    {
      *kind = LINE_OF_JOB;
      return TRUE;
    }
  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (l->event, kinds[i].event) == 0)
      {
        *kind = kinds[i].kind;
        return TRUE;
      }
  return FALSE;
}

/* Returns what follows the event in TEXT; the caller frees it. */
static char *
rest_of (const char *text)
{
  const char *event = strstr (text, "event=");

  return g_strchug (g_strdup (event ? event + strcspn (event, " ") : ""));
}

static void
read_line (Why *w, const char *text)
{
  WhyLine *l = g_new0 (WhyLine, 1);
  const char *begin = strstr (text, "ts=");
  const char *at = begin;

  l->pairs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  while (at && take_pair (&at, l->pairs))
    continue;
  l->ts = number_of (l, "ts");
  l->host = g_strdup (value_of (l, "host"));
  l->event = g_strdup (value_of (l, "event"));
  l->rest = rest_of (text);
  l->order = w->lines->len;
  if (!begin || !*l->event || !kind_of (w, l, &l->kind))
    {
      line_free (l);
      return;
    }
  if (l->kind == LINE_OF_JOB)
    g_hash_table_add (w->hosts, g_strdup (l->host));
  if (l->kind == LINE_OF_JOB && *value_of (l, "worker"))
    g_hash_table_add (w->workers, g_strdup (value_of (l, "worker")));
  g_ptr_array_add (w->lines, l);
}

/* Takes the log lines in TEXT, of one or of several hosts.  What is no line
   of a host, or of other jobs, is passed over. */
void
why_read (Why *w, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  guint i;

  for (i = 0; lines[i]; i++)
    read_line (w, lines[i]);
  g_strfreev (lines);
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const WhyLine *x = *(WhyLine *const *)a;
  const WhyLine *y = *(WhyLine *const *)b;

  if (x->ts != y->ts)
    return x->ts < y->ts ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Returns how many lines of the job itself W has. */
guint
why_n_lines (const Why *w)
{
  guint n = 0;
  guint i;

  for (i = 0; i < w->lines->len; i++)
    n +=
        ((const WhyLine *)g_ptr_array_index (w->lines, i))->kind == LINE_OF_JOB;
  return n;
}

/* Finds the span of the job's own lines. */
static gboolean
find_span (const Why *w, gint64 *from, gint64 *to)
{
  gboolean found = FALSE;
  guint i;

  for (i = 0; i < w->lines->len; i++)
    {
      const WhyLine *l = g_ptr_array_index (w->lines, i);

      if (l->kind != LINE_OF_JOB)
        continue;
      if (!found)
        *from = l->ts;
      *to = l->ts;
      found = TRUE;
    }
  return found;
}

static gboolean
is_shown (const Why *w, const WhyLine *l, gint64 from, gint64 to)
{
  if (l->kind == LINE_OF_JOB)
    return TRUE;
  if (l->ts < from - CONTEXT_MS || l->ts > to + CONTEXT_MS)
    return FALSE;
  if (l->kind == LINE_OF_HOST)
    return g_hash_table_contains (w->hosts, l->host);
  return l->kind != LINE_OF_WORKER ||
         g_hash_table_contains (w->workers, value_of (l, "worker"));
}

/* What the job's lines come down to. */
typedef struct Sum
{
  const WhyLine *accepted;
  const WhyLine *refused; /* the last one */
  const WhyLine *first_start;
  const WhyLine *last;      /* its final state */
  const WhyLine *held;      /* the longest time beside free room */
  const WhyLine *evacuated; /* the longest wait for evacuated workers */
  const WhyLine *refused_evacuated;
  guint withdrawn; /* from evacuated domains */
  guint evicted;
  guint failed;
  guint stalled;
  guint moved;   /* off workers that leave */
  guint taken;   /* times that the scheduler's role was taken meanwhile */
  guint unsaved; /* stores that failed meanwhile */
  gint64 dropped;
} Sum;

static void
count_stop (Sum *s, const WhyLine *l)
{
  const char *reason = value_of (l, "reason");

  s->evicted += strcmp (reason, "evicted") == 0;
  s->moved += strcmp (reason, "worker_leaves") == 0;
}

static void
count_hold (Sum *s, const WhyLine *l)
{
  if (strcmp (value_of (l, "cause"), "evacuation") == 0)
    {
      if (!s->evacuated ||
          number_of (l, "for_ms") > number_of (s->evacuated, "for_ms"))
        s->evacuated = l;
      return;
    }
  if (!s->held || number_of (l, "held_ms") > number_of (s->held, "held_ms"))
    s->held = l;
}

static void
count_line (Sum *s, const WhyLine *l, gint64 from, gint64 to)
{
  gboolean meanwhile = l->ts >= from && l->ts <= to;

  if (strcmp (l->event, "job_accepted") == 0 && !s->accepted)
    s->accepted = l;
  else if (strcmp (l->event, "request_refused") == 0)
    s->refused = l;
  else if (strcmp (l->event, "start") == 0 && !s->first_start)
    s->first_start = l;
  else if (strcmp (l->event, "stop") == 0)
    count_stop (s, l);
  else if (strcmp (l->event, "held") == 0 || strcmp (l->event, "delayed") == 0)
    count_hold (s, l);
  else if (strcmp (l->event, "evacuation_refused") == 0)
    s->refused_evacuated = l;
  else if (strcmp (l->event, "withdrawn") == 0)
    s->withdrawn += strcmp (value_of (l, "reason"), "evacuation") == 0;
  else if (strcmp (l->event, "task_failed") == 0)
    s->failed++;
  else if (strcmp (l->event, "stalled") == 0)
    s->stalled++;
  else if (strcmp (l->event, "job_completed") == 0 ||
           strcmp (l->event, "job_failed") == 0 ||
           strcmp (l->event, "job_cancelled") == 0)
    s->last = l;
  else if (strcmp (l->event, "role_taken") == 0)
    s->taken += meanwhile;
  else if (strcmp (l->event, "save_failed") == 0)
    s->unsaved += meanwhile;
  else if (strcmp (l->event, "lines_dropped") == 0 && meanwhile)
    s->dropped += number_of (l, "n");
}

static void
append_request (GString *out, const Sum *s)
{
  if (s->accepted)
    g_string_append_printf (out, "accepted by %s under configuration %s\n",
                            s->accepted->host, value_of (s->accepted, "conf"));
  else
    g_string_append (out, "not accepted by any host of these logs\n");
  if (s->refused)
    g_string_append_printf (
        out,
        "refused by %s with status %s after asking the store %s times; its "
        "configuration %s was %s ms old\n",
        s->refused->host, value_of (s->refused, "status"),
        value_of (s->refused, "tries"), value_of (s->refused, "conf"),
        value_of (s->refused, "conf_age_ms"));
  if (s->refused_evacuated)
    g_string_append_printf (
        out,
        "all failure domains were evacuated, for %s ms more "
        "as %s expected\n",
        value_of (s->refused_evacuated, "expected_ms"),
        s->refused_evacuated->host);
}

static void
append_end (GString *out, const Sum *s)
{
  gint64 age, objective;

  if (!s->last)
    {
      g_string_append (out, "not over in these logs\n");
      return;
    }
  age = number_of (s->last, "age_ms");
  objective = number_of (s->last, "objective_ms");
  g_string_append_printf (out,
                          "%s after %" G_GINT64_FORMAT
                          " ms; its objective was %" G_GINT64_FORMAT " ms%s\n",
                          s->last->event + strlen ("job_"), age, objective,
                          age > objective ? ": late" : "");
}

static void
append_count (GString *out, gint64 n, const char *what)
{
  if (n > 0)
    g_string_append_printf (out, "%" G_GINT64_FORMAT " %s\n", n, what);
}

static void
append_sum (GString *out, const Sum *s)
{
  append_request (out, s);
  if (s->first_start)
    g_string_append_printf (out, "first started %s ms after acceptance\n",
                            value_of (s->first_start, "age_ms"));
  if (s->held)
    g_string_append_printf (out, "held for %s ms beside free room by: %s\n",
                            value_of (s->held, "held_ms"),
                            value_of (s->held, "cause"));
  if (s->evacuated)
    g_string_append_printf (
        out,
        "waited for %s ms for workers in evacuated domains: "
        "evacuation\n",
        value_of (s->evacuated, "for_ms"));
  append_count (out, s->withdrawn, "start(s) withdrawn from evacuated domains");
  append_count (out, s->evicted, "task(s) stopped for more urgent work");
  append_count (out, s->failed, "run(s) failed");
  append_count (out, s->stalled, "task(s) moved because they stood still");
  append_count (out, s->moved, "task(s) moved off leaving workers");
  append_count (out, s->taken, "change(s) of the scheduler meanwhile");
  append_count (out, s->unsaved, "write(s) to the store failed meanwhile");
  append_end (out, s);
  append_count (out, s->dropped, "line(s) left out by the hosts' log budget");
}

/* Returns W's job in words: its lines and what concerned it, by the time of
   day of their hosts, then what they come down to.  The caller frees it. */
char *
why_report (Why *w)
{
  GString *out = g_string_new (NULL);
  Sum sum = { 0 };
  gint64 from = 0;
  gint64 to = 0;
  guint i;

  g_ptr_array_sort (w->lines, compare_lines);
  if (!find_span (w, &from, &to))
    {
      g_string_append_printf (out, "no line names job %s\n", w->job);
      return g_string_free (out, FALSE);
    }
  for (i = 0; i < w->lines->len; i++)
    {
      const WhyLine *l = g_ptr_array_index (w->lines, i);

      if (!is_shown (w, l, from, to))
        continue;
      count_line (&sum, l, from, to);
      g_string_append_printf (out, "%+9" G_GINT64_FORMAT " ms  %-22s %s %s\n",
                              l->ts - from, l->host, l->event, l->rest);
    }
  g_string_append_c (out, '\n');
  append_sum (out, &sum);
  return g_string_free (out, FALSE);
}
