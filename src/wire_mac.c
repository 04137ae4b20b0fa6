#include "wire_mac.h"

#include <string.h>

static void
update_with_text (GHmac *mac, const char *text)
{
  g_hmac_update (mac, (const guchar *)text, (gssize)strlen (text) + 1);
}

static void
finish (GHmac *h, guint8 *mac)
{
  gsize n = WIRE_MAC;

  g_hmac_get_digest (h, mac, &n);
  g_hmac_unref (h);
}

/* Computes into MAC that of LABEL and all that H holds, under its key.  LABEL
   keeps the uses apart, so that no end can be made to answer its own
   challenge. */
void
wire_mac_handshake (const WireHandshake *h, const char *label, guint8 *mac)
{
  GHmac *hmac =
      g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)h->key, strlen (h->key));

  update_with_text (hmac, label);
  update_with_text (hmac, h->dialler);
  update_with_text (hmac, h->accepter);
  g_hmac_update (hmac, h->dialler_nonce, WIRE_NONCE);
  g_hmac_update (hmac, h->accepter_nonce, WIRE_NONCE);
  finish (hmac, mac);
}

/* Computes into MAC that of the N bytes at DATA under KEY, a session's. */
void
wire_mac_frame (const guint8 *key, gconstpointer data, gsize n, guint8 *mac)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, key, WIRE_MAC);

  g_hmac_update (hmac, data, (gssize)n);
  finish (hmac, mac);
}

/* Tells whether the MACs A and B are the same, in a time that does not tell
   where they differ. */
gboolean
wire_mac_equal (const guint8 *a, const guint8 *b)
{
  guint8 difference = 0;
  int i;

  for (i = 0; i < WIRE_MAC; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}
