#include "queue_world.h"

#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "fit.h"
}

/* Cold workers: which work goes to them, and how much at a time. */

namespace
{
const Bounds cold_bounds = { .cold_overage = 1.5, .cold_slack = 5 };
const int workers_per_domain = 4;

std::string
id_of (int n)
{
  std::string id = std::to_string (n);

  return std::string (16 - id.size (), '0') + id;
}

/* Workers of one service in a pool, as a pass finds them at time 0. */
struct Fleet
{
  Pool pool;
  std::vector<FitWorker> workers;
  ColdRamp *ramp = nullptr;

  Fleet ()
  {
    pool_init (&pool);
  }
  ~Fleet ()
  {
    cold_ramp_free (ramp);
    pool_clear (&pool);
  }
  PoolWorker *
  add (const std::string &id, ClockMs cold, guint n_tasks = 0)
  {
    PoolEntry *e = pool_entry_new (id.c_str ());

    e->service = g_strdup ("render");
    e->domain = g_strdup (cold ? "c" : "w");
    e->rack = g_strdup (id.substr (0, 1).c_str ());
    e->capacity = { 64000, 256000, 8 };
    e->warm_up_remaining = cold;
    PoolWorker *w = pool_update (&pool, e);
    cold_on_entry (w, &cold_bounds, 0);
    w->n_placements = n_tasks;
    workers.push_back ({ .worker = w, .room = e->capacity });
    return w;
  }
  void
  rank ()
  {
    GPtrArray *heard = g_ptr_array_new ();

    for (auto &f : workers)
      g_ptr_array_add (heard, f.worker);
    ramp = cold_ramp_new (heard, &cold_bounds, 0);
    for (auto &f : workers)
      f.cold = cold_ramp_find (ramp, f.worker);
  }
  /* Returns the ids of the workers that COUNT tasks of 4 accelerators take. */
  std::string
  place (guint count, bool same_rack = false, ClockMs max_warm_up = CLOCK_NEVER)
  {
    std::vector<PoolWorker *> chosen (count);
    FitRequest rq = { .service = "render",
                      .need = { 1000, 1000, 4 },
                      .count = count,
                      .label = "",
                      .data_rack = "",
                      .same_rack = same_rack,
                      .prefer_fast = TRUE,
                      .max_warm_up = max_warm_up,
                      .ramp = ramp };
    std::string ids;

    if (fit_place (&rq, workers.data (), (guint)workers.size (),
                   chosen.data ()))
      for (PoolWorker *w : chosen)
        ids += std::string (w->entry->id) + " ";
    return ids;
  }
};

/* A deployment of N_DOMAINS domains of four workers each, under settings. */
struct Site : QueueWorld
{
  int n_jobs = 0;
  std::vector<std::string> urgent;

  explicit Site (int n_domains, const Bounds &b = cold_bounds)
      : QueueWorld (3, n_domains * workers_per_domain)
  {
    bounds = b;
    for (int i = 0; i < (int)workers.size (); i++)
      {
        workers[i].domain = "d" + std::to_string (i / workers_per_domain);
        put_worker (i);
      }
    for (int i = 0; i < (int)hosts.size (); i++)
      {
        kill_host (i);
        start_host (i);
      }
    run (3000);
  }
  /* New processes of the workers from FROM to TO are cold for LEFT ms. */
  void
  return_cold (int from, int to, ClockMs left)
  {
    for (int i = from; i < to; i++)
      {
        crash_worker (i, true);
        workers[i].warm_at = now () + left;
        restart_worker (i);
      }
  }
  std::string
  send (const std::string &route, int count, int gpu, int ms, bool gang = false)
  {
    std::string id = id_of (++n_jobs), span = std::to_string (ms);
    std::string extra =
        ",\"estimateMs\":" + span + (gang ? ",\"gang\":true" : "");

    submit (n_jobs % 3,
            { route + "/" + id,
              world_body (world_step (count, 1000, gpu, extra),
                          "ms=" + span +
                              (gang ? " gang=" + std::to_string (count)
                                    : "")) });
    return id;
  }
  int
  runs_on_cold (const std::string &job = "")
  {
    int n = 0;

    for (auto &w : workers)
      for (auto &r : w.runs)
        n += now () < w.warm_at && r.first.find (job) == 0;
    return n;
  }
  /* Adds full load for SPAN: urgent gangs of 1 s beside batch. */
  void
  load (ClockMs span)
  {
    for (ClockMs end = now () + span; now () < end; run (250))
      {
        urgent.push_back (send ("q0", 2, 4, 1000, true));
        if (n_jobs % 2)
          send ("q2", 14, 2, 3000);
      }
  }
  /* Returns how many of the gangs took more than twice their time. */
  int
  n_late ()
  {
    run (4000);
    return (int)std::count_if (urgent.begin (), urgent.end (),
                               [this] (const std::string &id) {
                                 return !is_done_in (id, 2000);
                               });
  }
  bool
  is_done_in (const std::string &id, ClockMs span)
  {
    for (const std::string &line : lines)
      if (line.find ("event=job_completed job=" + id) != std::string::npos)
        return atoi (line.c_str () + line.find ("age_ms=") + 7) <= span;
    return false;
  }
};
}

