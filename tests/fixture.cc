#include "fixture.h"

#include <algorithm>

extern "C"
{
#include "replay.h"
}

namespace
{

std::string
text_of (GBytes *b)
{
  gsize n = 0;
  const void *data = b ? g_bytes_get_data (b, &n) : nullptr;
  return data ? std::string (static_cast<const char *> (data), n) : "";
}

GBytes *
bytes_of (const std::string &s)
{
  return s.empty () ? nullptr : g_bytes_new (s.data (), s.size ());
}

void
add_item (StoreReply *r, const std::string &key, const FakeStore::Key &k)
{
  auto *item =
      static_cast<StoreItem *> (rec_list_add (store_item_desc (), &r->items));
  rec_set_str (&item->key, key.c_str ());
  item->revision = k.revision;
  item->value = bytes_of (k.value);
}

/* A record on the stack of a test. */
template <typename T> class Rec
{
public:
  explicit Rec (const RecDesc *d)
      : desc (d), rec (static_cast<T *> (rec_new (d)))
  {
  }
  ~Rec ()
  {
    rec_free (desc, rec);
  }
  Rec (const Rec &) = delete;
  Rec &operator= (const Rec &) = delete;
  T *
  operator->()
  {
    return rec;
  }
  T *
  get ()
  {
    return rec;
  }

private:
  const RecDesc *desc;
  T *rec;
};

} // namespace

void
FakeStore::roll_back (const FakeStore &to)
{
  keys = to.keys;
  revision = to.revision;
}

void
FakeStore::expire (ClockMs now)
{
  for (auto it = leases.begin (); it != leases.end ();)
    {
      if (it->second > now)
        {
          ++it;
          continue;
        }
      for (auto k = keys.begin (); k != keys.end ();)
        k = k->second.lease == it->first ? (revision++, keys.erase (k))
                                         : std::next (k);
      it = leases.erase (it);
    }
}

bool
FakeStore::changed (const std::string &key, gint64 expect) const
{
  auto k = keys.find (key);
  return k != keys.end () && k->second.revision > expect;
}

/* Carries out CALL and fills in REPLY; returns false for a watch that has
   to wait. */
bool
FakeStore::apply (const StoreCall &call, ClockMs now, StoreReply *reply)
{
  std::string key = call.key;
  auto k = keys.find (key);
  bool match = (k == keys.end () ? 0 : k->second.revision) == call.expect;

  expire (now);
  k = keys.find (key);
  match = (k == keys.end () ? 0 : k->second.revision) == call.expect;
  reply->status = STORE_OK;
  switch (call.op)
    {
    case STORE_GET:
      if (k == keys.end ())
        reply->status = STORE_MISSING;
      else
        add_item (reply, key, k->second);
      break;
    case STORE_LIST:
      for (auto &i : keys)
        if (i.first.compare (0, key.size (), key) == 0)
          add_item (reply, i.first, i.second);
      break;
    case STORE_PUT:
    case STORE_DELETE:
      if (!match)
        {
          reply->status = STORE_CONFLICT;
          if (k != keys.end ())
            add_item (reply, key, k->second);
        }
      else if (call.op == STORE_PUT && call.lease && !leases.count (call.lease))
        reply->status = STORE_MISSING;
      else if (call.op == STORE_PUT)
        {
          keys[key] = { ++revision, text_of (call.value), call.lease };
          add_item (reply, key, keys[key]);
        }
      else if (k != keys.end ())
        {
          revision++;
          keys.erase (k);
        }
      break;
    case STORE_WATCH:
      if (!changed (key, call.expect))
        return false;
      add_item (reply, key, k->second);
      break;
    case STORE_GRANT:
      reply->lease = ++last_lease;
      leases[reply->lease] = now + call.lease_ms;
      lease_ms[reply->lease] = call.lease_ms;
      break;
    case STORE_KEEP:
      reply->lease = call.lease;
      if (!leases.count (call.lease))
        reply->status = STORE_MISSING;
      else
        leases[call.lease] = now + lease_ms[call.lease];
      break;
    case STORE_HOSTS:
      for (auto &h : hosts)
        {
          auto *line =
              static_cast<StoreHost *> (rec_list_add (store_host_desc (),
                                                      &reply->hosts));
          rec_set_str (&line->name, std::get<0> (h).c_str ());
          rec_set_str (&line->role, std::get<1> (h).c_str ());
          rec_set_str (&line->state, std::get<2> (h).c_str ());
        }
      break;
    default:
      reply->status = STORE_REFUSED;
    }
  reply->revision = revision;
  return true;
}

