#include "fixture.h"

#include <algorithm>

/* The fake worker's rules; src/worker_event.h states them. */
namespace
{

using Lease = FakeWorker::Lease;

Lease *
find_lease (FakeWorker &w, const WorkerCall &c)
{
  for (auto &l : w.leases)
    if (l.job == c.job && l.part == c.part && l.run == c.run)
      return &l;
  return nullptr;
}

bool
overlaps (const FakeWorker &w, const WorkerCall &c)
{
  return std::any_of (w.leases.begin (), w.leases.end (), [&] (const Lease &l) {
    return l.live () && l.first < c.first + c.count &&
           c.first < l.first + l.count;
  });
}

WorkerStatus
reserve (FakeWorker &w, const WorkerCall &c, ClockMs now)
{
  if (Lease *l = find_lease (w, c))
    return l->live () ? WORKER_OK : WORKER_REFUSED;
  if (c.first + c.count > w.accelerators || overlaps (w, c))
    return WORKER_REFUSED;
  w.leases.push_back ({ c.job, static_cast<int> (c.part),
                        static_cast<int> (c.run), static_cast<int> (c.first),
                        static_cast<int> (c.count), c.cores, c.memory_mb,
                        c.term, LEASE_RESERVED, now + c.lease_ms, 0,
                        CLOCK_NEVER, 0, false });
  return WORKER_OK;
}

WorkerStatus
start (FakeWorker &w, const WorkerCall &c, ClockMs now)
{
  Lease *l = find_lease (w, c);

  if (!l || !l->live ())
    return WORKER_REFUSED;
  l->until = now + c.lease_ms;
  if (l->state == LEASE_RUNNING)
    return WORKER_OK;
  l->state = LEASE_RUNNING;
  l->started = now;
  l->done_at =
      now + (w.fails_all ? std::min<ClockMs> (c.run_ms, 100) : c.run_ms);
  return WORKER_OK;
}

/* Tells whether C would have a task begin that is only reserved. */
bool
begins (FakeWorker &w, const WorkerCall &c)
{
  const Lease *l = c.op == WORKER_START ? find_lease (w, c) : nullptr;

  return l && l->state == LEASE_RESERVED;
}

WorkerStatus
stop (FakeWorker &w, const WorkerCall &c)
{
  w.leases.erase (std::remove_if (w.leases.begin (), w.leases.end (),
                                  [&] (const Lease &l) {
                                    return l.job == c.job && l.part == c.part &&
                                           l.run == c.run;
                                  }),
                  w.leases.end ());
  return WORKER_OK;
}

WorkerStatus
checkpoint (FakeWorker &w, const WorkerCall &c, ClockMs now)
{
  Lease *l = find_lease (w, c);

  if (!l)
    return WORKER_REFUSED;
  if (l->state == LEASE_RUNNING && !l->saved_at)
    l->saved_at = now + w.checkpoint_ms;
  return WORKER_OK;
}

WorkerStatus
apply (FakeWorker &w, const WorkerCall &c, ClockMs now)
{
  switch (c.op)
    {
    case WORKER_RESERVE:
      return reserve (w, c, now);
    case WORKER_START:
      return start (w, c, now);
    case WORKER_CHECKPOINT:
      return checkpoint (w, c, now);
    case WORKER_STOP:
      return stop (w, c);
    case WORKER_RENEW:
      for (auto &l : w.leases)
        if (l.live ())
          {
            l.until = now + c.lease_ms;
            l.term = c.term;
          }
      return WORKER_OK;
    default:
      return WORKER_OK;
    }
}

void
report (FakeWorker &w, const WorkerCall &c, ClockMs now, WorkerReply *r)
{
  if (c.op != WORKER_REPORT && c.op != WORKER_RENEW)
    return;
  for (auto &l : w.leases)
    {
      if (c.op == WORKER_RENEW && !l.dirty)
        continue;
      auto *x = static_cast<WorkerLease *> (rec_list_add (worker_lease_desc (),
                                                          &r->leases));
      rec_set_str (&x->job, l.job.c_str ());
      x->part = l.part;
      x->run = l.run;
      x->term = l.term;
      x->state = l.state;
      x->first = l.first;
      x->count = l.count;
      x->cores = l.cores;
      x->memory_mb = l.memory_mb;
      auto used = w.memory_percent.find (l.job);
      x->used_memory_mb =
          l.memory_mb * (used == w.memory_percent.end () ? 100 : used->second) /
          100;
      x->progress_ms = l.started ? now - l.started : 0;
      x->remaining_ms = std::max<ClockMs> (0, l.until - now);
      l.dirty = false;
    }
}

} // namespace

void
World::call_worker (Node &n, const WorkerCall &call)
{
  FakeWorker &w = workers.at (call.worker);
  auto *r = static_cast<WorkerReply *> (rec_new (worker_reply_desc ()));
  ClockMs delay = w.delay;

  rec_set_str (&r->worker, call.worker);
  r->call = call.call;
  r->op = call.op;
  if (w.down || cuts.count ({ n.name, w.name }))
    r->status = WORKER_UNSENT;
  else
    {
      settle ();
      r->status = call.term < w.term ? WORKER_STALE : WORKER_OK;
      w.term = std::max (w.term, call.term);
      if (r->status == WORKER_OK)
        {
          tasks_begun[{ call.job, static_cast<int> (call.part) }] +=
              begins (w, call);
          r->status = apply (w, call, now);
        }
      if (r->status == WORKER_OK && call.op == WORKER_START)
        job_starts[call.job].insert (static_cast<int> (call.run));
      if (r->status == WORKER_OK && !w.lossy)
        report (w, call, now, r);
      r->term = w.term;
      for (auto &l : w.leases)
        r->running += l.state == LEASE_RUNNING;
      if (w.lossy)
        {
          r->status = WORKER_LOST;
          r->term = 0;
          delay = call.timeout_ms;
        }
    }
  post (n, delay, EV_WORKER_REPLY, r);
  rec_free (worker_reply_desc (), r);
}
