#include "service.h"

static void
service_free (gpointer data)
{
  Service *s = data;

  g_free (s->name);
  g_free (s);
}

/* Returns an empty table. */
ServiceTable *
service_table_new (void)
{
  ServiceTable *t = g_new0 (ServiceTable, 1);

  t->by_name =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  APR_RING_INIT (&t->all, Service, link);
  return t;
}

/* Frees T and its services. */
void
service_table_free (ServiceTable *t)
{
  g_hash_table_unref (t->by_name);
  g_free (t);
}

/* Returns the service NAME of T, to which it is added if it is new. */
Service *
service_get (ServiceTable *t, const char *name)
{
  Service *s = g_hash_table_lookup (t->by_name, name);

  if (!s)
    {
      s = g_new0 (Service, 1);
      s->name = g_strdup (name);
      APR_RING_INSERT_TAIL (&t->all, s, Service, link);
      g_hash_table_insert (t->by_name, s->name, s);
    }
  return s;
}

/* Tells whether any service of T has a failure spike. */
gboolean
service_any_failure_spike (const ServiceTable *t)
{
  const Service *s;

  APR_RING_FOREACH (s, &t->all, Service, link)
    if (failure_spike_since (&s->failure_spike))
      return TRUE;
  return FALSE;
}

/* Returns the sums over T's services of what is counted in workers. */
ServiceRoom
service_total_room (const ServiceTable *t)
{
  ServiceRoom sum = { 0 };
  const Service *s;

  APR_RING_FOREACH (s, &t->all, Service, link)
    {
      sum.n_usable += s->room.n_usable;
      sum.free_workers += s->room.free_workers;
      sum.reserved_workers += s->room.reserved_workers;
    }
  return sum;
}
