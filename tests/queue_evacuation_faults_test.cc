#include "queue_world.h"

#include <gtest/gtest.h>

/* Faults of the evacuation of failure domains.  A domain's workers share a
   rack. */

static const char *const domains[] = { "a", "b", "c", nullptr };
static const std::string job_id = "00000000000000f1";

/* Returns a deployment with PER_DOMAIN workers in each of the first N_DOMAINS
   domains. */
static std::unique_ptr<QueueWorld>
make_world (int n_domains,
            int per_domain,
            ClockMs bound = 5000,
            unsigned seed = 1,
            int n_hosts = 2)
{
  auto w = std::make_unique<QueueWorld> (n_hosts, n_domains * per_domain, seed);

  w->bounds.evacuation = bound;
  w->domains = domains;
  for (int i = 0; i < n_domains * per_domain; i++)
    {
      w->workers[i].domain = domains[i / per_domain];
      w->workers[i].rack = "r" + w->workers[i].domain;
      w->put_worker (i);
    }
  for (int i = 0; i < n_hosts; i++)
    {
      w->kill_host (i);
      w->start_host (i);
    }
  w->run (3000);
  return w;
}

static double
metric (QueueWorld &w, const std::string &name)
{
  char *text = node_metrics (w.hosts[w.scheduler ()].node);
  std::string s = text;

  g_free (text);
  return atof (s.c_str () + s.find ("\n" + name + " ") + name.size () + 2);
}

TEST (QueueEvacuationFaults, NothingEverStartsWithABoundOfUnderTwoSeconds)
{
  auto w = make_world (2, 1, 1900);

  w->submit (0, { "q1/" + job_id, world_body (world_step (1, 1000, 1)) });
  w->run (20000);
  EXPECT_EQ (w->starts (job_id + ".0.0.0"), 1);
}

TEST (QueueEvacuationFaults, StartsAreHeldAgainAndAgainInCalmWithAShortBound)
{
  auto w = make_world (2, 1, 2500);

  w->run (10000);
  EXPECT_EQ (w->count_lines ("event=starts_held"), 0);
}

TEST (QueueEvacuationFaults, DomainWhoseNameIsNotAsciiIsNotEvacuated)
{
  auto w = make_world (1, 1);

  w->workers[0].domain = "z\xc3\xbcrich";
  w->put_worker (0);
  w->evacuate (w->workers[0].domain);
  w->run (6000);
  w->submit (0, { "q1/" + job_id, world_body (world_step (1, 1000, 1)) });
  w->run (500);
  EXPECT_EQ (w->starts (job_id + ".0.0.0"), 0);
}

/* Free room is counted in the largest workers of the service. */
TEST (QueueEvacuationFaults, EvacuatedWorkersCountAsTheLargestOnes)
{
  auto w = make_world (2, 2);

  w->workers[2].capacity.accelerators = w->workers[3].capacity.accelerators = 4;
  w->put_worker (2);
  w->put_worker (3);
  w->evacuate ("a");
  w->run (1000);
  w->submit (0, { "q1/" + job_id, world_body (world_step (1, 1000, 5)) });
  w->run (1000);
  EXPECT_NEAR (metric (*w, "wagtailpass_scheduler_free_workers"), 2, 0.01);
}

TEST (QueueEvacuationFaults, UnsentStartIsWithdrawnWithoutALineOfItsJob)
{
  auto w = make_world (2, 1);
  int n = 0;

  w->workers[0].endless_call_rate = w->workers[1].endless_call_rate = 1.0;
  w->submit (0, { "q1/" + job_id, world_body (world_step (1, 1000, 1)) });
  for (int i = 0; i < 100 && !w->count_lines ("event=start job="); i++)
    w->run (5);
  w->evacuate ("a");
  w->evacuate ("b");
  w->run (100);
  ASSERT_EQ (metric (*w, "wagtailpass_scheduler_evacuation_withdrawn_total"),
             1);
  for (auto &line : w->lines)
    n += line.find (job_id) != std::string::npos &&
         line.find ("evacuation") != std::string::npos;
  EXPECT_GE (n, 1);
}

TEST (QueueEvacuationFaults,
      SuccessorTellsTheLastStartBeforeItHasHeardTheDomain)
{
  auto w = make_world (2, 1);
  int n;

  w->evacuate ("a");
  w->run (100);
  n = w->count_lines ("event=evacuation_last_start domain=a");
  w->workers[0].unreachable_until = w->now () + 20000;
  w->kill_host (w->scheduler ());
  w->run (4000);
  ASSERT_GE (w->scheduler (), 0);
  EXPECT_EQ (w->count_lines ("event=evacuation_last_start domain=a"), n);
}

