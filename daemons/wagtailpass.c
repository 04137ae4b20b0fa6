#include "cli.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

typedef struct CliCommand
{
  CliFunc run;
  const char *words;
  const char *arguments;
  const char *help;
} CliCommand;

#define CLI_ENTRY(function, words, arguments, help)                            \
  { function, words, arguments, help },
static const CliCommand commands[] = { CLI_COMMANDS (CLI_ENTRY) };

static const char default_operators[] = "127.0.0.1:7001";

static char *
command_list (void)
{
  GString *s = g_string_new ("Commands:\n");
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      char *usage =
          g_strdup_printf ("%s %s", commands[i].words, commands[i].arguments);

      g_string_append_printf (s, "  %-22s %s\n", usage, commands[i].help);
      g_free (usage);
    }
  g_string_append (s, "\nEach command has its own --help.");
  return g_string_free (s, FALSE);
}

/* Parses the options that precede the command. */
static gboolean
read_options (Cli *cli, int *argc, char ***argv, GError **error)
{
  char *operators = NULL;
  const GOptionEntry entries[] = {
    { "operators", 'o', 0, G_OPTION_ARG_STRING, &operators,
      "operators' interfaces of the hosts; the first one that answers is "
      "used (default: 127.0.0.1:7001)",
      "ADDRESS:PORT,..." },
    { "callers", 'c', 0, G_OPTION_ARG_STRING, &cli->callers,
      "callers' interface (default: 127.0.0.1:7000)", "ADDRESS:PORT" },
    { "workspace", 'w', 0, G_OPTION_ARG_STRING, &cli->workspace,
      "act for workspace NAME", "NAME" },
    { "token", 't', 0, G_OPTION_ARG_STRING, &cli->token,
      "the workspace's bearer token", "TOKEN" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &cli->json,
      "print JSON instead of text", NULL },
    { NULL }
  };
  GOptionContext *context = g_option_context_new ("COMMAND ...");
  char *list = command_list ();
  gboolean ok;

  g_option_context_set_strict_posix (context, TRUE);
  g_option_context_set_description (context, list);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, error);
  cli->operators =
      g_strsplit (operators ? operators : default_operators, ",", -1);
  g_option_context_free (context);
  g_free (operators);
  g_free (list);
  return ok;
}

/* Returns the number of words of COMMAND's name if ARGV begins with all of
   them, else 0. */
static int
count_matching_words (const CliCommand *command, int argc, char **argv)
{
  char **words = g_strsplit (command->words, " ", -1);
  int n = 0;

  while (n < argc && words[n] && strcmp (words[n], argv[n]) == 0)
    n++;
  if (words[n])
    n = 0;
  g_strfreev (words);
  return n;
}

static int
run (Cli *cli, int argc, char **argv, GError **error)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      int n = count_matching_words (&commands[i], argc, argv);

      if (n > 0)
        return commands[i].run (cli, argc - n + 1, argv + n - 1, error);
    }
  g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
               argc ? "there is no command \"%s\"" : "a command is missing%s",
               argc ? argv[0] : "");
  return CLI_USAGE;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  Cli cli = { 0 };
  int code = CLI_USAGE;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (read_options (&cli, &argc, &argv, &error))
    code = run (&cli, argc - 1, argv + 1, &error);
  if (error)
    {
      fprintf (stderr, "wagtailpass: %s\n", error->message);
      if (code == CLI_OK)
        code = CLI_REFUSED;
      g_error_free (error);
    }
  g_strfreev (cli.operators);
  g_free (cli.callers);
  g_free (cli.workspace);
  g_free (cli.token);
  return code;
}
