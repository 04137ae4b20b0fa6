#include "queue_world.h"

#include <gtest/gtest.h>

/* What callers get at hosts that the store turns away, or that it does not
   answer, while it serves the others. */

namespace
{
const ClockMs patience = 3000;
const ClockMs to_other_host = 20; /* a caller's way to the next host */
const int most_tries = 5;

/* A caller that hands one job in, at one host after the other. */
class Caller
{
public:
  Caller (QueueWorld &w, int host, const std::string &id)
      : world (w), id (id), host (host), began (w.now ())
  {
  }

  void
  step ()
  {
    if (accepted >= 0 || tries > most_tries || world.now () < next)
      return;
    const WorldAnswer *a = request ? world.answer (request) : nullptr;
    if (request && !a)
      return;
    if (a && a->status == 200)
      accepted = world.now () - began;
    else if (a)
      come_back (*a);
    else
      send ();
  }

  ClockMs accepted = -1; /* after so long */
  int tries = 0;

private:
  void
  send ()
  {
    WorldJob job = { "q0/" + id, world_body (world_step (1, 1000, 1)) };

    job.patience = began + patience - world.now ();
    tries++;
    if (job.patience > 0)
      request = world.submit (host, job);
  }

  void
  come_back (const WorldAnswer &a)
  {
    next = world.now () + (a.retry ? a.retry_after : 0) + to_other_host;
    host = (host + 1) % (int)world.hosts.size ();
    request = 0;
  }

  QueueWorld &world;
  std::string id;
  int host;
  ClockMs began;
  ClockMs next = 0;
  int request = 0;
};

/* Has N callers come to HOST, one each 50 ms, and serves them to the end. */
std::vector<Caller>
play (QueueWorld &w, int host, int n)
{
  std::vector<Caller> callers;
  const ClockMs gap = 50;

  callers.reserve (n);
  for (ClockMs t = 0; t < n * gap + patience; t += 10)
    {
      if (t % gap == 0 && (int)callers.size () < n)
        callers.emplace_back (w, host, std::to_string (7000 + t));
      for (auto &c : callers)
        c.step ();
      w.run (10);
    }
  return callers;
}

void
expect_accepted_within (const std::vector<Caller> &callers, ClockMs most)
{
  for (const Caller &c : callers)
    {
      EXPECT_GE (c.accepted, 0);
      EXPECT_LE (c.accepted, most);
    }
}
}

/* The store turns one host away for three seconds, or with SILENT does not
   answer it: its callers are accepted within MOST. */
static void
expect_sent_on (bool silent, ClockMs most)
{
  QueueWorld w (3, 8);

  w.run (3000);
  int host = (w.scheduler () + 1) % 3;
  WorldHost &h = w.hosts[host];
  (silent ? h.store_silent_until : h.store_cut_until) = w.now () + 3000;
  expect_accepted_within (play (w, host, 40), most);
  w.expect_kept ();
}

/* A caller can wait for half a second and still have an urgent job done in
   time. */
TEST (QueuePatience, RefusedHostSendsItsCallersToOthers)
{
  expect_sent_on (false, 500);
}

TEST (QueuePatience, UnansweredHostSendsItsCallersToOthers)
{
  expect_sent_on (true, 800);
}

/* Where only some answers are lost, the host itself asks again: its callers
   need not go elsewhere. */
TEST (QueuePatience, HostThatHearsOtherAnswersTriesAgain)
{
  QueueWorld w (3, 8);
  int tries = 0;

  w.run (3000);
  int host = (w.scheduler () + 1) % 3;
  w.store_lost_share = 0.25;
  auto callers = play (w, host, 40);
  for (const Caller &c : callers)
    tries += c.tries;
  expect_accepted_within (callers, patience);
  EXPECT_LE (tries, 44);
  w.store_lost_share = 0;
  w.expect_kept ();
}

/* While the store is away for all, callers don't spend their tries at once. */
TEST (QueuePatience, CallersOutlastAStoreThatIsAway)
{
  for (bool silent : { false, true })
    {
      QueueWorld w (3, 8);

      w.run (3000);
      for (auto &h : w.hosts)
        (silent ? h.store_silent_until : h.store_cut_until) = w.now () + 1900;
      expect_accepted_within (play (w, 0, 1), patience);
      w.run (3000);
      w.expect_kept ();
    }
}

TEST (QueuePatience, LittleTimeIsUsed)
{
  QueueWorld w (3, 8, 1, { .rate = 1000000 });
  WorldJob job = { "q0/7001", world_body (world_step (1, 1000, 1)) };

  w.run (3000);
  job.patience = 120;
  int r = w.submit (0, job);
  w.run (120);
  ASSERT_TRUE (w.answer (r));
  EXPECT_EQ (w.answer (r)->status, 200);
}

/* Nothing is stored for a caller that can't wait for the answer. */
TEST (QueuePatience, NoTimeIsARefusal)
{
  QueueWorld w (3, 8);
  WorldJob job = { "q0/7002", world_body (world_step (1, 1000, 1)) };

  w.run (3000);
  job.patience = 10;
  int r = w.submit (0, job);
  w.run (500);
  ASSERT_TRUE (w.answer (r));
  EXPECT_EQ (w.answer (r)->status, 503);
  EXPECT_EQ (w.n_keys ("wagtailpass/job/7002"), 0);
}

/* New callers are kept from a host that does not reach the store, whether it
   is turned away or hears nothing, and come again when it does. */
TEST (QueuePatience, HostWithoutTheStoreIsNotReady)
{
  for (bool silent : { false, true })
    {
      QueueWorld w (3, 4);

      w.run (3000);
      ClockMs back = w.now () + 6000;
      (silent ? w.hosts[0].store_silent_until : w.hosts[0].store_cut_until) =
          back;
      w.run (silent ? 3600 : 1600);
      EXPECT_FALSE (node_is_ready (w.hosts[0].node));
      EXPECT_TRUE (node_is_ready (w.hosts[1].node));
      w.run (back - w.now () + 1000);
      EXPECT_TRUE (node_is_ready (w.hosts[0].node));
    }
}

/* Lost answers to writes alone are no lost store. */
TEST (QueuePatience, HostWithLostAnswersStaysReady)
{
  QueueWorld w (3, 8);

  w.run (3000);
  w.store_lost_share = 0.3;
  for (int i = 0; i < 40; i++)
    {
      w.submit (i % 3, { "q1/" + std::to_string (8000 + i),
                         world_body (world_step (1, 1000, 1)) });
      w.run (100);
      for (const WorldHost &h : w.hosts)
        EXPECT_TRUE (node_is_ready (h.node));
    }
  w.store_lost_share = 0;
  w.run (20000);
  w.expect_kept ();
}
