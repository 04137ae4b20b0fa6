#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static const gsize max_body_bytes = 64 << 20;
static const unsigned idle_timeout_s = 600;
static const unsigned max_connections = 900;
static const int max_wait_ms = 1000;
static const ClockMs abandoned_look_ms = 50;

struct Port
{
  Server *server;
  struct MHD_Daemon *daemon;
  ExchangeFunc handle;
  void *data;
};

struct Server
{
  GPtrArray *ports; /* of Port */
  GArray *fds;      /* of struct pollfd, one a port */
  TimerHeap timers;
};

/* Returns the time in milliseconds of a clock that never steps. */
ClockMs
server_now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (ClockMs)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
port_free (gpointer p)
{
  Port *port = p;

  MHD_stop_daemon (port->daemon);
  g_free (port);
}

/* Returns a server without ports. */
Server *
server_new (void)
{
  Server *s = g_new0 (Server, 1);

  s->ports = g_ptr_array_new_with_free_func (port_free);
  s->fds = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  timer_heap_init (&s->timers);
  return s;
}

static Exchange *
exchange_new (Port *port,
              struct MHD_Connection *connection,
              const char *method,
              const char *path)
{
  Exchange *x = g_new0 (Exchange, 1);

  x->port = port;
  x->method = g_intern_string (method); /* outlives the connection */
  x->path = g_strdup (path);
  x->body = g_byte_array_new ();
  x->connection = connection;
  return x;
}

static void
exchange_free (Exchange *x)
{
  timer_heap_stop (&x->port->server->timers, &x->timer);
  if (x->response)
    MHD_destroy_response (x->response);
  g_byte_array_unref (x->body);
  g_free (x->path);
  g_free (x);
}

static enum MHD_Result
queue_reply (Exchange *x)
{
  enum MHD_Result ok =
      MHD_queue_response (x->connection, x->status, x->response);

  MHD_destroy_response (x->response);
  x->response = NULL;
  return ok;
}

/* Called by the HTTP library for the head, each piece of the body, the end
   of the request, and again after a suspended connection goes on. */
static enum MHD_Result
on_access (void *data,
           struct MHD_Connection *connection,
           const char *path,
           const char *method,
           const char *version,
           const char *piece,
           size_t *n,
           void **state)
{
  Port *port = data;
  Exchange *x = *state;

  (void)version;
  if (!x)
    {
      *state = exchange_new (port, connection, method, path);
      return MHD_YES;
    }
  if (*n)
    {
      if (x->body->len + *n > max_body_bytes)
        return MHD_NO;
      g_byte_array_append (x->body, (const guint8 *)piece, (guint)*n);
      *n = 0;
      return MHD_YES;
    }
  if (!x->handled)
    {
      x->handled = TRUE;
      port->handle (x, port->data);
    }
  if (x->suspended)
    return MHD_YES;
  return x->response ? queue_reply (x) : MHD_NO;
}

static void
on_completed (void *data,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  Exchange *x = *state;

  (void)data;
  (void)connection;
  (void)code;
  if (x)
    exchange_free (x);
  *state = NULL;
}

/* Opens PORT at ADDRESS; each whole request goes to HANDLE with DATA.
   Returns FALSE when the port can't be had. */
gboolean
server_listen (Server *s,
               const char *address,
               int port,
               ExchangeFunc handle,
               void *data)
{
  Port *p = g_new0 (Port, 1);
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((guint16)port) };
  struct pollfd fd = { .events = POLLIN };

  *p = (Port) { .server = s, .handle = handle, .data = data };
  if (inet_pton (AF_INET, address, &at.sin_addr) == 1)
    p->daemon = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                  (guint16)port, NULL, NULL, on_access, p,
                                  MHD_OPTION_SOCK_ADDR, &at,
                                  MHD_OPTION_NOTIFY_COMPLETED, on_completed, p,
                                  MHD_OPTION_CONNECTION_LIMIT, max_connections,
                                  MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s,
                                  MHD_OPTION_END);
  if (!p->daemon)
    {
      g_free (p);
      return FALSE;
    }
  fd.fd = MHD_get_daemon_info (p->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  g_ptr_array_add (s->ports, p);
  g_array_append_val (s->fds, fd);
  return TRUE;
}

static void
resume (Exchange *x)
{
  x->suspended = FALSE;
  MHD_resume_connection (x->connection);
}

static void
on_due (Core *c, Timer *t)
{
  Exchange *x = t->owner;

  (void)c;
  if (x->deferred)
    exchange_free (x);
  else
    resume (x);
}

static int
wait_ms (Server *s, ClockMs now, ClockMs end)
{
  ClockMs wait = MIN (max_wait_ms, end - now);
  guint i;

  wait = MIN (wait, timer_heap_next (&s->timers) - now);
  for (i = 0; i < s->ports->len; i++)
    {
      Port *p = g_ptr_array_index (s->ports, i);
      MHD_UNSIGNED_LONG_LONG t;

      if (MHD_get_timeout (p->daemon, &t) == MHD_YES)
        wait = MIN (wait, (ClockMs)t);
    }
  return (int)MAX (0, wait);
}

/* Fires T, which stays the caller's, at AT of server_now's clock. */
void
server_arm (Server *s, Timer *t, ClockMs at)
{
  timer_heap_arm (&s->timers, t, at);
}

