#include "sheet.h"

#include <csv.h>
#include <string.h>

static const gint64 max_number = 1000000000;
static const gsize sha256_hex_digits = 64;
static const char byte_order_mark[] = "\xef\xbb\xbf";
static const char hex_digits[] = "0123456789abcdefABCDEF";

typedef enum LineKind
{
  LINE_BLANK,
  LINE_COMMENT,
  LINE_HEADER,
  LINE_ROW
} LineKind;

typedef struct SheetLine
{
  LineKind kind;
  guint number; /* in the file, from 1 */
  char *raw;    /* without its ending */
  const char *ending;
  GPtrArray *cells; /* of char *; of a header or row */
  Workspace *row;
} SheetLine;

struct Sheet
{
  gboolean has_mark;
  GPtrArray *lines; /* of SheetLine, all of the file */
  GPtrArray *rows;  /* of SheetLine, the rows only */
  GHashTable *by_name;
  int place_of[N_SHEET_COLUMNS]; /* in a row; -1: no such column */
  SheetLine *header;
};

/* What a parse carries along. */
typedef struct SheetParse
{
  Sheet *sheet;
  SheetLine *line;
  const char *place;
  Findings *findings;
} SheetParse;

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

static SheetLine *
line_new (const char *data, gsize n, const char *ending)
{
  SheetLine *l = g_new0 (SheetLine, 1);

  l->raw = g_strndup (data, n);
  l->ending = ending;
  return l;
}

static Sheet *
sheet_new (void)
{
  Sheet *s = g_new0 (Sheet, 1);
  guint i;

  s->lines = g_ptr_array_new_with_free_func (line_free);
  s->rows = g_ptr_array_new ();
  s->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < N_SHEET_COLUMNS; i++)
    s->place_of[i] = -1;
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

static SheetLine *
row_at (const Sheet *s, guint i)
{
  return g_ptr_array_index (s->rows, i);
}

static SheetLine *
row_find (const Sheet *s, const char *name)
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
  return row_at (s, i)->row;
}

/* Returns the workspace called NAME, or NULL. */
const Workspace *
sheet_find (const Sheet *s, const char *name)
{
  const SheetLine *l = row_find (s, name);

  return l ? l->row : NULL;
}

static const char *
cell_of (const Sheet *s, const SheetLine *l, SheetColumn column)
{
  int at = s->place_of[column];

  if (at < 0 || (guint)at >= l->cells->len)
    return "";
  return g_ptr_array_index (l->cells, at);
}

/* Returns the text in COLUMN of WORKSPACE's row: empty for an empty cell
   and for a column that the file lacks, NULL without such a row. */
const char *
sheet_cell (const Sheet *s, const char *workspace, SheetColumn column)
{
  const SheetLine *l = row_find (s, workspace);

  return l ? cell_of (s, l, column) : NULL;
}

