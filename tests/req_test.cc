#include "req_world.h"

#include <gtest/gtest.h>

namespace
{

/* Every reply carries the body that its caller sent, and none is given
   twice. */
void
expect_own_answers (ReqWorld &w)
{
  std::set<gint64> seen;
  for (auto &r : w.replies)
    {
      EXPECT_TRUE (seen.insert (r.conn).second) << "two replies to " << r.conn;
      if (r.outcome == OUTCOME_ANSWERED)
        {
          EXPECT_EQ (r.body, "answer to " + w.sent_bodies[r.conn]);
        }
    }
}

UpstreamReply
reply_to (const ReqWorld::Sent &s, UpstreamResult result, GBytes *body)
{
  UpstreamReply r = {};
  r.upstream = s.upstream.c_str ();
  r.request = s.request.c_str ();
  r.attempt = s.attempt;
  r.result = result;
  r.status = result == UPSTREAM_ANSWERED ? 200 : 500;
  r.body = body;
  return r;
}

/* Replies come late, twice and out of order. */
class ReqOrderTest : public testing::TestWithParam<int>
{
};

TEST_P (ReqOrderTest, AnswersGoToTheirOwnCallerOnce)
{
  ReqWorld w (static_cast<guint32> (GetParam ()), 2, 3);
  w.begin ();
  for (auto &u : w.upstreams)
    {
      u.second.lose_permille = 100;
      u.second.service = [&] (const UpstreamSend &) {
        return ClockMs (1 + w.random (9000));
      };
    }
  w.swallow = [&] (Node &n, const Event &e) {
    if (e.kind != FX_UPSTREAM_SEND || w.random (4))
      return false;
    /* the same answer once more, at some later time */
    ReqWorld::Sent s = w.sent.back ();
    std::string body = "answer to " + w.sent_bodies[w.conns];
    std::string host = n.name;
    ClockMs later = w.now + w.random (12000);
    auto *call = static_cast<UpstreamSend *> (e.body);
    GBytes *copy = call->body ? g_bytes_ref (call->body) : nullptr;
    w.at (later, [&w, s, host, copy] {
      if (w.upstreams.at (s.upstream).executed[s.request])
        {
          gsize len = 0;
          auto *p =
              static_cast<const char *> (copy ? g_bytes_get_data (copy, &len)
                                              : nullptr);
          std::string text = "answer to " + std::string (p ? p : "", len);
          GBytes *b = g_bytes_new (text.data (), text.size ());
          UpstreamReply r = reply_to (s, UPSTREAM_ANSWERED, b);
          w.feed (host, EV_UPSTREAM_REPLY, &r);
          g_bytes_unref (b);
        }
      if (copy)
        g_bytes_unref (copy);
    });
    return false;
  };
  for (int i = 0; i < 200; i++)
    w.at (w.now + 50 * i, [&w, i] {
      w.send (i % 2 ? "h1" : "h2", "", "body " + std::to_string (i));
    });
  w.run (120000);
  EXPECT_EQ (w.replies.size (), 200u);
  expect_own_answers (w);
}

INSTANTIATE_TEST_SUITE_P (Seeds, ReqOrderTest, testing::Range (1, 9));

TEST (ReqTest, AnswersOfAnEarlierProcessAreDropped)
{
  ReqWorld w (1, 1, 1);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000;
  w.send ("h1", "", "old");
  ReqWorld::Sent old = w.sent.back ();
  w.restart ("h1");
  w.load_table ("workspace,weight\nalpha,1\n");
  gint64 conn = w.send ("h1", "", "new");
  GBytes *b = g_bytes_new ("answer to old", 13);
  UpstreamReply r = reply_to (old, UPSTREAM_ANSWERED, b);
  w.feed ("h1", EV_UPSTREAM_REPLY, &r);
  g_bytes_unref (b);
  EXPECT_EQ (w.reply (conn), nullptr);
  EXPECT_EQ (w.total (COUNT_LATE), 1);
  ASSERT_TRUE (w.ended (conn));
  EXPECT_EQ (w.reply (conn)->body, "answer to new");
}

TEST (ReqTest, ALateAnswerOfAnEarlierAttemptIsUsed)
{
  ReqWorld w (2, 1, 2, 1);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.hangs = true;
  gint64 conn = w.send ("h1", "", "x");
  ReqWorld::Sent first = w.sent.back ();
  w.upstreams.at (first.upstream).runs.clear (); /* it knows nothing of it */
  ASSERT_TRUE (w.run_until ([&] { return w.sent.size () == 2; }, 60000));
  EXPECT_NE (w.sent[1].upstream, first.upstream);
  GBytes *b = g_bytes_new ("answer to x", 11);
  UpstreamReply r = reply_to (first, UPSTREAM_ANSWERED, b);
  w.feed ("h1", EV_UPSTREAM_REPLY, &r);
  g_bytes_unref (b);
  ASSERT_NE (w.reply (conn), nullptr);
  EXPECT_EQ (w.reply (conn)->body, "answer to x");
}

/* --- outcomes and retries --- */

TEST (ReqTest, TheFourOutcomesAreNeverBlurred)
{
  ReqWorld w (3, 1, 1, 1);
  w.begin ();
  FakeUpstream &u = w.upstreams.at ("u1");
  gint64 answered = w.send ("h1", "", "a");
  ASSERT_TRUE (w.ended (answered));
  u.fails_all = true;
  gint64 failed = w.send ("h1", "f", "a");
  ASSERT_TRUE (w.ended (failed));
  u.fails_all = false;
  u.slots = 0;
  gint64 not_run = w.send ("h1", "", "a", CLASS_NORMAL, "c", 1000);
  ASSERT_TRUE (w.ended (not_run));
  u.slots = 1;
  u.hangs = true;
  u.service_ms = 100000;
  gint64 unknown = w.send ("h1", "", "a", CLASS_NORMAL, "c", 1000);
  ASSERT_TRUE (w.ended (unknown));
  EXPECT_EQ (w.outcome (answered), OUTCOME_ANSWERED);
  EXPECT_EQ (w.outcome (failed), OUTCOME_FAILED);
  EXPECT_EQ (w.outcome (not_run), OUTCOME_NOT_RUN);
  EXPECT_EQ (w.outcome (unknown), OUTCOME_UNKNOWN);
}

TEST (ReqTest, AFailedRepeatableRequestIsTriedElsewhereWithinTheBudget)
{
  ReqWorld w (4, 1, 10);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.fails_all = true;
  for (int i = 0; i < 300; i++)
    w.at (w.now + 10 * i, [&w] { w.send ("h1", "", "x"); });
  w.run (60000);
  EXPECT_EQ (w.replies.size (), 300u);
  EXPECT_EQ (w.total (COUNT_FAILED), 300);
  EXPECT_LE (w.total (COUNT_RETRIES), 10 + 300 / 10);
  EXPECT_GE (w.total (COUNT_RETRIES), 20);
  EXPECT_GT (w.total (COUNT_RETRIES_DENIED), 0);
  std::map<std::string, std::set<std::string> > at;
  for (auto &s : w.sent)
    EXPECT_TRUE (at[s.request].insert (s.upstream).second);
}

TEST (ReqTest, AFailedRequestThatMustNotBeRepeatedIsNotRetried)
{
  ReqWorld w (5, 1, 4);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.fails_all = true;
  gint64 conn = w.send ("h1", "k", "x");
  ASSERT_TRUE (w.ended (conn));
  EXPECT_EQ (w.outcome (conn), OUTCOME_FAILED);
  EXPECT_EQ (w.sent.size (), 1u);
}

/* --- silence --- */

TEST (ReqTest, ASilentConnectionIsReplacedAndItsRequestAskedFor)
{
  ReqWorld w (6, 1, 1);
  w.begin ();
  w.upstreams.at ("u1").hangs = true;
  int drops = 0;
  w.swallow = [&] (Node &, const Event &e) {
    drops += e.kind == FX_UPSTREAM_DROP;
    return false;
  };
  gint64 conn = w.send ("h1", "", "x");
  ASSERT_TRUE (w.ended (conn, 2 * w.config ()->silence_ms));
  EXPECT_EQ (w.reply (conn)->body, "answer to x");
  EXPECT_EQ (w.sent.size (), 1u);
  EXPECT_EQ (drops, 1);
}

TEST (ReqTest, AHeavyRequestThatIsJustSlowIsLeftAlone)
{
  ReqWorld w (7, 1, 2);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 200000;
  gint64 conn = w.send ("h1", "", "x", CLASS_BATCH, "c", 400000);
  ASSERT_TRUE (w.ended (conn, 300000));
  EXPECT_EQ (w.outcome (conn), OUTCOME_ANSWERED);
  EXPECT_EQ (w.sent.size (), 1u);
  EXPECT_LE (w.total (COUNT_SILENCES), 10);
}

TEST (ReqTest, ASilentUpstreamThatAnswersNobodyIsLeft)
{
  ReqWorld w (8, 1, 2, 4);
  w.begin ();
  gint64 conn = w.send ("h1", "", "x");
  FakeUpstream &u = w.upstreams.at (w.sent[0].upstream);
  w.swallow = [&] (Node &, const Event &e) {
    auto *ask = static_cast<UpstreamAsk *> (e.body);
    bool silent =
        u.down && e.kind == FX_UPSTREAM_SEND && ask->upstream == u.name;
    return silent;
  };
  ASSERT_TRUE (w.ended (conn));
  u.down = true;
  std::vector<gint64> conns;
  for (int i = 0; i < 6; i++)
    conns.push_back (w.send ("h1", "", "y"));
  for (gint64 c : conns)
    {
      ASSERT_TRUE (w.ended (c, 30000));
      EXPECT_EQ (w.outcome (c), OUTCOME_ANSWERED);
    }
}

/* --- drain --- */

TEST (ReqTest, ADrainCutsNothingOffAndTakesNothingNew)
{
  ReqWorld w (9, 2, 2, 4);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 30000;
  std::vector<gint64> conns;
  for (int i = 0; i < 12; i++)
    conns.push_back (w.send ("h1", i % 3 ? "" : "k" + std::to_string (i), "x",
                             CLASS_NORMAL, "c", 200000));
  w.run (500);
  w.drain ("h1");
  w.drain ("h1"); /* a second signal changes nothing */
  gint64 refused = w.send ("h1", "", "y");
  EXPECT_EQ (w.outcome (refused), OUTCOME_NOT_RUN);
  w.run (5000);
  w.kill ("h2");
  EXPECT_FALSE (w.nodes.at ("h1").drained);
  ASSERT_TRUE (w.run_until ([&] { return w.nodes.at ("h1").drained; }, 300000));
  for (gint64 c : conns)
    EXPECT_EQ (w.outcome (c), OUTCOME_ANSWERED);
}

TEST (ReqTest, ADrainWithSilentConnectionsStillEndsEverything)
{
  ReqWorld w (10, 1, 2);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.hangs = true;
  gint64 a = w.send ("h1", "", "x");
  gint64 b = w.send ("h1", "k", "x");
  w.run (100);
  w.drain ("h1");
  ASSERT_TRUE (w.run_until ([&] { return w.nodes.at ("h1").drained; }, 60000));
  EXPECT_EQ (w.outcome (a), OUTCOME_ANSWERED);
  EXPECT_EQ (w.outcome (b), OUTCOME_ANSWERED);
}

TEST (ReqTest, WhatPassesTheBoundOfADrainIsReportedById)
{
  ReqWorld w (11, 1, 1, 1);
  w.config ()->drain_ms = 5000;
  w.begin ();
  w.upstreams.at ("u1").service_ms = 900000;
  gint64 running = w.send ("h1", "", "x", CLASS_NORMAL, "c", 900000);
  gint64 waiting = w.send ("h1", "", "x", CLASS_NORMAL, "c", 900000);
  w.drain ("h1");
  ASSERT_TRUE (w.run_until ([&] { return w.nodes.at ("h1").drained; }, 6000));
  EXPECT_EQ (w.outcome (running), OUTCOME_UNKNOWN);
  EXPECT_EQ (w.outcome (waiting), OUTCOME_NOT_RUN);
  std::set<std::string> reported;
  for (auto &n : w.notes)
    if (n.kind == NOTE_REQUEST_CUT_OFF)
      reported.insert (n.request);
  EXPECT_EQ (reported.size (), 2u);
  EXPECT_TRUE (reported.count (w.reply (running)->id));
}

/* --- cancellation --- */

TEST (ReqTest, HungUpCallersFreeTheirPlacesAndSlots)
{
  ReqWorld w (12, 1, 1, 2);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000000;
  int cancels = 0;
  w.swallow = [&] (Node &, const Event &e) {
    cancels += e.kind == FX_UPSTREAM_CANCEL;
    return false;
  };
  std::vector<gint64> conns;
  for (int i = 0; i < 3000; i++)
    conns.push_back (w.send ("h1", "", "x", CLASS_BATCH,
                             "c" + std::to_string (i % 40), 80000000));
  EXPECT_EQ (core_counter (w.core ("h1"), COUNT_WAITING), 2998);
  for (gint64 c : conns)
    {
      CallerGone gone = { c };
      w.feed ("h1", EV_CALLER_GONE, &gone);
    }
  EXPECT_EQ (core_counter (w.core ("h1"), COUNT_WAITING), 0);
  EXPECT_EQ (core_counter (w.core ("h1"), COUNT_RUNNING), 0);
  EXPECT_TRUE (w.replies.empty ());
  EXPECT_GE (cancels, 2);
}

TEST (ReqTest, ACallerCancelsItsOwnRequestOnly)
{
  ReqWorld w (13, 1, 1, 1);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 5000;
  gint64 running = w.send ("h1", "", "x");
  gint64 waiting = w.send ("h1", "k", "x");
  gint64 other = w.ask ("h1", EV_REQUEST_CANCEL, "beta", "k");
  EXPECT_EQ (w.reply (other)->status, 404);
  gint64 own = w.ask ("h1", EV_REQUEST_CANCEL, "alpha", "k");
  EXPECT_EQ (w.reply (own)->status, 200);
  EXPECT_EQ (w.outcome (waiting), OUTCOME_NOT_RUN);
  w.ask ("h1", EV_REQUEST_CANCEL, "alpha", w.sent[0].request);
  EXPECT_EQ (w.outcome (running), OUTCOME_UNKNOWN);
}

} // namespace
