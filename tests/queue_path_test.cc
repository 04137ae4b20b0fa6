#include "queue_world.h"

#include <gtest/gtest.h>

/* A job's path through hosts, store and workers, from submission to its final
   state, without and with failures on the way. */

TEST (QueuePath, JobIsAcceptedRunAndCompleted)
{
  QueueWorld w (3, 8);

  w.run (3000);
  int r = w.submit (0, { "q1/0000000000000001",
                         world_body (world_step (3, 1000, 1)) });
  w.run (3000);
  ASSERT_TRUE (w.answer (r));
  EXPECT_EQ (w.answer (r)->status, 200);
  EXPECT_EQ (w.state_of ("0000000000000001"), "completed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_no_violations ();
}

TEST (QueuePath, SecondStepWaitsForTheFirst)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000002",
                 world_body (world_step (2, 1000, 1) + "," +
                             world_step (1, 1000, 1, ",\"after\":[0]")) });
  w.run (1000);
  EXPECT_EQ (w.starts ("0000000000000002.0.1.0"), 0);
  w.run (4000);
  EXPECT_EQ (w.starts ("0000000000000002.0.1.0"), 1);
  EXPECT_EQ (w.state_of ("0000000000000002"), "completed");
  w.expect_no_violations ();
}

TEST (QueuePath, GangRunsTogetherOnOneRack)
{
  QueueWorld w (2, 8);

  w.run (3000);
  w.submit (0, { "q0/0000000000000003",
                 world_body (world_step (3, 1000, 8,
                                         ",\"gang\":true,\"sameRack\":true"),
                             "ms=1000 gang=3") });
  w.run (5000);
  EXPECT_EQ (w.state_of ("0000000000000003"), "completed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_no_violations ();
}

TEST (QueuePath, SameIdAtAnotherHostIsOneJob)
{
  QueueWorld w (3, 4);
  WorldJob job = { "q1/0000000000000004",
                   world_body (world_step (1, 1000, 1)) };

  w.run (3000);
  int a = w.submit (0, job);
  int b = w.submit (1, job);
  w.run (4000);
  int c = w.submit (2, job);
  w.run (2000);
  EXPECT_EQ (w.answer (a)->status, 200);
  EXPECT_EQ (w.answer (b)->status, 200);
  EXPECT_EQ (w.answer (c)->status, 200);
  EXPECT_EQ (w.n_starts (), 1);
  w.expect_no_violations ();
}

TEST (QueuePath, CancelStopsRunningTasks)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000005",
                 world_body (world_step (2, 1000, 1), "ms=60000") });
  w.run (1000);
  int r = w.cancel (2, "0000000000000005");
  w.run (2000);
  EXPECT_EQ (w.answer (r)->status, 200);
  EXPECT_EQ (w.state_of ("0000000000000005"), "cancelled");
  for (auto &worker : w.workers)
    EXPECT_TRUE (worker.runs.empty ());
  w.expect_no_violations ();
}

TEST (QueuePath, UnknownJobTokenRouteAndInvalidBodyAreRefused)
{
  QueueWorld w (2, 4);

  w.run (3000);
  int unknown_job = w.state (0, "00000000000000aa");
  int unknown_token =
      w.submit (0, { "q1/00000000000000ab", world_body (world_step (1, 1, 0)) },
                "other");
  int unknown_route = w.submit (0, { "nowhere/00000000000000ac",
                                     world_body (world_step (1, 1, 0)) });
  int invalid_body = w.submit (0, { "q1/00000000000000ad", "{\"steps\":7}" });
  w.run (1000);
  EXPECT_EQ (w.answer (unknown_job)->status, 410);
  EXPECT_EQ (w.answer (unknown_token)->status, 401);
  EXPECT_EQ (w.answer (unknown_route)->status, 404);
  EXPECT_EQ (w.answer (invalid_body)->status, 400);
  EXPECT_EQ (w.n_starts (), 0);
}

TEST (QueuePath, FailingJobFailsAfterItsLastAttempt)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000006",
                 world_body (world_step (1, 1000, 1), "ms=300 fail") });
  w.run (8000);
  EXPECT_EQ (w.state_of ("0000000000000006"), "failed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_no_violations ();
}

TEST (QueuePath, NewLeaderTakesOverRunningTasks)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000007",
                 world_body (world_step (4, 1000, 1), "ms=5000") });
  w.run (1000);
  int leader = w.scheduler ();
  ASSERT_GE (leader, 0);
  w.kill_host (leader);
  w.run (9000);
  EXPECT_NE (w.scheduler (), leader);
  EXPECT_EQ (w.state_of ("0000000000000007"), "completed");
  EXPECT_EQ (w.n_starts (), 4);
  w.expect_no_violations ();
}

TEST (QueuePath, TasksOfACrashedWorkerRunElsewhere)
{
  /* The scheduler runs the tasks of a worker that no longer answers elsewhere
     once its lease has expired.  It keeps polling that worker meanwhile; these
     polls must not extend the lease whose expiry it waits for. */
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000008",
                 world_body (world_step (8, 16000, 1), "ms=4000") });
  w.run (500);
  w.crash_worker (0, true);
  w.run (14000);
  EXPECT_EQ (w.state_of ("0000000000000008"), "completed");
  w.expect_no_violations ();
}

