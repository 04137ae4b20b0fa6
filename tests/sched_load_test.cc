#include "sched_fixture.h"

extern "C"
{
#include "sched.h"
}

/* Cancellations, bursts, bad workers and bad jobs, and reclaim. */
namespace
{

const char *const table =
    "workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,2x8\n";

struct SchedLoad : testing::TestWithParam<int>
{
  JobWorld w { static_cast<guint32> (GetParam () + 1), 3, 4 };

  void
  SetUp () override
  {
    w.start ();
    w.load_table (table);
    ASSERT_TRUE (w.wait_scheduler (5000));
    w.run (1000);
  }
};

/* A cancellation after each of the gang's milliseconds. */
struct SchedCancel : SchedLoad
{
};

TEST_P (SchedCancel, HasOneTruthWheneverItComes)
{
  CallerJob q = w.job_of (2, 8, GetParam () % 2 ? 20 : 60000);
  gint64 conn = w.submit (q, "h1");

  std::string id = w.accepted (conn);
  w.run (GetParam () / 2);
  std::string host = "h" + std::to_string (GetParam () % 3);
  gint64 a = w.ask (host, EV_JOB_CANCEL, "alpha", id);
  gint64 b = w.ask ("h2", EV_JOB_CANCEL, "alpha", id);
  EXPECT_TRUE (w.quiet (10000)) << w.story ();
  w.run (3000);
  std::string end = w.state (id);
  EXPECT_TRUE (end == "cancelled" || end == "done") << end;
  for (gint64 c : { a, b })
    {
      ASSERT_NE (w.reply (c), nullptr);
      EXPECT_NE (w.reply (c)->body.find (end), std::string::npos)
          << w.reply (c)->body;
    }
  gint64 late = w.ask ("h0", EV_JOB_ASK, "alpha", id);
  w.run (500);
  EXPECT_NE (w.reply (late)->body.find (end), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P (Steps, SchedCancel, testing::Range (0, 60));

struct SchedBurst : SchedLoad
{
};

TEST_P (SchedBurst, TenThousandCancellationsAtOnce)
{
  const int n = 10000;
  std::vector<std::string> ids;
  std::vector<gint64> conns;

  w.invariants.clear (); /* each is O(all jobs) an event */
  for (int i = 0; i < n; i++)
    {
      conns.push_back (w.submit (w.job_of (1, 8, 3600000), "h0"));
      w.run (25);
    }
  w.run (5000);
  std::map<gint64, std::string> id_of;
  for (auto &r : w.replies)
    if (r.status == 202)
      id_of[r.conn] = r.id;
  ASSERT_EQ (id_of.size (), static_cast<size_t> (n));
  ASSERT_EQ (w.live_leases (), 4);
  std::string h = w.scheduler ();
  gint64 before = w.total (COUNT_JOB_WRITES);
  for (auto &[conn, id] : id_of)
    w.ask (h, EV_JOB_CANCEL, "alpha", id);
  /* Nothing runs any more long before all of it is recorded. */
  w.run (200);
  EXPECT_EQ (w.live_leases (), 0);
  EXPECT_TRUE (w.run_until ([&] { return w.total (COUNT_JOBS_CANCELLED) == n; },
                            1000));
  EXPECT_TRUE (w.run_until (
      [&] { return w.replies.size () == static_cast<size_t> (2 * n); },
      600000));
  EXPECT_LE (w.total (COUNT_JOB_WRITES) - before, n + n / 10);
}

TEST_P (SchedBurst, FiveHundredJobsTakeAFewWritesEach)
{
  const int n = 500;
  std::vector<gint64> conns;

  w.invariants.clear ();
  for (int i = 0; i < n; i++)
    conns.push_back (w.submit (w.job_of (1, 1, 2000),
                               "h" + std::to_string (i % 3)));
  w.run_until ([&] { return w.replies.size () == conns.size (); }, 60000);
  EXPECT_EQ (w.total (COUNT_JOBS_ACCEPTED), n);
  EXPECT_TRUE (w.run_until ([&] { return w.total (COUNT_JOBS_DONE) == n; },
                            600000));
  w.run (30000);
  RecordProperty ("writes_per_job_permille",
                  static_cast<int> (w.total (COUNT_JOB_WRITES) * 1000 / n));
  EXPECT_LE (w.total (COUNT_JOB_WRITES), 4 * n);
  EXPECT_EQ (w.live_leases (), 0);
}

INSTANTIATE_TEST_SUITE_P (Once, SchedBurst, testing::Values (0));

TEST_P (SchedLoad, AWorkerThatFailsEverythingLosesNoJob)
{
  JobWorld many (static_cast<guint32> (GetParam () + 1), 3, 10);

  many.start ();
  many.load_table (table);
  many.workers["w0"].fails_all = true;
  for (int i = 0; i < 30; i++)
    many.submit_wait (many.job_of (1, 8, 2000), "h" + std::to_string (i % 3));
  EXPECT_TRUE (many.quiet (120000)) << many.story ();
  for (auto &id : many.accepted_ids)
    EXPECT_EQ (many.state (id), "done") << many.story ();
  EXPECT_EQ (many.total (COUNT_QUARANTINES), 1);
}

TEST_P (SchedLoad, AJobThatFailsEverywhereEndsWithItsEvidence)
{
  for (auto &x : w.workers)
    x.second.fails_all = true;
  std::string id = w.submit_wait (w.job_of (1, 8, 2000));
  EXPECT_TRUE (w.quiet (600000)) << w.story ();
  EXPECT_EQ (w.state (id), "failed");
  EXPECT_NE (w.record (id).find ("a part failed"), std::string::npos);
}

TEST_P (SchedLoad, WorkThatUsesFarMoreMemoryEndsWithoutItsNeighbours)
{
  CallerJob big = w.job_of (1, 4, 3600000);
  big.memory_mb = 100000;
  CallerJob small = w.job_of (1, 4, 100000);
  std::string a = w.submit_wait (big);
  std::string b = w.submit_wait (small);
  for (auto &x : w.workers)
    x.second.memory_percent[a] = 400;
  EXPECT_TRUE (w.run_until (
      [&] { return w.record (a).find ("more memory") != std::string::npos; },
      120000))
      << w.story ();
  EXPECT_TRUE (w.wait_state (b, "done", 200000)) << w.story ();
}

TEST_P (SchedLoad, AFullQueueIsRefusedOnEveryHost)
{
  w.load_table ("workspace,weight,max_queued\nalpha,1,3\n", 2);
  for (int i = 0; i < 7; i++)
    w.submit_wait (w.job_of (1, 8, 600000));
  w.run (2500);
  for (const char *host : { "h0", "h1", "h2" })
    {
      gint64 conn = w.submit (w.job_of (1, 8, 1000), host);
      w.run (500);
      ASSERT_NE (w.reply (conn), nullptr);
      EXPECT_EQ (w.reply (conn)->status, 429);
    }
}

TEST_P (SchedLoad, TheStatusTellsWhatIsHeldOwedAndNotKept)
{
  CallerJob q = w.job_of (1, 8, 600000);
  for (int i = 0; i < 5; i++)
    w.submit_wait (q);
  w.workers["w3"].down = true;
  w.workers["w3"].reboot ();
  w.load_table ("workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,2x8\n", 2);
  w.run (30000);
  char *text = sched_status (w.core (w.scheduler ()));
  std::string s = text;
  g_free (text);
  EXPECT_NE (s.find ("\"held\":16,\"borrowed\":8"), std::string::npos) << s;
  EXPECT_NE (s.find ("\"waiting_jobs\":2"), std::string::npos) << s;
  EXPECT_NE (s.find ("\"short_of\":8"), std::string::npos) << s;
  EXPECT_NE (s.find ("it does not answer"), std::string::npos) << s;
}

/* A full domain of borrowed work; alpha then wants its own. */
struct SchedReclaim : SchedLoad
{
  std::string
  urgent ()
  {
    CallerJob q = w.job_of (2, 8, 5000);

    for (int i = 0; i < 4; i++)
      {
        CallerJob b = w.job_of (1, 8, 600000);
        b.workspace = "beta";
        b.work_class = CLASS_BATCH;
        b.checkpointable = GetParam () % 2;
        w.submit_wait (b);
      }
    w.run (10000 + w.random (5000));
    EXPECT_EQ (w.live_leases (), 4);
    q.work_class = CLASS_INTERACTIVE;
    return w.submit_wait (q, "h1");
  }
};

TEST_P (SchedReclaim, UrgentWorkInItsGuaranteeStartsInTime)
{
  ClockMs from = w.now;
  std::string id = urgent ();

  from = w.now;
  EXPECT_TRUE (w.run_until ([&] { return w.job_starts.count (id); }, 20000))
      << w.story ();
  EXPECT_LE (w.now - from, 8300);
  EXPECT_TRUE (w.wait_state (id, "done", 30000));
  w.run (20000);
  EXPECT_EQ (w.live_leases (), 4) << "the borrowers run again";
}

TEST_P (SchedReclaim, WorkersThatNeverSaveAreStoppedAtTheBound)
{
  for (auto &x : w.workers)
    x.second.checkpoint_ms = 3600000;
  std::string id = urgent ();
  ClockMs from = w.now;

  EXPECT_TRUE (w.run_until ([&] { return w.job_starts.count (id); }, 20000))
      << w.story ();
  EXPECT_LE (w.now - from, 8300);
}

TEST_P (SchedReclaim, ARackThatIsLostMeanwhileStrandsNobody)
{
  std::string id = urgent ();

  w.run (w.random (800));
  for (const char *name : { "w0", "w1" })
    {
      w.workers[name].down = true;
      w.workers[name].reboot ();
    }
  EXPECT_TRUE (w.wait_state (id, "done", 90000)) << w.story ();
  w.workers["w0"].down = w.workers["w1"].down = false;
  w.run (30000);
  EXPECT_EQ (w.live_leases (), 4) << w.story ();
}

TEST_P (SchedReclaim, TheSchedulerMayDieMeanwhile)
{
  std::string id = urgent ();

  w.run (w.random (800));
  w.kill (w.scheduler ());
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
}

INSTANTIATE_TEST_SUITE_P (Seeds, SchedReclaim, testing::Range (0, 20));
INSTANTIATE_TEST_SUITE_P (Seeds, SchedLoad, testing::Range (0, 4));

} // namespace
