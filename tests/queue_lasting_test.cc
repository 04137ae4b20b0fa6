#include "queue_world.h"

#include <gtest/gtest.h>

/* Lasting steps of which only some tasks may be missing at a time. */

/* Returns the least number of tasks of a lasting job that run at any time while
   urgent work asks for all of their four workers.  EXTRA says how many may be
   missing. */
static int
least_running (const std::string &extra)
{
  const std::string lasting = "0000000000000001";
  QueueWorld w (2, 4);
  int least = 4;

  w.run (3000);
  w.submit (0, { "q2/" + lasting,
                 world_body (world_step (4, 1000, 8,
                                         ",\"perpetual\":true" + extra),
                             "ms=600000") });
  w.run (2000);
  w.submit (0, { "q0/0000000000000002",
                 world_body (world_step (4, 1000, 8), "ms=2000") });
  for (int t = 0; t < 5000; t += 10)
    {
      int n = 0;

      w.run (10);
      for (auto &worker : w.workers)
        for (auto &run : worker.runs)
          n += run.first.find (lasting) == 0;
      least = std::min (least, n);
    }
  w.expect_no_violations ();
  return least;
}

/* Guards against an eviction that stops more than may be missing. */
TEST (QueueLasting, EvictionKeepsTheTasksThatMustRun)
{
  EXPECT_EQ (least_running (""), 0);
  EXPECT_EQ (least_running (",\"mayMiss\":4"), 0);
  EXPECT_EQ (least_running (",\"mayMiss\":1"), 3);
  EXPECT_EQ (least_running (",\"mayMiss\":0"), 4);
  EXPECT_EQ (least_running (",\"mayMiss\":2,\"gang\":true"), 4);
}

/* Guards against records of other versions that are no longer read. */
TEST (QueueLasting, StoredStepMayLackTheNumber)
{
  for (gint64 min_running : { 0, 3 })
    {
      SpecStep step = { .count = 4, .min_running = min_running };
      GBytes *packed = rec_pack (spec_step_desc (), &step);
      auto *first = (const guint8 *)g_bytes_get_data (packed, nullptr);
      auto *back = (SpecStep *)spec_unpack (spec_step_desc (), packed);

      /* The head of an array of so many fields. */
      EXPECT_EQ (*first, min_running ? 0x9f : 0x9e);
      ASSERT_TRUE (back);
      EXPECT_EQ (back->min_running, min_running);
      rec_free (spec_step_desc (), back);
      g_bytes_unref (packed);
    }
}
