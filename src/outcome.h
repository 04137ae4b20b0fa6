#ifndef OUTCOME_H
#define OUTCOME_H

/* What is known of a request at its end.  Not run is a promise: nothing
   of the request was ever executed. */
#define OUTCOMES(X)                                                            \
  X (OUTCOME_ANSWERED, "answered")                                             \
  X (OUTCOME_FAILED, "failed")                                                 \
  X (OUTCOME_NOT_RUN, "not run")                                               \
  X (OUTCOME_UNKNOWN, "unknown")

#define OUTCOME_ENUM(kind, name) kind,
typedef enum Outcome
{
  OUTCOMES (OUTCOME_ENUM) N_OUTCOMES
} Outcome;

/* How soon work is needed. */
#define WORK_CLASSES(X)                                                        \
  X (CLASS_INTERACTIVE, "interactive")                                         \
  X (CLASS_NORMAL, "normal")                                                   \
  X (CLASS_BATCH, "batch")

#define CLASS_ENUM(kind, name) kind,
typedef enum WorkClass
{
  WORK_CLASSES (CLASS_ENUM) N_CLASSES
} WorkClass;

const char *outcome_name (Outcome o);
const char *class_name (WorkClass c);
int class_from_name (const char *name);

#endif
