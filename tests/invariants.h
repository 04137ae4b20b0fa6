#ifndef INVARIANTS_H
#define INVARIANTS_H

#include "fixture.h"

/* One function a promise.  Each returns what breaks it, or nothing. */
namespace invariants
{

using Check = std::string (World &w);

Check gang_runs_whole;
Check no_accelerator_leased_twice;
Check answers_reach_their_own_caller;
Check not_run_did_not_run;
Check requests_run_at_most_once;
Check jobs_run_at_most_once;
Check accepted_jobs_are_kept;
Check leaving_upstreams_get_nothing;
Check shutdown_cuts_off_nothing;
Check table_revision_never_falls;

/* How long a part may run on while another one of its gang has ended. */
inline ClockMs gang_bound = 65000;

/* Runs every check after every event of W; the first break fails the
   test. */
void watch (World &w);

} // namespace invariants

#endif
