#ifndef LINK_H
#define LINK_H

#include "kv.h"
#include "run_call.h"

/* How full the host's own link is with what it was given to send, reckoned
   from the link's rate: no answer tells a full link from a slow peer. */
typedef struct Link
{
  gint64 bytes_per_s;   /* bytes a second; 0: not known, never full */
  double backlog_bytes; /* bytes that are not out yet ... */
  ClockMs updated_at;   /* ... at this moment */
} Link;

void link_init (Link *l, gint64 bytes_per_s);
void link_add_bytes (Link *l, ClockMs now, gsize bytes);
ClockMs link_delay (const Link *l, ClockMs now);
gboolean link_has_capacity (const Link *l, ClockMs now);
ClockMs link_interval (const Link *l, ClockMs now, ClockMs usual, ClockMs slow);
ClockMs link_capacity_at (const Link *l, ClockMs now);
gsize link_kv_call_bytes (const KvCall *call);
gsize link_run_call_bytes (const RunCall *call);

#endif
