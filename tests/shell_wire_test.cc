#include "shell_fixture.h"

extern "C"
{
#include "wire.h"
}

namespace
{

// A dialler on one node, an accepter on another, and between them the
// test, which sees and changes every byte.  The nodes know of no hosts, so
// that nothing is sent but what the test sends.
class ShellWire : public Shell
{
protected:
  void
  SetUp () override
  {
    Shell::SetUp ();
    hosts = static_cast<Settings *> (rec_copy (settings_desc (), settings));
    add_host ("h1", free_port ());
    add_host ("h2", middle.port);
    add_host ("h3", free_port ());
    theirs = static_cast<Settings *> (rec_copy (settings_desc (), hosts));
    rec_set_str (&theirs->host, "h2");
    accepter = start ();
    accepting = wire_new (accepter, theirs, nullptr);
    dialler = start ();
  }
  void
  TearDown () override
  {
    wire_free (accepting);
    wire_free (dialling);
    settings_free (hosts);
    settings_free (theirs);
    Shell::TearDown ();
  }
  void
  add_host (const char *name, int port) const
  {
    auto *h = static_cast<ConfigHost *> (rec_list_add (config_host_desc (),
                                                       &hosts->hosts));
    rec_set_str (&h->name, name);
    rec_set_str (&h->domain, "east");
    rec_set_str (&h->address, "127.0.0.1");
    h->port = port;
  }
  void
  start_dialler ()
  {
    dialling = wire_new (dialler, hosts, nullptr);
  }
  // A want is answered by nothing while the revisions are equal.
  void
  send (gint64 revision = 1) const
  {
    TableWant want { revision };
    Event *e = event_new (MSG_TABLE_WANT, 0, "h2", &want);
    wire_send (dialling, e, Hlc { 1, 0 });
    event_free (e);
  }
  void
  step () override
  {
    Shell::step ();
    wire_run (accepting);
    if (dialling)
      wire_run (dialling);
    middle.take ();
  }
  Peer
  to_accepter ()
  {
    return Peer::connect_to (static_cast<int> (wire_port (accepting)));
  }
  // Passes bytes on both ways, and keeps those to the accepter.
  void
  relay (Peer &left, Peer &right)
  {
    left.take ();
    right.take ();
    to += left.in;
    right.send (left.in);
    left.send (right.in);
    left.in.clear ();
    right.in.clear ();
  }
  // The length of the first whole frame of S.
  static size_t
  frame_size (const std::string &s)
  {
    guint32 n = 0;
    memcpy (&n, s.data (), sizeof n);
    return sizeof n + ntohl (n);
  }
  // Opens a session by the middle and sends one message; returns what went
  // to the accepter: hello, proof, message.
  std::vector<std::string>
  open_session (Peer &right)
  {
    start_dialler ();
    send ();
    until ([&] { return !middle.peers.empty (); });
    until ([&] {
      relay (middle.peers[0], right);
      return received () == 1;
    });
    std::vector<std::string> frames;
    for (std::string rest = to; !rest.empty ();
         rest = rest.substr (frame_size (rest)))
      frames.push_back (rest.substr (0, frame_size (rest)));
    return frames;
  }
  gint64
  received () const
  {
    return io_shell_counter (accepter, SHELL_WIRE_FRAMES_IN) - before;
  }
  gint64
  refused () const
  {
    return io_shell_counter (accepter, SHELL_WIRE_REFUSED);
  }
  Server middle;
  Io *accepter = nullptr;
  Io *dialler = nullptr;
  Settings *hosts = nullptr;
  Settings *theirs = nullptr;
  Wire *accepting = nullptr;
  Wire *dialling = nullptr;
  std::string to;
  gint64 before = 0;
};

TEST_F (ShellWire, MessagesArriveInTheirOrder)
{
  Peer right = to_accepter ();
  EXPECT_EQ (open_session (right).size (), 3U);
  for (int i = 0; i < 100; i++)
    send ();
  until ([&] {
    relay (middle.peers[0], right);
    return received () == 101;
  });
  EXPECT_EQ (refused (), 0);
}

TEST_F (ShellWire, AChangedByteClosesTheConnection)
{
  Peer right = to_accepter ();
  std::vector<std::string> frames = open_session (right);
  send ();
  until ([&] {
    return middle.peers[0].take () && !middle.peers[0].in.empty ();
  });
  std::string &bytes = middle.peers[0].in;
  bytes[bytes.size () / 2] = static_cast<char> (bytes[bytes.size () / 2] ^ 1);
  right.send (bytes);
  until ([&] { return !right.take (); });
  EXPECT_EQ (refused (), 1);
  EXPECT_EQ (received (), 1);
}

TEST_F (ShellWire, ARepeatedFrameClosesTheConnection)
{
  Peer right = to_accepter ();
  std::vector<std::string> frames = open_session (right);
  right.send (frames[2]);
  until ([&] { return !right.take (); });
  EXPECT_EQ (refused (), 1);
}

TEST_F (ShellWire, ARecordedSessionCanNotBeReplayed)
{
  Peer right = to_accepter ();
  open_session (right);
  before = io_shell_counter (accepter, SHELL_WIRE_FRAMES_IN);
  Peer replay = to_accepter ();
  replay.send (to);
  until ([&] { return !replay.take (); });
  EXPECT_EQ (refused (), 1);
  EXPECT_EQ (received (), 0);
}

// Whoever lacks the key can't make the dialler prove it for him.
TEST_F (ShellWire, TheDiallersOwnWordsProveNothing)
{
  start_dialler ();
  send ();
  until ([&] {
    return !middle.peers.empty () && middle.peers[0].in.size () > 4;
  });
  middle.peers[0].send (middle.peers[0].in);
  until ([&] { return !middle.peers[0].take (); });
  EXPECT_EQ (io_shell_counter (dialler, SHELL_WIRE_REFUSED), 1);
}

std::string
frame (const std::string &content)
{
  guint32 n = htonl (static_cast<guint32> (content.size ()));
  return std::string (reinterpret_cast<char *> (&n), sizeof n) + content;
}

// What the accepter gives as its own proof is none when it comes back.
TEST_F (ShellWire, TheAcceptersProofIsNotTheDiallers)
{
  constexpr size_t challenge = 4 + 1 + 1 + 2 * 34;
  Peer p = to_accepter ();
  p.send (frame (std::string ("\x94\x01\xa2h1\xa2h2\xc4\x20") +
                 std::string (32, 'n')));
  until ([&] { return p.take () && p.in.size () == challenge; });
  p.send (frame (std::string ("\x91\xc4\x20") + p.in.substr (challenge - 32)));
  until ([&] { return !p.take (); });
  EXPECT_EQ (refused (), 1);
}

TEST_F (ShellWire, AnotherKeyIsRefused)
{
  rec_set_str (&hosts->peer_key, "another key, long");
  Peer right = to_accepter ();
  start_dialler ();
  send ();
  until ([&] { return !middle.peers.empty (); });
  until ([&] {
    if (middle.peers[0].fd >= 0)
      relay (middle.peers[0], right);
    return io_shell_counter (dialler, SHELL_WIRE_REFUSED) > 0;
  });
  EXPECT_EQ (received (), 0);
}

// As many silent connections as may wait for their hello, and one more: the
// first one gives way, the others stay.
TEST_F (ShellWire, SilentConnectionsAreBounded)
{
  std::vector<Peer> silent;
  for (int i = 0; i < 65; i++)
    {
      silent.push_back (to_accepter ());
      step ();
    }
  until ([&] { return !silent.front ().take (); });
  for (size_t i = 1; i < silent.size (); i++)
    EXPECT_TRUE (silent[i].take ()) << i;
}

TEST_F (ShellWire, PeerIsHeardBesideSilentConnections)
{
  std::vector<Peer> silent;

  for (int i = 0; i < 70; i++)
    {
      silent.push_back (to_accepter ());
      step ();
    }
  Peer right = to_accepter ();
  open_session (right);
  EXPECT_EQ (received (), 1);
}

TEST_F (ShellWire, ADeadPeerIsDialledAgain)
{
  start_dialler ();
  send ();
  until ([&] { return middle.peers.size () == 1; });
  middle.peers[0].hang_up ();
  until ([&] {
    for (auto &p : middle.peers)
      p.hang_up ();
    return middle.peers.size () >= 3;
  });
  EXPECT_GE (io_shell_counter (dialler, SHELL_WIRE_DROPPED), 1);
}

TEST_F (ShellWire, GarbageIsRefusedAndTheRestServed)
{
  GRand *rng = g_rand_new_with_seed (42);
  for (int run = 0; run < 300; run++)
    {
      std::string bytes (static_cast<size_t> (g_rand_int_range (rng, 4, 80)),
                         0);
      for (char &c : bytes)
        c = static_cast<char> (g_rand_int_range (rng, 0, 256));
      if (run % 3)
        bytes.replace (0, 4, std::string ("\0\0\0\x08", 4));
      Peer p = to_accepter ();
      p.send (bytes);
      if (bytes.size () < 12 && run % 3)
        continue;
      until ([&] { return !p.take (); });
    }
  g_rand_free (rng);
  Peer right = to_accepter ();
  EXPECT_EQ (open_session (right).size (), 3U);
}

}
