#ifndef CLIENT_STATE_H
#define CLIENT_STATE_H

#include "client.h"
#include "curl_loop.h"

/* What the modules of the client share. */

typedef struct Call Call;

/* Where calls go to: the store, a worker or an upstream.  CAP bounds the
   calls under way, and so the connections. */
typedef struct Target
{
  char *base; /* "http://ADDRESS:PORT" */
  guint cap;
  guint open;
  GQueue waiting; /* of Call */
} Target;

/* How the calls of one kind of effect are made, and how their results are
   reported. */
typedef struct CallKind
{
  const char *method;
  gboolean fresh; /* on a new connection, ahead of those that wait */
  void (*prepare) (Call *call);
  void (*finish) (Call *call);
} CallKind;

struct Call
{
  APR_RING_ENTRY (Call) link;
  Client *client;
  Target *target;
  const CallKind *kind;
  Event *effect;
  ClockMs deadline;
  char *url;
  GBytes *body;
  CURL *easy;
  CurlTransfer transfer;
  struct curl_slist *headers;
  GByteArray *answer;
  guint sendings; /* how often sending began */
  gboolean whole; /* an answer came, and all of it */
  gboolean sized; /* the answer says where it ends */
  gboolean leaving;
  gboolean not_run;
  gboolean cut; /* the answer exceeds max_answer_bytes */
  int status;
};

APR_RING_HEAD (CallRing, Call);

struct Client
{
  Io *io;
  CurlLoop curl;
  struct CallRing calls;
  GHashTable *upstreams; /* name to Target */
  GHashTable *workers;   /* name to Target */
  Target *store;
  GPtrArray *idle; /* of CURL */
  guint n_waiting;
  ClockMs expire_at; /* when calls that wait are looked at next */
};

/* client.c */
void client_call_free (Call *call);
void client_end_transfer (Call *call);

/* client_kinds.c */
extern const CallKind client_kinds[N_EVENT_KINDS];
void client_add_header (Call *call, const char *name, const char *value);

#endif
