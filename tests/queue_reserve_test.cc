#include "queue_world.h"

#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "reserve.h"
}

/* Capacity reserved for urgent jobs while the fleet is overloaded with others.
 */

TEST (QueueReserve, GrowsWithUrgentDemandAndDecays)
{
  Reserve r = {};

  EXPECT_EQ (reserve_size (&r, 0, 100), 0.0);
  for (ClockMs t = 0; t < 20000; t += 100)
    reserve_record_demand (&r, t, t, 0.5);
  /* The demand is five workers per second. */
  EXPECT_GT (reserve_size (&r, 20000, 1000), 5.0);
  EXPECT_LT (reserve_size (&r, 20000, 1000), 25.0);
  EXPECT_LT (reserve_size (&r, 50000, 1000), 0.1);
}

TEST (QueueReserve, LeavesHalfOfTheFleetToOtherJobs)
{
  Reserve r = {};

  for (ClockMs t = 0; t < 20000; t += 10)
    reserve_record_demand (&r, t, t, 10.0);
  EXPECT_LE (reserve_size (&r, 20000, 100), 50.0);
}

TEST (QueueReserve, ScarcestResourceDeterminesTheFreeFraction)
{
  const PoolResources total = { 64000, 256000, 8 };
  const PoolResources available = { 32000, 256000, 2 };
  const PoolResources overcommitted = { -1000, 256000, 8 };
  const PoolResources cores_only = { 64000, 256000, 0 };

  EXPECT_DOUBLE_EQ (reserve_free_fraction (&available, &total), 0.25);
  EXPECT_DOUBLE_EQ (reserve_free_fraction (&overcommitted, &total), 0.0);
  EXPECT_DOUBLE_EQ (reserve_free_fraction (&cores_only, &cores_only), 1.0);
  EXPECT_DOUBLE_EQ (reserve_need_fraction (&available, &total), 1.0);
}

/* Result of run_overload(). */
struct OverloadResult
{
  /* From the submission of an urgent gang to its start, ascending. */
  std::vector<ClockMs> waits_ms;
  int stops = 0;                /* runs that were stopped */
  int other_jobs_completed = 0; /* jobs that are not urgent */
};

/* Returns the value of age_ms in a log line. */
static ClockMs
age_ms_in (const std::string &line)
{
  return atoll (line.c_str () + line.find ("age_ms=") + 7);
}

/* Submits an urgent gang every half second for 30 seconds, while three times as
   many other jobs are waiting as their service can run, beside another service
   of N_IDLE workers. */
static OverloadResult
run_overload (int n_idle)
{
  QueueWorld w (3, 24);
  OverloadResult r;
  int n_jobs = 0;

  if (n_idle)
    w.add_service (2, "lab", n_idle);
  w.run (3000);
  for (int i = 0; i < 60; i++)
    {
      for (int k = 0; k < 2; k++)
        w.submit (k, { "q2/f" + std::to_string (1000 + ++n_jobs),
                       world_body (world_step (45, 5000, 1), "ms=3000") });
      w.run (150);
      w.submit (2, { "q0/a" + std::to_string (1000 + i),
                     world_body (world_step (3, 5000, 4, ",\"gang\":true"),
                                 "ms=1000 gang=3") });
      w.run (350);
    }
  w.run (3000);
  for (auto &line : w.lines)
    {
      if (line.find ("event=start ") != std::string::npos &&
          line.find ("priority=0") != std::string::npos)
        r.waits_ms.push_back (age_ms_in (line));
      r.stops += line.find ("event=stop ") != std::string::npos;
      r.other_jobs_completed +=
          line.find ("event=job_completed job=f") != std::string::npos;
    }
  std::sort (r.waits_ms.begin (), r.waits_ms.end ());
  EXPECT_TRUE (w.violations.empty ()) << w.violations[0];
  return r;
}

/* Nearly all urgent gangs start at once, without waiting for an eviction, and
   the other jobs keep most of the fleet: none of them is evicted in vain. */
