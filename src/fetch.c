#include "fetch.h"

#include "curl_loop.h"

#include <apr_ring.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

enum
{
  MAX_IDLE_HANDLES = 64,
  N_LANES = 16,
  /* Of a lane; all lanes together stay under the platform's 4,100
     descriptors of a small host. */
  MAX_IDLE_CONNECTIONS = 220,
  MAX_ANSWER_BYTES = 4 << 20, /* four times the store's largest page */
  CONNECT_MS = 600,           /* a SYN that was dropped is repeated after 1 s */
  RECEIVE_BUFFER = 16 << 10   /* unless the call says otherwise */
};

static const int user_timeout_ms = 3000;

typedef struct Transfer
{
  APR_RING_ENTRY (Transfer) link;
  Fetch *fetch;
  CurlLoop *lane;
  CurlTransfer curl;
  CURL *easy;
  char *body;
  struct curl_slist *headers;
  GByteArray *answer;
  guint sendings;
  gboolean sized;
  ClockMs sent;
  FetchTraffic *traffic;
  FetchDone done;
  void *owner;
  gint64 tag;
} Transfer;

APR_RING_HEAD (TransferRing, Transfer);

struct Fetch
{
  Loop *loop;
  gboolean bulk; /* its calls may wait while others are served */
  /* Calls to one address share a lane and its connections.  libcurl walks
     through a handle's connections and transfers in chains whose length
     grows with their number, so that many short lanes cost less than one. */
  CurlLoop *lanes[N_LANES]; /* NULL until needed */
  struct TransferRing transfers;
  GPtrArray *idle; /* of CURL */
};

static size_t
on_answer (char *data, size_t size, size_t n, void *owner)
{
  Transfer *t = owner;

  if (t->answer->len + size * n > MAX_ANSWER_BYTES)
    return 0;
  g_byte_array_append (t->answer, (const guint8 *)data, (guint)(size * n));
  return size * n;
}

/* An answer without a length may have been cut short by the end of its
   connection. */
static size_t
on_header (char *line, size_t size, size_t n, void *owner)
{
  static const char *const sizes[] = { "content-length:",
                                       "transfer-encoding: chunked" };
  Transfer *t = owner;
  guint i;

  n *= size;
  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    if (n >= strlen (sizes[i]) &&
        g_ascii_strncasecmp (line, sizes[i], strlen (sizes[i])) == 0)
      t->sized = TRUE;
  return n;
}

static void
set_body (Transfer *t, const FetchCall *call)
{
  if (!call->body)
    {
      if (strcmp (call->method, "GET") != 0)
        curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, call->method);
      return;
    }
  t->body = g_strdup (call->body);
  curl_easy_setopt (t->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)strlen (t->body));
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDS, t->body);
  t->headers = curl_slist_append (t->headers, "Content-Type: application/json");
  t->headers = curl_slist_append (t->headers, "Expect:");
}

/* Omits curl's "Accept: any", which has no effect but takes bytes. */
static void
set_headers (Transfer *t, const FetchCall *call)
{
  const char *const *h;

  t->headers = curl_slist_append (t->headers, "Accept:");
  for (h = call->headers; h && *h; h++)
    t->headers = curl_slist_append (t->headers, *h);
  curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers);
}

static void
set_options (Transfer *t, const FetchCall *call)
{
  CURL *easy = t->easy;

  curl_loop_prepare (easy,
                     &(CurlLoopCall) { .url = call->url,
                                       .on_body = on_answer,
                                       .on_header = on_header,
                                       .owner = t,
                                       .sendings = &t->sendings,
                                       .user_timeout_ms = &user_timeout_ms,
                                       .timeout = call->timeout,
                                       .connect_timeout = CONNECT_MS });
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE,
                    (long)(call->buffer ? call->buffer : RECEIVE_BUFFER));
  if (call->most_idle_s)
    curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)call->most_idle_s);
  if (call->close_after)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  if (call->fresh)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Returns the lane of URL's address, made if need be. */
static CurlLoop *
lane_of (Fetch *f, const char *url)
{
  const char *address = strstr (url, "//");
  CurlLoop **lane;
  gsize n;

  address = address ? address + 2 : url;
  n = strcspn (address, "/");
  lane = &f->lanes[XXH64 (address, n, 0) % N_LANES];
  if (!*lane)
    {
      *lane = g_new (CurlLoop, 1);
      curl_loop_init (*lane, f->loop, MAX_IDLE_CONNECTIONS);
      (*lane)->bulk = f->bulk;
    }
  return *lane;
}

/* Starts CALL, whose strings are copied; its DONE is called once, not
   before this returns. */
void
fetch_start (Fetch *f, const FetchCall *call)
{
  Transfer *t = g_new0 (Transfer, 1);

  t->fetch = f;
  t->lane = lane_of (f, call->url);
  t->easy = curl_loop_take_handle (f->idle);
  t->answer = g_byte_array_new ();
  t->sent = loop_now (f->loop);
  t->traffic = call->traffic;
  t->done = call->done;
  t->owner = call->owner;
  t->tag = call->tag;
  t->traffic->calls++;
  APR_RING_INSERT_TAIL (&f->transfers, t, Transfer, link);
  set_options (t, call);
  set_body (t, call);
  set_headers (t, call);
  curl_loop_add (t->lane, &t->curl, t->easy, call->timeout);
}

