#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <glib.h>
#include <microhttpd.h>

#include "clock.h"
#include "rec.h"
#include "timer.h"

/* A small HTTP server for the stand-ins: any number of ports, one thread,
   replies at once, after a delay, or never. */

typedef struct Server Server;
typedef struct Port Port;

/* One request, whole.  It lives until its reply has been sent. */
typedef struct Exchange
{
  Port *port;
  const char *method;
  char *path;
  GByteArray *body;
  struct MHD_Connection *connection;
  struct MHD_Response *response;
  unsigned status;
  Timer timer;
  gboolean suspended;
  gboolean handled;
  ClockMs delay;         /* of its answer, besides what the handler asks for */
  gboolean loses_answer; /* the connection closes in place of the answer */
  gboolean deferred;     /* has no connection: nobody gets its answer */
} Exchange;

typedef void (*ExchangeFunc) (Exchange *x, void *data);

Server *server_new (void);
gboolean server_listen (Server *s,
                        const char *address,
                        int port,
                        ExchangeFunc handle,
                        void *data);
void server_arm (Server *s, Timer *t, ClockMs at);
void server_run (Server *s, ClockMs end);
void server_stop_listening (Server *s);
void server_free (Server *s);
ClockMs server_now (void);

const char *exchange_header (const Exchange *x, const char *name);
void exchange_reply (Exchange *x,
                     ClockMs delay,
                     unsigned status,
                     const char *header,
                     const void *data,
                     gsize n);
void exchange_reply_record (Exchange *x,
                            ClockMs delay,
                            const RecDesc *d,
                            const void *rec);
void exchange_hang (Exchange *x);
void exchange_close (Exchange *x);
void exchange_abandon (Exchange *x);
void exchange_defer (Exchange *x, ClockMs delay);
gboolean
exchange_record (Exchange *x, const RecDesc *d, void *rec, RecMissing missing);

#endif
