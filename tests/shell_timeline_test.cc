#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "timeline.h"
}

#include <string>
#include <vector>

namespace
{

TEST (ShellTimeline, StampsRiseWhateverTheClockDoes)
{
  Hlc clock = { 0, 0 };
  Hlc last = { 0, 0 };
  for (ClockMs now : { 100, 100, 50, 101, 101, 7 })
    {
      Hlc stamp = hlc_tick (&clock, now);
      EXPECT_GT (hlc_compare (stamp, last), 0);
      last = stamp;
    }
  hlc_merge (&clock, { 500, 3 }, 10);
  EXPECT_GT (hlc_compare (hlc_tick (&clock, 10), { 500, 3 }), 0);
}

TEST (ShellTimeline, AStampFarAheadIsPassedOver)
{
  Hlc clock = { 100, 0 };
  hlc_merge (&clock, { 100 + HLC_MAX_AHEAD_MS + 1, 0 }, 100);
  EXPECT_EQ (clock.ms, 100);
}

void
add (Timeline *t, Hlc stamp, const char *job, const char *upstream = "")
{
  CoreNote note {};
  note.kind = NOTE_JOB_PLACED;
  note.job = job;
  note.upstream = upstream;
  TimelineCause cause = { "heartbeat", "h9", { 1, 2 } };
  timeline_add (t, stamp, &note, &cause);
}

std::string
lines (const Timeline *t, const TimelineFilter &f = {})
{
  char *text = timeline_to_json (t, &f);
  std::string s = text;
  g_free (text);
  return s;
}

TEST (ShellTimeline, RingKeepsTheLatestAndCountsTheRest)
{
  Timeline *t = timeline_new ("h1", 3);
  for (int i = 0; i < 5; i++)
    add (t, { i, 0 }, i < 2 ? "old" : "new");
  EXPECT_EQ (timeline_count (t), 3U);
  EXPECT_EQ (timeline_dropped (t), 2);
  EXPECT_EQ (lines (t).find ("old"), std::string::npos);
  timeline_free (t);
}

TEST (ShellTimeline, FiltersTakeEveryName)
{
  Timeline *t = timeline_new ("h1", 10);
  add (t, { 1, 0 }, "j1", "u1");
  add (t, { 2, 0 }, "j2", "u2");
  auto count = [&] (const TimelineFilter &f) {
    std::string s = lines (t, f);
    return std::count (s.begin (), s.end (), '\n');
  };
  TimelineFilter f {};
  EXPECT_EQ (count (f), 2);
  f.job = "j2";
  EXPECT_EQ (count (f), 1);
  f.upstream = "u1";
  EXPECT_EQ (count (f), 0);
  f = {};
  f.since = 2;
  EXPECT_EQ (count (f), 1);
  f.until = 2;
  EXPECT_EQ (count (f), 0);
  f = {};
  f.host = "h2";
  EXPECT_EQ (count (f), 0);
  timeline_free (t);
}

// Hosts with clocks that differ by minutes pass messages around at random;
// after the merge no note stands before its cause.
class ShellTimelineMerge : public testing::TestWithParam<guint32>
{
};

TEST_P (ShellTimelineMerge, CausesStandFirst)
{
  constexpr int hosts = 4;
  GRand *rng = g_rand_new_with_seed (GetParam ());
  std::vector<Timeline *> rings;
  std::vector<Hlc> clocks (hosts, Hlc { 0, 0 });
  std::vector<ClockMs> skew;
  for (int i = 0; i < hosts; i++)
    {
      rings.push_back (timeline_new (("h" + std::to_string (i)).c_str (), 999));
      skew.push_back (g_rand_int_range (rng, 0, 600000));
    }
  int at = 0;
  Hlc sent = { 0, 0 };
  for (int n = 0; n < 200; n++)
    {
      ClockMs now = n / 3 + skew[static_cast<size_t> (at)];
      auto i = static_cast<size_t> (at);
      hlc_merge (&clocks[i], sent, now);
      add (rings[i], hlc_tick (&clocks[i], now), std::to_string (n).c_str ());
      sent = hlc_tick (&clocks[i], now);
      at = g_rand_int_range (rng, 0, hosts);
    }
  GPtrArray *all = timeline_entries_new ();
  Findings findings;
  findings_init (&findings);
  for (auto *t : rings)
    {
      timeline_read (all, lines (t).c_str (), "ring", &findings);
      timeline_free (t);
    }
  EXPECT_EQ (findings_count (&findings), 0U);
  findings_clear (&findings);
  timeline_merge (all);
  ASSERT_EQ (all->len, 200U);
  for (guint i = 0; i < all->len; i++)
    {
      auto *e = static_cast<TimelineEntry *> (g_ptr_array_index (all, i));
      EXPECT_EQ (e->job, std::to_string (i));
    }
  g_ptr_array_unref (all);
  g_rand_free (rng);
}

INSTANTIATE_TEST_SUITE_P (Seeds, ShellTimelineMerge, testing::Range (1U, 21U));

TEST (ShellTimeline, BadLinesAreFoundAndLeftOut)
{
  GPtrArray *all = timeline_entries_new ();
  Findings findings;
  findings_init (&findings);
  timeline_read (all, "{}\nnonsense\n\n", "h1", &findings);
  EXPECT_EQ (all->len, 0U);
  EXPECT_GE (findings_count (&findings), 2U);
  EXPECT_EQ (std::string (findings_at (&findings, 0)->place).find ("h1:1"), 0U);
  findings_clear (&findings);
  g_ptr_array_unref (all);
}

}
