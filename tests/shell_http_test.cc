#include "shell_fixture.h"

namespace
{

const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

TEST_F (Shell, RequestGoesThroughAnUpstreamUntouched)
{
  start ();
  Peer c = caller (post (std::string ("a\0\r\nb", 5),
                         "X-Kind: proof\r\nX-Caller: me\r\n"));
  Peer *u = await_upstream (std::string ("a\0\r\nb", 5));
  EXPECT_EQ (u->in.find ("POST /requests/"), 0U);
  EXPECT_NE (u->in.find ("X-Attempt: 1\r\n"), std::string::npos);
  EXPECT_NE (u->in.find ("X-Workspace: a\r\n"), std::string::npos);
  EXPECT_NE (u->in.find ("X-Caller: me\r\n"), std::string::npos);
  EXPECT_NE (u->in.find ("X-Kind: proof\r\n"), std::string::npos);
  u->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
  EXPECT_EQ (c.in.substr (c.in.size () - 4), "done");
}

struct Refusal
{
  std::string request;
  const char *status;
  const char *reason;
};

class ShellRefusals : public Shell, public testing::WithParamInterface<Refusal>
{
};

// Every refusal says that nothing ran, and why.
TEST_P (ShellRefusals, SayNotRunAndWhy)
{
  settings->max_body_bytes = 100;
  start ();
  Peer c = caller (GetParam ().request);
  std::string a = answer (c);
  EXPECT_EQ (a.find (std::string ("HTTP/1.1 ") + GetParam ().status), 0U) << a;
  EXPECT_NE (a.find ("{\"outcome\":\"not run\",\"reason\":\""),
             std::string::npos)
      << a;
  EXPECT_NE (a.find (GetParam ().reason), std::string::npos) << a;
  EXPECT_TRUE (upstream_got ("POST /requests") == nullptr);
}

std::string
request (const std::string &line,
         const std::string &headers = "",
         const std::string &body = "")
{
  return line + " HTTP/1.1\r\nHost: h\r\nX-Workspace: a\r\n" + headers +
         "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

std::string
job (const std::string &body)
{
  return request ("POST /v1/jobs", "", body);
}

INSTANTIATE_TEST_SUITE_P (
    All,
    ShellRefusals,
    testing::Values (
        Refusal { request ("GET /nowhere"), "404", "no such path" },
        Refusal { request ("GET /metrics"), "404", "no such path" },
        Refusal { request ("PUT /v1/requests"), "405", "method" },
        Refusal { request ("POST /v1/requests", "X-Class: soon\r\n"), "400",
                  "class is not one of" },
        Refusal { request ("POST /v1/requests", "X-Deadline-Ms: -1\r\n"), "400",
                  "X-Deadline-Ms is not a number" },
        Refusal { request ("POST /v1/requests", "X-Repeatable: 2\r\n"), "400",
                  "X-Repeatable is not a number from 0 to 1" },
        Refusal { request ("POST /v1/requests",
                           "X-Kind: " + std::string (129, 'k') + "\r\n"),
                  "400", "X-Kind is longer than 128" },
        Refusal { request ("POST /v1/requests", "X-Caller: \xff\r\n"), "400",
                  "X-Caller" },
        Refusal { request ("POST /v1/requests", "", std::string (101, 'b')),
                  "413", "exceeds 100 bytes" },
        Refusal { "POST /v1/requests HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n65\r\n" +
                      std::string (101, 'b') + "\r\n0\r\n\r\n",
                  "413", "exceeds 100 bytes" },
        Refusal { request ("GET /v1/requests/" + std::string (193, 'i')), "400",
                  "id is too long" },
        Refusal { job (""), "400", "ends too early" },
        Refusal { job ("{\"parts\":0,\"x\":1}"), "400", "unknown key" },
        Refusal { job ("{\"parts\":0}"), "400", "0 is out of range" },
        Refusal { job ("{\"work_class\":\"soon\"}"), "400", "class" },
        Refusal { job (std::string (40, '[')), "400", "job" }));

// Answers that come in another order than the requests reach their own
// callers, also on a connection that is used again.
TEST_F (Shell, EachCallerGetsItsOwnAnswer)
{
  start ();
  std::vector<Peer> callers;
  for (int i = 0; i < 6; i++)
    callers.push_back (caller (post ("body-" + std::to_string (i))));
  for (int round = 0; round < 2; round++)
    {
      for (int i = 5; i >= 0; i--)
        {
          std::string body = "body-" + std::to_string (i + 10 * round);
          Peer *u = await_upstream (body);
          ASSERT_NE (u, nullptr);
          u->in.clear ();
          u->send ("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string (body.size ()) + "\r\n\r\n" + body);
        }
      for (int i = 0; i < 6; i++)
        {
          Peer &c = callers[static_cast<size_t> (i)];
          std::string body = "body-" + std::to_string (i + 10 * round);
          std::string a = answer (c);
          EXPECT_EQ (a.substr (a.size () - body.size ()), body);
          c.in.clear ();
          if (round == 0)
            c.send (post ("body-" + std::to_string (i + 10)));
        }
    }
}

TEST_F (Shell, ACallerThatHangsUpIsNoticed)
{
  Io *io = start ();
  Peer c = caller (post ("hello"));
  Peer *u = await_upstream ("hello");
  EXPECT_EQ (io_shell_counter (io, SHELL_HTTP_CONNECTIONS), 1);
  c.hang_up ();
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 0; });
  EXPECT_EQ (io_shell_counter (io, SHELL_HTTP_GONE), 1);
  u->send (ok);
  Peer next = caller (post ("next"));
  await_upstream ("next")->send (
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
  EXPECT_EQ (answer (next).substr (next.in.size () - 3), "own");
}

// The end brings no event of its own, and the library asks for none.
TEST_F (Shell, EndThatCameWithTheLastBytesIsNoticed)
{
  settings->idle_ms = settings->receive_ms = 600000;
  Io *io = start ();
  Peer c = caller ("");
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 1; });
  c.send ("POST /v1/requests HTTP/1.1\r\nContent-Length: 9\r\n\r\nab");
  c.hang_up ();
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 0; });
}