TEST (QueueEvacuationFaults, LeaderCutOffFromTheRequestsAloneKeepsTheRole)
{
  auto w = make_world (2, 1);

  w->hosts[w->scheduler ()].operators_silent_until = w->now () + 60000;
  w->run (6000);
  w->submit (1 - w->scheduler (),
             { "q0/" + job_id, world_body (world_step (1, 1000, 1)) });
  w->run (20000);
  ASSERT_EQ (w->count_lines ("event=job_accepted"), 1);
  EXPECT_EQ (w->starts (job_id + ".0.0.0"), 1);
}

/* Returns how often a host of W has taken the role. */
static int
n_terms (const QueueWorld &w)
{
  return w.count_lines ("event=role_taken");
}

TEST (QueueEvacuationFaults, RoleGoesToAndFroWhenNoHostReadsTheRequests)
{
  auto w = make_world (2, 1);
  int n = n_terms (*w);

  for (WorldHost &h : w->hosts)
    h.operators_silent_until = w->now () + 150000;
  w->run (120000);
  EXPECT_LE (n_terms (*w) - n, 4);
  EXPECT_GE (n_terms (*w) - n, 2);
}

TEST (QueueEvacuationFaults, RunningTaskIsLostWhileNoHostReadsTheRequests)
{
  auto w = make_world (2, 1);

  w->submit (0, { "q1/" + job_id,
                  world_body (world_step (1, 30000, 1), "ms=30000") });
  w->run (1000);
  for (WorldHost &h : w->hosts)
    h.operators_silent_until = w->now () + 40000;
  w->run (50000);
  EXPECT_EQ (w->state_of (job_id), "completed");
  EXPECT_EQ (w->starts (job_id + ".0.0.0"), 1);
  w->expect_no_violations ();
}

TEST (QueueEvacuationFaults, HostThatCanNotReadTheRequestsTakesAFreeRole)
{
  for (int offset : { 1, 2 })
    {
      auto w = make_world (2, 1, 5000, 1, 3);
      int leader = w->scheduler ();
      int blind = (leader + offset) % 3;

      w->hosts[blind].operators_silent_until = w->now () + 60000;
      w->run (6000);
      w->kill_host (leader);
      w->run (8000);
      EXPECT_EQ (w->scheduler (), 3 - leader - blind);
    }
}

/* The role's lease is long, so that the role itself outlives the outage. */
TEST (QueueEvacuationFaults, LeaderGivesUpTheRoleForAnOutageOfTheWholeStore)
{
  auto w = make_world (2, 1);

  w->min_store_lease = 6000;
  for (int i = 0; i < 2; i++)
    {
      w->kill_host (i);
      w->start_host (i);
    }
  w->run (70000);
  for (WorldHost &h : w->hosts)
    h.store_silent_until = w->now () + 12200;
  w->run (16000);
  EXPECT_EQ (w->count_lines ("event=starts_held"), 1);
  EXPECT_EQ (w->count_lines ("event=role_left reason=evacuations_unknown"), 0);
}

TEST (QueueEvacuationFaults, StartsAreHeldInCalmWithTheLeastBound)
{
  auto w = make_world (2, 1, BOUNDS_MIN_EVACUATION_MS);

  w->run (10000);
  EXPECT_EQ (w->count_lines ("event=starts_held"), 0);
}

TEST (QueueEvacuationFaults, DomainWithASpaceMakesALineThatCanNotBeParsed)
{
  auto w = make_world (1, 1);

  w->workers[0].domain = "north 2";
  w->put_worker (0);
  w->evacuate ("north 2");
  w->run (1000);
  EXPECT_EQ (w->count_lines ("event=evacuation_seen domain=north%202 "), 1);
}

TEST (QueueEvacuationFaults, RequestForADomainOfControlCharactersIsServed)
{
  auto w = make_world (1, 1);

  for (const char *name : { "", "a\nb", "a\xc2\x85", "a\xff" })
    w->evacuate (name);
  w->run (1000);
  EXPECT_EQ (metric (*w, "wagtailpass_evacuations_unreadable_total"), 4);
  EXPECT_EQ (metric (*w, "wagtailpass_evacuated_domains"), 0);
}

TEST (QueueEvacuationFaults, EvacuatedWorkersMakeFailuresOfJobsThoseOfWorkers)
{
  auto w = make_world (3, 2);

  w->evacuate ("a");
  w->evacuate ("b");
  w->run (100);
  w->workers[4].fails_all = w->workers[5].fails_all = true;
  w->workers[4].fails_after = w->workers[5].fails_after = 200;
  for (int i = 0; i < 8; i++)
    w->submit (0, { "q1/" + std::to_string (480000 + i),
                    world_body (world_step (1, 1000, 8), "ms=800"), 4 });
  w->run (3000);
  EXPECT_GE (w->starts ("480001.0.0.0"), 1);
  EXPECT_EQ (w->count_lines ("event=quarantine "), 0);
}
