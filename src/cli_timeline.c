#include "cli.h"

#include "input.h"
#include "lanes.h"
#include "timeline.h"

#include <stdio.h>
#include <string.h>

static const gulong follow_us = 500000;

/* The options of timeline. */
typedef struct TimelineOptions
{
  TimelineFilter filter;
  char *picture;
  gboolean follow;
} TimelineOptions;

/* Fetches every host's entries into ENTRIES; a host that does not answer is
   named on standard error.  Returns the number of hosts that answered. */
static int
fetch_entries (Cli *cli, GPtrArray *entries, gboolean say)
{
  Findings findings;
  int reached = 0;
  int i;

  findings_init (&findings);
  for (i = 0; cli->operators[i]; i++)
    {
      CliAnswer answer = { 0 };
      GError *error = NULL;

      if (cli_fetch (cli, "GET", cli->operators[i], "/timeline", NULL, &answer,
                     &error))
        {
          timeline_read (entries, answer.body->str, cli->operators[i],
                         &findings);
          reached++;
        }
      else if (say)
        fprintf (stderr, "timeline: not reached: %s\n", error->message);
      g_clear_error (&error);
      cli_answer_clear (&answer);
    }
  input_report (&findings, stderr);
  findings_clear (&findings);
  timeline_merge (entries);
  return reached;
}

static void
print_entry (const Cli *cli, const TimelineEntry *e)
{
  char *text = cli->json ? rec_to_json (timeline_entry_desc (), e)
                         : timeline_entry_text (e);

  printf ("%s\n", text);
  g_free (text);
}

/* Tells whether E has been printed before, and marks it as printed. */
static gboolean
is_new (GHashTable *seen, const TimelineEntry *e)
{
  char *key = g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
                               e->host, e->ms, e->sequence);

  return g_hash_table_add (seen, key);
}

static gboolean
write_picture (const TimelineOptions *o, GPtrArray *entries, GError **error)
{
  GPtrArray *shown = g_ptr_array_new ();
  char *svg;
  gboolean ok;
  guint i;

  for (i = 0; i < entries->len; i++)
    if (timeline_matches (g_ptr_array_index (entries, i), &o->filter))
      g_ptr_array_add (shown, g_ptr_array_index (entries, i));
  svg = lanes_svg (shown);
  ok = g_file_set_contents (o->picture, svg, -1, error);
  g_free (svg);
  g_ptr_array_unref (shown);
  return ok;
}

static int
show_once (Cli *cli,
           const TimelineOptions *o,
           GHashTable *seen,
           gboolean say,
           GError **error)
{
  GPtrArray *entries = timeline_entries_new ();
  int reached = fetch_entries (cli, entries, say);
  gboolean ok = TRUE;
  guint i;

  for (i = 0; i < entries->len; i++)
    {
      const TimelineEntry *e = g_ptr_array_index (entries, i);

      if (timeline_matches (e, &o->filter) && is_new (seen, e))
        print_entry (cli, e);
    }
  fflush (stdout);
  if (o->picture)
    ok = write_picture (o, entries, error);
  g_ptr_array_unref (entries);
  return reached && ok ? CLI_OK : CLI_REFUSED;
}

/* Merges the time lines of all hosts into one causal order. */
int
cli_timeline (Cli *cli, int argc, char **argv, GError **error)
{
  TimelineOptions o = { .filter = { .until = 0 } };
  TimelineFilter *f = &o.filter;
  const GOptionEntry entries[] = {
    { "request", 0, 0, G_OPTION_ARG_STRING, (void *)&f->request,
      "only of request ID", "ID" },
    { "job", 0, 0, G_OPTION_ARG_STRING, (void *)&f->job, "only of job ID",
      "ID" },
    { "of", 0, 0, G_OPTION_ARG_STRING, (void *)&f->workspace,
      "only of workspace NAME", "NAME" },
    { "upstream", 0, 0, G_OPTION_ARG_STRING, (void *)&f->upstream,
      "only of upstream NAME", "NAME" },
    { "host", 0, 0, G_OPTION_ARG_STRING, (void *)&f->host,
      "only what host NAME noted", "NAME" },
    { "since", 0, 0, G_OPTION_ARG_INT64, &f->since, "from MS of the epoch on",
      "MS" },
    { "until", 0, 0, G_OPTION_ARG_INT64, &f->until, "up to MS of the epoch",
      "MS" },
    { "follow", 'f', 0, G_OPTION_ARG_NONE, &o.follow, "go on with what comes",
      NULL },
    { "svg", 0, 0, G_OPTION_ARG_FILENAME, &o.picture,
      "also draw it into FILE, a lane a process", "FILE" },
    { NULL }
  };
  GHashTable *seen;
  int code;

  if (!cli_options ("Shows the events of all hosts in causal order.", entries,
                    &argc, &argv, error) ||
      !cli_arguments (argc, argv, 0, error))
    return CLI_USAGE;
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  code = show_once (cli, &o, seen, TRUE, error);
  while (o.follow && code == CLI_OK)
    {
      g_usleep (follow_us);
      code = show_once (cli, &o, seen, FALSE, error);
    }
  g_hash_table_unref (seen);
  return code;
}
