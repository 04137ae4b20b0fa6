#include "queue_world.h"

#include <gtest/gtest.h>

/* Random plays of one order of events: workers end silently and are back under
   their ids, the scheduler is killed, and the workers are cut off.  Calls that
   were meant for a worker's process before reach the new one. */

enum
{
  N_HOSTS = 3,
  N_RESTARTING_WORKERS = 8, /* in two racks */
  N_STEADY_WORKERS = 4,     /* in a third one */
  N_WORKERS = N_RESTARTING_WORKERS + N_STEADY_WORKERS,
  WORKERS_PER_RACK = 4,
  N_SERIES = 2
};

static const ClockMs begin_ms = 3000;
static const ClockMs step_ms = 100;
static const ClockMs min_down_ms = 5;
static const ClockMs max_down_ms = 600;
static const ClockMs max_unlisted_ms = 1500;
static const ClockMs max_until_kill_ms = 2000;
static const ClockMs max_until_cut_ms = 600;
static const ClockMs min_cut_ms = 5000;
static const ClockMs max_cut_ms = 14000;
/* From one series of events to the next. */
static const ClockMs series_ms = 16000;
static const ClockMs recovery_ms = 60000;
static const ClockMs state_query_ms = 2000;
/* A worker's entry is removed so long after its last heartbeat. */
static const ClockMs entry_ttl_ms = 4500;
static const ClockMs heartbeat_ms = 1500;

class RestartPlay
{
public:
  explicit RestartPlay (unsigned seed)
      : world (N_HOSTS, N_WORKERS, seed), rng (g_rand_new_with_seed (seed))
  {
    world.reorder_calls = chance (0.7);
    loses_replies = chance (0.3);
    late_starts = chance (0.15);
    late_calls = chance (0.15);
    changes_capacity = chance (0.2);
    long_estimates = chance (0.3);
    busy = 0.05 + 0.2 * g_rand_double (rng);
  }
  ~RestartPlay ()
  {
    g_rand_free (rng);
  }

  void
  play ()
  {
    run_steps (begin_ms);
    for (int i = 0; i < N_SERIES; i++)
      {
        plan_series (world.now ());
        run_steps (series_ms);
      }
    end_faults ();
    world.run (recovery_ms);
  }

  /* Expects that every accepted job has reached a final state. */
  void
  expect_all_final ()
  {
    std::map<std::string, int> queries;

    for (auto &id : accepted ())
      queries[id] = world.state (0, id);
    world.run (state_query_ms);
    for (auto &q : queries)
      {
        const WorldAnswer *a = world.answer (q.second);
        std::string state = a ? a->text : "none";

        EXPECT_TRUE (state == "completed" || state == "failed" ||
                     state == "cancelled")
            << q.first << " is " << state;
      }
  }

  /* Describes the conditions of the whole play, for a failure's message. */
  std::string
  conditions () const
  {
    return std::string (world.reorder_calls ? "reorders " : "") +
           (loses_replies ? "loses_replies " : "") +
           (late_starts ? "late_starts " : "") +
           (late_calls ? "late_calls " : "") +
           (changes_capacity ? "changes_capacity " : "") +
           (long_estimates ? "long_estimates " : "");
  }

  QueueWorld world;

private:
  std::vector<std::string>
  accepted () const
  {
    std::vector<std::string> ids;

    for (auto &s : submits)
      if (world.answer (s.second) && world.answer (s.second)->status == 200)
        ids.push_back (s.first);
    return ids;
  }

  bool
  chance (double p)
  {
    return g_rand_double (rng) < p;
  }
  /* Returns a random time from 0 to SPAN. */
  ClockMs
  up_to (ClockMs span)
  {
    return g_rand_int_range (rng, 0, (int)span + 1);
  }

  void
  plan (ClockMs when, std::function<void ()> what)
  {
    planned.emplace (std::max (when, world.now ()), what);
  }

  /* Advances time by SPAN, with what is planned, and with new jobs. */
  void
  run_steps (ClockMs span)
  {
    ClockMs end = world.now () + span;
    ClockMs next_step = world.now () + step_ms;

    while (world.now () < end)
      {
        ClockMs next = std::min (next_step, end);

        if (!planned.empty () && planned.begin ()->first < next)
          next = planned.begin ()->first;
        world.run (next - world.now ());
        while (!planned.empty () && planned.begin ()->first <= world.now ())
          {
            auto what = planned.begin ()->second;

            planned.erase (planned.begin ());
            what ();
          }
        if (world.now () < next_step)
          continue;
        next_step += step_ms;
        update_entries ();
        if (chance (busy))
          submit ();
      }
  }

