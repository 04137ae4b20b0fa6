#include "queue_world.h"

#include <gtest/gtest.h>

/* What must hold of every start, end and answer, beside what the world
   checks where it happens.  Bounds of time are the platform's. */

static const ClockMs stable_ms = 4000; /* without trouble before they hold */
static const ClockMs early_ms = 250;   /* before an occurrence is due */
static const ClockMs step_slack_ms = 5000; /* while times of day jump */
static const ClockMs drain_ms = 2500;
static const ClockMs reclaim_ms = 2700;
static const ClockMs visible_ms = 3000;
static const ClockMs kept_ms = 600000; /* records of jobs that are over */
static const gint64 guaranteed = 16;   /* accelerators of the first workspace */

static std::string
step_of (const std::string &task)
{
  return task.substr (0, task.rfind ('.'));
}

static std::string
unit_name (const std::string &id, int k, int step, int index, bool gang)
{
  std::string name =
      id + "." + std::to_string (k) + "." + std::to_string (step);

  return gang ? name : name + "." + std::to_string (index);
}

bool
QueueWorld::is_fault_free () const
{
  return now_ - std::max (last_trouble_, last_worker_trouble_) > stable_ms;
}

void
QueueWorld::record_fault_times ()
{
  if (is_troubled ())
    last_trouble_ = now_;
  for (const WorldWorker &w : workers)
    if (!reaches (w) || w.draining || w.fails_all || w.hangs ||
        w.late_share > 0 || w.slowness > 1)
      last_worker_trouble_ = now_;
}

void
QueueWorld::read_spec (Accepted &job)
{
  SpecJob *spec = (SpecJob *)rec_new (spec_job_desc ());
  GBytes *body = g_bytes_new (job.body.data (), job.body.size ());
  Findings findings;

  findings_init (&findings);
  job.spec.reset (spec, [] (SpecJob *s) { rec_free (spec_job_desc (), s); });
  if (!platform_codec.decode_job (body, spec, &findings))
    job.spec = nullptr;
  findings_clear (&findings);
  g_bytes_unref (body);
}

bool
QueueWorld::is_step_done (const SpecJob &spec,
                          const std::string &id,
                          int k,
                          int n)
{
  const SpecStep *step = spec_job_step (&spec, (guint)n);

  for (int i = 0; i < (step->gang ? 1 : (int)step->count); i++)
    if (!done_units_.count (unit_name (id, k, n, i, step->gang)))
      return false;
  return true;
}

/* A task starts once the steps before its own are done, and when its time
   has come. */
void
QueueWorld::check_order (const WorldRun &r, const SpecJob &spec)
{
  const SpecStep *step = spec_job_step (&spec, (guint)world_word (r.task, 2));
  int k = world_word (r.task, 1);
  ClockMs due = spec.first_run_ms + k * spec.interval_ms;
  ClockMs slack = early_ms;

  for (guint i = 0; i < step->after.n; i++)
    if (!is_step_done (spec, world_job (r.task), k,
                       (int)spec_step_after (step, i)))
      violation ("ORDER " + r.task);
  for (const WorldHost &h : hosts)
    if (h.wall_step)
      slack = step_slack_ms + early_ms;
  if (spec.run_count > 0 && wall () + slack < due)
    violation ("ORDER before its time " + r.task);
}

void
QueueWorld::check_route (const WorldWorker &w,
                         const WorldRun &r,
                         const SpecJob &spec)
{
  const SpecStep *step = spec_job_step (&spec, (guint)world_word (r.task, 2));
  std::string label = step->label ? step->label : "";
  int n = 0;

  if (!label.empty () && label != "a" && label != w.rack)
    violation ("ROUTE label " + r.task);
  for (auto &other : w.runs)
    n += step_of (other.first) == step_of (r.task);
  if (step->max_per_worker > 0 && n > step->max_per_worker)
    violation ("ROUTE per worker " + r.task);
}

void
QueueWorld::check_drain (const WorldWorker &w, const WorldRun &r)
{
  if (w.drained != CLOCK_NEVER && now_ - w.drained > drain_ms &&
      now_ - last_trouble_ > stable_ms)
    violation ("DRAIN " + r.task);
}

