#include "json.h"
#include "runner.h"
#include "standin.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* One runner as a process of its own, or several, each on a port.  They report
   themselves to the stand-in's store every heartbeat.  Signals: SIGUSR1 has
   them announce that they drain; at SIGTERM they close their ports, have their
   entries removed, and are gone a little later; their runs go on until then. */

enum
{
  LOOK_MS = 10,
  REPORT_TIMEOUT_MS = 1000,
  MAX_URL = 200
};

typedef struct Member Member;

typedef struct RunnerProcess
{
  Server *server;
  StandinPlace place;
  char *id;
  char *store;    /* address, by which reports go */
  int advertised; /* first port that they are said to have; 0: their own */
  RunnerShape shape;
  int slow;
  int max_lease_ms;
  int drain_ms;
  int linger_ms;
  int heartbeat_ms;
  gint64 born;
  int n_members;
  Member *members;
  Timer look;
  ClockMs drains_until; /* 0 while it doesn't drain */
  ClockMs gone_at;      /* 0 until it leaves */
  GMutex lock;          /* of the two times above */
  GCond news;
} RunnerProcess;

/* One of the runners of a process. */
struct Member
{
  RunnerProcess *process;
  int index;
  char *id;
  Runner *runner;
  CURL *curl; /* for its reports */
};

static volatile sig_atomic_t told_to_drain;
static volatile sig_atomic_t told_to_leave;

static void
on_signal (int number)
{
  if (number == SIGUSR1)
    told_to_drain = 1;
  else
    told_to_leave = 1;
}

static size_t
swallow (char *data, size_t size, size_t n, void *owner)
{
  (void)data;
  (void)owner;
  return size * n;
}

/* Sends TEXT as the entry of M, or has the entry removed when that is NULL. */
static void
report (const Member *m, const char *text)
{
  char url[MAX_URL];
  CURL *curl = m->curl;

  g_snprintf (url, sizeof url, "http://%s/standin/entry/%s", m->process->store,
              m->id);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)REPORT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, swallow);
  if (text)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_perform (curl);
}

static char *
entry_text (const Member *m)
{
  const RunnerProcess *p = m->process;
  const RunnerEntry e = {
    .address = p->place.address,
    .port = (p->advertised ? p->advertised : p->place.port) + m->index,
    .shape = p->shape,
    .born = p->born,
    .draining = p->drains_until > 0,
    .drain_remaining = MAX (p->drains_until - server_now (), 0),
  };

  return runner_entry_text (&e);
}

/* Reports one member until its process leaves, in a thread of its own: a
   report may take long. */
static gpointer
report_all (gpointer data)
{
  Member *m = data;
  RunnerProcess *p = m->process;
  char *text;

  m->curl = curl_easy_init ();

  g_mutex_lock (&p->lock);
  while (!p->gone_at)
    {
      text = entry_text (m);
      g_mutex_unlock (&p->lock);
      report (m, text);
      g_free (text);
      g_mutex_lock (&p->lock);
      if (!p->gone_at)
        g_cond_wait_until (&p->news, &p->lock,
                           g_get_monotonic_time () +
                               p->heartbeat_ms * G_TIME_SPAN_MILLISECOND);
    }
  g_mutex_unlock (&p->lock);
  report (m, NULL);
  curl_easy_cleanup (m->curl);
  return NULL;
}

static void
print_all (const RunnerProcess *p, const char *what)
{
  int i;

  for (i = 0; i < p->n_members; i++)
    runner_print (p->members[i].runner, what);
}

/* Does what the signals ask for. */
static void
obey (RunnerProcess *p)
{
  g_mutex_lock (&p->lock);
  if (told_to_drain && !p->drains_until)
    {
      p->drains_until = server_now () + p->drain_ms;
      print_all (p, "drain");
      g_cond_broadcast (&p->news);
    }
  if (told_to_leave && !p->gone_at)
    {
      server_stop_listening (p->server);
      p->gone_at = server_now () + p->linger_ms;
      print_all (p, "leave");
      g_cond_broadcast (&p->news);
    }
  g_mutex_unlock (&p->lock);
}

static void
on_look (Core *unused, Timer *t)
{
  RunnerProcess *p = t->owner;
  int i;

  (void)unused;
  obey (p);
  for (i = 0; i < p->n_members; i++)
    runner_look (p->members[i].runner);
  if (p->gone_at && p->gone_at <= server_now ())
    {
      print_all (p, "gone");
      _Exit (EXIT_SUCCESS);
    }
  server_arm (p->server, t, server_now () + LOOK_MS);
}

