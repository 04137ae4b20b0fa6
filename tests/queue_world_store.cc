#include "queue_world.h"

/* The simulated store: items with revisions, leases and watches. */

static const ClockMs tick_ms = 5; /* as in queue_world.cc */
static const ClockMs store_latency_ms = 2;
/* Time after a watch's maximum wait at which its lost call times out. */
static const ClockMs watch_grace_ms = 600;
/* Delay of a write whose reply is lost, with store_late_write_rate. */
static const ClockMs late_write_delay_ms = 2000;

void
QueueWorld::write (const std::string &key,
                   const std::string &value,
                   gint64 lease)
{
  revision_++;
  items_[key] = { value, revision_, lease };
  history_.push_back ({ revision_, key, false, value });
}

void
QueueWorld::erase (const std::string &key)
{
  if (!items_.erase (key))
    return;
  revision_++;
  history_.push_back ({ revision_, key, true, "" });
}

/* Discards the history; watches from an older revision get KV_COMPACTED. */
void
QueueWorld::compact ()
{
  history_.clear ();
  compacted_ = revision_;
}

static KvItem *
to_item (const std::string &key, const std::string &value, gint64 revision)
{
  GBytes *bytes = g_bytes_new (value.data (), value.size ());
  KvItem *item = kv_item_new (key.c_str (), bytes, revision);

  g_bytes_unref (bytes);
  return item;
}

/* Whether CALL writes a value that is longer than the store takes. */
bool
QueueWorld::has_too_long_value (const KvCall *call) const
{
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);

      if (max_store_value && w.value &&
          g_bytes_get_size (w.value) > max_store_value)
        return true;
    }
  return false;
}

/* Applies the writes if all preconditions hold; otherwise returns the current
   items of the preconditions' keys. */
void
QueueWorld::store_txn (const KvCall *call, KvReply *reply)
{
  bool ok = true;

  for (guint i = 0; i < call->preconditions->len; i++)
    {
      const KvPrecondition &c =
          g_array_index (call->preconditions, KvPrecondition, i);
      auto it = items_.find (c.key);
      gint64 revision = it == items_.end () ? 0 : it->second.revision;

      ok = ok && revision == c.revision;
      if (it == items_.end ())
        g_ptr_array_add (reply->items, kv_item_new (c.key, nullptr, 0));
      else
        g_ptr_array_add (reply->items,
                         to_item (c.key, it->second.value, revision));
    }
  if (call->preconditions->len + call->writes->len > 32)
    violation ("a transaction of more than 32 entries");
  reply->status = ok ? KV_OK : KV_CONFLICT;
  if (!ok)
    return;
  g_ptr_array_set_size (reply->items, 0);
  if (has_too_long_value (call))
    {
      n_refused_values++;
      reply->status = KV_INVALID;
      return;
    }
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);

      if (w.lease_id && !leases_.count (w.lease_id))
        {
          reply->status = KV_MISSING;
          return;
        }
    }
  revision_++;
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);
      gsize n;

      if (!w.value)
        {
          if (items_.erase (w.key))
            history_.push_back ({ revision_, w.key, true, "" });
          continue;
        }
      const char *data = (const char *)g_bytes_get_data (w.value, &n);
      std::string value (data, n);

      items_[w.key] = { value, revision_, w.lease_id };
      history_.push_back ({ revision_, w.key, false, value });
    }
  reply->revision = revision_;
}

