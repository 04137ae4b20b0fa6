#include "term.h"

#include "job_cache.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A dead leader keeps the role at least this long.  A renewal that times out
     leaves time for one retry; renewals that fail at once leave time for
     more. */
  MIN_LEASE_TTL_MS = 1500,
  RENEW_INTERVAL_MS = 400,
  RENEWAL_MS = 550, /* time for a renewal over short ways */
  CALL_TIMEOUT_MS = 700,
  RETRY_DELAY_MS = 150,
  RUNS_PER_EPOCH = 1000, /* limits the starts of one task in one term */
  /* A host waits this long before it claims the role for each halving of its
     processor below large_host_cores: longer than hosts learn apart that the
     role is free, for most of them. */
  DELAY_PER_HALVING_MS = 300,
  MAX_CLAIM_DELAY_MS = 600,
  /* By then every other host that can claim a free role has done so. */
  LAST_RESORT_DELAY_MS = 2000
};

static const double large_host_cores = 0.25;

/* A leader that cannot renew its lease continues to send orders and to renew
   the leases of running tasks for this many milliseconds after its own lease
   expired.  A new leader adds this time before it assumes that the leases that
   its predecessor gave to runs have expired. */
const ClockMs term_order_grace = 2000;

/* For this many milliseconds after term_order_grace the leader only tries to
   renew, for as long as a normal run lease lasts (normal_lease in holds.c), as
   runs that it knows of may still be active.  The leader's own lease may still
   exist if the store was unavailable to all hosts. */
static const ClockMs renew_only_span = 5500;

/* Returns how long a host with this many CORES waits before it claims the role,
   so that one with a faster processor gets it if there is any. */
ClockMs
term_claim_delay (double cores)
{
  double halvings = log (large_host_cores / cores) / G_LN2;

  return (ClockMs)CLAMP (halvings * DELAY_PER_HALVING_MS, 0.0,
                         MAX_CLAIM_DELAY_MS);
}

/* Initializes T.  HOLDER_NAME identifies this process in the role key; no other
   process may ever use the same name.  The store refuses a lease of less than
   MIN_LEASE_TTL ms. */
void
term_init (Term *t, const char *holder_name, ClockMs min_lease_ttl)
{
  *t = (Term) { .holder_name = g_strdup (holder_name),
                .min_lease_ttl = min_lease_ttl,
                .eligible = TRUE,
                .next_at = CLOCK_NEVER };
}

/* Frees the contents of T. */
void
term_clear (Term *t)
{
  g_clear_pointer (&t->holder_name, g_free);
}

/* Handles ITEM, the current state of the role key.  If the role is free, this
   host tries to claim it after JITTER milliseconds, which differ between
   hosts.  If this host leads and another one has changed the key, it steps
   down. */
void
term_on_role (Term *t, const KvItem *item, ClockMs now, ClockMs jitter)
{
  gboolean is_held = !item->deleted && item->revision > 0;

  if (!is_held && (t->role_is_held || !t->role_known))
    t->free_since = now;
  t->role_known = TRUE;
  t->role_is_held = is_held;
  t->role_revision = item->revision;
  if (t->state == TERM_FOLLOWER && !t->role_is_held)
    t->next_at = now + jitter;
  if (t->state == TERM_LEADER && item->revision > t->own_role_revision)
    term_step_down (t, now);
}

static gboolean
parse_epoch (const KvItem *item, guint64 *epoch)
{
  gsize n;
  const char *data = g_bytes_get_data (item->value, &n);
  char *text = g_strndup (data ? data : "", n);
  gboolean ok =
      g_ascii_string_to_unsigned (text, 10, 1, G_MAXINT32, epoch, NULL);

  g_free (text);
  return ok;
}

/* Handles ITEM, the current state of the epoch key: notes when a term was first
   seen, of the latest TERM_HISTORY. */