// Heads and bodies that drip in are cut off, and others served meanwhile.
// What drips in stays below the size at which a head is refused.
TEST_F (Shell, SlowCallersAreCutOff)
{
  constexpr int drips = 1000;
  settings->idle_ms = 200;
  settings->receive_ms = 200;
  Io *io = start ();
  Peer head = caller ("POST /v1/requests HTTP/1.1\r\nHost: h\r\n");
  Peer body = caller ("POST /v1/requests HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 999999\r\n\r\n");
  Peer silent = caller ("");
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 3; });
  Peer c = caller (post ("quick"));
  await_upstream ("quick")->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
  c.hang_up ();
  int sent = 0;
  until ([&] {
    if (sent++ < drips)
      {
        head.send ("X");
        body.send ("y");
      }
    return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 0;
  });
  head.take ();
  body.take ();
  EXPECT_EQ (head.in, "");
  EXPECT_EQ (body.in, "");
  EXPECT_EQ (io_shell_counter (io, SHELL_HTTP_CLOSED), 3);
  EXPECT_EQ (io_shell_counter (io, SHELL_BODY_BYTES), 0);
}

// A head is refused at the size of its buffer, however long it may take.
TEST_F (Shell, EndlessHeadsAreRefused)
{
  Io *io = start ();
  Peer c = caller ("POST /v1/requests HTTP/1.1\r\nHost: h\r\n");
  until ([&] {
    c.send (std::string (64, 'X'));
    c.take ();
    return c.in.find ("\r\n\r\n") != std::string::npos;
  });
  EXPECT_EQ (c.in.find ("HTTP/1.1 431"), 0U);
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 0; });
}

// A request that waits for its answer is no idle connection.
TEST_F (Shell, AWaitingRequestIsNotCutOff)
{
  settings->idle_ms = 100;
  Io *io = start ();
  Peer c = caller (post ("slow"));
  Peer *u = await_upstream ("slow");
  Peer silent = caller ("");
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CLOSED) == 1; });
  u->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
}

TEST_F (Shell, IdleConnectionsGiveWayToNewOnes)
{
  settings->max_connections = 16;
  Io *io = start ();
  std::vector<Peer> idle;
  for (int i = 0; i < 400; i++)
    {
      idle.push_back (caller (""));
      step ();
      EXPECT_LE (io_shell_counter (io, SHELL_HTTP_CONNECTIONS), 16 + 64);
    }
  Peer c = caller (post ("quick"));
  await_upstream ("quick")->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
}

