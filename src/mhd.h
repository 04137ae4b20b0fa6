#ifndef MHD_H
#define MHD_H

#include <glib.h>
#include <microhttpd.h>

/* What both HTTP servers ask of libmicrohttpd. */

enum
{
  /* With MHD_USE_TURBO connections are closed without a shutdown before, so
     that one with an unread request is reset and its client may repeat it. */
  MHD_SERVER_FLAGS = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO
};

gboolean mhd_has_unread (int fd);
gint64 mhd_n_read (int fd);
gboolean mhd_keep_unread (GArray *kept, int fd);
guint mhd_reopen_kept (struct MHD_Daemon *daemon, GArray *kept);
void mhd_free_kept (GArray *kept);
void mhd_bound_buffers (struct MHD_Daemon *daemon, int sent);
void mhd_share_unread (struct MHD_Daemon *daemon, int fd, gsize total, guint n);
void
mhd_write_answer (int fd, guint status, const char *text, gint64 retry_after_s);
void mhd_stop_accepting (struct MHD_Daemon *daemon);

#endif