/* What a caller is told of job ID is so. */
void
QueueWorld::check_state (const std::string &id, const WorldAnswer &a)
{
  auto found = jobs_.find (id);

  if (found == jobs_.end () || !found->second.spec)
    return;
  const Accepted &job = found->second;

  if (a.status == 410 && job.at != CLOCK_NEVER && now_ - job.at > visible_ms &&
      now_ - job.at < kept_ms && now_ - last_trouble_ > stable_ms)
    violation ("LOST " + id);
  if (a.text != "completed")
    return;
  for (guint k = 0; k < spec_job_occurrences (job.spec.get ()); k++)
    for (guint n = 0; n < job.spec->steps.n; n++)
      if (!is_step_done (*job.spec, id, (int)k, (int)n))
        violation ("MIXED " + id);
}

/* Returns how many accelerators the first workspace's urgent jobs need. */
gint64
QueueWorld::urgent_demand () const
{
  gint64 sum = 0;

  for (auto &j : jobs_)
    {
      const Accepted &job = j.second;

      if (!job.urgent || !job.own_workspace || job.at == CLOCK_NEVER ||
          !job.spec)
        continue;
      for (guint n = 0; n < job.spec->steps.n; n++)
        {
          const SpecStep *step = spec_job_step (job.spec.get (), n);

          sum += step->count * step->accelerators;
        }
    }
  return sum;
}

bool
QueueWorld::first_step_started (const Accepted &job,
                                const std::string &id) const
{
  const SpecStep *step = spec_job_step (job.spec.get (), 0);

  for (int i = 0; i < (int)step->count; i++)
    if (!started_.count (unit_name (id, 0, 0, i, false)))
      return false;
  return true;
}

/* What a workspace is guaranteed it gets in time.  Counts every urgent job
   that was ever accepted as still there, so that less is asked for than was
   promised, never more. */
void
QueueWorld::check_reclaim ()
{
  for (auto &j : jobs_)
    {
      Accepted &job = j.second;

      if (!job.guaranteed || job.judged || !job.spec)
        continue;
      if (first_step_started (job, j.first) || job.cancelled != CLOCK_NEVER)
        job.judged = true;
      else if (now_ - job.at > reclaim_ms)
        {
          job.judged = true;
          if (job.at - std::max (last_trouble_, last_worker_trouble_) >
              stable_ms)
            violation ("RECLAIM " + j.first);
        }
    }
}

/* Tells the rules of a submission that has been acknowledged. */
void
QueueWorld::on_accepted (Accepted &job)
{
  job.at = now_;
  if (!job.spec || !job.urgent)
    return;
  job.guaranteed = urgent_demand () <= guaranteed && job.spec->run_count == 0 &&
                   job.own_workspace;
}

/* A start that no scheduler has ordered, to show that the rules see it. */
void
QueueWorld::force_start (int worker,
                         const std::string &task,
                         const std::string &text)
{
  RunCall *call = run_call_new (RUN_START, workers[worker].id.c_str (), "");
  RunReply reply;

  run_reply_init (&reply);
  call->task = g_strdup (task.c_str ());
  call->text = g_strdup (text.c_str ());
  call->run = 1;
  call->fence = workers[worker].fence;
  call->deadline = clock_of (workers[worker]) + 5000;
  execute_run (workers[worker], *call, &reply);
  run_reply_clear (&reply);
  run_call_free (call);
}

/* A record that says that job ID is over, though nothing of it was done. */
void
QueueWorld::forge_completed (const std::string &id)
{
  Progress *p = (Progress *)rec_new (progress_desc ());
  gsize n;

  p->state = JOB_COMPLETED;
  GBytes *packed = rec_pack (progress_desc (), p);
  const char *data = (const char *)g_bytes_get_data (packed, &n);
  write ("wagtailpass/job/" + id + "/progress", std::string (data, n), 0);
  g_bytes_unref (packed);
  rec_free (progress_desc (), p);
}

/* Deletes what the store knows of job ID. */
void
QueueWorld::forge_deletion (const std::string &id)
{
  erase ("wagtailpass/job/" + id + "/progress");
  erase ("wagtailpass/job/" + id + "/spec");
}

/* Whatever another writer may put into the store. */
void
QueueWorld::forge_record (const std::string &key, const std::string &value)
{
  write (key, value, 0);
}

bool
QueueWorld::has_violation (const std::string &rule) const
{
  for (auto &v : violations)
    if (v.find (": " + rule) != std::string::npos)
      return true;
  return false;
}

/* Each rule sees its break. */