  void
  submit ()
  {
    std::string id = std::to_string (++n_jobs);
    int count = 1 + (int)up_to (3);
    ClockMs span = chance (0.6) ? 5000 + up_to (12000) : 300 + up_to (3000);
    std::string text = "ms=" + std::to_string (span);
    std::string extra = ",\"checkpointing\":true";
    std::string body;

    id = std::string (16 - id.size (), '0') + id;
    if (chance (0.2))
      {
        extra += chance (0.5) ? ",\"gang\":true,\"sameRack\":true"
                              : ",\"gang\":true";
        text += " gang=" + std::to_string (count);
      }
    else if (chance (0.15))
      {
        extra = ",\"perpetual\":true";
        lasting.push_back (id);
      }
    body =
        world_body (world_step (count, 8000, 1 + (int)up_to (2), extra), text);
    if (long_estimates)
      body.replace (body.find ("\"estimateMs\":1000"), 17,
                    "\"estimateMs\":60000");
    submits[id] =
        world.submit ((int)up_to (N_HOSTS - 1),
                      { "q" + std::to_string (up_to (2)) + "/" + id, body });
  }

  /* Returns the workers of a series: one, some or all of a rack. */
  std::vector<int>
  choose_workers ()
  {
    int rack = (int)up_to (N_RESTARTING_WORKERS / WORKERS_PER_RACK - 1);
    double share = chance (0.4) ? 1 : g_rand_double (rng);
    std::vector<int> chosen;

    for (int i = 0; i < WORKERS_PER_RACK; i++)
      if (chance (share))
        chosen.push_back (rack * WORKERS_PER_RACK + i);
    if (chosen.empty ())
      chosen.push_back ((int)up_to (N_RESTARTING_WORKERS - 1));
    return chosen;
  }

  /* Plans the restart of some workers, what becomes of the scheduler, and the
     cut. */
  void
  plan_series (ClockMs from)
  {
    std::vector<int> chosen = choose_workers ();
    ClockMs end = from + up_to (500);
    ClockMs kill = end + up_to (max_until_kill_ms);
    ClockMs cut = kill + up_to (chance (0.3) ? 50 : max_until_cut_ms);
    ClockMs cut_ms = min_cut_ms + up_to (max_cut_ms - min_cut_ms);
    bool behind_cut = chance (0.15);
    bool refuses = chance (0.3);

    for (int worker : chosen)
      {
        if (behind_cut)
          plan (end - up_to (500),
                [this, worker] { cut_off (worker, max_down_ms, false); });
        plan_restart (worker, end + up_to (chance (0.5) ? 0 : 300));
        plan (cut + up_to (chance (0.7) ? 0 : 300),
              [this, worker, cut_ms, refuses] {
                cut_off (worker, cut_ms, refuses);
              });
      }
    for (int i = (int)up_to (5); i > 0; i--)
      plan (end + up_to (kill - end + max_until_cut_ms), [this] { submit (); });
    plan_scheduler_fault (kill);
  }

  void
  plan_restart (int worker, ClockMs when)
  {
    ClockMs down =
        std::max (min_down_ms, chance (0.3) ? 0 : up_to (max_down_ms));
    ClockMs listed = when + down;
    bool is_silent = chance (0.5);

    if (chance (0.3))
      listed = CLOCK_NEVER;
    else if (chance (0.6))
      listed += up_to (max_unlisted_ms);
    plan (when, [this, worker, down, is_silent] {
      end_silently (worker, is_silent ? down : 0);
    });
    plan (when + down, [this, worker, listed] { begin (worker, listed); });
  }

  /* Ends a worker's process.  For SILENT_MS calls to it get no answer; later
     ones are refused until it is back. */
  void
  end_silently (int worker, ClockMs silent_ms)
  {
    WorldWorker &w = world.workers[worker];

    if (!w.alive)
      return;
    last_heartbeat[worker] = world.now () - up_to (heartbeat_ms);
    world.abandon_polls (worker);
    world.crash_worker (worker, true);
    w.unreachable_until =
        std::max (w.unreachable_until, world.now () + silent_ms);
    w.cut_refuses_connections = false;
  }

  /* Begins a worker's new process, which writes its entry at LISTED. */
  void
  begin (int worker, ClockMs listed)
  {
    WorldWorker &w = world.workers[worker];

    if (w.alive)
      return;
    w.lost_reply_rate = loses_replies ? 0.3 : 0;
    w.late_start_rate = late_starts ? 0.2 : 0;
    w.late_call_rate = late_calls ? 0.2 : 0;
    w.spares_new_process = true;
    world.begin_worker (worker);
    if (changes_capacity && chance (0.5))
      {
        w.capacity.accelerators = 4;
        w.has_other_capacity = true;
      }
    listed_at[worker] = listed;
  }

  void
  cut_off (int worker, ClockMs span, bool refuses)
  {
    WorldWorker &w = world.workers[worker];

    if (w.unreachable_until <= world.now () && !is_unlisted (worker))
      last_heartbeat[worker] = world.now () - up_to (heartbeat_ms);
    world.abandon_polls (worker);
    w.unreachable_until = std::max (w.unreachable_until, world.now () + span);
    w.cut_refuses_connections = refuses;
  }

  bool
  is_unlisted (int worker) const
  {
    return listed_at[worker] > 0;
  }

