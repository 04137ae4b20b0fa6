#include "sched_fixture.h"

/* A renewal whose answer is lost was a renewal. */

namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,\n";

/* Loses the answers of all workers for SPAN, 60 s after the start of a job of
   300 s, whose worker renews its lease of 9 s all the while. */
void
lose_answers_for (ClockMs span, gboolean repeatable)
{
  JobWorld w (1, 1, 4);

  w.start ();
  w.load_table (table);
  ASSERT_TRUE (w.wait_scheduler (5000));
  w.run (1000);
  CallerJob q = w.job_of (1, 1, 300000);
  q.repeatable = repeatable;
  q.key = repeatable ? "" : "once";
  std::string id = w.submit_wait (q);
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return w.job_starts.count (id); }, 20000));
  w.run (60000);
  for (auto &x : w.workers)
    x.second.lossy = true;
  w.run (span);
  for (auto &x : w.workers)
    x.second.lossy = false;
  w.run (30000);
  EXPECT_EQ (w.live_leases (), 1);
  EXPECT_EQ (w.job_starts[id].size (), 1u);
}

struct SchedRenewal : testing::TestWithParam<int>
{
};

TEST_P (SchedRenewal, LostAnswersEndNoRepeatableJob)
{
  lose_answers_for (GetParam (), TRUE);
}

TEST_P (SchedRenewal, LostAnswersEndNoOnceJob)
{
  lose_answers_for (GetParam (), FALSE);
}

INSTANTIATE_TEST_SUITE_P (Spans,
                          SchedRenewal,
                          testing::Values (1500, 3500, 6000));

} // namespace
