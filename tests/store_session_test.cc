#include <gtest/gtest.h>

#include "shared.h"

namespace
{

/* One host whose store calls are counted, with calls that tell their end. */
class StoreSession : public testing::Test
{
protected:
  StoreSession () : w (1, 1, 1)
  {
    w.tap = [this] (Node &, const Event &e) {
      if (e.kind == FX_STORE_CALL)
        sent.push_back (static_cast<StoreCall *> (e.body)->key);
      return false;
    };
    w.start ();
    w.run (3000);
    sent.clear ();
  }

  static void
  on_done (Core *, const StoreReply *r, gpointer owner, guint64 arg)
  {
    auto *self = static_cast<StoreSession *> (owner);
    self->ends[arg].push_back (static_cast<StoreStatus> (r->status));
  }

  gint64
  submit (StorePurpose purpose, const char *key, guint64 arg, StoreOp op)
  {
    StoreCall call = {};
    call.op = op;
    call.key = key;
    gint64 n =
        store_submit (w.core ("d0h0"), purpose, &call, on_done, this, arg);
    w.feed ("d0h0", EV_TICK, nullptr);
    return n;
  }

  int
  count (const char *key)
  {
    return static_cast<int> (std::count (sent.begin (), sent.end (), key));
  }

  gint64
  counter (Counter n)
  {
    return core_counter (w.core ("d0h0"), n);
  }

