#include "runner.h"

#include "fault.h"
#include "reply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEFAULT_TASK_MS = 300,
  STOP_MS = 50,
  PERMILLE = 1000,
  HEX = 16,
  DRAWN_DIGITS = 24, /* of a digest: those after them are drawn from */
  FULL_PERCENT = 100,
  TASK_PARTS = 4, /* ID.K.STEP.INDEX */
  TASK_STEP = 2
};

const RunnerShape runner_usual_shape = { .cpu_milli = 64000,
                                         .mem_mb = 256000,
                                         .accelerators = 8,
                                         .zone = "z" };
const ClockMs runner_usual_max_lease = 10000;

static const char *const stopped = "stopped";

typedef struct Run
{
  char *task;
  gint64 run;
  ClockMs begun;
  ClockMs full; /* when it reports 100 percent */
  ClockMs ends;
  const char *how; /* it ends */
} Run;

typedef struct End
{
  gint64 number;
  char *task;
  gint64 run;
  const char *how;
} End;

/* A hold that waits for an end. */
typedef struct Waiter
{
  Exchange *x;
  ClockMs until;
} Waiter;

struct Runner
{
  RunnerLife life;
  gint64 fence;
  gint64 n_ends;
  ClockMs deadline;   /* of its lease, by its clock; 0 while there is none */
  GPtrArray *runs;    /* of Run */
  GPtrArray *ends;    /* of End */
  GPtrArray *waiters; /* of Waiter */
  GHashTable *over;   /* task to the highest run that ended or was stopped */
  Faults faults;
};

static void
print_at (const Runner *r, ClockMs at, const char *what)
{
  printf ("%" CLOCK_MS_FORMAT " %s on %s\n", at, what, r->life.id);
  fflush (stdout);
}

/* Prints that R did WHAT now. */
void
runner_print (const Runner *r, const char *what)
{
  print_at (r, server_now (), what);
}

static void
print_run (const Runner *r,
           ClockMs at,
           const char *what,
           const char *task,
           gint64 run,
           const char *how)
{
  printf ("%" CLOCK_MS_FORMAT " %s %s run %" G_GINT64_FORMAT " on %s %s\n", at,
          what, task, run, r->life.id, how);
  fflush (stdout);
}

static ClockMs
runner_clock (const Runner *r)
{
  return (server_now () - r->life.zero) * (PERMILLE - r->life.slow) / PERMILLE;
}

/* Returns when R's clock shows AT, by server_now. */
static ClockMs
shared_time (const Runner *r, ClockMs at)
{
  return r->life.zero + at * PERMILLE / (PERMILLE - r->life.slow);
}

static Run *
find_run (const Runner *r, const char *task)
{
  guint i;

  for (i = 0; i < r->runs->len; i++)
    if (strcmp (((Run *)g_ptr_array_index (r->runs, i))->task, task) == 0)
      return g_ptr_array_index (r->runs, i);
  return NULL;
}

static gint64
last_over (const Runner *r, const char *task)
{
  const gint64 *run = g_hash_table_lookup (r->over, task);

  return run ? *run : 0;
}

/* Has every start of TASK up to RUN refused from now on. */
static void
set_over (Runner *r, const char *task, gint64 run)
{
  if (run > last_over (r, task))
    g_hash_table_insert (r->over, g_strdup (task),
                         g_memdup2 (&run, sizeof run));
}

static void
end_run (Runner *r, Run *run, ClockMs at, const char *how)
{
  End *e = g_new0 (End, 1);

  *e = (End) { .number = ++r->n_ends,
               .task = g_strdup (run->task),
               .run = run->run,
               .how = how };
  g_ptr_array_add (r->ends, e);
  print_run (r, at, "end", run->task, run->run, how);
  set_over (r, run->task, run->run);
  g_ptr_array_remove (r->runs, run);
}

static int
number_in (const char *text, const char *name, int missing)
{
  const char *at = strstr (text, name);

  return at ? (int)strtol (at + strlen (name), NULL, 10) : missing;
}

/* Whether the step of TASK, ID.K.STEP.INDEX, lasts by TEXT: all steps do where
   it says "perpetual", one where it says "perpetual=STEP". */
