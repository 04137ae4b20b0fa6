#include "queue_world.h"

#include <gtest/gtest.h>

extern "C"
{
#include "json.h"
}

static const int attempts = 3; /* of every queue */
static const ClockMs step_ms = 5;
static const ClockMs frozen_look_ms = 50;

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
world_plan (const std::string &text)
{
  TaskPlan p;
  size_t at = text.find ("ms=");

  if (at != std::string::npos)
    p.ms = atoi (text.c_str () + at + 3);
  at = text.find ("gang=");
  if (at != std::string::npos)
    p.gang = atoi (text.c_str () + at + 5);
  p.fail = text.find ("fail") != std::string::npos;
  return p;
}

std::string
world_job (const std::string &task)
{
  return task.substr (0, task.find ('.'));
}

std::string
world_unit (const std::string &task, bool gang)
{
  return gang ? task.substr (0, task.rfind ('.')) : task;
}

int
world_word (const std::string &task, int n)
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
      w.rate = 1.0 - 0.02 * chance ();
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

double
QueueWorld::chance ()
{
  return g_rand_double (rng_);
}

void
QueueWorld::at (ClockMs when, std::function<void ()> what)
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
  std::string routes;

  for (int p = 0; p < 3; p++)
    routes += std::string (p ? "," : "") + "{\"name\":\"q" +
              std::to_string (p) + "\",\"host\":\"h.example\",\"prefix\":\"/q" +
              std::to_string (p) +
              "/\",\"service\":\"render\",\"priority\":" + std::to_string (p) +
              ",\"attempts\":3,\"stretch\":3.0,\"targetLatencyMs\":1000}";
  write ("op/config",
         "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes +
             extra +
             "],\"services\":[{\"name\":\"render\"}],\"tenants\":[{\"name\":"
             "\"alpha\",\"apiKeys\":[\"" +
             token + "\"],\"guaranteed\":{\"gpu\":16}}" + more_tenants +
             "],\"limits\":{}}",
         0);
}

