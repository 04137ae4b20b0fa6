#ifndef RUN_CALL_H
#define RUN_CALL_H

#include "clock.h"

/* Orders to workers, as data. */

typedef enum RunOp
{
  RUN_START,
  RUN_STOP,
  RUN_POLL /* renews the lease, lists what runs and what has ended */
} RunOp;

typedef enum RunStatus
{
  RUN_OK,
  RUN_FENCED,          /* the worker has seen a higher fence */
  RUN_SUPERSEDED,      /* a run as high was stopped or has ended there */
  RUN_DEADLINE_PASSED, /* the deadline had passed */
  RUN_NO_CAPACITY,
  RUN_UNHEALTHY, /* not executed, by a worker that is not well */
  RUN_INVALID,
  RUN_OTHER_INCARNATION, /* the worker that was meant is no longer there */
  RUN_UNSENT,
  RUN_LOST /* may have been executed, or may be later */
} RunStatus;

typedef enum RunEnd
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LEASE_EXPIRED,
  RUN_GANG_BROKEN,    /* another member of its gang ended */
  RUN_GANG_INCOMPLETE /* its gang was not complete in time */
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
  char *text;            /* what the job's caller wants run */
  char *checkpoint;      /* NULL for none */
  gint64 lease_deadline; /* of the lease, on the worker's clock; 0 for none */
  gint64 fence;
  gint64 ack;       /* ends up to this number may be forgotten */
  ClockMs max_wait; /* how long a hold may wait for an end */
} RunCall;

typedef struct RunActive
{
  char *task;
  gint64 run;
  char *checkpoint;
  double percent;
} RunActive;

typedef struct RunEnded
{
  gint64 sequence;
  char *task;
  gint64 run;
  RunEnd how;
  char *checkpoint;
} RunEnded;

typedef struct RunReply
{
  gint64 id;
  RunStatus status;
  gint64 worker_clock; /* the worker's; 0 when it gave none */
  gint64 incarnation;  /* start of the worker's life, Unix milliseconds; 0: not
                          told */
  GArray *running;     /* of RunRow; with RUN_HOLD */
  GArray *ended;       /* of RunEnded; with RUN_HOLD */
  gsize link_bytes;    /* that it took on the host's link */
} RunReply;

RunCall *run_call_new (RunOp op, const char *worker, const char *address);
void run_call_free (RunCall *call);
void run_reply_init (RunReply *reply);
void run_reply_clear (RunReply *reply);
const char *run_end_name (RunEnd how);
const char *run_status_name (RunStatus status);

#endif
