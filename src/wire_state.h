#ifndef WIRE_STATE_H
#define WIRE_STATE_H

#include "wire.h"

#include "wire_message.h"

#include <apr_network_io.h>
#include <apr_ring.h>

/* What the modules of the connections between hosts share.  For these alone:
   wire.c            peers and connections, from their opening to their close
   wire_handshake.c  both ends prove the key */

enum
{
  WIRE_LENGTH_BYTES = 4, /* before each frame */
  WIRE_READ_BYTES = 64 << 10
};

typedef enum LinkState
{
  LINK_CONNECTING,
  LINK_HELLO,     /* accepted: waits for the hello */
  LINK_CHALLENGE, /* dialled: waits for the challenge */
  LINK_PROOF,     /* accepted: waits for the proof */
  LINK_OPEN
} LinkState;

typedef struct Peer Peer;

/* One connection.  Messages go from its dialler to its accepter only, so
   two hosts that talk have two. */
typedef struct Link
{
  APR_RING_ENTRY (Link) link;
  Wire *wire;
  Peer *peer; /* of an accepted one: once the hello has named it */
  gboolean dialled;
  LinkState state;
  apr_pool_t *pool;
  apr_socket_t *socket;
  LoopWatch *watch;
  ClockMs until; /* the handshake's end */
  guint8 nonce[WIRE_NONCE];
  guint8 peer_nonce[WIRE_NONCE];
  guint8 key[WIRE_MAC];
  gint64 sequence; /* of the next frame */
  GByteArray *in;
  GByteArray *out;
  gsize sent; /* of OUT */
} Link;

APR_RING_HEAD (LinkRing, Link);

struct Peer
{
  const ConfigHost *host;
  Link *out;
  Link *in;
  GQueue waiting; /* of WireFrame */
  ClockMs retry_at;
  ClockMs back_off;
  ClockMs wanted_until;
};

struct Wire
{
  Io *io;
  const Settings *settings;
  apr_socket_t *socket;
  LoopWatch *watch;
  GHashTable *peers; /* name to Peer */
  struct LinkRing links;
  guint n_unproven;
  ClockMs sweep_at;
  guint8 buffer[WIRE_READ_BYTES];
};

void wire_append (Link *l, const RecDesc *d, const void *rec, gboolean sign);
void wire_send_hello (Link *l);
const char *wire_take_hello (Link *l, gconstpointer rec);
const char *wire_take_challenge (Link *l, gconstpointer rec);
const char *wire_take_proof (Link *l, gconstpointer rec);

#endif
