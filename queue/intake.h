#ifndef INTAKE_H
#define INTAKE_H

#include "job_cache.h"
#include "conf.h"
#include "effects.h"
#include "evacuation.h"
#include "store_health.h"
#include "waiting.h"

/* Handles callers' requests: authorizes them against the configuration, stores
   submitted jobs and cancellations, and answers only after the write is
   durable. */
typedef struct Intake Intake;

typedef enum RequestOp
{
  REQUEST_SUBMIT,
  REQUEST_STATE, /* of a job; of the queue if the path has no job id */
  REQUEST_CANCEL
} RequestOp;

typedef struct Request
{
  gint64 id;
  RequestOp op;
  const char *host;
  const char *path;
  const char *token;      /* NULL if the request has none */
  GBytes *body;           /* REQUEST_SUBMIT only */
  ClockMs caller_timeout; /* how long the caller waits; 0: not given */
} Request;

/* Decodes a submitted job from a request's BODY into JOB.  On errors adds them
   to FINDINGS and returns FALSE. */
typedef gboolean (*IntakeDecodeJob) (GBytes *body,
                                     SpecJob *job,
                                     Findings *findings);

Intake *intake_new (Effects *fx,
                    JobCache *job_cache,
                    Feed *feed,
                    const Waiting *waiting,
                    const StoreHealth *store_health,
                    IntakeDecodeJob decode_job,
                    ClockMs max_conf_age);
void intake_free (Intake *in);
void intake_set_time (Intake *in, ClockMs now, ClockMs wall);
void intake_set_evacuations (Intake *in,
                             const EvacuationSet *set,
                             const char *const *domains,
                             GRand *rng);
void intake_on_conf (Intake *in, Conf *conf);
void intake_set_job_cache_complete (Intake *in, gboolean job_cache_complete);
void intake_on_request (Intake *in, const Request *request, ClockMs conf_age);
void intake_on_disconnect (Intake *in, gint64 request);
gboolean intake_on_kv_reply (Intake *in, const KvReply *reply);
void intake_tick (Intake *in);
void intake_stop (Intake *in);
ClockMs intake_next_deadline (const Intake *in);
guint intake_n_pending (const Intake *in);
void intake_append_metrics (const Intake *in, GString *text);

#endif
