#include "quota_pack.h"

#include <string.h>

enum
{
  QUOTA_SEARCH_STEPS = 2000
};

/* Puts N runs of SIZE into the bins of B that fit best.  Returns how many
   remain without a bin. */
static guint
pack_size (guint *bins, guint size, guint n)
{
  guint b;

  for (b = size; b < QUOTA_SIZES && n > 0; b++)
    {
      guint each = b / size;
      guint full = MIN (bins[b], n / each);

      bins[b] -= full;
      bins[b - each * size] += full;
      n -= full * each;
      if (n > 0 && n < each && bins[b] > 0)
        {
          bins[b]--;
          bins[b - n * size]++;
          n = 0;
        }
    }
  return n;
}

static gboolean
pack_greedy (const guint *need, const guint *bins)
{
  guint left[QUOTA_SIZES];
  guint size;

  memcpy (left, bins, sizeof left);
  for (size = FLEET_MAX_ACCELERATORS; size > 0; size--)
    if (need[size] && pack_size (left, size, need[size]))
      return FALSE;
  return TRUE;
}

/* Tells whether each size in NEED divides the next larger one.  Largest
   first is exact then: a run of one size takes the same room from the
   smaller ones in whichever bin it lies. */
static gboolean
is_chain (const guint *need)
{
  guint last = 0;
  guint size;

  for (size = 1; size < QUOTA_SIZES; size++)
    if (need[size])
      {
        if (last && size % last)
          return FALSE;
        last = size;
      }
  return TRUE;
}

typedef struct Search
{
  guint need[QUOTA_SIZES];
  guint bins[QUOTA_SIZES];
  guint steps;
} Search;

/* Tries every bin for each run, those of one size from bin size MOST
   down. */
static gboolean
pack_search (Search *s, guint size, guint most)
{
  guint b;

  while (size > 0 && !s->need[size])
    {
      size--;
      most = FLEET_MAX_ACCELERATORS;
    }
  if (size == 0)
    return TRUE;
  for (b = most; b >= size && s->steps < QUOTA_SEARCH_STEPS; b--)
    {
      gboolean found;

      if (!s->bins[b])
        continue;
      s->steps++;
      s->need[size]--;
      s->bins[b]--;
      s->bins[b - size]++;
      found = pack_search (s, size, b);
      s->bins[b - size]--;
      s->bins[b]++;
      s->need[size]++;
      if (found)
        return TRUE;
    }
  return FALSE;
}

static gboolean
has_volume (const guint *need, const guint *bins)
{
  guint64 wanted = 0;
  guint64 there = 0;
  guint i;

  for (i = 1; i < QUOTA_SIZES; i++)
    {
      wanted += (guint64)need[i] * i;
      there += (guint64)bins[i] * i;
    }
  return wanted <= there;
}

/* Tells whether NEED[N] runs of N accelerators, for all N, fit side by side
   into BINS[N] runs of N.  Exact when each size divides the next larger;
   otherwise the search for a packing is bounded, and FALSE may be wrong. */
gboolean
quota_pack (const guint *need, const guint *bins)
{
  Search s;

  if (!has_volume (need, bins))
    return FALSE;
  if (pack_greedy (need, bins))
    return TRUE;
  if (is_chain (need))
    return FALSE;
  memcpy (s.need, need, sizeof s.need);
  memcpy (s.bins, bins, sizeof s.bins);
  s.steps = 0;
  return pack_search (&s, FLEET_MAX_ACCELERATORS, FLEET_MAX_ACCELERATORS);
}
