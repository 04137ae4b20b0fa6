#include "bench.h"

#include "plan.h"

#include <malloc.h>
#include <string.h>

/* Placement, guarantees and order in virtual time, against first fit in
   strict order of arrival on the same jobs. */

enum
{
  HOUR_MS = 3600000,
  TICK_MS = 60000,
  MAX_ROWS = 360,
  N_URGENT_CASES = 1000,
  N_DECISIONS = 3000,
  CHECKPOINT_EVERY_MS = 600000
};

/* A fleet and its users.  GANG_EVERY: one job in so many is a large gang. */
typedef struct Size
{
  const char *name;
  guint accelerated; /* workers with 8 accelerators */
  guint plain;       /* workers without */
  guint rows;
  guint guaranteed; /* workspaces with a guarantee of 8 and 4 */
  guint tasks;      /* kept running without accelerators */
  guint jobs;       /* in the trace */
  ClockMs gap_ms;   /* mean time between jobs */
  guint gang_parts;
  guint gang_every;
  guint failures; /* of workers, in the trace */
} Size;

static const Size sizes[] = {
  { "today", 50, 0, 4, 4, 200, 1200, 130000, 8, 60, 4 },
  { "middle", 100, 200, 90, 20, 6000, 0, 0, 8, 0, 0 },
  { "large", 300, 1200, 360, 120, 31000, 910, 74000, 16, 50, 21 },
};

typedef struct World
{
  const Size *size;
  Plan *plan;
  GRand *rng;
  Workspace rows[MAX_ROWS];
  ClockMs now;
  gint64 last_id;
} World;

static int
draw (World *w, int least, int most)
{
  return g_rand_int_range (w->rng, least, most + 1);
}

static void
add_workers (World *w, guint n, guint accelerators, const char *prefix)
{
  guint i;

  for (i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("%s%u", prefix, i);
      char *rack = g_strdup_printf ("r%s%u", prefix, i / 8);

      plan_add_worker (w->plan, "d1", name, rack, accelerators, 64, 250000);
      g_free (name);
      g_free (rack);
    }
}

static void
load_table (World *w)
{
  const Workspace *rows[MAX_ROWS];
  guint i;

  for (i = 0; i < w->size->rows; i++)
    {
      Workspace *r = &w->rows[i];

      *r = (Workspace) { .index = i,
                         .weight = 1 + i % 4,
                         .max_accelerators = -1,
                         .max_running = -1,
                         .max_queued = -1 };
      r->name = g_strdup_printf ("ws%u", i);
      if (i < w->size->guaranteed)
        {
          r->guarantee[0] = (Shape) { .count = 1, .size = 8 };
          r->guarantee[1] = (Shape) { .count = 1, .size = 4 };
          r->n_shapes = 2;
        }
      rows[i] = r;
    }
  plan_set_table (w->plan, rows, w->size->rows, w->now);
}

static void
world_init (World *w, const Size *size, guint32 seed)
{
  memset (w, 0, sizeof *w);
  w->size = size;
  w->rng = g_rand_new_with_seed (seed);
  w->plan = plan_new ("d1", seed);
  w->now = 1000;
  add_workers (w, size->accelerated, 8, "a");
  add_workers (w, size->plain, 0, "p");
  load_table (w);
}

static void
world_clear (World *w)
{
  guint i;

  plan_free (w->plan);
  g_rand_free (w->rng);
  for (i = 0; i < w->size->rows; i++)
    g_free ((gpointer)w->rows[i].name);
}

static FleetJob *
new_job (World *w, guint parts, guint accelerators)
{
  FleetJob *j = g_new0 (FleetJob, 1);

  j->id = ++w->last_id;
  j->workspace = (guint)draw (w, 0, (int)w->size->rows - 1);
  j->kind = (guint)draw (w, 0, 3);
  j->work_class = CLASS_NORMAL;
  j->parts = parts;
  j->accelerators = accelerators;
  j->cores = accelerators ? 4 * accelerators : 1;
  j->memory_mb = accelerators ? 8000 * accelerators : 500;
  j->arrived = w->now;
  j->repeatable = TRUE;
  j->checkpointable = draw (w, 0, 2) > 0;
  return j;
}

