#include "settings.h"

#include "input.h"
#include "log.h"

#include <json-c/json.h>
#include <string.h>

REC_DEFINE (Settings, settings, SETTINGS_FIELDS)

G_STATIC_ASSERT (G_STRUCT_OFFSET (Settings, workers) ==
                 G_STRUCT_OFFSET (Config, workers));

static const guint max_depth = 16;

/* Walks JSON text that has been parsed once, and so is well formed, for
   what the parser does not tell: keys that stand twice, and the line of
   every path. */
typedef struct Scan
{
  const char *at;
  const char *end;
  guint line;
  GHashTable *lines; /* path to its line, a guint */
  const char *file;
  Findings *findings;
} Scan;

static void scan_value (Scan *s, const char *path, guint depth);

static void
skip_comment (Scan *s)
{
  if (s->at[1] == '/')
    {
      while (s->at < s->end && *s->at != '\n')
        s->at++;
      return;
    }
  s->at += 2;
  while (s->at + 1 < s->end && !(s->at[0] == '*' && s->at[1] == '/'))
    s->line += *s->at++ == '\n';
  s->at = MIN (s->at + 2, s->end);
}

static void
skip_blank (Scan *s)
{
  while (s->at < s->end)
    {
      if (*s->at == '/' && s->at + 1 < s->end)
        skip_comment (s);
      else if (g_ascii_isspace (*s->at))
        s->line += *s->at++ == '\n';
      else
        return;
    }
}

/* Takes the character C if it is the next one. */
static gboolean
take (Scan *s, char c)
{
  skip_blank (s);
  if (s->at >= s->end || *s->at != c)
    return FALSE;
  s->at++;
  return TRUE;
}

/* Returns the raw text between the quotes; escapes stay as written. */
static char *
scan_string (Scan *s)
{
  const char *start;
  gsize n;

  skip_blank (s);
  if (s->at >= s->end)
    return g_strdup ("");
  start = ++s->at;
  while (s->at < s->end && *s->at != start[-1])
    s->at += *s->at == '\\' && s->at + 1 < s->end ? 2 : 1;
  n = (gsize)(s->at - start);
  if (s->at < s->end)
    s->at++;
  return g_strndup (start, n);
}

static void
scan_member (Scan *s, GHashTable *seen, const char *path, guint depth)
{
  char *key = scan_string (s);
  char *below = g_strdup_printf ("%s.%s", path, key);
  char *place = g_strdup_printf ("%s:%u", s->file, s->line);

  if (!g_hash_table_add (seen, g_strdup (key)))
    findings_add (s->findings, place, "key \"%s\" stands twice", key);
  take (s, ':');
  scan_value (s, below, depth);
  g_free (place);
  g_free (below);
  g_free (key);
}

static void
scan_object (Scan *s, const char *path, guint depth)
{
  GHashTable *seen =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  while (s->at < s->end && !take (s, '}'))
    {
      scan_member (s, seen, path, depth);
      take (s, ',');
    }
  g_hash_table_unref (seen);
}

static void
scan_array (Scan *s, const char *path, guint depth)
{
  guint i = 0;

  while (s->at < s->end && !take (s, ']'))
    {
      char *below = g_strdup_printf ("%s[%u]", path, i++);

      scan_value (s, below, depth);
      take (s, ',');
      g_free (below);
    }
}

static void
scan_value (Scan *s, const char *path, guint depth)
{
  skip_blank (s);
  g_hash_table_insert (s->lines, g_strdup (path),
                       g_memdup2 (&s->line, sizeof s->line));
  if (depth >= max_depth)
    s->at = s->end;
  else if (take (s, '{'))
    scan_object (s, path, depth + 1);
  else if (take (s, '['))
    scan_array (s, path, depth + 1);
  else if (s->at < s->end && (*s->at == '"' || *s->at == '\''))
    g_free (scan_string (s));
  else
    while (s->at < s->end && !strchr (",]}/", *s->at) &&
           !g_ascii_isspace (*s->at))
      s->at++;
}

/* Returns the default settings. */
Settings *
settings_default (void)
{
  Settings *s = rec_new (settings_desc ());
  Config *cfg = config_default ();

  rec_copy_into (config_desc (), s, cfg);
  config_free (cfg);
  rec_set_str (&s->callers_address, "0.0.0.0");
  s->callers_port = 8080;
  rec_set_str (&s->operators_address, "127.0.0.1");
  s->operators_port = 8081;
  rec_set_str (&s->log_level, "info");
  s->max_body_bytes = 1 << 20;
  s->max_bodies_bytes = 32 << 20;
  s->max_answer_bytes = 8 << 20;
  s->max_connections = 4096;
  s->idle_ms = 30000;
  s->receive_ms = 10000;
  s->max_frame_bytes = 2 << 20;
  s->timeline_entries = 8192;
  return s;
}

/* Releases S. */
void
settings_free (Settings *s)
{
  rec_free (settings_desc (), s);
}

static void
check_address (const char *path,
               const char *address,
               gboolean required,
               Findings *findings)
{
  if (*address ? !g_hostname_is_ip_address (address) : required)
    findings_add (findings, path, "\"%s\" is not an IP address", address);
}