static void
watch_signals (void)
{
  const struct sigaction act = { .sa_handler = on_signal };

  sigaction (SIGUSR1, &act, NULL);
  sigaction (SIGTERM, &act, NULL);
}

/* Has member I of P listen.  Returns FALSE and sets ERROR when its port can't
   be had. */
static gboolean
add_member (RunnerProcess *p, int i, GError **error)
{
  Member *m = &p->members[i];
  const RunnerLife life = {
    .id = p->n_members > 1 ? g_strdup_printf ("%s.%d", p->id, i) : p->id,
    .born = p->born,
    .zero = server_now (),
    .slow = p->slow,
    .max_lease = p->max_lease_ms,
  };

  *m = (Member) { .process = p,
                  .index = i,
                  .id = (char *)life.id,
                  .runner = runner_new (&life) };
  return standin_listen (p->server, &p->place, i, runner_on_request, m->runner,
                         error);
}

static gboolean
serve (RunnerProcess *p, GError **error)
{
  int i;

  p->born = g_get_real_time () / G_TIME_SPAN_MILLISECOND;
  p->server = server_new ();
  p->members = g_new0 (Member, p->n_members);
  p->look = (Timer) { .fire = on_look, .owner = p };
  for (i = 0; i < p->n_members; i++)
    if (!add_member (p, i, error))
      return FALSE;
  print_all (p, "born");
  for (i = 0; i < p->n_members; i++)
    g_thread_unref (g_thread_new ("report", report_all, &p->members[i]));
  server_arm (p->server, &p->look, server_now ());
  server_run (p->server, server_now () + (ClockMs)p->place.seconds * 1000);
  print_all (p, "gone");
  return TRUE;
}

/* Serves as one runner for a while. */
int
standin_runner (int argc, char **argv, GError **error)
{
  static RunnerProcess p = { .place = { .port = 17401, .seconds = 60 },
                             .n_members = 1,
                             .drain_ms = 6000,
                             .linger_ms = 300,
                             .heartbeat_ms = 1500 };
  const GOptionEntry entries[] = {
    { "id", 0, 0, G_OPTION_ARG_STRING, &p.id, "the runner's id", "ID" },
    { "members", 0, 0, G_OPTION_ARG_INT, &p.n_members,
      "be N runners, ID.0 to ID.N-1, each on a port", "N" },
    { "store", 0, 0, G_OPTION_ARG_STRING, &p.store,
      "report to the stand-in's store at ADDRESS", "ADDRESS" },
    { "advertise", 0, 0, G_OPTION_ARG_INT, &p.advertised,
      "say that the runner listens on PORT, the first if there are several",
      "PORT" },
    { "rack", 0, 0, G_OPTION_ARG_INT, &p.shape.rack, "stand in rack N", "N" },
    { "zone", 0, 0, G_OPTION_ARG_STRING, &p.shape.zone, "stand in ZONE",
      "ZONE" },
    { "cpu", 0, 0, G_OPTION_ARG_INT, &p.shape.cpu_milli,
      "have N thousandths of a core", "N" },
    { "memory", 0, 0, G_OPTION_ARG_INT, &p.shape.mem_mb, "have N MB", "N" },
    { "accelerators", 0, 0, G_OPTION_ARG_INT, &p.shape.accelerators, "have N",
      "N" },
    { "max-lease", 0, 0, G_OPTION_ARG_INT, &p.max_lease_ms,
      "grant a lease of N ms at most", "N" },
    { "slow", 0, 0, G_OPTION_ARG_INT, &p.slow,
      "have a clock that is slow by N permille", "N" },
    { "drain", 0, 0, G_OPTION_ARG_INT, &p.drain_ms,
      "announce N ms when it drains", "N" },
    { "linger", 0, 0, G_OPTION_ARG_INT, &p.linger_ms,
      "be gone N ms after it has closed its port", "N" },
    { "heartbeat", 0, 0, G_OPTION_ARG_INT, &p.heartbeat_ms, "report every N ms",
      "N" },
    { NULL }
  };

  p.shape = runner_usual_shape;
  p.max_lease_ms = (int)runner_usual_max_lease;
  if (!standin_options ("One of the platform's runners, or several.", entries,
                        &p.place, argc, argv, error))
    return EXIT_FAILURE;
  if (!p.id || !p.store || p.n_members < 1)
    {
      g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                   "--id and --store are needed, and a member");
      return EXIT_FAILURE;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  watch_signals ();
  return serve (&p, error) ? EXIT_SUCCESS : EXIT_FAILURE;
}