static void
end_job (World *w, FleetJob *j, gboolean ran)
{
  plan_end (w->plan, j, w->now, ran);
  g_free (j);
}

/* Takes steps until there is none; victims stop at once.  Adds the time of
   each call that gave a step to NS, of gint64, if it is given. */
static guint
settle (World *w, GArray *ns, GPtrArray *started)
{
  PlanStep step;
  guint n = 0;

  for (;;)
    {
      gint64 start = bench_ns ();
      gboolean more = plan_next (w->plan, w->now, &step);
      gint64 took = bench_ns () - start;
      FleetJob **victims;
      guint i;

      if (ns)
        g_array_append_val (ns, took);
      if (!more)
        return n;
      n++;
      if (step.kind == PLAN_START && started)
        g_ptr_array_add (started, step.job);
      victims = g_new (FleetJob *, step.n_victims + 1);
      for (i = 0; i < step.n_victims; i++)
        victims[i] = step.victims[i];
      for (i = 0; i < step.n_victims; i++)
        plan_requeue (w->plan, victims[i], w->now);
      g_free (victims);
    }
}

static FleetJob *
accelerated_job (World *w)
{
  static const guint widths[] = { 1, 1, 1, 2, 2, 4, 8 };

  return new_job (w, 1, widths[draw (w, 0, G_N_ELEMENTS (widths) - 1)]);
}

/* Submits work without accelerators in gangs of up to 128. */
static void
fill_tasks (World *w, GPtrArray *jobs)
{
  guint left = w->size->tasks;

  while (left > 0)
    {
      guint parts = (guint)draw (w, 1, 128);
      FleetJob *j = new_job (w, MIN (left, parts), 0);

      left -= j->parts;
      plan_submit (w->plan, j);
      g_ptr_array_add (jobs, j);
      settle (w, NULL, NULL);
    }
}

static void
fill_accelerators (World *w, GPtrArray *jobs)
{
  const Fleet *f = plan_fleet (w->plan);

  while (plan_n_waiting (w->plan) < 20 && f->n_used < f->n_accelerators)
    {
      FleetJob *j = accelerated_job (w);

      plan_submit (w->plan, j);
      g_ptr_array_add (jobs, j);
      settle (w, NULL, NULL);
    }
}

static gint
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

/* Returns the value below which PERMILLE of LIST, of gint64, lie. */
static double
percentile (GArray *list, guint permille)
{
  guint at;

  if (list->len == 0)
    return 0;
  g_array_sort (list, compare_int64);
  at = (guint)((guint64)(list->len - 1) * permille / 1000);
  return (double)g_array_index (list, gint64, at);
}

static void
end_all (World *w, GPtrArray *jobs)
{
  guint i;

  for (i = 0; i < jobs->len; i++)
    end_job (w, g_ptr_array_index (jobs, i), FALSE);
  g_ptr_array_unref (jobs);
}

/* One job ends and another comes, over and over, on a full fleet. */
static void
measure_decisions (const Size *size)
{
  GArray *ns = g_array_new (FALSE, FALSE, sizeof (gint64));
  GPtrArray *jobs = g_ptr_array_new ();
  char *p50 = g_strdup_printf ("place.decision_p50.%s", size->name);
  char *p99 = g_strdup_printf ("place.decision_p99.%s", size->name);
  World w;
  int i;

  world_init (&w, size, 7);
  fill_tasks (&w, jobs);
  fill_accelerators (&w, jobs);
  for (i = 0; i < N_DECISIONS; i++)
    {
      guint k = (guint)draw (&w, 0, (int)jobs->len - 1);
      FleetJob *j = g_ptr_array_index (jobs, k);
      gboolean plain = j->accelerators == 0;
      guint parts = j->parts;

      w.now += 1000;
      end_job (&w, j, TRUE);
      j = plain ? new_job (&w, parts, 0) : accelerated_job (&w);
      jobs->pdata[k] = j;
      if (i % 5 == 0)
        j->work_class = CLASS_INTERACTIVE;
      plan_submit (w.plan, j);
      settle (&w, ns, NULL);
    }
  bench_value (p50, percentile (ns, 500) / 1e3, "us", BENCH_AT_MOST, 1000);
  bench_value (p99, percentile (ns, 990) / 1e3, "us", BENCH_AT_MOST, 10000);
  bench_point ("place.decision_us_by_workers", "p50",
               size->accelerated + size->plain, percentile (ns, 500) / 1e3);
  bench_point ("place.decision_us_by_workers", "p99",
               size->accelerated + size->plain, percentile (ns, 990) / 1e3);
  g_free (p50);
  g_free (p99);
  end_all (&w, jobs);
  world_clear (&w);
  g_array_unref (ns);
}

