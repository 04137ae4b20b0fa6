#include "sched_state.h"

/* One part of a gang on its worker: the calls to it, their answers and tries,
   and its room. */

static void on_part_silent (Core *c, Part *p, WorkerOp op, gboolean sent);

/* Notes that P's worker holds nothing for it any more. */
void
gang_part_release (Core *c, Part *p)
{
  if (p->state == PART_FREE)
    return;
  APR_RING_REMOVE (p, link);
  p->state = PART_FREE;
  core_stop (c, &p->timer);
}

/* Forgets the call to P's worker that is in flight, if any. */
void
gang_part_forget_call (Core *c, Part *p)
{
  if (p->call)
    g_hash_table_remove (c->sched->pending, &p->call);
  p->call = 0;
}

static ClockMs
lease_of (Core *c, WorkerOp op)
{
  return op == WORKER_RESERVE ? GANG_RESERVE_LEASE_MS : c->cfg->worker_lease_ms;
}

/* Has P's worker do OP. */
void
gang_part_call (Core *c, Part *p, WorkerOp op)
{
  JobRecord *r = p->job->rec;
  WorkerCall call = { .op = op,
                      .job = r->id,
                      .part = p->index,
                      .run = r->run,
                      .first = p->first,
                      .count = p->count,
                      .cores = r->cores,
                      .memory_mb = r->memory_mb,
                      .lease_ms = lease_of (c, op),
                      .run_ms = MAX (r->run_ms - r->saved_ms, 1),
                      .resume = r->saved_ms > 0 };

  gang_part_forget_call (c, p);
  p->call = lease_call (c, p->worker, p, &call);
  core_arm (c, &p->timer,
            c->now + c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS);
}

/* A call is due again, or its answer is overdue. */
void
gang_part_again (Core *c, Timer *t)
{
  Part *p = t->owner;
  WorkerPending *overdue = g_hash_table_lookup (c->sched->pending, &p->call);

  if (overdue)
    {
      WorkerOp op = overdue->op;

      core_add (c, COUNT_WORKER_OVERDUE, 1);
      gang_part_forget_call (c, p);
      on_part_silent (c, p, op, TRUE);
      return;
    }
  switch (p->state)
    {
    case PART_RESERVING:
      gang_part_call (c, p, WORKER_RESERVE);
      break;
    case PART_STARTING:
      gang_part_call (c, p, WORKER_START);
      break;
    case PART_STOPPING:
      if (c->now >= p->lease_end ||
          (p->tries >= GANG_TRIES && p->job->rec->repeatable))
        {
          /* The worker is not used again before it has reported. */
          gang_part_release (c, p);
          gang_advance (c, p->job);
          return;
        }
      gang_part_call (c, p, WORKER_STOP);
      break;
    case PART_RUNNING:
      if (p->job->phase == PHASE_SAVE)
        gang_part_call (c, p, WORKER_CHECKPOINT);
      break;
    default:
      break;
    }
}

static void
retry (Core *c, Part *p)
{
  ClockMs span = (ClockMs)GANG_RETRY_MS << MIN (p->tries, 4);

  p->tries++;
  core_arm (c, &p->timer,
            c->now + core_jitter (c, MIN (span, GANG_RETRY_MAX_MS)));
}

/* Has P's worker stop it and free its room. */
void
gang_part_stop (Core *c, Part *p)
{
  ClockMs answer = c->cfg->worker_timeout_ms + LEASE_ANSWER_GRACE_MS;
  ClockMs lease = MAX (c->cfg->worker_lease_ms, GANG_RESERVE_LEASE_MS);

  if (p->state == PART_FREE || p->state == PART_STOPPING)
    return;
  p->state = PART_STOPPING;
  p->stop_since = c->now;
  p->tries = 0;
  /* A call that grants a lease may still be on its way. */
  p->lease_end = MAX (p->lease_end, c->now + answer + lease);
  gang_part_call (c, p, WORKER_STOP);
}

/* Frees the room of P, whose worker didn't answer the stop, but reports that
   it holds nothing for P any more. */
void
gang_part_ended (Core *c, Part *p)
{
  gang_note (c, p->job, NOTE_JOB_STOP_UNANSWERED, p->worker->cfg->name, NULL);
  gang_part_forget_call (c, p);
  gang_part_release (c, p);
  gang_advance (c, p->job);
}

static void
on_part_silent (Core *c, Part *p, WorkerOp op, gboolean sent)
{
  if (sent && op != WORKER_STOP)
    p->lease_end = MAX (p->lease_end, c->now + lease_of (c, op));
  if (p->tries + 1 < GANG_TRIES)
    {
      retry (c, p);
      return;
    }
  lease_mark_unreported (c, p->worker);
  if (p->state == PART_RESERVING)
    gang_undo (c, p->job, JOB_QUEUED, "a worker does not answer");
  else
    retry (c, p);
}

static void
on_part_refused (Core *c, Part *p, WorkerOp op)
{
  switch (op)
    {
    case WORKER_RESERVE:
      lease_mark_unreported (c, p->worker);
      gang_undo (c, p->job, JOB_QUEUED, "a worker refused a reservation");
      break;
    case WORKER_START:
      if (p->state == PART_STARTING)
        {
          p->state = PART_GONE;
          gang_undo (c, p->job,
                     gang_may_repeat (p->job) ? JOB_QUEUED : JOB_UNKNOWN,
                     "a reservation lapsed");
        }
      break;
    case WORKER_STOP:
      gang_part_release (c, p);
      gang_advance (c, p->job);
      break;
    default:
      break;
    }
}

/* Notes that P's worker has said that it runs P.  Only what the worker is asked
   from now on can tell that it doesn't any more. */
void
gang_part_started (Core *c, Part *p)
{
  p->state = PART_RUNNING;
  p->known_by = c->sched->last_call;
}

static void
on_part_ok (Core *c, Part *p, WorkerOp op)
{
  p->lease_end = c->now + lease_of (c, op);
  p->tries = 0;
  switch (op)
    {
    case WORKER_RESERVE:
      if (p->state == PART_RESERVING)
        p->state = PART_RESERVED;
      break;
    case WORKER_START:
      if (p->state == PART_STARTING || p->state == PART_RUNNING)
        gang_part_started (c, p);
      break;
    case WORKER_STOP:
      gang_part_release (c, p);
      break;
    case WORKER_CHECKPOINT:
      lease_wake (c, p->worker, LEASE_POLL_MIN_MS);
      break;
    default:
      break;
    }
  gang_advance (c, p->job);
}

/* Takes the answer R to call OP for P. */
void
gang_on_part_answer (Core *c, Part *p, WorkerOp op, const WorkerReply *r)
{
  p->call = 0;
  core_stop (c, &p->timer);
  switch ((WorkerStatus)r->status)
    {
    case WORKER_OK:
      on_part_ok (c, p, op);
      break;
    case WORKER_REFUSED:
      on_part_refused (c, p, op);
      break;
    case WORKER_STALE:
      role_on_stale (c, r->term);
      if (role_is_held (c) && p->call == 0 && p->state != PART_FREE)
        retry (c, p);
      break;
    default:
      on_part_silent (c, p, op, r->status == WORKER_LOST);
      break;
    }
}
