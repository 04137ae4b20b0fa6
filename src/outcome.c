#include "outcome.h"

#include <string.h>

#define OUTCOME_NAME(kind, name) name,

static const char *const outcome_names[] = { OUTCOMES (OUTCOME_NAME) };
static const char *const class_names[] = { WORK_CLASSES (OUTCOME_NAME) };

/* Returns the name of O as callers see it. */
const char *
outcome_name (Outcome o)
{
  return outcome_names[o];
}

/* Returns the name of C as callers write it. */
const char *
class_name (WorkClass c)
{
  return class_names[c];
}

/* Returns the class called NAME, -1 for none. */
int
class_from_name (const char *name)
{
  int i;

  for (i = 0; i < N_CLASSES; i++)
    if (strcmp (class_names[i], name) == 0)
      return i;
  return -1;
}
