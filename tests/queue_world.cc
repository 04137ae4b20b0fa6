#include "queue_world.h"

#include <cmath>
#include <gtest/gtest.h>

extern "C"
{
#include "json.h"
}

static const int max_attempts = 3; /* as put_conf sets it for each route */
static const ClockMs tick_ms = 5;
static const ClockMs frozen_retry_ms = 50;

std::string
world_step (int count, int cpu, int gpu, const std::string &extra)
{
  return "{\"count\":" + std::to_string (count) +
         ",\"cpu\":" + std::to_string (cpu) +
         ",\"memMb\":1000,\"gpu\":" + std::to_string (gpu) +
         ",\"estimateMs\":1000" + extra + "}";
}

std::string
world_body (const std::string &steps, const std::string &text)
{
  return "{\"spec\":\"" + text + "\",\"steps\":[" + steps + "]}";
}

TaskPlan
parse_task_plan (const std::string &text)
{
  TaskPlan p;
  size_t at = text.find ("ms=");

  if (at != std::string::npos)
    p.duration = atoi (text.c_str () + at + 3);
  at = text.find ("gang=");
  if (at != std::string::npos)
    p.gang_size = atoi (text.c_str () + at + 5);
  p.fail = text.find ("fail") != std::string::npos;
  return p;
}

std::string
task_job_id (const std::string &task)
{
  return task.substr (0, task.find ('.'));
}

std::string
task_unit (const std::string &task, bool gang)
{
  return gang ? task.substr (0, task.rfind ('.')) : task;
}

int
task_name_number (const std::string &task, int n)
{
  size_t at = 0;

  while (n--)
    at = task.find ('.', at) + 1;
  return atoi (task.c_str () + at);
}

QueueWorld::QueueWorld (int n_hosts,
                        int n_workers,
                        unsigned seed,
                        const WorldLink &link)
    : link_ (link)
{
  rng_ = g_rand_new_with_seed (seed);
  for (int i = 0; i < n_workers; i++)
    {
      WorldWorker w;

      w.id = "w" + std::to_string (i);
      w.rack = "r" + std::to_string (i / 4);
      w.clock_rate = 1.0 - 0.02 * chance ();
      workers.push_back (w);
    }
  put_conf (1, "key");
  for (int i = 0; i < n_workers; i++)
    put_worker (i);
  hosts.resize (n_hosts);
  for (int i = 0; i < n_hosts; i++)
    start_host (i);
}

QueueWorld::~QueueWorld ()
{
  for (WorldHost &h : hosts)
    if (h.node)
      node_free (h.node);
  g_rand_free (rng_);
}

/* Returns a random number from 0 up to but excluding 1. */
double
QueueWorld::chance ()
{
  return g_rand_double (rng_);
}

void
QueueWorld::schedule (ClockMs when, std::function<void ()> what)
{
  events_.emplace (when, what);
}

void
QueueWorld::violation (const std::string &text)
{
  violations.push_back ("at " + std::to_string (now_) + ": " + text);
}

void
QueueWorld::put_conf (gint64 version,
                      const std::string &token,
                      const std::string &extra)
{
  std::string routes, services;
  std::set<std::string> names;

  for (auto &r : route_services)
    {
      routes += std::string (routes.empty () ? "" : ",") + "{\"name\":\"" +
                r.first + "\",\"host\":\"h.example\",\"prefix\":\"/" + r.first +
                "/\",\"service\":\"" + r.second +
                "\",\"priority\":" + r.first.substr (1) +
                ",\"attempts\":3,\"stretch\":3.0,\"targetLatencyMs\":1000}";
      names.insert (r.second);
    }
  for (auto &name : names)
    services += std::string (services.empty () ? "" : ",") + "{\"name\":\"" +
                name + "\"}";
  write ("op/config",
         "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes +
             extra + "],\"services\":[" + services +
             "],\"tenants\":[{\"name\":"
             "\"alpha\",\"apiKeys\":[\"" +
             token + "\"],\"guaranteed\":{\"gpu\":16}}" + extra_tenants_json +
             "],\"limits\":{}}",
         0);
}

