#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include "fixture.h"

#include <gtest/gtest.h>

/* A domain with hosts h0.., workers w0.. in racks of 8, and the invariants
   of jobs, checked after every event. */
class JobWorld : public World
{
public:
  JobWorld (guint32 seed, int hosts, int workers, int accelerators = 8);

  CallerJob job_of (int parts, int accelerators, ClockMs run_ms);
  gint64 submit (CallerJob q, const std::string &host = "");
  std::string accepted (gint64 conn, ClockMs span = 5000);
  std::string submit_wait (CallerJob q, const std::string &host = "");
  std::string record (const std::string &id); /* the store's, "" for none */
  std::string state (const std::string &id);
  bool
  wait_state (const std::string &id, const std::string &state, ClockMs span);
  std::string scheduler (); /* the host with the highest held term, or "" */
  bool wait_scheduler (ClockMs span);
  int starts (const std::string &id); /* runs in which any part started */
  int live_leases ();

  /* What the invariants learn. */
  std::set<std::string> must_run_once;           /* ids */
  std::set<std::string> known;                   /* accepted ids */
  std::map<std::string, std::set<int> > started; /* id to runs */
  std::map<std::pair<std::string, int>, ClockMs> partial_since;
  ClockMs partial_bound = 75000;

private:
  void check_accelerators ();
  void check_gangs ();
  std::map<std::string, int> parts;
};

#endif