/* Serves until END, a time of server_now. */
void
server_run (Server *s, ClockMs end)
{
  while (server_now () < end)
    {
      Timer *t;
      guint i;

      poll ((struct pollfd *)(void *)s->fds->data, s->fds->len,
            wait_ms (s, server_now (), end));
      while ((t = timer_heap_pop (&s->timers, server_now ())))
        t->fire (NULL, t);
      for (i = 0; i < s->ports->len; i++)
        MHD_run (((Port *)g_ptr_array_index (s->ports, i))->daemon);
    }
}

/* Takes no more connections at any port; those that are open go on. */
void
server_stop_listening (Server *s)
{
  guint i;

  for (i = 0; i < s->ports->len; i++)
    {
      Port *p = g_ptr_array_index (s->ports, i);
      MHD_socket fd = MHD_quiesce_daemon (p->daemon);

      if (fd != MHD_INVALID_SOCKET)
        close (fd);
    }
}

/* Closes all ports; no connection may be suspended. */
void
server_free (Server *s)
{
  g_ptr_array_unref (s->ports);
  g_array_unref (s->fds);
  timer_heap_clear (&s->timers);
  g_free (s);
}

/* Returns header NAME of X's request, NULL without one. */
const char *
exchange_header (const Exchange *x, const char *name)
{
  return MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, name);
}

static struct MHD_Response *
make_response (const char *header, const void *data, gsize n)
{
  struct MHD_Response *response =
      MHD_create_response_from_buffer (n, (void *)data, MHD_RESPMEM_MUST_COPY);
  char **parts = header ? g_strsplit (header, ": ", 2) : NULL;

  if (parts && parts[0] && parts[1])
    MHD_add_response_header (response, parts[0], parts[1]);
  g_strfreev (parts);
  return response;
}

/* Replies to X after DELAY ms with STATUS, an optional HEADER "Name: value"
   and a copy of the N bytes at DATA. */
void
exchange_reply (Exchange *x,
                ClockMs delay,
                unsigned status,
                const char *header,
                const void *data,
                gsize n)
{
  x->status = status;
  if (!x->loses_answer)
    x->response = make_response (header, data, n);
  delay += x->delay;
  if (delay <= 0 && !x->suspended)
    return;
  exchange_hang (x);
  x->timer = (Timer) { .fire = on_due, .owner = x };
  timer_heap_arm (&x->port->server->timers, &x->timer, server_now () + delay);
}

/* Replies to X after DELAY ms with record REC as JSON. */
void
exchange_reply_record (Exchange *x,
                       ClockMs delay,
                       const RecDesc *d,
                       const void *rec)
{
  char *text = rec_to_json (d, rec);

  exchange_reply (x, delay, MHD_HTTP_OK, "Content-Type: application/json", text,
                  strlen (text));
  g_free (text);
}

/* Keeps X's connection open and silent until a reply is given. */
void
exchange_hang (Exchange *x)
{
  if (x->suspended)
    return;
  x->suspended = TRUE;
  if (!x->deferred)
    MHD_suspend_connection (x->connection);
}

/* Closes X's connection without a reply: the handler only has to return. */
void
exchange_close (Exchange *x)
{
  x->suspended = FALSE;
}

static gboolean
caller_is_gone (const Exchange *x)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (x->connection,
                               MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n == 0 || (n < 0 && errno != EAGAIN);
}

static void
on_abandoned (Core *c, Timer *t)
{
  Exchange *x = t->owner;

  (void)c;
  if (caller_is_gone (x))
    resume (x);
  else
    server_arm (x->port->server, t, server_now () + abandoned_look_ms);
}

/* Never replies to X, whose connection stays open until its caller closes it.
   The handler doesn't see X again. */
void
exchange_abandon (Exchange *x)
{
  exchange_hang (x);
  x->timer = (Timer) { .fire = on_abandoned, .owner = x };
  server_arm (x->port->server, &x->timer, server_now () + abandoned_look_ms);
}

static void
on_deferred (Core *c, Timer *t)
{
  Exchange *x = t->owner;

  (void)c;
  x->port->handle (x, x->port->data);
  if (!x->suspended)
    exchange_free (x);
}

/* Abandons X, and has a copy of it handled after DELAY ms, whether its caller
   is there or not.  The copy has no connection, headers or query. */
void
exchange_defer (Exchange *x, ClockMs delay)
{
  Exchange *copy = exchange_new (x->port, NULL, x->method, x->path);

  g_byte_array_append (copy->body, x->body->data, x->body->len);
  copy->deferred = TRUE;
  copy->timer = (Timer) { .fire = on_deferred, .owner = copy };
  server_arm (x->port->server, &copy->timer, server_now () + delay);
  exchange_abandon (x);
}

/* Reads X's body into REC, which has been made by rec_new.  On a fault X
   is answered with status 400 and the findings, and FALSE returned. */
gboolean
exchange_record (Exchange *x, const RecDesc *d, void *rec, RecMissing missing)
{
  Findings findings;
  gboolean ok;

  findings_init (&findings);
  ok = rec_from_json (d, rec, (const char *)x->body->data, x->body->len,
                      missing, "body", &findings);
  if (!ok)
    {
      char *text = findings_text (&findings);

      exchange_reply (x, 0, MHD_HTTP_BAD_REQUEST, NULL, text, strlen (text));
      g_free (text);
    }
  findings_clear (&findings);
  return ok;
}
