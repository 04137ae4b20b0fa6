#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "latency.h"
#include "lines.h"
}

#include <unistd.h>

TEST (LatencyTest, BucketsAreCumulativeAndHoldEverything)
{
  Latency *l = latency_new ("x_ms");
  GString *text = g_string_new (NULL);

  for (ClockMs span : { -5, 0, 3, 150, 99999999 })
    latency_add (l, span);
  latency_append (l, text);
  std::string s = text->str;
  EXPECT_NE (s.find ("x_ms_bucket{le=\"1\"} 2\n"), std::string::npos) << s;
  EXPECT_NE (s.find ("x_ms_bucket{le=\"5\"} 3\n"), std::string::npos) << s;
  EXPECT_NE (s.find ("x_ms_bucket{le=\"200\"} 4\n"), std::string::npos) << s;
  EXPECT_NE (s.find ("x_ms_bucket{le=\"+Inf\"} 5\n"), std::string::npos) << s;
  EXPECT_NE (s.find ("x_ms_count 5\n"), std::string::npos) << s;
  g_string_free (text, TRUE);
  latency_free (l);
}

TEST (LinesTest, ABudgetBoundsTheVolumeAndTheRestIsCounted)
{
  int ends[2];
  std::string filler (1000, 'x');

  ASSERT_EQ (pipe (ends), 0);
  Lines *l = lines_new (ends[1], "h", 0);
  for (int i = 0; i < 1000; i++)
    {
      lines_add (l, 0, 0, LINE_EVENT, filler.c_str ());
      lines_flush (l);
    }
  EXPECT_GT (lines_dropped (l), 800u);
  guint64 before = lines_dropped (l);
  lines_add (l, 60000, 60000, LINE_EVENT, "event=later");
  EXPECT_LE (lines_dropped (l), before + 1);
  lines_free (l);
  close (ends[0]);
  close (ends[1]);
}

TEST (LinesTest, AFloodOfDetailsCrowdsOutNoEvent)
{
  int ends[2];
  std::string filler (1000, 'x');
  char read_back[4096] = "";

  ASSERT_EQ (pipe (ends), 0);
  Lines *l = lines_new (ends[1], "h", 0);
  for (int i = 0; i < 500; i++)
    lines_add (l, 0, 0, LINE_DETAIL, filler.c_str ());
  guint64 dropped = lines_dropped (l);
  EXPECT_GT (dropped, 400u);
  lines_flush (l);
  while (read (ends[0], read_back, sizeof read_back) == sizeof read_back)
    continue;
  lines_add (l, 0, 0, LINE_EVENT, "event=role_taken");
  EXPECT_EQ (lines_dropped (l), dropped);
  lines_flush (l);
  ssize_t n = read (ends[0], read_back, sizeof read_back - 1);
  ASSERT_GT (n, 0);
  read_back[n] = '\0';
  EXPECT_NE (std::string (read_back).find ("event=role_taken"),
             std::string::npos);
  lines_free (l);
  close (ends[0]);
  close (ends[1]);
}

TEST (LinesTest, AReaderThatStopsReadingBlocksNothing)
{
  int ends[2];
  std::string filler (1000, 'x');

  ASSERT_EQ (pipe (ends), 0);
  Lines *l = lines_new (ends[1], "h", 0);
  for (int second = 0; second < 20; second++)
    for (int i = 0; i < 30; i++)
      {
        lines_add (l, second * 1000, 0, LINE_EVENT, filler.c_str ());
        lines_flush (l);
      }
  /* The pipe holds 64 KB, the buffer as much: the rest must be left out. */
  EXPECT_GT (lines_dropped (l), 300u);
  lines_free (l);
  close (ends[0]);
  close (ends[1]);
}
