#include "queue_world.h"

#include <gtest/gtest.h>

/* What waits in the scheduler's memory, while the event that is to end its wait
   never comes. */

static const std::string job_id = "0000000000000501";
static const std::string task = job_id + ".0.0.0";

static int
worker_running (const QueueWorld &w, const std::string &name)
{
  for (size_t i = 0; i < w.workers.size (); i++)
    if (w.workers[i].runs.count (name))
      return (int)i;
  return -1;
}

/* Runs W until TASK runs and its start has been answered.  Returns the
   worker. */
static int
run_until_started (QueueWorld &w, const std::string &name)
{
  for (int i = 0; i < 500 && worker_running (w, name) < 0; i++)
    w.run (1);
  w.run (2);
  return worker_running (w, name);
}

/* Returns a job that fills one worker. */
static WorldJob
full_task (const std::string &queue, const std::string &id, int ms)
{
  return { queue + "/" + id,
           world_body (world_step (1, 1000, 8), "ms=" + std::to_string (ms)) };
}

/* Restarts workers I and K, each at the address that the other had. */
static void
swap_addresses (QueueWorld &w, int i, int k)
{
  w.workers[i].address = k;
  w.workers[k].address = i;
  for (int n : { i, k })
    {
      w.crash_worker (n, true);
      w.restart_worker (n);
    }
}

TEST (QueueStanding, StopThatReachedAnotherWorkerIsSentAgain)
{
  for (int wait = 0; wait < 20 && !HasFailure (); wait++)
    {
      QueueWorld w (1, 2);

      SCOPED_TRACE (wait);
      w.run (3000);
      w.submit (0, full_task ("q1", job_id, 60000));
      int worker = run_until_started (w, task);
      ASSERT_GE (worker, 0);
      w.run (500);
      w.workers[1 - worker].reply_delay = 300;
      w.cancel (0, job_id);
      w.run (wait);
      swap_addresses (w, worker, 1 - worker);
      w.run (1000);
      w.workers[1 - worker].reply_delay = 0;
      w.run (20000);
      w.submit (0, { "q1/0000000000000502",
                     world_body (world_step (2, 1000, 8, ",\"gang\":true"),
                                 "ms=1000 gang=2") });
      w.run (8000);
      EXPECT_EQ (w.state_of ("0000000000000502"), "completed");
      w.expect_no_violations ();
    }
}

TEST (QueueStanding, HoldsThatAreRefusedForEverCountAsSilence)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.submit (0, { "q1/" + job_id,
                 world_body (world_step (12, 1000, 0), "ms=12000") });
  int worker = run_until_started (w, task);
  ASSERT_GE (worker, 0);
  w.run (500);
  ASSERT_EQ (w.workers[worker].runs.size (), 12U);
  w.workers[worker].loses_orders = true;
  w.workers[worker].refuses_polls = true;
  w.drain_worker (worker);
  w.run (40000);
  EXPECT_EQ (w.state_of (job_id), "completed");
  w.expect_no_violations ();
}

TEST (QueueStanding, RefusedHoldOfAWorkerWithAStrayRunIsSentAgain)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.submit (0, full_task ("q1", job_id, 6000));
  int worker = run_until_started (w, task);
  ASSERT_GE (worker, 0);
  w.run (2000);
  w.workers[1 - worker].loses_orders = true;
  w.force_start (1 - worker, task, "ms=4000");
  w.drop_worker_entry (1 - worker);
  for (int i = 0; i < 1000 && !w.count_lines ("event=stray"); i++)
    w.run (1);
  w.workers[1 - worker].refuses_polls = true;
  w.run (1000);
  w.crash_worker (worker, true);
  w.run (1000);
  w.restart_worker (worker);
  w.run (30000);
  EXPECT_EQ (w.state_of (job_id), "completed");
}

TEST (QueueStanding, StartThatWasNeverSentIsGivenUp)
{
  QueueWorld w (1, 2);

  w.run (20000);
  w.workers[0].endless_call_rate = 1;
  w.submit (0, full_task ("q0", job_id, 1000));
  w.run (6000);
  EXPECT_EQ (w.state_of (job_id), "completed");
  w.expect_no_violations ();
}

TEST (QueueStanding, StopWithoutAnswerEndsOnceItsStartCanNoLongerArrive)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.workers[0].loses_orders = true;
  w.submit (0, full_task ("q1", job_id, 1000));
  w.run (20000);
  EXPECT_EQ (w.state_of (job_id), "completed");
  w.expect_no_violations ();
}

TEST (QueueStanding, UrgentTaskDoesNotClaimTheRoomOfAStopThatHangs)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.submit (0, { "q1/" + job_id,
                 world_body (world_step (2, 1000, 8), "ms=60000") });
  w.run (1000);
  ASSERT_EQ (w.n_starts (), 2);
  w.workers[0].loses_orders = true;
  w.submit (0, full_task ("q0", "0000000000000502", 1000));
  w.run (2700);
  EXPECT_EQ (w.starts ("0000000000000502.0.0.0"), 1);
  w.run (2000);
  EXPECT_EQ (w.state_of ("0000000000000502"), "completed");
  w.expect_no_violations ();
}

TEST (QueueStanding, TaskThatNeedsAllRoomIsPlacedOnceUrgentWorkHasEnded)
{
  QueueWorld w (1, 1);

  w.run (3000);
  w.submit (0, full_task ("q0", job_id, 500));
  w.run (2000);
  ASSERT_EQ (w.state_of (job_id), "completed");
  w.submit (0, full_task ("q1", "0000000000000502", 500));
  w.run (12000);
  EXPECT_EQ (w.state_of ("0000000000000502"), "completed");
}

TEST (QueueStanding, TaskWithoutAcceleratorUsesAWorkerThatHasNone)
{
  QueueWorld w (1, 2);

  w.run (3000);
  w.workers[1].capacity.accelerators = 0;
  w.put_worker (1);
  w.run (500);
  w.submit (0, full_task ("q1", job_id, 60000));
  w.run (500);
  ASSERT_EQ (worker_running (w, task), 0);
  w.submit (0, { "q1/0000000000000502",
                 world_body (world_step (1, 1000, 0), "ms=500") });
  w.run (5000);
  EXPECT_EQ (w.state_of ("0000000000000502"), "completed");
}
