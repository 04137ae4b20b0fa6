#include "sched_fixture.h"

/* The role changes hands: with the store, without it, and with a store that
   has gone back. */
namespace
{

const char *const table =
    "workspace,weight,guarantee\nalpha,1,2x8\nbeta,1,2x8\n";

struct SchedTakeover : testing::TestWithParam<int>
{
  JobWorld w { static_cast<guint32> (GetParam () + 1), 4, 6, 8, false };

  void
  SetUp () override
  {
    w.start ();
    w.load_table (table);
    ASSERT_TRUE (w.wait_scheduler (5000));
    w.run (1000 + w.random (2000));
  }

  CallerJob
  once (const char *key, int parts, ClockMs run_ms)
  {
    CallerJob q = w.job_of (parts, 8, run_ms);
    q.repeatable = 0;
    q.key = key;
    return q;
  }

  /* Returns how long there is no scheduler that may plan. */
  ClockMs
  kill_scheduler ()
  {
    ClockMs from = w.now;
    size_t seen = w.notes.size ();

    w.kill (w.scheduler ());
    bool ready = w.run_until (
        [&] {
          for (size_t i = seen; i < w.notes.size (); i++)
            if (w.notes[i].kind == NOTE_ROLE_READY)
              return true;
          return false;
        },
        20000);
    return ready ? w.now - from : CLOCK_NEVER;
  }
};

TEST_P (SchedTakeover, WithTheStoreTakesFiveSecondsAtMost)
{
  std::string a = w.submit_wait (w.job_of (2, 8, 30000), "h1");
  std::string b = w.submit_wait (once ("b", 2, 30000), "h2");
  w.run (w.random (3000));
  EXPECT_LE (kill_scheduler (), 5000);
  EXPECT_TRUE (w.quiet (60000)) << w.story ();
  EXPECT_EQ (w.state (a), "done");
  EXPECT_EQ (w.state (b), "done");
  EXPECT_EQ (w.job_starts[a].size (), 1u);
}

TEST_P (SchedTakeover, WithoutTheStoreTakesFiveSecondsAtMost)
{
  std::string a = w.submit_wait (w.job_of (3, 8, 30000), "h1");
  std::string b = w.submit_wait (once ("b", 2, 30000), "h2");
  std::string c = w.submit_wait (w.job_of (5, 8, 5000), "h3");
  w.run (1000);
  (GetParam () % 2 ? w.store.down : w.store.silent) = true;
  w.run (w.random (20000));
  EXPECT_LE (kill_scheduler (), 5000);
  /* What runs goes on and what waits starts, though nobody can record it. */
  w.run (40000);
  EXPECT_EQ (w.job_starts[a].size (), 1u) << w.story ();
  EXPECT_EQ (w.job_starts[b].size (), 1u);
  EXPECT_EQ (w.job_starts.count (c), 1u) << w.story ();
  w.store.down = w.store.silent = false;
  EXPECT_TRUE (w.quiet (60000)) << w.story ();
  for (auto &id : { a, b, c })
    EXPECT_EQ (w.state (id), "done");
}

TEST_P (SchedTakeover, AStoreThatWentBackLosesNoJob)
{
  FakeStore early = w.store.snapshot ();
  std::string a = w.submit_wait (w.job_of (2, 8, 20000), "h1");
  std::string b = w.submit_wait (once ("b", 2, 20000), "h2");
  std::string c = w.submit_wait (w.job_of (6, 8, 3000), "h3");
  w.run (w.random (4000));
  w.store.roll_back (early);
  w.run (w.random (3000));
  EXPECT_TRUE (w.quiet (150000)) << w.story ();
  EXPECT_EQ (w.state (a), "done");
  EXPECT_EQ (w.state (b), "done");
  EXPECT_EQ (w.state (c), "done");
}

TEST_P (SchedTakeover, AStoreThatWentBackDuringATakeoverRunsNothingTwice)
{
  std::string gone = w.submit_wait (once ("gone", 1, 500), "h1");
  FakeStore early;
  w.run (w.random (1500));
  early = w.store.snapshot ();
  std::string a = w.submit_wait (w.job_of (2, 8, 20000), "h1");
  std::string b = w.submit_wait (once ("b", 1, 20000), "h2");
  w.run (1000 + w.random (3000));
  w.store.down = true;
  std::string old = w.scheduler ();
  w.kill (old);
  w.run (w.random (8000));
  w.store.roll_back (early);
  w.store.down = false;
  w.run (w.random (4000));
  w.restart (old);
  EXPECT_TRUE (w.quiet (150000)) << w.story ();
  EXPECT_EQ (w.state (a), "done") << w.story ();
  EXPECT_TRUE (w.state (gone) == "done" || w.state (gone) == "unknown");
}

TEST_P (SchedTakeover, TwoFailuresInARowLoseNothing)
{
  std::string a = w.submit_wait (w.job_of (3, 8, 12000), "h1");
  std::string b = w.submit_wait (once ("b", 2, 12000), "h2");
  w.run (w.random (2000));
  std::string first = w.scheduler ();
  w.kill (first);
  w.run (w.random (5000));
  std::string second = w.scheduler ();
  if (!second.empty ())
    w.kill (second);
  w.run (w.random (9000));
  w.restart (first);
  EXPECT_TRUE (w.quiet (100000)) << w.story ();
  EXPECT_EQ (w.state (a), "done");
}

TEST_P (SchedTakeover, MessagesThatAreLostAndRepeatedDoNoHarm)
{
  w.loss_permille = 250;
  w.repeat_permille = 250;
  w.link_jitter = 300;
  w.store.lose_permille = 100;
  for (int i = 0; i < 6; i++)
    {
      std::string key = i % 3 ? "" : "k" + std::to_string (i);
      CallerJob q = key.empty () ? w.job_of (1 + i % 4, 4, 1000 + i * 500)
                                 : once (key.c_str (), 1, 2000);
      gint64 conn = w.submit (q, "h" + std::to_string (i % 4));
      w.run_until ([&] { return w.reply (conn) != nullptr; }, 20000);
      w.accepted (conn);
    }
  EXPECT_TRUE (w.quiet (100000)) << w.story ();
}

INSTANTIATE_TEST_SUITE_P (Seeds, SchedTakeover, testing::Range (0, 20));

} // namespace
