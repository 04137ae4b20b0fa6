#include "table.h"

#include "store.h"

#include <string.h>

REC_DEFINE (TableEdit, table_edit, TABLE_EDIT_FIELDS)
REC_DEFINE (TableValue, table_value, TABLE_VALUE_FIELDS)
REC_DEFINE (TableWant, table_want, TABLE_WANT_FIELDS)

enum
{
  PAST_TABLES = 8,     /* kept as bases of merges */
  WANT_AFTER_MS = 250, /* leaves the watch the time to be first */
  WANT_AGAIN_MS = 400, /* between two hosts asked */
  OFFER_WITHIN_MS = 1000,
  EDIT_MS = 5000, /* from an edit to its verdict */
  EDIT_RETRY_MS = 150,
  FORK_MS = 3600000, /* to apply again what a fork left out */
  FINDING_BYTES = 200
};

static const char table_key[] = "table";

/* A table that is or was in force. */
typedef struct Held
{
  TableValue *value;
  Sheet *sheet;
} Held;

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

#define VERDICT_NAME(kind, name) name,
static const char *const verdict_names[] = { TABLE_VERDICTS (VERDICT_NAME) };

/* Returns the name of V as operators see it. */
const char *
table_verdict_name (TableVerdict v)
{
  return verdict_names[v];
}

static void on_poll (Core *c, Timer *t);
static void on_want (Core *c, Timer *t);
static void on_offer (Core *c, Timer *t);
static void on_changed (Core *c, StoreWatch *w, const StoreItem *item);

static void
held_free (gpointer p)
{
  Held *h = p;

  rec_free (table_value_desc (), h->value);
  sheet_free (h->sheet);
  g_free (h);
}

static void
edit_free (gpointer p)
{
  Edit *d = p;

  g_free (d->edit_id);
  sheet_free (d->base);
  sheet_free (d->mine);
  g_bytes_unref (d->csv);
  rec_free (table_value_desc (), d->wanted);
  g_free (d);
}

/* Returns the empty table of node C. */
Table *
table_new (Core *c)
{
  Table *t = g_new0 (Table, 1);

  (void)c;
  t->now.value = rec_new (table_value_desc ());
  t->watch = (StoreWatch) { .purpose = STORE_FOR_TABLE,
                            .key = table_key,
                            .changed = on_changed };
  t->poll.fire = on_poll;
  t->want.fire = on_want;
  t->offer.fire = on_offer;
  return t;
}

/* Starts to look for the table: at the store, and where peers have it. */
void
table_start (Core *c)
{
  on_poll (c, &c->table->poll);
  store_watch_start (c, &c->table->watch);
}

/* Releases T. */
void
table_free (Table *t)
{
  rec_free (table_value_desc (), t->now.value);
  sheet_free (t->now.sheet);
  g_queue_clear_full (&t->past, held_free);
  g_queue_clear_full (&t->edits, edit_free);
  g_free (t);
}

/* Returns the revision in force, 0 without a table. */
gint64
table_revision (const Core *c)
{
  return c->table->now.value->revision;
}

/* Returns the text in force, which stays the table's; NULL for none. */
GBytes *
table_csv (const Core *c)
{
  return c->table->now.value->csv;
}

/* Returns the id of the edit that made the table in force. */
const char *
table_edit_id (const Core *c)
{
  return c->table->now.value->edit_id;
}

/* Returns when the store last confirmed the table in force, 0 for never. */
ClockMs
table_checked_at (const Core *c)
{
  return c->table->checked_at;
}

/* Returns the number of workspaces. */
guint
table_n_workspaces (const Core *c)
{
  const Sheet *s = c->table->now.sheet;

  return s ? sheet_n_workspaces (s) : 0;
}

/* Returns workspace I, valid until the next event. */
const Workspace *
table_workspace (const Core *c, guint i)
{
  return sheet_workspace (c->table->now.sheet, i);
}

/* Returns the workspace called NAME, or NULL. */
const Workspace *
table_find (const Core *c, const char *name)
{
  const Sheet *s = c->table->now.sheet;

  return s ? sheet_find (s, name) : NULL;
}

static gboolean
token_fits (const Workspace *w, const char *token)
{
  char *digest;
  guint differ = 0;
  gsize i;

  if (*w->token_sha256 == '\0')
    return TRUE;
  digest =
      g_compute_checksum_for_string (G_CHECKSUM_SHA256, util_str (token), -1);
  for (i = 0; digest[i]; i++)
    differ |= (guint)(digest[i] ^ w->token_sha256[i]);
  g_free (digest);
  return differ == 0;
}

/* Returns the workspace that a caller with the bearer TOKEN who names
   WORKSPACE may act for, or NULL. */
