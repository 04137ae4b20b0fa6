#ifndef CURL_LOOP_H
#define CURL_LOOP_H

#include "loop.h"

#include <curl/curl.h>

/* Drives a multi handle of libcurl by a Loop. */
typedef struct CurlLoop
{
  Loop *loop;
  CURLM *multi;
  gboolean bulk; /* its sockets may wait while others are served */
  ClockMs timer; /* when libcurl wants to be called, on the loop's clock */
} CurlLoop;

/* Called with each transfer that has ended. */
typedef void (*CurlLoopEnd) (void *owner, CURL *easy, CURLcode code);

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
void curl_loop_run (CurlLoop *c, CurlLoopEnd end, void *owner);

#endif
