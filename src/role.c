#include "sched_state.h"

#include <json-c/json.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "member.h"

REC_DEFINE (SchedName, sched_name, SCHED_NAME_FIELDS)
REC_DEFINE (SchedBeat, sched_beat, SCHED_BEAT_FIELDS)

enum
{
  ROLE_POLL_MS = 300,    /* between looks at the key */
  ROLE_BEAT_MS = 1000,   /* between signs of the scheduler */
  ROLE_QUIET_MS = 1500,  /* without a sign before the key is read */
  ROLE_STAGGER_MS = 400, /* between the ranks of a provisional term */
  ROLE_DOUBT_LEASES = 2, /* that a key may stand without its holder heard */
  ROLE_START_MS = 100,   /* between the ranks at a first start */
  ROLE_HOST_BITS = 10    /* of a term: they tell apart equal counts */
};

static void role_look (Core *c);
static void role_tick (Core *c, Timer *t);

static char *
role_key (Core *c)
{
  return g_strdup_printf ("schedulers/%s", c->cfg->domain);
}

/* Returns a term above HIGHEST that no other host would choose. */
static gint64
next_term (Core *c, gint64 highest, gint64 revision)
{
  gint64 count = MAX ((highest >> ROLE_HOST_BITS) + 1, revision);
  guint64 host = XXH3_64bits (c->cfg->host, strlen (c->cfg->host));

  return count << ROLE_HOST_BITS | (gint64)(host % (1 << ROLE_HOST_BITS));
}

static void
set_holder (Role *r, const char *host)
{
  if (g_strcmp0 (r->holder, host) == 0)
    return;
  g_free (r->holder);
  r->holder = g_strdup (host);
}

static void
send_beat (Core *c, gboolean leaving)
{
  Role *r = &c->sched->role;
  SchedBeat b = { .domain = c->cfg->domain,
                  .term = r->term,
                  .confirmed = r->confirmed,
                  .revision = r->store_revision,
                  .leaving = leaving,
                  .full = r->full };
  guint i;

  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (h->self || strcmp (h->domain, c->cfg->domain) != 0)
        continue;
      core_emit (c, MSG_SCHED_BEAT, h->name, &b);
    }
}

static void
beat (Core *c, Timer *t)
{
  send_beat (c, FALSE);
  core_arm (c, t, c->now + ROLE_BEAT_MS);
}

static void
show_role (Core *c)
{
  core_set (c, COUNT_SCHEDULER, c->sched->role.held);
  core_set (c, COUNT_SCHEDULER_TERM, c->sched->role.term);
}

/* Takes the role, or goes on in it, under a term above all that are
   known. */
static void
take (Core *c, gboolean confirmed)
{
  Role *r = &c->sched->role;
  gboolean had = r->held;
  gint64 before = r->term;
  char detail[64];

  r->confirmed = confirmed;
  if (!had || r->term < r->highest)
    r->term =
        next_term (c, MAX (r->highest, r->term), confirmed ? r->revision : 0);
  r->highest = MAX (r->highest, r->term);
  r->held = TRUE;
  set_holder (r, c->cfg->host);
  beat (c, &r->beat_timer);
  show_role (c);
  if (had && r->term != before)
    lease_mark_all_unreported (c);
  if (had)
    return;
  g_snprintf (detail, sizeof detail, "term %" G_GINT64_FORMAT "%s", r->term,
              confirmed ? "" : " provisional");
  core_write_note (c,
                   &(CoreNote) { .kind = NOTE_ROLE_TAKEN, .detail = detail });
  core_add (c, COUNT_TAKEOVERS, 1);
  sched_take (c);
}

/* Gives the role up at once: nothing that it had under way goes on. */
static void
step_down (Core *c, const char *why)
{
  Role *r = &c->sched->role;

  if (r->call)
    store_forget (c, r->call);
  r->call = 0;
  r->phase = ROLE_FOLLOWS;
  r->heard = c->now;
  core_arm (c, &r->timer, c->now + ROLE_QUIET_MS);
  if (!r->held)
    return;
  r->held = r->confirmed = FALSE;
  r->lease = 0;
  core_stop (c, &r->beat_timer);
  show_role (c);
  core_add (c, COUNT_STEPDOWNS, 1);
  core_write_note (c, &(CoreNote) { .kind = NOTE_ROLE_LEFT, .detail = why });
  set_holder (r, NULL);
  sched_leave (c);
}

static gboolean
store_away (const StoreReply *r)
{
  return r->status == STORE_LOST || r->status == STORE_UNSENT ||
         r->status == STORE_REFUSED;
}

/* Without the store the role is free to the first live host in rank once
   the last scheduler has been silent for the length of its lease. */
