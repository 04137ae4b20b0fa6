#include "req_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "req.h"
#include "slots.h"
}

namespace
{

const char *
reason (const ReqWorld &w, gint64 conn)
{
  const Reply *r = w.reply (conn);
  return r ? r->reason.c_str () : "no reply";
}

/* --- admission --- */

TEST (ReqAdmitTest, OnlyTheTablesWorkspacesAreServed)
{
  ReqWorld w (1, 1, 1);
  w.begin ();
  gint64 c = w.send ("h1", "", "x", CLASS_NORMAL, "c", 0, "nobody");
  EXPECT_EQ (w.reply (c)->status, 403);
  EXPECT_EQ (w.outcome (c), OUTCOME_NOT_RUN);
}

TEST (ReqAdmitTest, TheRateLimitRefusesAndTakesTheUrgencyFromUrgentWork)
{
  ReqWorld w (2, 1, 2);
  w.begin ("workspace,weight,requests_per_s\nalpha,1,10\nbeta,1,\n");
  int refused = 0;
  for (int i = 0; i < 100; i++)
    refused += w.outcome (w.send ("h1", "", "x")) == OUTCOME_NOT_RUN;
  EXPECT_EQ (refused, 90);
  EXPECT_EQ (w.total (COUNT_REFUSED_RATE), 90);
  std::vector<gint64> urgent;
  for (int i = 0; i < 50; i++)
    urgent.push_back (w.send ("h1", "", "x", CLASS_INTERACTIVE));
  EXPECT_EQ (w.total (COUNT_DEMOTED), 50);
  gint64 other = w.send ("h1", "", "x", CLASS_INTERACTIVE, "c", 0, "beta");
  w.run (10000);
  EXPECT_EQ (w.outcome (other), OUTCOME_ANSWERED);
  for (gint64 c : urgent)
    {
      ASSERT_EQ (w.outcome (c), OUTCOME_ANSWERED);
      EXPECT_GE (w.reply (c)->at, 0);
    }
  EXPECT_LE (w.reply (other)->at, w.reply (urgent.back ())->at);
  refused = 0;
  for (int i = 0; i < 20; i++)
    refused += w.outcome (w.send ("h1", "", "x")) == OUTCOME_NOT_RUN;
  EXPECT_EQ (refused, 10); /* ten tokens have come back */
}

TEST (ReqAdmitTest, MaxQueuedAndMaxRunningHold)
{
  ReqWorld w (3, 1, 2);
  w.begin ("workspace,weight,max_running,max_queued\nalpha,1,3,5\nbeta,1,,\n");
  for (auto &u : w.upstreams)
    u.second.service_ms = 1000;
  std::vector<gint64> conns;
  for (int i = 0; i < 20; i++)
    conns.push_back (w.send ("h1", "", "x"));
  guint waiting, running;
  req_workspace_counts (w.core ("h1"), "alpha", &waiting, &running);
  EXPECT_EQ (waiting, 5u);
  EXPECT_EQ (running, 3u);
  EXPECT_EQ (w.total (COUNT_NOT_RUN), 12);
  gint64 other = w.send ("h1", "", "x", CLASS_NORMAL, "c", 0, "beta");
  EXPECT_EQ (w.sent.size (), 4u) << "beta is not held up by alpha's limit";
  ASSERT_TRUE (w.ended (other));
}

TEST (ReqAdmitTest, TheQueueIsBoundedInCountAndBytes)
{
  ReqWorld w (4, 1, 1, 1);
  w.config ()->request_queue = 100;
  w.config ()->request_queue_bytes = 10000;
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000000;
  for (int i = 0; i < 300; i++)
    w.send ("h1", "", "", CLASS_BATCH, "c" + std::to_string (i), 80000000);
  EXPECT_EQ (core_counter (w.core ("h1"), COUNT_WAITING), 60);
  gint64 normal = w.send ("h1", "", "x", CLASS_NORMAL, "c", 80000000);
  EXPECT_EQ (w.reply (normal), nullptr) << "another class has room";
  gint64 big =
      w.send ("h1", "", std::string (20000, 'x'), CLASS_NORMAL, "c", 80000000);
  EXPECT_STREQ (reason (w, big), "the queue's bytes are used up");
  EXPECT_EQ (w.sent.size (), 1u);
}

TEST (ReqAdmitTest, OneWhoFloodsFindsTheQueueFullBeforeOthersDo)
{
  ReqWorld w (5, 1, 1, 1);
  w.config ()->request_queue = 1000;
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000000;
  for (int i = 0; i < 5000; i++)
    w.send ("h1", "", "", CLASS_NORMAL, "large", 80000000);
  int refused = 0;
  for (int i = 0; i < 100; i++)
    refused += w.outcome (w.send ("h1", "", "", CLASS_NORMAL,
                                  "small" + std::to_string (i % 10),
                                  80000000)) == OUTCOME_NOT_RUN;
  EXPECT_EQ (refused, 0);
}

TEST (ReqAdmitTest, WhatCannotMeetItsDeadlineIsRefusedAtOnce)
{
  ReqWorld w (6, 1, 1, 2);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000;
  for (int i = 0; i < 60; i++) /* teaches the cost */
    w.at (w.now + 600 * i, [&w] { w.send ("h1", "", "x"); });
  w.run (60000);
  std::vector<gint64> conns;
  for (int i = 0; i < 100; i++)
    conns.push_back (w.send ("h1", "", "x", CLASS_NORMAL, "c", 10000));
  int refused = 0;
  for (gint64 c : conns)
    refused += w.outcome (c) == OUTCOME_NOT_RUN;
  EXPECT_GE (refused, 70);
  EXPECT_EQ (w.total (COUNT_REFUSED_DEADLINE), refused);
  gint64 small = w.send ("h1", "", "x", CLASS_NORMAL, "other", 10000);
  EXPECT_EQ (w.reply (small), nullptr) << "waits for its own turn only";
  w.run (20000);
  EXPECT_EQ (w.outcome (small), OUTCOME_ANSWERED);
}

TEST (ReqAdmitTest, ExplainsWhyItWaitsAndHowItEnded)
{
  ReqWorld w (7, 1, 1, 1);
  w.begin ();
  w.upstreams.at ("u1").service_ms = 1000;
  w.send ("h1", "", "x");
  gint64 waits = w.send ("h1", "key", "x");
  gint64 asked = w.ask ("h1", EV_REQUEST_ASK, "alpha", "key");
  ASSERT_NE (w.reply (asked), nullptr);
  EXPECT_EQ (w.reply (asked)->status, 202);
  EXPECT_NE (w.reply (asked)->body.find ("\"waits_for\":\"a free slot\""),
             std::string::npos)
      << w.reply (asked)->body;
  ASSERT_TRUE (w.ended (waits));
  char *text = req_explain (w.core ("h1"), w.reply (waits)->id.c_str ());
  EXPECT_NE (strstr (text, "\"outcome\":\"answered\""), nullptr) << text;
  g_free (text);
  EXPECT_EQ (req_explain (w.core ("h1"), "nothing"), nullptr);
}

/* --- slot shares --- */

TEST (ReqSlotsTest, TheSharesOfAllHostsSumToWhatTheUpstreamHas)
{
  for (guint n = 1; n <= 40; n++)
    for (gint64 total : { 1, 7, 8, 60 })
      for (guint salt = 0; salt < 50; salt++)
        {
          gint64 sum = 0;
          for (guint rank = 0; rank < n; rank++)
            {
              gint64 share = slots_share (total, n, rank, salt);
              EXPECT_LE (share, total / n + 1);
              sum += share;
            }
          ASSERT_EQ (sum, total);
        }
}

/* Sends COUNT long requests to every host in HOSTS. */
void
fill (ReqWorld &w, int hosts, int count)
{
  for (int h = 1; h <= hosts; h++)
    for (int i = 0; i < count; i++)
      w.send ("h" + std::to_string (h), "", "x", CLASS_NORMAL, "c", 80000000);
}

int
busy (const ReqWorld &w)
{
  int n = 0;
  for (auto &u : w.upstreams)
    n += u.second.busy_slots (w.now);
  return n;
}

TEST (ReqSlotsTest, HostsFillTheUpstreamsWithoutATurnedAwayRequest)
{
  ReqWorld w (8, 8, 50);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 500000;
  fill (w, 8, 60);
  EXPECT_EQ (w.total (COUNT_REPLACED), 0);
  EXPECT_EQ (busy (w), 8 * 48); /* two of fifty are kept for urgent work */
}

TEST (ReqSlotsTest, ADeadHostsShareGoesToTheRest)
{
  ReqWorld w (9, 4, 8);
  w.begin ();
  w.kill ("h4");
  w.run (w.config ()->gone_ms + 2000);
  for (auto &u : w.upstreams)
    u.second.service_ms = 500000;
  fill (w, 3, 40);
  w.run (5000);
  EXPECT_GE (busy (w), 61) << "of 64 slots";
}

TEST (ReqSlotsTest, AHostWithWorkBorrowsIdleSharesAndGivesThemBack)
{
  ReqWorld w (10, 4, 8);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 20000;
  fill (w, 1, 60);
  EXPECT_EQ (w.sent.size (), 16u);
  w.run (3000);
  EXPECT_GT (w.sent.size (), 40u);
  EXPECT_EQ (w.total (COUNT_REPLACED), 0);
  w.run (60000);
  EXPECT_EQ (w.total (COUNT_ANSWERED), 60);
  size_t before = w.sent.size ();
  for (int h = 2; h <= 4; h++)
    for (int i = 0; i < 20; i++)
      w.send ("h" + std::to_string (h), "", "x", CLASS_NORMAL, "c", 80000000);
  EXPECT_EQ (w.sent.size () - before, 3 * 16u) << "every share is back";
  w.run (100);
  EXPECT_EQ (w.total (COUNT_REPLACED), 0);
}

/* Loans survive lost and repeated messages and dead hosts. */
class ReqLoanTest : public testing::TestWithParam<int>
{
};

TEST_P (ReqLoanTest, NoSlotIsLostOrLentTwiceForLong)
{
  ReqWorld w (static_cast<guint32> (GetParam ()), 4, 8);
  w.begin ();
  w.loss_permille = 200;
  w.repeat_permille = 200;
  w.link_jitter = 50;
  for (auto &u : w.upstreams)
    u.second.service_ms = 700;
  for (int i = 0; i < 1500; i++)
    w.at (w.now + 20 * i, [&w] {
      guint32 h = w.random (2) ? 1 : 1 + w.random (4);
      std::string host = "h" + std::to_string (h);
      if (w.nodes.at (host).core)
        w.send (host, "", "x");
    });
  w.at (w.now + 10000, [&w] { w.kill ("h2"); });
  w.run (40000);
  w.loss_permille = w.repeat_permille = 0;
  w.run (60000);
  size_t before = w.sent.size ();
  gint64 replaced = w.total (COUNT_REPLACED);
  for (auto &u : w.upstreams)
    u.second.service_ms = 100000;
  for (int h : { 1, 3, 4 })
    for (int i = 0; i < 30; i++)
      w.send ("h" + std::to_string (h), "", "x", CLASS_NORMAL, "c", 900000);
  w.run (100);
  EXPECT_GE (w.sent.size () - before, 61u);
  EXPECT_EQ (w.total (COUNT_REPLACED), replaced);
}

INSTANTIATE_TEST_SUITE_P (Seeds, ReqLoanTest, testing::Range (1, 7));

/* --- two things at once --- */

TEST (ReqPairTest, AFloodWhileUpstreamsLeave)
{
  ReqWorld w (11, 2, 8);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 200;
  for (int i = 0; i < 6000; i++)
    w.at (w.now + i, [&w, i] {
      w.send (i % 2 ? "h1" : "h2", "", "x", CLASS_BATCH, "flood", 20000);
    });
  std::vector<gint64> urgent;
  for (int i = 0; i < 60; i++)
    w.at (w.now + 100 * i, [&w, &urgent, i] {
      urgent.push_back (w.send (i % 2 ? "h1" : "h2", "", "x",
                                CLASS_INTERACTIVE));
    });
  w.at (w.now + 2000, [&w] {
    for (const char *u : { "u1", "u2", "u3", "u4" })
      w.upstreams.at (u).leaving = true;
  });
  w.run (60000);
  for (gint64 c : urgent)
    {
      ASSERT_EQ (w.outcome (c), OUTCOME_ANSWERED) << reason (w, c);
    }
  EXPECT_EQ (w.replies.size (), 6060u);
  EXPECT_EQ (w.total (COUNT_UNKNOWN) + w.total (COUNT_FAILED), 0);
}

TEST (ReqPairTest, TheStoreIsDownWhileAHostDies)
{
  ReqWorld w (12, 2, 2);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.service_ms = 3000;
  gint64 a = w.send ("h1", "k", "b", CLASS_NORMAL, "c", 100000);
  w.run (500);
  w.store.down = true;
  w.kill ("h1");
  gint64 b = w.send ("h2", "k", "b", CLASS_NORMAL, "c", 100000);
  w.run (20000);
  EXPECT_EQ (w.reply (b), nullptr) << "cannot know without the store";
  w.store.down = false;
  ASSERT_TRUE (w.ended (b));
  EXPECT_EQ (w.reply (b)->body, "answer to b");
  EXPECT_EQ (w.reply (a), nullptr);
  EXPECT_EQ (w.sent.size (), 1u);
}

} // namespace
