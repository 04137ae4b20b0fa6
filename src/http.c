#include "http.h"

#include "http_state.h"
#include "memory.h"
#include "mhd.h"

#include <errno.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 256, /* those that wait to be accepted hold bytes, too */
  MEMORY_PER_CONNECTION = 16 << 10, /* headers and answer's head */
  SPARE_CONNECTIONS = 64, /* accepted while the oldest idle ones close */
  MAX_REASON = 1024
};

static void
on_hangup (void *owner, int events)
{
  HttpCall *call = owner;
  Http *h = call->listener->http;
  char byte;
  ssize_t n = recv (call->conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  loop_unwatch (io_loop (h->io), call->hangup);
  call->hangup = NULL;
  if (n > 0 || (n < 0 && errno == EAGAIN))
    return;
  io_count (h->io, SHELL_HTTP_GONE, 1);
  call->gone = TRUE;
  call->pending = FALSE;
  g_hash_table_remove (h->pending, &call->number);
  io_post (h->io, EV_CALLER_GONE, &(CallerGone) { .conn = call->number });
  MHD_resume_connection (call->connection);
  call->listener->due = TRUE;
}

/* Gives CALL a number, which is returned, and suspends its connection until
   http_reply answers it or the caller hangs up. */
gint64
http_wait_for_reply (HttpCall *call)
{
  Http *h = call->listener->http;

  call->number = ++h->last_number;
  call->pending = TRUE;
  g_hash_table_insert (h->pending, &call->number, call);
  MHD_suspend_connection (call->connection);
  if (!call->conn->reading_ended)
    call->hangup = loop_watch (io_loop (h->io), call->conn->fd, APR_POLLIN,
                               on_hangup, call);
  return call->number;
}

static void
refuse_body (HttpCall *call)
{
  char reason[MAX_REASON];

  call->conn->body_left = TRUE;
  g_snprintf (reason, sizeof reason,
              "the body exceeds %" G_GSIZE_FORMAT " bytes", call->max_body);
  http_refuse (call, STATUS_TOO_LARGE, reason);
}

/* Refuses a body whose Content-Length is too large. */
static void
check_length (HttpCall *call)
{
  const char *length =
      MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                   MHD_HTTP_HEADER_CONTENT_LENGTH);

  if (length && g_ascii_strtoull (length, NULL, 10) > call->max_body)
    refuse_body (call);
}

static void
enter (HttpCall *call, CallerPhase phase)
{
  Listener *l = call->listener;

  caller_budget_enter (&l->budget, &call->conn->hold, phase, 0,
                       io_now (l->http->io));
}

