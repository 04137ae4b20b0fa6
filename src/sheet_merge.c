#include "sheet_state.h"

#include <csv.h>
#include <string.h>

static void
append_cell (GString *s, const char *text)
{
  gsize n = strlen (text);
  gsize size = 2 * n + 2;
  char *quoted;

  if (text[strcspn (text, ",\"")] == '\0' && !g_ascii_isspace (text[0]) &&
      !(n && g_ascii_isspace (text[n - 1])))
    {
      g_string_append (s, text);
      return;
    }
  quoted = g_malloc (size);
  size = csv_write (quoted, size, text, n);
  g_string_append_len (s, quoted, (gssize)size);
  g_free (quoted);
}

/* Writes the raw text of L anew from its cells. */
static void
render (SheetLine *l)
{
  GString *s = g_string_new (NULL);
  guint i;

  for (i = 0; i < l->cells->len; i++)
    {
      if (i)
        g_string_append_c (s, ',');
      append_cell (s, g_ptr_array_index (l->cells, i));
    }
  g_free (l->raw);
  l->raw = g_string_free (s, FALSE);
}

static void
set_cell (SheetLine *l, guint at, const char *text)
{
  while (l->cells->len <= at)
    g_ptr_array_add (l->cells, g_strdup (""));
  g_free (g_ptr_array_index (l->cells, at));
  g_ptr_array_index (l->cells, at) = g_strdup (text);
  render (l);
}

static guint
column_for (Sheet *s, SheetColumn column)
{
  if (s->column_at[column] < 0)
    {
      s->column_at[column] = (int)s->header->cells->len;
      set_cell (s->header, s->header->cells->len, sheet_column_name (column));
    }
  return (guint)s->column_at[column];
}

/* Gives the last line an ending, so that another can follow. */
static const char *
terminate_last_line (Sheet *s)
{
  SheetLine *last = g_ptr_array_index (s->lines, s->lines->len - 1);

  if (*last->ending == '\0')
    last->ending = *s->header->ending ? s->header->ending : "\n";
  return last->ending;
}

static SheetLine *
append_row (Sheet *s, const char *name)
{
  SheetLine *l = sheet_line_new ("", 0, terminate_last_line (s));

  l->kind = LINE_ROW;
  l->cells = g_ptr_array_new_with_free_func (g_free);
  l->row = g_new0 (Workspace, 1);
  l->row->name = g_strdup (name);
  set_cell (l, (guint)s->column_at[SHEET_WORKSPACE], name);
  g_ptr_array_add (s->lines, l);
  g_ptr_array_add (s->rows, l);
  g_hash_table_insert (s->by_name, (gpointer)l->row->name, l);
  return l;
}

static void
remove_row (Sheet *s, const char *name)
{
  SheetLine *l = sheet_row (s, name);

  g_hash_table_remove (s->by_name, name);
  g_ptr_array_remove (s->rows, l);
  g_ptr_array_remove (s->lines, l);
}

/* A merge of MINE, made from BASE, into a copy of THEIRS. */
typedef struct SheetMerge
{
  const Sheet *base;
  const Sheet *mine;
  const Sheet *theirs;
  Sheet *out;
  Findings *conflicts;
} SheetMerge;

static char *
quote_cell (const char *text)
{
  return text ? g_strdup_printf ("\"%s\"", text) : g_strdup ("no row");
}

static void
add_conflict (const SheetMerge *m,
              const char *workspace,
              SheetColumn column,
              const char *mine,
              const char *theirs)
{
  char *place = g_strdup_printf ("workspace \"%s\", column \"%s\"", workspace,
                                 sheet_column_name (column));
  char *ours = quote_cell (mine);
  char *others = quote_cell (theirs);

  findings_add (m->conflicts, place, "your edit has %s, the table in force %s",
                ours, others);
  g_free (others);
  g_free (ours);
  g_free (place);
}

static gboolean
row_differs (const Sheet *a, const Sheet *b, const char *name)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (sheet_change_free);
  gboolean differs;

  sheet_diff_cells (changes, name, a, b);
  differs = changes->len > 0;
  g_ptr_array_unref (changes);
  return differs;
}

/* Takes over that my edit adds or removes a row. */
static void
merge_row (const SheetMerge *m, const SheetChange *c)
{
  const char *theirs = sheet_cell (m->theirs, c->workspace, SHEET_WORKSPACE);

  if (c->after)
    {
      if (!theirs)
        append_row (m->out, c->workspace);
      else if (row_differs (m->mine, m->theirs, c->workspace))
        add_conflict (m, c->workspace, SHEET_WORKSPACE,
                      sheet_row (m->mine, c->workspace)->raw,
                      sheet_row (m->theirs, c->workspace)->raw);
      return;
    }
  if (!theirs)
    return;
  if (row_differs (m->base, m->theirs, c->workspace))
    add_conflict (m, c->workspace, SHEET_WORKSPACE, NULL,
                  sheet_row (m->theirs, c->workspace)->raw);
  else
    remove_row (m->out, c->workspace);
}

