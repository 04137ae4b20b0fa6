#include "intake_state.h"

/* The answers to callers, and the log lines about them. */

/* Part of an evacuation's expected rest after which a refused caller returns.
 */
static const double min_retry_factor = 0.75;
static const double max_retry_factor = 1.25;

/* Queues A as the answer to REQUEST. */
void
intake_answer (Intake *in, gint64 request, const Answer *a)
{
  Answer full = *a;

  full.request = request;
  effects_answer (in->fx, &full);
}

/* Answers REQUEST with the error STATUS, for the reason WHY, a literal. */
void
intake_refuse (Intake *in, gint64 request, int status, const char *why)
{
  in->counters[status == HTTP_BAD_REQUEST ? INTAKE_INVALID : INTAKE_REFUSED]++;
  intake_answer (in, request,
                 &(Answer) { .status = status,
                             .body = ANSWER_ERROR,
                             .text = why });
}

/* Refuses REQUEST, for which nothing has been stored, with status 503 and a
   Retry-After of AFTER milliseconds. */
void
intake_refuse_temporarily (Intake *in,
                           gint64 request,
                           ClockMs after,
                           const char *why)
{
  in->counters[INTAKE_REFUSED]++;
  intake_answer (in, request,
                 &(Answer) { .status = HTTP_UNAVAILABLE,
                             .body = ANSWER_ERROR,
                             .text = why,
                             .may_retry = TRUE,
                             .retry_after = after });
}

/* Refuses P, whose job is not stored and can't be in time as all domains are
   evacuated.  Callers come back spread over half of the time that this is
   expected to last. */
void
intake_refuse_evacuated (Intake *in, Pending *p)
{
  double factor =
      g_rand_double_range (in->rng, min_retry_factor, max_retry_factor);

  in->counters[INTAKE_REFUSED_EVACUATED]++;
  intake_log_outcome (in, p, "request_refused", HTTP_UNAVAILABLE);
  effects_log_detail (
      in->fx, "event=evacuation_refused job=%s expected_ms=%" CLOCK_MS_FORMAT,
      p->job_id, p->evacuated_for);
  intake_refuse_temporarily (in, p->request_id,
                             (ClockMs)((double)p->evacuated_for * factor),
                             "all failure domains are evacuated");
  intake_pending_free (in, p);
}

/* Answers REQUEST with the state of ENTRY's job. */
void
intake_answer_state (Intake *in, gint64 request, const JobEntry *entry)
{
  intake_answer (in, request,
                 &(Answer) { .status = HTTP_OK,
                             .body = ANSWER_STATE,
                             .text =
                                 spec_state_name (job_cache_state (entry)) });
}

/* Logs EVENT, what became of P, which is answered with STATUS. */
void
intake_log_outcome (Intake *in, const Pending *p, const char *event, int status)
{
  effects_log (in->fx,
               "event=%s job=%s workspace=%s status=%d conf=%" G_GINT64_FORMAT
               " conf_age_ms=%" CLOCK_MS_FORMAT " tries=%u",
               event, p->job_id, p->workspace ? p->workspace : "", status,
               in->conf ? in->conf->version : 0, p->conf_age, p->attempts);
}

/* Answers P with STATUS and an empty body, and frees it. */
void
intake_finish (Intake *in, Pending *p, int status)
{
  intake_answer (in, p->request_id, &(Answer) { .status = status });
  intake_pending_free (in, p);
}
