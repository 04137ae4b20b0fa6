#include "store.h"

#include "member.h"

#include <string.h>

REC_DEFINE (StoreCall, store_call, STORE_CALL_FIELDS)
REC_DEFINE (StoreItem, store_item, STORE_ITEM_FIELDS)
REC_DEFINE (StoreHost, store_host, STORE_HOST_FIELDS)
REC_DEFINE (StoreReply, store_reply, STORE_REPLY_FIELDS)

enum
{
  FLEET_WRITES_PER_S = 320, /* that all hosts together allow themselves */
  FLEET_READS_PER_S = 1600,
  WATCH_MS = 10000,       /* how long a watch waits at the store */
  ANSWER_GRACE_MS = 2500, /* past a call's time-out, for the answer's way */
  DOWN_AFTER = 3,         /* calls in a row without an answer */
  PROBE_MIN_MS = 250,
  PROBE_MAX_MS = 4000,
  REFUSED_PAUSE_MS = 200,
  MAX_WAITING = 20000,
  TOKEN = 1000 /* one call, in thousandths */
};

/* A bucket of tokens that fills with time. */
typedef struct Bucket
{
  gint64 tokens; /* thousandths of a call */
  ClockMs filled_at;
} Bucket;

typedef struct StorePending
{
  StoreCall *call;
  StorePurpose purpose;
  StoreDone done; /* NULL: forgotten */
  gpointer owner;
  guint64 arg;
  gboolean sent;
  Timer expiry;
} StorePending;

/* Writes and reads are counted apart, since the store bears fewer of the
   first. */
typedef enum BucketKind
{
  BUCKET_WRITES,
  BUCKET_READS,
  N_BUCKETS
} BucketKind;

struct Store
{
  GHashTable *pending; /* call to StorePending */
  GQueue waiting[N_STORE_PURPOSES];
  Bucket shared[N_BUCKETS];
  Bucket reserved[N_STORE_PURPOSES];
  gint64 last_call;
  gboolean up;
  guint failures;   /* calls in a row without an answer */
  guint probes;     /* sent since the store was taken for down */
  gint64 probe;     /* the call in flight while down; 0: none */
  ClockMs probe_at; /* when the next may be sent */
  ClockMs answered_at;
  ClockMs paused_until; /* after a refusal */
  Timer pump;
};

static void pump (Core *c);
static void on_pump (Core *c, Timer *t);

static void
pending_free (gpointer p)
{
  StorePending *s = p;

  rec_free (store_call_desc (), s->call);
  g_free (s);
}

/* Returns the store session of node C. */
Store *
store_new (Core *c)
{
  Store *s = g_new0 (Store, 1);
  guint i;

  s->pending =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pending_free);
  for (i = 0; i < N_STORE_PURPOSES; i++)
    s->reserved[i] = (Bucket) { .tokens = TOKEN, .filled_at = c->now };
  for (i = 0; i < N_BUCKETS; i++)
    s->shared[i] = (Bucket) { .tokens = c->cfg->store_calls_per_s * TOKEN,
                              .filled_at = c->now };
  s->up = TRUE;
  s->answered_at = c->now;
  s->pump.fire = on_pump;
  return s;
}

/* Starts the session. */
void
store_start (Core *c)
{
  core_set (c, COUNT_STORE_UP, 1);
}

/* Releases S. */
void
store_free (Store *s)
{
  guint i;

  for (i = 0; i < N_STORE_PURPOSES; i++)
    g_queue_clear (&s->waiting[i]);
  g_hash_table_unref (s->pending);
  g_free (s);
}

static BucketKind
bucket_kind (gint64 op)
{
  return op == STORE_GET || op == STORE_LIST || op == STORE_WATCH ||
                 op == STORE_HOSTS
             ? BUCKET_READS
             : BUCKET_WRITES;
}

/* Returns the calls a second that this host may send: its own bound, or its
   share of what all hosts together allow themselves. */
static gint64
shared_rate (const Core *c, BucketKind kind)
{
  gint64 fleet = kind == BUCKET_WRITES ? FLEET_WRITES_PER_S : FLEET_READS_PER_S;

  return MAX (1, MIN (c->cfg->store_calls_per_s,
                      fleet / MAX (1, member_n_live (c))));
}

