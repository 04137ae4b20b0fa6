#include "bench.h"

#include "core.h"

static const int n_events = 200000;

static void
drain (Core *c)
{
  Event *e;

  while ((e = core_next_effect (c)))
    event_free (e);
}

/* Measures what an event without work costs. */
void
bench_core (void)
{
  Config *cfg = config_default ();
  Core *c;
  gint64 start;
  int i;

  rec_set_str (&cfg->host, "h1");
  rec_set_str (&cfg->domain, "d1");
  c = core_new (cfg, 1, 0);
  start = bench_ns ();
  for (i = 0; i < n_events; i++)
    {
      core_feed (c, &(Event) { .kind = EV_TICK, .at = i });
      drain (c);
    }
  bench_value ("core.tick", (double)(bench_ns () - start) / n_events, "ns",
               BENCH_AT_MOST, 5000);
  core_free (c);
  config_free (cfg);
}
