#include "sched_fixture.h"

/* What a worker said, or was asked, in one life of its process is used in
   another; a successor doesn't know what its predecessor has started. */
namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\n";

bool
is_call (const Event &e, WorkerOp op, const std::string &worker)
{
  const WorkerCall *call = worker_call (e);

  return call && call->op == op && call->worker == worker;
}

struct SchedRestart : testing::Test
{
  void
  begin (JobWorld &w)
  {
    w.start ();
    w.load_table (table);
    ASSERT_TRUE (w.wait_scheduler (5000));
    w.run (3000);
  }
};

/* The answer of a whole report comes after that of a start that is newer. */
struct SchedRestartReport : SchedRestart, testing::WithParamInterface<bool>
{
};

TEST_P (SchedRestartReport, StartIsKeptThoughAnOlderReportComesAfterIt)
{
  JobWorld w (3, 1, 1);
  bool held = false;

  begin (w);
  w.tap = [&] (Node &n, const Event &e) {
    if (held || !is_call (e, WORKER_REPORT, "w0"))
      return false;
    held = true;
    w.workers["w0"].delay = 1500;
    w.carry_out (n, e);
    w.workers["w0"].delay = 1;
    return true;
  };
  ASSERT_TRUE (w.run_until ([&] { return held; }, 60000));
  CallerJob q = w.once_job (1, 20000);
  q.repeatable = GetParam ();
  std::string id = w.submit_wait (q);
  ASSERT_NE (id, "");
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
  EXPECT_EQ (w.job_starts[id].size (), 1U);
}

INSTANTIATE_TEST_SUITE_P (Repeatable, SchedRestartReport, testing::Bool ());

} // namespace
