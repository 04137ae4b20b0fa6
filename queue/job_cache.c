#include "job_cache.h"

#include <string.h>

const char job_key_prefix[] = "wagtailpass/job/";
const char scheduler_key_prefix[] = "wagtailpass/scheduler/";
const char scheduler_role_key[] = "wagtailpass/scheduler/role";
const char scheduler_epoch_key[] = "wagtailpass/scheduler/epoch";

/* All keys of a job share a prefix, so that one range call reads them. */
static const char spec_name[] = "/spec";
static const char progress_name[] = "/progress";
static const char cancel_name[] = "/cancel";

struct JobCache
{
  GHashTable *entries; /* job id to JobEntry */
  JobCacheChanged on_change;
  void *on_change_owner;
  guint n_unreadable; /* records that could not be decoded */
};

/* Returns the common prefix of job ID's keys; the caller frees it. */
char *
job_cache_key_prefix (const char *id)
{
  return g_strconcat (job_key_prefix, id, "/", NULL);
}

/* Returns the key of job ID's specification; the caller frees it. */
char *
job_cache_spec_key (const char *id)
{
  return g_strconcat (job_key_prefix, id, spec_name, NULL);
}

/* Returns the key of job ID's progress record; the caller frees it. */
char *
job_cache_progress_key (const char *id)
{
  return g_strconcat (job_key_prefix, id, progress_name, NULL);
}

/* Returns the key that cancels job ID; the caller frees it. */
char *
job_cache_cancel_key (const char *id)
{
  return g_strconcat (job_key_prefix, id, cancel_name, NULL);
}

static void
entry_free (gpointer p)
{
  JobEntry *e = p;

  if (e->job)
    rec_free (spec_job_desc (), e->job);
  if (e->progress)
    rec_free (progress_desc (), e->progress);
  g_free (e->id);
  g_free (e);
}

/* Creates an empty cache that passes changes to CHANGED with OWNER. */
JobCache *
job_cache_new (JobCacheChanged changed, void *owner)
{
  JobCache *b = g_new0 (JobCache, 1);

  b->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  b->on_change = changed;
  b->on_change_owner = owner;
  return b;
}

/* Releases B. */
void
job_cache_free (JobCache *b)
{
  g_hash_table_unref (b->entries);
  g_free (b);
}

static JobEntry *
find_or_add (JobCache *b, const char *id)
{
  JobEntry *e = g_hash_table_lookup (b->entries, id);

  if (e)
    return e;
  e = g_new0 (JobEntry, 1);
  e->id = g_strdup (id);
  g_hash_table_insert (b->entries, e->id, e);
  return e;
}

/* Like spec_unpack, but counts records that cannot be decoded. */
static void *
decode_record (JobCache *b, const RecDesc *d, GBytes *value)
{
  void *rec = spec_unpack (d, value);

  if (!rec)
    b->n_unreadable++;
  return rec;
}

static void
apply_job (JobCache *b, const char *id, const KvItem *item)
{
  JobEntry *e = find_or_add (b, id);
  SpecJob *job =
      item->deleted ? NULL : decode_record (b, spec_job_desc (), item->value);

  if (!item->deleted && !job)
    return;
  if (e->scheduler_job)
    {
      /* A job's record must not change while the scheduler works on the job. If
         someone deletes or replaces it anyway, the scheduler keeps the job. */
      if (job)
        rec_free (spec_job_desc (), job);
      return;
    }
  if (e->job)
    rec_free (spec_job_desc (), e->job);
  e->job = job;
  e->job_revision = item->deleted ? 0 : item->revision;
  b->on_change (b->on_change_owner, e);
  if (item->deleted)
    g_hash_table_remove (b->entries, id);
}

/* Replaces the progress of ENTRY by VALUE, written at REVISION. */
void
job_cache_set_progress (JobCache *b,
                        JobEntry *entry,
                        GBytes *value,
                        gint64 revision)
{
  Progress *progress;

  if (revision <= entry->progress_revision)
    return;
  progress = decode_record (b, progress_desc (), value);
  if (!progress)
    return;
  if (entry->progress)
    rec_free (progress_desc (), entry->progress);
  entry->progress = progress;
  entry->progress_revision = revision;
  b->on_change (b->on_change_owner, entry);
}

static void
apply_progress (JobCache *b, const char *id, const KvItem *item)
{
  if (!item->deleted)
    job_cache_set_progress (b, find_or_add (b, id), item->value,
                            item->revision);
}

static void
apply_cancel (JobCache *b, const char *id, const KvItem *item)
{
  JobEntry *e;

  if (item->deleted)
    return;
  e = find_or_add (b, id);
  e->cancelled = TRUE;
  b->on_change (b->on_change_owner, e);
}

/* Applies ITEM, an item under job_key_prefix, to the cache. */
void
job_cache_apply (JobCache *b, const KvItem *item)
{
  static const struct
  {
    const char *name;
    void (*apply) (JobCache *b, const char *id, const KvItem *item);
  } kinds[] = {
    { spec_name, apply_job },
    { progress_name, apply_progress },
    { cancel_name, apply_cancel },
  };
  const char *rest = item->key + strlen (job_key_prefix);
  const char *name = strchr (rest, '/');
  char *id = name ? g_strndup (rest, (gsize)(name - rest)) : NULL;
  guint i;

  for (i = 0; id && i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (name, kinds[i].name) == 0)
      kinds[i].apply (b, id, item);
  g_free (id);
}

/* Removes all entries; no scheduler may refer to them. */
void
job_cache_clear (JobCache *b)
{
  g_hash_table_remove_all (b->entries);
}

/* Returns the entry of job ID, or NULL. */
JobEntry *
job_cache_find (const JobCache *b, const char *id)
{
  return g_hash_table_lookup (b->entries, id);
}

/* Returns the table from job id to JobEntry; B keeps ownership. */
GHashTable *
job_cache_entries (const JobCache *b)
{
  return b->entries;
}

/* Returns the state of ENTRY's job as reported to callers: cancelled as soon
   as the cancel is known, even if the scheduler has not stored it yet. */
JobState
job_cache_state (const JobEntry *entry)
{
  JobState state =
      entry->progress ? (JobState)entry->progress->state : JOB_QUEUED;

  if (entry->cancelled && !spec_state_is_final (state))
    return JOB_CANCELLED;
  return state;
}

/* Returns a table from route to a guint, the number of queued jobs.  Its keys
   belong to B's entries: the caller unrefs the table before B changes. */
GHashTable *
job_cache_count_waiting (const JobCache *b)
{
  GHashTable *counts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, b->entries);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const JobEntry *e = p;
      guint *n;

      if (!e->job || job_cache_state (e) != JOB_QUEUED)
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

/* Returns the number of records that could not be decoded. */
guint
job_cache_n_unreadable (const JobCache *b)
{
  return b->n_unreadable;
}
