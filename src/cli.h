#ifndef CLI_H
#define CLI_H

#include <glib.h>
#include <json-c/json.h>

/* What the sub-commands of the command line share. */

enum
{
  CLI_OK = 0,
  CLI_REFUSED = 1, /* a finding, a refusal, or a host that can't be reached */
  CLI_USAGE = 2
};

/* The options that every sub-command takes. */
typedef struct Cli
{
  char **operators; /* ADDRESS:PORT of the hosts' operators' interfaces */
  char *callers;    /* ADDRESS:PORT of one callers' interface */
  char *workspace;
  char *token;
  gboolean json;
} Cli;

/* A sub-command; ARGV[0] is its name.  Returns one of the CLI_ codes. */
typedef int (*CliFunc) (Cli *cli, int argc, char **argv, GError **error);

/* X (function, words, arguments, help) */
#define CLI_COMMANDS(X)                                                        \
  X (cli_table_check, "table check", "FILE", "check a table without a host")   \
  X (cli_table_show, "table show", "",                                         \
     "the table in force, its revision and who has it")                        \
  X (cli_table_diff, "table diff", "FILE",                                     \
     "how a file differs from the table in force")                             \
  X (cli_table_apply, "table apply", "FILE", "put a file in force")            \
  X (cli_table_edit, "table edit", "FILE",                                     \
     "write the table in force to a file, to be edited and applied")           \
  X (cli_settings_check, "settings check", "FILE",                             \
     "check a host's settings file")                                           \
  X (cli_submit, "submit", "", "submit a gang job")                            \
  X (cli_status, "status", "[ID]", "a job, or the state of the system")        \
  X (cli_cancel, "cancel", "ID", "cancel a job")                               \
  X (cli_hosts, "hosts", "", "the hosts and what is known of each")            \
  X (cli_explain, "explain", "ID", "why a job or a request waits or ended")    \
  X (cli_top, "top", "", "the state of the system, redrawn")                   \
  X (cli_why, "why", "ID FILE...", "a job's life from the hosts' log files")   \
  X (cli_timeline, "timeline", "", "events of all hosts in causal order")      \
  X (cli_replay, "replay", "TRACE", "replay a recorded trace")

#define CLI_DECLARE(function, words, arguments, help)                          \
  int function (Cli *cli, int argc, char **argv, GError **error);
CLI_COMMANDS (CLI_DECLARE)

/* An answer of a host. */
typedef struct CliAnswer
{
  long status;
  GString *body;
} CliAnswer;

gboolean cli_options (const char *summary,
                      const GOptionEntry *entries,
                      int *argc,
                      char ***argv,
                      GError **error);
gboolean cli_arguments (int argc, char **argv, int n, GError **error);
gboolean cli_fetch (Cli *cli,
                    const char *method,
                    const char *place,
                    const char *path,
                    const char *body,
                    CliAnswer *answer,
                    GError **error);
gboolean cli_fetch_any (Cli *cli,
                        const char *method,
                        const char *path,
                        const char *body,
                        CliAnswer *answer,
                        GError **error);
void cli_answer_clear (CliAnswer *answer);
int cli_show (Cli *cli, const char *path, GError **error);
int cli_print (const Cli *cli, const CliAnswer *answer);
void cli_print_object (json_object *o, int indent);

#endif