static HttpCall *
call_new (Listener *l, struct MHD_Connection *connection)
{
  const Settings *s = io_settings (l->http->io);
  HttpCall *call = g_new0 (HttpCall, 1);

  l->http->n_calls++;
  call->listener = l;
  call->connection = connection;
  call->conn =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context;
  call->conn->answered = call->conn->body_left = FALSE;
  call->conn->n_requests +=
      (gint64)MHD_get_connection_info (connection,
                                       MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
          ->header_size;
  call->conn->call = call;
  enter (call, CALLER_BODY);
  call->max_body = (gsize)s->max_body_bytes;
  if (l->operators)
    call->max_body = MAX (call->max_body, TABLE_MAX_BYTES);
  http_conn_link (call->conn, &l->receiving, s->receive_ms);
  io_count (l->http->io, SHELL_HTTP_CALLS, 1);
  return call;
}

/* Frees what has been kept of CALL's body. */
void
http_drop_body (HttpCall *call)
{
  Http *h = call->listener->http;

  if (!call->body)
    return;
  io_count (h->io, SHELL_BODY_BYTES, -(gint64)call->body->len);
  g_byte_array_unref (call->body);
  call->body = NULL;
}

static void
take_upload (HttpCall *call, const char *data, gsize n)
{
  Listener *l = call->listener;
  CallerHold *hold = &call->conn->hold;

  call->conn->n_requests += (gint64)n;
  if (!call->overflow && !call->over_total)
    {
      if (!call->body)
        call->body = g_byte_array_new ();
      call->overflow = call->body->len + n > call->max_body;
      if (call->overflow)
        {
          http_drop_body (call);
          enter (call, CALLER_DROPPED);
        }
      else
        {
          g_byte_array_append (call->body, (const guint8 *)data, (guint)n);
          io_count (l->http->io, SHELL_BODY_BYTES, (gint64)n);
        }
    }
  caller_budget_receive (&l->budget, hold, n, io_now (l->http->io));
  http_keep_within_limits (l, hold);
}

/* Sends CALL's answer.  One of a host that drains ends its connection, so
   that the caller goes to another host. */
static enum MHD_Result
send_answer (HttpCall *call)
{
  if (io_draining (call->listener->http->io))
    MHD_add_response_header (call->answer, MHD_HTTP_HEADER_CONNECTION, "close");
  http_conn_unlink (call->conn);
  enter (call, CALLER_ANSWER);
  return MHD_queue_response (call->connection, call->status, call->answer);
}

static enum MHD_Result
on_head (Listener *l,
         struct MHD_Connection *connection,
         const char *path,
         const char *method,
         void **slot)
{
  HttpCall *call = call_new (l, connection);

  *slot = call;
  http_find_route (call, method, path);
  if (!call->answer)
    check_length (call);
  return call->answer ? send_answer (call) : MHD_YES;
}

static void
on_whole (HttpCall *call)
{
  http_conn_unlink (call->conn);
  if (call->overflow)
    refuse_body (call);
  else if (call->over_total)
    http_refuse (call, STATUS_UNAVAILABLE, http_no_room);
  else
    {
      enter (call, CALLER_WAITING);
      call->route->handle (call);
    }
  http_drop_body (call);
}

static enum MHD_Result
on_access (void *owner,
           struct MHD_Connection *connection,
           const char *path,
           const char *method,
           const char *version,
           const char *upload,
           size_t *n,
           void **slot)
{
  HttpCall *call = *slot;

  (void)version;
  if (!call)
    return on_head (owner, connection, path, method, slot);
  if (call->gone)
    return MHD_NO;
  if (*n)
    {
      take_upload (call, upload, *n);
      *n = 0;
      return MHD_YES;
    }
  if (!call->answer && !call->pending)
    on_whole (call);
  return call->answer ? send_answer (call) : MHD_YES;
}

static void
on_completed (void *owner,
              struct MHD_Connection *connection,
              void **slot,
              enum MHD_RequestTerminationCode code)
{
  HttpCall *call = *slot;
  Http *h = ((Listener *)owner)->http;

  (void)connection;
  if (!call)
    return;
  call->conn->answered = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  if (call->pending)
    {
      g_hash_table_remove (h->pending, &call->number);
      io_post (h->io, EV_CALLER_GONE, &(CallerGone) { .conn = call->number });
    }
  http_drop_body (call);
  call->conn->call = NULL;
  enter (call, CALLER_HEAD);
  loop_unwatch (io_loop (h->io), call->hangup);
  if (call->answer)
    MHD_destroy_response (call->answer);
  http_conn_set_idle (call->conn);
  h->n_calls--;
  g_free (call->id);
  g_free (call);
  *slot = NULL;
}

/* A request that is still under way is described in JSON, one that has
   ended is its upstream's bytes. */
static const char *
answer_type (const HttpCall *call, const CallerReply *reply)
{
  return reply->status == STATUS_ACCEPTED ? http_json_type
                                          : call->route->answer_type;
}

/* Sends the core's REPLY to the connection that waits for it; nothing
   happens when its caller has hung up. */
void
http_reply (Http *h, const CallerReply *reply)
{
  HttpCall *call = g_hash_table_lookup (h->pending, &reply->conn);

  if (!call || call->answer)
    return;
  if (reply->outcome == OUTCOME_ANSWERED)
    http_set_answer (call, (guint)reply->status, answer_type (call, reply),
                     http_response_from_bytes (reply->body));
  else
    http_set_error (call, (guint)reply->status, (Outcome)reply->outcome,
                    reply->reason, reply->id, reply->retry_after_ms);
  if (*reply->id)
    MHD_add_response_header (call->answer, "X-Request-Id", reply->id);
  call->pending = FALSE;
  g_hash_table_remove (h->pending, &call->number);
  loop_unwatch (io_loop (h->io), call->hangup);
  call->hangup = NULL;
  MHD_resume_connection (call->connection);
  call->listener->due = TRUE;
}

static void
on_listener_ready (void *owner, int events)
{
  Listener *l = owner;

  (void)events;
  l->due = TRUE;
}

static ClockMs
library_deadline (Listener *l)
{
  ClockMs now = io_now (l->http->io);
  MHD_UNSIGNED_LONG_LONG left;

  if (l->due)
    return now;
  if (MHD_get_timeout (l->daemon, &left) != MHD_YES)
    return CLOCK_NEVER;
  return now + (ClockMs)MIN (left, (MHD_UNSIGNED_LONG_LONG)G_MAXINT32);
}

static void
run_listener (Listener *l)
{
  ClockMs now = io_now (l->http->io);

  guint n_kept;
  guint n_reopened;

  http_close_overdue (l, now);
  if (caller_budget_takes_trim (&l->budget, now))
    memory_give_back ();
  if (library_deadline (l) > now)
    return;
  l->due = FALSE;
  MHD_run (l->daemon);
  n_kept = l->kept->len;
  if (n_kept == 0)
    return;
  n_reopened = mhd_reopen_kept (l->daemon, l->kept);
  io_count (l->http->io, SHELL_HTTP_REOPENED, n_reopened);
  io_count (l->http->io, SHELL_HTTP_CLOSED, n_kept - n_reopened);
  l->due = TRUE;
}

/* Does what has become due on all connections. */
void
http_run (Http *h)
{
  run_listener (&h->callers);
  h->callers.due |= hangups_tell (h->callers.hangups);
  run_listener (&h->operators);
  h->operators.due |= hangups_tell (h->operators.hangups);
}

static ClockMs
listener_deadline (Listener *l)
{
  ClockMs next = library_deadline (l);

  next = MIN (next, http_ring_deadline (&l->idle));
  return MIN (next, http_ring_deadline (&l->receiving));
}

/* Returns when http_run wants to be called without an event. */
ClockMs
http_next_deadline (Http *h)
{
  return MIN (listener_deadline (&h->callers),
              listener_deadline (&h->operators));
}

static void
stop_listening (Listener *l)
{
  mhd_stop_accepting (l->daemon);
  l->due = TRUE;
}

/* Takes no new connection any more; what comes on open ones is answered. */
void
http_stop_listening (Http *h)
{
  stop_listening (&h->callers);
  stop_listening (&h->operators);
}

/* Closes the connections that wait for a request which hasn't begun to
   arrive. */
void
http_end_idle (Http *h)
{
  http_conns_end_idle (&h->callers);
  http_conns_end_idle (&h->operators);
}

/* Returns the number of open connections. */
guint
http_n_connections (const Http *h)
{
  return h->callers.n_conns + h->operators.n_conns;
}

/* Returns the number of requests whose head was read and whose answer has
   not left whole. */
guint
http_n_calls (const Http *h)
{
  return h->n_calls;
}

/* Logs the number of every request that still waits for its reply. */
void
http_log_pending (const Http *h)
{
  GHashTableIter i;
  gpointer call;

  g_hash_table_iter_init (&i, h->pending);
  while (g_hash_table_iter_next (&i, NULL, &call))
    {
      char number[24];

      g_snprintf (number, sizeof number, "%" G_GINT64_FORMAT,
                  ((HttpCall *)call)->number);
      log_event (io_log (h->io), LOG_ERROR, io_now (h->io), "request_cut_off",
                 "conn", number, NULL);
    }
}

typedef union Address
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
} Address;

