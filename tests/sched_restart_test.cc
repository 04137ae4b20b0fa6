#include "sched_fixture.h"

#include <algorithm>

extern "C"
{
#include "job.h"
}

/* What a worker said, or was asked, in one life of its process is used in
   another; a successor doesn't know what its predecessor has started. */
namespace
{

const char *const table = "workspace,weight,guarantee\nalpha,1,2x8\n";

using EventCopy = std::shared_ptr<Event>;

EventCopy
copy_of (const Event &e)
{
  return { event_new (e.kind, e.at, e.peer, e.body), event_free };
}

bool
is_call (const Event &e, WorkerOp op, const std::string &worker)
{
  const WorkerCall *call = worker_call (e);

  return call && call->op == op && call->worker == worker;
}

/* Tells whether E puts a record of a job in STATE into the store. */
bool
writes_state (const Event &e, JobState state)
{
  auto *call = static_cast<const StoreCall *> (e.body);
  JobRecord *r;
  bool is;

  if (e.kind != FX_STORE_CALL || call->op != STORE_PUT ||
      !g_str_has_prefix (call->key, "jobs/"))
    return false;
  r = job_decode (call->value);
  is = r && r->state == state;
  job_record_free (r);
  return is;
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

  bool
  wait_ready (JobWorld &w, const std::string &former)
  {
    return w.run_until (
        [&] {
          return std::any_of (w.notes.begin (), w.notes.end (),
                              [&] (const Note &n) {
                                return n.kind == NOTE_ROLE_READY &&
                                       n.host != former;
                              });
        },
        9000);
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

TEST_F (SchedRestart, StartOfAPredecessorThatIsRecordedLateIsNotRepeated)
{
  JobWorld w (3, 3, 2);
  std::string former, seat;
  bool lost = false;

  begin (w);
  w.run (400);
  former = w.scheduler ();
  w.tap = [&] (Node &n, const Event &e) {
    if (lost || n.name != former || !writes_state (e, JOB_RUNNING))
      return false;
    lost = true;
    return true;
  };
  std::string id =
      w.submit_wait (w.once_job (1, 4000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return lost; }, 5000));
  for (auto &[name, worker] : w.workers)
    {
      if (!worker.leases.empty ())
        seat = name;
      else
        w.cut (former, name);
    }
  w.cut (former, "store");
  for (auto &[name, node] : w.nodes)
    if (name != former)
      {
        w.cut (name, former);
        w.cut (former, name);
        w.cut (name, seat);
      }
  ASSERT_TRUE (w.run_until ([&] { return w.total (COUNT_TAKEOVERS) > 1; },
                            9000));
  w.run (640);
  w.cut (former, "store", false);
  ASSERT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 2000))
      << w.story ();
  w.run (40000);
  EXPECT_EQ (w.job_starts[id].size (), 1U);
  EXPECT_EQ (w.state (id), "unknown") << w.story ();
}

TEST_F (SchedRestart, RunIsNotStartedAgainForNewsThatIsOlderThanItsRecord)
{
  JobWorld w (3, 3, 2);
  std::string former, seat;

  begin (w);
  former = w.scheduler ();
  std::string id =
      w.submit_wait (w.job_of (1, 8, 20000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 5000));
  w.run (4000);
  for (auto &[name, worker] : w.workers)
    if (!worker.leases.empty ())
      seat = name;
  w.kill (former);
  for (auto &[name, node] : w.nodes)
    w.cut (name, seat);
  w.tap = [&w] (Node &n, const Event &e) {
    if (e.kind != FX_STORE_CALL ||
        static_cast<const StoreCall *> (e.body)->op != STORE_LIST)
      return false;
    w.store.delay = 600;
    w.carry_out (n, e);
    w.store.delay = 2;
    return true;
  };
  ASSERT_TRUE (wait_ready (w, former));
  for (auto &[name, node] : w.nodes)
    w.cut (name, seat, false);
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
  EXPECT_EQ ((w.tasks_begun[{ id, 0 }]), 1);
}