int
FakeUpstream::busy_slots (ClockMs now) const
{
  return static_cast<int> (std::count_if (runs.begin (), runs.end (),
                                          [now] (auto &r) {
                                            return r.second.done_at > now;
                                          }));
}

World::World (guint32 s) : cfg (config_default ()), seed (s), rng (s)
{
}

World::~World ()
{
  for (auto &n : nodes)
    core_free (n.second.core);
  config_free (cfg);
}

void
World::add_host (const char *name, const char *domain, const char *region)
{
  auto *h = static_cast<ConfigHost *> (rec_list_add (config_host_desc (),
                                                     &cfg->hosts));
  rec_set_str (&h->name, name);
  rec_set_str (&h->domain, domain);
  rec_set_str (&h->region, region);
  nodes[name] = Node { name, domain, region };
}

FakeUpstream &
World::add_upstream (const char *name, const char *domain, int slots)
{
  auto *u =
      static_cast<ConfigUpstream *> (rec_list_add (config_upstream_desc (),
                                                   &cfg->upstreams));
  rec_set_str (&u->name, name);
  rec_set_str (&u->domain, domain);
  u->slots = slots;
  u->connections = 60;
  FakeUpstream &f = upstreams[name];
  f.name = name;
  f.domain = domain;
  f.slots = slots;
  return f;
}

FakeWorker &
World::add_worker (const char *name,
                   const char *domain,
                   const char *rack,
                   int accelerators,
                   int cores,
                   int memory_mb)
{
  auto *w = static_cast<ConfigWorker *> (rec_list_add (config_worker_desc (),
                                                       &cfg->workers));
  rec_set_str (&w->name, name);
  rec_set_str (&w->domain, domain);
  rec_set_str (&w->rack, rack);
  w->accelerators = accelerators;
  w->cores = cores;
  w->memory_mb = memory_mb;
  FakeWorker &f = workers[name];
  f.name = name;
  f.domain = domain;
  f.accelerators = accelerators;
  return f;
}

void
World::add_line (char *line)
{
  *trace += line;
  *trace += "\n";
  g_free (line);
}

void
World::boot (Node &n)
{
  rec_set_str (&cfg->host, n.name.c_str ());
  rec_set_str (&cfg->domain, n.domain.c_str ());
  rec_set_str (&cfg->region, n.region.c_str ());
  n.incarnation = cfg->incarnation = now;
  n.paused_until = 0;
  n.next_tick = CLOCK_NEVER;
  n.drained = false;
  guint32 node_seed =
      seed + g_str_hash (n.name.c_str ()) + static_cast<guint32> (now);
  n.core = core_new (cfg, node_seed, now);
  if (trace)
    add_line (replay_start_line (cfg, node_seed, now));
  feed (n.name, EV_TICK, nullptr);
}

void
World::start ()
{
  for (auto &n : nodes)
    boot (n.second);
}

void
World::kill (const std::string &host)
{
  Node &n = nodes.at (host);
  core_free (n.core);
  n.core = nullptr;
  n.incarnation = 0;
}

void
World::restart (const std::string &host)
{
  if (nodes.at (host).core)
    kill (host);
  boot (nodes.at (host));
}

void
World::pause (const std::string &host, ClockMs span)
{
  nodes.at (host).paused_until = now + span;
}

void
World::cut (const std::string &from, const std::string &to, bool on)
{
  if (on)
    cuts.insert ({ from, to });
  else
    cuts.erase ({ from, to });
}

void
World::cut_domain (const std::string &domain, bool on)
{
  for (auto &a : nodes)
    {
      if (a.second.domain != domain)
        continue;
      cut (a.first, "store", on);
      for (auto &b : nodes)
        if (b.second.domain != domain)
          {
            cut (a.first, b.first, on);
            cut (b.first, a.first, on);
          }
    }
}

void
World::drain (const std::string &host)
{
  feed (host, EV_DRAIN, nullptr);
}

void
World::note_conn (const std::string &host, gint64 conn)
{
  sent_to[conn] = host;
  sent_incarnation[conn] = nodes.at (host).incarnation;
}

gint64
World::request (const std::string &host,
                CallerRequest q,
                const std::string &body)
{
  q.conn = ++conns;
  q.body = bytes_of (body);
  sent_bodies[q.conn] = body;
  if (!q.repeatable)
    once_bodies.insert (body);
  note_conn (host, q.conn);
  feed (host, EV_REQUEST, &q);
  if (q.body)
    g_bytes_unref (q.body);
  return q.conn;
}

