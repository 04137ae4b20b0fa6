#include "book.h"

#include <string.h>

const char book_prefix[] = "wagtailpass/job/";
const char book_scheduler_prefix[] = "wagtailpass/scheduler/";
const char book_role_key[] = "wagtailpass/scheduler/role";
const char book_epoch_key[] = "wagtailpass/scheduler/epoch";

/* What is known of one job lies under one prefix, so that it is read in one
   call. */
static const char spec_name[] = "/spec";
static const char progress_name[] = "/progress";
static const char cancel_name[] = "/cancel";

struct Book
{
  GHashTable *entries; /* id to BookEntry */
  BookChanged changed;
  void *owner;
  guint unreadable; /* records that could not be decoded */
};

/* Returns the prefix of all of job ID's keys; the caller frees it. */
char *
book_id_prefix (const char *id)
{
  return g_strconcat (book_prefix, id, "/", NULL);
}

/* Returns the key of job ID's record; the caller frees it. */
char *
book_job_key (const char *id)
{
  return g_strconcat (book_prefix, id, spec_name, NULL);
}

/* Returns the key of job ID's progress; the caller frees it. */
char *
book_progress_key (const char *id)
{
  return g_strconcat (book_prefix, id, progress_name, NULL);
}

/* Returns the key of job ID's cancel; the caller frees it. */
char *
book_cancel_key (const char *id)
{
  return g_strconcat (book_prefix, id, cancel_name, NULL);
}

static void
entry_free (gpointer p)
{
  BookEntry *e = p;

  if (e->job)
    rec_free (spec_job_desc (), e->job);
  if (e->progress)
    rec_free (progress_desc (), e->progress);
  g_free (e->id);
  g_free (e);
}

/* Returns an empty book that tells OWNER of changes. */
Book *
book_new (BookChanged changed, void *owner)
{
  Book *b = g_new0 (Book, 1);

  b->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  b->changed = changed;
  b->owner = owner;
  return b;
}

/* Releases B. */
void
book_free (Book *b)
{
  g_hash_table_unref (b->entries);
  g_free (b);
}

static BookEntry *
find_or_add (Book *b, const char *id)
{
  BookEntry *e = g_hash_table_lookup (b->entries, id);

  if (e)
    return e;
  e = g_new0 (BookEntry, 1);
  e->id = g_strdup (id);
  g_hash_table_insert (b->entries, e->id, e);
  return e;
}

/* Like spec_read, and counts what can't be read. */
static void *
read_record (Book *b, const RecDesc *d, GBytes *value)
{
  void *rec = spec_unpack (d, value);

  if (!rec)
    b->unreadable++;
  return rec;
}

static void
apply_job (Book *b, const char *id, const KvItem *item)
{
  BookEntry *e = find_or_add (b, id);
  SpecJob *job =
      item->deleted ? NULL : read_record (b, spec_job_desc (), item->value);

  if (!item->deleted && !job)
    return;
  if (e->work)
    {
      /* A job's record never changes while it is at work; whoever deleted or
         replaced it does not take its tasks away from their scheduler. */
      if (job)
        rec_free (spec_job_desc (), job);
      return;
    }
  if (e->job)
    rec_free (spec_job_desc (), e->job);
  e->job = job;
  e->job_revision = item->deleted ? 0 : item->revision;
  b->changed (b->owner, e);
  if (item->deleted)
    g_hash_table_remove (b->entries, id);
}

/* Replaces the progress of ENTRY by VALUE, written at REVISION. */
void
book_put_progress (Book *b, BookEntry *entry, GBytes *value, gint64 revision)
{
  Progress *progress;

  if (revision <= entry->progress_revision)
    return;
  progress = read_record (b, progress_desc (), value);
  if (!progress)
    return;
  if (entry->progress)
    rec_free (progress_desc (), entry->progress);
  entry->progress = progress;
  entry->progress_revision = revision;
  b->changed (b->owner, entry);
}

static void
apply_progress (Book *b, const char *id, const KvItem *item)
{
  if (!item->deleted)
    book_put_progress (b, find_or_add (b, id), item->value, item->revision);
}

static void
apply_cancel (Book *b, const char *id, const KvItem *item)
{
  BookEntry *e;

  if (item->deleted)
    return;
  e = find_or_add (b, id);
  e->cancelled = TRUE;
  b->changed (b->owner, e);
}

/* Takes over what ITEM, from under book_prefix, says of a job. */
void
book_apply (Book *b, const KvItem *item)
{
  static const struct
  {
    const char *name;
    void (*apply) (Book *b, const char *id, const KvItem *item);
  } kinds[] = {
    { spec_name, apply_job },
    { progress_name, apply_progress },
    { cancel_name, apply_cancel },
  };
  const char *rest = item->key + strlen (book_prefix);
  const char *name = strchr (rest, '/');
  char *id = name ? g_strndup (rest, (gsize)(name - rest)) : NULL;
  guint i;

  for (i = 0; id && i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (name, kinds[i].name) == 0)
      kinds[i].apply (b, id, item);
  g_free (id);
}

/* Forgets every job; none may be at work. */
void
book_forget_all (Book *b)
{
  g_hash_table_remove_all (b->entries);
}

/* Returns the entry of job ID, or NULL. */
BookEntry *
book_find (const Book *b, const char *id)
{
  return g_hash_table_lookup (b->entries, id);
}

/* Returns all entries by id; the table stays the book's. */
GHashTable *
book_entries (const Book *b)
{
  return b->entries;
}

/* Returns the state of ENTRY's job, as a caller is told it. */
JobState
book_state (const BookEntry *entry)
{
  JobState state =
      entry->progress ? (JobState)entry->progress->state : JOB_QUEUED;

  if (entry->cancelled && !spec_state_is_final (state))
    return JOB_CANCELLED;
  return state;
}

/* Returns how many jobs of each route have been accepted and not begun, a
   guint each; the caller unrefs the table before the book changes. */
GHashTable *
book_count_waiting (const Book *b)
{
  GHashTable *counts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, b->entries);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const BookEntry *e = p;
      guint *n;

      if (!e->job || book_state (e) != JOB_QUEUED)
        continue;
      n = g_hash_table_lookup (counts, e->job->route);
      if (!n)
        {
          n = g_new0 (guint, 1);
          g_hash_table_insert (counts, (gpointer)e->job->route, n);
        }
      (*n)++;
    }
  return counts;
}

/* Returns how many records could not be decoded. */
guint
book_unreadable (const Book *b)
{
  return b->unreadable;
}
