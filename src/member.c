#include "member.h"

#include "store.h"
#include "table.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

REC_DEFINE (MemberLeaving, member_leaving, MEMBER_LEAVING_FIELDS)
REC_DEFINE (MemberSeen, member_seen, MEMBER_SEEN_FIELDS)
REC_DEFINE (MemberHeartbeat, member_heartbeat, MEMBER_HEARTBEAT_FIELDS)

enum
{
  HOSTS_TOLD_A_DOMAIN = 2, /* of each other domain */
  ANNOUNCE_GAP_MS = 100,   /* between heartbeats out of turn */
  NEWS_MS = 10000,         /* young news goes to peers of unknown digest */
  FORGET_MS = 600000,      /* a host that is gone and not configured */
  LIST_POLL_MS = 30000     /* of the platform's list */
};

/* News of one upstream, kept with the time of its start. */
typedef struct Leaving
{
  char *name;
  gint64 version;
  gboolean leaving;
  ClockMs since;
} Leaving;

struct Member
{
  GPtrArray *hosts; /* of MemberHost, by name */
  GHashTable *by_name;
  GHashTable *leaving; /* name to Leaving */
  gint64 leaving_digest;
  MemberHost *self;
  guint n_live; /* of all domains */
  guint n_near; /* live ones of the own domain */
  guint rank;   /* of this host among these */
  gint64 sequence;
  ClockMs sent_at;
  Timer tick;     /* the regular heartbeat */
  Timer announce; /* one out of turn */
  Timer list;     /* the platform's list */
};

#define STATE_NAME(kind, name) name,
static const char *const state_names[] = { MEMBER_STATES (STATE_NAME) };

/* Returns the name of STATE as operators see it. */
const char *
member_state_name (MemberState state)
{
  return state_names[state];
}

static void
host_free (gpointer p)
{
  MemberHost *h = p;

  g_free ((gpointer)h->name);
  g_free ((gpointer)h->domain);
  g_free ((gpointer)h->region);
  g_free (h);
}

static void
leaving_free (gpointer p)
{
  Leaving *l = p;

  g_free (l->name);
  g_free (l);
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  const MemberHost *x = *(MemberHost *const *)a;
  const MemberHost *y = *(MemberHost *const *)b;

  return strcmp (x->name, y->name);
}

static MemberHost *
host_add (Member *m,
          const char *name,
          const char *domain,
          const char *region,
          ClockMs now)
{
  MemberHost *h = g_new0 (MemberHost, 1);

  h->name = g_strdup (name);
  h->domain = g_strdup (util_str (domain));
  h->region = g_strdup (util_str (region));
  h->heard_at = now;
  g_ptr_array_add (m->hosts, h);
  g_hash_table_insert (m->by_name, (gpointer)h->name, h);
  return h;
}

/* Hosts of the settings count as live until they have had the time to be
   heard; else a host that starts would take all of its domain's work. */
static void
add_configured (Core *c, Member *m)
{
  guint i;

  for (i = 0; i < c->cfg->hosts.n; i++)
    {
      const ConfigHost *from = config_host (c->cfg, i);
      MemberHost *h;

      if (g_hash_table_contains (m->by_name, from->name))
        continue;
      h = host_add (m, from->name, from->domain, from->region, c->now);
      h->state = MEMBER_LIVE;
      h->configured = TRUE;
    }
}

static void on_tick (Core *c, Timer *t);
static void on_announce (Core *c, Timer *t);
static void on_list (Core *c, Timer *t);

/* Returns the initial view of host C, without any other host. */
Member *
member_new (Core *c)
{
  Member *m = g_new0 (Member, 1);

  m->hosts = g_ptr_array_new_with_free_func (host_free);
  m->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  m->leaving =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, leaving_free);
  add_configured (c, m);
  m->self = g_hash_table_lookup (m->by_name, c->cfg->host);
  if (!m->self)
    m->self =
        host_add (m, c->cfg->host, c->cfg->domain, c->cfg->region, c->now);
  m->self->self = TRUE;
  m->self->state = MEMBER_LIVE;
  m->self->incarnation = c->cfg->incarnation;
  m->self->configured = TRUE;
  g_ptr_array_sort (m->hosts, by_name);
  m->tick.fire = on_tick;
  m->announce.fire = on_announce;
  m->list.fire = on_list;
  return m;
}

