#ifndef TABLE_H
#define TABLE_H

#include "core_state.h"

/* The operators' table in force: one row a workspace. */

enum
{
  TABLE_MAX_SHAPES = 16,
  TABLE_MAX_WORKSPACES = 4096
};

/* COUNT gangs of SIZE adjacent accelerators. */
typedef struct Shape
{
  gint64 count;
  gint64 size;
} Shape;

/* One row.  A limit of -1 is no limit.  WEIGHT is at least 1. */
typedef struct Workspace
{
  const char *name;
  guint index; /* of the row, from 0; changes from table to table */
  gint64 weight;
  Shape guarantee[TABLE_MAX_SHAPES]; /* greatest size first */
  guint n_shapes;
  gint64 max_accelerators;
  gint64 max_running;
  gint64 max_queued;
  gint64 requests_per_s;
  const char *token_sha256; /* hex, empty: any token will do */
} Workspace;

Table *table_new (Core *c);
void table_start (Core *c);
void table_free (Table *t);
gint64 table_revision (const Core *c);
guint table_n_workspaces (const Core *c);
const Workspace *table_workspace (const Core *c, guint i);
const Workspace *table_find (const Core *c, const char *name);
const Workspace *
table_authorize (const Core *c, const char *token, const char *workspace);
void table_on_value (Core *c, const Event *e);
void table_on_want (Core *c, const Event *e);

#endif
