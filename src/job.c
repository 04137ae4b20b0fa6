#include "sched_state.h"

#include <json-c/json.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

REC_DEFINE (JobSeat, job_seat, JOB_SEAT_FIELDS)
REC_DEFINE (JobEvidence, job_evidence, JOB_EVIDENCE_FIELDS)
REC_DEFINE (JobRecord, job_record, JOB_RECORD_FIELDS)

#define JOB_STATE_NAME(kind, name) name,
static const char *const state_names[] = { JOB_STATES (JOB_STATE_NAME) };

/* Returns the name of S as callers see it. */
const char *
job_state_name (JobState s)
{
  return state_names[s];
}

/* Tells whether nothing follows S. */
gboolean
job_state_ended (JobState s)
{
  return s >= JOB_DONE;
}

/* Returns the id of the job Q, for the caller to free: the same for the
   same workspace and idempotency key, wherever it is submitted; without a
   key made from SEQUENCE, which this start of the host never uses twice. */
char *
job_id (Core *c, const CallerJob *q, gint64 sequence)
{
  const char *workspace = util_str (q->workspace);
  const char *key = util_str (q->key);
  guint64 seed = XXH3_64bits (workspace, strlen (workspace));
  XXH128_hash_t h;

  if (!*key)
    return g_strdup_printf ("%s-%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT,
                            c->cfg->host, c->cfg->incarnation, sequence);
  h = XXH3_128bits_withSeed (key, strlen (key), seed);
  return g_strdup_printf ("k-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
                          "x",
                          (guint64)h.high64, (guint64)h.low64);
}

/* Returns the store's key for job ID of DOMAIN; the caller frees it. */
char *
job_key (const char *domain, const char *id)
{
  return g_strdup_printf ("jobs/%s/%s", domain, id);
}

/* Returns a digest of what the caller asks for in Q, by which the second
   use of an idempotency key for something else is noticed. */
gint64
job_digest (const CallerJob *q)
{
  CallerJob bare = *q;

  bare.conn = 0;
  bare.token = "";
  return (gint64)(rec_digest (caller_job_desc (), &bare, 0) >> 1);
}

/* Returns the record of a new job, queued in DOMAIN. */
JobRecord *
job_record_new (Core *c, const CallerJob *q, const char *id, const char *domain)
{
  JobRecord r = { .id = id,
                  .workspace = q->workspace,
                  .caller = q->caller,
                  .key = q->key,
                  .work_kind = q->work_kind,
                  .work_class = q->work_class,
                  .parts = q->parts,
                  .accelerators = q->accelerators,
                  .cores = q->cores,
                  .memory_mb = q->memory_mb,
                  .run_ms = q->run_ms,
                  .checkpointable = q->checkpointable,
                  .repeatable = q->repeatable,
                  .domain = domain,
                  .origin = c->cfg->host,
                  .digest = job_digest (q),
                  .accepted_at = c->now,
                  .state = JOB_QUEUED,
                  .body = q->body };

  return rec_copy (job_record_desc (), &r);
}

/* Releases R. */
void
job_record_free (JobRecord *r)
{
  rec_free (job_record_desc (), r);
}

/* Returns where part I is. */
const JobSeat *
job_seat (const JobRecord *r, guint i)
{
  return rec_list_at (job_seat_desc (), &r->seats, i);
}

/* Returns R as the store keeps it. */
GBytes *
job_encode (JobRecord *r)
{
  char *text = rec_to_json (job_record_desc (), r);

  return g_bytes_new_take (text, strlen (text));
}

/* Returns the record in VALUE, NULL when there is none in it. */
JobRecord *
job_decode (GBytes *value)
{
  JobRecord *r = rec_new (job_record_desc ());
  Findings findings;
  gboolean ok = FALSE;
  gsize n;
  const char *text;

  findings_init (&findings);
  if (value)
    {
      text = g_bytes_get_data (value, &n);
      ok = rec_from_json (job_record_desc (), r, text, n, REC_MISSING_KEEP,
                          "job record", &findings);
    }
  findings_clear (&findings);
  if (ok)
    return r;
  job_record_free (r);
  return NULL;
}

static void
add_str (json_object *o, const char *name, const char *value)
{
  if (value && *value)
    json_object_object_add (o, name, json_object_new_string (value));
}

