#include <gtest/gtest.h>

#include "shared.h"

namespace
{

const char *const one_row = "workspace,weight\na,3\n";

TEST (TableForce, NothingIsServedWithoutATable)
{
  SharedWorld w (1, 2, 2);
  w.start ();
  w.run (3000);
  EXPECT_EQ (w.revision ("d0h0"), 0);
  EXPECT_EQ (table_find (w.core ("d0h0"), "a"), nullptr);
  EXPECT_EQ (table_authorize (w.core ("d0h0"), "t", "a"), nullptr);
}

TEST (TableForce, OnlyTheRightTokenActsForAWorkspace)
{
  SharedWorld w (1, 1, 1);
  w.start ();
  /* SHA-256 of "secret" */
  w.load_table ("workspace,token_sha256\na,"
                "2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A2"
                "5B\nb,\n");
  Core *c = w.core ("d0h0");
  EXPECT_NE (table_authorize (c, "secret", "a"), nullptr);
  EXPECT_EQ (table_authorize (c, "Secret", "a"), nullptr);
  EXPECT_EQ (table_authorize (c, "", "a"), nullptr);
  EXPECT_NE (table_authorize (c, "anything", "b"), nullptr);
  EXPECT_EQ (table_authorize (c, "secret", "c"), nullptr);
}

/* One fault, set before the edit that must still be in force in time. */
struct Fault
{
  const char *name;
  void (*set) (SharedWorld &w);
};

void
silence_watches (SharedWorld &w)
{
  w.tap = [] (Node &, const Event &e) {
    return e.kind == FX_STORE_CALL &&
           static_cast<StoreCall *> (e.body)->op == STORE_WATCH;
  };
}

const Fault faults[] = {
  { "Calm", [] (SharedWorld &) {} },
  { "SlowStore", [] (SharedWorld &w) { w.store.delay = 400; } },
  { "LossyStore", [] (SharedWorld &w) { w.store.lose_permille = 200; } },
  { "LostAnswer", [] (SharedWorld &w) { w.store.lose_answers = 1; } },
  { "SilentWatches", silence_watches },
  { "SlowLinks",
    [] (SharedWorld &w) {
      w.link_delay = 300;
      w.link_jitter = 200;
    } },
  { "LossyLinks", [] (SharedWorld &w) { w.loss_permille = 200; } },
  { "Restart",
    [] (SharedWorld &w) {
      w.kill ("d2h1");
      w.at (w.now + 500, [&w] { w.restart ("d2h1"); });
    } },
  { "OneWayCuts",
    [] (SharedWorld &w) {
      w.cut ("d1h2", "d1h0");
      w.cut ("d1h2", "d0h0");
      w.cut ("d2h0", "d2h1");
      w.cut ("d2h2", "store");
    } },
  { "PausedHost", [] (SharedWorld &w) { w.pause ("d2h2", 2500); } },
  { "RegionsCutFromEachOther",
    [] (SharedWorld &w) {
      for (auto &a : w.nodes)
        for (auto &b : w.nodes)
          if ((a.second.domain == "d2") != (b.second.domain == "d2"))
            w.cut (a.first, b.first);
    } },
  { "SilentWatchesAndLossyLinks",
    [] (SharedWorld &w) {
      silence_watches (w);
      w.loss_permille = 200;
      w.repeat_permille = 200;
    } },
  { "SlowStoreAndLostAnswer",
    [] (SharedWorld &w) {
      w.store.delay = 300;
      w.store.lose_answers = 1;
    } },
};

class InForce : public testing::TestWithParam<std::tuple<int, int> >
{
};

TEST_P (InForce, WithinFourSecondsUnderAFault)
{
  const Fault &fault = faults[std::get<0> (GetParam ())];
  SharedWorld w (static_cast<guint32> (std::get<1> (GetParam ())), 3, 4);
  w.start ();
  w.run (2000);
  gint64 conn = w.edit ("d0h1", "e1", 0, one_row);
  ASSERT_TRUE (w.run_until ([&] { return w.reply (conn); }, 5000));
  w.run (3000);
  ASSERT_TRUE (w.all_at (1));
  fault.set (w);
  conn = w.edit ("d1h2", "e2", 1, "workspace,weight\na,4\n");
  EXPECT_TRUE (w.run_until ([&] { return w.reply (conn) && w.all_at (2); },
                            4000))
      << fault.name;
  ASSERT_NE (w.reply (conn), nullptr) << fault.name;
  EXPECT_EQ (w.reply (conn)->status, 200) << w.reply (conn)->body;
  w.run (9000);
  EXPECT_TRUE (w.in_force ("d0h0")) << fault.name;
  EXPECT_TRUE (w.in_force ("d2h3")) << fault.name;
  EXPECT_EQ (w.falls, 0);
  EXPECT_EQ (w.revision ("d0h0"), 2) << "one edit makes one revision";
}

INSTANTIATE_TEST_SUITE_P (
    Faults,
    InForce,
    testing::Combine (testing::Range (0,
                                      static_cast<int> (G_N_ELEMENTS (faults))),
                      testing::Range (1, 11)),
    [] (auto &i) {
      return std::string (faults[std::get<0> (i.param)].name) + "Seed" +
             std::to_string (std::get<1> (i.param));
    });

TEST (TableForce, AHostThatStartsInAnOutageLearnsTheTableFromAPeer)
{
  SharedWorld w (2, 2, 3);
  w.start ();
  w.edit ("d0h0", "e1", 0, one_row);
  w.run (5000);
  w.store.down = true;
  w.run (10000);
  w.restart ("d1h1");
  EXPECT_EQ (w.revision ("d1h1"), 0);
  EXPECT_TRUE (w.run_until ([&] { return w.all_at (1); }, 4000));
  EXPECT_EQ (core_counter (w.core ("d1h1"), COUNT_TABLE_FROM_PEER), 1);
  w.restart ("d0h0");
  EXPECT_TRUE (w.run_until ([&] { return w.all_at (1); }, 4000));
}

TEST (TableForce, AnEditWhileTheStoreIsDownIsRefusedAsNotWritten)
{
  SharedWorld w (3, 1, 3);
  w.start ();
  w.edit ("d0h0", "e1", 0, one_row);
  w.run (5000);
  w.store.down = true;
  gint64 conn = w.edit ("d0h1", "e2", 1, "workspace,weight\na,9\n");
  w.run (20000);
  ASSERT_NE (w.reply (conn), nullptr);
  EXPECT_EQ (w.reply (conn)->status, 503) << w.reply (conn)->body;
  w.store.down = false;
  w.run (20000);
  EXPECT_EQ (w.revision ("d0h0"), 1) << "what was refused stays unwritten";
  EXPECT_EQ (w.csv ("d0h2"), one_row);
}

TEST (TableForce, AnUnsettledEditIsSettledByItsId)
{
  SharedWorld w (4, 1, 3);
  w.start ();
  w.edit ("d0h0", "e1", 0, one_row);
  w.run (5000);
  /* The write takes effect; then the store falls silent to this host. */
  w.store.lose_answers = 1;
  w.tap = [&w] (Node &n, const Event &e) {
    if (e.kind == FX_STORE_CALL && n.name == "d0h1" &&
        static_cast<StoreCall *> (e.body)->op == STORE_PUT)
      w.at (w.now + 1, [&w] {
        w.cut ("d0h1", "store");
        w.cut ("d0h0", "d0h1");
        w.cut ("d0h2", "d0h1");
      });
    return false;
  };
  gint64 conn = w.edit ("d0h1", "e2", 1, "workspace,weight\na,9\n");
  w.run (12000);
  ASSERT_NE (w.reply (conn), nullptr);
  EXPECT_EQ (w.reply (conn)->status, 504) << w.reply (conn)->body;
  gint64 again = w.edit ("d0h2", "e2", 1, "workspace,weight\na,9\n");
  w.run (5000);
  EXPECT_EQ (w.reply (again)->status, 200) << w.reply (again)->body;
  EXPECT_EQ (w.revision ("d0h2"), 2) << "the edit is not applied twice";
}

class RolledBack : public testing::TestWithParam<int>
{
};

TEST_P (RolledBack, StoreIsReportedAndMended)
{
  int seed = GetParam ();
  SharedWorld w (static_cast<guint32> (seed), 2, 4);
  FakeStore early;
  w.start ();
  if (seed % 3)
    {
      w.edit ("d0h0", "e1", 0, one_row);
      w.run (5000);
    }
  early = w.store.snapshot ();
  gint64 base = w.revision ("d0h0");
  w.edit ("d0h1", "e2", base, "workspace,weight\na,7\n");
  w.run (5000);
  ASSERT_TRUE (w.all_at (base + 1));
  w.store.roll_back (early);
  w.run (static_cast<ClockMs> (w.random (3000)));
  /* An edit in the meantime goes above what is in force. */
  gint64 conn = 0;
  if (seed % 2)
    conn = w.edit ("d1h3", "e3", base + 1, "workspace,weight\na,8\n");
  w.run (20000);
  EXPECT_EQ (w.falls, 0);
  EXPECT_GE (w.total (COUNT_TABLE_ROLLBACKS) + (conn ? 1 : 0), 1);
  if (!conn)
    {
      EXPECT_GE (w.total (COUNT_TABLE_OFFERS), 1);
      EXPECT_LE (w.total (COUNT_TABLE_OFFERS), 2) << "one write is enough";
    }
  else
    EXPECT_EQ (w.reply (conn)->status, 200) << w.reply (conn)->body;
  w.restart ("d0h2");
  w.cut ("d0h2", "d0h0");
  w.run (5000);
  EXPECT_EQ (w.revision ("d0h2"), base + (conn ? 2 : 1));
  EXPECT_EQ (w.csv ("d0h2"), w.csv ("d1h1"));
  EXPECT_GT (w.store.keys.count ("table"), 0u);
}

INSTANTIATE_TEST_SUITE_P (Seeds, RolledBack, testing::Range (1, 21));

class CutOff : public testing::TestWithParam<int>
{
};

TEST_P (CutOff, DomainIsNamedAndCatchesUpWithinFourSeconds)
{
  SharedWorld w (static_cast<guint32> (GetParam ()), 3, 3);
  w.start ();
  w.edit ("d0h0", "e1", 0, one_row);
  w.run (5000);
  w.cut_domain ("d2");
  w.run (static_cast<ClockMs> (2000 * GetParam ()));
  gint64 conn = w.edit ("d1h0", "e2", 1, "workspace,weight\na,5\n");
  w.run (8000);
  ASSERT_NE (w.reply (conn), nullptr);
  EXPECT_EQ (w.reply (conn)->status, 200);
  EXPECT_EQ (w.revision ("d2h0"), 1) << "it goes on with what it has";
  gint64 ask = w.operate ("d0h0", "table");
  for (const char *name : { "d2h0", "d2h1", "d2h2" })
    EXPECT_NE (w.reply (ask)->body.find (name), std::string::npos);
  w.cut_domain ("d2", false);
  EXPECT_TRUE (w.run_until ([&] { return w.all_at (2); }, 4000));
  EXPECT_EQ (w.falls, 0);
}

INSTANTIATE_TEST_SUITE_P (Seeds, CutOff, testing::Range (1, 11));

TEST (TableForce, AValueThatIsNoTableChangesNothing)
{
  SharedWorld w (5, 1, 2);
  w.start ();
  w.edit ("d0h0", "e1", 0, one_row);
  w.run (5000);
  w.store.keys["table"] = { ++w.store.revision, "\x93\x01zz", 0 };
  w.run (15000);
  EXPECT_EQ (w.csv ("d0h1"), one_row);
  EXPECT_GE (w.total (COUNT_TABLE_REFUSED), 1);
}

TEST (TableForce, AnEditThatDoesNotFitTheFleetIsRefusedWithTheArithmetic)
{
  SharedWorld w (6, 1, 1);
  w.add_worker ("w1", "d0", "r1", 8);
  w.start ();
  gint64 conn = w.edit ("d0h0", "e1", 0, "workspace,guarantee\na,1x8\nb,2x4\n");
  w.run (3000);
  EXPECT_EQ (w.reply (conn)->status, 422);
  EXPECT_NE (w.reply (conn)->body.find (
                 "a 8 + b 8 = 16 accelerators, the fleet has 8"),
             std::string::npos)
      << w.reply (conn)->body;
  EXPECT_EQ (w.revision ("d0h0"), 0);
}

/* Operators race; every accepted edit is in the end result, every refused
   one is not, and no revision is made twice. */
class Race : public testing::TestWithParam<int>
{
};

struct Try
{
  gint64 conn;
  int row, column;
  std::string id, value, text;
};

std::string
grid (const int cells[2][2])
{
  return "workspace,weight,max_running\na," + std::to_string (cells[0][0]) +
         "," + std::to_string (cells[0][1]) + "\nb," +
         std::to_string (cells[1][0]) + "," + std::to_string (cells[1][1]) +
         "\n";
}

gint64
revision_of (const Reply &r)
{
  json_object *o = json_tokener_parse (r.body.c_str ());
  json_object *v = json_object_object_get (o, "revision");
  gint64 revision = json_object_get_int64 (v);
  json_object_put (o);
  return revision;
}

TEST_P (Race, OfOperatorsLosesNoAcceptedEdit)
{
  SharedWorld w (static_cast<guint32> (GetParam ()), 2, 2);
  int base[2][2] = { { 1, 1 }, { 1, 1 } };
  std::vector<Try> tries;
  w.start ();
  w.edit ("d0h0", "base", 0, grid (base));
  w.run (4000);
  w.store.lose_permille = GetParam () % 3 ? 0 : 150;
  w.store.delay = 1 + w.random (40);
  for (int i = 0; i < 4; i++)
    w.at (w.now + w.random (60), [&w, &tries, i] {
      int cells[2][2] = { { 1, 1 }, { 1, 1 } };
      Try t = { 0,
                static_cast<int> (w.random (2)),
                static_cast<int> (w.random (2)),
                "op" + std::to_string (i),
                std::to_string (10 + i),
                "" };
      cells[t.row][t.column] = 10 + i;
      t.text = grid (cells);
      t.conn = w.edit (w.host (i % 2, static_cast<int> (w.random (2))), t.id, 1,
                       t.text);
      tries.push_back (t);
    });
  w.run (12000);
  w.store.lose_permille = 0;
  /* What is not settled is asked again under the same id. */
  for (auto &t : tries)
    if (w.reply (t.conn)->status >= 500)
      t.conn = w.edit ("d0h1", t.id, 1, t.text);
  w.run (6000);
  std::map<std::pair<int, int>, std::pair<gint64, std::string> > last;
  std::set<gint64> revisions;
  for (auto &t : tries)
    {
      const Reply *r = w.reply (t.conn);
      ASSERT_NE (r, nullptr);
      ASSERT_TRUE (r->status == 200 || r->status == 409) << r->body;
      if (r->status == 409)
        {
          EXPECT_NE (r->body.find ("\\\"" + t.value + "\\\""),
                     std::string::npos)
              << "the conflict names the loser's value: " << r->body;
          continue;
        }
      EXPECT_TRUE (revisions.insert (revision_of (*r)).second) << r->body;
      auto &cell = last[{ t.row, t.column }];
      EXPECT_EQ (cell.first, 0) << "the same cell was accepted twice";
      cell = { revision_of (*r), t.value };
    }
  EXPECT_GE (revisions.size (), 1u);
  EXPECT_TRUE (w.all_at (static_cast<gint64> (revisions.size ()) + 1));
  for (auto &cell : last)
    {
      const Workspace *ws =
          table_find (w.core ("d1h1"), cell.first.first ? "b" : "a");
      gint64 is = cell.first.second ? ws->max_running : ws->weight;
      EXPECT_EQ (std::to_string (is), cell.second.second);
    }
  EXPECT_EQ (w.falls, 0);
  EXPECT_EQ (w.total (COUNT_TABLE_FORKS), 0);
}

INSTANTIATE_TEST_SUITE_P (Seeds, Race, testing::Range (1, 121));

/* Faults of all kinds, alone and together, for a minute, while operators go
   on editing.  Afterwards all hosts have one table, with every edit that was
   accepted. */
class Chaos : public testing::TestWithParam<int>
{
protected:
  Chaos () : w (static_cast<guint32> (GetParam ()), 3, 3)
  {
  }

