#ifndef RUN_CALL_H
#define RUN_CALL_H

#include "clock.h"

/* Calls to workers and their replies, as data: the platform's client sends
   them. */

typedef enum RunOp
{
  RUN_START,
  RUN_STOP,
  RUN_POLL /* renews the lease; lists active and ended runs */
} RunOp;

typedef enum RunStatus
{
  RUN_OK,
  RUN_FENCED,          /* the worker has seen a higher fencing token */
  RUN_SUPERSEDED,      /* this or a later run was stopped or has ended there */
  RUN_DEADLINE_PASSED, /* the lease deadline had passed on arrival */
  RUN_NO_CAPACITY,
  RUN_UNHEALTHY, /* not executed: the worker is overloaded or unhealthy */
  RUN_INVALID,
  RUN_OTHER_INCARNATION, /* another worker process has its address now */
  RUN_UNSENT,            /* not sent, so not executed */
  RUN_LOST               /* no answer: it may have been executed, or still be */
} RunStatus;

typedef enum RunEnd
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LEASE_EXPIRED,
  RUN_GANG_BROKEN,    /* another member of its gang has ended */
  RUN_GANG_INCOMPLETE /* not all members of its gang started in time */
} RunEnd;

typedef struct RunCall
{
  RunOp op;
  gint64 id;
  ClockMs timeout;
  char *worker;
  char *address;
  char *task;
  gint64 run;
  char *text;            /* the job's payload, opaque to the scheduler */
  char *checkpoint;      /* NULL for none */
  gint64 lease_deadline; /* by the worker's clock; 0 for none */
  gint64 fence;          /* fencing token of the scheduler's term */
  gint64 ack;            /* acknowledges the ends up to this sequence number */
  gboolean close_after;  /* close the connection once the call is over */
  gboolean urgent;       /* is not to wait for the processor behind others */
  ClockMs max_wait;      /* how long a poll may wait for a run to end */
} RunCall;

/* A run that the worker executes. */
typedef struct RunActive
{
  char *task;
  gint64 run;
  char *checkpoint;
  double percent;
} RunActive;

/* A run that has ended and has not been acknowledged. */
typedef struct RunEnded
{
  gint64 sequence; /* increases with each end on the worker */
  char *task;
  gint64 run;
  RunEnd how;
  char *checkpoint;
} RunEnded;

typedef struct RunReply
{
  gint64 id;
  RunStatus status;
  gint64 worker_clock; /* reading of the worker's clock; 0: not given */
  gint64 incarnation;  /* start of the worker process, Unix milliseconds; 0:
                          not given */
  GArray *running;     /* of RunActive; with RUN_POLL */
  GArray *ended;       /* of RunEnded; with RUN_POLL */
  gboolean more_ended; /* there are more ends than ENDED has */
  /* The worker closed the connection that was made for this call; it may have
     reached the limit of its connections. */
  gboolean refused;
  const char *error; /* why no answer came, a static text for logs, or NULL */
  gsize link_bytes;  /* size of the reply on the host's network link */
} RunReply;

RunCall *run_call_new (RunOp op, const char *worker, const char *address);
void run_call_free (RunCall *call);
void run_reply_init (RunReply *reply);
void run_reply_clear (RunReply *reply);
const char *run_op_name (RunOp op);
const char *run_end_name (RunEnd how);
const char *run_status_name (RunStatus status);

#endif
