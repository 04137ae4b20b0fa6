#ifndef FIXTURE_H
#define FIXTURE_H

/* A few nodes in virtual time: one node's effects become the others'
   events, in an order that depends on the seed alone.  The store, the
   workers and the upstreams are fakes that fail on demand. */

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "core.h"
}

/* A reply that a caller got, or a line of the time line. */
struct Reply
{
  std::string host;
  gint64 conn;
  Outcome outcome;
  int status;
  std::string id;
  std::string reason;
  std::string body;
  ClockMs at;
};

struct Note
{
  std::string host;
  NoteKind kind;
  std::string request, job, workspace, upstream, worker, detail;
  ClockMs at;
};

/* The key-value store. */
struct FakeStore
{
  struct Key
  {
    gint64 revision;
    std::string value;
    gint64 lease;
  };
  std::map<std::string, Key> keys;
  std::map<gint64, ClockMs> leases; /* lease to its end */
  std::map<gint64, ClockMs> lease_ms;
  std::vector<std::tuple<std::string, std::string, std::string> > hosts;
  gint64 revision = 0;
  gint64 last_lease = 0;

  bool down = false;        /* refuses connections */
  bool silent = false;      /* takes calls and never answers */
  ClockMs delay = 2;        /* to the answer */
  int lose_answers = 0;     /* so many writes take effect unanswered */
  int lose_permille = 0;    /* of answers, at random */
  std::map<int, int> calls; /* by StoreOp */

  FakeStore
  snapshot () const
  {
    return *this;
  }
  void roll_back (const FakeStore &to);
  bool apply (const StoreCall &call, ClockMs now, StoreReply *reply);
  void expire (ClockMs now);
  bool changed (const std::string &key, gint64 expect) const;
};

/* A worker: the arbiter of its accelerators. */
struct FakeWorker
{
  struct Lease
  {
    std::string job;
    int part, run, first, count;
    gint64 cores, memory_mb;
    gint64 term;
    WorkerLeaseState state;
    ClockMs until;    /* the lease's end */
    ClockMs started;  /* 0: not yet */
    ClockMs done_at;  /* when the task ends by itself */
    ClockMs saved_at; /* when a checkpoint that was asked for is written */
    bool dirty;       /* changed since the last reply */
    bool
    live () const
    {
      return state <= LEASE_RUNNING;
    }
  };
  std::string name, domain;
  int accelerators;
  gint64 term = 0;
  std::vector<Lease> leases;

  bool down = false;      /* unreachable: UNSENT */
  bool lossy = false;     /* acts, and its answers are lost */
  bool fails_all = false; /* every task fails soon after its start */
  ClockMs delay = 1;
  ClockMs checkpoint_ms = 500;
  std::map<std::string, int> memory_percent; /* used of declared, by job */

  void
  reboot ()
  {
    leases.clear ();
  } /* the tasks die, the term stays */
};

/* An upstream. */
struct FakeUpstream
{
  struct Run
  {
    std::string caller, body;
    gint64 attempt;
    ClockMs done_at;
    UpstreamResult result;
  };
  std::string name, domain;
  int slots;
  std::map<std::string, Run> runs; /* by request id, kept after the end */
  std::map<std::string, int> executed;

  bool down = false;  /* unreachable: UNSENT */
  bool hangs = false; /* works, and its connections go silent */
  bool fails_all = false;
  bool leaving = false;
  int lose_permille = 0; /* answers lost: LOST at once */
  ClockMs service_ms = 10;
  ClockMs delay = 1;
  std::function<ClockMs (const UpstreamSend &)> service; /* overrides */

  int busy_slots (ClockMs now) const;
};

/* One node with what the shell would keep for it. */
struct Node
{
  std::string name, domain, region;
  Core *core = nullptr;
  gint64 incarnation = 0;
  ClockMs paused_until = 0;
  ClockMs next_tick = CLOCK_NEVER;
  bool drained = false;
};

class World
{
public:
  explicit World (guint32 seed);
  ~World ();

  /* Set-up, before start. */
  Config *
  config ()
  {
    return cfg;
  }
  void
  add_host (const char *name, const char *domain, const char *region = "r1");
  FakeUpstream &
  add_upstream (const char *name, const char *domain, int slots = 8);
  FakeWorker &add_worker (const char *name,
                          const char *domain,
                          const char *rack,
                          int accelerators,
                          int cores = 64,
                          int memory_mb = 256000);
  void start ();