static gboolean
is_perpetual (const char *text, const char *task)
{
  const char *word = strstr (text, "perpetual");
  char **parts = g_strsplit (task, ".", TASK_PARTS);
  gboolean is = word != NULL;

  if (is && word[strlen ("perpetual")] == '=' &&
      g_strv_length (parts) == TASK_PARTS)
    is = number_in (word, "=", 0) == strtol (parts[TASK_STEP], NULL, 10);
  g_strfreev (parts);
  return is;
}

/* Whether run NUMBER of TASK is one of those that fail by "errors=N", N of a
   thousand.  The members of a "gang" fail together. */
static gboolean
is_error (const char *text, const char *task, gint64 number)
{
  const char *end = strstr (text, "gang") ? strrchr (task, '.') : NULL;
  gsize length = end ? (gsize)(end - task) : strlen (task);
  char *key =
      g_strdup_printf ("%.*s/%" G_GINT64_FORMAT, (int)length, task, number);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_MD5, key, -1);
  gboolean is = g_ascii_strtoull (digest + DRAWN_DIGITS, NULL, HEX) % PERMILLE <
                (guint64)number_in (text, "errors=", 0);

  g_free (digest);
  g_free (key);
  return is;
}

/* A task is at work for "ms=N", then done.  One that lasts is fully at work
   after that time, until it is stopped.  With "failat=N" a run fails then,
   unless it has ended before; by "errors=N" some runs fail halfway. */
static Run *
run_new (const char *task, gint64 number, const char *text)
{
  Run *run = g_new0 (Run, 1);
  ClockMs fails;

  run->task = g_strdup (task);
  run->run = number;
  run->begun = server_now ();
  run->full = run->begun + number_in (text, "ms=", DEFAULT_TASK_MS);
  run->ends = is_perpetual (text, task) ? CLOCK_NEVER : run->full;
  run->how = "done";
  fails = run->begun + number_in (text, "failat=", G_MAXINT);
  if (is_error (text, task, number))
    fails = (run->begun + run->full) / 2;
  if (fails < run->ends)
    {
      run->ends = fails;
      run->how = "failed";
    }
  return run;
}

/* Begins run NUMBER of TASK; IS_LATE if its start was carried out late. */
static void
add_run (Runner *r,
         const char *task,
         gint64 number,
         const char *text,
         gboolean is_late)
{
  Run *run = run_new (task, number, text);

  g_ptr_array_add (r->runs, run);
  print_run (r, run->begun, "start", task, number, is_late ? "late" : "");
}

/* A lease is never shortened.  Prints what call X asks for and what is granted,
 * both as times that all processes share. */
static void
renew (Runner *r, const Exchange *x, json_object *o, Findings *f)
{
  ClockMs asked = json_int (o, "deadlineMs", 0, &json_range_time, f);
  ClockMs deadline = MIN (asked, runner_clock (r) + r->life.max_lease);

  if (deadline <= r->deadline)
    return;
  r->deadline = deadline;
  printf ("%" CLOCK_MS_FORMAT " lease until %" CLOCK_MS_FORMAT
          " asked %" CLOCK_MS_FORMAT " by %s on %s\n",
          server_now (), shared_time (r, deadline), shared_time (r, asked),
          x->path, r->life.id);
  fflush (stdout);
}

/* Starts what O asks for, unless it is there.  Returns why not, NULL when it
   is there then. */
static const char *
start_run (Runner *r, json_object *o, gboolean is_late, Findings *f)
{
  const char *task = json_string (o, "task", "", f);
  gint64 number = json_int (o, "run", 0, &json_range_id, f);
  ClockMs deadline = json_int (o, "deadlineMs", 0, &json_range_time, f);
  const Run *run = find_run (r, task);

  if (run && run->run == number)
    return NULL;
  if (deadline <= runner_clock (r))
    return "late";
  if (run || number <= last_over (r, task))
    return "old";
  add_run (r, task, number, json_string (o, "spec", "", f), is_late);
  return NULL;
}

