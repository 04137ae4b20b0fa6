#include "naive/fair_naive.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>

namespace
{

struct Entry
{
  FairItem it = {};
  int id = 0;
};

/* The queue and its naive version, side by side. */
class Pair
{
public:
  explicit Pair (unsigned seed) : rng (seed), fair (fair_new ())
  {
  }
  ~Pair ()
  {
    fair_free (fair);
  }

  unsigned
  random (unsigned below)
  {
    return static_cast<unsigned> (rng () % below);
  }

  void
  push ()
  {
    std::string w = "w" + std::to_string (random (4));
    std::string c = "c" + std::to_string (random (4));
    if (random (20) == 0)
      limits[w] = { 1 + random (5), random (2) ? -1 : random (4) };
    if (!limits.count (w))
      limits[w] = { 1 + random (5), -1 };
    FairPlace p = { static_cast<WorkClass> (random (N_CLASSES)), w.c_str (),
                    c.c_str (), limits[w].first, limits[w].second };
    auto e = std::make_unique<Entry> ();
    e->id = ++last;
    e->it.cost = 1 + random (random (2) ? 20 : 5000);
    naive.push (e->id, p, e->it.cost, now);
    fair_push (fair, &e->it, &p, now);
    entries[e->id] = std::move (e);
  }

  void
  pop ()
  {
    int expected = naive.pop (slots, now);
    auto *it = fair_pop (fair, static_cast<guint> (slots), now);
    int got = it ? reinterpret_cast<Entry *> (it)->id : -1;
    ASSERT_EQ (got, expected) << "at " << now << " of " << slots;
  }

  void
  end ()
  {
    if (entries.empty ())
      return;
    auto e = std::next (entries.begin (),
                        random (static_cast<unsigned> (entries.size ())));
    gint64 cost = random (8000);
    bool waits = e->second->it.state == FAIR_WAITING;
    if (waits && random (3))
      return;
    ASSERT_EQ (naive.state (e->first), e->second->it.state);
    naive.end (e->first, cost);
    if (waits)
      fair_cancel (fair, &e->second->it);
    else
      fair_finish (fair, &e->second->it, cost);
    entries.erase (e);
  }

  void
  step ()
  {
    now += random (random (50) ? 200 : 15000);
    switch (random (5))
      {
      case 0:
      case 1:
        push ();
        break;
      case 2:
      case 3:
        pop ();
        break;
      default:
        end ();
      }
    if (random (40) == 0)
      slots = random (24);
  }

