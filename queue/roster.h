#ifndef ROSTER_H
#define ROSTER_H

#include "kv.h"
#include "spec.h"

/* The stored roster: the workers that a scheduler uses.  It is sharded by a
   hash of the worker id, so that a change rewrites only a small part, and its
   keys lie outside job_key_prefix, because only a new leader reads them. */

enum
{
  /* One transaction contains the precondition on the role key, a precondition
     and a write for each shard, and the write of the given leases: 32 entries,
     all that the store allows. */
  ROSTER_SHARDS = 15
};

extern const char roster_prefix[];
extern const char pace_key[];
extern const char former_key[];

typedef struct RosterShard
{
  Roster *workers; /* NULL: no readable record */
  gint64 revision; /* 0: the key does not exist */
} RosterShard;

typedef struct RosterRecords
{
  RosterShard shards[ROSTER_SHARDS];
  GivenLeases *given_leases; /* NULL: no readable record */
  PaceRecord *pace;          /* NULL: no readable record */
  gint64 pace_revision;
} RosterRecords;

char *roster_key (guint shard);
guint roster_shard_of (const char *worker);
gboolean roster_records_apply (RosterRecords *r, const KvItem *item);
void roster_records_clear (RosterRecords *r);

#endif
