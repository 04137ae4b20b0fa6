#include "time_budget.h"

enum
{
  ANSWER_MARGIN_MS = 250, /* for the answer's way to its caller at most ... */
  ANSWER_SHARE = 4,       /* ... and at most one part in so many of its time */
  LEAST_MS = 40,          /* a round trip between regions */
  FRESH_MS = 2800,        /* a caller with more left has tried no other host */
  LOST_TRY_MS = 400,
  REFUSED_TRY_MS = 200,
  LATER_TRY_MS = 1000,
  RETRY_AFTER_MS = 1000
};

/* Returns how long a request whose caller waits for PATIENCE may be tried, so
   that its answer is still in time. */
ClockMs
patience_span (ClockMs patience)
{
  return patience - MIN ((ClockMs)ANSWER_MARGIN_MS, patience / ANSWER_SHARE);
}

/* Tells whether a caller that waits for PATIENCE can hear of a write before
   it leaves.  One that can't is refused, so that nothing is stored of which
   it never hears. */
gboolean
patience_suffices (ClockMs patience)
{
  return patience >= LEAST_MS;
}

/* Returns how long a request whose caller came with PATIENCE is tried at this
   host while the store does nothing for it.  With REFUSED the store has turned
   the calls down, else it has not answered, which may pass sooner.  Answers
   the load of a store that some hosts reach and others don't: the first host
   soon sends its callers on.  To those that come from another host the store
   seems to be away for all, and they are held until it may be back. */
ClockMs
patience_try_span (ClockMs patience, gboolean refused)
{
  if (patience < FRESH_MS)
    return LATER_TRY_MS;
  return refused ? REFUSED_TRY_MS : LOST_TRY_MS;
}

/* Returns when a refused caller that came with PATIENCE should come back;
   TRIED tells whether its request has been tried here.  Where it was, or no
   other host has been, the next host is worth trying at once. */
ClockMs
patience_retry_after (ClockMs patience, gboolean tried)
{
  return tried || patience >= FRESH_MS ? 0 : RETRY_AFTER_MS;
}
