#ifndef FEED_H
#define FEED_H

#include "effects.h"

/* Keeps a copy of the keys under one prefix of the store current: a listing
   first, then watches, and a listing again whenever the history was lost. */

/* Tells that ITEM, which may be a deleted one, is new. */
typedef void (*FeedItemFunc) (void *owner, const KvItem *item);

typedef struct Feed
{
  char *prefix;
  FeedItemFunc on_item;
  void *owner;
  ClockMs min_watch_interval; /* the least time between two watches */
  gboolean listing;
  gboolean list_complete;  /* a whole listing has been taken over */
  gint64 call_id;          /* 0 while no call is under way */
  char *page_after_key;    /* of the next page of a listing */
  gint64 list_revision;    /* of the first page */
  GHashTable *revisions;   /* key to revision, of what exists */
  GHashTable *listed_keys; /* the keys of the listing under way */
  gint64 revision;         /* changes after this one are still unknown */
  ClockMs current_as_of;   /* everything before this moment is known */
  ClockMs next_call_at;    /* when the next call may begin */
  guint failures;
} Feed;

void feed_init (Feed *f,
                const char *prefix,
                FeedItemFunc on_item,
                void *owner,
                ClockMs min_watch_interval);
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
