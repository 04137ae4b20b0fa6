#include "member.h"

#include <string.h>

REC_DEFINE (MemberName, member_name, MEMBER_NAME_FIELDS)
REC_DEFINE (MemberHeartbeat, member_heartbeat, MEMBER_HEARTBEAT_FIELDS)

struct Member
{
  GArray *hosts;       /* of MemberHost, by name */
  GHashTable *leaving; /* set of names of upstreams */
};

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (((const MemberHost *)a)->name, ((const MemberHost *)b)->name);
}

/* Returns the view of node C before it has heard of anybody. */
Member *
member_new (Core *c)
{
  Member *m = g_new0 (Member, 1);
  guint i;

  m->hosts = g_array_new (FALSE, TRUE, sizeof (MemberHost));
  m->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (i = 0; i < c->cfg->hosts.n; i++)
    {
      const ConfigHost *h = config_host (c->cfg, i);
      MemberHost host = { .name = h->name,
                          .domain = h->domain,
                          .region = h->region,
                          .state = MEMBER_LIVE,
                          .self = strcmp (h->name, c->cfg->host) == 0 };

      g_array_append_val (m->hosts, host);
    }
  g_array_sort (m->hosts, by_name);
  return m;
}

/* Starts to send heartbeats. */
void
member_start (Core *c)
{
  (void)c;
}

/* Releases M. */
void
member_free (Member *m)
{
  g_array_unref (m->hosts);
  g_hash_table_unref (m->leaving);
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
  return &g_array_index (c->member->hosts, MemberHost, i);
}

/* Returns the host called NAME, or NULL. */
const MemberHost *
member_find (const Core *c, const char *name)
{
  guint i;

  for (i = 0; i < c->member->hosts->len; i++)
    if (strcmp (member_host (c, i)->name, name) == 0)
      return member_host (c, i);
  return NULL;
}

/* Tells whether host NAME answers and takes new work. */
gboolean
member_is_live (const Core *c, const char *name)
{
  const MemberHost *h = member_find (c, name);

  return h && h->state == MEMBER_LIVE;
}

/* Returns the node's place, from 0, among the live hosts of its domain in
   the order of names, and sets *N_LIVE to their number. */
guint
member_live_rank (const Core *c, guint *n_live)
{
  guint rank = 0;
  guint i;

  *n_live = 0;
  for (i = 0; i < member_n_hosts (c); i++)
    {
      const MemberHost *h = member_host (c, i);

      if (strcmp (h->domain, c->cfg->domain) != 0 || h->state != MEMBER_LIVE)
        continue;
      if (h->self)
        rank = *n_live;
      (*n_live)++;
    }
  return rank;
}

/* Takes the news that UPSTREAM is leaving, and passes it on. */
void
member_set_leaving (Core *c, const char *upstream)
{
  g_hash_table_add (c->member->leaving, g_strdup (upstream));
}

/* Tells whether UPSTREAM is known to be leaving. */
gboolean
member_is_leaving (const Core *c, const char *upstream)
{
  return g_hash_table_contains (c->member->leaving, upstream);
}

/* Takes a peer's heartbeat. */
void
member_on_heartbeat (Core *c, const Event *e)
{
  (void)e;
  core_add (c, COUNT_HEARTBEATS, 1);
}
