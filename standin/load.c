#include "standin.h"

#include "outcome.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const long transfer_timeout_ms = 30000;
static const int poll_ms = 100;
static const double us_per_ms = 1000.0;

/* One kind of caller: class, workspace, and its share of the requests. */
typedef struct Flow
{
  WorkClass work_class;
  char *workspace;
  int share;
  GArray *times_us; /* of whole answers, gint64 */
  gint64 refused;
  gint64 failed;
} Flow;

typedef struct LoadOptions
{
  char *target;
  char *mix;
  char *token;
  gboolean direct;
  int connections;
  int requests;
  int seconds;
  int body_bytes;
  int idle;
  int seed;
} LoadOptions;

typedef struct Load
{
  LoadOptions options;
  GPtrArray *flows; /* of Flow */
  int shares;
  GRand *rng;
  CURLM *multi;
  char *body;
  gint64 started;
  gint64 ended;
} Load;

/* One connection, with the request that is on it. */
typedef struct Lane
{
  CURL *curl;
  struct curl_slist *headers;
  Flow *flow;
  gint64 since_us;
} Lane;

static gint64
now_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (gint64)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/* Reads "CLASS/WORKSPACE=SHARE,...". */
static gboolean
read_mix (Load *l, GError **error)
{
  char **parts = g_strsplit (l->options.mix, ",", -1);
  gboolean ok = TRUE;
  int i;

  for (i = 0; ok && parts[i]; i++)
    {
      char **words = g_strsplit_set (parts[i], "/=", -1);
      gint64 share = 0;
      int work_class = -1;

      ok = g_strv_length (words) == 3;
      if (ok)
        {
          work_class = class_from_name (words[0]);
          share = g_ascii_strtoll (words[2], NULL, 10);
        }
      ok = ok && work_class >= 0 && share > 0 && share <= 1000000;
      if (ok)
        {
          Flow *f = g_new0 (Flow, 1);

          f->work_class = (WorkClass)work_class;
          f->workspace = g_strdup (words[1]);
          f->share = (int)share;
          f->times_us = g_array_new (FALSE, FALSE, sizeof (gint64));
          l->shares += f->share;
          g_ptr_array_add (l->flows, f);
        }
      else
        g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                     "mix \"%s\" is not CLASS/WORKSPACE=SHARE", parts[i]);
      g_strfreev (words);
    }
  g_strfreev (parts);
  return ok;
}

static Flow *
draw_flow (Load *l)
{
  int at = g_rand_int_range (l->rng, 0, l->shares);
  guint i;

  for (i = 0; i < l->flows->len; i++)
    {
      Flow *f = g_ptr_array_index (l->flows, i);

      at -= f->share;
      if (at < 0)
        return f;
    }
  return NULL;
}

static size_t
swallow (char *data, size_t size, size_t n, void *user)
{
  (void)data;
  (void)user;
  return size * n;
}

static void
add_header (Lane *lane, const char *name, const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);

  lane->headers = curl_slist_append (lane->headers, line);
  g_free (line);
}

static void
set_headers (Load *l, Lane *lane)
{
  curl_slist_free_all (lane->headers);
  lane->headers = NULL;
  add_header (lane, "X-Workspace", lane->flow->workspace);
  add_header (lane, "X-Class", class_name (lane->flow->work_class));
  add_header (lane, "X-Caller", "load");
  add_header (lane, "X-Kind", class_name (lane->flow->work_class));
  add_header (lane, "X-Repeatable", "1");
  lane->headers = curl_slist_append (lane->headers, "Expect:");
  if (l->options.token)
    {
      char *bearer = g_strdup_printf ("Bearer %s", l->options.token);

      add_header (lane, "Authorization", bearer);
      g_free (bearer);
    }
}

