#include "time_budget.h"

enum
{
  /* Time kept for sending the answer: this long, but not more than the
     REMAINING time divided by ANSWER_MARGIN_DIVISOR. */
  ANSWER_MARGIN_MS = 250,
  ANSWER_MARGIN_DIVISOR = 4,
  MIN_WRITE_MS = 40, /* a round trip between regions */
  /* A caller that has lost no more than this has tried no other host. */
  FIRST_TRY_LOSS_MS = 200,
  FIRST_TRY_LOSS_DIVISOR = 10, /* nor more than 1/10 of its time */
  /* How long to try for a caller's first try while the store is unavailable,
     at most, and as a part of the caller's time. */
  NO_ANSWER_WAIT_MS = 400,
  NO_ANSWER_DIVISOR = 6,
  REFUSED_WAIT_MS = 200,
  REFUSED_DIVISOR = 12,
  /* How long to try for a caller that has tried another host, or else how long
     that caller should wait: three tries span its time. */
  LATER_HOST_DIVISOR = 3
};

/* Returns how long a request may be processed so that its answer reaches the
   caller before the timeout, which is REMAINING ms away. */
ClockMs
time_budget_processing (ClockMs remaining)
{
  return remaining -
         MIN ((ClockMs)ANSWER_MARGIN_MS, remaining / ANSWER_MARGIN_DIVISOR);
}

/* Returns whether the caller can learn the result of a write before its
   timeout, which is REMAINING ms away.  Otherwise its request is refused, so
   that nothing is stored without the caller knowing. */
gboolean
time_budget_allows_write (ClockMs remaining)
{
  return remaining >= MIN_WRITE_MS;
}

static gboolean
is_first_try (const TimeBudget *b)
{
  return b->remaining >= b->total - MIN ((ClockMs)FIRST_TRY_LOSS_MS,
                                         b->total / FIRST_TRY_LOSS_DIVISOR);
}

/* Returns how long this host keeps trying a request while the store fails.
   REFUSED tells that the store refuses calls; otherwise it does not answer, and
   that is waited for longer because it may be over sooner.  When only some
   hosts reach the store, the first host soon sends the caller to another one.
   A caller that has tried another host is kept longer: the store is probably
   unavailable to all hosts, and may recover meanwhile. */
ClockMs
time_budget_outage_wait (const TimeBudget *b, gboolean refused)
{
  if (!is_first_try (b))
    return b->total / LATER_HOST_DIVISOR;
  return refused
             ? MIN ((ClockMs)REFUSED_WAIT_MS, b->total / REFUSED_DIVISOR)
             : MIN ((ClockMs)NO_ANSWER_WAIT_MS, b->total / NO_ANSWER_DIVISOR);
}

/* Returns after how many milliseconds a refused caller should retry.  TRIED
   tells whether its request has been tried here.  If it has, or if the caller
   has tried no other host yet, it should try the next host at once. */
ClockMs
time_budget_retry_after (const TimeBudget *b, gboolean tried)
{
  return tried || is_first_try (b) ? 0 : b->total / LATER_HOST_DIVISOR;
}
