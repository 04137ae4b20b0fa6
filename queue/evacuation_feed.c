#include "evacuation_feed.h"

#include <string.h>

/* Initializes F, which logs to FX.  PREFIX and CHECK are the codec's. */
void
evacuation_feed_init (EvacuationFeed *f,
                      const char *prefix,
                      EvacuationCheck check,
                      Effects *fx)
{
  *f = (EvacuationFeed) { .prefix = prefix, .check = check, .fx = fx };
  evacuation_init (&f->set);
}

/* Frees the members of F. */
void
evacuation_feed_clear (EvacuationFeed *f)
{
  evacuation_clear (&f->set);
}

/* Returns the domain that KEY asks to evacuate, or NULL if KEY is no request.
   The domain may be empty. */
const char *
evacuation_feed_domain (const EvacuationFeed *f, const char *key)
{
  return g_str_has_prefix (key, f->prefix) ? key + strlen (f->prefix) : NULL;
}

/* Counts and logs that ITEM can't be read for REASON. */
static void
note_unreadable (EvacuationFeed *f, const KvItem *item, const char *reason)
{
  char *key = g_uri_escape_string (item->key, "/", FALSE);

  f->n_unreadable++;
  effects_log (f->fx,
               "event=evacuation_unreadable key=%s revision=%" G_GINT64_FORMAT
               " reason=\"%s\"",
               key, item->revision, reason);
  g_free (key);
}

static void
check_value (EvacuationFeed *f, const KvItem *item)
{
  Findings findings;

  findings_init (&findings);
  if (!f->check (item->value, &findings))
    {
      char *text = findings_line (&findings);

      note_unreadable (f, item, text);
      g_free (text);
    }
  findings_clear (&findings);
}

/* Handles ITEM, whose key is a request, at NOW.  Where an evacuation has ended,
   sets *LASTED to its length in milliseconds as known to this host.  The key
   alone is the request: a value that can't be read changes nothing. */
EvacuationChange
evacuation_feed_on_item (EvacuationFeed *f,
                         const KvItem *item,
                         ClockMs now,
                         ClockMs *lasted)
{
  const char *domain = evacuation_feed_domain (f, item->key);
  const Evacuation *known = evacuation_find (&f->set, domain);

  *lasted = known ? now - known->since : 0;
  if (!evacuation_is_domain (domain))
    {
      if (!item->deleted)
        note_unreadable (f, item,
                         "domain is empty, no UTF-8 or has control characters");
      return EVACUATION_UNCHANGED;
    }
  if (!item->deleted)
    check_value (f, item);
  if (!evacuation_apply (&f->set, domain, item, now))
    return EVACUATION_UNCHANGED;
  f->n_seen += !item->deleted;
  return item->deleted ? EVACUATION_ENDED : EVACUATION_BEGUN;
}

/* Counts and logs that no worker and no setting names DOMAIN, which is
   evacuated. */
void
evacuation_feed_note_unknown (EvacuationFeed *f, const char *domain)
{
  char *name = evacuation_log_name (domain);

  f->n_unknown++;
  effects_log (f->fx, "event=evacuation_unknown_domain domain=%s", name);
  g_free (name);
}

/* Appends F's metrics to TEXT, one per line. */
void
evacuation_feed_append_metrics (const EvacuationFeed *f, GString *text)
{
  g_string_append_printf (text, "wagtailpass_evacuated_domains %u\n",
                          g_hash_table_size (f->set.closed));
  g_string_append_printf (text,
                          "wagtailpass_evacuations_total %" G_GINT64_FORMAT
                          "\n",
                          f->n_seen);
  g_string_append_printf (
      text, "wagtailpass_evacuations_unknown_total %" G_GINT64_FORMAT "\n",
      f->n_unknown);
  g_string_append_printf (
      text, "wagtailpass_evacuations_unreadable_total %" G_GINT64_FORMAT "\n",
      f->n_unreadable);
}
