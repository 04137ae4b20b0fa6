#include "config.h"

REC_DEFINE (ConfigHost, config_host, CONFIG_HOST_FIELDS)
REC_DEFINE (ConfigUpstream, config_upstream, CONFIG_UPSTREAM_FIELDS)
REC_DEFINE (ConfigWorker, config_worker, CONFIG_WORKER_FIELDS)
REC_DEFINE (Config, config, CONFIG_FIELDS)

/* Returns a configuration with every limit and span at its default and
   without a name, hosts, upstreams or workers. */
Config *
config_default (void)
{
  Config *cfg = rec_new (config_desc ());

  cfg->heartbeat_ms = 1000;
  cfg->suspect_ms = 3000;
  cfg->gone_ms = 30000;
  cfg->table_poll_ms = 10000;
  cfg->store_timeout_ms = 1000;
  cfg->store_calls_per_s = 40;
  cfg->scheduler_lease_ms = 3000;
  cfg->worker_lease_ms = 60000;
  cfg->worker_timeout_ms = 2000;
  cfg->request_deadline_ms = 60000;
  cfg->request_queue = 10000;
  cfg->request_queue_bytes = 64 << 20;
  cfg->silence_ms = 5000;
  cfg->spill_bytes_per_s = 1 << 20;
  cfg->retry_budget_permille = 100;
  cfg->reclaim_checkpoint_ms = 4000;
  cfg->result_keep_ms = CONFIG_DAY_MS;
  cfg->drain_ms = 600000;
  return cfg;
}

/* Releases CFG. */
void
config_free (Config *cfg)
{
  rec_free (config_desc (), cfg);
}

/* Returns host I of CFG. */
const ConfigHost *
config_host (const Config *cfg, guint i)
{
  return rec_list_at (config_host_desc (), &cfg->hosts, i);
}

/* Returns upstream I of CFG. */
const ConfigUpstream *
config_upstream (const Config *cfg, guint i)
{
  return rec_list_at (config_upstream_desc (), &cfg->upstreams, i);
}

/* Returns worker I of CFG. */
const ConfigWorker *
config_worker (const Config *cfg, guint i)
{
  return rec_list_at (config_worker_desc (), &cfg->workers, i);
}

static void
check_name (GHashTable *seen,
            const char *what,
            const char *name,
            const char *place,
            Findings *findings)
{
  if (!util_is_name (name))
    findings_add (findings, place,
                  "%s \"%s\" is not a name of letters, digits and \"._-\"",
                  what, name);
  if (!g_hash_table_add (seen, (gpointer)name))
    findings_add (findings, place, "%s \"%s\" is listed twice", what, name);
}

static void
check_names (const Config *cfg, const char *place, Findings *findings)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = 0; i < cfg->hosts.n; i++)
    check_name (seen, "host", config_host (cfg, i)->name, place, findings);
  g_hash_table_remove_all (seen);
  for (i = 0; i < cfg->upstreams.n; i++)
    check_name (seen, "upstream", config_upstream (cfg, i)->name, place,
                findings);
  g_hash_table_remove_all (seen);
  for (i = 0; i < cfg->workers.n; i++)
    check_name (seen, "worker", config_worker (cfg, i)->name, place, findings);
  g_hash_table_unref (seen);
}

/* Adds a finding for everything in CFG that is in range by itself and wrong
   as a whole; PLACE names the settings. */
void
config_check (const Config *cfg, const char *place, Findings *findings)
{
  check_names (cfg, place, findings);
  if (cfg->suspect_ms <= cfg->heartbeat_ms)
    findings_add (findings, place,
                  "suspect_ms %" CLOCK_MS_FORMAT
                  " must exceed heartbeat_ms %" CLOCK_MS_FORMAT,
                  cfg->suspect_ms, cfg->heartbeat_ms);
  if (cfg->gone_ms <= cfg->suspect_ms)
    findings_add (findings, place,
                  "gone_ms %" CLOCK_MS_FORMAT
                  " must exceed suspect_ms %" CLOCK_MS_FORMAT,
                  cfg->gone_ms, cfg->suspect_ms);
}
