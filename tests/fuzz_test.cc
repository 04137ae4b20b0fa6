#include <gtest/gtest.h>

#include <random>
#include <string>

extern "C"
{
#include "config.h"
#include "event.h"
#include "settings.h"
#include "sheet.h"
}

/* Seeded mutations of good input: every decoder takes what comes, or says
   what is wrong with it, and never both. */

namespace
{

const int rounds = 3000;

std::string
mutated (std::string s, std::mt19937 &rng)
{
  static const std::string bits[] = { "\"",
                                      ",",
                                      "\n",
                                      "\r",
                                      "#",
                                      "x",
                                      "+",
                                      "[",
                                      "{",
                                      "]",
                                      "}",
                                      ":",
                                      "-1",
                                      "1e99",
                                      "99999999999999999999",
                                      "\xff\xfe",
                                      std::string (1, '\0'),
                                      "\xdf\xff\xff" };
  for (guint n = 1 + rng () % 3; n; n--)
    {
      gsize at = s.empty () ? 0 : rng () % s.size ();
      switch (rng () % 6)
        {
        case 0:
          s.insert (at, bits[rng () % G_N_ELEMENTS (bits)]);
          break;
        case 1:
          s.erase (at, 1 + rng () % 8);
          break;
        case 2:
          if (!s.empty ())
            s[at] = static_cast<char> (rng ());
          break;
        case 3:
          s.resize (at);
          break;
        case 4:
          s.insert (at, s.substr (at / 2, 1 + rng () % 40));
          break;
        default:
          if (!s.empty ())
            s[at] = static_cast<char> (s[at] ^ (1 << rng () % 8));
        }
    }
  return s;
}

class Fuzz : public testing::Test
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
  /* Tells how many findings came since the last call. */
  guint
  news ()
  {
    guint n = findings_count (&findings);
    findings_clear (&findings);
    findings_init (&findings);
    return n;
  }
  Findings findings;
};

TEST_F (Fuzz, Sheet)
{
  const std::string good =
      "# comment\nworkspace,weight,guarantee,max_accelerators,max_running,"
      "token_sha256\nalpha,3,2x8+1x4,40,,\n\"beta\",1,,,7,"
      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n";
  int taken = 0;
  for (guint32 seed = 1; seed <= rounds; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutated (good, rng);
      Sheet *s = sheet_parse (text.data (), text.size (), "f", &findings);
      ASSERT_EQ (s == nullptr, news () > 0) << seed;
      if (!s)
        continue;
      GString *back = sheet_print (s);
      EXPECT_EQ (std::string (back->str, back->len), text) << seed;
      g_string_free (back, TRUE);
      GPtrArray *none = sheet_diff (s, s);
      EXPECT_EQ (none->len, 0u);
      g_ptr_array_unref (none);
      sheet_free (s);
      taken++;
    }
  EXPECT_GT (taken, rounds / 60);
  EXPECT_LT (taken, rounds);
}

TEST_F (Fuzz, Settings)
{
  const std::string good =
      "{ // this host\n \"host\": \"h1\", \"domain\": \"d1\",\n"
      "\"peer_key\": \"0123456789abcdef\", /* spans */\n"
      "\"store_address\": \"127.0.0.1\", \"store_port\": 7000,\n"
      "\"heartbeat_ms\": 500, \"hosts\": [ { \"name\": \"h1\",\n"
      "\"domain\": \"d1\", \"region\": \"r1\", \"port\": 7001,\n"
      "\"address\": \"127.0.0.1\" } ] }\n";
  int taken = 0;
  Settings *whole = settings_parse (good.data (), good.size (), "f", &findings);
  char *why = findings_text (&findings);
  EXPECT_NE (whole, nullptr) << why;
  g_free (why);
  settings_free (whole);
  news ();
  for (guint32 seed = 1; seed <= rounds; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutated (good, rng);
      Settings *s = settings_parse (text.data (), text.size (), "f", &findings);
      ASSERT_EQ (s == nullptr, news () > 0) << seed << "\n" << text;
      taken += s != nullptr;
      settings_free (s);
    }
  EXPECT_GT (taken, rounds / 60);
  EXPECT_LT (taken, rounds);
}

/* A record of kind D with something in every field. */
void
fill (const RecDesc *d, void *rec, std::mt19937 &rng)
{
  for (guint i = 0; i < d->n_fields; i++)
    {
      const RecField *f = &d->fields[i];
      auto *at = static_cast<char *> (rec) + f->offset;
      if (f->type == REC_INT)
        *reinterpret_cast<gint64 *> (at) =
            f->min +
            static_cast<gint64> (rng () % static_cast<guint64> (
                                              MIN (f->max - f->min, 1000) + 1));
      else if (f->type == REC_STR)
        rec_set_str (reinterpret_cast<const char **> (at), "name");
      else if (f->type == REC_BYTES)
        *reinterpret_cast<GBytes **> (at) = g_bytes_new ("bytes", 5);
      else
        for (int n = 0; n < 2; n++)
          fill (f->item (),
                rec_list_add (f->item (), reinterpret_cast<RecList *> (at)),
                rng);
    }
}

TEST_F (Fuzz, EveryRecordAsMsgpack)
{
  int taken = 0;
  for (int kind = 0; kind < N_EVENT_KINDS; kind++)
    {
      const RecDesc *d = event_desc (static_cast<EventKind> (kind));
      std::mt19937 rng (static_cast<guint32> (kind) + 1);
      void *rec = rec_new (d);
      if (!rec)
        continue;
      fill (d, rec, rng);
      GBytes *b = rec_pack (d, rec);
      gsize n;
      auto *data = static_cast<const char *> (g_bytes_get_data (b, &n));
      for (int round = 0; round < rounds / 20; round++)
        {
          std::string text = round ? mutated (std::string (data, n), rng)
                                   : std::string (data, n);
          void *back = rec_new (d);
          bool ok = rec_unpack (d, back, text.data (), text.size (), &findings);
          EXPECT_EQ (!ok, news () > 0);
          EXPECT_TRUE (ok || round) << d->name;
          taken += ok;
          rec_free (d, back);
        }
      g_bytes_unref (b);
      rec_free (d, rec);
    }
  EXPECT_GT (taken, 0);
}

TEST_F (Fuzz, EventsOfATrace)
{
  MemberHeartbeat hb = {};
  hb.domain = "d1";
  Event *e = event_new (MSG_HEARTBEAT, 7, "h2", &hb);
  char *line = event_to_json (e, "h1");
  for (guint32 seed = 1; seed <= rounds; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutated (line, rng);
      char *node = nullptr;
      Event *back = event_from_json (text.c_str (), "f", &node, &findings);
      EXPECT_EQ (back == nullptr, news () > 0) << text;
      event_free (back);
      g_free (node);
    }
  g_free (line);
  event_free (e);
}

} // namespace
