#ifndef RANK_H
#define RANK_H

#include "work.h"

/* In which order waiting steps are placed. */

/* What the order looks at; the least comes first. */
typedef struct RankKey
{
  guint band;  /* guaranteed, urgent, in time, late, beyond use */
  double cost; /* what decides inside a band */
  ClockMs accepted;
} RankKey;

RankKey rank_key (const WorkStep *step, ClockMs now);
int rank_compare (const RankKey *a, const RankKey *b);

#endif
