#include "worker_event.h"

REC_DEFINE (WorkerCall, worker_call, WORKER_CALL_FIELDS)
REC_DEFINE (WorkerLease, worker_lease, WORKER_LEASE_FIELDS)
REC_DEFINE (WorkerReply, worker_reply, WORKER_REPLY_FIELDS)
