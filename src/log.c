#include "log.h"

#include <string.h>

static const ClockMs window_ms = 10000;
static const guint lines_per_window = 5;

/* How often one event has been written of late. */
typedef struct LogRepeat
{
  ClockMs since;
  guint written;
  guint held;
} LogRepeat;

struct Log
{
  FILE *out;
  LogLevel least;
  char *host;
  GHashTable *repeats; /* event to LogRepeat */
};

#define LOG_NAME(kind, name) name,
static const char *const names[] = { LOG_LEVELS (LOG_NAME) };

/* Returns a logger for HOST that writes lines of level LEAST and more
   urgent ones to OUT, which stays the caller's. */
Log *
log_new (FILE *out, LogLevel least, const char *host)
{
  Log *l = g_new0 (Log, 1);

  l->out = out;
  l->least = least;
  l->host = g_strdup (host);
  l->repeats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

/* Releases L. */
void
log_free (Log *l)
{
  if (!l)
    return;
  g_hash_table_unref (l->repeats);
  g_free (l->host);
  g_free (l);
}

/* Returns the level called NAME, -1 for none. */
int
log_level_from_name (const char *name)
{
  int i;

  for (i = 0; i < N_LOG_LEVELS; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

static void
append_value (GString *s, const char *value)
{
  const char *p;

  if (*value && !strpbrk (value, " =\"\\\t\r\n"))
    {
      g_string_append (s, value);
      return;
    }
  g_string_append_c (s, '"');
  for (p = value; *p; p++)
    {
      if (*p == '"' || *p == '\\')
        g_string_append_c (s, '\\');
      g_string_append_c (s, g_ascii_iscntrl (*p) ? ' ' : *p);
    }
  g_string_append_c (s, '"');
}

/* Returns the count of EVENT's, or NULL when this line is to be held. */
static LogRepeat *
admit (Log *l, ClockMs now, const char *event)
{
  LogRepeat *r = g_hash_table_lookup (l->repeats, event);

  if (!r)
    {
      r = g_new0 (LogRepeat, 1);
      r->since = now;
      g_hash_table_insert (l->repeats, g_strdup (event), r);
    }
  if (now - r->since >= window_ms)
    {
      r->since = now;
      r->written = 0;
    }
  if (r->written >= lines_per_window)
    {
      r->held++;
      return NULL;
    }
  r->written++;
  return r;
}

/* Writes one line: EVENT, one of a fixed set of names, and pairs of key and
   value, both strings, closed by NULL.  NOW is in milliseconds of wall
   time. */
void
log_event (Log *l, LogLevel level, ClockMs now, const char *event, ...)
{
  LogRepeat *r = level <= l->least ? admit (l, now, event) : NULL;
  GString *s;
  const char *key;
  va_list args;

  if (!r)
    return;
  s = g_string_new (NULL);
  g_string_printf (s, "ts=%" CLOCK_MS_FORMAT " level=%s host=%s event=%s", now,
                   names[level], l->host, event);
  va_start (args, event);
  while ((key = va_arg (args, const char *)))
    {
      g_string_append_printf (s, " %s=", key);
      append_value (s, va_arg (args, const char *));
    }
  va_end (args);
  if (r->held)
    g_string_append_printf (s, " held=%u", r->held);
  r->held = 0;
  fprintf (l->out, "%s\n", s->str);
  fflush (l->out);
  g_string_free (s, TRUE);
}
