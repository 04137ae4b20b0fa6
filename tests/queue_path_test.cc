#include "queue_world.h"

#include <gtest/gtest.h>

/* A job's way over hosts, store and workers, on calm and on bad days. */

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
  w.expect_kept ();
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
  w.expect_kept ();
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
  w.expect_kept ();
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
  w.expect_kept ();
}

TEST (QueuePath, CancelStopsWhatRuns)
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
  w.expect_kept ();
}

TEST (QueuePath, UnknownJobIsGoneAndUnknownTokenRefused)
{
  QueueWorld w (2, 4);

  w.run (3000);
  int a = w.state (0, "00000000000000aa");
  int b =
      w.submit (0, { "q1/00000000000000ab", world_body (world_step (1, 1, 0)) },
                "other");
  int c = w.submit (0, { "nowhere/00000000000000ac",
                         world_body (world_step (1, 1, 0)) });
  int d = w.submit (0, { "q1/00000000000000ad", "{\"steps\":7}" });
  w.run (1000);
  EXPECT_EQ (w.answer (a)->status, 410);
  EXPECT_EQ (w.answer (b)->status, 401);
  EXPECT_EQ (w.answer (c)->status, 404);
  EXPECT_EQ (w.answer (d)->status, 400);
  EXPECT_EQ (w.n_starts (), 0);
}

TEST (QueuePath, FailingJobEndsAfterItsAttempts)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000006",
                 world_body (world_step (1, 1000, 1), "ms=300 fail") });
  w.run (8000);
  EXPECT_EQ (w.state_of ("0000000000000006"), "failed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_kept ();
}

TEST (QueuePath, SuccessorTakesOverWhatRuns)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000007",
                 world_body (world_step (4, 1000, 1), "ms=5000") });
  w.run (1000);
  int holder = w.scheduler ();
  ASSERT_GE (holder, 0);
  w.kill_host (holder);
  w.run (9000);
  EXPECT_NE (w.scheduler (), holder);
  EXPECT_EQ (w.state_of ("0000000000000007"), "completed");
  EXPECT_EQ (w.n_starts (), 4);
  w.expect_kept ();
}

TEST (QueuePath, WorkersThatLeftGiveTheirTasksBack)
{
  /* A hold that is sent again and again to a worker that no longer answers
     must not renew the lease that is waited for. */
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/0000000000000008",
                 world_body (world_step (8, 16000, 1), "ms=4000") });
  w.run (500);
  w.crash_worker (0, true);
  w.run (14000);
  EXPECT_EQ (w.state_of ("0000000000000008"), "completed");
  w.expect_kept ();
}

TEST (QueuePath, DoneOccurrenceStaysDoneUnderASlowerClock)
{
  /* The successor's time of day is behind: the occurrence that its
     predecessor ran is not due to it yet. */
  QueueWorld w (2, 4);
  std::string body = world_body (world_step (4, 1000, 1), "ms=500");

  w.run (3000);
  int holder = w.scheduler ();
  ASSERT_GE (holder, 0);
  w.hosts[1 - holder].wall_step = -6000;
  body.insert (1, "\"runCount\":2,\"firstRunMs\":" +
                      std::to_string (w.wall () + 1000) +
                      ",\"intervalMs\":2000,");
  w.submit (holder, { "q1/0000000000000009", body });
  w.run (2200);
  EXPECT_EQ (w.n_starts (), 4);
  w.kill_host (holder);
  w.run (9000);
  EXPECT_EQ (w.state_of ("0000000000000009"), "completed");
  EXPECT_EQ (w.n_starts (), 8);
  w.expect_kept ();
}

TEST (QueuePath, EveryFailedRunIsCountedOnce)
{
  /* Workers may report the ends of one task's runs in any order after a
     takeover, and repeat those that were stored already. */
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q2/000000000000000a",
                 world_body (world_step (1, 1000, 1), "ms=250 fail") });
  w.run (330);
  int holder = w.scheduler ();
  w.store_down_until = w.now () + 700;
  w.run (290);
  w.kill_host (holder);
  w.run (12000);
  EXPECT_EQ (w.state_of ("000000000000000a"), "failed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_kept ();
}

TEST (QueuePath, TasksThatStandStillAreMoved)
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
  w.expect_kept ();
}

TEST (QueuePath, AWorkerThatFailsAllFailsNoJob)
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
  w.expect_kept ();
}

TEST (QueuePath, AJobThatFailsEverywhereEmptiesNoFleet)
{
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
  w.expect_kept ();
}

