#ifndef QUEUE_WORLD_H
#define QUEUE_WORLD_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "codec.h"
#include "node.h"
}

/* A deployment in virtual time: real nodes over a small store and small
   workers that keep the platform's promises and fail on demand.  What must
   always hold is checked after every event. */

struct WorldJob
{
  std::string id;
  std::string body; /* JSON */
  gint64 attempts = 4;
  ClockMs patience = 3000;
};

/* What a task does, told in its text: "ms=2000 gang=3 fail". */
struct TaskPlan
{
  ClockMs ms = 1000;
  int gang = 0;
  bool fail = false;
};

struct WorldRun
{
  std::string task;
  gint64 run;
  TaskPlan plan;
  ClockMs arrived;
  ClockMs began = CLOCK_NEVER; /* a gang's: when it was whole */
  double worked = 0;           /* of PLAN's time */
  double slowness = 1.0;       /* of the slowest worker that it runs on */
  PoolRoom need;
};

struct WorldEnd
{
  gint64 number;
  std::string task;
  gint64 run;
  RunEnd how;
  ClockMs at;
  bool lapsed; /* the worker's lease lapsed before it was acknowledged */
};

struct WorldWorker
{
  std::string id;
  std::string rack;
  bool alive = true;
  bool draining = false;
  ClockMs drained = CLOCK_NEVER; /* when it first said so */
  bool fails_all = false;
  ClockMs fails_after = CLOCK_NEVER; /* at the end of the task at the latest */
  bool hangs = false;
  double slowness = 1.0;    /* its tasks take so many times as long */
  double optimism = 1.0;    /* how much too fast its percent rises */
  ClockMs answer_delay = 0; /* more than usual */
  ClockMs cut_until = 0;    /* neither hosts nor the store reach it */
  double late_share = 0;    /* of orders without an answer, executed later */
  gint64 born = 1;
  gint64 fence = 0;
  double rate = 1.0;   /* of its clock */
  gint64 deadline = 0; /* of its lease, on its clock */
  gint64 ends_made = 0;
  std::map<std::string, WorldRun> runs;
  std::map<std::string, gint64> tombs;
  std::vector<WorldEnd> ended;
  PoolRoom room { 64000, 256000, 8 };
};

struct WorldHost
{
  std::string name;
  Node *node = nullptr;
  bool frozen = false;
  ClockMs store_cut_until = 0;    /* the store turns it away */
  ClockMs store_silent_until = 0; /* its calls are lost on their way */
  ClockMs wall_step = 0;          /* of its time of day */
  int life = 0;
  double link_free = 0; /* when all that it has sent is out */
  int store_calls = 0;
};

/* The hosts' links: RATE in bytes a second, 0 for links that are never full;
   TOLD says whether the hosts know it. */
struct WorldLink
{
  gint64 rate = 0;
  bool told = true;
};

struct WorldAnswer
{
  int status = 0;
  std::string text;
  gint64 number = 0;
  bool retry = false;
  ClockMs retry_after = 0;
};

class QueueWorld
{
public:
  QueueWorld (int n_hosts,
              int n_workers,
              unsigned seed = 1,
              const WorldLink &link = {});
  ~QueueWorld ();

  void run (ClockMs span);
  ClockMs
  now () const
  {
    return now_;
  }
  ClockMs
  wall () const
  {
    return wall_ + now_;
  }
  int submit (int host, const WorldJob &job, const std::string &token = "key");
  int state (int host, const std::string &id);
  int cancel (int host, const std::string &id);
  int waiting (int host);
  const WorldAnswer *answer (int request) const;
  std::string state_of (const std::string &id);
  void kill_host (int host);
  void start_host (int host);
  void drain_host (int host);
  void crash_worker (int worker, bool listed);
  void restart_worker (int worker);
  void drain_worker (int worker);
  void leave_worker (int worker);
  void put_worker (int worker);
  void drop_worker_entry (int worker);
  void put_conf (gint64 version,
                 const std::string &token,
                 const std::string &extra_route = "");
  void compact ();
  void force_start (int worker,
                    const std::string &task,
                    const std::string &text = "ms=1000");
  void forge_completed (const std::string &id);
  void forge_deletion (const std::string &id);
  void forge_record (const std::string &key, const std::string &value);
  bool has_violation (const std::string &rule) const;
  int scheduler () const;
  int starts (const std::string &task) const;
  int n_holds = 0;
  size_t most_looks = 0; /* that waited for no end, under way at once */
  int
  n_starts () const
  {
    return (int)started_.size ();
  }
  int n_keys (const std::string &prefix) const;
  void expect_all_final ();
  void expect_kept ();
  int count_lines (const std::string &part) const;
  void check_noted ();

