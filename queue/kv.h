#ifndef KV_H
#define KV_H

#include "clock.h"

/* Calls to the platform's key-value store, as data.  The platform's client
   carries them out; everything else only builds and reads these. */

typedef enum KvOp
{
  KV_GET,         /* one item */
  KV_RANGE,       /* a page of items under a prefix */
  KV_WATCH,       /* changes under a prefix after a revision */
  KV_TXN,         /* an atomic conditional write */
  KV_LEASE_GRANT, /* a new lease */
  KV_LEASE_RENEW, /* renewal of a lease */
  KV_LEASE_REVOKE /* end of a lease */
} KvOp;

typedef enum KvStatus
{
  KV_OK,
  KV_CONFLICT,       /* a precondition of the transaction did not hold */
  KV_MISSING,        /* no such item or lease */
  KV_COMPACTED,      /* the history before the revision is gone */
  KV_REFUSED,        /* surely not executed */
  KV_OUTCOME_UNKNOWN /* may have been executed, or may be later */
} KvStatus;

typedef struct KvItem
{
  char *key;
  GBytes *value;   /* NULL where deleted */
  gint64 revision; /* of its last change; 0 where it does not exist */
  gint64 lease_id; /* 0 for none */
  gboolean deleted;
} KvItem;

/* A key that must be at REVISION, 0 for absent. */
typedef struct KvPrecondition
{
  char *key;
  gint64 revision;
} KvPrecondition;

typedef struct KvWrite
{
  char *key;
  GBytes *value; /* NULL to delete */
  gint64 lease_id;
} KvWrite;

typedef struct KvCall
{
  KvOp op;
  gint64 id;
  ClockMs timeout;
  gboolean
      fixed_timeout; /* the time-out holds however full the host's link is */
  char *key;         /* of KV_GET; the prefix of KV_RANGE and KV_WATCH */
  char *after_key;   /* of KV_RANGE: the last key of the page before */
  gint64 after_revision; /* of KV_WATCH */
  ClockMs max_wait;      /* of KV_WATCH */
  GArray *preconditions; /* of KvCond */
  GArray *writes;        /* of KvWrite */
  gint64 lease_id;       /* of KV_KEEP and KV_END */
  ClockMs lease_ttl;     /* of KV_LEASE */
} KvCall;

typedef struct KvReply
{
  gint64 id;
  KvStatus status;
  GPtrArray *items; /* of KvItem; NULL for none */
  gboolean has_more;
  gint64 revision; /* the store's, or the transaction's */
  gint64 lease_id;
  ClockMs lease_ttl;
  ClockMs call_started_at; /* when the call began */
  gsize bytes;             /* that it took on the host's link */
} KvReply;

KvCall *kv_call_new (KvOp op, const char *key);
void kv_call_free (KvCall *call);
void kv_call_add_precondition (KvCall *call, const char *key, gint64 revision);
void kv_call_add_write (KvCall *call,
                        const char *key,
                        GBytes *value,
                        gint64 lease_id);
guint kv_call_n_entries (const KvCall *call);
KvItem *kv_item_new (const char *key, GBytes *value, gint64 revision);
KvItem *kv_item_copy (const KvItem *item);
void kv_item_free (gpointer item);
const KvItem *kv_reply_find (const KvReply *reply, const char *key);
gboolean kv_reply_is_list (const KvReply *reply);
void kv_reply_clear (KvReply *reply);
const char *kv_status_name (KvStatus status);

#endif
