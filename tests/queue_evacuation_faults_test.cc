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
  auto w =
      std::make_unique<QueueWorld> (n_hosts, n_domains * per_domain, seed);

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

TEST (QueueEvacuationFaults, TaskWaitsForTheRackOfItsDataInAnEvacuatedDomain)
{
  auto w = make_world (2, 2);

  w->submit (0, { "q1/00000000000000f2",
                  world_body (world_step (2, 1000, 5), "ms=20000") });
  w->evacuate ("a");
  w->run (1000);
  w->submit (0, { "q1/" + job_id,
                  world_body (world_step (1, 1000, 1, ",\"affinity\":\"ra\"")) });
  w->run (500);
  EXPECT_EQ (w->starts (job_id + ".0.0.0"), 1);
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

/* Jobs, evacuations and faults, drawn from a seed. */
class EvacuationRun
{
public:
  EvacuationRun (unsigned seed, int n_hosts, const WorldLink &link)
      : world (n_hosts, 9, seed, link), rng (g_rand_new_with_seed (seed))
  {
    world.bounds.evacuation = seed % 2 ? 2500 : 5000;
    world.domains = domains;
    world.reorder_calls = true;
    for (int i = 0; i < 9; i++)
      {
        world.workers[i].domain = domains[i / 3];
        world.workers[i].rack = "r" + world.workers[i].domain;
        world.put_worker (i);
      }
    for (int i = 0; i < n_hosts; i++)
      {
        world.kill_host (i);
        world.start_host (i);
      }
  }
  ~EvacuationRun ()
  {
    g_rand_free (rng);
  }

  void
  run ()
  {
    world.run (2500);
    for (int i = 0; i < 120; i++)
      {
        if (below (2))
          submit ();
        change_evacuations ();
        if (!below (4))
          inject ();
        world.run (50 + below (400));
      }
    end_faults ();
    world.run (50000);
    world.expect_all_final ();
    world.check_acked_ends ();
  }

  QueueWorld world;

private:
  int
  below (int n)
  {
    return g_rand_int_range (rng, 0, n);
  }

  void
  submit ()
  {
    std::string id = std::to_string (++n_jobs);
    int n = 1 + below (3);
    bool gang = !below (3);
    std::string ms = "ms=" + std::to_string (200 + below (5000));

    id = std::string (16 - id.size (), '0') + id;
    world.submit (
        below ((int)world.hosts.size ()),
        { "q" + std::to_string (below (3)) + "/" + id,
          world_body (world_step (n, 4000, 1 + below (6),
                                  gang ? ",\"gang\":true" : ""),
                      gang ? ms + " gang=" + std::to_string (n) : ms) });
  }

  void
  change_evacuations ()
  {
    int k = below (24);

    if (k >= 3)
      return;
    if (closed[k])
      world.end_evacuation (domains[k]);
    else
      world.evacuate (domains[k]);
    closed[k] = !closed[k];
  }

  void
  inject ()
  {
    WorldHost &h = world.hosts[below ((int)world.hosts.size ())];
    WorldWorker &w = world.workers[below (9)];
    ClockMs until = world.now () + 200 + below (7000);

    switch (below (14))
      {
      case 0:
        if (world.scheduler () >= 0)
          world.kill_host (world.scheduler ());
        break;
      case 1:
      case 2:
        for (int i = 0; i < (int)world.hosts.size (); i++)
          if (!world.hosts[i].node)
            world.start_host (i);
        break;
      case 3:
        world.store_down_until = until;
        break;
      case 4:
        h.store_silent_until = until;
        break;
      case 5:
        w.unreachable_until = until;
        break;
      case 6:
        h.frozen = !h.frozen;
        break;
      case 7:
        world.compact ();
        break;
      case 8:
        w.lost_reply_rate = below (2) * 0.4;
        break;
      case 9:
        world.store_endless_call_rate = below (2) * 0.8;
        break;
      case 10:
        w.endless_call_rate = below (2) * 0.7;
        break;
      case 11:
        w.loses_orders = !w.loses_orders;
        break;
      case 12:
        w.refuses_polls = !w.refuses_polls;
        break;
      case 13:
        w.max_connections = below (3);
        break;
      }
  }

  void
  end_faults ()
  {
    world.store_down_until = world.store_endless_call_rate = 0;
    for (int k = 0; k < 3; k++)
      if (closed[k])
        world.end_evacuation (domains[k]);
    for (int i = 0; i < (int)world.hosts.size (); i++)
      {
        world.hosts[i].frozen = false;
        world.hosts[i].store_silent_until = 0;
        if (!world.hosts[i].node)
          world.start_host (i);
      }
    for (WorldWorker &w : world.workers)
      {
        w.unreachable_until = w.lost_reply_rate = w.endless_call_rate = 0;
        w.loses_orders = w.refuses_polls = false;
        w.max_connections = 0;
      }
  }

  GRand *rng;
  int n_jobs = 0;
  bool closed[3] = {};
};

static void
search (const WorldLink &link, const WorldProcessor &processor)
{
  const char *from = getenv ("QUEUE_SEARCH_FROM");
  const char *n = getenv ("QUEUE_SEARCH_N");
  unsigned first = from ? (unsigned)atoi (from) : 1;

  for (unsigned seed = first; seed < first + (n ? (unsigned)atoi (n) : 30);
       seed++)
    {
      EvacuationRun r (seed, 3, link);

      r.world.processor = processor;
      r.run ();
      for (auto &v : r.world.violations)
        ADD_FAILURE () << "seed " << seed << ": " << v;
      if (getenv ("QUEUE_SEARCH_LOG"))
        for (auto &line : r.world.lines)
          fprintf (stderr, "%s\n", line.c_str ());
    }
}

TEST (QueueEvacuationFaults, SearchOfEvacuationsBesideOtherFaults)
{
  search ({}, {});
}

TEST (QueueEvacuationFaults, SearchOfEvacuationsOnSlowLinksAndProcessors)
{
  search ({ 250000 }, { .call = 1, .reply = 1, .connection = 2, .pass = 4 });
}
