#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "failure_spike.h"
}

/* An outbreak of workers that report well and fail whatever they start, long
   before its time.  Which they are shows only when something fails there, and
   a job has few attempts. */

namespace
{
const ClockMs outbreak_ms = 6000;
const ClockMs fails_after_ms = 90;

struct Submitted
{
  std::vector<std::string> urgent;
  std::vector<std::string> wide;
};

/* Every fifth worker fails all for OUTBREAK_MS, while urgent gangs of five and
   wide gangs of 16 come, whose tasks take a whole worker each. */
Submitted
play (QueueWorld &w)
{
  const std::string gang = ",\"gang\":true";
  Submitted s;

  for (ClockMs t = 0; t < 16000; t += 50)
    {
      bool sick = t >= 3000 && t < 3000 + outbreak_ms;

      for (size_t i = 0; i < w.workers.size (); i++)
        {
          w.workers[i].fails_all = sick && i % 5 == 2;
          w.workers[i].fails_after = fails_after_ms + (ClockMs)i;
        }
      if (t % 400 == 0)
        {
          s.urgent.push_back (std::to_string (910000 + t));
          w.submit (0, { "q0/" + s.urgent.back (),
                         world_body (world_step (5, 7000, 8, gang),
                                     "ms=1500 gang=5") });
        }
      if (t % 1600 == 0)
        {
          s.wide.push_back (std::to_string (970000 + t));
          w.submit (0, { "q1/" + s.wide.back (),
                         world_body (world_step (16, 16000, 8, gang),
                                     "ms=4000 gang=16") });
        }
      w.run (50);
    }
  w.run (30000);
  return s;
}
}

TEST (QueueGrey, NoJobIsLostToAnOutbreakOfFailures)
{
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      QueueWorld w (2, 100, seed);

      w.run (3000);
      Submitted s = play (w);
      for (const auto &id : s.urgent)
        EXPECT_EQ (w.state_of (id), "completed") << id << " seed " << seed;
      for (const auto &id : s.wide)
        EXPECT_EQ (w.state_of (id), "completed") << id << " seed " << seed;
      w.expect_no_violations ();
    }
}

/* Jobs that fail by themselves now and then are no outbreak. */
TEST (FailureSpike, IsToldFromUsualFailures)
{
  FailureSpike o {};

  for (ClockMs t = 0; t < 20000; t += 20)
    {
      failure_spike_record (&o, t, t % 400 == 0);
      ASSERT_EQ (failure_spike_since (&o), 0) << t;
    }
  for (ClockMs t = 20000; t < 24000; t += 20)
    failure_spike_record (&o, t, t % 60 == 0);
  EXPECT_GE (failure_spike_since (&o), 19000);
  EXPECT_LE (failure_spike_since (&o), 21000);
  for (ClockMs t = 24000; t < 40000; t += 20)
    failure_spike_record (&o, t, FALSE);
  EXPECT_EQ (failure_spike_since (&o), 0);
}

TEST (FailureSpike, NeedsMoreThanOneFailure)
{
  FailureSpike o {};

  failure_spike_record (&o, 1000, TRUE);
  EXPECT_EQ (failure_spike_since (&o), 0);
}
