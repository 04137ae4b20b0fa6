#include "mhd.h"

#include <poll.h>

/* Tells whether a connection to DAEMON, which listens, waits to be accepted. */
gboolean
mhd_has_waiting (struct MHD_Daemon *daemon)
{
  const union MHD_DaemonInfo *info =
      MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_LISTEN_FD);
  struct pollfd p = { .fd = info->listen_fd, .events = POLLIN };

  return poll (&p, 1, 0) == 1;
}
