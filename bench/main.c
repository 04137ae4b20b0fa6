#include "bench.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define BENCH_ENTRY(part) { .name = #part, .run = bench_##part },

static const char *
verdict (BenchGoal goal, double value, double target)
{
  gboolean ok = goal == BENCH_AT_MOST ? value <= target : value >= target;

  return ok ? "ok" : "short";
}

/* Prints the row of a measure that is judged by its ratio to a baseline of
   the same run. */
void
bench_row (const char *name,
           double ours,
           double base,
           BenchGoal goal,
           double target_ratio)
{
  double ratio = base != 0 ? ours / base : 0;

  printf ("bench %s ours=%.4g base=%.4g ratio=%.4g target=%s%.4g %s\n", name,
          ours, base, ratio, goal == BENCH_AT_MOST ? "<=" : ">=", target_ratio,
          verdict (goal, ratio, target_ratio));
}

/* Prints the row of a measure that is judged by its own value, beside that
   of a baseline of the same run. */
void
bench_judge (const char *name,
             double ours,
             double base,
             BenchGoal goal,
             double target)
{
  printf ("bench %s ours=%.4g base=%.4g ratio=%.4g target=%s%.4g(ours) %s\n",
          name, ours, base, base != 0 ? ours / base : 0,
          goal == BENCH_AT_MOST ? "<=" : ">=", target,
          verdict (goal, ours, target));
}

/* Prints the row of a measure that is judged by its own value, in UNIT. */
void
bench_value (const char *name,
             double ours,
             const char *unit,
             BenchGoal goal,
             double target)
{
  printf ("bench %s ours=%.4g%s base=none ratio=none target=%s%.4g%s %s\n",
          name, ours, unit, goal == BENCH_AT_MOST ? "<=" : ">=", target, unit,
          verdict (goal, ours, target));
}

/* Prints one point of SERIES in CURVE, for tools/bench-report to draw. */
void
bench_point (const char *curve, const char *series, double x, double y)
{
  printf ("point %s %s %.6g %.6g\n", curve, series, x, y);
}

/* Returns a monotonic time in nanoseconds. */
gint64
bench_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (gint64)t.tv_sec * 1000000000 + t.tv_nsec;
}

/* Usage: bench-all [PART].  Falling short of a target is no error. */
int
main (int argc, char **argv)
{
  static const BenchPart parts[] = { BENCH_PARTS (BENCH_ENTRY) };
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (parts); i++)
    if (argc < 2 || strcmp (argv[1], parts[i].name) == 0)
      parts[i].run ();
  return 0;
}