const Workspace *
table_authorize (const Core *c, const char *token, const char *workspace)
{
  const Workspace *w = table_find (c, util_str (workspace));

  return w && token_fits (w, token) ? w : NULL;
}

/* Counts, in *N_LIVE and *N_IN_FORCE, the live hosts and those that have
   acknowledged the table in force here.  Returns TRUE when they all have. */
gboolean
table_in_force (const Core *c, guint *n_live, guint *n_in_force)
{
  guint i;

  *n_live = *n_in_force = 0;
  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (h->state != MEMBER_LIVE)
        continue;
      (*n_live)++;
      if (h->self || h->table_revision >= table_revision (c))
        (*n_in_force)++;
    }
  return *n_live == *n_in_force;
}

/* Orders two tables: by revision, and, should one revision ever have been
   given twice, by the edit's id, so that all hosts come to the same end. */
static int
compare (const TableValue *a, const TableValue *b)
{
  if (a->revision != b->revision)
    return a->revision < b->revision ? -1 : 1;
  return a->revision == 0 ? 0 : strcmp (a->edit_id, b->edit_id);
}

static void
write_note (Core *c, NoteKind kind, const TableValue *v, const char *why)
{
  char *text = g_strdup_printf ("revision %" G_GINT64_FORMAT " edit %s%s%.*s",
                                v->revision, v->edit_id, why ? ": " : "",
                                FINDING_BYTES, util_str (why));

  core_write_note (c, &(CoreNote) { .kind = kind, .detail = text });
  g_free (text);
}

static Sheet *
parse (GBytes *csv, const char *place, Findings *findings)
{
  gsize n = 0;
  const char *data = csv ? g_bytes_get_data (csv, &n) : NULL;

  return sheet_parse (data ? data : "", n, place, findings);
}

static void
put_in_force (Core *c, const TableValue *v, Sheet *sheet)
{
  Table *t = c->table;
  Held *before;

  if (t->now.sheet)
    {
      before = g_new (Held, 1);
      *before = t->now;
      g_queue_push_head (&t->past, before);
      if (t->past.length > PAST_TABLES)
        held_free (g_queue_pop_tail (&t->past));
    }
  else
    rec_free (table_value_desc (), t->now.value);
  t->now.value = rec_copy (table_value_desc (), v);
  t->now.sheet = sheet;
  core_set (c, COUNT_TABLE_REVISION, v->revision);
  core_add (c, COUNT_TABLE_CHANGES, 1);
  write_note (c, NOTE_TABLE_IN_FORCE, v, NULL);
  member_announce (c);
}

/* Returns the id of the edit that made REVISION, if V tells, or NULL. */
static const char *
edit_of (const TableValue *v, gint64 revision)
{
  guint i;

  if (v->revision == revision)
    return v->edit_id;
  for (i = 0; i < v->recent.n; i++)
    {
      const TableEdit *r = rec_list_at (table_edit_desc (), &v->recent, i);

      if (r->revision == revision)
        return r->edit_id;
    }
  return NULL;
}

/* Returns the revision that edit EDIT_ID made, if V holds it, else 0. */
static gint64
find_edit (const TableValue *v, const char *edit_id)
{
  guint i;

  for (i = 0; i < v->recent.n; i++)
    {
      const TableEdit *r = rec_list_at (table_edit_desc (), &v->recent, i);

      if (strcmp (r->edit_id, edit_id) == 0)
        return r->revision;
    }
  return 0;
}

/* Tells whether LOSER was accepted and is no part of V: a store that went
   back gives a revision of the key twice, and then lets a write pass that
   expected the first of them. */
static gboolean
is_fork (const TableValue *v, const TableValue *loser)
{
  const char *id = edit_of (v, loser->revision);

  return loser->revision > 0 && id && strcmp (id, loser->edit_id) != 0 &&
         find_edit (v, loser->edit_id) == 0;
}

static void apply_again (Core *c, const TableValue *loser);

/* Brings V into force when it is above what is; nothing is ever taken
   back.  Returns TRUE when it has come into force. */
static gboolean
adopt (Core *c, const TableValue *v)
{
  const TableValue *now = c->table->now.value;
  TableValue *loser = NULL;
  Findings findings;
  Sheet *sheet;
  char *why;

  if (compare (v, now) <= 0)
    return FALSE;
  findings_init (&findings);
  sheet = parse (v->csv, "table", &findings);
  if (sheet)
    {
      if (is_fork (v, now))
        loser = rec_copy (table_value_desc (), now);
      put_in_force (c, v, sheet);
      if (loser)
        apply_again (c, loser);
      rec_free (table_value_desc (), loser);
    }
  else
    {
      why = findings_text (&findings);
      core_add (c, COUNT_TABLE_REFUSED, 1);
      write_note (c, NOTE_TABLE_REFUSED, v, why);
      g_free (why);
    }
  findings_clear (&findings);
  return sheet != NULL;
}

