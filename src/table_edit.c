#include "table_state.h"

#include <string.h>

enum
{
  EDIT_MS = 5000, /* from an edit to its verdict */
  EDIT_RETRY_MS = 150,
  FORK_MS = 3600000 /* to apply again what a fork left out */
};

/* An edit on its way into the store: read, merge, write, again. */
typedef struct Edit
{
  char *edit_id;
  gint64 base_revision;
  Sheet *base; /* NULL: take it from what was in force */
  Sheet *mine;
  GBytes *csv;
  TableDone done;
  guint64 arg;
  ClockMs deadline;
  gboolean unsettled; /* a write may still have taken, or take, effect */
  gboolean merged;
  gint64 expect;      /* the store's revision that the last write expected */
  TableValue *wanted; /* what the last write wrote */
  Timer retry;
} Edit;

/* Releases P, an Edit; for the list of edits. */
void
table_edit_free (gpointer p)
{
  Edit *d = p;

  g_free (d->edit_id);
  sheet_free (d->base);
  sheet_free (d->mine);
  g_bytes_unref (d->csv);
  rec_free (table_value_desc (), d->wanted);
  g_free (d);
}

static void
end_edit (Core *c,
          Edit *d,
          TableVerdict verdict,
          gint64 revision,
          const Findings *findings)
{
  core_stop (c, &d->retry);
  g_queue_remove (&c->table->edits, d);
  if (verdict == TABLE_ACCEPTED)
    core_add (c, COUNT_TABLE_EDITS_DONE, 1);
  if (verdict == TABLE_ACCEPTED && d->merged)
    core_add (c, COUNT_TABLE_EDITS_MERGED, 1);
  if (verdict == TABLE_CONFLICT)
    core_add (c, COUNT_TABLE_CONFLICTS, 1);
  d->done (c, d->arg, verdict, revision, d->merged, findings);
  table_edit_free (d);
}

static void
end_edit_with (Core *c, Edit *d, TableVerdict verdict, const char *why)
{
  Findings findings;

  findings_init (&findings);
  findings_add (&findings, "table", "%s", why);
  end_edit (c, d, verdict, table_revision (c), &findings);
  findings_clear (&findings);
}

static const Sheet *
find_base (const Core *c, const Edit *d)
{
  const Table *t = c->table;
  const GList *i;

  if (t->now.sheet && d->base_revision == t->now.value->revision)
    return t->now.sheet;
  for (i = t->past.head; i; i = i->next)
    {
      const Held *h = i->data;

      if (h->value->revision == d->base_revision)
        return h->sheet;
    }
  return d->base;
}

static void
check_fleet (const Core *c, const Sheet *s, Findings *findings)
{
  guint n = c->cfg->workers.n;
  SheetWorker *workers = g_new0 (SheetWorker, n + 1);
  guint i;

  for (i = 0; i < n; i++)
    {
      const ConfigWorker *w = config_worker (c->cfg, i);

      workers[i] = (SheetWorker) { .domain = w->domain,
                                   .rack = w->rack,
                                   .accelerators = w->accelerators };
    }
  sheet_check_fleet (s, workers, n, "table", findings);
  g_free (workers);
}

/* Returns the text of D over the table in force; or ends D, and returns
   NULL, when it cannot be had. */
static GBytes *
merge_edit (Core *c, Edit *d)
{
  const Sheet *theirs = c->table->now.sheet;
  const Sheet *base = find_base (c, d);
  Findings findings;
  GBytes *text = NULL;
  TableVerdict verdict = TABLE_CONFLICT;
  GString *merged;
  Sheet *s;

  if (!theirs || base == theirs)
    return g_bytes_ref (d->csv);
  if (!base)
    {
      end_edit_with (c, d, TABLE_BASE_UNKNOWN,
                     "the revision that the edit was made from is no longer "
                     "known here: send its text too, or start from the table "
                     "in force");
      return NULL;
    }
  findings_init (&findings);
  merged = sheet_merge (base, d->mine, theirs, &findings);
  if (merged)
    {
      verdict = TABLE_INVALID;
      s = sheet_parse (merged->str, merged->len, "merged", &findings);
      if (s)
        {
          check_fleet (c, s, &findings);
          text = g_bytes_new (merged->str, merged->len);
          d->merged = TRUE;
        }
      sheet_free (s);
      g_string_free (merged, TRUE);
    }
  if (findings_count (&findings))
    {
      g_clear_pointer (&text, g_bytes_unref);
      end_edit (c, d, verdict, table_revision (c), &findings);
    }
  findings_clear (&findings);
  return text;
}

