#include "wire_state.h"

#include "wire_mac.h"

#include <apr_general.h>
#include <apr_portable.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  LISTEN_BACKLOG = 128,
  MAX_UNPROVEN = 64, /* accepted connections that have not yet proved a key */
  MAX_WAITING = 64,  /* messages for a peer whose connection is being made */
  HANDSHAKE_MS = 3000,
  SWEEP_MS = 100,
  BACK_OFF_LEAST_MS = 100,
  BACK_OFF_MOST_MS = 5000,
  WANTED_MS = 30000, /* a peer is redialled so long after the last message */
  KEEP_IDLE_S = 5,
  KEEP_INTERVAL_S = 2,
  USER_TIMEOUT_MS = 5000
};

static void
random_bytes (guint8 *to, gsize n)
{
  if (apr_generate_random_bytes (to, n) != APR_SUCCESS)
    g_error ("the system gives no random numbers");
}

/* Returns SPAN plus or minus up to half of it. */
static ClockMs
jitter (ClockMs span)
{
  guint32 r;

  random_bytes ((guint8 *)&r, sizeof r);
  return span / 2 + (ClockMs)(r % (guint32)(span + 1));
}

static int
link_fd (const Link *l)
{
  apr_os_sock_t fd = -1;

  apr_os_sock_get (&fd, l->socket);
  return fd;
}

