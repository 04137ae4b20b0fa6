#include <gtest/gtest.h>

#include "shared.h"

namespace
{

class Operator : public testing::Test
{
protected:
  Operator () : w (1, 2, 2)
  {
    w.add_worker ("w1", "d0", "r1", 8);
    w.start ();
    w.run (2000);
  }
  ~Operator () override
  {
    json_object_put (last);
  }

  /* Asks d0h0 and returns the answer, which stays the fixture's. */
  json_object *
  ask (const char *what, const char *arg = "", int status = 200)
  {
    gint64 conn = w.operate ("d0h0", what, arg);
    w.run (100);
    const Reply *r = w.reply (conn);
    EXPECT_EQ (r->status, status) << r->body;
    json_object_put (last);
    last = json_tokener_parse (r->body.c_str ());
    return last;
  }
  std::string
  text (json_object *o, const char *key)
  {
    return json_object_get_string (json_object_object_get (o, key));
  }

  SharedWorld w;
  json_object *last = nullptr;
};

TEST_F (Operator, SeesThatNothingIsServedBeforeTheFirstTable)
{
  EXPECT_NE (text (ask ("status"), "cannot_keep").find ("no table"),
             std::string::npos);
}

TEST_F (Operator, SeesWhoHasTheTableAndWhatCannotBeKept)
{
  w.edit ("d0h0", "e1", 0, "workspace,guarantee\na,1x8\n");
  w.run (4000);
  json_object *o = ask ("table");
  EXPECT_EQ (text (o, "revision"), "1");
  EXPECT_EQ (text (o, "in_force"), "true");
  EXPECT_EQ (text (o, "hosts_in_force"), "4");
  EXPECT_EQ (text (o, "stale"), "false");
  EXPECT_EQ (text (o, "csv"), "workspace,guarantee\na,1x8\n");
  EXPECT_EQ (text (ask ("status"), "cannot_keep"), "[ ]");
  w.kill ("d1h1");
  w.store.down = true;
  w.run (20000);
  EXPECT_EQ (text (ask ("table"), "stale"), "true");
  std::string trouble = text (ask ("hosts"), "cannot_keep");
  EXPECT_NE (trouble.find ("the store has not answered"), std::string::npos);
  EXPECT_NE (trouble.find ("d1h1"), std::string::npos);
  EXPECT_NE (text (ask ("table"), "not_heard").find ("d1h1"),
             std::string::npos);
}

TEST_F (Operator, SeesEachWorkspacesAccelerators)
{
  w.edit ("d0h0", "e1", 0, "workspace,guarantee\nalpha,1x4\nbeta,\n");
  w.run (6000);
  CallerJob q = {};
  q.workspace = "alpha";
  q.parts = 1;
  q.accelerators = 4;
  q.cores = 1;
  q.memory_mb = 1;
  q.run_ms = 100000;
  q.repeatable = 1;
  w.job ("d0h0", q);
  q.workspace = "beta";
  w.job ("d0h1", q);
  q.workspace = "alpha";
  w.job ("d0h1", q);
  w.run (5000);
  /* The domain's scheduler knows; the other host names it. */
  std::string lines[2];
  for (int h = 0; h < 2; h++)
    {
      gint64 conn = w.operate (w.host (0, h), "status");
      w.run (10);
      lines[h] = w.reply (conn)->body;
    }
  const std::string &s =
      lines[lines[0].find ("\"held\":true") == std::string::npos];
  EXPECT_NE (s.find ("\"workspace\":\"alpha\",\"weight\":1,\"promised\":4,"
                     "\"held\":4,\"borrowed\":0,\"owed\":0,"
                     "\"waiting_accelerators\":4,\"waiting_jobs\":1"),
             std::string::npos)
      << s;
  EXPECT_NE (s.find ("\"workspace\":\"beta\",\"weight\":1,\"promised\":0,"
                     "\"held\":0,\"borrowed\":4,\"owed\":0"),
             std::string::npos)
      << s;
}

TEST_F (Operator, ExplainsNamesAndRefusesUnknownOnes)
{
  w.edit ("d0h0", "e1", 0, "workspace\na\n");
  w.run (4000);
  EXPECT_EQ (text (json_object_object_get (ask ("explain", "d1h0"), "host"),
                   "state"),
             "live");
  EXPECT_EQ (text (json_object_object_get (ask ("explain", "a"), "workspace"),
                   "workspace"),
             "a");
  ask ("explain", "nobody", 404);
  ask ("nonsense", "", 404);
}

TEST_F (Operator, GetsAClearRefusalOfAMalformedEdit)
{
  for (const char *body :
       { "", "[]", "{", "{\"csv\":\"workspace\\n\"}",
         "{\"csv\":7,\"edit_id\":\"x\",\"base_revision\":0}",
         "{\"csv\":\"workspace\\n\",\"edit_id\":\"\",\"base_revision\":0}",
         "{\"csv\":\"workspace\\n\",\"edit_id\":\"x\",\"base_revision\":"
         "\"0\"}" })
    {
      gint64 conn = w.operate ("d0h0", "table_edit", "", body);
      w.run (100);
      EXPECT_EQ (w.reply (conn)->status, 400) << body;
      EXPECT_EQ (w.reply (conn)->outcome, OUTCOME_NOT_RUN);
    }
  gint64 conn = w.edit ("d0h0", "e9", 0, "workspace,weight\na,0\nb,x\n");
  w.run (100);
  EXPECT_EQ (w.reply (conn)->status, 422);
  EXPECT_NE (w.reply (conn)->body.find ("table:3: column"), std::string::npos)
      << w.reply (conn)->body;
  EXPECT_EQ (w.revision ("d0h0"), 0);
}

} // namespace
