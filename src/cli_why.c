#include "cli.h"

#include "why.h"

#include <stdio.h>
#include <string.h>

enum
{
  LEAST_WORDS = 3 /* the command, an id and a file */
};

/* Reads PATH, or standard input for "-", into WHY. */
static gboolean
read_log (Why *why, const char *path, GError **error)
{
  const char *name = strcmp (path, "-") == 0 ? "/dev/stdin" : path;
  char *text;

  if (!g_file_get_contents (name, &text, NULL, error))
    return FALSE;
  why_read (why, text);
  g_free (text);
  return TRUE;
}

/* Prints the life of a job from the log files of its hosts; CLI_REFUSED says
   that no line names it. */
int
cli_why (Cli *cli, int argc, char **argv, GError **error)
{
  Why *why;
  char *report;
  guint n;
  int i;

  (void)cli;
  if (!cli_options ("Shows the life of a job from the log files of all hosts; "
                    "- reads standard input.",
                    NULL, &argc, &argv, error) ||
      (argc < LEAST_WORDS && !cli_arguments (argc, argv, 2, error)))
    return CLI_USAGE;
  why = why_new (argv[1]);
  for (i = 2; i < argc; i++)
    if (!read_log (why, argv[i], error))
      {
        why_free (why);
        return CLI_USAGE;
      }
  report = why_report (why);
  n = why_n_lines (why);
  fputs (report, stdout);
  g_free (report);
  why_free (why);
  return n > 0 ? CLI_OK : CLI_REFUSED;
}