TEST_F (Shell, BodiesTogetherAreBounded)
{
  settings->max_body_bytes = 1000;
  settings->max_bodies_bytes = 1500;
  Io *io = start ();
  std::string large = post (std::string (1000, 'b'));
  Peer first = caller (large.substr (0, large.size () - 1));
  until ([&] { return io_shell_counter (io, SHELL_BODY_BYTES) == 999; });
  Peer second = caller (large);
  std::string a = answer (second);
  EXPECT_EQ (a.find ("HTTP/1.1 503"), 0U);
  EXPECT_NE (a.find ("Retry-After: 1"), std::string::npos);
  first.send ("b");
  await_upstream ("bbb")->send (ok);
  EXPECT_EQ (answer (first).find ("HTTP/1.1 200"), 0U);
  EXPECT_EQ (io_shell_counter (io, SHELL_BODY_BYTES), 0);
}

TEST_F (Shell, ADrainFinishesWhatIsInFlight)
{
  Io *io = start ();
  Peer c = caller (post ("last"));
  Peer *u = await_upstream ("last");
  io_drain (io);
  Peer health = caller (request ("GET /healthz"));
  EXPECT_EQ (answer (health).find ("HTTP/1.1 503"), 0U);
  EXPECT_FALSE (io_done (io));
  u->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
  until ([&] { return io_done (io); });
}

TEST_F (Shell, OperatorsSeeCountersNotesAndAnswers)
{
  start ();
  Peer m = caller (request ("GET /metrics"), true);
  std::string text = answer (m);
  for (int i = 0; i < N_COUNTERS; i++)
    EXPECT_NE (text.find (std::string ("\nwagtailpass_") +
                          counter_name (static_cast<Counter> (i)) + " "),
               std::string::npos);
  for (int i = 0; i < N_SHELL_COUNTERS; i++)
    EXPECT_NE (text.find (std::string ("\nwagtailpass_") +
                          metrics_shell_name (static_cast<ShellCounter> (i)) +
                          " "),
               std::string::npos);
  Peer t = caller (request ("GET /timeline?host=h1"), true);
  EXPECT_NE (answer (t).find ("\"note\":\"started\""), std::string::npos);
  Peer none = caller (request ("GET /timeline?job=none"), true);
  EXPECT_EQ (answer (none).find ("\"note\""), std::string::npos);
  Peer q = caller (request ("GET /v1/surely-not"), true);
  EXPECT_EQ (answer (q).find ("HTTP/1.1 404"), 0U);
}

// Damaged requests get an answer or a close, and the next one is served.
TEST_F (Shell, DamagedRequestsHarmNobody)
{
  settings->idle_ms = 100;
  settings->receive_ms = 100;
  Io *io = start ();
  GRand *rng = g_rand_new_with_seed (7);
  std::vector<Peer> callers;
  for (int run = 0; run < 300; run++)
    {
      std::string text = run % 2 ? job ("{\"parts\": 2, \"accelerators\": 4}")
                                 : post ("hello");
      for (int n = g_rand_int_range (rng, 1, 5); n > 0; n--)
        text[static_cast<size_t> (
            g_rand_int_range (rng, 0, static_cast<gint32> (text.size ())))] =
            static_cast<char> (g_rand_int_range (rng, 0, 256));
      callers.push_back (caller (text));
      callers.back ().send ("\r\n\r\n");
      step ();
      for (auto &u : upstream.peers)
        if (u.fd >= 0 && u.in.find ("POST /requests/") != std::string::npos)
          {
            u.in.clear ();
            u.send (ok);
          }
    }
  g_rand_free (rng);
  callers.clear ();
  until ([&] { return io_shell_counter (io, SHELL_HTTP_CONNECTIONS) == 0; });
  EXPECT_EQ (io_shell_counter (io, SHELL_BODY_BYTES), 0);
  Peer c = caller (post ("after all"));
  await_upstream ("after all")->send (ok);
  EXPECT_EQ (answer (c).find ("HTTP/1.1 200"), 0U);
}

}
