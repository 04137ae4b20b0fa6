#include "queue_world.h"

#include <gtest/gtest.h>

/* Load near what the processor of the scheduler's host can do: what callers of
   urgent jobs get. */

static const int n_hosts = 3;
static const int n_workers = 110;
static const int length_s = 30;

/* The share of what is owed that a day has to earn for a kind of job. */
static const double floor_share = 0.46;

/* What a kind of job earns by when it is completed: 1 until AIM, LATE_CREDIT
   until three times as long. */
struct Kind
{
  ClockMs aim;
  double late_credit;
};

static const Kind kinds[] = {
  { 4250, 0.2 },  /* urgent: 1.5 x 2,500 + 500 */
  { 34200, 0.3 }, /* 3 x 11,000 + 1,200 */
  { 31500, 0.3 }, /* 3 x 9,500 + 3,000 */
};
static const int n_kinds = 3;
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

/* The ids of the jobs that were submitted, by kind. */
typedef std::vector<std::string> Ids[n_kinds];

/* Returns the path of the next job of KIND, whose id it adds to IDS. */
static std::string
next_path (Ids &ids, int kind)
{
  ids[kind].push_back (id_of (kind, (int)ids[kind].size ()));
  return "q" + std::to_string (kind) + "/" + ids[kind].back ();
}

/* Submits the jobs of second S: urgent gangs, larger gangs and wide batches. */
static void
submit_second (QueueWorld &w, int s, Ids &ids)
{
  for (int i = 0; i < 2; i++)
    {
      w.submit (1 + i % 2, { next_path (ids, 0), gang (8, 7500, 2, 2500) });
      w.run (300);
    }
  if (s % 3 == 0)
    w.submit (1, { next_path (ids, 1), gang (26, 26000, 4, 11000) });
  w.run (200);
  if (s % 3 == 1)
    w.submit (2, { next_path (ids, 2),
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
credit (const Kind &kind, ClockMs ms)
{
  if (ms < 0 || ms > late_factor * kind.aim)
    return 0;
  return ms <= kind.aim ? 1 : kind.late_credit;
}

struct Day
{
  double shares[n_kinds] = {}; /* earned of what is owed, by kind */
  int n_role_changes = 0;
};

/* Plays the load on hosts SLOWNESS times as slow, and crashes a sixth of the
   workers in its middle. */
static Day
play (double slowness)
{
  QueueWorld w (n_hosts, n_workers);
  Ids ids;
  Day day;

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
      submit_second (w, s, ids);
    }
  w.run (late_factor * kinds[1].aim);
  w.expect_no_violations ();
  day.n_role_changes = w.count_lines ("event=role_taken") - 1;
  for (int k = 0; k < n_kinds; k++)
    for (const std::string &id : ids[k])
      day.shares[k] +=
          credit (kinds[k], completion_ms (w, id)) / (double)ids[k].size ();
  return day;
}

class QueueLoad : public ::testing::TestWithParam<double>
{
};

/* After a crash of workers the scheduler made a connection for each call, and
   its host had no time for anything else. */
TEST_P (QueueLoad, UrgentJobsAreServedWhenWorkersCrash)
{
  Day day = play (GetParam ());

  for (int k = 0; k < n_kinds; k++)
    EXPECT_GE (day.shares[k], floor_share) << "kind " << k;
  EXPECT_EQ (day.n_role_changes, 0);
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
