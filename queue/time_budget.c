#include "time_budget.h"

enum
{
  ANSWER_MARGIN_MS = 250, /* for the answer's way to its caller at most ... */
  ANSWER_MARGIN_DIVISOR =
      4,                /* ... and at most one part in so many of its time */
  MIN_WRITE_MS = 40,    /* a round trip between regions */
  FIRST_HOST_MS = 2800, /* a caller with more left has tried no other host */
  NO_ANSWER_WAIT_MS = 400,
  REFUSED_WAIT_MS = 200,
  LATER_HOST_WAIT_MS = 1000,
  RETRY_AFTER_MS = 1000
};

/* Returns how long a request whose caller waits for PATIENCE may be tried, so
   that its answer is still in time. */
ClockMs
time_budget_processing (ClockMs remaining)
{
  return remaining -
         MIN ((ClockMs)ANSWER_MARGIN_MS, remaining / ANSWER_MARGIN_DIVISOR);
}

/* Tells whether a caller that waits for PATIENCE can hear of a write before
   it leaves.  One that can't is refused, so that nothing is stored of which
   it never hears. */
gboolean
time_budget_allows_write (ClockMs remaining)
{
  return remaining >= MIN_WRITE_MS;
}

/* Returns how long a request whose caller came with PATIENCE is tried at this
   host while the store does nothing for it.  With REFUSED the store has turned
   the calls down, else it has not answered, which may pass sooner.  Answers
   the load of a store that some hosts reach and others don't: the first host
   soon sends its callers on.  To those that come from another host the store
   seems to be away for all, and they are held until it may be back. */
ClockMs
time_budget_outage_wait (ClockMs remaining, gboolean refused)
{
  if (remaining < FIRST_HOST_MS)
    return LATER_HOST_WAIT_MS;
  return refused ? REFUSED_WAIT_MS : NO_ANSWER_WAIT_MS;
}

/* Returns when a refused caller that came with PATIENCE should come back;
   TRIED tells whether its request has been tried here.  Where it was, or no
   other host has been, the next host is worth trying at once. */
ClockMs
time_budget_retry_after (ClockMs remaining, gboolean tried)
{
  return tried || remaining >= FIRST_HOST_MS ? 0 : RETRY_AFTER_MS;
}
