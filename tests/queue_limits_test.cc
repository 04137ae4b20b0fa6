#include "queue_world.h"

#include <gtest/gtest.h>

/* Limits that a placement keeps, and odd amounts that must not stop others. */

static WorldJob
job_of (int id, const std::string &steps, const std::string &text = "ms=1000")
{
  return { "q1/" + std::to_string (id), world_body (steps, text) };
}

static WorldJob
urgent_job (int id, const std::string &steps, const std::string &text)
{
  return { "q0/" + std::to_string (id), world_body (steps, text) };
}

/* The worker with a free place also runs what costs least to evict. */
TEST (QueueLimits, EvictionKeepsTheLimitOfTasksPerWorker)
{
  QueueWorld w (2, 4);
  const std::string one_each = ",\"maxPerServer\":1";

  w.run (3000);
  w.submit (0, job_of (610000, world_step (14, 16000, 2), "ms=30000"));
  w.run (4000);
  w.submit (0, job_of (610001, world_step (1, 16000, 2), "ms=30000"));
  w.run (500);
  w.submit (0,
            urgent_job (620000, world_step (3, 16000, 2, one_each), "ms=4000"));
  w.run (3000);
  EXPECT_EQ (w.starts ("620000.0.0.2"), 1);
  w.run (20000);
  w.expect_no_violations ();
}

/* A task ends while others of its job wait, evicted, with their checkpoints. */
TEST (QueueLimits, LongCheckpointsDoNotMakeProgressUnreadable)
{
  QueueWorld w (2, 5);
  const std::string first_rack = ",\"requiredLabel\":\"r0\"";
  const std::string second_rack = ",\"requiredLabel\":\"r1\"";

  for (WorldWorker &o : w.workers)
    o.checkpoint = std::string (3000, 'c');
  w.run (3000);
  w.submit (0, job_of (630000,
                       world_step (4, 60000, 8, first_rack) + "," +
                           world_step (1, 1000, 0, second_rack),
                       "ms=2500"));
  w.run (1500);
  w.submit (0, urgent_job (630001, world_step (4, 32000, 8, first_rack),
                           "ms=6000"));
  w.run (2500);
  w.kill_host (w.scheduler ());
  w.run (25000);
  EXPECT_EQ (w.state_of ("630000"), "completed");
  EXPECT_EQ (w.starts ("630000.0.1.0"), 1);
  w.check_acked_ends ();
  w.expect_no_violations ();
}

TEST (QueueLimits, SameRackGangDoesNotWaitForRacksOfLastingTasks)
{
  QueueWorld w (2, 12);
  const std::string lasts = ",\"perpetual\":true,\"maxPerServer\":1";
  const std::string gang = ",\"gang\":true,\"sameRack\":true";

  w.run (3000);
  for (int rack = 0; rack < 3; rack++)
    w.submit (0, job_of (640000 + rack,
                         world_step (1, 64000, 8,
                                     lasts + ",\"requiredLabel\":\"r" +
                                         std::to_string (rack) + "\""),
                         "ms=90000000"));
  w.run (1500);
  w.submit (0,
            job_of (650000, world_step (4, 64000, 8, gang), "ms=1000 gang=4"));
  w.run (5000);
  EXPECT_EQ (w.state_of ("650000"), "completed");
  w.expect_no_violations ();
}

TEST (QueueLimits, ManyOverdueOccurrencesDoNotHoldOtherJobs)
{
  QueueWorld w (2, 2);
  const int n = 20000;
  const std::string times = ",\"runCount\":" + std::to_string (n) +
                            ",\"intervalMs\":100,\"firstRunMs\":" +
                            std::to_string (w.wall () - 100 * n);
  std::string body = world_body (world_step (1, 1000, 1) + "," +
                                     world_step (1, 1000, 1, ",\"after\":[0]"),
                                 "ms=50");
  GTimer *timer = g_timer_new ();

  body.insert (body.size () - 1, times);
  w.run (3000);
  w.submit (0, { "q1/660000", body });
  w.run (500);
  w.submit (0, urgent_job (670000, world_step (1, 1000, 1), "ms=300"));
  w.run (1000);
  EXPECT_EQ (w.state_of ("670000"), "completed");
  EXPECT_LT (g_timer_elapsed (timer, NULL), 20.0);
  g_timer_destroy (timer);
  w.expect_no_violations ();
}

/* The new process is a smaller one, and has not written its entry yet. */
TEST (QueueLimits, StaleEntryOfARestartedWorkerIsNotPlacedBy)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.drain_worker (1);
  w.run (300);
  w.crash_worker (0, true);
  w.workers[0].alive = true;
  w.workers[0].started_at = w.now ();
  w.workers[0].incarnation = w.wall ();
  w.submit (0, job_of (680000, world_step (1, 1000, 1), "ms=3000"));
  w.run (500);
  w.workers[0].capacity = { 8000, 32000, 4 };
  w.submit (0, job_of (680001, world_step (1, 50000, 6), "ms=3000"));
  w.run (2000);
  EXPECT_EQ (w.starts ("680001.0.0.0"), 0);
  w.expect_no_violations ();
}
