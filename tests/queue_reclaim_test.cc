#include "queue_world.h"

#include <gtest/gtest.h>

/* Reclaim of a workspace's guaranteed resources after other workspaces have
   borrowed them. */

/* Urgent jobs within the guarantee start this long after submission at most. */
static const ClockMs reclaim_ms = 2700;
static const char *const beta_workspace =
    ",{\"name\":\"beta\",\"apiKeys\":[\"beta-key\"],"
    "\"guaranteed\":{\"gpu\":8}}";

/* Returns a job with one gang of COUNT tasks that run for MS milliseconds. */
static std::string
gang (int count, int accelerators, int ms)
{
  return world_body (world_step (count, 1000, accelerators, ",\"gang\":true"),
                     "ms=" + std::to_string (ms) +
                         " gang=" + std::to_string (count));
}

/* Returns a deployment of four workers with eight accelerators each.  Workspace
   alpha is guaranteed 16 accelerators, beta 8. */
static std::unique_ptr<QueueWorld>
shared_fleet ()
{
  auto w = std::make_unique<QueueWorld> (2, 4);

  w->extra_tenants_json = beta_workspace;
  w->put_conf (2, "key");
  w->run (3000);
  return w;
}

TEST (QueueReclaim, UrgentJobsBeyondTheGuaranteeAreEvictedForGuaranteedOnes)
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
  /* Beta's oldest job is within its own guarantee, and keeps running. */
  EXPECT_EQ (w->starts ("0000000000000000.0.0.0"), 1);
  int n_running = 0;
  for (auto &worker : w->workers)
    n_running += (int)worker.runs.count ("0000000000000000.0.0.0");
  EXPECT_EQ (n_running, 1);
  EXPECT_TRUE (w->violations.empty ());
}

TEST (QueueReclaim, WorkspaceBeyondItsGuaranteeWaits)
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

TEST (QueueReclaim, LessUrgentJobsAreEvictedBeforeUrgentOnes)
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

TEST (QueueReclaim, GuaranteedJobStartsBeforeAFloodOfSmallUrgentJobs)
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
