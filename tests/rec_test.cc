#include <gtest/gtest.h>

extern "C"
{
#include "config.h"
#include "event.h"
}

#include <string>

namespace
{

class RecTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    findings_init (&findings);
  }
  void
  TearDown () override
  {
    findings_clear (&findings);
  }
  std::string
  text ()
  {
    char *t = findings_text (&findings);
    std::string s = t;
    g_free (t);
    return s;
  }
  Findings findings;
};

WorkerReply *
sample ()
{
  auto *r = static_cast<WorkerReply *> (rec_new (worker_reply_desc ()));
  r->call = 7;
  rec_set_str (&r->worker, "w1");
  for (int i = 0; i < 5; i++)
    {
      auto *l = static_cast<WorkerLease *> (rec_list_add (worker_lease_desc (),
                                                          &r->leases));
      rec_set_str (&l->job, "job");
      l->part = i;
    }
  return r;
}

TEST_F (RecTest, PackedRecordsComeBackEqual)
{
  WorkerReply *r = sample ();
  auto *back = static_cast<WorkerReply *> (rec_new (worker_reply_desc ()));
  GBytes *b = rec_pack (worker_reply_desc (), r);
  gsize n;
  const void *data = g_bytes_get_data (b, &n);
  ASSERT_TRUE (rec_unpack (worker_reply_desc (), back, data, n, &findings))
      << text ();
  EXPECT_EQ (rec_digest (worker_reply_desc (), r, 1),
             rec_digest (worker_reply_desc (), back, 1));
  g_bytes_unref (b);
  rec_free (worker_reply_desc (), r);
  rec_free (worker_reply_desc (), back);
}

TEST_F (RecTest, EveryTruncationIsRefused)
{
  WorkerReply *r = sample ();
  GBytes *b = rec_pack (worker_reply_desc (), r);
  gsize n;
  const void *data = g_bytes_get_data (b, &n);
  for (gsize cut = 0; cut < n; cut++)
    {
      void *back = rec_new (worker_reply_desc ());
      EXPECT_FALSE (rec_unpack (worker_reply_desc (), back, data, cut,
                                &findings));
      rec_free (worker_reply_desc (), back);
    }
  g_bytes_unref (b);
  rec_free (worker_reply_desc (), r);
}

// The library would make room for what an array claims to hold.
TEST_F (RecTest, AClaimOfManyItemsIsRefusedBeforeRoomIsMade)
{
  for (std::string bytes :
       { std::string ("\xdd\xff\xff\xff\xff", 5),
         std::string ("\x97\xdd\x7f\xff\xff\xff", 6), std::string (9, '\x91'),
         std::string ("\xc6\xff\xff\xff\xff", 5) })
    {
      void *back = rec_new (worker_reply_desc ());
      EXPECT_FALSE (rec_unpack (worker_reply_desc (), back, bytes.data (),
                                bytes.size (), &findings));
      rec_free (worker_reply_desc (), back);
    }
  EXPECT_EQ (findings_count (&findings), 4U);
}

TEST_F (RecTest, JsonFaultsAreReportedTogetherWithTheirPlace)
{
  void *cfg = config_default ();
  std::string json = "{ // comment\n \"host\": 3, \"domain\": \"\",\n"
                     "\"heartbeat_ms\": 1, \"hots\": [] }";
  EXPECT_FALSE (rec_from_json (config_desc (), cfg, json.data (), json.size (),
                               REC_MISSING_KEEP, "s.json", &findings));
  EXPECT_EQ (text (),
             "s.json: unknown key \"hots\"\n"
             "s.json.host: expected string, found int\n"
             "s.json.domain: length 0 is out of range, expected 1 to 64\n"
             "s.json.heartbeat_ms: 1 is out of range, expected 50 to 60000\n");
  config_free (static_cast<Config *> (cfg));
}

TEST_F (RecTest, EventsSurviveTheTraceForm)
{
  CallerRequest q = {};
  q.conn = 4;
  q.workspace = "alpha";
  q.body = g_bytes_new ("\0\1x", 3);
  Event *e = event_new (EV_REQUEST, 12, "", &q);
  char *line = event_to_json (e, "h1");
  char *node = nullptr;
  Event *back = event_from_json (line, "t:1", &node, &findings);
  ASSERT_NE (back, nullptr) << text ();
  EXPECT_STREQ (node, "h1");
  EXPECT_EQ (event_digest (e, 0), event_digest (back, 0));
  g_free (node);
  g_free (line);
  event_free (e);
  event_free (back);
  g_bytes_unref (q.body);
}

} // namespace
