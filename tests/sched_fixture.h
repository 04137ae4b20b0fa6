#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include "invariants.h"

#include <gtest/gtest.h>

/* Returns the call to a worker that E is, or NULL. */
const WorkerCall *worker_call (const Event &e);

/* A domain with hosts h0.., workers w0.. in racks of 4 under leases of 9 s,
   and the invariants of jobs, checked after every event. */
class JobWorld : public World
{
public:
  /* KEPT: the store never loses a record, and that is checked too. */
  JobWorld (guint32 seed,
            int hosts,
            int workers,
            int accelerators = 8,
            bool kept = true);

  CallerJob job_of (int parts, int accelerators, ClockMs run_ms);
  /* A job that must not be repeated, with whole workers. */
  CallerJob once_job (int parts, ClockMs run_ms);
  gint64 submit (CallerJob q, const std::string &host = "");
  std::string accepted (gint64 conn, ClockMs span = 5000);
  std::string submit_wait (CallerJob q, const std::string &host = "");
  std::string record (const std::string &id); /* the store's, "" for none */
  std::string state (const std::string &id);
  bool
  wait_state (const std::string &id, const std::string &state, ClockMs span);
  std::string scheduler (); /* the host with the highest held term, or "" */
  bool wait_scheduler (ClockMs span);
  std::string story ();
  int live_leases ();
  bool quiet (ClockMs span); /* all accepted jobs end, no lease is left */

  ClockMs partial_bound = 16000;
  std::vector<std::string> accepted_ids;

private:
  void check_gangs ();
  std::map<std::string, int> parts;
  std::map<std::pair<std::string, int>, ClockMs> partial_since;
};

#endif