static void
stop_run (Runner *r, json_object *o, Findings *f)
{
  const char *task = json_string (o, "task", "", f);
  gint64 number = json_int (o, "run", 0, &json_range_id, f);
  Run *run = find_run (r, task);

  set_over (r, task, number);
  if (!run || run->run > number || run->how == stopped)
    return;
  run->how = stopped;
  run->ends = server_now () + STOP_MS;
}

static json_object *
runner_json (const Runner *r)
{
  json_object *o = json_object_new_object ();

  json_put_int (o, "clockMs", runner_clock (r));
  json_put_int (o, "born", r->life.born);
  return o;
}

static json_object *
row_json (const Run *run)
{
  json_object *row = json_object_new_array ();
  ClockMs percent = FULL_PERCENT * (server_now () - run->begun) /
                    MAX (run->full - run->begun, 1);

  json_object_array_add (row, json_object_new_string (run->task));
  json_object_array_add (row, json_object_new_int64 (run->run));
  json_object_array_add (row, json_object_new_string (""));
  json_object_array_add (row,
                         json_object_new_int64 (MIN (percent, FULL_PERCENT)));
  return row;
}

static json_object *
end_json (const End *e)
{
  json_object *row = json_object_new_array ();

  json_object_array_add (row, json_object_new_int64 (e->number));
  json_object_array_add (row, json_object_new_string (e->task));
  json_object_array_add (row, json_object_new_int64 (e->run));
  json_object_array_add (row, json_object_new_string (e->how));
  json_object_array_add (row, json_object_new_string (""));
  return row;
}

static void
reply_lists (const Runner *r, Exchange *x)
{
  json_object *o = runner_json (r);
  json_object *running = json_object_new_array ();
  json_object *ended = json_object_new_array ();
  guint i;

  for (i = 0; i < r->runs->len; i++)
    json_object_array_add (running, row_json (g_ptr_array_index (r->runs, i)));
  for (i = 0; i < r->ends->len; i++)
    json_object_array_add (ended, end_json (g_ptr_array_index (r->ends, i)));
  json_object_object_add (o, "running", running);
  json_object_object_add (o, "ended", ended);
  standin_reply (x, MHD_HTTP_OK, o);
}

static void
forget_ends (Runner *r, gint64 ack)
{
  while (r->ends->len)
    {
      const End *e = g_ptr_array_index (r->ends, 0);

      if (e->number > ack)
        return;
      print_run (r, server_now (), "ack", e->task, e->run, e->how);
      g_ptr_array_remove_index (r->ends, 0);
    }
}

static void
take_hold (Runner *r, Exchange *x, json_object *o, Findings *f)
{
  gint64 wait = json_int (o, "waitMs", 0, &json_range_duration, f);
  Waiter *w;

  forget_ends (r, json_int (o, "ackCursor", 0, &json_range_id, f));
  if (!wait || r->ends->len > 0)
    {
      reply_lists (r, x);
      return;
    }
  w = g_new (Waiter, 1);
  *w = (Waiter) { .x = x, .until = server_now () + wait };
  exchange_hang (x);
  g_ptr_array_add (r->waiters, w);
}

static void
refuse (const Runner *r, Exchange *x, const char *reason)
{
  json_object *o = runner_json (r);

  json_put_string (o, "reason", reason);
  standin_reply (x, MHD_HTTP_CONFLICT, o);
}

static void
take_start (Runner *r, Exchange *x, json_object *o, Findings *f)
{
  const char *reason = start_run (r, o, x->deferred, f);

  if (g_strcmp0 (reason, "late") != 0)
    renew (r, x, o, f);
  if (reason)
    refuse (r, x, reason);
  else
    standin_reply (x, MHD_HTTP_OK, runner_json (r));
}

static void
take_order (Runner *r, Exchange *x, json_object *o, Findings *f)
{
  gint64 fence = json_int (o, "fence", 0, &json_range_id, f);

  if (fence < r->fence)
    {
      refuse (r, x, "fence");
      return;
    }
  r->fence = fence;
  if (strcmp (x->path, "/api/hold") == 0)
    {
      renew (r, x, o, f);
      take_hold (r, x, o, f);
    }
  else if (strcmp (x->path, "/api/run-start") == 0)
    take_start (r, x, o, f);
  else
    {
      if (strcmp (x->path, "/api/run-stop") == 0)
        stop_run (r, o, f);
      standin_reply (x, MHD_HTTP_OK, runner_json (r));
    }
}

