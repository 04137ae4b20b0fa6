#include <gtest/gtest.h>

#include "naive/merge.h"

#include <random>

extern "C"
{
#include "sheet.h"
}

#include <string>

namespace
{

/* A parsed text with its findings. */
struct Parsed
{
  explicit Parsed (const std::string &text)
  {
    findings_init (&findings);
    sheet = sheet_parse (text.data (), text.size (), "t.csv", &findings);
  }
  ~Parsed ()
  {
    sheet_free (sheet);
    findings_clear (&findings);
  }
  Parsed (const Parsed &) = delete;
  Parsed &operator= (const Parsed &) = delete;
  std::string
  text () const
  {
    char *t = findings_text (&findings);
    std::string s = t;
    g_free (t);
    return s;
  }
  std::string
  print () const
  {
    GString *g = sheet_print (sheet);
    std::string s (g->str, g->len);
    g_string_free (g, TRUE);
    return s;
  }
  Findings findings;
  Sheet *sheet;
};

const char *const full =
    "# rules of the house\r\n"
    "weight,workspace,guarantee,max_accelerators,max_running,max_queued,"
    "requests_per_s,token_sha256\r\n"
    "\r\n"
    "3, \"alpha\" ,2x8+1x4,40,100,,50,\r\n"
    "# beta pays less\n"
    ",beta,,,,0\n";

TEST (TableSheet, EveryColumnIsReadInAnyOrder)
{
  Parsed p (full);
  ASSERT_NE (p.sheet, nullptr) << p.text ();
  ASSERT_EQ (sheet_n_workspaces (p.sheet), 2u);
  const Workspace *a = sheet_find (p.sheet, "alpha");
  EXPECT_EQ (a->weight, 3);
  ASSERT_EQ (a->n_shapes, 2u);
  EXPECT_EQ (a->guarantee[0].size, 8);
  EXPECT_EQ (a->guarantee[0].count, 2);
  EXPECT_EQ (a->guarantee[1].size, 4);
  EXPECT_EQ (a->max_accelerators, 40);
  EXPECT_EQ (a->max_queued, -1);
  EXPECT_EQ (a->requests_per_s, 50);
  const Workspace *b = sheet_find (p.sheet, "beta");
  EXPECT_EQ (b->weight, 1);
  EXPECT_EQ (b->max_queued, 0);
  EXPECT_EQ (b->index, 1u);
  EXPECT_STREQ (b->token_sha256, "");
}

TEST (TableSheet, PrintsBackByteForByte)
{
  for (std::string text :
       { std::string (full), std::string ("\xef\xbb\xbfworkspace\n a"),
         std::string ("workspace,weight\n\n\n#x\nq,1\n   \n") })
    {
      Parsed p (text);
      ASSERT_NE (p.sheet, nullptr) << p.text ();
      EXPECT_EQ (p.print (), text);
    }
}

TEST (TableSheet, AllFindingsComeTogetherWithLineColumnAndCell)
{
  Parsed p ("workspace,weight,colour,guarantee,max_accelerators\n"
            "a,-1,,2y8,1\n"
            "a,1.5,red,0x8,\n"
            "b c,99999999999,,,\n"
            "c,\"1,,,\n"
            "d,,,1x8,7\n"
            "e,,,,,extra\n");
  EXPECT_EQ (p.sheet, nullptr);
  EXPECT_EQ (
      p.text (),
      "t.csv:1: column \"colour\": there is no such column\n"
      "t.csv:2: column \"weight\": \"-1\" is not a whole number from 1 to "
      "1000000000\n"
      "t.csv:2: column \"guarantee\": \"2y8\" is not COUNTxSIZE, joined by "
      "\"+\", of at most 16 sizes\n"
      "t.csv:3: column \"workspace\": \"a\" already stands in line 2\n"
      "t.csv:3: column \"weight\": \"1.5\" is not a whole number from 1 to "
      "1000000000\n"
      "t.csv:3: column \"guarantee\": \"0x8\" is not COUNTxSIZE, joined by "
      "\"+\", of at most 16 sizes\n"
      "t.csv:4: column \"workspace\": \"b c\" is not a name of 1 to 64 "
      "letters, digits and \"._-\"\n"
      "t.csv:4: column \"weight\": \"99999999999\" is not a whole number from "
      "1 to 1000000000\n"
      "t.csv:5: a quote is not closed, or stands inside a cell\n"
      "t.csv:6: column \"max_accelerators\": \"7\" is less than the guarantee "
      "of the same row\n"
      "t.csv:7: cell 6 \"extra\" has no column\n");
}

TEST (TableSheet, HostileInputGetsFindings)
{
  struct
  {
    std::string text, says;
  } inputs[] = {
    { "", "t.csv: has no header line\n" },
    { "# only\n", "t.csv: has no header line\n" },
    { std::string ("work\0space\n", 11), "t.csv:1: byte 5 is NUL\n" },
    { "workspace\na\xff\n", "t.csv:2: byte 2 is not UTF-8\n" },
    { "workspace\ra\n", "t.csv:1: a carriage return stands inside the line\n" },
    { "weight\n1\n", "t.csv:1: column \"workspace\": is missing\n" },
    { "workspace,workspace\n",
      "t.csv:1: column \"workspace\": stands twice\n" },
    { "workspace\n" + std::string (1 << 20, 'a'),
      "t.csv:2: cell 1 is longer than 512 bytes\n" },
    { "workspace,token_sha256\na,zz\n",
      "t.csv:2: column \"token_sha256\": \"zz\" is not 64 hexadecimal "
      "digits\n" },
  };
  for (auto &i : inputs)
    {
      Parsed p (i.text);
      EXPECT_EQ (p.sheet, nullptr);
      EXPECT_EQ (p.text (), i.says);
    }
  EXPECT_EQ (Parsed (std::string (1 << 20, '"')).sheet, nullptr);
  EXPECT_EQ (Parsed (std::string (1 << 20, ',')).sheet, nullptr);
}

std::string
fleet_findings (const std::string &text, std::vector<SheetWorker> workers)
{
  Parsed p (text);
  Findings f;
  findings_init (&f);
  sheet_check_fleet (p.sheet, workers.data (),
                     static_cast<guint> (workers.size ()), "t.csv", &f);
  char *t = findings_text (&f);
  std::string s = t;
  g_free (t);
  findings_clear (&f);
  return s;
}

TEST (TableSheet, GuaranteesMustPackOntoTheFleet)
{
  std::vector<SheetWorker> workers = { { "d", "r1", 8 },
                                       { "d", "r1", 8 },
                                       { "d", "r2", 8 },
                                       { "e", "r2", 4 } };
  EXPECT_EQ (fleet_findings ("workspace,guarantee\na,2x8\nb,1x8+1x4\n",
                             workers),
             "");
  EXPECT_EQ (fleet_findings ("workspace,guarantee\na,2x8\nb,2x8\nc,\n",
                             workers),
             "t.csv: column \"guarantee\": a 16 + b 16 = 32 accelerators, the "
             "fleet has 28\n");
  EXPECT_EQ (fleet_findings ("workspace,guarantee\na,3x6\nb,1x7\n", workers),
             "t.csv: column \"guarantee\": 3 gangs of 6 adjacent accelerators "
             "are promised; beside the larger gangs 2 fit\n");
}

TEST (TableSheet, ConflictNamesBothValuesAndCommentsOfBothStay)
{
  Parsed base ("workspace,weight\n# old\na,1\nb,2\n");
  Parsed mine ("workspace,weight,max_running\n# mine\na,5,\nb,2,9\n");
  Parsed theirs ("workspace,weight\n# old\na,1\n# theirs\nb,3\nc,1\n");
  Parsed clash ("workspace,weight\na,7\nb,2\n");
  Findings f;
  findings_init (&f);
  GString *g = sheet_merge (base.sheet, mine.sheet, theirs.sheet, &f);
  ASSERT_NE (g, nullptr);
  EXPECT_STREQ (g->str, "workspace,weight,max_running\n# mine\na,5\n# theirs\n"
                        "b,3,9\nc,1\n");
  g_string_free (g, TRUE);
  EXPECT_EQ (sheet_merge (base.sheet, clash.sheet, mine.sheet, &f), nullptr);
  char *t = findings_text (&f);
  EXPECT_STREQ (t, "workspace \"a\", column \"weight\": your edit has \"7\", "
                   "the table in force \"5\"\n");
  g_free (t);
  findings_clear (&f);
}

/* A random small table: few rows and columns, so that edits meet. */
NaiveTable
random_table (std::mt19937 &rng)
{
  NaiveTable t;
  for (const char *row : { "a", "b", "c", "d" })
    if (rng () % 3)
      for (const char *column : { "weight", "max_running", "max_queued" })
        t[row][column] = rng () % 2 ? std::to_string (1 + rng () % 3) : "";
  return t;
}

/* T with up to three random changes. */
NaiveTable
changed (NaiveTable t, std::mt19937 &rng)
{
  static const char *const rows[] = { "a", "b", "c", "d", "e" };
  static const char *const columns[] = { "weight", "max_running",
                                         "max_queued" };
  for (guint n = rng () % 5; n; n--)
    {
      const char *row = rows[rng () % 5];
      if (rng () % 6 == 0)
        t.erase (row);
      else
        t[row][columns[rng () % 3]] =
            rng () % 4 ? std::to_string (1 + rng () % 4) : "";
    }
  return t;
}

/* T as text with its columns and rows in random order, some of the empty
   columns left out, and comments between. */
std::string
text_of (const NaiveTable &t, std::mt19937 &rng)
{
  std::vector<std::string> columns = { "workspace", "weight", "max_running",
                                       "max_queued" };
  std::vector<std::string> rows;
  std::string text;
  std::shuffle (columns.begin (), columns.end (), rng);
  for (auto &r : t)
    rows.push_back (r.first);
  std::shuffle (rows.begin (), rows.end (), rng);
  for (auto &c : columns)
    text += (text.empty () ? "" : ",") + c;
  text += "\n";
  for (auto &r : rows)
    {
      std::string line;
      if (rng () % 4 == 0)
        text += "# about " + r + "\n";
      for (gsize i = 0; i < columns.size (); i++)
        {
          auto cell = t.at (r).find (columns[i]);
          std::string value = columns[i] == "workspace" ? r
                              : cell == t.at (r).end () ? ""
                                                        : cell->second;
          line += (i ? "," : "") + (rng () % 3 ? value : "\"" + value + "\"");
        }
      text += line + "\n";
    }
  return text;
}

NaiveTable
table_of (const Sheet *s)
{
  NaiveTable t;
  for (guint i = 0; i < sheet_n_workspaces (s); i++)
    for (SheetColumn column :
         { SHEET_WEIGHT, SHEET_MAX_RUNNING, SHEET_MAX_QUEUED })
      {
        const char *name = sheet_workspace (s, i)->name;
        t[name][sheet_column_name (column)] = sheet_cell (s, name, column);
      }
  return t;
}

TEST (TableMerge, AgreesWithTheNaiveMerge)
{
  int merged = 0, conflicts = 0;
  for (guint32 seed = 1; seed <= 6000; seed++)
    {
      std::mt19937 rng (seed);
      NaiveTable base = random_table (rng);
      NaiveTable mine = changed (base, rng);
      NaiveTable theirs = changed (base, rng);
      Parsed b (text_of (base, rng));
      Parsed m (text_of (mine, rng));
      Parsed t (text_of (theirs, rng));
      ASSERT_TRUE (b.sheet && m.sheet && t.sheet);
      Findings f;
      findings_init (&f);
      GString *g = sheet_merge (b.sheet, m.sheet, t.sheet, &f);
      NaiveTable want;
      bool ok = naive_merge (base, mine, theirs, &want);
      EXPECT_EQ (g != nullptr, ok) << "seed " << seed;
      if (g && ok)
        {
          Parsed result (std::string (g->str, g->len));
          ASSERT_NE (result.sheet, nullptr) << "seed " << seed << "\n"
                                            << result.text () << g->str;
          EXPECT_EQ (naive_normal (table_of (result.sheet)),
                     naive_normal (want))
              << "seed " << seed << "\n"
              << g->str;
          merged++;
        }
      else
        conflicts++;
      if (g)
        g_string_free (g, TRUE);
      findings_clear (&f);
      if (testing::Test::HasFailure ())
        break;
    }
  EXPECT_GT (merged, 1000);
  EXPECT_GT (conflicts, 1000);
}

/* Diff is what leads from one table to the other: applied to the first by
   a merge without a third side, it gives the second. */
TEST (TableMerge, TheDiffLeadsFromOneTableToTheOther)
{
  for (guint32 seed = 1; seed <= 500; seed++)
    {
      std::mt19937 rng (seed);
      NaiveTable base = random_table (rng);
      NaiveTable mine = changed (base, rng);
      Parsed b (text_of (base, rng));
      Parsed m (text_of (mine, rng));
      Findings f;
      findings_init (&f);
      GString *g = sheet_merge (b.sheet, m.sheet, b.sheet, &f);
      ASSERT_NE (g, nullptr);
      Parsed result (std::string (g->str, g->len));
      GPtrArray *rest = sheet_diff (result.sheet, m.sheet);
      GPtrArray *changes = sheet_diff (b.sheet, m.sheet);
      EXPECT_EQ (rest->len, 0u) << "seed " << seed;
      EXPECT_EQ (changes->len == 0, naive_normal (base) == naive_normal (mine));
      g_ptr_array_unref (changes);
      g_ptr_array_unref (rest);
      g_string_free (g, TRUE);
      findings_clear (&f);
    }
}

} // namespace
