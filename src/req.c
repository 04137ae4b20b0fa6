#include "req.h"

#include "table.h"

#include <string.h>

/* One request in flight. */
typedef struct Request
{
  char *id;
  gint64 conn;
} Request;

struct Req
{
  GHashTable *by_id; /* id to Request */
  gint64 last;
};

static void
request_free (gpointer p)
{
  Request *r = p;

  g_free (r->id);
  g_free (r);
}

/* Returns the requests of node C: none. */
Req *
req_new (Core *c)
{
  Req *r = g_new0 (Req, 1);

  (void)c;
  r->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  return r;
}

/* Starts the module. */
void
req_start (Core *c)
{
  (void)c;
}

/* Releases R. */
void
req_free (Req *r)
{
  g_hash_table_unref (r->by_id);
  g_free (r);
}

/* Tells whether a request is in flight. */
gboolean
req_busy (const Core *c)
{
  return g_hash_table_size (c->req->by_id) > 0;
}

static void
refuse (Core *c, gint64 conn, int status, const char *reason)
{
  core_add (c, COUNT_NOT_RUN, 1);
  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = OUTCOME_NOT_RUN,
                              .status = status,
                              .reason = reason });
}

static const ConfigUpstream *
choose (Core *c)
{
  guint n = c->cfg->upstreams.n;
  guint first = n ? (guint)core_random (c, (gint32)n) : 0;
  guint i;

  for (i = 0; i < n; i++)
    {
      const ConfigUpstream *u = config_upstream (c->cfg, (first + i) % n);

      if (strcmp (u->domain, c->cfg->domain) == 0)
        return u;
    }
  return NULL;
}

/* Takes a caller's request. */
void
req_on_request (Core *c, const Event *e)
{
  const CallerRequest *q = e->body;
  const Workspace *w = table_authorize (c, q->token, q->workspace);
  const ConfigUpstream *u = choose (c);
  Request *r;

  core_add (c, COUNT_REQUESTS, 1);
  if (!w)
    refuse (c, q->conn, 403, "no such workspace for this token");
  else if (!u)
    refuse (c, q->conn, 503, "no upstream in this failure domain");
  else
    {
      r = g_new0 (Request, 1);
      r->id =
          g_strdup_printf ("%s-%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT,
                           c->cfg->host, c->cfg->incarnation, ++c->req->last);
      r->conn = q->conn;
      g_hash_table_insert (c->req->by_id, r->id, r);
      core_emit (c, FX_UPSTREAM_SEND, NULL,
                 &(UpstreamSend) { .upstream = u->name,
                                   .request = r->id,
                                   .attempt = 1,
                                   .workspace = w->name,
                                   .caller = q->caller,
                                   .work_kind = q->work_kind,
                                   .timeout_ms = q->deadline_ms,
                                   .body = q->body });
    }
}

/* Takes a caller's question after a request. */
void
req_on_ask (Core *c, const Event *e)
{
  const CallerAsk *q = e->body;

  refuse (c, q->conn, 404, "no such request");
}

/* Takes a caller's wish to cancel a request. */
void
req_on_cancel (Core *c, const Event *e)
{
  const CallerAsk *q = e->body;

  refuse (c, q->conn, 404, "no such request");
}

/* Takes the news that a caller has hung up. */
void
req_on_caller_gone (Core *c, const Event *e)
{
  (void)c;
  (void)e;
}

/* Takes what came of a send or an ask. */
void
req_on_upstream_reply (Core *c, const Event *e)
{
  const UpstreamReply *u = e->body;
  Request *r = g_hash_table_lookup (c->req->by_id, u->request);

  if (!r)
    return;
  if (u->result == UPSTREAM_ANSWERED)
    {
      core_add (c, COUNT_ANSWERED, 1);
      core_emit (c, FX_REPLY, NULL,
                 &(CallerReply) { .conn = r->conn,
                                  .outcome = OUTCOME_ANSWERED,
                                  .status = (gint64)u->status,
                                  .id = r->id,
                                  .body = u->body });
    }
  else
    {
      core_add (c, COUNT_UNKNOWN, 1);
      core_emit (c, FX_REPLY, NULL,
                 &(CallerReply) { .conn = r->conn,
                                  .outcome = OUTCOME_UNKNOWN,
                                  .status = 502,
                                  .id = r->id });
    }
  g_hash_table_remove (c->req->by_id, r->id);
}

/* Takes an upstream's answer to a probe. */
void
req_on_upstream_probed (Core *c, const Event *e)
{
  (void)c;
  (void)e;
}