static void
list_edit (TableValue *v, const char *edit_id, gint64 revision)
{
  TableEdit *r = rec_list_add (table_edit_desc (), &v->recent);

  rec_set_str (&r->edit_id, edit_id);
  r->revision = revision;
}

static TableValue *
next_value (Core *c, const Edit *d, GBytes *text)
{
  const TableValue *now = c->table->now.value;
  TableValue *v = rec_new (table_value_desc ());
  guint i;

  v->revision = now->revision + 1;
  rec_set_str (&v->edit_id, d->edit_id);
  v->csv = g_bytes_ref (text);
  list_edit (v, d->edit_id, v->revision);
  for (i = 0; i < now->recent.n && v->recent.n < TABLE_RECENT_EDITS; i++)
    {
      const TableEdit *r = rec_list_at (table_edit_desc (), &now->recent, i);

      list_edit (v, r->edit_id, r->revision);
    }
  return v;
}

static void edit_read (Core *c, Edit *d);

static void
on_edit_retry (Core *c, Timer *t)
{
  edit_read (c, t->owner);
}

static void
edit_again (Core *c, Edit *d)
{
  if (c->now < d->deadline)
    core_arm (c, &d->retry, c->now + core_jitter (c, EDIT_RETRY_MS));
  else if (d->unsettled)
    end_edit_with (c, d, TABLE_UNSETTLED,
                   "the store did not say whether it took the edit: ask "
                   "again with the same edit id");
  else
    end_edit_with (c, d, TABLE_NOT_WRITTEN,
                   "the store does not answer; nothing was written");
}

static void
accept_edit (Core *c, Edit *d, const TableValue *v)
{
  table_note (c, NOTE_TABLE_EDITED, v, NULL);
  end_edit (c, d, TABLE_ACCEPTED, table_find_edit (v, d->edit_id), NULL);
}

static void
on_edit_written (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Edit *d = owner;
  const StoreItem *item = store_first_item (r);
  TableValue *v;

  (void)arg;
  if (r->status == STORE_OK)
    {
      v = g_steal_pointer (&d->wanted);
      d->unsettled = FALSE;
      table_store_holds (c, v, item ? item->revision : r->revision, 0);
      rec_free (table_value_desc (), v);
      if (table_find_edit (c->table->now.value, d->edit_id))
        accept_edit (c, d, c->table->now.value);
      else
        edit_again (c, d); /* a fork: another table of this revision wins */
      return;
    }
  if (r->status == STORE_LOST)
    d->unsettled = TRUE;
  edit_again (c, d);
}

/* Writes D over the store's value at REVISION.  A write whose answer was
   lost may still be on its way; writing again what expects the same
   revision is safe, since only one of the two can succeed. */
static void
edit_write (Core *c, Edit *d, gint64 revision)
{
  GBytes *text;

  if (d->unsettled && revision != d->expect)
    d->unsettled = FALSE;
  if (!d->unsettled || !d->wanted || d->wanted->revision <= table_revision (c))
    {
      text = merge_edit (c, d);
      if (!text)
        return;
      rec_free (table_value_desc (), d->wanted);
      d->wanted = next_value (c, d, text);
      g_bytes_unref (text);
    }
  d->expect = revision;
  table_write_store (c, d->wanted, revision, on_edit_written, d);
}

