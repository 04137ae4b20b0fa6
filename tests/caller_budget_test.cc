#include <gtest/gtest.h>

#include <array>
#include <vector>

extern "C"
{
#include "caller_budget.h"
}

namespace
{

/* Connections of 10 bytes each that may hold 200 bytes, five at a time.  Those
   that have an owner have unread bytes. */
struct CallerBudgetOf : testing::Test
{
  CallerBudget b;
  std::array<CallerHold, 16> hold {};

  CallerBudgetOf ()
  {
    const CallerLimits limits = { 200, 5, 10 };

    caller_budget_init (&b, &limits, [] (const CallerHold *h) -> gboolean {
      return h->owner != nullptr;
    });
  }

  CallerHold *
  open (size_t i, ClockMs now)
  {
    caller_budget_open (&b, &hold[i], now);
    return &hold[i];
  }

  CallerHold *
  body (size_t i, gsize n, ClockMs now)
  {
    caller_budget_enter (&b, open (i, now), CALLER_BODY, 0, now);
    caller_budget_receive (&b, &hold[i], n, now);
    return &hold[i];
  }
};

// A slow caller without any load is served as before.
TEST_F (CallerBudgetOf, NothingIsClosedInsideTheLimits)
{
  CallerHold *slow = body (0, 100, 0);

  EXPECT_EQ (caller_budget_next (&b, slow, 1000000).action, CALLER_KEEP);
}

TEST_F (CallerBudgetOf, StalledBodyGivesWayToOneThatMakesProgress)
{
  CallerHold *stalled = body (0, 100, 0);
  CallerHold *quick = body (1, 100, 1000);
  CallerVerdict v = caller_budget_next (&b, quick, 1000);

  EXPECT_EQ (v.action, CALLER_CLOSE);
  EXPECT_EQ (v.hold, stalled);
  EXPECT_EQ (v.cause, CALLER_STALLED_BODY);
}

// A sender of single bytes would otherwise never count as stalled.
TEST_F (CallerBudgetOf, SingleBytesAreNoProgress)
{
  CallerHold *dripping = body (0, 100, 0);

  for (ClockMs now = 1; now < 50; now++)
    caller_budget_receive (&b, dripping, 1, now * 20);
  EXPECT_EQ (caller_budget_next (&b, body (1, 100, 1000), 1000).hold, dripping);
}

TEST_F (CallerBudgetOf, SlowBodyIsRefusedBeforeAQuickOne)
{
  CallerHold *slow = body (0, 100, 0);
  CallerVerdict v = caller_budget_next (&b, body (1, 100, 150), 150);

  EXPECT_EQ (v.action, CALLER_REFUSE);
  EXPECT_EQ (v.hold, slow);
}

TEST_F (CallerBudgetOf, BodyThatAsksIsRefusedWhereNoneIsSlower)
{
  body (0, 100, 0);
  CallerHold *asking = body (1, 100, 50);

  EXPECT_EQ (caller_budget_next (&b, asking, 50).hold, asking);
}

// "Not run" could not be said of it truly.
TEST_F (CallerBudgetOf, RequestThatIsWorkedOnIsNeverClosed)
{
  caller_budget_enter (&b, open (0, 0), CALLER_WAITING, 150, 0);
  CallerHold *asking = body (1, 100, 100000);
  CallerVerdict v = caller_budget_next (&b, asking, 100000);

  EXPECT_EQ (v.hold, asking);
  EXPECT_EQ (v.action, CALLER_REFUSE);
}

TEST_F (CallerBudgetOf, RequestIsRefusedBeforeItWaitsWhereNoRoomIsLeft)
{
  caller_budget_enter (&b, open (0, 0), CALLER_WAITING, 150, 0);
  CallerHold *asking = open (1, 0);

  caller_budget_enter (&b, asking, CALLER_WAITING, 90, 0);
  EXPECT_EQ (caller_budget_next (&b, asking, 0).action, CALLER_REFUSE);
}

TEST_F (CallerBudgetOf, AnswersThatNobodyReadsAreClosed)
{
  CallerHold *unread = open (0, 0);

  caller_budget_enter (&b, unread, CALLER_ANSWER, 150, 0);
  CallerVerdict v = caller_budget_next (&b, body (1, 100, 2000), 2000);
  EXPECT_EQ (v.hold, unread);
  EXPECT_EQ (v.cause, CALLER_UNREAD_ANSWER);
}

// A crowd that stays open must not shut new callers out.
TEST_F (CallerBudgetOf, LongestIdleConnectionGivesWayToANewOne)
{
  for (size_t i = 0; i < 6; i++)
    open (i, static_cast<ClockMs> (i));
  caller_budget_enter (&b, &hold[0], CALLER_WAITING, 0, 6);
  EXPECT_EQ (caller_budget_next (&b, &hold[5], 6).hold, &hold[1]);
}

// Callers between two calls paid for a crowd of bodies.
TEST_F (CallerBudgetOf, CrowdOfBodiesGivesWayBeforeAConnectionBetweenTwoCalls)
{
  open (0, 0);
  for (size_t i = 1; i < 5; i++)
    body (i, 10, 900 + static_cast<ClockMs> (i));
  CallerVerdict v = caller_budget_next (&b, open (5, 1000), 1000);

  EXPECT_EQ (v.hold, &hold[1]);
  EXPECT_EQ (v.cause, CALLER_SLOW_BODY);
}

TEST_F (CallerBudgetOf, CrowdThatSaysNothingGivesWayBeforeABody)
{
  body (0, 10, 900);
  for (size_t i = 1; i < 5; i++)
    open (i, 900);
  EXPECT_EQ (caller_budget_next (&b, open (5, 1000), 1000).hold, &hold[1]);
}

// Its caller has done its part.
TEST_F (CallerBudgetOf, ConnectionWhoseRequestHasArrivedIsPassedOver)
{
  for (size_t i = 0; i < 5; i++)
    open (i, static_cast<ClockMs> (i));
  hold[0].owner = hold[1].owner = this;
  EXPECT_EQ (caller_budget_next (&b, open (5, 10), 10).hold, &hold[2]);
}

TEST_F (CallerBudgetOf, LongestIdleIsClosedWhereRequestsHaveArrivedOnAll)
{
  for (size_t i = 0; i < 6; i++)
    open (i, static_cast<ClockMs> (i))->owner = this;
  EXPECT_EQ (caller_budget_next (&b, &hold[5], 10).hold, &hold[0]);
}

TEST_F (CallerBudgetOf, NothingIsLeftOfClosedCallers)
{
  for (size_t i = 0; i < 5; i++)
    body (i, 3000, 0);
  for (CallerHold &h : hold)
    if (h.owner == nullptr && h.bytes > 0)
      caller_budget_close (&b, &h);
  EXPECT_EQ (b.held, 0U);
  EXPECT_EQ (b.n_connections, 0U);
}

TEST_F (CallerBudgetOf, MemoryIsGivenBackOnceAfterALoad)
{
  body (0, 8 << 20, 0);
  EXPECT_FALSE (caller_budget_takes_trim (&b, 10));
  caller_budget_close (&b, &hold[0]);
  EXPECT_FALSE (caller_budget_takes_trim (&b, 20));
  EXPECT_TRUE (caller_budget_takes_trim (&b, 1020));
  EXPECT_FALSE (caller_budget_takes_trim (&b, 5000));
}

// The hosts' own descriptors and memory are left on the smallest and largest.
TEST (CallerBudgetLimits, FollowTheHostsMemoryAndDescriptors)
{
  CallerLimits small = caller_budget_limits ((gint64)160 << 20, 4100);
  CallerLimits large = caller_budget_limits ((gint64)512 << 20, 8192);
  CallerLimits unknown = caller_budget_limits (0, 0);

  EXPECT_EQ (small.bytes, 64U << 20);
  EXPECT_EQ (small.connections, 1228U);
  EXPECT_EQ (large.connections, 3000U);
  EXPECT_EQ (unknown.bytes, small.bytes);
  EXPECT_EQ (caller_budget_limits ((gint64)512 << 20, 4000).connections, 2900U);
  EXPECT_EQ (caller_budget_limits ((gint64)512 << 20, 400).connections, 100U);
}

} // namespace