/* Puts the next request on LANE. */
static void
start_request (Load *l, Lane *lane)
{
  char *url;

  l->started++;
  lane->flow = draw_flow (l);
  url = l->options.direct
            ? g_strdup_printf ("%s/requests/load-%" G_GINT64_FORMAT,
                               l->options.target, l->started)
            : g_strdup_printf ("%s/v1/requests", l->options.target);
  set_headers (l, lane);
  curl_easy_setopt (lane->curl, CURLOPT_URL, url);
  curl_easy_setopt (lane->curl, CURLOPT_HTTPHEADER, lane->headers);
  lane->since_us = now_us ();
  curl_multi_add_handle (l->multi, lane->curl);
  g_free (url);
}

static Lane *
lane_new (Load *l)
{
  Lane *lane = g_new0 (Lane, 1);

  lane->curl = curl_easy_init ();
  curl_easy_setopt (lane->curl, CURLOPT_POST, 1L);
  curl_easy_setopt (lane->curl, CURLOPT_POSTFIELDS, l->body);
  curl_easy_setopt (lane->curl, CURLOPT_POSTFIELDSIZE,
                    (long)l->options.body_bytes);
  curl_easy_setopt (lane->curl, CURLOPT_WRITEFUNCTION, swallow);
  curl_easy_setopt (lane->curl, CURLOPT_TIMEOUT_MS, transfer_timeout_ms);
  curl_easy_setopt (lane->curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (lane->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (lane->curl, CURLOPT_PRIVATE, lane);
  return lane;
}

static void
end_request (Load *l, Lane *lane, CURLcode result)
{
  gint64 took = now_us () - lane->since_us;
  long status = 0;

  curl_easy_getinfo (lane->curl, CURLINFO_RESPONSE_CODE, &status);
  curl_multi_remove_handle (l->multi, lane->curl);
  l->ended++;
  if (result == CURLE_OK && status == 200)
    g_array_append_val (lane->flow->times_us, took);
  else if (result == CURLE_OK && (status == 429 || status == 503))
    lane->flow->refused++;
  else
    lane->flow->failed++;
}

static void
take_ended (Load *l, gint64 end_us)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (l->multi, &left)))
    {
      Lane *lane = NULL;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **)&lane);
      end_request (l, lane, m->data.result);
      if (l->started < l->options.requests && now_us () < end_us)
        start_request (l, lane);
    }
}

static int
by_time (const void *a, const void *b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return (x > y) - (x < y);
}

static double
quantile_ms (const GArray *times, guint permille)
{
  guint i = (guint)((guint64)times->len * permille / 1000);

  if (times->len == 0)
    return 0;
  return (double)g_array_index (times, gint64, MIN (i, times->len - 1)) /
         us_per_ms;
}

static void
print_table (const Load *l, gint64 span_us)
{
  guint i;

  printf ("%-12s %-14s %8s %8s %8s %9s %9s %9s %9s\n", "class", "workspace",
          "answered", "refused", "failed", "p50 ms", "p90 ms", "p99 ms",
          "max ms");
  for (i = 0; i < l->flows->len; i++)
    {
      const Flow *f = g_ptr_array_index (l->flows, i);

      if (f->times_us->len)
        qsort (f->times_us->data, f->times_us->len, sizeof (gint64), by_time);
      printf ("%-12s %-14s %8u %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
              " %9.2f %9.2f %9.2f %9.2f\n",
              class_name (f->work_class), f->workspace, f->times_us->len,
              f->refused, f->failed, quantile_ms (f->times_us, 500),
              quantile_ms (f->times_us, 900), quantile_ms (f->times_us, 990),
              quantile_ms (f->times_us, 1000));
    }
  printf ("%" G_GINT64_FORMAT " requests in %.2f s: %.0f a second\n", l->ended,
          (double)span_us / 1e6, (double)l->ended / ((double)span_us / 1e6));
}

/* Opens as many connections as are wanted and may be had, and keeps them
   without a byte.  Returns how many there are. */
