#ifndef PLAN_FIXTURE_H
#define PLAN_FIXTURE_H

#include <gtest/gtest.h>

extern "C"
{
#include "plan.h"
}

#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plan_fixture
{

inline Shape
shape (gint64 count, gint64 size)
{
  Shape s = {};
  s.count = count;
  s.size = size;
  return s;
}

/* One domain, its table and its jobs, in virtual time. */
class World
{
public:
  explicit World (guint32 seed = 1)
      : plan (plan_new ("d1", seed)), rng (g_rand_new_with_seed (seed))
  {
  }
  ~World ()
  {
    for (auto &j : jobs)
      if (j.second->part)
        plan_end (plan, j.second.get (), now, FALSE);
    plan_free (plan);
    g_rand_free (rng);
  }
  int
  draw (int least, int most)
  {
    return g_rand_int_range (rng, least, most + 1);
  }
  void
  add_workers (int n, guint accelerators, int rack_size = 8)
  {
    for (int i = 0; i < n; i++)
      {
        std::string name = "w" + std::to_string (n_workers);
        std::string rack = "r" + std::to_string (n_workers++ / rack_size);
        plan_add_worker (plan, "d1", name.c_str (), rack.c_str (), accelerators,
                         64, 256000);
      }
  }
  Workspace &
  row (const std::string &name)
  {
    Workspace &w = rows[name];
    if (!w.name)
      {
        w.name = rows.find (name)->first.c_str ();
        w.weight = 1;
        w.max_accelerators = w.max_running = w.max_queued = -1;
      }
    return w;
  }
  void
  guarantee (const std::string &name, std::vector<Shape> shapes)
  {
    Workspace &w = row (name);
    w.n_shapes = shapes.size ();
    for (size_t i = 0; i < shapes.size (); i++)
      w.guarantee[i] = shapes[i];
  }
  void
  load_table ()
  {
    std::vector<const Workspace *> list;
    for (auto &r : rows)
      list.push_back (&r.second);
    plan_set_table (plan, list.data (), list.size (), now);
  }
  FleetJob *
  job (const std::string &workspace, guint parts, guint accelerators)
  {
    auto j = std::make_unique<FleetJob> ();
    memset (j.get (), 0, sizeof *j);
    j->id = ++last_id;
    j->workspace = plan_workspace (plan, workspace.c_str ());
    j->work_class = CLASS_NORMAL;
    j->parts = parts;
    j->accelerators = accelerators;
    j->cores = accelerators ? accelerators * 4 : 4;
    j->memory_mb = 1000;
    j->run_ms = 3600000;
    j->arrived = now;
    j->repeatable = TRUE;
    return (jobs[last_id] = std::move (j)).get ();
  }
  FleetJob *
  submit (FleetJob *j)
  {
    plan_submit (plan, j);
    return j;
  }
  void
  end (FleetJob *j, bool ran = false)
  {
    plan_end (plan, j, now, ran);
    jobs.erase (j->id);
  }
  /* Carries out all steps; victims stop at once.  Returns the starts. */
  std::vector<FleetJob *>
  run ()
  {
    std::vector<FleetJob *> started;
    PlanStep step;
    while (plan_next (plan, now, &step))
      {
        if (step.kind == PLAN_START)
          started.push_back (step.job);
        n_reclaims += step.kind == PLAN_RECLAIM;
        n_moves += step.kind == PLAN_MOVE;
        std::vector<FleetJob *> victims (step.victims,
                                         step.victims + step.n_victims);
        for (auto *v : victims)
          plan_requeue (plan, v, now);
        n_stopped += victims.size ();
      }
    return started;
  }
  void
  pass (ClockMs span)
  {
    now += span;
    plan_tick (plan, now);
  }
  /* What must hold at any time, from the jobs alone. */
  void
  check () const
  {
    const Fleet *f = plan_fleet (plan);
    std::vector<guint64> used (f->workers->len);
    for (auto &entry : jobs)
      {
        const FleetJob *j = entry.second.get ();
        if (j->state != FLEET_PLACED)
          continue;
        for (guint i = 0; i < j->parts; i++)
          {
            guint64 mask = fleet_run_mask (j->part[i].first, j->accelerators);
            ASSERT_EQ (used[j->part[i].worker] & mask, 0u);
            used[j->part[i].worker] |= mask;
          }
        if (j->accelerators && !j->repeatable && !j->checkpointable)
          {
            ASSERT_TRUE (j->in_guarantee);
          }
      }
    for (guint i = 0; i < f->workers->len; i++)
      ASSERT_EQ (fleet_worker (f, i)->used, used[i]);
  }
  Plan *plan;
  GRand *rng;
  ClockMs now = 1000;
  int n_workers = 0;
  int n_reclaims = 0;
  int n_moves = 0;
  size_t n_stopped = 0;
  gint64 last_id = 0;
  std::map<std::string, Workspace> rows;
  std::map<gint64, std::unique_ptr<FleetJob> > jobs;
};

}

#endif
