#ifndef RANK_H
#define RANK_H

#include "work.h"

/* The order in which waiting steps are placed. */

/* Sort key of a waiting step, compared field by field; the lowest comes
   first. */
typedef struct RankKey
{
  guint band;       /* guaranteed, urgent, in time, late, very late */
  double cost;      /* order inside a band: remaining core ms x weight */
  ClockMs accepted; /* earlier first among equals */
} RankKey;

RankKey rank_key (const WorkStep *step, ClockMs now);
int rank_compare (const RankKey *a, const RankKey *b);

#endif
