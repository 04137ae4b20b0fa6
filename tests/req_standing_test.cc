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

} // namespace
