#include "json.h"
#include "runner.h"
#include "standin.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* One runner as a process of its own.  It reports itself to the stand-in's
   store every heartbeat.  Signals: SIGUSR1 has it announce that it drains;
   at SIGTERM it closes its port, has its entry removed, and is gone a little
   later; its runs go on until then. */

enum
{
  LOOK_MS = 10,
  REPORT_TIMEOUT_MS = 1000,
  MAX_URL = 200
};

typedef struct RunnerProcess
{
  Server *server;
  StandinPlace place;
  char *id;
  char *store;    /* address, by which reports go */
  int advertised; /* port that it is said to have; 0: its own */
  int rack;
  int slow;
  int drain_ms;
  int linger_ms;
  int heartbeat_ms;
  gint64 born;
  Runner *runner;
  Timer look;
  ClockMs drains_until; /* 0 while it doesn't drain */
  ClockMs gone_at;      /* 0 until it leaves */
  GMutex lock;          /* of the two times above */
  GCond news;
} RunnerProcess;

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

/* Sends TEXT as the entry of P, or has the entry removed when that is NULL. */
static void
report (const RunnerProcess *p, const char *text)
{
  char url[MAX_URL];
  CURL *curl = curl_easy_init ();

  g_snprintf (url, sizeof url, "http://%s/standin/entry/%s", p->store, p->id);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)REPORT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, swallow);
  if (text)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_perform (curl);
  curl_easy_cleanup (curl);
}

static char *
entry_text (const RunnerProcess *p)
{
  const RunnerEntry e = {
    .address = p->place.address,
    .port = p->advertised ? p->advertised : p->place.port,
    .rack = p->rack,
    .born = p->born,
    .draining = p->drains_until > 0,
    .drain_remaining = MAX (p->drains_until - server_now (), 0),
  };

  return runner_entry_text (&e);
}

/* Reports until P leaves, in a thread of its own: a report may take long. */
static gpointer
report_all (gpointer data)
{
  RunnerProcess *p = data;
  char *text;

  g_mutex_lock (&p->lock);
  while (!p->gone_at)
    {
      text = entry_text (p);
      g_mutex_unlock (&p->lock);
      report (p, text);
      g_free (text);
      g_mutex_lock (&p->lock);
      if (!p->gone_at)
        g_cond_wait_until (&p->news, &p->lock,
                           g_get_monotonic_time () +
                               p->heartbeat_ms * G_TIME_SPAN_MILLISECOND);
    }
  g_mutex_unlock (&p->lock);
  report (p, NULL);
  return NULL;
}

/* Does what the signals ask for. */
static void
obey (RunnerProcess *p)
{
  g_mutex_lock (&p->lock);
  if (told_to_drain && !p->drains_until)
    {
      p->drains_until = server_now () + p->drain_ms;
      runner_print (p->runner, "drain");
      g_cond_signal (&p->news);
    }
  if (told_to_leave && !p->gone_at)
    {
      server_stop_listening (p->server);
      p->gone_at = server_now () + p->linger_ms;
      runner_print (p->runner, "leave");
      g_cond_signal (&p->news);
    }
  g_mutex_unlock (&p->lock);
}

static void
on_look (Core *unused, Timer *t)
{
  RunnerProcess *p = t->owner;

  (void)unused;
  obey (p);
  runner_look (p->runner);
  if (p->gone_at && p->gone_at <= server_now ())
    {
      runner_print (p->runner, "gone");
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

static gboolean
serve (RunnerProcess *p, GError **error)
{
  RunnerLife life = { .id = p->id, .slow = p->slow };

  p->born = g_get_real_time () / G_TIME_SPAN_MILLISECOND;
  life.born = p->born;
  life.zero = server_now ();
  p->server = server_new ();
  p->runner = runner_new (&life);
  p->look = (Timer) { .fire = on_look, .owner = p };
  if (!standin_listen (p->server, &p->place, 0, runner_on_request, p->runner,
                       error))
    return FALSE;
  runner_print (p->runner, "born");
  g_thread_unref (g_thread_new ("report", report_all, p));
  server_arm (p->server, &p->look, server_now ());
  server_run (p->server, server_now () + (ClockMs)p->place.seconds * 1000);
  runner_print (p->runner, "gone");
  return TRUE;
}

/* Serves as one runner for a while. */
int
standin_runner (int argc, char **argv, GError **error)
{
  static RunnerProcess p = { .place = { .port = 17401, .seconds = 60 },
                             .drain_ms = 6000,
                             .linger_ms = 300,
                             .heartbeat_ms = 1500 };
  const GOptionEntry entries[] = {
    { "id", 0, 0, G_OPTION_ARG_STRING, &p.id, "the runner's id", "ID" },
    { "store", 0, 0, G_OPTION_ARG_STRING, &p.store,
      "report to the stand-in's store at ADDRESS", "ADDRESS" },
    { "advertise", 0, 0, G_OPTION_ARG_INT, &p.advertised,
      "say that the runner listens on PORT", "PORT" },
    { "rack", 0, 0, G_OPTION_ARG_INT, &p.rack, "stand in rack N", "N" },
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

  if (!standin_options ("One of the platform's runners.", entries, &p.place,
                        argc, argv, error))
    return EXIT_FAILURE;
  if (!p.id || !p.store)
    {
      g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                   "--id and --store are needed");
      return EXIT_FAILURE;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  watch_signals ();
  return serve (&p, error) ? EXIT_SUCCESS : EXIT_FAILURE;
}
