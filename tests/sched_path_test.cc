#include "sched_fixture.h"

namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,\n";

struct SchedPath : testing::Test
{
  JobWorld w { 1, 3, 4 };
  void
  SetUp () override
  {
    w.start ();
    w.load_table (table);
    ASSERT_TRUE (w.wait_scheduler (5000));
  }
};

TEST_F (SchedPath, AGangRunsToItsEndFromAnyHost)
{
  for (const char *host : { "h0", "h1", "h2" })
    {
      std::string id = w.submit_wait (w.job_of (2, 8, 3000), host);
      ASSERT_NE (id, "");
      EXPECT_NE (w.record (id), "");
      EXPECT_TRUE (w.wait_state (id, "done", 10000)) << w.record (id);
      EXPECT_EQ (w.job_starts[id].size (), 1u);
    }
  w.run (2000);
  EXPECT_EQ (w.live_leases (), 0);
}

TEST_F (SchedPath, ATaskThatItsWorkerForgotIsFoundAtTheNextPoll)
{
  std::string id = w.submit_wait (w.job_of (2, 8, 20000));
  w.run (2000);
  ASSERT_EQ (w.live_leases (), 2);
  for (auto &x : w.workers)
    if (!x.second.leases.empty ())
      {
        x.second.reboot ();
        break;
      }
  EXPECT_TRUE (w.run_until ([&] { return w.job_starts[id].size () == 2; },
                            4000))
      << w.record (id);
  EXPECT_TRUE (w.wait_state (id, "done", 30000)) << w.record (id);
}

TEST_F (SchedPath, AskingShowsTheJobToItsWorkspaceAlone)
{
  std::string id = w.submit_wait (w.job_of (1, 4, 60000));
  w.run (2000);
  for (const char *host : { "h0", "h1", "h2" })
    {
      gint64 mine = w.ask (host, EV_JOB_ASK, "alpha", id);
      gint64 other = w.ask (host, EV_JOB_ASK, "beta", id);
      gint64 stop = w.ask (host, EV_JOB_CANCEL, "beta", id);
      w.run (500);
      ASSERT_NE (w.reply (mine), nullptr);
      EXPECT_EQ (w.reply (mine)->status, 200);
      EXPECT_NE (w.reply (mine)->body.find (id), std::string::npos);
      ASSERT_NE (w.reply (other), nullptr);
      EXPECT_EQ (w.reply (other)->status, 404);
      ASSERT_NE (w.reply (stop), nullptr);
      EXPECT_EQ (w.reply (stop)->status, 404);
    }
  EXPECT_EQ (w.live_leases (), 1);
}

TEST_F (SchedPath, CancellingStopsTheJobFromAnyHost)
{
  for (const char *host : { "h0", "h1", "h2" })
    {
      std::string id = w.submit_wait (w.job_of (2, 4, 600000));
      w.run (1000);
      EXPECT_EQ (w.live_leases (), 2);
      gint64 conn = w.ask (host, EV_JOB_CANCEL, "alpha", id);
      EXPECT_TRUE (w.wait_state (id, "cancelled", 5000));
      w.run (1000);
      EXPECT_EQ (w.live_leases (), 0);
      ASSERT_NE (w.reply (conn), nullptr);
      EXPECT_EQ (w.reply (conn)->status, 200);
      EXPECT_NE (w.reply (conn)->body.find ("cancelled"), std::string::npos);
    }
}

TEST_F (SchedPath, AKeyNamesOneJobWhereverItIsUsed)
{
  CallerJob q = w.job_of (1, 1, 1000);
  q.key = "nightly";
  q.repeatable = 0;
  gint64 a = w.submit (q, "h0");
  gint64 b = w.submit (q, "h1");
  std::string id = w.accepted (a);
  EXPECT_NE (id, "");
  EXPECT_EQ (w.accepted (b), id);
  EXPECT_TRUE (w.wait_state (id, "done", 10000));
  EXPECT_EQ (w.submit_wait (q, "h2"), id);
  w.run (5000);
  EXPECT_EQ (w.job_starts[id].size (), 1u);
  q.parts = 2;
  gint64 other = w.submit (q, "h2");
  w.run (1000);
  ASSERT_NE (w.reply (other), nullptr);
  EXPECT_EQ (w.reply (other)->status, 409);
  EXPECT_EQ (w.reply (other)->outcome, OUTCOME_NOT_RUN);
}

