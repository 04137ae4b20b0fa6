#include "effects.h"

/* Prepares FX, without effects, for a host whose link carries LINK_RATE bytes
   a second, 0 when that is not known. */
void
effects_init (Effects *fx, gint64 link_rate)
{
  *fx = (Effects) { .last_id = 0 };
  g_queue_init (&fx->queue);
  link_init (&fx->link, link_rate);
}

/* Tells FX the time, on the host's clock. */
void
effects_set_time (Effects *fx, ClockMs now)
{
  fx->now = now;
}

/* Releases what FX holds. */
void
effects_clear (Effects *fx)
{
  Effect *e;

  while ((e = effects_pop (fx)))
    effect_free (e);
}

/* Returns a number that no earlier call has. */
gint64
effects_next_id (Effects *fx)
{
  return ++fx->last_id;
}

static Effect *
push_effect (Effects *fx, EffectKind kind)
{
  Effect *e = g_new0 (Effect, 1);

  e->kind = kind;
  g_queue_push_tail (&fx->queue, e);
  return e;
}

/* Asks for CALL, which becomes FX's, to be made.  Unless its time-out is
   firm, it begins when the link has room for the call. */
void
effects_kv (Effects *fx, KvCall *call)
{
  if (!call->firm)
    call->timeout += link_delay (&fx->link, fx->now);
  link_add (&fx->link, fx->now, link_bytes_of_kv (call));
  push_effect (fx, EFFECT_KV)->kv = call;
}

/* Asks for CALL, which becomes FX's, to be sent to its worker.  Its time-out
   begins when the link has room for it. */
void
effects_run (Effects *fx, RunCall *call)
{
  call->timeout += link_delay (&fx->link, fx->now);
  link_add (&fx->link, fx->now, link_bytes_of_run (call));
  push_effect (fx, EFFECT_RUN)->run = call;
}

/* Asks for ANSWER to be sent to its caller. */
void
effects_answer (Effects *fx, const Answer *answer)
{
  push_effect (fx, EFFECT_ANSWER)->answer = *answer;
}

/* Asks for a line to be logged: "event=NAME" and pairs of key and value. */
void
effects_log (Effects *fx, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  push_effect (fx, EFFECT_LOG)->line = g_strdup_vprintf (format, args);
  va_end (args);
}

/* Asks for a line about a single task, of which there may be many. */
void
effects_log_detail (Effects *fx, const char *format, ...)
{
  Effect *e = push_effect (fx, EFFECT_LOG);
  va_list args;

  va_start (args, format);
  e->line = g_strdup_vprintf (format, args);
  va_end (args);
  e->droppable = TRUE;
}

/* Asks for SPAN, in milliseconds, to be counted under MEASURE. */
void
effects_measure (Effects *fx, Measure measure, ClockMs span)
{
  Effect *e = push_effect (fx, EFFECT_MEASURE);

  e->measure = measure;
  e->span = span;
}

/* Takes the oldest effect, to be freed by the caller, or NULL. */
Effect *
effects_pop (Effects *fx)
{
  return g_queue_pop_head (&fx->queue);
}

/* Releases E. */
void
effect_free (Effect *e)
{
  kv_call_free (e->kv);
  run_call_free (e->run);
  g_free (e->line);
  g_free (e);
}
