#include "wire_state.h"

#include "wire_mac.h"

#include <netinet/in.h>
#include <string.h>

/* Computes into MAC the MAC of LABEL and all that both ends of L said. */
static void
sign_handshake (const Link *l, const char *label, guint8 *mac)
{
  const char *self = l->wire->settings->host;
  const char *other = l->peer->host->name;
  WireHandshake h = { .key = l->wire->settings->peer_key,
                      .dialler = l->dialled ? self : other,
                      .accepter = l->dialled ? other : self,
                      .dialler_nonce = l->dialled ? l->nonce : l->peer_nonce,
                      .accepter_nonce = l->dialled ? l->peer_nonce : l->nonce };

  wire_mac_handshake (&h, label, mac);
}

static gboolean
proof_is_good (const Link *l, const char *label, GBytes *proof)
{
  guint8 mac[WIRE_MAC];

  if (!proof || g_bytes_get_size (proof) != WIRE_MAC)
    return FALSE;
  sign_handshake (l, label, mac);
  return wire_mac_equal (mac, g_bytes_get_data (proof, NULL));
}

/* Adds REC as a frame to what L is to send, with a MAC under the session's key
   if SIGN is TRUE. */
void
wire_append (Link *l, const RecDesc *d, const void *rec, gboolean sign)
{
  GBytes *packed = rec_pack (d, rec);
  gsize n;
  gconstpointer data = g_bytes_get_data (packed, &n);
  guint32 length = g_htonl ((guint32)n + (sign ? WIRE_MAC : 0));
  guint8 mac[WIRE_MAC];

  g_byte_array_append (l->out, (guint8 *)&length, WIRE_LENGTH_BYTES);
  g_byte_array_append (l->out, data, (guint)n);
  if (sign)
    {
      wire_mac_frame (l->key, data, n, mac);
      g_byte_array_append (l->out, mac, WIRE_MAC);
    }
  g_bytes_unref (packed);
}

/* Says on L, which was dialled, who dials, and whom. */
void
wire_send_hello (Link *l)
{
  GBytes *nonce = g_bytes_new_static (l->nonce, WIRE_NONCE);

  wire_append (l, wire_hello_desc (),
               &(WireHello) { .version = WIRE_VERSION,
                              .host = l->wire->settings->host,
                              .peer = l->peer->host->name,
                              .nonce = nonce },
               FALSE);
  g_bytes_unref (nonce);
  l->state = LINK_CHALLENGE;
}

static gboolean
take_nonce (Link *l, GBytes *nonce)
{
  if (!nonce || g_bytes_get_size (nonce) != WIRE_NONCE)
    return FALSE;
  memcpy (l->peer_nonce, g_bytes_get_data (nonce, NULL), WIRE_NONCE);
  return TRUE;
}

/* Takes the hello REC on L, which was accepted, and answers it.  Returns NULL,
   or why the connection is to be closed. */
const char *
wire_take_hello (Link *l, gconstpointer rec)
{
  const WireHello *hello = rec;
  const char *self = l->wire->settings->host;
  guint8 mac[WIRE_MAC];
  WireChallenge answer = { .version = WIRE_VERSION };

  if (strcmp (hello->peer, self) != 0)
    return "means another host";
  l->peer = g_hash_table_lookup (l->wire->peers, hello->host);
  if (!l->peer)
    return "is no host of the settings";
  if (!take_nonce (l, hello->nonce))
    return "bad nonce";
  sign_handshake (l, "accepter", mac);
  answer.nonce = g_bytes_new_static (l->nonce, WIRE_NONCE);
  answer.proof = g_bytes_new_static (mac, WIRE_MAC);
  wire_append (l, wire_challenge_desc (), &answer, FALSE);
  g_bytes_unref (answer.nonce);
  g_bytes_unref (answer.proof);
  l->state = LINK_PROOF;
  return NULL;
}

/* Takes the challenge REC on L, which was dialled, and answers it: the
   session's key is set.  Returns NULL, or why the connection is to be closed.
 */
const char *
wire_take_challenge (Link *l, gconstpointer rec)
{
  const WireChallenge *challenge = rec;
  guint8 mac[WIRE_MAC];
  WireProof proof;

  if (!take_nonce (l, challenge->nonce))
    return "bad nonce";
  if (!proof_is_good (l, "accepter", challenge->proof))
    return "wrong key";
  sign_handshake (l, "dialler", mac);
  proof.proof = g_bytes_new_static (mac, WIRE_MAC);
  wire_append (l, wire_proof_desc (), &proof, FALSE);
  g_bytes_unref (proof.proof);
  sign_handshake (l, "session", l->key);
  return NULL;
}

/* Takes the proof REC on L, which was accepted: the session's key is set.
   Returns NULL, or why the connection is to be closed. */
const char *
wire_take_proof (Link *l, gconstpointer rec)
{
  const WireProof *proof = rec;

  if (!proof_is_good (l, "dialler", proof->proof))
    return "wrong key";
  sign_handshake (l, "session", l->key);
  return NULL;
}
