#ifndef UTIL_H
#define UTIL_H

#include <glib.h>

/* One thing that is wrong with an input, and where. */
typedef struct Finding
{
  char *place; /* "FILE:LINE", "FILE:LINE: column \"C\"", or a JSON path */
  char *text;
} Finding;

/* Findings collected over a whole input, reported together. */
typedef struct Findings
{
  GPtrArray *list; /* of Finding */
} Findings;

void findings_init (Findings *f);
void findings_clear (Findings *f);
void findings_add (Findings *f, const char *place, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
guint findings_count (const Findings *f);
const Finding *findings_at (const Findings *f, guint i);
char *findings_text (const Findings *f);
char *findings_line (const Findings *f);

const char *util_str (const char *s);
gboolean util_is_name (const char *s);
gboolean util_is_printable (const char *s);
gboolean util_parse_address (const char *text, char **ip, guint *port);

#endif
