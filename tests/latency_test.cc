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
      lines_add (l, 0, 0, filler.c_str ());
      lines_flush (l);
    }
  EXPECT_GT (lines_dropped (l), 800u);
  guint64 before = lines_dropped (l);
  lines_add (l, 60000, 60000, "event=later");
  EXPECT_LE (lines_dropped (l), before + 1);
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
        lines_add (l, second * 1000, 0, filler.c_str ());
        lines_flush (l);
      }
  /* The pipe holds 64 KB, the buffer as much: the rest must be left out. */
  EXPECT_GT (lines_dropped (l), 300u);
  lines_free (l);
  close (ends[0]);
  close (ends[1]);
}
