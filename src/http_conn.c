#include "http_state.h"

#include <sys/socket.h>

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

/* Makes the library see the end of the connection, and close it. */
static void
conn_close (HttpConn *conn)
{
  io_count (conn->listener->http->io, SHELL_HTTP_CLOSED, 1);
  http_conn_unlink (conn);
  shutdown (conn->fd, SHUT_RDWR);
  conn->listener->due = TRUE;
}

static void
on_conn_opened (Listener *l, struct MHD_Connection *connection, void **slot)
{
  HttpConn *conn = g_new0 (HttpConn, 1);

  conn->listener = l;
  conn->fd =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  *slot = conn;
  l->n_conns++;
  io_count (l->http->io, SHELL_HTTP_CONNECTIONS, 1);
  if (l->n_conns > l->http->max_conns &&
      !APR_RING_EMPTY (&l->idle, HttpConn, link))
    conn_close (APR_RING_FIRST (&l->idle));
  http_conn_set_idle (conn);
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
    {
      on_conn_opened (l, connection, slot);
      return;
    }
  http_conn_unlink (*slot);
  l->n_conns--;
  io_count (l->http->io, SHELL_HTTP_CONNECTIONS, -1);
  g_free (*slot);
}

/* Closes the connections of RING whose time has passed. */
void
http_close_overdue (struct HttpConnRing *ring, ClockMs now)
{
  while (!APR_RING_EMPTY (ring, HttpConn, link) &&
         APR_RING_FIRST (ring)->until <= now)
    conn_close (APR_RING_FIRST (ring));
}

/* Returns when http_close_overdue has something to do, CLOCK_NEVER if RING is
   empty. */
ClockMs
http_ring_deadline (struct HttpConnRing *ring)
{
  if (APR_RING_EMPTY (ring, HttpConn, link))
    return CLOCK_NEVER;
  return APR_RING_FIRST (ring)->until;
}