  std::string
  any_host ()
  {
    return w.host (static_cast<int> (w.random (3)),
                   static_cast<int> (w.random (3)));
  }

  void
  edit ()
  {
    std::string at = any_host ();
    if (!w.nodes[at].core || w.revision (at) == 0)
      return;
    std::string row = "x" + std::to_string (tries.size ());
    std::string text =
        w.csv (at) + row + "," + std::to_string (tries.size () + 2) + "\n";
    tries[row] = w.edit (at, "edit-" + row, w.revision (at), text);
  }

  void
  heal ()
  {
    w.store.down = w.store.silent = false;
    w.store.delay = 2;
    w.store.lose_permille = w.loss_permille = 0;
    for (int d = 0; d < 3; d++)
      w.cut_domain (w.host (d, 0).substr (0, 2), false);
    for (auto &a : w.nodes)
      {
        for (auto &b : w.nodes)
          w.cut (a.first, b.first, false);
        if (!a.second.core)
          w.restart (a.first);
      }
    cut = false;
  }

  void
  fault ()
  {
    std::string host = any_host ();
    switch (w.random (12))
      {
      case 0:
        w.store.down = !w.store.down;
        break;
      case 1:
        w.store.silent = !w.store.silent;
        break;
      case 2:
        w.store.lose_answers = 1 + static_cast<int> (w.random (2));
        break;
      case 3:
        w.store.delay = 1 + w.random (700);
        break;
      case 4:
        w.store.lose_permille = static_cast<int> (w.random (300));
        break;
      case 5:
        w.cut_domain (host.substr (0, 2));
        cut = true;
        break;
      case 6:
        w.cut (host, any_host ());
        break;
      case 7:
        if (w.nodes[host].core)
          w.restart (host);
        break;
      case 8:
        w.pause (host, w.random (8000));
        break;
      case 9:
        w.loss_permille = static_cast<int> (w.random (300));
        break;
      case 10:
        if (!cut && copies.size () > 3)
          w.store.roll_back (copies[copies.size () - 3]);
        break;
      default:
        heal ();
      }
  }