static const char *const id = "00000000000000e1";

static std::string
first_task (int step = 0, int index = 0)
{
  return std::string (id) + ".0." + std::to_string (step) + "." +
         std::to_string (index);
}

static std::unique_ptr<QueueWorld>
world_with (const std::string &queue,
            const std::string &body,
            int n_workers = 4,
            ClockMs after = 6000)
{
  auto w = std::make_unique<QueueWorld> (2, n_workers);

  w->run (after);
  w->submit (0, { queue + "/" + id, body });
  w->run (300);
  return w;
}

TEST (QueueRules, AStepBeforeTheOneThatItComesAfterIsSeen)
{
  auto w =
      world_with ("q1",
                  world_body (world_step (1, 1000, 1) + "," +
                                  world_step (1, 1000, 1, ",\"after\":[0]"),
                              "ms=9000"));

  EXPECT_TRUE (w->violations.empty ());
  w->force_start (1, first_task (1), "ms=9000");
  EXPECT_TRUE (w->has_violation ("ORDER"));
}

TEST (QueueRules, AnOccurrenceBeforeItsTimeIsSeen)
{
  QueueWorld w (2, 4);
  std::string body = world_body (world_step (1, 1000, 1));

  w.run (3000);
  body.insert (1, "\"runCount\":2,\"firstRunMs\":" +
                      std::to_string (w.wall () + 9000) +
                      ",\"intervalMs\":2000,");
  w.submit (0, { std::string ("q1/") + id, body });
  w.run (500);
  w.force_start (1, first_task ());
  EXPECT_TRUE (w.has_violation ("ORDER before its time"));
}

TEST (QueueRules, AWorkerWithoutTheLabelAndTooManyOnOneAreSeen)
{
  auto w =
      world_with ("q1", world_body (world_step (2, 1000, 1,
                                                ",\"requiredLabel\":\"other\","
                                                "\"maxPerServer\":1")));

  EXPECT_EQ (w->n_starts (), 0);
  w->force_start (1, first_task (0, 0));
  EXPECT_TRUE (w->has_violation ("ROUTE label"));
  w->force_start (1, first_task (0, 1));
  EXPECT_TRUE (w->has_violation ("ROUTE per worker"));
}

TEST (QueueRules, AnotherTextIsSeen)
{
  auto w = world_with ("q1", world_body (world_step (1, 1000, 9)));

  w->force_start (1, first_task (), "ms=7");
  EXPECT_TRUE (w->has_violation ("UNASKED with another text"));
}

TEST (QueueRules, AStartOnADrainingWorkerIsSeen)
{
  auto w = world_with ("q1", world_body (world_step (1, 1000, 9)));

  w->drain_worker (1);
  w->run (drain_ms + 500);
  w->force_start (1, first_task ());
  EXPECT_TRUE (w->has_violation ("DRAIN"));
}

TEST (QueueRules, AGangWhoseRestNeverComesIsSeen)
{
  auto w = world_with ("q1",
                       world_body (world_step (2, 1000, 8, ",\"gang\":true"),
                                   "ms=1000 gang=2"),
                       1);

  w->force_start (0, first_task (), "ms=1000 gang=2");
  w->run (4000);
  EXPECT_TRUE (w->has_violation ("GANG"));
}

TEST (QueueRules, AGuaranteeThatIsNotHadIsSeen)
{
  auto w =
      world_with ("q0", world_body (world_step (2, 1000, 8, ",\"gang\":true")),
                  1);

  w->run (reclaim_ms - 500);
  EXPECT_FALSE (w->has_violation ("RECLAIM"));
  w->run (1000);
  EXPECT_TRUE (w->has_violation ("RECLAIM"));
}

TEST (QueueRules, AJobThatIsCompletedTooEarlyAndAForgottenOneAreSeen)
{
  auto w = world_with ("q1", world_body (world_step (1, 1000, 9)));

  w->forge_completed (id);
  w->run (1000);
  w->state (1, id);
  w->run (500);
  EXPECT_TRUE (w->has_violation ("MIXED"));
  /* In a world of its own: a host need not ask again for a final state. */
  w = world_with ("q1", world_body (world_step (1, 1000, 9)));
  w->forge_deletion (id);
  w->run (visible_ms);
  w->state (1 - w->scheduler (), id);
  w->run (500);
  EXPECT_TRUE (w->has_violation ("LOST"));
}