static gboolean
is_near (const Core *c, const MemberHost *h)
{
  return strcmp (h->domain, c->cfg->domain) == 0;
}

static void
count_hosts (Core *c)
{
  Member *m = c->member;
  guint i;

  m->n_live = m->n_near = m->rank = 0;
  for (i = 0; i < m->hosts->len; i++)
    {
      const MemberHost *h = g_ptr_array_index (m->hosts, i);

      if (h->state != MEMBER_LIVE)
        continue;
      m->n_live++;
      if (h->self)
        m->rank = m->n_near;
      m->n_near += is_near (c, h);
    }
  core_set (c, COUNT_HOSTS_KNOWN, m->hosts->len);
  core_set (c, COUNT_HOSTS_LIVE, m->n_live);
}

/* Starts to send heartbeats. */
void
member_start (Core *c)
{
  Member *m = c->member;

  m->sent_at = c->now;
  count_hosts (c);
  core_arm (c, &m->tick,
            c->now + core_random (c, (gint32)c->cfg->heartbeat_ms));
  member_announce (c);
  core_arm (c, &m->list, c->now + core_random (c, LIST_POLL_MS));
}

/* Releases M. */
void
member_free (Member *m)
{
  g_hash_table_unref (m->by_name);
  g_hash_table_unref (m->leaving);
  g_ptr_array_unref (m->hosts);
  g_free (m);
}

/* Returns the number of known hosts, in whatever state. */
guint
member_n_hosts (const Core *c)
{
  return c->member->hosts->len;
}

/* Returns host I, in the order of names; valid until the next event. */
const MemberHost *
member_host (const Core *c, guint i)
{
  return g_ptr_array_index (c->member->hosts, i);
}

/* Returns the host called NAME, or NULL. */
const MemberHost *
member_find (const Core *c, const char *name)
{
  return g_hash_table_lookup (c->member->by_name, name);
}

/* Tells whether host NAME answers and takes new work. */
gboolean
member_is_live (const Core *c, const char *name)
{
  const MemberHost *h = member_find (c, name);

  return h && h->state == MEMBER_LIVE;
}

/* Returns the number of live hosts of all domains. */
guint
member_n_live (const Core *c)
{
  return c->member->n_live;
}

/* Returns the node's place, from 0, among the live hosts of its domain in
   the order of names, and sets *N_LIVE to their number. */
guint
member_live_rank (const Core *c, guint *n_live)
{
  *n_live = c->member->n_near;
  return c->member->rank;
}

/* Returns a host that is heard and has a table revision above ABOVE, one of
   the own domain if there is any, or NULL.  Which one is left to chance. */
const MemberHost *
member_with_table (const Core *c, gint64 above)
{
  const MemberHost *found = NULL;
  guint seen = 0;
  guint i;

  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (h->self || h->table_revision <= above || h->state == MEMBER_GONE ||
          h->state == MEMBER_SUSPECT)
        continue;
      if (found && is_near (c, found) != is_near (c, h))
        {
          if (is_near (c, found))
            continue;
          seen = 0;
        }
      if (core_random ((Core *)c, (gint32)++seen) == 0)
        found = h;
    }
  return found;
}

static void
write_note (Core *c, NoteKind kind, const MemberHost *h)
{
  char *text = g_strdup_printf ("host %s incarnation %" G_GINT64_FORMAT,
                                h->name, h->incarnation);

  core_write_note (c, &(CoreNote) { .kind = kind, .detail = text });
  g_free (text);
}

