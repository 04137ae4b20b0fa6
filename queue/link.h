#ifndef LINK_H
#define LINK_H

#include "kv.h"
#include "run_call.h"

/* Estimate of the bytes queued on this host's own link, computed from its rate:
   a late reply does not show whether the link is full or the peer slow. */
typedef struct Link
{
  gint64 bytes_per_s;   /* 0: unknown, the link is then never full */
  double backlog_bytes; /* not transferred yet */
  ClockMs updated_at;   /* when BACKLOG_BYTES was last computed */
} Link;

void link_init (Link *l, gint64 bytes_per_s);
void link_add_bytes (Link *l, ClockMs now, gsize bytes);
void link_remove_bytes (Link *l, ClockMs now, gsize bytes);
ClockMs link_delay (const Link *l, ClockMs now);
gboolean link_has_capacity (const Link *l, ClockMs now);
ClockMs link_interval (const Link *l, ClockMs now, ClockMs usual, ClockMs slow);
ClockMs link_capacity_at (const Link *l, ClockMs now);
gsize link_kv_call_bytes (const KvCall *call);
gsize link_order_bytes (const char *text, const char *checkpoint);
gsize link_run_call_bytes (const RunCall *call);

#endif