static int
open_idle (const char *target, int wanted, apr_pool_t *pool)
{
  apr_sockaddr_t *at;
  char *host = NULL;
  char *scope = NULL;
  apr_port_t port = 0;
  int n;

  if (apr_parse_addr_port (&host, &scope, &port, target + strlen ("http://"),
                           pool) != APR_SUCCESS ||
      apr_sockaddr_info_get (&at, host, APR_INET, port, 0, pool) != APR_SUCCESS)
    return 0;
  for (n = 0; n < wanted; n++)
    {
      apr_socket_t *s;

      if (apr_socket_create (&s, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool) !=
              APR_SUCCESS ||
          apr_socket_connect (s, at) != APR_SUCCESS)
        break;
    }
  return n;
}

static void
run_load (Load *l)
{
  gint64 start = now_us ();
  gint64 end = start + (gint64)l->options.seconds * 1000000;
  int running = 0;
  int i;

  for (i = 0; i < l->options.connections && i < l->options.requests; i++)
    start_request (l, lane_new (l));
  do
    {
      curl_multi_perform (l->multi, &running);
      take_ended (l, end);
      if (l->ended < l->started)
        curl_multi_poll (l->multi, NULL, 0, poll_ms, NULL);
    }
  while (l->ended < l->started);
  print_table (l, now_us () - start);
}

/* Sends a bounded, seeded mix of requests and prints completion times. */
int
standin_load (int argc, char **argv, GError **error)
{
  StandinPlace place = { .port = 0 };
  Load l = { .options = { .connections = 8,
                          .requests = 1000,
                          .seconds = 10,
                          .body_bytes = 256,
                          .seed = 1 } };
  LoadOptions *o = &l.options;
  const GOptionEntry entries[] = {
    { "target", 0, 0, G_OPTION_ARG_STRING, &o->target,
      "send to URL (http://127.0.0.1:7000)", "URL" },
    { "direct", 0, 0, G_OPTION_ARG_NONE, &o->direct,
      "the target is an upstream", NULL },
    { "mix", 0, 0, G_OPTION_ARG_STRING, &o->mix, "CLASS/WORKSPACE=SHARE,...",
      "MIX" },
    { "token", 0, 0, G_OPTION_ARG_STRING, &o->token, "bearer token", "TOKEN" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &o->connections,
      "requests at a time (8)", "N" },
    { "requests", 0, 0, G_OPTION_ARG_INT, &o->requests,
      "requests in all (1000)", "N" },
    { "duration", 0, 0, G_OPTION_ARG_INT, &o->seconds,
      "start none after N seconds (10)", "N" },
    { "body", 0, 0, G_OPTION_ARG_INT, &o->body_bytes,
      "bytes of each body (256)", "N" },
    { "idle", 0, 0, G_OPTION_ARG_INT, &o->idle,
      "first open N idle connections (0)", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &o->seed, "seed (1)", "N" },
    { NULL }
  };
  apr_pool_t *pool;

  if (!standin_options ("Sends a bounded load to loopback.", entries, &place,
                        argc, argv, error))
    return 1;
  if (!o->target)
    o->target = g_strdup ("http://127.0.0.1:7000");
  if (!o->mix)
    o->mix = g_strdup ("interactive/alpha=6,normal/alpha=3,batch/beta=1");
  if (!g_str_has_prefix (o->target, "http://127."))
    {
      g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                   "target \"%s\" is not on loopback", o->target);
      return 1;
    }
  l.flows = g_ptr_array_new ();
  if (!read_mix (&l, error))
    return 1;
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  if (o->idle)
    printf ("%d idle connections open\n", open_idle (o->target, o->idle, pool));
  curl_global_init (CURL_GLOBAL_DEFAULT);
  l.multi = curl_multi_init ();
  l.rng = g_rand_new_with_seed ((guint32)o->seed);
  l.body = g_strnfill ((gsize)MAX (o->body_bytes, 0), 'x');
  run_load (&l);
  apr_terminate ();
  return 0;
}
