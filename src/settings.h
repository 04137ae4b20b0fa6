#ifndef SETTINGS_H
#define SETTINGS_H

#include "config.h"

/* What the settings file of one process holds: the fields of Config and
   those of the shell itself.  Spans are in milliseconds, sizes in bytes.
   An empty peers_address or a peers_port of 0 stands for the own entry in
   HOSTS. */

enum
{
  SETTINGS_MIN_KEY = 16,
  SETTINGS_MAX_KEY = 256,
  SETTINGS_MAX_BYTES = 8 << 20 /* of the file */
};

#define SETTINGS_FIELDS(INT, STR, BYTES, LIST)                                 \
  CONFIG_FIELDS (INT, STR, BYTES, LIST)                                        \
  STR (callers_address, 1, CONFIG_MAX_ADDRESS)                                 \
  INT (callers_port, 0, CONFIG_MAX_PORT)                                       \
  STR (operators_address, 1, CONFIG_MAX_ADDRESS)                               \
  INT (operators_port, 0, CONFIG_MAX_PORT)                                     \
  STR (peers_address, 0, CONFIG_MAX_ADDRESS)                                   \
  INT (peers_port, 0, CONFIG_MAX_PORT)                                         \
  STR (peer_key, SETTINGS_MIN_KEY, SETTINGS_MAX_KEY)                           \
  STR (store_address, 1, CONFIG_MAX_ADDRESS)                                   \
  INT (store_port, 1, CONFIG_MAX_PORT)                                         \
  STR (log_level, 1, 16)                                                       \
  INT (max_body_bytes, 1, 64 << 20)                                            \
  INT (max_bodies_bytes, 1, G_MAXINT32)                                        \
  INT (max_answer_bytes, 1, 64 << 20)                                          \
  INT (max_connections, 16, 100000)                                            \
  INT (idle_ms, 100, 3600000)                                                  \
  INT (receive_ms, 100, 3600000)                                               \
  INT (max_frame_bytes, 4096, 64 << 20)                                        \
  INT (timeline_entries, 16, 1000000)
REC_DECLARE (Settings, settings, SETTINGS_FIELDS)

Settings *settings_default (void);
void settings_free (Settings *s);
Settings *settings_parse (const char *text,
                          gsize n,
                          const char *file,
                          Findings *findings);
Settings *settings_load (const char *file, Findings *findings);
Config *settings_config (const Settings *s);

#endif
