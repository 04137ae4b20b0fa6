#include "cli.h"

#include "outcome.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const gulong poll_us = 300000;
static const char default_callers[] = "127.0.0.1:7000";

/* The options of submit. */
typedef struct Submit
{
  char *kind;
  char *work_class;
  char *key;
  int parts;
  int accelerators;
  int cores;
  int memory_mb;
  int run_ms;
  gboolean checkpointable;
  gboolean once;
  gboolean wait;
} Submit;

static const char *
callers (const Cli *cli)
{
  return cli->callers ? cli->callers : default_callers;
}

static char *
job_body (const Submit *s)
{
  json_object *o = json_object_new_object ();
  char *text;

  json_object_object_add (o, "work_kind",
                          json_object_new_string (s->kind ? s->kind : ""));
  json_object_object_add (o, "work_class",
                          json_object_new_string (s->work_class ? s->work_class
                                                                : "normal"));
  json_object_object_add (o, "parts", json_object_new_int (s->parts));
  json_object_object_add (o, "accelerators",
                          json_object_new_int (s->accelerators));
  json_object_object_add (o, "cores", json_object_new_int (s->cores));
  json_object_object_add (o, "memory_mb", json_object_new_int (s->memory_mb));
  json_object_object_add (o, "run_ms", json_object_new_int (s->run_ms));
  json_object_object_add (o, "checkpointable",
                          json_object_new_int (s->checkpointable ? 1 : 0));
  json_object_object_add (o, "repeatable",
                          json_object_new_int (s->once ? 0 : 1));
  if (s->key)
    json_object_object_add (o, "key", json_object_new_string (s->key));
  text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}

static char *
member_text (const CliAnswer *answer, const char *key)
{
  json_object *o = json_tokener_parse (answer->body->str);
  json_object *v = NULL;
  char *text = NULL;

  if (json_object_is_type (o, json_type_object) &&
      json_object_object_get_ex (o, key, &v))
    text = g_strdup (json_object_get_string (v));
  json_object_put (o);
  return text;
}

static gboolean
has_ended (const char *state)
{
  static const char *const ended[] = { "done", "failed", "cancelled", "unknown",
                                       NULL };

  return state && g_strv_contains (ended, state);
}

/* Asks after job ID until it has ended; shows each new state on a
   terminal. */
static int
wait_for_job (Cli *cli, const char *id, GError **error)
{
  char *path = g_strdup_printf ("/v1/jobs/%s", id);
  char *last = NULL;
  int code = -1;

  while (code < 0)
    {
      CliAnswer answer = { 0 };
      char *state;

      if (!cli_fetch (cli, "GET", callers (cli), path, NULL, &answer, error))
        {
          code = CLI_REFUSED;
          cli_answer_clear (&answer);
          break;
        }
      state = member_text (&answer, "state");
      if (isatty (STDERR_FILENO) && g_strcmp0 (state, last) != 0)
        fprintf (stderr, "%s: %s\n", id, state ? state : "not known");
      if (answer.status != 200 || has_ended (state))
        code = cli_print (cli, &answer);
      if (has_ended (state) && strcmp (state, "done") != 0)
        code = CLI_REFUSED;
      g_free (last);
      last = state;
      cli_answer_clear (&answer);
      if (code < 0)
        g_usleep (poll_us);
    }
  g_free (last);
  g_free (path);
  return code;
}

/* Submits a gang job, and with --wait stays until it has ended. */
int
cli_submit (Cli *cli, int argc, char **argv, GError **error)
{
  Submit s = { .parts = 1, .accelerators = 1, .run_ms = 60000 };
  const GOptionEntry entries[] = {
    { "kind", 0, 0, G_OPTION_ARG_STRING, &s.kind, "kind of work", "KIND" },
    { "class", 0, 0, G_OPTION_ARG_STRING, &s.work_class,
      "interactive, normal or batch (normal)", "CLASS" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &s.key,
      "idempotency key: the same key is the same job", "KEY" },
    { "parts", 0, 0, G_OPTION_ARG_INT, &s.parts, "parts that run together (1)",
      "N" },
    { "accelerators", 0, 0, G_OPTION_ARG_INT, &s.accelerators,
      "adjacent accelerators a part (1)", "N" },
    { "cores", 0, 0, G_OPTION_ARG_INT, &s.cores, "cores a part", "N" },
    { "memory-mb", 0, 0, G_OPTION_ARG_INT, &s.memory_mb, "memory a part",
      "MB" },
    { "run-ms", 0, 0, G_OPTION_ARG_INT, &s.run_ms, "declared run time (60000)",
      "MS" },
    { "checkpointable", 0, 0, G_OPTION_ARG_NONE, &s.checkpointable,
      "can be stopped and resumed", NULL },
    { "once", 0, 0, G_OPTION_ARG_NONE, &s.once, "must not run twice", NULL },
    { "wait", 0, 0, G_OPTION_ARG_NONE, &s.wait, "stay until it has ended",
      NULL },
    { NULL }
  };
  CliAnswer answer = { 0 };
  char *body;
  char *id = NULL;
  int code = CLI_REFUSED;

  if (!cli_options ("Submits a gang job.", entries, &argc, &argv, error) ||
      !cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  body = job_body (&s);
  if (cli_fetch (cli, "POST", callers (cli), "/v1/jobs", body, &answer, error))
    {
      id = member_text (&answer, "id");
      if (s.wait && answer.status < 300 && id)
        code = wait_for_job (cli, id, error);
      else
        code = cli_print (cli, &answer);
    }
  cli_answer_clear (&answer);
  g_free (id);
  g_free (body);
  return code;
}

static int
job_call (Cli *cli, const char *method, const char *id, GError **error)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/jobs/%s", escaped);
  CliAnswer answer = { 0 };
  int code = CLI_REFUSED;

  if (cli_fetch (cli, method, callers (cli), path, NULL, &answer, error))
    code = cli_print (cli, &answer);
  cli_answer_clear (&answer);
  g_free (path);
  g_free (escaped);
  return code;
}

/* Shows a job, or without an id the state of the system. */
int
cli_status (Cli *cli, int argc, char **argv, GError **error)
{
  if (!cli_options ("Shows a job, or the state of the system.", NULL, &argc,
                    &argv, error))
    return CLI_USAGE;
  if (argc == 2)
    return job_call (cli, "GET", argv[1], error);
  if (!cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  return cli_show (cli, "/v1/status", error);
}

/* Cancels a job. */
int
cli_cancel (Cli *cli, int argc, char **argv, GError **error)
{
  if (!cli_options ("Cancels a job; a second time does no harm.", NULL, &argc,
                    &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  return job_call (cli, "DELETE", argv[1], error);
}