static void
merge_cell (const SheetMerge *m, const SheetChange *c)
{
  const char *theirs = sheet_cell (m->theirs, c->workspace, c->column);
  SheetLine *l = sheet_row (m->out, c->workspace);

  if (!sheet_row (m->base, c->workspace) && theirs)
    return; /* added by both; merge_row has compared the rows */
  if (theirs && strcmp (theirs, c->after) == 0)
    return;
  if (sheet_row (m->base, c->workspace) &&
      (!theirs || strcmp (theirs, c->before) != 0))
    add_conflict (m, c->workspace, c->column, c->after, theirs);
  else
    set_cell (l, column_for (m->out, c->column), c->after);
}

static SheetLine *
find_comment (const Sheet *s, const char *raw)
{
  guint i;

  for (i = 0; i < s->lines->len; i++)
    {
      SheetLine *l = g_ptr_array_index (s->lines, i);

      if (l->kind == LINE_COMMENT && strcmp (l->raw, raw) == 0)
        return l;
    }
  return NULL;
}

/* Returns where in OUT a comment belongs that stands before line I of S:
   before the same row, or at the end. */
static guint
comment_place (const Sheet *out, const Sheet *s, guint i)
{
  guint at = out->lines->len;

  for (; i < s->lines->len; i++)
    {
      const SheetLine *l = g_ptr_array_index (s->lines, i);
      SheetLine *same = NULL;

      if (l->kind == LINE_HEADER)
        same = out->header;
      else if (l->kind == LINE_ROW)
        same = sheet_row (out, l->row->name);
      if (same && g_ptr_array_find (out->lines, same, &at))
        return at;
    }
  return at;
}

static void
merge_comments (const SheetMerge *m)
{
  guint i;

  for (i = 0; i < m->base->lines->len; i++)
    {
      const SheetLine *l = g_ptr_array_index (m->base->lines, i);
      SheetLine *gone = NULL;

      if (l->kind == LINE_COMMENT && !find_comment (m->mine, l->raw))
        gone = find_comment (m->out, l->raw);
      if (gone)
        g_ptr_array_remove (m->out->lines, gone);
    }
  for (i = 0; i < m->mine->lines->len; i++)
    {
      const SheetLine *l = g_ptr_array_index (m->mine->lines, i);
      SheetLine *added;

      if (l->kind != LINE_COMMENT || find_comment (m->base, l->raw) ||
          find_comment (m->out, l->raw))
        continue;
      added = sheet_line_new (l->raw, strlen (l->raw),
                              terminate_last_line (m->out));
      added->kind = LINE_COMMENT;
      g_ptr_array_insert (m->out->lines,
                          (gint)comment_place (m->out, m->mine, i), added);
    }
}

static Sheet *
sheet_copy (const Sheet *s)
{
  GString *text = sheet_print (s);
  Findings findings;
  Sheet *copy;

  findings_init (&findings);
  copy = sheet_parse (text->str, text->len, "copy", &findings);
  g_assert (copy); /* what was read once can be read again */
  findings_clear (&findings);
  g_string_free (text, TRUE);
  return copy;
}

/* Merges what leads from BASE to MINE into THEIRS, cell by cell.  Returns
   the text of the result, with the comments of both; or adds a finding
   with both values for every cell that both have changed differently, and
   returns NULL.  The values of the result are still to be checked, for
   cells of one row can contradict each other. */
GString *
sheet_merge (const Sheet *base,
             const Sheet *mine,
             const Sheet *theirs,
             Findings *conflicts)
{
  SheetMerge m = { .base = base,
                   .mine = mine,
                   .theirs = theirs,
                   .out = sheet_copy (theirs),
                   .conflicts = conflicts };
  guint before = findings_count (conflicts);
  GPtrArray *changes = sheet_diff (base, mine);
  GString *text = NULL;
  guint i;

  for (i = 0; i < changes->len; i++)
    {
      const SheetChange *c = g_ptr_array_index (changes, i);

      if (c->column == SHEET_WORKSPACE)
        merge_row (&m, c);
      else
        merge_cell (&m, c);
    }
  merge_comments (&m);
  if (findings_count (conflicts) == before)
    text = sheet_print (m.out);
  g_ptr_array_unref (changes);
  sheet_free (m.out);
  return text;
}
