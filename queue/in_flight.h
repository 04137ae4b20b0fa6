#ifndef IN_FLIGHT_H
#define IN_FLIGHT_H

#include "effects.h"
#include "timer.h"

/* The calls to the store and to workers that were handed to the platform code
   and have got no reply yet.  Whoever carries them out has to reply to each
   within its time-out; a call without a reply some time after that is
   overdue. */

typedef enum InFlightPeer
{
  IN_FLIGHT_STORE,
  IN_FLIGHT_WORKER,
  N_IN_FLIGHT_PEERS
} InFlightPeer;

typedef struct InFlightCall
{
  gint64 id;
  InFlightPeer peer;
  const char *op;
  char *worker; /* NULL with IN_FLIGHT_STORE */
  ClockMs began_at;
  ClockMs timeout;
  Timer overdue;
} InFlightCall;

typedef struct InFlight
{
  GHashTable *calls; /* id to InFlightCall, which it owns */
  TimerHeap overdue;
  guint n[N_IN_FLIGHT_PEERS];
  gint64 n_overdue[N_IN_FLIGHT_PEERS];
} InFlight;

void in_flight_init (InFlight *f);
void in_flight_clear (InFlight *f);
void in_flight_add (InFlight *f, const Effect *e, ClockMs now);
gboolean in_flight_remove (InFlight *f, gint64 id);
const InFlightCall *in_flight_next_overdue (InFlight *f, ClockMs now);
ClockMs in_flight_next_deadline (const InFlight *f);
void in_flight_append_metrics (const InFlight *f, GString *text, ClockMs now);

#endif