static void
on_edit_read (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Edit *d = owner;
  const StoreItem *item = store_first_item (r);
  gint64 revision = item ? item->revision : 0;
  TableValue *v = NULL;

  if (r->status == STORE_OK || r->status == STORE_MISSING)
    v = table_read_item (c, item);
  if (v)
    table_store_holds (c, v, revision, (gint64)arg);
  /* When a host has more than the store, that is learnt first. */
  if (v && table_find_edit (c->table->now.value, d->edit_id))
    accept_edit (c, d, c->table->now.value);
  else if (!v || member_with_table (c, table_revision (c)))
    edit_again (c, d);
  else
    edit_write (c, d, revision);
  rec_free (table_value_desc (), v);
}

static void
edit_read (Core *c, Edit *d)
{
  table_read_store (c, on_edit_read, d);
}

static Edit *
edit_new (Core *c,
          const char *edit_id,
          gint64 base_revision,
          GBytes *csv,
          ClockMs span)
{
  Edit *d = g_new0 (Edit, 1);

  *d = (Edit) { .edit_id = g_strdup (edit_id),
                .base_revision = base_revision,
                .csv = g_bytes_ref (csv),
                .deadline = c->now + span,
                .retry = { .fire = on_edit_retry, .owner = d } };
  g_queue_push_tail (&c->table->edits, d);
  return d;
}

/* An edit that conflicts with the one that won can't be kept; the time
   line says so. */
static void
on_applied_again (Core *c,
                  guint64 arg,
                  TableVerdict verdict,
                  gint64 revision,
                  gboolean merged,
                  const Findings *findings)
{
  char *why;

  (void)arg;
  (void)revision;
  (void)merged;
  if (verdict != TABLE_CONFLICT)
    return;
  why = findings_text (findings);
  table_note (c, NOTE_TABLE_CONFLICT, c->table->now.value, why);
  g_free (why);
}

/* Applies the edit that made LOSER, which a fork left out, to the table in
   force.  Every host that sees the fork does so; the edit's id makes it one
   edit. */
void
table_apply_again (Core *c, const TableValue *loser)
{
  const GList *i;
  Findings findings;
  Edit *d;

  core_add (c, COUNT_TABLE_FORKS, 1);
  table_note (c, NOTE_TABLE_FORK, loser, NULL);
  for (i = c->table->edits.head; i; i = i->next)
    if (strcmp (((const Edit *)i->data)->edit_id, loser->edit_id) == 0)
      return;
  if (!loser->csv)
    return;
  findings_init (&findings);
  d = edit_new (c, loser->edit_id, loser->revision - 1, loser->csv, FORK_MS);
  d->done = on_applied_again;
  d->mine = table_parse (loser->csv, "table", &findings);
  if (d->mine)
    edit_read (c, d);
  else
    end_edit (c, d, TABLE_INVALID, table_revision (c), &findings);
  findings_clear (&findings);
}

/* Applies CHANGE to the table: it is checked, merged with what has come
   into force since its base, and written by compare-and-swap.  DONE is
   called once, with ARG, maybe before this returns. */
void
table_edit (Core *c, const TableChange *change, TableDone done, guint64 arg)
{
  Edit *d = edit_new (c, change->edit_id, change->base_revision, change->csv,
                      EDIT_MS);
  Findings findings;

  core_add (c, COUNT_TABLE_EDITS, 1);
  d->done = done;
  d->arg = arg;
  findings_init (&findings);
  d->mine = table_parse (change->csv, "table", &findings);
  if (d->mine)
    check_fleet (c, d->mine, &findings);
  if (change->base)
    d->base = table_parse (change->base, "base", &findings);
  if (findings_count (&findings))
    end_edit (c, d, TABLE_INVALID, table_revision (c), &findings);
  else if (table_find_edit (c->table->now.value, d->edit_id))
    accept_edit (c, d, c->table->now.value);
  else
    edit_read (c, d);
  findings_clear (&findings);
}
