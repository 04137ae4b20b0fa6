#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include "json.h"
#include "server.h"

/* Faults that a port injects for a while, as a POST to fault_path asks for
   them.  Each call meets one kind at most, drawn by its share. */

typedef enum FaultKind
{
  FAULT_NONE,
  FAULT_REFUSE,      /* 503, not carried out */
  FAULT_HANG,        /* no answer, not carried out */
  FAULT_LATE,        /* no answer, carried out later */
  FAULT_LOSE_ANSWER, /* carried out, then closed without an answer */
  N_FAULT_KINDS
} FaultKind;

typedef struct Faults
{
  const char *where; /* whose calls meet them, for the log */
  ClockMs until;     /* by server_now */
  ClockMs slow;      /* delay of each answer */
  ClockMs late_min;
  ClockMs late_max;
  double shares[N_FAULT_KINDS];
  guint counts[N_FAULT_KINDS]; /* of calls, all the while faults were on */
  GRand *rand;                 /* NULL before the first POST */
} Faults;

extern const char *const fault_path;

gboolean faults_on_request (Faults *f,
                            Exchange *x,
                            json_object *o,
                            const char *const *port_fields,
                            Findings *findings);
gboolean faults_strike (Faults *f, Exchange *x);

#endif
