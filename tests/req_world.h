#ifndef REQ_WORLD_H
#define REQ_WORLD_H

#include "fixture.h"

/* A world for tests of requests: hosts h1.., upstreams u1.. of one failure
   domain, and a record of what each host sent. */
class ReqWorld : public World
{
public:
  struct Sent
  {
    std::string host, upstream, request, caller;
    gint64 attempt;
    ClockMs at;
    bool ran; /* the upstream took it */
  };

  ReqWorld (guint32 seed, int n_hosts, int n_upstreams, int slots = 8)
      : World (seed)
  {
    for (int i = 1; i <= n_hosts; i++)
      add_host (("h" + std::to_string (i)).c_str (), "d1");
    for (int i = 1; i <= n_upstreams; i++)
      add_upstream (("u" + std::to_string (i)).c_str (), "d1", slots);
    tap = [this] (Node &n, const Event &e) {
      if (e.kind == FX_UPSTREAM_SEND)
        {
          auto *s = static_cast<UpstreamSend *> (e.body);
          const FakeUpstream &u = upstreams.at (s->upstream);
          bool ran = !u.down && !u.leaving && u.busy_slots (now) < u.slots;
          sent.push_back ({ n.name, s->upstream, s->request, s->caller,
                            s->attempt, now, ran });
        }
      return swallow && swallow (n, e);
    };
  }

  void
  begin (const std::string &csv = "workspace,weight\nalpha,1\nbeta,1\n")
  {
    start ();
    load_table (csv);
    run (3000);
  }

  gint64
  send (const std::string &host,
        const std::string &key,
        const std::string &body = "",
        WorkClass work_class = CLASS_NORMAL,
        const std::string &caller = "c1",
        ClockMs deadline = 0,
        const std::string &workspace = "alpha")
  {
    CallerRequest q = {};
    q.token = "";
    q.workspace = workspace.c_str ();
    q.caller = caller.c_str ();
    q.work_kind = "proof";
    q.work_class = work_class;
    q.deadline_ms = deadline;
    q.key = key.c_str ();
    q.repeatable = key.empty ();
    return request (host, q, body);
  }

  /* How often the request called ID ran, over all upstreams. */
  int
  executed (const std::string &id) const
  {
    int n = 0;
    for (auto &u : upstreams)
      {
        auto run = u.second.executed.find (id);
        n += run == u.second.executed.end () ? 0 : run->second;
      }
    return n;
  }

  bool
  ended (gint64 conn, ClockMs span = 120000)
  {
    return run_until ([=, this] { return reply (conn) != nullptr; }, span);
  }

  Outcome
  outcome (gint64 conn) const
  {
    const Reply *r = reply (conn);
    return r ? r->outcome : N_OUTCOMES;
  }

  std::vector<Sent> sent;
  std::function<bool (Node &, const Event &)> swallow;
};

#endif
