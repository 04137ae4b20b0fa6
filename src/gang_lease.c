#include "sched_state.h"

/* What workers report of the leases of a gang's parts. */

/* J uses more memory than its worker can give it beside others. */
static void
stop_oversized (Core *c, Job *j, const Part *p)
{
  const char *reason = "it uses more memory than it asked for";

  gang_add_evidence (j, p->worker->cfg->name, reason);
  j->failed = TRUE;
  if (gang_may_repeat (j) && j->rec->evidence.n < JOB_MAX_EVIDENCE)
    gang_undo (c, j, JOB_QUEUED, reason);
  else
    gang_undo (c, j, JOB_FAILED, reason);
}

/* Looks at the memory that P is reported to use.  Returns FALSE if its gang
   is stopped for that. */
static gboolean
check_memory (Core *c, Part *p, gint64 used_mb)
{
  Job *j = p->job;
  PlanMemoryAction over;

  p->used_mb = used_mb;
  if (j->phase != PHASE_RUN || p->state != PART_RUNNING || used_mb == 0)
    return TRUE;
  over = plan_used_memory (c->sched->plan, &j->fleet, used_mb);
  if (over == PLAN_MEMORY_STOP)
    {
      stop_oversized (c, j, p);
      return FALSE;
    }
  if (over == PLAN_MEMORY_THROTTLE && !p->throttled && !p->call)
    {
      p->throttled = TRUE;
      gang_part_call (c, p, WORKER_THROTTLE);
    }
  return TRUE;
}

/* P counts as running, and its worker, asked by CALL, has only a reservation
   for it.  If P was taken for running while its worker was silent, it is
   started now, unless it must not be repeated.  If it did run, its worker has a
   new process, which got the reservation late. */
static void
on_only_reserved (Core *c, Part *p, gint64 call)
{
  if (p->known_by == 0 && gang_may_repeat (p->job))
    {
      if (!p->call && p->job->phase <= PHASE_RUN)
        gang_part_call (c, p, WORKER_START);
    }
  else if (p->known_by == 0 || call > p->known_by)
    {
      p->state = PART_GONE;
      gang_broken (c, p->job, p, FALSE, "a worker lost a part");
    }
}

/* Applies L, the state of P's lease as its worker reported it, asked by CALL,
   or 0 if by itself. */
void
gang_apply_lease (Core *c, Part *p, const WorkerLease *l, gint64 call)
{
  Job *j = p->job;

  if (!check_memory (c, p, l->used_memory_mb))
    return;
  p->progress_ms = MAX (p->progress_ms, l->progress_ms);
  if (p->state == PART_STOPPING && l->state > LEASE_RUNNING)
    {
      /* It may free P's job. */
      gang_part_ended (c, p);
      return;
    }
  if (p->state == PART_FREE || p->state == PART_STOPPING)
    return;
  switch ((WorkerLeaseState)l->state)
    {
    case LEASE_RESERVED:
      if (p->state == PART_RESERVING)
        p->state = PART_RESERVED;
      else if (p->state == PART_RUNNING)
        {
          on_only_reserved (c, p, call);
          return;
        }
      break;
    case LEASE_RUNNING:
      if (p->state == PART_STARTING || p->state == PART_RESERVED)
        gang_part_started (c, p);
      break;
    case LEASE_DONE:
      p->state = PART_DONE;
      break;
    case LEASE_SAVED:
      p->state = PART_SAVED;
      break;
    case LEASE_FAILED:
      p->state = PART_GONE;
      gang_broken (c, j, p, TRUE, "a part failed");
      return;
    case LEASE_STOPPED:
    case LEASE_LAPSED:
      p->state = PART_GONE;
      gang_broken (c, j, p, FALSE, "a part's lease lapsed");
      return;
    default:
      break;
    }
  gang_advance (c, j);
}