  SharedWorld w;
  std::vector<std::string> sent;
  std::map<guint64, std::vector<StoreStatus> > ends;
};

TEST_F (StoreSession, EveryCallEndsOnceWithWhatIsKnownOfIt)
{
  w.store.lose_answers = 1;
  submit (STORE_FOR_JOB, "lost", 1, STORE_PUT);
  submit (STORE_FOR_JOB, "fine", 2, STORE_PUT);
  submit (STORE_FOR_JOB, "none", 3, STORE_GET);
  gint64 forgotten = submit (STORE_FOR_JOB, "forgotten", 4, STORE_GET);
  store_forget (w.core ("d0h0"), forgotten);
  w.run (20000);
  EXPECT_EQ (ends[1], std::vector<StoreStatus> { STORE_LOST });
  EXPECT_EQ (ends[2], std::vector<StoreStatus> { STORE_OK });
  EXPECT_EQ (ends[3], std::vector<StoreStatus> { STORE_MISSING });
  EXPECT_TRUE (ends[4].empty ());
  EXPECT_EQ (w.store.keys.count ("lost"), 1u) << "lost, and yet done";
}

TEST_F (StoreSession, AStoreThatNeverAnswersIsTimedOutHere)
{
  w.tap = [] (Node &, const Event &e) { return e.kind == FX_STORE_CALL; };
  submit (STORE_FOR_JOB, "x", 1, STORE_PUT);
  w.run (5000);
  EXPECT_EQ (ends[1], std::vector<StoreStatus> { STORE_LOST });
}

TEST_F (StoreSession, ABudgetBoundsTheCallsAndTheUrgentGoFirst)
{
  for (guint64 i = 0; i < 300; i++)
    submit (STORE_FOR_CLAIM, "claim", i, STORE_PUT);
  submit (STORE_FOR_LEASE, "lease", 1000, STORE_GRANT);
  submit (STORE_FOR_TABLE, "table2", 1001, STORE_GET);
  w.run (900);
  gint64 rate = w.config ()->store_calls_per_s;
  EXPECT_EQ (count ("lease"), 1) << "before the claims that wait";
  EXPECT_EQ (count ("table2"), 1) << "a flood leaves each purpose its own";
  EXPECT_LE (static_cast<gint64> (sent.size ()), 2 * rate + 3);
  w.run (20000);
  int unsent = 0;
  for (guint64 i = 0; i < 300; i++)
    {
      ASSERT_EQ (ends[i].size (), 1u) << i;
      unsent += ends[i][0] == STORE_UNSENT;
    }
  EXPECT_GT (unsent, 0) << "what waits too long certainly was not sent";
  EXPECT_EQ (counter (COUNT_STORE_EXPIRED), unsent);
  EXPECT_EQ (count ("claim"), 300 - unsent);
}

TEST_F (StoreSession, WhileTheStoreIsDownOnlyProbesGoOut)
{
  w.store.down = true;
  w.run (30000);
  EXPECT_FALSE (store_is_up (w.core ("d0h0")));
  sent.clear ();
  ClockMs from = w.now;
  submit (STORE_FOR_JOB, "x", 1, STORE_PUT);
  w.run (60000);
  EXPECT_EQ (ends[1], std::vector<StoreStatus> { STORE_UNSENT });
  EXPECT_LE (sent.size (), 40u) << "in a minute";
  EXPECT_GE (w.now - store_answered_at (w.core ("d0h0")), w.now - from)
      << "what is known is marked as old";
  w.store.down = false;
  EXPECT_TRUE (w.run_until ([&] { return store_is_up (w.core ("d0h0")); },
                            7000));
  EXPECT_EQ (counter (COUNT_STORE_OUTAGES), 1);
}

TEST_F (StoreSession, ASilentWatchIsSetUpAgain)
{
  w.run (1000);
  int before = w.store.calls[STORE_WATCH];
  w.tap = [] (Node &, const Event &e) {
    return e.kind == FX_STORE_CALL &&
           static_cast<StoreCall *> (e.body)->op == STORE_WATCH;
  };
  w.run (30000);
  EXPECT_EQ (w.store.calls[STORE_WATCH], before);
  EXPECT_GE (counter (COUNT_STORE_WATCHES_LOST), 1);
  EXPECT_TRUE (store_is_up (w.core ("d0h0"))) << "others are answered";
  w.tap = nullptr;
  w.run (16000);
  EXPECT_GT (w.store.calls[STORE_WATCH], before);
}

TEST_F (StoreSession, ARefusalIsWaitedOut)
{
  w.tap = [this] (Node &n, const Event &e) {
    if (e.kind != FX_STORE_CALL)
      return false;
    auto *call = static_cast<StoreCall *> (e.body);
    sent.push_back (call->key);
    StoreReply r = {};
    r.call = call->call;
    r.op = call->op;
    r.status = STORE_REFUSED;
    Event reply = { EV_STORE_REPLY, w.now, "", &r };
    core_feed (n.core, &reply);
    return true;
  };
  for (guint64 i = 0; i < 5; i++)
    submit (STORE_FOR_JOB, "x", i, STORE_PUT);
  EXPECT_EQ (sent.size (), 1u) << "the rest waits for the store to breathe";
  w.run (3000);
  for (guint64 i = 0; i < 5; i++)
    EXPECT_EQ (ends[i].size (), 1u);
}

/* All hosts want to write when the store comes back. */
TEST (StoreReturn, IsNoStampede)
{
  SharedWorld w (2, 5, 8);
  std::map<ClockMs, int> writes, all;
  std::vector<ClockMs> ups;
  w.start ();
  w.run (5000);
  w.store.down = true;
  w.run (60000);
  auto done = [] (Core *, const StoreReply *, gpointer, guint64) {};
  w.tap = [&] (Node &, const Event &e) {
    if (e.kind != FX_STORE_CALL)
      return false;
    auto op = static_cast<StoreCall *> (e.body)->op;
    all[w.now / 1000]++;
    writes[w.now / 1000] += op == STORE_PUT;
    return false;
  };
  w.store.down = false;
  for (int second = 0; second < 20; second++)
    {
      for (auto &n : w.nodes)
        for (int i = 0; i < 50; i++)
          {
            StoreCall call = {};
            call.op = STORE_PUT;
            call.key = "k";
            call.expect = 1;
            store_submit (n.second.core, STORE_FOR_CLAIM, &call, done, nullptr,
                          0);
          }
      w.run (1000);
    }
  int worst_writes = 0, worst = 0;
  for (auto &s : writes)
    worst_writes = std::max (worst_writes, s.second);
  for (auto &s : all)
    worst = std::max (worst, s.second);
  RecordProperty ("writes_per_s", worst_writes);
  RecordProperty ("calls_per_s", worst);
  EXPECT_LE (worst_writes, 500) << "several hundred writes a second at most";
  EXPECT_LE (worst, 2000);
  for (auto &n : w.nodes)
    EXPECT_TRUE (store_is_up (n.second.core));
}

/* An idle fleet's calls, as the operators' page states them. */
TEST (StoreIdle, CallsStayFewAtEightAndAtFortyHosts)
{
  for (int hosts : { 8, 40 })
    {
      SharedWorld w (3, hosts / 4, 4);
      w.start ();
      w.load_table ("workspace\na\n");
      w.run (20000);
      gint64 before =
          w.total (COUNT_STORE_CALLS_TABLE) + w.total (COUNT_STORE_CALLS_LIST);
      w.run (100000);
      gint64 calls = w.total (COUNT_STORE_CALLS_TABLE) +
                     w.total (COUNT_STORE_CALLS_LIST) - before;
      EXPECT_LE (static_cast<double> (calls) / 100 / hosts, 0.35) << hosts;
    }
}

} // namespace