TEST (QueueReserve, UrgentGangsStartAtOnceDuringOverload)
{
  OverloadResult r = run_overload (0);

  ASSERT_GE (r.waits_ms.size (), 60u);
  EXPECT_LE (r.waits_ms[r.waits_ms.size () * 8 / 10], 50);
  EXPECT_LE (r.stops, 60);
  EXPECT_GE (r.other_jobs_completed, 20);
}

TEST (QueueReserve, IdleWorkersOfAnotherServiceAreTakenForRoomOfUrgentGangs)
{
  OverloadResult r = run_overload (24);

  ASSERT_GE (r.waits_ms.size (), 60u);
  EXPECT_LE (r.waits_ms[r.waits_ms.size () * 8 / 10], 50);
  EXPECT_LE (r.stops, 60);
  EXPECT_GE (r.other_jobs_completed, 20);
}

static std::string
numbered (const std::string &queue, const std::string &prefix, int i)
{
  return queue + "/" + prefix + std::to_string (100000000000000 + i);
}

/* Submits N urgent tasks and N_OTHER jobs of four less urgent ones to HOST, all
   of an eighth of a worker, numbered from FIRST on. */
static void
submit_backlog (QueueWorld &w, int host, int n_urgent, int n_other)
{
  for (int i = 1; i <= n_urgent; i++)
    w.submit (host, { numbered ("q0", "b", i),
                      world_body (world_step (1, 1000, 1), "ms=12000") });
  for (int i = 1; i <= n_other; i++)
    w.submit (host, { numbered ("q1", "c", i),
                      world_body (world_step (4, 1000, 1),
                                  "ms=" + std::to_string (1000 + 150 * i)) });
}

/* Has a lasting task run in W for long, then ends its worker, and the scheduler
   if TAKE_OVER, with a backlog that comes before the next one knows the
   workers. Returns the task. */
static std::string
end_lasting_task (QueueWorld &w, bool take_over)
{
  const std::string id = "f100000000000000";
  const std::string task = id + ".0.0.0";
  int worker = 0;

  w.run (3000);
  w.submit (1, { "q2/" + id,
                 world_body (world_step (1, 1000, 1, ",\"perpetual\":true"),
                             "ms=600000") });
  w.run (20000);
  for (int i = 0; i < (int)w.workers.size (); i++)
    if (w.workers[i].runs.count (task))
      worker = i;
  w.crash_worker (worker, true);
  if (!take_over)
    return task;
  w.kill_host (w.scheduler ());
  submit_backlog (w, w.hosts[0].node ? 0 : 1, 40, 40);
  return task;
}

/* Returns the reserve that the scheduler of W shows. */
static double
shown_reserve (QueueWorld &w)
{
  char *text = node_metrics (w.hosts[w.scheduler ()].node);
  std::string s = text;

  g_free (text);
  return atof (s.c_str () + s.find ("reserved_workers ") + 17);
}

TEST (QueueReserve, BacklogOfATakeoverIsTakenForWorkThatArrives)
{
  QueueWorld w (2, 8);
  int known = w.count_lines ("event=workers_known");

  w.run (2000);
  known = w.count_lines ("event=workers_known");
  end_lasting_task (w, true);
  while (w.count_lines ("event=workers_known") == known && w.now () < 60000)
    w.run (50);
  w.run (500);
  /* What came 8 s before is an eighth of what comes now, and 40 tasks are five
     workers: 0.4 of them would be kept. */
  EXPECT_LT (shown_reserve (w), 0.4);
  w.expect_no_violations ();
}

TEST (QueueReserve, LastingTaskStandsBesideRoomKeptAfterATakeover)
{
  QueueWorld w (2, 8);
  int known;

  w.run (2000);
  known = w.count_lines ("event=workers_known");
  std::string task = end_lasting_task (w, true);
  while (w.count_lines ("event=workers_known") == known && w.now () < 60000)
    w.run (50);
  w.run (3000);
  EXPECT_EQ (w.starts (task), 2);
  w.expect_no_violations ();
}

