#include "sheet_state.h"

/* The fleet while guarantees are packed onto it, the largest gang first. */
typedef struct Packing
{
  guint n;
  gint64 *left; /* accelerators of each worker */
} Packing;

/* Takes SIZE accelerators of the worker that they leave the least on. */
static gboolean
pack_gang (Packing *k, gint64 size)
{
  gint64 best = -1;
  guint i;

  for (i = 0; i < k->n; i++)
    if (k->left[i] >= size && (best < 0 || k->left[i] < k->left[best]))
      best = i;
  if (best >= 0)
    k->left[best] -= size;
  return best >= 0;
}

static gint
larger_first (gconstpointer a, gconstpointer b)
{
  gint64 x = ((const Shape *)a)->size;
  gint64 y = ((const Shape *)b)->size;

  return (x < y) - (x > y);
}

/* Returns the guarantees of all workspaces, one Shape a size, the largest
   first. */
static GArray *
all_shapes (const Sheet *s)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (Shape));
  guint n = 0;
  guint i;

  for (i = 0; i < s->rows->len; i++)
    g_array_append_vals (all, sheet_row_at (s, i)->row->guarantee,
                         sheet_row_at (s, i)->row->n_shapes);
  g_array_sort (all, larger_first);
  for (i = 0; i < all->len; i++)
    {
      Shape shape = g_array_index (all, Shape, i);

      if (n && g_array_index (all, Shape, n - 1).size == shape.size)
        g_array_index (all, Shape, n - 1).count += shape.count;
      else
        g_array_index (all, Shape, n++) = shape;
    }
  g_array_set_size (all, n);
  return all;
}

static void
check_sum (const Sheet *s, gint64 fleet, const char *place, Findings *findings)
{
  GString *terms = g_string_new (NULL);
  gint64 sum = 0;
  guint i;

  for (i = 0; i < s->rows->len; i++)
    {
      const Workspace *w = sheet_row_at (s, i)->row;

      if (w->n_shapes == 0)
        continue;
      g_string_append_printf (terms, "%s%s %" G_GINT64_FORMAT, sum ? " + " : "",
                              w->name, sheet_guaranteed (w));
      sum += sheet_guaranteed (w);
    }
  if (sum > fleet)
    findings_add (findings, place,
                  "column \"guarantee\": %s = %" G_GINT64_FORMAT
                  " accelerators, the fleet has %" G_GINT64_FORMAT,
                  terms->str, sum, fleet);
  g_string_free (terms, TRUE);
}

static void
check_packing (const Sheet *s,
               Packing *k,
               const char *place,
               Findings *findings)
{
  GArray *all = all_shapes (s);
  guint i;

  for (i = 0; i < all->len; i++)
    {
      const Shape *shape = &g_array_index (all, Shape, i);
      gint64 fit = 0;

      while (fit < shape->count && pack_gang (k, shape->size))
        fit++;
      if (fit == shape->count)
        continue;
      findings_add (findings, place,
                    "column \"guarantee\": %" G_GINT64_FORMAT
                    " gangs of %" G_GINT64_FORMAT
                    " adjacent accelerators are promised; beside the larger "
                    "gangs %" G_GINT64_FORMAT " fit",
                    shape->count, shape->size, fit);
      break;
    }
  g_array_unref (all);
}

/* Adds a finding, with the arithmetic, when the guarantees of S are more
   than the fleet has, or do not pack onto it with the largest gangs placed
   first, each on one of the N_WORKERS WORKERS. */
void
sheet_check_fleet (const Sheet *s,
                   const SheetWorker *workers,
                   guint n_workers,
                   const char *place,
                   Findings *findings)
{
  Packing k = { .n = n_workers, .left = g_new0 (gint64, n_workers + 1) };
  guint before = findings_count (findings);
  gint64 fleet = 0;
  guint i;

  for (i = 0; i < n_workers; i++)
    {
      k.left[i] = workers[i].accelerators;
      fleet += workers[i].accelerators;
    }
  check_sum (s, fleet, place, findings);
  if (findings_count (findings) == before)
    check_packing (s, &k, place, findings);
  g_free (k.left);
}
