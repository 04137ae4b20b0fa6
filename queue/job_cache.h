#ifndef JOB_CACHE_H
#define JOB_CACHE_H

#include "feed.h"
#include "spec.h"

/* The jobs whose records are in the store: all of them on the scheduler's
   host, elsewhere those that it has been asked about. */

typedef struct JobEntry
{
  char *id;
  SpecJob *job; /* NULL until its record is known */
  gint64 job_revision;
  Progress *progress; /* NULL while there is none */
  gint64 progress_revision;
  gboolean cancelled;  /* its cancel has been acknowledged, or soon will be */
  void *scheduler_job; /* the scheduler's */
} JobEntry;

typedef struct JobCache JobCache;

/* Tells that what is known of ENTRY has changed; before removal its JOB is
   NULL. */
typedef void (*JobCacheChanged) (void *owner, JobEntry *entry);

JobCache *job_cache_new (JobCacheChanged changed, void *owner);
void job_cache_free (JobCache *b);
void job_cache_apply (JobCache *b, const KvItem *item);
void job_cache_set_progress (JobCache *b,
                             JobEntry *entry,
                             GBytes *value,
                             gint64 revision);
JobEntry *job_cache_find (const JobCache *b, const char *id);
GHashTable *job_cache_entries (const JobCache *b);
JobState job_cache_state (const JobEntry *entry);
GHashTable *job_cache_count_waiting (const JobCache *b);
void job_cache_clear (JobCache *b);
guint job_cache_n_unreadable (const JobCache *b);

char *job_cache_key_prefix (const char *id);
char *job_cache_spec_key (const char *id);
char *job_cache_progress_key (const char *id);
char *job_cache_cancel_key (const char *id);

extern const char job_key_prefix[];
extern const char scheduler_key_prefix[];
extern const char scheduler_role_key[];
extern const char scheduler_epoch_key[];

#endif