  /* Faults. */
  void kill (const std::string &host);
  void restart (const std::string &host);
  void pause (const std::string &host, ClockMs span);
  void cut (const std::string &from, const std::string &to, bool on = true);
  void cut_domain (const std::string &domain,
                   bool on = true); /* from all else */
  void drain (const std::string &host);

  /* Work; each returns the number under which its reply is found. */
  gint64 request (const std::string &host,
                  CallerRequest q,
                  const std::string &body = "");
  gint64 ask (const std::string &host,
              EventKind kind,
              const std::string &workspace,
              const std::string &id);
  gint64 job (const std::string &host, CallerJob q);
  gint64 operate (const std::string &host,
                  const char *what,
                  const std::string &arg = "",
                  const std::string &body = "");
  const Reply *reply (gint64 conn) const;
  void load_table (const std::string &csv, gint64 revision = 1);

  void feed (const std::string &host,
             EventKind kind,
             const void *body,
             const char *peer = "");
  void run (ClockMs span);
  bool run_until (const std::function<bool ()> &done, ClockMs span);
  void at (ClockMs when, std::function<void ()> action);
  guint32 random (guint32 below);
  Core *
  core (const std::string &host)
  {
    return nodes.at (host).core;
  }
  gint64 total (Counter n) const;

  ClockMs now = 1000000;
  std::map<std::string, Node> nodes;
  FakeStore store;
  std::map<std::string, FakeWorker> workers;
  std::map<std::string, FakeUpstream> upstreams;
  std::vector<Reply> replies;
  std::vector<Note> notes;
  std::map<gint64, std::string> sent_bodies; /* of requests, by conn */
  std::map<gint64, std::string> sent_to;     /* host of each conn */
  std::map<gint64, gint64> sent_incarnation; /* of that host */
  std::set<std::string> once_bodies;         /* of requests that may run once */
  std::map<std::string, int> executions;     /* of requests, by body */
  std::set<gint64> once_jobs;                /* conns of such jobs */
  std::map<gint64, int> job_parts;           /* by conn */
  std::map<std::string, std::set<int> > job_starts;           /* runs, by job */
  std::map<std::pair<std::string, int>, int> tasks_begun;     /* by job, part */
  std::map<std::string, ClockMs> leaving_since;               /* of upstreams */
  std::map<std::pair<std::string, gint64>, gint64> revisions; /* seen */
  std::vector<std::string> late_sends; /* to upstreams that had left */
  gint64 conns = 0;

  /* How long after an upstream's leaving it may still be sent work. */
  ClockMs leaving_bound = 3000;

  /* The links between hosts. */
  ClockMs link_delay = 1;
  ClockMs link_jitter = 0;
  int loss_permille = 0;
  int repeat_permille = 0;
  gint64 messages = 0;
  gint64 message_bytes = 0;

  /* A trace of all nodes from here on, for the replay; see replay.h. */
  std::string *trace = nullptr;

  /* Run after every event; see invariants.h. */
  std::vector<std::function<void (World &)> > invariants;
  /* Sees every effect before it is carried out; true swallows it. */
  std::function<bool (Node &, const Event &)> tap;

  /* Carries out an effect of N as if it had just come out of it. */
  void carry_out (Node &n, const Event &e);

private:
  struct Action
  {
    ClockMs when;
    guint64 order;
    std::function<void ()> run;
    bool
    operator<(const Action &o) const
    {
      return when != o.when ? when > o.when : order > o.order;
    }
  };

  void add_line (char *line);
  void note_conn (const std::string &host, gint64 conn);
  void boot (Node &n);
  void deliver (const std::string &host,
                gint64 incarnation,
                std::shared_ptr<Event> e);
  void post (Node &n,
             ClockMs delay,
             EventKind kind,
             const void *body,
             const char *peer = "");
  void send_message (Node &n, const Event &e);
  void call_store (Node &n, const StoreCall &call);
  void
  reply_store (Node &n, const StoreCall &call, ClockMs delay, StoreReply *r);
  void check_watches ();
  void call_worker (Node &n, const WorkerCall &call);
  void call_upstream (Node &n, const UpstreamSend &call);
  void ask_upstream (Node &n, const UpstreamAsk &call);
  void settle ();

  struct Watch
  {
    std::string host;
    gint64 incarnation;
    gint64 call;
    std::string key;
    gint64 expect;
  };
  Config *cfg;
  guint32 seed;
  std::mt19937 rng;
  std::priority_queue<Action> queue;
  guint64 order = 0;
  std::set<std::pair<std::string, std::string> > cuts;
  std::vector<Watch> watches;
};

#endif
