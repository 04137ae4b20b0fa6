#include "queue_world.h"

#include <gtest/gtest.h>

/* Workers that end silently and are back under their ids before any call to
   them has failed: what was meant for the process before reaches the new one.
 */

/* Restarts worker I, whose entry stays that of the process before, while its
   hold is under way. */
static void
restart_silently (QueueWorld &w, int i)
{
  w.abandon_polls (i);
  w.crash_worker (i, true);
  w.begin_worker (i);
}

static WorldJob
one_task (const std::string &id, const std::string &text)
{
  return { "q0/" + id, world_body (world_step (1, 1000, 1), text) };
}

static void
undrain (QueueWorld &w, int i)
{
  w.workers[i].draining = false;
  w.workers[i].drain_started_at = CLOCK_NEVER;
  w.put_worker (i);
}

/* A deployment of N_HOSTS and two workers.  The first runs a lasting task, so
   that a hold is always under way there, when it restarts silently.  Then it is
   sent the start of TASK, by the clock of the process before, and has begun
   it. */
struct SilentRestart
{
  explicit SilentRestart (int n_hosts, unsigned seed = 1) : w (n_hosts, 2, seed)
  {
    w.run (60000);
    w.drain_worker (1);
    w.run (500);
    w.submit (w.scheduler (), one_task ("0000000000000501", "ms=60000"));
    w.run (2400 + seed * 37 % 300);
    restart_silently (w, 0);
    scheduler = w.scheduler ();
  }

  void
  start_on_new_process ()
  {
    w.submit (scheduler, one_task ("0000000000000502", "ms=9900"));
    for (int i = 0; i < 200 && !w.workers[0].runs.count (task); i++)
      w.run (1);
    ASSERT_TRUE (w.workers[0].runs.count (task));
  }

  void
  cut_off ()
  {
    w.workers[0].unreachable_until = w.now () + 30000;
    undrain (w, 1);
  }

  void
  expect_run_once_at_a_time ()
  {
    w.run (25000);
    EXPECT_EQ (w.starts (task), 2);
    w.expect_no_violations ();
  }

  const std::string task = "0000000000000502.0.0.0";
  QueueWorld w;
  int scheduler = 0;
};

TEST (QueueRestart, LeaseOfAProcessThatNeverAnsweredIsWaitedFor)
{
  SilentRestart r (1);

  r.w.workers[0].lost_reply_rate = 1;
  r.start_on_new_process ();
  r.cut_off ();
  r.expect_run_once_at_a_time ();
}

TEST (QueueRestart, SuccessorWaitsForTheLeaseThatItsPredecessorKnewToBeLong)
{
  for (ClockMs known = 200; known <= 800 && !HasFailure (); known += 100)
    {
      SilentRestart r (2);

      SCOPED_TRACE (known);
      r.start_on_new_process ();
      r.w.run (known);
      r.w.kill_host (r.scheduler);
      r.cut_off ();
      r.expect_run_once_at_a_time ();
    }
}

TEST (QueueRestart, SuccessorWaitsForTheLeaseOfAProcessItsPredecessorNeverHeard)
{
  SilentRestart r (2);

  r.start_on_new_process ();
  r.w.kill_host (r.scheduler);
  r.w.put_worker (0);
  r.cut_off ();
  r.expect_run_once_at_a_time ();
}

TEST (QueueRestart, SuccessorWaitsForTheLeaseOfAProcessThatNeverReportedItself)
{
  SilentRestart r (2);

  r.start_on_new_process ();
  r.w.kill_host (r.scheduler);
  r.cut_off ();
  r.expect_run_once_at_a_time ();
}

TEST (QueueRestart, SecondSuccessorWaitsForTheLeaseThatTheFirstKnewToBeLong)
{
  SilentRestart r (3);

  r.start_on_new_process ();
  r.w.run (300);
  r.w.kill_host (r.scheduler);
  r.cut_off ();
  r.w.run (3500);
  ASSERT_GE (r.w.scheduler (), 0);
  r.w.kill_host (r.w.scheduler ());
  r.expect_run_once_at_a_time ();
}