  /* Writes the entries of new processes and removes those of workers that are
     silent. */
  void
  update_entries ()
  {
    for (int i = 0; i < N_RESTARTING_WORKERS; i++)
      {
        const WorldWorker &w = world.workers[i];
        bool reachable = w.alive && w.unreachable_until <= world.now ();

        if (was_cut[i] && reachable && is_unlisted (i))
          listed_at[i] = world.now ();
        was_cut[i] = w.alive && !reachable;
        if (reachable && is_unlisted (i) && listed_at[i] <= world.now ())
          {
            listed_at[i] = 0;
            world.put_worker (i);
          }
        else if (reachable && !is_unlisted (i) && !world.has_worker_entry (i))
          world.put_worker (i);
        else if ((!reachable || is_unlisted (i)) &&
                 world.has_worker_entry (i) &&
                 last_heartbeat[i] + entry_ttl_ms < world.now ())
          world.drop_worker_entry (i);
      }
  }

  /* Plans that the scheduler is killed, drained or cut off from the store, or
     that nothing happens to it. */
  void
  plan_scheduler_fault (ClockMs when)
  {
    double kind = g_rand_double (rng);

    if (kind < 0.15)
      return;
    if (kind < 0.25)
      plan (when, [this] { cut_scheduler_from_store (); });
    else if (kind < 0.35)
      plan (when, [this] { drain_scheduler (); });
    else
      plan (when, [this] { kill_scheduler (); });
    if (kind > 0.8)
      plan (when + 500 + up_to (6000), [this] { kill_scheduler (); });
  }

  void
  kill_scheduler ()
  {
    int host = world.scheduler ();

    if (host < 0)
      return;
    world.kill_host (host);
    plan (world.now () + 300 + up_to (4000), [this, host] { start (host); });
  }

  void
  start (int host)
  {
    if (!world.hosts[host].node)
      world.start_host (host);
  }

  void
  cut_scheduler_from_store ()
  {
    int host = world.scheduler ();
    ClockMs until = world.now () + 3000 + up_to (6000);

    if (host < 0)
      return;
    if (chance (0.5))
      world.hosts[host].store_refuses_until = until;
    else
      world.hosts[host].store_silent_until = until;
  }

  void
  drain_scheduler ()
  {
    int host = world.scheduler ();

    if (host < 0)
      return;
    world.drain_host (host);
    plan (world.now () + 500 + up_to (1500), [this, host] {
      if (!world.hosts[host].node)
        return;
      world.stop_host (host);
      plan (world.now () + 300 + up_to (2000), [this, host] { start (host); });
    });
  }

  /* Ends all faults, and the tasks that last. */
  void
  end_faults ()
  {
    planned.clear ();
    for (int i = 0; i < N_HOSTS; i++)
      {
        world.hosts[i].store_refuses_until = 0;
        world.hosts[i].store_silent_until = 0;
        start (i);
      }
    for (int i = 0; i < N_WORKERS; i++)
      {
        WorldWorker &w = world.workers[i];

        w.unreachable_until = 0;
        w.lost_reply_rate = 0;
        w.late_start_rate = 0;
        w.late_call_rate = 0;
        if (w.alive)
          world.put_worker (i);
        else
          world.restart_worker (i);
      }
    world.run (5000);
    for (auto &id : lasting)
      world.cancel (0, id);
  }

  GRand *rng;
  bool loses_replies, late_starts, late_calls, changes_capacity, long_estimates;
  double busy; /* probability of a new job in each step */
  std::multimap<ClockMs, std::function<void ()> > planned;
  /* By worker: its last heartbeat before it fell silent, and when its new
     process writes its entry; 0: has done so. */
  ClockMs last_heartbeat[N_WORKERS] = {};
  ClockMs listed_at[N_WORKERS] = {};
  bool was_cut[N_WORKERS] = {};
  int n_jobs = 0;
  std::map<std::string, int> submits; /* requests by the job's id */
  std::vector<std::string> lasting;
};

/* Plays the game of SEED.  Returns whether no invariant was broken.  With
   QUEUE_SEARCH_LOG in the environment, prints the log of one that was. */
static bool
play_seed (unsigned seed)
{
  RestartPlay p (seed);

  p.play ();
  p.expect_all_final ();
  p.world.check_acked_ends ();
  EXPECT_TRUE (p.world.violations.empty ())
      << "seed " << seed << ": " << p.world.violations[0] << " and "
      << p.world.violations.size () - 1 << " more violations, with "
      << p.conditions ();
  if (!p.world.violations.empty () && getenv ("QUEUE_SEARCH_LOG"))
    for (auto &line : p.world.lines)
      fprintf (stderr, "%s\n", line.c_str ());
  return p.world.violations.empty ();
}

/* Plays QUEUE_SEARCH_N seeds from QUEUE_SEARCH_FROM on, up to the first that
   fails, or all with QUEUE_SEARCH_ALL. */
TEST (QueueSearch, InvariantsHoldWithWorkersThatRestartSilently)
{
  const char *from = getenv ("QUEUE_SEARCH_FROM");
  const char *n = getenv ("QUEUE_SEARCH_N");
  unsigned first = from ? (unsigned)atoi (from) : 1;
  unsigned end = first + (n ? (unsigned)atoi (n) : 8);
  bool all = getenv ("QUEUE_SEARCH_ALL") != nullptr;

  for (unsigned seed = first; seed < end && (all || !HasFailure ()); seed++)
    play_seed (seed);
}