void
term_on_epoch (Term *t, const KvItem *item, ClockMs now)
{
  TermHistory *h = &t->history;
  guint64 epoch;

  if (item->deleted || !item->value || !parse_epoch (item, &epoch) ||
      (h->n && h->seen[h->n - 1].epoch >= (gint64)epoch))
    return;
  if (h->n == TERM_HISTORY)
    memmove (&h->seen[0], &h->seen[1], --h->n * sizeof h->seen[0]);
  h->seen[h->n++] = (TermSeen) { (gint64)epoch, now };
}

/* Returns how many terms, of any host, were first seen after SINCE. */
guint
term_n_begun_since (const TermHistory *history, ClockMs since)
{
  guint n = 0;
  guint i;

  for (i = 0; i < history->n; i++)
    n += history->seen[i].at > since;
  return n;
}

/* Returns a time by which the term EPOCH had ended, as a later one had begun,
   or CLOCK_NEVER if none was seen. */
ClockMs
term_ended_by (const TermHistory *history, gint64 epoch)
{
  guint i;

  for (i = 0; i < history->n; i++)
    if (history->seen[i].epoch > epoch)
      return history->seen[i].at;
  return CLOCK_NEVER;
}

/* Makes this host a follower.  Schedules the revocation of its lease, so that
   another host can take the role before the lease expires. */
void
term_step_down (Term *t, ClockMs now)
{
  if (t->lease_id)
    t->revoke_lease_id = t->lease_id;
  t->lease_id = 0;
  t->state = TERM_FOLLOWER;
  t->call_id = 0;
  t->next_at = now + RETRY_DELAY_MS;
}

/* Sets whether this host may lead.  A host that shuts down may not. */
void
term_set_eligible (Term *t, gboolean eligible)
{
  t->eligible = eligible;
}

/* Sets whether this host, which may lead, claims a free role only after
   LAST_RESORT_DELAY_MS: it could not start any task. */
void
term_set_last_resort (Term *t, gboolean last_resort)
{
  t->last_resort = last_resort;
}

/* Returns when T's next call is due. */
static ClockMs
call_due_at (const Term *t)
{
  if (t->state == TERM_FOLLOWER && t->last_resort && t->role_known &&
      !t->role_is_held)
    return MAX (t->next_at, t->free_since + LAST_RESORT_DELAY_MS);
  return t->next_at;
}

static KvCall *
make_call (Term *t, KvOp op, const char *key)
{
  KvCall *call = kv_call_new (op, key);

  call->timeout = CALL_TIMEOUT_MS;
  t->next_at = CLOCK_NEVER;
  return call;
}

/* Returns the call for a lease, which lasts long enough for two renewals by the
   store's round trips. */
static KvCall *
lease_call (Term *t, const Effects *fx)
{
  KvCall *call = make_call (t, KV_LEASE_GRANT, NULL);

  call->lease_ttl =
      MAX ((ClockMs)MIN_LEASE_TTL_MS,
           RENEW_INTERVAL_MS + 2 * effects_store_timeout (fx, RENEWAL_MS));
  call->lease_ttl = MAX (call->lease_ttl, t->min_lease_ttl);
  t->state = TERM_REQUESTING_LEASE;
  return call;
}

static KvCall *
renew_call (Term *t)
{
  KvCall *call = make_call (t, KV_LEASE_RENEW, NULL);

  call->lease_id = t->lease_id;
  return call;
}

static KvCall *
claim_call (Term *t)
{
  KvCall *call = make_call (t, KV_TXN, NULL);
  char *epoch = g_strdup_printf ("%" G_GINT64_FORMAT, t->epoch);
  GBytes *epoch_value = g_bytes_new (epoch, strlen (epoch));
  GBytes *name = g_bytes_new (t->holder_name, strlen (t->holder_name));

  kv_call_add_precondition (call, scheduler_role_key, 0);
  kv_call_add_precondition (call, scheduler_epoch_key, t->epoch_revision);
  kv_call_add_write (call, scheduler_role_key, name, t->lease_id);
  kv_call_add_write (call, scheduler_epoch_key, epoch_value, 0);
  g_bytes_unref (epoch_value);
  g_bytes_unref (name);
  g_free (epoch);
  return call;
}

/* Revokes the lease of an ended term or failed claim.  The reply is ignored,
   since the lease also expires by itself. */
