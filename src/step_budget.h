#ifndef STEP_BUDGET_H
#define STEP_BUDGET_H

#include "clock.h"

/* How many pieces of work that can wait one step of an event loop takes on, so
   that what is urgent is looked at often, however slow the processor is. */
typedef struct StepBudget
{
  guint pieces;
  ClockMs lag; /* how long work that can wait has to wait by now */
} StepBudget;

void step_budget_init (StepBudget *b);
void step_budget_on_step (StepBudget *b, ClockMs span, guint n_waiting);

#endif
