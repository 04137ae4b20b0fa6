#ifndef KV_H
#define KV_H

#include "clock.h"

/* Requests to the platform's key-value store and their replies, as plain
   data.  Only the platform's store client (platform/kv_client.c) does I/O; the
   other modules build calls and read replies. */

typedef enum KvOp
{
  KV_GET,         /* read one item */
  KV_RANGE,       /* read a page of the items under a prefix */
  KV_WATCH,       /* long poll: changes under a prefix after a revision */
  KV_TXN,         /* atomic conditional write */
  KV_LEASE_GRANT, /* create a lease */
  KV_LEASE_RENEW, /* restart a lease's TTL */
  KV_LEASE_REVOKE /* end a lease before its TTL has passed */
} KvOp;

typedef enum KvStatus
{
  KV_OK,
  KV_CONFLICT,       /* a precondition of the transaction failed */
  KV_MISSING,        /* no such item or lease */
  KV_COMPACTED,      /* changes after the watch's revision were compacted */
  KV_REFUSED,        /* certainly not executed; may be repeated */
  KV_INVALID,        /* not executed, and will not be if it is repeated */
  KV_OUTCOME_UNKNOWN /* may have been executed, or may still be */
} KvStatus;

typedef struct KvItem
{
  char *key;
  GBytes *value;   /* NULL if deleted */
  gint64 revision; /* of the last change; 0 if the key does not exist */
  gint64 lease_id; /* lease that the key expires with; 0 for none */
  gboolean deleted;
} KvItem;

/* Requires KEY to be at REVISION; 0 requires it to be absent. */
typedef struct KvPrecondition
{
  char *key;
  gint64 revision;
} KvPrecondition;

typedef struct KvWrite
{
  char *key;
  GBytes *value;   /* NULL deletes the key */
  gint64 lease_id; /* 0 for none */
} KvWrite;

typedef struct KvCall
{
  KvOp op;
  gint64 id;
  ClockMs timeout;
  gboolean fixed_timeout; /* not extended by the link's send backlog */
  char *key;              /* KV_GET: the key; KV_RANGE, KV_WATCH: the prefix */
  char *after_key;        /* KV_RANGE: last key of the previous page, or NULL */
  gint64 after_revision;  /* KV_WATCH: report changes after this one */
  ClockMs max_wait;       /* KV_WATCH: when to answer without changes */
  GArray *preconditions;  /* KV_TXN: of KvPrecondition */
  GArray *writes;         /* KV_TXN: of KvWrite */
  gint64 lease_id;        /* KV_LEASE_RENEW and KV_LEASE_REVOKE */
  ClockMs lease_ttl;      /* KV_LEASE_GRANT */
} KvCall;

typedef struct KvReply
{
  gint64 id;
  KvStatus status;
  GPtrArray *items;  /* of KvItem; NULL if there are none */
  gboolean has_more; /* KV_RANGE: another page follows */
  gint64 revision;   /* of the store, or of the completed transaction */
  gint64 lease_id;
  ClockMs lease_ttl;
  ClockMs call_started_at;
  gsize bytes; /* network bytes of the reply on the host's link */
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
const char *kv_op_name (KvOp op);
const char *kv_status_name (KvStatus status);

#endif