static void
fill (Bucket *b, ClockMs now, gint64 per_s, gint64 most)
{
  b->tokens = MIN (most * TOKEN, b->tokens + (now - b->filled_at) * per_s);
  b->filled_at = now;
}

static void
refill (Core *c)
{
  Store *s = c->store;
  guint i;

  for (i = 0; i < N_BUCKETS; i++)
    {
      gint64 rate = shared_rate (c, (BucketKind)i);

      fill (&s->shared[i], c->now, rate, rate);
    }
  for (i = 0; i < N_STORE_PURPOSES; i++)
    fill (&s->reserved[i], c->now, 1, 1);
}

/* Takes one token for P.  Each purpose has one call a second of its own, so
   that a flood of a more urgent one does not end it. */
static gboolean
take_token (Store *s, const StorePending *p)
{
  Bucket *shared = &s->shared[bucket_kind (p->call->op)];
  Bucket *b = shared->tokens >= TOKEN ? shared : &s->reserved[p->purpose];

  if (b->tokens < TOKEN)
    return FALSE;
  b->tokens -= TOKEN;
  return TRUE;
}

static void
count_call (Core *c, const StorePending *p)
{
  core_add (c, COUNT_STORE_CALLS, 1);
  core_add (c, (Counter)(COUNT_STORE_CALLS_LEASE + (int)p->purpose), 1);
  if (bucket_kind (p->call->op) == BUCKET_WRITES)
    core_add (c, COUNT_STORE_WRITES, 1);
}

static void
send_call (Core *c, StorePending *p)
{
  p->sent = TRUE;
  count_call (c, p);
  core_arm (c, &p->expiry, c->now + p->call->timeout_ms + ANSWER_GRACE_MS);
  core_emit (c, FX_STORE_CALL, NULL, p->call);
}

static StorePending *
pending_new (Core *c,
             StorePurpose purpose,
             const StoreCall *call,
             TimerFunc expired)
{
  Store *s = c->store;
  StorePending *p = g_new0 (StorePending, 1);

  p->call = rec_copy (store_call_desc (), call);
  p->call->call = ++s->last_call;
  if (p->call->timeout_ms == 0)
    p->call->timeout_ms = c->cfg->store_timeout_ms;
  p->purpose = purpose;
  p->expiry = (Timer) { .fire = expired, .owner = p };
  g_hash_table_insert (s->pending, &p->call->call, p);
  return p;
}

static void
note_waiting (Core *c)
{
  gint64 n = 0;
  guint i;

  for (i = 0; i < N_STORE_PURPOSES; i++)
    n += c->store->waiting[i].length;
  core_set (c, COUNT_STORE_WAITING, n);
}

static ClockMs
probe_span (Core *c)
{
  ClockMs span = PROBE_MIN_MS;
  guint i;

  for (i = 0; i < c->store->probes && span < PROBE_MAX_MS; i++)
    span *= 2;
  return span / 2 + core_random (c, (gint32)span);
}

static void
take_down (Core *c)
{
  Store *s = c->store;

  s->up = FALSE;
  s->probes = 0;
  s->probe = 0;
  s->probe_at = c->now + probe_span (c);
  core_set (c, COUNT_STORE_UP, 0);
  core_add (c, COUNT_STORE_OUTAGES, 1);
  core_write_note (c, &(CoreNote) { .kind = NOTE_STORE_DOWN });
}

/* The buckets start empty, so that the hosts that find the store back
   together send no more than their shares. */
static void
take_up (Core *c)
{
  Store *s = c->store;
  guint i;

  s->up = TRUE;
  for (i = 0; i < N_BUCKETS; i++)
    s->shared[i] = (Bucket) { .tokens = 0, .filled_at = c->now };
  core_set (c, COUNT_STORE_UP, 1);
  core_write_note (c, &(CoreNote) { .kind = NOTE_STORE_UP });
}

/* Learns from the end of a call whether the store answers.  A silent watch
   says nothing of the store. */
