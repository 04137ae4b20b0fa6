#include "hangup.h"

#include "mhd.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  EVENT_BATCH = 64
};

APR_RING_HEAD (HangupRing, Hangup);

struct Hangups
{
  Loop *loop;
  int epoll;
  LoopWatch *watch;
  struct HangupRing ended; /* with bytes that the library has not read */
};

static void
take_events (Hangups *h, const struct epoll_event *events, int n)
{
  int i;

  for (i = 0; i < n; i++)
    {
      Hangup *conn = events[i].data.ptr;

      if (conn->ended)
        continue;
      conn->ended = TRUE;
      APR_RING_INSERT_TAIL (&h->ended, conn, Hangup, link);
    }
}

static void
on_ready (void *owner, int events)
{
  Hangups *h = owner;
  struct epoll_event batch[EVENT_BATCH];
  int n;

  (void)events;
  do
    {
      n = epoll_wait (h->epoll, batch, EVENT_BATCH, 0);
      take_events (h, batch, n);
    }
  while (n == EVENT_BATCH);
}

/* Returns a watcher in LOOP that watches nothing yet, or NULL when the system
   gives it no descriptor; errno says why. */
Hangups *
hangups_new (Loop *loop)
{
  int epoll = epoll_create1 (EPOLL_CLOEXEC);
  Hangups *h;

  if (epoll < 0)
    return NULL;
  h = g_new0 (Hangups, 1);
  h->loop = loop;
  h->epoll = epoll;
  APR_RING_INIT (&h->ended, Hangup, link);
  h->watch = loop_watch (loop, epoll, APR_POLLIN, on_ready, h);
  return h;
}

/* Releases H, which may be NULL and watches nothing any more. */
void
hangups_free (Hangups *h)
{
  if (!h)
    return;
  loop_unwatch (h->loop, h->watch);
  close (h->epoll);
  g_free (h);
}

/* Watches the connection FD, which CONN stands for, until hangups_unwatch. */
void
hangups_watch (Hangups *h, Hangup *conn, int fd)
{
  struct epoll_event e = { .events = EPOLLRDHUP | EPOLLONESHOT,
                           .data.ptr = conn };

  *conn = (Hangup) { .fd = fd };
  epoll_ctl (h->epoll, EPOLL_CTL_ADD, fd, &e);
}

/* Ends what hangups_watch began.  To be called while the descriptor is open. */
void
hangups_unwatch (Hangups *h, Hangup *conn)
{
  epoll_ctl (h->epoll, EPOLL_CTL_DEL, conn->fd, NULL);
  if (conn->ended)
    APR_RING_REMOVE (conn, link);
  conn->ended = FALSE;
}

/* Has the library look again at each connection that has ended and from which
   all bytes were read: the end of reading, which changes nothing there, brings
   an event.  Returns whether there was any.  To be called after the library has
   run. */
gboolean
hangups_tell (Hangups *h)
{
  gboolean told = FALSE;
  Hangup *conn;
  Hangup *next;

  APR_RING_FOREACH_SAFE (conn, next, &h->ended, Hangup, link)
    {
      if (mhd_has_unread (conn->fd))
        continue;
      APR_RING_REMOVE (conn, link);
      conn->ended = FALSE;
      shutdown (conn->fd, SHUT_RD);
      told = TRUE;
    }
  return told;
}