static void
set_socket_options (Link *l)
{
  int fd = link_fd (l);
  int idle = KEEP_IDLE_S;
  int interval = KEEP_INTERVAL_S;
  int user_timeout_ms = USER_TIMEOUT_MS;

  apr_socket_opt_set (l->socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (l->socket, 0);
  apr_socket_opt_set (l->socket, APR_TCP_NODELAY, 1);
  apr_socket_opt_set (l->socket, APR_SO_KEEPALIVE, 1);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
}

static Link *
link_new (Wire *w, apr_pool_t *pool, apr_socket_t *socket, Peer *peer)
{
  Link *l = g_new0 (Link, 1);

  l->wire = w;
  l->pool = pool;
  l->socket = socket;
  l->peer = peer;
  l->dialled = peer != NULL;
  l->state = peer ? LINK_CONNECTING : LINK_HELLO;
  l->until = io_now (w->io) + HANDSHAKE_MS;
  l->in = g_byte_array_new ();
  l->out = g_byte_array_new ();
  random_bytes (l->nonce, WIRE_NONCE);
  set_socket_options (l);
  APR_RING_INSERT_TAIL (&w->links, l, Link, link);
  w->n_unproven += !l->dialled;
  return l;
}

/* The first retry comes soon, later ones ever later. */
static void
back_off (Wire *w, Peer *p)
{
  p->back_off = CLAMP (2 * p->back_off, BACK_OFF_LEAST_MS, BACK_OFF_MOST_MS);
  p->retry_at = io_now (w->io) + jitter (p->back_off);
}

static void
note_down (Wire *w, const Peer *p)
{
  io_count (w->io, SHELL_WIRE_PEERS, -1);
  log_event (io_log (w->io), LOG_INFO, io_now (w->io), "peer_down", "peer",
             p->host->name, NULL);
}

static void
forget_peer (Link *l)
{
  Wire *w = l->wire;
  Peer *p = l->peer;

  if (!p)
    return;
  if (!l->dialled)
    {
      if (p->in == l)
        p->in = NULL;
      return;
    }
  if (l->state == LINK_OPEN)
    note_down (w, p);
  p->out = NULL;
  io_count (w->io, SHELL_WIRE_DROPPED, p->waiting.length);
  g_queue_clear_full (&p->waiting, wire_frame_free);
  back_off (w, p);
}

static void
link_close (Link *l)
{
  Wire *w = l->wire;

  forget_peer (l);
  if (!l->dialled && l->state != LINK_OPEN)
    w->n_unproven--;
  APR_RING_REMOVE (l, link);
  loop_unwatch (io_loop (w->io), l->watch);
  apr_pool_destroy (l->pool);
  g_byte_array_unref (l->in);
  g_byte_array_unref (l->out);
  g_free (l);
}

/* Closes a connection whose other end is at fault. */
static void
link_refuse (Link *l, const char *why)
{
  Wire *w = l->wire;

  io_count (w->io, SHELL_WIRE_REFUSED, 1);
  log_event (io_log (w->io), LOG_WARNING, io_now (w->io), "peer_refused",
             "peer", l->peer ? l->peer->host->name : "", "why", why, NULL);
  link_close (l);
}

static void
watch_link (Link *l)
{
  gboolean sending = l->state == LINK_CONNECTING || l->out->len > l->sent;

  loop_watch_set (io_loop (l->wire->io), l->watch,
                  sending ? APR_POLLIN | APR_POLLOUT : APR_POLLIN);
}

/* Sends as much of OUT as possible.  Returns FALSE if the connection was
   closed. */
static gboolean
flush_link (Link *l)
{
  while (l->sent < l->out->len)
    {
      apr_size_t n = l->out->len - l->sent;
      apr_status_t rv =
          apr_socket_send (l->socket, (char *)l->out->data + l->sent, &n);

      l->sent += n;
      io_count (l->wire->io, SHELL_WIRE_BYTES_OUT, (gint64)n);
      if (APR_STATUS_IS_EAGAIN (rv))
        break;
      if (rv != APR_SUCCESS)
        return FALSE;
    }
  if (l->sent == l->out->len)
    {
      g_byte_array_set_size (l->out, 0);
      l->sent = 0;
    }
  watch_link (l);
  return TRUE;
}

static void
append_frame (Link *l, WireFrame *f)
{
  f->sequence = l->sequence++;
  io_count (l->wire->io, SHELL_WIRE_FRAMES_OUT, 1);
  wire_append (l, wire_frame_desc (), f, TRUE);
}

static void
send_waiting (Link *l)
{
  WireFrame *f;

  while ((f = g_queue_pop_head (&l->peer->waiting)))
    {
      append_frame (l, f);
      wire_frame_free (f);
    }
}

/* Each step of the handshake and each message takes one frame's content;
   it returns NULL, or why the connection is to be closed. */

static const char *
open_dialled (Link *l, gconstpointer challenge)
{
  const char *why = wire_take_challenge (l, challenge);

  if (why)
    return why;
  l->state = LINK_OPEN;
  l->peer->back_off = 0;
  io_count (l->wire->io, SHELL_WIRE_PEERS, 1);
  log_event (io_log (l->wire->io), LOG_INFO, io_now (l->wire->io), "peer_up",
             "peer", l->peer->host->name, NULL);
  send_waiting (l);
  return NULL;
}

static const char *
open_accepted (Link *l, gconstpointer proof)
{
  const char *why = wire_take_proof (l, proof);

  if (why)
    return why;
  l->state = LINK_OPEN;
  l->wire->n_unproven--;
  if (l->peer->in)
    link_close (l->peer->in);
  l->peer->in = l;
  return NULL;
}

static const char *
take_frame (Link *l, gconstpointer rec)
{
  const WireFrame *f = rec;
  Findings findings;
  Event *e;

  if (l->dialled)
    return "sends on the connection's other way";
  if (f->sequence != l->sequence)
    return "wrong sequence number";
  l->sequence++;
  io_count (l->wire->io, SHELL_WIRE_FRAMES_IN, 1);
  findings_init (&findings);
  e = wire_frame_read (f, io_now (l->wire->io), l->peer->host->name, &findings);
  findings_clear (&findings);
  if (!e)
    return "no message of a known kind and form";
  io_post_message (l->wire->io, e, (Hlc) { .ms = f->ms, .count = f->count });
  return NULL;
}

/* What each state expects. */
typedef struct LinkStep
{
  RecDescFunc record;
  const char *(*take) (Link *l, gconstpointer rec);
} LinkStep;

static const LinkStep steps[] = {
  [LINK_HELLO] = { wire_hello_desc, wire_take_hello },
  [LINK_CHALLENGE] = { wire_challenge_desc, open_dialled },
  [LINK_PROOF] = { wire_proof_desc, open_accepted },
  [LINK_OPEN] = { wire_frame_desc, take_frame },
};

static const char *
take_content (Link *l, const guint8 *data, gsize n)
{
  const LinkStep *step = &steps[l->state];
  const RecDesc *d = step->record ();
  const char *why = "bad frame";
  guint8 mac[WIRE_MAC];
  Findings findings;
  void *rec;

  if (l->state == LINK_OPEN)
    {
      if (n < WIRE_MAC)
        return "bad frame";
      n -= WIRE_MAC;
      wire_mac_frame (l->key, data, n, mac);
      if (!wire_mac_equal (mac, data + n))
        return "wrong code";
    }
  rec = rec_new (d);
  findings_init (&findings);
  if (rec_unpack (d, rec, data, n, &findings))
    why = step->take (l, rec);
  findings_clear (&findings);
  rec_free (d, rec);
  return why;
}

/* Takes all whole frames out of IN. */
static const char *
take_frames (Link *l)
{
  const char *why = NULL;
  gsize used = 0;

  while (!why && l->in->len - used >= WIRE_LENGTH_BYTES)
    {
      gsize most = l->state == LINK_OPEN
                       ? (gsize)l->wire->settings->max_frame_bytes
                       : WIRE_MAX_HANDSHAKE;
      guint32 length;

      memcpy (&length, l->in->data + used, WIRE_LENGTH_BYTES);
      length = g_ntohl (length);
      if (length > most)
        return "frame too large";
      if (l->in->len - used - WIRE_LENGTH_BYTES < length)
        break;
      why = take_content (l, l->in->data + used + WIRE_LENGTH_BYTES, length);
      used += WIRE_LENGTH_BYTES + length;
    }
  if (!why && used)
    g_byte_array_remove_range (l->in, 0, (guint)used);
  return why;
}

/* Reads once and takes what is whole; the pollset reports what is left.
   Returns FALSE when the connection has been closed. */
static gboolean
read_link (Link *l)
{
  guint8 *buffer = l->wire->buffer;
  apr_size_t n = WIRE_READ_BYTES;
  apr_status_t rv = apr_socket_recv (l->socket, (char *)buffer, &n);
  const char *why;

  if (APR_STATUS_IS_EAGAIN (rv))
    return TRUE;
  if (rv != APR_SUCCESS)
    {
      link_close (l);
      return FALSE;
    }
  io_count (l->wire->io, SHELL_WIRE_BYTES_IN, (gint64)n);
  g_byte_array_append (l->in, buffer, (guint)n);
  why = take_frames (l);
  if (!why)
    return TRUE;
  link_refuse (l, why);
  return FALSE;
}

static gboolean
is_connected (const Link *l)
{
  int error = 0;
  socklen_t n = sizeof error;

  return getsockopt (link_fd (l), SOL_SOCKET, SO_ERROR, &error, &n) == 0 &&
         error == 0;
}

static void
on_link_ready (void *owner, int events)
{
  Link *l = owner;

  if (l->state == LINK_CONNECTING)
    {
      if (!is_connected (l))
        {
          link_close (l);
          return;
        }
      wire_send_hello (l);
    }
  else if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR) && !read_link (l))
    return;
  if (!flush_link (l))
    link_close (l);
}

