#include "standin.h"

#include "worker_event.h"

#include <string.h>

/* The faults that POST /control sets for the worker named, or for all. */
#define WORKER_FAULT_FIELDS(INT, STR, BYTES, LIST)                             \
  STR (worker, 0, WORKER_MAX_NAME)                                             \
  INT (down, 0, 1)          /* closes every connection unanswered */           \
  INT (fail, 0, 1)          /* every task fails at once */                     \
  INT (lose_answers, 0, 1)  /* acts, and closes without an answer */           \
  INT (lag_ms, 0, 600000)   /* of what it reports of ends and usage */         \
  INT (delay_ms, 0, 600000) /* before each answer */                           \
  INT (reboot, 0, 1)        /* all tasks die now */
REC_DECLARE (WorkerFault, worker_fault, WORKER_FAULT_FIELDS)
REC_DEFINE (WorkerFault, worker_fault, WORKER_FAULT_FIELDS)

static const ClockMs checkpoint_ms = 200;

/* A lease and its task; REPORT is what is told of it. */
typedef struct Task
{
  WorkerLease report;
  ClockMs until;    /* end of the lease */
  ClockMs started;  /* 0: not yet */
  ClockMs done_at;  /* the task's own end */
  ClockMs saved_at; /* end of a checkpoint under way, 0: none */
  ClockMs changed;  /* when its state last changed */
  gboolean dirty;   /* that change has not been told yet */
} Task;

typedef struct Worker
{
  char *name;
  gint64 accelerators;
  gint64 term;
  GPtrArray *tasks; /* of Task */
  WorkerFault fault;
} Worker;

typedef struct Fleet
{
  GHashTable *workers; /* name to Worker */
  GHashTable *saved;   /* "JOB/PART" to saved progress in ms */
  gint64 accelerators; /* of each worker */
} Fleet;

static void
task_free (gpointer p)
{
  Task *t = p;

  rec_clear (worker_lease_desc (), &t->report);
  g_free (t);
}

static gboolean
is_live (const Task *t)
{
  return t->report.state == LEASE_RESERVED || t->report.state == LEASE_RUNNING;
}

static Worker *
worker_get (Fleet *f, const char *name)
{
  Worker *w = g_hash_table_lookup (f->workers, name);

  if (w)
    return w;
  w = g_new0 (Worker, 1);
  w->name = g_strdup (name);
  w->accelerators = f->accelerators;
  w->tasks = g_ptr_array_new_with_free_func (task_free);
  w->fault.worker = "";
  g_hash_table_insert (f->workers, w->name, w);
  return w;
}

static void
set_state (Task *t, WorkerLeaseState state, ClockMs when)
{
  t->report.state = state;
  t->changed = when;
  t->dirty = TRUE;
}

static char *
saved_key (const Task *t)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT, t->report.job,
                          t->report.part);
}

static void
save (Fleet *f, const Task *t)
{
  gint64 *progress = g_new (gint64, 1);

  *progress = t->report.progress_ms + (t->saved_at - t->started);
  g_hash_table_insert (f->saved, saved_key (t), progress);
}

/* Lets T see the present time: its end, its checkpoint, its lease. */
static void
settle (Fleet *f, Task *t, ClockMs now)
{
  if (t->report.state == LEASE_RUNNING && t->done_at <= MIN (now, t->until))
    set_state (t, LEASE_DONE, t->done_at);
  else if (t->report.state == LEASE_RUNNING && t->saved_at &&
           t->saved_at <= MIN (now, t->until))
    {
      save (f, t);
      set_state (t, LEASE_SAVED, t->saved_at);
    }
  else if (is_live (t) && t->until <= now)
    set_state (t, LEASE_LAPSED, t->until);
}

static Task *
find_task (const Worker *w, const WorkerCall *c)
{
  guint i;

  for (i = 0; i < w->tasks->len; i++)
    {
      Task *t = g_ptr_array_index (w->tasks, i);

      if (strcmp (t->report.job, c->job) == 0 && t->report.part == c->part &&
          t->report.run == c->run)
        return t;
    }
  return NULL;
}