static void
learn (Core *c, gint64 op, StoreStatus status)
{
  Store *s = c->store;

  if (status != STORE_LOST && status != STORE_UNSENT)
    {
      s->failures = 0;
      s->answered_at = c->now;
      if (!s->up)
        take_up (c);
    }
  else if (op != STORE_WATCH)
    {
      s->failures++;
      if (s->up && s->failures >= DOWN_AFTER)
        take_down (c);
    }
}

static void
end_probe (Core *c, gint64 call)
{
  Store *s = c->store;

  if (s->probe != call)
    return;
  s->probe = 0;
  s->probes++;
  s->probe_at = c->now + probe_span (c);
}

static void
finish (Core *c, StorePending *p, const StoreReply *r)
{
  gint64 call = p->call->call;

  core_stop (c, &p->expiry);
  g_hash_table_steal (c->store->pending, &call);
  if (p->sent)
    {
      end_probe (c, call);
      learn (c, p->call->op, (StoreStatus)r->status);
    }
  if (p->done)
    p->done (c, r, p->owner, p->arg);
  pending_free (p);
}

static void
on_expired (Core *c, Timer *t)
{
  StorePending *p = t->owner;
  StoreReply r = { .call = p->call->call,
                   .op = p->call->op,
                   .status = p->sent ? STORE_LOST : STORE_UNSENT };

  if (p->sent)
    core_add (c, COUNT_STORE_LOST, 1);
  else
    {
      core_add (c, COUNT_STORE_EXPIRED, 1);
      g_queue_remove (&c->store->waiting[p->purpose], p);
    }
  finish (c, p, &r);
  pump (c);
}

static void
send_probe (Core *c, StorePending *p)
{
  c->store->probe = p->call->call;
  send_call (c, p);
}

/* Sends one call, the most urgent that can show that the store is back. */
static void
probe (Core *c)
{
  Store *s = c->store;
  StoreCall get = { .op = STORE_GET, .key = "table" };
  guint i;

  if (s->probe || c->now < s->probe_at)
    return;
  for (i = 0; i < N_STORE_PURPOSES; i++)
    {
      StorePending *p = g_queue_peek_head (&s->waiting[i]);

      if (!p || p->call->op == STORE_WATCH)
        continue;
      g_queue_pop_head (&s->waiting[i]);
      send_probe (c, p);
      return;
    }
  send_probe (c, pending_new (c, STORE_FOR_TABLE, &get, on_expired));
}

static void
send_waiting (Core *c)
{
  Store *s = c->store;
  guint i;

  refill (c);
  for (i = 0; i < N_STORE_PURPOSES; i++)
    while (s->waiting[i].length &&
           (i == STORE_FOR_LEASE || c->now >= s->paused_until))
      {
        StorePending *p = g_queue_peek_head (&s->waiting[i]);

        if (!take_token (s, p))
          break;
        g_queue_pop_head (&s->waiting[i]);
        send_call (c, p);
      }
}

static ClockMs
next_token_ms (const Core *c)
{
  gint64 rate =
      MIN (shared_rate (c, BUCKET_WRITES), shared_rate (c, BUCKET_READS));

  return MAX (1, 1000 / rate);
}

/* Sends what may be sent now, and wakes up when more may be. */
static void
pump (Core *c)
{
  Store *s = c->store;

  if (s->up)
    send_waiting (c);
  else
    probe (c);
  note_waiting (c);
  if (!s->up && !s->probe)
    core_arm (c, &s->pump, s->probe_at);
  else if (s->up && c->counters[COUNT_STORE_WAITING])
    core_arm (c, &s->pump, MAX (c->now + next_token_ms (c), s->paused_until));
}

static void
on_pump (Core *c, Timer *t)
{
  (void)t;
  pump (c);
}

/* Submits CALL, whose number and, where it is 0, time-out in milliseconds
   are filled in, for PURPOSE.  It is sent as the budget allows, or ends as
   STORE_UNSENT after its time-out.  DONE is called once with OWNER and ARG,
   never from here, unless store_forget comes before.  Returns the call's
   number. */
gint64
store_submit (Core *c,
              StorePurpose purpose,
              const StoreCall *call,
              StoreDone done,
              gpointer owner,
              guint64 arg)
{
  Store *s = c->store;
  StorePending *p = pending_new (c, purpose, call, on_expired);
  gboolean full = c->counters[COUNT_STORE_WAITING] >= MAX_WAITING;

  p->done = done;
  p->owner = owner;
  p->arg = arg;
  core_arm (c, &p->expiry, full ? c->now : c->now + p->call->timeout_ms);
  g_queue_push_tail (&s->waiting[purpose], p);
  pump (c);
  return p->call->call;
}

