#ifndef METRICS_H
#define METRICS_H

#include "core.h"

/* Counters of the shell, beside those of the core, and the text form in
   which both are shown. */

/* X (kind, name, help) */
#define SHELL_COUNTERS(X)                                                      \
  X (SHELL_HTTP_CONNECTIONS, "http_connections", "Callers' open connections.") \
  X (SHELL_HTTP_CALLS, "http_calls_total", "HTTP requests received.")          \
  X (SHELL_HTTP_REFUSED, "http_refused_total",                                 \
     "HTTP requests refused before they reached the core.")                    \
  X (SHELL_HTTP_CLOSED, "http_closed_total",                                   \
     "Callers' connections closed as idle, slow or too many.")                 \
  X (SHELL_HTTP_REOPENED, "http_reopened_total",                               \
     "Callers' connections whose next request was there at their end.")        \
  X (SHELL_HTTP_GONE, "http_gone_total",                                       \
     "Callers that hung up before their answer.")                              \
  X (SHELL_BODY_BYTES, "http_body_bytes", "Bytes of callers' bodies held.")    \
  X (SHELL_CALLS, "client_calls_total",                                        \
     "Calls to store, workers and upstreams.")                                 \
  X (SHELL_CALLS_OPEN, "client_calls_open", "Calls under way.")                \
  X (SHELL_CALLS_WAITING, "client_calls_waiting",                              \
     "Calls that wait for a connection.")                                      \
  X (SHELL_CALLS_UNSENT, "client_unsent_total",                                \
     "Calls of which no byte left this host.")                                 \
  X (SHELL_CALLS_LOST, "client_lost_total",                                    \
     "Calls that were sent and got no whole answer.")                          \
  X (SHELL_CALLS_OVERDUE, "client_overdue_total",                              \
     "Calls that were not over when their time was.")                          \
  X (SHELL_CONTROL_BYTES_OUT, "control_bytes_sent_total",                      \
     "Bytes sent in calls to the store and the workers.")                      \
  X (SHELL_CONTROL_BYTES_IN, "control_bytes_received_total",                   \
     "Bytes received in answers of the store and the workers.")                \
  X (SHELL_WIRE_PEERS, "wire_peers", "Peers to which a connection is up.")     \
  X (SHELL_WIRE_FRAMES_OUT, "wire_frames_sent_total",                          \
     "Frames sent to other hosts.")                                            \
  X (SHELL_WIRE_FRAMES_IN, "wire_frames_received_total",                       \
     "Frames taken from other hosts.")                                         \
  X (SHELL_WIRE_BYTES_OUT, "wire_bytes_sent_total",                            \
     "Bytes sent to other hosts.")                                             \
  X (SHELL_WIRE_BYTES_IN, "wire_bytes_received_total",                         \
     "Bytes received from other hosts.")                                       \
  X (SHELL_WIRE_DROPPED, "wire_dropped_total",                                 \
     "Messages dropped for want of a connection or of room.")                  \
  X (SHELL_WIRE_REFUSED, "wire_refused_total",                                 \
     "Connections closed for a bad key, frame or message.")

#define SHELL_COUNTER_ENUM(kind, name, help) kind,
typedef enum ShellCounter
{
  SHELL_COUNTERS (SHELL_COUNTER_ENUM) N_SHELL_COUNTERS
} ShellCounter;

const char *metrics_shell_name (ShellCounter n);
char *metrics_text (const Core *core, const gint64 *shell);

#endif
