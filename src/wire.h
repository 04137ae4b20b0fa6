#ifndef WIRE_H
#define WIRE_H

#include "io.h"

/* Messages between hosts: msgpack frames over TCP, each connection
   authenticated in both directions by a pre-shared key. */
typedef struct Wire Wire;

enum
{
  WIRE_VERSION = 1,
  WIRE_NONCE = 32,
  WIRE_MAC = 32,
  WIRE_MAX_HANDSHAKE = 512,
  WIRE_MAX_NAME = 64
};

Wire *wire_new (Io *io, const Settings *s, GError **error);
void wire_free (Wire *w);
guint wire_port (const Wire *w);
void wire_send (Wire *w, const Event *e, Hlc stamp);
void wire_run (Wire *w);
ClockMs wire_next_deadline (const Wire *w);

#endif
