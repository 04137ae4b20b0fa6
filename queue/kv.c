#include "kv.h"

#include <string.h>

static void
cond_clear (gpointer p)
{
  g_free (((KvPrecondition *)p)->key);
}

static void
write_clear (gpointer p)
{
  KvWrite *w = p;

  g_free (w->key);
  if (w->value)
    g_bytes_unref (w->value);
}

/* Returns a new call that does OP on KEY, which may be NULL. */
KvCall *
kv_call_new (KvOp op, const char *key)
{
  KvCall *call = g_new0 (KvCall, 1);

  call->op = op;
  call->key = g_strdup (key);
  call->preconditions = g_array_new (FALSE, TRUE, sizeof (KvPrecondition));
  call->writes = g_array_new (FALSE, TRUE, sizeof (KvWrite));
  g_array_set_clear_func (call->preconditions, cond_clear);
  g_array_set_clear_func (call->writes, write_clear);
  return call;
}

/* Frees CALL, which may be NULL. */
void
kv_call_free (KvCall *call)
{
  if (!call)
    return;
  g_free (call->key);
  g_free (call->after_key);
  g_array_unref (call->preconditions);
  g_array_unref (call->writes);
  g_free (call);
}

/* Makes the transaction CALL fail with KV_CONFLICT unless KEY is at REVISION;
   0 means that the key must not exist. */
void
kv_call_add_precondition (KvCall *call, const char *key, gint64 revision)
{
  KvPrecondition cond = { .key = g_strdup (key), .revision = revision };

  g_array_append_val (call->preconditions, cond);
}

/* Makes the transaction CALL store VALUE under KEY, attached to the lease
   LEASE_ID, 0 for none.  Takes its own reference to VALUE; NULL deletes the
   key. */
void
kv_call_add_write (KvCall *call,
                   const char *key,
                   GBytes *value,
                   gint64 lease_id)
{
  KvWrite w = { .key = g_strdup (key),
                .value = value ? g_bytes_ref (value) : NULL,
                .lease_id = lease_id };

  g_array_append_val (call->writes, w);
}

/* Returns the number of preconditions and writes of the transaction CALL; the
   store limits their sum. */
guint
kv_call_n_entries (const KvCall *call)
{
  return call->preconditions->len + call->writes->len;
}

/* Returns a new item with its own reference to VALUE; a VALUE of NULL makes it
   a deleted item. */
KvItem *
kv_item_new (const char *key, GBytes *value, gint64 revision)
{
  KvItem *item = g_new0 (KvItem, 1);

  item->key = g_strdup (key);
  item->value = value ? g_bytes_ref (value) : NULL;
  item->revision = revision;
  item->deleted = value == NULL;
  return item;
}

/* Returns a copy of ITEM that shares the reference-counted value. */
KvItem *
kv_item_copy (const KvItem *item)
{
  KvItem *copy = kv_item_new (item->key, item->value, item->revision);

  copy->lease_id = item->lease_id;
  copy->deleted = item->deleted;
  return copy;
}

/* Frees ITEM, a KvItem; has the type of a GDestroyNotify. */
void
kv_item_free (gpointer item)
{
  KvItem *i = item;

  g_free (i->key);
  if (i->value)
    g_bytes_unref (i->value);
  g_free (i);
}

/* Returns the item of REPLY whose key is KEY, or NULL. */
const KvItem *
kv_reply_find (const KvReply *reply, const char *key)
{
  guint i;

  for (i = 0; reply->items && i < reply->items->len; i++)
    {
      const KvItem *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, key) == 0)
        return item;
    }
  return NULL;
}

/* Tells whether REPLY is a valid answer to KV_RANGE or KV_WATCH: each carries
   the store's revision, which is above 0.  A reply without it says nothing,
   not even that the keys it lacks do not exist. */
gboolean
kv_reply_is_list (const KvReply *reply)
{
  return reply->status == KV_OK && reply->revision > 0;
}

/* Frees the members of REPLY, but not REPLY itself. */
void
kv_reply_clear (KvReply *reply)
{
  g_clear_pointer (&reply->items, g_ptr_array_unref);
}

/* Returns the name of OP, for logs and metrics. */
const char *
kv_op_name (KvOp op)
{
  static const char *const names[] = {
    [KV_GET] = "get",           [KV_RANGE] = "range",
    [KV_WATCH] = "watch",       [KV_TXN] = "txn",
    [KV_LEASE_GRANT] = "lease", [KV_LEASE_RENEW] = "keep",
    [KV_LEASE_REVOKE] = "end",
  };

  return names[op];
}

/* Returns the name of STATUS as it appears in log lines. */
const char *
kv_status_name (KvStatus status)
{
  static const char *const names[] = {
    [KV_OK] = "ok",
    [KV_CONFLICT] = "conflict",
    [KV_MISSING] = "missing",
    [KV_COMPACTED] = "compacted",
    [KV_REFUSED] = "refused",
    [KV_INVALID] = "invalid",
    [KV_OUTCOME_UNKNOWN] = "lost",
  };

  return names[status];
}