gint64
World::ask (const std::string &host,
            EventKind kind,
            const std::string &workspace,
            const std::string &id)
{
  CallerAsk q = {};
  q.conn = ++conns;
  q.workspace = workspace.c_str ();
  q.id = id.c_str ();
  feed (host, kind, &q);
  return q.conn;
}

gint64
World::job (const std::string &host, CallerJob q)
{
  q.conn = ++conns;
  job_parts[q.conn] = static_cast<int> (q.parts);
  if (!q.repeatable)
    once_jobs.insert (q.conn);
  note_conn (host, q.conn);
  feed (host, EV_JOB, &q);
  return q.conn;
}

gint64
World::operate (const std::string &host,
                const char *what,
                const std::string &arg,
                const std::string &body)
{
  CallerOperator q = {};
  q.conn = ++conns;
  q.what = what;
  q.arg = arg.c_str ();
  q.body = bytes_of (body);
  feed (host, EV_OPERATOR, &q);
  if (q.body)
    g_bytes_unref (q.body);
  return q.conn;
}

const Reply *
World::reply (gint64 conn) const
{
  for (auto &r : replies)
    if (r.conn == conn)
      return &r;
  return nullptr;
}

void
World::load_table (const std::string &csv, gint64 revision)
{
  TableValue v = {};
  v.revision = revision;
  v.edit_id = "test";
  v.csv = bytes_of (csv);
  for (auto &n : nodes)
    if (n.second.core)
      feed (n.first, EV_TABLE, &v);
  g_bytes_unref (v.csv);
}

gint64
World::total (Counter c) const
{
  gint64 sum = 0;
  for (auto &n : nodes)
    if (n.second.core)
      sum += core_counter (n.second.core, c);
  return sum;
}

guint32
World::random (guint32 below)
{
  return static_cast<guint32> (rng () % below);
}

void
World::at (ClockMs when, std::function<void ()> action)
{
  queue.push ({ std::max (when, now), ++order, std::move (action) });
}

/* Feeds one event now and carries out every effect of it. */
void
World::feed (const std::string &host,
             EventKind kind,
             const void *body,
             const char *peer)
{
  Event *e = event_new (kind, now, peer, const_cast<void *> (body));
  deliver (host, nodes.at (host).incarnation,
           std::shared_ptr<Event> (e, event_free));
}

void
World::deliver (const std::string &host,
                gint64 incarnation,
                std::shared_ptr<Event> e)
{
  Node &n = nodes.at (host);

  if (!n.core || n.incarnation != incarnation)
    return;
  if (n.paused_until > now)
    {
      at (n.paused_until, [=, this] { deliver (host, incarnation, e); });
      return;
    }
  e->at = now;
  if (trace)
    add_line (event_to_json (e.get (), host.c_str ()));
  core_feed (n.core, e.get ());
  while (Event *x = core_next_effect (n.core))
    {
      if (!tap || !tap (n, *x))
        carry_out (n, *x);
      event_free (x);
    }
  ClockMs next = core_next_deadline (n.core);
  if (next != CLOCK_NEVER && (next < n.next_tick || n.next_tick <= now))
    {
      n.next_tick = std::max (next, now + 1);
      at (n.next_tick, [=, this] {
        if (nodes.at (host).next_tick == now)
          nodes.at (host).next_tick = CLOCK_NEVER;
        feed (host, EV_TICK, nullptr);
      });
    }
  settle ();
}

/* Lets the fakes see the present time, then checks the invariants. */
void
World::settle ()
{
  for (auto &w : workers)
    for (auto &l : w.second.leases)
      {
        WorkerLeaseState before = l.state;
        if (l.state == LEASE_RUNNING && l.done_at <= now &&
            l.done_at <= l.until)
          l.state = w.second.fails_all ? LEASE_FAILED : LEASE_DONE;
        else if (l.state == LEASE_RUNNING && l.saved_at && l.saved_at <= now)
          l.state = LEASE_SAVED;
        else if (l.live () && l.until <= now)
          l.state = LEASE_LAPSED;
        l.dirty |= before != l.state;
      }
  for (auto &u : upstreams)
    if (!u.second.leaving)
      leaving_since.erase (u.first);
    else
      leaving_since.insert ({ u.first, now });
  for (auto &check : invariants)
    check (*this);
}

