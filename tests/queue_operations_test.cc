#include "queue_world.h"

#include <gtest/gtest.h>

/* Changes to a deployment beyond single failures: more workers, a lost rack, a
   large configuration, callers that move to another host, rolling restarts. */

static std::string
job_id (int base, int i)
{
  return std::to_string (base + i);
}

static void
submit_many (QueueWorld &w, int base, int n, const std::string &text)
{
  for (int i = 0; i < n; i++)
    w.submit (i % (int)w.hosts.size (),
              { "q1/" + job_id (base, i),
                world_body (world_step (4, 16000, 2), text) });
}

static void
expect_completed (QueueWorld &w, int base, int n)
{
  for (int i = 0; i < n; i++)
    EXPECT_EQ (w.state_of (job_id (base, i)), "completed") << i;
}

/* The number of workers grows by a quarter at once while all are busy.  The new
   ones get tasks within a second, and no running task is evicted. */
TEST (QueueOperations, NewWorkersAreUsedWithinASecond)
{
  const int n_initial = 16;
  const int n_workers = 20;
  QueueWorld w (2, n_workers);
  size_t n_runs = 0;

  for (int i = n_initial; i < n_workers; i++)
    w.drop_worker_entry (i);
  w.run (3000);
  submit_many (w, 41000, 40, "ms=3000");
  w.run (1000);
  for (int i = n_initial; i < n_workers; i++)
    {
      EXPECT_TRUE (w.workers[i].runs.empty ());
      w.put_worker (i);
    }
  w.run (1000);
  for (int i = n_initial; i < n_workers; i++)
    n_runs += w.workers[i].runs.size ();
  EXPECT_GE (n_runs, 4U * (n_workers - n_initial));
  EXPECT_EQ (w.count_lines ("reason=evicted"), 0);
  w.run (20000);
  expect_completed (w, 41000, 40);
  w.expect_no_violations ();
}

/* All jobs complete although the four workers of rack r1 fail for good.  Their
   entries remain for 4.5 s: until then they are listed but don't answer. */
TEST (QueueOperations, LostRackLosesNoJob)
{
  QueueWorld w (2, 12);

  w.run (3000);
  submit_many (w, 42000, 12, "ms=3000");
  w.run (1000);
  for (int i = 4; i < 8; i++)
    w.crash_worker (i, true);
  w.run (4500);
  for (int i = 4; i < 8; i++)
    w.drop_worker_entry (i);
  w.run (25000);
  expect_completed (w, 42000, 12);
  w.expect_no_violations ();
}

static std::string
extra_routes (int n)
{
  std::string routes;

  for (int i = 0; i < n; i++)
    routes += ",{\"name\":\"idle" + std::to_string (i) +
              "\",\"host\":\"h.example\",\"prefix\":\"/idle" +
              std::to_string (i) + "/\",\"service\":\"render\",\"priority\":2}";
  return routes;
}

/* A configuration adds 1,400 routes, and a second later every host accepts jobs
   for the last of them.  The next one replaces the token, and two seconds later
   every host refuses the old token, also one that was restarted in between. */
TEST (QueueOperations, ConfigurationWithManyRoutesTakesEffect)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.put_conf (5, "key", extra_routes (1400));
  w.run (1000);
  for (int host = 0; host < 3; host++)
    {
      int r = w.submit (host, { "idle1399/" + job_id (43000, host),
                                world_body (world_step (1, 1000, 1)) });

      w.run (100);
      ASSERT_TRUE (w.answer (r));
      EXPECT_EQ (w.answer (r)->status, 200);
    }
  w.put_conf (7, "other", extra_routes (1400));
  w.run (1000);
  w.kill_host (1);
  w.start_host (1);
  w.run (1000);
  for (int host = 0; host < 3; host++)
    {
      int r = w.submit (host, { "idle7/" + job_id (43100, host),
                                world_body (world_step (1, 1000, 1)) });

      w.run (100);
      ASSERT_TRUE (w.answer (r));
      EXPECT_EQ (w.answer (r)->status, 401);
    }
}

