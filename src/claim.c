#include "member.h"
#include "req_state.h"
#include "store.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

REC_DEFINE (ClaimValue, claim_value, CLAIM_VALUE_FIELDS)

enum
{
  WATCH_MS = 5000,
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 10000,
  LEASE_SHARE = 8, /* a store lease serves claims for this part of its span */
  MAX_CLAIM_TRIES = 8
};

/* An outcome on its way to the store, until it is there. */
typedef struct ClaimWrite
{
  gint64 serial;
  char *key;
  ClaimValue *value;
  gint64 expect;
  gint64 call;
  ClockMs retry_delay;
  Timer again;
} ClaimWrite;

struct Claims
{
  gint64 lease; /* ends all claims made under it; 0: none */
  ClockMs leased;
  GHashTable *writes; /* serial to ClaimWrite */
  gint64 serial;
};

static void write_submit (Core *c, ClaimWrite *w);

static void
write_free (gpointer p)
{
  ClaimWrite *w = p;

  g_free (w->key);
  rec_free (claim_value_desc (), w->value);
  g_free (w);
}

/* Returns the claims of node C: none. */
Claims *
claim_new (Core *c)
{
  Claims *k = g_new0 (Claims, 1);

  (void)c;
  k->writes =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, write_free);
  return k;
}

/* Releases K. */
void
claim_free (Claims *k)
{
  g_hash_table_unref (k->writes);
  g_free (k);
}

/* Tells whether an outcome is not yet in the store. */
gboolean
claim_busy (const Core *c)
{
  return g_hash_table_size (c->req->claims->writes) > 0;
}

/* Sets ID to the id of the request with KEY in WORKSPACE, the same at every
   host. */
