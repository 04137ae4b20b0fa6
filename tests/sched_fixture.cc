#include "sched_fixture.h"

JobWorld::JobWorld (guint32 seed, int hosts, int n_workers, int accelerators)
    : World (seed)
{
  for (int i = 0; i < hosts; i++)
    add_host (("h" + std::to_string (i)).c_str (), "d1");
  for (int i = 0; i < n_workers; i++)
    add_worker (("w" + std::to_string (i)).c_str (), "d1",
                ("r" + std::to_string (i / 8)).c_str (), accelerators);
  invariants.push_back ([this] (World &) {
    check_accelerators ();
    check_gangs ();
  });
}

/* No accelerator is leased twice. */
void
JobWorld::check_accelerators ()
{
  for (auto &[name, w] : workers)
    {
      guint64 used = 0;

      for (auto &l : w.leases)
        {
          if (!l.live ())
            continue;
          guint64 mask = l.count >= 64 ? ~0ull : ((1ull << l.count) - 1);
          mask <<= l.first;
          ASSERT_EQ (used & mask, 0u) << name << " leased twice at " << now;
          used |= mask;
        }
    }
}

/* Part of a gang runs alone for no longer than the leases' bound, and what
   must not be repeated starts in one run alone. */
void
JobWorld::check_gangs ()
{
  std::map<std::pair<std::string, int>, int> running;

  for (auto &[name, w] : workers)
    for (auto &l : w.leases)
      {
        if (l.started)
          started[l.job].insert (l.run);
        if (l.state == LEASE_RUNNING || l.state == LEASE_DONE)
          running[{ l.job, l.run }]++;
      }
  for (auto &id : must_run_once)
    ASSERT_LE (started[id].size (), 1u) << id << " ran twice at " << now;
  for (auto &[key, n] : running)
    {
      auto p = parts.find (key.first);

      if (p == parts.end () || n >= p->second)
        partial_since.erase (key);
      else
        {
          partial_since.emplace (key, now);
          ASSERT_LE (now - partial_since[key], partial_bound)
              << key.first << " runs in part at " << now;
        }
    }
  for (auto i = partial_since.begin (); i != partial_since.end ();)
    i = running.count (i->first) ? std::next (i) : partial_since.erase (i);
}

CallerJob
JobWorld::job_of (int n_parts, int accelerators, ClockMs run_ms)
{
  CallerJob q = {};

  q.workspace = "alpha";
  q.work_kind = "train";
  q.work_class = CLASS_NORMAL;
  q.parts = n_parts;
  q.accelerators = accelerators;
  q.cores = 1;
  q.memory_mb = 100;
  q.run_ms = run_ms;
  q.repeatable = 1;
  return q;
}

gint64
JobWorld::submit (CallerJob q, const std::string &host)
{
  return job (host.empty () ? "h0" : host, q);
}

/* Returns the id under which CONN's job was accepted, "" when it was not. */
std::string
JobWorld::accepted (gint64 conn, ClockMs span)
{
  run_until ([&] { return reply (conn) != nullptr; }, span);
  const Reply *r = reply (conn);
  if (!r || r->status != 202)
    return "";
  known.insert (r->id);
  return r->id;
}

std::string
JobWorld::submit_wait (CallerJob q, const std::string &host)
{
  std::string id = accepted (submit (q, host));

  if (!id.empty ())
    {
      parts[id] = static_cast<int> (q.parts);
      if (!q.repeatable)
        must_run_once.insert (id);
    }
  return id;
}

std::string
JobWorld::record (const std::string &id)
{
  auto k = store.keys.find ("jobs/d1/" + id);

  return k == store.keys.end () ? "" : k->second.value;
}

std::string
JobWorld::state (const std::string &id)
{
  static const char *const names[] = { "queued", "placed",    "running", "done",
                                       "failed", "cancelled", "unknown" };
  std::string r = record (id);
  size_t at = r.find ("\"state\":");

  return at == std::string::npos ? "" : names[std::stoi (r.substr (at + 8))];
}

bool
JobWorld::wait_state (const std::string &id, const std::string &s, ClockMs span)
{
  return run_until ([&] { return state (id) == s; }, span);
}

std::string
JobWorld::scheduler ()
{
  std::string best;
  gint64 term = 0;

  for (auto &[name, n] : nodes)
    if (n.core && core_counter (n.core, COUNT_SCHEDULER) &&
        core_counter (n.core, COUNT_SCHEDULER_TERM) > term)
      {
        best = name;
        term = core_counter (n.core, COUNT_SCHEDULER_TERM);
      }
  return best;
}

bool
JobWorld::wait_scheduler (ClockMs span)
{
  return run_until ([&] { return !scheduler ().empty (); }, span);
}

int
JobWorld::starts (const std::string &id)
{
  return static_cast<int> (started[id].size ());
}

int
JobWorld::live_leases ()
{
  int n = 0;

  for (auto &[name, w] : workers)
    for (auto &l : w.leases)
      n += l.live ();
  return n;
}