static gboolean
is_meant (const Runner *r, const Exchange *x)
{
  const char *expected = exchange_header (x, "Expect-Instance");

  return !expected || strcmp (expected, r->life.id) == 0;
}

/* Takes a request to RUNNER, a Runner. */
void
runner_on_request (Exchange *x, void *runner)
{
  static const char *const no_fields[] = { NULL };
  Runner *r = runner;
  Findings f;
  json_object *o;

  runner_look (r);
  findings_init (&f);
  o = standin_body (x, &f);
  if (strcmp (x->path, fault_path) == 0)
    faults_on_request (&r->faults, x, o, no_fields, &f);
  else if (!is_meant (r, x))
    standin_reply (x, MHD_HTTP_MISDIRECTED_REQUEST, runner_json (r));
  else if (!o)
    standin_reply (x, MHD_HTTP_BAD_REQUEST, json_object_new_object ());
  else if (!faults_strike (&r->faults, x))
    take_order (r, x, o, &f);
  if (o)
    json_object_put (o);
  findings_clear (&f);
}

/* Ends the lease once it is over, and what ran under it.  The runs ended when
   it did, even if this process stood still then. */
static void
end_lease (Runner *r)
{
  ClockMs at = shared_time (r, r->deadline);

  if (!r->deadline || r->deadline >= runner_clock (r))
    return;
  r->deadline = 0;
  print_at (r, at, "lapse");
  while (r->runs->len)
    {
      Run *run = g_ptr_array_index (r->runs, r->runs->len - 1);

      end_run (r, run, MAX (at, run->begun), "lapsed");
    }
}

static void
answer_waiters (Runner *r)
{
  guint i = r->waiters->len;

  while (i--)
    {
      const Waiter *w = g_ptr_array_index (r->waiters, i);

      if (server_now () < w->until && r->ends->len == 0)
        continue;
      reply_lists (r, w->x);
      g_ptr_array_remove_index (r->waiters, i);
    }
}

/* Does what is due on R: ends of the lease and of runs, replies. */
void
runner_look (Runner *r)
{
  guint i;

  end_lease (r);
  i = r->runs->len;
  while (i--)
    {
      Run *run = g_ptr_array_index (r->runs, i);

      if (run->ends <= server_now ())
        end_run (r, run, server_now (), run->how);
    }
  answer_waiters (r);
}

static void
run_free (gpointer data)
{
  Run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_free (gpointer data)
{
  End *e = data;

  g_free (e->task);
  g_free (e);
}

/* Returns a runner that begins LIFE, whose id stays the caller's. */
Runner *
runner_new (const RunnerLife *life)
{
  Runner *r = g_new0 (Runner, 1);

  r->life = *life;
  r->faults.where = life->id;
  r->runs = g_ptr_array_new_with_free_func (run_free);
  r->ends = g_ptr_array_new_with_free_func (end_free);
  r->waiters = g_ptr_array_new_with_free_func (g_free);
  r->over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

/* Returns the text of entry E; the caller frees it. */
char *
runner_entry_text (const RunnerEntry *e)
{
  char *left = e->draining
                   ? g_strdup_printf (",\"drainRemainingMs\":%" CLOCK_MS_FORMAT,
                                      e->drain_remaining)
                   : g_strdup ("");
  char *text = g_strdup_printf (
      "{\"service\":\"render\",\"address\":\"%s:%d\",\"zone\":\"%s\","
      "\"state\":\"%s\",\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":%d},"
      "\"labels\":[\"a\",\"r%d\"],\"born\":%" G_GINT64_FORMAT "%s}",
      e->address ? e->address : "127.0.0.1", e->port, e->shape.zone,
      e->draining ? "draining" : "ready", e->shape.cpu_milli, e->shape.mem_mb,
      e->shape.accelerators, e->shape.rack, e->born, left);

  g_free (left);
  return text;
}
