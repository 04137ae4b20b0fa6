#include "route.h"

enum
{
  PERMILLE = 1000,
  SAMPLES_MIN = 2600,    /* decayed permille: three recent samples */
  OTHERS_FAIL_MAX = 250, /* permille of failures that others may have */
  UNREACHABLE_AFTER = 2, /* lost or unsent in a row */
  BACKOFF_MIN_MS = 1000,
  BACKOFF_MAX_MS = 60000,
  BUSY_MS = 50,         /* no new work after "busy" */
  SLOW_PERMILLE = 2500, /* of the latency usual for the kind */
  SLOW_SAMPLES = 4,
  SLOW_TRIAL_MS = 5000,
  N_DRAWS = 8
};

/* A thing that fails, is left alone with growing back-off, and is tried. */
typedef struct RouteState
{
  RouteHealth health;
  gint64 failed; /* decayed, in permille of a sample */
  gint64 seen;
  ClockMs retry_at;
  ClockMs backoff;
} RouteState;

typedef struct RouteUpstream
{
  char *name;
  int index;
  gboolean own;
  gboolean leaving;
  gint64 limit;
  gint64 running;
  guint place; /* in AVAILABLE, from 1; 0 when not there */
  ClockMs busy_until;
  gint64 slowness; /* permille of the usual latency, smoothed */
  guint samples;
  ClockMs slow_trial_at;
  guint lost_in_row;
  gboolean unreachable;
  ClockMs probe_at;
  ClockMs probe_backoff;
  RouteState kinds[ROUTE_MAX_KINDS];
} RouteUpstream;

typedef struct RouteKind
{
  gint64 failed; /* sum over the upstreams */
  gint64 seen;
  gint64 latency; /* usual, in 1/1024 ms */
  guint degraded; /* own upstreams */
} RouteKind;

struct Route
{
  GRand *rng;
  GPtrArray *upstreams;     /* of RouteUpstream */
  GHashTable *by_name;      /* to RouteUpstream */
  GHashTable *kind_by_name; /* to RouteKind */
  GArray *available; /* of int: own, with a free slot, able to take work */
  GArray *others;    /* of int: in other domains */
  RouteKind kinds[ROUTE_MAX_KINDS];
  guint n_kinds;
  guint n_usable; /* own, neither leaving nor unreachable */
  gint64 free_slots;
  gint64 slots;
};

#define ROUTE_HEALTH_NAME(kind, name) name,
static const char *const health_names[] = { ROUTE_HEALTHS (ROUTE_HEALTH_NAME) };

/* Returns the name of H. */
const char *
route_health_name (RouteHealth h)
{
  return health_names[h];
}

static RouteUpstream *
at (const Route *r, int u)
{
  return g_ptr_array_index (r->upstreams, (guint)u);
}

static void
upstream_free (gpointer p)
{
  RouteUpstream *u = p;

  g_free (u->name);
  g_free (u);
}

/* Returns a router without upstreams that draws from RNG, which must
   outlive it. */
Route *
route_new (GRand *rng)
{
  Route *r = g_new0 (Route, 1);

  r->rng = rng;
  r->upstreams = g_ptr_array_new_with_free_func (upstream_free);
  r->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  r->kind_by_name =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->available = g_array_new (FALSE, FALSE, sizeof (int));
  r->others = g_array_new (FALSE, FALSE, sizeof (int));
  return r;
}

/* Releases R. */
void
route_free (Route *r)
{
  g_hash_table_unref (r->by_name);
  g_hash_table_unref (r->kind_by_name);
  g_ptr_array_unref (r->upstreams);
  g_array_unref (r->available);
  g_array_unref (r->others);
  g_free (r);
}

/* Returns the number for work of the kind called NAME. */
guint
route_kind (Route *r, const char *name)
{
  const RouteKind *k = g_hash_table_lookup (r->kind_by_name, name);

  if (k)
    return (guint)(k - r->kinds);
  if (r->n_kinds == ROUTE_MAX_KINDS)
    return ROUTE_MAX_KINDS - 1;
  g_hash_table_insert (r->kind_by_name, g_strdup (name), &r->kinds[r->n_kinds]);
  return r->n_kinds++;
}

static gboolean
is_usable (const RouteUpstream *x)
{
  return x->own && !x->leaving && !x->unreachable && x->limit > 0;
}

static void
available_add (Route *r, int u)
{
  g_array_append_val (r->available, u);
  at (r, u)->place = r->available->len;
}

static void
available_remove (Route *r, int u)
{
  guint place = at (r, u)->place;
  int last = g_array_index (r->available, int, r->available->len - 1);

  g_array_index (r->available, int, place - 1) = last;
  at (r, last)->place = place;
  at (r, u)->place = 0;
  g_array_set_size (r->available, r->available->len - 1);
}

