#include "sched_state.h"

#include "member.h"

/* Listings of the domain's job records in the store. */

enum
{
  LISTING_MS = 10000,         /* the least time between listings */
  LISTING_BYTES_PER_S = 2000, /* what listings may cost on average */
  LISTING_SOON_MS = 1000,     /* after a host was lost */
  LISTING_ORPHAN_MS = 5000,   /* for the hosts to tell of jobs the store lost */
  LISTING_RETRY_MS = 500      /* while no listing has come */
};

/* A record that the store has lost, or has in an older state, is written
   again: the store went back, and its jobs have not. */
static void
heal (Core *c, const StoreReply *r)
{
  Sched *s = c->sched;
  GHashTableIter it;
  gpointer value;

  (void)r;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Job *j = value;

      if (j->listed || j->writing || j->unwritten ||
          j->written_at >= s->list_sent)
        continue;
      j->revision = 0;
      job_write (c, j);
    }
}

static void
unlist (Core *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->sched->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((Job *)value)->listed = FALSE;
}

static void
on_list (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  Sched *s = c->sched;
  gint64 bytes = 0;
  guint i;

  (void)owner;
  (void)arg;
  s->list_call = 0;
  if (r->status != STORE_OK && r->status != STORE_MISSING)
    {
      core_arm (c, &s->list_timer, c->now + LISTING_RETRY_MS);
      return;
    }
  unlist (c);
  /* Of work that a scheduler before this one had, an older state is read. */
  s->went_back = !s->records_known && r->revision < s->role.store_revision;
  for (i = 0; i < r->items.n && role_is_held (c); i++)
    {
      const StoreItem *item = rec_list_at (store_item_desc (), &r->items, i);

      bytes += item->value ? (gint64)g_bytes_get_size (item->value) : 0;
      sched_job_seen (c, item->value, item->revision);
    }
  if (!role_is_held (c))
    return;
  heal (c, r);
  s->records_known = TRUE;
  if (c->now - s->taken_at >= LISTING_ORPHAN_MS)
    adopt_reap (c, s->list_sent);
  core_arm (c, &s->list_timer,
            c->now + MAX (LISTING_MS, bytes * 1000 / LISTING_BYTES_PER_S));
  sched_check_ready (c);
}

/* Asks the store for all records of the domain; for the timer of
   listings. */
void
listing_send (Core *c, Timer *t)
{
  Sched *s = c->sched;
  char *key = g_strdup_printf ("jobs/%s/", c->cfg->domain);
  StoreCall call = { .op = STORE_LIST, .key = key };

  (void)t;
  s->list_sent = c->now;
  s->list_call = store_submit (c, STORE_FOR_JOB, &call, on_list, NULL, 0);
  g_free (key);
}

/* Looks for jobs whose news a lost host may have taken with it, long before
   the next listing if there are many records. */
void
listing_after_loss (Core *c)
{
  Sched *s = c->sched;
  guint n_live = member_n_live (c);

  if (n_live < s->n_live && s->list_timer.slot &&
      s->list_timer.at > c->now + LISTING_SOON_MS)
    core_arm (c, &s->list_timer, c->now + LISTING_SOON_MS);
  s->n_live = n_live;
}
