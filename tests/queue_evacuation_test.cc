#include "queue_world.h"

#include <gtest/gtest.h>

/* Evacuation of a failure domain: what is in flight when the request arrives.
   Each test is of two domains, "a" and "b". */

static const ClockMs bound_ms = 5000;
static const std::string job_id = "00000000000000e1";
static const char *const domains[] = { "a", "b", nullptr };

static const int small_gpu = 4;

/* Returns a deployment whose first worker is in "a" and the others in "b".  The
   first N_SMALL have fewer accelerators, so that small tasks go there first. */
static std::unique_ptr<QueueWorld>
two_domains (int n_workers, int n_small)
{
  auto w = std::make_unique<QueueWorld> (2, n_workers);

  w->bounds.evacuation = bound_ms;
  w->domains = domains;
  for (int i = 0; i < n_workers; i++)
    {
      w->workers[i].domain = i == 0 ? "a" : "b";
      if (i < n_small)
        w->workers[i].capacity.accelerators = small_gpu;
      w->put_worker (i);
    }
  for (int i = 0; i < 2; i++)
    {
      w->kill_host (i);
      w->start_host (i);
    }
  w->run (3000);
  return w;
}

static std::string
task (int index = 0)
{
  return job_id + ".0.0." + std::to_string (index);
}

static void
submit (QueueWorld &w,
        const std::string &step,
        const std::string &text = "ms=3000",
        const std::string &queue = "q1")
{
  w.submit (0, { queue + "/" + job_id, world_body (step, text) });
}

/* Runs W until its scheduler has logged LINE, for 2 s at most. */
static void
run_until_line (QueueWorld &w, const std::string &line)
{
  for (int i = 0; i < 400 && !w.count_lines (line); i++)
    w.run (5);
  EXPECT_EQ (w.count_lines (line), 1) << line;
}

static bool
runs_on (const QueueWorld &w, int worker, int index = 0)
{
  return w.workers[worker].runs.count (task (index)) > 0;
}

static void
expect_completed (QueueWorld &w, int n_starts)
{
  w.run (12000);
  EXPECT_EQ (w.state_of (job_id), "completed");
  EXPECT_EQ (w.starts (task ()), n_starts);
  w.expect_no_violations ();
}

TEST (QueueEvacuation, StartThatWaitsForAClockReadingIsPlacedElsewhereAtOnce)
{
  auto w = two_domains (2, 1);

  w->workers[0].endless_call_rate = 1.0;
  submit (*w, world_step (1, 1000, 4));
  run_until_line (*w, "event=start job=");
  w->evacuate ("a");
  w->run (50);
  EXPECT_TRUE (runs_on (*w, 1));
  EXPECT_EQ (w->count_lines ("event=evacuation_in_force domain=a withdrawn=1 "
                             "in_flight=0"),
             1);
  w->workers[0].endless_call_rate = 0;
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, ClaimOnRoomOfARunThatIsStoppedIsWithdrawn)
{
  auto w = two_domains (2, 1);

  w->submit (0, { "q2/00000000000000e3",
                  world_body (world_step (1, 1000, 4), "ms=9000") });
  w->run (500);
  w->submit (0, { "q0/00000000000000e2",
                  world_body (world_step (1, 1000, 8), "ms=9000") });
  w->run (500);
  submit (*w, world_step (1, 1000, 4), "ms=1000", "q0");
  run_until_line (*w, "event=evict job=" + job_id);
  w->evacuate ("a");
  w->run (2000);
  EXPECT_EQ (w->starts (task ()), 0);
  w->end_evacuation ("a");
  w->run (100);
  EXPECT_TRUE (runs_on (*w, 0));
}

