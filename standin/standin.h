#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>

#include "server.h"

/* The modes of wagtailpass-standin.  Each takes its own options and serves
   (or loads) until its bound of time. */

#define STANDIN_MODES(X)                                                       \
  X (store, "the platform's key-value store and list of hosts")                \
  X (upstream, "one or more upstreams, a port each")                           \
  X (workers, "workers with accelerators, one port for all")                   \
  X (platform, "the users' platform: its store and its runners")               \
  X (runner, "one of the users' runners, a process of its own")                \
  X (load, "a bounded load of requests, and a table of completion times")

#define STANDIN_DECLARE(name, help)                                            \
  int standin_##name (int argc, char **argv, GError **error);
STANDIN_MODES (STANDIN_DECLARE)

/* What every serving mode is told. */
typedef struct StandinPlace
{
  char *address;
  int port;
  int seconds;
} StandinPlace;

gboolean standin_options (const char *summary,
                          const GOptionEntry *entries,
                          StandinPlace *place,
                          int argc,
                          char **argv,
                          GError **error);
gboolean standin_listen (Server *s,
                         const StandinPlace *place,
                         int nth,
                         ExchangeFunc handle,
                         void *data,
                         GError **error);

#endif