static double
heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return (double)m.uordblks + (double)m.hblkhd;
}

static void
measure_bytes (void)
{
  Size size = sizes[2];
  GPtrArray *jobs = g_ptr_array_new ();
  double before = heap_bytes ();
  double at;
  World w;

  size.rows = 1;
  size.guaranteed = 0;
  world_init (&w, &size, 3);
  at = heap_bytes ();
  bench_value ("place.bytes_worker",
               (at - before) / (size.accelerated + size.plain), "B",
               BENCH_AT_MOST, 1000);
  fill_tasks (&w, jobs);
  bench_value ("place.bytes_task", (heap_bytes () - at) / size.tasks, "B",
               BENCH_AT_MOST, 200);
  at = heap_bytes ();
  w.size = &sizes[2];
  load_table (&w);
  bench_value ("place.bytes_workspace", (heap_bytes () - at) / MAX_ROWS, "B",
               BENCH_AT_MOST, 2000);
  end_all (&w, jobs);
  world_clear (&w);
}

/* A workspace with an idle guarantee asks for it on a full fleet: it starts
   as soon as the borrowed work has stopped. */
static gboolean
urgent_case (guint32 seed)
{
  Size size = { .name = "urgent",
                .accelerated = 8 + seed % 9,
                .rows = 6,
                .guaranteed = 2 + seed % 4 };
  GPtrArray *jobs = g_ptr_array_new ();
  FleetJob *urgent;
  gboolean ok;
  World w;

  world_init (&w, &size, seed);
  fill_accelerators (&w, jobs);
  urgent = new_job (&w, 1, seed % 2 ? 8 : 4);
  urgent->workspace = seed % size.guaranteed;
  urgent->work_class = CLASS_INTERACTIVE;
  g_ptr_array_add (jobs, urgent);
  plan_submit (w.plan, urgent);
  settle (&w, NULL, NULL);
  ok = urgent->state == FLEET_PLACED;
  end_all (&w, jobs);
  world_clear (&w);
  return ok;
}

static void
measure_urgent (void)
{
  int ok = 0;
  guint32 i;

  for (i = 0; i < N_URGENT_CASES; i++)
    ok += urgent_case (i);
  bench_value ("place.urgent_on_full_fleet", 100.0 * ok / N_URGENT_CASES, "%",
               BENCH_AT_LEAST, 100);
}

/* A job of the trace.  RUN_MS is what it takes, its declaration is off. */
typedef struct SimJob
{
  FleetJob job;
  ClockMs run_ms;
  ClockMs cancel_at;
  ClockMs begun; /* its first start, 0 before */
  gboolean is_gang;
} SimJob;

typedef struct Sim
{
  World w;
  gboolean ours;   /* or first fit in strict order of arrival */
  Fleet plain;     /* of the baseline */
  GQueue queue;    /* of SimJob, of the baseline */
  GPtrArray *jobs; /* of SimJob, not ended */
  GPtrArray *trace;
  guint arrived;
  GArray *times[N_CLASSES]; /* of gint64: arrival to end */
  GArray *gang_waits;
  double used;
  double fragmented;
  guint n_samples;
} Sim;

