#ifndef BUSY_H
#define BUSY_H

#include "clock.h"

/* Where the time of a process goes, by kind of work: counters, and a log line
   from time to time. */
typedef struct Busy Busy;

/* X (kind, name) */
#define BUSY_KINDS(X)                                                          \
  X (BUSY_IDLE, "idle")       /* waits for sockets or a timer */               \
  X (BUSY_SOCKETS, "sockets") /* reads and writes sockets */                   \
  X (BUSY_STORE, "store")     /* replies of the store */                       \
  X (BUSY_WORKERS, "workers") /* replies of workers */                         \
  X (BUSY_CALLERS, "callers") /* requests of callers */                        \
  X (BUSY_TICK, "tick")       /* what is due, without placement */             \
  X (BUSY_PLAN, "plan")       /* placement passes */                           \
  X (BUSY_EFFECTS, "effects") /* starts calls, answers callers */              \
  X (BUSY_LOG, "log")         /* writes log lines */

#define BUSY_ENUM(kind, name) kind,
typedef enum BusyKind
{
  BUSY_KINDS (BUSY_ENUM) N_BUSY_KINDS
} BusyKind;

Busy *busy_new (void);
void busy_free (Busy *b);
void busy_switch (Busy *b, BusyKind kind);
void busy_end_step (Busy *b);
void busy_append_metrics (const Busy *b, GString *text);
char *busy_log_line (Busy *b, ClockMs now);

#endif
