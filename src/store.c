#include "store.h"

REC_DEFINE (StoreCall, store_call, STORE_CALL_FIELDS)
REC_DEFINE (StoreItem, store_item, STORE_ITEM_FIELDS)
REC_DEFINE (StoreHost, store_host, STORE_HOST_FIELDS)
REC_DEFINE (StoreReply, store_reply, STORE_REPLY_FIELDS)

typedef struct StorePending
{
  gint64 call;
  StoreDone done;
  gpointer owner;
  guint64 arg;
} StorePending;

struct Store
{
  GHashTable *pending; /* call to StorePending */
  gint64 last_call;
  gboolean up;
};

/* Returns the store session of node C. */
Store *
store_new (Core *c)
{
  Store *s = g_new0 (Store, 1);

  (void)c;
  s->pending =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->up = TRUE;
  return s;
}

/* Starts the session. */
void
store_start (Core *c)
{
  (void)c;
}

/* Releases S. */
void
store_free (Store *s)
{
  g_hash_table_unref (s->pending);
  g_free (s);
}

/* Submits CALL, whose number and time-out are filled in, for PURPOSE.  DONE
   is called once with OWNER and ARG, unless store_forget comes before.
   Returns the call's number. */
gint64
store_submit (Core *c,
              StorePurpose purpose,
              const StoreCall *call,
              StoreDone done,
              gpointer owner,
              guint64 arg)
{
  Store *s = c->store;
  StorePending *p = g_new (StorePending, 1);
  StoreCall sent = *call;

  (void)purpose;
  *p = (StorePending) { .call = ++s->last_call,
                        .done = done,
                        .owner = owner,
                        .arg = arg };
  g_hash_table_insert (s->pending, &p->call, p);
  sent.call = p->call;
  if (sent.timeout_ms == 0)
    sent.timeout_ms = c->cfg->store_timeout_ms;
  core_add (c, COUNT_STORE_CALLS, 1);
  core_emit (c, FX_STORE_CALL, NULL, &sent);
  return p->call;
}

/* Drops the interest in CALL: its DONE is not called any more. */
void
store_forget (Core *c, gint64 call)
{
  g_hash_table_remove (c->store->pending, &call);
}

/* Tells whether the last that is known of the store is an answer. */
gboolean
store_is_up (const Core *c)
{
  return c->store->up;
}

/* Takes the store's reply to one call. */
void
store_on_reply (Core *c, const Event *e)
{
  const StoreReply *r = e->body;
  StorePending *p = g_hash_table_lookup (c->store->pending, &r->call);

  c->store->up = r->status != STORE_LOST && r->status != STORE_UNSENT;
  if (!p)
    return;
  g_hash_table_steal (c->store->pending, &r->call);
  p->done (c, r, p->owner, p->arg);
  g_free (p);
}
