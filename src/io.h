#ifndef IO_H
#define IO_H

#include "core.h"
#include "log.h"
#include "loop.h"
#include "metrics.h"
#include "settings.h"
#include "timeline.h"

#include <apr_ring.h>

/* One thread and one pollset drive a node: sockets become events, effects
   become sockets. */
typedef struct Io Io;

/* The listeners whose bound port can be asked for. */
typedef enum IoListener
{
  IO_CALLERS,
  IO_OPERATORS,
  IO_PEERS
} IoListener;

Io *io_new (const Settings *s, FILE *trace, GError **error);
void io_free (Io *io);
void io_step (Io *io, ClockMs longest);
gboolean io_run (Io *io);
void io_drain (Io *io);
gboolean io_done (const Io *io);
guint io_port (const Io *io, IoListener which);
gint64 io_shell_counter (const Io *io, ShellCounter n);
const Core *io_core (const Io *io);

/* For the shell's modules. */
const Settings *io_settings (const Io *io);
Loop *io_loop (const Io *io);
apr_pool_t *io_pool (const Io *io);
Log *io_log (const Io *io);
ClockMs io_now (const Io *io);
gboolean io_draining (const Io *io);
Timeline *io_timeline (const Io *io);
char *io_metrics (const Io *io);
void io_count (Io *io, ShellCounter n, gint64 by);
void io_post (Io *io, EventKind kind, const void *body);
void io_post_message (Io *io, Event *e, Hlc stamp);

GQuark io_error_quark (void);
#define IO_ERROR io_error_quark ()
typedef enum IoErrorCode
{
  IO_ERROR_LISTEN,
  IO_ERROR_SETUP
} IoErrorCode;

#endif
