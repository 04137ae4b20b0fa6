#include "util.h"

#include <string.h>

static const gsize max_name_bytes = 64;
static const guint64 max_port = 65535;
static const gsize max_line_bytes = 500; /* of findings_line */
static const char line_cut[] = " ...";

static void
finding_free (gpointer p)
{
  Finding *f = p;

  g_free (f->place);
  g_free (f->text);
  g_free (f);
}

/* Prepares F for use; findings_clear releases it. */
void
findings_init (Findings *f)
{
  f->list = g_ptr_array_new_with_free_func (finding_free);
}

/* Releases everything that F holds. */
void
findings_clear (Findings *f)
{
  g_clear_pointer (&f->list, g_ptr_array_unref);
}

/* Adds one finding at PLACE, its text made from FORMAT. */
void
findings_add (Findings *f, const char *place, const char *format, ...)
{
  Finding *finding = g_new0 (Finding, 1);
  va_list args;

  va_start (args, format);
  finding->place = g_strdup (place);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (f->list, finding);
}

/* Returns the number of findings in F. */
guint
findings_count (const Findings *f)
{
  return f->list->len;
}

/* Returns finding I of F, in the order of discovery. */
const Finding *
findings_at (const Findings *f, guint i)
{
  return g_ptr_array_index (f->list, i);
}

/* Returns all findings as "PLACE: TEXT" lines; the caller frees them. */
char *
findings_text (const Findings *f)
{
  GString *s = g_string_new (NULL);
  guint i;

  for (i = 0; i < f->list->len; i++)
    {
      const Finding *finding = findings_at (f, i);

      g_string_append_printf (s, "%s: %s\n", finding->place, finding->text);
    }
  return g_string_free (s, FALSE);
}

/* Returns all findings as one line that may stand in quotes, cut after
   max_line_bytes, since they may quote what another program wrote; the caller
   frees it. */
char *
findings_line (const Findings *f)
{
  char *text = findings_text (f);
  char *p;

  if (strlen (text) > max_line_bytes)
    memcpy (text + max_line_bytes - strlen (line_cut), line_cut,
            sizeof line_cut);
  for (p = text; *p; p++)
    if (!g_ascii_isprint (*p) || *p == '"')
      *p = ' ';
  return text;
}

/* Returns S, or the empty string for NULL. */
const char *
util_str (const char *s)
{
  return s ? s : "";
}

/* Tells whether S can name a workspace, host, upstream or worker: 1 to 64
   letters, digits, dots, dashes and underscores. */
gboolean
util_is_name (const char *s)
{
  gsize n = strlen (s);
  gsize i;

  if (n == 0 || n > max_name_bytes)
    return FALSE;
  for (i = 0; i < n; i++)
    if (!g_ascii_isalnum (s[i]) && !strchr ("._-", s[i]))
      return FALSE;
  return TRUE;
}

/* Tells whether S may stand in a header and, unquoted, in a log line: ASCII
   without spaces, quotes and backslashes, and not empty. */
gboolean
util_is_printable (const char *s)
{
  const char *p;

  for (p = s; *p; p++)
    if (!g_ascii_isgraph (*p) || strchr ("\"\\", *p))
      return FALSE;
  return p > s;
}

/* Returns the number of the IP address in the first N bytes of TEXT, without
   the brackets of an IPv6 address, or NULL; the caller frees it. */
static char *
parse_ip (const char *text, gsize n)
{
  gboolean in_brackets = n >= 2 && text[0] == '[' && text[n - 1] == ']';
  char *ip = in_brackets ? g_strndup (text + 1, n - 2) : g_strndup (text, n);

  if (g_hostname_is_ip_address (ip) &&
      in_brackets == (strchr (ip, ':') != NULL))
    return ip;
  g_free (ip);
  return NULL;
}

/* Parses TEXT, "IP:PORT" with the number of an IP address, an IPv6 one in
   brackets, and a port from 1 to 65535.  Sets IP, which the caller frees, and
   PORT, unless they are NULL.  Returns FALSE and sets neither if TEXT is
   anything else. */
gboolean
util_parse_address (const char *text, char **ip, guint *port)
{
  const char *colon = strrchr (text, ':');
  guint64 number;
  char *parsed_ip;

  if (!colon ||
      !g_ascii_string_to_unsigned (colon + 1, 10, 1, max_port, &number, NULL))
    return FALSE;
  parsed_ip = parse_ip (text, (gsize)(colon - text));
  if (!parsed_ip)
    return FALSE;
  if (port)
    *port = (guint)number;
  if (ip)
    *ip = parsed_ip;
  else
    g_free (parsed_ip);
  return TRUE;
}
