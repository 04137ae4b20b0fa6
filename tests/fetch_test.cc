#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <time.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "fetch.h"
}

/* Calls over real sockets and the real clock. */

static ClockMs
clock_now ()
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Listens on a free port of loopback, with a queue of BACKLOG connections, and
   returns the socket. */
static int
listen_on_loopback (int *port, int backlog = 4)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  socklen_t n = sizeof address;

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (bind (fd, (sockaddr *)&address, sizeof address), 0);
  EXPECT_EQ (listen (fd, backlog), 0);
  getsockname (fd, (sockaddr *)&address, &n);
  *port = ntohs (address.sin_port);
  return fd;
}

/* Answers one request after DELAY milliseconds with the time of the answer. */
static void
serve_once (int listener, int delay)
{
  int fd = accept (listener, nullptr, nullptr);
  char request[2000];

  EXPECT_GT (read (fd, request, sizeof request), 0);
  usleep (delay * 1000);
  std::string body = std::to_string (clock_now ());
  std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string (body.size ()) +
      "\r\n\r\n" + body;
  EXPECT_EQ (write (fd, answer.data (), answer.size ()),
             (ssize_t)answer.size ());
  close (fd);
}

struct Seen
{
  Loop *loop;
  ClockMs answered_at = 0; /* by the server */
  ClockMs noted_at = 0;    /* by the loop */
};

static void
on_done (void *owner, gint64 tag, const FetchReply *reply)
{
  Seen *seen = (Seen *)owner;

  (void)tag;
  ASSERT_EQ (reply->outcome, FETCH_ANSWERED);
  seen->answered_at = std::stoll (std::string (reply->body, reply->n));
  seen->noted_at = loop_now (seen->loop);
}

/* Runs FETCH until SEEN has its answer, and lets the process stand still for
   STALL milliseconds when libcurl's timer of a new connection is due. */
static void
run_with_stall (Loop *loop, Fetch *fetch, Seen *seen, int stall)
{
  ClockMs began = loop_now (loop);

  while (!seen->noted_at && loop_now (loop) < began + 5000)
    {
      ClockMs wait = fetch_next_deadline (fetch) - loop_now (loop);

      loop_poll (loop, CLAMP (wait, 0, 10));
      if (loop_now (loop) > began + 100 &&
          fetch_next_deadline (fetch) <= loop_now (loop))
        usleep (stall * 1000);
      fetch_run (fetch);
    }
}

TEST (Fetch, AnswerReadAfterAStallIsNotStampedEarlierThanItWasMade)
{
  int port;
  int listener = listen_on_loopback (&port);
  std::thread server (serve_once, listener, 350);
  Loop *loop = loop_new ();
  Fetch *fetch = fetch_new (loop);
  Seen seen = { loop };
  FetchTraffic traffic = {};
  std::string url = "http://127.0.0.1:" + std::to_string (port) + "/";
  FetchCall call = {};

  call.method = "GET";
  call.url = url.c_str ();
  call.timeout = 2000;
  call.traffic = &traffic;
  call.done = on_done;
  call.owner = &seen;
  fetch_start (fetch, &call);
  run_with_stall (loop, fetch, &seen, 400);
  server.join ();
  close (listener);
  EXPECT_GT (seen.answered_at, 0);
  EXPECT_GE (seen.noted_at, seen.answered_at);
  fetch_free (fetch);
  loop_free (loop);
}

static void
count_lost (void *owner, gint64 tag, const FetchReply *reply)
{
  (void)tag;
  EXPECT_EQ (reply->outcome, FETCH_LOST);
  ++*(int *)owner;
}

/* Makes N calls with TIMEOUT to a peer that accepts and never answers, and
   returns how many have ended MARGIN milliseconds after it. */
static int
count_ended_calls (int n, ClockMs timeout, ClockMs margin)
{
  int port;
  int listener = listen_on_loopback (&port, n);
  Loop *loop = loop_new ();
  Fetch *fetch = fetch_new (loop);
  FetchTraffic traffic = {};
  std::string url = "http://127.0.0.1:" + std::to_string (port) + "/";
  FetchCall call = {};
  int ended = 0;
  ClockMs until;

  call.method = "GET";
  call.url = url.c_str ();
  call.timeout = timeout;
  call.traffic = &traffic;
  call.done = count_lost;
  call.owner = &ended;
  for (int i = 0; i < n; i++)
    {
      fetch_start (fetch, &call);
      fetch_run (fetch);
      loop_poll (loop, 1);
    }
  until = loop_now (loop) + timeout + margin;
  while (ended < n && loop_now (loop) < until)
    {
      ClockMs wait = fetch_next_deadline (fetch) - loop_now (loop);

      loop_poll (loop, CLAMP (wait, 0, 50));
      fetch_run (fetch);
    }
  fetch_free (fetch);
  loop_free (loop);
  close (listener);
  return ended;
}

