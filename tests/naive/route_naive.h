#ifndef ROUTE_NAIVE_H
#define ROUTE_NAIVE_H

/* The router's rules, worked out from the whole history each time.  Spans
   that the router draws at random are known here only within bounds, so an
   upstream is surely eligible, perhaps, or not. */

#include <algorithm>
#include <map>
#include <vector>

extern "C"
{
#include "route.h"
}

class NaiveRoute
{
public:
  enum Answer
  {
    NO,
    PERHAPS,
    YES
  };
  struct Span /* ends between LEAST and MOST */
  {
    ClockMs least = 0, most = 0;
    Answer
    over (ClockMs now) const
    {
      return now >= most ? YES : now >= least ? PERHAPS : NO;
    }
  };
  struct State
  {
    RouteHealth health = ROUTE_HEALTHY;
    std::vector<bool> failures; /* since it was last given a clean slate */
    Span backoff;
    ClockMs span = 0;
  };
  struct Upstream
  {
    bool own = true, leaving = false, unreachable = false;
    gint64 limit = 0, running = 0;
    int lost_in_row = 0;
    Span busy, probe;
    ClockMs probe_span = 0;
    gint64 slowness = 1000;
    unsigned samples = 0;
    ClockMs slow_trial = 0;
    std::map<unsigned, State> kinds;
  };

  bool
  usable (const Upstream &u) const
  {
    return u.own && !u.leaving && !u.unreachable && u.limit > 0;
  }

  gint64
  slots () const
  {
    gint64 n = 0;
    for (auto &u : all)
      n += usable (u) ? u.limit : 0;
    return n;
  }

  gint64
  free_slots () const
  {
    gint64 n = 0;
    for (auto &u : all)
      n += usable (u) ? std::max<gint64> (0, u.limit - u.running) : 0;
    return n;
  }

  Answer
  eligible (size_t i, const RouteWish &wish, ClockMs now)
  {
    Upstream &u = all[i];
    for (guint n = 0; n < wish.n_tried; n++)
      if (wish.tried[n] == static_cast<int> (i))
        return NO;
    if (u.running >= u.limit || u.leaving || u.unreachable ||
        u.own == (wish.elsewhere != 0))
      return NO;
    Answer a = u.busy.over (now);
    State &s = u.kinds[wish.kind];
    if (wish.elsewhere)
      return s.health == ROUTE_HEALTHY ? a : NO;
    if (avoided (s, wish.kind))
      a = std::min (a, s.health == ROUTE_DEGRADED && wish.repeatable
                           ? s.backoff.over (now)
                           : NO);
    bool slow = u.samples >= 4 && u.slowness > 2500;
    if (slow && !wish.pressed && u.slow_trial > now)
      a = NO;
    return a;
  }

  bool
  is_slow (size_t i) const
  {
    return all[i].samples >= 4 && all[i].slowness > 2500;
  }

  /* The router has chosen I. */
  void
  chosen (size_t i, const RouteWish &wish, RouteHealth health, ClockMs now)
  {
    State &s = all[i].kinds[wish.kind];
    if (s.health == ROUTE_DEGRADED && wish.repeatable &&
        s.backoff.over (now) != NO)
      s.health = s.backoff.over (now) == YES ? ROUTE_PROBING : health;
    if (is_slow (i) && all[i].slow_trial <= now)
      all[i].slow_trial = now + 5000;
  }

  void
  learn (size_t i,
         unsigned kind,
         UpstreamResult result,
         ClockMs latency,
         ClockMs now)
  {
    Upstream &u = all[i];
    State &s = u.kinds[kind];
    bool ran = result == UPSTREAM_ANSWERED || result == UPSTREAM_FAILED;
    if (ran)
      {
        u.lost_in_row = 0;
        s.failures.push_back (result == UPSTREAM_FAILED);
        settle (s, kind, result == UPSTREAM_FAILED, now);
        if (result == UPSTREAM_ANSWERED)
          learn_latency (u, kind, latency);
        return;
      }
    if (s.health == ROUTE_PROBING)
      s.health = ROUTE_DEGRADED;
    if (result == UPSTREAM_BUSY)
      u.busy = around (now, 50);
    else if (result != UPSTREAM_RUNNING && ++u.lost_in_row >= 2 &&
             !u.unreachable)
      {
        u.unreachable = true;
        grow (u.probe_span, u.probe, now);
      }
  }

  void
  probed (size_t i, bool healthy, ClockMs now)
  {
    Upstream &u = all[i];
    if (!u.unreachable)
      return;
    if (!healthy)
      {
        grow (u.probe_span, u.probe, now);
        return;
      }
    u.lost_in_row = 0;
    u.unreachable = false;
    u.probe_span = 0;
  }

  std::vector<Upstream> all;

private:
  static Span
  around (ClockMs now, ClockMs span)
  {
    return { now + span - span / 4, now + span - span / 4 + 2 * (span / 4) };
  }

  static void
  grow (ClockMs &span, Span &until, ClockMs now)
  {
    span = std::min<ClockMs> (std::max<ClockMs> (2 * span, 1000), 60000);
    until = around (now, span);
  }

  /* Decayed sums of failures and samples, in permille. */
  static std::pair<gint64, gint64>
  sums (const State &s)
  {
    gint64 failed = 0, seen = 0;
    for (bool f : s.failures)
      {
        failed += (f ? 1000 : 0) - failed / 8;
        seen += 1000 - seen / 8;
      }
    return { failed, seen };
  }

  bool
  avoided (const State &s, unsigned kind)
  {
    int degraded = 0, n_usable = 0;
    for (auto &u : all)
      {
        n_usable += usable (u);
        degraded += u.own && u.kinds[kind].health != ROUTE_HEALTHY;
      }
    return s.health != ROUTE_HEALTHY && degraded * 2 < n_usable;
  }

  bool
  worse_than_peers (const State &s, unsigned kind)
  {
    gint64 failed = 0, seen = 0;
    for (auto &u : all)
      if (&u.kinds[kind] != &s)
        {
          failed += sums (u.kinds[kind]).first;
          seen += sums (u.kinds[kind]).second;
        }
    auto own = sums (s);
    return own.second >= 2600 && 2 * own.first > own.second && seen >= 2600 &&
           failed * 4 <= seen;
  }

  void
  settle (State &s, unsigned kind, bool failed, ClockMs now)
  {
    if (s.health == ROUTE_PROBING && !failed)
      {
        s = State ();
        return;
      }
    if (s.health == ROUTE_DEGRADED ||
        (s.health == ROUTE_HEALTHY && !worse_than_peers (s, kind)))
      return;
    grow (s.span, s.backoff, now);
    s.health = ROUTE_DEGRADED;
  }

  void
  learn_latency (Upstream &u, unsigned kind, ClockMs latency)
  {
    gint64 sample = std::max<ClockMs> (1, latency) * 1024;
    gint64 &usual = usuals[kind];
    usual = usual ? usual + (sample - usual) / 32 : sample;
    gint64 ratio = sample * 1000 / std::max<gint64> (1, usual);
    if (u.samples >= 4 && u.slowness > 2500 && ratio < 2500)
      u.slowness = ratio;
    else
      u.slowness += (ratio - u.slowness) / 8;
    u.samples++;
  }

  std::map<unsigned, gint64> usuals;
};

#endif