static gint
compare_ids (gconstpointer a, gconstpointer b, gpointer data)
{
  const SimJob *x = a;
  const SimJob *y = b;

  (void)data;
  return x->job.id < y->job.id ? -1 : 1;
}

static void
draw_shape (World *w, SimJob *j)
{
  static const guint small[] = { 1, 1, 1, 2, 2, 4, 8 };
  static const guint large[] = { 1, 2, 4, 8, 8, 16, 32 };
  guint k = (guint)draw (w, 0, 6);
  guint width = w->size->rows > 4 ? large[k] : small[k];

  if (draw (w, 1, (int)w->size->gang_every) == 1)
    {
      j->is_gang = TRUE;
      width = 8 * w->size->gang_parts;
    }
  j->job.parts = MAX (width / 8, 1);
  j->job.accelerators = MIN (width, 8);
}

/* Draws the trace: bursts, declarations off by up to five times either way,
   one job in twenty cancelled. */
static void
draw_trace (Sim *s)
{
  World *w = &s->w;
  ClockMs at = w->now;
  guint i;

  for (i = 0; i < w->size->jobs; i++)
    {
      FleetJob *made = new_job (w, 1, 1);
      SimJob *j = g_new0 (SimJob, 1);

      j->job = *made;
      g_free (made);
      draw_shape (w, j);
      j->job.cores = 4 * (gint64)j->job.accelerators;
      j->job.memory_mb = 8000 * (gint64)j->job.accelerators;
      j->job.work_class = (WorkClass)draw (w, 0, N_CLASSES - 1);
      if (draw (w, 0, 1))
        j->job.workspace = (guint)draw (w, 0, (int)w->size->rows / 4);
      j->run_ms = (ClockMs)draw (w, 10, 480) * TICK_MS;
      j->job.run_ms = j->run_ms * draw (w, 1, 25) / 5;
      if (i % 20 != 0)
        at += (ClockMs)draw (w, 0, 2 * (int)w->size->gap_ms);
      j->job.arrived = at;
      if (draw (w, 0, 19) == 0)
        j->cancel_at = at + (ClockMs)draw (w, 0, 240) * TICK_MS;
      g_ptr_array_add (s->trace, j);
    }
}

static const Fleet *
sim_fleet (const Sim *s)
{
  return s->ours ? plan_fleet (s->w.plan) : &s->plain;
}