static void
set_state (Core *c, MemberHost *h, MemberState state)
{
  static const NoteKind notes[] = { [MEMBER_LIVE] = NOTE_MEMBER_LIVE,
                                    [MEMBER_SUSPECT] = NOTE_MEMBER_SUSPECT,
                                    [MEMBER_DRAINING] = NOTE_MEMBER_DRAINING,
                                    [MEMBER_GONE] = NOTE_MEMBER_GONE };
  MemberState before = h->state;

  if (before == state)
    return;
  h->state = state;
  if (before == MEMBER_LIVE || state == MEMBER_LIVE)
    core_add (c, COUNT_MEMBER_CHANGES, 1);
  if (state == MEMBER_SUSPECT)
    core_add (c, COUNT_SUSPICIONS, 1);
  write_note (c, notes[state], h);
  count_hosts (c);
}

/* News of another domain takes one more hop, and so twice the time. */
static MemberState
state_after_silence (const Core *c, const MemberHost *h)
{
  ClockMs silent = c->now - h->heard_at;
  ClockMs limit = c->cfg->suspect_ms * (is_near (c, h) ? 1 : 2);

  if (silent >= c->cfg->gone_ms)
    return MEMBER_GONE;
  if (silent < limit || h->state == MEMBER_GONE)
    return h->state;
  return h->state == MEMBER_DRAINING ? MEMBER_GONE : MEMBER_SUSPECT;
}

static void
forget_hosts (Core *c)
{
  Member *m = c->member;
  guint i = m->hosts->len;

  while (i--)
    {
      MemberHost *h = g_ptr_array_index (m->hosts, i);

      if (h->configured || h->state != MEMBER_GONE ||
          c->now - h->heard_at < FORGET_MS)
        continue;
      g_hash_table_remove (m->by_name, h->name);
      g_ptr_array_remove_index (m->hosts, i);
      count_hosts (c);
    }
}

static void
check_silence (Core *c)
{
  Member *m = c->member;
  guint i;

  for (i = 0; i < m->hosts->len; i++)
    {
      MemberHost *h = g_ptr_array_index (m->hosts, i);

      if (!h->self && h->state != MEMBER_JOINING)
        set_state (c, h, state_after_silence (c, h));
    }
  forget_hosts (c);
}

/* After a pause nobody can have been heard: the others' silence counts
   from now, less what it was before. */
static void
forgive_pause (Core *c, ClockMs late)
{
  Member *m = c->member;
  guint i;

  if (late < c->cfg->suspect_ms / 2)
    return;
  core_add (c, COUNT_MEMBER_PAUSES, 1);
  core_write_note (c, &(CoreNote) { .kind = NOTE_MEMBER_PAUSED });
  for (i = 0; i < m->hosts->len; i++)
    ((MemberHost *)g_ptr_array_index (m->hosts, i))->heard_at += late;
}

static gint64
leaving_hash (const Leaving *l)
{
  guint64 h =
      XXH3_64bits_withSeed (l->name, strlen (l->name),
                            (guint64)l->version * 2 + (guint64)l->leaving);

  return (gint64)(h & G_MAXINT64);
}

static void
expire_leaving (Core *c)
{
  Member *m = c->member;
  gint64 n = 0;
  GHashTableIter i;
  gpointer p;

  m->leaving_digest = 0;
  g_hash_table_iter_init (&i, m->leaving);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const Leaving *l = p;

      if (c->now - l->since > MEMBER_LEAVING_MS)
        {
          g_hash_table_iter_remove (&i);
          continue;
        }
      m->leaving_digest ^= leaving_hash (l);
      n += l->leaving;
    }
  core_set (c, COUNT_UPSTREAMS_LEAVING, n);
}

static gint
by_leaving_name (gconstpointer a, gconstpointer b)
{
  return strcmp (((const Leaving *)a)->name, ((const Leaving *)b)->name);
}

