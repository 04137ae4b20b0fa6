#include <gtest/gtest.h>

extern "C"
{
#include "naive/exhaustive.h"
#include "place.h"
#include "quota.h"
}

#include <memory>
#include <vector>

namespace
{

constexpr int n_cases = 6000;
constexpr ClockMs now = 1000000;

/* A small fleet with work on it, drawn from a seed. */
class SmallFleet
{
public:
  explicit SmallFleet (guint32 seed) : rng (g_rand_new_with_seed (seed))
  {
    int n = draw (1, 4);
    fleet_init (&fleet);
    for (int i = 0; i < n; i++)
      {
        std::string name = "w" + std::to_string (i);
        fleet_add_worker (&fleet, name.c_str (), i < 2 ? "r0" : "r1",
                          draw (0, 3) ? 4 : draw (1, 3), 16, 64);
      }
    for (int i = draw (0, 9); i > 0; i--)
      add_work ();
    if (draw (0, 9) == 0)
      fleet_set_usable (&fleet, draw (0, n - 1), FALSE);
    ask_job = make_job ();
    ask_job->in_guarantee = TRUE;
    draw_need ();
    unit.n_parts = 1;
    unit.hold = ask_job->accelerators;
    units.assign (ask_job->parts, unit);
  }
  ~SmallFleet ()
  {
    fleet_clear (&fleet);
    g_rand_free (rng);
    for (auto &j : jobs)
      g_free (j->part);
  }
  int
  draw (int least, int most)
  {
    return g_rand_int_range (rng, least, most + 1);
  }
  FleetJob *
  make_job ()
  {
    jobs.push_back (std::make_unique<FleetJob> ());
    FleetJob *j = jobs.back ().get ();
    j->id = jobs.size ();
    j->workspace = draw (0, 3);
    j->accelerators = draw (0, 2) ? draw (1, 2) : draw (1, 4);
    j->parts = draw (0, 2) ? 1 : draw (2, 4);
    j->cores = draw (0, 3) ? draw (0, 4) : draw (4, 10);
    j->memory_mb = draw (0, 20);
    j->started = now - draw (1, 900000);
    j->checkpointable = draw (0, 1);
    j->repeatable = TRUE;
    j->part = g_new0 (FleetPart, j->parts);
    for (guint i = 0; i < j->parts; i++)
      {
        j->part[i].job = j;
        j->part[i].slot = FLEET_NO_SLOT;
      }
    return j;
  }
  void
  add_work ()
  {
    FleetJob *j = make_job ();
    if (draw (0, 5) == 0)
      j->accelerators = 0;
    j->in_guarantee = j->accelerators && draw (0, 3) == 0;
    PlaceAsk ask = {};
    ask.fleet = &fleet;
    ask.job = j;
    ask.ends = CLOCK_NEVER;
    ask.rng = rng;
    if (place_random.find (&ask))
      {
        EXPECT_TRUE (fleet_place (&fleet, j));
      }
  }
  /* Guarantees that pack together with the job that asks. */
  void
  draw_need ()
  {
    guint size = ask_job->accelerators;
    memset (need, 0, sizeof need);
    need[size] += ask_job->parts;
    holds = exhaustive_pack (need, fleet.bins);
    for (int i = draw (0, 4); i > 0 && holds; i--)
      {
        guint extra = draw (1, 4);
        need[extra]++;
        if (!exhaustive_pack (need, fleet.bins))
          need[extra]--;
      }
    need[size] -= ask_job->parts;
  }
  ReclaimAsk
  ask (ReclaimKind kind)
  {
    ReclaimAsk a = {};
    a.fleet = &fleet;
    a.job = ask_job;
    a.kind = kind;
    a.now = now;
    if (kind == RECLAIM_GUARANTEE)
      {
        a.need = need;
        a.units = units.data ();
        a.n_units = units.size ();
      }
    ask_job->in_guarantee = kind == RECLAIM_GUARANTEE;
    return a;
  }
  Fleet fleet;
  GRand *rng;
  std::vector<std::unique_ptr<FleetJob> > jobs;
  FleetJob *ask_job;
  QuotaUnit unit = {};
  std::vector<QuotaUnit> units;
  guint need[FLEET_MAX_ACCELERATORS + 1];
  bool holds;
};

struct Tally
{
  int feasible = 0;
  int stopping = 0;
  double ratio = 0;
};

class ReclaimTest : public testing::TestWithParam<ReclaimKind>
{
protected:
  void
  SetUp () override
  {
    victims = g_ptr_array_new ();
  }
  void
  TearDown () override
  {
    g_ptr_array_unref (victims);
  }
  /* Carries the plan out and checks that it does what it claims. */
  void
  carry_out (SmallFleet &s, const ReclaimAsk &a)
  {
    for (guint i = 0; i < victims->len; i++)
      {
        auto *v = static_cast<FleetJob *> (g_ptr_array_index (victims, i));
        ASSERT_TRUE (fleet_can_stop (v));
        ASSERT_EQ (v->state, FLEET_PLACED);
        fleet_release (&s.fleet, v);
      }
    ASSERT_TRUE (fleet_place (&s.fleet, a.job));
    if (a.need)
      {
        ASSERT_TRUE (exhaustive_pack (a.need, s.fleet.bins));
      }
  }
  void
  one_case (guint32 seed, Tally *t)
  {
    SmallFleet s (seed);
    ReclaimAsk a = s.ask (GetParam ());
    double ours = 0;
    double least = 0;
    bool expected = exhaustive_reclaim (&a, &least);
    bool found = reclaim_find (&a, victims, &ours);

    ASSERT_EQ (found, expected) << "seed " << seed;
    if (!found)
      return;
    t->feasible++;
    ASSERT_GE (ours, least) << "seed " << seed;
    if (least > 0)
      {
        t->stopping++;
        t->ratio += ours / least;
      }
    else
      ASSERT_EQ (victims->len, 0u) << "seed " << seed;
    carry_out (s, a);
  }
  GPtrArray *victims;
};

TEST_P (ReclaimTest, FindsWhatTryingEverythingFindsAtLittleMoreCost)
{
  Tally t;
  for (int seed = 0; seed < n_cases && !HasFatalFailure (); seed++)
    one_case (seed, &t);
  RecordProperty ("feasible", t.feasible);
  RecordProperty ("stopping", t.stopping);
  RecordProperty ("mean_ratio", std::to_string (t.ratio / t.stopping));
  EXPECT_GT (t.stopping, n_cases / 20);
  EXPECT_LE (t.ratio / t.stopping, 1.10);
}

INSTANTIATE_TEST_SUITE_P (Kinds,
                          ReclaimTest,
                          testing::Values (RECLAIM_GUARANTEE,
                                           RECLAIM_DRAIN,
                                           RECLAIM_MOVE));

}
