#include "input.h"

/* Sets *TEXT, which the caller frees, and its length *N to the bytes of FILE,
   which a NUL follows.  A file that can't be read is a finding, and FALSE is
   returned. */
gboolean
input_read (const char *file, char **text, gsize *n, Findings *findings)
{
  GError *error = NULL;

  if (g_file_get_contents (file, text, n, &error))
    return TRUE;
  findings_add (findings, file, "%s", error->message);
  g_error_free (error);
  return FALSE;
}

/* Prints FINDINGS to TO, a line each. */
void
input_report (const Findings *findings, FILE *to)
{
  char *text = findings_text (findings);

  fputs (text, to);
  g_free (text);
}
