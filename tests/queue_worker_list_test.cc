#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "roster.h"
}

/* Entries that another writer has left among those of the workers. */

static const char odd_id[] = "w77";

static const ClockMs heartbeat_ms = 1000;

static WorldJob
job (int n, int count, const std::string &text)
{
  return { "q1/" + std::to_string (1000 + n),
           world_body (world_step (count, 8000, 1), text) };
}

/* Returns a worker's entry with this address and, in front, these fields. */
static std::string
entry (const std::string &address, const std::string &fields = "")
{
  return "{" + fields + "\"service\":\"render\",\"address\":\"" + address +
         "\",\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{\"cpu\":64000,"
         "\"memMb\":256000,\"gpu\":8},\"labels\":[\"a\",\"r0\"]}";
}

static std::string
nested (const std::string &field)
{
  std::string deep (50000, '[');

  return entry ("10.0.0.77:1",
                "\"" + field + "\":" + deep + std::string (50000, ']') + ",");
}

/* Entries that name no worker, by what is wrong with them. */
static std::map<std::string, std::string>
odd_entries ()
{
  std::map<std::string, std::string> odd = {
    { "empty", "" },
    { "cut", "{\"service\":\"render\"" },
    { "bytes", std::string (300, '\xff') },
    { "zero bytes", std::string (300, '\0') },
    { "long", "{\"state\":\"" + std::string (1000000, 'x') + "\"}" },
    { "not UTF-8", entry ("10.0.0.77:1", "\"version\":\"\xff\",") },
    { "nested labels", nested ("labels") },
    { "nested capacity", nested ("capacity") },
    { "nested elsewhere", nested ("more") },
    { "born 1e400", entry ("10.0.0.77:1", "\"born\":1e400,") },
    { "born 2^64", entry ("10.0.0.77:1", "\"born\":18446744073709551616,") },
    { "seq 1e400", entry ("10.0.0.77:1", "\"seq\":1e400,") },
    { "seq 2^64", entry ("10.0.0.77:1", "\"seq\":18446744073709551616,") },
    { "slots text", entry ("10.0.0.77:1", "\"slots\":\"many\",") },
  };

  for (const char *address : { "",
                               ":",
                               "10.0.0.77",
                               "10.0.0.77:",
                               "10.0.0.77:0",
                               "10.0.0.77:-1",
                               "10.0.0.77:65536",
                               "10.0.0.77:18446744073709551617",
                               "10.0.0.77:x",
                               "10.0.0.77:1/path",
                               "user@10.0.0.77:1",
                               "10.0.0.77:1 ",
                               " 10.0.0.77:1",
                               "10.0.0.77 :1",
                               "10.0.0.256:1",
                               "10.0.0.77.1:1",
                               "runner.example:1",
                               "http://10.0.0.77:1",
                               "10.0.0.77:1\\u0000",
                               "10.0.0.77:1\\r\\nX: y",
                               "::1:1" })
    odd[std::string ("address ") + address] = entry (address);
  return odd;
}

/* An odd entry was taken for a worker that does not answer, and a new
   scheduler waited for its runs. */
TEST (QueueWorkerList, OddEntryIsNotCalledAndDelaysNoTakeover)
{
  for (auto &odd : odd_entries ())
    {
      QueueWorld w (3, 4);

      w.run (3000);
      w.submit (0, job (1, 4, "ms=3000"));
      w.run (500);
      w.forge_record (std::string ("servers/") + odd_id, odd.second);
      w.run (500);
      w.kill_host (w.scheduler ());
      w.run (4000);
      EXPECT_EQ (w.count_lines ("event=workers_known"), 2) << odd.first;
      EXPECT_EQ (w.n_stray_calls, 0) << odd.first;
      EXPECT_GE (w.count_lines ("event=worker_unreadable worker=w77"), 1)
          << odd.first;
      w.run (3000);
      EXPECT_EQ (w.state_of ("1001"), "completed") << odd.first;
      w.expect_no_violations ();
    }
}

/* What names an entry may have: the id goes into the header of a call and into
   log lines. */
