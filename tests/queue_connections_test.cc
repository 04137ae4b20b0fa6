#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "call_limit.h"
}

/* Workers that accept few connections.  Each call in flight takes one, and an
   idle one counts until it is closed. */

static const int n_hosts = 3;
static const int n_workers = 4;

static void
limit_connections (QueueWorld &w, int max)
{
  for (WorldWorker &worker : w.workers)
    worker.max_connections = max;
}

/* Returns an urgent gang that fills all workers, eight tasks each. */
static WorldJob
full_gang (const std::string &id)
{
  return { "q0/" + id,
           world_body (world_step (8 * n_workers, 1000, 1, ",\"gang\":true"),
                       "ms=1500 gang=" + std::to_string (8 * n_workers)) };
}

/* Sends as many calls as L allows; returns how many. */
static int
send_all (CallLimit *l)
{
  int n = 0;

  for (; call_limit_allows (l); n++)
    call_limit_on_send (l);
  return n;
}

static void
refuse (CallLimit *l, ClockMs now)
{
  call_limit_on_reply (l, now, FALSE);
  call_limit_on_refusal (l, now);
}

TEST (QueueConnections, LimitFollowsWhatTheWorkerAccepts)
{
  CallLimit l;

  call_limit_init (&l);
  EXPECT_EQ (send_all (&l), 4);
  /* Each reply allows one more, until the worker accepts seven of nine. */
  for (int i = 0; i < 5; i++)
    {
      call_limit_on_reply (&l, 1000, TRUE);
      EXPECT_EQ (send_all (&l), 2) << i;
    }
  EXPECT_EQ (l.in_flight, 9U);
  refuse (&l, 1000);
  refuse (&l, 1000);
  EXPECT_EQ (l.max, 7U);
  EXPECT_FALSE (call_limit_allows (&l));
  call_limit_on_reply (&l, 1040, TRUE);
  EXPECT_TRUE (call_limit_allows (&l));
  EXPECT_EQ (l.max, 7U);
}

TEST (QueueConnections, HalfOfFewConnectionsIsLeftToOthers)
{
  CallLimit l;

  call_limit_init (&l);
  EXPECT_EQ (send_all (&l), 4);
  refuse (&l, 1000);
  refuse (&l, 1000);
  EXPECT_EQ (l.max, 2U);
  call_limit_on_reply (&l, 1040, TRUE);
  EXPECT_FALSE (call_limit_allows (&l));
  call_limit_on_reply (&l, 1040, TRUE);
  EXPECT_EQ (send_all (&l), 1);
}

TEST (QueueConnections, LimitIsNeverZeroAndRisesAgain)
{
  CallLimit l;
  ClockMs now = 1000;

  call_limit_init (&l);
  call_limit_on_send (&l);
  refuse (&l, now);
  EXPECT_TRUE (call_limit_is_single (&l));
  EXPECT_TRUE (call_limit_allows (&l));
  for (int i = 0; i < 60; i++)
    {
      now += 1000;
      send_all (&l);
      while (l.in_flight)
        call_limit_on_reply (&l, now, TRUE);
    }
  EXPECT_GT (l.max, 8U);
}

/* A worker that goes on refusing is tried less and less often. */
TEST (QueueConnections, RefusedTriesBecomeRare)
{
  CallLimit l;
  ClockMs now = 1000;
  int n_refused = 0;

  call_limit_init (&l);
  for (int i = 0; i < 120; i++)
    {
      now += 1000;
      for (int n = send_all (&l); n > 2; n--, n_refused++)
        refuse (&l, now);
      while (l.in_flight)
        call_limit_on_reply (&l, now, TRUE);
    }
  EXPECT_LT (n_refused, 30);
  EXPECT_LE (l.raise_pause, 60000);
}

TEST (QueueConnections, NoConnectionIsKeptWhereTheyAreScarce)
{
  CallLimit l;

  call_limit_init (&l);
  call_limit_on_send (&l);
  EXPECT_TRUE (call_limit_keeps_connection (&l, FALSE));
  /* Other workers have shown that they are scarce. */
  EXPECT_FALSE (call_limit_keeps_connection (&l, TRUE));
  call_limit_on_send (&l);
  refuse (&l, 1000);
  EXPECT_FALSE (call_limit_keeps_connection (&l, FALSE));
}

/* That a worker refuses and goes on answering shows that it accepts few; that
   it refuses alone may be its end. */
TEST (QueueConnections, OnlyLaterAnswersShowThatConnectionsAreScarce)
{
  CallLimit l;

  call_limit_init (&l);
  call_limit_on_send (&l);
  call_limit_on_send (&l);
  refuse (&l, 1000);
  EXPECT_FALSE (call_limit_is_scarce (&l));
  /* Sent before it refused, and heard later. */
  call_limit_on_answer (&l, 990);
  EXPECT_FALSE (call_limit_is_scarce (&l));
  call_limit_on_answer (&l, 1010);
  EXPECT_TRUE (call_limit_is_scarce (&l));
  call_limit_reset (&l);
  EXPECT_FALSE (call_limit_is_scarce (&l));
}

