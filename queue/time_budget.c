#include "time_budget.h"

enum
{
  /* Time kept for sending the answer: this long, but not more than the
     REMAINING time divided by ANSWER_MARGIN_DIVISOR. */
  ANSWER_MARGIN_MS = 250,
  ANSWER_MARGIN_DIVISOR = 4,
  MIN_WRITE_MS = 40,    /* a round trip between regions */
  FIRST_HOST_MS = 2800, /* with more left, a caller has tried no other host */
  /* How long to try while the store is unavailable. */
  NO_ANSWER_WAIT_MS = 400,
  REFUSED_WAIT_MS = 200,
  LATER_HOST_WAIT_MS = 1000, /* for a caller that has tried another host */
  RETRY_AFTER_MS = 1000 /* after another host was tried, but not this one */
};

/* Returns how long a request may be processed so that its answer reaches the
   caller before the timeout. */
ClockMs
time_budget_processing (ClockMs remaining)
{
  return remaining -
         MIN ((ClockMs)ANSWER_MARGIN_MS, remaining / ANSWER_MARGIN_DIVISOR);
}

/* Returns whether the caller can learn the result of a write before its
   timeout.  Otherwise its request is refused, so that nothing is stored
   without the caller knowing. */
gboolean
time_budget_allows_write (ClockMs remaining)
{
  return remaining >= MIN_WRITE_MS;
}

/* Returns how long this host keeps trying a request while the store fails.
   REFUSED tells that the store refuses calls; otherwise it does not answer, and
   that is waited for longer because it may be over sooner.  When only some
   hosts reach the store, the first host soon sends the caller to another one.
   A caller that has tried another host is kept longer: the store is probably
   unavailable to all hosts, and may recover meanwhile. */
ClockMs
time_budget_outage_wait (ClockMs remaining, gboolean refused)
{
  if (remaining < FIRST_HOST_MS)
    return LATER_HOST_WAIT_MS;
  return refused ? REFUSED_WAIT_MS : NO_ANSWER_WAIT_MS;
}

/* Returns after how many milliseconds a refused caller should retry.  TRIED
   tells whether its request has been tried here.  If it has, or if the caller
   has tried no other host yet, it should try the next host at once. */
ClockMs
time_budget_retry_after (ClockMs remaining, gboolean tried)
{
  return tried || remaining >= FIRST_HOST_MS ? 0 : RETRY_AFTER_MS;
}
