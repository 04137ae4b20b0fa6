#include "queue_world.h"

#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "reserve.h"
}

/* Room that is kept for urgent work while other work floods the fleet. */

TEST (QueueReserve, GrowsWithWhatComesAndIsForgotten)
{
  Reserve r = {};

  EXPECT_EQ (reserve_size (&r, 0, 100), 0.0);
  for (ClockMs t = 0; t < 20000; t += 100)
    reserve_record_demand (&r, t, 0.5);
  /* Five workers' worth comes in a second. */
  EXPECT_GT (reserve_size (&r, 20000, 1000), 5.0);
  EXPECT_LT (reserve_size (&r, 20000, 1000), 25.0);
  EXPECT_LT (reserve_size (&r, 50000, 1000), 0.1);
}

TEST (QueueReserve, LeavesMostOfTheFleetToOthers)
{
  Reserve r = {};

  for (ClockMs t = 0; t < 20000; t += 10)
    reserve_record_demand (&r, t, 10.0);
  EXPECT_LE (reserve_size (&r, 20000, 100), 50.0);
}

TEST (QueueReserve, TheScarcestAmountDecidesWhatIsFree)
{
  const PoolResources whole = { 64000, 256000, 8 };
  const PoolResources room = { 32000, 256000, 2 };
  const PoolResources overdrawn = { -1000, 256000, 8 };
  const PoolResources cores_only = { 64000, 256000, 0 };

  EXPECT_DOUBLE_EQ (reserve_free_fraction (&room, &whole), 0.25);
  EXPECT_DOUBLE_EQ (reserve_free_fraction (&overdrawn, &whole), 0.0);
  EXPECT_DOUBLE_EQ (reserve_free_fraction (&cores_only, &cores_only), 1.0);
  EXPECT_DOUBLE_EQ (reserve_need_fraction (&room, &whole), 1.0);
}

/* What callers get of urgent gangs, one each half second for 30 seconds, while
   three times as much other work as fits is waiting. */
struct Flood
{
  std::vector<ClockMs> waits; /* of urgent gangs, until their first start */
  int stops = 0;
  int others = 0; /* jobs of the flood that were completed */
};

static ClockMs
age_in (const std::string &line)
{
  return atoll (line.c_str () + line.find ("age_ms=") + 7);
}

static Flood
flood ()
{
  QueueWorld w (3, 24);
  Flood f;
  int n = 0;

  w.run (3000);
  for (int i = 0; i < 60; i++)
    {
      for (int k = 0; k < 2; k++)
        w.submit (k, { "q2/f" + std::to_string (1000 + ++n),
                       world_body (world_step (45, 5000, 1), "ms=3000") });
      w.run (150);
      w.submit (2, { "q0/a" + std::to_string (1000 + i),
                     world_body (world_step (3, 5000, 4, ",\"gang\":true"),
                                 "ms=1000 gang=3") });
      w.run (350);
    }
  w.run (3000);
  for (auto &line : w.lines)
    {
      if (line.find ("event=start ") != std::string::npos &&
          line.find ("priority=0") != std::string::npos)
        f.waits.push_back (age_in (line));
      f.stops += line.find ("event=stop ") != std::string::npos;
      f.others += line.find ("event=job_completed job=f") != std::string::npos;
    }
  std::sort (f.waits.begin (), f.waits.end ());
  EXPECT_TRUE (w.violations.empty ()) << w.violations[0];
  return f;
}

/* Nearly all urgent gangs begin without waiting for others to be stopped, and
   the others keep most of the fleet: they are never stopped in vain. */
TEST (QueueReserve, UrgentGangsBeginAtOnceInAFlood)
{
  Flood f = flood ();

  ASSERT_GE (f.waits.size (), 60u);
  EXPECT_LE (f.waits[f.waits.size () * 8 / 10], 50);
  EXPECT_LE (f.stops, 60);
  EXPECT_GE (f.others, 20);
}