TEST (QueueWorkerList, OddIdIsNotCalledAndDelaysNoTakeover)
{
  for (const char *id :
       { "", "w77 ", "w\r\nX-Y: z", "w\"77", "w\xff", "w\\77" })
    {
      QueueWorld w (3, 4);

      w.run (3000);
      w.forge_record (std::string ("servers/") + id, entry ("10.0.0.77:1"));
      w.run (500);
      w.kill_host (w.scheduler ());
      w.run (4000);
      EXPECT_EQ (w.count_lines ("event=workers_known"), 2) << id;
      EXPECT_EQ (w.n_stray_calls, 0) << id;
      EXPECT_EQ (w.count_lines ("\n") + w.count_lines ("\r"), 0) << id;
      EXPECT_GE (w.count_lines ("event=worker_unreadable worker="), 1) << id;
    }
}

/* Such a worker was in the roster, which its successor could then not read: it
   started what ran on a worker that it no longer knew. */
TEST (QueueWorkerList, OddEntryHidesNoOtherWorkerFromTheNextScheduler)
{
  for (const std::string &address :
       { std::string (), std::string (300, '1') + ":1",
         std::string ("\xff:1") })
    {
      QueueWorld w (3, 6);
      std::string id;

      for (int i = 100; id.empty (); i++)
        if (roster_shard_of (("w" + std::to_string (i)).c_str ()) ==
            roster_shard_of ("w1"))
          id = "w" + std::to_string (i);
      w.run (3000);
      w.submit (0, job (1, 40, "ms=6000"));
      w.forge_record ("servers/" + id, entry (address));
      w.run (1000);
      ASSERT_FALSE (w.workers[1].runs.empty ());
      w.workers[1].unreachable_until = w.now () + 3500;
      w.drop_worker_entry (1);
      w.kill_host (w.scheduler ());
      w.run (20000);
      w.put_worker (1);
      w.run (10000);
      EXPECT_EQ (w.count_lines ("event=roster_unreadable"), 0) << address;
      EXPECT_EQ (w.state_of ("1001"), "completed") << address;
      w.expect_no_violations ();
    }
}

/* A worker's own entry was overwritten: its tasks were given up, as its calls
   went to the other address, or new ones were still started there. */
TEST (QueueWorkerList, OverwrittenWorkerKeepsItsTasksAndGetsNoNewOnes)
{
  for (auto &odd : odd_entries ())
    {
      QueueWorld w (2, 2);

      w.run (3000);
      w.submit (0, job (1, 16, "ms=12000"));
      w.run (1000);
      ASSERT_FALSE (w.workers[1].runs.empty ()) << odd.first;
      size_t n_running = w.workers[1].runs.size ();
      w.forge_record ("servers/w1", odd.second);
      w.run (500);
      w.submit (0, job (2, 4, "ms=500"));
      w.run (8500);
      EXPECT_EQ (w.workers[1].runs.size (), n_running) << odd.first;
      w.run (3000);
      EXPECT_EQ (w.state_of ("1001"), "completed") << odd.first;
      EXPECT_EQ (w.n_starts (), 20) << odd.first;
      w.submit (0, job (3, 16, "ms=4000"));
      w.run (1000);
      EXPECT_TRUE (w.workers[1].runs.empty ()) << odd.first;
      w.put_worker (1);
      w.run (1000);
      EXPECT_FALSE (w.workers[1].runs.empty ()) << odd.first;
      w.expect_no_violations ();
    }
}

TEST (QueueWorkerList, OverwrittenWorkerKeepsItsTasksOverATakeover)
{
  for (auto &odd : odd_entries ())
    {
      QueueWorld w (2, 2);

      w.run (3000);
      w.submit (0, job (1, 16, "ms=12000"));
      w.run (1000);
      w.forge_record ("servers/w1", odd.second);
      w.run (500);
      w.kill_host (w.scheduler ());
      w.run (6000);
      EXPECT_EQ (w.workers[1].runs.size (), 8u) << odd.first;
      w.put_worker (1);
      w.run (7000);
      EXPECT_EQ (w.state_of ("1001"), "completed") << odd.first;
      EXPECT_EQ (w.n_starts (), 16) << odd.first;
      w.expect_no_violations ();
    }
}

