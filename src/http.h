#ifndef HTTP_H
#define HTTP_H

#include "io.h"

/* The callers' and the operators' interface over HTTP. */
typedef struct Http Http;

Http *http_new (Io *io, GError **error);
void http_free (Http *h);
guint http_port (const Http *h, gboolean operators);
void http_reply (Http *h, const CallerReply *reply);
void http_run (Http *h);
ClockMs http_next_deadline (Http *h);
void http_stop_listening (Http *h);
void http_end_idle (Http *h);
guint http_n_connections (const Http *h);
guint http_n_calls (const Http *h);
void http_log_pending (const Http *h);

#endif
