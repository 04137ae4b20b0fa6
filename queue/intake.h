#ifndef INTAKE_H
#define INTAKE_H

#include "book.h"
#include "conf.h"
#include "effects.h"
#include "store_health.h"
#include "waiting.h"

/* Callers' requests: who may do what, what is durable, and what is true to
   answer. */
typedef struct Intake Intake;

typedef enum RequestOp
{
  REQUEST_SUBMIT,
  REQUEST_STATE, /* of a job, or of a queue when the path ends at its prefix */
  REQUEST_CANCEL
} RequestOp;

typedef struct Request
{
  gint64 id;
  RequestOp op;
  const char *host;
  const char *path;
  const char *token; /* NULL when none came */
  GBytes *body;      /* with REQUEST_SUBMIT */
  ClockMs patience;  /* how long the caller waits */
} Request;

/* Reads a submitted job from a request's body.  Adds what is wrong to
   FINDINGS and returns FALSE then. */
typedef gboolean (*IntakeReadJob) (GBytes *body,
                                   SpecJob *job,
                                   Findings *findings);

Intake *intake_new (Effects *fx,
                    Book *book,
                    Feed *feed,
                    const Waiting *waiting,
                    const StoreHealth *reach,
                    IntakeReadJob read_job,
                    ClockMs most_conf_age);
void intake_free (Intake *in);
void intake_set_time (Intake *in, ClockMs now, ClockMs wall);
void intake_on_conf (Intake *in, Conf *conf);
void intake_set_whole (Intake *in, gboolean whole);
void intake_on_request (Intake *in, const Request *request, ClockMs conf_age);
void intake_on_gone (Intake *in, gint64 request);
gboolean intake_on_kv_reply (Intake *in, const KvReply *reply);
void intake_tick (Intake *in);
ClockMs intake_next_deadline (const Intake *in);
guint intake_n_pending (const Intake *in);
void intake_describe (const Intake *in, GString *text);

#endif
