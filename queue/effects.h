#ifndef EFFECTS_H
#define EFFECTS_H

#include "link.h"

/* What the queue's modules want done, as data, in order. */

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
  int status; /* of HTTP */
  AnswerBody body;
  const char *text;    /* a state's name or a reason; a literal */
  gint64 number;       /* of waiting jobs */
  gboolean may_retry;  /* the caller may come back ... */
  ClockMs retry_after; /* ... in so long */
} Answer;

typedef enum EffectKind
{
  EFFECT_KV,
  EFFECT_RUN,
  EFFECT_ANSWER,
  EFFECT_LOG,
  EFFECT_MEASURE
} EffectKind;

/* X (kind, name): spans that are counted in histograms. */
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
  gboolean droppable; /* of a single task: the line may be left out first */
  Measure measure;    /* with EFFECT_MEASURE ... */
  ClockMs span;       /* ... and its value */
} Effect;

typedef struct Effects
{
  GQueue queue; /* of Effect */
  gint64 last_id;
  Link link; /* that the calls are sent over */
  ClockMs now;
} Effects;

void effects_init (Effects *fx, gint64 link_rate);
void effects_set_time (Effects *fx, ClockMs now);
void effects_clear (Effects *fx);
gint64 effects_next_id (Effects *fx);
void effects_kv (Effects *fx, KvCall *call);
void effects_run (Effects *fx, RunCall *call);
void effects_answer (Effects *fx, const Answer *answer);
void effects_log (Effects *fx, const char *format, ...) G_GNUC_PRINTF (2, 3);
void effects_log_detail (Effects *fx, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void effects_measure (Effects *fx, Measure measure, ClockMs span);
Effect *effects_pop (Effects *fx);
void effect_free (Effect *e);

#endif
