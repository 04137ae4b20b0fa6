#include "slots.h"

#include "member.h"
#include "req_state.h"
#include "slots_event.h"

#include <string.h>

REC_DEFINE (SlotsCount, slots_count, SLOTS_COUNT_FIELDS)
REC_DEFINE (SlotsWant, slots_want, SLOTS_WANT_FIELDS)
REC_DEFINE (SlotsLend, slots_lend, SLOTS_LEND_FIELDS)
REC_DEFINE (SlotsHeld, slots_held, SLOTS_HELD_FIELDS)

enum
{
  SYNC_MS = 100,
  WANT_MS = 100,          /* between two asks for slots */
  LOAN_SETTLED_MS = 1000, /* a loan message is there or lost by then */
  LOAN_LOST_MS = 5000,    /* unconfirmed so long, a loan is taken back */
  MOST_WANTED = 16
};

/* Loans with one peer, by upstream. */
typedef struct SlotsPeer
{
  char *name;
  guint *lent;
  guint *borrowed;
  guint n_lent;
  guint n_borrowed;
  gint64 lent_sequence;
  gint64 borrowed_sequence;
  ClockMs lent_at;
  ClockMs heard;
} SlotsPeer;

struct Slots
{
  GPtrArray *peers; /* of SlotsPeer, in the order of first loans */
  guint n_hosts;    /* that share the upstreams, the own one included */
  guint rank;
  gboolean drawn; /* the shares have been worked out */
  ClockMs synced;
  ClockMs wanted;
};

/* Returns the slots of an upstream with TOTAL slots that the host of RANK
   among N_HOSTS gets.  SALT, the upstream's number, spreads the remainders.
   The shares of all ranks sum to TOTAL. */
gint64
slots_share (gint64 total, guint n_hosts, guint rank, guint salt)
{
  if (n_hosts == 0)
    return total;
  return total / n_hosts + ((rank + salt) % n_hosts < total % n_hosts);
}

static void
peer_free (gpointer p)
{
  SlotsPeer *x = p;

  g_free (x->name);
  g_free (x->lent);
  g_free (x->borrowed);
  g_free (x);
}

/* Returns the shares of node C, not yet worked out. */
Slots *
slots_new (Core *c)
{
  Slots *s = g_new0 (Slots, 1);

  (void)c;
  s->peers = g_ptr_array_new_with_free_func (peer_free);
  return s;
}

/* Releases S. */
void
slots_free (Slots *s)
{
  g_ptr_array_unref (s->peers);
  g_free (s);
}

static SlotsPeer *
peer_at (const Slots *s, guint i)
{
  return g_ptr_array_index (s->peers, i);
}

static SlotsPeer *
peer_get (Core *c, const char *name)
{
  Slots *s = c->req->slots;
  SlotsPeer *x;
  guint i;

  for (i = 0; i < s->peers->len; i++)
    if (strcmp (peer_at (s, i)->name, name) == 0)
      return peer_at (s, i);
  x = g_new0 (SlotsPeer, 1);
  x->name = g_strdup (name);
  x->lent = g_new0 (guint, c->cfg->upstreams.n);
  x->borrowed = g_new0 (guint, c->cfg->upstreams.n);
  g_ptr_array_add (s->peers, x);
  return x;
}

static gint64
own_share (Core *c, guint u)
{
  const Slots *s = c->req->slots;
  const ConfigUpstream *x = config_upstream (c->cfg, u);

  return slots_share (MIN (x->slots, x->connections), s->n_hosts, s->rank, u);
}

static gint64
lent_of (const Slots *s, guint u)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < s->peers->len; i++)
    n += peer_at (s, i)->lent[u];
  return n;
}

static gint64
borrowed_of (const Slots *s, guint u)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < s->peers->len; i++)
    n += peer_at (s, i)->borrowed[u];
  return n;
}

/* Sets the limit of upstream U from share and loans. */
static void
apply (Core *c, guint u)
{
  const Slots *s = c->req->slots;
  gint64 limit = own_share (c, u) - lent_of (s, u) + borrowed_of (s, u);

  if (route_is_own (c->req->route, (int)u))
    route_set_limit (c->req->route, (int)u, MAX (0, limit));
}

