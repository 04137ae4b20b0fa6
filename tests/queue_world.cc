#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "json.h"
}

static const ClockMs store_ms = 2;
static const ClockMs worker_ms = 1;
static const ClockMs stop_ms = 100;
static const ClockMs gang_wait_ms = 3000;
static const ClockMs hold_most_ms = 10000;
static const ClockMs cancel_bound_ms = 3000;
static const ClockMs late_least_ms = 2000;
static const ClockMs late_most_ms = 8000;
static const int attempts = 3; /* of every queue */
static const ClockMs step_ms = 5;
static const ClockMs frozen_look_ms = 50;
static const ClockMs watch_timeout_ms = 600; /* beyond its wait */

std::string
world_step (int count, int cpu, int gpu, const std::string &extra)
{
  return "{\"count\":" + std::to_string (count) +
         ",\"cpu\":" + std::to_string (cpu) +
         ",\"memMb\":1000,\"gpu\":" + std::to_string (gpu) +
         ",\"estimateMs\":1000" + extra + "}";
}

std::string
world_body (const std::string &steps, const std::string &text)
{
  return "{\"spec\":\"" + text + "\",\"steps\":[" + steps + "]}";
}

static TaskPlan
parse_plan (const std::string &text)
{
  TaskPlan p;
  size_t at = text.find ("ms=");

  if (at != std::string::npos)
    p.ms = atoi (text.c_str () + at + 3);
  at = text.find ("gang=");
  if (at != std::string::npos)
    p.gang = atoi (text.c_str () + at + 5);
  p.fail = text.find ("fail") != std::string::npos;
  return p;
}

std::string
world_job (const std::string &task)
{
  return task.substr (0, task.find ('.'));
}

static std::string
unit_of (const std::string &task, bool gang)
{
  return gang ? task.substr (0, task.rfind ('.')) : task;
}

int
world_word (const std::string &task, int n)
{
  size_t at = 0;

  while (n--)
    at = task.find ('.', at) + 1;
  return atoi (task.c_str () + at);
}

QueueWorld::QueueWorld (int n_hosts, int n_workers, unsigned seed)
{
  rng_ = g_rand_new_with_seed (seed);
  for (int i = 0; i < n_workers; i++)
    {
      WorldWorker w;

      w.id = "w" + std::to_string (i);
      w.rack = "r" + std::to_string (i / 4);
      w.rate = 1.0 - 0.02 * chance ();
      workers.push_back (w);
    }
  put_conf (1, "key");
  for (int i = 0; i < n_workers; i++)
    put_worker (i);
  hosts.resize (n_hosts);
  for (int i = 0; i < n_hosts; i++)
    start_host (i);
}

QueueWorld::~QueueWorld ()
{
  for (WorldHost &h : hosts)
    if (h.node)
      node_free (h.node);
  g_rand_free (rng_);
}

double
QueueWorld::chance ()
{
  return g_rand_double (rng_);
}

void
QueueWorld::at (ClockMs when, std::function<void ()> what)
{
  events_.emplace (when, what);
}

void
QueueWorld::violation (const std::string &text)
{
  violations.push_back ("at " + std::to_string (now_) + ": " + text);
}

void
QueueWorld::put_conf (gint64 version,
                      const std::string &token,
                      const std::string &extra)
{
  std::string routes;

  for (int p = 0; p < 3; p++)
    routes += std::string (p ? "," : "") + "{\"name\":\"q" +
              std::to_string (p) + "\",\"host\":\"h.example\",\"prefix\":\"/q" +
              std::to_string (p) +
              "/\",\"service\":\"render\",\"priority\":" + std::to_string (p) +
              ",\"attempts\":3,\"stretch\":3.0,\"targetLatencyMs\":1000}";
  write ("op/config",
         "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes +
             extra +
             "],\"services\":[{\"name\":\"render\"}],\"tenants\":[{\"name\":"
             "\"alpha\",\"apiKeys\":[\"" +
             token + "\"],\"guaranteed\":{\"gpu\":16}}" + more_tenants +
             "],\"limits\":{}}",
         0);
}

