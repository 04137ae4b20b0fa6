#include "queue_world.h"

#include <gtest/gtest.h>

/* Slow workers: urgent gangs avoid them, use them if there are no others, and a
   worker that has recovered counts as normal again. */

static std::string
id_of (int n)
{
  std::string id = std::to_string (n);

  return std::string (16 - id.size (), '0') + id;
}

/* Returns a deployment of eight workers that run one long task each; the
   workers in SLOW have since become eight times slower. */
static std::unique_ptr<QueueWorld>
busy_fleet (const std::vector<int> &slow)
{
  auto w = std::make_unique<QueueWorld> (2, 8);

  w->run (3000);
  w->submit (0, { "q1/" + id_of (1),
                  world_body (world_step (8, 50000, 1, ",\"estimateMs\":20000"),
                              "ms=30000") });
  w->run (5000);
  for (int i : slow)
    w->workers[i].slowdown = 8.0;
  w->run (2500);
  return w;
}

static std::string
urgent_gang ()
{
  return world_body (world_step (2, 1000, 2, ",\"gang\":true"),
                     "ms=1000 gang=2");
}

TEST (QueueSpeed, GangsAvoidSlowWorkers)
{
  auto w = busy_fleet ({ 0, 1, 2 });

  for (int i = 10; i < 18; i++)
    {
      w->submit (0, { "q0/" + id_of (i), urgent_gang () });
      w->run (100);
    }
  w->run (1500);
  for (int i = 10; i < 18; i++)
    EXPECT_EQ (w->state_of (id_of (i)), "completed") << i;
  for (auto &worker : w->workers)
    for (auto &run : worker.runs)
      EXPECT_EQ (run.first.substr (0, 16), id_of (1)) << run.first;
  EXPECT_TRUE (w->violations.empty ());
}

TEST (QueueSpeed, GangRunsOnSlowWorkersIfAllAreSlow)
{
  auto w = busy_fleet ({ 0, 1, 2, 3, 4, 5, 6, 7 });

  w->submit (0, { "q0/" + id_of (10), urgent_gang () });
  w->run (12000);
  EXPECT_EQ (w->state_of (id_of (10)), "completed");
}

TEST (QueueSpeed, RecoveredWorkerIsNoLongerSlow)
{
  auto w = busy_fleet ({ 4 });
  auto n_lines_with = [&] (const char *text) {
    int n = 0;

    for (auto &line : w->lines)
      n += line.find (text) != std::string::npos;
    return n;
  };

  EXPECT_EQ (n_lines_with ("event=worker_speed worker=w4 slow=1"), 1);
  w->workers[4].slowdown = 1.0;
  w->run (4000);
  EXPECT_EQ (n_lines_with ("event=worker_speed worker=w4 slow=0"), 1);
  EXPECT_EQ (n_lines_with ("event=worker_speed"), 2);
}

TEST (QueueSpeed, JobsAtTwiceTheirEstimateMarkNoWorkerSlow)
{
  QueueWorld w (2, 4);

  w.run (3000);
  w.submit (0, { "q1/" + id_of (1),
                 world_body (world_step (8, 4000, 1, ",\"estimateMs\":4000"),
                             "ms=9000") });
  w.run (9000);
  for (auto &line : w.lines)
    EXPECT_EQ (line.find ("event=worker_speed"), std::string::npos) << line;
}