TEST (QueueRestart, StartAfterAnUnansweredOneIsNotReckonedByTheFormerClock)
{
  SilentRestart r (1);
  const WorldWorker &o = r.w.workers[0];

  r.w.workers[0].loses_orders = true;
  r.w.submit (0, one_task ("0000000000000502", "ms=9900"));
  r.w.run (300);
  r.w.workers[0].loses_orders = false;
  r.w.run (1000);
  EXPECT_EQ (r.w.starts (r.task), 0);
  r.w.put_worker (0);
  for (int i = 0; i < 4000 && !o.runs.count (r.task); i++)
    r.w.run (1);
  ASSERT_TRUE (o.runs.count (r.task));
  EXPECT_LT (o.lease_deadline, r.w.now () - o.started_at + 6000);
}

/* A worker that is the only one with room is back as another kind. */
TEST (QueueRestart, StartThatWaitsForAReadingIsNotSentToAProcessOfAnotherKind)
{
  QueueWorld w (1, 1);
  const std::string id = "0000000000000503";

  w.run (4000);
  restart_silently (w, 0);
  w.workers[0].capacity.accelerators = 1;
  w.run (2500);
  w.submit (0, { "q1/" + id, world_body (world_step (1, 1000, 4)) });
  w.run (700);
  w.put_worker (0);
  w.run (5000);
  EXPECT_EQ (w.starts (id + ".0.0.0"), 0);
  w.expect_no_violations ();
}

/* An entry of another writer gives the id the address of another worker. */
TEST (QueueRestart,
      RefusalAtAnAddressWhereAWorkerNeverAnsweredDoesNotEndItsRuns)
{
  QueueWorld w (1, 3);
  const std::string id = "0000000000000504";

  w.run (4000);
  w.submit (0, one_task (id, "ms=9000"));
  w.run (500);
  int worker = -1;
  for (int i = 0; i < 3; i++)
    if (w.workers[i].runs.count (id + ".0.0.0"))
      worker = i;
  ASSERT_GE (worker, 0);
  w.workers[worker].address = (worker + 1) % 3;
  w.put_worker (worker);
  w.workers[worker].address = -1;
  w.run (3000);
  w.put_worker (worker);
  w.run (15000);
  EXPECT_EQ (w.state_of (id), "completed");
  EXPECT_EQ (w.starts (id + ".0.0.0"), 1);
  w.expect_no_violations ();
}

TEST (QueueRestart, SuccessorThatHearsTheNewProcessWaitsForItsLease)
{
  SilentRestart r (2);

  r.start_on_new_process ();
  r.w.kill_host (r.scheduler);
  for (int i = 0; i < 6000 && !r.w.count_lines ("event=adopted"); i++)
    r.w.run (1);
  ASSERT_EQ (r.w.count_lines ("event=adopted"), 1);
  r.w.run (300);
  r.cut_off ();
  r.expect_run_once_at_a_time ();
}

TEST (QueueRestart, LostStartIsNotRepeatedByAReadingFromBeforeIt)
{
  SilentRestart r (2);

  r.w.workers[0].unreachable_until = r.w.now () + 400;
  r.w.submit (r.scheduler, one_task ("0000000000000502", "ms=9900"));
  for (int i = 0; i < 2000 && !r.w.workers[0].runs.count (r.task); i++)
    r.w.run (1);
  r.w.kill_host (r.scheduler);
  r.cut_off ();
  r.w.run (25000);
  r.w.expect_no_violations ();
}

/* The hold that would tell of the process waits at the one before. */
TEST (QueueRestart, AnswerThatShowsANewProcessHoldsOtherStartsBack)
{
  SilentRestart r (1);

  r.w.workers[0].capacity.accelerators = 1;
  r.start_on_new_process ();
  ASSERT_FALSE (r.w.has_violation ("LIMIT"));
  r.w.run (20);
  ASSERT_GE (r.w.count_lines ("event=worker_clock_back"), 1);
  r.w.submit (r.scheduler, one_task ("0000000000000503", "ms=1000"));
  r.w.run (1000);
  r.w.put_worker (0);
  r.w.run (2000);
  r.w.expect_no_violations ();
}