void
QueueWorld::put_worker (int i)
{
  const WorldWorker &w = workers[i];

  write ("servers/" + w.id,
         "{\"service\":\"render\",\"address\":\"10.0.0." + std::to_string (i) +
             ":1\",\"zone\":\"z\",\"state\":\"" +
             (w.draining ? "draining" : "ready") +
             "\",\"capacity\":{\"cpu\":64000,\"memMb\":256000,\"gpu\":8},"
             "\"labels\":[\"a\",\"" +
             w.rack + "\"],\"born\":" + std::to_string (w.born) +
             (w.draining ? ",\"drainRemainingMs\":2500}" : "}"),
         0);
}

void
QueueWorld::drop_worker_entry (int i)
{
  erase ("servers/" + workers[i].id);
}

void
QueueWorld::start_host (int i)
{
  WorldHost &h = hosts[i];
  std::string name = "h" + std::to_string (i) + "#" + std::to_string (++h.life);
  NodeSettings s = { name.c_str (), (guint32)(i * 100 + h.life), 3700, 0 };

  h.name = "h" + std::to_string (i);
  h.node = node_new (&s, &platform_codec, now_, wall_ + now_ + h.wall_step);
  at (now_, [this, i] { pump (i); });
}

void
QueueWorld::kill_host (int i)
{
  if (hosts[i].node)
    node_free (hosts[i].node);
  hosts[i].node = nullptr;
  hosts[i].life++;
}

void
QueueWorld::drain_host (int i)
{
  node_drain (hosts[i].node);
}

void
QueueWorld::crash_worker (int i, bool listed)
{
  WorldWorker &w = workers[i];

  w.alive = false;
  w.runs.clear ();
  w.ended.clear ();
  w.tombs.clear ();
  w.fence = 0;
  w.ends_made = 0;
  w.deadline = 0;
  if (!listed)
    drop_worker_entry (i);
}

void
QueueWorld::restart_worker (int i)
{
  workers[i].alive = true;
  workers[i].draining = false;
  workers[i].drained = CLOCK_NEVER;
  workers[i].born = wall_ + now_;
  put_worker (i);
}

void
QueueWorld::drain_worker (int i)
{
  workers[i].draining = true;
  workers[i].drained = std::min (workers[i].drained, now_);
  put_worker (i);
}

void
QueueWorld::leave_worker (int i)
{
  crash_worker (i, false);
}

/* The store. */

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

void
QueueWorld::store_txn (const KvCall *call, KvReply *reply)
{
  bool ok = true;

  for (guint i = 0; i < call->conds->len; i++)
    {
      const KvCond &c = g_array_index (call->conds, KvCond, i);
      auto it = items_.find (c.key);
      gint64 revision = it == items_.end () ? 0 : it->second.revision;

      ok = ok && revision == c.revision;
      if (it == items_.end ())
        g_ptr_array_add (reply->items, kv_item_new (c.key, nullptr, 0));
      else
        g_ptr_array_add (reply->items,
                         to_item (c.key, it->second.value, revision));
    }
  if (call->conds->len + call->writes->len > 32)
    violation ("a transaction of more than 32 entries");
  reply->status = ok ? KV_OK : KV_CONFLICT;
  if (!ok)
    return;
  g_ptr_array_set_size (reply->items, 0);
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);

      if (w.lease && !leases_.count (w.lease))
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

      items_[w.key] = { value, revision_, w.lease };
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
              reply->more = TRUE;
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
    case KV_LEASE:
      reply->lease = ++last_lease_;
      reply->ttl = call->ttl;
      leases_[reply->lease] = { call->ttl, now_ + call->ttl };
      break;
    case KV_KEEP:
      if (leases_.count (call->lease))
        leases_[call->lease].until = now_ + leases_[call->lease].ttl;
      else
        reply->status = KV_MISSING;
      break;
    case KV_END:
      if (leases_.count (call->lease))
        leases_[call->lease].until = now_;
      break;
    case KV_WATCH:
      break;
    }
}

