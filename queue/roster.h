#ifndef ROSTER_H
#define ROSTER_H

#include "kv.h"
#include "spec.h"

/* The records in the store of the workers that a scheduler uses.  They are
   spread over shards by the worker's id, so that a change rewrites a small
   part, and lie outside book_prefix: only a new scheduler reads them. */

enum
{
  /* One transaction holds the role's precondition, and a precondition and a
     write for each shard: 31 of the store's 32 entries. */
  ROSTER_SHARDS = 15
};

extern const char roster_prefix[];

typedef struct RosterShard
{
  Roster *workers; /* NULL for none */
  gint64 revision; /* 0 while it does not exist */
} RosterShard;

typedef struct RosterRecords
{
  RosterShard shards[ROSTER_SHARDS];
} RosterRecords;

char *roster_key (guint shard);
guint roster_shard_of (const char *worker);
gboolean roster_records_apply (RosterRecords *r, const KvItem *item);
void roster_records_clear (RosterRecords *r);

#endif