static gboolean
overlaps (const Worker *w, const WorkerCall *c)
{
  guint i;

  for (i = 0; i < w->tasks->len; i++)
    {
      const Task *t = g_ptr_array_index (w->tasks, i);

      if (is_live (t) && t->report.first < c->first + c->count &&
          c->first < t->report.first + t->report.count)
        return TRUE;
    }
  return FALSE;
}

static WorkerStatus
reserve (Worker *w, const WorkerCall *c, ClockMs now)
{
  Task *t = find_task (w, c);

  if (t)
    return is_live (t) ? WORKER_OK : WORKER_REFUSED;
  if (c->first + c->count > w->accelerators || overlaps (w, c))
    return WORKER_REFUSED;
  t = g_new0 (Task, 1);
  t->report = (WorkerLease) { .part = c->part,
                              .run = c->run,
                              .term = c->term,
                              .state = LEASE_RESERVED,
                              .first = c->first,
                              .count = c->count,
                              .cores = c->cores,
                              .memory_mb = c->memory_mb };
  t->report.job = g_strdup (c->job);
  t->until = now + c->lease_ms;
  t->done_at = CLOCK_NEVER;
  g_ptr_array_add (w->tasks, t);
  return WORKER_OK;
}

static gint64
saved_progress (Fleet *f, const Task *t)
{
  char *key = saved_key (t);
  const gint64 *progress = g_hash_table_lookup (f->saved, key);

  g_free (key);
  return progress ? *progress : 0;
}

static WorkerStatus
start (Fleet *f, Worker *w, const WorkerCall *c, ClockMs now)
{
  Task *t = find_task (w, c);

  if (!t || !is_live (t))
    return WORKER_REFUSED;
  t->until = now + c->lease_ms;
  if (t->report.state == LEASE_RUNNING)
    return WORKER_OK;
  t->report.progress_ms = c->resume ? saved_progress (f, t) : 0;
  t->started = now;
  t->done_at = now + MAX (0, c->run_ms - t->report.progress_ms);
  set_state (t, LEASE_RUNNING, now);
  if (w->fault.fail)
    set_state (t, LEASE_FAILED, now);
  return WORKER_OK;
}

static WorkerStatus
checkpoint (Worker *w, const WorkerCall *c, ClockMs now)
{
  Task *t = find_task (w, c);

  if (!t)
    return WORKER_REFUSED;
  if (t->report.state == LEASE_RUNNING && !t->saved_at)
    t->saved_at = now + checkpoint_ms;
  return WORKER_OK;
}

static void
renew (Worker *w, const WorkerCall *c, ClockMs now)
{
  guint i;

  for (i = 0; i < w->tasks->len; i++)
    {
      Task *t = g_ptr_array_index (w->tasks, i);

      if (!is_live (t))
        continue;
      t->until = now + c->lease_ms;
      t->report.term = c->term;
    }
}

static WorkerStatus
apply (Fleet *f, Worker *w, const WorkerCall *c, ClockMs now)
{
  Task *t;

  switch (c->op)
    {
    case WORKER_RESERVE:
      return reserve (w, c, now);
    case WORKER_START:
      return start (f, w, c, now);
    case WORKER_CHECKPOINT:
      return checkpoint (w, c, now);
    case WORKER_RENEW:
      renew (w, c, now);
      return WORKER_OK;
    case WORKER_STOP:
      t = find_task (w, c);
      if (t)
        g_ptr_array_remove (w->tasks, t);
      return WORKER_OK;
    case WORKER_THROTTLE:
      return find_task (w, c) ? WORKER_OK : WORKER_REFUSED;
    default:
      return WORKER_OK;
    }
}

static void
tell (Worker *w, const WorkerCall *c, WorkerReply *r, ClockMs now)
{
  guint i;

  if (c->op != WORKER_REPORT && c->op != WORKER_RENEW)
    return;
  for (i = 0; i < w->tasks->len; i++)
    {
      Task *t = g_ptr_array_index (w->tasks, i);
      WorkerLease *l;

      if (t->changed + w->fault.lag_ms > now ||
          (c->op == WORKER_RENEW && !t->dirty))
        continue;
      l = rec_list_add (worker_lease_desc (), &r->leases);
      rec_copy_into (worker_lease_desc (), l, &t->report);
      l->used_memory_mb = l->memory_mb;
      if (t->started)
        l->progress_ms += now - t->started;
      l->remaining_ms = MAX (0, t->until - now);
      t->dirty = FALSE;
    }
}