  std::vector<WorldHost> hosts;
  std::vector<WorldWorker> workers;
  ClockMs store_down_until = 0; /* silent; nothing is executed */
  bool leases_pause = false;    /* while the store is down */
  double store_lost_share = 0;  /* of answers to writes; executed at once */
  bool one_orders = false;      /* no order of a former scheduler may come */
  bool calls_overtake = false;  /* calls to one worker pass each other */
  double store_late_share = 0;  /* of writes: executed seconds later */
  std::string more_tenants;     /* of the next configuration: ",{...}" */
  std::vector<std::string> violations;
  std::vector<std::string> lines;

private:
  struct Item
  {
    std::string value;
    gint64 revision;
    gint64 lease;
  };
  struct Lease
  {
    ClockMs ttl;
    ClockMs until;
  };
  struct Change
  {
    gint64 revision;
    std::string key;
    bool deleted;
    std::string value;
  };
  struct Watch
  {
    int host;
    int life;
    gint64 id;
    std::string prefix;
    gint64 after;
    ClockMs until;
    ClockMs sent;
    bool done;
  };
  struct Hold
  {
    int host;
    int life;
    gint64 id;
    int worker;
    ClockMs until;
  };
  struct Accepted
  {
    ClockMs at = CLOCK_NEVER;
    ClockMs cancelled = CLOCK_NEVER;
    std::string body;
    gint64 attempts = 4;
    std::string final_state;
    std::shared_ptr<SpecJob> spec; /* NULL when it can't be read */
    bool guaranteed =
        false;           /* urgent, and within its guarantee when accepted */
    bool judged = false; /* whether that was kept */
    bool urgent = false;
    bool own_workspace = false; /* the first one's token was used */
    int tries = 0;              /* to hand it in */
    int refusals = 0;           /* of them */
  };

  void at (ClockMs when, std::function<void ()> what);
  void pump (int host);
  void take_effect (int host, Effect *e);
  void take_answer (int host, const Answer &a);
  bool is_silent (int host) const;
  void store_call (int host, const KvCall *call);
  void store_execute (const KvCall *call, KvReply *reply);
  void store_txn (const KvCall *call, KvReply *reply);
  void write (const std::string &key, const std::string &value, gint64 lease);
  void erase (const std::string &key);
  void answer_watches ();
  bool fill_watch (const Watch &w, KvReply *reply);
  void deliver (int host,
                int life,
                ClockMs delay,
                std::function<void (Node *)> what);
  void reply_kv (int host,
                 int life,
                 gint64 id,
                 std::shared_ptr<KvReply> reply,
                 ClockMs delay);
  void run_call (int host, const RunCall *call);
  void execute_run (WorldWorker &w, const RunCall &call, RunReply *reply);
  void start (WorldWorker &w, const RunCall &call, RunReply *reply);
  void note_end (const WorldEnd &e);
  void end_run (WorldWorker &w, const std::string &task, RunEnd how);
  void fill_hold (const WorldWorker &w, RunReply *reply);
  void reply_run (int host,
                  int life,
                  std::shared_ptr<RunReply> reply,
                  ClockMs delay);
  void tick_workers ();
  void tick_gangs ();
  void tick_work ();
  void tick_leases ();
  gint64 clock_of (const WorldWorker &w) const;
  bool reaches (const WorldWorker &w) const;
  void check_start (const WorldWorker &w,
                    const WorldRun &r,
                    const std::string &text);
  void violation (const std::string &text);
  double chance ();
  ClockMs worker_delay ();
  ClockMs over_link (int host, gsize bytes);
  int ask (int host,
           RequestOp op,
           const std::string &path,
           const std::string &token,
           const std::string &body,
           ClockMs patience = 3000);

  bool is_troubled () const;
  bool is_fault_free () const;
  void record_fault_times ();
  bool
  is_step_done (const SpecJob &spec, const std::string &id, int k, int step);
  bool first_step_started (const Accepted &job, const std::string &id) const;
  gint64 urgent_demand () const;
  void on_accepted (Accepted &job);
  void read_spec (Accepted &job);
  void check_order (const WorldRun &r, const SpecJob &spec);
  void check_route (const WorldWorker &w, const WorldRun &r, const SpecJob &s);
  void check_drain (const WorldWorker &w, const WorldRun &r);
  void check_state (const std::string &id, const WorldAnswer &answer);
  void check_reclaim ();

  ClockMs last_work_ = 0;    /* when the runs' work was counted last */
  ClockMs last_trouble_ = 0; /* of hosts, their ways or the store */
  ClockMs last_worker_trouble_ = 0;
  ClockMs now_ = 1000;
  ClockMs wall_ = 1700000000000;
  GRand *rng_;
  WorldLink link_;
  std::multimap<ClockMs, std::function<void ()> > events_;
  std::map<std::string, Item> items_;
  std::map<gint64, Lease> leases_;
  std::vector<Change> history_;
  std::vector<Watch> watches_;
  std::vector<Hold> holds_;
  std::set<std::pair<int, gint64> > looks_; /* by host and call */
  gint64 revision_ = 5;
  gint64 compacted_ = 0;
  gint64 last_lease_ = 100;
  gint64 highest_fence_ = 0; /* of the orders so far */
  int last_request_ = 0;
  std::map<int, WorldAnswer> answers_;
  std::map<int, std::string> submits_;
  std::map<int, std::string> cancels_;
  std::map<int, std::string> states_;
  std::set<std::string> done_units_; /* ended well, acknowledged or not */
  std::map<std::string, Accepted> jobs_;
  std::multimap<std::string, ClockMs> started_;
  /* Ends that have been acknowledged, by task, or by gang. */
  std::multimap<std::string, ClockMs> failed_;
  std::map<std::string, ClockMs> done_;
};

/* The job that TASK, a name, is of, and the N-th number in the name. */
std::string world_job (const std::string &task);
int world_word (const std::string &task, int n);

/* What TEXT has a task do. */
TaskPlan world_plan (const std::string &text);

/* The task, or the gang that it is of. */
std::string world_unit (const std::string &task, bool gang);

std::string world_body (const std::string &steps,
                        const std::string &text = "ms=1000");
std::string
world_step (int count, int cpu, int gpu, const std::string &extra = "");

#endif
