#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

extern "C"
{
#include "counter.h"
}

namespace
{

std::vector<std::string>
cells_of (const std::string &line)
{
  std::vector<std::string> cells;
  std::stringstream s (line);
  std::string cell;
  while (std::getline (s, cell, '|'))
    {
      gsize from = cell.find_first_not_of (" `");
      gsize to = cell.find_last_not_of (" `");
      cells.push_back (from == std::string::npos
                           ? ""
                           : cell.substr (from, to - from + 1));
    }
  return cells;
}

/* The operators' page names every counter with its unit and the same words
   as the program, and no counter that does not exist. */
TEST (Counters, ThePageListsEachWithItsUnit)
{
  std::ifstream page ("docs/operating/counters.md");
  ASSERT_TRUE (page.good ()) << "run from the root of the repository";
  std::map<std::string, std::vector<std::string> > rows;
  std::string line;
  while (std::getline (page, line))
    if (line.compare (0, 3, "| `") == 0)
      {
        auto cells = cells_of (line);
        ASSERT_EQ (cells.size (), 4u) << line;
        EXPECT_TRUE (rows.insert ({ cells[1], cells }).second)
            << line << " stands twice";
      }
  static const std::set<std::string> units = { "count",   "ms",       "bytes",
                                               "number",  "revision", "0 or 1",
                                               "permille" };
  for (int i = 0; i < N_COUNTERS; i++)
    {
      auto n = static_cast<Counter> (i);
      auto row = rows.find (counter_name (n));
      std::string wanted = std::string ("| `") + counter_name (n) +
                           "` | UNIT | " + counter_help (n) + " |";
      if (row == rows.end ())
        {
          ADD_FAILURE () << "docs/operating/counters.md lacks: " << wanted;
          continue;
        }
      EXPECT_EQ (units.count (row->second[2]), 1u) << wanted;
      EXPECT_EQ (row->second[3], counter_help (n));
      rows.erase (row);
    }
  for (auto &row : rows)
    ADD_FAILURE () << "docs/operating/counters.md lists " << row.first
                   << ", which does not exist";
}

TEST (Counters, NamesAreUniqueAndSayWhetherTheyOnlyGrow)
{
  std::set<std::string> names;
  for (int i = 0; i < N_COUNTERS; i++)
    {
      std::string name = counter_name (static_cast<Counter> (i));
      EXPECT_TRUE (names.insert (name).second) << name;
      EXPECT_EQ (
          name.find_first_not_of ("abcdefghijklmnopqrstuvwxyz0123456789_"),
          std::string::npos)
          << name;
    }
}

} // namespace
