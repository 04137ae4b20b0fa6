#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "boot.h"
#include "codec.h"
#include "json.h"
#include "run_client.h"
#include "kv_client.h"
}

/* The platform adapter: encoding of requests to the store and the workers, and
   decoding of replies, stored data, jobs and the settings file. */

static GBytes *
make_bytes (const std::string &text)
{
  return g_bytes_new (text.data (), text.size ());
}

/* Returns TEXT, which may be NULL, as a string and frees it. */
static std::string
take_string (char *text)
{
  std::string s = text ? text : "";

  g_free (text);
  return s;
}

class FindingsTest : public ::testing::Test
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

  Findings findings;
};

using PlatformCodec = FindingsTest;

TEST_F (PlatformCodec, ConfigurationIsDecoded)
{
  GBytes *value = make_bytes (
      "{\"version\":7,\"news\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.b\","
      "\"prefix\":\"/p/\",\"service\":\"s\",\"priority\":2,\"attempts\":4,"
      "\"stretch\":1.5,\"targetLatencyMs\":500,\"public\":true}],\"services\":"
      "[{\"name\":\"s\",\"spare\":true}],\"tenants\":[{\"name\":\"t\","
      "\"apiKeys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":120}}],\"limits\":"
      "{\"maxBodyBytes\":100}}");
  Conf *conf = platform_codec.decode_conf (value, &findings);

  ASSERT_TRUE (conf);
  EXPECT_EQ (conf->version, 7);
  const ConfRoute *r = conf_find_route (conf, "A.b:80", "/p/0123");
  ASSERT_TRUE (r);
  EXPECT_EQ (r->priority, 2);
  EXPECT_EQ (r->max_attempts, 4);
  EXPECT_DOUBLE_EQ (r->stretch, 1.5);
  EXPECT_EQ (r->target_latency, 500);
  EXPECT_TRUE (r->allows_anonymous);
  EXPECT_FALSE (conf_find_route (conf, "a.b", "/q/1"));
  ASSERT_TRUE (conf_find_workspace_by_token (conf, "k2"));
  EXPECT_EQ (conf_find_workspace_by_token (conf, "k2")->guaranteed_accelerators,
             120);
  EXPECT_FALSE (conf_find_workspace_by_token (conf, "k3"));
  EXPECT_EQ (conf->max_body_bytes, 100u);
  conf_unref (conf);
  g_bytes_unref (value);
}

TEST_F (PlatformCodec, RouteWithTheLongestMatchingPrefixIsFound)
{
  GBytes *value = make_bytes (
      "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":"
      "\"/x/\"},{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/x/y/\"}]}");
  Conf *conf = platform_codec.decode_conf (value, &findings);

  ASSERT_TRUE (conf);
  EXPECT_STREQ (conf_find_route (conf, "h", "/x/y/1")->name, "b");
  EXPECT_STREQ (conf_find_route (conf, "h", "/x/z")->name, "a");
  conf_unref (conf);
  g_bytes_unref (value);
}

TEST_F (PlatformCodec, InvalidConfigurationIsRejectedWithAFinding)
{
  for (const char *text : { "", "[]", "{\"version\":\"x\"}", "{\"routes\":[1]}",
                            "{\"version\":1" })
    {
      GBytes *value = make_bytes (text);
      guint before = findings_count (&findings);

      EXPECT_FALSE (platform_codec.decode_conf (value, &findings)) << text;
      EXPECT_GT (findings_count (&findings), before) << text;
      g_bytes_unref (value);
    }
}

