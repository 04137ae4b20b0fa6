#include "loop.h"

#include <apr_general.h>
#include <apr_portable.h>
#include <stdlib.h>
#include <time.h>

enum
{
  POLL_BATCH = 1024
};

static const ClockMs us_per_ms = 1000;
static const ClockMs ns_per_ms = 1000000;
static const ClockMs ms_per_s = 1000;

struct LoopWatch
{
  apr_pollfd_t pfd;
  LoopReady ready;
  void *owner;
  gboolean polled;
  gboolean bulk;      /* may wait while others are served */
  guint64 ready_step; /* found ready then and not served since; 0: not ready */
  int ready_events;   /* found by loop_wait */
  LoopWatch *next_free;
};

struct Loop
{
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  LoopWatch *free_watches;
  LoopWatch **due;
  int n_due;
  guint64 step;
  ClockMs now;
};

/* Returns a loop, or NULL when the system gives no pollset. */
Loop *
loop_new (void)
{
  Loop *l = g_new0 (Loop, 1);

  apr_initialize ();
  apr_pool_create (&l->pool, NULL);
  l->due = g_new0 (LoopWatch *, POLL_BATCH);
  if (apr_pollset_create (&l->pollset, POLL_BATCH, l->pool,
                          APR_POLLSET_NOCOPY) != APR_SUCCESS)
    {
      loop_free (l);
      return NULL;
    }
  loop_read_clock (l);
  return l;
}

/* Releases L; watched descriptors stay open. */
void
loop_free (Loop *l)
{
  if (!l)
    return;
  g_free (l->due);
  apr_pool_destroy (l->pool);
  apr_terminate ();
  g_free (l);
}

/* Returns the pool that lives as long as L. */
apr_pool_t *
loop_pool (const Loop *l)
{
  return l->pool;
}

/* Returns the time of the present step, in milliseconds since the machine
   started, with the time that it was suspended. */
ClockMs
loop_now (const Loop *l)
{
  return l->now;
}

/* Reads the clock anew and returns it.  It counts suspension, so that a
   lease that lapsed meanwhile is seen to have lapsed. */
ClockMs
loop_read_clock (Loop *l)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  l->now = t.tv_sec * ms_per_s + t.tv_nsec / ns_per_ms;
  return l->now;
}

/* Waits LONGEST milliseconds at most for descriptors to become ready; their
   owners are called by loop_dispatch. */
void
loop_wait (Loop *l, ClockMs longest)
{
  const apr_pollfd_t *ready = NULL;
  apr_int32_t n = 0;
  int i;

  if (apr_pollset_poll (l->pollset, longest * us_per_ms, &n, &ready) !=
      APR_SUCCESS)
    n = 0;
  loop_read_clock (l);
  l->step++;
  for (i = 0; i < n; i++)
    {
      LoopWatch *w = ready[i].client_data;

      w->ready_events = ready[i].rtnevents;
      if (!w->ready_step)
        w->ready_step = l->step;
      l->due[i] = w;
    }
  l->n_due = n;
}

/* Sorts watches by the order in which they are served: bulk ones last, and of
   these the one first that has been ready for longest. */
static int
compare_watches (const void *a, const void *b)
{
  const LoopWatch *x = *(LoopWatch *const *)a;
  const LoopWatch *y = *(LoopWatch *const *)b;

  if (x->bulk != y->bulk)
    return x->bulk ? 1 : -1;
  if (x->ready_step != y->ready_step)
    return x->ready_step < y->ready_step ? -1 : 1;
  return 0;
}

static void
serve (LoopWatch *w)
{
  w->ready_step = 0;
  w->ready (w->owner, w->ready_events);
}

/* Calls the owners of the descriptors that loop_wait found ready, but of
   MAX_BULK bulk ones at most; the others are found again by the next loop_wait.
   Returns how many of these there were. */
guint
loop_dispatch (Loop *l, guint max_bulk)
{
  guint n_bulk = 0;
  int i;

  qsort (l->due, (size_t)l->n_due, sizeof *l->due, compare_watches);
  for (i = 0; i < l->n_due; i++)
    {
      LoopWatch *w = l->due[i];

      if (w && (!w->bulk || n_bulk++ < max_bulk))
        serve (w);
    }
  l->n_due = 0;
  return n_bulk;
}

/* Waits like loop_wait and serves all that are ready. */
void
loop_poll (Loop *l, ClockMs longest)
{
  loop_wait (l, longest);
  loop_dispatch (l, G_MAXUINT);
}

static void
poll_add (Loop *l, LoopWatch *w)
{
  w->polled = w->pfd.reqevents != 0 &&
              apr_pollset_add (l->pollset, &w->pfd) == APR_SUCCESS;
}

static void
poll_remove (Loop *l, LoopWatch *w)
{
  if (w->polled)
    apr_pollset_remove (l->pollset, &w->pfd);
  w->polled = FALSE;
}

/* Watches FD, which stays the caller's, for EVENTS, APR_POLL* flags; READY
   is called with OWNER when one comes true. */
LoopWatch *
loop_watch (Loop *l, int fd, int events, LoopReady ready, void *owner)
{
  LoopWatch *w = l->free_watches;

  if (w)
    l->free_watches = w->next_free;
  else
    w = apr_pcalloc (l->pool, sizeof *w);
  w->pfd.p = l->pool;
  w->pfd.desc_type = APR_POLL_SOCKET;
  w->pfd.client_data = w;
  w->pfd.reqevents = (apr_int16_t)events;
  w->ready = ready;
  w->owner = owner;
  w->bulk = FALSE;
  w->ready_step = 0;
  apr_os_sock_put (&w->pfd.desc.s, &fd, l->pool);
  poll_add (l, w);
  return w;
}

/* Lets W wait while others are served. */
void
loop_watch_set_bulk (LoopWatch *w)
{
  w->bulk = TRUE;
}

/* Changes what W waits for to EVENTS; 0 for nothing. */
void
loop_watch_set (Loop *l, LoopWatch *w, int events)
{
  if (w->pfd.reqevents == events)
    return;
  poll_remove (l, w);
  w->pfd.reqevents = (apr_int16_t)events;
  poll_add (l, w);
}

/* Ends W, which may be NULL.  To be called while its descriptor is open. */
void
loop_unwatch (Loop *l, LoopWatch *w)
{
  int i;

  if (!w)
    return;
  poll_remove (l, w);
  for (i = 0; i < l->n_due; i++)
    if (l->due[i] == w)
      l->due[i] = NULL;
  w->next_free = l->free_watches;
  l->free_watches = w;
}
