#include <algorithm>
#include <gtest/gtest.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "loop.h"
#include "step_budget.h"
}

/* A loop with readable pipes, which notes in which order they are served. */
class LoopTest : public ::testing::Test
{
protected:
  struct Pipe
  {
    LoopTest *test;
    int fds[2];
    LoopWatch *watch;
  };

  ~LoopTest () override
  {
    for (Pipe *p : pipes)
      {
        loop_unwatch (loop, p->watch);
        close (p->fds[0]);
        close (p->fds[1]);
        delete p;
      }
    loop_free (loop);
  }

  static void
  on_ready (void *owner, int events)
  {
    Pipe *p = (Pipe *)owner;

    (void)events;
    p->test->served.push_back (p->fds[0]);
    if (p->test->watches_anew)
      p->test->watch (p, true);
  }

  void
  watch (Pipe *p, bool bulk)
  {
    loop_unwatch (loop, p->watch);
    p->watch = loop_watch (loop, p->fds[0], APR_POLLIN, on_ready, p);
    if (bulk)
      loop_watch_set_bulk (p->watch);
  }

  /* Adds a pipe that stays readable; returns its descriptor. */
  int
  add_readable (bool bulk)
  {
    Pipe *p = new Pipe { this, {}, nullptr };

    EXPECT_EQ (pipe (p->fds), 0);
    EXPECT_EQ (write (p->fds[1], "x", 1), 1);
    watch (p, bulk);
    pipes.push_back (p);
    return p->fds[0];
  }

  Loop *loop = loop_new ();
  std::vector<Pipe *> pipes;
  std::vector<int> served;
  bool watches_anew = false; /* each pipe that is served, as libcurl does */
};

/* The answer to the role's renewal waited behind hundreds of answers of
   workers, and the role was lost. */
TEST_F (LoopTest, UrgentSocketsAreServedBeforeBulkOnes)
{
  int bulk[20];

  for (int &fd : bulk)
    fd = add_readable (true);
  int urgent = add_readable (false);
  loop_wait (loop, 0);
  EXPECT_EQ (loop_dispatch (loop, 5), 21U - 1);
  ASSERT_EQ (served.size (), 6U);
  EXPECT_EQ (served[0], urgent);
}

TEST_F (LoopTest, EachBulkSocketIsServedInTurn)
{
  const int n = 20;

  for (int i = 0; i < n; i++)
    add_readable (true);
  for (int step = 0; step < 4; step++)
    {
      loop_wait (loop, 0);
      loop_dispatch (loop, n / 4);
    }
  std::sort (served.begin (), served.end ());
  EXPECT_EQ (served.size (), (size_t)n);
  EXPECT_EQ (std::unique (served.begin (), served.end ()), served.end ());
}

/* A socket that is watched anew for the next call is not served before those
   that have waited since. */
TEST_F (LoopTest, SocketThatIsWatchedAnewOvertakesNone)
{
  const int n = 20;

  watches_anew = true;
  for (int i = 0; i < n; i++)
    add_readable (true);
  for (int step = 0; step < n; step++)
    {
      loop_wait (loop, 0);
      loop_dispatch (loop, 1);
    }
  std::sort (served.begin (), served.end ());
  EXPECT_EQ (std::unique (served.begin (), served.end ()), served.end ());
}

TEST (StepBudget, LongStepsTakeOnLessAndShortOnesMore)
{
  StepBudget b;

  step_budget_init (&b);
  guint first = b.pieces;
  step_budget_on_step (&b, 200, 2 * first);
  EXPECT_EQ (b.lag, 400);
  EXPECT_LT (b.pieces, first / 2);
  for (int i = 0; i < 100; i++)
    step_budget_on_step (&b, 100000, 2000);
  EXPECT_GT (b.pieces, 0U);
  /* A short step tells nothing if there was nothing more to do. */
  guint least = b.pieces;
  step_budget_on_step (&b, 1, least - 1);
  EXPECT_EQ (b.pieces, least);
  for (int i = 0; i < 100; i++)
    step_budget_on_step (&b, 1, 2000);
  EXPECT_GT (b.pieces, first);
}
