#include "sched_state.h"

#include <json-c/json.h>

#include "table.h"

#define PHASE_NAME(kind, name) name,
static const char *const phase_names[] = { JOB_PHASES (PHASE_NAME) };

/* What one workspace has in the domain, in accelerators and jobs. */
typedef struct Tally
{
  gint64 kept;     /* held inside the guarantee */
  gint64 borrowed; /* held beyond it */
  gint64 owed;     /* being reclaimed for it */
  gint64 wanted;   /* by its jobs that wait */
  gint64 waiting;
  gint64 running;
  ClockMs oldest; /* arrival of the job that waits longest */
  double cores;
  double memory_mb; /* as reported */
} Tally;

static gint64
memory_used (const Job *j)
{
  gint64 used = 0;
  guint i;

  for (i = 0; i < j->n_parts; i++)
    used += j->parts[i].used_mb ? j->parts[i].used_mb : j->rec->memory_mb;
  return used;
}

static void
tally_waiting (const Plan *plan, const Job *j, Tally *t)
{
  gint64 accelerators = j->rec->parts * j->rec->accelerators;

  t->waiting++;
  t->wanted += accelerators;
  t->oldest = MIN (t->oldest, j->rec->accepted_at);
  if (plan_wait (plan, &j->fleet) == PLAN_WAIT_RECLAIM)
    t->owed += accelerators;
}

static void
tally_job (const Plan *plan, const Job *j, Tally *t)
{
  gint64 accelerators = j->rec->parts * j->rec->accelerators;

  if (j->phase == PHASE_WAITING)
    {
      tally_waiting (plan, j, t);
      return;
    }
  if (!j->planned)
    return;
  t->running++;
  t->cores += (double)(j->rec->parts * j->rec->cores);
  t->memory_mb += (double)memory_used (j);
  if (j->fleet.in_guarantee)
    t->kept += accelerators;
  else
    t->borrowed += accelerators;
}

/* Returns a Tally for each workspace that has a job, by name. */
static GHashTable *
tally_all (Core *c)
{
  Sched *s = c->sched;
  GHashTable *all =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const Job *j = value;
      Tally *t = g_hash_table_lookup (all, j->rec->workspace);

      if (job_state_ended ((JobState)j->rec->state))
        continue;
      if (!t)
        {
          t = g_new0 (Tally, 1);
          t->oldest = CLOCK_NEVER;
          g_hash_table_insert (all, (gpointer)j->rec->workspace, t);
        }
      tally_job (s->plan, j, t);
    }
  return all;
}

/* Corrects the plan's accounts by what the workers report, and fills FULL
   with the names of the workspaces that have max_queued jobs waiting. */
void
sched_account (Core *c, RecList *full)
{
  GHashTable *all = tally_all (c);
  guint i;

  for (i = 0; i < table_n_workspaces (c); i++)
    {
      const Workspace *w = table_workspace (c, i);
      const Tally *t = g_hash_table_lookup (all, w->name);
      SchedName *name;

      if (!t)
        continue;
      plan_correct_usage (c->sched->plan,
                          plan_workspace (c->sched->plan, w->name),
                          (double)(t->kept + t->borrowed), t->cores,
                          t->memory_mb, c->now);
      if (w->max_queued < 0 || t->waiting < w->max_queued)
        continue;
      name = rec_list_add (sched_name_desc (), full);
      rec_set_str (&name->name, w->name);
    }
  g_hash_table_unref (all);
}

static void
add_int (json_object *o, const char *name, gint64 value)
{
  json_object_object_add (o, name, json_object_new_int64 (value));
}

static void
add_str (json_object *o, const char *name, const char *value)
{
  if (value && *value)
    json_object_object_add (o, name, json_object_new_string (value));
}

static void
add_bool (json_object *o, const char *name, gboolean value)
{
  json_object_object_add (o, name, json_object_new_boolean (value));
}

static char *
json_text (json_object *o)
{
  char *text =
      g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));

  json_object_put (o);
  return text;
}

static const char *
why_waiting (Core *c, const Job *j)
{
  if (!j->planned && sched_waits_for_store (c, j))
    return "the store is away, and it must not start without a record";
  if (!j->planned)
    return "its last run failed, it is tried again after a while";
  if (!c->sched->ready)
    return "the scheduler is new and still finds out what runs";
  return plan_wait_text (plan_wait (c->sched->plan, &j->fleet));
}

/* Returns, as JSON, where job ID stands here and why it waits, from the
   last decision; NULL when this host is not its scheduler.  The caller
   frees it. */
