#include "learn.h"

#include <string.h>

enum
{
  LEARN_SHIFT = 3,     /* a new value counts for an eighth */
  LEARN_DEVIATIONS = 2 /* above the mean, so that few go beyond */
};

/* Makes L know nothing. */
void
learn_init (Learn *l)
{
  memset (l, 0, sizeof *l);
  l->kinds =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  l->workers = g_array_new (FALSE, TRUE, sizeof (LearnWorker));
}

/* Releases what L holds. */
void
learn_clear (Learn *l)
{
  g_hash_table_unref (l->kinds);
  g_array_unref (l->workers);
}

static gint64
kind_key (const FleetJob *j)
{
  return ((gint64)j->workspace << 32) + j->kind;
}

static const LearnKind *
find_kind (const Learn *l, const FleetJob *j)
{
  gint64 key = kind_key (j);

  return g_hash_table_lookup (l->kinds, &key);
}

static LearnKind *
get_kind (Learn *l, const FleetJob *j)
{
  gint64 key = kind_key (j);
  LearnKind *k = g_hash_table_lookup (l->kinds, &key);

  if (!k)
    {
      gint64 *own = g_new (gint64, 1);

      *own = key;
      k = g_new0 (LearnKind, 1);
      g_hash_table_insert (l->kinds, own, k);
    }
  return k;
}

static void
mean_add (LearnMean *m, gint64 value)
{
  gint64 off = value - m->mean;

  if (m->n++ == 0)
    {
      m->mean = value;
      m->deviation = value / 2;
      return;
    }
  m->mean += off / (1 << LEARN_SHIFT);
  m->deviation += (ABS (off) - m->deviation) / (1 << LEARN_SHIFT);
}

/* Notes that J TOOK so many milliseconds from start to end. */
void
learn_run (Learn *l, const FleetJob *j, ClockMs took)
{
  mean_add (&get_kind (l, j)->run_ms, took);
}

/* Notes that a part of J was seen to use USED_MB of memory. */
void
learn_memory (Learn *l, const FleetJob *j, gint64 used_mb)
{
  mean_add (&get_kind (l, j)->memory_mb, used_mb);
}

static gint64
mean_upper (const LearnMean *m)
{
  return m->mean + LEARN_DEVIATIONS * m->deviation;
}

/* Returns how long J will hardly exceed: by what its kind has taken, or else
   twice what was declared; CLOCK_NEVER when nothing is known. */
ClockMs
learn_run_ms (const Learn *l, const FleetJob *j)
{
  const LearnKind *k = find_kind (l, j);

  if (k && k->run_ms.n)
    return MAX (mean_upper (&k->run_ms), 1);
  return j->run_ms > 0 ? 2 * j->run_ms : CLOCK_NEVER;
}

/* Returns the memory that a part of J will hardly exceed, in MB: what its
   kind has used, or else what was declared. */
gint64
learn_memory_mb (const Learn *l, const FleetJob *j)
{
  const LearnKind *k = find_kind (l, j);

  return k && k->memory_mb.n ? mean_upper (&k->memory_mb) : j->memory_mb;
}

static LearnWorker *
worker_at (Learn *l, guint i)
{
  if (l->workers->len <= i)
    g_array_set_size (l->workers, i + 1);
  return &g_array_index (l->workers, LearnWorker, i);
}

/* Tells whether worker I is in quarantine. */
gboolean
learn_is_quarantined (const Learn *l, guint i)
{
  return i < l->workers->len &&
         g_array_index (l->workers, LearnWorker, i).quarantined;
}

static gboolean
may_quarantine (const Learn *l, const Fleet *f)
{
  return l->n_quarantined * 100 < f->workers->len * LEARN_MAX_QUARANTINED;
}

static void
quarantine (Learn *l, Fleet *f, guint i, ClockMs now)
{
  LearnWorker *w = worker_at (l, i);

  w->backoff = w->backoff ? MIN (2 * w->backoff, LEARN_MAX_BACKOFF_MS)
                          : LEARN_FIRST_BACKOFF_MS;
  w->until = now + w->backoff;
  w->quarantined = TRUE;
  w->on_probe = FALSE;
  w->n_strikes = 0;
  l->n_quarantined++;
  fleet_set_usable (f, i, FALSE);
}

