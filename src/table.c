#include "table_state.h"

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
  FINDING_BYTES = 200
};

static const char table_key[] = "table";

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
  g_queue_clear_full (&t->edits, table_edit_free);
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

/* Writes a note of KIND about V, and WHY (may be NULL), to the time line. */
void
table_note (Core *c, NoteKind kind, const TableValue *v, const char *why)
{
  char *text = g_strdup_printf ("revision %" G_GINT64_FORMAT " edit %s%s%.*s",
                                v->revision, v->edit_id, why ? ": " : "",
                                FINDING_BYTES, util_str (why));

  core_write_note (c, &(CoreNote) { .kind = kind, .detail = text });
  g_free (text);
}

/* Reads CSV, called PLACE in FINDINGS, as sheet_parse does. */
Sheet *
table_parse (GBytes *csv, const char *place, Findings *findings)
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
  table_note (c, NOTE_TABLE_IN_FORCE, v, NULL);
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
gint64
table_find_edit (const TableValue *v, const char *edit_id)
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
         table_find_edit (v, loser->edit_id) == 0;
}

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
  sheet = table_parse (v->csv, "table", &findings);
  if (sheet)
    {
      if (is_fork (v, now))
        loser = rec_copy (table_value_desc (), now);
      put_in_force (c, v, sheet);
      if (loser)
        table_apply_again (c, loser);
      rec_free (table_value_desc (), loser);
    }
  else
    {
      why = findings_text (&findings);
      core_add (c, COUNT_TABLE_REFUSED, 1);
      table_note (c, NOTE_TABLE_REFUSED, v, why);
      g_free (why);
    }
  findings_clear (&findings);
  return sheet != NULL;
}

/* Reads the store's value.  Returns an empty one for no item, NULL for one
   that is no table. */
TableValue *
table_read_item (Core *c, const StoreItem *item)
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
      table_note (c, NOTE_TABLE_REFUSED, v, "the value is not a table");
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
void
table_store_holds (Core *c, const TableValue *v, gint64 revision, gint64 since)
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
      table_note (c, NOTE_TABLE_ROLLED_BACK, v, NULL);
      core_arm (c, &t->offer, c->now + core_random (c, OFFER_WITHIN_MS));
    }
  else if (v->revision == table_revision (c) && t->offer.slot == 0)
    {
      table_apply_again (c, v);
      core_arm (c, &t->offer, c->now + core_random (c, OFFER_WITHIN_MS));
    }
}

static void
on_changed (Core *c, StoreWatch *w, const StoreItem *item)
{
  TableValue *v = table_read_item (c, item);

  /* A watch waited for something new: what it brings cannot be old. */
  if (v)
    table_store_holds (c, v, w->revision, 0);
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
  v = table_read_item (c, item);
  if (v)
    table_store_holds (c, v, item ? item->revision : 0, (gint64)arg);
  rec_free (table_value_desc (), v);
}

/* Reads the store's table; DONE is called with OWNER and the revision in force
   now. */
void
table_read_store (Core *c, StoreDone done, gpointer owner)
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
  table_read_store (c, on_polled, NULL);
  core_arm (c, t, c->now + core_jitter (c, c->cfg->table_poll_ms));
}

/* Writes V to the store if it is at revision EXPECT there; DONE is called with
   OWNER.  Returns the call. */
gint64
table_write_store (Core *c,
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
      table_note (c, NOTE_TABLE_OFFERED, t->now.value, NULL);
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
    v = table_read_item (c, item);
  if (v && compare (v, t->now.value) < 0 && v->revision <= (gint64)arg)
    {
      t->offering = TRUE;
      table_write_store (c, t->now.value, item ? item->revision : 0, on_offered,
                         NULL);
    }
  else if (v)
    table_store_holds (c, v, item ? item->revision : 0, 0);
  rec_free (table_value_desc (), v);
}

/* All hosts find out at about the same time that the store went back; each
   looks again before it writes, for one write is enough. */
static void
on_offer (Core *c, Timer *t)
{
  (void)t;
  c->table->offering = TRUE;
  table_read_store (c, on_offer_read, NULL);
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