static void
apply_all (Core *c)
{
  guint u;

  for (u = 0; u < c->cfg->upstreams.n; u++)
    {
      const char *name = config_upstream (c->cfg, u)->name;

      apply (c, u);
      route_set_leaving (c->req->route, (int)u, member_is_leaving (c, name));
    }
}

/* Hosts that drain still count: they finish what waits at them. */
static void
rank_self (Core *c)
{
  Slots *s = c->req->slots;
  guint i;

  s->n_hosts = 0;
  s->rank = 0;
  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (strcmp (h->domain, c->cfg->domain) != 0)
        continue;
      if (h->self)
        s->rank = s->n_hosts;
      if (h->self || h->state == MEMBER_LIVE || h->state == MEMBER_DRAINING)
        s->n_hosts++;
    }
}

/* Brings the shares in line with the hosts and upstreams known now; looks at
   most every SYNC_MS. */
void
slots_sync (Core *c)
{
  Slots *s = c->req->slots;

  if (s->drawn && c->now - s->synced < SYNC_MS)
    return;
  s->drawn = TRUE;
  s->synced = c->now;
  rank_self (c);
  apply_all (c);
}

static guint
count_candidates (Core *c, guint pick, const char **name)
{
  guint n = 0;
  guint i;

  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (h->self || h->state != MEMBER_LIVE ||
          strcmp (h->domain, c->cfg->domain) != 0)
        continue;
      if (n++ == pick && name)
        *name = h->name;
    }
  return n;
}

/* Asks a live peer of the own domain, drawn at random, for up to N idle
   slots; at most every WANT_MS. */
void
slots_borrow (Core *c, guint n)
{
  Slots *s = c->req->slots;
  guint candidates = count_candidates (c, 0, NULL);
  const char *name = NULL;

  if (candidates == 0 || c->draining || c->now - s->wanted < WANT_MS)
    return;
  s->wanted = c->now;
  count_candidates (c, (guint)core_random (c, (gint32)candidates), &name);
  core_add (c, COUNT_SLOTS_WANTED, 1);
  core_emit (c, MSG_SLOTS_WANT, name,
             &(SlotsWant) { .n = MIN (n, MOST_WANTED) });
}

static guint
idle_own (Core *c, guint u)
{
  Route *route = c->req->route;
  gint64 free_slots =
      route_limit (route, (int)u) - route_running (route, (int)u);
  gint64 own = own_share (c, u) - lent_of (c->req->slots, u);

  if (!route_is_own (route, (int)u) || route_is_leaving (route, (int)u) ||
      !route_is_reachable (route, (int)u))
    return 0;
  return (guint)CLAMP (MIN (free_slots, own), 0, G_MAXINT32);
}

static void
add_count (RecList *list, const char *upstream, guint n)
{
  SlotsCount *item = rec_list_add (slots_count_desc (), list);

  rec_set_str (&item->upstream, upstream);
  item->n = n;
}

static void
lend (Core *c, SlotsPeer *to, guint n, SlotsLend *msg)
{
  guint n_upstreams = c->cfg->upstreams.n;
  guint start = (guint)core_random (c, (gint32)n_upstreams);
  guint i;

  for (i = 0; i < n_upstreams && n > 0; i++)
    {
      guint u = (start + i) % n_upstreams;
      guint idle = MIN (n, idle_own (c, u));

      if (idle == 0)
        continue;
      to->lent[u] += idle;
      to->n_lent += idle;
      n -= idle;
      add_count (&msg->items, route_name (c->req->route, (int)u), idle);
      apply (c, u);
    }
}

/* Lends a peer up to half of the idle slots, none while own work waits for
   them. */
void
slots_on_want (Core *c, const Event *e)
{
  const SlotsWant *m = e->body;
  SlotsLend *msg;
  SlotsPeer *to;
  gint64 most;

  slots_sync (c);
  most = MIN (m->n, route_free_slots (c->req->route) / 2);
  if (most <= 0 || fair_startable (c->req->fair) || !member_find (c, e->peer))
    return;
  to = peer_get (c, e->peer);
  msg = rec_new (slots_lend_desc ());
  lend (c, to, (guint)most, msg);
  msg->sequence = ++to->lent_sequence;
  to->lent_at = c->now;
  to->heard = c->now;
  if (msg->items.n)
    core_emit (c, MSG_SLOTS_LEND, e->peer, msg);
  rec_free (slots_lend_desc (), msg);
}

