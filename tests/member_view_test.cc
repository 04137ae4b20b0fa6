#include <gtest/gtest.h>

#include "shared.h"

namespace
{

/* Whether every running host sees HOST in STATE. */
bool
all_see (SharedWorld &w, const std::string &host, MemberState state)
{
  for (auto &n : w.nodes)
    if (n.second.core && n.first != host && w.state (n.first, host) != state)
      return false;
  return true;
}

int
n_live (SharedWorld &w, const std::string &at)
{
  return static_cast<int> (member_n_live (w.core (at)));
}

bool
all_live (SharedWorld &w)
{
  for (auto &n : w.nodes)
    if (n_live (w, n.first) != static_cast<int> (w.nodes.size ()))
      return false;
  return true;
}

TEST (MemberView, ADeadHostIsSuspectedThenGoneAndAResurrectedOneLive)
{
  SharedWorld w (1, 2, 4);
  w.start ();
  w.run (5000);
  ASSERT_TRUE (all_live (w));
  w.kill ("d0h1");
  w.run (4000);
  EXPECT_EQ (w.state ("d0h0", "d0h1"), MEMBER_SUSPECT);
  EXPECT_FALSE (member_is_live (w.core ("d0h2"), "d0h1"));
  w.run (4500);
  EXPECT_TRUE (all_see (w, "d0h1", MEMBER_SUSPECT)) << "other domains too";
  guint n, rank = member_live_rank (w.core ("d0h2"), &n);
  EXPECT_EQ (n, 3u);
  EXPECT_EQ (rank, 1u);
  w.run (25000);
  EXPECT_TRUE (all_see (w, "d0h1", MEMBER_GONE));
  w.restart ("d0h1");
  EXPECT_TRUE (w.run_until ([&] { return all_live (w); }, 3000));
  EXPECT_EQ (w.total (COUNT_FALSE_SUSPICIONS), 0);
}

TEST (MemberView, AOneWayCutDoesNotHideAHostThatOthersHear)
{
  SharedWorld w (2, 2, 4);
  w.start ();
  w.run (5000);
  w.cut ("d0h0", "d0h1");
  w.cut ("d1h0", "d0h2");
  w.run (60000);
  EXPECT_EQ (w.state ("d0h1", "d0h0"), MEMBER_LIVE);
  EXPECT_TRUE (all_live (w));
  EXPECT_EQ (w.total (COUNT_SUSPICIONS), 0);
}

TEST (MemberView, APausedHostSuspectsNobodyWhenItComesBack)
{
  SharedWorld w (3, 2, 4);
  w.start ();
  w.run (5000);
  w.pause ("d0h0", 12000);
  w.run (11000);
  EXPECT_EQ (w.state ("d0h1", "d0h0"), MEMBER_SUSPECT);
  EXPECT_TRUE (w.run_until ([&] { return all_live (w); }, 4000));
  w.run (10000);
  EXPECT_EQ (core_counter (w.core ("d0h0"), COUNT_SUSPICIONS), 0);
  EXPECT_EQ (core_counter (w.core ("d0h0"), COUNT_MEMBER_PAUSES), 1);
}

class Partition : public testing::TestWithParam<int>
{
};

TEST_P (Partition, HealsWithinThreeSeconds)
{
  SharedWorld w (static_cast<guint32> (GetParam ()), 5, 3);
  w.start ();
  w.run (5000);
  auto region = [&w] (bool on) {
    for (auto &a : w.nodes)
      for (auto &b : w.nodes)
        if (a.second.region != b.second.region)
          w.cut (a.first, b.first, on);
  };
  if (GetParam () % 2)
    region (true);
  else
    w.cut_domain ("d1");
  w.run (10000 * GetParam ());
  EXPECT_FALSE (member_is_live (w.core ("d1h0"), "d4h0"));
  EXPECT_TRUE (member_is_live (w.core ("d1h0"), "d1h1"));
  region (false);
  w.cut_domain ("d1", false);
  EXPECT_TRUE (w.run_until ([&] { return all_live (w); }, 3000));
}

INSTANTIATE_TEST_SUITE_P (Seeds, Partition, testing::Range (1, 7));

class Lossy : public testing::TestWithParam<int>
{
};

/* Two hundred seconds of 20% loss and 200 ms jitter, 24 hosts. */
TEST_P (Lossy, LinksCauseHardlyAnyFalseSuspicion)
{
  SharedWorld w (static_cast<guint32> (GetParam ()), 3, 8);
  w.loss_permille = 200;
  w.link_jitter = 200;
  w.start ();
  w.run (200000);
  gint64 suspicions = w.total (COUNT_SUSPICIONS);
  RecordProperty ("suspicions", static_cast<int> (suspicions));
  EXPECT_LE (suspicions, 2) << "of 24 x 23 views over 200 s";
  EXPECT_LE (w.total (COUNT_FALSE_SUSPICIONS), suspicions);
}

INSTANTIATE_TEST_SUITE_P (Seeds, Lossy, testing::Range (1, 4));

/* 550 restarts, one every two seconds: far denser than in a day. */
TEST (MemberView, RestartsDoNotMakeTheViewFlap)
{
  SharedWorld w (4, 5, 4);
  w.start ();
  w.run (5000);
  gint64 before = w.total (COUNT_MEMBER_CHANGES);
  for (int i = 0; i < 550; i++)
    {
      std::string host = w.host (i % 5, (i / 5) % 4);
      w.kill (host);
      w.run (1500);
      w.restart (host);
      w.run (500);
    }
  w.run (5000);
  EXPECT_TRUE (all_live (w));
  EXPECT_EQ (w.total (COUNT_MEMBER_CHANGES) - before, 0)
      << "a restart within the time to suspect changes no view";
  EXPECT_EQ (w.total (COUNT_FALSE_SUSPICIONS), 0);
}

TEST (MemberView, ALongRestartChangesEachViewTwice)
{
  SharedWorld w (5, 2, 4);
  w.start ();
  w.run (5000);
  for (int i = 0; i < 20; i++)
    {
      gint64 before = core_counter (w.core ("d0h0"), COUNT_MEMBER_CHANGES);
      w.kill ("d0h3");
      w.run (9000);
      w.restart ("d0h3");
      w.run (3000);
      EXPECT_EQ (core_counter (w.core ("d0h0"), COUNT_MEMBER_CHANGES) - before,
                 2);
    }
  EXPECT_EQ (w.total (COUNT_FALSE_SUSPICIONS), 0);
}

TEST (MemberView, ADrainingHostLeavesTheLiveSetAtOnceAndIsGoneWhenSilent)
{
  SharedWorld w (6, 2, 3);
  w.start ();
  w.run (5000);
  w.drain ("d1h2");
  w.run (1500);
  EXPECT_TRUE (all_see (w, "d1h2", MEMBER_DRAINING));
  w.kill ("d1h2");
  w.run (8000);
  EXPECT_TRUE (all_see (w, "d1h2", MEMBER_GONE));
  EXPECT_EQ (w.total (COUNT_SUSPICIONS), 0);
}

TEST (MemberView, LateHeartbeatsOfAnEarlierIncarnationChangeNothing)
{
  SharedWorld w (7, 1, 2);
  w.start ();
  w.run (3000);
  w.kill ("d0h1");
  w.run (40000);
  ASSERT_EQ (w.state ("d0h0", "d0h1"), MEMBER_GONE);
  w.restart ("d0h1");
  w.run (2000);
  gint64 incarnation = member_find (w.core ("d0h0"), "d0h1")->incarnation;
  MemberHeartbeat late = {};
  late.incarnation = incarnation - 1;
  late.sequence = 100000;
  late.draining = 1;
  late.domain = "d0";
  w.feed ("d0h0", MSG_HEARTBEAT, &late, "d0h1");
  EXPECT_EQ (w.state ("d0h0", "d0h1"), MEMBER_LIVE);
  EXPECT_EQ (member_find (w.core ("d0h0"), "d0h1")->incarnation, incarnation);
}

TEST (MemberView, AHostThatNoSettingsNameJoinsByItsHeartbeat)
{
  SharedWorld w (8, 1, 2);
  w.start ();
  w.run (2000);
  MemberHeartbeat hb = {};
  hb.incarnation = w.now;
  hb.sequence = 1;
  hb.domain = "d0";
  w.feed ("d0h0", MSG_HEARTBEAT, &hb, "new1");
  EXPECT_TRUE (member_is_live (w.core ("d0h0"), "new1"));
  w.feed ("d0h0", MSG_HEARTBEAT, &hb, "not a name");
  EXPECT_EQ (member_find (w.core ("d0h0"), "not a name"), nullptr);
  w.run (700000);
  EXPECT_EQ (member_find (w.core ("d0h0"), "new1"), nullptr)
      << "and is forgotten long after it has gone";
}

TEST (MemberView, ThePlatformsListOnlySeeds)
{
  SharedWorld w (9, 1, 2);
  w.store.hosts = { { "d0h1", "host", "leaving" },
                    { "new2", "host", "live" },
                    { "u1", "upstream", "leaving" } };
  w.start ();
  w.run (60000);
  EXPECT_EQ (w.state ("d0h0", "d0h1"), MEMBER_LIVE)
      << "a heartbeat counts for more than the list";
  EXPECT_EQ (w.state ("d0h0", "new2"), MEMBER_JOINING);
  EXPECT_TRUE (member_is_leaving (w.core ("d0h0"), "u1"));
  member_clear_leaving (w.core ("d0h0"), "u1");
  w.run (60000);
  EXPECT_FALSE (member_is_leaving (w.core ("d0h1"), "u1"))
      << "fresh news is not undone by the lagging list";
}

class Leaving : public testing::TestWithParam<int>
{
};

TEST_P (Leaving, NewsReachesTheDomainInTwoSecondsAndTheOthersInThree)
{
  int seed = GetParam ();
  SharedWorld w (static_cast<guint32> (seed), 5, 8);
  w.link_delay = 20;
  if (seed % 2)
    {
      w.loss_permille = 200;
      w.link_jitter = 200;
    }
  w.start ();
  w.run (5000 + seed * 37);
  auto known = [&] (bool near, bool leaving) {
    for (auto &n : w.nodes)
      if ((!near || n.second.domain == "d2") &&
          member_is_leaving (n.second.core, "u9") != leaving)
        return false;
    return true;
  };
  ClockMs start = w.now;
  member_set_leaving (w.core ("d2h3"), "u9");
  w.feed ("d2h3", EV_TICK, nullptr);
  EXPECT_TRUE (w.run_until ([&] { return known (true, true); }, 2000));
  EXPECT_TRUE (w.run_until ([&] { return known (false, true); },
                            start + 3000 - w.now));
  w.restart ("d4h4");
  EXPECT_TRUE (w.run_until ([&] { return known (false, true); }, 4000))
      << "a host that starts learns it too";
  member_clear_leaving (w.core ("d4h4"), "u9");
  EXPECT_TRUE (w.run_until ([&] { return known (false, false); }, 5000));
  w.run (30000);
  EXPECT_TRUE (known (false, false)) << "old news does not come back";
}

INSTANTIATE_TEST_SUITE_P (Seeds, Leaving, testing::Range (1, 13));

TEST (MemberView, NewsOfLeavingExpires)
{
  SharedWorld w (11, 1, 2);
  w.start ();
  member_set_leaving (w.core ("d0h0"), "u9");
  w.run (590000);
  EXPECT_TRUE (member_is_leaving (w.core ("d0h1"), "u9"));
  w.run (20000);
  EXPECT_FALSE (member_is_leaving (w.core ("d0h0"), "u9"));
  EXPECT_FALSE (member_is_leaving (w.core ("d0h1"), "u9"));
  member_set_leaving (w.core ("d0h1"), "u9");
  w.run (2000);
  EXPECT_TRUE (member_is_leaving (w.core ("d0h0"), "u9"));
}

/* Sent and received together, calm, with frames' and TCP's overhead of 70
   bytes a message. */
TEST (MemberView, HeartbeatsStayUnderTwelveKilobytesASecond)
{
  SharedWorld w (10, 5, 8);
  w.start ();
  w.run (10000);
  gint64 bytes = w.message_bytes, messages = w.messages;
  w.run (60000);
  double per_node = static_cast<double> (w.message_bytes - bytes +
                                         70 * (w.messages - messages)) *
                    2 / 40 / 60;
  RecordProperty ("bytes_per_s", static_cast<int> (per_node));
  EXPECT_LT (per_node, 12000);
}

} // namespace