void
World::run (ClockMs span)
{
  run_until ([] { return false; }, span);
}

/* Runs until DONE or for SPAN; returns whether DONE came true. */
bool
World::run_until (const std::function<bool ()> &done, ClockMs span)
{
  ClockMs end = now + span;

  while (!done ())
    {
      if (queue.empty () || queue.top ().when > end)
        {
          now = end;
          settle ();
          return done ();
        }
      Action a = queue.top ();
      queue.pop ();
      now = a.when;
      store.expire (now);
      a.run ();
    }
  return true;
}

void
World::post (Node &n,
             ClockMs delay,
             EventKind kind,
             const void *body,
             const char *peer)
{
  std::shared_ptr<Event> e (event_new (kind, now, peer,
                                       const_cast<void *> (body)),
                            event_free);
  std::string host = n.name;
  gint64 incarnation = n.incarnation;
  at (now + delay, [=, this] { deliver (host, incarnation, e); });
}

void
World::send_message (Node &n, const Event &e)
{
  auto to = nodes.find (e.peer);
  int copies = static_cast<int> (random (1000)) < repeat_permille ? 2 : 1;
  GBytes *b = rec_pack (event_desc (e.kind), e.body);

  messages++;
  message_bytes += static_cast<gint64> (g_bytes_get_size (b));
  g_bytes_unref (b);
  if (to == nodes.end () || !to->second.core ||
      cuts.count ({ n.name, e.peer }) ||
      static_cast<int> (random (1000)) < loss_permille)
    return;
  while (copies--)
    post (to->second,
          link_delay +
              (link_jitter ? random (static_cast<guint32> (link_jitter)) : 0),
          e.kind, e.body, n.name.c_str ());
}

void
World::carry_out (Node &n, const Event &e)
{
  auto *reply = static_cast<CallerReply *> (e.body);
  auto *note = static_cast<CoreNote *> (e.body);

  if (event_is_message (e.kind))
    send_message (n, e);
  else if (e.kind == FX_REPLY)
    replies.push_back ({ n.name, reply->conn,
                         static_cast<Outcome> (reply->outcome),
                         static_cast<int> (reply->status), reply->id,
                         reply->reason, text_of (reply->body), now });
  else if (e.kind == FX_NOTE)
    notes.push_back ({ n.name, static_cast<NoteKind> (note->kind),
                       note->request, note->job, note->workspace,
                       note->upstream, note->worker, note->detail, now });
  else if (e.kind == FX_STORE_CALL)
    call_store (n, *static_cast<StoreCall *> (e.body));
  else if (e.kind == FX_WORKER_CALL)
    call_worker (n, *static_cast<WorkerCall *> (e.body));
  else if (e.kind == FX_UPSTREAM_SEND)
    call_upstream (n, *static_cast<UpstreamSend *> (e.body));
  else if (e.kind == FX_UPSTREAM_ASK || e.kind == FX_UPSTREAM_CANCEL)
    {
      if (e.kind == FX_UPSTREAM_ASK)
        ask_upstream (n, *static_cast<UpstreamAsk *> (e.body));
    }
  else if (e.kind == FX_UPSTREAM_PROBE)
    {
      auto *p = static_cast<UpstreamProbe *> (e.body);
      FakeUpstream &u = upstreams.at (p->upstream);
      UpstreamProbed r = { p->upstream, !u.down, u.leaving };
      post (n, u.delay, EV_UPSTREAM_PROBED, &r);
    }
  else if (e.kind == FX_DRAINED)
    n.drained = true;
}

void
World::reply_store (Node &n,
                    const StoreCall &call,
                    ClockMs delay,
                    StoreReply *r)
{
  r->call = call.call;
  r->op = call.op;
  post (n, delay, EV_STORE_REPLY, r);
}

void
World::call_store (Node &n, const StoreCall &call)
{
  Rec<StoreReply> r (store_reply_desc ());
  bool write =
      call.op == STORE_PUT || call.op == STORE_DELETE || call.op == STORE_GRANT;

  store.calls[static_cast<int> (call.op)]++;
  r->status = STORE_LOST;
  if (store.down)
    {
      r->status = STORE_UNSENT;
      reply_store (n, call, 1, r.get ());
    }
  else if (store.silent || cuts.count ({ n.name, "store" }))
    reply_store (n, call, call.timeout_ms, r.get ());
  else if (!store.apply (call, now, r.get ()))
    {
      watches.push_back ({ n.name, n.incarnation, call.call, call.key,
                           call.expect });
      r->status = STORE_OK;
      reply_store (n, call, call.timeout_ms, r.get ());
    }
  else if ((write && store.lose_answers > 0 && store.lose_answers--) ||
           static_cast<int> (random (1000)) < store.lose_permille ||
           store.delay >= call.timeout_ms)
    {
      Rec<StoreReply> lost (store_reply_desc ());
      lost->status = STORE_LOST;
      reply_store (n, call, call.timeout_ms, lost.get ());
    }
  else
    reply_store (n, call, store.delay, r.get ());
  check_watches ();
}