static void
consider_provisional (Core *c)
{
  Role *r = &c->sched->role;
  guint n_live;
  guint rank = member_live_rank (c, &n_live);
  ClockMs due =
      r->heard + c->cfg->scheduler_lease_ms + (ClockMs)rank * ROLE_STAGGER_MS;

  if (!r->held && !c->draining && c->now >= due)
    take (c, FALSE);
}

static void
away (Core *c)
{
  Role *r = &c->sched->role;

  r->phase = ROLE_FOLLOWS;
  r->away = TRUE;
  if (r->held && c->now >= r->lease_end)
    r->confirmed = FALSE;
  consider_provisional (c);
  core_arm (c, &r->timer, c->now + ROLE_POLL_MS);
}

static char *
key_value (Core *c, gint64 term, gint64 lease)
{
  return g_strdup_printf ("{\"host\":\"%s\",\"incarnation\":%" G_GINT64_FORMAT
                          ",\"term\":%" G_GINT64_FORMAT
                          ",\"lease\":%" G_GINT64_FORMAT "}",
                          c->cfg->host, c->cfg->incarnation, term, lease);
}

/* Reads who holds the key, and by which lease: sets HOST, for the caller to
   free, to NULL when the value says nothing. */
static void
read_key (Core *c, const StoreItem *item, char **host, gboolean *mine)
{
  Role *r = &c->sched->role;
  gsize n = 0;
  const char *data = item->value ? g_bytes_get_data (item->value, &n) : "";
  char *text = g_strndup (data, n);
  json_object *o = json_tokener_parse (text);
  json_object *v;

  *host = NULL;
  *mine = FALSE;
  r->seen_lease = 0;
  if (json_object_is_type (o, json_type_object))
    {
      if (json_object_object_get_ex (o, "host", &v))
        *host = g_strdup (json_object_get_string (v));
      if (json_object_object_get_ex (o, "incarnation", &v))
        *mine = g_strcmp0 (*host, c->cfg->host) == 0 &&
                json_object_get_int64 (v) == c->cfg->incarnation;
      if (json_object_object_get_ex (o, "lease", &v))
        r->seen_lease = json_object_get_int64 (v);
      if (json_object_object_get_ex (o, "term", &v))
        role_note_term (c, json_object_get_int64 (v));
    }
  json_object_put (o);
  g_free (text);
}

static void
won (Core *c, gint64 revision)
{
  Role *r = &c->sched->role;

  r->phase = ROLE_FOLLOWS;
  r->revision = revision;
  r->lease_end = r->granted + c->cfg->scheduler_lease_ms;
  core_arm (c, &r->timer, c->now + c->cfg->scheduler_lease_ms / 3);
  take (c, TRUE);
}

static void
on_deleted (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  (void)reply;
  (void)owner;
  (void)arg;
  c->sched->role.call = 0;
  core_arm (c, &c->sched->role.timer, c->now);
}

/* The lease that the key names has been asked for: a key that outlived its
   lease, which a store that went back may have, is removed. */
static void
on_tried (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Role *r = &c->sched->role;
  char *key = role_key (c);
  StoreCall call = { .op = STORE_DELETE, .key = key, .expect = (gint64)arg };

  (void)owner;
  r->call = 0;
  r->seen_since = c->now;
  if (reply->status == STORE_MISSING)
    r->call = store_submit (c, STORE_FOR_LEASE, &call, on_deleted, NULL, 0);
  g_free (key);
}

/* Somebody has the key and is not heard.  If that stays so for two leases,
   the lease itself is asked for; if it exists, that renews it once. */
static void
doubt (Core *c, const StoreItem *item)
{
  Role *r = &c->sched->role;
  StoreCall keep = { .op = STORE_KEEP, .lease = r->seen_lease };

  if (r->seen_revision != item->revision)
    r->seen_since = c->now;
  r->seen_revision = item->revision;
  if (c->now - MAX (r->seen_since, r->heard) <
      ROLE_DOUBT_LEASES * c->cfg->scheduler_lease_ms)
    return;
  r->call = store_submit (c, STORE_FOR_LEASE, &keep, on_tried, NULL,
                          (guint64)item->revision);
}

/* The key is another's. */
static void
lost (Core *c, const StoreItem *item, const char *host)
{
  Role *r = &c->sched->role;

  if (r->held)
    step_down (c, "another host holds the store's lease");
  r->phase = ROLE_FOLLOWS;
  if (!r->holder)
    set_holder (r, host);
  core_arm (c, &r->timer, c->now + ROLE_POLL_MS);
  doubt (c, item);
}

static void
on_put (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Role *r = &c->sched->role;

  (void)owner;
  (void)arg;
  r->call = 0;
  if (reply->status == STORE_OK)
    won (c, reply->revision);
  else if (reply->status == STORE_LOST || reply->status == STORE_CONFLICT)
    {
      r->phase = ROLE_SETTLES;
      role_look (c);
    }
  else
    away (c);
}

