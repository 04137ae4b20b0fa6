#ifndef REQ_EVENT_H
#define REQ_EVENT_H

#include "caller_event.h"
#include "slots_event.h"
#include "upstream_event.h"

#define REQ_EVENTS(X)                                                          \
  X (EV_REQUEST, "request", caller_request, req_on_request)                    \
  X (EV_REQUEST_ASK, "request_ask", caller_ask, req_on_ask)                    \
  X (EV_REQUEST_CANCEL, "request_cancel", caller_ask, req_on_cancel)           \
  X (EV_CALLER_GONE, "caller_gone", caller_gone, req_on_caller_gone)           \
  X (EV_UPSTREAM_REPLY, "upstream_reply", upstream_reply,                      \
     req_on_upstream_reply)                                                    \
  X (EV_UPSTREAM_PROBED, "upstream_probed", upstream_probed,                   \
     req_on_upstream_probed)                                                   \
  X (MSG_SLOTS_WANT, "slots_want", slots_want, slots_on_want)                  \
  X (MSG_SLOTS_LEND, "slots_lend", slots_lend, slots_on_lend)                  \
  X (MSG_SLOTS_HELD, "slots_held", slots_held, slots_on_held)

#define REQ_EFFECTS(X)                                                         \
  X (FX_REPLY, "reply", caller_reply)                                          \
  X (FX_UPSTREAM_SEND, "upstream_send", upstream_send)                         \
  X (FX_UPSTREAM_ASK, "upstream_ask", upstream_ask)                            \
  X (FX_UPSTREAM_CANCEL, "upstream_cancel", upstream_ask)                      \
  /* Closes the connection of an attempt, of which no reply is wanted. */      \
  X (FX_UPSTREAM_DROP, "upstream_drop", upstream_ask)                          \
  X (FX_UPSTREAM_PROBE, "upstream_probe", upstream_probe)

#define REQ_COUNTERS(X)                                                        \
  X (COUNT_REQUESTS, "requests_total", "Requests received.")                   \
  X (COUNT_ANSWERED, "requests_answered_total", "Requests answered.")          \
  X (COUNT_FAILED, "requests_failed_total", "Requests that ran and failed.")   \
  X (COUNT_NOT_RUN, "requests_not_run_total",                                  \
     "Requests refused of which nothing ran.")                                 \
  X (COUNT_UNKNOWN, "requests_unknown_total",                                  \
     "Requests of which it is not known whether they ran.")                    \
  X (COUNT_REFUSED_QUEUE, "requests_refused_queue_total",                      \
     "Requests refused because a queue was full.")                             \
  X (COUNT_REFUSED_RATE, "requests_refused_rate_total",                        \
     "Requests refused because of their workspace's limits.")                  \
  X (COUNT_REFUSED_DEADLINE, "requests_refused_deadline_total",                \
     "Requests refused because their deadline could not be met.")              \
  X (COUNT_REFUSED_STORE, "requests_refused_store_total",                      \
     "Requests refused because they could not be claimed.")                    \
  X (COUNT_DEMOTED, "requests_demoted_total",                                  \
     "Interactive requests above their workspace's rate, taken as batch.")     \
  X (COUNT_ATTACHED, "requests_attached_total",                                \
     "Requests that joined one with the same idempotency key.")                \
  X (COUNT_RETRIES, "request_retries_total",                                   \
     "Attempts after one that may have run, within the retry budget.")         \
  X (COUNT_RETRIES_DENIED, "request_retries_denied_total",                     \
     "Attempts not made because the retry budget was spent.")                  \
  X (COUNT_REPLACED, "request_replacements_total",                             \
     "Attempts after one that certainly did not run.")                         \
  X (COUNT_SILENCES, "request_silences_total",                                 \
     "Requests asked after because their connection was silent.")              \
  X (COUNT_ASKS_OVERDUE, "upstream_asks_overdue_total",                        \
     "Questions after a request that the host itself ended.")                  \
  X (COUNT_PROBES_OVERDUE, "upstream_probes_overdue_total",                    \
     "Probes of upstreams that the host itself ended.")                        \
  X (COUNT_LATE, "upstream_replies_late_total",                                \
     "Replies of upstreams that nothing waited for.")                          \
  X (COUNT_SPILLED, "requests_spilled_total",                                  \
     "Requests sent to another failure domain.")                               \
  X (COUNT_CANCELLED, "requests_cancelled_total",                              \
     "Requests ended by their callers.")                                       \
  X (COUNT_WAITING, "requests_waiting", "Requests that wait.")                 \
  X (COUNT_RUNNING, "requests_running", "Requests that hold a slot.")          \
  X (COUNT_SLOTS_WANTED, "slots_wanted_total", "Asks to peers for slots.")     \
  X (COUNT_SLOTS_BORROWED, "slots_borrowed_total",                             \
     "Slots borrowed from peers.")                                             \
  X (COUNT_CLAIM_WRITES, "claim_writes_total",                                 \
     "Writes to the store for requests that run at most once.")                \
  X (COUNT_CLAIM_BACKLOG, "claim_backlog",                                     \
     "Outcomes not yet written to the store.")

#define REQ_NOTES(X)                                                           \
  X (NOTE_REQUEST, "request")                                                  \
  X (NOTE_REQUEST_SENT, "request_sent")                                        \
  X (NOTE_REQUEST_ENDED, "request_ended")                                      \
  X (NOTE_REQUEST_CUT_OFF, "request_cut_off")                                  \
  X (NOTE_UPSTREAM_UNREACHABLE, "upstream_unreachable")                        \
  X (NOTE_UPSTREAM_REACHABLE, "upstream_reachable")                            \
  X (NOTE_UPSTREAM_DEGRADED, "upstream_degraded")                              \
  X (NOTE_UPSTREAM_HEALTHY, "upstream_healthy")

#endif
