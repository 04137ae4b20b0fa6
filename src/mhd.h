#ifndef MHD_H
#define MHD_H

#include <glib.h>
#include <microhttpd.h>

/* What both HTTP servers ask of libmicrohttpd. */

gboolean mhd_has_waiting (struct MHD_Daemon *daemon);

#endif
