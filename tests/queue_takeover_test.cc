#include "queue_world.h"

#include <gtest/gtest.h>

#include <algorithm>

/* How long a new scheduler keeps jobs waiting for leases that a former one may
   have given to workers that don't answer. */

namespace
{
/* The role's lease and the claim, the former scheduler's grace, and a normal
   lease with its margin. */
const ClockMs takeover_ms = 2500 + 2000 + 5775;

WorldJob
job_of (int id, const std::string &step, const std::string &text)
{
  return { "q1/" + std::to_string (id), world_body (step, text) };
}

/* Submits a job that the dead scheduler may have started anywhere: it is left
   waiting, as it needs a whole worker and all are in use. */
void
submit_waiting (QueueWorld &w, int host)
{
  w.submit (host, job_of (520000, world_step (1, 64000, 8), "ms=1000"));
}

int
other_host (const QueueWorld &w)
{
  return w.scheduler () == 0 ? 1 : 0;
}

/* Occupies three workers, each with a task of 8 accelerators. */
void
fill (QueueWorld &w, const std::string &text)
{
  w.submit (other_host (w), job_of (510000, world_step (3, 64000, 8), text));
  w.run (500);
}

void
lose_worker (QueueWorld &w, int worker)
{
  w.crash_worker (worker, false);
  w.workers[worker].unreachable_until = CLOCK_NEVER;
}
}

TEST (QueueTakeover, RecordedLongTasksDoNotLengthenTheWaitForNormalLeases)
{
  QueueWorld w (3, 3);

  w.run (3000);
  w.submit (other_host (w),
            job_of (500000, world_step (1, 1000, 0, ",\"estimateMs\":90000"),
                    "ms=300"));
  w.run (1000);
  ASSERT_EQ (w.state_of ("500000"), "completed");
  fill (w, "ms=1500");
  submit_waiting (w, other_host (w));
  w.run (300);
  lose_worker (w, 0);
  w.kill_host (w.scheduler ());
  w.run (takeover_ms);
  EXPECT_EQ (w.starts ("520000.0.0.0"), 1);
  w.run (10000);
  EXPECT_EQ (w.state_of ("510000"), "completed");
  w.expect_no_violations ();
}

TEST (QueueTakeover, SecondChangeDoesNotBeginTheWaitAnew)
{
  QueueWorld w (3, 3);

  w.run (3000);
  fill (w, "ms=9000");
  submit_waiting (w, other_host (w));
  w.run (300);
  lose_worker (w, 0);
  w.kill_host (w.scheduler ());
  w.run (6500);
  ASSERT_GE (w.scheduler (), 0);
  w.kill_host (w.scheduler ());
  w.run (takeover_ms - 6500);
  EXPECT_EQ (w.starts ("520000.0.0.0"), 1);
  w.run (20000);
  EXPECT_EQ (w.state_of ("510000"), "completed");
  w.expect_no_violations ();
}

/* A worker that was recorded as silent answers just before the next change,
   when the store hears no more of the scheduler. */
TEST (QueueTakeover, WorkerThatAnswersLateGetsNoLeaseBeforeItIsRecorded)
{
  for (ClockMs late = 0; late < 2000 && !HasFailure (); late += 50)
    {
      QueueWorld w (3, 4, 1 + (unsigned)late);

      SCOPED_TRACE (late);
      w.run (3000);
      fill (w, "ms=30000");
      WorldWorker &o = *std::find_if (w.workers.begin (), w.workers.end (),
                                      [] (const WorldWorker &x) {
                                        return !x.runs.empty ();
                                      });

      o.unreachable_until = w.now () + 3500;
      w.kill_host (w.scheduler ());
      w.run (3450);
      ASSERT_GE (w.scheduler (), 0);
      w.hosts[w.scheduler ()].store_silent_until = w.now () + 5000;
      w.run (50 + late);
      ASSERT_GE (w.scheduler (), 0);
      w.kill_host (w.scheduler ());
      o.unreachable_until = w.now () + 20000;
      w.run (60000);
      EXPECT_EQ (w.state_of ("510000"), "completed");
      w.expect_no_violations ();
    }
}

/* The worker of a long task gets its long lease only once that is recorded. */
TEST (QueueTakeover, LongLeaseIsWaitedFor)
{
  for (ClockMs at = 13500; at < 16500 && !HasFailure (); at += 100)
    {
      QueueWorld w (3, 2, 1 + (unsigned)at);
      const std::string step =
          world_step (1, 64000, 8, ",\"estimateMs\":90000");

      SCOPED_TRACE (at);
      w.run (3000);
      w.submit (other_host (w), job_of (530000, step, "ms=40000"));
      w.run (at);
      for (WorldWorker &o : w.workers)
        if (o.runs.count ("530000.0.0.0"))
          o.unreachable_until = w.now () + 30000;
      w.drain_host (w.scheduler ());
      w.run (70000);
      EXPECT_EQ (w.state_of ("530000"), "completed");
      w.expect_no_violations ();
    }
}

/* Workers that are taken away at short notice have been emptied in time; the
   scheduler is killed before their entries are gone for long. */
TEST (QueueTakeover, EmptiedWorkersThatHaveLeftAreNotWaitedFor)
{
  QueueWorld w (3, 5);

  w.run (3000);
  fill (w, "ms=3500");
  w.run (200);
  for (int i = 0; i < 2; i++)
    w.drain_worker (i);
  w.run (2400);
  submit_waiting (w, other_host (w));
  w.run (300);
  for (int i = 0; i < 2; i++)
    {
      w.drop_worker_entry (i);
      lose_worker (w, i);
    }
  w.kill_host (w.scheduler ());
  w.run (takeover_ms - 5775);
  EXPECT_EQ (w.starts ("520000.0.0.0"), 1);
  w.run (30000);
  EXPECT_EQ (w.state_of ("510000"), "completed");
  w.expect_no_violations ();
}