/* What upstream U counts for in the sums; taken out before a change and put
   back after it. */
static void
count (Route *r, const RouteUpstream *x, int sign)
{
  if (!is_usable (x))
    return;
  r->n_usable += (guint)sign;
  r->slots += sign * x->limit;
  r->free_slots += sign * MAX (0, x->limit - x->running);
}

static void
place (Route *r, int u)
{
  RouteUpstream *x = at (r, u);
  gboolean wanted = is_usable (x) && x->running < x->limit;

  count (r, x, 1);
  if (wanted && !x->place)
    available_add (r, u);
  else if (!wanted && x->place)
    available_remove (r, u);
}

/* Adds the upstream NAME, in the own failure domain or not, without any
   slot.  Returns its number, from 0. */
int
route_add (Route *r, const char *name, gboolean own)
{
  RouteUpstream *x = g_new0 (RouteUpstream, 1);
  int u = (int)r->upstreams->len;

  x->name = g_strdup (name);
  x->own = own;
  x->slowness = PERMILLE;
  x->probe_at = CLOCK_NEVER;
  g_ptr_array_add (r->upstreams, x);
  g_hash_table_insert (r->by_name, x->name, x);
  x->index = u;
  if (!own)
    g_array_append_val (r->others, u);
  return u;
}

/* Returns the number of the upstream called NAME, or ROUTE_NONE. */
int
route_find (const Route *r, const char *name)
{
  const RouteUpstream *x = g_hash_table_lookup (r->by_name, name);

  return x ? x->index : ROUTE_NONE;
}

/* Returns the number of upstreams. */
guint
route_n (const Route *r)
{
  return r->upstreams->len;
}

/* Returns the name of U. */
const char *
route_name (const Route *r, int u)
{
  return at (r, u)->name;
}

/* Tells whether U is in the own failure domain. */
gboolean
route_is_own (const Route *r, int u)
{
  return at (r, u)->own;
}

/* Tells whether there are upstreams in other failure domains. */
gboolean
route_has_others (const Route *r)
{
  return r->others->len > 0;
}

/* Sets how many requests of this node U may have in flight at once. */
void
route_set_limit (Route *r, int u, gint64 limit)
{
  if (at (r, u)->limit == limit)
    return;
  count (r, at (r, u), -1);
  at (r, u)->limit = limit;
  place (r, u);
}

/* Returns how many requests of this node U may have in flight. */
gint64
route_limit (const Route *r, int u)
{
  return at (r, u)->limit;
}

/* Returns how many requests of this node U has in flight. */
gint64
route_running (const Route *r, int u)
{
  return at (r, u)->running;
}

/* Sets whether U is leaving; a leaving one gets nothing new. */
void
route_set_leaving (Route *r, int u, gboolean leaving)
{
  if (at (r, u)->leaving == leaving)
    return;
  count (r, at (r, u), -1);
  at (r, u)->leaving = leaving;
  place (r, u);
}

/* Tells whether U is leaving. */
gboolean
route_is_leaving (const Route *r, int u)
{
  return at (r, u)->leaving;
}

/* Returns the free slots of the own domain that may be used now. */
gint64
route_free_slots (const Route *r)
{
  return r->free_slots;
}

/* Returns the slots of the own domain that may be used, free or not. */
gint64
route_slots (const Route *r)
{
  return r->slots;
}

static gboolean
was_tried (const RouteWish *wish, int u)
{
  guint i;

  for (i = 0; i < wish->n_tried; i++)
    if (wish->tried[i] == u)
      return TRUE;
  return FALSE;
}

/* Degraded upstreams are avoided only while they are fewer than half: then
   it is more likely the work that is at fault. */
static gboolean
is_avoided (const Route *r, const RouteUpstream *x, guint kind)
{
  return x->kinds[kind].health != ROUTE_HEALTHY &&
         r->kinds[kind].degraded * 2 < r->n_usable;
}

static gboolean
is_due_for_trial (const RouteUpstream *x, const RouteWish *wish, ClockMs now)
{
  const RouteState *s = &x->kinds[wish->kind];

  return wish->repeatable && s->health == ROUTE_DEGRADED && s->retry_at <= now;
}

static gboolean
is_slow (const RouteUpstream *x)
{
  return x->samples >= SLOW_SAMPLES && x->slowness > SLOW_PERMILLE;
}

static gboolean
is_eligible (const Route *r, int u, const RouteWish *wish, ClockMs now)
{
  const RouteUpstream *x = at (r, u);

  if (x->busy_until > now || was_tried (wish, u))
    return FALSE;
  if (is_avoided (r, x, wish->kind) && !is_due_for_trial (x, wish, now))
    return FALSE;
  return !is_slow (x) || wish->pressed || x->slow_trial_at <= now;
}