static const char worker_entry_json[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"state\":\"draining\",\"capacity\":{\"cpu\":16000,\"memMb\":32768,"
    "\"gpu\":4},\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113,\"seq\":4,"
    "\"born\":1700000000000}";

TEST_F (PlatformCodec, WorkerEntryIsDecoded)
{
  GBytes *value = make_bytes (worker_entry_json);
  PoolEntry *e = platform_codec.decode_worker ("i-1", value, &findings);

  ASSERT_TRUE (e);
  EXPECT_STREQ (e->rack, "r1-3");
  EXPECT_STREQ (e->domain, "z");
  EXPECT_TRUE (e->draining);
  EXPECT_EQ (e->capacity.cpu_milli, 16000);
  EXPECT_EQ (e->capacity.accelerators, 4);
  EXPECT_EQ (e->incarnation, 1700000000000);
  pool_entry_free (e);
  g_bytes_unref (value);
}

/* Anything may be stored under the workers' prefix.  An entry that is not JSON,
   lacks a field, or has a field of the wrong type or an unknown state must not
   become a worker. */
TEST_F (PlatformCodec, InvalidWorkerEntryIsRejected)
{
  for (const char *text :
       { "\x01\x02", "{}", "{\"service\":3}",
         "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
         "\"state\":"
         "\"resting\",\"capacity\":{},\"labels\":[]}",
         "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
         "\"state\":"
         "\"ready\",\"capacity\":{\"cpu\":\"many\"},\"labels\":[]}" })
    {
      GBytes *value = make_bytes (text);

      EXPECT_FALSE (platform_codec.decode_worker ("i-1", value, &findings))
          << text;
      g_bytes_unref (value);
    }
}

/* Returns the worker's entry above with the value of FIELD, which may be new,
   replaced by VALUE, or without FIELD if VALUE is empty. */
static std::string
entry_with (const std::string &field, const std::string &value)
{
  json_object *o = json_tokener_parse (worker_entry_json);
  std::string text;

  json_object_object_del (o, field.c_str ());
  text = take_string (json_serialize_free (o));
  if (!value.empty ())
    text.insert (1, "\"" + field + "\":" + value + ",");
  return text;
}

/* Each of these was taken for a worker, or must not become one: fields that are
   missing, of another type or out of range, and deep nesting anywhere. */
TEST_F (PlatformCodec, WorkerEntryWithOneOddFieldIsRejected)
{
  std::string deep = std::string (50000, '[') + std::string (50000, ']');
  std::string deep_objects;
  std::vector<std::pair<std::string, std::string> > odd;

  for (int i = 0; i < 50000; i++)
    deep_objects += "{\"a\":";
  deep_objects += "1" + std::string (50000, '}');
  for (const char *field :
       { "service", "address", "zone", "state", "capacity", "labels" })
    for (const char *value : { "", "null", "7", "true", "[[1]]" })
      odd.push_back ({ field, value });
  for (const char *field : { "labels", "capacity", "more", "service", "seq" })
    for (const std::string &value :
         { deep, deep_objects, deep.substr (50000), deep.substr (0, 50000) })
      odd.push_back ({ field, value });
  for (const char *field : { "born", "drainRemainingMs" })
    for (const char *value : { "-1", "1.5", "1e400", "-1e400", "\"1\"", "{}",
                               "9223372036854775808", "18446744073709551616" })
      odd.push_back ({ field, value });
  for (const char *field : { "seq", "slots", "coldRemainingMs" })
    for (const char *value :
         { "1e400", "-1e400", "1e300", "\"1\"", "[]", "18446744073709551616" })
      odd.push_back ({ field, value });
  for (const char *field : { "cpu", "memMb", "gpu" })
    for (const char *value : { "-1", "2147483648", "18446744073709551616",
                               "1e400", "1.5", "\"1\"", "[]", "{}" })
      odd.push_back ({ "capacity",
                       std::string ("{\"") + field + "\":" + value + "}" });
  for (const char *value : { "[1]", "[null]", "[\"a\",[]]" })
    odd.push_back ({ "labels", value });
  for (const char *value : { "\"\"",
                             "\":\"",
                             "\"10.0.0.9\"",
                             "\"10.0.0.9:\"",
                             "\"10.0.0.9:0\"",
                             "\"10.0.0.9:65536\"",
                             "\"10.0.0.9:-1\"",
                             "\"10.0.0.9:+1\"",
                             "\"10.0.0.9:1 \"",
                             "\"10.0.0.9:99999999999999999999\"",
                             "\"10.0.0.9:1\\u0000\"",
                             "\"10.0.0.9:1\\n\"",
                             "\"a@10.0.0.9:1\"",
                             "\"http://10.0.0.9:1\"",
                             "\"10.0.0.9:1/p\"",
                             "\"runner:1\"",
                             "\"10.0.0:1\"",
                             "\"::1:1\"",
                             "\"[::1]\"",
                             "\"[10.0.0.9]:1\"",
                             "\"[::1:1\"" })
    odd.push_back ({ "address", value });
  odd.push_back ({ "state", "\"ready\\u0000\"" });
  odd.push_back ({ "service", "\"s\\u0000\"" });
  odd.push_back ({ "version", "\"\xff\"" });
  odd.push_back ({ "version", std::string ("\"\0\"", 3) });
  odd.push_back ({ "version", "\"" + std::string (1 << 20, 'x') });

  for (auto &o : odd)
    {
      GBytes *value = make_bytes (entry_with (o.first, o.second));
      PoolEntry *e = platform_codec.decode_worker ("i-1", value, &findings);

      EXPECT_FALSE (e) << o.first << " " << o.second.substr (0, 40);
      pool_entry_free (e);
      EXPECT_GT (findings_count (&findings), 0u);
      findings_clear (&findings);
      findings_init (&findings);
      g_bytes_unref (value);
    }
}

TEST_F (PlatformCodec, WorkerEntryMayHaveUnknownFieldsAndLackUnusedOnes)
{
  for (const std::string &text :
       { entry_with ("more", "[[[1e400]]]"), entry_with ("seq", ""),
         entry_with ("seq", "4.5"), entry_with ("coldRemainingMs", "-0.5"),
         entry_with ("address", "\"[fd00::9]:65535\""),
         entry_with ("more", "\"" + std::string (1 << 20, 'x') + "\"") })
    {
      GBytes *value = make_bytes (text);
      PoolEntry *e = platform_codec.decode_worker ("i-1", value, &findings);

      EXPECT_TRUE (e) << text.substr (0, 80);
      pool_entry_free (e);
      g_bytes_unref (value);
    }
}

/* Guards against a time left that is dropped, or lost in rounding to 0. */
TEST_F (PlatformCodec, TimeLeftOfAColdWorkerIsHandedOn)
{
  const std::pair<const char *, ClockMs> cases[] = { { "", 0 },
                                                     { "-0.5", 0 },
                                                     { "0.2", 1 },
                                                     { "8000", 8000 } };

  for (auto &c : cases)
    {
      GBytes *value = make_bytes (entry_with ("coldRemainingMs", c.first));
      PoolEntry *e = platform_codec.decode_worker ("i-1", value, &findings);

      ASSERT_TRUE (e) << c.first;
      EXPECT_EQ (e->warm_up_remaining, c.second) << c.first;
      pool_entry_free (e);
      g_bytes_unref (value);
    }
}

TEST_F (PlatformCodec, JobWithStepsIsDecoded)
{
  GBytes *body = make_bytes (
      "{\"spec\":\"text\",\"runCount\":3,\"firstRunMs\":5,\"intervalMs\":7,"
      "\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,\"gpu\":1,"
      "\"estimateMs\":900,\"affinity\":\"r1-3\",\"requiredLabel\":\"a\","
      "\"maxPerServer\":2},{\"gang\":true,\"sameRack\":true,\"count\":2,"
      "\"after\":[0],\"checkpointing\":true,\"speculative\":true}]}");
  SpecJob *job = (SpecJob *)rec_new (spec_job_desc ());

  ASSERT_TRUE (platform_codec.decode_job (body, job, &findings));
  EXPECT_STREQ (job->text, "text");
  EXPECT_EQ (spec_job_occurrences (job), 3u);
  EXPECT_EQ (job->steps.n, 2u);
  EXPECT_STREQ (spec_job_step (job, 0)->rack, "r1-3");
  EXPECT_EQ (spec_job_step (job, 0)->max_per_worker, 2);
  EXPECT_TRUE (spec_job_step (job, 1)->gang);
  EXPECT_EQ (spec_step_after (spec_job_step (job, 1), 0), 0u);
  rec_free (spec_job_desc (), job);
  g_bytes_unref (body);
}

TEST_F (PlatformCodec, InvalidJobIsRejected)
{
  std::string deep (100, '[');

  for (const std::string &text :
       { std::string ("{}"), std::string ("{\"steps\":[3]}"), deep,
         std::string ("{\"steps\":[{\"count\":\"x\"}]}"),
         std::string ("{\"steps\":{}}") })
    {
      GBytes *body = make_bytes (text);
      SpecJob *job = (SpecJob *)rec_new (spec_job_desc ());

      EXPECT_FALSE (platform_codec.decode_job (body, job, &findings)) << text;
      rec_free (spec_job_desc (), job);
      g_bytes_unref (body);
    }
}

TEST (PlatformCodecJob, TextWithAZeroByteIsRejected)
{
  for (const std::string &text :
       { std::string ("{\"spec\":\"a\\u0000b\",\"steps\":[{\"count\":1}]}"),
         std::string ("{\"steps\":[{\"requiredLabel\":\"a\\u0000b\"}]}"),
         std::string ("{\"steps\":[{\"affinity\":\"a\\u0000b\"}]}") })
    {
      GBytes *body = make_bytes (text);
      SpecJob *job = (SpecJob *)rec_new (spec_job_desc ());
      Findings found;

      findings_init (&found);
      EXPECT_FALSE (platform_codec.decode_job (body, job, &found)) << text;
      EXPECT_EQ (findings_count (&found), 1U) << text;
      findings_clear (&found);
      rec_free (spec_job_desc (), job);
      g_bytes_unref (body);
    }
}

TEST (PlatformKvClient, TransactionIsEncoded)
{
  KvCall *call = kv_call_new (KV_TXN, NULL);
  GBytes *value = make_bytes ("node-1");

  kv_call_add_precondition (call, "my/leader", 0);
  kv_call_add_write (call, "my/leader", value, 77);
  kv_call_add_write (call, "my/old", NULL, 0);
  EXPECT_EQ (take_string (kv_client_path (call)), "/api/kv-txn");
  EXPECT_EQ (take_string (kv_client_body (call)),
             "{\"precondition\":[{\"key\":\"my/leader\",\"revision\":0}],"
             "\"writes\":[{\"key\":\"my/leader\",\"value\":\"bm9kZS0x\","
             "\"lease\":77}],\"deletes\":[\"my/old\"]}");
  kv_call_free (call);
  g_bytes_unref (value);
}

TEST (PlatformKvClient, KeysAreEscapedAndContinuationIsSent)
{
  KvCall *call = kv_call_new (KV_RANGE, "a b/");

  call->after_key = g_strdup ("a b/&");
  EXPECT_EQ (take_string (kv_client_path (call)),
             "/api/kv-range?prefix=a%20b%2F&after=a%20b%2F%26");
  kv_call_free (call);
  call = kv_call_new (KV_WATCH, "op/");
  call->after_revision = 411;
  call->max_wait = 900;
  EXPECT_EQ (take_string (kv_client_path (call)),
             "/api/kv-watch?prefix=op%2F&after=411&waitMs=900");
  kv_call_free (call);
}

/* Returns the store reply decoded from an HTTP reply; the caller clears it. */
static KvReply
decode_kv_reply (FetchOutcome outcome, int status, const std::string &body)
{
  FetchReply fetched = { outcome, status, body.data (), body.size (), 9 };
  KvReply reply;

  kv_client_decode (&fetched, &reply);
  return reply;
}

/* KV_REFUSED promises that the store did not execute the call: the request was
   not sent, or the store replied 429 or 503.  KV_INVALID promises besides that
   it will not be executed if it is repeated.  A lost call may have been
   executed, so its outcome is unknown. */
TEST (PlatformKvClient, HttpOutcomeMapsToKvStatus)
{
  struct
  {
    FetchOutcome outcome;
    int http_status;
    KvStatus status;
  } cases[] = {
    { FETCH_ANSWERED, 200, KV_OK },        { FETCH_ANSWERED, 404, KV_MISSING },
    { FETCH_ANSWERED, 410, KV_COMPACTED }, { FETCH_ANSWERED, 412, KV_CONFLICT },
    { FETCH_ANSWERED, 400, KV_INVALID },   { FETCH_ANSWERED, 413, KV_INVALID },
    { FETCH_ANSWERED, 429, KV_REFUSED },   { FETCH_ANSWERED, 503, KV_REFUSED },
    { FETCH_UNSENT, 0, KV_REFUSED },       { FETCH_LOST, 0, KV_OUTCOME_UNKNOWN }
  };

  for (auto &c : cases)
    {
      KvReply reply = decode_kv_reply (c.outcome, c.http_status, "{}");

      EXPECT_EQ (reply.status, c.status) << c.http_status;
      kv_reply_clear (&reply);
    }
}

TEST (PlatformKvClient, SuccessThatIsNotKnownIsNoRefusal)
{
  for (int status : { 201, 202, 204, 500, 502, 504 })
    {
      KvReply reply = decode_kv_reply (FETCH_ANSWERED, status, "{}");

      EXPECT_EQ (reply.status, KV_OUTCOME_UNKNOWN) << status;
      kv_reply_clear (&reply);
    }
}

TEST (PlatformKvClient, ItemsWithoutAValidKeyAreSkipped)
{
  for (const char *body :
       { "{\"key\":5,\"revision\":1}", "{\"items\":[{\"revision\":1}]}" })
    {
      KvReply reply = decode_kv_reply (FETCH_ANSWERED, 412, body);

      ASSERT_TRUE (reply.items);
      EXPECT_EQ (reply.items->len, 0U);
      kv_reply_clear (&reply);
    }
}

/* A key with a zero byte was cut there, and so another writer's item was taken
   for that of the key in front of it. */
TEST (PlatformKvClient, KeyWithAZeroByteHidesNoOtherItem)
{
  KvReply reply = decode_kv_reply (
      FETCH_ANSWERED, 200,
      "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":4},"
      "{\"key\":\"a\\u0000b\",\"value\":\"\",\"revision\":5},"
      "{\"key\":\"c\",\"value\":\"\",\"revision\":6}],\"storeRevision\":9}");

  EXPECT_EQ (reply.status, KV_OK);
  ASSERT_EQ (reply.items->len, 2u);
  EXPECT_EQ (kv_reply_find (&reply, "a")->revision, 4);
  EXPECT_TRUE (kv_reply_find (&reply, "c"));
  kv_reply_clear (&reply);
}

