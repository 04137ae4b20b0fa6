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
  ClockMs caller_timeout = 3000;
};

/* What a task does, told in its text: "ms=2000 gang=3 fail". */
struct TaskPlan
{
  ClockMs duration = 1000;
  int gang_size = 0;
  bool fail = false;
};

struct WorldRun
{
  std::string task;
  gint64 run;
  TaskPlan plan;
  ClockMs arrived_at;
  ClockMs started_at = CLOCK_NEVER; /* a gang's: when it was whole */
  double work_done = 0;             /* of PLAN's time */
  double slowdown = 1.0;            /* of the slowest worker that it runs on */
  PoolRoom resources;
};

struct WorldEnd
{
  gint64 number;
  std::string task;
  gint64 run;
  RunEnd how;
  ClockMs ended_at;
  bool lease_expired; /* the worker's lease lapsed before it was acknowledged */
};

struct WorldWorker
{
  std::string id;
  std::string rack;
  bool alive = true;
  bool draining = false;
  ClockMs drain_started_at = CLOCK_NEVER; /* when it first said so */
  bool fails_all = false;
  ClockMs fails_after = CLOCK_NEVER; /* at the end of the task at the latest */
  bool hangs = false;
  double slowdown = 1.0;         /* its tasks take so many times as long */
  double progress_factor = 1.0;  /* how much too fast its percent rises */
  ClockMs reply_delay = 0;       /* more than usual */
  ClockMs unreachable_until = 0; /* neither hosts nor the store reach it */
  double late_call_rate = 0; /* of orders without an answer, executed later */
  gint64 incarnation = 1;
  gint64 fence = 0;
  double clock_rate = 1.0;   /* of its clock */
  gint64 lease_deadline = 0; /* of its lease, on its clock */
  gint64 last_end_number = 0;
  std::map<std::string, WorldRun> runs;
  std::map<std::string, gint64> tombstones;
  std::vector<WorldEnd> unacked_ends;
  PoolRoom capacity { 64000, 256000, 8 };
};

struct WorldHost
{
  std::string name;
  Node *node = nullptr;
  bool frozen = false;
  ClockMs store_refuses_until = 0; /* the store turns it away */
  ClockMs store_silent_until = 0;  /* its calls are lost on their way */
  ClockMs wall_offset = 0;         /* of its time of day */
  int incarnation = 0;
  double link_free_at = 0; /* when all that it has sent is out */
  int n_store_calls = 0;
};

/* The hosts' links: RATE in bytes a second, 0 for links that are never full;
   TOLD says whether the hosts know it. */
struct WorldLink
{
  gint64 bytes_per_s = 0;
  bool known_to_hosts = true;
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
  void remove_worker (int worker);
  void put_worker (int worker);
  void drop_worker_entry (int worker);
  void put_conf (gint64 version,
                 const std::string &token,
                 const std::string &extra_route = "");
  void compact ();
  void order (int worker,
              const std::string &task,
              const std::string &text = "ms=1000");
  void forge_completed (const std::string &id);
  void forge_gone (const std::string &id);
  void forge (const std::string &key, const std::string &value);
  bool is_violated (const std::string &rule) const;
  int scheduler () const;
  int starts (const std::string &task) const;
  int n_polls = 0;
  size_t peak_immediate_polls =
      0; /* that waited for no end, under way at once */
  int
  n_starts () const
  {
    return (int)started_.size ();
  }
  int n_keys (const std::string &prefix) const;
  void expect_all_final ();
  void expect_no_violations ();
  int count_lines (const std::string &part) const;
  void check_acked_ends ();