void
QueueWorld::store_execute (const KvCall *call, KvReply *reply)
{
  switch (call->op)
    {
    case KV_GET:
      {
        auto it = items_.find (call->key);

        reply->status = it == items_.end () ? KV_MISSING : KV_OK;
        if (it != items_.end ())
          g_ptr_array_add (reply->items, to_item (call->key, it->second.value,
                                                  it->second.revision));
        break;
      }
    case KV_RANGE:
      for (auto it = items_.lower_bound (call->key);
           it != items_.end () && it->first.rfind (call->key, 0) == 0; ++it)
        {
          if (call->after_key && it->first <= call->after_key)
            continue;
          if (reply->items->len == 20)
            {
              reply->has_more = TRUE;
              break;
            }
          g_ptr_array_add (reply->items, to_item (it->first, it->second.value,
                                                  it->second.revision));
        }
      reply->revision = revision_;
      break;
    case KV_TXN:
      store_txn (call, reply);
      break;
    case KV_LEASE_GRANT:
      if (call->lease_ttl < min_store_lease)
        {
          reply->status = KV_REFUSED;
          break;
        }
      reply->lease_id = ++last_lease_;
      reply->lease_ttl = call->lease_ttl;
      leases_[reply->lease_id] = { call->lease_ttl, now_ + call->lease_ttl };
      break;
    case KV_LEASE_RENEW:
      if (leases_.count (call->lease_id))
        leases_[call->lease_id].expires_at = now_ + leases_[call->lease_id].ttl;
      else
        reply->status = KV_MISSING;
      break;
    case KV_LEASE_REVOKE:
      if (leases_.count (call->lease_id))
        leases_[call->lease_id].expires_at = now_;
      break;
    case KV_WATCH:
      break;
    }
}

void
QueueWorld::reply_kv (int host,
                      int incarnation,
                      gint64 id,
                      std::shared_ptr<KvReply> reply,
                      ClockMs delay)
{
  reply->id = id;
  deliver (host, incarnation, delay,
           [reply] (Node *n) { node_on_kv_reply (n, reply.get ()); });
}

static void
free_kv_reply (KvReply *reply)
{
  kv_reply_clear (reply);
  delete reply;
}

static std::shared_ptr<KvReply>
new_reply (ClockMs sent, KvStatus status = KV_OK)
{
  KvReply *reply = new KvReply {};

  reply->status = status;
  reply->items = g_ptr_array_new_with_free_func (kv_item_free);
  reply->call_started_at = sent;
  return std::shared_ptr<KvReply> (reply, free_kv_reply);
}

static std::shared_ptr<KvCall>
copy_call (const KvCall *call)
{
  KvCall *c = kv_call_new (call->op, call->key);

  c->id = call->id;
  c->timeout = call->timeout;
  c->after_key = g_strdup (call->after_key);
  c->after_revision = call->after_revision;
  c->max_wait = call->max_wait;
  c->lease_id = call->lease_id;
  c->lease_ttl = call->lease_ttl;
  for (guint i = 0; i < call->preconditions->len; i++)
    {
      const KvPrecondition &k =
          g_array_index (call->preconditions, KvPrecondition, i);

      kv_call_add_precondition (c, k.key, k.revision);
    }
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);

      kv_call_add_write (c, w.key, w.value, w.lease_id);
    }
  return std::shared_ptr<KvCall> (c, kv_call_free);
}

/* Whether calls of HOST are lost without a reply. */
bool
QueueWorld::store_drops_calls (int host) const
{
  return now_ < store_down_until || now_ < hosts[host].store_silent_until;
}

/* Whether calls of HOST for KEY, or keys under it, are lost. */
bool
QueueWorld::store_drops_key (int host, const std::string &key) const
{
  return now_ < hosts[host].operators_silent_until && key.rfind ("op/", 0) == 0;
}