/* What an entry holds reaches the reader as base64 text, so that neither
   nesting nor bytes in it can spoil the others of its page. */
TEST (PlatformKvClient, OddValueSpoilsNoOtherItemOfItsPage)
{
  const std::string values[] = { "", std::string (50000, '['),
                                 std::string (1 << 20, '\xff'),
                                 std::string (3, '\0') };

  for (const std::string &value : values)
    {
      std::string text =
          take_string (g_base64_encode ((const guchar *)value.data (),
                                        value.size ()));
      KvReply reply = decode_kv_reply (
          FETCH_ANSWERED, 200,
          "{\"items\":[{\"key\":\"\xff\",\"value\":\"" + text +
              "\",\"revision\":4},{\"key\":\"c\",\"value\":\"\","
              "\"revision\":6}],\"storeRevision\":9}");

      EXPECT_EQ (reply.status, KV_OK);
      ASSERT_EQ (reply.items->len, 2u);
      EXPECT_EQ (g_bytes_get_size (kv_reply_find (&reply, "\xff")->value),
                 value.size ());
      EXPECT_TRUE (kv_reply_find (&reply, "c"));
      kv_reply_clear (&reply);
    }
}

TEST (PlatformKvClient, EventsAndSingleKeysAreDecoded)
{
  KvReply reply = decode_kv_reply (
      FETCH_ANSWERED, 200,
      "{\"events\":[{\"key\":\"a\",\"value\":\"bm9kZS0x\",\"revision\":412,"
      "\"lease\":5},{\"key\":\"b\",\"revision\":413,\"deleted\":true}],"
      "\"storeRevision\":420}");

  ASSERT_EQ (reply.items->len, 2u);
  EXPECT_EQ (reply.revision, 420);
  EXPECT_EQ (kv_reply_find (&reply, "a")->lease_id, 5);
  EXPECT_EQ (g_bytes_get_size (kv_reply_find (&reply, "a")->value), 6u);
  EXPECT_TRUE (kv_reply_find (&reply, "b")->deleted);
  kv_reply_clear (&reply);
  reply = decode_kv_reply (FETCH_ANSWERED, 200,
                           "{\"key\":\"k\",\"value\":\"\",\"revision\":3,"
                           "\"created\":3,\"lease\":0,\"storeRevision\":9}");
  ASSERT_TRUE (kv_reply_find (&reply, "k"));
  EXPECT_EQ (kv_reply_find (&reply, "k")->revision, 3);
  EXPECT_EQ (reply.revision, 9);
  kv_reply_clear (&reply);
}

