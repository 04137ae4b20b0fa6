#include "sheet_state.h"

#include <string.h>

const char sheet_byte_order_mark[] = "\xef\xbb\xbf";

#define COLUMN_NAME(kind, name) name,
static const char *const column_names[] = { SHEET_COLUMNS (COLUMN_NAME) };

/* Returns the name of COLUMN in a file's header. */
const char *
sheet_column_name (SheetColumn column)
{
  return column_names[column];
}

static void
workspace_free (Workspace *w)
{
  if (!w)
    return;
  g_free ((gpointer)w->name);
  g_free ((gpointer)w->token_sha256);
  g_free (w);
}

static void
line_free (gpointer p)
{
  SheetLine *l = p;

  g_clear_pointer (&l->cells, g_ptr_array_unref);
  workspace_free (l->row);
  g_free (l->raw);
  g_free (l);
}

/* Returns a line of the N bytes at DATA, which ENDING (static text) ends. */
SheetLine *
sheet_line_new (const char *data, gsize n, const char *ending)
{
  SheetLine *l = g_new0 (SheetLine, 1);

  l->raw = g_strndup (data, n);
  l->ending = ending;
  return l;
}

/* Returns a sheet without lines. */
Sheet *
sheet_new (void)
{
  Sheet *s = g_new0 (Sheet, 1);
  guint i;

  s->lines = g_ptr_array_new_with_free_func (line_free);
  s->rows = g_ptr_array_new ();
  s->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < N_SHEET_COLUMNS; i++)
    s->column_at[i] = -1;
  return s;
}

/* Releases S. */
void
sheet_free (Sheet *s)
{
  if (!s)
    return;
  g_hash_table_unref (s->by_name);
  g_ptr_array_unref (s->rows);
  g_ptr_array_unref (s->lines);
  g_free (s);
}

/* Returns row I, from 0. */
SheetLine *
sheet_row_at (const Sheet *s, guint i)
{
  return g_ptr_array_index (s->rows, i);
}

/* Returns the row of the workspace called NAME, or NULL. */
SheetLine *
sheet_row (const Sheet *s, const char *name)
{
  return g_hash_table_lookup (s->by_name, name);
}

/* Returns the number of rows. */
guint
sheet_n_workspaces (const Sheet *s)
{
  return s->rows->len;
}

/* Returns the workspace of row I, from 0. */
const Workspace *
sheet_workspace (const Sheet *s, guint i)
{
  return sheet_row_at (s, i)->row;
}

/* Returns the workspace called NAME, or NULL. */
const Workspace *
sheet_find (const Sheet *s, const char *name)
{
  const SheetLine *l = sheet_row (s, name);

  return l ? l->row : NULL;
}

/* Returns the text in COLUMN of row L, empty if the row or S has no such
   cell. */
const char *
sheet_cell_of (const Sheet *s, const SheetLine *l, SheetColumn column)
{
  int at = s->column_at[column];

  if (at < 0 || (guint)at >= l->cells->len)
    return "";
  return g_ptr_array_index (l->cells, at);
}

/* Returns the text in COLUMN of WORKSPACE's row: empty for an empty cell
   and for a column that the file lacks, NULL without such a row. */
const char *
sheet_cell (const Sheet *s, const char *workspace, SheetColumn column)
{
  const SheetLine *l = sheet_row (s, workspace);

  return l ? sheet_cell_of (s, l, column) : NULL;
}

/* Returns the number of accelerators that W is guaranteed. */
gint64
sheet_guaranteed (const Workspace *w)
{
  gint64 sum = 0;
  guint i;

  for (i = 0; i < w->n_shapes; i++)
    sum += w->guarantee[i].count * w->guarantee[i].size;
  return sum;
}

/* Returns S as text: what was read, byte for byte. */
GString *
sheet_print (const Sheet *s)
{
  GString *text = g_string_new (s->has_mark ? sheet_byte_order_mark : NULL);
  guint i;

  for (i = 0; i < s->lines->len; i++)
    {
      const SheetLine *l = g_ptr_array_index (s->lines, i);

      g_string_append (text, l->raw);
      g_string_append (text, l->ending);
    }
  return text;
}

/* Releases P, a SheetChange. */
void
sheet_change_free (gpointer p)
{
  SheetChange *c = p;

  g_free (c->workspace);
  g_free (c->before);
  g_free (c->after);
  g_free (c);
}

static void
add_change (GPtrArray *changes,
            const char *workspace,
            SheetColumn column,
            const char *before,
            const char *after)
{
  SheetChange *c = g_new (SheetChange, 1);

  *c = (SheetChange) { .workspace = g_strdup (workspace),
                       .column = column,
                       .before = g_strdup (before),
                       .after = g_strdup (after) };
  g_ptr_array_add (changes, c);
}

/* Adds to CHANGES the cells of the row of workspace NAME, all but the name,
   that differ between BEFORE and AFTER. */
void
sheet_diff_cells (GPtrArray *changes,
                  const char *name,
                  const Sheet *before,
                  const Sheet *after)
{
  int i;

  for (i = SHEET_WORKSPACE + 1; i < N_SHEET_COLUMNS; i++)
    {
      const char *was = util_str (sheet_cell (before, name, (SheetColumn)i));
      const char *is = util_str (sheet_cell (after, name, (SheetColumn)i));

      if (strcmp (was, is) != 0)
        add_change (changes, name, (SheetColumn)i, was, is);
    }
}

/* Returns the changes that lead from BEFORE to AFTER, an array of
   SheetChange for g_ptr_array_unref: those to rows that BEFORE has in its
   order, then the added rows in the order of AFTER, each followed by its
   cells that are not empty.  The order of rows and columns and comments
   have no meaning and make no change. */
GPtrArray *
sheet_diff (const Sheet *before, const Sheet *after)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (sheet_change_free);
  guint i;

  for (i = 0; i < before->rows->len; i++)
    {
      const char *name = sheet_row_at (before, i)->row->name;

      if (sheet_row (after, name))
        sheet_diff_cells (changes, name, before, after);
      else
        add_change (changes, name, SHEET_WORKSPACE, name, NULL);
    }
  for (i = 0; i < after->rows->len; i++)
    {
      const char *name = sheet_row_at (after, i)->row->name;

      if (sheet_row (before, name))
        continue;
      add_change (changes, name, SHEET_WORKSPACE, NULL, name);
      sheet_diff_cells (changes, name, before, after);
    }
  return changes;
}
