#include "invariants.h"

#include <gtest/gtest.h>

/* Each check must catch the break that it is for. */
namespace
{

class InvariantsTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    w.add_host ("h1", "d1");
    w.add_upstream ("u1", "d1");
    w.add_worker ("w1", "d1", "rack1", 8);
    w.start ();
  }

  /* A reply to CONN as h1 would have given it. */
  void
  reply (gint64 conn,
         Outcome outcome,
         const char *id,
         const std::string &body = "")
  {
    w.replies.push_back ({ "h1", conn, outcome, 200, id, "", body, w.now });
  }

  FakeWorker::Lease
  lease (int part, int first, WorkerLeaseState state)
  {
    return {
      "job1",       part,         1,           first, 4,    1, 1, 1, state,
      w.now + 1000, w.now - 1000, CLOCK_NEVER, 0,     false
    };
  }
  World w { 1 };
};

TEST_F (InvariantsTest, GangRunsWholeCatchesALostPart)
{
  w.job_parts[1] = 2;
  reply (1, OUTCOME_ANSWERED, "job1");
  w.workers["w1"].leases = { lease (0, 0, LEASE_RUNNING),
                             lease (1, 4, LEASE_RUNNING) };
  w.now += 2 * invariants::gang_bound;
  EXPECT_EQ (invariants::gang_runs_whole (w), "");
  w.workers["w1"].leases[1].state = LEASE_LAPSED;
  EXPECT_NE (invariants::gang_runs_whole (w), "");
  w.workers["w1"].leases.pop_back ();
  EXPECT_NE (invariants::gang_runs_whole (w), "");
}

TEST_F (InvariantsTest, NoAcceleratorLeasedTwiceCatchesAnOverlap)
{
  w.workers["w1"].leases = { lease (0, 0, LEASE_RUNNING),
                             lease (1, 4, LEASE_RESERVED) };
  EXPECT_EQ (invariants::no_accelerator_leased_twice (w), "");
  w.workers["w1"].leases[1].first = 3;
  EXPECT_NE (invariants::no_accelerator_leased_twice (w), "");
}

TEST_F (InvariantsTest, AnswersReachTheirOwnCallerCatchesASwap)
{
  w.sent_bodies[1] = "a";
  w.sent_bodies[2] = "b";
  reply (1, OUTCOME_ANSWERED, "r1", "answer to a");
  EXPECT_EQ (invariants::answers_reach_their_own_caller (w), "");
  reply (2, OUTCOME_ANSWERED, "r2", "answer to a");
  EXPECT_NE (invariants::answers_reach_their_own_caller (w), "");
}

TEST_F (InvariantsTest, NotRunDidNotRunCatchesAnExecution)
{
  reply (1, OUTCOME_NOT_RUN, "r1");
  EXPECT_EQ (invariants::not_run_did_not_run (w), "");
  w.upstreams["u1"].executed["r1"] = 1;
  EXPECT_NE (invariants::not_run_did_not_run (w), "");
}

TEST_F (InvariantsTest, RequestsRunAtMostOnceCatchesARepeat)
{
  w.once_bodies.insert ("a");
  w.executions["a"] = 1;
  EXPECT_EQ (invariants::requests_run_at_most_once (w), "");
  w.executions["a"] = 2;
  EXPECT_NE (invariants::requests_run_at_most_once (w), "");
}

TEST_F (InvariantsTest, JobsRunAtMostOnceCatchesASecondRun)
{
  w.once_jobs.insert (1);
  reply (1, OUTCOME_ANSWERED, "job1");
  w.job_starts["job1"] = { 1 };
  EXPECT_EQ (invariants::jobs_run_at_most_once (w), "");
  w.job_starts["job1"].insert (2);
  EXPECT_NE (invariants::jobs_run_at_most_once (w), "");
}

TEST_F (InvariantsTest, JobsRunAtMostOnceCatchesARunThatBeginsTwice)
{
  w.once_jobs.insert (1);
  reply (1, OUTCOME_ANSWERED, "job1");
  w.tasks_begun[{ "job1", 0 }] = 1;
  w.tasks_begun[{ "job1", 1 }] = 1;
  EXPECT_EQ (invariants::jobs_run_at_most_once (w), "");
  w.tasks_begun[{ "job1", 1 }] = 2;
  EXPECT_NE (invariants::jobs_run_at_most_once (w), "");
}

TEST_F (InvariantsTest, AcceptedJobsAreKeptCatchesALostRecord)
{
  w.job_parts[1] = 1;
  w.store.keys["jobs/d1/job1"] = { 1, "record", 0 };
  reply (1, OUTCOME_ANSWERED, "job1");
  EXPECT_EQ (invariants::accepted_jobs_are_kept (w), "");
  w.store.keys.clear ();
  EXPECT_NE (invariants::accepted_jobs_are_kept (w), "");
}

TEST_F (InvariantsTest, LeavingUpstreamsGetNothingCatchesALateSend)
{
  w.upstreams["u1"].leaving = true;
  w.run (10);
  UpstreamSend s = {};
  s.upstream = "u1";
  s.request = "r1";
  s.attempt = 1;
  Event *e = event_new (FX_UPSTREAM_SEND, w.now, "", &s);
  w.carry_out (w.nodes.at ("h1"), *e);
  EXPECT_EQ (invariants::leaving_upstreams_get_nothing (w), "");
  w.run (w.leaving_bound + 10);
  w.carry_out (w.nodes.at ("h1"), *e);
  EXPECT_NE (invariants::leaving_upstreams_get_nothing (w), "");
  event_free (e);
}

TEST_F (InvariantsTest, ShutdownCutsOffNothingCatchesALostReply)
{
  w.sent_to[1] = "h1";
  w.sent_incarnation[1] = w.nodes.at ("h1").incarnation;
  EXPECT_EQ (invariants::shutdown_cuts_off_nothing (w), "");
  w.nodes.at ("h1").drained = true;
  EXPECT_NE (invariants::shutdown_cuts_off_nothing (w), "");
  reply (1, OUTCOME_ANSWERED, "r1");
  EXPECT_EQ (invariants::shutdown_cuts_off_nothing (w), "");
}

TEST_F (InvariantsTest, TableRevisionNeverFallsCatchesAFall)
{
  w.load_table ("workspace,weight\nalpha,1\n", 5);
  EXPECT_EQ (invariants::table_revision_never_falls (w), "");
  w.revisions[{ "h1", w.nodes.at ("h1").incarnation }] = 6;
  EXPECT_NE (invariants::table_revision_never_falls (w), "");
}

} // namespace
