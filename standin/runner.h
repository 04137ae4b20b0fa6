#ifndef STANDIN_RUNNER_H
#define STANDIN_RUNNER_H

#include <glib.h>

#include "server.h"

/* One life of one of the platform's runners: its runs, their lease, the ends
   that nobody has acknowledged.  What it does is printed line by line, each
   with the time of a clock that all processes share. */

typedef struct Runner Runner;

/* What a runner has to give, and where it stands. */
typedef struct RunnerShape
{
  int cpu_milli;
  int mem_mb;
  int accelerators;
  int rack;
  const char *zone;
} RunnerShape;

/* What tells one life of a runner from others. */
typedef struct RunnerLife
{
  const char *id;
  gint64 born;  /* Unix milliseconds */
  ClockMs zero; /* where its clock begins, by server_now */
  int slow;     /* permille by which its clock is slow */
  ClockMs max_lease;
} RunnerLife;

/* What a runner's entry in the store says. */
typedef struct RunnerEntry
{
  const char *address;
  int port;
  RunnerShape shape;
  gint64 born;
  gboolean draining;
  ClockMs drain_remaining;
} RunnerEntry;

extern const RunnerShape runner_usual_shape;
extern const ClockMs runner_usual_max_lease;

Runner *runner_new (const RunnerLife *life);
void runner_on_request (Exchange *x, void *runner);
void runner_look (Runner *r);
void runner_print (const Runner *r, const char *what);
char *runner_entry_text (const RunnerEntry *e);

#endif