void
QueueWorld::put_worker (int i)
{
  WorldWorker &w = workers[i];

  note_known (w);
  write ("servers/" + w.id,
         "{\"service\":\"" + w.service + "\",\"address\":\"10.0.0." +
             std::to_string (w.address < 0 ? i : w.address) +
             ":1\",\"zone\":\"" + w.domain + "\",\"state\":\"" +
             (w.draining ? "draining" : "ready") + "\",\"capacity\":{\"cpu\":" +
             std::to_string (w.capacity.cpu_milli) +
             ",\"memMb\":" + std::to_string (w.capacity.mem_mb) +
             ",\"gpu\":" + std::to_string (w.capacity.accelerators) +
             "},\"labels\":[\"a\",\"" + w.rack +
             "\"],\"born\":" + std::to_string (w.incarnation) +
             (now_ < w.warm_at
                  ? ",\"coldRemainingMs\":" + std::to_string (w.warm_at - now_)
                  : "") +
             (w.draining ? ",\"drainRemainingMs\":2500}" : "}"),
         0);
}

void
QueueWorld::drop_worker_entry (int i)
{
  erase ("servers/" + workers[i].id);
}

void
QueueWorld::start_host (int i)
{
  WorldHost &h = hosts[i];
  std::string name =
      "h" + std::to_string (i) + "#" + std::to_string (++h.incarnation);
  NodeSettings s = { name.c_str (),
                     (guint32)(i * 100 + h.incarnation),
                     3700,
                     0,
                     link_.known_to_hosts ? link_.bytes_per_s : 0,
                     min_store_lease,
                     store_value_is_known ? max_store_value : 0,
                     bounds,
                     domains };

  h.name = "h" + std::to_string (i);
  step_budget_init (&h.budget);
  h.node = node_new (&s, &platform_codec, now_, wall_ + now_ + h.wall_offset);
  schedule (now_, [this, i] { pump (i); });
}

/* With POWER_LOSS, workers go on counting the connections of the host. */
void
QueueWorld::kill_host (int i, bool power_loss)
{
  if (!power_loss)
    close_connections (i);
  if (hosts[i].node)
    node_free (hosts[i].node);
  hosts[i].node = nullptr;
  hosts[i].incarnation++;
  hosts[i].inbox.clear ();
  hosts[i].bulk_inbox.clear ();
  hosts[i].turn_is_scheduled = false;
}

void
QueueWorld::drain_host (int i)
{
  node_drain (hosts[i].node);
}

/* Ends a host's process as at the end of a drain. */
void
QueueWorld::stop_host (int i)
{
  node_stop (hosts[i].node);
  pump (i);
  kill_host (i);
}

/* Stops a worker with all its state; its entry in the store stays if LISTED. */
void
QueueWorld::crash_worker (int i, bool listed)
{
  WorldWorker &w = workers[i];

  w.alive = false;
  w.runs.clear ();
  w.unacked_ends.clear ();
  w.tombstones.clear ();
  w.fence = 0;
  w.last_end_number = 0;
  w.lease_deadline = 0;
  if (!listed)
    drop_worker_entry (i);
}

/* Begins a new process of a worker, which has not written its entry yet. */
void
QueueWorld::begin_worker (int i)
{
  workers[i].alive = true;
  workers[i].started_at = now_;
  workers[i].draining = false;
  workers[i].drain_started_at = CLOCK_NEVER;
  workers[i].incarnation = wall_ + now_;
  workers[i].known_since = CLOCK_NEVER;
  workers[i].reached_at = CLOCK_NEVER;
  workers[i].has_other_capacity = false;
}

void
QueueWorld::restart_worker (int i)
{
  begin_worker (i);
  put_worker (i);
}

void
QueueWorld::drain_worker (int i)
{
  workers[i].draining = true;
  workers[i].drain_started_at = std::min (workers[i].drain_started_at, now_);
  put_worker (i);
}

/* Tells whether a worker has an entry in the store. */
bool
QueueWorld::has_worker_entry (int i) const
{
  return items_.count ("servers/" + workers[i].id) > 0;
}

/* Stops a worker and deletes its entry in the store. */
void
QueueWorld::remove_worker (int i)
{
  crash_worker (i, false);
}

/* Queues BYTES on HOST's link and returns the time until they are sent, after
   all that was queued earlier; 0 if the bandwidth is unlimited. */
ClockMs
QueueWorld::reserve_link (int host, gsize bytes)
{
  WorldHost &h = hosts[host];

  if (!link_.bytes_per_s)
    return 0;
  h.link_free_at = std::max (h.link_free_at, (double)now_) +
                   (double)bytes * 1000.0 / (double)link_.bytes_per_s;
  return (ClockMs)h.link_free_at - now_;
}

/* Calls WHAT with HOST's node after DELAY.  Dropped if the host has restarted
   since INCARNATION; a frozen host receives it once it runs again. */
