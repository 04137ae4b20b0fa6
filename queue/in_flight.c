#include "in_flight.h"

enum
{
  /* How long after its time-out a call may be without a reply: a slow host
     begins it, and notices its end, some steps late. */
  MARGIN_MS = 2000
};

static const char *const peer_names[N_IN_FLIGHT_PEERS] = {
  [IN_FLIGHT_STORE] = "store",
  [IN_FLIGHT_WORKER] = "worker",
};

static void
call_free (gpointer p)
{
  InFlightCall *call = p;

  g_free (call->worker);
  g_free (call);
}

/* Initializes F without calls. */
void
in_flight_init (InFlight *f)
{
  *f = (InFlight) { .n_overdue = { 0 } };
  f->calls =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  timer_heap_init (&f->overdue);
}

/* Frees the members of F. */
void
in_flight_clear (InFlight *f)
{
  g_clear_pointer (&f->calls, g_hash_table_unref);
  timer_heap_clear (&f->overdue);
}

static InFlightCall *
call_new (const Effect *e)
{
  InFlightCall *call = g_new0 (InFlightCall, 1);

  if (e->kind == EFFECT_KV)
    {
      call->id = e->kv->id;
      call->peer = IN_FLIGHT_STORE;
      call->op = kv_op_name (e->kv->op);
      call->timeout = e->kv->timeout;
      return call;
    }
  call->id = e->run->id;
  call->peer = IN_FLIGHT_WORKER;
  call->op = run_op_name (e->run->op);
  call->worker = g_strdup (e->run->worker);
  call->timeout = e->run->timeout;
  return call;
}

/* Adds the call that E, which is carried out at NOW, asks for; nothing if E is
   no call. */
void
in_flight_add (InFlight *f, const Effect *e, ClockMs now)
{
  InFlightCall *call;

  if (e->kind != EFFECT_KV && e->kind != EFFECT_RUN)
    return;
  call = call_new (e);
  call->began_at = now;
  call->overdue.owner = call;
  timer_heap_arm (&f->overdue, &call->overdue, now + call->timeout + MARGIN_MS);
  g_hash_table_insert (f->calls, &call->id, call);
  f->n[call->peer]++;
}

/* Removes the call with the number ID.  Returns FALSE if there is none. */
gboolean
in_flight_remove (InFlight *f, gint64 id)
{
  InFlightCall *call = g_hash_table_lookup (f->calls, &id);

  if (!call)
    return FALSE;
  timer_heap_stop (&f->overdue, &call->overdue);
  f->n[call->peer]--;
  g_hash_table_remove (f->calls, &id);
  return TRUE;
}

/* Returns a call that is overdue at NOW and counts it, or NULL.  Returns each
   once. */
const InFlightCall *
in_flight_next_overdue (InFlight *f, ClockMs now)
{
  Timer *timer = timer_heap_pop (&f->overdue, now);
  const InFlightCall *call;

  if (!timer)
    return NULL;
  call = timer->owner;
  f->n_overdue[call->peer]++;
  return call;
}

/* Returns when the next call will be overdue, or CLOCK_NEVER. */
ClockMs
in_flight_next_deadline (const InFlight *f)
{
  return timer_heap_next (&f->overdue);
}

/* Returns for how long the longest call has been in flight beyond its time-out;
   0 if none has. */
static ClockMs
longest_overrun (const InFlight *f, ClockMs now)
{
  GHashTableIter i;
  gpointer value;
  ClockMs longest = 0;

  g_hash_table_iter_init (&i, f->calls);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const InFlightCall *call = value;

      longest = MAX (longest, now - call->began_at - call->timeout);
    }
  return longest;
}

/* Appends F's metrics at NOW to TEXT, one per line. */
void
in_flight_append_metrics (const InFlight *f, GString *text, ClockMs now)
{
  guint i;

  for (i = 0; i < N_IN_FLIGHT_PEERS; i++)
    {
      g_string_append_printf (
          text, "wagtailpass_calls_without_reply{peer=\"%s\"} %u\n",
          peer_names[i], f->n[i]);
      g_string_append_printf (
          text,
          "wagtailpass_calls_given_up_total{peer=\"%s\"} %" G_GINT64_FORMAT
          "\n",
          peer_names[i], f->n_overdue[i]);
    }
  g_string_append_printf (text,
                          "wagtailpass_calls_overrun_ms %" CLOCK_MS_FORMAT "\n",
                          longest_overrun (f, now));
}
