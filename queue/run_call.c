#include "run_call.h"

/* Returns a new call to WORKER at ADDRESS. */
RunCall *
run_call_new (RunOp op, const char *worker, const char *address)
{
  RunCall *call = g_new0 (RunCall, 1);

  call->op = op;
  call->worker = g_strdup (worker);
  call->address = g_strdup (address);
  return call;
}

/* Frees CALL, which may be NULL. */
void
run_call_free (RunCall *call)
{
  if (!call)
    return;
  g_free (call->worker);
  g_free (call->address);
  g_free (call->task);
  g_free (call->text);
  g_free (call->checkpoint);
  g_free (call);
}

static void
active_clear (gpointer p)
{
  RunActive *active = p;

  g_free (active->task);
  g_free (active->checkpoint);
}

static void
ended_clear (gpointer p)
{
  RunEnded *e = p;

  g_free (e->task);
  g_free (e->checkpoint);
}

/* Initializes REPLY without runs. */
void
run_reply_init (RunReply *reply)
{
  *reply =
      (RunReply) { .running = g_array_new (FALSE, TRUE, sizeof (RunActive)),
                   .ended = g_array_new (FALSE, TRUE, sizeof (RunEnded)) };
  g_array_set_clear_func (reply->running, active_clear);
  g_array_set_clear_func (reply->ended, ended_clear);
}

/* Frees the lists of REPLY. */
void
run_reply_clear (RunReply *reply)
{
  g_clear_pointer (&reply->running, g_array_unref);
  g_clear_pointer (&reply->ended, g_array_unref);
}

/* Returns the name of OP, for logs and metrics. */
const char *
run_op_name (RunOp op)
{
  static const char *const names[] = {
    [RUN_START] = "start",
    [RUN_STOP] = "stop",
    [RUN_POLL] = "hold",
  };

  return names[op];
}

/* Returns the name of HOW, for logs. */
const char *
run_end_name (RunEnd how)
{
  static const char *const names[] = {
    [RUN_DONE] = "done",          [RUN_FAILED] = "failed",
    [RUN_STOPPED] = "stopped",    [RUN_LEASE_EXPIRED] = "lapsed",
    [RUN_GANG_BROKEN] = "broken", [RUN_GANG_INCOMPLETE] = "alone",
  };

  return names[how];
}

/* Returns the name of STATUS, for logs. */
const char *
run_status_name (RunStatus status)
{
  static const char *const names[] = {
    [RUN_OK] = "ok",
    [RUN_FENCED] = "fenced",
    [RUN_SUPERSEDED] = "old",
    [RUN_DEADLINE_PASSED] = "late",
    [RUN_NO_CAPACITY] = "no_room",
    [RUN_UNHEALTHY] = "unhealthy",
    [RUN_INVALID] = "invalid",
    [RUN_OTHER_INCARNATION] = "other_life",
    [RUN_UNSENT] = "unsent",
    [RUN_LOST] = "lost",
  };

  return names[status];
}