TEST_F (SchedRestart, ReservationOfAnEarlierProcessIsNotTakenOver)
{
  JobWorld w (5, 3, 2);
  std::string former, seat;

  begin (w);
  former = w.scheduler ();
  w.tap = [&] (Node &n, const Event &e) {
    if (n.name != former || !writes_state (e, JOB_RUNNING))
      return false;
    w.at (w.now, [&] { w.kill (former); });
    return true;
  };
  std::string id =
      w.submit_wait (w.once_job (1, 4000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !w.nodes.at (former).core; }, 5000));
  for (auto &[name, worker] : w.workers)
    if (!worker.leases.empty ())
      seat = name;
  w.tap = [&] (Node &, const Event &e) {
    const WorkerCall *call = worker_call (e);

    return call && call->worker != seat;
  };
  ASSERT_TRUE (w.run_until ([&] { return w.total (COUNT_TAKEOVERS) > 0; },
                            9000));
  w.run (100);
  w.workers[seat].reboot ();
  EXPECT_TRUE (w.wait_state (id, "done", 60000)) << w.story ();
}

/* Has the first reservation that a worker is asked for come LATE: its answer
   is lost at once. */
void
lose_reservation (JobWorld &w, EventCopy *late)
{
  w.tap = [&w, late] (Node &n, const Event &e) {
    const WorkerCall *call = worker_call (e);

    if (*late || !call || call->op != WORKER_RESERVE)
      return false;
    *late = copy_of (e);
    w.at (w.now + 1, [&w, &n, late] {
      auto *lost_call = static_cast<const WorkerCall *> ((*late)->body);
      WorkerReply lost = {};

      lost.call = lost_call->call;
      lost.worker = lost_call->worker;
      lost.op = lost_call->op;
      lost.status = WORKER_LOST;
      lost.reason = "";
      w.feed (n.name, EV_WORKER_REPLY, &lost);
    });
    return true;
  };
}

TEST_F (SchedRestart, LateReservationInANewProcessIsNotStarted)
{
  JobWorld w (7, 1, 1);
  EventCopy late;

  begin (w);
  lose_reservation (w, &late);
  std::string id = w.submit_wait (w.once_job (1, 60000));
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 5000));
  w.run (500);
  w.workers["w0"].reboot ();
  w.carry_out (w.nodes.at ("h0"), *late);
  EXPECT_TRUE (w.wait_state (id, "unknown", 30000)) << w.story ();
  EXPECT_EQ ((w.tasks_begun[{ id, 0 }]), 1);
}

TEST_F (SchedRestart, LateReservationInANewProcessIsNotStartedByASuccessor)
{
  JobWorld w (7, 3, 1);
  EventCopy late;

  begin (w);
  std::string former = w.scheduler ();
  lose_reservation (w, &late);
  std::string id =
      w.submit_wait (w.once_job (1, 60000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 5000));
  w.run (500);
  w.kill (former);
  w.workers["w0"].reboot ();
  w.carry_out (w.nodes.at (former), *late);
  EXPECT_TRUE (w.wait_state (id, "unknown", 30000)) << w.story ();
  EXPECT_EQ ((w.tasks_begun[{ id, 0 }]), 1);
}

TEST_F (SchedRestart, LateReservationInANewProcessIsNotStartedWhenItIsHeardOf)
{
  JobWorld w (7, 3, 1);
  EventCopy late;

  begin (w);
  std::string former = w.scheduler ();
  lose_reservation (w, &late);
  std::string id =
      w.submit_wait (w.once_job (1, 60000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return !w.job_starts[id].empty (); }, 5000));
  w.run (500);
  w.kill (former);
  w.workers["w0"].reboot ();
  w.carry_out (w.nodes.at (former), *late);
  w.workers["w0"].down = true;
  ASSERT_TRUE (wait_ready (w, former));
  w.workers["w0"].down = false;
  EXPECT_TRUE (w.wait_state (id, "unknown", 30000)) << w.story ();
  EXPECT_EQ ((w.tasks_begun[{ id, 0 }]), 1);
}

