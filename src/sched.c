#include "sched.h"

struct Sched
{
  gint64 jobs;
};

/* Returns the scheduling state of node C. */
Sched *
sched_new (Core *c)
{
  (void)c;
  return g_new0 (Sched, 1);
}

/* Starts to compete for the domain's scheduler role. */
void
sched_start (Core *c)
{
  (void)c;
}

/* Releases S. */
void
sched_free (Sched *s)
{
  g_free (s);
}

/* Tells whether a reply to a caller or a step of a gang is pending here. */
gboolean
sched_busy (const Core *c)
{
  (void)c;
  return FALSE;
}

/* Sees each step of time before anything else acts on it: a holder that
   was paused beyond its lease steps down first. */
void
sched_on_time (Core *c, ClockMs at)
{
  (void)c;
  (void)at;
}

static void
refuse (Core *c, gint64 conn)
{
  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = conn,
                              .outcome = OUTCOME_NOT_RUN,
                              .status = 501,
                              .reason = "jobs are not served" });
}

/* Takes a caller's job. */
void
sched_on_job (Core *c, const Event *e)
{
  c->sched->jobs++;
  refuse (c, ((const CallerJob *)e->body)->conn);
}

/* Takes a caller's question after a job. */
void
sched_on_ask (Core *c, const Event *e)
{
  refuse (c, ((const CallerAsk *)e->body)->conn);
}

/* Takes a caller's wish to cancel a job. */
void
sched_on_cancel (Core *c, const Event *e)
{
  refuse (c, ((const CallerAsk *)e->body)->conn);
}

/* Takes a worker's reply. */
void
sched_on_worker_reply (Core *c, const Event *e)
{
  (void)c;
  (void)e;
}
