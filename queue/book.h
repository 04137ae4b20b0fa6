#ifndef BOOK_H
#define BOOK_H

#include "feed.h"
#include "spec.h"

/* Every job whose records are in the store, as far as this host has heard
   of it. */

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
guint book_waiting (const Book *b, const char *route);
guint book_unreadable (const Book *b);

char *book_job_key (const char *id);
char *book_progress_key (const char *id);
char *book_cancel_key (const char *id);

extern const char book_prefix[];
extern const char book_role_key[];
extern const char book_epoch_key[];

#endif
