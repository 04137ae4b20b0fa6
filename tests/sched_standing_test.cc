#include "sched_fixture.h"

/* Jobs that wait for what only somebody else can bring: an answer of a worker
   or of the store, or news of a job. */
namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\n";

struct SchedStanding : testing::TestWithParam<int>
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

/* The first worker that is asked for OP never answers any more. */
void
silence_worker_at (JobWorld &w, WorkerOp op, std::string *silent)
{
  w.tap = [&w, op, silent] (Node &, const Event &e) {
    const WorkerCall *call = worker_call (e);

    if (call && call->op == op && silent->empty ())
      {
        *silent = call->worker;
        w.workers[*silent].reboot ();
      }
    return call && call->worker == *silent;
  };
}

TEST_P (SchedStanding, JobGoesElsewhereWhenItsWorkerNeverAnswersAgain)
{
  auto op = static_cast<WorkerOp> (GetParam ());
  JobWorld w (7, 2, 3);
  std::string silent;

  begin (w);
  silence_worker_at (w, op, &silent);
  CallerJob q = w.once_job (1, 4000);
  q.checkpointable = 1;
  std::string id = w.submit_wait (q);
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !silent.empty (); }, 5000));
  EXPECT_TRUE (w.run_until (
      [&] { return w.state (id) == "done" || w.state (id) == "unknown"; },
      90000))
      << w.story ();
  EXPECT_EQ (w.state (id), op == WORKER_RESERVE ? "done" : "unknown");
  EXPECT_EQ (w.total (COUNT_JOBS_RUNNING), 0);
  EXPECT_GT (w.total (COUNT_WORKER_OVERDUE), 3);
}

INSTANTIATE_TEST_SUITE_P (Calls,
                          SchedStanding,
                          testing::Values (WORKER_RESERVE, WORKER_START));

struct SchedStandingTakeover : SchedStanding
{
};

TEST_F (SchedStandingTakeover, PartThatIsOnlyReservedIsStarted)
{
  JobWorld w (5, 3, 2);
  std::string h;
  std::string second;
  int starts = 0;

  begin (w);
  h = w.scheduler ();
  w.tap = [&] (Node &n, const Event &e) {
    const WorkerCall *call = worker_call (e);

    if (!call || call->op != WORKER_START || n.name != h || ++starts != 2)
      return false;
    second = call->worker;
    w.at (w.now, [&] { w.kill (h); });
    for (auto &[name, node] : w.nodes)
      w.cut (name, second);
    return true;
  };
  std::string id =
      w.submit_wait (w.job_of (2, 8, 30000), h == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !second.empty (); }, 5000));
  w.tap = nullptr;
  ASSERT_TRUE (w.run_until (
      [&] {
        for (auto &n : w.notes)
          if (n.kind == NOTE_ROLE_READY && n.host != h)
            return true;
        return false;
      },
      9000));
  for (auto &[name, node] : w.nodes)
    w.cut (name, second, false);
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
  EXPECT_LT (w.total (COUNT_WORKER_CALLS), 500);
}

TEST_F (SchedStandingTakeover, CheckpointThatTheFormerSchedulerAskedForIsUsed)
{
  JobWorld w (5, 3, 2);
  std::string h;

  begin (w);
  h = w.scheduler ();
  CallerJob q = w.job_of (1, 8, 30000);
  q.checkpointable = 1;
  std::string id = w.submit_wait (q, h == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.wait_state (id, "placed", 5000));
  w.run (2000);
  for (auto &[name, worker] : w.workers)
    for (auto &l : worker.leases)
      l.saved_at = w.now + 12000;
  w.kill (h);
  EXPECT_TRUE (w.wait_state (id, "done", 90000)) << w.story ();
}

TEST_F (SchedStandingTakeover, JobGoesOnThoughAnotherWorkerIsDown)
{
  JobWorld w (5, 3, 2);
  std::string h;

  begin (w);
  h = w.scheduler ();
  std::string id =
      w.submit_wait (w.once_job (1, 30000), h == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.wait_state (id, "running", 5000));
  w.run (2000);
  for (auto &[name, worker] : w.workers)
    worker.down = worker.leases.empty ();
  w.kill (h);
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
  EXPECT_EQ (w.job_starts[id].size (), 1U);
}

struct SchedStandingRoom : SchedStanding
{
};

bool
is_stop (const Event &e)
{
  const WorkerCall *call = worker_call (e);

  return call && call->op == WORKER_STOP;
}

TEST_F (SchedStandingRoom, IsFreedThoughStopsGetNoAnswerAfterTheTaskHasEnded)
{
  JobWorld w (5, 2, 1);

  begin (w);
  std::string id = w.submit_wait (w.once_job (1, 8000));
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.wait_state (id, "running", 5000));
  w.run (1000);
  w.tap = [] (Node &, const Event &e) { return is_stop (e); };
  w.ask (w.scheduler (), EV_JOB_CANCEL, "alpha", id);
  w.run (1000);
  std::string next = w.submit_wait (w.job_of (1, 8, 1000));
  ASSERT_NE (next, "");
  EXPECT_TRUE (w.wait_state (next, "done", 40000)) << w.story ();
}

