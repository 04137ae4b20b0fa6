#include "queue_world.h"

#include <gtest/gtest.h>

/* Callers' questions at hosts that do not schedule: those follow no records,
   and read a job when they are asked about it. */

static std::string
id_of (int n)
{
  char id[17];

  g_snprintf (id, sizeof id, "%016x", n);
  return id;
}

static int
follower_of (const QueueWorld &w)
{
  return (w.scheduler () + 1) % (int)w.hosts.size ();
}

TEST (QueueQuestion, AnswerIsAsNewAsTheStore)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.submit (0, { "q1/" + id_of (1),
                 world_body (world_step (1, 1000, 1), "ms=1000") });
  int host = follower_of (w);
  int seen = 0;
  for (int i = 0; i < 100; i++)
    {
      int r = w.state (host, id_of (1));

      w.run (20);
      ASSERT_TRUE (w.answer (r));
      seen += w.answer (r)->text == "completed";
    }
  /* It runs for a second, and 100 ms are for its end to be stored. */
  EXPECT_GE (seen, 45);
  EXPECT_TRUE (w.violations.empty ());
}

TEST (QueueQuestion, CallsOfAFollowerDoNotGrowWithTheJobs)
{
  QueueWorld w (3, 4);

  w.run (3000);
  WorldHost &follower = w.hosts[follower_of (w)];
  int before = follower.n_store_calls;
  w.run (10000);
  int idle = follower.n_store_calls - before;
  before = follower.n_store_calls;
  for (int i = 0; i < 100; i++)
    {
      w.submit (w.scheduler (),
                { "q1/" + id_of (i), world_body (world_step (1, 1000, 1)) });
      w.run (100);
    }
  int busy = follower.n_store_calls - before;
  /* One more a second: how many jobs wait. */
  EXPECT_LE (busy, idle + 12);
}

TEST (QueueQuestion, HowManyWaitIsKnownEverywhere)
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

TEST (QueueQuestion, WithoutTheStoreTheLastStateIsTold)
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
  /* Of a job that it has never heard of it does not say that it is gone. */
  ASSERT_TRUE (w.answer (unknown));
  EXPECT_EQ (w.answer (unknown)->status, 503);
}

/* The line about a request tells how old the configuration was, on hosts that
   do not schedule, too. */
TEST (QueueQuestion, AcceptanceNamesTheAgeOfTheConfiguration)
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
  FAIL () << "no line about the acceptance";
}