TEST_F (SchedRestart, LateStartOfAPredecessorIsRefusedByANewProcess)
{
  JobWorld w (7, 3, 2);
  EventCopy late;

  begin (w);
  std::string former = w.scheduler ();
  w.tap = [&] (Node &, const Event &e) {
    const WorkerCall *call = worker_call (e);

    if (late || !call || call->op != WORKER_START)
      return false;
    late = copy_of (e);
    return true;
  };
  std::string id =
      w.submit_wait (w.once_job (1, 60000), former == "h0" ? "h1" : "h0");
  ASSERT_NE (id, "");
  ASSERT_TRUE (w.run_until ([&] { return late != nullptr; }, 5000));
  w.kill (former);
  w.workers[static_cast<WorkerCall *> (late->body)->worker].reboot ();
  w.run (500);
  w.carry_out (w.nodes.at (former), *late);
  EXPECT_TRUE (w.wait_state (id, "unknown", 30000)) << w.story ();
  EXPECT_EQ ((w.tasks_begun[{ id, 0 }]), 0);
}

/* Calls to workers are carried out and answered late, in any order, while
   workers start again and schedulers die or are cut off. */
struct SchedRestartSearch : testing::TestWithParam<int>
{
};

/* Carries out a call of N to a worker late, or has its answer come late. */
void
delay_call (JobWorld &w, Node &n, const Event &e)
{
  FakeWorker &worker = w.workers[worker_call (e)->worker];
  EventCopy late = copy_of (e);

  if (w.random (2))
    {
      worker.delay = 1 + w.random (2500);
      w.carry_out (n, e);
      worker.delay = 1;
    }
  else
    w.at (w.now + w.random (2500), [&w, &n, late] { w.carry_out (n, *late); });
}

void
cut_off (JobWorld &w, const std::string &host, bool on)
{
  w.cut (host, "store", on);
  for (auto &[name, node] : w.nodes)
    if (name != host)
      {
        w.cut (host, name, on);
        w.cut (name, host, on);
      }
}

void
draw_restart (JobWorld &w)
{
  std::string worker = "w" + std::to_string (w.random (4));
  std::string host = w.scheduler ();

  w.workers[worker].reboot ();
  if (host.empty ())
    return;
  if (w.random (2))
    {
      w.kill (host);
      w.at (w.now + 4000, [&w, host] { w.restart (host); });
    }
  else
    {
      cut_off (w, host, true);
      w.at (w.now + 3000 + w.random (2000),
            [&w, host] { cut_off (w, host, false); });
    }
  for (auto &[name, node] : w.nodes)
    if (name != host)
      w.cut (name, worker);
  w.at (w.now + 3000 + w.random (9000), [&w, worker] {
    for (auto &[name, node] : w.nodes)
      w.cut (name, worker, false);
  });
}

TEST_P (SchedRestartSearch, WhatMustNotBeRepeatedBeginsOnce)
{
  JobWorld w (static_cast<guint32> (GetParam ()), 3, 4);
  ClockMs end;

  w.start ();
  w.load_table (table);
  ASSERT_TRUE (w.wait_scheduler (5000));
  end = w.now + 40000;
  w.tap = [&] (Node &n, const Event &e) {
    if (!worker_call (e) || w.now > end || w.random (1000) >= 150)
      return false;
    delay_call (w, n, e);
    return true;
  };
  for (ClockMs at = w.now + 2000; at < end; at += 9000)
    w.at (at + w.random (3000), [&w] { draw_restart (w); });
  for (int i = 0; i < 8; i++)
    {
      CallerJob q = w.once_job (1 + i % 2, 2000 + w.random (8000));
      std::string key = "key " + std::to_string (i);

      q.repeatable = i % 4 == 3;
      q.key = q.repeatable ? "" : key.c_str ();
      w.accepted (w.submit (q, "h" + std::to_string (i % 3)), 14000);
      w.run (w.random (3000));
    }
  w.run_until ([&] { return w.now >= end; }, 60000);
  EXPECT_TRUE (w.quiet (120000)) << w.story ();
}

INSTANTIATE_TEST_SUITE_P (Seeds, SchedRestartSearch, testing::Range (0, 60));

/* What must not be repeated began twice. */
INSTANTIATE_TEST_SUITE_P (Regressions,
                          SchedRestartSearch,
                          testing::Values (1547, 1597, 1869));

} // namespace
