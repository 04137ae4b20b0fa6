#include "invariants.h"

#include <gtest/gtest.h>

namespace invariants
{

namespace
{

/* The parts of one run of one job, as the workers hold them. */
struct Gang
{
  int running = 0;
  int ended_badly = 0;
  ClockMs first_start = CLOCK_NEVER;
  std::set<int> parts;
};

std::map<std::pair<std::string, int>, Gang>
gangs (World &w)
{
  std::map<std::pair<std::string, int>, Gang> all;
  for (auto &worker : w.workers)
    for (auto &l : worker.second.leases)
      {
        Gang &g = all[{ l.job, l.run }];
        g.parts.insert (l.part);
        if (l.state == LEASE_RUNNING)
          {
            g.running++;
            g.first_start = std::min (g.first_start, l.started);
          }
        else if (l.state > LEASE_RUNNING && l.state != LEASE_DONE)
          g.ended_badly++;
      }
  return all;
}

/* The job that the submission on CONN became, empty while not known. */
std::string
job_of (World &w, gint64 conn)
{
  const Reply *r = w.reply (conn);
  return r && r->outcome == OUTCOME_ANSWERED ? r->id : "";
}

} // namespace

std::string
gang_runs_whole (World &w)
{
  std::map<std::string, int> wanted;
  for (auto &p : w.job_parts)
    if (!job_of (w, p.first).empty ())
      wanted[job_of (w, p.first)] = p.second;
  for (auto &g : gangs (w))
    {
      auto parts = wanted.find (g.first.first);
      bool lacks = parts != wanted.end () &&
                   static_cast<int> (g.second.parts.size ()) < parts->second;
      if (g.second.running && (g.second.ended_badly || lacks) &&
          w.now > g.second.first_start + gang_bound)
        return "job " + g.first.first + " runs in parts";
    }
  return "";
}

std::string
no_accelerator_leased_twice (World &w)
{
  for (auto &worker : w.workers)
    {
      std::vector<int> used (static_cast<size_t> (worker.second.accelerators) +
                             1);
      for (auto &l : worker.second.leases)
        for (int i = l.first; l.live () && i < l.first + l.count; i++)
          if (used[static_cast<size_t> (i)]++)
            return "worker " + worker.first + " leases accelerator " +
                   std::to_string (i) + " twice";
    }
  return "";
}

std::string
answers_reach_their_own_caller (World &w)
{
  for (auto &r : w.replies)
    {
      auto sent = w.sent_bodies.find (r.conn);
      if (r.outcome != OUTCOME_ANSWERED || sent == w.sent_bodies.end ())
        continue;
      if (r.body != "answer to " + sent->second)
        return "caller " + std::to_string (r.conn) + " got \"" + r.body + "\"";
    }
  return "";
}

std::string
not_run_did_not_run (World &w)
{
  for (auto &r : w.replies)
    {
      if (r.outcome != OUTCOME_NOT_RUN || r.id.empty ())
        continue;
      for (auto &u : w.upstreams)
        if (u.second.executed.count (r.id))
          return "request " + r.id + " ran on " + u.first;
      if (w.job_starts.count (r.id))
        return "job " + r.id + " was started";
    }
  return "";
}

std::string
requests_run_at_most_once (World &w)
{
  for (auto &body : w.once_bodies)
    if (w.executions.count (body) && w.executions[body] > 1)
      return "request \"" + body + "\" ran " +
             std::to_string (w.executions[body]) + " times";
  return "";
}

std::string
jobs_run_at_most_once (World &w)
{
  for (gint64 conn : w.once_jobs)
    {
      std::string job = job_of (w, conn);
      if (w.job_starts.count (job) && w.job_starts[job].size () > 1)
        return "job " + job + " was started " +
               std::to_string (w.job_starts[job].size ()) + " times";
      for (auto &[task, n] : w.tasks_begun)
        if (task.first == job && n > 1)
          return "job " + job + " began " + std::to_string (n) +
                 " times on workers";
    }
  return "";
}

std::string
accepted_jobs_are_kept (World &w)
{
  for (auto &p : w.job_parts)
    {
      std::string job = job_of (w, p.first);
      bool kept = job.empty ();
      for (auto &k : w.store.keys)
        kept |= k.first.size () >= job.size () &&
                k.first.compare (k.first.size () - job.size (),
                                 std::string::npos, job) == 0;
      if (!kept)
        return "job " + job + " was accepted and is not in the store";
    }
  return "";
}

std::string
leaving_upstreams_get_nothing (World &w)
{
  return w.late_sends.empty () ? "" : "late send from " + w.late_sends[0];
}

std::string
shutdown_cuts_off_nothing (World &w)
{
  for (auto &c : w.sent_to)
    {
      const Node &n = w.nodes.at (c.second);
      if (n.drained && n.incarnation == w.sent_incarnation[c.first] &&
          !w.reply (c.first))
        return "host " + n.name + " left without a reply to " +
               std::to_string (c.first);
    }
  return "";
}

std::string
table_revision_never_falls (World &w)
{
  for (auto &n : w.nodes)
    {
      if (!n.second.core)
        continue;
      gint64 now = core_counter (n.second.core, COUNT_TABLE_REVISION);
      gint64 &seen = w.revisions[{ n.first, n.second.incarnation }];
      if (now < seen)
        return "host " + n.first + " went back from revision " +
               std::to_string (seen) + " to " + std::to_string (now);
      seen = now;
    }
  return "";
}

void
watch (World &w)
{
  static Check *const checks[] = { gang_runs_whole,
                                   no_accelerator_leased_twice,
                                   answers_reach_their_own_caller,
                                   not_run_did_not_run,
                                   requests_run_at_most_once,
                                   jobs_run_at_most_once,
                                   accepted_jobs_are_kept,
                                   leaving_upstreams_get_nothing,
                                   shutdown_cuts_off_nothing,
                                   table_revision_never_falls };
  w.invariants.push_back ([] (World &world) {
    for (Check *check : checks)
      {
        std::string broken = check (world);
        if (!broken.empty ())
          FAIL () << "at " << world.now << ": " << broken;
      }
  });
}

} // namespace invariants
