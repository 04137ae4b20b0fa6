#include "latency.h"

#include <gsl/gsl_histogram.h>

/* Upper bounds of the buckets, in milliseconds. */
static const double bounds[] = { 0,    1,     2,     5,     10,   20,
                                 50,   100,   200,   500,   1000, 2000,
                                 5000, 10000, 20000, 60000, 1e9 };

struct Latency
{
  char *name;
  gsl_histogram *buckets;
  gint64 sum;
};

/* Returns an empty histogram that is served as NAME. */
Latency *
latency_new (const char *name)
{
  Latency *l = g_new0 (Latency, 1);

  l->name = g_strdup (name);
  l->buckets = gsl_histogram_alloc (G_N_ELEMENTS (bounds) - 1);
  gsl_histogram_set_ranges (l->buckets, bounds, G_N_ELEMENTS (bounds));
  return l;
}

/* Releases L, which may be NULL. */
void
latency_free (Latency *l)
{
  if (!l)
    return;
  gsl_histogram_free (l->buckets);
  g_free (l->name);
  g_free (l);
}

/* Counts SPAN, in milliseconds; one below 0 counts as 0. */
void
latency_add (Latency *l, ClockMs span)
{
  span = MAX (span, 0);
  gsl_histogram_increment (l->buckets, (double)span);
  l->sum += span;
}

/* Appends L's cumulative buckets, sum and count to TEXT. */
void
latency_append (const Latency *l, GString *text)
{
  double n = 0;
  gsize i;

  for (i = 0; i + 2 < G_N_ELEMENTS (bounds); i++)
    {
      n += gsl_histogram_get (l->buckets, i);
      g_string_append_printf (text, "%s_bucket{le=\"%g\"} %.0f\n", l->name,
                              bounds[i + 1], n);
    }
  n += gsl_histogram_get (l->buckets, i);
  g_string_append_printf (text, "%s_bucket{le=\"+Inf\"} %.0f\n", l->name, n);
  g_string_append_printf (text, "%s_sum %" G_GINT64_FORMAT "\n", l->name,
                          l->sum);
  g_string_append_printf (text, "%s_count %.0f\n", l->name, n);
}
