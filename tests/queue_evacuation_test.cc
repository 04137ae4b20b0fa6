#include "queue_world.h"

#include <gtest/gtest.h>

/* Evacuation of a failure domain: what is in flight when the request arrives,
   capacity, admission, and faults meanwhile. */

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

  for (int i = 0; i < n_small; i++)
    w->workers[i].capacity.accelerators = small_gpu;
  w->enable_evacuations (domains, 1);
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

/* Submits a task to W, and evacuates "a" SPAN after a worker was chosen. */
static void
start_and_evacuate (QueueWorld &w, ClockMs span = 0)
{
  submit (w, world_step (1, 1000, 4));
  run_until_line (w, "event=start job=");
  w.run (span);
  w.evacuate ("a");
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

/* Submits a job to W, whose workers are all in "a", and expects it to start
   only when "a" is back in service. */
static void
expect_wait_for_end (QueueWorld &w)
{
  submit (w, world_step (1, 1000, 4));
  w.run (bound_ms + 1000);
  EXPECT_EQ (w.starts (task ()), 0);
  w.end_evacuation ("a");
  expect_completed (w, 1);
}

TEST (QueueEvacuation, StartThatWaitsForAClockReadingIsPlacedElsewhereAtOnce)
{
  auto w = two_domains (2, 1);

  w->workers[0].endless_call_rate = 1.0;
  start_and_evacuate (*w);
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
  start_and_evacuate (*w, 220);
  ASSERT_TRUE (runs_on (*w, 0));
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
  start_and_evacuate (*w);
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

TEST (QueueEvacuation, NextAttemptIsPlacedElsewhereWithItsCheckpoint)
{
  auto w = two_domains (2, 1);

  w->workers[0].fails_all = true;
  w->workers[0].fails_after = 600;
  w->workers[0].checkpoint = "half";
  start_and_evacuate (*w, 400);
  w->run (900);
  ASSERT_TRUE (runs_on (*w, 1));
  EXPECT_EQ (w->workers[1].runs[task ()].checkpoint, "half");
  expect_completed (*w, 2);
}

TEST (QueueEvacuation, RunningTaskGoesOnAndNothingNewStartsUntilTheEnd)
{
  auto w = two_domains (1, 1);

  start_and_evacuate (*w, 500);
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
  auto w = two_domains (1, 1);

  w->evacuate ("a");
  w->run (100);
  w->workers[0].domain = "b";
  w->put_worker (0);
  submit (*w, world_step (1, 1000, 4));
  expect_completed (*w, 1);
}

/* The successor's watch does not tell it in time. */
TEST (QueueEvacuation, SuccessorListsTheRequestsBeforeItStartsAnything)
{
  auto w = two_domains (1, 1);
  int scheduler = w->scheduler ();

  w->hosts[1 - scheduler].operators_silent_until = w->now () + 3000;
  w->evacuate ("a");
  w->run (100);
  w->kill_host (scheduler);
  expect_wait_for_end (*w);
}

TEST (QueueEvacuation, StartsThatWaitForTheProcessorAreTakenBack)
{
  static const guint pieces = 8; /* calls that leave the host in a step */
  QueueWorld w (1, 13);
  size_t n = 0;

  w.enable_evacuations (domains, 12);
  w.run (3000);
  w.submit (0, { "q1/00000000000000c1",
                 world_body (world_step (13, 1000, 5), "ms=20000") });
  w.run (1000);
  w.processor.call = 10;
  w.hosts[0].budget.pieces = pieces;
  submit (w, world_step (13, 1000, 2), "ms=20000");
  run_until_line (w, "event=start job=" + job_id);
  w.evacuate ("a");
  w.run (2000);
  for (int i = 0; i < 12; i++)
    n += w.workers[i].runs.size () - 1;
  EXPECT_LE (n, pieces);
  EXPECT_EQ (w.workers[12].runs.size (), 2u);
}

TEST (QueueEvacuation, TaskWhoseDataRackIsEvacuatedRunsElsewhereAtOnce)
{
  for (const char *gang : { "", ",\"gang\":true" })
    {
      QueueWorld w (2, 8);

      w.enable_evacuations (domains, 4);
      w.run (3000);
      w.evacuate ("a");
      w.run (100);
      submit (w,
              world_step (1, 1000, 4,
                          std::string (",\"affinity\":\"r0\"") + gang),
              *gang ? "ms=1000 gang=1" : "ms=1000");
      w.run (200);
      EXPECT_EQ (w.starts (task ()), 1) << gang;
      expect_completed (w, 1);
    }
}

TEST (QueueEvacuation, GangWhoseOnlyFittingRackIsEvacuatedIsSpreadAtOnce)
{
  QueueWorld w (2, 8);

  for (int i = 4; i < 8; i++)
    w.workers[i].rack = "r" + std::to_string (i / 2);
  w.enable_evacuations (domains, 4);
  w.run (3000);
  w.submit (0, { "q1/00000000000000c1",
                 world_body (world_step (1, 1000, 8, ",\"affinity\":\"r0\""),
                             "ms=20000") });
  w.run (500);
  submit (w, world_step (4, 1000, 8, ",\"gang\":true,\"sameRack\":true"),
          "ms=1000 gang=4");
  w.run (500);
  EXPECT_EQ (w.starts (task (3)), 0);
  w.evacuate ("a");
  w.run (200);
  EXPECT_EQ (w.starts (task (3)), 1);
  expect_completed (w, 1);
}

TEST (QueueEvacuation, EndWithinASecondPlacesAgainWhatWasWithdrawn)
{
  auto w = two_domains (1, 0);

  for (int i = 0; i < 3; i++)
    {
      w->evacuate ("a");
      w->run (200);
      w->end_evacuation ("a");
      w->run (200);
    }
  w->evacuate ("a");
  expect_wait_for_end (*w);
  EXPECT_EQ (w->count_lines ("event=evacuation_seen domain=a"), 4);
}

TEST (QueueEvacuation, AllDomainsLoseNoAcceptedJob)
{
  auto w = two_domains (4, 0);

  for (int i = 0; i < 6; i++)
    w->submit (0, { "q2/00000000000000c" + std::to_string (i),
                    world_body (world_step (2, 1000, 8)) });
  w->evacuate ("a");
  w->evacuate ("b");
  w->run (9000);
  int n = w->n_starts ();
  w->run (1000);
  EXPECT_EQ (w->n_starts (), n);
  w->end_evacuation ("b");
  w->run (10000);
  w->expect_all_final ();
  w->expect_no_violations ();
}

TEST (QueueEvacuation, UnreadableValueEvacuatesAndUnknownDomainIsKept)
{
  auto w = two_domains (1, 0);

  w->evacuate ("a", "\xff");
  w->evacuate ("c");
  w->forge_record ("op/evacuate/", "{}");
  w->forge_record ("op/evacuate/no\ngood", "{}");
  w->run (100);
  /* On each of the two hosts. */
  EXPECT_EQ (w->count_lines ("event=evacuation_unreadable"), 6);
  EXPECT_EQ (w->count_lines ("event=evacuation_unknown_domain domain=c"), 2);
  EXPECT_EQ (w->count_lines ("event=evacuation_seen domain=c"), 1);
  submit (*w, world_step (1, 1000, 4));
  w->run (bound_ms + 1000);
  w->end_evacuation ("a");
  w->workers[0].domain = "c";
  w->put_worker (0);
  w->run (1000);
  EXPECT_EQ (w->starts (task ()), 0);
  w->end_evacuation ("c");
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, NothingIsDecidedWithoutTheSetting)
{
  QueueWorld w (1, 1);

  w.run (3000);
  w.evacuate ("z");
  w.run (100);
  submit (w, world_step (1, 1000, 4));
  expect_completed (w, 1);
  EXPECT_EQ (w.count_lines ("event=evacuation"), 0);
}

/* Returns the value of the scheduler's metric NAME. */
static double
metric (const QueueWorld &w, const std::string &name)
{
  char *text = node_metrics (w.hosts[w.scheduler ()].node);
  const char *at = strstr (text, ("\n" + name + " ").c_str ());
  double value = at ? atof (at + name.size () + 2) : -1;

  g_free (text);
  return value;
}

static const char *const six_domains[] = { "d0", "d1", "d2",   "d3",
                                           "d4", "d5", nullptr };

TEST (QueueEvacuation, CapacityAndReserveLeaveOutASixthAndAThirdUnderFullLoad)
{
  for (int n_away : { 1, 2 })
    {
      QueueWorld w (2, 12);
      int n = 0;

      w.enable_evacuations (six_domains, 2);
      w.run (3000);
      for (int i = 0; i < 40; i++)
        {
          for (const char *queue : { "q1/", "q2/", "q1/", "q0/" })
            w.submit (i % 2, { queue + std::to_string (100000 + n++),
                               world_body (world_step (1, 1000, 4)) });
          if (i == 10)
            for (int k = 0; k < n_away; k++)
              w.evacuate (six_domains[k]);
          w.run (200);
        }
      EXPECT_EQ (metric (w, "wagtailpass_scheduler_usable_workers"),
                 12 - 2 * n_away);
      /* The workers that are away are idle by now. */
      EXPECT_TRUE (w.workers[0].runs.empty () && w.workers[1].runs.empty ());
      EXPECT_LE (metric (w, "wagtailpass_scheduler_free_workers"),
                 metric (w, "wagtailpass_scheduler_reserved_workers") + 1);
      EXPECT_LE (metric (w, "wagtailpass_scheduler_reserved_workers"),
                 0.4 * (12 - 2 * n_away));
      w.run (40000);
      w.expect_all_final ();
      w.expect_no_violations ();
    }
}

TEST (QueueEvacuation, GuaranteedJobReclaimsInServiceWhileItsCapacityIsAway)
{
  QueueWorld w (2, 4);

  w.extra_tenants_json = ",{\"name\":\"beta\",\"apiKeys\":[\"beta-key\"],"
                         "\"guaranteed\":{\"gpu\":0}}";
  w.put_conf (2, "key");
  w.enable_evacuations (domains, 2);
  w.run (3000);
  for (int i = 0; i < 4; i++)
    w.submit (0,
              { "q0/00000000000000c" + std::to_string (i),
                world_body (world_step (1, 1000, 8), "ms=20000") },
              "beta-key");
  w.run (1000);
  w.evacuate ("a");
  w.run (1000);
  submit (w, world_step (2, 1000, 8), "ms=2000", "q0");
  w.run (2700);
  EXPECT_EQ (w.starts (task (0)) + w.starts (task (1)), 2);
  /* No run is stopped for room that nobody may use. */
  EXPECT_EQ (w.workers[0].runs.size () + w.workers[1].runs.size (), 2u);
  w.expect_no_violations ();
}

TEST (QueueEvacuation,
      OnlyJobsThatCannotBeInTimeAreRefusedWhileAllDomainsAreAway)
{
  auto w = two_domains (2, 0);
  std::string slow = world_body (
      "{\"count\":1,\"cpu\":1,\"memMb\":1,\"gpu\":1,\"estimateMs\":9000}");
  std::string urgent = world_body (world_step (1, 1, 1)); /* objective: 4 s */
  std::set<ClockMs> retries;
  std::vector<int> requests;

  w->submit (w->scheduler (), { "q1/00000000000000c0", urgent });
  w->run (2000);
  w->evacuate ("a");
  w->run (3000);
  w->evacuate ("b");
  w->run (6000);
  for (int i = 0; i < 4; i++)
    requests.push_back (
        w->submit (0, { "q1/00000000000000d" + std::to_string (i), urgent }));
  /* Stored before, which this host does not know. */
  int repeated =
      w->submit (1 - w->scheduler (), { "q1/00000000000000c0", urgent });
  w->run (100);
  EXPECT_EQ (w->answer (repeated)->status, 200);
  for (int request : requests)
    {
      EXPECT_EQ (w->answer (request)->status, 503);
      EXPECT_GE (w->answer (request)->retry_after, 6000 * 3 / 4);
      EXPECT_LE (w->answer (request)->retry_after, 6100 * 5 / 4);
      retries.insert (w->answer (request)->retry_after);
    }
  EXPECT_EQ (retries.size (), 4u);
  w->submit (0, { "q1/00000000000000e0", slow });
  w->run (2000);
  w->end_evacuation ("b");
  w->run (5000);
  EXPECT_EQ (w->state_of ("00000000000000e0"), "completed");
  EXPECT_EQ (w->starts ("00000000000000d0.0.0.0"), 0);
  w->expect_no_violations ();
}

TEST (QueueEvacuation, JobsAreAcceptedSoonAfterTheRequestAndWithoutKnownDomains)
{
  for (bool named : { false, true })
    {
      QueueWorld w (1, 1);
      static const char *const none[] = { nullptr };

      w.enable_evacuations (domains, 1);
      w.domains = named ? domains : none;
      w.kill_host (0);
      w.start_host (0);
      w.run (3000);
      w.evacuate ("a");
      w.evacuate ("b");
      w.run (named ? 2000 : 20000);
      submit (w, world_step (1, 1, 1));
      w.run (100);
      w.end_evacuation ("a");
      expect_completed (w, 1);
    }
}

TEST (QueueEvacuation, WaitForWorkersInEvacuatedDomainsIsNamed)
{
  QueueWorld w (1, 8);

  w.enable_evacuations (domains, 4);
  w.run (3000);
  w.evacuate ("a");
  w.run (100);
  submit (w, world_step (1, 1, 1, ",\"requiredLabel\":\"r0\""), "ms=30000");
  w.run (7000);
  EXPECT_EQ (metric (w, "wagtailpass_scheduler_delayed_tasks"
                        "{cause=\"evacuation\"}"),
             1);
  EXPECT_GE (w.count_lines ("event=delayed job=" + job_id), 1);
  w.end_evacuation ("a");
  w.run (1500);
  EXPECT_EQ (w.starts (task ()), 1);
  EXPECT_EQ (metric (w, "wagtailpass_scheduler_delayed_tasks"
                        "{cause=\"evacuation\"}"),
             0);
}

/* Faults of hosts, links and the store while a domain is evacuated. */

TEST (QueueEvacuation, StartThatASchedulerDidNotSeeAnsweredRunsOnUnderTheNext)
{
  auto w = two_domains (2, 1);

  w->workers[0].reply_delay = 300;
  start_and_evacuate (*w, 320);
  ASSERT_TRUE (runs_on (*w, 0));
  w->run (30);
  w->kill_host (w->scheduler ());
  w->workers[0].reply_delay = 0;
  expect_completed (*w, 1);
  EXPECT_EQ (w->count_lines ("event=adopted"), 1);
}

TEST (QueueEvacuation, CompactedWatchTellsOfTheRequestAndOfItsDeletion)
{
  auto w = two_domains (1, 0);

  w->evacuate ("a");
  w->compact ();
  w->run (100);
  submit (*w, world_step (1, 1000, 4));
  w->run (bound_ms + 1000);
  EXPECT_EQ (w->starts (task ()), 0);
  w->end_evacuation ("a");
  w->compact ();
  expect_completed (*w, 1);
}

TEST (QueueEvacuation, StartsAreHeldWhileTheWatchIsCutOff)
{
  auto w = two_domains (2, 1);

  for (WorldHost &h : w->hosts)
    h.operators_silent_until = w->now () + 9000;
  w->run (100);
  w->evacuate ("a");
  for (int i = 0; i < 16; i++)
    {
      w->submit (0, { "q1/00000000000000c" + std::to_string (i),
                      world_body (world_step (1, 1000, 4), "ms=100") });
      w->run (500);
    }
  EXPECT_EQ (w->count_lines ("event=starts_held"), 1);
  EXPECT_EQ (metric (*w, "wagtailpass_scheduler_starts_held"), 1);
  w->run (3000);
  EXPECT_EQ (w->count_lines ("event=starts_released"), 1);
  w->expect_all_final ();
  w->expect_no_violations ();
}

TEST (QueueEvacuation, HostThatWasCutOffOrStoodStillStartsNothingThere)
{
  for (bool stands_still : { false, true })
    {
      auto w = two_domains (1, 0);
      WorldHost &h = w->hosts[w->scheduler ()];

      w->workers[0].endless_call_rate = 1.0;
      submit (*w, world_step (1, 1000, 4));
      run_until_line (*w, "event=start job=");
      if (stands_still)
        h.frozen = true;
      else
        h.store_silent_until = w->now () + bound_ms + 2000;
      w->evacuate ("a");
      w->workers[0].endless_call_rate = 0;
      w->run (bound_ms + 2500);
      h.frozen = false;
      w->run (3000);
      w->end_evacuation ("a");
      expect_completed (*w, 1);
    }
}

TEST (QueueEvacuation, PowerLossKeepsTheDomainEvacuated)
{
  auto w = two_domains (1, 0);

  w->evacuate ("a");
  w->run (1000);
  for (int i : { 0, 1 })
    w->kill_host (i, true);
  w->run (1000);
  for (int i : { 0, 1 })
    w->start_host (i);
  w->run (3000);
  expect_wait_for_end (*w);
}

TEST (QueueEvacuation, StartThatIsExecutedLateIsRefused)
{
  auto w = two_domains (2, 1);

  w->workers[0].late_start_rate = 1.0;
  start_and_evacuate (*w, 20);
  expect_completed (*w, 1);
  EXPECT_EQ (w->workers[0].tombstones.count (task ()), 1u);
}
