#include "req_state.h"

enum
{
  RETRY_AFTER_MS = 1000
};

/* Removes the waiter P from its request, and releases it; for the table of
   waiters by connection. */
void
req_waiter_free (gpointer p)
{
  Waiter *w = p;
  Request *r = w->request;

  APR_RING_REMOVE (w, link);
  r->n_waiters--;
  w->request = NULL;
  if (w != &r->first)
    g_free (w);
}

/* Replies to CONN with the OUTCOME of R, which is NULL for a request that was
   never taken.  Work that did not run may be sent again after
   RETRY_AFTER_MS if STATUS says that the cause passes. */
void
req_reply (Core *c,
           gint64 conn,
           const Request *r,
           Outcome outcome,
           int status,
           const char *reason,
           GBytes *body)
{
  gboolean later = outcome == OUTCOME_NOT_RUN && status >= 429;

  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = outcome,
                              .status = status,
                              .id = r ? r->id : NULL,
                              .reason = reason,
                              .retry_after_ms = later ? RETRY_AFTER_MS : 0,
                              .body = body });
}

static void
count_outcome (Core *c, Outcome outcome)
{
  static const Counter counters[N_OUTCOMES] = {
    [OUTCOME_ANSWERED] = COUNT_ANSWERED,
    [OUTCOME_FAILED] = COUNT_FAILED,
    [OUTCOME_NOT_RUN] = COUNT_NOT_RUN,
    [OUTCOME_UNKNOWN] = COUNT_UNKNOWN,
  };

  core_add (c, counters[outcome], 1);
}

/* Replies to every caller that waits for R, and empties the list. */
void
req_reply_all (Core *c,
               Request *r,
               Outcome outcome,
               int status,
               const char *reason,
               GBytes *body)
{
  while (r->n_waiters > 0)
    {
      Waiter *w = APR_RING_FIRST (&r->waiters);

      count_outcome (c, outcome);
      req_reply (c, w->conn, r, outcome, status, reason, body);
      g_hash_table_remove (c->req->by_conn, &w->conn);
    }
}

/* Adds CONN to the callers that wait for the reply to R. */
void
req_attach (Core *c, Request *r, gint64 conn)
{
  Waiter *w = r->first.request ? g_new0 (Waiter, 1) : &r->first;

  w->conn = conn;
  w->request = r;
  APR_RING_INSERT_TAIL (&r->waiters, w, Waiter, link);
  r->n_waiters++;
  g_hash_table_insert (c->req->by_conn, &w->conn, w);
}

/* Replies to CONN that its request did not run, and counts it. */
void
req_refuse (Core *c, gint64 conn, int status, const char *reason)
{
  core_add (c, COUNT_NOT_RUN, 1);
  req_reply (c, conn, NULL, OUTCOME_NOT_RUN, status, reason, NULL);
}