/* Runs WHAT on HOST's present life, not before a freeze is over. */
void
QueueWorld::deliver (int host,
                     int life,
                     ClockMs delay,
                     std::function<void (Node *)> what)
{
  at (now_ + delay, [this, host, life, what] {
    WorldHost &h = hosts[host];

    if (h.life != life || !h.node)
      return;
    if (h.frozen)
      {
        deliver (host, life, frozen_look_ms, what);
        return;
      }
    node_set_time (h.node, now_, wall_ + now_ + h.wall_step);
    what (h.node);
    pump (host);
  });
}

void
QueueWorld::reply_kv (int host,
                      int life,
                      gint64 id,
                      std::shared_ptr<KvReply> reply,
                      ClockMs delay)
{
  reply->id = id;
  deliver (host, life, delay,
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
  reply->sent = sent;
  return std::shared_ptr<KvReply> (reply, free_kv_reply);
}

static std::shared_ptr<KvCall>
copy_call (const KvCall *call)
{
  KvCall *c = kv_call_new (call->op, call->key);

  c->id = call->id;
  c->timeout = call->timeout;
  c->after_key = g_strdup (call->after_key);
  c->after = call->after;
  c->wait = call->wait;
  c->lease = call->lease;
  c->ttl = call->ttl;
  for (guint i = 0; i < call->conds->len; i++)
    {
      const KvCond &k = g_array_index (call->conds, KvCond, i);

      kv_call_cond (c, k.key, k.revision);
    }
  for (guint i = 0; i < call->writes->len; i++)
    {
      const KvWrite &w = g_array_index (call->writes, KvWrite, i);

      kv_call_write (c, w.key, w.value, w.lease);
    }
  return std::shared_ptr<KvCall> (c, kv_call_free);
}

void
QueueWorld::store_call (int host, const KvCall *raw)
{
  int life = hosts[host].life;
  gint64 id = raw->id;
  ClockMs sent = now_;
  ClockMs timeout = raw->timeout;
  auto call = copy_call (raw);
  bool writes = raw->op == KV_TXN;

  if (now_ < store_down_until)
    {
      reply_kv (host, life, id, new_reply (sent, KV_LOST), timeout);
      return;
    }
  if (now_ < hosts[host].store_cut_until)
    {
      reply_kv (host, life, id, new_reply (sent, KV_REFUSED), store_ms);
      return;
    }
  if (writes && chance () < store_late_share)
    {
      at (now_ + late_least_ms, [this, call] {
        auto reply = new_reply (now_);

        store_execute (call.get (), reply.get ());
        answer_watches ();
      });
      reply_kv (host, life, id, new_reply (sent, KV_LOST), timeout);
      return;
    }
  at (now_ + store_ms, [this, call, host, life, id, sent, timeout, writes] {
    if (call->op == KV_WATCH)
      {
        watches_.push_back ({ host, life, id, call->key, call->after,
                              now_ + call->wait, sent, false });
        answer_watches ();
        return;
      }
    auto reply = new_reply (sent);

    store_execute (call.get (), reply.get ());
    answer_watches ();
    if (writes && chance () < store_lost_share)
      {
        reply_kv (host, life, id, new_reply (sent, KV_LOST), timeout);
        return;
      }
    reply_kv (host, life, id, reply, store_ms);
  });
}

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
  return reply->items->len > 0 || now_ >= w.until;
}

void
QueueWorld::answer_watches ()
{
  for (Watch &w : watches_)
    {
      auto reply = new_reply (w.sent);

      if (now_ < store_down_until)
        {
          if (now_ < w.until + watch_timeout_ms)
            continue;
          w.done = true;
          reply->status = KV_LOST;
          reply_kv (w.host, w.life, w.id, reply, 0);
        }
      else if (fill_watch (w, reply.get ()))
        {
          w.done = true;
          reply_kv (w.host, w.life, w.id, reply, store_ms);
        }
    }
  std::erase_if (watches_, [] (const Watch &w) { return w.done; });
}