void
QueueWorld::deliver (int host,
                     int incarnation,
                     ClockMs delay,
                     std::function<void (Node *)> what,
                     bool bulk)
{
  schedule (now_ + delay, [this, host, incarnation, what, bulk] {
    WorldHost &h = hosts[host];

    if (h.incarnation != incarnation || !h.node)
      return;
    if (h.frozen)
      {
        deliver (host, incarnation, frozen_retry_ms, what, bulk);
        return;
      }
    if (processor.is_charged ())
      {
        if (bulk)
          h.bulk_inbox.push_back (what);
        else
          h.inbox.push_back (what);
        schedule_turn (host);
        return;
      }
    node_set_time (h.node, now_, wall_ + now_ + h.wall_offset);
    what (h.node);
    pump (host);
  });
}

bool
QueueWorld::is_busy (int host) const
{
  return (double)now_ < hosts[host].busy_until;
}

/* Keeps HOST's processor busy for MS more. */
void
QueueWorld::charge (int host, double ms)
{
  WorldHost &h = hosts[host];

  h.busy_until = std::max (h.busy_until, (double)now_) + ms;
}

/* Has HOST handle what waits in its inbox as soon as its processor is free. */
void
QueueWorld::schedule_turn (int host)
{
  WorldHost &h = hosts[host];
  int incarnation = h.incarnation;

  if (h.turn_is_scheduled)
    return;
  h.turn_is_scheduled = true;
  schedule (std::max (now_, (ClockMs)std::ceil (h.busy_until)),
            [this, host, incarnation] {
              if (hosts[host].incarnation == incarnation)
                take_turn (host);
            });
}

void
QueueWorld::handle (int host, const std::function<void (Node *)> &what)
{
  WorldHost &h = hosts[host];

  node_set_time (h.node, now_, wall_ + now_ + h.wall_offset);
  what (h.node);
  charge (host, processor.reply);
}

/* Lets HOST take a step as its loop does (platform/host.c): what is urgent
   comes first, and of the rest as much as its budget allows. */
void
QueueWorld::take_turn (int host)
{
  WorldHost &h = hosts[host];
  std::vector<std::function<void (Node *)> > work;
  guint n;

  h.turn_is_scheduled = false;
  if (!h.node || h.frozen)
    return;
  work.swap (h.inbox);
  for (auto &what : work)
    handle (host, what);
  for (n = 0; n < h.budget.pieces && !h.bulk_inbox.empty (); n++)
    {
      auto what = h.bulk_inbox.front ();

      h.bulk_inbox.pop_front ();
      handle (host, what);
    }
  pump (host);
  step_budget_on_step (&h.budget, (ClockMs)(h.busy_until - (double)now_),
                       n + (guint)h.bulk_inbox.size () +
                           node_n_later_calls (h.node));
  NodeLoad load = { h.budget.lag, h.budget.pieces };
  node_set_load (h.node, &load);
  if (!h.bulk_inbox.empty () || node_n_later_calls (h.node) > 0)
    schedule_turn (host);
}

void
QueueWorld::record_answer (int host, const Answer &a)
{
  int request = (int)a.request;
  WorldAnswer &kept = answers_[request];

  kept.status = a.status;
  kept.text = a.text ? a.text : "";
  kept.number = a.number;
  kept.retry = a.may_retry;
  kept.retry_after = a.retry_after;
  if (submits_.count (request))
    {
      SubmittedJob &j = jobs_[submits_[request]];

      if (a.status == 429 || a.status == 503 || a.status == 404 ||
          a.status == 401)
        j.n_refusals++;
      if (a.status == 200 && j.accepted_at == CLOCK_NEVER)
        on_accepted (j);
    }
  if (states_.count (request))
    check_state (states_[request], kept);
  if (cancels_.count (request) && a.status == 200)
    jobs_[cancels_[request]].cancelled_at =
        std::min (jobs_[cancels_[request]].cancelled_at, now_);
  (void)host;
}

void
QueueWorld::apply_effect (int host, Effect *e)
{
  switch (e->kind)
    {
    case EFFECT_KV:
      store_call (host, e->kv);
      break;
    case EFFECT_RUN:
      run_call (host, e->run);
      break;
    case EFFECT_DISCONNECT_WORKERS:
      close_connections (host);
      break;
    case EFFECT_ANSWER:
      record_answer (host, e->answer);
      break;
    case EFFECT_MEASURE:
      break;
    case EFFECT_LOG:
      lines.push_back (std::to_string (now_) + " " + hosts[host].name + " " +
                       e->line);
      break;
    }
  effect_free (e);
}

/* Returns the id of the call that E starts, or 0. */
static gint64
call_id (const Effect *e)
{
  if (e->kind == EFFECT_RUN)
    return e->run->id;
  return e->kind == EFFECT_KV ? e->kv->id : 0;
}

