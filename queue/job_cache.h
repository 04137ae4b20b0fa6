#ifndef JOB_CACHE_H
#define JOB_CACHE_H

#include "feed.h"
#include "spec.h"

/* In-memory copy of job records in the store: of all jobs on the leader, on
   other hosts only of the jobs that callers asked about. */

typedef struct JobEntry
{
  char *id;
  SpecJob *job; /* NULL until the job's record is loaded */
  gint64 job_revision;
  Progress *progress;       /* NULL if none is stored */
  gint64 progress_revision; /* 0 if none is stored */
  gboolean cancelled;       /* stored: its caller was or will be told so */
  void *scheduler_job;      /* WorkJob, owned by the scheduler; NULL: none */
} JobEntry;

typedef struct JobCache JobCache;

/* Called after ENTRY has changed, and with ENTRY->job NULL before ENTRY is
   removed. */
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