void
QueueWorld::put_worker (int i)
{
  const WorldWorker &w = workers[i];

  write ("servers/" + w.id,
         "{\"service\":\"render\",\"address\":\"10.0.0." + std::to_string (i) +
             ":1\",\"zone\":\"z\",\"state\":\"" +
             (w.draining ? "draining" : "ready") +
             "\",\"capacity\":{\"cpu\":64000,\"memMb\":256000,\"gpu\":8},"
             "\"labels\":[\"a\",\"" +
             w.rack + "\"],\"born\":" + std::to_string (w.born) +
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
  std::string name = "h" + std::to_string (i) + "#" + std::to_string (++h.life);
  NodeSettings s = { name.c_str (), (guint32)(i * 100 + h.life), 3700, 0,
                     link_.told ? link_.rate : 0 };

  h.name = "h" + std::to_string (i);
  h.node = node_new (&s, &platform_codec, now_, wall_ + now_ + h.wall_step);
  at (now_, [this, i] { pump (i); });
}

void
QueueWorld::kill_host (int i)
{
  if (hosts[i].node)
    node_free (hosts[i].node);
  hosts[i].node = nullptr;
  hosts[i].life++;
}

void
QueueWorld::drain_host (int i)
{
  node_drain (hosts[i].node);
}

void
QueueWorld::crash_worker (int i, bool listed)
{
  WorldWorker &w = workers[i];

  w.alive = false;
  w.runs.clear ();
  w.ended.clear ();
  w.tombs.clear ();
  w.fence = 0;
  w.ends_made = 0;
  w.deadline = 0;
  if (!listed)
    drop_worker_entry (i);
}

void
QueueWorld::restart_worker (int i)
{
  workers[i].alive = true;
  workers[i].draining = false;
  workers[i].drained = CLOCK_NEVER;
  workers[i].born = wall_ + now_;
  put_worker (i);
}

void
QueueWorld::drain_worker (int i)
{
  workers[i].draining = true;
  workers[i].drained = std::min (workers[i].drained, now_);
  put_worker (i);
}

void
QueueWorld::leave_worker (int i)
{
  crash_worker (i, false);
}

/* Hosts. */

/* Returns how long BYTES, sent by HOST now, take to leave it behind what it
   has sent before. */
ClockMs
QueueWorld::over_link (int host, gsize bytes)
{
  WorldHost &h = hosts[host];

  if (!link_.rate)
    return 0;
  h.link_free = std::max (h.link_free, (double)now_) +
                (double)bytes * 1000.0 / (double)link_.rate;
  return (ClockMs)h.link_free - now_;
}

/* Runs WHAT on HOST's present life, not before a freeze is over. */
void
QueueWorld::deliver (int host,
                     int life,
                     ClockMs delay,
                     std::function<void (Node *)> what)
{
  at (now_ + delay, [this, host, life, what] {
    WorldHost &h = hosts[host];

    if (h.life != life || !h.node)
      return;
    if (h.frozen)
      {
        deliver (host, life, frozen_look_ms, what);
        return;
      }
    node_set_time (h.node, now_, wall_ + now_ + h.wall_step);
    what (h.node);
    pump (host);
  });
}

void
QueueWorld::take_answer (int host, const Answer &a)
{
  int request = (int)a.request;
  WorldAnswer &kept = answers_[request];

  kept.status = a.status;
  kept.text = a.text ? a.text : "";
  kept.number = a.number;
  kept.retry = a.retry;
  kept.retry_after = a.retry_after;
  if (submits_.count (request))
    {
      Accepted &j = jobs_[submits_[request]];

      if (a.status == 429 || a.status == 503 || a.status == 404 ||
          a.status == 401)
        j.refusals++;
      if (a.status == 200 && j.at == CLOCK_NEVER)
        on_accepted (j);
    }
  if (states_.count (request))
    check_state (states_[request], kept);
  if (cancels_.count (request) && a.status == 200)
    jobs_[cancels_[request]].cancelled =
        std::min (jobs_[cancels_[request]].cancelled, now_);
  (void)host;
}

void
QueueWorld::take_effect (int host, Effect *e)
{
  switch (e->kind)
    {
    case EFFECT_KV:
      store_call (host, e->kv);
      break;
    case EFFECT_RUN:
      run_call (host, e->run);
      break;
    case EFFECT_ANSWER:
      take_answer (host, e->answer);
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

void
QueueWorld::pump (int host)
{
  Node *n = hosts[host].node;
  Effect *e;

  if (!n || hosts[host].frozen)
    return;
  node_set_time (n, now_, wall_ + now_ + hosts[host].wall_step);
  node_tick (n);
  while ((e = node_pop_effect (n)))
    take_effect (host, e);
}

/* Bounds of time hold only while hosts and store are well. */
bool
QueueWorld::is_troubled () const
{
  if (now_ < store_down_until || store_lost_share > 0 || store_late_share > 0)
    return true;
  for (const WorldHost &h : hosts)
    if (!h.node || h.frozen || now_ < h.store_cut_until ||
        now_ < h.store_silent_until)
      return true;
  return false;
}

void
QueueWorld::run (ClockMs span)
{
  ClockMs end = now_ + span;

  while (now_ < end)
    {
      ClockMs next = std::min (end, now_ + step_ms);

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
      answer_watches ();
      for (size_t i = 0; i < hosts.size (); i++)
        if (hosts[i].node && node_next_deadline (hosts[i].node) <= now_)
          pump ((int)i);
    }
}

int
QueueWorld::ask (int host,
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
  node_set_time (hosts[host].node, now_, wall_ + now_ + hosts[host].wall_step);
  node_on_request (hosts[host].node, &r);
  if (r.body)
    g_bytes_unref (r.body);
  pump (host);
  return last_request_;
}

int
QueueWorld::submit (int host, const WorldJob &job, const std::string &token)
{
  Accepted &j = jobs_[job.id.substr (job.id.find ('/') + 1)];
  std::string id = job.id.substr (job.id.find ('/') + 1);

  j.body = job.body;
  j.urgent = job.id[1] == '0';
  j.own_workspace = token == "key";
  read_spec (j);
  j.tries++;
  submits_[last_request_ + 1] = id;
  return ask (host, REQUEST_SUBMIT, "/" + job.id, token, job.body,
              job.patience);
}

int
QueueWorld::state (int host, const std::string &id)
{
  states_[last_request_ + 1] = id;
  return ask (host, REQUEST_STATE, "/q1/" + id, "key", "");
}

int
QueueWorld::cancel (int host, const std::string &id)
{
  cancels_[last_request_ + 1] = id;
  return ask (host, REQUEST_CANCEL, "/q1/" + id, "key", "");
}

int
QueueWorld::waiting (int host)
{
  return ask (host, REQUEST_STATE, "/q1/", "key", "");
}

const WorldAnswer *
QueueWorld::answer (int request) const
{
  auto it = answers_.find (request);

  return it == answers_.end () ? nullptr : &it->second;
}

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

/* An end counts once it has been acknowledged, unless the worker's lease
   lapsed before. */
void
QueueWorld::note_end (const WorldEnd &e)
{
  bool gang = world_plan (jobs_[world_job (e.task)].body).gang > 0;
  std::string unit = world_unit (e.task, gang);

  if (e.lapsed)
    return;
  if (e.how == RUN_DONE && !done_.count (unit))
    done_[unit] = e.at;
  if (e.how == RUN_FAILED)
    failed_.emplace (e.task, e.at);
}

/* No task may have been started after an end that has been acknowledged as
   done, or after as many that failed as it had attempts. */
void
QueueWorld::check_noted ()
{
  for (auto &s : started_)
    {
      bool gang = world_plan (jobs_[world_job (s.first)].body).gang > 0;
      auto done = done_.find (world_unit (s.first, gang));
      int failed = 0;

      if (done != done_.end () && s.second > done->second)
        violation ("TWICE after done " + s.first);
      for (auto r = failed_.equal_range (s.first); r.first != r.second;
           ++r.first)
        failed += r.first->second < s.second;
      if (failed >= attempts)
        violation ("BUDGET " + s.first);
    }
}

/* No rule may have been broken so far. */
void
QueueWorld::expect_kept ()
{
  check_noted ();
  EXPECT_TRUE (violations.empty ())
      << violations[0] << " and " << violations.size () - 1 << " more";
}

/* Returns how many of the hosts' log lines hold PART. */
int
QueueWorld::count_lines (const std::string &part) const
{
  int n = 0;

  for (auto &line : lines)
    n += line.find (part) != std::string::npos;
  return n;
}

/* Every accepted job must have come to a final state by now. */
void
QueueWorld::expect_all_final ()
{
  for (auto &j : jobs_)
    {
      std::string state;

      if (j.second.at == CLOCK_NEVER)
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