char *
sched_explain (Core *c, const char *id)
{
  Job *j = g_hash_table_lookup (c->sched->jobs, id);
  json_object *o;

  if (!j)
    return NULL;
  o = json_object_new_object ();
  add_str (o, "id", id);
  add_str (o, "workspace", j->rec->workspace);
  add_str (o, "state", job_state_name ((JobState)j->rec->state));
  add_str (o, "phase", phase_names[j->phase]);
  add_bool (o, "recorded", !j->unwritten && !j->writing);
  add_int (o, "run", j->rec->run);
  add_int (o, "failed_runs", j->rec->evidence.n);
  if (j->phase == PHASE_WAITING)
    {
      add_str (o, "waits_for", why_waiting (c, j));
      add_int (o, "waited_ms", MAX (0, c->now - j->rec->accepted_at));
      add_int (o, "expected_run_ms", plan_run_ms (c->sched->plan, &j->fleet));
    }
  else if (j->planned)
    add_bool (o, "inside_guarantee", j->fleet.in_guarantee);
  add_str (o, "reason", j->rec->reason);
  return json_text (o);
}

static gint64
promised (const Workspace *w)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < w->n_shapes; i++)
    n += w->guarantee[i].count * w->guarantee[i].size;
  return n;
}

static json_object *
workspace_json (Core *c, const Workspace *w, const Tally *t)
{
  static const Tally nothing = { .oldest = CLOCK_NEVER };
  json_object *o = json_object_new_object ();

  if (!t)
    t = &nothing;
  add_str (o, "workspace", w->name);
  add_int (o, "promised_in_all_domains", promised (w));
  add_int (o, "held", t->kept);
  add_int (o, "borrowed", t->borrowed);
  add_int (o, "owed", t->owed);
  add_int (o, "running_jobs", t->running);
  add_int (o, "waiting_jobs", t->waiting);
  add_int (o, "waiting_accelerators", t->wanted);
  if (t->oldest != CLOCK_NEVER)
    add_int (o, "longest_wait_ms", MAX (0, c->now - t->oldest));
  return o;
}

static json_object *
workspaces_json (Core *c)
{
  GHashTable *all = tally_all (c);
  json_object *list = json_object_new_array ();
  guint i;

  for (i = 0; i < table_n_workspaces (c); i++)
    {
      const Workspace *w = table_workspace (c, i);
      const Tally *t = g_hash_table_lookup (all, w->name);

      if (t || w->n_shapes)
        json_object_array_add (list, workspace_json (c, w, t));
    }
  g_hash_table_unref (all);
  return list;
}

static json_object *
shortfalls_json (const Plan *p)
{
  json_object *list = json_object_new_array ();
  guint i;

  for (i = 0; i < plan_n_short (p); i++)
    {
      PlanShort s = plan_shortfall (p, i);
      json_object *o = json_object_new_object ();

      add_str (o, "workspace", s.workspace);
      add_int (o, "promised_here", s.accelerators);
      add_int (o, "short_of", s.short_of);
      add_str (o, "why", "workers of the domain are missing or in quarantine");
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
unusable_json (const Sched *s)
{
  json_object *list = json_object_new_array ();
  guint i;

  for (i = 0; i < s->workers->len; i++)
    {
      const Worker *w = g_ptr_array_index (s->workers, i);
      const FleetWorker *f = fleet_worker (plan_fleet (s->plan), w->index);
      json_object *o;

      if (f->usable)
        continue;
      o = json_object_new_object ();
      add_str (o, "worker", w->cfg->name);
      add_str (o, "why",
               w->silent      ? "it does not answer"
               : w->occupied  ? "it has leases of nobody's planning"
               : !w->reported ? "it has not listed its leases yet"
                              : "it fails what it starts");
      json_object_array_add (list, o);
    }
  return list;
}

static void
add_domain (Core *c, json_object *o)
{
  Sched *s = c->sched;

  add_bool (o, "ready", s->ready);
  add_bool (o, "records_known", s->records_known);
  add_int (o, "waiting", plan_n_waiting (s->plan));
  add_int (o, "running", s->n_running);
  json_object_object_add (
      o, "fragmentation",
      json_object_new_double (plan_fragmentation (s->plan)));
  add_int (o, "guaranteed_beyond_all_hardware", plan_unplaced (s->plan));
  json_object_object_add (o, "workspaces", workspaces_json (c));
  json_object_object_add (o, "not_kept", shortfalls_json (s->plan));
  json_object_object_add (o, "unusable_workers", unusable_json (s));
}

/* Returns, as JSON, the role of this host and, on the scheduler, the state
   of its domain: what each workspace is promised, holds, has borrowed, is
   owed and waits for, and what can't be kept and why.  The caller frees
   it. */
char *
sched_status (Core *c)
{
  Sched *s = c->sched;
  json_object *o = json_object_new_object ();

  add_str (o, "domain", c->cfg->domain);
  add_str (o, "scheduler", s->role.holder);
  add_bool (o, "held", s->role.held);
  add_bool (o, "confirmed", s->role.confirmed);
  add_int (o, "term", s->role.term);
  if (s->plan)
    add_domain (c, o);
  return json_text (o);
}