/* Guards against a domain that is filled at once when it comes back. */
TEST (QueueCold, RampIsSlackAndOverageOfTheWarmAverage)
{
  Fleet f;

  f.add ("a0", 0, 1);
  f.add ("a1", 0, 3);
  PoolWorker *cold = f.add ("b0", 900, 4);
  f.add ("b1", 800, 0);
  f.rank ();
  EXPECT_EQ (cold_ramp_find (f.ramp, cold)->room, 5u + 6u - 4u);
  EXPECT_EQ (cold_ramp_find (f.ramp, f.workers[0].worker), nullptr);
}

/* Guards against a ramp that is kept by worker and exceeded in sum. */
TEST (QueueCold, GangCountsTheRampOverAllWorkersOfADomain)
{
  Fleet f;

  f.add ("a0", 0, 0);
  for (const char *id : { "b0", "b1", "b2", "b3" })
    f.add (id, 900);
  f.rank ();
  EXPECT_EQ (f.place (8), "");
  EXPECT_EQ (f.place (7), "a0 a0 b0 b0 b1 b1 b2 ");
  EXPECT_EQ (f.place (1), "");
}

/* Guards against urgent work that runs cold beside a warm worker, however slow
   that is. */
TEST (QueueCold, WarmWorkersComeFirstThenThoseWithTheLeastTimeLeft)
{
  Fleet f;

  f.add ("b0", 900)->pace.log_slowness = -1.0;
  f.add ("b1", 500);
  f.add ("a0", 0)->pace.log_slowness = 1.0;
  f.rank ();
  EXPECT_EQ (f.place (3), "a0 a0 b1 ");
  EXPECT_EQ (f.place (1, false, 600), "b1 ");
  EXPECT_EQ (f.place (1, false, 600), "");
}

/* Guards against a gang that one cold member holds up. */
TEST (QueueCold, GangTakesTheRackThatIsWarm)
{
  Fleet f;

  f.add ("b0", 900);
  f.add ("b1", 0);
  f.add ("c0", 0);
  f.add ("c1", 0);
  f.rank ();
  EXPECT_EQ (f.place (4, true), "c0 c0 c1 c1 ");
}

/* Guards against a worker that an entry listed again makes colder. */
TEST (QueueCold, TimeLeftCountsFromTheFirstEntryOfAProcess)
{
  Fleet f;
  PoolWorker *w = f.add ("a0", 1000);
  auto receive = [w] (gint64 process, ClockMs left, ClockMs now) {
    w->entry->incarnation = process;
    w->entry->warm_up_remaining = left;
    cold_on_entry (w, &cold_bounds, now);
    return cold_time_left (w, now);
  };

  EXPECT_EQ (receive (0, 1000, 400), 600);
  EXPECT_EQ (receive (0, 100, 500), 100);
  EXPECT_EQ (receive (0, 1000, 2000), 0);
  EXPECT_EQ (receive (7, 1000, 3000), 1000);
  EXPECT_EQ (receive (7, 0, 3100), 0);
}

/* Guards against decisions that change where nothing asks for them. */
TEST (QueueCold, NothingChangesWithoutSettingsOrTimesLeft)
{
  auto play = [] (const Bounds &b, ClockMs left) {
    Site s (6, b);

    s.load (3000);
    for (auto &w : s.workers)
      w.cold_slowdown = 1.0;
    s.return_cold (0, 8, left);
    s.load (6000);
    return s.lines;
  };
  auto plain = play ({}, 0);

  EXPECT_GT (plain.size (), 100u);
  EXPECT_EQ (play ({}, 8000), plain);
  EXPECT_EQ (play (cold_bounds, 0), plain);
}

/* Guards against urgent work that is late because domains come back cold. */
TEST (QueueCold, UrgentWorkIsInTimeWhenDomainsComeBackCold)
{
  for (int n_domains : { 1, 2 })
    {
      int n_late[2] = { 0, 0 };

      for (ClockMs phase : { 0, 60, 120, 180 })
        for (bool known : { false, true })
          {
            Site s (6, known ? cold_bounds : Bounds {});

            s.load (3000);
            s.run (phase);
            s.return_cold (0, n_domains * workers_per_domain, 12000);
            s.load (7000);
            n_late[known] += s.n_late ();
            s.expect_no_violations ();
          }
      EXPECT_LT (n_late[true], n_late[false]) << n_domains;
    }
}

/* Guards against batch that fills a cold domain because the others are full. */
TEST (QueueCold, BatchKeepsToTheRampAndFillsTheDomainOnceItIsWarm)
{
  Site s (6);

  s.return_cold (0, 4, 6000);
  s.run (1000);
  s.send ("q2", 40, 4, 60000);
  s.run (1000);
  s.send ("q2", 60, 1, 60000);
  s.run (2000);
  /* 5 + 1.5 x 4 workers x 2 tasks. */
  EXPECT_EQ (s.runs_on_cold (), 17);
  EXPECT_EQ (s.count_lines ("event=domain_cold domain=d0 workers=4"), 1);
  s.run (4000);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (s.workers[i].runs.size (), 8u) << i;
  EXPECT_EQ (s.count_lines ("event=domain_warm domain=d0"), 1);
  s.expect_no_violations ();
}

