#include "curl_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

enum
{
  /* How long after its time-out libcurl may take to end a transfer. */
  OVERDUE_MARGIN_MS = 100
};

typedef struct Socket
{
  CurlLoop *curl;
  curl_socket_t fd;
  LoopWatch *watch;
} Socket;

static void
act (CurlLoop *c, curl_socket_t fd, int flags)
{
  int running;

  curl_multi_socket_action (c->multi, fd, flags, &running);
}

static void
on_ready (void *owner, int events)
{
  Socket *s = owner;
  int flags = 0;

  if (events & APR_POLLIN)
    flags |= CURL_CSELECT_IN;
  if (events & APR_POLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & (APR_POLLERR | APR_POLLHUP))
    flags |= CURL_CSELECT_ERR;
  act (s->curl, s->fd, flags);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *owner, void *socket)
{
  CurlLoop *c = owner;
  Socket *s = socket;
  int events = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      loop_unwatch (c->loop, s ? s->watch : NULL);
      curl_multi_assign (c->multi, fd, NULL);
      g_free (s);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= APR_POLLIN;
  if (what & CURL_POLL_OUT)
    events |= APR_POLLOUT;
  if (s)
    {
      loop_watch_set (c->loop, s->watch, events);
      return 0;
    }
  s = g_new (Socket, 1);
  *s = (Socket) { .curl = c, .fd = fd };
  s->watch = loop_watch (c->loop, fd, events, on_ready, s);
  if (c->bulk)
    loop_watch_set_bulk (s->watch);
  curl_multi_assign (c->multi, fd, s);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *owner)
{
  CurlLoop *c = owner;

  (void)multi;
  c->timer = timeout_ms < 0 ? CLOCK_NEVER : loop_now (c->loop) + timeout_ms;
  return 0;
}

/* Prepares C, whose sockets LOOP watches; it keeps IDLE_CONNECTIONS open at
   most.  C must not move. */
void
curl_loop_init (CurlLoop *c, Loop *loop, long idle_connections)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  *c = (CurlLoop) { .loop = loop,
                    .multi = curl_multi_init (),
                    .timer = CLOCK_NEVER };
  APR_RING_INIT (&c->starting, CurlTransfer, link);
  timer_heap_init (&c->overdue);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, idle_connections);
  curl_multi_setopt (c->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
}

/* Releases C, which has no transfer left. */
void
curl_loop_clear (CurlLoop *c)
{
  curl_multi_cleanup (c->multi);
  timer_heap_clear (&c->overdue);
  curl_global_cleanup ();
}

/* Begins the transfer of EASY in C.  T must not move before curl_loop_remove;
   TIMEOUT is that of EASY, in milliseconds. */
void
curl_loop_add (CurlLoop *c, CurlTransfer *t, CURL *easy, ClockMs timeout)
{
  *t = (CurlTransfer) { .easy = easy,
                        .timeout = timeout,
                        .overdue = { .owner = t },
                        .is_starting = TRUE };
  APR_RING_INSERT_TAIL (&c->starting, t, CurlTransfer, link);
  curl_multi_add_handle (c->multi, easy);
}

static void
leave_starting (CurlTransfer *t)
{
  if (t->is_starting)
    APR_RING_REMOVE (t, link);
  t->is_starting = FALSE;
}

/* Takes T out of C; an unfinished one is broken off. */
void
curl_loop_remove (CurlLoop *c, CurlTransfer *t)
{
  leave_starting (t);
  timer_heap_stop (&c->overdue, &t->overdue);
  curl_multi_remove_handle (c->multi, t->easy);
}

/* Sets the timers of the transfers that libcurl has just started, by its timer
   or as the socket of another one was ready. */
static void
watch_started (CurlLoop *c)
{
  CurlTransfer *t;

  if (APR_RING_EMPTY (&c->starting, CurlTransfer, link))
    return;
  loop_read_clock (c->loop);
  while (!APR_RING_EMPTY (&c->starting, CurlTransfer, link))
    {
      t = APR_RING_FIRST (&c->starting);
      leave_starting (t);
      timer_heap_arm (&c->overdue, &t->overdue,
                      loop_now (c->loop) + t->timeout + OVERDUE_MARGIN_MS);
    }
}

/* Runs what libcurl's timer asks for, then tells OWNER by OPS of the transfers
   that have ended or are overdue: libcurl can lose one of two time-outs of a
   transfer that are a millisecond or two apart. */
void
curl_loop_run (CurlLoop *c, const CurlLoopOps *ops, void *owner)
{
  CURLMsg *m;
  Timer *timer;
  int left;

  if (c->timer <= loop_now (c->loop))
    {
      c->timer = CLOCK_NEVER;
      act (c, CURL_SOCKET_TIMEOUT, 0);
    }
  watch_started (c);
  while ((m = curl_multi_info_read (c->multi, &left)))
    if (m->msg == CURLMSG_DONE)
      ops->ended (owner, m->easy_handle, m->data.result);
  while ((timer = timer_heap_pop (&c->overdue, loop_now (c->loop))))
    ops->overdue (owner, ((CurlTransfer *)timer->owner)->easy);
}

/* Returns when curl_loop_run wants to be called without an event. */
ClockMs
curl_loop_next_deadline (const CurlLoop *c)
{
  return MIN (c->timer, timer_heap_next (&c->overdue));
}

static int
on_sending (void *owner, char *ip, char *local_ip, int port, int local_port)
{
  guint *sendings = owner;

  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  return (*sendings)++ ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Has EASY's request sent once at most, and counted in SENDINGS, which is 0
   and outlives the transfer.  libcurl would send it again when a connection
   that it used before closes without an answer, although the first one may
   have been executed. */
static void
send_once (CURL *easy, guint *sendings)
{
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_sending);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, sendings);
}

static int
on_socket_made (void *owner, curl_socket_t fd, curlsocktype purpose)
{
  const int *timeout_ms = owner;

  (void)purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms,
              sizeof *timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* Has EASY's connections given up when what was sent is not acknowledged for
   TIMEOUT_MS, which outlives the transfer. */
static void
set_user_timeout (CURL *easy, const int *timeout_ms)
{
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_made);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, (void *)timeout_ms);
}

/* Returns a handle with libcurl's defaults: one of IDLE, which holds CURL
   handles for reuse, or a new one. */
CURL *
curl_loop_take_handle (GPtrArray *idle)
{
  CURL *easy;

  if (idle->len == 0)
    return curl_easy_init ();
  easy = g_ptr_array_steal_index_fast (idle, idle->len - 1);
  curl_easy_reset (easy);
  return easy;
}

/* Sets EASY, which has libcurl's defaults, up for CALL. */
void
curl_loop_prepare (CURL *easy, const CurlLoopCall *call)
{
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, call->on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call->owner);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, call->on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call->owner);
  send_once (easy, call->sendings);
  set_user_timeout (easy, call->user_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call->owner);
  curl_easy_setopt (easy, CURLOPT_URL, call->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)call->timeout);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)MIN (call->timeout, call->connect_timeout));
}
