#include "metrics.h"

#include <string.h>

#define SHELL_NAME(kind, name, help) name,
#define SHELL_HELP(kind, name, help) help,
static const char *const names[] = { SHELL_COUNTERS (SHELL_NAME) };
static const char *const helps[] = { SHELL_COUNTERS (SHELL_HELP) };

/* Returns the name under which shell counter N is shown. */
const char *
metrics_shell_name (ShellCounter n)
{
  return names[n];
}

static void
append_counter (GString *s, const char *name, const char *help, gint64 value)
{
  const char *type = g_str_has_suffix (name, "_total") ? "counter" : "gauge";

  g_string_append_printf (s,
                          "# HELP wagtailpass_%s %s\n"
                          "# TYPE wagtailpass_%s %s\n"
                          "wagtailpass_%s %" G_GINT64_FORMAT "\n",
                          name, help, name, type, name, value);
}

/* Returns all counters of CORE and the N_SHELL_COUNTERS at SHELL in the
   usual text form; the caller frees it. */
char *
metrics_text (const Core *core, const gint64 *shell)
{
  GString *s = g_string_new (NULL);
  int i;

  for (i = 0; i < N_COUNTERS; i++)
    append_counter (s, counter_name ((Counter)i), counter_help ((Counter)i),
                    core_counter (core, (Counter)i));
  for (i = 0; i < N_SHELL_COUNTERS; i++)
    append_counter (s, names[i], helps[i], shell[i]);
  return g_string_free (s, FALSE);
}
