#include "mhd.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Unread bytes of one connection; the kernel doubles the number for its own
     bookkeeping.  At least a head of usual size, at most a body of one. */
  LEAST_UNREAD = 4 << 10,
  MOST_UNREAD = 32 << 10,
  MAX_EARLY_HEAD = 512,  /* bytes of an early answer, usually */
  MAX_LAST_ACCEPTS = 200 /* runs of a daemon that stops to listen */
};

/* Tells whether bytes that nobody has read have arrived at the socket FD. */
gboolean
mhd_has_unread (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns how many bytes have arrived in all at the TCP socket FD, or -1. */
static gint64
n_received (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) < 0)
    return -1;
  return (gint64)info.tcpi_bytes_received;
}

/* Returns how many bytes have been read from the TCP socket FD, or -1 if that
   isn't known. */
gint64
mhd_n_read (int fd)
{
  gint64 received;
  int unread;

  /* What arrives between the two calls would count as read. */
  do
    {
      received = n_received (fd);
      if (received < 0 || ioctl (fd, SIOCINQ, &unread) < 0)
        return -1;
    }
  while (n_received (fd) != received);
  return received - unread;
}

/* Called as the library closes the connection FD after an answer.  If its
   client has sent the next request meanwhile, adds a descriptor to KEPT (of
   int) that keeps the connection open for mhd_reopen_kept.  Returns FALSE if
   there is none left, so that the connection is reset. */
gboolean
mhd_keep_unread (GArray *kept, int fd)
{
  int copy;

  if (!mhd_has_unread (fd))
    return TRUE;
  copy = dup (fd);
  if (copy < 0)
    return FALSE;
  g_array_append_val (kept, copy);
  return TRUE;
}

static gboolean
reopen (struct MHD_Daemon *daemon, int fd)
{
  struct sockaddr_storage peer;
  socklen_t length = sizeof peer;

  if (getpeername (fd, (struct sockaddr *)&peer, &length) == 0)
    return MHD_add_connection (daemon, fd, (struct sockaddr *)&peer, length) ==
           MHD_YES;
  close (fd);
  return FALSE;
}

/* Gives the connections in KEPT to DAEMON as new ones, and empties KEPT.
   Returns the number of those that DAEMON has taken; the others are closed. */
guint
mhd_reopen_kept (struct MHD_Daemon *daemon, GArray *kept)
{
  guint n = 0;
  guint i;

  for (i = 0; i < kept->len; i++)
    n += reopen (daemon, g_array_index (kept, int, i));
  g_array_set_size (kept, 0);
  return n;
}

/* Closes the connections in KEPT and frees it. */
void
mhd_free_kept (GArray *kept)
{
  guint i;

  for (i = 0; i < kept->len; i++)
    close (g_array_index (kept, int, i));
  g_array_unref (kept);
}

static int
listen_fd (struct MHD_Daemon *daemon)
{
  return MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
}

static void
bound_unread (int fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

/* Bounds what the kernel keeps of each connection that DAEMON will accept:
   bytes that are unread, and SENT bytes that the client has not taken; 0 is the
   system's own bound. */
void
mhd_bound_buffers (struct MHD_Daemon *daemon, int sent)
{
  bound_unread (listen_fd (daemon), MOST_UNREAD);
  if (sent > 0)
    setsockopt (listen_fd (daemon), SOL_SOCKET, SO_SNDBUF, &sent, sizeof sent);
}

/* Bounds what may stand unread on FD, the newest of DAEMON's N connections, and
   on those to come, by an equal share of TOTAL bytes: the more connections, the
   less on each. */
void
mhd_share_unread (struct MHD_Daemon *daemon, int fd, gsize total, guint n)
{
  int bytes = (int)CLAMP (total / n, LEAST_UNREAD, MOST_UNREAD);

  bound_unread (fd, bytes);
  bound_unread (listen_fd (daemon), bytes);
}

/* Writes the answer TEXT, JSON, to FD and ends the sending; RETRY_AFTER_S is -1
   for none.  For a request whose body has not come to its end: until then the
   library writes nothing and takes no answer.  What does not fit into the
   kernel's buffer is lost. */
void
mhd_write_answer (int fd, guint status, const char *text, gint64 retry_after_s)
{
  GString *answer = g_string_sized_new (MAX_EARLY_HEAD);

  g_string_printf (answer,
                   "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                   "Content-Length: %" G_GSIZE_FORMAT
                   "\r\nConnection: close\r\n",
                   status, MHD_get_reason_phrase_for (status), strlen (text));
  if (retry_after_s >= 0)
    g_string_append_printf (answer, "Retry-After: %" G_GINT64_FORMAT "\r\n",
                            retry_after_s);
  g_string_append_printf (answer, "\r\n%s", text);
  if (send (fd, answer->str, answer->len, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0)
    shutdown (fd, SHUT_WR);
  g_string_free (answer, TRUE);
}

static gboolean
has_waiting (struct MHD_Daemon *daemon)
{
  struct pollfd p = { .fd = listen_fd (daemon), .events = POLLIN };

  return poll (&p, 1, 0) == 1;
}

/* Accepts the connections to DAEMON that wait, which a close would reset, and
   closes its listening socket.  A run accepts some of them, and none at the
   limit of connections. */
void
mhd_stop_accepting (struct MHD_Daemon *daemon)
{
  int fd;
  guint n;

  for (n = 0; n < MAX_LAST_ACCEPTS && has_waiting (daemon); n++)
    MHD_run (daemon);
  fd = MHD_quiesce_daemon (daemon);
  if (fd >= 0)
    close (fd);
}
