#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "log.h"
#include "settings.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

const std::string good =
    "{\n"
    "  // who this is\n"
    "  \"host\": \"h1\", \"domain\": \"east\",\n"
    "  \"hosts\": [{\"name\": \"h1\", \"domain\": \"east\",\n"
    "    \"address\": \"10.0.0.1\", \"port\": 7}],\n"
    "  /* the key of all hosts */\n"
    "  \"peer_key\": \"0123456789abcdef\",\n"
    "  \"store_address\": \"10.0.0.9\", \"store_port\": 2379\n"
    "}\n";

// Returns the findings, "FILE:LINE: PATH: TEXT" lines; empty if there are none.
std::string
check (const std::string &text, Settings **settings = nullptr)
{
  Findings findings;
  findings_init (&findings);
  Settings *s = settings_parse (text.data (), text.size (), "f", &findings);
  char *t = findings_text (&findings);
  std::string all = t;
  g_free (t);
  EXPECT_EQ (s == nullptr, findings_count (&findings) > 0);
  findings_clear (&findings);
  if (settings)
    *settings = s;
  else
    settings_free (s);
  return all;
}

std::string
with (const std::string &member)
{
  return "{\n" + member + ",\n" + good.substr (1);
}

TEST (ShellSettings, DefaultsHoldWhereTheFileSaysNothing)
{
  Settings *s = nullptr;
  EXPECT_EQ (check (with ("\"idle_ms\": 700"), &s), "");
  ASSERT_NE (s, nullptr);
  EXPECT_EQ (s->idle_ms, 700);
  EXPECT_EQ (s->max_body_bytes, 1 << 20);
  EXPECT_EQ (s->heartbeat_ms, 1000);
  EXPECT_STREQ (s->peers_address, "10.0.0.1");
  EXPECT_EQ (s->peers_port, 7);
  Config *cfg = settings_config (s);
  EXPECT_STREQ (cfg->host, "h1");
  EXPECT_EQ (cfg->hosts.n, 1U);
  config_free (cfg);
  settings_free (s);
}

struct Bad
{
  const char *member;
  const char *finding;
};

class ShellBadSettings : public testing::TestWithParam<Bad>
{
};

TEST_P (ShellBadSettings, AreFoundWithTheirPlace)
{
  std::string all = check (with (GetParam ().member));
  EXPECT_NE (all.find (GetParam ().finding), std::string::npos) << all;
}

INSTANTIATE_TEST_SUITE_P (
    All,
    ShellBadSettings,
    testing::Values (
        Bad { "\"idle_ms\": 1",
              "f:2: idle_ms: 1 is out of range, expected 100" },
        Bad { "\"idle_mz\": 1", "f:1: unknown key \"idle_mz\"" },
        Bad { "\"idle_ms\": \"1\"",
              "f:2: idle_ms: expected int, found string" },
        Bad { "\"host\": \"h0\"", "f:5: key \"host\" stands twice" },
        Bad { "\"log_level\": \"loud\"",
              "f:2: log_level: \"loud\" is not one" },
        Bad { "\"suspect_ms\": 900",
              "suspect_ms 900 must exceed heartbeat_ms" },
        Bad { "\"callers_address\": \"localhost\"",
              "f:2: callers_address: \"localhost\" is not an IP address" },
        Bad { "\"max_bodies_bytes\": 5", "less than max_body_bytes" },
        Bad { "\"upstreams\": [{\"name\": \"u\",\n\"domain\": \"east\", "
              "\"address\": \"::1\", \"slots\": 0, \"connections\": 1}]",
              "f:3: upstreams[0].slots: 0 is out of range" },
        Bad { "\"workers\": [\n{\"name\": \"w\"}]",
              "workers[0].rack: length 0 is out of range" },
        Bad { "\"workers\": [{\"name\": \"w\", \"name\": \"w\"}]",
              "f:2: key \"name\" stands twice" }));

