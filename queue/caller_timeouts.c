#include "caller_timeouts.h"

#include <string.h>

enum
{
  MAX_QUEUES = 1000, /* beyond this many, all others share one entry */
  WINDOW_MS = 60 * 1000
};

typedef struct LongestTimeout
{
  ClockMs in_window; /* since WINDOW_START */
  ClockMs before;    /* in the window before */
  ClockMs window_start;
} LongestTimeout;

/* Initializes T, which knows no queues. */
void
caller_timeouts_init (CallerTimeouts *t)
{
  t->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Releases what T holds. */
void
caller_timeouts_clear (CallerTimeouts *t)
{
  g_hash_table_unref (t->queues);
}

static LongestTimeout *
find_queue (CallerTimeouts *t, const char *host, const char *path)
{
  const char *end = strrchr (path, '/');
  int n = end ? (int)(end - path) : 0;
  char *name = g_strdup_printf ("%s%.*s", host ? host : "", n, path);
  LongestTimeout *longest = g_hash_table_lookup (t->queues, name);

  if (!longest && g_hash_table_size (t->queues) >= MAX_QUEUES)
    {
      g_free (name);
      name = g_strdup ("");
      longest = g_hash_table_lookup (t->queues, name);
    }
  if (longest)
    {
      g_free (name);
      return longest;
    }
  longest = g_new0 (LongestTimeout, 1);
  g_hash_table_insert (t->queues, name, longest);
  return longest;
}

/* Records that a request to HOST and PATH arrived at NOW, whose caller waits
   for REMAINING ms.  Returns the longest time that callers of its queue have
   had lately, which is what they have at their first try. */
ClockMs
caller_timeouts_record (CallerTimeouts *t,
                        const char *host,
                        const char *path,
                        ClockMs remaining,
                        ClockMs now)
{
  LongestTimeout *longest = find_queue (t, host, path);

  if (now - longest->window_start >= WINDOW_MS)
    {
      longest->before = longest->in_window;
      longest->in_window = 0;
      longest->window_start = now;
    }
  longest->in_window = MAX (longest->in_window, remaining);
  return MAX (longest->in_window, longest->before);
}
