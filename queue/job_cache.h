#ifndef BOOK_H
#define BOOK_H

#include "feed.h"
#include "spec.h"

/* The jobs whose records are in the store: all of them on the scheduler's
   host, elsewhere those that it has been asked about. */

typedef struct BookEntry
{
  char *id;
  SpecJob *job; /* NULL until its record is known */
  gint64 job_revision;
  Progress *progress; /* NULL while there is none */
  gint64 progress_revision;
  gboolean cancelled; /* its cancel has been acknowledged, or soon will be */
  void *work;         /* the scheduler's */
} BookEntry;

typedef struct Book Book;

/* Tells that what is known of ENTRY has changed; before removal its JOB is
   NULL. */
typedef void (*BookChanged) (void *owner, BookEntry *entry);

Book *book_new (BookChanged changed, void *owner);
void book_free (Book *b);
void book_apply (Book *b, const KvItem *item);
void
book_put_progress (Book *b, BookEntry *entry, GBytes *value, gint64 revision);
BookEntry *book_find (const Book *b, const char *id);
GHashTable *book_entries (const Book *b);
JobState book_state (const BookEntry *entry);
GHashTable *book_count_waiting (const Book *b);
void book_forget_all (Book *b);
guint book_unreadable (const Book *b);

char *book_id_prefix (const char *id);
char *book_job_key (const char *id);
char *book_progress_key (const char *id);
char *book_cancel_key (const char *id);

extern const char book_prefix[];
extern const char book_scheduler_prefix[];
extern const char book_role_key[];
extern const char book_epoch_key[];

#endif
