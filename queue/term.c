#include "term.h"

#include "job_cache.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TTL_MS = 1500,  /* how long the role stays with a host that died */
  RENEW_MS = 400, /* three renewals may fail before the lease ends */
  CALL_TIMEOUT_MS = 700,
  RETRY_MS = 150,
  RUNS_PER_EPOCH = 1000 /* starts of one task by one holder */
};

/* A holder that can't renew its lease goes on giving orders and renewing the
   leases of what runs for this long after the lease ended.  A successor counts
   on it before it takes an unreachable worker's tasks for lost. */
const ClockMs term_overhang = 2000;

/* Then it only waits, as long as something may run that it knows of: the
   store may have been away for all hosts, and the lease with it. */
static const ClockMs wait_span = 5500;

/* Prepares T for the process HOLDER_NAME, a name that no other process
   ever has. */
void
term_init (Term *t, const char *holder_name)
{
  *t = (Term) { .holder_name = g_strdup (holder_name),
                .wanted = TRUE,
                .next = CLOCK_NEVER };
}

/* Releases what T holds. */
void
term_clear (Term *t)
{
  g_clear_pointer (&t->holder_name, g_free);
}

/* Takes ITEM, the role's key as it now is in the store.  JITTER spreads the
   hosts' claims. */
void
term_on_role (Term *t, const KvItem *item, ClockMs now, ClockMs jitter)
{
  t->role_known = TRUE;
  t->role_held = !item->deleted && item->revision > 0;
  t->role_revision = item->revision;
  if (t->state == TERM_FOLLOWER && !t->role_held)
    t->next = now + jitter;
  if (t->state == TERM_HOLDER && item->revision > t->revision)
    term_give_up (t, now);
}

/* Ends this host's hold on the role, if it has one; its lease is given
   back so that another host need not wait for it to lapse. */
void
term_give_up (Term *t, ClockMs now)
{
  if (t->lease)
    t->end_lease = t->lease;
  t->lease = 0;
  t->state = TERM_FOLLOWER;
  t->call_id = 0;
  t->next = now + RETRY_MS;
}

/* Says whether this host may hold the role; one that stops may not. */
void
term_want (Term *t, gboolean wanted)
{
  t->wanted = wanted;
}

static KvCall *
make_call (Term *t, KvOp op, const char *key)
{
  KvCall *call = kv_call_new (op, key);

  call->timeout = CALL_TIMEOUT_MS;
  t->next = CLOCK_NEVER;
  return call;
}

static KvCall *
lease_call (Term *t)
{
  KvCall *call = make_call (t, KV_LEASE, NULL);

  call->ttl = TTL_MS;
  t->state = TERM_LEASING;
  return call;
}

static KvCall *
keep_call (Term *t)
{
  KvCall *call = make_call (t, KV_KEEP, NULL);

  call->lease = t->lease;
  return call;
}

static KvCall *
claim_call (Term *t)
{
  KvCall *call = make_call (t, KV_TXN, NULL);
  char *epoch = g_strdup_printf ("%" G_GINT64_FORMAT, t->epoch);
  GBytes *epoch_value = g_bytes_new (epoch, strlen (epoch));
  GBytes *name = g_bytes_new (t->holder_name, strlen (t->holder_name));

  kv_call_cond (call, book_role_key, 0);
  kv_call_cond (call, book_epoch_key, t->epoch_revision);
  kv_call_write (call, book_role_key, name, t->lease);
  kv_call_write (call, book_epoch_key, epoch_value, 0);
  g_bytes_unref (epoch_value);
  g_bytes_unref (name);
  g_free (epoch);
  return call;
}

/* Gives the lease of an ended or failed tenure back; its answer does not
   matter, since the lease lapses by itself. */
static void
end_lease (Term *t, ClockMs now, Effects *fx)
{
  KvCall *call = make_call (t, KV_END, NULL);

  call->id = effects_next_id (fx);
  call->lease = t->end_lease;
  t->end_lease = 0;
  t->next = now + RETRY_MS;
  effects_kv (fx, call);
}

static gboolean
has_lapsed (const Term *t, ClockMs now)
{
  return now > t->confirmed + t->ttl + term_overhang + wait_span;
}

/* Returns the call that T's state asks for, or NULL. */
static KvCall *
next_call (Term *t)
{
  switch (t->state)
    {
    case TERM_FOLLOWER:
      t->next = CLOCK_NEVER;
      if (!t->wanted || !t->role_known || t->role_held)
        return NULL;
      return lease_call (t);
    case TERM_READING:
      return make_call (t, KV_GET, book_epoch_key);
    case TERM_CLAIMING:
      return claim_call (t);
    case TERM_HOLDER:
      return keep_call (t);
    case TERM_LEASING:
      break;
    }
  return NULL;
}

/* Asks FX for T's next call to the store when its time has come. */
void
term_poll (Term *t, ClockMs now, Effects *fx)
{
  KvCall *call;

  term_expire (t, now);
  if (t->state == TERM_HOLDER && !t->wanted)
    term_give_up (t, now);
  if (t->end_lease)
    {
      end_lease (t, now, fx);
      return;
    }
  if (t->call_id || t->next > now)
    return;
  call = next_call (t);
  if (!call)
    return;
  call->id = effects_next_id (fx);
  t->call_id = call->id;
  effects_kv (fx, call);
}

