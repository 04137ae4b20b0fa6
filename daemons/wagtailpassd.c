#include "input.h"
#include "io.h"
#include "memory.h"

#include <apr_signal.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

/* The process of one entry host: reads the settings, then serves until SIGTERM
   or SIGINT. */

enum
{
  EXIT_ERROR = 1,
  EXIT_USAGE = 2
};

typedef struct Options
{
  char *settings_file;
  char *trace_file;
  gboolean check_only;
} Options;

/* The signal handler writes to it and the event loop reads from it. */
static int signal_pipe[2];

static gboolean
parse_options (int argc, char **argv, Options *o)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings_file,
      "Settings, in JSON with comments", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &o->check_only,
      "Check the settings, print all findings and exit", NULL },
    { "trace", 0, 0, G_OPTION_ARG_FILENAME, &o->trace_file,
      "Write each input event of the core to FILE as a line of JSON", "FILE" },
    { 0 }
  };
  GOptionContext *context =
      g_option_context_new ("- entry host of wagtailpass");
  GError *error = NULL;
  gboolean ok;

  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (ok && o->settings_file && argc == 1)
    return TRUE;
  fprintf (stderr, "wagtailpassd: %s\n",
           error ? error->message
                 : "requires --settings FILE and takes no arguments");
  g_clear_error (&error);
  return FALSE;
}

static Settings *
read_settings (const char *file)
{
  Findings findings;
  Settings *s;

  findings_init (&findings);
  s = settings_load (file, &findings);
  input_report (&findings, stderr);
  findings_clear (&findings);
  return s;
}

static void
on_signal (int number)
{
  char byte = (char)number;

  if (write (signal_pipe[1], &byte, 1) != 1)
    _exit (EXIT_FAILURE);
}

/* The first signal starts a drain; the second one exits at once, with a
   failure status. */
static void
on_stop_signal (void *owner, int events)
{
  Io *io = owner;
  char byte;

  (void)events;
  if (read (signal_pipe[0], &byte, 1) != 1)
    return;
  if (io_draining (io))
    _exit (EXIT_FAILURE);
  io_drain (io);
}

static gboolean
catch_signals (Io *io)
{
  if (pipe (signal_pipe) != 0)
    return FALSE;
  loop_watch (io_loop (io), signal_pipe[0], APR_POLLIN, on_stop_signal, io);
  apr_signal (SIGPIPE, SIG_IGN);
  apr_signal (SIGTERM, on_signal);
  apr_signal (SIGINT, on_signal);
  return TRUE;
}

static FILE *
open_trace (const char *file)
{
  FILE *f = file ? fopen (file, "w") : NULL;

  if (file && !f)
    fprintf (stderr, "wagtailpassd: %s: %s\n", file, g_strerror (errno));
  return f;
}

static int
serve (const Settings *s, FILE *trace)
{
  GError *error = NULL;
  Io *io;
  gboolean ok;

  memory_init ();
  io = io_new (s, trace, &error);
  if (!io)
    {
      fprintf (stderr, "wagtailpassd: %s\n", error->message);
      g_error_free (error);
      return EXIT_ERROR;
    }
  ok = catch_signals (io) && io_run (io);
  io_free (io);
  return ok ? EXIT_SUCCESS : EXIT_ERROR;
}

static int
run (const Options *o)
{
  Settings *s = read_settings (o->settings_file);
  FILE *trace = NULL;
  int status;

  if (!s)
    return EXIT_ERROR;
  if (!o->check_only)
    trace = open_trace (o->trace_file);
  if (o->check_only)
    status = EXIT_SUCCESS;
  else if (o->trace_file && !trace)
    status = EXIT_ERROR;
  else
    status = serve (s, trace);
  if (trace)
    fclose (trace);
  settings_free (s);
  return status;
}

int
main (int argc, char **argv)
{
  Options o = { 0 };
  int status = EXIT_USAGE;

  if (parse_options (argc, argv, &o))
    status = run (&o);
  g_free (o.settings_file);
  g_free (o.trace_file);
  return status;
}
