#include "queue_world.h"

#include <gtest/gtest.h>

/* Queries of callers at followers, hosts that do not schedule.  A follower does
   not watch the job records; it reads a job when a caller asks for it. */

static std::string
id_of (int n)
{
  char id[17];

  g_snprintf (id, sizeof id, "%016x", n);
  return id;
}

/* Returns the index of a host that does not schedule. */
static int
follower_of (const QueueWorld &w)
{
  return (w.scheduler () + 1) % (int)w.hosts.size ();
}

TEST (QueueStateQuery, FollowerAnswersWithTheLatestState)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/" + id_of (1),
                 world_body (world_step (1, 1000, 1), "ms=1000") });
  int host = follower_of (w);
  int n_completed = 0;
  for (int i = 0; i < 100; i++)
    {
      int r = w.state (host, id_of (1));

      w.run (20);
      ASSERT_TRUE (w.answer (r));
      n_completed += w.answer (r)->text == "completed";
    }
  /* Of two seconds of queries, one passes while the job runs, and up to 100 ms
     until its end is stored. */
  EXPECT_GE (n_completed, 45);
  EXPECT_TRUE (w.violations.empty ());
}

TEST (QueueStateQuery, StoreCallsOfAFollowerDoNotGrowWithTheJobs)
{
  QueueWorld w (3, 4);

  w.run (3000);
  WorldHost &follower = w.hosts[follower_of (w)];
  int calls_before = follower.n_store_calls;
  w.run (10000);
  int idle_calls = follower.n_store_calls - calls_before;
  calls_before = follower.n_store_calls;
  for (int i = 0; i < 100; i++)
    {
      w.submit (w.scheduler (),
                { "q1/" + id_of (i), world_body (world_step (1, 1000, 1)) });
      w.run (100);
    }
  int busy_calls = follower.n_store_calls - calls_before;
  /* One more call a second, which reads the number of waiting jobs. */
  EXPECT_LE (busy_calls, idle_calls + 12);
}

TEST (QueueStateQuery, EveryHostKnowsTheNumberOfWaitingJobs)
{
  QueueWorld w (3, 2);

  w.run (3000);
  for (int i = 0; i < 5; i++)
    w.submit (i % 3,
              { "q1/" + id_of (i), world_body (world_step (1, 1000, 9)) });
  w.run (2000);
  for (int host = 0; host < 3; host++)
    {
      int r = w.waiting (host);

      w.run (20);
      EXPECT_EQ (w.answer (r)->status, 200);
      EXPECT_EQ (w.answer (r)->number, 5);
    }
  w.kill_host (w.scheduler ());
  w.run (4000);
  w.submit (w.scheduler (),
            { "q1/" + id_of (5), world_body (world_step (1, 1000, 9)) });
  w.run (2000);
  int r = w.waiting (w.scheduler ());
  w.run (20);
  EXPECT_EQ (w.answer (r)->number, 6);
}

TEST (QueueStateQuery, LastKnownStateIsReportedDuringAStoreOutage)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/" + id_of (1),
                 world_body (world_step (1, 1000, 1), "ms=20000") });
  w.run (1000);
  int host = follower_of (w);
  w.state (host, id_of (1));
  w.run (100);
  w.hosts[host].store_refuses_until = w.now () + 3000;
  int known = w.state (host, id_of (1));
  int unknown = w.state (host, id_of (2));
  w.run (3200);
  ASSERT_TRUE (w.answer (known));
  EXPECT_EQ (w.answer (known)->text, "running");
  /* A job that the host has never read may exist, so it is not reported as
     gone. */
  ASSERT_TRUE (w.answer (unknown));
  EXPECT_EQ (w.answer (unknown)->status, 503);
}

/* The log line for an accepted job has the age of the configuration, on
   followers too. */
TEST (QueueStateQuery, AcceptanceIsLoggedWithTheAgeOfTheConfiguration)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (follower_of (w),
            { "q1/" + id_of (1), world_body (world_step (1, 1000, 1)) });
  w.run (500);
  for (auto &line : w.lines)
    {
      size_t at = line.find ("conf_age_ms=");

      if (line.find ("event=job_accepted") == std::string::npos)
        continue;
      ASSERT_NE (at, std::string::npos);
      EXPECT_LT (atoll (line.c_str () + at + 12), 2000) << line;
      return;
    }
  FAIL () << "no log line for the acceptance";
}