void
claim_make_id (const char *workspace, const char *key, char id[40])
{
  char *text = g_strdup_printf ("%s/%s", workspace, key);
  XXH128_hash_t h = XXH3_128bits (text, strlen (text));

  g_snprintf (id, 40, "k-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              (guint64)h.high64, (guint64)h.low64);
  g_free (text);
}

static char *
store_key (const Request *r)
{
  return g_strdup_printf ("claims/%s/%s", r->workspace, r->id);
}

static ClaimValue *
own_value (Core *c, const Request *r)
{
  ClaimValue v = { .host = c->cfg->host,
                   .incarnation = c->cfg->incarnation,
                   .serial = r->serial,
                   .upstream = route_name (c->req->route, r->upstream),
                   .request = r->id,
                   .key = r->key,
                   .digest = r->digest };

  return rec_copy (claim_value_desc (), &v);
}

static gboolean
same_claim (const ClaimValue *a, const ClaimValue *b)
{
  return a->serial == b->serial && a->incarnation == b->incarnation &&
         strcmp (a->host, b->host) == 0;
}

static gboolean
is_own (Core *c, const Request *r, const ClaimValue *v)
{
  return v->serial == r->serial && v->incarnation == c->cfg->incarnation &&
         strcmp (v->host, c->cfg->host) == 0;
}

/* Returns the claim in ITEM, or NULL when it can't be read. */
static ClaimValue *
parse (const StoreItem *item)
{
  ClaimValue *v = rec_new (claim_value_desc ());
  Findings findings;
  gconstpointer data;
  gsize n = 0;
  gboolean ok;

  findings_init (&findings);
  data = item->value ? g_bytes_get_data (item->value, &n) : NULL;
  ok = data && rec_unpack (claim_value_desc (), v, data, n, &findings);
  findings_clear (&findings);
  if (ok)
    return v;
  rec_free (claim_value_desc (), v);
  return NULL;
}

static gboolean
has_lease (const Core *c)
{
  const Claims *k = c->req->claims;

  return k->lease && c->now - k->leased < c->cfg->result_keep_ms / LEASE_SHARE;
}

static void
learn_lease (Core *c, const StoreReply *reply)
{
  if (reply->status != STORE_OK)
    return;
  c->req->claims->lease = reply->lease;
  c->req->claims->leased = c->now;
}

static gint64
grant (Core *c, StoreDone done, gpointer owner)
{
  StoreCall call = { .op = STORE_GRANT, .lease_ms = c->cfg->result_keep_ms };

  call.lease_ms = MIN (call.lease_ms, CONFIG_DAY_MS);
  return store_submit (c, STORE_FOR_CLAIM, &call, done, owner, 0);
}

static gint64
put (Core *c,
     const char *key,
     const ClaimValue *v,
     gint64 expect,
     StoreDone done,
     gpointer owner)
{
  GBytes *value = rec_pack (claim_value_desc (), v);
  StoreCall call = { .op = STORE_PUT,
                     .key = key,
                     .expect = expect,
                     .lease = c->req->claims->lease,
                     .value = value };
  gint64 n = store_submit (c, STORE_FOR_CLAIM, &call, done, owner, 0);

  core_add (c, COUNT_CLAIM_WRITES, 1);
  g_bytes_unref (value);
  return n;
}

static void
finish_from_claim (Core *c, Request *r)
{
  const ClaimValue *v = r->claim;
  GBytes *body = v->body ? g_bytes_ref (v->body) : NULL;
  Outcome o = v->state == CLAIM_ANSWERED ? OUTCOME_ANSWERED : OUTCOME_FAILED;

  req_finish (c, r, o, (int)MAX (100, v->status),
              "ended before, by its idempotency key", body);
  if (body)
    g_bytes_unref (body);
}

/* Acts on the claim of somebody else that R found. */
static void
consider (Core *c, Request *r)
{
  const ClaimValue *v = r->claim;

  r->claim_sent = FALSE;
  if (r->digest[0] && strcmp (r->digest, v->digest) != 0)
    req_finish (c, r, OUTCOME_NOT_RUN, 422,
                "idempotency key was used with another body", NULL);
  else if (v->state == CLAIM_NOT_RUN && !r->digest[0])
    req_finish (c, r, OUTCOME_NOT_RUN, 404, "did not run", NULL);
  else if (v->state == CLAIM_NOT_RUN && r->has_slot)
    claim_take (c, r);
  else if (v->state == CLAIM_NOT_RUN)
    req_wait_for_store (c, r);
  else if (v->state != CLAIM_RUNNING && !v->body_at_upstream)
    finish_from_claim (c, r);
  else
    {
      core_add (c, COUNT_ATTACHED, r->state == REQUEST_CLAIMING);
      req_release (c, r);
      r->state = REQUEST_FOLLOWING;
      claim_follow (c, r);
    }
}

/* Makes the claim in REPLY the one that R knows.  Returns FALSE, with R
   ended, when it can't be read. */
static gboolean
learn_claim (Core *c, Request *r, const StoreItem *item)
{
  ClaimValue *v = parse (item);

  if (!v)
    {
      r->claim_sent = FALSE;
      req_finish (c, r, OUTCOME_UNKNOWN, 500,
                  "the claim in the store cannot be read", NULL);
      return FALSE;
    }
  rec_free (claim_value_desc (), r->claim);
  r->claim = v;
  r->claim_revision = item->revision;
  return TRUE;
}

static void
on_conflict (Core *c, Request *r, const StoreItem *item)
{
  if (!item)
    {
      r->claim_revision = 0;
      claim_take (c, r);
      return;
    }
  if (!learn_claim (c, r, item))
    return;
  if (!is_own (c, r, r->claim))
    consider (c, r);
  else if (r->claim->state == CLAIM_RUNNING &&
           strcmp (r->claim->upstream,
                   route_name (c->req->route, r->upstream)) == 0)
    req_send (c, r);
  else
    claim_take (c, r);
}

static void
on_claimed (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Request *r = owner;
  const StoreItem *item = store_first_item (reply);

  (void)arg;
  r->claim_call = 0;
  if (reply->status == STORE_LOST)
    r->claim_sent = TRUE;
  if (reply->status == STORE_OK && item && learn_claim (c, r, item))
    req_send (c, r);
  else if (reply->status == STORE_CONFLICT && r->claim_tries < MAX_CLAIM_TRIES)
    on_conflict (c, r, item);
  else if (reply->status == STORE_MISSING && r->claim_tries < MAX_CLAIM_TRIES)
    {
      c->req->claims->lease = 0;
      claim_take (c, r);
    }
  else if (reply->status != STORE_OK)
    req_wait_for_store (c, r);
}

static void
on_lease (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Request *r = owner;

  (void)arg;
  r->claim_call = 0;
  learn_lease (c, reply);
  if (has_lease (c))
    claim_take (c, r);
  else
    req_wait_for_store (c, r);
}

/* Claims R, which holds a slot of its upstream, in the store.  Ends in
   req_send, req_wait_for_store, or R following another's claim. */
void
claim_take (Core *c, Request *r)
{
  ClaimValue *v;
  char *key;

  r->state = REQUEST_CLAIMING;
  r->claim_tries++;
  if (!has_lease (c))
    {
      r->claim_call = grant (c, on_lease, r);
      return;
    }
  v = own_value (c, r);
  key = store_key (r);
  r->claim_sent = TRUE;
  r->claim_call = put (c, key, v, r->claim_revision, on_claimed, r);
  rec_free (claim_value_desc (), v);
  g_free (key);
}

static gboolean
owner_is_live (Core *c, const ClaimValue *v)
{
  const MemberHost *h = member_find (c, v->host);

  return h && !h->self &&
         (h->state == MEMBER_LIVE || h->state == MEMBER_DRAINING) &&
         (h->incarnation == v->incarnation || h->incarnation == 0);
}

static void
follow_upstream (Core *c, Request *r)
{
  r->upstream = route_find (c->req->route, r->claim->upstream);
  if (r->upstream != ROUTE_NONE)
    req_ask_upstream (c, r);
  else
    req_finish (c, r, OUTCOME_UNKNOWN, 504,
                "its upstream is not in the settings any more", NULL);
}

static void
on_watched (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Request *r = owner;
  const StoreItem *item = store_first_item (reply);

  (void)arg;
  r->claim_call = 0;
  if (reply->status != STORE_OK || !item)
    follow_upstream (c, r);
  else if (learn_claim (c, r, item))
    consider (c, r);
}

/* Waits for the outcome of R's claim, which somebody else holds: from the
   store while its host lives, otherwise from the upstream. */
void
claim_follow (Core *c, Request *r)
{
  StoreCall call = { .op = STORE_WATCH,
                     .expect = r->claim_revision,
                     .timeout_ms = WATCH_MS };
  char *key;

  if (r->claim->state != CLAIM_RUNNING || !owner_is_live (c, r->claim) ||
      !store_is_up (c))
    {
      follow_upstream (c, r);
      return;
    }
  key = store_key (r);
  call.key = key;
  r->claim_call = store_submit (c, STORE_FOR_CLAIM, &call, on_watched, r, 0);
  g_free (key);
}

static void
on_found (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  Request *r = owner;
  const StoreItem *item = store_first_item (reply);

  (void)arg;
  r->claim_call = 0;
  if (reply->status == STORE_MISSING)
    req_finish (c, r, OUTCOME_UNKNOWN, 404, "no such request", NULL);
  else if (reply->status != STORE_OK || !item)
    req_finish (c, r, OUTCOME_UNKNOWN, 503, "the store is away", NULL);
  else if (learn_claim (c, r, item))
    consider (c, r);
}

/* Reads the claim of R, which only asks for an outcome. */
void
claim_read_outcome (Core *c, Request *r)
{
  char *key = store_key (r);
  StoreCall call = { .op = STORE_GET, .key = key };

  r->state = REQUEST_FOLLOWING;
  r->claim_call = store_submit (c, STORE_FOR_CLAIM, &call, on_found, r, 0);
  g_free (key);
}

static void
write_end (Core *c, ClaimWrite *w)
{
  GHashTable *writes = c->req->claims->writes;

  core_stop (c, &w->again);
  g_hash_table_remove (writes, &w->serial);
  core_set (c, COUNT_CLAIM_BACKLOG, g_hash_table_size (writes));
}

/* The claim in the way is settled by taking it over if it is the one that
   the outcome is of, and by leaving it otherwise. */
static void
write_conflict (Core *c, ClaimWrite *w, const StoreItem *item)
{
  ClaimValue *found = item ? parse (item) : NULL;

  if (!item)
    w->expect = 0;
  else
    w->expect = item->revision;
  if (!item ||
      (found && found->state == CLAIM_RUNNING && same_claim (found, w->value)))
    write_submit (c, w);
  else
    write_end (c, w);
  rec_free (claim_value_desc (), found);
}

static void
write_later (Core *c, ClaimWrite *w)
{
  w->retry_delay = req_back_off (w->retry_delay, RETRY_MAX_MS);
  core_arm (c, &w->again, c->now + core_jitter (c, w->retry_delay));
}

static void
on_written (Core *c, const StoreReply *reply, gpointer owner, guint64 arg)
{
  ClaimWrite *w = owner;

  (void)arg;
  w->call = 0;
  if (reply->op == STORE_GRANT)
    {
      learn_lease (c, reply);
      if (has_lease (c))
        write_submit (c, w);
      else
        write_later (c, w);
    }
  else if (reply->status == STORE_OK)
    write_end (c, w);
  else if (reply->status == STORE_CONFLICT)
    write_conflict (c, w, store_first_item (reply));
  else
    {
      if (reply->status == STORE_MISSING)
        c->req->claims->lease = 0;
      write_later (c, w);
    }
}

static void
write_submit (Core *c, ClaimWrite *w)
{
  if (has_lease (c))
    w->call = put (c, w->key, w->value, w->expect, on_written, w);
  else
    w->call = grant (c, on_written, w);
}

static void
on_write_again (Core *c, Timer *t)
{
  write_submit (c, t->owner);
}

static void
set_body (ClaimValue *v, GBytes *body)
{
  if (!body)
    return;
  if (g_bytes_get_size (body) > CLAIM_MAX_BODY)
    v->body_at_upstream = 1;
  else
    v->body = g_bytes_ref (body);
}

/* Writes the outcome of R into its claim, and retries until the store accepts
   it.  R may be freed meanwhile. */
void
claim_settle (Core *c, Request *r, ClaimState state, int status, GBytes *body)
{
  Claims *k = c->req->claims;
  ClaimWrite *w = g_new0 (ClaimWrite, 1);

  w->key = store_key (r);
  if (r->claim && (!r->claim_sent || is_own (c, r, r->claim)))
    w->value = rec_copy (claim_value_desc (), r->claim);
  else
    w->value = own_value (c, r);
  w->value->state = state;
  w->value->status = status;
  set_body (w->value, body);
  w->expect = r->claim_revision;
  w->retry_delay = RETRY_MIN_MS;
  w->again = (Timer) { .fire = on_write_again, .owner = w };
  w->serial = ++k->serial;
  g_hash_table_insert (k->writes, &w->serial, w);
  core_set (c, COUNT_CLAIM_BACKLOG, g_hash_table_size (k->writes));
  write_submit (c, w);
}

/* Gives up all outcomes not yet written. */
void
claim_abandon (Core *c)
{
  GList *writes = g_hash_table_get_values (c->req->claims->writes);
  GList *l;

  for (l = writes; l; l = l->next)
    {
      ClaimWrite *w = l->data;

      if (w->call)
        store_forget (c, w->call);
      core_write_note (c, &(CoreNote) { .kind = NOTE_REQUEST_CUT_OFF,
                                        .request = w->value->request,
                                        .detail = "outcome not written" });
      write_end (c, w);
    }
  g_list_free (writes);
}