static void
sim_init (Sim *s, const Size *size, gboolean ours)
{
  guint i;

  memset (s, 0, sizeof *s);
  world_init (&s->w, size, 11);
  s->ours = ours;
  s->jobs = g_ptr_array_new ();
  s->trace = g_ptr_array_new ();
  for (i = 0; i < N_CLASSES; i++)
    s->times[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
  s->gang_waits = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_queue_init (&s->queue);
  fleet_init (&s->plain);
  for (i = 0; i < plan_fleet (s->w.plan)->workers->len; i++)
    {
      const Fleet *f = plan_fleet (s->w.plan);
      const FleetWorker *w = fleet_worker (f, i);

      fleet_add_worker (&s->plain, w->name,
                        g_ptr_array_index (f->racks, w->rack), w->accelerators,
                        w->cores, w->memory_mb);
    }
  draw_trace (s);
}

static void
sim_clear (Sim *s)
{
  guint i;

  for (i = 0; i < s->jobs->len; i++)
    {
      SimJob *j = g_ptr_array_index (s->jobs, i);

      if (s->ours)
        plan_end (s->w.plan, &j->job, s->w.now, FALSE);
      else
        g_free (j->job.part);
    }
  for (i = 0; i < s->trace->len; i++)
    g_free (g_ptr_array_index (s->trace, i));
  for (i = 0; i < N_CLASSES; i++)
    g_array_unref (s->times[i]);
  g_array_unref (s->gang_waits);
  g_ptr_array_unref (s->jobs);
  g_ptr_array_unref (s->trace);
  g_queue_clear (&s->queue);
  fleet_clear (&s->plain);
  world_clear (&s->w);
}

static void
sim_submit (Sim *s, SimJob *j)
{
  guint i;

  g_ptr_array_add (s->jobs, j);
  if (s->ours)
    {
      plan_submit (s->w.plan, &j->job);
      return;
    }
  j->job.part = g_new0 (FleetPart, j->job.parts);
  for (i = 0; i < j->job.parts; i++)
    {
      j->job.part[i].job = &j->job;
      j->job.part[i].slot = FLEET_NO_SLOT;
    }
  g_queue_push_tail (&s->queue, j);
}

static void
sim_end (Sim *s, SimJob *j, gboolean ran)
{
  gint64 took = s->w.now - j->job.arrived;

  if (ran)
    g_array_append_val (s->times[j->job.work_class], took);
  g_ptr_array_remove_fast (s->jobs, j);
  if (s->ours)
    {
      plan_end (s->w.plan, &j->job, s->w.now, ran);
      return;
    }
  if (j->job.state == FLEET_WAITING)
    g_queue_remove (&s->queue, j);
  fleet_release (&s->plain, &j->job);
  g_free (j->job.part);
}

/* Stops J, which waits again; KEPT tells whether it could save itself. */
static void
sim_requeue (Sim *s, SimJob *j, gboolean kept)
{
  ClockMs done = s->w.now - j->job.started;

  if (j->job.checkpointable && kept)
    j->job.progress += done;
  else if (j->job.checkpointable)
    j->job.progress += done / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
  if (s->ours)
    {
      plan_requeue (s->w.plan, &j->job, s->w.now);
      return;
    }
  fleet_release (&s->plain, &j->job);
  g_queue_insert_sorted (&s->queue, j, compare_ids, NULL);
}

static void
sim_started (Sim *s, SimJob *j)
{
  gint64 waited = s->w.now - j->job.arrived;

  j->job.started = s->w.now;
  if (!j->begun && j->is_gang)
    g_array_append_val (s->gang_waits, waited);
  j->begun = s->w.now;
}

static void
sim_schedule_ours (Sim *s)
{
  PlanStep step;

  while (plan_next (s->w.plan, s->w.now, &step))
    {
      guint n = step.n_victims;
      FleetJob **victims = g_new (FleetJob *, n + 1);
      guint i;

      for (i = 0; i < n; i++)
        victims[i] = step.victims[i];
      if (step.kind == PLAN_START)
        sim_started (s, (SimJob *)step.job);
      for (i = 0; i < n; i++)
        sim_requeue (s, (SimJob *)victims[i], TRUE);
      g_free (victims);
    }
}

static void
sim_schedule_plain (Sim *s)
{
  SimJob *j;

  while ((j = g_queue_peek_head (&s->queue)))
    {
      PlaceAsk ask = { .fleet = &s->plain,
                       .job = &j->job,
                       .ends = CLOCK_NEVER };

      if (!place_first_fit.find (&ask) || !fleet_place (&s->plain, &j->job))
        return;
      g_queue_pop_head (&s->queue);
      sim_started (s, j);
    }
}

static void
sim_set_usable (Sim *s, guint i, gboolean usable)
{
  const FleetWorker *w = fleet_worker (sim_fleet (s), i);
  guint k;
  guint n;

  if (s->ours)
    plan_set_usable (s->w.plan, w->name, usable, s->w.now);
  else
    fleet_set_usable (&s->plain, i, usable);
  for (k = s->jobs->len; k > 0 && !usable; k--)
    {
      SimJob *j = g_ptr_array_index (s->jobs, k - 1);

      if (j->job.state != FLEET_PLACED)
        continue;
      for (n = 0; n < j->job.parts && j->job.part[n].worker != i; n++)
        ;
      if (n < j->job.parts)
        sim_requeue (s, j, FALSE);
    }
}

static void
sim_ends (Sim *s)
{
  guint i;

  for (i = s->jobs->len; i > 0; i--)
    {
      SimJob *j = g_ptr_array_index (s->jobs, i - 1);

      if (j->cancel_at && s->w.now >= j->cancel_at)
        sim_end (s, j, FALSE);
      else if (j->job.state == FLEET_PLACED &&
               s->w.now - j->job.started + j->job.progress >= j->run_ms)
        sim_end (s, j, TRUE);
    }
}

static void
sim_sample (Sim *s)
{
  const Fleet *f = sim_fleet (s);

  s->used += (double)f->n_used / f->n_accelerators;
  s->fragmented += fleet_fragmentation (f, 8);
  s->n_samples++;
}

/* Runs the trace to its end, a minute at a time. */
static void
sim_run (Sim *s)
{
  const SimJob *last = g_ptr_array_index (s->trace, s->trace->len - 1);
  ClockMs end = last->job.arrived;
  ClockMs between = end / (s->w.size->failures + 1);
  ClockMs next_failure = between;
  guint failed = G_MAXUINT;

  while (s->arrived < s->trace->len || (s->jobs->len && s->w.now < 2 * end))
    {
      s->w.now += TICK_MS;
      sim_ends (s);
      while (s->arrived < s->trace->len)
        {
          SimJob *j = g_ptr_array_index (s->trace, s->arrived);

          if (j->job.arrived > s->w.now)
            break;
          s->arrived++;
          sim_submit (s, j);
        }
      if (s->w.now >= next_failure)
        {
          if (failed != G_MAXUINT)
            sim_set_usable (s, failed, TRUE);
          failed =
              (guint)(s->w.now / TICK_MS * 7919) % sim_fleet (s)->workers->len;
          sim_set_usable (s, failed, FALSE);
          next_failure += between;
        }
      if (s->ours)
        plan_tick (s->w.plan, s->w.now);
      if (s->ours)
        sim_schedule_ours (s);
      else
        sim_schedule_plain (s);
      if (s->w.now < end)
        sim_sample (s);
    }
}

static void
row (const char *name,
     const Size *size,
     double ours,
     double base,
     BenchGoal goal,
     double target)
{
  char *full = g_strdup_printf ("place.%s.%s", name, size->name);

  bench_row (full, ours, base, goal, target);
  g_free (full);
}

static void
compare (const Size *size)
{
  Sim ours;
  Sim base;
  int c;

  sim_init (&ours, size, TRUE);
  sim_init (&base, size, FALSE);
  sim_run (&ours);
  sim_run (&base);
  row ("utilisation", size, ours.used / ours.n_samples,
       base.used / base.n_samples, BENCH_AT_LEAST, 1);
  row ("fragmentation", size, ours.fragmented / ours.n_samples,
       base.fragmented / base.n_samples, BENCH_AT_MOST, 0.5);
  for (c = 0; c < N_CLASSES; c++)
    {
      char *p50 = g_strdup_printf ("completion_p50.%s", class_name (c));
      char *p99 = g_strdup_printf ("completion_p99.%s", class_name (c));

      row (p50, size, percentile (ours.times[c], 500) / HOUR_MS,
           percentile (base.times[c], 500) / HOUR_MS, BENCH_AT_MOST, 1);
      row (p99, size, percentile (ours.times[c], 990) / HOUR_MS,
           percentile (base.times[c], 990) / HOUR_MS, BENCH_AT_MOST, 1);
      g_free (p50);
      g_free (p99);
    }
  row ("jobs_unfinished", size, ours.jobs->len, base.jobs->len, BENCH_AT_MOST,
       1);
  row ("gang_wait_p99", size, percentile (ours.gang_waits, 990) / HOUR_MS,
       percentile (base.gang_waits, 990) / HOUR_MS, BENCH_AT_MOST, 1);
  sim_clear (&ours);
  sim_clear (&base);
}

/* Placement, guarantees and order of jobs. */
void
bench_place (void)
{
  guint i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_decisions (&sizes[i]);
  measure_bytes ();
  measure_urgent ();
  compare (&sizes[0]);
  compare (&sizes[2]);
}
