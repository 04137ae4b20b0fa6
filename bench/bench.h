#ifndef BENCH_H
#define BENCH_H

#include <glib.h>

/* Whether a measure is good when it is small or when it is large. */
typedef enum BenchGoal
{
  BENCH_AT_MOST,
  BENCH_AT_LEAST
} BenchGoal;

/* One part of the bench; a part prints rows by bench_row. */
typedef struct BenchPart
{
  const char *name;
  void (*run) (void);
} BenchPart;

/* X (name): the function is bench_NAME, in bench/NAME.c. */
#define BENCH_PARTS(X)                                                         \
  X (core)                                                                     \
  X (req)                                                                      \
  X (place)                                                                    \
  X (sched)                                                                    \
  X (shared)

#define BENCH_DECLARE(name) void bench_##name (void);
BENCH_PARTS (BENCH_DECLARE)

void bench_row (const char *name,
                double ours,
                double base,
                BenchGoal goal,
                double target_ratio);
void bench_judge (const char *name,
                  double ours,
                  double base,
                  BenchGoal goal,
                  double target);
void bench_value (const char *name,
                  double ours,
                  const char *unit,
                  BenchGoal goal,
                  double target);
void bench_point (const char *curve, const char *series, double x, double y);
gint64 bench_ns (void);

#endif
