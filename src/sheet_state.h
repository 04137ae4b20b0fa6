#ifndef SHEET_STATE_H
#define SHEET_STATE_H

#include "sheet.h"

/* What the modules of the sheet share.  For these alone:
   sheet.c        lines, rows and cells; printing; differences
   sheet_parse.c  from text, with findings
   sheet_merge.c  two edits of one sheet
   sheet_check.c  guarantees against the fleet */

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
  guint number;       /* in the file, from 1 */
  char *raw;          /* without its ending */
  const char *ending; /* "\n", "\r\n" or, of the last line, "" */
  GPtrArray *cells;   /* of char *; of a header or row */
  Workspace *row;
} SheetLine;

struct Sheet
{
  gboolean has_mark; /* a byte order mark in front */
  GPtrArray *lines;  /* of SheetLine, all of the file */
  GPtrArray *rows;   /* of SheetLine, the rows only */
  GHashTable *by_name;
  int column_at[N_SHEET_COLUMNS]; /* in a row; -1: no such column */
  SheetLine *header;
};

extern const char sheet_byte_order_mark[];

Sheet *sheet_new (void);
SheetLine *sheet_line_new (const char *data, gsize n, const char *ending);
SheetLine *sheet_row_at (const Sheet *s, guint i);
SheetLine *sheet_row (const Sheet *s, const char *name);
const char *
sheet_cell_of (const Sheet *s, const SheetLine *l, SheetColumn column);
gint64 sheet_guaranteed (const Workspace *w);
void sheet_change_free (gpointer p);
void sheet_diff_cells (GPtrArray *changes,
                       const char *name,
                       const Sheet *before,
                       const Sheet *after);

#endif
