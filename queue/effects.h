#ifndef EFFECTS_H
#define EFFECTS_H

#include "link.h"
#include "rtt.h"

/* A queue of the actions that the modules request: calls, answers, log lines
   and measurements, as data.  The platform code carries them out in order, but
   calls to workers that can wait after all others, as its processor allows. */

typedef enum AnswerBody
{
  ANSWER_EMPTY,
  ANSWER_STATE,   /* a job's state */
  ANSWER_WAITING, /* how many jobs wait */
  ANSWER_ERROR    /* why the request was refused */
} AnswerBody;

/* The answer to one caller's request. */
typedef struct Answer
{
  gint64 request;
  int status; /* HTTP status code */
  AnswerBody body;
  const char *text;    /* a state's name or a reason; a literal */
  gint64 number;       /* of waiting jobs, with ANSWER_WAITING */
  gboolean may_retry;  /* the caller may retry */
  ClockMs retry_after; /* with MAY_RETRY: after this long */
} Answer;

typedef enum EffectKind
{
  EFFECT_KV,
  EFFECT_RUN,
  EFFECT_DISCONNECT_WORKERS, /* close all connections to workers */
  EFFECT_ANSWER,
  EFFECT_LOG,
  EFFECT_MEASURE
} EffectKind;

/* X (kind, name): durations that are recorded in histograms. */
#define MEASURES(X)                                                            \
  X (MEASURE_FIRST_START, "first_start")                                       \
  X (MEASURE_COMPLETION, "completion")                                         \
  X (MEASURE_TAKEOVER, "takeover")

#define MEASURE_ENUM(kind, name) kind,
typedef enum Measure
{
  MEASURES (MEASURE_ENUM) N_MEASURES
} Measure;

typedef struct Effect
{
  EffectKind kind;
  KvCall *kv;
  RunCall *run;
  Answer answer;
  char *line;         /* "event=... key=value ..." */
  gboolean droppable; /* a line about a single task: dropped first */
  Measure measure;    /* with EFFECT_MEASURE */
  ClockMs span;       /* the value, in milliseconds */
} Effect;

typedef struct Effects
{
  GQueue queue;       /* of Effect */
  GQueue later_calls; /* of Effect, all EFFECT_RUN */
  gint64 last_id;
  Link link; /* models the network link that carries the calls */
  RttEstimate store_rtt;
  ClockMs now;
} Effects;

void effects_init (Effects *fx, gint64 link_rate);
void effects_set_time (Effects *fx, ClockMs now);
void effects_clear (Effects *fx);
gint64 effects_next_id (Effects *fx);
ClockMs effects_store_timeout (const Effects *fx, ClockMs least);
void effects_kv (Effects *fx, KvCall *call);
void effects_run (Effects *fx, RunCall *call);
void effects_disconnect_workers (Effects *fx);
void effects_answer (Effects *fx, const Answer *answer);
void effects_log (Effects *fx, const char *format, ...) G_GNUC_PRINTF (2, 3);
void effects_log_detail (Effects *fx, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void effects_measure (Effects *fx, Measure measure, ClockMs span);
void effects_drop_later_calls (Effects *fx);
gboolean effects_cancel_run (Effects *fx, gint64 id);
Effect *effects_pop (Effects *fx);
Effect *effects_pop_later_call (Effects *fx);
guint effects_n_later_calls (const Effects *fx);
void effect_free (Effect *e);

#endif
