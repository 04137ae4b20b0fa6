#include "fixture.h"

#include <gtest/gtest.h>

namespace
{

TEST (FixtureTest, ARequestGoesThroughANodeToItsCaller)
{
  World w (1);
  w.add_host ("h1", "d1");
  w.add_upstream ("u1", "d1");
  w.start ();
  w.load_table ("workspace,weight\nalpha,1\n");
  CallerRequest q = {};
  q.workspace = "alpha";
  q.repeatable = 1;
  gint64 conn = w.request ("h1", q, "hello");
  w.run (1000);
  const Reply *r = w.reply (conn);
  ASSERT_NE (r, nullptr);
  EXPECT_EQ (r->outcome, OUTCOME_ANSWERED);
  EXPECT_EQ (r->body, "answer to hello");
}

TEST (FixtureTest, TheStoreComparesRevisionsAndEndsLeases)
{
  FakeStore s;
  StoreReply r = {};
  StoreCall put = {};
  put.op = STORE_PUT;
  put.key = "k";
  StoreCall grant = {};
  grant.op = STORE_GRANT;
  grant.key = "";
  grant.lease_ms = 100;
  EXPECT_TRUE (s.apply (grant, 0, &r));
  put.lease = r.lease;
  EXPECT_TRUE (s.apply (put, 0, &r));
  EXPECT_EQ (r.status, STORE_OK);
  EXPECT_TRUE (s.apply (put, 50, &r));
  EXPECT_EQ (r.status, STORE_CONFLICT);
  s.expire (100);
  EXPECT_TRUE (s.keys.empty ());
  rec_clear (store_reply_desc (), &r);
}

} // namespace
