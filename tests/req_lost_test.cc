#include "invariants.h"

#include <gtest/gtest.h>

namespace
{

/* The upstream runs the request and its answer is lost; the answer is
   fetched by id, well before the deadline. */
TEST (ReqLost, ALostAnswerIsFetchedSoonAfterItIsThere)
{
  for (int repeatable : { 0, 1 })
    {
      World w (5);
      w.add_host ("h1", "d1");
      w.add_upstream ("u1", "d1").lose_permille = 1000;
      w.start ();
      invariants::watch (w);
      w.load_table ("workspace,weight\nalpha,1\n");
      CallerRequest q = {};
      q.workspace = "alpha";
      q.repeatable = repeatable;
      q.key = repeatable ? "" : "k";
      q.deadline_ms = 4000;
      gint64 conn = w.request ("h1", q, "body");
      ASSERT_TRUE (w.run_until ([&] { return w.reply (conn); }, 5000));
      EXPECT_EQ (w.reply (conn)->outcome, OUTCOME_ANSWERED);
      EXPECT_LT (w.now, 1000000 + 500);
      EXPECT_EQ (w.executions["body"], 1);
    }
}

} // namespace
