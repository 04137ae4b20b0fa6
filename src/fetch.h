#ifndef FETCH_H
#define FETCH_H

#include "loop.h"

/* HTTP/1.1 calls over libcurl, driven by a Loop. */
typedef struct Fetch Fetch;

typedef enum FetchOutcome
{
  FETCH_ANSWERED, /* a whole answer came */
  FETCH_UNSENT,   /* no byte of the request left */
  FETCH_LOST      /* it may have been executed */
} FetchOutcome;

typedef struct FetchReply
{
  FetchOutcome outcome;
  int status; /* with FETCH_ANSWERED */
  const char *body;
  gsize n;
  gsize received; /* bytes, headers included */
  ClockMs sent;   /* when the call began, on the loop's clock */
  /* The peer closed the connection that was made for this call before it
     answered. */
  gboolean refused;
  const char *error; /* a static text; NULL with FETCH_ANSWERED */
} FetchReply;

typedef void (*FetchDone) (void *owner, gint64 tag, const FetchReply *reply);

/* What calls of one kind have cost, in bytes of HTTP. */
typedef struct FetchTraffic
{
  gint64 calls;
  gint64 ended;
  gint64 overdue;     /* ended here, as libcurl had not after their time-out */
  gint64 connections; /* made for them */
  gint64 sent;
  gint64 received;
} FetchTraffic;

typedef struct FetchCall
{
  const char *method;
  const char *url;
  const char *body;           /* JSON, or NULL */
  const char *const *headers; /* "Name: value", closed by NULL, or NULL */
  ClockMs timeout;
  gboolean fresh;        /* on a new connection */
  gboolean close_after;  /* the connection is not used again */
  guint most_idle_s;     /* of a connection to be used again; 0 for the usual */
  gsize buffer;          /* bytes read at once; 0 for the usual */
  FetchTraffic *traffic; /* that the call is added to; outlives it */
  FetchDone done;
  void *owner;
  gint64 tag;
} FetchCall;

Fetch *fetch_new (Loop *loop);
void fetch_set_bulk (Fetch *f);
void fetch_free (Fetch *f);
void fetch_disconnect (Fetch *f);
void fetch_start (Fetch *f, const FetchCall *call);
void fetch_run (Fetch *f);
ClockMs fetch_next_deadline (const Fetch *f);
char *fetch_escape (const char *text);

#endif