class FewConnections : public ::testing::TestWithParam<int>
{
};

/* A gang member without a connection was given up after four attempts within a
   fifth of a second, while the others waited for it. */
TEST_P (FewConnections, WideGangsStart)
{
  QueueWorld w (n_hosts, n_workers);

  limit_connections (w, GetParam ());
  w.run (3000);
  for (int i = 1; i <= 4; i++)
    {
      std::string id = "000000000000000" + std::to_string (i);

      w.submit (0, full_gang (id));
      w.run (4000);
      EXPECT_EQ (w.state_of (id), "completed") << i;
    }
  EXPECT_EQ (w.n_starts (), 4 * 8 * n_workers);
  w.expect_no_violations ();
}

/* A worker whose connections were all used for orders got no poll and was taken
   for silent. */
TEST_P (FewConnections, ManyStopsLeaveNoWorkerSilent)
{
  QueueWorld w (n_hosts, n_workers);

  limit_connections (w, GetParam ());
  w.run (3000);
  w.submit (0,
            { "q1/0000000000000001",
              world_body (world_step (8 * n_workers, 1000, 1), "ms=60000") });
  w.run (3000);
  int r = w.cancel (1, "0000000000000001");
  w.run (3000);
  EXPECT_EQ (w.answer (r)->status, 200);
  for (const WorldWorker &worker : w.workers)
    EXPECT_TRUE (worker.runs.empty ());
  EXPECT_EQ (w.count_lines ("event=worker_silent"), 0);
  w.expect_no_violations ();
}

/* The connections that a former scheduler kept open left none to its
   successor. */
TEST_P (FewConnections, FormerSchedulerClosesItsConnections)
{
  QueueWorld w (n_hosts, n_workers);

  limit_connections (w, GetParam ());
  w.run (3000);
  w.submit (0, full_gang ("0000000000000001"));
  w.run (4000);
  int former = w.scheduler ();
  w.hosts[former].store_refuses_until = w.now () + 20000;
  w.run (12000);
  ASSERT_NE (w.scheduler (), former);
  for (const WorldWorker &worker : w.workers)
    for (auto &c : worker.connections)
      EXPECT_NE (c.first.first, former) << worker.id;
  w.submit ((former + 1) % n_hosts, full_gang ("0000000000000002"));
  w.run (4000);
  EXPECT_EQ (w.state_of ("0000000000000002"), "completed");
  w.expect_no_violations ();
}

INSTANTIATE_TEST_SUITE_P (Caps, FewConnections, ::testing::Values (2, 4, 8));

/* Workers don't notice that a scheduler lost power, so its connections still
   count when the next one begins. */
TEST (QueueConnections, SchedulersThatLostPowerLeaveConnections)
{
  QueueWorld w (n_hosts, n_workers);

  limit_connections (w, 4);
  w.run (3000);
  for (int i = 1; i <= 3; i++)
    {
      std::string id = "000000000000000" + std::to_string (i);
      int scheduler = w.scheduler ();

      w.submit (scheduler, full_gang (id));
      w.run (5000);
      EXPECT_EQ (w.state_of (id), "completed") << i;
      w.kill_host (scheduler, true);
      w.run (10000);
      w.start_host (scheduler);
    }
  w.expect_no_violations ();
}

/* A crash was taken for a lack of connections, and all calls to all workers
   then made a new one. */
TEST (QueueConnections, CrashedWorkerLeavesConnectionsToOthersOpen)
{
  QueueWorld w (n_hosts, n_workers);

  limit_connections (w, 64);
  w.run (3000);
  w.submit (0,
            { "q1/0000000000000001",
              world_body (world_step (3 * n_workers, 20000, 1), "ms=60000") });
  w.run (200);
  w.crash_worker (0, false);
  w.reset_polls (0);
  w.run (1000);
  int before = w.n_connections;
  w.run (10000);
  EXPECT_LT (w.n_connections - before, 2 * n_workers);
}

/* One worker that takes few connections is no reason to close those to all. */
TEST (QueueConnections, OneIllWorkerLeavesConnectionsToOthersOpen)
{
  const int n = 16;
  QueueWorld w (n_hosts, n);

  limit_connections (w, 64);
  w.workers[0].max_connections = 2;
  w.run (3000);
  for (int i = 1; i <= 4; i++)
    {
      w.submit (0, { "q1/000000000000000" + std::to_string (i),
                     world_body (world_step (8 * n, 1000, 1), "ms=1000") });
      w.run (3000);
    }
  w.submit (0, { "q1/0000000000000005",
                 world_body (world_step (8 * n, 1000, 1), "ms=60000") });
  w.run (3000);
  int before = w.n_connections;
  w.run (10000);
  EXPECT_LT (w.n_connections - before, 10 * 10 + n);
}