static void
end_lease (Term *t, ClockMs now, Effects *fx)
{
  KvCall *call = make_call (t, KV_LEASE_REVOKE, NULL);

  call->id = effects_next_id (fx);
  call->lease_id = t->revoke_lease_id;
  t->revoke_lease_id = 0;
  t->next_at = now + RETRY_DELAY_MS;
  effects_kv (fx, call);
}

static gboolean
leadership_has_expired (const Term *t, ClockMs now)
{
  return now >
         t->renewed_at + t->lease_ttl + term_order_grace + renew_only_span;
}

/* Returns the next store call for T's state, or NULL for none. */
static KvCall *
next_call (Term *t, const Effects *fx)
{
  switch (t->state)
    {
    case TERM_FOLLOWER:
      t->next_at = CLOCK_NEVER;
      if (!t->eligible || !t->role_known || t->role_is_held)
        return NULL;
      return lease_call (t, fx);
    case TERM_READING_EPOCH:
      return make_call (t, KV_GET, scheduler_epoch_key);
    case TERM_CLAIMING:
      return claim_call (t);
    case TERM_LEADER:
      return renew_call (t);
    case TERM_REQUESTING_LEASE:
      break;
    }
  return NULL;
}

/* Emits T's next store call to FX if one is due. */
void
term_poll (Term *t, ClockMs now, Effects *fx)
{
  KvCall *call;

  term_check_expiry (t, now);
  if (t->state == TERM_LEADER && !t->eligible)
    term_step_down (t, now);
  if (t->revoke_lease_id)
    {
      end_lease (t, now, fx);
      return;
    }
  if (t->call_id || call_due_at (t) > now)
    return;
  t->call_late = now - t->next_at;
  call = next_call (t, fx);
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
      term_step_down (t, now);
      return;
    }
  t->lease_id = reply->lease_id;
  t->lease_ttl = reply->lease_ttl;
  t->renewed_at = reply->call_started_at;
  t->state = TERM_READING_EPOCH;
  t->next_at = now;
}

/* Returns the epoch that follows the one stored in ITEM.  If the stored value
   cannot be parsed, ITEM's revision is used instead: it has increased at least
   once with every epoch. */
static gint64
epoch_after (const KvItem *item)
{
  guint64 epoch;

  if (!parse_epoch (item, &epoch))
    epoch = (guint64)item->revision;
  return (gint64)epoch + 1;
}

static void
on_epoch (Term *t, const KvReply *reply, ClockMs now)
{
  const KvItem *item = NULL;

  if (reply->status != KV_OK && reply->status != KV_MISSING)
    {
      term_step_down (t, now);
      return;
    }
  if (reply->status == KV_OK)
    item = kv_reply_find (reply, scheduler_epoch_key);
  t->epoch = 1;
  t->epoch_revision = 0;
  if (item && item->value)
    {
      t->epoch = epoch_after (item);
      t->epoch_revision = item->revision;
    }
  t->state = TERM_CLAIMING;
  t->next_at = now;
}

/* A claim whose reply was lost may still be executed; revoking its lease
   removes the role key again. */
static void
on_claim (Term *t, const KvReply *reply, ClockMs now)
{
  if (reply->status != KV_OK)
    {
      term_step_down (t, now);
      if (reply->status == KV_CONFLICT)
        t->next_at = now + RETRY_DELAY_MS;
      return;
    }
  t->own_role_revision = reply->revision;
  t->state = TERM_LEADER;
  t->must_renew = FALSE;
  t->next_at = now + RENEW_INTERVAL_MS;
}

/* Logs a renewal that came so late that the lease may have expired before. */
static void
log_late_renewal (const Term *t, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (now - t->renewed_at <= t->lease_ttl)
    return;
  effects_log (fx,
               "event=renewal_late status=%s sent_late_ms=%" CLOCK_MS_FORMAT
               " answer_ms=%" CLOCK_MS_FORMAT " since_last_ms=%" CLOCK_MS_FORMAT
               " lease_ms=%" CLOCK_MS_FORMAT,
               kv_status_name (reply->status), t->call_late,
               now - reply->call_started_at, now - t->renewed_at, t->lease_ttl);
}