/* The store may have executed a call even though its reply can't be parsed. */
TEST (PlatformKvClient, UnreadableReplyLeavesTheOutcomeUnknown)
{
  KvReply reply = decode_kv_reply (FETCH_ANSWERED, 200, "{\"revision\":");

  EXPECT_EQ (reply.status, KV_OUTCOME_UNKNOWN);
  kv_reply_clear (&reply);
}

/* A lease time beyond 64 bits was taken as the greatest number and added to a
   time. */
TEST (PlatformKvClient, NumbersOutOfRangeLeaveTheOutcomeUnknown)
{
  for (const char *body :
       { "{\"lease\":7,\"ttlMs\":150099999999999999999999}",
         "{\"lease\":7,\"ttlMs\":600001}", "{\"lease\":7,\"ttlMs\":-1}",
         "{\"lease\":-7,\"ttlMs\":1500}", "{\"revision\":-1}",
         "{\"storeRevision\":9223372036854775807}",
         "{\"items\":[{\"key\":\"k\",\"value\":\"\",\"revision\":-3}]}" })
    {
      KvReply reply = decode_kv_reply (FETCH_ANSWERED, 200, body);

      EXPECT_EQ (reply.status, KV_OUTCOME_UNKNOWN) << body;
      EXPECT_GE (reply.lease_ttl, 0);
      EXPECT_LE (reply.lease_ttl, 600000);
      kv_reply_clear (&reply);
    }
}