/* Load of U with one more request, weighted by its recent latency. */
static gint64
score (const Route *r, int u)
{
  const RouteUpstream *x = at (r, u);

  return (x->running + 1) * PERMILLE / x->limit * x->slowness;
}

static int
better (const Route *r, int a, int b)
{
  if (a == ROUTE_NONE)
    return b;
  return score (r, b) < score (r, a) ? b : a;
}

/* Samples two eligible upstreams and returns the better one; when few are
   eligible, looks at all from a random place on. */
static int
choose_own (Route *r, const RouteWish *wish, ClockMs now)
{
  guint n = r->available->len;
  int first = ROUTE_NONE;
  guint start;
  guint i;

  for (i = 0; i < N_DRAWS && n > 0; i++)
    {
      int u = g_array_index (r->available, int,
                             g_rand_int_range (r->rng, 0, (gint32)n));

      if (u == first || !is_eligible (r, u, wish, now))
        continue;
      if (first != ROUTE_NONE)
        return better (r, first, u);
      first = u;
    }
  start = n ? (guint)g_rand_int_range (r->rng, 0, (gint32)n) : 0;
  for (i = 0; i < n && first == ROUTE_NONE; i++)
    {
      int u = g_array_index (r->available, int, (start + i) % n);

      if (is_eligible (r, u, wish, now))
        first = u;
    }
  return first;
}

static gboolean
may_spill_to (const Route *r, int u, const RouteWish *wish, ClockMs now)
{
  const RouteUpstream *x = at (r, u);

  return !x->leaving && !x->unreachable && x->running < x->limit &&
         x->busy_until <= now && !was_tried (wish, u) &&
         x->kinds[wish->kind].health == ROUTE_HEALTHY;
}

static int
choose_elsewhere (Route *r, const RouteWish *wish, ClockMs now)
{
  guint n = r->others->len;
  guint i;

  for (i = 0; i < N_DRAWS && n > 0; i++)
    {
      int u = g_array_index (r->others, int,
                             g_rand_int_range (r->rng, 0, (gint32)n));

      if (may_spill_to (r, u, wish, now))
        return u;
    }
  return ROUTE_NONE;
}

static void
note_trial (Route *r, int u, const RouteWish *wish, ClockMs now)
{
  RouteUpstream *x = at (r, u);

  if (is_due_for_trial (x, wish, now))
    x->kinds[wish->kind].health = ROUTE_PROBING;
  if (is_slow (x) && x->slow_trial_at <= now)
    x->slow_trial_at = now + SLOW_TRIAL_MS;
}

/* Returns the upstream that is best for WISH at NOW, or ROUTE_NONE. */
int
route_choose (Route *r, const RouteWish *wish, ClockMs now)
{
  int u = wish->elsewhere ? choose_elsewhere (r, wish, now)
                          : choose_own (r, wish, now);

  if (u != ROUTE_NONE)
    note_trial (r, u, wish, now);
  return u;
}

/* Counts a request in flight at U. */
void
route_begin (Route *r, int u)
{
  count (r, at (r, u), -1);
  at (r, u)->running++;
  place (r, u);
}

/* Ends a request in flight at U. */
void
route_end (Route *r, int u)
{
  count (r, at (r, u), -1);
  at (r, u)->running--;
  place (r, u);
}

static ClockMs
jitter (Route *r, ClockMs span)
{
  gint32 quarter = (gint32)(span / 4);

  return span - quarter + g_rand_int_range (r->rng, 0, 2 * quarter + 1);
}

static void
set_unreachable (Route *r, int u, gboolean unreachable)
{
  if (at (r, u)->unreachable == unreachable)
    return;
  count (r, at (r, u), -1);
  at (r, u)->unreachable = unreachable;
  place (r, u);
}

