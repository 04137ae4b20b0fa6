#ifndef HTTP_STATE_H
#define HTTP_STATE_H

#include "caller_budget.h"
#include "hangup.h"
#include "http.h"

#include <apr_ring.h>
#include <microhttpd.h>

/* What the modules of the HTTP interface share.  For these alone:
   http.c         listeners, calls from their head to their answer
   http_conn.c    open connections, and when they are closed
   http_route.c   paths, headers and bodies; calls become events
   http_answer.c  answers and refusals */

enum
{
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_NOT_ALLOWED = 405,
  STATUS_TOO_LARGE = 413,
  STATUS_UNAVAILABLE = 503
};

typedef struct Listener Listener;
typedef struct HttpCall HttpCall;

/* One open connection.  It stands in the ring IDLE from its opening or its
   last answer until a request's head has come, then in RECEIVING until the
   body has; while the request is answered it stands in none. */
typedef struct HttpConn
{
  APR_RING_ENTRY (HttpConn) link;
  Listener *listener;
  int fd;
  gboolean linked;
  gboolean prolonged;     /* overdue once, with bytes that were unread */
  gboolean reading_ended; /* what has arrived is answered, then it is closed */
  gboolean answered;      /* the last request was, whole */
  gint64 n_before;        /* bytes read before it was opened, -1: unknown */
  gint64 n_requests;      /* bytes that were passed on of requests */
  gboolean body_left; /* the last request was answered before its body came */
  ClockMs until;
  CallerHold hold;
  Hangup hangup;
  HttpCall *call; /* NULL between two requests */
} HttpConn;

APR_RING_HEAD (HttpConnRing, HttpConn);

struct Listener
{
  Http *http;
  gboolean operators;
  struct MHD_Daemon *daemon;
  LoopWatch *watch;
  Hangups *hangups;
  gboolean due;
  guint n_conns;
  struct HttpConnRing idle;
  struct HttpConnRing receiving;
  GArray *kept; /* descriptors of connections to be reopened */
  CallerBudget budget;
};

/* What is done with one kind of request once it is whole: an answer is set
   at once, or an event is posted and CallerReply answers it. */
typedef struct HttpRoute
{
  const char *method;
  const char *path; /* one that ends in "/" is followed by an id */
  gboolean operators;
  void (*handle) (HttpCall *call);
  const char *answer_type;
} HttpRoute;

struct HttpCall
{
  Listener *listener;
  struct MHD_Connection *connection;
  HttpConn *conn;
  const HttpRoute *route;
  char *id; /* from the path */
  gint64 number;
  GByteArray *body;
  gsize max_body;
  gboolean overflow;   /* the body exceeds max_body */
  gboolean over_total; /* all bodies together exceed max_bodies_bytes */
  gboolean pending;
  gboolean gone;
  LoopWatch *hangup;
  struct MHD_Response *answer;
  guint status;
};

struct Http
{
  Io *io;
  Listener callers;
  Listener operators;
  GHashTable *pending; /* number to HttpCall */
  guint n_calls;       /* from their head to the last byte of their answer */
  gint64 last_number;
  guint max_conns;
};

extern const char http_json_type[];
extern const char http_no_room[];

gint64 http_wait_for_reply (HttpCall *call);

void http_conn_unlink (HttpConn *conn);
void http_conn_link (HttpConn *conn, struct HttpConnRing *ring, ClockMs span);
void http_conn_set_idle (HttpConn *conn);
void http_on_conn (void *owner,
                   struct MHD_Connection *connection,
                   void **slot,
                   enum MHD_ConnectionNotificationCode code);
gboolean http_conn_has_unread (const CallerHold *hold);
void http_keep_within_limits (Listener *l, CallerHold *asking);
void http_close_overdue (Listener *l, ClockMs now);
void http_conns_end_idle (Listener *l);
ClockMs http_ring_deadline (struct HttpConnRing *ring);

void http_find_route (HttpCall *call, const char *method, const char *path);

void http_set_answer (HttpCall *call,
                      guint status,
                      const char *type,
                      struct MHD_Response *answer);
struct MHD_Response *http_response_from_text (char *text);
struct MHD_Response *http_response_from_bytes (GBytes *bytes);
void http_set_error (HttpCall *call,
                     guint status,
                     Outcome outcome,
                     const char *reason,
                     const char *id,
                     gint64 retry_after_ms);
void http_drop_body (HttpCall *call);
void http_refuse_early (HttpCall *call);
void http_refuse (HttpCall *call, guint status, const char *reason);

#endif