static void
add_leaving (Core *c, MemberHeartbeat *hb, ClockMs youngest)
{
  GList *all = g_list_sort (g_hash_table_get_values (c->member->leaving),
                            by_leaving_name);
  GList *i;

  for (i = all; i; i = i->next)
    {
      const Leaving *l = i->data;
      MemberLeaving *to;

      if (c->now - l->since > youngest || hb->leaving.n == MEMBER_MAX_LEAVING)
        continue;
      to = rec_list_add (member_leaving_desc (), &hb->leaving);
      rec_set_str (&to->name, l->name);
      to->version = l->version;
      to->leaving = l->leaving;
      to->age_ms = c->now - l->since;
    }
  g_list_free (all);
}

/* A peer whose digest differs lacks something; one that does not tell this
   host its digest gets what is young. */
static void
add_news (Core *c, const MemberHost *to, MemberHeartbeat *hb)
{
  gboolean known =
      to->sequence != 0 && c->now - to->direct_at <= 3 * c->cfg->heartbeat_ms;

  if (!known)
    add_leaving (c, hb, NEWS_MS);
  else if (to->leaving_digest != c->member->leaving_digest)
    add_leaving (c, hb, MEMBER_LEAVING_MS);
}

/* Adds the hosts that were heard directly since the last heartbeat. */
static void
add_seen (Core *c, MemberHeartbeat *hb)
{
  Member *m = c->member;
  guint i;

  for (i = 0; i < m->hosts->len; i++)
    {
      const MemberHost *h = g_ptr_array_index (m->hosts, i);
      MemberSeen *s;

      if (h->self || h->sequence == 0 || h->direct_at < m->sent_at)
        continue;
      s = rec_list_add (member_seen_desc (), &hb->seen);
      rec_set_str (&s->name, h->name);
      s->incarnation = h->incarnation;
      s->sequence = h->sequence;
      s->draining = h->state == MEMBER_DRAINING;
      s->table_revision = h->table_revision;
    }
}

static MemberHeartbeat *
heartbeat_new (Core *c, const MemberHost *to)
{
  Member *m = c->member;
  MemberHeartbeat *hb = rec_new (member_heartbeat_desc ());

  hb->incarnation = m->self->incarnation;
  hb->sequence = m->sequence;
  hb->draining = c->draining;
  hb->table_revision = table_revision (c);
  hb->load = m->self->load;
  hb->leaving_digest = m->leaving_digest;
  rec_set_str (&hb->domain, c->cfg->domain);
  rec_set_str (&hb->region, c->cfg->region);
  add_news (c, to, hb);
  if (is_near (c, to))
    add_seen (c, hb);
  return hb;
}

static void
send_heartbeat (Core *c, const MemberHost *to)
{
  MemberHeartbeat *hb = heartbeat_new (c, to);

  core_add (c, COUNT_HEARTBEATS_SENT, 1);
  core_emit (c, MSG_HEARTBEAT, to->name, hb);
  rec_free (member_heartbeat_desc (), hb);
}

static guint64
rendezvous (const Core *c, const MemberHost *h)
{
  guint64 seed = XXH3_64bits (c->cfg->host, strlen (c->cfg->host));

  return XXH3_64bits_withSeed (h->name, strlen (h->name), seed);
}

/* Returns how many hosts of H's domain this host would rather tell. */
static guint
better_told (const Core *c, const MemberHost *h)
{
  guint64 weight = rendezvous (c, h);
  guint n = 0;
  guint i;

  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *o = member_host (c, i);

      if (o != h && o->state != MEMBER_GONE && o->state != MEMBER_SUSPECT &&
          strcmp (o->domain, h->domain) == 0 && rendezvous (c, o) > weight)
        n++;
    }
  return n;
}

/* Sends to every host of the own domain, also one that seems dead: otherwise
   two that lost each other would never meet again.  So is a host elsewhere that
   ranks high enough, among those that are heard. */
