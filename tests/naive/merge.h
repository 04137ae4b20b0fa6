#ifndef NAIVE_MERGE_H
#define NAIVE_MERGE_H

#include <map>
#include <set>
#include <string>

/* The merge by the book, over maps: a table is a map from workspace to a
   map from column to cell. */
typedef std::map<std::string, std::map<std::string, std::string> > NaiveTable;

/* Rows without their empty cells. */
inline NaiveTable
naive_normal (const NaiveTable &t)
{
  NaiveTable out;
  for (auto &row : t)
    {
      out[row.first];
      for (auto &cell : row.second)
        if (!cell.second.empty ())
          out[row.first][cell.first] = cell.second;
    }
  return out;
}

/* Merges one row, absent as NULL, by the rule: what only one side changed
   is taken, what both changed alike is taken once, all else conflicts. */
inline bool
naive_merge_row (const std::map<std::string, std::string> *base,
                 const std::map<std::string, std::string> *mine,
                 const std::map<std::string, std::string> *theirs,
                 bool *present,
                 std::map<std::string, std::string> *out)
{
  auto same = [] (auto *a, auto *b) {
    return (!a && !b) || (a && b && *a == *b);
  };
  std::set<std::string> columns;
  const std::map<std::string, std::string> empty;

  *present = true;
  if (same (mine, theirs) || same (base, theirs) || same (base, mine))
    {
      auto *pick = same (base, mine) ? theirs : mine;
      *present = pick != nullptr;
      *out = pick ? *pick : empty;
      return true;
    }
  if (!base || !mine || !theirs)
    return false;
  for (auto *t : { base, mine, theirs })
    for (auto &cell : *t)
      columns.insert (cell.first);
  for (auto &column : columns)
    {
      auto at = [&] (auto *t) {
        auto i = t->find (column);
        return i == t->end () ? std::string () : i->second;
      };
      std::string b = at (base), m = at (mine), t = at (theirs);
      if (m != b && t != b && m != t)
        return false;
      (*out)[column] = m != b ? m : t;
    }
  return true;
}

/* Merges what leads from BASE to MINE into THEIRS.  Returns false on any
   conflict. */
inline bool
naive_merge (const NaiveTable &base0,
             const NaiveTable &mine0,
             const NaiveTable &theirs0,
             NaiveTable *out)
{
  NaiveTable base = naive_normal (base0), mine = naive_normal (mine0),
             theirs = naive_normal (theirs0);
  std::set<std::string> names;
  for (auto *t : { &base, &mine, &theirs })
    for (auto &row : *t)
      names.insert (row.first);
  for (auto &name : names)
    {
      auto row = [&] (NaiveTable &t) {
        auto i = t.find (name);
        return i == t.end () ? nullptr : &i->second;
      };
      bool present;
      std::map<std::string, std::string> merged;
      if (!naive_merge_row (row (base), row (mine), row (theirs), &present,
                            &merged))
        return false;
      if (present)
        (*out)[name] = merged;
    }
  return true;
}

#endif