/* Callers switch to another host after a submission.  There they submit the
   same job again and ask for its state. */
TEST (QueueOperations, CallersFindTheirJobsAtAnotherHost)
{
  QueueWorld w (3, 8);

  w.run (3000);
  submit_many (w, 44000, 12, "ms=1000");
  w.run (300);
  for (int i = 0; i < 12; i++)
    {
      int host = (i + 1) % 3;
      int again =
          w.submit (host, { "q1/" + job_id (44000, i),
                            world_body (world_step (4, 16000, 2), "ms=1000") });
      int state = w.state (host, job_id (44000, i));

      w.run (50);
      ASSERT_TRUE (w.answer (again) && w.answer (state));
      EXPECT_EQ (w.answer (again)->status, 200);
      EXPECT_EQ (w.answer (state)->status, 200);
    }
  w.run (12000);
  expect_completed (w, 44000, 12);
  EXPECT_EQ (w.n_starts (), 48);
  w.expect_no_violations ();
}

/* What a stopping host answers to a write that the store has carried out, or
   still may. */
TEST (QueueOperations, StoppingHostDoesNotRefuseAWriteThatWasSent)
{
  for (int wait = 0; wait < 12 && !HasFailure (); wait++)
    {
      QueueWorld w (2, 2, (unsigned)wait + 1);
      const std::string id = job_id (47000, wait);

      SCOPED_TRACE (wait);
      w.run (3000);
      int host = 1 - w.scheduler ();

      w.store_reply_loss_rate = 1;
      int submitted =
          w.submit (host, { "q1/" + id, world_body (world_step (2, 1000, 1)) });
      w.run (wait * 50);
      w.stop_host (host);
      w.store_reply_loss_rate = 0;
      ASSERT_TRUE (w.answer (submitted));
      EXPECT_EQ (w.answer (submitted)->status, 504);
      w.run (5000);
      EXPECT_EQ (w.state_of (id), "completed");
      w.expect_no_violations ();
    }
}

/* Two rolling restarts of all hosts while jobs are submitted. */
TEST (QueueOperations, RollingRestartLosesNoJob)
{
  const int n_hosts = 7;
  QueueWorld w (n_hosts, 12);
  int n_submitted = 0;

  w.run (3000);
  for (int round = 0; round < 2 * n_hosts; round++)
    {
      int host = round % n_hosts;

      w.drain_host (host);
      w.run (600);
      w.kill_host (host);
      for (int i = 0; i < 2; i++)
        w.submit ((host + 1) % n_hosts,
                  { "q1/" + job_id (45000, n_submitted++),
                    world_body (world_step (4, 16000, 2), "ms=1500") });
      w.run (700);
      w.start_host (host);
    }
  w.run (15000);
  expect_completed (w, 45000, n_submitted);
  EXPECT_EQ (w.n_starts (), 4 * n_submitted);
  w.expect_no_violations ();
}

/* A stop that takes its full time must be reported before its worker leaves,
   here of a run that seemed to end in time. */
TEST (QueueOperations, RunsOnALeavingWorkerAreStoppedEarlyEnoughToReport)
{
  QueueWorld w (2, 1);

  w.bounds.stop = 400;
  for (int i = 0; i < 2; i++)
    {
      w.kill_host (i);
      w.start_host (i);
    }
  w.run (9000);
  w.workers[0].progress_factor = 3;
  w.submit (0, { "q1/00000000000000f1",
                 world_body (world_step (1, 1000, 0), "ms=6000") });
  w.run (500);
  ASSERT_EQ (w.workers[0].runs.size (), 1u);
  w.drain_worker (0);
  w.run (1800);
  EXPECT_EQ (w.workers[0].runs.size (), 1u);
  w.run (350);
  EXPECT_EQ (w.workers[0].runs.size (), 0u);
}
