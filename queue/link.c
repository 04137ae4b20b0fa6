#include "link.h"

#include <string.h>

enum
{
  /* Per call: the HTTP header, and the headers of the packets that carry the
     call, open the connection and acknowledge the reply. */
  CALL_OVERHEAD_BYTES = 230,
  ENTRY_OVERHEAD_BYTES = 60, /* per condition or write, with its key */
  MAX_DELAY_MS = 120         /* a longer queue makes replies look lost */
};

/* Fraction of the link for the calls counted here; callers, watches and
   acknowledgements need the rest. */
static const double usable_fraction = 0.90;

static const double ms_per_s = 1000.0;

/* Initializes L for a link of BYTES_PER_S, 0 when unknown. */
void
link_init (Link *l, gint64 bytes_per_s)
{
  *l = (Link) { .bytes_per_s = bytes_per_s };
}

static double
bytes_per_ms (const Link *l)
{
  return (double)l->bytes_per_s * usable_fraction / ms_per_s;
}

/* Returns the bytes of L that are still queued at NOW. */
static double
backlog_at (const Link *l, ClockMs now)
{
  double sent = (double)MAX (now - l->updated_at, 0) * bytes_per_ms (l);

  return MAX (l->backlog_bytes - sent, 0.0);
}

/* Adds BYTES, passed to L at NOW, to the backlog. */
void
link_add_bytes (Link *l, ClockMs now, gsize bytes)
{
  if (!l->bytes_per_s)
    return;
  l->backlog_bytes = backlog_at (l, now) + (double)bytes;
  l->updated_at = MAX (now, l->updated_at);
}

/* Takes BYTES, which were added for a call that is sent only now, from the
   backlog again. */
void
link_remove_bytes (Link *l, ClockMs now, gsize bytes)
{
  if (!l->bytes_per_s)
    return;
  l->backlog_bytes = MAX (backlog_at (l, now) - (double)bytes, 0.0);
  l->updated_at = MAX (now, l->updated_at);
}

/* Returns how many milliseconds it takes to drain L's backlog. */
ClockMs
link_delay (const Link *l, ClockMs now)
{
  return l->bytes_per_s ? (ClockMs)(backlog_at (l, now) / bytes_per_ms (l)) : 0;
}

/* Tells whether more orders may be sent.  When there are more than a slow link
   carries, they wait in the scheduler, where they can still be reordered, and
   those in flight get their replies in time. */
gboolean
link_has_capacity (const Link *l, ClockMs now)
{
  return link_delay (l, now) <= MAX_DELAY_MS;
}

/* Returns the interval in milliseconds between calls that can wait: USUAL, or
   SLOW while the link is full, so polls and reports leave room for orders. */
ClockMs
link_interval (const Link *l, ClockMs now, ClockMs usual, ClockMs slow)
{
  return link_has_capacity (l, now) ? usual : slow;
}

/* Returns when link_has_capacity becomes true if nothing more is sent. */
ClockMs
link_capacity_at (const Link *l, ClockMs now)
{
  return now + MAX (link_delay (l, now) - MAX_DELAY_MS, 0);
}

/* Returns the approximate size of CALL on the link. */
gsize
link_kv_call_bytes (const KvCall *call)
{
  gsize bytes = CALL_OVERHEAD_BYTES;
  guint i;

  if (call->preconditions)
    bytes += (gsize)call->preconditions->len * ENTRY_OVERHEAD_BYTES;
  for (i = 0; call->writes && i < call->writes->len; i++)
    {
      const KvWrite *w = &g_array_index (call->writes, KvWrite, i);

      /* Values are sent as base64. */
      bytes += ENTRY_OVERHEAD_BYTES +
               (w->value ? g_bytes_get_size (w->value) * 4 / 3 : 0);
    }
  return bytes;
}

/* Returns the approximate size on the link of an order that carries TEXT and
   CHECKPOINT; either may be NULL. */
gsize
link_order_bytes (const char *text, const char *checkpoint)
{
  return CALL_OVERHEAD_BYTES + (text ? strlen (text) : 0) +
         (checkpoint ? strlen (checkpoint) : 0);
}

/* Returns the approximate size of CALL on the link. */
gsize
link_run_call_bytes (const RunCall *call)
{
  return link_order_bytes (call->text, call->checkpoint);
}