/* Each change of an odd entry was logged, however often it was rewritten, and
   with all that it holds. */
TEST (QueueWorkerList, OddEntryIsLoggedOnceAndBriefly)
{
  QueueWorld w (2, 2);
  std::string labels = "\"labels\":[1";

  for (int i = 0; i < 1000; i++)
    labels += ",1";
  w.run (3000);
  for (int seq = 1; seq <= 20; seq++)
    {
      w.forge_record (std::string ("servers/") + odd_id,
                      "{" + labels + "],\"state\":\"" +
                          std::string (100000, '\n') +
                          "\",\"seq\":" + std::to_string (seq) + "}");
      w.run (heartbeat_ms);
    }
  EXPECT_EQ (w.count_lines ("event=worker_unreadable worker=w77"), 1);
  for (const std::string &line : w.lines)
    EXPECT_LT (line.size (), 1000u) << line.substr (0, 100);
  w.put_worker (1);
  w.forge_record (std::string ("servers/") + odd_id, entry ("10.0.0.77:1"));
  w.run (heartbeat_ms);
  w.forge_record (std::string ("servers/") + odd_id, "{}");
  w.run (heartbeat_ms);
  EXPECT_EQ (w.count_lines ("event=worker_unreadable worker=w77"), 2);
}

/* The roster of an older version names a worker with an odd address. */
TEST (QueueWorkerList, OddAddressInTheRosterIsNotCalledAndDelaysNoTakeover)
{
  for (const char *address : { "10.0.0.77:65536", "10.0.0.77", ":1", "x:1" })
    {
      QueueWorld w (2, 2);
      Roster *roster = (Roster *)rec_new (roster_desc ());
      auto *r = (RosterWorker *)rec_list_add (roster_worker_desc (),
                                              &roster->workers);

      rec_set_str (&r->id, odd_id);
      rec_set_str (&r->address, address);
      GBytes *packed = rec_pack (roster_desc (), roster);
      gsize n;
      const char *data = (const char *)g_bytes_get_data (packed, &n);
      char *key = roster_key (roster_shard_of (odd_id));
      w.run (3000);
      w.kill_host (w.scheduler ());
      w.forge_record (key, std::string (data, n));
      w.run (4000);
      EXPECT_EQ (w.count_lines ("event=workers_known"), 2) << address;
      EXPECT_EQ (w.n_stray_calls, 0) << address;
      g_free (key);
      g_bytes_unref (packed);
      rec_free (roster_desc (), roster);
    }
}

/* A scheduler that could not read a part of the roster took the workers there
   for new ones, and started anew what ran on them. */
TEST (QueueWorkerList, UnreadableRosterHidesNoRuns)
{
  QueueWorld w (2, 6);

  w.run (3000);
  w.submit (0, job (1, 24, "ms=9000"));
  w.run (1000);
  for (WorldWorker &worker : w.workers)
    worker.unreachable_until = w.now () + 3000;
  w.kill_host (w.scheduler ());
  for (guint shard = 0; shard < ROSTER_SHARDS; shard++)
    {
      char *key = roster_key (shard);

      w.forge_record (key, "\xff");
      g_free (key);
    }
  for (int i = 0; i < 3; i++)
    w.workers[i].unreachable_until = w.now ();
  w.run (20000);
  EXPECT_EQ (w.state_of ("1001"), "completed");
  EXPECT_EQ (w.n_starts (), 24);
  w.expect_no_violations ();
}

/* An entry that is well-formed, but names an address where nobody answers, or
   where another worker does: no scheduler can have started anything there. */
TEST (QueueWorkerList, WorkerThatNeverAnsweredDelaysNoTakeover)
{
  QueueWorld w (3, 4);

  w.run (3000);
  w.forge_record (std::string ("servers/") + odd_id, entry ("10.0.0.77:1"));
  w.submit (0, job (1, 4, "ms=3000"));
  w.run (10000);
  w.kill_host (w.scheduler ());
  w.run (4000);
  EXPECT_EQ (w.count_lines ("event=workers_known"), 2);
  w.expect_no_violations ();
}