static void
set_address (Address *a, const char *address, gint64 port)
{
  memset (a, 0, sizeof *a);
  if (strchr (address, ':'))
    {
      a->v6.sin6_family = AF_INET6;
      a->v6.sin6_port = htons ((guint16)port);
      inet_pton (AF_INET6, address, &a->v6.sin6_addr);
      return;
    }
  a->v4.sin_family = AF_INET;
  a->v4.sin_port = htons ((guint16)port);
  inet_pton (AF_INET, address, &a->v4.sin_addr);
}

static struct MHD_Daemon *
start_daemon (Listener *l, const Address *a)
{
  unsigned flags = MHD_SERVER_FLAGS;
  const Settings *s = io_settings (l->http->io);

  if (a->any.sa_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_access, l, MHD_OPTION_SOCK_ADDR, &a->any,
      MHD_OPTION_CONNECTION_LIMIT, l->http->max_conns + SPARE_CONNECTIONS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MEMORY_PER_CONNECTION,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)(s->idle_ms / 1000 + 1),
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
      MHD_OPTION_NOTIFY_CONNECTION, http_on_conn, l,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, l, MHD_OPTION_END);
}

static gboolean
listen_on (Listener *l, const char *address, gint64 port, GError **error)
{
  const Settings *s = io_settings (l->http->io);
  const CallerLimits limits = { .bytes = (gsize)s->max_bodies_bytes,
                                .connections = l->http->max_conns };
  const union MHD_DaemonInfo *info;
  Address a;

  caller_budget_init (&l->budget, &limits, http_conn_has_unread);
  APR_RING_INIT (&l->idle, HttpConn, link);
  APR_RING_INIT (&l->receiving, HttpConn, link);
  l->kept = g_array_new (FALSE, FALSE, sizeof (int));
  set_address (&a, address, port);
  l->hangups = hangups_new (io_loop (l->http->io));
  if (l->hangups)
    l->daemon = start_daemon (l, &a);
  if (!l->daemon)
    {
      g_set_error (error, IO_ERROR, IO_ERROR_LISTEN,
                   "can't listen on %s port %" G_GINT64_FORMAT ": %s", address,
                   port, g_strerror (errno));
      return FALSE;
    }
  mhd_bound_buffers (l->daemon, 0);
  info = MHD_get_daemon_info (l->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  l->watch = loop_watch (io_loop (l->http->io), info->epoll_fd, APR_POLLIN,
                         on_listener_ready, l);
  return TRUE;
}

/* Callers get at most half of the descriptors that the process may have, so
   that its own calls and peers find some. */
static guint
bound_connections (Io *io)
{
  gint64 wanted = io_settings (io)->max_connections;
  struct rlimit files;
  gint64 most;
  char text[24];

  if (getrlimit (RLIMIT_NOFILE, &files) != 0)
    return (guint)wanted;
  most = (gint64)MIN (files.rlim_cur / 2, (rlim_t)G_MAXINT32);
  if (wanted <= most)
    return (guint)wanted;
  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, most);
  log_event (io_log (io), LOG_WARNING, io_now (io), "connections_bounded",
             "max_connections", text, "why", "limit of open files", NULL);
  return (guint)most;
}

