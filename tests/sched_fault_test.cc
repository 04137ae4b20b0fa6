#include "sched_fixture.h"

/* One fault at each step of a gang's life.  A step is an effect of the
   scheduler that matters to jobs: a call to a worker or to the store, or a
   message. */
namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,\n";

struct FaultKind
{
  const char *name;
  /* At a step of host H, with effect E; true swallows the effect. */
  std::function<bool (JobWorld &, const std::string &h, const Event &e)> apply;
};

bool
is_step (const Event &e)
{
  return e.kind == FX_WORKER_CALL || e.kind == FX_STORE_CALL ||
         e.kind == MSG_JOB_HINT || e.kind == MSG_JOB_KNOWN;
}

std::string
worker_of (const Event &e)
{
  return e.kind == FX_WORKER_CALL
             ? static_cast<const WorkerCall *> (e.body)->worker
             : "w0";
}

void
break_worker (JobWorld &w, const std::string &name, bool dies)
{
  FakeWorker &x = w.workers[name];

  (dies ? x.down : x.lossy) = true;
  if (dies)
    x.reboot ();
  w.at (w.now + 12000, [&x] { x.down = x.lossy = false; });
}

const FaultKind faults[] = {
  { "SchedulerDies",
    [] (JobWorld &w, const std::string &h, const Event &) {
      w.at (w.now, [&w, h] { w.kill (h); });
      w.at (w.now + 20000, [&w, h] { w.restart (h); });
      return true;
    } },
  { "EffectIsLostWithoutAWord",
    [] (JobWorld &, const std::string &, const Event &) { return true; } },
  { "WorkerLosesAnswers",
    [] (JobWorld &w, const std::string &, const Event &e) {
      std::string name = worker_of (e);
      break_worker (w, name, false);
      return false;
    } },
  { "WorkerDies",
    [] (JobWorld &w, const std::string &, const Event &e) {
      std::string name = worker_of (e);
      break_worker (w, name, true);
      return false;
    } },
  { "StoreLosesAnswers",
    [] (JobWorld &w, const std::string &, const Event &) {
      w.store.lose_answers = 3;
      return false;
    } },
  { "StoreGoesDown",
    [] (JobWorld &w, const std::string &, const Event &) {
      w.store.down = true;
      w.at (w.now + 15000, [&w] { w.store.down = false; });
      return false;
    } },
  { "SchedulerPauses",
    [] (JobWorld &w, const std::string &h, const Event &) {
      w.at (w.now, [&w, h] { w.pause (h, 7000); });
      return false;
    } },
  { "SchedulerPausesForLong",
    [] (JobWorld &w, const std::string &h, const Event &) {
      w.at (w.now, [&w, h] { w.pause (h, 25000); });
      return false;
    } },
  { "SchedulerIsCutOffFromStoreAndPeers",
    [] (JobWorld &w, const std::string &h, const Event &) {
      auto turn = [&w, h] (bool on) {
        for (const char *to : { "h0", "h1", "h2", "store" })
          if (h != to)
            {
              w.cut (h, to, on);
              w.cut (to, h, on);
            }
      };
      turn (true);
      w.at (w.now + 15000, [turn] { turn (false); });
      return false;
    } },
  { "SchedulerIsCutOffFromWorkers",
    [] (JobWorld &w, const std::string &h, const Event &) {
      for (auto &x : w.workers)
        {
          w.cut (h, x.first);
          w.at (w.now + 20000, [&w, h, &x] { w.cut (h, x.first, false); });
        }
      return false;
    } },
};

struct SchedFault : testing::TestWithParam<std::tuple<int, int> >
{
};

/* Runs a gang that may be repeated and one that must not, with the fault at
   the STEP-th step; with a second fault when SECOND is not 0. */
void
run_case (guint32 seed, int fault, int step, int second, int second_step)
{
  JobWorld w (seed, 3, 6);
  std::string h;
  int steps = -1;

  w.start ();
  w.load_table (table);
  ASSERT_TRUE (w.wait_scheduler (5000));
  w.run (1000);
  h = w.scheduler ();
  w.tap = [&] (Node &n, const Event &e) {
    if (steps < 0 || n.name != h || !is_step (e))
      return false;
    int at = steps++;
    if (at == step)
      return faults[fault].apply (w, h, e);
    if (second >= 0 && at == second_step)
      return faults[second].apply (w, h, e);
    return false;
  };
  steps = 0;
  CallerJob once = w.job_of (2, 8, 4000);
  once.repeatable = 0;
  once.key = "once";
  gint64 a = w.submit (w.job_of (3, 8, 6000), "h1");
  gint64 b = w.submit (once, "h2");
  ASSERT_NE (w.accepted (a, 20000), "");
  std::string id = w.accepted (b, 20000);
  ASSERT_NE (id, "");
  EXPECT_TRUE (w.quiet (150000)) << w.story ();
  EXPECT_EQ (w.state (w.accepted_ids[0]), "done");
  if (second < 0 && (fault == 4 || fault == 5))
    {
      EXPECT_EQ (w.state (id), "done");
    }
}

TEST_P (SchedFault, EveryJobEndsWholeAndOnce)
{
  auto [fault, step] = GetParam ();

  run_case (static_cast<guint32> (step + 1), fault, step, -1, 0);
}

std::string
name_of (const testing::TestParamInfo<std::tuple<int, int> > &info)
{
  return std::string (faults[std::get<0> (info.param)].name) + "At" +
         std::to_string (std::get<1> (info.param));
}

INSTANTIATE_TEST_SUITE_P (
    EachStep,
    SchedFault,
    testing::Combine (testing::Range (0, (int)G_N_ELEMENTS (faults)),
                      testing::Range (0, 26)),
    name_of);

/* Pairs of faults at steps drawn from the seed. */
struct SchedPair : testing::TestWithParam<int>
{
};

TEST_P (SchedPair, EveryJobEndsWholeAndOnce)
{
  std::mt19937 rng (static_cast<guint32> (GetParam ()));
  int n = G_N_ELEMENTS (faults);
  int first = static_cast<int> (rng () % n);
  int second = static_cast<int> (rng () % n);
  int step = static_cast<int> (rng () % 20);

  run_case (static_cast<guint32> (GetParam ()), first, step, second,
            step + 1 + static_cast<int> (rng () % 12));
}

INSTANTIATE_TEST_SUITE_P (Seeds, SchedPair, testing::Range (0, 150));

/* What must not be repeated was started unrecorded by a successor, and a
   second time by one that could not read the store. */
INSTANTIATE_TEST_SUITE_P (Regressions,
                          SchedPair,
                          testing::Values (415, 695, 888, 1143));

} // namespace