/* Takes a loan. */
void
slots_on_lend (Core *c, const Event *e)
{
  const SlotsLend *m = e->body;
  SlotsPeer *from = peer_get (c, e->peer);
  guint i;

  if (m->sequence <= from->borrowed_sequence)
    return;
  from->borrowed_sequence = m->sequence;
  for (i = 0; i < m->items.n; i++)
    {
      const SlotsCount *x = rec_list_at (slots_count_desc (), &m->items, i);
      int u = route_find (c->req->route, x->upstream);

      if (u == ROUTE_NONE)
        continue;
      from->borrowed[u] += (guint)x->n;
      from->n_borrowed += (guint)x->n;
      core_add (c, COUNT_SLOTS_BORROWED, x->n);
      apply (c, (guint)u);
    }
  req_pump (c);
}

/* Handles a peer's report of the slots that it still holds. */
void
slots_on_held (Core *c, const Event *e)
{
  const SlotsHeld *m = e->body;
  SlotsPeer *to = peer_get (c, e->peer);
  guint i;

  if (m->sequence < to->lent_sequence && c->now - to->lent_at < LOAN_SETTLED_MS)
    return;
  to->heard = c->now;
  to->n_lent = 0;
  memset (to->lent, 0, sizeof *to->lent * c->cfg->upstreams.n);
  for (i = 0; i < m->items.n; i++)
    {
      const SlotsCount *x = rec_list_at (slots_count_desc (), &m->items, i);
      int u = route_find (c->req->route, x->upstream);

      if (u == ROUTE_NONE)
        continue;
      to->lent[u] += (guint)x->n;
      to->n_lent += (guint)x->n;
    }
  apply_all (c);
  req_pump (c);
}

static void
take_back (Core *c, SlotsPeer *x)
{
  memset (x->lent, 0, sizeof *x->lent * c->cfg->upstreams.n);
  x->n_lent = 0;
}

/* Gives idle borrowed slots back when no work waits for them. */
static void
give_back (Core *c, SlotsPeer *x, gboolean all)
{
  guint u;

  for (u = 0; u < c->cfg->upstreams.n; u++)
    {
      gint64 idle = route_limit (c->req->route, (int)u) -
                    route_running (c->req->route, (int)u);
      guint n =
          all ? x->borrowed[u] : MIN (x->borrowed[u], (guint)MAX (0, idle));

      x->borrowed[u] -= n;
      x->n_borrowed -= n;
      if (n)
        apply (c, u);
    }
}

static void
tell_held (Core *c, const SlotsPeer *x)
{
  SlotsHeld *msg = rec_new (slots_held_desc ());
  guint u;

  msg->sequence = x->borrowed_sequence;
  for (u = 0; u < c->cfg->upstreams.n; u++)
    if (x->borrowed[u])
      add_count (&msg->items, route_name (c->req->route, (int)u),
                 x->borrowed[u]);
  core_emit (c, MSG_SLOTS_HELD, x->name, msg);
  rec_free (slots_held_desc (), msg);
}

static void
peer_tick (Core *c, SlotsPeer *x)
{
  gboolean live = member_is_live (c, x->name);

  if (x->n_lent && (!live || c->now - x->heard >= LOAN_LOST_MS))
    {
      take_back (c, x);
      apply_all (c);
    }
  if (x->n_borrowed == 0)
    return;
  if (!live || !fair_startable (c->req->fair))
    give_back (c, x, !live);
  if (live)
    tell_held (c, x);
}

/* Keeps loans going and ends those that are no longer needed or confirmed;
   to be called every half second or so while there are any. */
void
slots_tick (Core *c)
{
  guint i;

  for (i = 0; i < c->req->slots->peers->len; i++)
    peer_tick (c, peer_at (c->req->slots, i));
}

/* Tells whether a loan is open on either side. */
gboolean
slots_lent_or_borrowed (const Core *c)
{
  guint i;

  for (i = 0; i < c->req->slots->peers->len; i++)
    if (peer_at (c->req->slots, i)->n_lent ||
        peer_at (c->req->slots, i)->n_borrowed)
      return TRUE;
  return FALSE;
}

/* Returns how many hosts share the own failure domain, at least 1. */
guint
slots_n_hosts (const Core *c)
{
  return MAX (1, c->req->slots->n_hosts);
}