static void
on_grant (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Role *r = &c->sched->role;
  char *key;
  char *value;
  StoreCall put;

  (void)owner;
  (void)arg;
  r->call = 0;
  if (reply->status != STORE_OK)
    {
      away (c);
      return;
    }
  key = role_key (c);
  value = key_value (c, r->term, reply->lease);
  put = (StoreCall) { .op = STORE_PUT,
                      .key = key,
                      .lease = reply->lease,
                      .value = g_bytes_new_take (value, strlen (value)) };
  r->lease = reply->lease;
  r->phase = ROLE_PUTS;
  r->call = store_submit (c, STORE_FOR_LEASE, &put, on_put, NULL, 0);
  g_bytes_unref (put.value);
  g_free (key);
}

static void
role_grant (Core *c)
{
  Role *r = &c->sched->role;
  StoreCall call = { .op = STORE_GRANT,
                     .lease_ms = c->cfg->scheduler_lease_ms };

  r->phase = ROLE_GRANTS;
  r->granted = c->now;
  r->call = store_submit (c, STORE_FOR_LEASE, &call, on_grant, NULL, 0);
}

static void
on_look (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Role *r = &c->sched->role;
  gboolean settles = r->phase == ROLE_SETTLES;
  gboolean mine;
  char *host;

  (void)owner;
  (void)arg;
  r->call = 0;
  r->phase = ROLE_FOLLOWS;
  if (store_away (reply))
    {
      away (c);
      return;
    }
  r->away = FALSE;
  if (reply->status == STORE_OK && reply->items.n > 0)
    {
      const StoreItem *item =
          rec_list_at (store_item_desc (), &reply->items, 0);

      read_key (c, item, &host, &mine);
      if (mine && (settles || (r->held && r->lease)))
        won (c, item->revision);
      else
        lost (c, item, host);
      g_free (host);
    }
  else if (c->draining)
    core_arm (c, &r->timer, c->now + ROLE_QUIET_MS);
  else
    role_grant (c);
}

static void
role_look (Core *c)
{
  Role *r = &c->sched->role;
  char *key = role_key (c);
  StoreCall call = { .op = STORE_GET,
                     .key = key,
                     .timeout_ms = c->cfg->scheduler_lease_ms / 3 };

  if (r->phase != ROLE_SETTLES)
    r->phase = ROLE_LOOKS;
  r->call = store_submit (c, STORE_FOR_LEASE, &call, on_look, NULL, 0);
  g_free (key);
}

static void
on_kept (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Role *r = &c->sched->role;

  (void)owner;
  (void)arg;
  r->call = 0;
  if (reply->status == STORE_OK)
    {
      r->away = FALSE;
      r->store_revision = MAX (r->store_revision, reply->revision);
      r->lease_end = r->granted + c->cfg->scheduler_lease_ms;
      r->confirmed = TRUE;
      core_arm (c, &r->timer, r->granted + c->cfg->scheduler_lease_ms / 3);
    }
  else if (store_away (reply))
    away (c);
  else
    role_look (c);
}

static void
role_keep (Core *c)
{
  Role *r = &c->sched->role;
  StoreCall call = { .op = STORE_KEEP,
                     .lease = r->lease,
                     .timeout_ms = c->cfg->scheduler_lease_ms / 3 };

  r->granted = c->now;
  r->call = store_submit (c, STORE_FOR_LEASE, &call, on_kept, NULL, 0);
}

/* The holder keeps its lease; the others look at the key once the
   scheduler has been quiet. */
static void
role_tick (Core *c, Timer *t)
{
  Role *r = &c->sched->role;

  core_arm (c, t, c->now + ROLE_POLL_MS);
  if (r->held && c->now >= r->lease_end)
    r->confirmed = FALSE;
  if (r->call)
    {
      if (r->away)
        consider_provisional (c);
      return;
    }
  if (r->held && r->lease && r->confirmed)
    role_keep (c);
  else if (r->held || (!c->draining && c->now - r->heard >= ROLE_QUIET_MS))
    role_look (c);
  else if (!c->draining)
    core_arm (c, t, r->heard + ROLE_QUIET_MS);
}

/* Prepares R. */
void
role_init (Core *c, Role *r)
{
  (void)c;
  r->timer.fire = role_tick;
  r->beat_timer.fire = beat;
}

/* Starts to compete for the role: at once, in the order of rank. */
void
role_start (Core *c)
{
  Role *r = &c->sched->role;
  guint n_live;
  guint rank = member_live_rank (c, &n_live);

  r->heard = c->now - ROLE_QUIET_MS;
  if (c->sched->workers->len > 0)
    core_arm (c, &r->timer, c->now + (ClockMs)rank * ROLE_START_MS);
}