TEST (QueuePath, CompletedOccurrenceIsNotRepeatedWhenTheClockIsBehind)
{
  /* The new leader's wall clock is 6 s behind: by that clock, the occurrence
     that the previous leader ran is not due yet. */
  QueueWorld w (2, 4);
  std::string body = world_body (world_step (4, 1000, 1), "ms=500");

  w.run (3000);
  int leader = w.scheduler ();
  ASSERT_GE (leader, 0);
  w.hosts[1 - leader].wall_offset = -6000;
  body.insert (1, "\"runCount\":2,\"firstRunMs\":" +
                      std::to_string (w.wall () + 1000) +
                      ",\"intervalMs\":2000,");
  w.submit (leader, { "q1/0000000000000009", body });
  w.run (2200);
  EXPECT_EQ (w.n_starts (), 4);
  w.kill_host (leader);
  w.run (9000);
  EXPECT_EQ (w.state_of ("0000000000000009"), "completed");
  EXPECT_EQ (w.n_starts (), 8);
  w.expect_no_violations ();
}

TEST (QueuePath, EveryFailedRunIsCountedOnce)
{
  /* After a takeover, workers may report the ends of a task's runs in any
     order, and report again those that the store already has. */
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q2/000000000000000a",
                 world_body (world_step (1, 1000, 1), "ms=250 fail") });
  w.run (330);
  int leader = w.scheduler ();
  w.store_down_until = w.now () + 700;
  w.run (290);
  w.kill_host (leader);
  w.run (12000);
  EXPECT_EQ (w.state_of ("000000000000000a"), "failed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_no_violations ();
}

TEST (QueuePath, TasksWithoutProgressAreMoved)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.workers[1].hangs = true;
  w.submit (0, { "q1/000000000000000b",
                 world_body (world_step (12, 16000, 2), "ms=1500") });
  w.submit (0, { "q1/000000000000000c",
                 world_body (world_step (3, 1000, 8, ",\"gang\":true"),
                             "ms=1500 gang=3") });
  w.run (25000);
  EXPECT_EQ (w.state_of ("000000000000000b"), "completed");
  EXPECT_EQ (w.state_of ("000000000000000c"), "completed");
  w.expect_no_violations ();
}

TEST (QueuePath, WorkerThatFailsEveryRunFailsNoJob)
{
  QueueWorld w (2, 6);
  std::string body = world_body (world_step (4, 16000, 2), "ms=700");

  w.run (3000);
  w.workers[2].fails_all = true;
  for (int i = 0; i < 20; i++)
    {
      w.submit (0, { "q1/00000000000001" + std::to_string (10 + i), body });
      w.run (300);
    }
  w.run (8000);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (w.state_of ("00000000000001" + std::to_string (10 + i)),
               "completed")
        << i;
  w.expect_no_violations ();
}

TEST (QueuePath, JobsThatAlwaysFailBlockNoWorkersForOtherJobs)
{
  /* Workers are quarantined after failures.  Jobs that fail on every worker
     must not take all of them out of use for other jobs. */
  QueueWorld w (2, 4);

  w.run (3000);
  for (int i = 0; i < 4; i++)
    w.submit (0, { "q2/000000000000020" + std::to_string (i),
                   world_body (world_step (8, 4000, 1), "ms=300 fail") });
  w.run (1500);
  w.submit (0, { "q1/000000000000020a",
                 world_body (world_step (4, 4000, 4), "ms=1000") });
  w.run (4000);
  EXPECT_EQ (w.state_of ("000000000000020a"), "completed");
  w.expect_no_violations ();
}

TEST (QueuePath, FailedGangRestartsWithoutProvenWorkers)
{
  /* A restarted gang prefers workers on which a run has succeeded.  Here no run
     has succeeded on any worker yet, and the gang must start nonetheless. */
  QueueWorld w (2, 4);

  w.run (3000);
  for (auto &worker : w.workers)
    worker.fails_all = true;
  w.submit (0, { "q1/0000000000000210",
                 world_body (world_step (2, 1000, 8,
                                         ",\"gang\":true,\"sameRack\":true"),
                             "ms=500 gang=2") });
  w.run (600);
  for (auto &worker : w.workers)
    worker.fails_all = false;
  w.run (3000);
  EXPECT_EQ (w.state_of ("0000000000000210"), "completed");
  w.expect_no_violations ();
}

