#ifndef FEED_H
#define FEED_H

#include "effects.h"

/* Follows all keys under one prefix of the store: lists them page by page,
   then watches for changes, and lists again whenever the store has compacted
   the changes in between.  Keeps only the keys' revisions and passes the
   items on to its owner. */

/* Called for each new, changed or deleted ITEM. */
typedef void (*FeedItemFunc) (void *owner, const KvItem *item);

typedef struct Feed
{
  char *prefix;
  FeedItemFunc on_item;
  void *owner;
  ClockMs min_watch_interval; /* between the starts of two watches */
  ClockMs max_wait;           /* of a watch without changes */
  gboolean listing;           /* the next reply is a page, not a watch's */
  gboolean list_complete;     /* a listing has finished since the last relist */
  gint64 call_id;             /* of the call in flight; 0 if none */
  char *page_after_key;    /* last key of the previous page; NULL: first page */
  gint64 list_revision;    /* store revision of the listing's first page */
  ClockMs list_started_at; /* when the call for that page was sent */
  GHashTable *revisions;   /* existing key to its revision, gint64 */
  GHashTable *listed_keys; /* set of the keys seen in the current listing */
  gint64 revision;         /* watch for changes after this store revision */
  ClockMs current_as_of;   /* all changes before this time have been seen */
  ClockMs next_call_at;    /* earliest start of the next call */
  guint failures;          /* consecutive failed calls */
} Feed;

void feed_init (Feed *f,
                const char *prefix,
                FeedItemFunc on_item,
                void *owner,
                ClockMs min_watch_interval);
void feed_limit_wait (Feed *f, ClockMs max_wait);
void feed_clear (Feed *f);
void feed_relist (Feed *f);
void feed_reset (Feed *f);
void feed_poll (Feed *f, ClockMs now, Effects *fx);
gboolean
feed_on_reply (Feed *f, const KvReply *reply, ClockMs now, Effects *fx);
ClockMs feed_next_deadline (const Feed *f);
ClockMs feed_age (const Feed *f, ClockMs now);
void feed_apply (Feed *f, const KvItem *item, Effects *fx);

#endif