/* Carries out all effects of HOST's node at once, its calls by their ids. */
void
QueueWorld::apply_all_effects (int host)
{
  Node *n = hosts[host].node;
  Effect *e, *later = node_pop_later_call (n);

  while ((e = node_pop_effect (n)))
    {
      for (; later && later->run->id < call_id (e);
           later = node_pop_later_call (n))
        apply_effect (host, later);
      apply_effect (host, e);
    }
  for (; later; later = node_pop_later_call (n))
    apply_effect (host, later);
}

/* Carries out the effects of HOST's node that are not to wait, then as many as
   its budget allows of the others. */
void
QueueWorld::apply_budgeted_effects (int host)
{
  WorldHost &h = hosts[host];
  Effect *e;

  while ((e = node_pop_effect (h.node)))
    apply_effect (host, e);
  for (guint i = 0; i < h.budget.pieces && node_n_later_calls (h.node); i++)
    apply_effect (host, node_pop_later_call (h.node));
  if (node_n_later_calls (h.node))
    schedule_turn (host);
}

/* Runs HOST's node at the current time and carries out its effects. */
void
QueueWorld::pump (int host)
{
  Node *n = hosts[host].node;

  if (!n || hosts[host].frozen)
    return;
  node_set_time (n, now_, wall_ + now_ + hosts[host].wall_offset);
  node_tick (n);
  if (node_plan (n) && processor.pass)
    {
      charge (host, (double)processor.pass);
      node_on_plan_span (n, processor.pass);
    }
  if (processor.is_charged ())
    apply_budgeted_effects (host);
  else
    apply_all_effects (host);
}

/* Time limits are checked only while all hosts and the store are healthy. */
bool
QueueWorld::has_host_or_store_fault () const
{
  if (now_ < store_down_until || store_reply_loss_rate > 0 ||
      store_late_write_rate > 0)
    return true;
  for (const WorldHost &h : hosts)
    if (!h.node || h.frozen || now_ < h.store_refuses_until ||
        now_ < h.store_silent_until || now_ < h.operators_silent_until)
      return true;
  return false;
}

/* Advances virtual time by SPAN, in steps of tick_ms. */
void
QueueWorld::run (ClockMs span)
{
  ClockMs end = now_ + span;

  while (now_ < end)
    {
      ClockMs next = std::min (end, now_ + tick_ms);

      while (!events_.empty () && events_.begin ()->first <= next)
        {
          auto what = events_.begin ()->second;

          now_ = std::max (now_, events_.begin ()->first);
          events_.erase (events_.begin ());
          what ();
        }
      now_ = next;
      record_fault_times ();
      tick_leases ();
      tick_workers ();
      check_reclaim ();
      check_standing ();
      answer_watches ();
      for (size_t i = 0; i < hosts.size (); i++)
        if (hosts[i].node && !is_busy ((int)i) &&
            node_next_deadline (hosts[i].node) <= now_)
          pump ((int)i);
    }
}

/* Returns the request's id, for answer (). */
int
QueueWorld::send_request (int host,
                          RequestOp op,
                          const std::string &path,
                          const std::string &token,
                          const std::string &body,
                          ClockMs patience)
{
  Request r = { ++last_request_, op,      "h.example", path.c_str (),
                token.c_str (),  nullptr, patience };

  if (!hosts[host].node)
    return last_request_;
  if (op == REQUEST_SUBMIT)
    r.body = g_bytes_new (body.data (), body.size ());
  node_set_time (hosts[host].node, now_,
                 wall_ + now_ + hosts[host].wall_offset);
  node_on_request (hosts[host].node, &r);
  if (r.body)
    g_bytes_unref (r.body);
  pump (host);
  return last_request_;
}

int
QueueWorld::submit (int host, const WorldJob &job, const std::string &token)
{
  SubmittedJob &j = jobs_[job.id.substr (job.id.find ('/') + 1)];
  std::string id = job.id.substr (job.id.find ('/') + 1);
  auto route = route_services.find (job.id.substr (0, job.id.find ('/')));

  j.service = route == route_services.end () ? "render" : route->second;
  j.body = job.body;
  j.urgent = job.id[1] == '0';
  j.own_workspace = token == "key";
  read_spec (j);
  j.n_submissions++;
  submits_[last_request_ + 1] = id;
  return send_request (host, REQUEST_SUBMIT, "/" + job.id, token, job.body,
                       job.caller_timeout);
}

int
QueueWorld::state (int host, const std::string &id)
{
  states_[last_request_ + 1] = id;
  return send_request (host, REQUEST_STATE, "/q1/" + id, "key", "");
}

