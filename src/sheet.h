#ifndef SHEET_H
#define SHEET_H

#include "util.h"

/* The operators' table as text: comma-separated values, one line a row,
   lines that start with "#" are comments.  A sheet keeps every line as it
   was written, so that it prints back byte for byte. */

enum
{
  TABLE_MAX_SHAPES = 16,
  TABLE_MAX_WORKSPACES = 4096,
  SHEET_MAX_CELL = 512
};

/* X (kind, name): the columns, in any order in a file. */
#define SHEET_COLUMNS(X)                                                       \
  X (SHEET_WORKSPACE, "workspace")                                             \
  X (SHEET_WEIGHT, "weight")                                                   \
  X (SHEET_GUARANTEE, "guarantee")                                             \
  X (SHEET_MAX_ACCELERATORS, "max_accelerators")                               \
  X (SHEET_MAX_RUNNING, "max_running")                                         \
  X (SHEET_MAX_QUEUED, "max_queued")                                           \
  X (SHEET_REQUESTS_PER_S, "requests_per_s")                                   \
  X (SHEET_TOKEN_SHA256, "token_sha256")

#define SHEET_ENUM(kind, name) kind,
typedef enum SheetColumn
{
  SHEET_COLUMNS (SHEET_ENUM) N_SHEET_COLUMNS
} SheetColumn;

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

/* One difference between two sheets.  A row that only one of them has is
   one change of the column SHEET_WORKSPACE, with the absent side NULL. */
typedef struct SheetChange
{
  char *workspace;
  SheetColumn column;
  char *before;
  char *after;
} SheetChange;

/* A worker of the fleet that guarantees must fit. */
typedef struct SheetWorker
{
  const char *domain;
  const char *rack;
  gint64 accelerators;
} SheetWorker;

typedef struct Sheet Sheet;

Sheet *
sheet_parse (const char *data, gsize n, const char *place, Findings *findings);
void sheet_free (Sheet *s);
guint sheet_n_workspaces (const Sheet *s);
const Workspace *sheet_workspace (const Sheet *s, guint i);
const Workspace *sheet_find (const Sheet *s, const char *name);
const char *sheet_column_name (SheetColumn column);
const char *
sheet_cell (const Sheet *s, const char *workspace, SheetColumn column);
GString *sheet_print (const Sheet *s);
GPtrArray *sheet_diff (const Sheet *before, const Sheet *after);
GString *sheet_merge (const Sheet *base,
                      const Sheet *mine,
                      const Sheet *theirs,
                      Findings *conflicts);
void sheet_check_fleet (const Sheet *s,
                        const SheetWorker *workers,
                        guint n_workers,
                        const char *place,
                        Findings *findings);

#endif