TEST_F (SchedStandingRoom, IsFreedThoughStopsGetNoAnswerAfterARestart)
{
  JobWorld w (5, 2, 1);

  begin (w);
  std::string id = w.submit_wait (w.once_job (1, 600000));
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.wait_state (id, "running", 5000));
  w.tap = [] (Node &, const Event &e) { return is_stop (e); };
  w.ask (w.scheduler (), EV_JOB_CANCEL, "alpha", id);
  w.run (1000);
  w.workers["w0"].reboot ();
  std::string next = w.submit_wait (w.job_of (1, 8, 1000));
  ASSERT_NE (next, "");
  EXPECT_TRUE (w.wait_state (next, "done", 60000)) << w.story ();
}

TEST_F (SchedStandingRoom, GoesToWorkThatMayStartWhileTheStoreIsAway)
{
  JobWorld w (5, 2, 1);
  std::vector<std::string> once;

  begin (w);
  std::string first = w.submit_wait (w.job_of (1, 8, 4000));
  for (int i = 0; i < 4; i++)
    {
      CallerJob q = w.once_job (1, 1000);
      std::string key = "once " + std::to_string (i);

      q.key = key.c_str ();
      once.push_back (w.submit_wait (q));
    }
  std::string next = w.submit_wait (w.job_of (1, 8, 1000));
  ASSERT_NE (next, "");
  w.store.silent = true;
  EXPECT_TRUE (w.run_until ([&] { return !w.job_starts[next].empty (); },
                            60000))
      << w.story ();
  w.store.silent = false;
  EXPECT_TRUE (w.quiet (90000)) << w.story ();
}

/* Puts a lease of a job that nobody knows on the only worker. */
void
add_stray_lease (JobWorld &w, WorkerLeaseState state)
{
  FakeWorker::Lease l = {};

  l.job = "nobody's";
  l.run = 1;
  l.count = 8;
  l.state = state;
  l.until = w.now + 10000;
  l.started = state == LEASE_RUNNING ? w.now : 0;
  l.done_at = CLOCK_NEVER;
  l.dirty = true;
  w.workers["w0"].leases.push_back (l);
}

TEST_F (SchedStandingRoom, IsFreedOfAnUnknownReservationWhileTheStoreIsAway)
{
  JobWorld w (5, 2, 1);

  begin (w);
  add_stray_lease (w, LEASE_RESERVED);
  std::string id = w.submit_wait (w.job_of (1, 8, 1000));
  ASSERT_NE (id, "");
  w.store.silent = true;
  EXPECT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 60000))
      << w.story ();
}

TEST_F (SchedStandingRoom, IsFreedOfAnUnknownTaskThoughTheStoreIsSlow)
{
  JobWorld w (5, 2, 1);

  begin (w);
  add_stray_lease (w, LEASE_RUNNING);
  std::string id = w.submit_wait (w.job_of (1, 8, 1000));
  ASSERT_NE (id, "");
  w.store.delay = 900;
  EXPECT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 60000))
      << w.story ();
}

struct SchedStandingCaller : SchedStanding
{
};

TEST_F (SchedStandingCaller, DrainWithoutASchedulerFinishesWhatIsInFlight)
{
  JobWorld w (5, 2, 2);

  w.add_upstream ("u1", "d1").service_ms = 6000;
  begin (w);
  std::string h = w.scheduler ();
  std::string other = h == "h0" ? "h1" : "h0";
  CallerRequest q = {};
  q.workspace = "alpha";
  q.work_kind = "proof";
  q.repeatable = 1;
  gint64 conn = w.request (other, q, "body");
  w.run (100);
  w.drain (other);
  w.drain (h);
  EXPECT_TRUE (w.run_until ([&] { return w.reply (conn); }, 8000));
  EXPECT_TRUE (w.run_until ([&] { return w.nodes.at (other).drained; }, 2000));
}

TEST_F (SchedStandingCaller, CancelIsAnsweredThoughTheStoreIsAway)
{
  JobWorld w (5, 2, 2);

  begin (w);
  std::string id = w.submit_wait (w.job_of (1, 8, 60000));
  ASSERT_NE (id, "");
  w.run (2000);
  w.store.silent = true;
  gint64 conn = w.ask (w.scheduler (), EV_JOB_CANCEL, "alpha", id);
  EXPECT_TRUE (w.run_until ([&] { return w.reply (conn); }, 15000));
  w.store.silent = false;
  EXPECT_TRUE (w.wait_state (id, "cancelled", 30000)) << w.story ();
  EXPECT_EQ (std::count_if (w.replies.begin (), w.replies.end (),
                            [&] (const Reply &r) { return r.conn == conn; }),
             1);
}

