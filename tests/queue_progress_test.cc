#include "queue_world.h"

#include <gtest/gtest.h>

/* The progress records of jobs. */

static const char lasting_id[] = "0000000000000703";

static std::string
progress_key (const std::string &id)
{
  return "wagtailpass/job/" + id + "/progress";
}

TEST (QueueProgress, FailuresOfALastingTaskDoNotGrowItsRecord)
{
  QueueWorld w (2, 5);

  w.run (3000);
  w.submit (0, { std::string ("q0/") + lasting_id,
                 world_body (world_step (1, 1000, 0, ",\"perpetual\":true"),
                             "ms=20 fail") });
  w.run (20000);
  EXPECT_GT (w.starts (std::string (lasting_id) + ".0.0.0"), 20);
  EXPECT_LT (w.record (progress_key (lasting_id)).size (), 40u);
  w.expect_no_violations ();
}
