#ifndef WIRE_MAC_H
#define WIRE_MAC_H

#include "wire.h"

/* How hosts prove to each other that they have the pre-shared key, and that
   nobody changed a frame: HMAC-SHA256. */

/* What both ends of a connection have said. */
typedef struct WireHandshake
{
  const char *key;      /* pre-shared */
  const char *dialler;  /* name */
  const char *accepter; /* name */
  const guint8 *dialler_nonce;
  const guint8 *accepter_nonce;
} WireHandshake;

void
wire_mac_handshake (const WireHandshake *h, const char *label, guint8 *mac);
void
wire_mac_frame (const guint8 *key, gconstpointer data, gsize n, guint8 *mac);
gboolean wire_mac_equal (const guint8 *a, const guint8 *b);

#endif