static void
check_addresses (const Settings *s, Findings *findings)
{
  const Config *cfg = (const Config *)s;
  char path[64];
  guint i;

  check_address (".callers_address", s->callers_address, TRUE, findings);
  check_address (".operators_address", s->operators_address, TRUE, findings);
  check_address (".peers_address", s->peers_address, FALSE, findings);
  check_address (".store_address", s->store_address, TRUE, findings);
  for (i = 0; i < s->hosts.n; i++)
    {
      g_snprintf (path, sizeof path, ".hosts[%u].address", i);
      check_address (path, config_host (cfg, i)->address, TRUE, findings);
    }
  for (i = 0; i < s->upstreams.n; i++)
    {
      g_snprintf (path, sizeof path, ".upstreams[%u].address", i);
      check_address (path, config_upstream (cfg, i)->address, TRUE, findings);
    }
  for (i = 0; i < s->workers.n; i++)
    {
      g_snprintf (path, sizeof path, ".workers[%u].address", i);
      check_address (path, config_worker (cfg, i)->address, TRUE, findings);
    }
}

static const ConfigHost *
own_host (const Settings *s)
{
  const Config *cfg = (const Config *)s;
  guint i;

  for (i = 0; i < s->hosts.n; i++)
    if (strcmp (config_host (cfg, i)->name, s->host) == 0)
      return config_host (cfg, i);
  return NULL;
}

/* Checks what is in range by itself and wrong as a whole, and fills the
   peers' listener from the own entry in HOSTS. */
static void
check_whole (Settings *s, Findings *findings)
{
  const ConfigHost *own = own_host (s);

  if (!own)
    findings_add (findings, ".host", "host \"%s\" is not listed in \"hosts\"",
                  s->host);
  else if (strcmp (own->domain, s->domain) != 0)
    findings_add (findings, ".domain",
                  "\"%s\" differs from domain \"%s\" of host \"%s\" in "
                  "\"hosts\"",
                  s->domain, own->domain, s->host);
  if (log_level_from_name (s->log_level) < 0)
    findings_add (findings, ".log_level",
                  "\"%s\" is not one of error, warning, info, debug",
                  s->log_level);
  if (s->max_bodies_bytes < s->max_body_bytes)
    findings_add (findings, ".max_bodies_bytes",
                  "%" G_GINT64_FORMAT " bytes is less than max_body_bytes",
                  s->max_bodies_bytes);
  check_addresses (s, findings);
  if (own && s->peers_port == 0)
    s->peers_port = own->port;
  if (own && !*s->peers_address)
    rec_set_str (&s->peers_address, own->address);
}

/* Turns the places of FROM, paths below the whole, into "FILE:LINE: PATH",
   and leaves out what has been said already. */
static void
place_findings (const Scan *scan, const Findings *from, Findings *to)
{
  GHashTable *said =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < findings_count (from); i++)
    {
      const Finding *f = findings_at (from, i);
      const guint *line = g_hash_table_lookup (scan->lines, f->place);
      const char *path = *f->place == '.' ? f->place + 1 : f->place;
      const char *gap = *path ? ": " : "";
      char *place =
          line ? g_strdup_printf ("%s:%u%s%s", scan->file, *line, gap, path)
               : g_strdup_printf ("%s%s%s", scan->file, gap, path);

      if (g_hash_table_add (said, g_strconcat (place, ": ", f->text, NULL)))
        findings_add (to, place, "%s", f->text);
      g_free (place);
    }
  g_hash_table_unref (said);
}

static gboolean
is_json_object (const char *text, gsize n)
{
  json_tokener *tok = json_tokener_new_ex ((int)max_depth);
  json_object *o = json_tokener_parse_ex (tok, text, (int)n);
  gboolean ok = json_object_is_type (o, json_type_object);

  json_object_put (o);
  json_tokener_free (tok);
  return ok;
}

/* Reads settings from the N bytes at TEXT, JSON with comments; what it does
   not say stays at its default.  Returns NULL and adds all findings, with
   FILE and line or path, when something is wrong. */
Settings *
settings_parse (const char *text, gsize n, const char *file, Findings *findings)
{
  Settings *s = settings_default ();
  Scan scan = { .at = text, .end = text + n, .line = 1, .file = file };
  guint before = findings_count (findings);
  Findings found;

  findings_init (&found);
  scan.findings = findings;
  scan.lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rec_from_json (settings_desc (), s, text, n, REC_MISSING_KEEP, "", &found);
  if (is_json_object (text, n))
    {
      scan_value (&scan, "", 0);
      rec_check (settings_desc (), s, "", &found);
      config_check ((const Config *)s, "", &found);
      check_whole (s, &found);
    }
  place_findings (&scan, &found, findings);
  g_hash_table_unref (scan.lines);
  findings_clear (&found);
  if (findings_count (findings) == before)
    return s;
  settings_free (s);
  return NULL;
}

/* Reads FILE as settings_parse does.  A file that can't be read is a
   finding, too. */
Settings *
settings_load (const char *file, Findings *findings)
{
  Settings *s = NULL;
  char *text;
  gsize n;

  if (!input_read (file, &text, &n, findings))
    return NULL;
  if (n > SETTINGS_MAX_BYTES)
    findings_add (findings, file, "%" G_GSIZE_FORMAT " bytes exceed %d", n,
                  SETTINGS_MAX_BYTES);
  else
    s = settings_parse (text, n, file, findings);
  g_free (text);
  return s;
}

/* Returns the part of S that the core is configured by; config_free it. */
Config *
settings_config (const Settings *s)
{
  return rec_copy (config_desc (), s);
}
