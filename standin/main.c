#include "standin.h"

#include <stdio.h>
#include <string.h>

typedef struct StandinMode
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv, GError **error);
} StandinMode;

enum
{
  EXIT_USAGE = 2
};

#define STANDIN_ENTRY(mode, text)                                              \
  { .name = #mode, .help = (text), .run = standin_##mode },
static const StandinMode modes[] = { STANDIN_MODES (STANDIN_ENTRY) };

/* Reads ENTRIES, and for a serving mode its PLACE, from the command line;
   words that are no options are refused.  SUMMARY says what the mode does. */
gboolean
standin_options (const char *summary,
                 const GOptionEntry *entries,
                 StandinPlace *place,
                 int argc,
                 char **argv,
                 GError **error)
{
  const GOptionEntry place_entries[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &place->address,
      "listen at ADDRESS (127.0.0.1)", "ADDRESS" },
    { "port", 0, 0, G_OPTION_ARG_INT, &place->port,
      "listen on PORT, the first one if there are several", "PORT" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &place->seconds, "end after N seconds",
      "N" },
    { NULL }
  };
  GOptionContext *context = g_option_context_new (NULL);
  gboolean ok;

  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, place_entries, NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, error);
  g_option_context_free (context);
  if (ok && argc > 1)
    {
      g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                   "unexpected word \"%s\"", argv[1]);
      return FALSE;
    }
  return ok;
}

/* Opens the NTH port from PLACE on; each request goes to HANDLE with DATA.
   Returns FALSE and sets ERROR when it can't be had. */
gboolean
standin_listen (Server *s,
                const StandinPlace *place,
                int nth,
                ExchangeFunc handle,
                void *data,
                GError **error)
{
  const char *address = place->address ? place->address : "127.0.0.1";

  if (server_listen (s, address, place->port + nth, handle, data))
    return TRUE;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
               "port %d at %s can't be had", place->port + nth, address);
  return FALSE;
}

static int
usage (void)
{
  gsize i;

  fputs ("usage: wagtailpass-standin MODE [--help]\n", stderr);
  for (i = 0; i < G_N_ELEMENTS (modes); i++)
    fprintf (stderr, "  %-10s %s\n", modes[i].name, modes[i].help);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  gsize i;
  int status;

  for (i = 0; argc > 1 && i < G_N_ELEMENTS (modes); i++)
    {
      if (strcmp (argv[1], modes[i].name) != 0)
        continue;
      status = modes[i].run (argc - 1, argv + 1, &error);
      if (error)
        {
          fprintf (stderr, "wagtailpass-standin %s: %s\n", modes[i].name,
                   error->message);
          g_error_free (error);
          status = EXIT_USAGE;
        }
      return status;
    }
  return usage ();
}