int
QueueWorld::cancel (int host, const std::string &id)
{
  cancels_[last_request_ + 1] = id;
  return send_request (host, REQUEST_CANCEL, "/q1/" + id, "key", "");
}

/* Asks for the number of waiting jobs of a route. */
int
QueueWorld::waiting (int host)
{
  return send_request (host, REQUEST_STATE, "/q1/", "key", "");
}

const WorldAnswer *
QueueWorld::answer (int request) const
{
  auto it = answers_.find (request);

  return it == answers_.end () ? nullptr : &it->second;
}

/* Returns the state of job ID, or the HTTP status if it isn't 200, from the
   first host that runs and isn't frozen.  Advances time by 1.5 s. */
std::string
QueueWorld::state_of (const std::string &id)
{
  for (size_t i = 0; i < hosts.size (); i++)
    if (hosts[i].node && !hosts[i].frozen)
      {
        int r = state ((int)i, id);

        run (1500);
        return answer (r) ? answer (r)->status == 200
                                ? answer (r)->text
                                : std::to_string (answer (r)->status)
                          : "none";
      }
  return "no host";
}

/* Returns the index of a host that is scheduler, -1 if there is none. */
int
QueueWorld::scheduler () const
{
  for (size_t i = 0; i < hosts.size (); i++)
    if (hosts[i].node && node_is_scheduler (hosts[i].node))
      return (int)i;
  return -1;
}

int
QueueWorld::starts (const std::string &task) const
{
  return (int)started_.count (task);
}

/* Tells whether TASK is one that lasts, and so starts again also after an end
   with success. */
bool
QueueWorld::is_perpetual (const std::string &task)
{
  const auto &spec = jobs_[task_job_id (task)].spec;
  int step = task_name_number (task, 2);

  return spec && step < (int)spec->steps.n &&
         spec_job_step (spec.get (), (guint)step)->perpetual;
}

/* Records an end that a scheduler has acknowledged.  It doesn't count if the
   worker's lease had expired before. */
void
QueueWorld::on_end_acked (const WorldEnd &e)
{
  bool gang = parse_task_plan (jobs_[task_job_id (e.task)].body).gang_size > 0;
  std::string unit = task_unit (e.task, gang);

  if (e.lease_expired || is_perpetual (e.task))
    return;
  if (e.how == RUN_DONE && !acked_completions_.count (unit))
    acked_completions_[unit] = e.ended_at;
  if (e.how == RUN_FAILED)
    acked_failures_.emplace (e.task, e.ended_at);
}

/* Checks that no task was started after its completion was acknowledged, or
   after as many acknowledged failures as it has attempts. */
void
QueueWorld::check_acked_ends ()
{
  for (auto &s : started_)
    {
      bool gang =
          parse_task_plan (jobs_[task_job_id (s.first)].body).gang_size > 0;
      auto done = acked_completions_.find (task_unit (s.first, gang));
      int failed = 0;

      if (done != acked_completions_.end () && s.second > done->second)
        violation ("TWICE after done " + s.first);
      for (auto r = acked_failures_.equal_range (s.first); r.first != r.second;
           ++r.first)
        failed += r.first->second < s.second;
      if (failed >= max_attempts)
        violation ("BUDGET " + s.first);
    }
}

/* Expects that no invariant has been violated so far. */
void
QueueWorld::expect_no_violations ()
{
  check_acked_ends ();
  EXPECT_TRUE (violations.empty ())
      << violations[0] << " and " << violations.size () - 1 << " more";
}

/* Returns the number of the hosts' log lines that contain PART. */
int
QueueWorld::count_lines (const std::string &part) const
{
  int n = 0;

  for (auto &line : lines)
    n += line.find (part) != std::string::npos;
  return n;
}

/* Expects that every accepted job has reached a final state. */
void
QueueWorld::expect_all_final ()
{
  for (auto &j : jobs_)
    {
      std::string state;

      if (j.second.accepted_at == CLOCK_NEVER)
        continue;
      state = state_of (j.first);
      EXPECT_TRUE (state == "completed" || state == "failed" ||
                   state == "cancelled")
          << j.first << " is " << state;
    }
}

int
QueueWorld::n_keys (const std::string &prefix) const
{
  int n = 0;

  for (auto &i : items_)
    n += i.first.rfind (prefix, 0) == 0;
  return n;
}

/* Returns the value under KEY, empty if there is none. */
std::string
QueueWorld::record (const std::string &key) const
{
  auto it = items_.find (key);

  return it == items_.end () ? "" : it->second.value;
}
