#ifndef CURL_LOOP_H
#define CURL_LOOP_H

#include "loop.h"
#include "timer.h"

#include <apr_ring.h>
#include <curl/curl.h>

/* A transfer of a CurlLoop, to be embedded in the call that it belongs to. */
typedef struct CurlTransfer
{
  APR_RING_ENTRY (CurlTransfer) link; /* in CurlLoop::starting */
  CURL *easy;
  ClockMs timeout;
  Timer overdue; /* armed once libcurl has started the transfer */
  gboolean is_starting;
} CurlTransfer;

APR_RING_HEAD (CurlTransferRing, CurlTransfer);

/* Drives a multi handle of libcurl by a Loop. */
typedef struct CurlLoop
{
  Loop *loop;
  CURLM *multi;
  gboolean bulk; /* its sockets may wait while others are served */
  ClockMs timer; /* when libcurl wants to be called, on the loop's clock */
  struct CurlTransferRing starting; /* not yet started by libcurl */
  TimerHeap overdue;                /* of the transfers under way */
} CurlLoop;

/* What the owner of a CurlLoop is told of its transfers, each of which it finds
   by the CURLINFO_PRIVATE of its handle. */
typedef struct CurlLoopOps
{
  void (*ended) (void *owner, CURL *easy, CURLcode code);
  /* libcurl has not ended the transfer although its time-out has passed; the
     owner has to. */
  void (*overdue) (void *owner, CURL *easy);
} CurlLoopOps;

/* Called with N * SIZE bytes of a transfer's answer; returns how many it
   took, and fewer break the transfer off. */
typedef size_t (*CurlLoopReceive) (char *data,
                                   size_t size,
                                   size_t n,
                                   void *owner);

/* What every transfer needs.  All but the spans and URL, which is copied,
   outlives the transfer. */
typedef struct CurlLoopCall
{
  const char *url;
  CurlLoopReceive on_body;
  CurlLoopReceive on_header;
  void *owner;
  guint *sendings;            /* counts how often it was sent; 0 before */
  const int *user_timeout_ms; /* see TCP_USER_TIMEOUT */
  ClockMs timeout;
  ClockMs connect_timeout; /* if it is the shorter one */
} CurlLoopCall;

void curl_loop_init (CurlLoop *c, Loop *loop, long idle_connections);
void curl_loop_clear (CurlLoop *c);
CURL *curl_loop_take_handle (GPtrArray *idle);
void curl_loop_prepare (CURL *easy, const CurlLoopCall *call);
void curl_loop_add (CurlLoop *c, CurlTransfer *t, CURL *easy, ClockMs timeout);
void curl_loop_remove (CurlLoop *c, CurlTransfer *t);
void curl_loop_run (CurlLoop *c, const CurlLoopOps *ops, void *owner);
ClockMs curl_loop_next_deadline (const CurlLoop *c);

#endif
