#include "naive/route_naive.h"
#include "req_world.h"

#include <gtest/gtest.h>

#include <random>

namespace
{

/* The router and its naive version, side by side. */
class Pair
{
public:
  explicit Pair (unsigned seed)
      : rng (seed), rand (g_rand_new_with_seed (seed)), route (route_new (rand))
  {
    n = 2 + random (7);
    for (unsigned i = 0; i < n; i++)
      {
        std::string name = "u" + std::to_string (i);
        bool own = random (5) != 0;
        naive.all.emplace_back ();
        naive.all[i].own = own;
        route_add (route, name.c_str (), own);
        set_limit (i);
      }
    for (const char *kind : { "a", "b" })
      route_kind (route, kind);
  }
  ~Pair ()
  {
    route_free (route);
    g_rand_free (rand);
  }

  unsigned
  random (unsigned below)
  {
    return static_cast<unsigned> (rng () % below);
  }

  void
  set_limit (unsigned i)
  {
    naive.all[i].limit = random (4);
    route_set_limit (route, static_cast<int> (i), naive.all[i].limit);
  }

  RouteWish
  wish ()
  {
    RouteWish w = {};
    w.kind = random (2);
    w.repeatable = random (2);
    w.pressed = random (3) == 0;
    w.elsewhere = random (6) == 0;
    w.n_tried = random (3);
    for (guint i = 0; i < w.n_tried; i++)
      w.tried[i] = static_cast<int> (random (n));
    return w;
  }

  void
  choose ()
  {
    RouteWish w = wish ();
    std::vector<NaiveRoute::Answer> may;
    bool surely = false;
    for (size_t i = 0; i < n; i++)
      {
        may.push_back (naive.eligible (i, w, now));
        surely |= may.back () == NaiveRoute::YES;
      }
    int u = route_choose (route, &w, now);
    if (u == ROUTE_NONE)
      {
        /* elsewhere only a sample is looked at */
        ASSERT_TRUE (!surely || w.elsewhere) << "none chosen at " << now;
        return;
      }
    ASSERT_NE (may[static_cast<size_t> (u)], NaiveRoute::NO)
        << "upstream " << u << " at " << now;
    naive.chosen (static_cast<size_t> (u), w, route_health (route, u, w.kind),
                  now);
    naive.all[static_cast<size_t> (u)].running++;
    route_begin (route, u);
    flying.push_back ({ u, w.kind });
  }

  void
  end ()
  {
    if (flying.empty ())
      return;
    auto f = flying[random (static_cast<unsigned> (flying.size ()))];
    flying.erase (std::find (flying.begin (), flying.end (), f));
    auto i = static_cast<size_t> (f.first);
    static const UpstreamResult results[] = {
      UPSTREAM_ANSWERED, UPSTREAM_ANSWERED, UPSTREAM_ANSWERED, UPSTREAM_FAILED,
      UPSTREAM_BUSY,     UPSTREAM_UNSENT,   UPSTREAM_LOST,
    };
    auto result = results[random (7)];
    if (result <= UPSTREAM_FAILED && i % 3 == 0)
      result = random (5) ? UPSTREAM_FAILED : UPSTREAM_ANSWERED;
    ClockMs latency = random (100) * (i % 4 == 1 ? 50 : 1);
    naive.all[i].running--;
    naive.learn (i, f.second, result, latency, now);
    route_end (route, f.first);
    route_learn (route, f.first, f.second, result, latency, now);
  }

  void
  change ()
  {
    unsigned i = random (n);
    auto &u = naive.all[i];
    bool on = random (2);
    switch (random (3))
      {
      case 0:
        if (u.own)
          set_limit (i);
        break;
      case 1:
        u.leaving = random (4) == 0;
        route_set_leaving (route, static_cast<int> (i), u.leaving);
        break;
      default:
        naive.probed (i, on, now);
        route_probed (route, static_cast<int> (i), on, now);
      }
  }

  void
  compare ()
  {
    ASSERT_EQ (route_slots (route), naive.slots ());
    ASSERT_EQ (route_free_slots (route), naive.free_slots ());
    for (size_t i = 0; i < n; i++)
      {
        auto &u = naive.all[i];
        int r = static_cast<int> (i);
        ASSERT_EQ (route_running (route, r), u.running);
        ASSERT_EQ (!route_is_reachable (route, r), u.unreachable);
        ASSERT_EQ (route_slowness (route, r), u.slowness);
        for (unsigned k = 0; k < 2; k++)
          ASSERT_EQ (route_health (route, r, k), u.kinds[k].health);
        if (u.unreachable)
          {
            ASSERT_GE (route_probe_at (route, r), u.probe.least);
            ASSERT_LE (route_probe_at (route, r), u.probe.most);
          }
      }
  }

  void
  step ()
  {
    now += random (random (20) ? 60 : 5000);
    unsigned what = random (8);
    if (what < 4)
      choose ();
    else if (what < 7)
      end ();
    else
      change ();
    compare ();
  }

