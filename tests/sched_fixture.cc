#include "sched_fixture.h"

extern "C"
{
#include "sched.h"
}

const WorkerCall *
worker_call (const Event &e)
{
  return e.kind == FX_WORKER_CALL ? static_cast<const WorkerCall *> (e.body)
                                  : nullptr;
}

JobWorld::JobWorld (guint32 seed,
                    int hosts,
                    int n_workers,
                    int accelerators,
                    bool kept)
    : World (seed)
{
  config ()->worker_lease_ms = 9000;
  for (int i = 0; i < hosts; i++)
    add_host (("h" + std::to_string (i)).c_str (), "d1");
  for (int i = 0; i < n_workers; i++)
    add_worker (("w" + std::to_string (i)).c_str (), "d1",
                ("r" + std::to_string (i / 4)).c_str (), accelerators);
  invariants.push_back ([this, kept] (World &w) {
    check_gangs ();
    for (auto check :
         { invariants::no_accelerator_leased_twice,
           invariants::jobs_run_at_most_once, invariants::not_run_did_not_run })
      ASSERT_EQ (check (w), "") << "at " << now;
    if (kept)
      {
        ASSERT_EQ (invariants::accepted_jobs_are_kept (w), "") << now;
      }
  });
}

/* Part of a gang runs alone for no longer than the leases' bound. */
void
JobWorld::check_gangs ()
{
  std::map<std::pair<std::string, int>, int> running, whole;

  for (auto &[name, w] : workers)
    for (auto &l : w.leases)
      {
        running[{ l.job, l.run }] += l.state == LEASE_RUNNING;
        whole[{ l.job, l.run }] +=
            l.state == LEASE_RUNNING || l.state == LEASE_DONE;
      }
  for (auto &[key, n] : running)
    {
      auto p = parts.find (key.first);

      if (p == parts.end () || n == 0 || whole[key] >= p->second)
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

CallerJob
JobWorld::once_job (int n_parts, ClockMs run_ms)
{
  CallerJob q = job_of (n_parts, 8, run_ms);

  q.repeatable = 0;
  q.key = "once";
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
  parts[r->id] = job_parts[conn];
  accepted_ids.push_back (r->id);
  return r->id;
}

std::string
JobWorld::submit_wait (CallerJob q, const std::string &host)
{
  return accepted (submit (q, host));
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
JobWorld::live_leases ()
{
  int n = 0;

  for (auto &[name, w] : workers)
    for (auto &l : w.leases)
      n += l.live ();
  return n;
}

bool
JobWorld::quiet (ClockMs span)
{
  return run_until (
      [&] {
        for (auto &id : accepted_ids)
          {
            std::string s = state (id);
            if (s != "done" && s != "failed" && s != "cancelled" &&
                s != "unknown")
              return false;
          }
        return live_leases () == 0;
      },
      span);
}

/* Returns what there is to say of all accepted jobs, for a failed test. */
std::string
JobWorld::story ()
{
  std::string h = scheduler ();
  std::string text = "scheduler " + h + ", " + std::to_string (live_leases ()) +
                     " live leases\n";

  for (size_t i = 0; i < accepted_ids.size () && i < 4; i++)
    {
      const std::string &id = accepted_ids[i];
      char *why = h.empty () ? nullptr : sched_explain (core (h), id.c_str ());

      text += record (id) + "\n" + (why ? why : "not known here") + "\n";
      g_free (why);
    }
  for (auto &n : notes)
    if (text.size () < 20000)
      text += std::to_string (n.at) + " " + n.host + " " + note_name (n.kind) +
              " " + n.job + " " + n.worker + " " + n.detail + "\n";
  return text;
}
