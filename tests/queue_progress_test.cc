#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "progress.h"
}

/* The progress records of jobs, and what the store makes of them. */

static const char waiting_id[] = "0000000000000701";
static const char recurring_id[] = "0000000000000702";
static const char lasting_id[] = "0000000000000703";

static std::string
progress_key (const std::string &id)
{
  return "wagtailpass/job/" + id + "/progress";
}

/* Starts two hosts once the store takes values of MAX_VALUE bytes only, which
   they know if IS_KNOWN. */
static void
start_hosts (QueueWorld &w, gsize max_value, bool is_known)
{
  w.max_store_value = max_value;
  w.store_value_is_known = is_known;
  w.hosts.resize (2);
  w.start_host (0);
  w.start_host (1);
  w.run (3000);
}

static std::string
step_on (const std::string &rack, int count, const std::string &extra = "")
{
  return world_step (count, 1000, 0,
                     ",\"requiredLabel\":\"" + rack + "\"" + extra);
}

/* Submits a job of which 20 tasks with checkpoints of 400 bytes wait for the
   only worker of rack r1, which has crashed, and others end on rack r0. */
static void
make_checkpoints_wait (QueueWorld &w)
{
  w.workers[4].checkpoint = std::string (400, 'c');
  w.submit (0, { std::string ("q1/") + waiting_id,
                 world_body (step_on ("r1", 20, ",\"checkpointing\":true") +
                                 "," + step_on ("r0", 1),
                             "ms=9000") });
  w.run (2000);
  ASSERT_EQ (w.workers[4].runs.size (), 20u);
  w.remove_worker (4);
  w.run (12000);
}

/* Submits ten jobs of one task each to rack r0 and waits until they have
   ended. */
static void
expect_other_jobs_end (QueueWorld &w)
{
  for (int i = 0; i < 10; i++)
    w.submit (0, { "q1/000000000000080" + std::to_string (i),
                   world_body (step_on ("r0", 1), "ms=300") });
  w.run (6000);
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (w.workers[i].unacked_ends.empty ()) << i;
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (w.state_of ("000000000000080" + std::to_string (i)),
               "completed");
}

TEST (QueueProgress, CheckpointsBeyondWhatTheStoreTakesAreLeftOut)
{
  QueueWorld w (0, 5);

  start_hosts (w, 4000, true);
  make_checkpoints_wait (w);
  std::string stored = w.record (progress_key (waiting_id));
  EXPECT_GT (stored.size (), 3500u);
  EXPECT_EQ (w.n_refused_values, 0);
  EXPECT_EQ (w.count_lines ("event=checkpoints_left_out"), 1);
  expect_other_jobs_end (w);
  w.put_worker (4);
  w.workers[4].alive = true;
  w.run (30000);
  EXPECT_EQ (w.state_of (waiting_id), "completed");
  w.expect_no_violations ();
}

TEST (QueueProgress, RecordLongerThanTheStoreTakesHoldsUpNoOtherJob)
{
  QueueWorld w (0, 5);

  start_hosts (w, 4000, false);
  make_checkpoints_wait (w);
  EXPECT_GT (w.n_refused_values, 0);
  expect_other_jobs_end (w);
  EXPECT_GT (w.record (progress_key (waiting_id)).size (), 1000u);
  EXPECT_GT (w.count_lines ("event=progress_refused"), 0);
  w.expect_no_violations ();
}

TEST (QueueProgress, JobsOfARefusedTransactionAreWrittenApart)
{
  QueueWorld w (0, 5);

  start_hosts (w, 4000, false);
  for (int i = 0; i < 5; i++)
    w.submit (0, { "q1/000000000000085" + std::to_string (i),
                   world_body (step_on ("r0", 1), "ms=9000") });
  make_checkpoints_wait (w);
  int n = w.count_lines ("event=progress_refused");
  EXPECT_EQ (w.count_lines ("event=progress_refused job=" +
                            std::string (waiting_id)),
             n);
  EXPECT_GT (w.n_refused_values, n);
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (w.state_of ("000000000000085" + std::to_string (i)),
               "completed");
  w.expect_no_violations ();
}

/* Nothing of this record may be left out. */
TEST (QueueProgress, RecordThatNeverFitsHoldsUpNoOtherJob)
{
  QueueWorld w (0, 5);
  std::string body = world_body (step_on ("r1", 1), "ms=50");

  start_hosts (w, 800, true);
  body.insert (body.size () - 1,
               ",\"runCount\":400,\"intervalMs\":50,\"firstRunMs\":" +
                   std::to_string (w.wall ()));
  w.submit (0, { std::string ("q1/") + recurring_id, body });
  w.run (9000);
  EXPECT_GT (w.n_refused_values, 0);
  EXPECT_FALSE (w.workers[4].unacked_ends.empty ());
  expect_other_jobs_end (w);
  EXPECT_LT (w.n_refused_values, 20);
  w.run (30000);
  EXPECT_EQ (w.state_of (recurring_id), "completed");
  EXPECT_TRUE (w.workers[4].unacked_ends.empty ());
  w.expect_no_violations ();
}