TEST (QueuePath, AGangThatFailedNeedsNoProvenWorker)
{
  /* Nothing has succeeded anywhere yet when it is started again. */
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
  w.expect_kept ();
}

TEST (QueuePath, WhatCannotEndOnALeavingWorkerIsMovedAtOnce)
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
  /* The long task has left; the short one ends where it is. */
  for (auto &run : w.workers[0].runs)
    EXPECT_LE (run.second.plan.ms, 1500) << run.first;
  w.run (1200);
  w.leave_worker (0);
  w.run (14000);
  EXPECT_EQ (w.state_of ("000000000000000d"), "completed");
  EXPECT_EQ (w.state_of ("000000000000000e"), "completed");
  EXPECT_EQ (w.n_starts (), 7);
  w.expect_kept ();
}

TEST (QueuePath, NothingRunsInTheLastMomentsOfALeavingWorker)
{
  /* By its progress the task would end in time.  An end so shortly before
     its worker is gone might never be heard of. */
  QueueWorld w (2, 3);

  w.run (3000);
  w.workers[0].optimism = 1.3;
  w.submit (0, { "q1/0000000000000211",
                 world_body (world_step (1, 40000, 2), "ms=3480") });
  w.run (1000);
  int on = -1;
  for (int i = 0; i < 3; i++)
    if (!w.workers[i].runs.empty ())
      on = i;
  ASSERT_GE (on, 0);
  w.workers[on].optimism = 1.3;
  w.drain_worker (on);
  w.run (2400);
  EXPECT_TRUE (w.workers[on].runs.empty ());
  w.run (100);
  w.leave_worker (on);
  w.run (9000);
  EXPECT_EQ (w.state_of ("0000000000000211"), "completed");
  EXPECT_EQ (w.n_starts (), 2);
  w.expect_kept ();
}

TEST (QueuePath, ATaskThatTakesLongerThanExpectedIsLeftAlone)
{
  /* Its worker reports 100 percent long before its end. */
  QueueWorld w (2, 3);

  w.run (3000);
  w.workers[0].optimism = 4.0;
  w.workers[1].optimism = 4.0;
  w.workers[2].optimism = 4.0;
  w.submit (0, { "q1/000000000000000f",
                 world_body (world_step (3, 1000, 2), "ms=8000") });
  w.run (12000);
  EXPECT_EQ (w.state_of ("000000000000000f"), "completed");
  EXPECT_EQ (w.n_starts (), 3);
  w.expect_kept ();
}

/* Four workers without trouble for long, all busy with tasks of minutes. */
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

TEST (QueuePath, LongTasksAreLookedAtSeldomAndOutlastTheirScheduler)
{
  auto w = world_of_long_tasks ("0000000000000213");
  int before = w->n_holds;

  w->run (20000);
  /* Four workers, a look every four seconds. */
  EXPECT_LE (w->n_holds - before, 24);
  EXPECT_GE (w->n_holds - before, 16);
  w->kill_host (w->scheduler ());
  w->run (9000);
  EXPECT_GE (w->scheduler (), 0);
  EXPECT_EQ (w->n_starts (), 8);
  w->run (31000);
  EXPECT_EQ (w->state_of ("0000000000000213"), "completed");
  EXPECT_EQ (w->n_starts (), 8);
  w->expect_kept ();
}

TEST (QueuePath, ACancelIsNotDelayedByALongPause)
{
  auto w = world_of_long_tasks ("0000000000000214");

  w->run (2000);
  w->cancel (1, "0000000000000214");
  w->run (1000);
  for (auto &worker : w->workers)
    EXPECT_TRUE (worker.runs.empty ());
  w->expect_kept ();
}

TEST (QueuePath, ARecordDeletedByOthersDoesNotEndItsJob)
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

TEST (QueuePath, RecordsOfJobsThatWereOverLongAgoAreDeleted)
{
  QueueWorld w (2, 2);

  w.run (3000);
  for (int i = 0; i < 10; i++)
    w.submit (0, { "q1/000000000000030" + std::to_string (i),
                   world_body (world_step (1, 1000, 1), "ms=200") });
  w.cancel (0, "0000000000000303");
  w.run (5000);
  /* A record and a progress each, and one cancel. */
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 21);
  w.run (590000);
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 21);
  w.run (20000);
  EXPECT_EQ (w.n_keys ("wagtailpass/job/"), 0);
  EXPECT_EQ (w.state_of ("0000000000000301"), "410");
}