/* libcurl was seen to lose the second of two time-outs 1 or 2 ms apart. */
TEST (Fetch, CallToASilentPeerEndsThoughItsTimeOutsAlmostCoincide)
{
  const int n = 100;
  const ClockMs connect_timeout = 600;

  for (ClockMs more = 0; more <= 3; more++)
    EXPECT_EQ (count_ended_calls (n, connect_timeout + more, 1500), n)
        << more << " ms after the connect time-out";
}

/* Answers each request for /answer on LISTENER and stays silent to all others,
   until LISTENER is shut down.  Adds the connections to OPEN. */
static void
serve_some (int listener, std::vector<int> *open)
{
  for (int fd; (fd = accept (listener, nullptr, nullptr)) >= 0;)
    {
      char request[2000];
      ssize_t n = read (fd, request, sizeof request);
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

      if (std::string (request, std::max<ssize_t> (n, 0)).find ("/answer") !=
          std::string::npos)
        n = write (fd, answer.data (), answer.size ());
      open->push_back (fd);
    }
}

/* Calls to one kind of peer that have ended. */
struct Ends
{
  Loop *loop;
  int n = 0;
  ClockMs last_at = 0;
};

static void
note_end (void *owner, gint64 tag, const FetchReply *reply)
{
  Ends *ends = (Ends *)owner;

  (void)tag;
  (void)reply;
  ends->n++;
  ends->last_at = loop_now (ends->loop);
}

static const ClockMs call_timeout = 601;

static void
begin (Fetch *fetch, const std::string &url, FetchTraffic *traffic, Ends *ends)
{
  FetchCall call = {};

  call.method = "GET";
  call.url = url.c_str ();
  call.timeout = call_timeout;
  call.fresh = TRUE;
  call.traffic = traffic;
  call.done = note_end;
  call.owner = ends;
  fetch_start (fetch, &call);
}

/* libcurl also starts a transfer when the socket of another one is ready. */
TEST (Fetch, CallThatBeginsAsAnotherIsAnsweredEndsAtItsTimeOut)
{
  const int n = 100;
  int port;
  int listener = listen_on_loopback (&port, 2 * n);
  std::vector<int> open;
  std::thread server (serve_some, listener, &open);
  Loop *loop = loop_new ();
  std::vector<Fetch *> fetches;
  FetchTraffic traffic = {};
  std::string base = "http://127.0.0.1:" + std::to_string (port);
  Ends answered { loop }, ended { loop };
  ClockMs began, longest_step = 0;
  auto step = [&] {
    ClockMs before = loop_now (loop);

    loop_poll (loop, 5);
    for (Fetch *f : fetches)
      fetch_run (f);
    longest_step = std::max (longest_step, loop_read_clock (loop) - before);
  };

  for (int i = 0; i < n; i++)
    {
      fetches.push_back (fetch_new (loop));
      begin (fetches[i], base + "/answer", &traffic, &answered);
      fetch_run (fetches[i]);
    }
  step ();
  usleep (30000);
  longest_step = 0;
  began = loop_read_clock (loop);
  for (Fetch *f : fetches)
    begin (f, base + "/silent", &traffic, &ended);
  while (ended.n < n && loop_now (loop) < began + 3 * call_timeout)
    step ();
  EXPECT_EQ (answered.n, n);
  EXPECT_EQ (ended.n, n);
  /* Ended by the loop itself 100 ms late, and noticed by the next step. */
  EXPECT_LE (ended.last_at, began + call_timeout + 120 + 2 * longest_step);
  for (Fetch *f : fetches)
    fetch_free (f);
  loop_free (loop);
  shutdown (listener, SHUT_RDWR);
  server.join ();
  for (int fd : open)
    close (fd);
  close (listener);
}
