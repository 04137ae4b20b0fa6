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
#include "metrics.h"
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

/* The name and text of every counter, the shell's too. */
std::map<std::string, std::string>
all_counters ()
{
  std::map<std::string, std::string> all;
  for (int i = 0; i < N_COUNTERS; i++)
    all[counter_name (static_cast<Counter> (i))] =
        counter_help (static_cast<Counter> (i));
#define ADD_COUNTER(kind, name, help) all[name] = help;
  SHELL_COUNTERS (ADD_COUNTER)
  return all;
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
  for (auto &c : all_counters ())
    {
      auto row = rows.find (c.first);
      if (row == rows.end ())
        {
          ADD_FAILURE () << c.first << " is missing: run tools/counters-page";
          continue;
        }
      EXPECT_EQ (units.count (row->second[2]), 1u) << c.first;
      EXPECT_EQ (row->second[3], c.second);
      rows.erase (row);
    }
  for (auto &row : rows)
    ADD_FAILURE () << "docs/operating/counters.md lists " << row.first
                   << ", which does not exist";
}

TEST (Counters, EveryNameIsUsedOnce)
{
  std::set<std::string> names;
  for (int i = 0; i < N_COUNTERS; i++)
    EXPECT_TRUE (names.insert (counter_name (static_cast<Counter> (i))).second)
        << counter_name (static_cast<Counter> (i));
}

} // namespace