TEST (QueueEvacuation, StartWhoseAnswerIsOutstandingIsLeftAlone)
{
  auto w = two_domains (2, 1);

  w->workers[0].reply_delay = 200;
  submit (*w, world_step (1, 1000, 4));
  run_until_line (*w, "event=start job=");
  w->run (220);
  ASSERT_TRUE (runs_on (*w, 0));
  w->evacuate ("a");
  w->run (50);
  EXPECT_EQ (w->count_lines ("event=evacuation_in_force domain=a withdrawn=0 "
                             "in_flight=1"),
             1);
  EXPECT_EQ (w->count_lines ("event=evacuation_last_start domain=a"), 0);
  w->run (300);
  EXPECT_EQ (w->count_lines ("event=evacuation_last_start domain=a"), 1);
  w->workers[0].reply_delay = 0;
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, LostStartIsNotRepeatedButStoppedAndPlacedElsewhere)
{
  auto w = two_domains (2, 1);

  w->workers[0].loses_orders = true;
  submit (*w, world_step (1, 1000, 4));
  run_until_line (*w, "event=start job=");
  w->evacuate ("a");
  w->run (200);
  w->workers[0].loses_orders = false;
  w->run (1000);
  EXPECT_TRUE (runs_on (*w, 1));
  EXPECT_EQ (w->workers[0].tombstones.count (task ()), 1u);
  EXPECT_EQ (w->count_lines ("event=quarantine"), 0);
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, UnconfirmedGangIsPlacedOutsideTheDomainAsAWhole)
{
  auto w = two_domains (4, 2);

  w->workers[1].loses_orders = true;
  submit (*w, world_step (2, 1000, 4, ",\"gang\":true"), "ms=2000 gang=2");
  run_until_line (*w, "event=start job=");
  w->run (100);
  ASSERT_TRUE (runs_on (*w, 0, 0) || runs_on (*w, 0, 1));
  w->evacuate ("a");
  w->run (50);
  w->workers[1].loses_orders = false;
  w->run (1500);
  EXPECT_TRUE (w->workers[0].runs.empty ());
  expect_completed (*w, w->starts (task ()));
  EXPECT_EQ (w->count_lines ("event=task_failed"), 0);
}

TEST (QueueEvacuation, ConfirmedGangRunsOnAcrossTheDomain)
{
  auto w = two_domains (4, 2);

  submit (*w, world_step (2, 1000, 4, ",\"gang\":true"), "ms=2000 gang=2");
  w->run (500);
  w->evacuate ("a");
  expect_completed (*w, 1);
  EXPECT_EQ (w->count_lines ("event=stop "), 0);
}

TEST (QueueEvacuation, NextAttemptIsPlacedElsewhere)
{
  auto w = two_domains (2, 1);

  w->workers[0].fails_all = true;
  w->workers[0].fails_after = 600;
  submit (*w, world_step (1, 1000, 4));
  w->run (400);
  ASSERT_TRUE (runs_on (*w, 0));
  w->evacuate ("a");
  w->run (900);
  EXPECT_TRUE (runs_on (*w, 1));
  expect_completed (*w, 2);
}

TEST (QueueEvacuation, RunningTaskGoesOnAndNothingNewStartsUntilTheEnd)
{
  auto w = two_domains (1, 1);

  submit (*w, world_step (1, 1000, 4));
  w->run (500);
  w->evacuate ("a");
  w->submit (0, { "q0/00000000000000e2", world_body (world_step (1, 1, 1)) });
  w->run (9000);
  EXPECT_EQ (w->state_of (job_id), "completed");
  EXPECT_EQ (w->starts ("00000000000000e2.0.0.0"), 0);
  w->end_evacuation ("a");
  w->run (100);
  EXPECT_EQ (w->starts ("00000000000000e2.0.0.0"), 1);
  EXPECT_EQ (w->count_lines ("event=evacuation_ended domain=a"), 1);
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, WorkerThatMovesFollowsItsEntry)
{
  auto w = two_domains (2, 1);

  w->evacuate ("a");
  w->workers[0].domain = "b";
  w->put_worker (0);
  w->run (200);
  submit (*w, world_step (1, 1000, 4));
  w->run (500);
  EXPECT_TRUE (runs_on (*w, 0));
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, SuccessorListsTheRequestsBeforeItStartsAnything)
{
  auto w = two_domains (1, 1);

  w->evacuate ("a");
  w->run (100);
  w->kill_host (w->scheduler ());
  submit (*w, world_step (1, 1000, 4));
  w->run (bound_ms + 3000);
  EXPECT_EQ (w->starts (task ()), 0);
  w->end_evacuation ("a");
  expect_completed (*w, 1);
}