static void
dial (Wire *w, Peer *p)
{
  apr_sockaddr_t *address;
  apr_socket_t *socket;
  apr_pool_t *pool;

  apr_pool_create (&pool, io_pool (w->io));
  if (apr_sockaddr_info_get (&address, p->host->address, APR_UNSPEC,
                             (apr_port_t)p->host->port, 0,
                             pool) != APR_SUCCESS ||
      apr_socket_create (&socket, address->family, SOCK_STREAM, APR_PROTO_TCP,
                         pool) != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      back_off (w, p);
      return;
    }
  p->out = link_new (w, pool, socket, p);
  p->out->watch = loop_watch (io_loop (w->io), link_fd (p->out),
                              APR_POLLIN | APR_POLLOUT, on_link_ready, p->out);
  /* The pollset tells how it went, also when it fails at once. */
  apr_socket_connect (socket, address);
}

static void
send_frame (Wire *w, Peer *p, WireFrame *f)
{
  gsize most = (gsize)w->settings->max_frame_bytes;
  gsize n = g_bytes_get_size (f->body);

  if (p->out && p->out->state != LINK_OPEN && p->waiting.length < MAX_WAITING)
    {
      g_queue_push_tail (&p->waiting, f);
      return;
    }
  if (p->out && p->out->state == LINK_OPEN && n + WIRE_MAX_HANDSHAKE <= most &&
      p->out->out->len - p->out->sent + n <= 2 * most)
    {
      append_frame (p->out, f);
      if (!flush_link (p->out))
        link_close (p->out);
    }
  else
    io_count (w->io, SHELL_WIRE_DROPPED, 1);
  wire_frame_free (f);
}

/* Sends message E, stamped STAMP, to its peer.  A message is dropped and
   counted when there is no connection and none may be tried yet, or when
   the peer takes nothing: the core's protocols outlast that. */
void
wire_send (Wire *w, const Event *e, Hlc stamp)
{
  Peer *p = g_hash_table_lookup (w->peers, e->peer);

  if (!p)
    {
      io_count (w->io, SHELL_WIRE_DROPPED, 1);
      return;
    }
  p->wanted_until = io_now (w->io) + WANTED_MS;
  if (!p->out && p->retry_at <= io_now (w->io))
    dial (w, p);
  send_frame (w, p, wire_frame_new (e, stamp));
}

/* Returns the accepted connection that has taken longest to prove a key, of
   which there is one.  A host's own takes two round trips, so that those who
   say nothing give way to it. */
static Link *
oldest_unproven (Wire *w)
{
  Link *l;

  APR_RING_FOREACH (l, &w->links, Link, link)
    if (!l->dialled && l->state != LINK_OPEN)
      return l;
  g_assert_not_reached ();
}

