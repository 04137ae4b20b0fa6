#include "cli.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

static const long fetch_timeout_ms = 30000;
static const long connect_timeout_ms = 2000;
static const int max_column = 40;

/* Parses ENTRIES from *ARGV, leaving the other arguments.  SUMMARY says what
   the sub-command does. */
gboolean
cli_options (const char *summary,
             const GOptionEntry *entries,
             int *argc,
             char ***argv,
             GError **error)
{
  GOptionContext *context = g_option_context_new (NULL);
  gboolean ok;

  g_option_context_set_summary (context, summary);
  if (entries)
    g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  return ok;
}

/* Checks that N words follow the sub-command's name. */
gboolean
cli_arguments (int argc, char **argv, int n, GError **error)
{
  if (argc == n + 1)
    return TRUE;
  if (argc > n + 1)
    g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                 "unexpected word \"%s\"", argv[n + 1]);
  else
    g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                 "%s takes %d more word%s", argv[0], n + 1 - argc,
                 n + 1 - argc == 1 ? "" : "s");
  return FALSE;
}

static size_t
collect (char *data, size_t size, size_t n, void *user)
{
  g_string_append_len (user, data, (gssize)(size * n));
  return size * n;
}

static struct curl_slist *
request_headers (const Cli *cli)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  char *line;

  if (cli->workspace)
    {
      line = g_strdup_printf ("X-Workspace: %s", cli->workspace);
      list = curl_slist_append (list, line);
      g_free (line);
    }
  if (cli->token)
    {
      line = g_strdup_printf ("Authorization: Bearer %s", cli->token);
      list = curl_slist_append (list, line);
      g_free (line);
    }
  return list;
}

/* Sends METHOD for PATH, with BODY unless NULL, to PLACE (ADDRESS:PORT) and
   fills in ANSWER, which the caller clears.  Returns FALSE and sets ERROR
   when no whole answer came. */
gboolean
cli_fetch (Cli *cli,
           const char *method,
           const char *place,
           const char *path,
           const char *body,
           CliAnswer *answer,
           GError **error)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = request_headers (cli);
  char *url = g_strdup_printf ("http://%s%s", place, path);
  CURLcode result;

  answer->body = g_string_new ("");
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer->body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, fetch_timeout_ms);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  result = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer->status);
  if (result != CURLE_OK)
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: %s", place,
                 curl_easy_strerror (result));
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  g_free (url);
  return result == CURLE_OK;
}

/* Sends to the first of the operators' interfaces that answers. */
gboolean
cli_fetch_any (Cli *cli,
               const char *method,
               const char *path,
               const char *body,
               CliAnswer *answer,
               GError **error)
{
  int i;

  for (i = 0; cli->operators[i]; i++)
    {
      g_clear_error (error);
      if (cli_fetch (cli, method, cli->operators[i], path, body, answer, error))
        return TRUE;
      cli_answer_clear (answer);
    }
  return FALSE;
}

/* Releases what ANSWER holds. */
void
cli_answer_clear (CliAnswer *answer)
{
  if (answer->body)
    g_string_free (answer->body, TRUE);
  answer->body = NULL;
}

static const char *
scalar_text (json_object *v)
{
  if (!v)
    return "-";
  return json_object_get_string (v);
}

/* Tells whether V is a list of objects, which is shown as a table. */
static gboolean
is_rows (json_object *v)
{
  return json_object_is_type (v, json_type_array) &&
         json_object_array_length (v) > 0 &&
         json_object_is_type (json_object_array_get_idx (v, 0),
                              json_type_object);
}

static int
column_width (json_object *rows, const char *key)
{
  int width = (int)strlen (key);
  size_t i;

  for (i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *cell = NULL;

      json_object_object_get_ex (json_object_array_get_idx (rows, i), key,
                                 &cell);
      width = MAX (width, (int)strlen (scalar_text (cell)));
    }
  return MIN (width, max_column);
}

static void
print_rows (json_object *rows, int indent)
{
  json_object *first = json_object_array_get_idx (rows, 0);
  size_t i;

  printf ("%*s", indent, "");
  json_object_object_foreach (first, heading, unused)
  {
    (void)unused;
    printf ("%-*s  ", column_width (rows, heading), heading);
  }
  printf ("\n");
  for (i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);

      printf ("%*s", indent, "");
      json_object_object_foreach (first, key, ignored)
      {
        json_object *cell = NULL;

        (void)ignored;
        json_object_object_get_ex (row, key, &cell);
        printf ("%-*s  ", column_width (rows, key), scalar_text (cell));
      }
      printf ("\n");
    }
}

/* Prints O for a reader: "key: value" lines, lists of objects as tables. */
void
cli_print_object (json_object *o, int indent)
{
  json_object_object_foreach (o, key, v)
  {
    if (is_rows (v))
      {
        printf ("%*s%s:\n", indent, "", key);
        print_rows (v, indent + 2);
      }
    else if (json_object_is_type (v, json_type_object))
      {
        printf ("%*s%s:\n", indent, "", key);
        cli_print_object (v, indent + 2);
      }
    else
      printf ("%*s%s: %s\n", indent, "", key, scalar_text (v));
  }
}

/* Prints ANSWER as it came for --json, else for a reader.  Returns the exit
   code that its status asks for. */
int
cli_print (const Cli *cli, const CliAnswer *answer)
{
  json_object *o = json_tokener_parse (answer->body->str);

  if (cli->json || !o)
    printf ("%s%s", answer->body->str,
            g_str_has_suffix (answer->body->str, "\n") ? "" : "\n");
  else if (json_object_is_type (o, json_type_object))
    cli_print_object (o, 0);
  else if (is_rows (o))
    print_rows (o, 0);
  else
    printf ("%s\n", scalar_text (o));
  json_object_put (o);
  return answer->status >= 200 && answer->status < 300 ? CLI_OK : CLI_REFUSED;
}

/* Fetches PATH from the first of the operators' interfaces that answers, and
   prints it.  Returns the exit code. */
int
cli_show (Cli *cli, const char *path, GError **error)
{
  CliAnswer answer = { 0 };
  int code = CLI_REFUSED;

  if (cli_fetch_any (cli, "GET", path, NULL, &answer, error))
    code = cli_print (cli, &answer);
  cli_answer_clear (&answer);
  return code;
}