static void add_finding (const SheetParse *p, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_finding (const SheetParse *p, const char *format, ...)
{
  char *place = g_strdup_printf ("%s:%u", p->place, p->line->number);
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  findings_add (p->findings, place, "%s", text);
  g_free (text);
  g_free (place);
}

static void
add_column_finding (const SheetParse *p, const char *column, const char *why)
{
  char *place = g_strdup_printf ("%s:%u: column \"%s\"", p->place,
                                 p->line->number, column);

  findings_add (p->findings, place, "%s", why);
  g_free (place);
}

static void
add_cell_finding (const SheetParse *p, SheetColumn column, const char *why)
{
  char *text =
      g_strdup_printf ("\"%s\" %s", cell_of (p->sheet, p->line, column), why);

  add_column_finding (p, column_names[column], text);
  g_free (text);
}

static void
on_cell (void *data, size_t n, void *user)
{
  SheetParse *p = user;

  g_ptr_array_add (p->line->cells, g_strndup (data ? data : "", n));
}

/* Reads the cells of one line.  A cell never spans lines, so an open quote
   harms no other line. */
static gboolean
split_line (SheetParse *p)
{
  struct csv_parser csv;
  gsize n = strlen (p->line->raw);
  gboolean ok;

  p->line->cells = g_ptr_array_new_with_free_func (g_free);
  if (csv_init (&csv, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0)
    return FALSE;
  ok = csv_parse (&csv, p->line->raw, n, on_cell, NULL, p) == n &&
       csv_fini (&csv, on_cell, NULL, p) == 0;
  csv_free (&csv);
  if (!ok)
    add_finding (p, "a quote is not closed, or stands inside a cell");
  return ok;
}

static gboolean
check_bytes (const SheetParse *p, const char *data, gsize n)
{
  const char *bad;

  if (memchr (data, '\0', n))
    add_finding (p, "byte %" G_GSIZE_FORMAT " is NUL",
                 (gsize)((const char *)memchr (data, '\0', n) - data) + 1);
  else if (memchr (data, '\r', n))
    add_finding (p, "a carriage return stands inside the line");
  else if (!g_utf8_validate_len (data, n, &bad))
    add_finding (p, "byte %" G_GSIZE_FORMAT " is not UTF-8",
                 (gsize)(bad - data) + 1);
  else
    return TRUE;
  return FALSE;
}

static gboolean
is_blank (const char *s)
{
  return s[strspn (s, " \t")] == '\0';
}

static int
column_from_name (const char *name)
{
  int i;

  for (i = 0; i < N_SHEET_COLUMNS; i++)
    if (strcmp (column_names[i], name) == 0)
      return i;
  return -1;
}

static void
read_header (SheetParse *p)
{
  Sheet *s = p->sheet;
  guint i;

  s->header = p->line;
  p->line->kind = LINE_HEADER;
  for (i = 0; i < p->line->cells->len; i++)
    {
      const char *name = g_ptr_array_index (p->line->cells, i);
      int column = column_from_name (name);

      if (column < 0)
        add_column_finding (p, name, "there is no such column");
      else if (s->place_of[column] >= 0)
        add_column_finding (p, name, "stands twice");
      else
        s->place_of[column] = (int)i;
    }
  if (s->place_of[SHEET_WORKSPACE] < 0)
    add_column_finding (p, column_names[SHEET_WORKSPACE], "is missing");
}

static gboolean
read_digits (const char *s, gsize n, gint64 *value)
{
  gsize i;

  *value = 0;
  for (i = 0; i < n; i++)
    {
      if (!g_ascii_isdigit (s[i]) || *value > max_number)
        return FALSE;
      *value = *value * 10 + (s[i] - '0');
    }
  return n > 0 && *value <= max_number;
}

static gint64
read_number (const SheetParse *p, SheetColumn column, gint64 least, gint64 none)
{
  const char *text = cell_of (p->sheet, p->line, column);
  gint64 value;

  if (*text == '\0')
    return none;
  if (read_digits (text, strlen (text), &value) && value >= least)
    return value;
  add_cell_finding (p, column,
                    least ? "is not a whole number from 1 to 1000000000"
                          : "is not a whole number from 0 to 1000000000");
  return none;
}

/* Adds COUNT gangs of SIZE, the greatest size first. */
static gboolean
add_shape (Workspace *w, gint64 count, gint64 size)
{
  guint i = 0;

  while (i < w->n_shapes && w->guarantee[i].size > size)
    i++;
  if (i < w->n_shapes && w->guarantee[i].size == size)
    {
      w->guarantee[i].count += count;
      return TRUE;
    }
  if (w->n_shapes == TABLE_MAX_SHAPES)
    return FALSE;
  memmove (&w->guarantee[i + 1], &w->guarantee[i],
           (w->n_shapes - i) * sizeof (Shape));
  w->guarantee[i] = (Shape) { .count = count, .size = size };
  w->n_shapes++;
  return TRUE;
}

static gboolean
read_shape (Workspace *w, const char *text)
{
  gsize n = strcspn (text, "x");
  gint64 count;
  gint64 size;

  if (text[n] != 'x' || !read_digits (text, n, &count) ||
      !read_digits (text + n + 1, strlen (text + n + 1), &size))
    return FALSE;
  return count > 0 && size > 0 && add_shape (w, count, size);
}

static void
read_guarantee (const SheetParse *p, Workspace *w)
{
  const char *text = cell_of (p->sheet, p->line, SHEET_GUARANTEE);
  char **parts = g_strsplit (text, "+", -1);
  guint i;

  for (i = 0; parts[i]; i++)
    if (!read_shape (w, g_strchug (g_strchomp (parts[i]))))
      {
        add_cell_finding (p, SHEET_GUARANTEE,
                          "is not COUNTxSIZE, joined by \"+\", of at most 16 "
                          "sizes");
        break;
      }
  g_strfreev (parts);
}

static gint64
guaranteed (const Workspace *w)
{
  gint64 sum = 0;
  guint i;

  for (i = 0; i < w->n_shapes; i++)
    sum += w->guarantee[i].count * w->guarantee[i].size;
  return sum;
}

static void
read_token (const SheetParse *p, Workspace *w)
{
  const char *text = cell_of (p->sheet, p->line, SHEET_TOKEN_SHA256);
  gsize n = strlen (text);

  w->token_sha256 = g_ascii_strdown (text, -1);
  if (n && (n != sha256_hex_digits || strspn (text, hex_digits) != n))
    add_cell_finding (p, SHEET_TOKEN_SHA256, "is not 64 hexadecimal digits");
}

static void
read_limits (const SheetParse *p, Workspace *w)
{
  gint64 sum;

  w->max_accelerators = read_number (p, SHEET_MAX_ACCELERATORS, 0, -1);
  w->max_running = read_number (p, SHEET_MAX_RUNNING, 0, -1);
  w->max_queued = read_number (p, SHEET_MAX_QUEUED, 0, -1);
  w->requests_per_s = read_number (p, SHEET_REQUESTS_PER_S, 0, -1);
  sum = guaranteed (w);
  if (w->max_accelerators >= 0 && w->max_accelerators < sum)
    add_cell_finding (p, SHEET_MAX_ACCELERATORS,
                      "is less than the guarantee of the same row");
}

static void
check_width (const SheetParse *p)
{
  guint n = p->sheet->header->cells->len;
  guint i;

  for (i = 0; i < p->line->cells->len; i++)
    {
      const char *text = g_ptr_array_index (p->line->cells, i);

      if (i >= n && *text)
        add_finding (p, "cell %u \"%.64s\" has no column", i + 1, text);
      if (strlen (text) > SHEET_MAX_CELL)
        add_finding (p, "cell %u is longer than %d bytes", i + 1,
                     SHEET_MAX_CELL);
    }
}

static void
add_twin_finding (const SheetParse *p, const SheetLine *twin)
{
  char *why = g_strdup_printf ("already stands in line %u", twin->number);

  add_cell_finding (p, SHEET_WORKSPACE, why);
  g_free (why);
}

static void
read_name (const SheetParse *p, Workspace *w)
{
  const char *name = cell_of (p->sheet, p->line, SHEET_WORKSPACE);
  const SheetLine *twin = row_find (p->sheet, name);

  w->name = g_strdup (name);
  if (!util_is_name (name))
    add_cell_finding (p, SHEET_WORKSPACE,
                      "is not a name of 1 to 64 letters, digits and \"._-\"");
  else if (twin)
    add_twin_finding (p, twin);
  else
    g_hash_table_insert (p->sheet->by_name, (gpointer)w->name, p->line);
}

static void
read_row (SheetParse *p)
{
  Sheet *s = p->sheet;
  Workspace *w;
  guint before = findings_count (p->findings);

  p->line->kind = LINE_ROW;
  check_width (p);
  if (findings_count (p->findings) > before || s->place_of[SHEET_WORKSPACE] < 0)
    return;
  w = g_new0 (Workspace, 1);
  p->line->row = w;
  w->index = s->rows->len;
  read_name (p, w);
  w->weight = read_number (p, SHEET_WEIGHT, 1, 1);
  if (*cell_of (s, p->line, SHEET_GUARANTEE))
    read_guarantee (p, w);
  read_limits (p, w);
  read_token (p, w);
  g_ptr_array_add (s->rows, p->line);
  if (s->rows->len == TABLE_MAX_WORKSPACES + 1)
    add_finding (p, "more than %d workspaces", TABLE_MAX_WORKSPACES);
}

static void
read_line (SheetParse *p, const char *data, gsize n)
{
  if (!check_bytes (p, data, n))
    return;
  if (is_blank (p->line->raw))
    p->line->kind = LINE_BLANK;
  else if (p->line->raw[0] == '#')
    p->line->kind = LINE_COMMENT;
  else if (split_line (p))
    {
      if (p->sheet->header)
        read_row (p);
      else
        read_header (p);
    }
}

static void
read_lines (SheetParse *p, const char *data, gsize n)
{
  guint number = 0;

  while (n)
    {
      const char *end = memchr (data, '\n', n);
      gsize whole = end ? (gsize)(end - data) + 1 : n;
      gsize length = end ? whole - 1 : n;
      const char *ending = end ? "\n" : "";

      if (end && length && data[length - 1] == '\r')
        {
          length--;
          ending = "\r\n";
        }
      p->line = line_new (data, length, ending);
      p->line->number = ++number;
      g_ptr_array_add (p->sheet->lines, p->line);
      read_line (p, data, length);
      data += whole;
      n -= whole;
    }
}

/* Reads the N bytes at DATA, called PLACE in findings.  Everything that is
   wrong is added to FINDINGS; returns the sheet, for sheet_free, or NULL
   when there was any finding. */
Sheet *
sheet_parse (const char *data, gsize n, const char *place, Findings *findings)
{
  SheetParse p = { .sheet = sheet_new (),
                   .place = place,
                   .findings = findings };
  guint before = findings_count (findings);

  if (n >= 3 && memcmp (data, byte_order_mark, 3) == 0)
    {
      p.sheet->has_mark = TRUE;
      data += 3;
      n -= 3;
    }
  read_lines (&p, data, n);
  if (!p.sheet->header && findings_count (findings) == before)
    findings_add (findings, place, "has no header line");
  if (findings_count (findings) == before)
    return p.sheet;
  sheet_free (p.sheet);
  return NULL;
}

/* Returns S as text: what was read, byte for byte. */
GString *
sheet_print (const Sheet *s)
{
  GString *text = g_string_new (s->has_mark ? byte_order_mark : NULL);
  guint i;

  for (i = 0; i < s->lines->len; i++)
    {
      const SheetLine *l = g_ptr_array_index (s->lines, i);

      g_string_append (text, l->raw);
      g_string_append (text, l->ending);
    }
  return text;
}

static void
change_free (gpointer p)
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

static void
diff_cells (GPtrArray *changes,
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
  GPtrArray *changes = g_ptr_array_new_with_free_func (change_free);
  guint i;

  for (i = 0; i < before->rows->len; i++)
    {
      const char *name = row_at (before, i)->row->name;

      if (row_find (after, name))
        diff_cells (changes, name, before, after);
      else
        add_change (changes, name, SHEET_WORKSPACE, name, NULL);
    }
  for (i = 0; i < after->rows->len; i++)
    {
      const char *name = row_at (after, i)->row->name;

      if (row_find (before, name))
        continue;
      add_change (changes, name, SHEET_WORKSPACE, NULL, name);
      diff_cells (changes, name, before, after);
    }
  return changes;
}

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
place_for (Sheet *s, SheetColumn column)
{
  if (s->place_of[column] < 0)
    {
      s->place_of[column] = (int)s->header->cells->len;
      set_cell (s->header, s->header->cells->len, column_names[column]);
    }
  return (guint)s->place_of[column];
}

/* Gives the last line an ending, so that another can follow. */
static const char *
end_last_line (Sheet *s)
{
  SheetLine *last = g_ptr_array_index (s->lines, s->lines->len - 1);

  if (*last->ending == '\0')
    last->ending = *s->header->ending ? s->header->ending : "\n";
  return last->ending;
}

static SheetLine *
append_row (Sheet *s, const char *name)
{
  SheetLine *l = line_new ("", 0, end_last_line (s));

  l->kind = LINE_ROW;
  l->cells = g_ptr_array_new_with_free_func (g_free);
  l->row = g_new0 (Workspace, 1);
  l->row->name = g_strdup (name);
  set_cell (l, (guint)s->place_of[SHEET_WORKSPACE], name);
  g_ptr_array_add (s->lines, l);
  g_ptr_array_add (s->rows, l);
  g_hash_table_insert (s->by_name, (gpointer)l->row->name, l);
  return l;
}

static void
remove_row (Sheet *s, const char *name)
{
  SheetLine *l = row_find (s, name);

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
                                 column_names[column]);
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
  GPtrArray *changes = g_ptr_array_new_with_free_func (change_free);
  gboolean differs;

  diff_cells (changes, name, a, b);
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
                      row_find (m->mine, c->workspace)->raw,
                      row_find (m->theirs, c->workspace)->raw);
      return;
    }
  if (!theirs)
    return;
  if (row_differs (m->base, m->theirs, c->workspace))
    add_conflict (m, c->workspace, SHEET_WORKSPACE, NULL,
                  row_find (m->theirs, c->workspace)->raw);
  else
    remove_row (m->out, c->workspace);
}

