#include "req_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "claim_event.h"
}

namespace
{

/* Every id that some upstream saw ran at most once. */
void
expect_once (ReqWorld &w)
{
  std::set<std::string> ids;
  for (auto &s : w.sent)
    ids.insert (s.request);
  for (auto &id : ids)
    if (id.compare (0, 2, "k-") == 0)
      {
        EXPECT_LE (w.executed (id), 1) << id;
      }
}

TEST (ReqOnceTest, AKeyIsClaimedBeforeTheFirstByteLeaves)
{
  ReqWorld w (1, 1, 2);
  w.begin ();
  size_t claims_at_send = 0;
  w.swallow = [&] (Node &, const Event &e) {
    if (e.kind == FX_UPSTREAM_SEND)
      claims_at_send = w.store.keys.size ();
    return false;
  };
  gint64 conn = w.send ("h1", "order-1", "b");
  ASSERT_TRUE (w.ended (conn));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
  EXPECT_EQ (claims_at_send, 1u);
}

TEST (ReqOnceTest, ASecondArrivalAtAnyHostGetsTheSameOutcome)
{
  ReqWorld w (2, 3, 2);
  w.begin ();
  w.upstreams.at ("u1").service_ms = w.upstreams.at ("u2").service_ms = 2000;
  gint64 a = w.send ("h1", "k", "body");
  gint64 b = w.send ("h1", "k", "body");
  gint64 d = w.send ("h2", "k", "body");
  w.run (500);
  gint64 e = w.send ("h3", "k", "body");
  w.run (20000);
  gint64 late = w.send ("h2", "k", "body");
  ASSERT_TRUE (w.ended (late));
  for (gint64 conn : { a, b, d, e, late })
    {
      ASSERT_NE (w.reply (conn), nullptr) << conn;
      EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
      EXPECT_EQ (w.reply (conn)->body, "answer to body");
    }
  EXPECT_EQ (w.sent.size (), 1u);
  gint64 asked = w.ask ("h3", EV_REQUEST_ASK, "alpha", "k");
  gint64 other = w.ask ("h3", EV_REQUEST_ASK, "beta", "k");
  ASSERT_TRUE (w.ended (asked) && w.ended (other));
  EXPECT_EQ (w.reply (asked)->body, "answer to body");
  EXPECT_EQ (w.reply (other)->status, 404);
}

TEST (ReqOnceTest, AKeyOfAnotherBodyOrWorkspaceIsAnotherRequest)
{
  ReqWorld w (3, 2, 2);
  w.begin ();
  gint64 a = w.send ("h1", "k", "one");
  ASSERT_TRUE (w.ended (a));
  gint64 b = w.send ("h2", "k", "two");
  gint64 d = w.send ("h2", "k", "two", CLASS_NORMAL, "c", 0, "beta");
  ASSERT_TRUE (w.ended (b) && w.ended (d));
  EXPECT_EQ (w.reply (b)->status, 422);
  EXPECT_EQ (w.outcome (b), OUTCOME_NOT_RUN);
  EXPECT_EQ (w.reply (d)->body, "answer to two");
}

TEST (ReqOnceTest, AClaimedRequestCostsTwoWritesAndNoOtherACall)
{
  ReqWorld w (11, 1, 2);
  w.begin ();
  auto before = w.store.calls;
  for (int i = 0; i < 20; i++)
    {
      ASSERT_TRUE (w.ended (w.send ("h1", "k" + std::to_string (i), "b")));
      ASSERT_TRUE (w.ended (w.send ("h1", "", "b")));
    }
  w.run (100);
  EXPECT_EQ (w.store.calls[STORE_PUT] - before[STORE_PUT], 40);
  EXPECT_EQ (w.store.calls[STORE_GRANT] - before[STORE_GRANT], 1);
  EXPECT_EQ (w.store.calls[STORE_GET], before[STORE_GET]);
}

TEST (ReqOnceTest, WithoutAKeyItIsRefused)
{
  ReqWorld w (3, 1, 1);
  w.begin ();
  CallerRequest q = {};
  q.token = q.caller = q.work_kind = q.key = "";
  q.workspace = "alpha";
  gint64 conn = w.request ("h1", q);
  EXPECT_EQ (w.reply (conn)->status, 400);
}

TEST (ReqOnceTest, AStoreThatIsAwayMeansNotRun)
{
  ReqWorld w (4, 1, 1);
  w.config ()->request_queue = 20;
  w.begin ();
  w.store.down = true;
  std::vector<gint64> conns;
  for (int i = 0; i < 10; i++)
    conns.push_back (w.send ("h1", "k" + std::to_string (i), "", CLASS_NORMAL,
                             "c", 3000));
  w.run (1000);
  gint64 other = w.send ("h1", "", "x"); /* needs no claim */
  ASSERT_TRUE (w.ended (other, 1000));
  EXPECT_EQ (w.outcome (other), OUTCOME_ANSWERED);
  EXPECT_GE (w.total (COUNT_REFUSED_STORE), 5); /* a quarter of 20 may wait */
  w.run (5000);
  for (gint64 c : conns)
    EXPECT_EQ (w.outcome (c), OUTCOME_NOT_RUN);
  EXPECT_EQ (w.sent.size (), 1u);
  EXPECT_FALSE (w.store.keys.size ());
}

TEST (ReqOnceTest, WaitsOutAShortOutageOfTheStore)
{
  ReqWorld w (5, 1, 1);
  w.begin ();
  w.store.down = true;
  gint64 conn = w.send ("h1", "k", "", CLASS_NORMAL, "c", 30000);
  w.run (4000);
  w.store.down = false;
  ASSERT_TRUE (w.ended (conn));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
}

TEST (ReqOnceTest, AnAnswerLostAfterTheWriteIsSettledByReadingBack)
{
  ReqWorld w (6, 2, 2);
  w.begin ();
  w.store.lose_answers = 3; /* the lease, the claim, the claim again */
  gint64 conn = w.send ("h1", "k", "b", CLASS_NORMAL, "c", 30000);
  ASSERT_TRUE (w.ended (conn));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
  EXPECT_EQ (w.sent.size (), 1u);
}

TEST (ReqOnceTest, ANotRunClaimIsWrittenBackAndMayBeClaimedAgain)
{
  ReqWorld w (7, 2, 1);
  w.begin ();
  gint64 first = w.send ("h1", "warm", "b"); /* the lease is there now */
  ASSERT_TRUE (w.ended (first));
  w.store.lose_answers = 1000;
  gint64 a = w.send ("h1", "k", "b", CLASS_NORMAL, "c", 2500);
  ASSERT_TRUE (w.ended (a));
  EXPECT_EQ (w.outcome (a), OUTCOME_NOT_RUN);
  w.store.lose_answers = 0;
  w.run (15000);
  gint64 b = w.send ("h2", "k", "b");
  ASSERT_TRUE (w.ended (b));
  EXPECT_EQ (w.outcome (b), OUTCOME_ANSWERED);
  expect_once (w);
}

TEST (ReqOnceTest, ABusyUpstreamIsReplacedAndTheClaimFollows)
{
  ReqWorld w (8, 2, 2);
  w.begin ();
  w.upstreams.at ("u1").slots = 0;
  for (int i = 0; i < 20; i++)
    {
      gint64 c = w.send (i % 2 ? "h1" : "h2", "k" + std::to_string (i));
      ASSERT_TRUE (w.ended (c));
      EXPECT_EQ (w.outcome (c), OUTCOME_ANSWERED);
    }
  EXPECT_GT (w.total (COUNT_REPLACED), 0);
  expect_once (w);
}

TEST (ReqOnceTest, AnAnswerLostByTheUpstreamIsAskedForById)
{
  ReqWorld w (9, 1, 1);
  w.begin ();
  w.upstreams.at ("u1").lose_permille = 1000;
  w.upstreams.at ("u1").service_ms = 3000;
  gint64 c = w.send ("h1", "k", "b");
  ASSERT_TRUE (w.ended (c));
  EXPECT_EQ (w.reply (c)->body, "answer to b");
  EXPECT_EQ (w.sent.size (), 1u);
}

TEST (ReqOnceTest, WhatIsUnknownAtTheDeadlineCanBeLearntLater)
{
  ReqWorld w (10, 2, 1);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 20000;
  gint64 a = w.send ("h1", "k", "b", CLASS_NORMAL, "c", 1000);
  ASSERT_TRUE (w.ended (a));
  EXPECT_EQ (w.outcome (a), OUTCOME_UNKNOWN);
  w.run (30000);
  gint64 b = w.send ("h2", "k", "b");
  ASSERT_TRUE (w.ended (b));
  EXPECT_EQ (w.reply (b)->body, "answer to b");
  EXPECT_EQ (w.sent.size (), 1u);
}

/* The host is killed just before or just after it carries out its Nth
   effect for one claimed request; another host then gets the same one. */
class ReqKillTest : public testing::TestWithParam<int>
{
};

TEST_P (ReqKillTest, AtNoStepDoesItRunTwiceOrGetLost)
{
  int step = GetParam () / 2;
  bool carried_out = GetParam () % 2;
  ReqWorld w (static_cast<guint32> (100 + GetParam ()), 2, 2);
  w.begin ();
  int seen = 0;
  bool dead = false;
  w.swallow = [&] (Node &n, const Event &e) {
    if (n.name != "h1" || event_is_message (e.kind) || e.kind == FX_NOTE)
      return false;
    if (dead)
      return true;
    if (seen++ < step)
      return false;
    dead = true;
    w.at (w.now, [&] { w.kill ("h1"); });
    return !carried_out;
  };
  gint64 a = w.send ("h1", "k", "b");
  w.run (20);
  gint64 b = w.send ("h2", "k", "b", CLASS_NORMAL, "c", 100000);
  w.run (110000);
  gint64 late = w.send ("h2", "k", "b", CLASS_NORMAL, "c", 60000);
  w.run (70000);
  ASSERT_NE (w.reply (b), nullptr);
  ASSERT_NE (w.reply (late), nullptr);
  int ran = w.executed (w.reply (b)->id);
  EXPECT_LE (ran, 1);
  for (gint64 conn : { a, b, late })
    if (w.reply (conn))
      {
        Outcome o = w.outcome (conn);
        EXPECT_EQ (o, ran ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN);
      }
}

INSTANTIATE_TEST_SUITE_P (Steps, ReqKillTest, testing::Range (0, 12));

/* Random callers, keys and faults of store, hosts and upstreams. */
class ReqChaosTest : public testing::TestWithParam<int>
{
};

void
schedule_faults (ReqWorld &w)
{
  for (int t = 0; t < 60000; t += 2000)
    w.at (w.now + t, [&] {
      std::string host = "h" + std::to_string (1 + w.random (3));
      FakeUpstream &u =
          w.upstreams.at ("u" + std::to_string (1 + w.random (4)));
      switch (w.random (9))
        {
        case 0:
          w.store.down = !w.store.down;
          break;
        case 1:
          w.store.lose_answers = 5;
          break;
        case 2:
          w.store.silent = !w.store.silent;
          break;
        case 3:
          w.kill (host);
          w.at (w.now + 500, [&w, host] {
            w.restart (host);
            w.load_table ("workspace,weight\nalpha,1\nbeta,1\n");
          });
          break;
        case 4:
          u.lose_permille = 300;
          break;
        case 5:
          u.hangs = !u.hangs;
          break;
        case 6:
          u.down = !u.down;
          break;
        case 7:
          u.service_ms = 1 + w.random (8000);
          break;
        default:
          w.store.down = w.store.silent = false;
          u.lose_permille = 0;
          u.hangs = u.down = false;
          u.service_ms = 20;
        }
    });
}

TEST_P (ReqChaosTest, NothingRunsTwiceAndNotRunIsTrue)
{
  ReqWorld w (static_cast<guint32> (GetParam ()), 3, 4, 4);
  struct Call
  {
    std::string host, key;
    ClockMs at;
  };
  std::map<gint64, Call> calls;
  w.begin ();
  schedule_faults (w);
  for (int i = 0; i < 600; i++)
    w.at (w.now + 100 * i, [&] {
      std::string host = "h" + std::to_string (1 + w.random (3));
      std::string key = "k" + std::to_string (w.random (150));
      if (w.nodes.at (host).core)
        calls[w.send (host, key, "of " + key, CLASS_NORMAL, "c",
                      500 + w.random (20000))] = { host, key, w.now };
    });
  w.run (60000);
  w.store.down = w.store.silent = false;
  for (auto &u : w.upstreams)
    u.second.down = u.second.hangs = false;
  w.run (120000);
  expect_once (w);
  int answered = 0;
  for (auto &r : w.replies)
    {
      const Call &call = calls.at (r.conn);
      answered += r.outcome == OUTCOME_ANSWERED;
      if (r.outcome == OUTCOME_ANSWERED)
        {
          EXPECT_EQ (r.body, "answer to of " + call.key);
        }
      if (r.outcome != OUTCOME_NOT_RUN)
        continue;
      for (auto &s : w.sent)
        {
          bool mine = s.request == r.id && s.host == call.host &&
                      s.at >= call.at && s.at <= r.at;
          EXPECT_FALSE (mine && s.ran) << r.id << " by " << r.host;
        }
    }
  EXPECT_GT (answered, 30); /* the faults leave little time without one */
}

INSTANTIATE_TEST_SUITE_P (Seeds, ReqChaosTest, testing::Range (1, 41));

} // namespace
