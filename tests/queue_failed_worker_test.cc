#include "queue_world.h"

#include <gtest/gtest.h>

/* A worker that fails for a while, or stands still, and is the only one that
   may run a task: it is used again once it is sound. */

namespace
{
/* The last of five workers has a rack, and so the label r1, of its own. */
const int only = 4;
const ClockMs grey_ms = 5000;
/* After the grey period, for a job that waits for its next attempt. */
const ClockMs recovery_ms = 6000;

WorldJob
job_for_only (int i, int attempts, const std::string &text = "ms=800")
{
  const std::string label = ",\"requiredLabel\":\"r1\"";

  return { "q1/" + std::to_string (480000 + i),
           world_body (world_step (1, 4000, 1, label), text), attempts };
}

/* Submits N jobs that only the grey worker may run, one every 300 ms. */
void
submit_while_grey (QueueWorld &w, int n)
{
  w.run (3000);
  w.workers[only].fails_all = true;
  w.workers[only].fails_after = 200;
  for (int i = 0; i < n; i++)
    {
      w.submit (0, job_for_only (i, 4));
      w.run (300);
    }
  w.run (grey_ms - n * 300);
  w.workers[only].fails_all = false;
}

void
expect_completed (QueueWorld &w, int n)
{
  for (int i = 0; i < n; i++)
    EXPECT_EQ (w.state_of (std::to_string (480000 + i)), "completed") << i;
  w.expect_no_violations ();
}
}

TEST (QueueFailedWorker, TaskStartsAgainOnTheOnlyWorkerWithItsLabel)
{
  QueueWorld w (2, 5);

  submit_while_grey (w, 1);
  w.run (recovery_ms);
  expect_completed (w, 1);
}

TEST (QueueFailedWorker, QuarantineOfTheOnlyWorkerDoesNotHoldItsJobs)
{
  QueueWorld w (2, 5);

  submit_while_grey (w, 6);
  ASSERT_GE (w.count_lines ("event=quarantine"), 1);
  w.run (recovery_ms);
  expect_completed (w, 6);
}

TEST (QueueFailedWorker, GangStartsAgainOnTheOnlyWorkersInQuarantine)
{
  QueueWorld w (2, 5);
  const std::string gang = ",\"gang\":true,\"requiredLabel\":\"r1\"";

  submit_while_grey (w, 6);
  ASSERT_GE (w.count_lines ("event=quarantine"), 1);
  w.submit (0, { "q1/490000",
                 world_body (world_step (2, 4000, 1, gang), "ms=800 gang=2") });
  w.run (2500);
  EXPECT_EQ (w.state_of ("490000"), "completed");
  w.expect_no_violations ();
}

TEST (QueueFailedWorker, TaskThatStoodStillStartsAgainOnTheOnlyWorker)
{
  QueueWorld w (2, 5);

  w.run (3000);
  w.workers[only].hangs = true;
  w.submit (0, job_for_only (0, 4));
  w.run (grey_ms);
  w.workers[only].hangs = false;
  w.run (recovery_ms);
  expect_completed (w, 1);
}

TEST (QueueFailedWorker, PerpetualTaskThatEndsDoneIsStartedAgain)
{
  QueueWorld w (2, 3);
  const std::string lasts = ",\"perpetual\":true";

  w.run (3000);
  w.submit (0, { "q1/480000",
                 world_body (world_step (3, 4000, 1, lasts), "ms=1500") });
  w.run (4000);
  for (int i = 0; i < 3; i++)
    EXPECT_GE (w.starts ("480000.0.0." + std::to_string (i)), 2) << i;
  w.kill_host (w.scheduler ());
  w.run (10000);
  EXPECT_EQ (w.state_of ("480000"), "running");
  for (int i = 0; i < 3; i++)
    EXPECT_GE (w.starts ("480000.0.0." + std::to_string (i)), 6) << i;
  w.expect_no_violations ();
}

/* The other worker stays full of work that does not end. */
TEST (QueueFailedWorker, TaskThatFailedWaitsForOtherWorkersOnlyForAWhile)
{
  QueueWorld w (2, 2);
  const std::string lasts = ",\"perpetual\":true";

  w.run (3000);
  w.drain_worker (0);
  w.run (300);
  w.submit (0, { "q0/490000",
                 world_body (world_step (1, 64000, 8, lasts), "ms=90000000") });
  w.run (1000);
  ASSERT_EQ (w.workers[1].runs.size (), 1U);
  w.workers[0].draining = false;
  w.workers[0].drain_started_at = CLOCK_NEVER;
  w.put_worker (0);
  w.workers[0].fails_all = true;
  w.workers[0].fails_after = 200;
  w.submit (0, { "q1/480000", world_body (world_step (1, 4000, 1), "ms=800") });
  w.run (1000);
  w.workers[0].fails_all = false;
  w.run (9000);
  EXPECT_EQ (w.state_of ("480000"), "completed");
  w.expect_no_violations ();
}

TEST (QueueFailedWorker, BadWorkerIsUsedAsJobsOfAnotherServiceFail)
{
  QueueWorld w (2, 12);

  w.add_service (2, "lab", 5);
  w.run (3000);
  w.workers[12].fails_all = true;
  w.workers[12].fails_after = 200;
  for (int i = 0; i < 40; i++)
    {
      w.submit (0, { "q1/" + std::to_string (480000 + i),
                     world_body (world_step (4, 16000, 2), "ms=200 fail") });
      if (i >= 10) /* most workers of the other service have failed */
        w.submit (0, { "l1/" + std::to_string (490000 + i),
                       world_body (world_step (5, 16000, 8), "ms=500") });
      w.run (250);
    }
  EXPECT_GE (w.count_lines ("event=quarantine worker=lab0 "), 1);
  EXPECT_EQ (w.count_lines ("event=quarantine worker=w"), 0);
}

TEST (QueueFailedWorker, WorkersAreBlamedForFailingJobsBesideAnotherService)
{
  QueueWorld w (2, 20);

  w.add_service (2, "lab", 2);
  w.run (3000);
  for (int i = 0; i < 20; i++)
    {
      w.submit (0, { "l1/" + std::to_string (480000 + i),
                     world_body (world_step (2, 16000, 2), "ms=200 fail") });
      w.run (250);
    }
  EXPECT_EQ (w.count_lines ("event=quarantine "), 0);
}
