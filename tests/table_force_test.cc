#include <gtest/gtest.h>

#include "fixture.h"
#include "shared.h"

namespace
{

TEST (TableForce, NothingIsServedWithoutATable)
{
  SharedWorld w (1, 2, 2);
  w.start ();
  w.run (3000);
  EXPECT_EQ (w.revision ("d0h0"), 0);
  EXPECT_EQ (table_find (w.core ("d0h0"), "a"), nullptr);
}

TEST (TableForce, AnEditIsInForceEverywhereWithinFourSeconds)
{
  SharedWorld w (1, 2, 4);
  w.start ();
  w.run (3000);
  gint64 conn = w.edit ("d1h2", "e1", 0, "workspace,weight\na,3\n");
  EXPECT_TRUE (w.run_until ([&] { return w.all_at (1); }, 4000));
  ASSERT_NE (w.reply (conn), nullptr);
  EXPECT_EQ (w.reply (conn)->status, 200);
  EXPECT_EQ (table_find (w.core ("d0h0"), "a")->weight, 3);
  w.run (3000);
  EXPECT_TRUE (w.in_force ("d0h3"));
}

} // namespace
