#include "shell_fixture.h"

extern "C"
{
#include "client.h"
}

#include <memory>

namespace
{

// Calls made straight, their ends read from the trace of the node.
class ShellClient : public Shell
{
protected:
  void
  SetUp () override
  {
    Shell::SetUp ();
    settings->store_port = upstream.port;
    auto *w = static_cast<ConfigWorker *> (rec_list_add (config_worker_desc (),
                                                         &settings->workers));
    rec_set_str (&w->name, "w1");
    rec_set_str (&w->domain, "east");
    rec_set_str (&w->rack, "r1");
    rec_set_str (&w->address, "127.0.0.1");
    w->port = upstream.port;
    add_upstream ("nobody", free_port ());
    trace = std::tmpfile ();
    io = start (trace);
    client = client_new (io);
  }
  void
  TearDown () override
  {
    client_free (client);
    Shell::TearDown ();
    std::fclose (trace);
  }
  void
  call (EventKind kind, void *body) const
  {
    Event *e = event_new (kind, io_now (io), nullptr, body);
    client_call (client, e);
    event_free (e);
  }
  void
  send (const char *request,
        const char *to = "u1",
        gint64 timeout_ms = 5000) const
  {
    GBytes *body = g_bytes_new_static ("body", 4);
    UpstreamSend s { to, request, 1, "a", "me", "proof", timeout_ms, body };
    call (FX_UPSTREAM_SEND, &s);
    g_bytes_unref (body);
  }
  void
  ask (const char *request, EventKind kind = FX_UPSTREAM_ASK) const
  {
    UpstreamAsk a { "u1", request, 1, 5000 };
    call (kind, &a);
  }
  void
  step () override
  {
    Shell::step ();
    client_run (client);
    io_step (io, 0);
    read_trace ();
  }
  void
  read_trace ()
  {
    char *line = nullptr;
    size_t room = 0;
    std::fflush (trace);
    std::fseek (trace, at, SEEK_SET);
    while (getline (&line, &room, trace) > 0)
      {
        if (g_str_has_prefix (line, "{\"start\""))
          continue;
        Findings findings;
        char *node = nullptr;
        findings_init (&findings);
        Event *e = event_from_json (line, "trace", &node, &findings);
        ASSERT_NE (e, nullptr) << line;
        events.emplace_back (e, event_free);
        g_free (node);
        findings_clear (&findings);
      }
    at = std::ftell (trace);
    free (line);
  }
  // Returns the first event of KIND not yet returned.
  template <typename T>
  const T *
  next (EventKind kind)
  {
    size_t found = 0;
    until ([&] {
      for (found = seen; found < events.size (); found++)
        if (events[found]->kind == kind)
          return true;
      return false;
    });
    if (found >= events.size ())
      return nullptr;
    seen = found + 1;
    return static_cast<const T *> (events[found]->body);
  }
  const UpstreamReply *
  reply ()
  {
    return next<UpstreamReply> (EV_UPSTREAM_REPLY);
  }
  using EventPtr = std::unique_ptr<Event, void (*) (Event *)>;
  Io *io = nullptr;
  Client *client = nullptr;
  std::FILE *trace = nullptr;
  long at = 0;
  std::vector<EventPtr> events;
  size_t seen = 0;
};

struct Ending
{
  const char *answer; // before the connection ends
  UpstreamResult sent;
  UpstreamResult asked;
};

class ShellEndings : public ShellClient,
                     public testing::WithParamInterface<Ending>
{
};

// What becomes of a send and of an ask when the upstream says ANSWER and
// hangs up.
TEST_P (ShellEndings, AreToldApart)
{
  for (bool asked : { false, true })
    {
      std::string id = asked ? "r-asked" : "r-sent";
      if (asked)
        ask (id.c_str ());
      else
        send (id.c_str ());
      Peer *u = await_upstream (id);
      u->send (GetParam ().answer);
      u->hang_up ();
      const UpstreamReply *r = reply ();
      ASSERT_NE (r, nullptr);
      EXPECT_EQ (r->result, asked ? GetParam ().asked : GetParam ().sent);
      EXPECT_EQ (r->asked, asked);
      EXPECT_EQ (r->request, id);
      EXPECT_FALSE (r->result == UPSTREAM_LOST && r->body);
    }
}

INSTANTIATE_TEST_SUITE_P (
    All,
    ShellEndings,
    testing::Values (
        Ending { "", UPSTREAM_LOST, UPSTREAM_LOST },
        Ending { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                 UPSTREAM_LOST, UPSTREAM_LOST },
        Ending { "HTTP/1.1 200 OK\r\n\r\nno length", UPSTREAM_LOST,
                 UPSTREAM_LOST },
        Ending {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhal",
            UPSTREAM_LOST, UPSTREAM_LOST },
        Ending { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                 UPSTREAM_ANSWERED, UPSTREAM_ANSWERED },
        Ending { "HTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n",
                 UPSTREAM_ANSWERED, UPSTREAM_RUNNING },
        Ending { "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n", UPSTREAM_FAILED,
                 UPSTREAM_NEVER_SEEN },
        Ending { "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", UPSTREAM_FAILED,
                 UPSTREAM_FAILED },
        Ending { "HTTP/1.1 503 B\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                 UPSTREAM_BUSY, UPSTREAM_LOST },
        Ending { "HTTP/1.1 503 B\r\nContent-Length: 0\r\n\r\n", UPSTREAM_FAILED,
                 UPSTREAM_LOST },
        Ending { "garbage\r\n\r\n", UPSTREAM_LOST, UPSTREAM_LOST }));

TEST_F (ShellClient, NothingLeftWhereNobodyListens)
{
  send ("r1", "nobody");
  EXPECT_EQ (reply ()->result, UPSTREAM_UNSENT);
  send ("r2", "no such upstream");
  EXPECT_EQ (reply ()->result, UPSTREAM_UNSENT);
}

TEST_F (ShellClient, SilenceIsLostAtItsTimeout)
{
  send ("r1", "u1", 50);
  await_upstream ("body");
  EXPECT_EQ (reply ()->result, UPSTREAM_LOST);
}

TEST_F (ShellClient, LeavingIsToldByAnswerAndProbe)
{
  send ("r1");
  await_upstream ("body")->send (
      "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ (reply ()->leaving, 1);
  UpstreamProbe p { "u1", 1000 };
  call (FX_UPSTREAM_PROBE, &p);
  await_upstream ("GET /health")
      ->send ("HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
  const auto *probed = next<UpstreamProbed> (EV_UPSTREAM_PROBED);
  EXPECT_EQ (probed->healthy, 1);
  EXPECT_EQ (probed->leaving, 1);
}

// A connection that was used before and closes without an answer: the
// request may have run, so it is not sent again.
TEST_F (ShellClient, NothingIsSentTwiceOnAReusedConnection)
{
  send ("first");
  await_upstream ("body")->send (
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  reply ();
  send ("second");
  Peer *u = await_upstream ("/requests/second");
  EXPECT_NE (u->in.find ("/requests/first"), std::string::npos)
      << "the connection was not reused";
  u->hang_up ();
  EXPECT_EQ (reply ()->result, UPSTREAM_LOST);
  for (int i = 0; i < 20; i++)
    step ();
  int sendings = 0;
  for (auto &p : upstream.peers)
    sendings += p.in.find ("/requests/second") != std::string::npos;
  EXPECT_EQ (sendings, 1);
}

// With 8 connections 7 sends hang: the eighth waits, and is certainly not
// run when its time is over; an ask still gets through.
TEST_F (ShellClient, ConnectionsAreCappedAndAnAskGetsThrough)
{
  for (int i = 0; i < 7; i++)
    send ("hang");
  send ("eighth", "u1", 100);
  ask ("hang");
  await_upstream ("GET /requests/hang")
      ->send ("HTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ (reply ()->result, UPSTREAM_RUNNING);
  const UpstreamReply *r = reply ();
  EXPECT_STREQ (r->request, "eighth");
  EXPECT_EQ (r->result, UPSTREAM_UNSENT);
  EXPECT_EQ (upstream_got ("/requests/eighth"), nullptr);
  int connections = 0;
  for (auto &p : upstream.peers)
    connections += p.in.find ("/requests/hang") != std::string::npos;
  EXPECT_EQ (connections, 8);
}

// Once the ask has settled the request, the silent connection is dropped
// and says nothing more.
TEST_F (ShellClient, ASettledRequestsOldConnectionIsDropped)
{
  send ("r1");
  Peer *old = await_upstream ("body");
  ask ("r1");
  await_upstream ("GET /requests/r1")
      ->send ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  old = upstream_got ("body");
  const UpstreamReply *r = reply ();
  EXPECT_EQ (r->asked, 1);
  EXPECT_EQ (g_bytes_get_size (r->body), 2U);
  until ([&] { return old->fd < 0; });
  size_t before = events.size ();
  for (int i = 0; i < 20; i++)
    step ();
  for (size_t i = before; i < events.size (); i++)
    EXPECT_NE (events[i]->kind, EV_UPSTREAM_REPLY);
}

TEST_F (ShellClient, CancelIsADelete)
{
  ask ("r1", FX_UPSTREAM_CANCEL);
  EXPECT_NE (await_upstream ("DELETE /requests/r1"), nullptr);
}

struct StoreEnding
{
  const char *answer;
  StoreStatus status;
};

class ShellStoreEndings : public ShellClient,
                          public testing::WithParamInterface<StoreEnding>
{
};

TEST_P (ShellStoreEndings, AreToldApart)
{
  std::string answer = GetParam ().answer;
  StoreCall c { 7, STORE_GET, "key", 0, 0, 0, 1000, nullptr };
  call (FX_STORE_CALL, &c);
  Peer *u = await_upstream ("\"key\":\"key\"");
  EXPECT_EQ (u->in.find ("POST /v1/call"), 0U);
  if (answer[0] == '{')
    answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
             std::to_string (answer.size ()) + "\r\n\r\n" + answer;
  u->send (answer);
  u->hang_up ();
  const auto *r = next<StoreReply> (EV_STORE_REPLY);
  ASSERT_NE (r, nullptr);
  EXPECT_EQ (r->call, 7);
  EXPECT_EQ (r->status, GetParam ().status);
}

INSTANTIATE_TEST_SUITE_P (
    All,
    ShellStoreEndings,
    testing::Values (
        StoreEnding { "{\"call\":7,\"op\":0,\"status\":2,\"revision\":1,"
                      "\"lease\":0,\"items\":[],\"hosts\":[]}",
                      STORE_MISSING },
        StoreEnding { "{\"call\":8,\"op\":0,\"status\":0,\"revision\":1,"
                      "\"lease\":0,\"items\":[],\"hosts\":[]}",
                      STORE_LOST },
        StoreEnding { "{\"call\":7,\"op\":0}", STORE_LOST },
        StoreEnding { "", STORE_LOST },
        StoreEnding { "HTTP/1.1 429 R\r\nContent-Length: 0\r\n\r\n",
                      STORE_REFUSED },
        StoreEnding { "HTTP/1.1 503 R\r\nContent-Length: 0\r\n\r\n",
                      STORE_REFUSED },
        StoreEnding { "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
                      STORE_LOST }));

TEST_F (ShellClient, WorkersAnswerOrAreLost)
{
  WorkerCall c {};
  c.call = 5;
  c.worker = "w1";
  c.op = WORKER_RENEW;
  c.job = "";
  c.timeout_ms = 1000;
  call (FX_WORKER_CALL, &c);
  std::string answer =
      "{\"call\":5,\"worker\":\"w1\",\"op\":3,\"status\":2,"
      "\"term\":9,\"reason\":\"\",\"running\":0,\"leases\":[]}";
  await_upstream ("\"worker\":\"w1\"")
      ->send ("HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string (answer.size ()) + "\r\n\r\n" + answer);
  const auto *r = next<WorkerReply> (EV_WORKER_REPLY);
  EXPECT_EQ (r->status, WORKER_STALE);
  EXPECT_EQ (r->term, 9);
  c.worker = "w9";
  call (FX_WORKER_CALL, &c);
  EXPECT_EQ (next<WorkerReply> (EV_WORKER_REPLY)->status, WORKER_UNSENT);
}

}