void
QueueWorld::tick_leases ()
{
  std::vector<gint64> over;

  if (now_ < store_down_until)
    return;
  for (auto &l : leases_)
    if (l.second.until <= now_)
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

/* Workers. */

gint64
QueueWorld::clock_of (const WorldWorker &w) const
{
  return (gint64)((double)now_ * w.rate);
}

bool
QueueWorld::reaches (const WorldWorker &w) const
{
  return w.alive && now_ >= w.cut_until;
}

void
QueueWorld::end_run (WorldWorker &w, const std::string &task, RunEnd how)
{
  auto it = w.runs.find (task);
  WorldRun r = it->second;

  w.runs.erase (it);
  w.tombs[task] = std::max (w.tombs[task], r.run);
  w.ended.push_back ({ ++w.ends_made, task, r.run, how, now_, false });
  if (how == RUN_DONE)
    done_units_.insert (unit_of (task, r.plan.gang > 0));
  if (how == RUN_ALONE && is_calm () &&
      jobs_[world_job (task)].cancelled == CLOCK_NEVER)
    violation ("GANG " + task);
}

void
QueueWorld::check_start (const WorldWorker &w,
                         const WorldRun &r,
                         const std::string &text)
{
  auto job = jobs_.find (world_job (r.task));
  PoolRoom used = { 0, 0, 0 };

  started_.emplace (r.task, now_);
  if (job == jobs_.end ())
    {
      violation ("UNASKED " + r.task);
      return;
    }
  if (now_ > job->second.cancelled &&
      now_ - std::max (job->second.cancelled, last_trouble_) > cancel_bound_ms)
    violation ("UNASKED after cancel " + r.task);
  if (job->second.refusals == job->second.tries)
    violation ("REFUSED " + r.task);
  if (job->second.spec)
    {
      check_order (r, *job->second.spec);
      check_route (w, r, *job->second.spec);
      if (text != (job->second.spec->text ? job->second.spec->text : ""))
        violation ("UNASKED with another text " + r.task);
    }
  check_drain (w, r);
  for (const WorldWorker &o : workers)
    if (&o != &w && o.alive && o.runs.count (r.task))
      violation ("TWICE at once " + r.task + " on " + o.id + " and " + w.id);
  for (auto &other : w.runs)
    pool_take (&used, &other.second.need);
  if (!pool_room_holds (&w.room, &used))
    violation ("LIMIT on " + w.id);
}

void
QueueWorld::start (WorldWorker &w, const RunCall &call, RunReply *reply)
{
  auto it = w.runs.find (call.task);
  auto tomb = w.tombs.find (call.task);
  WorldRun r;

  if (it != w.runs.end () && it->second.run == call.run)
    return;
  if (call.deadline <= clock_of (w))
    {
      reply->status = RUN_LATE;
      return;
    }
  if ((tomb != w.tombs.end () && call.run <= tomb->second) ||
      it != w.runs.end ())
    {
      reply->status = RUN_OLD;
      return;
    }
  w.deadline = std::max (w.deadline,
                         std::min (call.deadline, clock_of (w) + hold_most_ms));
  r.task = call.task;
  r.run = call.run;
  r.plan = parse_plan (call.text ? call.text : "");
  r.arrived = now_;
  r.slowness = w.slowness;
  auto job = jobs_.find (world_job (call.task));
  if (job != jobs_.end () && job->second.spec)
    {
      const SpecStep *step = spec_job_step (job->second.spec.get (),
                                            (guint)world_word (call.task, 2));

      r.need = { step->cpu_milli, step->mem_mb, step->accelerators };
    }
  if (!r.plan.gang)
    r.began = now_;
  w.runs[call.task] = r;
  check_start (w, r, call.text ? call.text : "");
}

void
QueueWorld::fill_hold (const WorldWorker &w, RunReply *reply)
{
  for (auto &r : w.runs)
    {
      RunRow row = { g_strdup (r.first.c_str ()), r.second.run, nullptr,
                     w.hangs ? 0.0
                             : std::min (100.0, w.optimism * 100.0 *
                                                    r.second.worked /
                                                    (double)r.second.plan.ms) };

      g_array_append_val (reply->running, row);
    }
  for (auto &e : w.ended)
    {
      RunEnded ended = { e.number, g_strdup (e.task.c_str ()), e.run, e.how,
                         nullptr };

      g_array_append_val (reply->ended, ended);
    }
}

void
QueueWorld::execute_run (WorldWorker &w, const RunCall &call, RunReply *reply)
{
  reply->status = RUN_OK;
  reply->clock = clock_of (w);
  reply->born = w.born;
  if (call.fence < w.fence)
    {
      reply->status = RUN_FENCED;
      return;
    }
  w.fence = call.fence;
  if (call.op == RUN_START)
    start (w, call, reply);
  else if (call.op == RUN_STOP)
    {
      w.tombs[call.task] = std::max (w.tombs[call.task], call.run);
      if (w.runs.count (call.task) && w.runs[call.task].run <= call.run)
        {
          WorldWorker *p = &w;
          std::string task = call.task;
          gint64 run = call.run, born = w.born;

          at (now_ + stop_ms, [this, p, task, run, born] {
            if (p->born == born && p->runs.count (task) &&
                p->runs[task].run == run)
              end_run (*p, task, RUN_STOPPED);
          });
        }
    }
  else
    {
      for (const WorldEnd &e : w.ended)
        if (e.number <= call.ack)
          note_end (e);
      std::erase_if (w.ended, [&call] (const WorldEnd &e) {
        return e.number <= call.ack;
      });
      if (call.deadline)
        w.deadline =
            std::max (w.deadline,
                      std::min (call.deadline, clock_of (w) + hold_most_ms));
    }
}

void
QueueWorld::reply_run (int host,
                       int life,
                       std::shared_ptr<RunReply> reply,
                       ClockMs delay)
{
  deliver (host, life, delay,
           [reply] (Node *n) { node_on_run_reply (n, reply.get ()); });
}

static void
free_run_reply (RunReply *reply)
{
  run_reply_clear (reply);
  delete reply;
}

static std::shared_ptr<RunCall>
copy_run (const RunCall *call)
{
  RunCall *c = run_call_new (call->op, call->worker, call->address);

  c->id = call->id;
  c->timeout = call->timeout;
  c->task = g_strdup (call->task);
  c->run = call->run;
  c->text = g_strdup (call->text);
  c->deadline = call->deadline;
  c->fence = call->fence;
  c->ack = call->ack;
  c->wait = call->wait;
  return std::shared_ptr<RunCall> (c, run_call_free);
}

static std::shared_ptr<RunReply>
new_run_reply (gint64 id, RunStatus status)
{
  std::shared_ptr<RunReply> reply (new RunReply, free_run_reply);

  run_reply_init (reply.get ());
  reply->id = id;
  reply->status = status;
  return reply;
}

/* Several calls of one millisecond may be carried out in any order. */
ClockMs
QueueWorld::worker_delay ()
{
  return calls_overtake ? g_rand_int_range (rng_, 0, 3) : worker_ms;
}

void
QueueWorld::run_call (int host, const RunCall *raw)
{
  int life = hosts[host].life;
  auto call = copy_run (raw);
  int n = atoi (raw->worker + 1);
  WorldWorker &w = workers[n];

  n_holds += raw->op == RUN_HOLD;
  if (!reaches (w))
    {
      bool refused = !w.alive && w.cut_until <= now_;

      reply_run (host, life,
                 new_run_reply (raw->id, refused ? RUN_UNSENT : RUN_LOST),
                 refused ? worker_ms : raw->timeout);
      return;
    }
  if (chance () < w.late_share)
    {
      ClockMs delay =
          late_least_ms +
          (ClockMs)(chance () * (double)(late_most_ms - late_least_ms));

      at (now_ + delay, [this, n, call] {
        auto reply = new_run_reply (0, RUN_OK);

        if (reaches (workers[n]))
          execute_run (workers[n], *call, reply.get ());
      });
      reply_run (host, life, new_run_reply (raw->id, RUN_LOST), raw->timeout);
      return;
    }
  at (now_ + worker_delay (), [this, host, life, call, n] {
    auto reply = new_run_reply (call->id, RUN_OK);
    WorldWorker &w = workers[n];

    if (!reaches (w))
      {
        reply->status = RUN_LOST;
        reply_run (host, life, reply, call->timeout);
        return;
      }
    execute_run (w, *call, reply.get ());
    if (call->op == RUN_HOLD && reply->status == RUN_OK && call->wait &&
        w.ended.empty ())
      {
        holds_.push_back ({ host, life, call->id, n, now_ + call->wait });
        return;
      }
    if (call->op == RUN_HOLD && reply->status == RUN_OK)
      fill_hold (w, reply.get ());
    reply_run (host, life, reply, worker_delay ());
  });
}

static std::string
gang_of (const WorldRun &r)
{
  return r.task.substr (0, r.task.rfind ('.')) + "#" + std::to_string (r.run);
}

void
QueueWorld::tick_gangs ()
{
  std::map<std::string, std::vector<std::pair<WorldWorker *, WorldRun *> > >
      gangs;

  for (WorldWorker &w : workers)
    for (auto &r : w.runs)
      if (r.second.plan.gang)
        gangs[gang_of (r.second)].push_back ({ &w, &r.second });
  for (auto &g : gangs)
    {
      bool whole = (int)g.second.size () == g.second[0].second->plan.gang;
      bool begun = false;

      for (auto &m : g.second)
        begun = begun || m.second->began != CLOCK_NEVER;
      double slowness = 1.0;

      for (auto &m : g.second)
        slowness = std::max (slowness, m.first->slowness);
      for (auto &m : g.second)
        m.second->slowness = slowness;
      for (auto &m : g.second)
        if (whole && !begun)
          m.second->began = now_;
        else if (!whole && begun)
          {
            std::string task = m.second->task;

            end_run (*m.first, task, RUN_BROKEN);
          }
        else if (!whole && now_ - m.second->arrived > gang_wait_ms)
          {
            std::string task = m.second->task;

            end_run (*m.first, task, RUN_ALONE);
          }
    }
}

void
QueueWorld::tick_work ()
{
  for (WorldWorker &w : workers)
    for (auto &r : w.runs)
      if (r.second.began != CLOCK_NEVER)
        {
          ClockMs span = now_ - std::max (last_work_, r.second.began);
          double slowness = r.second.plan.gang ? r.second.slowness : w.slowness;

          r.second.worked += (double)span / slowness;
        }
  last_work_ = now_;
}

void
QueueWorld::tick_workers ()
{
  tick_work ();
  tick_gangs ();
  for (WorldWorker &w : workers)
    {
      std::vector<std::pair<std::string, RunEnd> > over;

      if (w.deadline && clock_of (w) > w.deadline)
        for (WorldEnd &e : w.ended)
          e.lapsed = true;
      if (w.deadline && clock_of (w) > w.deadline)
        for (auto &r : w.runs)
          over.push_back ({ r.first, RUN_LAPSED });
      else if (!w.hangs)
        for (auto &r : w.runs)
          if (r.second.worked >= (double)r.second.plan.ms)
            over.push_back ({ r.first, r.second.plan.fail || w.fails_all
                                           ? RUN_FAILED
                                           : RUN_DONE });
      for (auto &o : over)
        end_run (w, o.first, o.second);
    }
  for (Hold &h : holds_)
    {
      const WorldWorker &w = workers[h.worker];

      if (!reaches (w))
        {
          reply_run (h.host, h.life, new_run_reply (h.id, RUN_LOST), 500);
          h.id = 0;
        }
      else if (!w.ended.empty () || now_ >= h.until)
        {
          auto reply = new_run_reply (h.id, RUN_OK);

          reply->clock = clock_of (w);
          reply->born = w.born;
          fill_hold (w, reply.get ());
          reply_run (h.host, h.life, reply, worker_ms);
          h.id = 0;
        }
    }
  std::erase_if (holds_, [] (const Hold &h) { return h.id == 0; });
}

/* Hosts. */

void
QueueWorld::take_answer (int host, const Answer &a)
{
  int request = (int)a.request;
  WorldAnswer &kept = answers_[request];

  kept.status = a.status;
  kept.text = a.text ? a.text : "";
  kept.number = a.number;
  kept.retry_after = a.retry_after;
  if (submits_.count (request))
    {
      Accepted &j = jobs_[submits_[request]];

      if (a.status == 429 || a.status == 503 || a.status == 404 ||
          a.status == 401)
        j.refusals++;
      if (a.status == 200 && j.at == CLOCK_NEVER)
        on_accepted (j);
    }
  if (states_.count (request))
    check_state (states_[request], kept);
  if (cancels_.count (request) && a.status == 200)
    jobs_[cancels_[request]].cancelled =
        std::min (jobs_[cancels_[request]].cancelled, now_);
  (void)host;
}

void
QueueWorld::take_effect (int host, Effect *e)
{
  switch (e->kind)
    {
    case EFFECT_KV:
      store_call (host, e->kv);
      break;
    case EFFECT_RUN:
      run_call (host, e->run);
      break;
    case EFFECT_ANSWER:
      take_answer (host, e->answer);
      break;
    case EFFECT_MEASURE:
      break;
    case EFFECT_LOG:
      lines.push_back (std::to_string (now_) + " " + hosts[host].name + " " +
                       e->line);
      break;
    }
  effect_free (e);
}

void
QueueWorld::pump (int host)
{
  Node *n = hosts[host].node;
  Effect *e;

  if (!n || hosts[host].frozen)
    return;
  node_set_time (n, now_, wall_ + now_ + hosts[host].wall_step);
  node_tick (n);
  while ((e = node_pop_effect (n)))
    take_effect (host, e);
}

/* Bounds of time hold only while hosts and store are well. */
bool
QueueWorld::is_troubled () const
{
  if (now_ < store_down_until || store_lost_share > 0 || store_late_share > 0)
    return true;
  for (const WorldHost &h : hosts)
    if (!h.node || h.frozen || now_ < h.store_cut_until)
      return true;
  return false;
}

void
QueueWorld::run (ClockMs span)
{
  ClockMs end = now_ + span;

  while (now_ < end)
    {
      ClockMs next = std::min (end, now_ + step_ms);

      while (!events_.empty () && events_.begin ()->first <= next)
        {
          auto what = events_.begin ()->second;

          now_ = std::max (now_, events_.begin ()->first);
          events_.erase (events_.begin ());
          what ();
        }
      now_ = next;
      look_for_trouble ();
      tick_leases ();
      tick_workers ();
      check_reclaim ();
      answer_watches ();
      for (size_t i = 0; i < hosts.size (); i++)
        if (hosts[i].node && node_next_deadline (hosts[i].node) <= now_)
          pump ((int)i);
    }
}

int
QueueWorld::ask (int host,
                 RequestOp op,
                 const std::string &path,
                 const std::string &token,
                 const std::string &body)
{
  Request r = { ++last_request_, op,      "h.example", path.c_str (),
                token.c_str (),  nullptr, 3000 };

  if (!hosts[host].node)
    return last_request_;
  if (op == REQUEST_SUBMIT)
    r.body = g_bytes_new (body.data (), body.size ());
  node_set_time (hosts[host].node, now_, wall_ + now_ + hosts[host].wall_step);
  node_on_request (hosts[host].node, &r);
  if (r.body)
    g_bytes_unref (r.body);
  pump (host);
  return last_request_;
}

int
QueueWorld::submit (int host, const WorldJob &job, const std::string &token)
{
  Accepted &j = jobs_[job.id.substr (job.id.find ('/') + 1)];
  std::string id = job.id.substr (job.id.find ('/') + 1);

  j.body = job.body;
  j.urgent = job.id[1] == '0';
  j.own_workspace = token == "key";
  read_spec (j);
  j.tries++;
  submits_[last_request_ + 1] = id;
  return ask (host, REQUEST_SUBMIT, "/" + job.id, token, job.body);
}

int
QueueWorld::state (int host, const std::string &id)
{
  states_[last_request_ + 1] = id;
  return ask (host, REQUEST_STATE, "/q1/" + id, "key", "");
}

int
QueueWorld::cancel (int host, const std::string &id)
{
  cancels_[last_request_ + 1] = id;
  return ask (host, REQUEST_CANCEL, "/q1/" + id, "key", "");
}

int
QueueWorld::waiting (int host)
{
  return ask (host, REQUEST_STATE, "/q1/", "key", "");
}

const WorldAnswer *
QueueWorld::answer (int request) const
{
  auto it = answers_.find (request);

  return it == answers_.end () ? nullptr : &it->second;
}

std::string
QueueWorld::state_of (const std::string &id)
{
  for (size_t i = 0; i < hosts.size (); i++)
    if (hosts[i].node && !hosts[i].frozen)
      {
        int r = state ((int)i, id);

        run (1500);
        return answer (r) ? answer (r)->status == 200
                                ? answer (r)->text
                                : std::to_string (answer (r)->status)
                          : "none";
      }
  return "no host";
}

int
QueueWorld::scheduler () const
{
  for (size_t i = 0; i < hosts.size (); i++)
    if (hosts[i].node && node_is_scheduler (hosts[i].node))
      return (int)i;
  return -1;
}

int
QueueWorld::starts (const std::string &task) const
{
  return (int)started_.count (task);
}

/* An end counts once it has been acknowledged, unless the worker's lease
   lapsed before. */
void
QueueWorld::note_end (const WorldEnd &e)
{
  bool gang = parse_plan (jobs_[world_job (e.task)].body).gang > 0;
  std::string unit = unit_of (e.task, gang);

  if (e.lapsed)
    return;
  if (e.how == RUN_DONE && !done_.count (unit))
    done_[unit] = e.at;
  if (e.how == RUN_FAILED)
    failed_.emplace (e.task, e.at);
}

/* No task may have been started after an end that has been acknowledged as
   done, or after as many that failed as it had attempts. */
void
QueueWorld::check_noted ()
{
  for (auto &s : started_)
    {
      bool gang = parse_plan (jobs_[world_job (s.first)].body).gang > 0;
      auto done = done_.find (unit_of (s.first, gang));
      int failed = 0;

      if (done != done_.end () && s.second > done->second)
        violation ("TWICE after done " + s.first);
      for (auto r = failed_.equal_range (s.first); r.first != r.second;
           ++r.first)
        failed += r.first->second < s.second;
      if (failed >= attempts)
        violation ("BUDGET " + s.first);
    }
}

/* Every accepted job must have come to a final state by now. */
void
QueueWorld::expect_all_final ()
{
  for (auto &j : jobs_)
    {
      std::string state;

      if (j.second.at == CLOCK_NEVER)
        continue;
      state = state_of (j.first);
      EXPECT_TRUE (state == "completed" || state == "failed" ||
                   state == "cancelled")
          << j.first << " is " << state;
    }
}

int
QueueWorld::n_keys (const std::string &prefix) const
{
  int n = 0;

  for (auto &i : items_)
    n += i.first.rfind (prefix, 0) == 0;
  return n;
}