TEST_F (SchedStandingCaller, DrainEndsThoughTheStoreIsAway)
{
  JobWorld w (5, 2, 2);

  w.config ()->drain_ms = 20000;
  begin (w);
  std::string h = w.scheduler ();
  std::string id =
      w.submit_wait (w.once_job (1, 4000), h == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  w.store.silent = true;
  w.run (3000);
  w.drain (h);
  EXPECT_TRUE (w.run_until ([&] { return w.nodes.at (h).drained; }, 10000))
      << w.story ();
  w.store.silent = false;
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
}

TEST_F (SchedStandingCaller, AllAreAnsweredWithinTheBoundOfADrain)
{
  JobWorld w (5, 2, 2);

  w.config ()->drain_ms = 2000;
  begin (w);
  std::string h = w.scheduler ();
  w.store.silent = true;
  gint64 job = w.submit (w.job_of (1, 8, 4000), h);
  gint64 question = w.ask (h, EV_JOB_ASK, "alpha", "nobody's");
  w.run (500);
  w.drain (h);
  EXPECT_TRUE (w.run_until ([&] { return w.reply (job) && w.reply (question); },
                            2500));
  EXPECT_TRUE (w.run_until ([&] { return w.nodes.at (h).drained; }, 500));
}

TEST_F (SchedStandingCaller, JobOfAHostThatDiedIsFoundAmongManyRecords)
{
  JobWorld w (5, 3, 4);
  std::string text (16000, 'x');

  begin (w);
  std::string h = w.scheduler ();
  std::string other = h == "h0" ? "h1" : "h0";
  GBytes *body = g_bytes_new (text.data (), text.size ());
  for (int i = 0; i < 24; i++)
    {
      CallerJob q = w.job_of (1, 8, 100);
      q.body = body;
      ASSERT_NE (w.submit_wait (q), "");
    }
  g_bytes_unref (body);
  ASSERT_TRUE (w.quiet (30000));
  w.run (20000); /* the next listing is far away */
  w.tap = [&] (Node &n, const Event &e) {
    return e.kind == MSG_JOB_HINT && n.name == other;
  };
  std::string id = w.submit_wait (w.job_of (1, 8, 1000), other);
  ASSERT_NE (id, "");
  w.kill (other);
  EXPECT_TRUE (w.wait_state (id, "done", 20000)) << w.story ();
}

/* Calls end neither in an answer nor in a failure, drawn from the seed; now
   and then a worker, the store or a host goes, and comes back. */
struct SchedStandingSearch : testing::TestWithParam<int>
{
};

void
draw_fault (JobWorld &w)
{
  std::string worker = "w" + std::to_string (w.random (4));
  std::string host = "h" + std::to_string (w.random (3));

  switch (w.random (4))
    {
    case 0:
      w.workers[worker].down = true;
      w.at (w.now + 14000, [&w, worker] { w.workers[worker].down = false; });
      break;
    case 1:
      w.workers[worker].reboot ();
      break;
    case 2:
      w.store.silent = true;
      w.at (w.now + 8000, [&w] { w.store.silent = false; });
      break;
    default:
      w.kill (host);
      w.at (w.now + 4000, [&w, host] { w.restart (host); });
    }
}

TEST_P (SchedStandingSearch, EveryJobEndsWholeAndOnce)
{
  JobWorld w (static_cast<guint32> (GetParam ()), 3, 4);
  ClockMs end;
  guint32 permille = 20 + 40 * static_cast<guint32> (GetParam () % 5);

  w.start ();
  w.load_table (table);
  ASSERT_TRUE (w.wait_scheduler (5000));
  end = w.now + 40000;
  w.tap = [&] (Node &, const Event &e) {
    return (e.kind == FX_WORKER_CALL || e.kind == FX_STORE_CALL) &&
           w.now < end && w.random (1000) < permille;
  };
  for (ClockMs at = w.now + 3000; at < end; at += 9000)
    w.at (at, [&w] { draw_fault (w); });
  for (int i = 0; i < 6; i++)
    {
      CallerJob q = w.job_of (1 + i % 2, 8, 3000);
      std::string key = "key " + std::to_string (i);

      q.repeatable = i % 3 != 0;
      q.checkpointable = i % 2 && q.repeatable;
      q.key = q.repeatable ? "" : key.c_str ();
      gint64 conn = w.submit (q, "h" + std::to_string (i % 3));
      w.accepted (conn, 14000);
      w.run (1000);
    }
  w.run_until ([&] { return w.now >= end; }, 60000);
  EXPECT_TRUE (w.quiet (120000)) << w.story ();
}

INSTANTIATE_TEST_SUITE_P (Seeds, SchedStandingSearch, testing::Range (0, 60));

/* A job that was being undone was placed again. */
INSTANTIATE_TEST_SUITE_P (Regressions,
                          SchedStandingSearch,
                          testing::Values (1003, 1757, 2191, 4078));

} // namespace
