#include "standin.h"

#include <stdlib.h>
#include <string.h>

/* The faults that POST /control sets for one upstream. */
#define UPSTREAM_FAULT_FIELDS(INT, STR, BYTES, LIST)                           \
  INT (down, 0, 1)               /* closes every connection unanswered */      \
  INT (hang, 0, 1)               /* works, and never answers a POST */         \
  INT (fail, 0, 1)               /* runs everything and fails it */            \
  INT (leaving, 0, 1)            /* takes nothing new */                       \
  INT (lose_answers, 0, 1000000) /* so many POSTs run unanswered */            \
  INT (service_ms, 0, 600000)    /* how long a request runs */                 \
  INT (slots, 0, 100000)
REC_DECLARE (UpstreamFault, upstream_fault, UPSTREAM_FAULT_FIELDS)
REC_DEFINE (UpstreamFault, upstream_fault, UPSTREAM_FAULT_FIELDS)

static const ClockMs keep_ms = 60000;  /* a result, for those who ask */
static const guint sweep_every = 4096; /* requests between two sweeps */

/* A request that runs or has run. */
typedef struct Run
{
  char *id;
  GBytes *answer;
  ClockMs done_at;
  gboolean failed;
  gint64 executions;
} Run;

typedef struct Upstream
{
  GHashTable *runs; /* id to Run */
  GQueue active;    /* of Run, those that may still run */
  UpstreamFault fault;
  gint64 executions;
  gint64 repeats; /* executions of an id that had run before */
  guint since_sweep;
} Upstream;

static void
run_free (gpointer p)
{
  Run *r = p;

  g_free (r->id);
  g_bytes_unref (r->answer);
  g_free (r);
}

static gint64
busy_slots (Upstream *u, ClockMs now)
{
  GList *l = u->active.head;

  while (l)
    {
      GList *next = l->next;

      if (((Run *)l->data)->done_at <= now)
        g_queue_delete_link (&u->active, l);
      l = next;
    }
  return (gint64)u->active.length;
}

static gboolean
is_old (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return ((Run *)value)->done_at + keep_ms < *(ClockMs *)now;
}

static void
sweep (Upstream *u, ClockMs now)
{
  if (++u->since_sweep < sweep_every)
    return;
  u->since_sweep = 0;
  busy_slots (u, now);
  g_hash_table_foreach_remove (u->runs, is_old, &now);
}

static const char *
leaving_header (const Upstream *u)
{
  return u->fault.leaving ? "X-Leaving: 1" : NULL;
}

static void
reply_run (Upstream *u, Exchange *x, const Run *r, ClockMs delay)
{
  gsize n;
  gconstpointer data = g_bytes_get_data (r->answer, &n);

  exchange_reply (x, delay, r->failed ? 500 : 200, leaving_header (u), data, n);
}

static Run *
start_run (Upstream *u, Exchange *x, const char *id, ClockMs now)
{
  Run *r = g_hash_table_lookup (u->runs, id);

  u->executions++;
  if (r)
    u->repeats++;
  else
    {
      r = g_new0 (Run, 1);
      r->id = g_strdup (id);
      g_hash_table_insert (u->runs, r->id, r);
    }
  g_clear_pointer (&r->answer, g_bytes_unref);
  g_queue_remove (&u->active, r);
  r->answer = g_bytes_new (x->body->data, x->body->len);
  r->done_at = now + u->fault.service_ms;
  r->failed = u->fault.fail != 0;
  r->executions++;
  g_queue_push_tail (&u->active, r);
  return r;
}

static void
take_request (Upstream *u, Exchange *x, const char *id)
{
  ClockMs now = server_now ();
  const Run *r;

  sweep (u, now);
  if (u->fault.leaving || busy_slots (u, now) >= u->fault.slots)
    {
      exchange_reply (x, 0, 503, "X-Not-Run: 1", "", 0);
      if (u->fault.leaving)
        MHD_add_response_header (x->response, "X-Leaving", "1");
      return;
    }
  r = start_run (u, x, id, now);
  if (u->fault.hang)
    exchange_hang (x);
  else if (u->fault.lose_answers > 0)
    {
      u->fault.lose_answers--;
      exchange_close (x);
    }
  else
    reply_run (u, x, r, u->fault.service_ms);
}

static void
take_question (Upstream *u, Exchange *x, const char *id)
{
  const Run *r = g_hash_table_lookup (u->runs, id);

  if (!r)
    exchange_reply (x, 0, 404, leaving_header (u), "", 0);
  else if (r->done_at > server_now ())
    exchange_reply (x, 0, 202, leaving_header (u), "", 0);
  else
    reply_run (u, x, r, 0);
}

static void
show_counts (Upstream *u, Exchange *x)
{
  char *text = g_strdup_printf ("executions %" G_GINT64_FORMAT
                                "\nrepeats %" G_GINT64_FORMAT "\n",
                                u->executions, u->repeats);

  exchange_reply (x, 0, 200, NULL, text, strlen (text));
  g_free (text);
}

static void
handle (Exchange *x, void *data)
{
  static const char requests[] = "/requests/";
  Upstream *u = data;
  const char *id = x->path + strlen (requests);

  if (strcmp (x->path, "/control") == 0)
    {
      if (exchange_record (x, upstream_fault_desc (), &u->fault,
                           REC_MISSING_KEEP))
        exchange_reply_record (x, 0, upstream_fault_desc (), &u->fault);
    }
  else if (u->fault.down)
    exchange_close (x);
  else if (strcmp (x->path, "/health") == 0)
    exchange_reply (x, 0, 200, leaving_header (u), "", 0);
  else if (strcmp (x->path, "/counts") == 0)
    show_counts (u, x);
  else if (!g_str_has_prefix (x->path, requests))
    exchange_reply (x, 0, 404, NULL, "", 0);
  else if (strcmp (x->method, "POST") == 0)
    take_request (u, x, id);
  else if (strcmp (x->method, "GET") == 0)
    take_question (u, x, id);
  else
    exchange_reply (x, 0, 204, leaving_header (u), "", 0);
}

/* Serves upstreams that answer each request with its own body. */
int
standin_upstream (int argc, char **argv, GError **error)
{
  StandinPlace place = { .port = 7200, .seconds = 3600 };
  int count = 1;
  int slots = 8;
  int service_ms = 20;
  const GOptionEntry entries[] = {
    { "count", 0, 0, G_OPTION_ARG_INT, &count,
      "serve N upstreams on consecutive ports (1)", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "slots each (8)", "N" },
    { "service-ms", 0, 0, G_OPTION_ARG_INT, &service_ms,
      "how long each request runs (20)", "MS" },
    { NULL }
  };
  Server *s = server_new ();
  int i;

  if (!standin_options ("Stands in for upstreams.", entries, &place, argc, argv,
                        error))
    return 1;
  for (i = 0; i < count; i++)
    {
      Upstream *u = g_new0 (Upstream, 1);

      u->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
      g_queue_init (&u->active);
      u->fault.slots = slots;
      u->fault.service_ms = service_ms;
      if (!standin_listen (s, &place, i, handle, u, error))
        return 1;
    }
  server_run (s, server_now () + (ClockMs)place.seconds * 1000);
  return 0;
}