TEST (PlatformRunClient, StartAndPollRequestsAreEncoded)
{
  RunCall *call = run_call_new (RUN_START, "i-1", "10.0.0.1:80");

  call->task = g_strdup ("id.0.1.17");
  call->run = 2;
  call->text = g_strdup ("t");
  call->lease_deadline = 486000;
  call->fence = 7;
  call->checkpoint = g_strdup ("0b");
  EXPECT_EQ (take_string (run_client_body (call)),
             "{\"fence\":7,\"task\":\"id.0.1.17\",\"run\":2,\"spec\":\"t\","
             "\"checkpoint\":\"0b\",\"deadlineMs\":486000}");
  run_call_free (call);
  call = run_call_new (RUN_POLL, "i-1", "10.0.0.1:80");
  call->fence = 7;
  call->ack = 57;
  call->max_wait = 1000;
  EXPECT_EQ (take_string (run_client_body (call)),
             "{\"fence\":7,\"ackCursor\":57,\"waitMs\":1000}");
  run_call_free (call);
}

/* Returns the status of a worker's reply to a call of kind OP. */
static RunStatus
decode_run_status (FetchOutcome outcome,
                   int http_status,
                   const std::string &body,
                   RunOp op = RUN_START)
{
  FetchReply fetched = { outcome, http_status, body.data (), body.size (), 1 };
  RunReply reply;
  RunStatus status;

  run_reply_init (&reply);
  run_client_decode (&fetched, op, &reply);
  status = reply.status;
  run_reply_clear (&reply);
  return status;
}

