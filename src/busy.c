#include "busy.h"

#include <time.h>

enum
{
  LOG_INTERVAL_MS = 5000
};

static const gint64 us_per_s = 1000000;
static const gint64 ns_per_us = 1000;
static const gint64 us_per_ms = 1000;

struct Busy
{
  BusyKind kind; /* of the work since SINCE_US */
  gint64 since_us;
  gint64 step_us; /* spent in the present step, waiting apart */
  gint64 total_us[N_BUSY_KINDS];
  gint64 n_steps;
  gint64 logged_us[N_BUSY_KINDS]; /* TOTAL_US at the last log line */
  gint64 logged_steps;
  gint64 longest_us; /* step since the last log line */
  ClockMs logged_at;
};

static const char *
kind_name (BusyKind kind)
{
#define BUSY_NAME(kind, name) [kind] = (name),
  static const char *const names[] = { BUSY_KINDS (BUSY_NAME) };

  return names[kind];
}

static gint64
clock_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * us_per_s + t.tv_nsec / ns_per_us;
}

/* Returns new counters; the work that follows counts as BUSY_TICK. */
Busy *
busy_new (void)
{
  Busy *b = g_new0 (Busy, 1);

  b->kind = BUSY_TICK;
  b->since_us = clock_us ();
  return b;
}

/* Frees B. */
void
busy_free (Busy *b)
{
  g_free (b);
}

/* Ends the work of the present kind and begins that of KIND. */
void
busy_switch (Busy *b, BusyKind kind)
{
  gint64 now_us = clock_us ();
  gint64 span_us = now_us - b->since_us;

  b->total_us[b->kind] += span_us;
  if (b->kind != BUSY_IDLE)
    b->step_us += span_us;
  b->kind = kind;
  b->since_us = now_us;
}

/* Counts a turn of the loop as ended. */
void
busy_end_step (Busy *b)
{
  busy_switch (b, b->kind);
  b->longest_us = MAX (b->longest_us, b->step_us);
  b->step_us = 0;
  b->n_steps++;
}

/* Appends the counters to TEXT, one per line. */
void
busy_append_metrics (const Busy *b, GString *text)
{
  guint i;

  for (i = 0; i < N_BUSY_KINDS; i++)
    g_string_append_printf (
        text, "wagtailpass_busy_ms_total{kind=\"%s\"} %" G_GINT64_FORMAT "\n",
        kind_name (i), b->total_us[i] / us_per_ms);
  g_string_append_printf (text,
                          "wagtailpass_steps_total %" G_GINT64_FORMAT "\n",
                          b->n_steps);
}

/* Returns a log line of where the time went since the last one, in
   milliseconds, or NULL if that was less than LOG_INTERVAL_MS ago; the caller
   frees it. */
char *
busy_log_line (Busy *b, ClockMs now)
{
  GString *line;
  guint i;

  if (now < b->logged_at + LOG_INTERVAL_MS)
    return NULL;
  line = g_string_new (NULL);
  g_string_printf (line,
                   "event=busy steps=%" G_GINT64_FORMAT
                   " longest_ms=%" G_GINT64_FORMAT,
                   b->n_steps - b->logged_steps, b->longest_us / us_per_ms);
  for (i = 0; i < N_BUSY_KINDS; i++)
    {
      g_string_append_printf (line, " %s_ms=%" G_GINT64_FORMAT, kind_name (i),
                              (b->total_us[i] - b->logged_us[i]) / us_per_ms);
      b->logged_us[i] = b->total_us[i];
    }
  b->logged_steps = b->n_steps;
  b->longest_us = 0;
  b->logged_at = now;
  return g_string_free (line, FALSE);
}
