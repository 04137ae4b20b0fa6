#include "pass.h"

/* Watches which failure domains have cold workers: the ramp of a placement
   pass, log lines and counters. */

enum
{
  LOOK_INTERVAL_MS = 1000 /* batches workers that start close together */
};

/* Tells whether any worker of D is cold. */
static gboolean
any_is_cold (const Dispatch *d)
{
  guint i;

  for (i = 0; i < pool_size (&d->pool); i++)
    if (cold_time_left (pool_at (&d->pool, i), d->now) > 0)
      return TRUE;
  return FALSE;
}

/* Returns the ramp of D's cold workers, or NULL if none is cold.  The caller
   frees it. */
ColdRamp *
cold_domains_ramp (const Dispatch *d)
{
  GPtrArray *heard;
  guint i;

  if (!any_is_cold (d))
    return NULL;
  heard = g_ptr_array_new ();
  for (i = 0; i < pool_size (&d->pool); i++)
    if (assign_is_heard (pool_at (&d->pool, i)))
      g_ptr_array_add (heard, pool_at (&d->pool, i));
  return cold_ramp_new (heard, &d->bounds, d->now);
}

/* The cold workers of one domain. */
typedef struct DomainCount
{
  guint n_workers;
  ClockMs longest; /* time left of any of them, in ms */
} DomainCount;

/* Returns the cold workers that are registered as DomainCount by the name of
   their domain, and their number in N_WORKERS. */
static GHashTable *
count_by_domain (const Dispatch *d, guint *n_workers)
{
  GHashTable *counts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint i;

  *n_workers = 0;
  for (i = 0; i < pool_size (&d->pool); i++)
    {
      const PoolWorker *w = pool_at (&d->pool, i);
      ClockMs left = cold_time_left (w, d->now);
      DomainCount *count;

      if (left == 0 || !w->registered)
        continue;
      count = g_hash_table_lookup (counts, w->entry->domain);
      if (!count)
        {
          count = g_new0 (DomainCount, 1);
          g_hash_table_insert (counts, w->entry->domain, count);
        }
      count->n_workers++;
      count->longest = MAX (count->longest, left);
      ++*n_workers;
    }
  return counts;
}

/* Logs the domains of COUNTS that were not cold before, and adds them. */
static void
add_cold (Dispatch *d, GHashTable *counts)
{
  GHashTableIter i;
  gpointer domain, value;

  g_hash_table_iter_init (&i, counts);
  while (g_hash_table_iter_next (&i, &domain, &value))
    {
      const DomainCount *count = value;
      char *name = evacuation_log_name (domain);

      if (!g_hash_table_contains (d->cold.domains, domain))
        effects_log (d->fx,
                     "event=domain_cold domain=%s workers=%u "
                     "longest_ms=%" CLOCK_MS_FORMAT,
                     name, count->n_workers, count->longest);
      g_free (name);
      g_hash_table_add (d->cold.domains, g_strdup (domain));
    }
}

/* Logs the domains that are no longer in COUNTS, and removes them. */
static void
remove_warm (Dispatch *d, GHashTable *counts)
{
  GHashTableIter i;
  gpointer domain;

  g_hash_table_iter_init (&i, d->cold.domains);
  while (g_hash_table_iter_next (&i, &domain, NULL))
    {
      char *name;

      if (g_hash_table_contains (counts, domain))
        continue;
      name = evacuation_log_name (domain);
      effects_log (d->fx, "event=domain_warm domain=%s", name);
      g_free (name);
      g_hash_table_iter_remove (&i);
    }
}

/* Looks which of D's domains are cold, if that is due. */
void
cold_domains_tick (Dispatch *d)
{
  GHashTable *counts;

  if (d->cold.next_look > d->now)
    return;
  d->cold.next_look = d->now + LOOK_INTERVAL_MS;
  if (!d->cold.domains)
    d->cold.domains =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  counts = count_by_domain (d, &d->cold.n_workers);
  add_cold (d, counts);
  remove_warm (d, counts);
  g_hash_table_unref (counts);
}

/* Appends the counts of cold workers to TEXT, one per line. */
void
cold_domains_append_metrics (const Dispatch *d, GString *text)
{
  g_string_append_printf (text, "wagtailpass_scheduler_cold_workers %u\n",
                          d->cold.n_workers);
  g_string_append_printf (
      text, "wagtailpass_scheduler_cold_starts_total %" G_GINT64_FORMAT "\n",
      d->cold.n_starts);
  g_string_append_printf (
      text, "wagtailpass_scheduler_cold_held_total %" G_GINT64_FORMAT "\n",
      d->cold.n_held);
}

/* Releases what D holds of cold domains. */
void
cold_domains_clear (Dispatch *d)
{
  if (d->cold.domains)
    g_hash_table_unref (d->cold.domains);
}
