#ifndef FAIR_NAIVE_H
#define FAIR_NAIVE_H

/* The fair queue's rules, followed by looking at everything each time. */

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

extern "C"
{
#include "fair.h"
}

class NaiveFair
{
public:
  struct Item
  {
    int id, work_class;
    std::string workspace, caller;
    gint64 cost;
    FairState state;
  };

  void
  push (int id, const FairPlace &p, gint64 cost, ClockMs now)
  {
    limits[p.workspace] = { std::max<gint64> (1, p.weight), p.max_running };
    items.push_back ({ id, p.work_class, p.workspace, p.caller,
                       std::max<gint64> (1, cost), FAIR_WAITING });
    samples.push_back ({ now, p.work_class, demand (p.work_class) });
    refresh ();
    /* a class that had nothing waiting begins to wait now */
    if (count (p.work_class, FAIR_WAITING) == 1)
      served[p.work_class] = now;
  }

  int
  pop (gint64 slots, ClockMs now)
  {
    if (count (-1, FAIR_RUNNING) >= slots)
      return -1;
    for (int k = 0; k < N_CLASSES; k++)
      samples.push_back ({ now, k, demand (k) });
    int k = choose (slots, now);
    if (k < 0)
      return -1;
    std::string w = first_workspace (k);
    std::string c = first_caller (k, w);
    auto it = std::find_if (items.begin (), items.end (), [&] (auto &i) {
      return i.state == FAIR_WAITING && i.work_class == k && i.workspace == w &&
             i.caller == c;
    });
    Flow &wf = flows[{ k, w, "" }];
    Flow &cf = flows[{ k, w, "/" + c }];
    vtime[{ k, "" }] = std::max (vtime[{ k, "" }], wf.tag);
    vtime[{ k, w }] = std::max (vtime[{ k, w }], cf.tag);
    cf.tag += it->cost * 1024;
    wf.tag += it->cost * 1024 / limits[w].first;
    it->state = FAIR_RUNNING;
    served[k] = now;
    refresh ();
    return it->id;
  }

  void
  end (int id, gint64 cost)
  {
    auto it = find (id);
    if (it->state == FAIR_RUNNING)
      {
        gint64 more = cost - it->cost;
        flows[{ it->work_class, it->workspace, "/" + it->caller }].tag +=
            more * 1024;
        flows[{ it->work_class, it->workspace, "" }].tag +=
            more * 1024 / limits[it->workspace].first;
        vtime[{ it->work_class, it->workspace }] +=
            cost * 1024 / (1 + waiting_callers (it->work_class, it->workspace));
      }
    items.erase (it);
    refresh ();
  }

  FairState
  state (int id)
  {
    return find (id)->state;
  }

private:
  struct Flow
  {
    gint64 tag = 0;
    int order = 0;
    bool in = false;
  };
  typedef std::tuple<int, std::string, std::string> Key;

  std::vector<Item>::iterator
  find (int id)
  {
    return std::find_if (items.begin (), items.end (),
                         [=] (auto &i) { return i.id == id; });
  }

  int
  count (int k, FairState s, const std::string &w = "")
  {
    return static_cast<int> (
        std::count_if (items.begin (), items.end (), [&] (auto &i) {
          return i.state == s && (k < 0 || i.work_class == k) &&
                 (w.empty () || i.workspace == w);
        }));
  }

  gint64
  waiting_callers (int k, const std::string &w)
  {
    std::set<std::string> callers;
    for (auto &i : items)
      if (i.state == FAIR_WAITING && i.work_class == k && i.workspace == w)
        callers.insert (i.caller);
    return static_cast<gint64> (callers.size ());
  }

  /* What runs, and waits as far as its workspace's limit allows. */
  int
  demand (int k)
  {
    int n = count (k, FAIR_RUNNING);
    for (auto &[w, limit] : limits)
      {
        gint64 waiting = count (k, FAIR_WAITING, w);
        gint64 room = limit.second - count (-1, FAIR_RUNNING, w);
        n += static_cast<int> (limit.second < 0
                                   ? waiting
                                   : std::min (waiting,
                                               std::max<gint64> (0, room)));
      }
    return n;
  }