  std::mt19937 rng;
  GRand *rand;
  Route *route;
  NaiveRoute naive;
  unsigned n;
  std::vector<std::pair<int, guint> > flying;
  ClockMs now = 1000000;
};

const int cases_a_seed = 625;

class ReqRouteDiffTest : public testing::TestWithParam<int>
{
};

TEST_P (ReqRouteDiffTest, ChoosesWhatTheNaiveRouterAllows)
{
  for (int i = 0; i < cases_a_seed; i++)
    {
      Pair p (static_cast<unsigned> (GetParam () * cases_a_seed + i));
      for (int n = 0; n < 80 && !HasFailure (); n++)
        p.step ();
      ASSERT_FALSE (HasFailure ()) << "case " << i;
    }
}

INSTANTIATE_TEST_SUITE_P (Seeds, ReqRouteDiffTest, testing::Range (0, 8));

/* --- upstreams that fail, through a node --- */

int
degraded (const ReqWorld &w)
{
  int n = 0;
  for (auto &note : w.notes)
    n += note.kind == NOTE_UPSTREAM_DEGRADED;
  return n;
}

std::map<std::string, int>
sent_to (const ReqWorld &w, ClockMs since)
{
  std::map<std::string, int> n;
  for (auto &s : w.sent)
    n[s.upstream] += s.at >= since;
  return n;
}

void
load (ReqWorld &w, int n, ClockMs gap)
{
  for (int i = 0; i < n; i++)
    w.at (w.now + gap * i, [&w] { w.send ("h1", "", "x"); });
  w.run (gap * n + 100);
}

TEST (ReqRouteTest, UpstreamsThatFailEverythingAreLeftAndTakenBack)
{
  ReqWorld w (1, 1, 10);
  w.begin ();
  w.upstreams.at ("u1").fails_all = w.upstreams.at ("u2").fails_all = true;
  load (w, 500, 10);
  ClockMs later = w.now;
  load (w, 2000, 10);
  auto to = sent_to (w, later);
  EXPECT_LT (to["u1"] + to["u2"], 40);
  w.upstreams.at ("u1").fails_all = w.upstreams.at ("u2").fails_all = false;
  w.run (61000); /* the longest back-off */
  load (w, 500, 10);
  later = w.now;
  load (w, 1000, 10);
  to = sent_to (w, later);
  EXPECT_GT (to["u1"], 50);
  EXPECT_GT (to["u2"], 50);
}

TEST (ReqRouteTest, ABadRequestCondemnsNoUpstream)
{
  ReqWorld w (2, 1, 10);
  w.begin ();
  for (auto &u : w.upstreams)
    u.second.fails_all = true; /* the kind of work fails everywhere */
  load (w, 500, 10);
  EXPECT_EQ (degraded (w), 0);
  for (auto &u : w.upstreams)
    u.second.fails_all = false;
  ClockMs later = w.now;
  load (w, 1000, 10);
  for (auto &n : sent_to (w, later))
    EXPECT_GT (n.second, 40) << n.first;
}

TEST (ReqRouteTest, AnUnreachableUpstreamIsProbedAndComesBack)
{
  ReqWorld w (3, 1, 3);
  w.begin ();
  w.upstreams.at ("u1").down = true;
  load (w, 200, 10);
  EXPECT_EQ (w.total (COUNT_ANSWERED), 200);
  ClockMs later = w.now;
  load (w, 200, 10);
  EXPECT_EQ (sent_to (w, later)["u1"], 0);
  w.upstreams.at ("u1").down = false;
  w.run (60000);
  later = w.now;
  load (w, 200, 10);
  EXPECT_GT (sent_to (w, later)["u1"], 20);
}

TEST (ReqRouteTest, NothingNewGoesToALeavingUpstreamWhoeverHeardFirst)
{
  ReqWorld w (4, 4, 6);
  w.begin ();
  for (int i = 0; i < 2000; i++)
    w.at (w.now + 10 * i,
          [&w, i] { w.send ("h" + std::to_string (1 + i % 4), "", "x"); });
  w.run (5000);
  w.upstreams.at ("u3").leaving = true;
  ClockMs news = w.now;
  w.run (20000);
  for (auto &s : w.sent)
    EXPECT_FALSE (s.upstream == "u3" && s.at > news + 3000) << s.at - news;
  for (auto &r : w.replies)
    EXPECT_EQ (r.outcome, OUTCOME_ANSWERED);
}

TEST (ReqRouteTest, OtherDomainsTakeWorkOnlyWithoutOwnCapacityAndByBytes)
{
  ReqWorld w (5, 1, 2);
  w.config ()->spill_bytes_per_s = 1000;
  w.add_host ("far", "d2");
  w.add_upstream ("v1", "d2");
  w.begin ();
  load (w, 100, 10);
  EXPECT_EQ (sent_to (w, 0)["v1"], 0);
  w.upstreams.at ("u1").down = w.upstreams.at ("u2").down = true;
  load (w, 50, 10);
  std::string big (4000, 'x');
  for (int i = 0; i < 100; i++)
    w.at (w.now + 100 * i, [&w, big] { w.send ("h1", "", big); });
  w.run (10000);
  int n = sent_to (w, 0)["v1"];
  EXPECT_GE (n, 2);
  EXPECT_LE (n, 60); /* a thousand bytes a second let little through */
}

} // namespace
