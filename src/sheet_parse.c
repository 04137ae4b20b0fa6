#include "sheet_state.h"

#include <csv.h>
#include <string.h>

static const gint64 max_number = 1000000000;
static const gsize sha256_hex_digits = 64;
static const char hex_digits[] = "0123456789abcdefABCDEF";

/* The state of a parse. */
typedef struct SheetParse
{
  Sheet *sheet;
  SheetLine *line;
  const char *place;
  Findings *findings;
} SheetParse;

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
  char *text = g_strdup_printf ("\"%s\" %s",
                                sheet_cell_of (p->sheet, p->line, column), why);

  add_column_finding (p, sheet_column_name (column), text);
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
    if (strcmp (sheet_column_name (i), name) == 0)
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
      else if (s->column_at[column] >= 0)
        add_column_finding (p, name, "stands twice");
      else
        s->column_at[column] = (int)i;
    }
  if (s->column_at[SHEET_WORKSPACE] < 0)
    add_column_finding (p, sheet_column_name (SHEET_WORKSPACE), "is missing");
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
  const char *text = sheet_cell_of (p->sheet, p->line, column);
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
  const char *text = sheet_cell_of (p->sheet, p->line, SHEET_GUARANTEE);
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

static void
read_token (const SheetParse *p, Workspace *w)
{
  const char *text = sheet_cell_of (p->sheet, p->line, SHEET_TOKEN_SHA256);
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
  sum = sheet_guaranteed (w);
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
add_duplicate_finding (const SheetParse *p, const SheetLine *duplicate)
{
  char *why = g_strdup_printf ("already stands in line %u", duplicate->number);

  add_cell_finding (p, SHEET_WORKSPACE, why);
  g_free (why);
}

static void
read_name (const SheetParse *p, Workspace *w)
{
  const char *name = sheet_cell_of (p->sheet, p->line, SHEET_WORKSPACE);
  const SheetLine *duplicate = sheet_row (p->sheet, name);

  w->name = g_strdup (name);
  if (!util_is_name (name))
    add_cell_finding (p, SHEET_WORKSPACE,
                      "is not a name of 1 to 64 letters, digits and \"._-\"");
  else if (duplicate)
    add_duplicate_finding (p, duplicate);
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
  if (findings_count (p->findings) > before ||
      s->column_at[SHEET_WORKSPACE] < 0)
    return;
  w = g_new0 (Workspace, 1);
  p->line->row = w;
  w->index = s->rows->len;
  read_name (p, w);
  w->weight = read_number (p, SHEET_WEIGHT, 1, 1);
  if (*sheet_cell_of (s, p->line, SHEET_GUARANTEE))
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
      p->line = sheet_line_new (data, length, ending);
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

  if (n >= 3 && memcmp (data, sheet_byte_order_mark, 3) == 0)
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