/* Each reason of a refusal has its own status; a reason that the client doesn't
   know ("new") counts as an invalid request. */
TEST (PlatformRunClient, HttpOutcomeMapsToRunStatus)
{
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200, "{\"clockMs\":1}"),
             RUN_OK);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 409, "{\"reason\":\"fence\"}"),
             RUN_FENCED);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 409, "{\"reason\":\"old\"}"),
             RUN_SUPERSEDED);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 409, "{\"reason\":\"late\"}"),
             RUN_DEADLINE_PASSED);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 409, "{\"reason\":\"room\"}"),
             RUN_NO_CAPACITY);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 409, "{\"reason\":\"new\"}"),
             RUN_INVALID);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 421, "{}"),
             RUN_OTHER_INCARNATION);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 503, ""), RUN_UNHEALTHY);
  EXPECT_EQ (decode_run_status (FETCH_UNSENT, 0, ""), RUN_UNSENT);
  EXPECT_EQ (decode_run_status (FETCH_LOST, 0, ""), RUN_LOST);
}

TEST (PlatformRunClient, PollReplyListsRunningAndEndedRuns)
{
  std::string body =
      "{\"clockMs\":482113,\"born\":17,\"running\":[[\"j.0.1.17\",2,\"0b\",41],"
      "[\"j.0.1.18\",2,\"\",41.5,300]],\"ended\":[[58,\"j.0.1.9\",1,\"done\","
      "\"\"],[59,\"j.0.1.8\",1,\"lapsed\",\"c\"]]}";
  FetchReply fetched = { FETCH_ANSWERED, 200, body.data (), body.size (), 1 };
  RunReply reply;

  run_reply_init (&reply);
  run_client_decode (&fetched, RUN_POLL, &reply);
  ASSERT_EQ (reply.status, RUN_OK);
  EXPECT_EQ (reply.worker_clock, 482113);
  EXPECT_EQ (reply.incarnation, 17);
  ASSERT_EQ (reply.running->len, 2u);
  EXPECT_DOUBLE_EQ (g_array_index (reply.running, RunActive, 1).percent, 41.5);
  ASSERT_EQ (reply.ended->len, 2u);
  EXPECT_EQ (g_array_index (reply.ended, RunEnded, 1).how, RUN_LEASE_EXPIRED);
  EXPECT_EQ (g_array_index (reply.ended, RunEnded, 0).sequence, 58);
  run_reply_clear (&reply);
}

