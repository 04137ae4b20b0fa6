#include "fixture.h"

#include <gtest/gtest.h>

extern "C"
{
#include "replay.h"
}

#include <filesystem>
#include <fstream>
#include <sstream>

namespace
{

namespace fs = std::filesystem;

std::string
read_file (const fs::path &p)
{
  std::ifstream in (p);
  std::stringstream s;
  s << in.rdbuf ();
  return s.str ();
}

/* The outcomes and the digest of TRACE, or its findings. */
std::pair<std::string, guint64>
replay (const std::string &trace)
{
  Findings findings;
  findings_init (&findings);
  Replay *r = replay_new ();
  bool ok = replay_text (r, trace.c_str (), "trace", &findings);
  char *text = findings_text (&findings);
  std::pair<std::string, guint64> result = { ok ? replay_outcomes (r) : text,
                                             replay_digest (r) };
  g_free (text);
  replay_free (r);
  findings_clear (&findings);
  return result;
}

std::string
record (guint32 seed)
{
  World w (seed);
  std::string trace;
  w.trace = &trace;
  w.add_host ("h1", "d1");
  w.add_host ("h2", "d1");
  w.add_upstream ("u1", "d1");
  w.link_jitter = 20;
  w.start ();
  w.load_table ("workspace,weight\nalpha,1\n");
  for (int i = 0; i < 10; i++)
    {
      CallerRequest q = {};
      q.workspace = "alpha";
      q.repeatable = 1;
      w.request (i % 2 ? "h1" : "h2", q, "x");
    }
  w.run (3000);
  return trace;
}

TEST (ReplayTest, TheSameTraceGivesTheSameEffectsTwice)
{
  std::string trace = record (3);
  auto first = replay (trace);
  auto second = replay (trace);
  EXPECT_EQ (first.first, second.first);
  EXPECT_EQ (first.second, second.second);
  EXPECT_NE (first.first.find ("answered 200"), std::string::npos)
      << first.first;
}

TEST (ReplayTest, AChangedEventChangesTheDigest)
{
  std::string trace = record (3);
  auto first = replay (trace);
  size_t at = trace.rfind ("\"answer");
  at = trace.find ("\"status\":200");
  ASSERT_NE (at, std::string::npos);
  trace.replace (at, 12, "\"status\":201");
  EXPECT_NE (first.second, replay (trace).second);
}

TEST (ReplayTest, FaultyLinesAreReportedWithTheirPlace)
{
  auto r = replay ("# comment\n{\"node\":\"h1\",\"at\":1,\"kind\":\"nope\","
                   "\"peer\":\"\",\"body\":{}}\n[]\n");
  EXPECT_EQ (r.first, "trace:2: unknown event kind \"nope\"\n"
                      "trace:3: is not a JSON object\n");
}

/* Every recorded trace has a stated outcome beside it: NAME.expect. */
class TraceTest : public testing::TestWithParam<std::string>
{
};

std::vector<std::string>
trace_names ()
{
  std::vector<std::string> names;
  if (fs::exists ("tests/traces"))
    for (auto &f : fs::directory_iterator ("tests/traces"))
      if (f.path ().extension () == ".trace")
        names.push_back (f.path ().stem ().string ());
  std::sort (names.begin (), names.end ());
  return names;
}

TEST_P (TraceTest, HasItsStatedOutcome)
{
  fs::path base = fs::path ("tests/traces") / GetParam ();
  std::string wanted = read_file (base.string () + ".expect");
  ASSERT_FALSE (wanted.empty ());
  EXPECT_EQ (replay (read_file (base.string () + ".trace")).first, wanted);
}

GTEST_ALLOW_UNINSTANTIATED_PARAMETERIZED_TEST (TraceTest);
INSTANTIATE_TEST_SUITE_P (Recorded,
                          TraceTest,
                          testing::ValuesIn (trace_names ()),
                          [] (auto &info) {
                            std::string name = info.param;
                            for (char &c : name)
                              if (c == '-')
                                c = '_';
                            return name;
                          });

} // namespace
