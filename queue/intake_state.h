#ifndef INTAKE_STATE_H
#define INTAKE_STATE_H

#include "caller_timeouts.h"
#include "intake.h"
#include "time_budget.h"

#include <apr_ring.h>

/* State and functions shared by the intake's modules only. */

enum
{
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_UNAUTHORIZED = 401,
  HTTP_NOT_FOUND = 404,
  HTTP_GONE = 410,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504
};

#define INTAKE_COUNTERS(X)                                                     \
  X (INTAKE_ACCEPTED, "accepted")                                              \
  X (INTAKE_REPEATED, "repeated")                                              \
  X (INTAKE_CANCELLED, "cancelled")                                            \
  X (INTAKE_REFUSED, "refused")                                                \
  X (INTAKE_OUTCOME_UNKNOWN, "unsure")                                         \
  X (INTAKE_INVALID, "invalid")                                                \
  X (INTAKE_REFUSED_EVACUATED, "refused_evacuated")

#define INTAKE_ENUM(kind, name) kind,
typedef enum IntakeCounter
{
  INTAKE_COUNTERS (INTAKE_ENUM) N_INTAKE_COUNTERS
} IntakeCounter;

/* The store call that a pending request waits for. */
typedef enum Stage
{
  STAGE_WRITE, /* write the job's record */
  STAGE_READ,  /* read the job, to see whether it exists */
  STAGE_CANCEL /* write the cancellation's record */
} Stage;

/* A request that waits for the store. */
typedef struct Pending
{
  APR_RING_ENTRY (Pending) link;
  gint64 request_id;
  RequestOp op;
  Stage stage;
  char *job_id;
  char *workspace;
  GBytes *record;
  gint64 call_id;
  /* With REQUEST_SUBMIT and STAGE_READ: the job can't be in time, as all
     domains are expected to be evacuated for so many milliseconds more.  It is
     refused unless it is stored already. */
  ClockMs evacuated_for;
  gboolean outcome_unknown; /* a write may have been executed, or still be */
  guint attempts;
  ClockMs received_at;
  ClockMs call_started_at; /* of the last call */
  ClockMs next_attempt_at; /* CLOCK_NEVER while a call is in flight */
  TimeBudget budget;
  ClockMs answer_deadline; /* latest time to send the answer */
  ClockMs conf_age;        /* age of the configuration at RECEIVED_AT */
} Pending;

APR_RING_HEAD (PendingRing, Pending);

struct Intake
{
  Effects *fx;
  JobCache *job_cache;
  Feed *feed;
  const Waiting *waiting;
  const StoreHealth *store_health;
  gboolean
      job_cache_complete; /* JOB_CACHE has the current state of every job */
  IntakeDecodeJob decode_job;
  ClockMs max_conf_age;
  const EvacuationSet *evacuations;
  const char *const *domains; /* all failure domains; NULL: not known */
  GRand *rng;                 /* spreads the retries of refused callers */
  Conf *conf;
  ClockMs now;
  ClockMs wall;
  ClockMs conf_age;  /* for the request being handled */
  TimeBudget budget; /* of the request being handled */
  CallerTimeouts timeouts;
  struct PendingRing pending;
  guint n_pending;
  gint64 counters[N_INTAKE_COUNTERS];
};

/* intake.c */
void intake_pending_free (Intake *in, Pending *p);
void intake_start_call (Intake *in, Pending *p);
void intake_continue (Intake *in, Pending *p, const JobEntry *entry);

/* intake_answer.c */
void intake_answer (Intake *in, gint64 request, const Answer *a);
void intake_refuse (Intake *in, gint64 request, int status, const char *why);
void intake_refuse_temporarily (Intake *in,
                                gint64 request,
                                ClockMs after,
                                const char *why);
void intake_refuse_evacuated (Intake *in, Pending *p);
void intake_answer_state (Intake *in, gint64 request, const JobEntry *entry);
void intake_log_outcome (Intake *in,
                         const Pending *p,
                         const char *event,
                         int status);
void intake_finish (Intake *in, Pending *p, int status);

#endif
