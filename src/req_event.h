#ifndef REQ_EVENT_H
#define REQ_EVENT_H

#include "caller_event.h"
#include "upstream_event.h"

#define REQ_EVENTS(X)                                                          \
  X (EV_REQUEST, "request", caller_request, req_on_request)                    \
  X (EV_REQUEST_ASK, "request_ask", caller_ask, req_on_ask)                    \
  X (EV_REQUEST_CANCEL, "request_cancel", caller_ask, req_on_cancel)           \
  X (EV_CALLER_GONE, "caller_gone", caller_gone, req_on_caller_gone)           \
  X (EV_UPSTREAM_REPLY, "upstream_reply", upstream_reply,                      \
     req_on_upstream_reply)                                                    \
  X (EV_UPSTREAM_PROBED, "upstream_probed", upstream_probed,                   \
     req_on_upstream_probed)

#define REQ_EFFECTS(X)                                                         \
  X (FX_REPLY, "reply", caller_reply)                                          \
  X (FX_UPSTREAM_SEND, "upstream_send", upstream_send)                         \
  X (FX_UPSTREAM_ASK, "upstream_ask", upstream_ask)                            \
  X (FX_UPSTREAM_CANCEL, "upstream_cancel", upstream_ask)                      \
  X (FX_UPSTREAM_PROBE, "upstream_probe", upstream_probe)

#define REQ_COUNTERS(X)                                                        \
  X (COUNT_REQUESTS, "requests_total", "Requests received.")                   \
  X (COUNT_ANSWERED, "requests_answered_total", "Requests answered.")          \
  X (COUNT_FAILED, "requests_failed_total", "Requests that ran and failed.")   \
  X (COUNT_NOT_RUN, "requests_not_run_total",                                  \
     "Requests refused of which nothing ran.")                                 \
  X (COUNT_UNKNOWN, "requests_unknown_total",                                  \
     "Requests of which it is not known whether they ran.")

#define REQ_NOTES(X)                                                           \
  X (NOTE_REQUEST, "request")                                                  \
  X (NOTE_REQUEST_SENT, "request_sent")                                        \
  X (NOTE_REQUEST_ENDED, "request_ended")

#endif