static gboolean
is_told (const Core *c, const MemberHost *h)
{
  return !h->self &&
         (is_near (c, h) || better_told (c, h) < HOSTS_TOLD_A_DOMAIN);
}

static void
send_heartbeats (Core *c)
{
  Member *m = c->member;
  guint i;

  core_stop (c, &m->announce);
  expire_leaving (c);
  m->sequence++;
  m->self->sequence = m->sequence;
  m->self->table_revision = table_revision (c);
  m->self->heard_at = m->self->direct_at = c->now;
  set_state (c, m->self, c->draining ? MEMBER_DRAINING : MEMBER_LIVE);
  for (i = 0; i < m->hosts->len; i++)
    if (is_told (c, member_host (c, i)))
      send_heartbeat (c, member_host (c, i));
  m->sent_at = c->now;
}

static void
on_tick (Core *c, Timer *t)
{
  forgive_pause (c, c->now - t->at);
  check_silence (c);
  send_heartbeats (c);
  core_arm (c, t, c->now + c->cfg->heartbeat_ms);
}

static void
on_announce (Core *c, Timer *t)
{
  (void)t;
  send_heartbeats (c);
}

/* Sends a heartbeat out of turn, at once or a tenth of a second after the
   last one. */
void
member_announce (Core *c)
{
  Member *m = c->member;

  if (m && m->announce.slot == 0)
    core_arm (c, &m->announce, MAX (c->now, m->sent_at + ANNOUNCE_GAP_MS));
}

/* Tells the others how busy this host is: its requests in flight. */
void
member_set_load (Core *c, gint64 load)
{
  c->member->self->load = load;
}

/* Takes news of an upstream, unless it is older than what is known. */
static void
learn_leaving (Core *c, const MemberLeaving *n)
{
  Member *m = c->member;
  Leaving *l = g_hash_table_lookup (m->leaving, n->name);

  if (n->age_ms >= MEMBER_LEAVING_MS ||
      (l && (n->version < l->version ||
             (n->version == l->version && n->leaving <= l->leaving))))
    return;
  if (!l)
    {
      l = g_new0 (Leaving, 1);
      l->name = g_strdup (n->name);
      g_hash_table_insert (m->leaving, l->name, l);
    }
  l->version = n->version;
  l->leaving = n->leaving != 0;
  l->since = c->now - n->age_ms;
  expire_leaving (c);
  core_write_note (c, &(CoreNote) { .kind = n->leaving ? NOTE_UPSTREAM_LEAVING
                                                       : NOTE_UPSTREAM_BACK,
                                    .upstream = n->name });
  member_announce (c);
}

static void
set_leaving (Core *c, const char *upstream, gboolean leaving)
{
  const Leaving *l = g_hash_table_lookup (c->member->leaving, upstream);

  if ((l && l->leaving) == leaving)
    return;
  learn_leaving (c, &(MemberLeaving) { .name = upstream,
                                       .version = l ? l->version + 1 : 1,
                                       .leaving = leaving });
}

/* Takes the news that UPSTREAM is leaving, and passes it on. */
void
member_set_leaving (Core *c, const char *upstream)
{
  set_leaving (c, upstream, TRUE);
}

/* Takes the news that UPSTREAM is back, under the same name, and passes it
   on. */
void
member_clear_leaving (Core *c, const char *upstream)
{
  set_leaving (c, upstream, FALSE);
}

/* Tells whether UPSTREAM is known to be leaving. */
gboolean
member_is_leaving (const Core *c, const char *upstream)
{
  const Leaving *l = g_hash_table_lookup (c->member->leaving, upstream);

  return l && l->leaving;
}

static void
heard_state (Core *c, MemberHost *h, gboolean draining, gboolean restarted)
{
  if (!restarted && (h->state == MEMBER_SUSPECT || h->state == MEMBER_GONE))
    core_add (c, COUNT_FALSE_SUSPICIONS, 1);
  set_state (c, h, draining ? MEMBER_DRAINING : MEMBER_LIVE);
}

