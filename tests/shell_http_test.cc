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

}
