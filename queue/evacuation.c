#include "evacuation.h"

enum
{
  /* Bounds of the expected rest of an evacuation, in milliseconds. */
  MIN_EXPECTED_MS = 1000,
  MAX_EXPECTED_MS = 30000,
  START_ARRIVAL_MS =
      1000, /* in which a start that is sent reaches its worker */
  /* Two round trips to the store and the pause between two watches. */
  WATCH_MARGIN_MS = 500,
  MIN_WATCH_WAIT_MS = 100
};

/* Initializes SET without evacuated domains. */
void
evacuation_init (EvacuationSet *set)
{
  set->closed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the members of SET. */
void
evacuation_clear (EvacuationSet *set)
{
  g_clear_pointer (&set->closed, g_hash_table_unref);
}

/* Returns the evacuation of DOMAIN, or NULL if it is in service. */
const Evacuation *
evacuation_find (const EvacuationSet *set, const char *domain)
{
  return domain ? g_hash_table_lookup (set->closed, domain) : NULL;
}

/* Tells whether any domain is evacuated. */
gboolean
evacuation_is_any_closed (const EvacuationSet *set)
{
  return g_hash_table_size (set->closed) > 0;
}

/* Tells whether DOMAIN, which may be NULL, is evacuated. */
gboolean
evacuation_is_closed (const EvacuationSet *set, const char *domain)
{
  return evacuation_find (set, domain) != NULL;
}

/* Tells whether C is a control character of Unicode: of its two blocks, or
   DEL. */
static gboolean
is_control (gunichar c)
{
  return c < 0x20 || (c >= 0x7f && c < 0xa0);
}

/* Tells whether DOMAIN can name a failure domain, as the workers' entries do:
   it is valid UTF-8 without control characters, and not empty. */
gboolean
evacuation_is_domain (const char *domain)
{
  const char *p;

  if (!*domain || !g_utf8_validate (domain, -1, NULL))
    return FALSE;
  for (p = domain; *p; p = g_utf8_next_char (p))
    if (is_control (g_utf8_get_char (p)))
      return FALSE;
  return TRUE;
}

/* Returns DOMAIN, escaped as in an URI, so that it may stand unquoted in a log
   line; the caller frees it. */
char *
evacuation_log_name (const char *domain)
{
  return g_uri_escape_string (domain, "/", FALSE);
}

/* Returns how old, in milliseconds, a host's set may be when it sends a start,
   so that the start arrives within BOUND after a request that the set lacks. */
ClockMs
evacuation_max_age (ClockMs bound)
{
  return MAX (bound - START_ARRIVAL_MS, 0);
}

/* Returns for how many milliseconds at most a watch for requests may wait with
   BOUND, so that no start is held while nothing fails.  Until a watch is
   answered, the set is as old as that watch and the one before. */
ClockMs
evacuation_watch_wait (ClockMs bound)
{
  return MAX ((evacuation_max_age (bound) - WATCH_MARGIN_MS) / 2,
              MIN_WATCH_WAIT_MS);
}

static gboolean
close_domain (EvacuationSet *set,
              const char *domain,
              gint64 revision,
              ClockMs now)
{
  Evacuation *e = g_hash_table_lookup (set->closed, domain);

  if (e)
    {
      e->revision = MAX (e->revision, revision);
      return FALSE;
    }
  e = g_new (Evacuation, 1);
  *e = (Evacuation) { .since = now, .revision = revision };
  g_hash_table_insert (set->closed, g_strdup (domain), e);
  return TRUE;
}

/* Applies ITEM, the request to evacuate DOMAIN or its deletion, which became
   known at NOW.  Returns whether DOMAIN's state has changed: the same request
   may be seen again. */
gboolean
evacuation_apply (EvacuationSet *set,
                  const char *domain,
                  const KvItem *item,
                  ClockMs now)
{
  if (item->deleted)
    return g_hash_table_remove (set->closed, domain);
  return close_domain (set, domain, item->revision, now);
}

/* Returns for how many milliseconds more all of DOMAINS, a NULL-terminated
   array, are expected to be evacuated; 0 if one of them is in service or there
   are none.  Nothing tells how long an evacuation lasts.  The one that was
   requested last is expected to last as long again as it has been known. */
ClockMs
evacuation_expected_left (const EvacuationSet *set,
                          const char *const *domains,
                          ClockMs now)
{
  ClockMs latest = 0;
  guint i;

  if (!domains || !domains[0])
    return 0;
  for (i = 0; domains[i]; i++)
    {
      const Evacuation *e = evacuation_find (set, domains[i]);

      if (!e)
        return 0;
      latest = MAX (latest, e->since);
    }
  return CLAMP (now - latest, MIN_EXPECTED_MS, MAX_EXPECTED_MS);
}