static json_object *
seats_json (const JobRecord *r)
{
  json_object *list = json_object_new_array ();
  guint i;

  for (i = 0; i < r->seats.n; i++)
    {
      const JobSeat *s = job_seat (r, i);
      json_object *o = json_object_new_object ();

      add_str (o, "worker", s->worker);
      json_object_object_add (o, "first", json_object_new_int64 (s->first));
      json_object_object_add (o, "count", json_object_new_int64 (s->count));
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
evidence_json (const JobRecord *r)
{
  json_object *list = json_object_new_array ();
  guint i;

  for (i = 0; i < r->evidence.n; i++)
    {
      const JobEvidence *v =
          rec_list_at (job_evidence_desc (), &r->evidence, i);
      json_object *o = json_object_new_object ();

      json_object_object_add (o, "run", json_object_new_int64 (v->run));
      add_str (o, "worker", v->worker);
      add_str (o, "reason", v->reason);
      json_object_array_add (list, o);
    }
  return list;
}

/* Returns the public state of R as JSON, which the caller frees. */
char *
job_to_json (const JobRecord *r)
{
  json_object *o = json_object_new_object ();
  char *text;

  add_str (o, "id", r->id);
  add_str (o, "state", job_state_name ((JobState)r->state));
  add_str (o, "workspace", r->workspace);
  add_str (o, "domain", r->domain);
  add_str (o, "reason", r->reason);
  json_object_object_add (o, "run", json_object_new_int64 (r->run));
  json_object_object_add (o, "accepted_at",
                          json_object_new_int64 (r->accepted_at));
  if (r->started_at)
    json_object_object_add (o, "started_at",
                            json_object_new_int64 (r->started_at));
  if (r->ended_at)
    json_object_object_add (o, "ended_at", json_object_new_int64 (r->ended_at));
  if (r->seats.n)
    json_object_object_add (o, "seats", seats_json (r));
  if (r->evidence.n)
    json_object_object_add (o, "evidence", evidence_json (r));
  text = g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  return text;
}

static void put (Core *c, Job *j);

/* Counts a write of a record that ended with R. */
void
job_count_write (Core *c, const StoreReply *r)
{
  if (r->status != STORE_UNSENT)
    core_add (c, COUNT_JOB_WRITES, 1);
}

/* Writes that a gang's next step waits for go before records of ends. */
static GQueue *
queue_of (Core *c, const Job *j)
{
  gboolean ended = job_state_ended ((JobState)j->rec->state);

  return &c->sched->to_write[ended];
}

static void
leave_queue (Job *j)
{
  GQueue *q = j->queued_in;

  if (q)
    g_queue_unlink (q, &j->write_link);
  j->queued_in = NULL;
}

/* Writes what is due, a bounded number at once, so that a wave of ends does
   not fill the store's session. */
static void
write_next (Core *c)
{
  Sched *s = c->sched;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (s->to_write); i++)
    while (s->n_writing < JOB_MAX_WRITING && s->to_write[i].length)
      {
        Job *j = s->to_write[i].head->data;

        leave_queue (j);
        put (c, j);
      }
}

/* Has J written as soon as its turn comes. */
static void
write_soon (Core *c, Job *j)
{
  GQueue *q = queue_of (c, j);

  core_stop (c, &j->write_timer);
  leave_queue (j);
  j->write_link = (GList) { .data = j };
  j->queued_in = q;
  g_queue_push_tail_link (q, &j->write_link);
  write_next (c);
}

static void
end_writing (Core *c, Job *j)
{
  if (!j->writing)
    return;
  g_clear_pointer (&j->writing, g_bytes_unref);
  c->sched->n_writing--;
}

/* Waits before J is written again; the gang goes on as far as it may. */
static void
write_later (Core *c, Job *j)
{
  end_writing (c, j);
  j->unwritten = TRUE;
  core_arm (c, &j->write_timer, c->now + core_jitter (c, JOB_RETRY_MS));
  gang_on_unwritten (c, j);
  write_next (c);
}

static void
write_again (Core *c, Timer *t)
{
  write_soon (c, t->owner);
}

static void
written (Core *c, Job *j, gint64 revision)
{
  j->revision = revision;
  j->written_at = c->now;
  end_writing (c, j);
  if (j->unwritten)
    write_soon (c, j);
  else
    gang_on_written (c, j);
  write_next (c);
}

/* Tells whether FOUND says that a scheduler other than this process may have
   started the job. */
static gboolean
is_started_by_another (const Core *c, const JobRecord *found)
{
  return found->state == JOB_RUNNING &&
         strcmp (util_str (found->writer), c->sched->writer) != 0;
}

/* Merges J with ITEM, which the store has instead of this host's last write, or
   NULL if the key was deleted.  The first recorded end and a cancellation win,
   and a start by another scheduler is heeded; otherwise the scheduler's own
   record is kept. */
void
job_settle (Core *c, Job *j, const StoreItem *item)
{
  JobRecord *found = item ? job_decode (item->value) : NULL;

  if (found && found->term > c->sched->role.term)
    {
      /* What is known here of the job is older than the record. */
      role_yield (c, found->term, "a record has a higher term");
      job_record_free (found);
      return;
    }
  end_writing (c, j);
  j->revision = item ? item->revision : 0;
  if (found && job_state_ended ((JobState)found->state))
    {
      leave_queue (j);
      gang_take_end (c, j, found);
      write_next (c);
      return;
    }
  j->unwritten = TRUE;
  if (found)
    role_note_term (c, found->term);
  if (found && is_started_by_another (c, found))
    gang_take_start (c, j);
  if (found && found->cancel && !j->rec->cancel)
    {
      j->rec->cancel = 1;
      job_record_free (found);
      gang_cancel (c, j);
    }
  else
    job_record_free (found);
  if (!j->writing)
    write_soon (c, j);
}

static gboolean
is_own_write (const Job *j, const StoreItem *item)
{
  return j->writing && item && item->value &&
         g_bytes_equal (j->writing, item->value);
}

static void
on_read_back (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Job *j = owner;
  const StoreItem *item = store_first_item (r);

  (void)arg;
  j->store_call = 0;
  if (r->status != STORE_OK && r->status != STORE_MISSING)
    write_later (c, j);
  else if (is_own_write (j, item))
    written (c, j, item->revision);
  else if (item && item->revision == j->revision)
    {
      end_writing (c, j);
      j->unwritten = TRUE;
      write_soon (c, j);
    }
  else
    job_settle (c, j, item);
}

static void
read_back (Core *c, Job *j)
{
  char *key = job_key (j->rec->domain, j->rec->id);
  StoreCall get = { .op = STORE_GET, .key = key };

  j->store_call = store_submit (c, STORE_FOR_JOB, &get, on_read_back, j, 0);
  g_free (key);
}

static void
on_put (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Job *j = owner;
  const StoreItem *item = store_first_item (r);

  (void)arg;
  j->store_call = 0;
  job_count_write (c, r);
  if (r->status == STORE_OK)
    written (c, j, item ? item->revision : r->revision);
  else if (r->status == STORE_CONFLICT && is_own_write (j, item))
    written (c, j, item->revision);
  else if (r->status == STORE_CONFLICT)
    job_settle (c, j, item);
  else if (r->status == STORE_LOST)
    read_back (c, j);
  else
    write_later (c, j);
}

static void
put (Core *c, Job *j)
{
  Sched *s = c->sched;
  char *key = job_key (j->rec->domain, j->rec->id);
  StoreCall call = { .op = STORE_PUT, .key = key, .expect = j->revision };

  rec_set_str (&j->rec->writer, s->writer);
  j->rec->write = ++s->last_write;
  j->rec->term = MAX (j->rec->term, s->role.term);
  j->unwritten = FALSE;
  j->writing = job_encode (j->rec);
  call.value = j->writing;
  s->n_writing++;
  j->store_call = store_submit (c, STORE_FOR_JOB, &call, on_put, j, 0);
  g_free (key);
}

/* Writes the record of J to the store, once what is under way has ended;
   gang_on_written follows when the store has it as it stands. */
void
job_write (Core *c, Job *j)
{
  j->unwritten = TRUE;
  j->write_timer.fire = write_again;
  j->write_timer.owner = j;
  if (!j->writing && !j->write_timer.slot)
    write_soon (c, j);
}

/* Forgets the write of J that is in flight, if any. */
void
job_forget_write (Core *c, Job *j)
{
  if (j->store_call)
    store_forget (c, j->store_call);
  j->store_call = 0;
  core_stop (c, &j->write_timer);
  leave_queue (j);
  end_writing (c, j);
}