TEST (PlatformRunClient, CheckpointWithAZeroByteIsNotPassedOn)
{
  std::string body =
      "{\"clockMs\":1,\"running\":[[\"j.0.1.1\",2,\"0b\\u00001\",41]],"
      "\"ended\":[[58,\"j.0.1.9\",1,\"stopped\",\"0b\\u00002\"]]}";
  FetchReply fetched = { FETCH_ANSWERED, 200, body.data (), body.size (), 1 };
  RunReply reply;

  run_reply_init (&reply);
  run_client_decode (&fetched, RUN_POLL, &reply);
  ASSERT_EQ (reply.status, RUN_OK);
  EXPECT_FALSE (g_array_index (reply.running, RunActive, 0).checkpoint);
  EXPECT_FALSE (g_array_index (reply.ended, RunEnded, 0).checkpoint);
  run_reply_clear (&reply);
}

/* A poll reply without lists must not be read as two empty lists: that would
   mean that the worker runs nothing. */
TEST (PlatformRunClient, PollReplyWithoutListsIsLost)
{
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200, "", RUN_POLL), RUN_LOST);
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200, "{}", RUN_POLL), RUN_LOST);
}

/* The same holds if one list is missing, or if an entry lacks its fields or
   gives an unknown reason for the end of a run. */
TEST (PlatformRunClient, PollReplyWithIncompleteListsIsLost)
{
  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200,
                                "{\"clockMs\":1,\"running\":[]}", RUN_POLL),
             RUN_LOST);
  EXPECT_EQ (decode_run_status (
                 FETCH_ANSWERED, 200,
                 "{\"clockMs\":1,\"running\":[[7]],\"ended\":[]}", RUN_POLL),
             RUN_LOST);
  EXPECT_EQ (
      decode_run_status (FETCH_ANSWERED, 200,
                         "{\"clockMs\":1,\"running\":[],\"ended\":[[1,\"t\","
                         "1,\"eaten\",\"\"]]}",
                         RUN_POLL),
      RUN_LOST);
}

TEST (PlatformRunClient, PollReplyWithNumbersOutOfRangeIsLost)
{
  std::string running = "{\"clockMs\":1,\"ended\":[],\"running\":";
  std::string ended = "{\"clockMs\":1,\"running\":[],\"ended\":";

  EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200,
                                (running + "[[\"t\",1,\"\",100]]}").c_str (),
                                RUN_POLL),
             RUN_OK);
  for (const std::string &body :
       { running + "[[\"t\",-1,\"\",41]]}", running + "[[\"t\",1,\"\",101]]}",
         running + "[[\"t\",1,\"\",\"much\"]]}",
         running + "[[\"t\",9223372036854775807,\"\",41]]}",
         running + "[[\"t\",1.5,\"\",41]]}",
         ended + "[[-1,\"t\",1,\"done\",\"\"]]}",
         ended + "[[1,\"t\",1e300,\"done\",\"\"]]}",
         ended + "[[\"1\",\"t\",1,\"done\",\"\"]]}" })
    EXPECT_EQ (decode_run_status (FETCH_ANSWERED, 200, body.c_str (), RUN_POLL),
               RUN_LOST)
        << body;
  EXPECT_EQ (
      decode_run_status (
          FETCH_ANSWERED, 200,
          "{\"clockMs\":9223372036854775807,\"running\":[],\"ended\":[]}",
          RUN_POLL),
      RUN_LOST);
}

