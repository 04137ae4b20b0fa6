#ifndef NODE_H
#define NODE_H

#include "conf.h"
#include "effects.h"
#include "intake.h"
#include "pool.h"

/* One entry host: takes callers' requests, and holds the scheduler's role
   when it is its turn.  It reads no clock and opens no socket: it is fed
   and emits effects.  Any number of nodes live in one process. */
typedef struct Node Node;

/* How what others write into the store is read. */
typedef struct NodeCodec
{
  const char *conf_prefix;    /* of the operators' keys */
  const char *conf_key;       /* of the configuration, under CONF_PREFIX */
  const char *workers_prefix; /* of the workers' own entries */
  Conf *(*decode_conf) (GBytes *value, Findings *findings);
  PoolEntry *(*decode_worker) (const char *id,
                               GBytes *value,
                               Findings *findings);
  IntakeDecodeJob decode_job;
} NodeCodec;

typedef struct NodeSettings
{
  const char *holder_name; /* that no other process ever has */
  guint32 seed;
  ClockMs max_conf_age;
  ClockMs claim_delay;     /* before it asks for the role: small hosts wait */
  gint64 link_bytes_per_s; /* bytes a second; 0: not known */
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
void node_drain (Node *n);
Effect *node_pop_effect (Node *n);
ClockMs node_next_deadline (const Node *n);
gboolean node_is_ready (const Node *n);
gboolean node_is_scheduler (const Node *n);
const Conf *node_conf (const Node *n);
guint node_n_pending (const Node *n);
char *node_metrics (const Node *n);

#endif
