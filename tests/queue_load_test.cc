#include "queue_world.h"

#include <gtest/gtest.h>

/* Load near what the processor of the scheduler's host can do: what callers of
   urgent jobs get. */

static const int n_hosts = 3;
static const int n_workers = 110;
static const int length_s = 30;

/* The share of what is owed that a day has to earn for a kind of job. */
static const double floor_share = 0.46;

/* Credits of an urgent job, by when it is completed. */
static const ClockMs urgent_aim_ms = 4250; /* 1.5 x 2,500 + 500 */
static const double late_credit = 0.2;
static const int late_factor = 3;

/* Milliseconds that the processor of a host that is a tenth of a large site's,
   with a tenth of its workers, takes. */
static WorldProcessor
tenth_of_a_site (double slowness)
{
  return { .call = 1.5 * slowness,
           .reply = 1.5 * slowness,
           .connection = 3.0 * slowness,
           .pass = (ClockMs)(4 * slowness) };
}

static std::string
id_of (int kind, int n)
{
  char id[17];

  g_snprintf (id, sizeof id, "%08x%08x", kind + 1, n);
  return id;
}

static std::string
gang (int tasks, int cpu, int gpu, int ms)
{
  return world_body (
      world_step (tasks, cpu, gpu,
                  ",\"gang\":true,\"estimateMs\":" + std::to_string (ms)),
      "ms=" + std::to_string (ms) + " gang=" + std::to_string (tasks));
}

/* Submits the jobs of second S: urgent gangs, larger gangs and wide batches. */
static void
submit_second (QueueWorld &w, int s, std::vector<std::string> *urgent)
{
  for (int i = 0; i < 2; i++)
    {
      urgent->push_back (id_of (0, 10 * s + i));
      w.submit (1 + i % 2,
                { "q0/" + urgent->back (), gang (8, 7500, 2, 2500) });
      w.run (300);
    }
  if (s % 3 == 0)
    w.submit (1, { "q1/" + id_of (1, s), gang (26, 26000, 4, 11000) });
  w.run (200);
  if (s % 3 == 1)
    w.submit (2, { "q2/" + id_of (2, s),
                   world_body (world_step (78, 5600, 1, ",\"estimateMs\":9500"),
                               "ms=9500") });
  w.run (200);
}

/* Returns the time from the acceptance to the completion of job ID in ms, or -1
   if the logs have none. */
static ClockMs
completion_ms (const QueueWorld &w, const std::string &id)
{
  for (const std::string &line : w.lines)
    {
      size_t at = line.find ("event=job_completed job=" + id);

      if (at != std::string::npos)
        return atoi (line.c_str () + line.find ("age_ms=", at) + 7);
    }
  return -1;
}

static double
credit (ClockMs ms)
{
  if (ms < 0 || ms > late_factor * urgent_aim_ms)
    return 0;
  return ms <= urgent_aim_ms ? 1 : late_credit;
}

/* Plays the load on hosts SLOWNESS times as slow, and crashes a sixth of the
   workers in its middle.  Returns the share earned for the urgent jobs. */
static double
play (double slowness, int *n_role_changes)
{
  QueueWorld w (n_hosts, n_workers);
  std::vector<std::string> urgent;
  double earned = 0;

  w.processor = tenth_of_a_site (slowness);
  w.run (5000);
  for (int s = 0; s < length_s; s++)
    {
      if (s == length_s / 3)
        for (int i = 0; i < n_workers; i += 6)
          {
            w.crash_worker (i, false);
            w.reset_polls (i);
          }
      submit_second (w, s, &urgent);
    }
  w.run (late_factor * urgent_aim_ms);
  w.expect_no_violations ();
  *n_role_changes = w.count_lines ("event=role_taken") - 1;
  for (const std::string &id : urgent)
    earned += credit (completion_ms (w, id));
  return earned / (double)urgent.size ();
}

class QueueLoad : public ::testing::TestWithParam<double>
{
};

/* After a crash of workers the scheduler made a connection for each call, and
   its host had no time for anything else. */
TEST_P (QueueLoad, UrgentJobsAreServedWhenWorkersCrash)
{
  int n_role_changes;
  double share = play (GetParam (), &n_role_changes);

  RecordProperty ("share", std::to_string (share));
  EXPECT_GE (share, floor_share);
  EXPECT_EQ (n_role_changes, 0);
}

INSTANTIATE_TEST_SUITE_P (Slowness,
                          QueueLoad,
                          ::testing::Values (1.0, 1.5, 2.5));

/* A worker was asked again at once for ends that it had just listed, before
   they could be acknowledged. */
TEST (QueueLoadCalls, EndsAreNotAskedForAgainBeforeTheyAreSaved)
{
  QueueWorld w (1, 1);

  w.run (3000);
  w.submit (0, { "q1/0000000000000001",
                 world_body (world_step (1, 1000, 1), "ms=3000") });
  w.run (2900);
  int before = w.n_polls;
  w.run (500);
  EXPECT_EQ (w.state_of ("0000000000000001"), "completed");
  /* The one that acknowledges the end. */
  EXPECT_LE (w.n_polls - before, 1);
  w.expect_no_violations ();
}