static gboolean
has_two_jobs (const LearnWorker *w)
{
  guint i;

  for (i = 1; i < w->n_strikes; i++)
    if (w->strikes[i] != w->strikes[0])
      return TRUE;
  return FALSE;
}

static void
strike (LearnWorker *w, gint64 job)
{
  if (w->n_strikes == LEARN_STRIKES)
    memmove (w->strikes, w->strikes + 1,
             (LEARN_STRIKES - 1) * sizeof w->strikes[0]);
  else
    w->n_strikes++;
  w->strikes[w->n_strikes - 1] = job;
}

static void
unstrike (LearnWorker *w, gint64 job)
{
  guint n = 0;
  guint i;

  for (i = 0; i < w->n_strikes; i++)
    if (w->strikes[i] != job)
      w->strikes[n++] = w->strikes[i];
  w->n_strikes = n;
}

/* A worker is healthy evidence against a job when it ran other work to its
   end and no other job has failed there since. */
static gboolean
is_evidence (const LearnWorker *w, gint64 job)
{
  guint i;

  for (i = 0; i < w->n_strikes; i++)
    if (w->strikes[i] != job)
      return FALSE;
  return w->seen_well && !w->on_probe;
}

static gboolean
count_against_job (FleetJob *j, guint worker)
{
  guint i;

  for (i = 0; i < j->n_failures; i++)
    if (j->failed_on[i] == worker)
      return FALSE;
  if (j->n_failures < FLEET_MAX_FAILURES)
    j->failed_on[j->n_failures++] = worker;
  return j->n_failures == FLEET_MAX_FAILURES;
}

/* Notes that J failed on worker I of F at NOW.  LEARN_BAD_JOB: it has now
   failed on FLEET_MAX_FAILURES distinct workers that run other work well,
   and its failures no longer count against them.  LEARN_BAD_WORKER: the
   worker failed LEARN_STRIKES times in a row, by more than one job, and is
   out of use until a probe; never more than a tenth of the fleet at once. */
LearnVerdict
learn_failed (Learn *l, Fleet *f, FleetJob *j, guint i, ClockMs now)
{
  LearnWorker *w = worker_at (l, i);
  guint k;

  if (is_evidence (w, j->id) && count_against_job (j, i))
    {
      for (k = 0; k < j->n_failures; k++)
        unstrike (worker_at (l, j->failed_on[k]), j->id);
      return LEARN_BAD_JOB;
    }
  strike (w, j->id);
  if (w->quarantined || !may_quarantine (l, f))
    return LEARN_NOTHING;
  if (!w->on_probe && !(w->n_strikes == LEARN_STRIKES && has_two_jobs (w)))
    return LEARN_NOTHING;
  quarantine (l, f, i, now);
  return LEARN_BAD_WORKER;
}

/* Notes that a part ended well on worker I, which clears it. */
void
learn_succeeded (Learn *l, guint i)
{
  LearnWorker *w = worker_at (l, i);

  w->n_strikes = 0;
  w->seen_well = TRUE;
  if (w->on_probe)
    w->backoff = 0;
  w->on_probe = FALSE;
}

/* Finds a worker whose quarantine is over at NOW and sets WORKER: it is on
   probe from here on, and the caller makes it usable if it is up. */
gboolean
learn_next_probe (Learn *l, ClockMs now, guint *worker)
{
  guint i;

  if (l->n_quarantined == 0)
    return FALSE;
  for (i = 0; i < l->workers->len; i++)
    {
      LearnWorker *w = worker_at (l, i);

      if (!w->quarantined || w->until > now)
        continue;
      w->quarantined = FALSE;
      w->on_probe = TRUE;
      l->n_quarantined--;
      *worker = i;
      return TRUE;
    }
  return FALSE;
}
