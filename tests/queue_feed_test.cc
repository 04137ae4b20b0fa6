#include <gtest/gtest.h>

extern "C"
{
#include "codec.h"
#include "intake.h"
}

/* Replies of the store that are complete as HTTP responses but lack the store's
   revision or hold keys that were not asked for. */

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
    auto *test = static_cast<FeedTest *> (owner);

    (item->deleted ? test->n_deleted : test->n_delivered)++;
  }
  // Replies to the feed's next call with items for KEYS at store revision
  // REVISION.
  void
  reply_with (gint64 revision,
              const std::vector<const char *> &keys,
              bool has_more = false)
  {
    KvReply reply {};
    GBytes *value = g_bytes_new_static ("x", 1);

    now += 1000;
    feed_poll (&feed, now, &fx);
    reply.id = feed.call_id;
    reply.status = KV_OK;
    reply.revision = revision;
    reply.call_started_at = now;
    reply.has_more = has_more;
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
  int n_delivered = 0;
  int n_deleted = 0;
};
}

/* Keys missing from a listing count as deleted only if the listing has the
   store's revision. */
TEST_F (FeedTest, ListingWithoutARevisionDeletesNothing)
{
  reply_with (9, { "a/1", "a/2" });
  EXPECT_EQ (n_delivered, 2);
  ClockMs current_as_of = feed.current_as_of;
  feed_relist (&feed);
  reply_with (0, {});
  EXPECT_EQ (n_deleted, 0);
  EXPECT_EQ (feed.current_as_of, current_as_of);
  reply_with (10, { "a/1" });
  EXPECT_EQ (n_deleted, 1);
}

/* A key of the first page may change while the second one is read. */
TEST_F (FeedTest, AgeOfAListingCountsFromItsFirstPage)
{
  reply_with (9, { "a/1" }, true);
  reply_with (9, { "a/2" });
  EXPECT_EQ (feed_age (&feed, now), 1000);
}

/* Owners parse a key from the end of the prefix on, without checking the
   prefix. */
TEST_F (FeedTest, KeysOutsideThePrefixAreIgnored)
{
  reply_with (9, { "a/1", "b", "", "a" });
  EXPECT_EQ (n_delivered, 1);
}

/* A read reply without a revision doesn't show that the job doesn't exist: the
   caller must not be told that it is gone. */
TEST (Intake, ReadReplyWithoutARevisionIsNotPassedOn)
{
  static const char conf_json[] =
      "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\"h\",\"prefix\":"
      "\"/q1/\",\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":"
      "\"s\"}],\"tenants\":[],\"limits\":{}}";
  Effects fx;
  Feed feed;
  StoreHealth store_health;
  Waiting waiting;
  Findings findings;
  JobCache *job_cache = job_cache_new (nullptr, nullptr);

  effects_init (&fx, 0);
  findings_init (&findings);
  feed_init (
      &feed, job_key_prefix, [] (void *, const KvItem *) {}, nullptr, 0);
  store_health_init (&store_health, 1000);
  waiting_init (&waiting);
  Intake *intake = intake_new (&fx, job_cache, &feed, &waiting, &store_health,
                               platform_codec.decode_job, 3700);
  GBytes *bytes = g_bytes_new_static (conf_json, sizeof conf_json - 1);
  Conf *conf = platform_codec.decode_conf (bytes, &findings);
  ASSERT_TRUE (conf);
  intake_on_conf (intake, conf);
  intake_set_time (intake, 1000, 1700000001000);

  Request request {};
  request.id = 1;
  request.op = REQUEST_STATE;
  request.host = "h";
  request.path = "/q1/00000000000000a1";
  request.caller_timeout = 3000;
  intake_on_request (intake, &request, 0);
  Effect *effect = effects_pop (&fx);
  ASSERT_TRUE (effect);
  ASSERT_EQ (effect->kind, EFFECT_KV);
  KvReply reply {};
  reply.id = effect->kv->id;
  reply.status = KV_OK;
  effect_free (effect);
  EXPECT_TRUE (intake_on_kv_reply (intake, &reply));
  while ((effect = effects_pop (&fx)))
    {
      EXPECT_NE (effect->kind, EFFECT_ANSWER);
      effect_free (effect);
    }
  EXPECT_EQ (intake_n_pending (intake), 1U);

  intake_free (intake);
  conf_unref (conf);
  g_bytes_unref (bytes);
  waiting_clear (&waiting);
  feed_clear (&feed);
  job_cache_free (job_cache);
  findings_clear (&findings);
  effects_clear (&fx);
}