/* Returns the listeners for callers and operators, as IO's settings have
   them.  Returns NULL and sets ERROR (IO_ERROR) when one can't be opened. */
Http *
http_new (Io *io, GError **error)
{
  const Settings *s = io_settings (io);
  Http *h = g_new0 (Http, 1);

  h->io = io;
  h->max_conns = bound_connections (io);
  h->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  h->callers = (Listener) { .http = h };
  h->operators = (Listener) { .http = h, .operators = TRUE };
  if (listen_on (&h->callers, s->callers_address, s->callers_port, error) &&
      listen_on (&h->operators, s->operators_address, s->operators_port, error))
    return h;
  http_free (h);
  return NULL;
}

static void
stop_listener (Listener *l)
{
  if (l->daemon)
    {
      loop_unwatch (io_loop (l->http->io), l->watch);
      MHD_stop_daemon (l->daemon);
    }
  hangups_free (l->hangups);
  if (l->kept)
    mhd_free_kept (l->kept);
}

static void
resume_all (Http *h)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, h->pending);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      HttpCall *call = value;

      call->gone = TRUE;
      call->pending = FALSE;
      MHD_resume_connection (call->connection);
    }
  g_hash_table_remove_all (h->pending);
}

/* Closes all connections and releases H. */
void
http_free (Http *h)
{
  if (!h)
    return;
  resume_all (h);
  stop_listener (&h->callers);
  stop_listener (&h->operators);
  g_hash_table_unref (h->pending);
  g_free (h);
}

/* Returns the port that the callers' or the OPERATORS' listener has. */
guint
http_port (const Http *h, gboolean operators)
{
  const Listener *l = operators ? &h->operators : &h->callers;

  return MHD_get_daemon_info (l->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