/* The successor knows only what is stored and what workers list. */
TEST (QueueProgress, EndsOfARefusedRecordAreNotLostWithTheScheduler)
{
  QueueWorld w (0, 5);
  std::string body = world_body (step_on ("r1", 1), "ms=50");

  start_hosts (w, 800, true);
  body.insert (body.size () - 1,
               ",\"runCount\":200,\"intervalMs\":50,\"firstRunMs\":" +
                   std::to_string (w.wall ()));
  w.submit (0, { std::string ("q1/") + recurring_id, body });
  w.run (8000);
  EXPECT_GT (w.n_refused_values, 0);
  w.kill_host (w.scheduler ());
  w.run (40000);
  EXPECT_EQ (w.state_of (recurring_id), "completed");
  w.expect_no_violations ();
}

TEST (QueueProgress, FailuresOfALastingTaskDoNotGrowItsRecord)
{
  QueueWorld w (2, 5);

  w.run (3000);
  w.submit (0, { std::string ("q0/") + lasting_id,
                 world_body (world_step (1, 1000, 0, ",\"perpetual\":true"),
                             "ms=20 fail") });
  w.run (20000);
  EXPECT_GT (w.starts (std::string (lasting_id) + ".0.0.0"), 20);
  EXPECT_LT (w.record (progress_key (lasting_id)).size (), 40u);
  w.expect_no_violations ();
}

/* A job of two steps with three checkpointing tasks each, the second of which
   has ten times the work of the first. */
class QueueProgressRecord : public testing::Test
{
protected:
  QueueProgressRecord ()
  {
    spec_ = (SpecJob *)rec_new (spec_job_desc ());
    rec_set_str (&spec_->id, waiting_id);
    spec_->attempts = 3;
    for (int i = 0; i < 2; i++)
      {
        auto *step =
            (SpecStep *)rec_list_add (spec_step_desc (), &spec_->steps);

        step->count = 3;
        step->cpu_milli = 1000;
        step->estimate_ms = i ? 10000 : 1000;
        step->checkpointing = 1;
      }
    entry_.id = (char *)waiting_id;
    entry_.job = spec_;
    job_ = work_job_new (&entry_, 0, 0);
    for (guint step = 0; step < 2; step++)
      for (guint i = 0; i < 3; i++)
        work_task_set_checkpoint (task (step, i),
                                  std::string (100, 'c').c_str ());
  }

  ~QueueProgressRecord ()
  {
    work_job_free (job_);
    rec_free (spec_job_desc (), spec_);
  }

  WorkTask *
  task (guint step, guint i)
  {
    return &work_job_step (job_, 0, step)->tasks[i];
  }

  /* Returns the tasks whose checkpoints a record of MAX_BYTES keeps, such as
     "0.1 1.2", and expects that it fits. */
  std::string
  kept (gsize max_bytes)
  {
    guint n_left_out;
    GBytes *packed = progress_pack (job_, 0, max_bytes, &n_left_out);
    auto *p = (Progress *)spec_unpack (progress_desc (), packed);
    std::string list;

    EXPECT_LE (g_bytes_get_size (packed), max_bytes);
    for (guint i = 0; i < p->tasks.n; i++)
      {
        auto *t =
            (ProgressTask *)rec_list_at (progress_task_desc (), &p->tasks, i);

        if (*t->checkpoint)
          list += (list.empty () ? "" : " ") + std::to_string (t->step) + "." +
                  std::to_string (t->index);
      }
    EXPECT_EQ (n_left_out + p->tasks.n, 6u);
    rec_free (progress_desc (), p);
    g_bytes_unref (packed);
    return list;
  }

  SpecJob *spec_;
  JobEntry entry_ = {};
  WorkJob *job_;
};

TEST_F (QueueProgressRecord, AllIsKeptThatFits)
{
  EXPECT_EQ (kept (10000), "0.0 0.1 0.2 1.0 1.1 1.2");
}

TEST_F (QueueProgressRecord, CheckpointsThatSaveTheMostWorkAreKept)
{
  EXPECT_EQ (kept (500), "0.0 1.0 1.1 1.2");
  task (0, 2)->checkpoint_percent = 90;
  EXPECT_EQ (kept (500), "0.2 1.0 1.1 1.2");
  task (1, 1)->checkpoint_percent = 5;
  EXPECT_EQ (kept (350), "0.2 1.0 1.2");
  EXPECT_EQ (kept (20), "");
}

TEST_F (QueueProgressRecord, EndsAreNeverLeftOut)
{
  work_task_set_done (task (0, 1));
  work_task_add_failure (task (1, 0), 7);
  work_task_add_failure (task (1, 0), 9);
  guint n_left_out;
  GBytes *packed = progress_pack (job_, 0, 1, &n_left_out);
  auto *p = (Progress *)spec_unpack (progress_desc (), packed);

  ASSERT_EQ (p->steps.n, 1u);
  ASSERT_EQ (p->tasks.n, 1u);
  auto *t = (ProgressTask *)rec_list_at (progress_task_desc (), &p->tasks, 0);
  EXPECT_EQ (t->failed.n, 2u);
  EXPECT_STREQ (t->checkpoint, "");
  rec_free (progress_desc (), p);
  g_bytes_unref (packed);
}