void
QueueWorld::store_call (int host, const KvCall *raw)
{
  int incarnation = hosts[host].incarnation;
  gint64 id = raw->id;
  ClockMs sent = now_;
  ClockMs timeout = raw->timeout;
  auto call = copy_call (raw);
  bool writes = raw->op == KV_TXN;

  hosts[host].n_store_calls++;
  if (store_endless_call_rate > 0 && chance () < store_endless_call_rate)
    return;
  ClockMs queued = reserve_link (host, link_kv_call_bytes (raw));

  if (link_.bytes_per_s)
    reply_kv (host, incarnation, id, new_reply (sent, KV_OUTCOME_UNKNOWN),
              timeout);
  if (store_drops_calls (host) ||
      store_drops_key (host, raw->key ? raw->key : "") ||
      (now_ < hosts[host].role_silent_until &&
       (raw->op == KV_LEASE_RENEW ||
        (raw->op == KV_WATCH &&
         std::string (raw->key).rfind ("wagtailpass/scheduler", 0) == 0))))
    {
      reply_kv (host, incarnation, id, new_reply (sent, KV_OUTCOME_UNKNOWN),
                timeout);
      return;
    }
  if (now_ < hosts[host].store_refuses_until)
    {
      reply_kv (host, incarnation, id, new_reply (sent, KV_REFUSED),
                store_latency_ms);
      return;
    }
  if (writes && chance () < store_late_write_rate)
    {
      schedule (now_ + late_write_delay_ms, [this, call] {
        auto reply = new_reply (now_);

        store_execute (call.get (), reply.get ());
        answer_watches ();
      });
      reply_kv (host, incarnation, id, new_reply (sent, KV_OUTCOME_UNKNOWN),
                timeout);
      return;
    }
  schedule (now_ + queued + store_latency_ms,
            [this, call, host, incarnation, id, sent, timeout, writes] {
              if (call->op == KV_WATCH)
                {
                  watches_.push_back ({ host, incarnation, id, call->key,
                                        call->after_revision,
                                        now_ + call->max_wait, sent, false });
                  answer_watches ();
                  return;
                }
              auto reply = new_reply (sent);

              store_execute (call.get (), reply.get ());
              answer_watches ();
              if (writes && chance () < store_reply_loss_rate)
                {
                  reply_kv (host, incarnation, id,
                            new_reply (sent, KV_OUTCOME_UNKNOWN), timeout);
                  return;
                }
              reply_kv (host, incarnation, id, reply, store_latency_ms);
            });
}

/* Fills in the changes that W waits for.  Returns whether to reply now. */
bool
QueueWorld::fill_watch (const Watch &w, KvReply *reply)
{
  if (w.after < compacted_)
    {
      reply->status = KV_COMPACTED;
      return true;
    }
  for (const Change &c : history_)
    if (c.revision > w.after && c.key.rfind (w.prefix, 0) == 0)
      {
        if (c.deleted)
          g_ptr_array_add (reply->items,
                           kv_item_new (c.key.c_str (), nullptr, c.revision));
        else
          g_ptr_array_add (reply->items, to_item (c.key, c.value, c.revision));
      }
  reply->revision = revision_;
  return reply->items->len > 0 || now_ >= w.deadline;
}

void
QueueWorld::answer_watches ()
{
  for (Watch &w : watches_)
    {
      auto reply = new_reply (w.sent_at);

      if (store_drops_calls (w.host) || store_drops_key (w.host, w.prefix) ||
          (now_ < hosts[w.host].role_silent_until &&
           w.prefix.rfind ("wagtailpass/scheduler", 0) == 0))
        {
          if (now_ < w.deadline + watch_grace_ms)
            continue;
          w.done = true;
          reply->status = KV_OUTCOME_UNKNOWN;
          reply_kv (w.host, w.incarnation, w.id, reply, 0);
        }
      else if (fill_watch (w, reply.get ()))
        {
          w.done = true;
          reply_kv (w.host, w.incarnation, w.id, reply, store_latency_ms);
        }
    }
  std::erase_if (watches_, [] (const Watch &w) { return w.done; });
}

/* Deletes expired leases with their keys. */
void
QueueWorld::tick_leases ()
{
  std::vector<gint64> over;

  if (now_ < store_down_until)
    {
      for (auto &l : leases_)
        l.second.expires_at += pause_leases_in_outage ? tick_ms : 0;
      return;
    }
  for (auto &l : leases_)
    if (l.second.expires_at <= now_)
      over.push_back (l.first);
  for (gint64 lease : over)
    {
      std::vector<std::string> keys;

      leases_.erase (lease);
      for (auto &i : items_)
        if (i.second.lease == lease)
          keys.push_back (i.first);
      for (auto &k : keys)
        erase (k);
    }
}