static void
transfer_free (Transfer *t)
{
  Fetch *f = t->fetch;

  APR_RING_REMOVE (t, link);
  if (f->idle->len < MAX_IDLE_HANDLES)
    g_ptr_array_add (f->idle, t->easy);
  else
    curl_easy_cleanup (t->easy);
  curl_slist_free_all (t->headers);
  g_byte_array_unref (t->answer);
  g_free (t->body);
  g_free (t);
}

static FetchOutcome
outcome_of (const Transfer *t, CURLcode code, long status)
{
  if (code == CURLE_OK && t->sized && status > 0)
    return FETCH_ANSWERED;
  return t->sendings ? FETCH_LOST : FETCH_UNSENT;
}

static const char *
error_of (const Transfer *t, CURLcode code, long status)
{
  if (outcome_of (t, code, status) == FETCH_ANSWERED)
    return NULL;
  return code == CURLE_OK ? "answer without a length"
                          : curl_easy_strerror (code);
}

/* Tells whether the connection that was made for T was closed by the peer. */
static gboolean
was_refused (const Transfer *t, CURLcode code)
{
  long made = 0;

  curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &made);
  return made > 0 &&
         (code == CURLE_COULDNT_CONNECT || code == CURLE_GOT_NOTHING ||
          code == CURLE_SEND_ERROR || code == CURLE_RECV_ERROR);
}

/* Adds what T has moved to the counts of its kind; returns the bytes that
   came in. */
static gsize
count_traffic (const Transfer *t)
{
  long request = 0, header = 0, made = 0;

  curl_easy_getinfo (t->easy, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &made);
  curl_easy_getinfo (t->easy, CURLINFO_HEADER_SIZE, &header);
  t->traffic->connections += made;
  t->traffic->sent += request;
  t->traffic->received += header + t->answer->len;
  return (gsize)header + t->answer->len;
}

/* Tells T's owner how it ended, and frees it.  Reads the clock anew: the answer
   may have come after the look at the sockets that this step began with, and
   what its owner notes of time must not be earlier than the answer. */
static void
end_transfer (Transfer *t, CURLcode code)
{
  long status = 0;
  FetchReply reply;

  curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_loop_remove (t->lane, &t->curl);
  t->traffic->ended++;
  loop_read_clock (t->fetch->loop);
  reply = (FetchReply) { .outcome = outcome_of (t, code, status),
                         .status = (int)status,
                         .refused = was_refused (t, code),
                         .error = error_of (t, code, status),
                         .body = (const char *)t->answer->data,
                         .n = t->answer->len,
                         .received = count_traffic (t),
                         .sent = t->sent };
  t->done (t->owner, t->tag, &reply);
  transfer_free (t);
}

static void
on_transfer_end (void *owner, CURL *easy, CURLcode code)
{
  Transfer *t;

  (void)owner;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&t);
  end_transfer (t, code);
}

static void
on_transfer_overdue (void *owner, CURL *easy)
{
  Transfer *t;

  (void)owner;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&t);
  t->traffic->overdue++;
  end_transfer (t, CURLE_OPERATION_TIMEDOUT);
}

static const CurlLoopOps transfer_ops = { .ended = on_transfer_end,
                                          .overdue = on_transfer_overdue };

/* Returns a client whose sockets LOOP watches. */
Fetch *
fetch_new (Loop *loop)
{
  Fetch *f = g_new0 (Fetch, 1);

  f->loop = loop;
  APR_RING_INIT (&f->transfers, Transfer, link);
  f->idle = g_ptr_array_new_with_free_func ((GDestroyNotify)curl_easy_cleanup);
  return f;
}

/* Lets the calls of F, which has made none yet, wait while others of its loop
   are served. */
void
fetch_set_bulk (Fetch *f)
{
  f->bulk = TRUE;
}

static void
drop_lanes (Fetch *f)
{
  guint i;

  for (i = 0; i < N_LANES; i++)
    if (f->lanes[i])
      {
        curl_loop_clear (f->lanes[i]);
        g_clear_pointer (&f->lanes[i], g_free);
      }
}

/* Closes all connections of F.  Calls in flight end at once, as if their
   connections had broken. */
void
fetch_disconnect (Fetch *f)
{
  Transfer *t, *next;

  APR_RING_FOREACH_SAFE (t, next, &f->transfers, Transfer, link)
    end_transfer (t, CURLE_ABORTED_BY_CALLBACK);
  drop_lanes (f);
}

/* Drops all calls without telling their owners and releases F. */
void
fetch_free (Fetch *f)
{
  Transfer *t, *next;

  if (!f)
    return;
  APR_RING_FOREACH_SAFE (t, next, &f->transfers, Transfer, link)
    {
      curl_loop_remove (t->lane, &t->curl);
      transfer_free (t);
    }
  g_ptr_array_unref (f->idle);
  drop_lanes (f);
  g_free (f);
}

/* Does what is due and tells the owners of the calls that ended. */
void
fetch_run (Fetch *f)
{
  guint i;

  for (i = 0; i < N_LANES; i++)
    if (f->lanes[i])
      curl_loop_run (f->lanes[i], &transfer_ops, f);
}

/* Returns when fetch_run wants to be called without an event. */
ClockMs
fetch_next_deadline (const Fetch *f)
{
  ClockMs next = CLOCK_NEVER;
  guint i;

  for (i = 0; i < N_LANES; i++)
    if (f->lanes[i])
      next = MIN (next, curl_loop_next_deadline (f->lanes[i]));
  return next;
}

/* Returns TEXT as it may stand in a query; the caller frees it. */
char *
fetch_escape (const char *text)
{
  return g_uri_escape_string (text, NULL, FALSE);
}