static void
on_renewal (Term *t, const KvReply *reply, ClockMs now)
{
  if (reply->status == KV_MISSING)
    {
      t->lease_id = 0;
      term_step_down (t, now);
      return;
    }
  if (reply->status == KV_OK)
    {
      t->renewed_at = reply->call_started_at;
      t->must_renew = FALSE;
    }
  t->next_at =
      now + (reply->status == KV_OK ? RENEW_INTERVAL_MS : RETRY_DELAY_MS);
}

static void
log_failure (const Term *t, const KvReply *reply, Effects *fx)
{
  static const char *const stages[] = { [TERM_FOLLOWER] = "end",
                                        [TERM_REQUESTING_LEASE] = "lease",
                                        [TERM_READING_EPOCH] = "read",
                                        [TERM_CLAIMING] = "claim",
                                        [TERM_LEADER] = "renew" };

  if (reply->status == KV_MISSING && t->state == TERM_READING_EPOCH)
    return;
  if (reply->status != KV_OK && reply->status != KV_CONFLICT)
    effects_log (fx, "event=role_call_failed stage=%s status=%s",
                 stages[t->state], kv_status_name (reply->status));
}

/* Handles REPLY if it answers T's call in flight, and logs a failure to FX.
   Returns whether it does. */
gboolean
term_on_reply (Term *t, const KvReply *reply, ClockMs now, Effects *fx)
{
  if (!t->call_id || reply->id != t->call_id)
    return FALSE;
  t->call_id = 0;
  log_failure (t, reply, fx);
  switch (t->state)
    {
    case TERM_REQUESTING_LEASE:
      on_lease (t, reply, now);
      break;
    case TERM_READING_EPOCH:
      on_epoch (t, reply, now);
      break;
    case TERM_CLAIMING:
      on_claim (t, reply, now);
      break;
    case TERM_LEADER:
      log_late_renewal (t, reply, now, fx);
      on_renewal (t, reply, now);
      break;
    case TERM_FOLLOWER:
      break;
    }
  return TRUE;
}

/* Tells whether this host is the leader. */
gboolean
term_is_leader (const Term *t)
{
  return t->state == TERM_LEADER;
}

/* Tells whether this host is the leader and its lease, as last renewed, has not
   run out at NOW: the store answers it. */
gboolean
term_is_renewed (const Term *t, ClockMs now)
{
  return term_is_leader (t) && now - t->renewed_at <= t->lease_ttl;
}

/* Tells whether this host, as the leader, may start and stop tasks and renew
   their leases at NOW. */
gboolean
term_may_send_orders (const Term *t, ClockMs now)
{
  return term_is_leader (t) && !t->must_renew &&
         now <= t->renewed_at + t->lease_ttl + term_order_grace;
}

/* Blocks the leader's orders until it has renewed its lease, and schedules the
   renewal at once.  Called after the process was suspended until NOW, when
   another host may have become leader. */
void
term_require_renewal (Term *t, ClockMs now)
{
  if (!term_is_leader (t))
    return;
  t->must_renew = TRUE;
  t->call_id = 0;
  t->next_at = now;
}

/* Steps down if this host's leadership has expired by NOW. */
void
term_check_expiry (Term *t, ClockMs now)
{
  if (term_is_leader (t) && leadership_has_expired (t, now))
    term_step_down (t, now);
}

/* Returns the fencing token for orders of this term. */
gint64
term_fence (const Term *t)
{
  return t->epoch;
}

/* Returns the lowest run number of this term; it increases with each epoch. */
gint64
term_first_run (const Term *t)
{
  return (t->epoch - 1) * RUNS_PER_EPOCH + 1;
}

/* Returns when term_poll has to be called next. */
ClockMs
term_next_deadline (const Term *t)
{
  if (t->revoke_lease_id)
    return 0;
  if (t->state == TERM_LEADER)
    return MIN (t->next_at, t->renewed_at + t->lease_ttl + term_order_grace +
                                renew_only_span + 1);
  return call_due_at (t);
}