void
World::check_watches ()
{
  for (auto w = watches.begin (); w != watches.end ();)
    {
      Node &n = nodes.at (w->host);
      bool dead = n.incarnation != w->incarnation;
      if (!dead && !store.changed (w->key, w->expect))
        {
          ++w;
          continue;
        }
      Rec<StoreReply> r (store_reply_desc ());
      r->call = w->call;
      r->op = STORE_WATCH;
      r->revision = store.revision;
      if (!dead)
        add_item (r.get (), w->key, store.keys.at (w->key));
      if (!dead && !store.down && !store.silent &&
          !cuts.count ({ n.name, "store" }))
        post (n, store.delay, EV_STORE_REPLY, r.get ());
      w = watches.erase (w);
    }
}

void
World::call_upstream (Node &n, const UpstreamSend &call)
{
  FakeUpstream &u = upstreams.at (call.upstream);
  std::string name = u.name;
  ClockMs service = u.service ? u.service (call) : u.service_ms;
  std::string body = "answer to " + text_of (call.body);
  Rec<UpstreamReply> r (upstream_reply_desc ());

  if (u.leaving && leaving_since.count (name) &&
      now > leaving_since[name] + leaving_bound)
    late_sends.push_back (n.name + " to " + name);
  rec_set_str (&r->upstream, call.upstream);
  rec_set_str (&r->request, call.request);
  r->attempt = call.attempt;
  r->leaving = u.leaving;
  if (u.down || cuts.count ({ n.name, name }))
    {
      r->result = UPSTREAM_UNSENT;
      post (n, u.delay, EV_UPSTREAM_REPLY, r.get ());
      return;
    }
  if (u.leaving || u.busy_slots (now) >= u.slots)
    {
      r->result = UPSTREAM_BUSY;
      r->status = 503;
      post (n, u.delay, EV_UPSTREAM_REPLY, r.get ());
      return;
    }
  r->result = u.fails_all ? UPSTREAM_FAILED : UPSTREAM_ANSWERED;
  r->status = u.fails_all ? 500 : 200;
  r->body = bytes_of (body);
  u.executed[call.request]++;
  executions[text_of (call.body)]++;
  u.runs[call.request] = { call.caller, body, call.attempt, now + service,
                           static_cast<UpstreamResult> (r->result) };
  if (static_cast<int> (random (1000)) < u.lose_permille)
    {
      Rec<UpstreamReply> lost (upstream_reply_desc ());
      rec_set_str (&lost->upstream, call.upstream);
      rec_set_str (&lost->request, call.request);
      lost->attempt = call.attempt;
      lost->result = UPSTREAM_LOST;
      post (n, u.delay, EV_UPSTREAM_REPLY, lost.get ());
    }
  else if (!u.hangs)
    post (n, service + 2 * u.delay, EV_UPSTREAM_REPLY, r.get ());
}

void
World::ask_upstream (Node &n, const UpstreamAsk &call)
{
  FakeUpstream &u = upstreams.at (call.upstream);
  auto run = u.runs.find (call.request);
  Rec<UpstreamReply> r (upstream_reply_desc ());

  rec_set_str (&r->upstream, call.upstream);
  rec_set_str (&r->request, call.request);
  r->attempt = call.attempt;
  r->asked = 1;
  r->leaving = u.leaving;
  if (u.down || cuts.count ({ n.name, u.name }))
    r->result = UPSTREAM_LOST;
  else if (run == u.runs.end ())
    r->result = UPSTREAM_NEVER_SEEN;
  else if (run->second.done_at > now)
    r->result = UPSTREAM_RUNNING;
  else
    {
      r->result = run->second.result;
      r->status = r->result == UPSTREAM_FAILED ? 500 : 200;
      r->body = bytes_of (run->second.body);
    }
  post (n, u.delay, EV_UPSTREAM_REPLY, r.get ());
}