  SharedWorld w;
  std::map<std::string, gint64> tries; /* row to conn */
  std::vector<FakeStore> copies;
  bool cut = false;
};

TEST_P (Chaos, LosesNoAcceptedEditAndEndsInOneTable)
{
  w.start ();
  w.run (2000);
  w.edit ("d0h0", "first", 0, "workspace,weight\n");
  w.run (4000);
  for (int i = 0; i < 60; i++)
    {
      if (w.random (2))
        fault ();
      edit ();
      w.run (1000);
      if (i % 5 == 0)
        copies.push_back (w.store.snapshot ());
    }
  heal ();
  w.run (40000);
  int accepted = 0;
  for (auto &n : w.nodes)
    EXPECT_EQ (w.csv (n.first), w.csv ("d0h0")) << n.first;
  for (auto &t : tries)
    {
      const Reply *r = w.reply (t.second);
      if (!r || r->status != 200)
        continue;
      accepted++;
      EXPECT_NE (w.csv ("d0h0").find (t.first + ","), std::string::npos)
          << t.first << " was accepted: " << r->body;
    }
  for (auto &t : tries)
    {
      const Reply *r = w.reply (t.second);
      if (!r || r->status != 503)
        continue;
      EXPECT_EQ (w.csv ("d0h0").find (t.first + ","), std::string::npos)
          << t.first << " was not written: " << r->body;
    }
  EXPECT_GT (accepted, 0);
  EXPECT_EQ (w.falls, 0);
}

INSTANTIATE_TEST_SUITE_P (Seeds, Chaos, testing::Range (1, 61));
INSTANTIATE_TEST_SUITE_P (Found, Chaos, testing::Values (343));

} // namespace
