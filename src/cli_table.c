#include "cli.h"

#include "settings.h"
#include "sheet.h"
#include "table_event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The first line of a file that table edit writes: the revision that the
   edit starts from. */
static const char base_format[] = "# revision %" G_GINT64_FORMAT "\n";
static const char base_prefix[] = "# revision ";

/* Beside that file stands a copy of the table that the edit starts from, so
   that the edit can be merged with what others changed meanwhile. */
static const char base_suffix[] = ".base";

/* A table in a file, without its base line. */
typedef struct TableFile
{
  gint64 base; /* -1: the file does not name one */
  char *csv;
  char *base_csv; /* NULL without a copy */
} TableFile;

static int
print_findings (const Cli *cli, const Findings *findings)
{
  guint i;

  for (i = 0; i < findings_count (findings); i++)
    {
      const Finding *f = findings_at (findings, i);
      json_object *o;

      if (!cli->json)
        {
          printf ("%s: %s\n", f->place, f->text);
          continue;
        }
      o = json_object_new_object ();
      json_object_object_add (o, "place", json_object_new_string (f->place));
      json_object_object_add (o, "text", json_object_new_string (f->text));
      printf ("%s\n",
              json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
      json_object_put (o);
    }
  return findings_count (findings) ? CLI_REFUSED : CLI_OK;
}

/* Adds the workers of settings file NAME to WORKERS, whose strings stay
   with the settings. */
static Settings *
read_fleet (const char *name, GArray *workers, Findings *findings)
{
  Settings *s = settings_load (name, findings);
  const Config *cfg = (const Config *)s;
  guint i;

  for (i = 0; s && i < cfg->workers.n; i++)
    {
      const ConfigWorker *w = config_worker (cfg, i);
      SheetWorker worker = { .domain = w->domain,
                             .rack = w->rack,
                             .accelerators = w->accelerators };

      g_array_append_val (workers, worker);
    }
  return s;
}

static void
check_file (const char *name, const char *fleet, Findings *findings)
{
  GArray *workers = g_array_new (FALSE, FALSE, sizeof (SheetWorker));
  Settings *settings = NULL;
  GError *error = NULL;
  char *text = NULL;
  gsize n = 0;
  Sheet *sheet;

  if (fleet)
    settings = read_fleet (fleet, workers, findings);
  if (!g_file_get_contents (name, &text, &n, &error))
    {
      findings_add (findings, name, "%s", error->message);
      g_clear_error (&error);
    }
  else
    {
      sheet = sheet_parse (text, n, name, findings);
      if (sheet && settings)
        sheet_check_fleet (sheet, (const SheetWorker *)(void *)workers->data,
                           workers->len, name, findings);
      sheet_free (sheet);
    }
  g_free (text);
  settings_free (settings);
  g_array_unref (workers);
}

/* Checks a table file, and with --fleet that its guarantees fit. */
int
cli_table_check (Cli *cli, int argc, char **argv, GError **error)
{
  char *fleet = NULL;
  const GOptionEntry entries[] = {
    { "fleet", 0, 0, G_OPTION_ARG_FILENAME, &fleet,
      "check the guarantees against the workers in settings FILE", "FILE" },
    { NULL }
  };
  Findings findings;
  int code;

  if (!cli_options ("Checks a table file and prints every finding.", entries,
                    &argc, &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  findings_init (&findings);
  check_file (argv[1], fleet, &findings);
  code = print_findings (cli, &findings);
  findings_clear (&findings);
  g_free (fleet);
  return code;
}

/* Checks a host's settings file. */
int
cli_settings_check (Cli *cli, int argc, char **argv, GError **error)
{
  Findings findings;
  int code;

  if (!cli_options ("Checks a settings file and prints every finding.", NULL,
                    &argc, &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  findings_init (&findings);
  settings_free (settings_load (argv[1], &findings));
  code = print_findings (cli, &findings);
  findings_clear (&findings);
  return code;
}

/* Reads the table in force: its CSV text and *REVISION. */
static char *
fetch_table (Cli *cli, gint64 *revision, GError **error)
{
  CliAnswer answer = { 0 };
  json_object *o = NULL;
  json_object *v = NULL;
  char *csv = NULL;

  if (!cli_fetch_any (cli, "GET", "/v1/table", NULL, &answer, error))
    return NULL;
  o = json_tokener_parse (answer.body->str);
  if (answer.status != 200 || !json_object_object_get_ex (o, "revision", &v))
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                 "the host answers %ld: %s", answer.status, answer.body->str);
  else
    {
      *revision = json_object_get_int64 (v);
      csv = g_strdup (json_object_object_get_ex (o, "csv", &v)
                          ? json_object_get_string (v)
                          : "");
    }
  json_object_put (o);
  cli_answer_clear (&answer);
  return csv;
}

/* Shows the table in force, its revision and who has it. */
int
cli_table_show (Cli *cli, int argc, char **argv, GError **error)
{
  if (!cli_options ("Shows the table in force and who has it.", NULL, &argc,
                    &argv, error) ||
      !cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  return cli_show (cli, "/v1/table", error);
}

static void
read_base (const char *name, TableFile *file)
{
  char *path = g_strconcat (name, base_suffix, NULL);

  if (!g_file_get_contents (path, &file->base_csv, NULL, NULL))
    file->base_csv = NULL;
  g_free (path);
}

/* Reads a table file, and the copy beside it if it names a base. */
static gboolean
read_file (const char *name, TableFile *file, GError **error)
{
  char *text = NULL;
  char *rest;

  if (!g_file_get_contents (name, &text, NULL, error))
    return FALSE;
  file->base = -1;
  rest = text;
  if (g_str_has_prefix (text, base_prefix))
    {
      file->base = g_ascii_strtoll (text + strlen (base_prefix), NULL, 10);
      rest = strchr (text, '\n');
      rest = rest ? rest + 1 : text + strlen (text);
      read_base (name, file);
    }
  file->csv = g_strdup (rest);
  g_free (text);
  return TRUE;
}

static void
clear_file (TableFile *file)
{
  g_free (file->csv);
  g_free (file->base_csv);
}

static const char *
or_absent (const char *cell)
{
  return cell ? cell : "(absent)";
}

static int
print_changes (const GPtrArray *changes)
{
  guint i;

  for (i = 0; i < changes->len; i++)
    {
      const SheetChange *c = g_ptr_array_index (changes, i);

      printf ("workspace \"%s\", column \"%s\": %s -> %s\n", c->workspace,
              sheet_column_name (c->column), or_absent (c->before),
              or_absent (c->after));
    }
  return changes->len ? CLI_REFUSED : CLI_OK;
}

/* Shows each cell in which a file differs from the table in force. */
int
cli_table_diff (Cli *cli, int argc, char **argv, GError **error)
{
  TableFile file = { 0 };
  Findings findings;
  gint64 revision = 0;
  char *csv = NULL;
  int code = CLI_REFUSED;

  if (!cli_options ("Shows each cell in which FILE differs from the table in "
                    "force; exit code 1 when there is one.",
                    NULL, &argc, &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  findings_init (&findings);
  if (read_file (argv[1], &file, error) &&
      (csv = fetch_table (cli, &revision, error)))
    {
      Sheet *before = sheet_parse (csv, strlen (csv), "in force", &findings);
      Sheet *after =
          sheet_parse (file.csv, strlen (file.csv), argv[1], &findings);

      code = print_findings (cli, &findings);
      if (before && after)
        {
          GPtrArray *changes = sheet_diff (before, after);

          code = print_changes (changes);
          g_ptr_array_unref (changes);
        }
      sheet_free (before);
      sheet_free (after);
    }
  findings_clear (&findings);
  clear_file (&file);
  g_free (csv);
  return code;
}

/* A new edit's id: it settles whether an edit whose answer was lost took
   effect. */
static char *
new_edit_id (void)
{
  return g_strdup_printf ("%08x%08x%08x", g_random_int (), g_random_int (),
                          g_random_int ());
}

static char *
edit_body (const TableFile *file)
{
  json_object *o = json_object_new_object ();
  char *id = new_edit_id ();
  char *text;

  json_object_object_add (o, "edit_id", json_object_new_string (id));
  json_object_object_add (o, "base_revision",
                          json_object_new_int64 (file->base));
  json_object_object_add (o, "csv", json_object_new_string (file->csv));
  if (file->base_csv && *file->base_csv)
    json_object_object_add (o, "base", json_object_new_string (file->base_csv));
  text = g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  g_free (id);
  return text;
}

/* A file that names no base replaces the table in force, whatever it is. */
static gboolean
find_base (Cli *cli, TableFile *file, GError **error)
{
  if (file->base >= 0)
    return TRUE;
  file->base_csv = fetch_table (cli, &file->base, error);
  return file->base_csv != NULL;
}

/* Puts a table file in force.  A file that table edit wrote is merged with
   what others changed meanwhile; any other replaces the table. */
int
cli_table_apply (Cli *cli, int argc, char **argv, GError **error)
{
  TableFile file = { 0 };
  CliAnswer answer = { 0 };
  char *body;
  int code = CLI_REFUSED;

  if (!cli_options ("Puts FILE in force on every host.", NULL, &argc, &argv,
                    error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  if (read_file (argv[1], &file, error) && find_base (cli, &file, error))
    {
      body = edit_body (&file);
      if (cli_fetch_any (cli, "POST", "/v1/table", body, &answer, error))
        code = cli_print (cli, &answer);
      cli_answer_clear (&answer);
      g_free (body);
    }
  clear_file (&file);
  return code;
}

static gboolean
write_edit (const char *name, gint64 revision, const char *csv, GError **error)
{
  char *base = g_strdup_printf (base_format, revision);
  char *text = g_strconcat (base, csv, NULL);
  char *copy = g_strconcat (name, base_suffix, NULL);
  gboolean ok = g_file_set_contents (copy, csv, -1, error) &&
                g_file_set_contents (name, text, -1, error);

  g_free (copy);
  g_free (text);
  g_free (base);
  return ok;
}

/* Writes the table in force to a file, for the operator to edit and then to
   apply.  No editor is started: a process starts no other. */
int
cli_table_edit (Cli *cli, int argc, char **argv, GError **error)
{
  gint64 revision = 0;
  char *csv;
  int code = CLI_REFUSED;

  if (!cli_options ("Writes the table in force to FILE; edit it, then run "
                    "table apply FILE.",
                    NULL, &argc, &argv, error) ||
      !cli_arguments (argc, argv, 1, error))
    return CLI_USAGE;
  csv = fetch_table (cli, &revision, error);
  if (csv && write_edit (argv[1], revision, csv, error))
    {
      printf ("%s holds revision %" G_GINT64_FORMAT
              "; edit it, then: wagtailpass table apply %s\n",
              argv[1], revision, argv[1]);
      code = CLI_OK;
    }
  g_free (csv);
  return code;
}
