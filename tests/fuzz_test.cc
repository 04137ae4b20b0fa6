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

/* Decoders on seeded mutations of valid input: a decoder must either accept
   its input without a finding, or reject it with at least one finding.  Bounds
   on the number of accepted inputs show that the mutations reach both
   cases. */

namespace
{

const int n_mutated_inputs = 3000;

/* Returns TEXT after one to three random edits: insertion of a fragment that
   CSV, JSON or msgpack decoders treat specially, erasure, replacement of a
   byte, truncation, repetition of an earlier part, or a flipped bit. */
std::string
mutate (std::string text, std::mt19937 &rng)
{
  static const std::string fragments[] = { "\"",
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
      gsize pos = text.empty () ? 0 : rng () % text.size ();
      switch (rng () % 6)
        {
        case 0:
          text.insert (pos, fragments[rng () % G_N_ELEMENTS (fragments)]);
          break;
        case 1:
          text.erase (pos, 1 + rng () % 8);
          break;
        case 2:
          if (!text.empty ())
            text[pos] = static_cast<char> (rng ());
          break;
        case 3:
          text.resize (pos);
          break;
        case 4:
          text.insert (pos, text.substr (pos / 2, 1 + rng () % 40));
          break;
        default:
          if (!text.empty ())
            text[pos] = static_cast<char> (text[pos] ^ (1 << rng () % 8));
        }
    }
  return text;
}

class DecoderFuzz : public testing::Test
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
  /* Returns the number of findings since the last call and clears them. */
  guint
  take_finding_count ()
  {
    guint n = findings_count (&findings);
    findings_clear (&findings);
    findings_init (&findings);
    return n;
  }
  Findings findings;
};

/* An accepted table must also print back byte for byte and have no difference
   from itself. */
TEST_F (DecoderFuzz, MutatedTableIsReproducedExactlyOrReported)
{
  const std::string good =
      "# comment\nworkspace,weight,guarantee,max_accelerators,max_running,"
      "token_sha256\nalpha,3,2x8+1x4,40,,\n\"beta\",1,,,7,"
      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n";
  int n_accepted = 0;
  for (guint32 seed = 1; seed <= n_mutated_inputs; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutate (good, rng);
      Sheet *s = sheet_parse (text.data (), text.size (), "f", &findings);
      ASSERT_EQ (s == nullptr, take_finding_count () > 0) << seed;
      if (!s)
        continue;
      GString *printed = sheet_print (s);
      EXPECT_EQ (std::string (printed->str, printed->len), text) << seed;
      g_string_free (printed, TRUE);
      GPtrArray *no_changes = sheet_diff (s, s);
      EXPECT_EQ (no_changes->len, 0u);
      g_ptr_array_unref (no_changes);
      sheet_free (s);
      n_accepted++;
    }
  EXPECT_GT (n_accepted, n_mutated_inputs / 60);
  EXPECT_LT (n_accepted, n_mutated_inputs);
}

TEST_F (DecoderFuzz, MutatedSettingsAreAcceptedOrReported)
{
  const std::string good =
      "{ // this host\n \"host\": \"h1\", \"domain\": \"d1\",\n"
      "\"peer_key\": \"0123456789abcdef\", /* spans */\n"
      "\"store_address\": \"127.0.0.1\", \"store_port\": 7000,\n"
      "\"heartbeat_ms\": 500, \"hosts\": [ { \"name\": \"h1\",\n"
      "\"domain\": \"d1\", \"region\": \"r1\", \"port\": 7001,\n"
      "\"address\": \"127.0.0.1\" } ] }\n";
  int n_accepted = 0;
  Settings *unmutated =
      settings_parse (good.data (), good.size (), "f", &findings);
  char *errors = findings_text (&findings);
  EXPECT_NE (unmutated, nullptr) << errors;
  g_free (errors);
  settings_free (unmutated);
  take_finding_count ();
  for (guint32 seed = 1; seed <= n_mutated_inputs; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutate (good, rng);
      Settings *s = settings_parse (text.data (), text.size (), "f", &findings);
      ASSERT_EQ (s == nullptr, take_finding_count () > 0) << seed << "\n"
                                                          << text;
      n_accepted += s != nullptr;
      settings_free (s);
    }
  EXPECT_GT (n_accepted, n_mutated_inputs / 60);
  EXPECT_LT (n_accepted, n_mutated_inputs);
}

/* Sets every field of REC, a record of type D, to a valid value; lists get two
   items. */
void
fill_record (const RecDesc *d, void *rec, std::mt19937 &rng)
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
          fill_record (f->item (),
                       rec_list_add (f->item (),
                                     reinterpret_cast<RecList *> (at)),
                       rng);
    }
}

/* Covers the record of each event kind; round 0 decodes it unmutated, which
   must succeed. */
TEST_F (DecoderFuzz, MutatedMsgpackRecordsAreAcceptedOrReported)
{
  int n_accepted = 0;
  for (int kind = 0; kind < N_EVENT_KINDS; kind++)
    {
      const RecDesc *d = event_desc (static_cast<EventKind> (kind));
      std::mt19937 rng (static_cast<guint32> (kind) + 1);
      void *rec = rec_new (d);
      if (!rec)
        continue;
      fill_record (d, rec, rng);
      GBytes *b = rec_pack (d, rec);
      gsize n;
      auto *data = static_cast<const char *> (g_bytes_get_data (b, &n));
      for (int round = 0; round < n_mutated_inputs / 20; round++)
        {
          std::string text = round ? mutate (std::string (data, n), rng)
                                   : std::string (data, n);
          void *back = rec_new (d);
          bool ok = rec_unpack (d, back, text.data (), text.size (), &findings);
          EXPECT_EQ (!ok, take_finding_count () > 0);
          EXPECT_TRUE (ok || round) << d->name;
          n_accepted += ok;
          rec_free (d, back);
        }
      g_bytes_unref (b);
      rec_free (d, rec);
    }
  EXPECT_GT (n_accepted, 0);
}

TEST_F (DecoderFuzz, MutatedTraceEventsAreAcceptedOrReported)
{
  MemberHeartbeat heartbeat = {};
  heartbeat.domain = "d1";
  Event *e = event_new (MSG_HEARTBEAT, 7, "h2", &heartbeat);
  char *line = event_to_json (e, "h1");
  for (guint32 seed = 1; seed <= n_mutated_inputs; seed++)
    {
      std::mt19937 rng (seed);
      std::string text = mutate (line, rng);
      char *node = nullptr;
      Event *back = event_from_json (text.c_str (), "f", &node, &findings);
      EXPECT_EQ (back == nullptr, take_finding_count () > 0) << text;
      event_free (back);
      g_free (node);
    }
  g_free (line);
  event_free (e);
}

} // namespace