TEST_F (SchedPath, ADrainHandsTheRoleOverAndLosesNothing)
{
  std::string running = w.submit_wait (w.job_of (2, 8, 20000));
  std::string old = w.scheduler ();
  w.run (1000);
  w.drain (old);
  EXPECT_TRUE (w.run_until ([&] { return w.nodes[old].drained; }, 5000));
  EXPECT_TRUE (w.run_until (
      [&] { return w.scheduler () != "" && w.scheduler () != old; }, 1000));
  EXPECT_TRUE (w.wait_state (running, "done", 30000));
  EXPECT_EQ (w.job_starts[running].size (), 1u);
}

TEST (SchedDomains, AJobGoesWhereItFitsAndACutDomainGoesOnAlone)
{
  JobWorld two (3, 3, 2);
  two.add_host ("x0", "d2");
  two.add_host ("x1", "d2");
  for (int i = 0; i < 4; i++)
    two.add_worker (("x" + std::to_string (i) + "w").c_str (), "d2", "r9", 8);
  two.start ();
  two.load_table (table);
  two.run (2000);
  gint64 big = two.submit (two.job_of (4, 8, 3000), "h1");
  two.run (20000);
  ASSERT_NE (two.reply (big), nullptr);
  ASSERT_EQ (two.reply (big)->status, 202) << two.reply (big)->reason;
  EXPECT_NE (two.store.keys["jobs/d2/" + two.reply (big)->id].value.find (
                 "\"state\":3"),
             std::string::npos);
  gint64 seen = two.ask ("h2", EV_JOB_ASK, "alpha", two.reply (big)->id);
  two.run (500);
  EXPECT_EQ (two.reply (seen)->status, 200);
  std::string a = two.submit_wait (two.job_of (2, 8, 20000));
  std::string b = two.submit_wait (two.job_of (1, 8, 2000));
  two.run (500);
  two.cut_domain ("d1");
  two.run (40000);
  EXPECT_EQ (two.job_starts[a].size (), 1u);
  EXPECT_EQ (two.job_starts.count (b), 1u) << two.story ();
  two.cut_domain ("d1", false);
  EXPECT_TRUE (two.quiet (60000)) << two.story ();
}

TEST (SchedKeep, AResultIsKeptForItsTimeAndThenItsKeyIsFree)
{
  JobWorld w (1, 3, 4);
  w.config ()->result_keep_ms = 100000;
  w.start ();
  w.load_table (table);
  CallerJob q = w.job_of (1, 8, 500);
  q.key = "k";
  std::string id = w.submit_wait (q);
  EXPECT_TRUE (w.wait_state (id, "done", 10000));
  w.run (95000);
  gint64 kept = w.ask ("h1", EV_JOB_ASK, "alpha", id);
  w.run (1000);
  EXPECT_EQ (w.reply (kept)->status, 200);
  w.invariants.clear (); /* it is no longer kept, and that is right */
  w.run (10000);
  gint64 gone = w.ask ("h1", EV_JOB_ASK, "alpha", id);
  w.run (1000);
  EXPECT_EQ (w.reply (gone)->status, 404);
  EXPECT_EQ (w.store.keys.count ("job-keys/" + id), 0u);
}

TEST_F (SchedPath, WhatCanNeverRunIsRefusedWithTheReason)
{
  CallerJob big = w.job_of (5, 8, 1000);
  CallerJob keyless = w.job_of (1, 1, 1000);
  CallerJob foreign = w.job_of (1, 1, 1000);
  keyless.repeatable = 0;
  foreign.workspace = "gamma";
  CallerJob unkept = w.job_of (3, 8, 1000);
  unkept.repeatable = 0;
  unkept.key = "k";
  std::map<gint64, int> want = { { w.submit (big), 422 },
                                 { w.submit (keyless), 400 },
                                 { w.submit (foreign), 403 },
                                 { w.submit (unkept), 422 } };
  w.run (500);
  for (auto &[conn, status] : want)
    {
      ASSERT_NE (w.reply (conn), nullptr);
      EXPECT_EQ (w.reply (conn)->status, status);
      EXPECT_EQ (w.reply (conn)->outcome, OUTCOME_NOT_RUN);
      EXPECT_NE (w.reply (conn)->reason, "");
    }
}

} // namespace
