#ifndef TABLE_STATE_H
#define TABLE_STATE_H

#include "store.h"
#include "table.h"

/* What the modules of the table share.  For these alone:
   table.c       the table in force: from the store, to and from peers
   table_edit.c  operators' edits: check, merge, compare-and-swap */

/* A table that is or was in force. */
typedef struct Held
{
  TableValue *value;
  Sheet *sheet;
} Held;

struct Table
{
  Held now;    /* an empty value and no sheet before the first table */
  GQueue past; /* of Held, the newest first */
  ClockMs checked_at;
  gboolean offering;
  StoreWatch watch;
  Timer poll;
  Timer want;
  Timer offer;
  GQueue edits; /* of Edit */
};

Sheet *table_parse (GBytes *csv, const char *place, Findings *findings);
void table_note (Core *c, NoteKind kind, const TableValue *v, const char *why);
gint64 table_find_edit (const TableValue *v, const char *edit_id);
TableValue *table_read_item (Core *c, const StoreItem *item);
void
table_store_holds (Core *c, const TableValue *v, gint64 revision, gint64 since);
void table_read_store (Core *c, StoreDone done, gpointer owner);
gint64 table_write_store (Core *c,
                          const TableValue *v,
                          gint64 expect,
                          StoreDone done,
                          gpointer owner);

void table_apply_again (Core *c, const TableValue *loser);
void table_edit_free (gpointer p);

#endif