  bool
  may_start (const std::string &w)
  {
    gint64 most = limits[w].second;
    return most < 0 || count (-1, FAIR_RUNNING, w) < most;
  }

  void
  set (const Key &key, const std::pair<int, std::string> &level, bool in)
  {
    Flow &f = flows[key];
    if (in && !f.in)
      {
        f.tag = std::max (f.tag, vtime[level]);
        f.order = ++order;
      }
    f.in = in;
  }

  void
  refresh ()
  {
    std::map<Key, bool> wanted;
    for (auto &f : flows)
      wanted[f.first] = false;
    for (auto &i : items)
      if (i.state == FAIR_WAITING)
        {
          wanted[{ i.work_class, i.workspace, "/" + i.caller }] = true;
          wanted[{ i.work_class, i.workspace, "" }] = may_start (i.workspace);
        }
    for (auto &f : wanted)
      {
        bool share = std::get<2> (f.first).empty ();
        set (f.first,
             { std::get<0> (f.first), share ? "" : std::get<1> (f.first) },
             f.second);
      }
  }

  /* The flow of least tag that IS_CHILD accepts, or end. */
  template <typename F>
  std::map<Key, Flow>::iterator
  least (F is_child)
  {
    auto best = flows.end ();
    for (auto f = flows.begin (); f != flows.end (); ++f)
      if (f->second.in && is_child (f->first) &&
          (best == flows.end () ||
           std::make_pair (f->second.tag, f->second.order) <
               std::make_pair (best->second.tag, best->second.order)))
        best = f;
    return best;
  }

  std::string
  first_workspace (int k)
  {
    auto f = least ([=] (const Key &key) {
      return std::get<0> (key) == k && std::get<2> (key).empty ();
    });
    return f == flows.end () ? "" : std::get<1> (f->first);
  }

  std::string
  first_caller (int k, const std::string &w)
  {
    auto f = least ([&] (const Key &key) {
      return std::get<0> (key) == k && std::get<1> (key) == w &&
             !std::get<2> (key).empty ();
    });
    return std::get<2> (f->first).substr (1);
  }

  gint64
  kept (int k, gint64 slots, ClockMs now)
  {
    gint64 most = 0;
    for (auto &s : samples)
      if (std::get<1> (s) == k && std::get<0> (s) / 10000 >= now / 10000 - 1)
        most = std::max<gint64> (most, std::get<2> (s));
    most = std::min (most, fair_class_floor (static_cast<WorkClass> (k),
                                             static_cast<guint> (slots)));
    if (k == CLASS_INTERACTIVE)
      most = std::max (most, slots * 5 / 100);
    return std::max<gint64> (0, most - count (k, FAIR_RUNNING));
  }

  bool
  class_may_start (int k, gint64 slots, ClockMs now)
  {
    gint64 spare = slots - count (-1, FAIR_RUNNING);
    for (int other = 0; other < N_CLASSES; other++)
      spare -= other == k ? 0 : kept (other, slots, now);
    return !first_workspace (k).empty () && spare > 0;
  }

  int
  choose (gint64 slots, ClockMs now)
  {
    for (int k = 0; k < N_CLASSES; k++)
      if (!first_workspace (k).empty () && now - served[k] >= 2000)
        return k;
    for (int below = 1; below >= 0; below--)
      for (int k = 0; k < N_CLASSES; k++)
        if (class_may_start (k, slots, now) &&
            (!below || count (k, FAIR_RUNNING) <
                           fair_class_floor (static_cast<WorkClass> (k),
                                             static_cast<guint> (slots))))
          return k;
    return -1;
  }

  std::vector<Item> items;
  std::map<std::string, std::pair<gint64, gint64> > limits;
  std::map<Key, Flow> flows;
  std::map<std::pair<int, std::string>, gint64> vtime;
  std::vector<std::tuple<ClockMs, int, int> > samples;
  std::map<int, ClockMs> served;
  int order = 0;
};

#endif
