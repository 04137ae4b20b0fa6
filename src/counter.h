#ifndef COUNTER_H
#define COUNTER_H

#include "event.h"

#define COUNTERS(X)                                                            \
  CORE_COUNTERS (X)                                                            \
  STORE_COUNTERS (X)                                                           \
  TABLE_COUNTERS (X)                                                           \
  MEMBER_COUNTERS (X)                                                          \
  REQ_COUNTERS (X)                                                             \
  SCHED_COUNTERS (X)                                                           \
  OPER_COUNTERS (X)

#define COUNTER_ENUM(kind, name, help) kind,
typedef enum Counter
{
  COUNTERS (COUNTER_ENUM) N_COUNTERS
} Counter;

/* A name that ends in _total only grows; every other one is a gauge. */
const char *counter_name (Counter n);
const char *counter_help (Counter n);

#endif