/* Returns how many tasks of an eighth of a worker fit on the workers of W. */
static int
free_eighths (const QueueWorld &w)
{
  int n = 0;

  for (auto &worker : w.workers)
    if (worker.alive)
      n += 8 - (int)worker.runs.size ();
  return n;
}

TEST (QueueReserve, LastingTaskStandsBesideRoomKeptForWorkThatKeepsComing)
{
  QueueWorld w (2, 8);
  std::string task = end_lasting_task (w, false);
  ClockMs stands_since = CLOCK_NEVER;
  ClockMs longest = 0;

  submit_backlog (w, 0, 0, 100);
  for (int i = 1; i < 600 && w.starts (task) < 2; i++)
    {
      if (i % 5 == 0)
        w.submit (0, { numbered ("q0", "d", i),
                       world_body (world_step (2, 1000, 1), "ms=500") });
      w.run (50);
      if (!w.count_lines ("event=worker_void") || free_eighths (w) < 2)
        stands_since = CLOCK_NEVER;
      else if (stands_since == CLOCK_NEVER)
        stands_since = w.now ();
      else
        longest = std::max (longest, w.now () - stands_since);
    }
  EXPECT_EQ (w.starts (task), 2);
  EXPECT_LT (longest, 3000);
  w.expect_no_violations ();
}

/* Returns whether a job has begun in W 3 s after it came, beside urgent work
   that keeps coming.  The service whose routes begin with LETTER has eight
   workers, of which 56 of 64 cores and no accelerators are in use. */
static bool
begins_in_half_free_service (QueueWorld &w, const std::string &letter)
{
  const std::string id = "f200000000000000";
  bool begun = false;

  w.submit (0, { numbered (letter + "2", "e", 0),
                 world_body (world_step (56, 8000, 0), "ms=60000") });
  for (int i = 1; i <= 80; i++)
    {
      w.submit (0, { numbered (letter + "0", "d", i),
                     world_body (world_step (2, 1000, 1), "ms=500") });
      if (i == 40)
        w.submit (1, { letter + "1/" + id,
                       world_body (world_step (4, 1000, 1), "ms=60000") });
      w.run (250);
      if (i == 52)
        begun = w.state_of (id) == "running";
    }
  return begun;
}

TEST (QueueReserve, JobStandsBesideRoomKeptInAServiceThatIsHalfFree)
{
  QueueWorld w (2, 8);

  w.run (3000);
  EXPECT_TRUE (begins_in_half_free_service (w, "q"));
  w.expect_no_violations ();
}

TEST (QueueReserve, JobStandsBesideRoomKeptAsAnotherServiceIsFull)
{
  QueueWorld w (2, 8);

  w.add_service (2, "lab", 8);
  w.run (3000);
  w.submit (0, { numbered ("q2", "f", 0),
                 world_body (world_step (8, 64000, 8), "ms=60000") });
  w.run (1000);
  EXPECT_TRUE (begins_in_half_free_service (w, "l"));
  w.expect_no_violations ();
}

TEST (QueueReserve, JobOfAnIdleServiceStandsForUrgentWorkOfABusyOne)
{
  QueueWorld w (2, 6);
  const std::string id = "f300000000000000";
  std::string state; /* 3 s after it came */

  w.add_service (2, "lab", 2);
  w.run (3000);
  w.submit (0, { numbered ("q1", "e", 0),
                 world_body (world_step (6, 24000, 8), "ms=100000") });
  for (int i = 1; i <= 20; i++)
    {
      w.submit (0, { numbered ("q0", "d", i),
                     world_body (world_step (4, 32000, 0), "ms=400") });
      if (i == 4)
        w.submit (1, { "l1/" + id,
                       world_body (world_step (2, 16000, 1), "ms=500") });
      w.run (1000);
      if (i == 6)
        state = w.state_of (id);
    }
  EXPECT_EQ (state, "completed");
  w.expect_no_violations ();
}