/* Guards against urgent work that the ramp makes wait or evict. */
TEST (QueueCold, UrgentWorkExceedsTheRampRatherThanWait)
{
  Site s (2);

  s.return_cold (0, 4, 9000);
  s.run (1000);
  s.send ("q2", 4, 8, 60000);
  s.run (500);
  std::string id = s.send ("q0", 20, 1, 5000);
  s.run (300);
  EXPECT_EQ (s.runs_on_cold (id), 20);
  EXPECT_EQ (s.count_lines ("event=evict "), 0);
}

/* Guards against work that stands since only cold workers could take it. */
TEST (QueueCold, WorkThatNoWarmWorkerCanTakeExceedsTheRamp)
{
  Site s (2, { .cold_slack = 1 });

  for (int i = 0; i < 4; i++)
    s.workers[i].capacity.accelerators = 16;
  s.return_cold (0, 4, 20000);
  s.run (1000);
  std::string id = s.send ("q2", 4, 10, 5000);
  s.run (1000);
  EXPECT_EQ (s.runs_on_cold (id), 4);
}

/* Guards against urgent work that waits for warmth when all workers are cold.
 */
TEST (QueueCold, UrgentWorkTakesTheLeastColdAtOnceWhenAllAreCold)
{
  Site s (3);

  s.return_cold (0, 12, 20000);
  s.return_cold (4, 8, 9000);
  s.run (1500);
  std::string id = s.send ("q0", 4, 8, 1000, true);
  s.run (300);
  for (int i = 4; i < 8; i++)
    EXPECT_EQ (s.workers[i].runs.size (), 1u) << i;
  s.run (4000);
  EXPECT_EQ (s.state_of (id), "completed");
}

/* Guards against short work on cold workers in place of work that outlasts
   their warm-up. */
TEST (QueueCold, LongWorkComesFirstOnColdWorkers)
{
  Site s (2);

  for (int i = 0; i < 4; i++)
    s.remove_worker (i);
  s.run (500);
  s.send ("q1", 4, 8, 60000);
  s.run (500);
  std::string small = s.send ("q1", 40, 8, 2000);
  std::string big = s.send ("q2", 4, 8, 40000);
  s.run (100);
  s.return_cold (0, 4, 6000);
  s.run (1500);
  EXPECT_EQ (s.runs_on_cold (big), 4);
  EXPECT_EQ (s.runs_on_cold (small), 0);
}

/* Guards against a pace that is learned while a worker is cold. */
TEST (QueueCold, ColdWorkersTeachNothing)
{
  Site s (6);

  s.return_cold (0, 24, 12000);
  for (int i = 0; i < 24; i++)
    s.workers[i].cold_slowdown = i < 12 ? 1.0 : 4.0;
  s.run (500);
  for (int i = 0; i < 12; i++, s.run (1000))
    s.send ("q1", 4, 8, 2000, true);
  s.run (4000);
  EXPECT_EQ (s.count_lines ("event=worker_pace"), 0);
  EXPECT_EQ (s.count_lines ("event=worker_speed"), 0);
}

/* Guards against a successor that takes cold workers for warm. */
TEST (QueueCold, SuccessorKnowsWhichWorkersAreCold)
{
  Site s (6);
  int former = s.scheduler ();

  s.return_cold (0, 8, 15000);
  s.run (1000);
  s.kill_host (former);
  s.run (6000);
  ASSERT_NE (s.scheduler (), former);
  for (int i = 0; i < 8; i++, s.run (200))
    EXPECT_EQ (s.runs_on_cold (s.send ("q0", 2, 4, 1000, true)), 0);
  EXPECT_EQ (s.runs_on_cold (), 0);
  EXPECT_EQ (s.count_lines ("event=domain_cold domain=d0"), 2);
}

/* Guards against jobs that are lost or late in a release that restarts one
   worker after the other. */
TEST (QueueCold, RollingReleaseUnderLoad)
{
  int n_late[2];

  for (bool known : { false, true })
    {
      Site s (6, known ? cold_bounds : Bounds {});

      for (int i = 0; i < (int)s.workers.size (); i++)
        {
          s.return_cold (i, i + 1, 5000);
          s.load (500);
        }
      n_late[known] = s.n_late ();
      s.run (30000);
      s.expect_all_final ();
      s.expect_no_violations ();
    }
  EXPECT_LT (n_late[true], n_late[false]);
}

/* Guards against jobs that are lost, or urgent ones that are late, after a
   takeover while domains are cold. */
TEST (QueueCold, TakeoverWhileColdUnderLoad)
{
  Site s (6);
  int former = s.scheduler ();

  s.load (3000);
  s.return_cold (0, 8, 20000);
  s.kill_host (former);
  s.run (6000);
  s.start_host (former);
  s.urgent.clear ();
  s.load (6000);
  EXPECT_EQ (s.n_late (), 0);
  s.run (40000);
  s.expect_all_final ();
  s.expect_no_violations ();
}
