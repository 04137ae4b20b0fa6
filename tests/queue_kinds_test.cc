#include "queue_world.h"

#include <gtest/gtest.h>

/* What may happen to a deployment beside single failures: it grows, its
   configuration grows, callers move, hosts are restarted in turn. */

static std::string
nth (int base, int i)
{
  return std::to_string (base + i);
}

static void
submit_many (QueueWorld &w, int base, int n, const std::string &text)
{
  for (int i = 0; i < n; i++)
    w.submit (i % (int)w.hosts.size (),
              { "q1/" + nth (base, i),
                world_body (world_step (4, 16000, 2), text) });
}

static void
expect_completed (QueueWorld &w, int base, int n)
{
  for (int i = 0; i < n; i++)
    EXPECT_EQ (w.state_of (nth (base, i)), "completed") << i;
}

/* A quarter more workers come at once while the fleet is full: they are used
   within a second, and what runs goes on. */
TEST (QueueKinds, AQuarterMoreWorkersAreUsedAtOnce)
{
  const int n_old = 16;
  const int n_all = 20;
  QueueWorld w (2, n_all);
  size_t runs = 0;

  for (int i = n_old; i < n_all; i++)
    w.drop_worker_entry (i);
  w.run (3000);
  submit_many (w, 41000, 40, "ms=3000");
  w.run (1000);
  for (int i = n_old; i < n_all; i++)
    {
      EXPECT_TRUE (w.workers[i].runs.empty ());
      w.put_worker (i);
    }
  w.run (1000);
  for (int i = n_old; i < n_all; i++)
    runs += w.workers[i].runs.size ();
  EXPECT_GE (runs, 4U * (n_all - n_old));
  EXPECT_EQ (w.count_lines ("reason=evicted"), 0);
  w.run (20000);
  expect_completed (w, 41000, 40);
  w.expect_no_violations ();
}

/* A rack is lost for good: what ran there is run elsewhere, once. */
TEST (QueueKinds, ALostRackLosesNoJob)
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
more_routes (int n)
{
  std::string routes;

  for (int i = 0; i < n; i++)
    routes += ",{\"name\":\"idle" + std::to_string (i) +
              "\",\"host\":\"h.example\",\"prefix\":\"/idle" +
              std::to_string (i) + "/\",\"service\":\"render\",\"priority\":2}";
  return routes;
}

/* 1,400 routes more come with one configuration, and a token goes with the
   next: both are in force everywhere, also on hosts that start again. */
TEST (QueueKinds, AConfigurationOfManyRoutesIsInForce)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.put_conf (5, "key", more_routes (1400));
  w.run (1000);
  for (int host = 0; host < 3; host++)
    {
      int r = w.submit (host, { "idle1399/" + nth (43000, host),
                                world_body (world_step (1, 1000, 1)) });

      w.run (100);
      ASSERT_TRUE (w.answer (r));
      EXPECT_EQ (w.answer (r)->status, 200);
    }
  w.put_conf (7, "other", more_routes (1400));
  w.run (1000);
  w.kill_host (1);
  w.start_host (1);
  w.run (1000);
  for (int host = 0; host < 3; host++)
    {
      int r = w.submit (host, { "idle7/" + nth (43100, host),
                                world_body (world_step (1, 1000, 1)) });

      w.run (100);
      ASSERT_TRUE (w.answer (r));
      EXPECT_EQ (w.answer (r)->status, 401);
    }
}

/* Callers of one host move to another between two questions about their jobs,
   and hand the same job in again there. */
TEST (QueueKinds, CallersThatMoveFindTheirJobs)
{
  QueueWorld w (3, 8);

  w.run (3000);
  submit_many (w, 44000, 12, "ms=1000");
  w.run (300);
  for (int i = 0; i < 12; i++)
    {
      int host = (i + 1) % 3;
      int again =
          w.submit (host, { "q1/" + nth (44000, i),
                            world_body (world_step (4, 16000, 2), "ms=1000") });
      int state = w.state (host, nth (44000, i));

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

/* Every host is stopped and started in turn, twice, while jobs come. */
TEST (QueueKinds, RestartsInSeriesLoseNothing)
{
  const int n_hosts = 7;
  QueueWorld w (n_hosts, 12);
  int handed_in = 0;

  w.run (3000);
  for (int round = 0; round < 2 * n_hosts; round++)
    {
      int host = round % n_hosts;

      w.drain_host (host);
      w.run (600);
      w.kill_host (host);
      for (int i = 0; i < 2; i++)
        w.submit ((host + 1) % n_hosts,
                  { "q1/" + nth (45000, handed_in++),
                    world_body (world_step (4, 16000, 2), "ms=1500") });
      w.run (700);
      w.start_host (host);
    }
  w.run (15000);
  expect_completed (w, 45000, handed_in);
  EXPECT_EQ (w.n_starts (), 4 * handed_in);
  w.expect_no_violations ();
}