static void
merge_cell (const SheetMerge *m, const SheetChange *c)
{
  const char *theirs = sheet_cell (m->theirs, c->workspace, c->column);
  SheetLine *l = row_find (m->out, c->workspace);

  if (!row_find (m->base, c->workspace) && theirs)
    return; /* added by both; merge_row has compared the rows */
  if (theirs && strcmp (theirs, c->after) == 0)
    return;
  if (row_find (m->base, c->workspace) &&
      (!theirs || strcmp (theirs, c->before) != 0))
    add_conflict (m, c->workspace, c->column, c->after, theirs);
  else
    set_cell (l, place_for (m->out, c->column), c->after);
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
        same = row_find (out, l->row->name);
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
      added = line_new (l->raw, strlen (l->raw), end_last_line (m->out));
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

/* The fleet while guarantees are packed onto it, the largest gang first. */
typedef struct Packing
{
  guint n;
  gint64 *left; /* accelerators of each worker */
} Packing;

/* Takes SIZE accelerators of the worker that they leave the least on. */
static gboolean
gang_packed (Packing *k, gint64 size)
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
    g_array_append_vals (all, row_at (s, i)->row->guarantee,
                         row_at (s, i)->row->n_shapes);
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
      const Workspace *w = row_at (s, i)->row;

      if (w->n_shapes == 0)
        continue;
      g_string_append_printf (terms, "%s%s %" G_GINT64_FORMAT, sum ? " + " : "",
                              w->name, guaranteed (w));
      sum += guaranteed (w);
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

      while (fit < shape->count && gang_packed (k, shape->size))
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
