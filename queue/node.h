#ifndef NODE_H
#define NODE_H

#include "bounds.h"
#include "conf.h"
#include "effects.h"
#include "evacuation_feed.h"
#include "intake.h"
#include "node_load.h"
#include "pool.h"

/* The logic of one entry host: handles callers' requests and, while it holds
   the scheduler's role, schedules the jobs.  It does no I/O and reads no clock:
   times, requests and replies are passed in, and it queues effects for the
   caller to carry out.  A process may have any number of nodes. */
typedef struct Node Node;

/* Keys and decoders of the data that other programs write to the store. */
typedef struct NodeCodec
{
  const char *conf_prefix; /* followed for configuration changes */
  const char *conf_key;    /* the configuration; begins with CONF_PREFIX */
  const char *evacuation_prefix; /* followed by the domain to evacuate; begins
                                    with CONF_PREFIX */
  const char *workers_prefix;    /* followed by each worker's id */
  Conf *(*decode_conf) (GBytes *value, Findings *findings);
  PoolEntry *(*decode_worker) (const char *id,
                               GBytes *value,
                               Findings *findings);
  IntakeDecodeJob decode_job;
  /* Checks the value of a request to evacuate. */
  EvacuationCheck check_evacuation;
} NodeCodec;

typedef struct NodeSettings
{
  const char *holder_name; /* unique to this process, also across restarts */
  guint32 seed;
  ClockMs max_conf_age;    /* with an older one requests are refused */
  ClockMs claim_delay;     /* before claiming the role; larger on small hosts */
  gint64 link_bytes_per_s; /* of the host's network link; 0: unknown */
  ClockMs min_store_lease; /* the store refuses a shorter one */
  gsize max_store_value;   /* bytes; a longer one is refused; 0: unknown */
  Bounds bounds;
  /* Names of all failure domains, NULL-terminated, or NULL; copied. */
  const char *const *domains;
} NodeSettings;

Node *node_new (const NodeSettings *s,
                const NodeCodec *codec,
                ClockMs now,
                ClockMs wall);
void node_free (Node *n);
void node_set_time (Node *n, ClockMs now, ClockMs wall);
void node_on_request (Node *n, const Request *request);
void node_on_disconnect (Node *n, gint64 request);
void node_on_kv_reply (Node *n, const KvReply *reply);
void node_on_run_reply (Node *n, const RunReply *reply);
void node_tick (Node *n);
gboolean node_plan (Node *n);
void node_on_plan_span (Node *n, ClockMs span);
void node_set_load (Node *n, const NodeLoad *load);
void node_drain (Node *n);
void node_stop (Node *n);
Effect *node_pop_effect (Node *n);
Effect *node_pop_later_call (Node *n);
guint node_n_later_calls (const Node *n);
ClockMs node_next_deadline (const Node *n);
gboolean node_is_ready (const Node *n);
gboolean node_is_scheduler (const Node *n);
const Conf *node_conf (const Node *n);
guint node_n_pending (const Node *n);
char *node_metrics (const Node *n);

#endif