static void
on_accept (void *owner, int events)
{
  Wire *w = owner;
  apr_socket_t *socket;
  apr_pool_t *pool;
  Link *l;

  (void)events;
  apr_pool_create (&pool, io_pool (w->io));
  if (apr_socket_accept (&socket, w->socket, pool) != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      return;
    }
  if (w->n_unproven >= MAX_UNPROVEN)
    {
      io_count (w->io, SHELL_WIRE_REFUSED, 1);
      link_close (oldest_unproven (w));
    }
  l = link_new (w, pool, socket, NULL);
  l->watch =
      loop_watch (io_loop (w->io), link_fd (l), APR_POLLIN, on_link_ready, l);
}

static void
sweep_links (Wire *w)
{
  ClockMs now = io_now (w->io);
  Link *l;
  Link *next;

  APR_RING_FOREACH_SAFE (l, next, &w->links, Link, link)
    if (l->state != LINK_OPEN && l->until <= now)
      link_close (l);
}

static void
sweep_peers (Wire *w)
{
  ClockMs now = io_now (w->io);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, w->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Peer *p = value;

      if (!p->out && p->wanted_until > now && p->retry_at <= now)
        dial (w, p);
    }
}

/* Ends handshakes that take too long, and redials. */
void
wire_run (Wire *w)
{
  if (io_now (w->io) < w->sweep_at)
    return;
  w->sweep_at = io_now (w->io) + SWEEP_MS;
  sweep_links (w);
  sweep_peers (w);
}

/* Returns when wire_run wants to be called without an event. */
ClockMs
wire_next_deadline (const Wire *w)
{
  return w->sweep_at;
}

static void
add_peers (Wire *w)
{
  const Config *cfg = (const Config *)w->settings;
  guint i;

  for (i = 0; i < cfg->hosts.n; i++)
    {
      const ConfigHost *host = config_host (cfg, i);
      Peer *p;

      if (strcmp (host->name, cfg->host) == 0)
        continue;
      p = g_new0 (Peer, 1);
      p->host = host;
      g_queue_init (&p->waiting);
      g_hash_table_insert (w->peers, (gpointer)host->name, p);
    }
}

static apr_status_t
open_listener (Wire *w)
{
  const Settings *s = w->settings;
  apr_sockaddr_t *address;
  apr_status_t rv;

  rv = apr_sockaddr_info_get (&address, s->peers_address, APR_UNSPEC,
                              (apr_port_t)s->peers_port, 0, io_pool (w->io));
  if (rv == APR_SUCCESS)
    rv = apr_socket_create (&w->socket, address->family, SOCK_STREAM,
                            APR_PROTO_TCP, io_pool (w->io));
  if (rv != APR_SUCCESS)
    return rv;
  apr_socket_opt_set (w->socket, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (w->socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (w->socket, 0);
  rv = apr_socket_bind (w->socket, address);
  if (rv == APR_SUCCESS)
    rv = apr_socket_listen (w->socket, LISTEN_BACKLOG);
  return rv;
}

/* Returns the connections to and from the hosts in S, which has to last, and
   listens; there are none yet.  Returns NULL and sets ERROR (IO_ERROR)
   when it can't. */
Wire *
wire_new (Io *io, const Settings *s, GError **error)
{
  Wire *w = g_new0 (Wire, 1);
  apr_status_t rv;
  apr_os_sock_t fd;
  char text[128];

  w->io = io;
  w->settings = s;
  w->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  APR_RING_INIT (&w->links, Link, link);
  add_peers (w);
  rv = open_listener (w);
  if (rv != APR_SUCCESS)
    {
      g_set_error (error, IO_ERROR, IO_ERROR_LISTEN,
                   "can't listen on %s port %" G_GINT64_FORMAT ": %s",
                   s->peers_address, s->peers_port,
                   apr_strerror (rv, text, sizeof text));
      wire_free (w);
      return NULL;
    }
  apr_os_sock_get (&fd, w->socket);
  w->watch = loop_watch (io_loop (io), fd, APR_POLLIN, on_accept, w);
  return w;
}

/* Closes all connections and releases W. */
void
wire_free (Wire *w)
{
  Link *l;
  Link *next;

  if (!w)
    return;
  APR_RING_FOREACH_SAFE (l, next, &w->links, Link, link)
    link_close (l);
  loop_unwatch (io_loop (w->io), w->watch);
  if (w->socket)
    apr_socket_close (w->socket);
  g_hash_table_unref (w->peers);
  g_free (w);
}

/* Returns the port that other hosts reach. */
guint
wire_port (const Wire *w)
{
  apr_sockaddr_t *address;

  if (apr_socket_addr_get (&address, APR_LOCAL, w->socket) != APR_SUCCESS)
    return 0;
  return address->port;
}