static void
on_lease (Term *t, const KvReply *reply, ClockMs now)
{
  if (reply->status != KV_OK)
    {
      term_give_up (t, now);
      return;
    }
  t->lease = reply->lease;
  t->ttl = reply->ttl;
  t->confirmed = reply->sent;
  t->state = TERM_READING;
  t->next = now;
}

/* Returns the epoch after the one in ITEM.  Where that can't be read, the
   store's revision takes its place: it has risen with every epoch. */
static gint64
epoch_after (const KvItem *item)
{
  gsize n;
  const char *data = g_bytes_get_data (item->value, &n);
  char *text = g_strndup (data ? data : "", n);
  guint64 epoch;

  if (!g_ascii_string_to_unsigned (text, 10, 1, G_MAXINT32, &epoch, NULL))
    epoch = (guint64)item->revision;
  g_free (text);
  return (gint64)epoch + 1;
}

static void
on_epoch (Term *t, const KvReply *reply, ClockMs now)
{
  const KvItem *item = NULL;

  if (reply->status != KV_OK && reply->status != KV_MISSING)
    {
      term_give_up (t, now);
      return;
    }
  if (reply->status == KV_OK)
    item = kv_reply_find (reply, book_epoch_key);
  t->epoch = 1;
  t->epoch_revision = 0;
  if (item && item->value)
    {
      t->epoch = epoch_after (item);
      t->epoch_revision = item->revision;
    }
  t->state = TERM_CLAIMING;
  t->next = now;
}

/* A claim whose answer was lost may still take effect; ending its lease
   makes it void. */
static void
on_claim (Term *t, const KvReply *reply, ClockMs now)
{
  if (reply->status != KV_OK)
    {
      term_give_up (t, now);
      if (reply->status == KV_CONFLICT)
        t->next = now + RETRY_MS;
      return;
    }
  t->revision = reply->revision;
  t->state = TERM_HOLDER;
  t->doubted = FALSE;
  t->next = now + RENEW_MS;
}

static void
on_keep (Term *t, const KvReply *reply, ClockMs now)
{
  if (reply->status == KV_MISSING)
    {
      t->lease = 0;
      term_give_up (t, now);
      return;
    }
  if (reply->status == KV_OK)
    {
      t->confirmed = reply->sent;
      t->doubted = FALSE;
    }
  t->next = now + (reply->status == KV_OK ? RENEW_MS : RETRY_MS);
}

static void
log_failure (const Term *t, const KvReply *reply, Effects *fx)
{
  static const char *const stages[] = { [TERM_FOLLOWER] = "end",
                                        [TERM_LEASING] = "lease",
                                        [TERM_READING] = "read",
                                        [TERM_CLAIMING] = "claim",
                                        [TERM_HOLDER] = "renew" };

  if (reply->status == KV_MISSING && t->state == TERM_READING)
    return;
  if (reply->status != KV_OK && reply->status != KV_CONFLICT)
    effects_log (fx, "event=role_call_failed stage=%s status=%s",
                 stages[t->state], kv_status_name (reply->status));
}

/* Takes REPLY if it answers T's call, and tells FX of a failure; returns
   whether it did. */
gboolean
term_on_reply (Term *t, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (!t->call_id || reply->id != t->call_id)
    return FALSE;
  t->call_id = 0;
  log_failure (t, reply, fx);
  switch (t->state)
    {
    case TERM_LEASING:
      on_lease (t, reply, now);
      break;
    case TERM_READING:
      on_epoch (t, reply, now);
      break;
    case TERM_CLAIMING:
      on_claim (t, reply, now);
      break;
    case TERM_HOLDER:
      on_keep (t, reply, now);
      break;
    case TERM_FOLLOWER:
      break;
    }
  return TRUE;
}

/* Tells whether this host holds the role. */
gboolean
term_is_holder (const Term *t)
{
  return t->state == TERM_HOLDER;
}

/* Tells whether this host, as the holder, may start and stop tasks and renew
   their leases. */
gboolean
term_may_order (const Term *t, ClockMs now)
{
  return term_is_holder (t) && !t->doubted &&
         now <= t->confirmed + t->ttl + term_overhang;
}

/* Has the holder ask the store at once whether it still is, before it gives
   another order: its process stood still until NOW. */
void
term_doubt (Term *t, ClockMs now)
{
  if (!term_is_holder (t))
    return;
  t->doubted = TRUE;
  t->call_id = 0;
  t->next = now;
}

/* Ends this host's hold on the role if it has run out by NOW. */
void
term_expire (Term *t, ClockMs now)
{
  if (term_is_holder (t) && has_lapsed (t, now))
    term_give_up (t, now);
}

/* Returns the fencing token of the orders under this term. */
gint64
term_fence (const Term *t)
{
  return t->epoch;
}

/* Returns the least run number under this term; numbers rise from holder
   to holder. */
gint64
term_first_run (const Term *t)
{
  return (t->epoch - 1) * RUNS_PER_EPOCH + 1;
}

/* Returns when term_poll wants to be called. */
ClockMs
term_next_deadline (const Term *t)
{
  if (t->end_lease)
    return 0;
  if (t->state == TERM_HOLDER)
    return MIN (t->next, t->confirmed + t->ttl + term_overhang + wait_span + 1);
  return t->next;
}
