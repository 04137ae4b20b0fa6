#include "effects.h"

enum
{
  /* Round trips raise the time-out of a call to the store up to this, so that a
     lost call can be repeated while its caller still waits. */
  STORE_TIMEOUT_MAX_MS = 1500
};

/* Initializes FX with an empty queue.  LINK_RATE is the capacity of the host's
   network link in bytes per second, 0 when it is unknown. */
void
effects_init (Effects *fx, gint64 link_rate)
{
  *fx = (Effects) { .last_id = 0 };
  g_queue_init (&fx->queue);
  g_queue_init (&fx->later_calls);
  link_init (&fx->link, link_rate);
}

/* Sets the current time, by the host's clock. */
void
effects_set_time (Effects *fx, ClockMs now)
{
  fx->now = now;
}

/* Frees the queued effects. */
void
effects_clear (Effects *fx)
{
  Effect *e;

  while ((e = effects_pop (fx)))
    effect_free (e);
  effects_drop_later_calls (fx);
}

/* Drops the calls to workers that have not been carried out. */
void
effects_drop_later_calls (Effects *fx)
{
  Effect *e;

  while ((e = effects_pop_later_call (fx)))
    effect_free (e);
}

/* Returns a new call id, higher than all earlier ones. */
gint64
effects_next_id (Effects *fx)
{
  return ++fx->last_id;
}

static Effect *
push_to (GQueue *queue, EffectKind kind)
{
  Effect *e = g_new0 (Effect, 1);

  e->kind = kind;
  g_queue_push_tail (queue, e);
  return e;
}

static Effect *
push_effect (Effects *fx, EffectKind kind)
{
  return push_to (&fx->queue, kind);
}

/* Returns the time-out of a call to the store in milliseconds, by its round
   trips: at least LEAST. */
ClockMs
effects_store_timeout (const Effects *fx, ClockMs least)
{
  return rtt_timeout (&fx->store_rtt, least,
                      MAX (least, (ClockMs)STORE_TIMEOUT_MAX_MS));
}

/* Queues CALL to the store and takes ownership of it.  Unless the timeout is
   firm, it is raised for long round trips and extended by the time until the
   link can send the call. */
void
effects_kv (Effects *fx, KvCall *call)
{
  if (!call->fixed_timeout)
    call->timeout = effects_store_timeout (fx, call->timeout) +
                    link_delay (&fx->link, fx->now);
  link_add_bytes (&fx->link, fx->now, link_kv_call_bytes (call));
  push_effect (fx, EFFECT_KV)->kv = call;
}

/* Queues CALL to its worker and takes ownership of it.  The timeout is
   extended by the time until the link can send the call. */
void
effects_run (Effects *fx, RunCall *call)
{
  call->timeout += link_delay (&fx->link, fx->now);
  link_add_bytes (&fx->link, fx->now, link_run_call_bytes (call));
  push_to (call->urgent ? &fx->queue : &fx->later_calls, EFFECT_RUN)->run =
      call;
}

/* Queues the closing of all connections to workers. */
void
effects_disconnect_workers (Effects *fx)
{
  push_effect (fx, EFFECT_DISCONNECT_WORKERS);
}

/* Queues ANSWER to a caller's request. */
void
effects_answer (Effects *fx, const Answer *answer)
{
  push_effect (fx, EFFECT_ANSWER)->answer = *answer;
}

/* Queues a log line of the form "event=NAME key=value ...". */
void
effects_log (Effects *fx, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  push_effect (fx, EFFECT_LOG)->line = g_strdup_vprintf (format, args);
  va_end (args);
}

/* Queues a log line about a single task.  There may be many of these, so they
   are dropped first when the log exceeds its rate or buffer limit. */
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

/* Queues the recording of SPAN, in milliseconds, in the histogram of
   MEASURE. */
void
effects_measure (Effects *fx, Measure measure, ClockMs span)
{
  Effect *e = push_effect (fx, EFFECT_MEASURE);

  e->measure = measure;
  e->span = span;
}

/* Returns the link in QUEUE of the call to a worker with the number ID, or
   NULL. */
static GList *
find_run (const GQueue *queue, gint64 id)
{
  GList *i;

  for (i = queue->head; i; i = i->next)
    {
      const Effect *e = i->data;

      if (e->kind == EFFECT_RUN && e->run->id == id)
        return i;
    }
  return NULL;
}

/* Removes the call to a worker with the number ID if it has not been popped.
   Returns whether it was removed. */
gboolean
effects_cancel_run (Effects *fx, gint64 id)
{
  GQueue *queue = &fx->later_calls;
  GList *i = find_run (queue, id);
  Effect *e;

  if (!i)
    {
      queue = &fx->queue;
      i = find_run (queue, id);
    }
  if (!i)
    return FALSE;
  e = i->data;
  link_remove_bytes (&fx->link, fx->now, link_run_call_bytes (e->run));
  effect_free (e);
  g_queue_delete_link (queue, i);
  return TRUE;
}

/* Removes and returns the oldest effect, or NULL.  The caller frees it. */
Effect *
effects_pop (Effects *fx)
{
  return g_queue_pop_head (&fx->queue);
}

/* Like effects_pop, for the calls to workers that can wait. */
Effect *
effects_pop_later_call (Effects *fx)
{
  return g_queue_pop_head (&fx->later_calls);
}

/* Returns how many calls to workers wait to be carried out. */
guint
effects_n_later_calls (const Effects *fx)
{
  return fx->later_calls.length;
}

/* Frees E. */
void
effect_free (Effect *e)
{
  kv_call_free (e->kv);
  run_call_free (e->run);
  g_free (e->line);
  g_free (e);
}