/* Takes what is heard of H, directly or not.  Returns FALSE for what is
   older than, or as old as, what is known. */
static gboolean
heard (Core *c, MemberHost *h, const MemberSeen *s)
{
  gboolean restarted = s->incarnation > h->incarnation;

  if (h->self || s->incarnation < h->incarnation ||
      (!restarted && s->sequence <= h->sequence))
    return FALSE;
  if (restarted)
    h->table_revision = 0;
  heard_state (c, h, s->draining != 0, restarted);
  h->incarnation = s->incarnation;
  h->sequence = s->sequence;
  h->heard_at = c->now;
  if (s->table_revision > h->table_revision)
    {
      h->table_revision = s->table_revision;
      table_peer_has (c, h);
    }
  return TRUE;
}

static MemberHost *
host_for (Core *c, const char *name, const MemberHeartbeat *hb)
{
  Member *m = c->member;
  MemberHost *h = g_hash_table_lookup (m->by_name, name);

  if (h || m->hosts->len >= MEMBER_MAX_HOSTS || !util_is_name (name) ||
      *hb->domain == '\0')
    return h;
  h = host_add (m, name, hb->domain, hb->region, c->now);
  g_ptr_array_sort (m->hosts, by_name);
  return h;
}

/* Takes a peer's heartbeat. */
void
member_on_heartbeat (Core *c, const Event *e)
{
  const MemberHeartbeat *hb = e->body;
  MemberHost *h = host_for (c, e->peer, hb);
  MemberSeen direct = { .name = e->peer,
                        .incarnation = hb->incarnation,
                        .sequence = hb->sequence,
                        .draining = hb->draining,
                        .table_revision = hb->table_revision };
  guint i;

  core_add (c, COUNT_HEARTBEATS, 1);
  if (!h || h->self || hb->incarnation < h->incarnation)
    {
      core_add (c, COUNT_HEARTBEATS_OLD, 1);
      return;
    }
  heard (c, h, &direct);
  h->direct_at = c->now;
  h->load = hb->load;
  h->leaving_digest = hb->leaving_digest;
  for (i = 0; i < hb->leaving.n; i++)
    learn_leaving (c, rec_list_at (member_leaving_desc (), &hb->leaving, i));
  for (i = 0; i < hb->seen.n; i++)
    {
      const MemberSeen *s = rec_list_at (member_seen_desc (), &hb->seen, i);
      MemberHost *other = g_hash_table_lookup (c->member->by_name, s->name);

      if (other)
        heard (c, other, s);
    }
}

static void
list_line (Core *c, const StoreHost *line)
{
  Member *m = c->member;
  gboolean leaving = strcmp (line->state, "leaving") == 0;

  if (strcmp (line->role, "upstream") == 0 && leaving &&
      !g_hash_table_contains (m->leaving, line->name))
    member_set_leaving (c, line->name);
  if (strcmp (line->role, "host") == 0 && !leaving &&
      !g_hash_table_contains (m->by_name, line->name) &&
      m->hosts->len < MEMBER_MAX_HOSTS && util_is_name (line->name))
    {
      host_add (m, line->name, "", "", c->now)->state = MEMBER_JOINING;
      g_ptr_array_sort (m->hosts, by_name);
      count_hosts (c);
    }
}

static void
on_list_done (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  guint i;

  (void)owner;
  (void)arg;
  for (i = 0; r->status == STORE_OK && i < r->hosts.n; i++)
    list_line (c, rec_list_at (store_host_desc (), &r->hosts, i));
}

/* Reads the platform's list.  It lags, so that it only adds what heartbeats
   have not told; it never takes anything away. */
static void
on_list (Core *c, Timer *t)
{
  StoreCall call = { .op = STORE_HOSTS };

  core_arm (c, t, c->now + core_jitter (c, LIST_POLL_MS));
  if (store_is_up (c))
    store_submit (c, STORE_FOR_LIST, &call, on_list_done, NULL, 0);
}