  std::vector<WorldHost> hosts;
  std::vector<WorldWorker> workers;
  ClockMs store_down_until = 0;        /* silent; nothing is executed */
  bool pause_leases_in_outage = false; /* while the store is down */
  double store_reply_loss_rate = 0; /* of answers to writes; executed at once */
  bool forbid_stale_calls = false; /* no order of a former scheduler may come */
  bool reorder_calls = false;      /* calls to one worker pass each other */
  double store_late_write_rate = 0; /* of writes: executed seconds later */
  std::string extra_tenants_json;   /* of the next configuration: ",{...}" */
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
    ClockMs expires_at;
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
    int incarnation;
    gint64 id;
    std::string prefix;
    gint64 after;
    ClockMs deadline;
    ClockMs sent_at;
    bool done;
  };
  struct Poll
  {
    int host;
    int incarnation;
    gint64 id;
    int worker;
    ClockMs deadline;
  };
  struct SubmittedJob
  {
    ClockMs accepted_at = CLOCK_NEVER;
    ClockMs cancelled_at = CLOCK_NEVER;
    std::string body;
    gint64 attempts = 4;
    std::string final_state;
    std::shared_ptr<SpecJob> spec; /* NULL when it can't be read */
    bool guaranteed =
        false; /* urgent, and within its guarantee when accepted */
    bool guarantee_checked = false; /* whether that was kept */
    bool urgent = false;
    bool own_workspace = false; /* the first one's token was used */
    int n_submissions = 0;      /* to hand it in */
    int n_refusals = 0;         /* of them */
  };

  void schedule (ClockMs when, std::function<void ()> what);
  void pump (int host);
  void apply_effect (int host, Effect *e);
  void record_answer (int host, const Answer &a);
  bool store_drops_calls (int host) const;
  void store_call (int host, const KvCall *call);
  void store_execute (const KvCall *call, KvReply *reply);
  void store_txn (const KvCall *call, KvReply *reply);
  void write (const std::string &key, const std::string &value, gint64 lease);
  void erase (const std::string &key);
  void answer_watches ();
  bool fill_watch (const Watch &w, KvReply *reply);
  void deliver (int host,
                int incarnation,
                ClockMs delay,
                std::function<void (Node *)> what);
  void reply_kv (int host,
                 int incarnation,
                 gint64 id,
                 std::shared_ptr<KvReply> reply,
                 ClockMs delay);
  void run_call (int host, const RunCall *call);
  void
  execute_worker_call (WorldWorker &w, const RunCall &call, RunReply *reply);
  void start (WorldWorker &w, const RunCall &call, RunReply *reply);
  void on_end_acked (const WorldEnd &e);
  void end_run (WorldWorker &w, const std::string &task, RunEnd how);
  void fill_poll_reply (const WorldWorker &w, RunReply *reply);
  void reply_run (int host,
                  int incarnation,
                  std::shared_ptr<RunReply> reply,
                  ClockMs delay);
  void tick_workers ();
  void tick_gangs ();
  void tick_work ();
  void tick_leases ();
  gint64 worker_clock (const WorldWorker &w) const;
  bool is_reachable (const WorldWorker &w) const;
  void check_start (const WorldWorker &w,
                    const WorldRun &r,
                    const std::string &text);
  void violation (const std::string &text);
  double chance ();
  ClockMs worker_delay ();
  ClockMs reserve_link (int host, gsize bytes);
  int send_request (int host,
                    RequestOp op,
                    const std::string &path,
                    const std::string &token,
                    const std::string &body,
                    ClockMs patience = 3000);

  bool has_host_or_store_fault () const;
  bool is_calm () const;
  void look_for_trouble ();
  bool is_done (const SpecJob &spec, const std::string &id, int k, int step);
  bool has_begun (const SubmittedJob &job, const std::string &id) const;
  gint64 urgent_demand () const;
  void on_accepted (SubmittedJob &job);
  void read_spec (SubmittedJob &job);
  void check_order (const WorldRun &r, const SpecJob &spec);
  void check_route (const WorldWorker &w, const WorldRun &r, const SpecJob &s);
  void check_drain (const WorldWorker &w, const WorldRun &r);
  void check_state (const std::string &id, const WorldAnswer &answer);
  void check_reclaim ();

  ClockMs last_work_at_ = 0;  /* when the runs' work was counted last */
  ClockMs last_fault_at_ = 0; /* of hosts, their ways or the store */
  ClockMs last_worker_fault_at_ = 0;
  ClockMs now_ = 1000;
  ClockMs wall_ = 1700000000000;
  GRand *rng_;
  WorldLink link_;
  std::multimap<ClockMs, std::function<void ()> > events_;
  std::map<std::string, Item> items_;
  std::map<gint64, Lease> leases_;
  std::vector<Change> history_;
  std::vector<Watch> watches_;
  std::vector<Poll> polls_;
  std::set<std::pair<int, gint64> > immediate_polls_; /* by host and call */
  gint64 revision_ = 5;
  gint64 compacted_ = 0;
  gint64 last_lease_ = 100;
  gint64 highest_fence_ = 0; /* of the orders so far */
  int last_request_ = 0;
  std::map<int, WorldAnswer> answers_;
  std::map<int, std::string> submits_;
  std::map<int, std::string> cancels_;
  std::map<int, std::string> states_;
  std::set<std::string> completed_units_; /* ended well, acknowledged or not */
  std::map<std::string, SubmittedJob> jobs_;
  std::multimap<std::string, ClockMs> started_;
  /* Ends that have been acknowledged, by task, or by gang. */
  std::multimap<std::string, ClockMs> acked_failures_;
  std::map<std::string, ClockMs> acked_completions_;
};

/* The job that TASK, a name, is of, and the N-th number in the name. */
std::string task_job_id (const std::string &task);
int task_name_number (const std::string &task, int n);

/* What TEXT has a task do. */
TaskPlan parse_task_plan (const std::string &text);

/* The task, or the gang that it is of. */
std::string task_unit (const std::string &task, bool gang);

std::string world_body (const std::string &steps,
                        const std::string &text = "ms=1000");
std::string
world_step (int count, int cpu, int gpu, const std::string &extra = "");

#endif