static void
back_off (Route *r, ClockMs *backoff, ClockMs *until, ClockMs now)
{
  *backoff = CLAMP (2 * *backoff, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  *until = now + jitter (r, *backoff);
}

static void
learn_lost (Route *r, int u, ClockMs now)
{
  RouteUpstream *x = at (r, u);

  if (++x->lost_in_row < UNREACHABLE_AFTER || x->unreachable)
    return;
  set_unreachable (r, u, TRUE);
  back_off (r, &x->probe_backoff, &x->probe_at, now);
}

static void
learn_latency (Route *r, int u, guint kind, ClockMs latency)
{
  RouteUpstream *x = at (r, u);
  RouteKind *k = &r->kinds[kind];
  gint64 sample = MAX (1, latency) * 1024;
  gint64 ratio;

  k->latency = k->latency ? k->latency + (sample - k->latency) / 32 : sample;
  ratio = sample * PERMILLE / MAX (1, k->latency);
  if (is_slow (x) && ratio < SLOW_PERMILLE)
    x->slowness = ratio; /* one normal answer ends the suspicion */
  else
    x->slowness += (ratio - x->slowness) / 8;
  x->samples++;
}

static void
forget_samples (RouteKind *k, RouteState *s)
{
  k->failed -= s->failed;
  k->seen -= s->seen;
  s->failed = 0;
  s->seen = 0;
}

static void
set_health (Route *r, int u, guint kind, RouteHealth health)
{
  RouteState *s = &at (r, u)->kinds[kind];

  if (at (r, u)->own)
    {
      r->kinds[kind].degraded -= s->health != ROUTE_HEALTHY;
      r->kinds[kind].degraded += health != ROUTE_HEALTHY;
    }
  s->health = health;
}

/* Fails much, while the same kind of work goes well elsewhere. */
static gboolean
is_worse_than_peers (const RouteKind *k, const RouteState *s)
{
  gint64 others_failed = k->failed - s->failed;
  gint64 others_seen = k->seen - s->seen;

  return s->seen >= SAMPLES_MIN && 2 * s->failed > s->seen &&
         others_seen >= SAMPLES_MIN &&
         others_failed * PERMILLE <= others_seen * OTHERS_FAIL_MAX;
}

static void
learn_result (Route *r, int u, guint kind, gboolean failed, ClockMs now)
{
  RouteState *s = &at (r, u)->kinds[kind];
  RouteKind *k = &r->kinds[kind];
  gint64 was_failed = s->failed;
  gint64 was_seen = s->seen;

  s->failed += (failed ? PERMILLE : 0) - s->failed / 8;
  s->seen += PERMILLE - s->seen / 8;
  k->failed += s->failed - was_failed;
  k->seen += s->seen - was_seen;
  if (s->health == ROUTE_PROBING && !failed)
    {
      forget_samples (k, s);
      s->backoff = 0;
      set_health (r, u, kind, ROUTE_HEALTHY);
    }
  else if (s->health == ROUTE_PROBING ||
           (s->health == ROUTE_HEALTHY && is_worse_than_peers (k, s)))
    {
      back_off (r, &s->backoff, &s->retry_at, now);
      set_health (r, u, kind, ROUTE_DEGRADED);
    }
}

/* Learns how a request of KIND ended at U after LATENCY milliseconds. */
void
route_learn (Route *r,
             int u,
             guint kind,
             UpstreamResult result,
             ClockMs latency,
             ClockMs now)
{
  RouteUpstream *x = at (r, u);
  RouteState *s = &x->kinds[kind];

  if (result == UPSTREAM_ANSWERED || result == UPSTREAM_FAILED)
    {
      x->lost_in_row = 0;
      learn_result (r, u, kind, result == UPSTREAM_FAILED, now);
      if (result == UPSTREAM_ANSWERED)
        learn_latency (r, u, kind, latency);
      return;
    }
  if (s->health == ROUTE_PROBING)
    set_health (r, u, kind, ROUTE_DEGRADED);
  if (result == UPSTREAM_BUSY)
    x->busy_until = now + jitter (r, BUSY_MS);
  else if (result == UPSTREAM_LOST || result == UPSTREAM_UNSENT)
    learn_lost (r, u, now);
}

/* Tells whether U answers at all. */
gboolean
route_is_reachable (const Route *r, int u)
{
  return !at (r, u)->unreachable;
}

/* Returns when U wants to be probed, CLOCK_NEVER when it is reachable. */
ClockMs
route_probe_at (const Route *r, int u)
{
  return at (r, u)->unreachable ? at (r, u)->probe_at : CLOCK_NEVER;
}

/* Takes the answer to a probe of U. */
void
route_probed (Route *r, int u, gboolean healthy, ClockMs now)
{
  RouteUpstream *x = at (r, u);

  if (!x->unreachable)
    return;
  if (!healthy)
    {
      back_off (r, &x->probe_backoff, &x->probe_at, now);
      return;
    }
  x->lost_in_row = 0;
  x->probe_backoff = 0;
  set_unreachable (r, u, FALSE);
}

/* Returns the health of U for work of KIND. */
RouteHealth
route_health (const Route *r, int u, guint kind)
{
  return at (r, u)->kinds[kind].health;
}

/* Returns the recent latency of U, in permille of what is usual. */
gint64
route_slowness (const Route *r, int u)
{
  return at (r, u)->slowness;
}