  std::mt19937 rng;
  Fair *fair;
  NaiveFair naive;
  std::map<int, std::unique_ptr<Entry> > entries;
  std::map<std::string, std::pair<gint64, gint64> > limits;
  ClockMs now = 1000000;
  gint64 slots = 6;
  int last = 0;
};

const int cases_a_seed = 625;

class ReqFairDiffTest : public testing::TestWithParam<int>
{
};

TEST_P (ReqFairDiffTest, PopsWhatTheNaiveQueuePops)
{
  for (int i = 0; i < cases_a_seed; i++)
    {
      Pair p (static_cast<unsigned> (GetParam () * cases_a_seed + i));
      for (int n = 0; n < 40 && !HasFailure (); n++)
        p.step ();
      ASSERT_FALSE (HasFailure ()) << "case " << i;
    }
}

INSTANTIATE_TEST_SUITE_P (Seeds, ReqFairDiffTest, testing::Range (0, 8));

/* Runs SLOTS slots for SPAN with a full queue and returns the slot time
   that each place got. */
struct Load
{
  FairPlace place;
  gint64 declared, real;
};

std::vector<gint64>
serve (const std::vector<Load> &loads, guint slots, ClockMs span)
{
  Fair *f = fair_new ();
  std::vector<gint64> served (loads.size ());
  std::vector<std::unique_ptr<Entry> > entries;
  std::multimap<ClockMs, Entry *> running;
  auto add = [&] (size_t i, ClockMs now) {
    entries.push_back (std::make_unique<Entry> ());
    Entry *e = entries.back ().get ();
    e->id = static_cast<int> (i);
    e->it.cost = loads[i].declared;
    fair_push (f, &e->it, &loads[i].place, now);
  };
  for (size_t i = 0; i < loads.size (); i++)
    for (guint n = 0; n < 2 * slots; n++)
      add (i, 0);
  for (ClockMs now = 0; now < span;)
    {
      while (FairItem *it = fair_pop (f, slots, now))
        {
          auto *e = reinterpret_cast<Entry *> (it);
          running.insert ({ now + loads[static_cast<size_t> (e->id)].real, e });
          add (static_cast<size_t> (e->id), now);
        }
      auto first = running.begin ();
      now = first->first;
      Entry *e = first->second;
      running.erase (first);
      gint64 real = loads[static_cast<size_t> (e->id)].real;
      served[static_cast<size_t> (e->id)] += real;
      fair_finish (f, &e->it, real);
    }
  fair_free (f);
  return served;
}

TEST (ReqFairTest, WorkspacesShareByWeightWhateverTheyDeclare)
{
  auto got = serve ({ { { CLASS_NORMAL, "a", "x", 1, -1 }, 10, 1000 },
                      { { CLASS_NORMAL, "b", "x", 3, -1 }, 5000, 50 } },
                    20, 600000);
  EXPECT_NEAR (static_cast<double> (got[1]) / static_cast<double> (got[0]), 3,
               0.15);
}

TEST (ReqFairTest, CallersOfAWorkspaceShareEqually)
{
  auto got = serve ({ { { CLASS_NORMAL, "a", "small", 1, -1 }, 100, 100 },
                      { { CLASS_NORMAL, "a", "large", 1, -1 }, 100, 4000 } },
                    20, 600000);
  EXPECT_NEAR (static_cast<double> (got[1]) / static_cast<double> (got[0]), 1,
               0.1);
}

TEST (ReqFairTest, AFloodOfAnyClassLeavesTheOthersTheirFloors)
{
  auto got = serve ({ { { CLASS_INTERACTIVE, "a", "x", 1, -1 }, 100, 100 },
                      { { CLASS_NORMAL, "a", "x", 1, -1 }, 100, 100 },
                      { { CLASS_BATCH, "a", "x", 1, -1 }, 100, 100 } },
                    20, 100000);
  double all = 20 * 100000;
  EXPECT_GE (static_cast<double> (got[0]) / all, 0.39);
  EXPECT_GE (static_cast<double> (got[1]) / all, 0.34);
  EXPECT_GE (static_cast<double> (got[2]) / all, 0.24);
}

TEST (ReqFairTest, OneClassAloneGetsNearlyEverySlot)
{
  auto got =
      serve ({ { { CLASS_BATCH, "a", "x", 1, -1 }, 100, 100 } }, 20, 100000);
  EXPECT_GE (got[0], 19 * 100000 - 2000);
}

TEST (ReqFairTest, SlotsAreNotKeptForWorkThatItsLimitHoldsBack)
{
  auto got = serve ({ { { CLASS_INTERACTIVE, "a", "x", 1, 2 }, 100, 1000 },
                      { { CLASS_BATCH, "b", "x", 1, -1 }, 100, 1000 } },
                    20, 100000);
  EXPECT_NEAR (static_cast<double> (got[0]), 2 * 100000, 2000);
  EXPECT_GE (got[1], 17 * 100000);
}

TEST (ReqFairTest, MaxRunningHoldsAndLeavesTheRestToOthers)
{
  auto got = serve ({ { { CLASS_NORMAL, "a", "x", 9, 2 }, 100, 100 },
                      { { CLASS_NORMAL, "b", "x", 1, -1 }, 100, 100 } },
                    20, 100000);
  EXPECT_NEAR (static_cast<double> (got[0]), 2 * 100000, 2000);
  EXPECT_GE (got[1], 16 * 100000);
}

TEST (ReqFairTest, CallerOfBeforeIsServedBesideAnUnendingRowOfNewOnes)
{
  constexpr int waiting = 30;
  Fair *f = fair_new ();
  std::vector<std::unique_ptr<Entry> > entries;
  auto push = [&] (const std::string &caller) {
    FairPlace p = { CLASS_NORMAL, "a", caller.c_str (), 1, -1 };
    entries.push_back (std::make_unique<Entry> ());
    entries.back ()->it.cost = 20;
    fair_push (f, &entries.back ()->it, &p, 0);
    return &entries.back ()->it;
  };
  FairItem *first = push ("before");
  ASSERT_EQ (fair_pop (f, 1, 0), first);
  fair_finish (f, first, 20);
  int n = 0;
  for (; n < waiting; n++)
    push ("new" + std::to_string (n));
  FairItem *again = push ("before");
  int served = 0;
  for (; served < 3 * waiting && again->state == FAIR_WAITING; served++)
    {
      FairItem *it = fair_pop (f, 1, served);
      fair_finish (f, it, 20);
      push ("new" + std::to_string (n++));
    }
  EXPECT_LE (served, 2 * waiting);
  fair_free (f);
}

} // namespace
