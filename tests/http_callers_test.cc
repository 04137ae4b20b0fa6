#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "http_server.h"
}

/* What a host's server refuses and closes, over real sockets. */

namespace
{

struct HttpCallers : testing::Test
{
  Loop *loop = loop_new ();
  gboolean keeps_bodies = TRUE;
  std::vector<gint64> passed_on;
  std::vector<gsize> bodies;
  std::vector<int> fds;
  HttpServerOps ops = {};
  HttpServer *s = nullptr;

  void
  SetUp () override
  {
    ops.request = [] (void *owner, const Request *r) {
      auto *t = static_cast<HttpCallers *> (owner);

      t->passed_on.push_back (r->id);
      t->bodies.push_back (r->body ? g_bytes_get_size (r->body) : 0);
    };
    ops.is_ready = [] (void *) -> gboolean { return TRUE; };
    ops.disconnect = [] (void *, gint64) {};
    ops.max_body_bytes = [] (void *) -> gsize { return 262144; };
    ops.may_keep_body = [] (void *owner, const Request *) {
      return static_cast<HttpCallers *> (owner)->keeps_bodies;
    };
    s = http_server_new (loop, &ops, this);
    // 2/5 of 5 MiB: eight bodies of legal size.
    http_server_limit (s, 5 << 20, 0);
    for (HttpListenerId id : { HTTP_LISTENER_CALLERS, HTTP_LISTENER_READINESS })
      ASSERT_TRUE (http_server_listen (s, id, "127.0.0.1", 0, nullptr));
  }

  void
  TearDown () override
  {
    http_server_free (s);
    for (int fd : fds)
      close (fd);
    loop_free (loop);
  }

  int
  connect_caller (HttpListenerId id = HTTP_LISTENER_CALLERS)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    address.sin_port = htons ((guint16)http_server_port (s, id));
    EXPECT_EQ (connect (fd, (sockaddr *)&address, sizeof address), 0);
    fds.push_back (fd);
    return fd;
  }

  void
  step ()
  {
    loop_poll (loop, 1);
    http_server_run (s);
    for (gint64 id : passed_on)
      {
        Answer a = {};

        a.request = id;
        a.status = keeps_bodies ? 200 : 404;
        http_server_answer (s, &a);
      }
    passed_on.clear ();
  }

  // Sends TEXT, all of which the server takes.
  void
  send_all (int fd, const std::string &text)
  {
    for (size_t at = 0; at < text.size ();)
      {
        ssize_t n = send (fd, text.data () + at, text.size () - at,
                          MSG_DONTWAIT | MSG_NOSIGNAL);

        at += n > 0 ? (size_t)n : 0;
        step ();
        ASSERT_TRUE (n > 0 || errno == EAGAIN);
      }
  }

  std::string
  answer (int fd)
  {
    std::string text;
    char part[4000];

    for (int i = 0; i < 100; i++)
      {
        ssize_t n = recv (fd, part, sizeof part, MSG_DONTWAIT);

        text.append (part, n > 0 ? (size_t)n : 0);
        step ();
      }
    return text;
  }

  static std::string
  head (size_t body)
  {
    return "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string (body) + "\r\n\r\n";
  }

  std::string
  metrics ()
  {
    GString *text = g_string_new (nullptr);

    http_server_append_metrics (s, text);
    std::string all (text->str);
    g_string_free (text, TRUE);
    return all;
  }
};

TEST_F (HttpCallers, RequestThatComesSlowlyIsServedWhereNothingIsShort)
{
  int fd = connect_caller ();

  send_all (fd, head (6));
  for (int i = 0; i < 6; i++)
    {
      usleep (250000);
      send_all (fd, "x");
    }
  EXPECT_EQ (answer (fd).find ("HTTP/1.1 200"), 0U);
  EXPECT_EQ (bodies, std::vector<gsize> { 6 });
}

TEST_F (HttpCallers, LargestBodyInChunksOfOneByteIsServedInCalm)
{
  int fd = connect_caller ();
  std::string text = "POST /q/1 HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";

  for (size_t i = 0; i < 262144; i++)
    text += "1\r\nx\r\n";
  send_all (fd, text + "0\r\n\r\n");
  text.clear ();
  // The rest stands in the kernel's buffers.
  for (int i = 0; i < 100 && text.empty (); i++)
    text = answer (fd);
  EXPECT_EQ (text.find ("HTTP/1.1 200"), 0U);
  EXPECT_EQ (bodies, std::vector<gsize> { 262144 });
}

