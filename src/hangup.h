#ifndef HANGUP_H
#define HANGUP_H

#include "loop.h"

#include <apr_ring.h>

/* Notices that the other end of a connection has ended it.  libmicrohttpd asks
   for no further event of a socket after a read that was short, and the end of
   the stream brings none of its own if it came together with the last bytes:
   such a connection would be kept until its time-out. */
typedef struct Hangups Hangups;

typedef struct Hangup
{
  APR_RING_ENTRY (Hangup) link;
  int fd;
  gboolean ended; /* the end has come, and the library does not know yet */
} Hangup;

Hangups *hangups_new (Loop *loop);
void hangups_free (Hangups *h);
void hangups_watch (Hangups *h, Hangup *conn, int fd);
void hangups_unwatch (Hangups *h, Hangup *conn);
gboolean hangups_tell (Hangups *h);

#endif
