#include "http_state.h"

#include "mhd.h"

#include <sys/socket.h>

enum
{
  /* Of what bodies may hold this part may stand unread in the kernel. */
  UNREAD_DIVISOR = 4
};

/* Takes CONN out of the ring in which it stands, if any. */
void
http_conn_unlink (HttpConn *conn)
{
  if (conn->linked)
    APR_RING_REMOVE (conn, link);
  conn->linked = FALSE;
}

/* Moves CONN to the end of RING, to be closed after SPAN milliseconds. */
void
http_conn_link (HttpConn *conn, struct HttpConnRing *ring, ClockMs span)
{
  http_conn_unlink (conn);
  conn->linked = TRUE;
  conn->prolonged = FALSE;
  conn->until = io_now (conn->listener->http->io) + span;
  APR_RING_INSERT_TAIL (ring, conn, HttpConn, link);
}

/* Makes CONN wait for its next request. */
void
http_conn_set_idle (HttpConn *conn)
{
  http_conn_link (conn, &conn->listener->idle,
                  io_settings (conn->listener->http->io)->idle_ms);
}

/* Makes the library close the idle CONN, once what has arrived on it is read
   and answered. */
static void
end_idle (HttpConn *conn)
{
  http_conn_unlink (conn);
  conn->reading_ended = TRUE;
  shutdown (conn->fd, SHUT_RD);
  conn->listener->due = TRUE;
}

/* Makes the library close CONN, whose request takes too long to arrive. */
static void
cut (HttpConn *conn)
{
  http_conn_unlink (conn);
  shutdown (conn->fd, SHUT_RDWR);
  conn->listener->due = TRUE;
}

/* Gives CONN as long again if bytes stand unread on it, once.  Returns whether
   it did. */
static gboolean
prolong (HttpConn *conn, struct HttpConnRing *ring, ClockMs span)
{
  if (conn->prolonged || !mhd_has_unread (conn->fd))
    return FALSE;
  http_conn_link (conn, ring, span);
  conn->prolonged = TRUE;
  return TRUE;
}

/* Closes CONN, of which nothing is worked on.  A body of it is refused. */
static void
close_conn (HttpConn *conn)
{
  HttpCall *call = conn->call;
  gboolean receiving = call && !call->answer;

  if (receiving)
    {
      http_drop_body (call);
      call->over_total = TRUE;
      http_refuse_early (call);
    }
  io_count (conn->listener->http->io, SHELL_HTTP_CLOSED, 1);
  caller_budget_close (&conn->listener->budget, &conn->hold);
  if (call)
    cut (conn);
  else
    end_idle (conn);
}

/* Makes CALL's body, which is being received, be read to its end without being
   kept, and then refused. */
static void
refuse_body (HttpCall *call)
{
  Listener *l = call->listener;

  http_drop_body (call);
  call->over_total = TRUE;
  caller_budget_enter (&l->budget, &call->conn->hold, CALLER_DROPPED, 0,
                       io_now (l->http->io));
}

/* Brings L back within its limits, after ASKING has taken more. */
void
http_keep_within_limits (Listener *l, CallerHold *asking)
{
  ClockMs now = io_now (l->http->io);
  CallerVerdict v = caller_budget_next (&l->budget, asking, now);

  for (; v.action != CALLER_KEEP;
       v = caller_budget_next (&l->budget, asking, now))
    if (v.action == CALLER_CLOSE)
      close_conn (v.hold->owner);
    else
      refuse_body (((HttpConn *)v.hold->owner)->call);
}

/* Tells whether bytes stand unread on the connection of HOLD. */
gboolean
http_conn_has_unread (const CallerHold *hold)
{
  const HttpConn *conn = hold->owner;

  return mhd_has_unread (conn->fd);
}

static void
on_conn_opened (Listener *l, struct MHD_Connection *connection, void **slot)
{
  HttpConn *conn = g_new0 (HttpConn, 1);

  conn->listener = l;
  conn->fd =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  conn->n_before = mhd_n_read (conn->fd);
  *slot = conn;
  hangups_watch (l->hangups, &conn->hangup, conn->fd);
  l->n_conns++;
  io_count (l->http->io, SHELL_HTTP_CONNECTIONS, 1);
  mhd_share_unread (l->daemon, conn->fd,
                    l->budget.limits.bytes / UNREAD_DIVISOR, l->n_conns);
  http_conn_set_idle (conn);
  conn->hold.owner = conn;
  caller_budget_open (&l->budget, &conn->hold, io_now (l->http->io));
  http_keep_within_limits (l, &conn->hold);
}

/* Tells whether the library has read nothing from CONN but the requests that
   were passed on, to their end, so that what comes next begins another. */
static gboolean
is_between_requests (const HttpConn *conn)
{
  return !conn->body_left && conn->n_before >= 0 &&
         mhd_n_read (conn->fd) == conn->n_before + conn->n_requests;
}

/* A client may send its next request although the answer said that the
   connection ends; such a connection is kept, until it is read no more. */
static void
on_conn_closed (Listener *l, HttpConn *conn)
{
  hangups_unwatch (l->hangups, &conn->hangup);
  if (conn->answered && !conn->reading_ended && is_between_requests (conn) &&
      !mhd_keep_unread (l->kept, conn->fd))
    io_count (l->http->io, SHELL_HTTP_CLOSED, 1);
  caller_budget_close (&l->budget, &conn->hold);
  http_conn_unlink (conn);
  l->n_conns--;
  io_count (l->http->io, SHELL_HTTP_CONNECTIONS, -1);
  g_free (conn);
}

/* Handles the library's notice that a connection of listener OWNER was opened
   or closed; *SLOT is its HttpConn.  Beyond max_conns the one that is idle
   longest is closed. */
void
http_on_conn (void *owner,
              struct MHD_Connection *connection,
              void **slot,
              enum MHD_ConnectionNotificationCode code)
{
  Listener *l = owner;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    on_conn_opened (l, connection, slot);
  else
    on_conn_closed (l, *slot);
}

static HttpConn *
first_overdue (struct HttpConnRing *ring, ClockMs now)
{
  HttpConn *conn = APR_RING_FIRST (ring);

  return !APR_RING_EMPTY (ring, HttpConn, link) && conn->until <= now ? conn
                                                                      : NULL;
}

/* Closes the connections of L whose time has passed. */
void
http_close_overdue (Listener *l, ClockMs now)
{
  const Settings *s = io_settings (l->http->io);
  HttpConn *conn;

  while ((conn = first_overdue (&l->idle, now)))
    if (!prolong (conn, &l->idle, s->idle_ms))
      {
        io_count (l->http->io, SHELL_HTTP_CLOSED, 1);
        end_idle (conn);
      }
  while ((conn = first_overdue (&l->receiving, now)))
    if (!prolong (conn, &l->receiving, s->receive_ms))
      {
        io_count (l->http->io, SHELL_HTTP_CLOSED, 1);
        cut (conn);
      }
}

/* Ends the idle connections of L on which nothing has arrived. */
void
http_conns_end_idle (Listener *l)
{
  HttpConn *conn;
  HttpConn *next;

  APR_RING_FOREACH_SAFE (conn, next, &l->idle, HttpConn, link)
    if (!mhd_has_unread (conn->fd))
      end_idle (conn);
}

/* Returns when http_close_overdue has something to do in RING, CLOCK_NEVER if
   that is empty. */
ClockMs
http_ring_deadline (struct HttpConnRing *ring)
{
  if (APR_RING_EMPTY (ring, HttpConn, link))
    return CLOCK_NEVER;
  return APR_RING_FIRST (ring)->until;
}