TEST_F (HttpCallers, BodyThatCannotMatterIsAnsweredByItsHead)
{
  int fd = connect_caller ();

  keeps_bodies = FALSE;
  send_all (fd, head (200000) + std::string (1000, 'x'));
  EXPECT_EQ (answer (fd).find ("HTTP/1.1 404"), 0U);
  EXPECT_EQ (bodies, std::vector<gsize> { 0 });
}

// A client that reads only when it has sent all would get a reset instead.
TEST_F (HttpCallers, RefusalReachesAClientThatSendsItsBodyFirst)
{
  for (size_t n : { 200000U, 300000U })
    {
      int fd = connect_caller ();
      char byte;

      keeps_bodies = FALSE;
      send_all (fd, head (n) + std::string (n, 'x'));
      EXPECT_EQ (answer (fd).find (n > 262144 ? "HTTP/1.1 413"
                                              : "HTTP/1.1 404"),
                 0U);
      EXPECT_EQ (recv (fd, &byte, 1, MSG_DONTWAIT), 0) << "an orderly end";
    }
}

// A refused request that has arrived whole keeps its connection, as before.
TEST_F (HttpCallers, ShortBodyThatCannotMatterLeavesItsConnectionOpen)
{
  int fd = connect_caller ();

  keeps_bodies = FALSE;
  for (int i = 0; i < 2; i++)
    {
      send_all (fd, head (3) + "abc");
      std::string text = answer (fd);
      EXPECT_EQ (text.find ("HTTP/1.1 404"), 0U);
      EXPECT_EQ (text.find ("close"), std::string::npos);
    }
}

TEST_F (HttpCallers, StalledBodiesGiveWayAndAreToldSo)
{
  std::vector<int> stalled;

  for (int i = 0; i < 12; i++)
    {
      stalled.push_back (connect_caller ());
      send_all (stalled[i], head (250000) + std::string (200000, 'x'));
      for (int k = 0; k < 50; k++)
        step ();
      usleep (i == 6 ? 1100000 : 0);
    }
  int fd = connect_caller ();
  send_all (fd, head (200000) + std::string (200000, 'x'));
  EXPECT_EQ (answer (fd).find ("HTTP/1.1 200"), 0U);
  std::string text = answer (stalled[0]);
  EXPECT_EQ (text.find ("HTTP/1.1 503"), 0U);
  EXPECT_NE (text.find ("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ (metrics ().find ("closed_total{cause=\"stalled_body\"} 0"),
             std::string::npos);
}

// The end brings no event of its own, and the library asks for none.
TEST_F (HttpCallers, EndThatCameWithTheLastBytesIsNoticed)
{
  for (const std::string &text : { head (2000) + std::string (1000, 'x'),
                                   std::string ("POST /q/1 HTTP/1.1\r\n") })
    {
      int fd = connect_caller ();

      step ();
      send (fd, text.data (), text.size (), MSG_NOSIGNAL);
      shutdown (fd, SHUT_WR);
      for (int i = 0; i < 50; i++)
        step ();
      EXPECT_NE (metrics ().find ("wagtailpass_callers_connections 0\n"),
                 std::string::npos);
    }
}

TEST_F (HttpCallers, CallerThatEndsItsSendingGetsItsAnswer)
{
  int fd = connect_caller ();
  std::string text = head (3) + "abc";

  step ();
  send (fd, text.data (), text.size (), MSG_NOSIGNAL);
  shutdown (fd, SHUT_WR);
  EXPECT_EQ (answer (fd).find ("HTTP/1.1 200"), 0U);
}

TEST_F (HttpCallers, ReadinessIsToldBesideConnectionsThatSayNothing)
{
  for (int i = 0; i < 150; i++)
    {
      connect_caller (HTTP_LISTENER_READINESS);
      step ();
    }
  int fd = connect_caller (HTTP_LISTENER_READINESS);
  send_all (fd, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ (answer (fd).find ("HTTP/1.1 200"), 0U);
}

TEST_F (HttpCallers, BodyOfAReadinessCheckIsNotReceived)
{
  for (const char *method : { "GET", "POST" })
    {
      int fd = connect_caller (HTTP_LISTENER_READINESS);
      char byte;

      send_all (fd, std::string (method) +
                        " /api/readyz HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
      EXPECT_EQ (answer (fd).find ("HTTP/1.1 200"), 0U) << method;
      EXPECT_EQ (recv (fd, &byte, 1, MSG_DONTWAIT), 0) << method;
    }
}

} // namespace