static gint64
count_running (const Worker *w)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < w->tasks->len; i++)
    if (((const Task *)g_ptr_array_index (w->tasks, i))->report.state ==
        LEASE_RUNNING)
      n++;
  return n;
}

static void
answer (Fleet *f, Worker *w, Exchange *x, const WorkerCall *c)
{
  WorkerReply *r = rec_new (worker_reply_desc ());
  ClockMs now = server_now ();
  guint i;

  for (i = 0; i < w->tasks->len; i++)
    settle (f, g_ptr_array_index (w->tasks, i), now);
  rec_set_str (&r->worker, w->name);
  r->call = c->call;
  r->op = c->op;
  r->status = c->term < w->term ? WORKER_STALE : WORKER_OK;
  w->term = MAX (w->term, c->term);
  if (r->status == WORKER_OK)
    r->status = apply (f, w, c, now);
  if (r->status == WORKER_OK)
    tell (w, c, r, now);
  r->term = w->term;
  r->running = count_running (w);
  if (w->fault.lose_answers)
    exchange_close (x);
  else
    exchange_reply_record (x, w->fault.delay_ms, worker_reply_desc (), r);
  rec_free (worker_reply_desc (), r);
}

static void
take_call (Fleet *f, Exchange *x)
{
  WorkerCall *c = rec_new (worker_call_desc ());
  Worker *w;

  if (exchange_record (x, worker_call_desc (), c, REC_MISSING_KEEP))
    {
      w = worker_get (f, c->worker);
      if (w->fault.down)
        exchange_close (x);
      else
        answer (f, w, x, c);
    }
  rec_free (worker_call_desc (), c);
}

static void
set_fault (Worker *w, const WorkerFault *fault)
{
  w->fault = *fault;
  w->fault.worker = "";
  if (fault->reboot)
    g_ptr_array_set_size (w->tasks, 0);
}

static void
take_control (Fleet *f, Exchange *x)
{
  WorkerFault *fault = rec_new (worker_fault_desc ());
  GHashTableIter i;
  gpointer w;

  if (exchange_record (x, worker_fault_desc (), fault, REC_MISSING_KEEP))
    {
      if (*fault->worker)
        set_fault (worker_get (f, fault->worker), fault);
      g_hash_table_iter_init (&i, f->workers);
      while (!*fault->worker && g_hash_table_iter_next (&i, NULL, &w))
        set_fault (w, fault);
      exchange_reply_record (x, 0, worker_fault_desc (), fault);
    }
  rec_free (worker_fault_desc (), fault);
}

static void
handle (Exchange *x, void *data)
{
  Fleet *f = data;

  if (strcmp (x->path, "/v1/call") == 0)
    take_call (f, x);
  else if (strcmp (x->path, "/control") == 0)
    take_control (f, x);
  else
    exchange_reply (x, 0, 404, NULL, "", 0);
}

/* Serves every worker that is called by name, all alike. */
int
standin_workers (int argc, char **argv, GError **error)
{
  StandinPlace place = { .port = 7300, .seconds = 3600 };
  int accelerators = 8;
  const GOptionEntry entries[] = { { "accelerators", 0, 0, G_OPTION_ARG_INT,
                                     &accelerators,
                                     "accelerators of each worker (8)", "N" },
                                   { NULL } };
  Fleet f = { .workers = g_hash_table_new (g_str_hash, g_str_equal),
              .saved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              g_free) };
  Server *s = server_new ();

  if (!standin_options ("Stands in for workers with accelerators.", entries,
                        &place, argc, argv, error) ||
      !standin_listen (s, &place, 0, handle, &f, error))
    return 1;
  f.accelerators = accelerators;
  server_run (s, server_now () + (ClockMs)place.seconds * 1000);
  return 0;
}
