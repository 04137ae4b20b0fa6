#include "req_world.h"

#include <gtest/gtest.h>

/* Requests and upstreams that wait for a reply which never comes. */
namespace
{

/* Swallows the first N effects of KIND. */
std::function<bool (Node &, const Event &)>
swallow_first (EventKind kind, int n)
{
  auto left = std::make_shared<int> (n);

  return [kind, left] (Node &, const Event &e) {
    return e.kind == kind && (*left)-- > 0;
  };
}

TEST (ReqStanding, ProbeThatNeverEndsIsSentAgain)
{
  ReqWorld w (3, 1, 1);

  w.begin ();
  w.upstreams.at ("u1").down = true;
  w.swallow = swallow_first (FX_UPSTREAM_PROBE, 1);
  for (int i = 0; i < 5; i++)
    w.send ("h1", "", "early " + std::to_string (i), CLASS_NORMAL, "c1", 500);
  w.run (1000);
  w.upstreams.at ("u1").down = false;
  w.run (10000);
  gint64 conn = w.send ("h1", "", "late", CLASS_NORMAL, "c1", 5000);
  EXPECT_TRUE (w.ended (conn, 6000));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
  EXPECT_EQ (w.total (COUNT_PROBES_OVERDUE), 1);
}

/* KEY is empty for a request that may be repeated. */
struct ReqStandingAsk : testing::TestWithParam<const char *>
{
};

TEST_P (ReqStandingAsk, QuestionThatNeverEndsIsAskedAgain)
{
  ReqWorld w (3, 1, 2);

  w.begin ();
  for (auto &u : w.upstreams)
    u.second.hangs = true;
  w.swallow = swallow_first (FX_UPSTREAM_ASK, 1);
  gint64 conn = w.send ("h1", GetParam (), "body", CLASS_NORMAL, "c1", 60000);
  ASSERT_TRUE (w.ended (conn, 20000));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
  EXPECT_EQ (w.executions["body"], 1);
  EXPECT_EQ (w.total (COUNT_ASKS_OVERDUE), 1);
}

TEST_P (ReqStandingAsk, QuestionsThatNeverEndFreeTheSlot)
{
  ReqWorld w (3, 1, 1, 1);

  w.begin ();
  w.upstreams.at ("u1").hangs = true;
  w.swallow = swallow_first (FX_UPSTREAM_ASK, 1000);
  gint64 conn = w.send ("h1", GetParam (), "body", CLASS_NORMAL, "c1", 60000);
  EXPECT_TRUE (w.ended (conn, 61000));
  EXPECT_EQ (w.outcome (conn), OUTCOME_UNKNOWN);
  w.upstreams.at ("u1").hangs = false;
  gint64 next = w.send ("h1", "", "next", CLASS_NORMAL, "c1", 5000);
  EXPECT_TRUE (w.ended (next, 6000));
  EXPECT_EQ (w.outcome (next), OUTCOME_ANSWERED);
}

INSTANTIATE_TEST_SUITE_P (Kinds, ReqStandingAsk, testing::Values ("", "key"));

} // namespace