/* Releases what R holds. */
void
role_clear (Role *r)
{
  g_free (r->holder);
  rec_list_clear (sched_name_desc (), &r->full);
}

/* A step in time that skips a deadline by more than the lease is a pause:
   somebody else may have the role, so it is given up first of all. */
void
role_on_time (Core *c, ClockMs at)
{
  Role *r = &c->sched->role;
  ClockMs due = MAX (c->now, timer_heap_next (&c->timers));

  if (r->held && due != CLOCK_NEVER && at - due >= c->cfg->scheduler_lease_ms)
    {
      c->now = at;
      step_down (c, "the host was paused beyond its lease");
      r->heard = at - ROLE_QUIET_MS;
    }
}

static void
copy_full (Role *r, const RecList *full)
{
  guint i;

  rec_list_clear (sched_name_desc (), &r->full);
  for (i = 0; i < full->n; i++)
    {
      const SchedName *n = rec_list_at (sched_name_desc (), full, i);

      rec_copy_into (sched_name_desc (),
                     rec_list_add (sched_name_desc (), &r->full), n);
    }
}

/* Tells whether WORKSPACE has as many jobs waiting here as it may have, by
   the scheduler's last word. */
gboolean
role_is_full (const Core *c, const char *workspace)
{
  const RecList *full = &c->sched->role.full;
  guint i;

  for (i = 0; i < full->n; i++)
    {
      const SchedName *n = rec_list_at (sched_name_desc (), full, i);

      if (strcmp (n->name, workspace) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Takes the sign of a scheduler.  Of two, one with the store's lease goes
   before one without, then the higher term. */
void
role_on_heartbeat (Core *c, const Event *e)
{
  const SchedBeat *b = e->body;
  Role *r = &c->sched->role;

  if (strcmp (b->domain, c->cfg->domain) != 0)
    return;
  r->highest = MAX (r->highest, b->term);
  r->store_revision = MAX (r->store_revision, b->revision);
  if (b->leaving)
    {
      set_holder (r, NULL);
      r->heard = c->now - ROLE_QUIET_MS;
      if (!r->held && !r->call)
        core_arm (c, &r->timer, c->now);
      return;
    }
  if (r->held && !r->confirmed && (b->confirmed || b->term > r->term))
    step_down (c, "another scheduler is heard");
  else if (r->held && r->confirmed && b->term > r->term && !b->confirmed)
    take (c, TRUE);
  else if (r->held && r->confirmed && b->term > r->term && !r->call)
    role_look (c);
  if (r->held)
    return;
  set_holder (r, e->peer);
  r->heard = c->now;
  copy_full (r, &b->full);
  if (b->term > r->hinted)
    hint_send_again (c);
  r->hinted = b->term;
}

/* Notes TERM, seen on a worker or a record. */
void
role_note_term (Core *c, gint64 term)
{
  c->sched->role.highest = MAX (c->sched->role.highest, term);
}

/* A worker has seen TERM, above the own.  With the store's lease the term
   is raised; without it the role is another's. */
void
role_on_stale (Core *c, gint64 term)
{
  Role *r = &c->sched->role;

  role_note_term (c, term);
  core_add (c, COUNT_WORKER_STALE, 1);
  if (!r->held || term <= r->term)
    return;
  if (r->confirmed && c->now < r->lease_end)
    {
      take (c, TRUE);
      return;
    }
  step_down (c, "a worker has seen a higher term");
}

static void
on_left (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  (void)c;
  (void)reply;
  (void)owner;
  (void)arg;
}

/* Gives the role up in order, so that the next host has it at once. */
void
role_drain (Core *c)
{
  Role *r = &c->sched->role;
  char *key = role_key (c);
  StoreCall call = { .op = STORE_DELETE, .key = key, .expect = r->revision };

  if (r->held)
    {
      send_beat (c, TRUE);
      if (r->confirmed)
        store_submit (c, STORE_FOR_LEASE, &call, on_left, NULL, 0);
      step_down (c, "the host is draining");
    }
  g_free (key);
}

/* Gives the role up at once, for WHY: TERM was seen above the own one.
   What is known of jobs is found anew by whoever has the role next. */
void
role_yield (Core *c, gint64 term, const char *why)
{
  role_note_term (c, term);
  step_down (c, why);
}

/* Tells whether this host is its domain's scheduler. */
gboolean
role_is_held (const Core *c)
{
  return c->sched->role.held;
}

/* Returns the host that is known as the domain's scheduler, or NULL. */
const char *
role_holder (const Core *c)
{
  return c->sched->role.holder;
}