TEST (QueuePath, DrainingWorkerKeepsOnlyTasksThatEndInTime)
{
  QueueWorld w (2, 3);

  w.run (3000);
  w.submit (0, { "q1/000000000000000d",
                 world_body (world_step (3, 40000, 2), "ms=6000") });
  w.submit (0, { "q1/000000000000000e",
                 world_body (world_step (3, 10000, 2), "ms=1500") });
  w.run (500);
  w.drain_worker (0);
  w.run (800);
  /* The long task has been moved; the short ones may end on this worker. */
  for (auto &run : w.workers[0].runs)
    EXPECT_LE (run.second.plan.duration, 1500) << run.first;
  w.run (1200);
  w.remove_worker (0);
  w.run (14000);
  EXPECT_EQ (w.state_of ("000000000000000d"), "completed");
  EXPECT_EQ (w.state_of ("000000000000000e"), "completed");
  EXPECT_EQ (w.n_starts (), 7);
  w.expect_no_violations ();
}

TEST (QueuePath, NoTaskRunsJustBeforeADrainingWorkerLeaves)
{
  /* By its reported progress the task would end just before its worker leaves.
     The report of so late an end may never reach the scheduler, so the task
     must be stopped and run elsewhere. */
  QueueWorld w (2, 3);

  w.run (3000);
  w.workers[0].progress_factor = 1.3;
  w.submit (0, { "q1/0000000000000211",
                 world_body (world_step (1, 40000, 2), "ms=3480") });
  w.run (1000);
  int worker = -1;
  for (int i = 0; i < 3; i++)
    if (!w.workers[i].runs.empty ())
      worker = i;
  ASSERT_GE (worker, 0);
  w.workers[worker].progress_factor = 1.3;
  w.drain_worker (worker);
  w.run (2400);
  EXPECT_TRUE (w.workers[worker].runs.empty ());
  w.run (100);
  w.remove_worker (worker);
  w.run (9000);
  EXPECT_EQ (w.state_of ("0000000000000211"), "completed");
  EXPECT_EQ (w.n_starts (), 2);
  w.expect_no_violations ();
}

TEST (QueuePath, TaskLongerThanExpectedIsNotMoved)
{
  /* The workers report 100 percent long before the tasks end.  That is no
     reason to stop them. */
  QueueWorld w (2, 3);

  w.run (3000);
  w.workers[0].progress_factor = 4.0;
  w.workers[1].progress_factor = 4.0;
  w.workers[2].progress_factor = 4.0;
  w.submit (0, { "q1/000000000000000f",
                 world_body (world_step (3, 1000, 2), "ms=8000") });
  w.run (12000);
  EXPECT_EQ (w.state_of ("000000000000000f"), "completed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_no_violations ();
}

/* Returns a deployment whose four workers have run without failures for 15 s
   and are all busy with tasks of 60 s, estimated at 90 s. */
static std::unique_ptr<QueueWorld>
world_of_long_tasks (const std::string &id)
{
  auto w = std::make_unique<QueueWorld> (2, 4);
  std::string steps = world_step (8, 1000, 4, ",\"estimateMs\":90000");

  w->run (15000);
  w->submit (0, { "q1/" + id, world_body (steps, "ms=60000") });
  w->run (4000);
  return w;
}

TEST (QueuePath, LongTasksArePolledRarelyAndOutlastATakeover)
{
  auto w = world_of_long_tasks ("0000000000000213");
  int polls_before = w->n_polls;

  w->run (20000);
  /* Four workers, each polled about every 4 s: 20 polls in 20 s. */
  EXPECT_LE (w->n_polls - polls_before, 24);
  EXPECT_GE (w->n_polls - polls_before, 16);
  w->kill_host (w->scheduler ());
  w->run (9000);
  EXPECT_GE (w->scheduler (), 0);
  EXPECT_EQ (w->n_starts (), 8);
  w->run (31000);
  EXPECT_EQ (w->state_of ("0000000000000213"), "completed");
  EXPECT_EQ (w->n_starts (), 8);
  w->expect_no_violations ();
}

TEST (QueuePath, LongPollIntervalDoesNotDelayACancel)
{
  auto w = world_of_long_tasks ("0000000000000214");

  w->run (2000);
  w->cancel (1, "0000000000000214");
  w->run (1000);
  for (auto &worker : w->workers)
    EXPECT_TRUE (worker.runs.empty ());
  w->expect_no_violations ();
}

TEST (QueuePath, RecordsDeletedByOthersDoNotEndTheirJob)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000212",
                 world_body (world_step (4, 1000, 1), "ms=2000") });
  w.run (1000);
  w.forge_deletion ("0000000000000212");
  w.run (4000);
  EXPECT_EQ (w.n_starts (), 4);
  for (auto &worker : w.workers)
    EXPECT_TRUE (worker.runs.empty ());
}

TEST (QueuePath, RecordsAreDeletedTenMinutesAfterTheJobEnds)
{
  QueueWorld w (2, 2);

  w.run (3000);
  for (int i = 0; i < 10; i++)
    w.submit (0, { "q1/000000000000030" + std::to_string (i),
                   world_body (world_step (1, 1000, 1), "ms=200") });
  w.cancel (0, "0000000000000303");
  w.run (5000);
  /* A job record and a progress record of each job, and one cancel record. */
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 21);
  /* The records are kept for 600 s after the job's end. */
  w.run (590000);
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 21);
  w.run (20000);
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 0);
  EXPECT_EQ (w.state_of ("0000000000000301"), "410");
}
