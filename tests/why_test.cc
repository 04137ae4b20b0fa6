#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "why.h"
}

/* The report on one job's history, compiled from the log lines of all
   hosts. */

static const char *const job_id = "00000000000000a1";

/* Returns the report on job_id from LOGS, one text of log lines per host. */
static std::string
report (std::initializer_list<const char *> logs)
{
  Why *w = why_new (job_id);

  for (const char *log : logs)
    why_read (w, log);
  char *text = why_report (w);
  std::string s = text;
  g_free (text);
  why_free (w);
  return s;
}

static bool
contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

/* Host h1 accepts the job; its second line is about another job and must not
   show up in the report. */
static const char *const log_with_acceptance =
    "ts=1000 host=h1 event=job_accepted job=00000000000000a1 workspace=a "
    "status=200 conf=7 conf_age_ms=12 tries=1\n"
    "ts=1001 host=h1 event=job_accepted job=00000000000000b2 status=200\n";

TEST (Why, LinesOfAllHostsAreMergedByTime)
{
  std::string s = report (
      { "ts=2500 host=h2 event=job_completed job=00000000000000a1 age_ms=1500 "
        "objective_ms=4000\n"
        "ts=1040 host=h2 event=start job=00000000000000a1 step=0.0 tasks=2 "
        "age_ms=40\n"
        "ts=2400 host=h2 event=end task=00000000000000a1.0.0.1 worker=w1 "
        "how=done\n",
        log_with_acceptance });

  EXPECT_LT (s.find ("job_accepted"), s.find ("start "));
  EXPECT_LT (s.find ("start "), s.find ("end "));
  EXPECT_TRUE (contains (s, "accepted by h1 under configuration 7")) << s;
  EXPECT_TRUE (contains (s, "first started 40 ms after acceptance")) << s;
  EXPECT_TRUE (
      contains (s, "completed after 1500 ms; its objective was 4000 ms\n"))
      << s;
  EXPECT_FALSE (contains (s, "b2")) << s;
}

/* A refusal is explained by the state of the refusing host: how often it asked
   the store and how old its configuration was. */
TEST (Why, RefusalShowsStoreAttemptsAndConfigurationAge)
{
  std::string s =
      report ({ "ts=900 host=h1 event=save_failed jobs=1 status=lost\n"
                "ts=1000 host=h3 event=request_refused job=00000000000000a1 "
                "workspace=a status=504 conf=7 conf_age_ms=900 tries=2\n" });

  EXPECT_TRUE (contains (s, "not accepted by any host"));
  EXPECT_TRUE (
      contains (s, "refused by h3 with status 504 after asking the store 2 "
                   "times; its configuration 7 was 900 ms old"))
      << s;
  EXPECT_TRUE (contains (s, "save_failed")) << s;
  EXPECT_TRUE (contains (s, "not over in these logs"));
}

/* Evictions, failed runs and changes of the scheduler explain why a job missed
   its objective; dropped log lines mean that the report may be incomplete. */
TEST (Why, CausesOfALateJobAreCounted)
{
  std::string s = report (
      { log_with_acceptance,
        "ts=1100 host=h2 event=start job=00000000000000a1 age_ms=100\n"
        "ts=1300 host=h2 event=stop job=00000000000000a1 task=0 worker=w1 "
        "reason=evicted\n"
        "ts=1400 host=h2 event=task_failed job=00000000000000a1 task=1\n"
        "ts=1500 host=h2 event=role_left reason=term_ended\n"
        "ts=1900 host=h3 event=role_taken fence=2 workers=4 jobs=2\n"
        "ts=2000 host=h3 event=lines_dropped n=17\n"
        "ts=9000 host=h3 event=job_completed job=00000000000000a1 age_ms=8000 "
        "objective_ms=4000\n" });

  EXPECT_TRUE (contains (s, "1 task(s) stopped for more urgent work")) << s;
  EXPECT_TRUE (contains (s, "1 run(s) failed")) << s;
  EXPECT_TRUE (contains (s, "1 change(s) of the scheduler meanwhile")) << s;
  EXPECT_TRUE (contains (s, "17 line(s) left out")) << s;
  EXPECT_TRUE (contains (s, "objective was 4000 ms: late")) << s;
}

/* Events of workers and hosts that the job's own lines don't name are omitted,
   and so are changes of the scheduler long before or after those lines. */
TEST (Why, EventsOfOtherWorkersHostsAndTimesAreOmitted)
{
  std::string s = report (
      { log_with_acceptance,
        "ts=1100 host=h2 event=end task=00000000000000a1.0.0.0 worker=w1 "
        "how=failed\n"
        "ts=1200 host=h2 event=quarantine worker=w1 failures=2\n"
        "ts=1200 host=h2 event=quarantine worker=w9 failures=2\n"
        "ts=1300 host=h7 event=started\n"
        "ts=99000 host=h2 event=role_taken fence=3\n" });

  EXPECT_TRUE (contains (s, "quarantine worker=w1")) << s;
  EXPECT_FALSE (contains (s, "w9")) << s;
  EXPECT_FALSE (contains (s, "role_taken")) << s;
  EXPECT_FALSE (contains (s, "h7")) << s;
}

/* A quoted value may contain spaces and "=".  Text before "ts=", such as a
   prefix added by a log collector, is ignored. */
TEST (Why, QuotedValuesAreReadAndMalformedLinesSkipped)
{
  std::string s = report (
      { "not a line of a host\nts=5 host=\nts=x event=\n"
        "  12.5 h1 ts=1000 host=h1 event=job_invalid job=00000000000000a1 "
        "reason=\"steps: is = missing\" conf=3\n" });

  EXPECT_TRUE (contains (s, "steps: is = missing")) << s;
  EXPECT_EQ (report ({ "" }), "no line names job 00000000000000a1\n");
}

TEST (Why, TheLongestHoldBesideFreeRoomIsNamed)
{
  std::string s = report (
      { "ts=1040 host=h2 event=delayed job=00000000000000a1 step=0.0 tasks=2 "
        "cause=trust for_ms=900 held_ms=1000\n"
        "ts=5040 host=h2 event=held job=00000000000000a1 step=0.0 "
        "cause=reserve held_ms=5000\n",
        log_with_acceptance });

  EXPECT_TRUE (contains (s, "held for 5000 ms beside free room by: reserve\n"))
      << s;
}

TEST (Why, EvacuationsAreShownWithWhatTheyDidToTheJob)
{
  std::string s = report (
      { log_with_acceptance,
        "ts=1100 host=h2 event=evacuation_seen domain=a revision=7 workers=9 "
        "known=1\n"
        "ts=1101 host=h2 event=withdrawn job=00000000000000a1 step=0.0 task=0 "
        "run=1 worker=w1 state=starting gang=0 reason=evacuation\n"
        "ts=3000 host=h2 event=delayed job=00000000000000a1 cause=evacuation "
        "for_ms=1800 held_ms=0\n"
        "ts=8000 host=h2 event=delayed job=00000000000000a1 cause=evacuation "
        "for_ms=6800 held_ms=0\n" });

  EXPECT_TRUE (contains (s, "evacuation_seen")) << s;
  EXPECT_TRUE (contains (s, "1 start(s) withdrawn from evacuated domains"))
      << s;
  EXPECT_TRUE (contains (
      s, "waited for 6800 ms for workers in evacuated domains: evacuation"))
      << s;
}
