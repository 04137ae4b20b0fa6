#include "host.h"
#include "input.h"
#include "memory.h"

#include <apr_signal.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* The process of one entry host, run by the platform. */

enum
{
  EXIT_ERROR = 1,
  EXIT_USAGE = 2
};

static const char settings_variable[] = "WAGTAILPASS_BOOT";

typedef struct Options
{
  char *settings_file;
  gboolean check_only;
} Options;

static gboolean
parse_options (int argc, char **argv, Options *o)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings_file,
      "The platform's settings (default: the file that WAGTAILPASS_BOOT names)",
      "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &o->check_only,
      "Check the settings, print all findings and exit", NULL },
    { 0 }
  };
  GOptionContext *context =
      g_option_context_new ("- entry host of wagtailpass on the platform");
  GError *error = NULL;
  gboolean ok;

  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (ok && !o->settings_file)
    o->settings_file = g_strdup (g_getenv (settings_variable));
  if (ok && o->settings_file && argc == 1)
    return TRUE;
  fprintf (stderr, "wagtailpass-node: %s\n",
           error ? error->message
                 : "requires --settings FILE and takes no arguments");
  g_clear_error (&error);
  return FALSE;
}

static BootSettings *
read_settings (const char *file)
{
  Findings findings;
  BootSettings *boot;

  findings_init (&findings);
  boot = boot_load (file, &findings);
  input_report (&findings, stderr);
  findings_clear (&findings);
  return boot;
}

static int
serve (BootSettings *boot, const char *file)
{
  GError *error = NULL;
  Host *host;

  memory_init ();
  host = host_new (boot, file, &error);
  if (!host)
    {
      fprintf (stderr, "wagtailpass-node: %s\n", error->message);
      g_error_free (error);
      return EXIT_ERROR;
    }
  apr_signal (SIGPIPE, SIG_IGN);
  apr_signal (SIGTERM, host_on_signal);
  apr_signal (SIGINT, host_on_signal);
  apr_signal (SIGHUP, host_on_signal);
  host_run (host);
  host_free (host);
  return EXIT_SUCCESS;
}

static int
run (const Options *o)
{
  BootSettings *boot = read_settings (o->settings_file);

  if (!boot)
    return EXIT_ERROR;
  if (!o->check_only)
    return serve (boot, o->settings_file);
  boot_free (boot);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  Options o = { 0 };
  int status = EXIT_USAGE;

  if (parse_options (argc, argv, &o))
    status = run (&o);
  g_free (o.settings_file);
  return status;
}