using PlatformSettingsFile = FindingsTest;

TEST_F (PlatformSettingsFile, KnownFieldsAreReadAndUnknownFieldsIgnored)
{
  std::string text =
      "{\"node\":\"n1\",\"zone\":\"z\",\"ip\":\"10.1.0.19\",\"listen\":{"
      "\"front\":"
      "\"10.1.0.19:8521\",\"readiness\":\"10.1.0.19:8523\"},\"portRange\":["
      "7000,"
      "7015],\"limits\":{\"cpuShare\":0.12,\"memoryMb\":160,"
      "\"maxFds\":4100},\"zones\":{\"z\":\"r\",\"y\":\"r\"},"
      "\"bounds\":{\"revokeMs\":5000,\"evacuateMs\":5000,"
      "\"coldOverage\":1.5,\"coldSlack\":5,"
      "\"stopMs\":400,\"graceS\":6.5},\"platform\":{"
      "\"address\":\"10.2.0.7:"
      "8524\","
      "\"ttlMinMs\":1300,\"valueBytes\":70000},\"new\":{}"
      "}";
  BootSettings *b = boot_parse (text.data (), text.size (), &findings);

  ASSERT_TRUE (b);
  EXPECT_EQ (b->callers_port, 8521u);
  EXPECT_EQ (b->metrics_port, 7000u);
  EXPECT_EQ (b->termination_grace, 6500);
  EXPECT_EQ (b->min_store_lease, 1300);
  EXPECT_EQ (b->max_store_value, 70000u);
  EXPECT_DOUBLE_EQ (b->cores, 0.12);
  EXPECT_EQ (b->memory_bytes, 160 << 20);
  EXPECT_EQ (b->max_descriptors, 4100u);
  EXPECT_STREQ ((char *)b->domains->pdata[1], "y");
  EXPECT_EQ (b->bounds.evacuation, 5000);
  EXPECT_DOUBLE_EQ (b->bounds.cold_overage, 1.5);
  EXPECT_DOUBLE_EQ (b->bounds.cold_slack, 5.0);
  EXPECT_EQ (b->bounds.stop, 400);
  EXPECT_STREQ (b->store_address, "10.2.0.7:8524");
  boot_free (b);
}

TEST_F (PlatformSettingsFile, BoundOfEvacuationsThatHoldsAllStartsIsKept)
{
  std::string text =
      "{\"listen\":{\"front\":\"10.1.0.19:1\",\"readiness\":\"10.1.0.19:2\"},"
      "\"bounds\":{\"evacuateMs\":1699},"
      "\"platform\":{\"address\":\"10.2.0.7:8524\"}}";
  BootSettings *b = boot_parse (text.data (), text.size (), &findings);

  ASSERT_TRUE (b);
  EXPECT_EQ (b->bounds.evacuation, 1700);
  EXPECT_EQ (b->asked_evacuation, 1699);
  boot_free (b);
}

TEST_F (PlatformSettingsFile, NumbersOutOfRangeAreRejected)
{
  std::string text =
      "{\"listen\":{\"front\":\"10.1.0.19:1\",\"readiness\":\"10.1.0.19:2\"},"
      "\"portRange\":[70000,70001],\"limits\":{\"cpuShare\":-1,\"linkMbps\":"
      "1e300},\"bounds\":{\"revokeMs\":-5,\"graceS\":1e300},\"platform\":{"
      "\"address\":\"10.2.0.7:8524\"}}";

  EXPECT_FALSE (boot_parse (text.data (), text.size (), &findings));
  EXPECT_EQ (findings_count (&findings), 5u);
}

TEST_F (PlatformSettingsFile, AllFindingsAreReportedTogether)
{
  std::string text = "{\"listen\":{\"front\":\"nowhere\"}}";

  EXPECT_FALSE (boot_parse (text.data (), text.size (), &findings));
  EXPECT_GE (findings_count (&findings), 3u);
}
