#include "queue_world.h"

#include <gtest/gtest.h>

/* What a workspace's guarantee is worth when others have borrowed it. */

static const ClockMs reclaim_ms = 2700; /* the platform's bound */
static const char *const beta =
    ",{\"name\":\"beta\",\"apiKeys\":[\"beta-key\"],"
    "\"guaranteed\":{\"gpu\":8}}";

static std::string
gang (int count, int accelerators, int ms)
{
  return world_body (world_step (count, 1000, accelerators, ",\"gang\":true"),
                     "ms=" + std::to_string (ms) +
                         " gang=" + std::to_string (count));
}

/* Four workers of eight accelerators: alpha is guaranteed 16, beta 8. */
static std::unique_ptr<QueueWorld>
shared_fleet ()
{
  auto w = std::make_unique<QueueWorld> (2, 4);

  w->extra_tenants_json = beta;
  w->put_conf (2, "key");
  w->run (3000);
  return w;
}

TEST (QueueReclaim, UrgentWorkBeyondItsGuaranteeMakesRoomForTheGuaranteed)
{
  auto w = shared_fleet ();

  for (int i = 0; i < 4; i++)
    w->submit (0,
               { "q0/000000000000000" + std::to_string (i),
                 gang (1, 8, 30000) },
               "beta-key");
  w->run (1000);
  EXPECT_EQ (w->n_starts (), 4);
  w->submit (1, { "q0/00000000000000aa", gang (2, 8, 2000) });
  w->run (reclaim_ms);
  EXPECT_EQ (w->starts ("00000000000000aa.0.0.0"), 1);
  EXPECT_EQ (w->starts ("00000000000000aa.0.0.1"), 1);
  /* What beta is guaranteed itself, its oldest job, goes on. */
  EXPECT_EQ (w->starts ("0000000000000000.0.0.0"), 1);
  int kept = 0;
  for (auto &worker : w->workers)
    kept += (int)worker.runs.count ("0000000000000000.0.0.0");
  EXPECT_EQ (kept, 1);
  EXPECT_TRUE (w->violations.empty ());
}

TEST (QueueReclaim, BeyondItsGuaranteeAWorkspaceWaits)
{
  auto w = shared_fleet ();

  for (int i = 0; i < 4; i++)
    w->submit (0,
               { "q0/000000000000000" + std::to_string (i), gang (1, 8, 6000) },
               i < 2 ? "key" : "beta-key");
  w->run (1000);
  w->submit (1, { "q0/00000000000000bb", gang (2, 8, 2000) });
  w->run (reclaim_ms);
  EXPECT_EQ (w->starts ("00000000000000bb.0.0.0"), 0);
  EXPECT_EQ (w->n_starts (), 4);
  w->run (8000);
  EXPECT_EQ (w->state_of ("00000000000000bb"), "completed");
  EXPECT_EQ (w->n_starts (), 6);
}

TEST (QueueReclaim, LessUrgentWorkIsStoppedBeforeUrgentWork)
{
  auto w = shared_fleet ();

  for (int i = 0; i < 2; i++)
    w->submit (0,
               { "q0/000000000000000" + std::to_string (i),
                 gang (1, 8, 30000) },
               "beta-key");
  for (int i = 2; i < 4; i++)
    w->submit (0,
               { "q1/000000000000000" + std::to_string (i),
                 gang (1, 8, 30000) },
               "beta-key");
  w->run (2000);
  w->submit (1, { "q0/00000000000000cc", gang (2, 8, 2000) });
  w->run (reclaim_ms);
  EXPECT_EQ (w->starts ("00000000000000cc.0.0.1"), 1);
  EXPECT_EQ (w->starts ("0000000000000000.0.0.0"), 1);
  EXPECT_EQ (w->starts ("0000000000000001.0.0.0"), 1);
}

TEST (QueueReclaim, TheGuaranteedComeBeforeAFloodOfSmallUrgentJobs)
{
  auto w = shared_fleet ();

  for (int i = 0; i < 60; i++)
    {
      w->submit (0,
                 { "q0/00000000000001" + std::to_string (10 + i),
                   gang (1, 8, 900) },
                 "beta-key");
      w->run (20);
    }
  w->submit (1, { "q0/00000000000000dd", gang (2, 8, 2000) });
  w->run (reclaim_ms);
  EXPECT_EQ (w->starts ("00000000000000dd.0.0.0"), 1);
  EXPECT_EQ (w->starts ("00000000000000dd.0.0.1"), 1);
}
