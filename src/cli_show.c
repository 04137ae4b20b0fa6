#include "cli.h"

#include "input.h"
#include "replay.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char clear_screen[] = "\033[H\033[2J";

/* Shows the hosts as one of them sees them. */
int
cli_hosts (Cli *cli, int argc, char **argv, GError **error)
{
  if (!cli_options ("Shows the hosts and what is known of each.", NULL, &argc,
                    &argv, error) ||
      !cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  return cli_show (cli, "/v1/hosts", error);
}

/* Tells whether ANSWER reports an id that is unknown to its host. */
static gboolean
is_unknown_id (const CliAnswer *answer)
{
  return answer->status == 404;
}

/* Shows why a job or a request waits, or how it ended: the answer of the
   first host that knows it. */
int
cli_explain (Cli *cli, int argc, char **argv, GError **error)
{
  char *escaped;
  char *path;
  int code = CLI_REFUSED;
  int i;

  if (!cli_options ("Explains why a job or a request waits or ended.", NULL,
                    &argc, &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  escaped = g_uri_escape_string (argv[1], NULL, FALSE);
  path = g_strdup_printf ("/v1/explain/%s", escaped);
  for (i = 0; cli->operators[i] && code != CLI_OK; i++)
    {
      CliAnswer answer = { 0 };
      gboolean last = cli->operators[i + 1] == NULL;

      g_clear_error (error);
      if (cli_fetch (cli, "GET", cli->operators[i], path, NULL, &answer,
                     error) &&
          (last || !is_unknown_id (&answer)))
        code = cli_print (cli, &answer);
      cli_answer_clear (&answer);
    }
  g_free (path);
  g_free (escaped);
  return code;
}

/* Shows the state of the system again and again. */
int
cli_top (Cli *cli, int argc, char **argv, GError **error)
{
  int times = 0;
  int every_ms = 1000;
  const GOptionEntry entries[] = { { "times", 'n', 0, G_OPTION_ARG_INT, &times,
                                     "end after N times (0: go on)", "N" },
                                   { "every-ms", 0, 0, G_OPTION_ARG_INT,
                                     &every_ms,
                                     "wait MS between two times (1000)", "MS" },
                                   { NULL } };
  int code = CLI_OK;
  int i;

  if (!cli_options ("Shows the state of the system, redrawn.", entries, &argc,
                    &argv, error) ||
      !cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  for (i = 0; code == CLI_OK && (times == 0 || i < times); i++)
    {
      if (i > 0)
        g_usleep ((gulong)MAX (every_ms, 1) * 1000);
      if (isatty (STDOUT_FILENO))
        fputs (clear_screen, stdout);
      code = cli_show (cli, "/v1/hosts", error);
      if (code == CLI_OK)
        code = cli_show (cli, "/v1/status", error);
      fflush (stdout);
    }
  return code;
}

/* Compares the outcomes of R with the text in file NAME, line by line, and
   prints the first difference. */
static int
expect (const Replay *r, const char *name, GError **error)
{
  char *wanted = NULL;
  char **a;
  char **b;
  int code = CLI_OK;
  guint i;

  if (!g_file_get_contents (name, &wanted, NULL, error))
    return CLI_REFUSED;
  a = g_strsplit (wanted, "\n", -1);
  b = g_strsplit (replay_outcomes (r), "\n", -1);
  for (i = 0; code == CLI_OK && (a[i] || b[i]); i++)
    {
      if (g_strcmp0 (a[i], b[i]) != 0)
        {
          printf ("%s:%u: expected \"%s\", the replay gave \"%s\"\n", name,
                  i + 1, a[i] ? a[i] : "no more lines",
                  b[i] ? b[i] : "no more lines");
          code = CLI_REFUSED;
        }
      if (!a[i] || !b[i])
        break;
    }
  g_strfreev (a);
  g_strfreev (b);
  g_free (wanted);
  return code;
}

static int
print_replay (const Cli *cli, const Replay *r)
{
  if (!cli->json)
    {
      printf ("%s%u events, digest %016" G_GINT64_MODIFIER "x\n",
              replay_outcomes (r), replay_events (r), replay_digest (r));
      return CLI_OK;
    }
  printf ("{\"events\":%u,\"digest\":\"%016" G_GINT64_MODIFIER "x\"}\n",
          replay_events (r), replay_digest (r));
  return CLI_OK;
}

/* Replays a trace; prints its outcomes and the digest of the effects. */
int
cli_replay (Cli *cli, int argc, char **argv, GError **error)
{
  char *wanted = NULL;
  const GOptionEntry entries[] = { { "expect", 0, 0, G_OPTION_ARG_FILENAME,
                                     &wanted, "compare the outcomes with FILE",
                                     "FILE" },
                                   { NULL } };
  Findings findings;
  Replay *r;
  char *text = NULL;
  int code;

  if (!cli_options ("Replays a recorded trace.", entries, &argc, &argv,
                    error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  if (!g_file_get_contents (argv[1], &text, NULL, error))
    return CLI_REFUSED;
  findings_init (&findings);
  r = replay_new ();
  if (!replay_text (r, text, argv[1], &findings))
    {
      input_report (&findings, stdout);
      code = CLI_REFUSED;
    }
  else
    code = wanted ? expect (r, wanted, error) : print_replay (cli, r);
  replay_free (r);
  findings_clear (&findings);
  g_free (text);
  g_free (wanted);
  return code;
}
