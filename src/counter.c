#include "counter.h"

#define COUNTER_NAME(kind, name, help) name,
#define COUNTER_HELP(kind, name, help) help,

static const char *const names[] = { COUNTERS (COUNTER_NAME) };
static const char *const helps[] = { COUNTERS (COUNTER_HELP) };

/* Returns the name under which counter N is shown. */
const char *
counter_name (Counter n)
{
  return names[n];
}

/* Returns one sentence on what counter N counts. */
const char *
counter_help (Counter n)
{
  return helps[n];
}
