#include "step_budget.h"

enum
{
  /* A leader's renewal and its answer each wait for a step at most; both have
     to fit several times into its lease. */
  TARGET_MS = 40,
  INITIAL_PIECES = 128,
  MIN_PIECES = 8,
  MAX_PIECES = 1024
};

/* Initializes B for a processor of unknown speed. */
void
step_budget_init (StepBudget *b)
{
  *b = (StepBudget) { .pieces = INITIAL_PIECES };
}

/* Adapts B to a step that took SPAN milliseconds and found N_WAITING pieces of
   work that can wait. */
void
step_budget_on_step (StepBudget *b, ClockMs span, guint n_waiting)
{
  b->lag = span * n_waiting / b->pieces;
  if (span > TARGET_MS)
    b->pieces =
        MAX ((guint)((ClockMs)b->pieces * TARGET_MS / span), MIN_PIECES);
  else if (n_waiting >= b->pieces && span <= TARGET_MS / 2)
    b->pieces = MIN (b->pieces * 3 / 2, MAX_PIECES);
}
