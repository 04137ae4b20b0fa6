#ifndef CONFIG_H
#define CONFIG_H

#include "clock.h"
#include "rec.h"

/* What a node is told of itself and its surroundings when it starts.  The
   settings file is read into the same records. */

enum
{
  CONFIG_MAX_HOSTS = 1000,
  CONFIG_MAX_UPSTREAMS = 10000,
  CONFIG_MAX_WORKERS = 10000,
  CONFIG_MAX_SLOTS = 100000,
  CONFIG_MAX_MB = 100000000,
  CONFIG_MAX_NAME = 64,
  CONFIG_MAX_ADDRESS = 64,
  CONFIG_MAX_PORT = 65535,
  CONFIG_DAY_MS = 86400000
};

/* An entry host; ADDRESS and PORT are where its peers reach it. */
#define CONFIG_HOST_FIELDS(INT, STR, BYTES, LIST)                              \
  STR (name, 1, CONFIG_MAX_NAME)                                               \
  STR (domain, 1, CONFIG_MAX_NAME)                                             \
  STR (region, 0, CONFIG_MAX_NAME)                                             \
  STR (address, 0, CONFIG_MAX_ADDRESS)                                         \
  INT (port, 0, CONFIG_MAX_PORT)
REC_DECLARE (ConfigHost, config_host, CONFIG_HOST_FIELDS)

#define CONFIG_UPSTREAM_FIELDS(INT, STR, BYTES, LIST)                          \
  STR (name, 1, CONFIG_MAX_NAME)                                               \
  STR (domain, 1, CONFIG_MAX_NAME)                                             \
  STR (region, 0, CONFIG_MAX_NAME)                                             \
  STR (address, 0, CONFIG_MAX_ADDRESS)                                         \
  INT (port, 0, CONFIG_MAX_PORT)                                               \
  INT (slots, 1, CONFIG_MAX_SLOTS)                                             \
  INT (connections, 1, CONFIG_MAX_SLOTS)
REC_DECLARE (ConfigUpstream, config_upstream, CONFIG_UPSTREAM_FIELDS)

#define CONFIG_WORKER_FIELDS(INT, STR, BYTES, LIST)                            \
  STR (name, 1, CONFIG_MAX_NAME)                                               \
  STR (domain, 1, CONFIG_MAX_NAME)                                             \
  STR (rack, 1, CONFIG_MAX_NAME)                                               \
  STR (address, 0, CONFIG_MAX_ADDRESS)                                         \
  INT (port, 0, CONFIG_MAX_PORT)                                               \
  INT (accelerators, 0, 64)                                                    \
  INT (cores, 1, 4096)                                                         \
  INT (memory_mb, 1, CONFIG_MAX_MB)
REC_DECLARE (ConfigWorker, config_worker, CONFIG_WORKER_FIELDS)

/* Limits and spans that a site may change; config_default gives the rest
   of the world's.  Spans are in milliseconds. */
#define CONFIG_FIELDS(INT, STR, BYTES, LIST)                                   \
  STR (host, 1, CONFIG_MAX_NAME)                                               \
  STR (domain, 1, CONFIG_MAX_NAME)                                             \
  STR (region, 0, CONFIG_MAX_NAME)                                             \
  INT (incarnation, 0, G_MAXINT64)                                             \
  INT (heartbeat_ms, 50, 60000)                                                \
  INT (suspect_ms, 100, 600000)                                                \
  INT (gone_ms, 200, 3600000)                                                  \
  INT (table_poll_ms, 100, 600000)                                             \
  INT (store_timeout_ms, 10, 60000)                                            \
  INT (store_calls_per_s, 1, 100000)                                           \
  INT (scheduler_lease_ms, 500, 600000)                                        \
  INT (worker_lease_ms, 1000, 3600000)                                         \
  INT (worker_timeout_ms, 10, 60000)                                           \
  INT (request_deadline_ms, 1, CONFIG_DAY_MS)                                  \
  INT (request_queue, 1, 1000000)                                              \
  INT (request_queue_bytes, 1, G_MAXINT32)                                     \
  INT (silence_ms, 50, 3600000)                                                \
  INT (spill_bytes_per_s, 0, G_MAXINT32)                                       \
  INT (retry_budget_permille, 0, 1000)                                         \
  INT (reclaim_checkpoint_ms, 0, 600000)                                       \
  INT (result_keep_ms, 1000, CONFIG_DAY_MS * 30LL)                             \
  INT (drain_ms, 0, CONFIG_DAY_MS)                                             \
  LIST (hosts, 0, CONFIG_MAX_HOSTS, config_host)                               \
  LIST (upstreams, 0, CONFIG_MAX_UPSTREAMS, config_upstream)                   \
  LIST (workers, 0, CONFIG_MAX_WORKERS, config_worker)
REC_DECLARE (Config, config, CONFIG_FIELDS)

Config *config_default (void);
void config_free (Config *cfg);
void config_check (const Config *cfg, const char *place, Findings *findings);
const ConfigHost *config_host (const Config *cfg, guint i);
const ConfigUpstream *config_upstream (const Config *cfg, guint i);
const ConfigWorker *config_worker (const Config *cfg, guint i);

#endif