TEST (ShellSettings, AllFindingsComeTogetherAndOnce)
{
  std::string all = check ("{\"host\": \"\", \"domain\": \"east\", "
                           "\"idle_ms\": 1, \"x\": 1}");
  for (const char *part : { "host: length 0", "idle_ms: 1 is out of range",
                            "unknown key \"x\"", "peer_key: length 0",
                            "store_port: 0 is out of range", "store_address" })
    EXPECT_NE (all.find (part), std::string::npos) << part << "\n" << all;
  EXPECT_EQ (all.find ("idle_ms"), all.rfind ("idle_ms")) << all;
}

TEST (ShellSettings, SyntaxIsReportedWithLineAndColumn)
{
  EXPECT_EQ (check ("{\n  \"host\": }"),
             "f: line 2, column 11: unexpected character\n");
  EXPECT_NE (check ("").find ("ends too early"), std::string::npos);
  EXPECT_NE (check ("[]").find ("expected an object"), std::string::npos);
}

TEST (ShellSettings, EveryKeyIsDocumented)
{
  char *page = nullptr;
  const char *file = "docs/operating/settings.md";
  ASSERT_TRUE (g_file_get_contents (file, &page, nullptr, nullptr));
  const RecDesc *d = settings_desc ();
  for (guint i = 0; i < d->n_fields; i++)
    EXPECT_NE (strstr (page,
                       ("`" + std::string (d->fields[i].name) + "`").c_str ()),
               nullptr)
        << d->fields[i].name;
  g_free (page);
}

TEST (ShellSettings, MissingFileIsAFinding)
{
  Findings findings;
  findings_init (&findings);
  EXPECT_EQ (settings_load ("/nonexistent/x.json", &findings), nullptr);
  EXPECT_EQ (findings_count (&findings), 1U);
  findings_clear (&findings);
}

TEST (ShellSettings, DamagedTextGetsFindingsAndNoCrash)
{
  static const char alphabet[] = "{}[]\",:/*\\'0a \n\0\xff";
  GRand *rng = g_rand_new_with_seed (20261204);
  int refused = 0;
  for (int run = 0; run < 5000; run++)
    {
      std::string text = good;
      for (int n = g_rand_int_range (rng, 1, 6); n > 0; n--)
        {
          auto at = static_cast<size_t> (
              g_rand_int_range (rng, 0, static_cast<gint32> (text.size ())));
          char c = alphabet[g_rand_int_range (rng, 0, sizeof alphabet - 1)];
          if (n % 2)
            text[at] = c;
          else
            text.resize (at + 1);
        }
      refused += !check (text).empty ();
    }
  g_rand_free (rng);
  EXPECT_GT (refused, 2500);
}

std::string
log_lines (int n, ClockMs apart)
{
  char *text = nullptr;
  size_t size = 0;
  FILE *f = open_memstream (&text, &size);
  Log *l = log_new (f, LOG_INFO, "h1");
  for (int i = 0; i < n; i++)
    log_event (l, LOG_WARNING, i * apart, "peer_down", "peer", "h2", "why",
               "said \"no\"\n", nullptr);
  log_event (l, LOG_DEBUG, 0, "unseen", nullptr);
  log_free (l);
  fclose (f);
  std::string s = text;
  free (text);
  return s;
}

TEST (ShellLog, LinesAreLogfmt)
{
  EXPECT_EQ (log_lines (1, 0), "ts=0 level=warning host=h1 event=peer_down "
                               "peer=h2 why=\"said \\\"no\\\" \"\n");
}

TEST (ShellLog, RepeatsAreCountedAndTold)
{
  std::string s = log_lines (14, 1000);
  EXPECT_EQ (std::count (s.begin (), s.end (), '\n'), 9);
  EXPECT_NE (s.find ("ts=10000 "), std::string::npos);
  EXPECT_NE (s.find (" held=5\n"), std::string::npos);
}
}
