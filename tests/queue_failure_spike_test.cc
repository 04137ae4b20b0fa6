#include "queue_world.h"

#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "failure_spike.h"
}

/* Failure spikes: some workers report that they are well, but fail every run
   early.  Only failed runs reveal these workers, and a job has few
   attempts. */

namespace
{
const ClockMs spike_ms = 6000;
const ClockMs early_failure_ms = 90;

struct Submitted
{
  std::vector<std::string> urgent_ids;
  std::vector<std::string> wide_ids;
};

/* Submits urgent gangs of five and wide gangs of 16, whose tasks take a whole
   worker each, to the routes that begin with LETTER, and one job of N_OTHER
   short tasks to q2 every half second.  Meanwhile, every fifth worker of
   SERVICE fails all its runs for SPIKE_MS.  Returns the ids of the gangs. */
Submitted
submit_during_spike (QueueWorld &w,
                     const std::string &service = "render",
                     int n_other = 0)
{
  const std::string letter = service == "render" ? "q" : service.substr (0, 1);
  const std::string gang_option = ",\"gang\":true";
  Submitted submitted;

  for (ClockMs t = 0; t < 16000; t += 50)
    {
      bool in_spike = t >= 3000 && t < 3000 + spike_ms;

      for (size_t i = 0; i < w.workers.size (); i++)
        {
          w.workers[i].fails_all =
              in_spike && w.workers[i].service == service && i % 5 == 2;
          w.workers[i].fails_after = early_failure_ms + (ClockMs)i;
        }
      if (t % 400 == 0)
        {
          submitted.urgent_ids.push_back (std::to_string (910000 + t));
          w.submit (0, { letter + "0/" + submitted.urgent_ids.back (),
                         world_body (world_step (5, 7000, 8, gang_option),
                                     "ms=1500 gang=5") });
        }
      if (t % 1600 == 0)
        {
          submitted.wide_ids.push_back (std::to_string (970000 + t));
          w.submit (0, { letter + "1/" + submitted.wide_ids.back (),
                         world_body (world_step (16, 16000, 8, gang_option),
                                     "ms=4000 gang=16") });
        }
      if (n_other && t % 500 == 0)
        w.submit (0, { "q2/" + std::to_string (800000 + t),
                       world_body (world_step (n_other, 1000, 1), "ms=400") });
      w.run (50);
    }
  w.run (30000);
  return submitted;
}

void
expect_completed (QueueWorld &w, const Submitted &submitted, unsigned seed)
{
  for (const auto &id : submitted.urgent_ids)
    EXPECT_EQ (w.state_of (id), "completed") << id << " seed " << seed;
  for (const auto &id : submitted.wide_ids)
    EXPECT_EQ (w.state_of (id), "completed") << id << " seed " << seed;
  w.expect_no_violations ();
}
}

TEST (QueueFailureSpike, FailureSpikeFailsNoJob)
{
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      QueueWorld w (2, 100, seed);

      w.run (3000);
      expect_completed (w, submit_during_spike (w), seed);
    }
}

TEST (QueueFailureSpike, RunsOfAnotherServiceHideASpike)
{
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      QueueWorld w (2, 20, seed);

      w.add_service (2, "lab", 100);
      w.run (3000);
      expect_completed (w, submit_during_spike (w, "lab", 160), seed);
    }
}

TEST (QueueFailureSpike, LastAttemptWaitsForASpikeOfAnotherService)
{
  QueueWorld w (1, 10);

  w.add_service (2, "lab", 3);
  w.run (3000);
  for (int i = 0; i < 30; i++)
    {
      w.submit (0, { "q1/" + std::to_string (920000 + i),
                     world_body (world_step (1, 16000, 2), "ms=200 fail") });
      if (i == 10)
        w.submit (0, { "l1/930000",
                       world_body (world_step (1, 16000, 2), "ms=200 fail") });
      w.run (100);
    }
  w.run (1000);
  /* Its three attempts are over. */
  EXPECT_EQ (w.state_of ("930000"), "failed");
  w.expect_no_violations ();
}

/* Occasional failures that jobs cause themselves are no failure spike. */
TEST (FailureSpike, OccasionalFailuresAreNoSpike)
{
  FailureSpike spike {};

  for (ClockMs t = 0; t < 20000; t += 20)
    {
      failure_spike_record (&spike, t, t % 400 == 0);
      ASSERT_EQ (failure_spike_since (&spike), 0) << t;
    }
  for (ClockMs t = 20000; t < 24000; t += 20)
    failure_spike_record (&spike, t, t % 60 == 0);
  EXPECT_GE (failure_spike_since (&spike), 19000);
  EXPECT_LE (failure_spike_since (&spike), 21000);
  for (ClockMs t = 24000; t < 40000; t += 20)
    failure_spike_record (&spike, t, FALSE);
  EXPECT_EQ (failure_spike_since (&spike), 0);
}

TEST (FailureSpike, OneFailureIsNoSpike)
{
  FailureSpike spike {};

  failure_spike_record (&spike, 1000, TRUE);
  EXPECT_EQ (failure_spike_since (&spike), 0);
}

TEST (QueueFailureSpike, MembersOfOneGangThatFailsAreTakenForASpike)
{
  QueueWorld w (1, 30);
  char *metrics;

  w.run (3000);
  for (auto &worker : w.workers)
    worker.fails_all = true;
  w.submit (0, { "q1/940000",
                 world_body (world_step (20, 16000, 8, ",\"gang\":true"),
                             "ms=500 gang=20") });
  for (int i = 0; i < 100 && !w.count_lines ("event=task_failed"); i++)
    w.run (10);
  for (auto &worker : w.workers)
    worker.fails_all = false;
  w.run (200);
  ASSERT_EQ (w.count_lines ("event=task_failed"), 1);
  metrics = node_metrics (w.hosts[0].node);
  EXPECT_NE (strstr (metrics, "scheduler_failure_spike 0\n"), nullptr);
  g_free (metrics);
  w.run (3000);
  EXPECT_EQ (w.state_of ("940000"), "completed");
  w.expect_no_violations ();
}