/* Reads the store's value.  Returns an empty one for no item, NULL for one
   that is no table. */
static TableValue *
read_item (Core *c, const StoreItem *item)
{
  TableValue *v = rec_new (table_value_desc ());
  Findings findings;
  gsize n = 0;
  gconstpointer data;
  gboolean ok = TRUE;

  if (!item)
    return v;
  data = item->value ? g_bytes_get_data (item->value, &n) : NULL;
  findings_init (&findings);
  if (!data || !rec_unpack (table_value_desc (), v, data, n, &findings))
    {
      core_add (c, COUNT_TABLE_REFUSED, 1);
      write_note (c, NOTE_TABLE_REFUSED, v, "the value is not a table");
      ok = FALSE;
    }
  findings_clear (&findings);
  if (ok)
    return v;
  rec_free (table_value_desc (), v);
  return NULL;
}

/* Learns that the store holds V at the store's REVISION.  A lower table than
   was in force when the store was asked, SINCE, shows that it went back. */
static void
store_holds (Core *c, const TableValue *v, gint64 revision, gint64 since)
{
  Table *t = c->table;

  store_watch_from (c, &t->watch, revision);
  if (adopt (c, v))
    core_add (c, COUNT_TABLE_FROM_STORE, 1);
  if (compare (v, t->now.value) == 0)
    {
      t->checked_at = c->now;
      core_set (c, COUNT_TABLE_CHECKED_MS, c->now);
    }
  else if (v->revision < since && t->offer.slot == 0 && !t->offering)
    {
      core_add (c, COUNT_TABLE_ROLLBACKS, 1);
      write_note (c, NOTE_TABLE_ROLLED_BACK, v, NULL);
      core_arm (c, &t->offer, c->now + core_random (c, OFFER_WITHIN_MS));
    }
  else if (v->revision == table_revision (c) && t->offer.slot == 0)
    {
      apply_again (c, v);
      core_arm (c, &t->offer, c->now + core_random (c, OFFER_WITHIN_MS));
    }
}

static void
on_changed (Core *c, StoreWatch *w, const StoreItem *item)
{
  TableValue *v = read_item (c, item);

  /* A watch waited for something new: what it brings cannot be old. */
  if (v)
    store_holds (c, v, w->revision, 0);
  rec_free (table_value_desc (), v);
}

static void
on_polled (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  const StoreItem *item = store_first_item (r);
  TableValue *v;

  (void)owner;
  if (r->status != STORE_OK && r->status != STORE_MISSING)
    return;
  v = read_item (c, item);
  if (v)
    store_holds (c, v, item ? item->revision : 0, (gint64)arg);
  rec_free (table_value_desc (), v);
}

static void
read_store (Core *c, StoreDone done, gpointer owner)
{
  StoreCall get = { .op = STORE_GET, .key = table_key };

  store_submit (c, STORE_FOR_TABLE, &get, done, owner,
                (guint64)table_revision (c));
}

/* Reads the store now and then, for a watch can fall silent unnoticed, and
   waits in vain on a store that went back. */
static void
on_poll (Core *c, Timer *t)
{
  read_store (c, on_polled, NULL);
  core_arm (c, t, c->now + core_jitter (c, c->cfg->table_poll_ms));
}

static gint64
write_store (Core *c,
             const TableValue *v,
             gint64 expect,
             StoreDone done,
             gpointer owner)
{
  GBytes *packed = rec_pack (table_value_desc (), v);
  StoreCall put = { .op = STORE_PUT,
                    .key = table_key,
                    .expect = expect,
                    .value = packed };
  gint64 call = store_submit (c, STORE_FOR_TABLE, &put, done, owner, 0);

  g_bytes_unref (packed);
  return call;
}

/* The result of the offer is ignored: the next poll reads the stored value. */
static void
on_offered (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Table *t = c->table;

  (void)owner;
  (void)arg;
  t->offering = FALSE;
  if (r->status == STORE_OK)
    {
      core_add (c, COUNT_TABLE_OFFERS, 1);
      write_note (c, NOTE_TABLE_OFFERED, t->now.value, NULL);
    }
  core_arm (c, &t->poll, c->now + core_jitter (c, OFFER_WITHIN_MS));
}

