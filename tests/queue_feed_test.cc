#include <gtest/gtest.h>

extern "C"
{
#include "codec.h"
#include "intake.h"
}

/* Answers of the store that are whole HTTP and no whole answers. */

namespace
{
class FeedTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    effects_init (&fx, 0);
    feed_init (&feed, "a/", on_item, this, 0);
  }
  void
  TearDown () override
  {
    feed_clear (&feed);
    effects_clear (&fx);
  }
  static void
  on_item (void *owner, const KvItem *item)
  {
    auto *t = static_cast<FeedTest *> (owner);

    (item->deleted ? t->deleted : t->taken)++;
  }
  // Answers the feed's next call with the keys of ITEMS at REVISION.
  void
  answer (gint64 revision, const std::vector<const char *> &keys)
  {
    KvReply reply {};
    GBytes *value = g_bytes_new_static ("x", 1);

    now += 1000;
    feed_poll (&feed, now, &fx);
    reply.id = feed.call_id;
    reply.status = KV_OK;
    reply.revision = revision;
    reply.call_started_at = now;
    reply.items = g_ptr_array_new_with_free_func (kv_item_free);
    for (const char *key : keys)
      g_ptr_array_add (reply.items, kv_item_new (key, value, 7));
    EXPECT_TRUE (feed_on_reply (&feed, &reply, now, &fx));
    kv_reply_clear (&reply);
    g_bytes_unref (value);
  }

  Effects fx;
  Feed feed;
  ClockMs now = 0;
  int taken = 0;
  int deleted = 0;
};
}

/* A listing without the store's revision says nothing about what is gone. */
TEST_F (FeedTest, AnswerWithoutARevisionDropsNothing)
{
  answer (9, { "a/1", "a/2" });
  EXPECT_EQ (taken, 2);
  ClockMs fresh = feed.current_as_of;
  feed_relist (&feed);
  answer (0, {});
  EXPECT_EQ (deleted, 0);
  EXPECT_EQ (feed.current_as_of, fresh);
  answer (10, { "a/1" });
  EXPECT_EQ (deleted, 1);
}

/* Owners read on behind the prefix of their keys. */
TEST_F (FeedTest, KeysOfOthersAreLeftOut)
{
  answer (9, { "a/1", "b", "", "a" });
  EXPECT_EQ (taken, 1);
}

/* A job that the store does not speak of is not said to be gone. */
TEST (Intake, ReadWithoutARevisionIsNoAnswer)
{
  static const char conf[] =
      "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\"h\",\"prefix\":"
      "\"/q1/\",\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":"
      "\"s\"}],\"tenants\":[],\"limits\":{}}";
  Effects fx;
  Feed feed;
  StoreHealth reach;
  Waiting waiting;
  Findings findings;
  JobCache *book = job_cache_new (nullptr, nullptr);

  effects_init (&fx, 0);
  findings_init (&findings);
  feed_init (
      &feed, job_key_prefix, [] (void *, const KvItem *) {}, nullptr, 0);
  store_health_init (&reach, 1000);
  waiting_init (&waiting);
  Intake *in = intake_new (&fx, book, &feed, &waiting, &reach,
                           platform_codec.decode_job, 3700);
  GBytes *bytes = g_bytes_new_static (conf, sizeof conf - 1);
  Conf *c = platform_codec.decode_conf (bytes, &findings);
  ASSERT_TRUE (c);
  intake_on_conf (in, c);
  intake_set_time (in, 1000, 1700000001000);

  Request r {};
  r.id = 1;
  r.op = REQUEST_STATE;
  r.host = "h";
  r.path = "/q1/00000000000000a1";
  r.caller_timeout = 3000;
  intake_on_request (in, &r, 0);
  Effect *e = effects_pop (&fx);
  ASSERT_TRUE (e);
  ASSERT_EQ (e->kind, EFFECT_KV);
  KvReply reply {};
  reply.id = e->kv->id;
  reply.status = KV_OK;
  effect_free (e);
  EXPECT_TRUE (intake_on_kv_reply (in, &reply));
  while ((e = effects_pop (&fx)))
    {
      EXPECT_NE (e->kind, EFFECT_ANSWER);
      effect_free (e);
    }
  EXPECT_EQ (intake_n_pending (in), 1U);

  intake_free (in);
  conf_unref (c);
  g_bytes_unref (bytes);
  waiting_clear (&waiting);
  feed_clear (&feed);
  job_cache_free (book);
  findings_clear (&findings);
  effects_clear (&fx);
}
