#ifndef TABLE_H
#define TABLE_H

#include "core_state.h"
#include "member.h"
#include "sheet.h"

/* The operators' table in force: one row a workspace. */

/* How an edit ended. */
#define TABLE_VERDICTS(X)                                                      \
  X (TABLE_ACCEPTED, "accepted")                                               \
  X (TABLE_CONFLICT, "conflict") /* the same cell was changed */               \
  X (TABLE_INVALID, "invalid")   /* does not parse or does not fit */          \
  X (TABLE_BASE_UNKNOWN, "base unknown")                                       \
  X (TABLE_NOT_WRITTEN, "not written") /* certainly */                         \
  X (TABLE_UNSETTLED, "unknown")       /* ask again with the same edit id */

#define TABLE_VERDICT_ENUM(kind, name) kind,
typedef enum TableVerdict
{
  TABLE_VERDICTS (TABLE_VERDICT_ENUM) N_TABLE_VERDICTS
} TableVerdict;

/* An edit: the whole table as the operator wants it, made from the table of
   BASE_REVISION.  BASE, its text, may be NULL as long as this host still
   remembers that revision. */
typedef struct TableChange
{
  const char *edit_id;
  gint64 base_revision;
  GBytes *base;
  GBytes *csv;
} TableChange;

/* Called once for each edit, with the revision that it made, or the one in
   force, and all FINDINGS. */
typedef void (*TableDone) (Core *c,
                           guint64 arg,
                           TableVerdict verdict,
                           gint64 revision,
                           gboolean merged,
                           const Findings *findings);

Table *table_new (Core *c);
void table_start (Core *c);
void table_free (Table *t);
gint64 table_revision (const Core *c);
guint table_n_workspaces (const Core *c);
const Workspace *table_workspace (const Core *c, guint i);
const Workspace *table_find (const Core *c, const char *name);
const Workspace *
table_authorize (const Core *c, const char *token, const char *workspace);
GBytes *table_csv (const Core *c);
const char *table_edit_id (const Core *c);
ClockMs table_checked_at (const Core *c);
gboolean table_in_force (const Core *c, guint *n_live, guint *n_in_force);
const char *table_verdict_name (TableVerdict v);
void
table_edit (Core *c, const TableChange *change, TableDone done, guint64 arg);
void table_peer_has (Core *c, const MemberHost *h);
void table_on_value (Core *c, const Event *e);
void table_on_want (Core *c, const Event *e);

#endif