/* Writes the table in force over the lower one that the store holds. */
static void
on_offer_read (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Table *t = c->table;
  const StoreItem *item = store_first_item (r);
  TableValue *v = NULL;

  (void)owner;
  t->offering = FALSE;
  if (r->status == STORE_OK || r->status == STORE_MISSING)
    v = read_item (c, item);
  if (v && compare (v, t->now.value) < 0 && v->revision <= (gint64)arg)
    {
      t->offering = TRUE;
      write_store (c, t->now.value, item ? item->revision : 0, on_offered,
                   NULL);
    }
  else if (v)
    store_holds (c, v, item ? item->revision : 0, 0);
  rec_free (table_value_desc (), v);
}

/* All hosts find out at about the same time that the store went back; each
   looks again before it writes, for one write is enough. */
static void
on_offer (Core *c, Timer *t)
{
  (void)t;
  c->table->offering = TRUE;
  read_store (c, on_offer_read, NULL);
}

/* Learns that host H has a table revision; a higher one than here is asked
   for, at once when the store cannot bring it. */
void
table_peer_has (Core *c, const MemberHost *h)
{
  Timer *want = &c->table->want;
  gboolean hurry = table_revision (c) == 0 || !store_is_up (c);

  if (h->table_revision > table_revision (c) && want->slot == 0)
    core_arm (c, want, c->now + (hurry ? 0 : core_jitter (c, WANT_AFTER_MS)));
}

static void
on_want (Core *c, Timer *t)
{
  gint64 revision = table_revision (c);
  const MemberHost *h = member_with_table (c, revision);

  if (!h)
    return;
  core_emit (c, MSG_TABLE_WANT, h->name, &(TableWant) { .revision = revision });
  core_arm (c, t, c->now + core_jitter (c, WANT_AGAIN_MS));
}

/* Takes a table from a peer or the feeder of events; a revision that is not
   above the one in force is left. */
void
table_on_value (Core *c, const Event *e)
{
  if (adopt (c, e->body) && e->kind == MSG_TABLE)
    core_add (c, COUNT_TABLE_FROM_PEER, 1);
}

/* Answers a peer that holds a lower revision. */
void
table_on_want (Core *c, const Event *e)
{
  const TableWant *w = e->body;

  if (w->revision < table_revision (c))
    core_emit (c, MSG_TABLE, e->peer, c->table->now.value);
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
  edit_free (d);
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
  write_note (c, NOTE_TABLE_EDITED, v, NULL);
  end_edit (c, d, TABLE_ACCEPTED, find_edit (v, d->edit_id), NULL);
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
      store_holds (c, v, item ? item->revision : r->revision, 0);
      rec_free (table_value_desc (), v);
      if (find_edit (c->table->now.value, d->edit_id))
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
  write_store (c, d->wanted, revision, on_edit_written, d);
}

static void
on_edit_read (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Edit *d = owner;
  const StoreItem *item = store_first_item (r);
  gint64 revision = item ? item->revision : 0;
  TableValue *v = NULL;

  if (r->status == STORE_OK || r->status == STORE_MISSING)
    v = read_item (c, item);
  if (v)
    store_holds (c, v, revision, (gint64)arg);
  /* When a host has more than the store, that is learnt first. */
  if (v && find_edit (c->table->now.value, d->edit_id))
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
  read_store (c, on_edit_read, d);
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
  write_note (c, NOTE_TABLE_CONFLICT, c->table->now.value, why);
  g_free (why);
}

/* Applies the edit that made LOSER, which a fork left out, to the table in
   force.  Every host that sees the fork does so; the edit's id makes it one
   edit. */
static void
apply_again (Core *c, const TableValue *loser)
{
  const GList *i;
  Findings findings;
  Edit *d;

  core_add (c, COUNT_TABLE_FORKS, 1);
  write_note (c, NOTE_TABLE_FORK, loser, NULL);
  for (i = c->table->edits.head; i; i = i->next)
    if (strcmp (((const Edit *)i->data)->edit_id, loser->edit_id) == 0)
      return;
  if (!loser->csv)
    return;
  findings_init (&findings);
  d = edit_new (c, loser->edit_id, loser->revision - 1, loser->csv, FORK_MS);
  d->done = on_applied_again;
  d->mine = parse (loser->csv, "table", &findings);
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
  d->mine = parse (change->csv, "table", &findings);
  if (d->mine)
    check_fleet (c, d->mine, &findings);
  if (change->base)
    d->base = parse (change->base, "base", &findings);
  if (findings_count (&findings))
    end_edit (c, d, TABLE_INVALID, table_revision (c), &findings);
  else if (find_edit (c->table->now.value, d->edit_id))
    accept_edit (c, d, c->table->now.value);
  else
    edit_read (c, d);
  findings_clear (&findings);
}
