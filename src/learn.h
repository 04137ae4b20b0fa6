#ifndef LEARN_H
#define LEARN_H

#include "fleet.h"

/* What is learnt of run times and memory, by workspace and kind of work, and
   of workers that fail what others run. */

enum
{
  LEARN_STRIKES = 3,              /* failures in a row that are remembered */
  LEARN_FIRST_BACKOFF_MS = 60000, /* doubled by each quarantine in a row */
  LEARN_MAX_BACKOFF_MS = 3600000,
  LEARN_MAX_QUARANTINED = 10 /* per cent of the workers */
};

/* A mean and a mean deviation that follow what is seen. */
typedef struct LearnMean
{
  gint64 mean;
  gint64 deviation;
  guint n;
} LearnMean;

typedef struct LearnKind
{
  LearnMean run_ms;
  LearnMean memory_mb;
} LearnKind;

typedef struct LearnWorker
{
  gint64 strikes[LEARN_STRIKES]; /* ids of jobs that failed, in a row */
  guint n_strikes;
  gboolean seen_well; /* ran something to its end since it last failed */
  gboolean quarantined;
  gboolean on_probe; /* back on trial: one more failure is enough */
  ClockMs until;
  ClockMs backoff;
} LearnWorker;

typedef struct Learn
{
  GHashTable *kinds; /* of LearnKind, by workspace and kind */
  GArray *workers;   /* of LearnWorker, by the fleet's index */
  guint n_quarantined;
} Learn;

typedef enum LearnVerdict
{
  LEARN_NOTHING,
  LEARN_BAD_WORKER,
  LEARN_BAD_JOB
} LearnVerdict;

void learn_init (Learn *l);
void learn_clear (Learn *l);
void learn_run (Learn *l, const FleetJob *j, ClockMs took);
void learn_memory (Learn *l, const FleetJob *j, gint64 used_mb);
ClockMs learn_run_ms (const Learn *l, const FleetJob *j);
gint64 learn_memory_mb (const Learn *l, const FleetJob *j);
LearnVerdict
learn_failed (Learn *l, Fleet *f, FleetJob *j, guint worker, ClockMs now);
void learn_succeeded (Learn *l, guint worker);
gboolean learn_next_probe (Learn *l, ClockMs now, guint *worker);
gboolean learn_is_quarantined (const Learn *l, guint worker);

#endif
