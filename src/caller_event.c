#include "caller_event.h"

REC_DEFINE (CallerRequest, caller_request, CALLER_REQUEST_FIELDS)
REC_DEFINE (CallerAsk, caller_ask, CALLER_ASK_FIELDS)
REC_DEFINE (CallerJob, caller_job, CALLER_JOB_FIELDS)
REC_DEFINE (CallerGone, caller_gone, CALLER_GONE_FIELDS)
REC_DEFINE (CallerOperator, caller_operator, CALLER_OPERATOR_FIELDS)
REC_DEFINE (CallerReply, caller_reply, CALLER_REPLY_FIELDS)