/* Drops the interest in CALL: its DONE is not called any more. */
void
store_forget (Core *c, gint64 call)
{
  StorePending *p = g_hash_table_lookup (c->store->pending, &call);

  if (!p)
    return;
  p->done = NULL;
  if (p->sent)
    return;
  core_stop (c, &p->expiry);
  g_queue_remove (&c->store->waiting[p->purpose], p);
  g_hash_table_remove (c->store->pending, &call);
}

/* Returns the first item of R, or NULL if it has none. */
const StoreItem *
store_first_item (const StoreReply *r)
{
  return r->items.n ? rec_list_at (store_item_desc (), &r->items, 0) : NULL;
}

/* Tells whether the store is taken to answer. */
gboolean
store_is_up (const Core *c)
{
  return c->store->up;
}

/* Returns when the store answered last, of any call: what was learnt from
   it before is as old as that. */
ClockMs
store_answered_at (const Core *c)
{
  return c->store->answered_at;
}

/* Takes the store's reply to one call. */
void
store_on_reply (Core *c, const Event *e)
{
  const StoreReply *r = e->body;
  StorePending *p = g_hash_table_lookup (c->store->pending, &r->call);

  if (!p || !p->sent)
    {
      core_add (c, COUNT_STORE_LATE, 1);
      return;
    }
  if (r->status == STORE_LOST)
    core_add (c, COUNT_STORE_LOST, 1);
  if (r->status == STORE_REFUSED)
    {
      core_add (c, COUNT_STORE_REFUSED, 1);
      c->store->paused_until = c->now + core_jitter (c, REFUSED_PAUSE_MS);
    }
  finish (c, p, r);
  pump (c);
}

static void watch_send (Core *c, StoreWatch *w);

static void
on_watch_retry (Core *c, Timer *t)
{
  watch_send (c, t->owner);
}

static void
watch_again (Core *c, StoreWatch *w, gboolean failed)
{
  ClockMs span = PROBE_MIN_MS;
  guint i;

  w->failures = failed ? w->failures + 1 : 0;
  for (i = 0; i < w->failures && span < PROBE_MAX_MS; i++)
    span *= 2;
  if (!failed && c->now - w->sent_at >= PROBE_MIN_MS)
    watch_send (c, w);
  else
    core_arm (c, &w->retry, c->now + core_jitter (c, span));
}

static void
on_watch_done (Core *c, const StoreReply *r, gpointer owner, guint64 arg)
{
  StoreWatch *w = owner;
  const StoreItem *item = store_first_item (r);
  gboolean failed = r->status != STORE_OK && r->status != STORE_MISSING;

  (void)arg;
  w->call = 0;
  if (failed)
    core_add (c, COUNT_STORE_WATCHES_LOST, 1);
  if (!failed && item && item->revision > w->revision)
    {
      w->revision = item->revision;
      w->changed (c, w, item);
    }
  if (!w->call)
    watch_again (c, w, failed);
}

static void
watch_send (Core *c, StoreWatch *w)
{
  StoreCall call = { .op = STORE_WATCH,
                     .key = w->key,
                     .expect = w->revision,
                     .timeout_ms = WATCH_MS };

  w->sent_at = c->now;
  w->call = store_submit (c, w->purpose, &call, on_watch_done, w, 0);
}

/* Sets up W, whose PURPOSE, KEY, REVISION and CHANGED are given. */
void
store_watch_start (Core *c, StoreWatch *w)
{
  w->retry = (Timer) { .fire = on_watch_retry, .owner = w };
  watch_send (c, w);
}

/* Makes W wait for what is above REVISION: lower than before when the store
   has gone back. */
void
store_watch_from (Core *c, StoreWatch *w, gint64 revision)
{
  if (w->revision == revision)
    return;
  w->revision = revision;
  if (!w->call)
    return;
  store_forget (c, w->call);
  core_stop (c, &w->retry);
  watch_send (c, w);
}
