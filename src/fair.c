#include "fair.h"

enum
{
  TAG_SCALE = 1024,         /* virtual time units a millisecond at weight 1 */
  DEMAND_WINDOW_MS = 10000, /* how long a floor stays kept after demand */
  STARVED_MS = 2000,        /* a class that started nothing so long is next */
  KEEP_PERCENT = 5,         /* of the slots, for interactive work to come */
  SWEEP_MIN = 64
};

/* Percent of the slots that a class gets back whenever it has work. */
static const guint floor_percent[N_CLASSES] = {
  [CLASS_INTERACTIVE] = 40,
  [CLASS_NORMAL] = 35,
  [CLASS_BATCH] = 25,
};

APR_RING_HEAD (FairItems, FairItem);

/* What competes inside a level; in its sequence while it has work that may
   start. */
typedef struct FairFlow
{
  gint64 tag; /* virtual start time of its next item */
  guint64 order;
  GSequenceIter *iter;
} FairFlow;

typedef struct FairLevel
{
  GSequence *active; /* of FairFlow, by tag */
  gint64 vtime;      /* where one begins who comes now */
} FairLevel;

typedef struct FairWorkspace FairWorkspace;

/* A workspace's part in one class. */
typedef struct FairShare
{
  FairFlow flow;
  FairWorkspace *workspace;
  WorkClass work_class;
  FairLevel callers;
  GHashTable *by_name; /* to FairCaller */
  guint sweep_at;
  guint waiting;
  guint startable; /* of these, as far as the workspace's limit allows */
} FairShare;

struct FairWorkspace
{
  char *name;
  gint64 weight;
  gint64 max_running;
  guint waiting;
  guint running;
  FairShare shares[N_CLASSES];
};

struct FairCaller
{
  FairFlow flow;
  FairShare *share;
  char *name;
  struct FairItems items;
  gint64 waiting_cost;
  guint waiting;
  guint running;
};

/* The most that a class had running, and waiting as far as limits allow, by
   windows of time. */
typedef struct FairDemand
{
  ClockMs window;
  guint now;
  guint before;
} FairDemand;

typedef struct FairClass
{
  FairLevel workspaces;
  guint waiting;
  guint startable;
  guint running;
  gint64 waiting_cost;
  gint64 active_weight; /* of the workspaces in the sequence */
  ClockMs served;       /* last start, or when it began to wait */
  FairDemand demand;
} FairClass;

struct Fair
{
  FairClass classes[N_CLASSES];
  GHashTable *workspaces; /* name to FairWorkspace */
  guint64 order;
  gint64 bytes;
};

static gint
by_tag (gconstpointer a, gconstpointer b, gpointer data)
{
  const FairFlow *x = a;
  const FairFlow *y = b;

  (void)data;
  if (x->tag != y->tag)
    return x->tag < y->tag ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
flow_enter (Fair *f, FairLevel *l, FairFlow *w)
{
  if (w->iter)
    return;
  w->tag = MAX (w->tag, l->vtime);
  w->order = ++f->order;
  w->iter = g_sequence_insert_sorted (l->active, w, by_tag, NULL);
}

static void
flow_leave (FairFlow *w)
{
  if (!w->iter)
    return;
  g_sequence_remove (w->iter);
  w->iter = NULL;
}

static void
flow_charge (FairFlow *w, gint64 amount)
{
  w->tag += amount;
  if (w->iter)
    g_sequence_sort_changed (w->iter, by_tag, NULL);
}

/* Moves the place at which newcomers begin on by AMOUNT of service, which those
   who wait share.  A little less than their even share, so that a newcomer
   still goes before whoever has much waiting.  Were it moved by the tags served
   alone, an unending row of newcomers would all begin before one who has been
   served. */
static void
level_advance (FairLevel *l, gint64 amount)
{
  l->vtime += amount / (1 + g_sequence_get_length (l->active));
}

static FairFlow *
level_first (const FairLevel *l)
{
  GSequenceIter *i = g_sequence_get_begin_iter (l->active);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

static void
caller_free (gpointer p)
{
  FairCaller *w = p;

  g_free (w->name);
  g_free (w);
}

static void
workspace_free (gpointer p)
{
  FairWorkspace *w = p;
  int k;

  for (k = 0; k < N_CLASSES; k++)
    {
      g_sequence_free (w->shares[k].callers.active);
      g_hash_table_unref (w->shares[k].by_name);
    }
  g_free (w->name);
  g_free (w);
}

/* Returns an empty queue. */
Fair *
fair_new (void)
{
  Fair *f = g_new0 (Fair, 1);
  int k;

  for (k = 0; k < N_CLASSES; k++)
    f->classes[k].workspaces.active = g_sequence_new (NULL);
  f->workspaces =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, workspace_free);
  return f;
}

/* Releases F; items still in it are left as they are. */
void
fair_free (Fair *f)
{
  int k;

  for (k = 0; k < N_CLASSES; k++)
    g_sequence_free (f->classes[k].workspaces.active);
  g_hash_table_unref (f->workspaces);
  g_free (f);
}

static FairWorkspace *
workspace_get (Fair *f, const char *name)
{
  FairWorkspace *w = g_hash_table_lookup (f->workspaces, name);
  int k;

  if (w)
    return w;
  w = g_new0 (FairWorkspace, 1);
  w->name = g_strdup (name);
  w->weight = 1;
  for (k = 0; k < N_CLASSES; k++)
    {
      FairShare *s = &w->shares[k];

      s->workspace = w;
      s->work_class = (WorkClass)k;
      s->callers.active = g_sequence_new (NULL);
      s->by_name =
          g_hash_table_new_full (g_str_hash, g_str_equal, NULL, caller_free);
      s->sweep_at = SWEEP_MIN;
    }
  g_hash_table_insert (f->workspaces, w->name, w);
  return w;
}

static gboolean
caller_is_stale (gpointer key, gpointer value, gpointer data)
{
  const FairCaller *w = value;
  const FairShare *s = data;

  (void)key;
  return !w->running && !w->flow.iter && w->flow.tag <= s->callers.vtime;
}

static FairCaller *
caller_get (FairShare *s, const char *name)
{
  FairCaller *w = g_hash_table_lookup (s->by_name, name);

  if (w)
    return w;
  if (g_hash_table_size (s->by_name) >= s->sweep_at)
    {
      g_hash_table_foreach_remove (s->by_name, caller_is_stale, s);
      s->sweep_at = MAX (SWEEP_MIN, 2 * g_hash_table_size (s->by_name));
    }
  w = g_new0 (FairCaller, 1);
  w->share = s;
  w->name = g_strdup (name);
  APR_RING_INIT (&w->items, FairItem, link);
  g_hash_table_insert (s->by_name, w->name, w);
  return w;
}

static gboolean
workspace_may_start (const FairWorkspace *w)
{
  return w->max_running < 0 || w->running < w->max_running;
}

/* Brings the count of what may start up to date after the items of S, or the
   limit or running count of its workspace, have changed. */
static void
share_count (Fair *f, FairShare *s)
{
  const FairWorkspace *w = s->workspace;
  FairClass *k = &f->classes[s->work_class];
  gint64 room = w->max_running < 0
                    ? G_MAXUINT
                    : MAX (0, w->max_running - (gint64)w->running);

  k->startable -= s->startable;
  s->startable = (guint)MIN ((gint64)s->waiting, room);
  k->startable += s->startable;
}

static void
share_enter (Fair *f, FairShare *s)
{
  FairClass *k = &f->classes[s->work_class];

  if (s->flow.iter || !s->waiting || !workspace_may_start (s->workspace))
    return;
  k->active_weight += s->workspace->weight;
  flow_enter (f, &k->workspaces, &s->flow);
}

static void
share_leave (Fair *f, FairShare *s)
{
  if (!s->flow.iter)
    return;
  f->classes[s->work_class].active_weight -= s->workspace->weight;
  flow_leave (&s->flow);
}

/* Puts the workspace's shares into, or takes them out of, the competition
   after its running count, limit or weight changed. */
static void
workspace_update (Fair *f, FairWorkspace *w)
{
  int k;

  for (k = 0; k < N_CLASSES; k++)
    {
      share_count (f, &w->shares[k]);
      if (workspace_may_start (w))
        share_enter (f, &w->shares[k]);
      else
        share_leave (f, &w->shares[k]);
    }
}

static void
workspace_set (Fair *f, FairWorkspace *w, gint64 weight, gint64 max_running)
{
  int k;

  weight = MAX (1, weight);
  if (w->weight == weight && w->max_running == max_running)
    return;
  for (k = 0; k < N_CLASSES; k++)
    if (w->shares[k].flow.iter)
      f->classes[k].active_weight += weight - w->weight;
  w->weight = weight;
  w->max_running = max_running;
  workspace_update (f, w);
}

static void
demand_note (FairClass *k, ClockMs now)
{
  FairDemand *d = &k->demand;
  ClockMs window = now / DEMAND_WINDOW_MS;

  if (window != d->window)
    {
      d->before = window == d->window + 1 ? d->now : 0;
      d->now = 0;
      d->window = window;
    }
  d->now = MAX (d->now, k->startable + k->running);
}

/* Appends IT, whose cost and bytes are set, to the queue of its caller. */
void
fair_push (Fair *f, FairItem *it, const FairPlace *place, ClockMs now)
{
  FairClass *k = &f->classes[place->work_class];
  FairWorkspace *w = workspace_get (f, place->workspace);
  FairShare *s = &w->shares[place->work_class];
  FairCaller *caller = caller_get (s, place->caller);

  workspace_set (f, w, place->weight, place->max_running);
  if (!k->waiting)
    k->served = now;
  it->caller = caller;
  it->cost = MAX (1, it->cost);
  it->state = FAIR_WAITING;
  APR_RING_INSERT_TAIL (&caller->items, it, FairItem, link);
  caller->waiting_cost += it->cost;
  caller->waiting++;
  s->waiting++;
  w->waiting++;
  k->waiting++;
  k->waiting_cost += it->cost;
  f->bytes += it->bytes;
  share_count (f, s);
  demand_note (k, now);
  flow_enter (f, &s->callers, &caller->flow);
  share_enter (f, s);
}

/* Removes IT from its queue, because it starts or is cancelled. */
static void
item_remove (Fair *f, FairItem *it)
{
  FairCaller *caller = it->caller;
  FairShare *s = caller->share;
  FairClass *k = &f->classes[s->work_class];

  APR_RING_REMOVE (it, link);
  caller->waiting_cost -= it->cost;
  caller->waiting--;
  s->waiting--;
  s->workspace->waiting--;
  k->waiting--;
  k->waiting_cost -= it->cost;
  f->bytes -= it->bytes;
  share_count (f, s);
  if (APR_RING_EMPTY (&caller->items, FairItem, link))
    flow_leave (&caller->flow);
  if (!s->waiting)
    share_leave (f, s);
}

/* Returns the slots of SLOTS that class K gets back whenever it has work. */
gint64
fair_class_floor (WorkClass k, guint slots)
{
  gint64 floor = (gint64)slots * floor_percent[k] / 100;

  return slots >= N_CLASSES ? MAX (1, floor) : floor;
}

/* Returns how many free slots are kept for class K: its recent demand up to
   its floor, less what runs already. */
static gint64
kept_for (const FairClass *k, WorkClass kind, guint slots)
{
  gint64 kept = MAX (k->demand.now, k->demand.before);

  kept = MIN (kept, fair_class_floor (kind, slots));
  if (kind == CLASS_INTERACTIVE)
    kept = MAX (kept, (gint64)slots * KEEP_PERCENT / 100);
  return MAX (0, kept - (gint64)k->running);
}

static gboolean
class_may_start (const Fair *f, WorkClass kind, guint slots)
{
  gint64 spare = (gint64)slots - (gint64)fair_running (f);
  int other;

  if (!level_first (&f->classes[kind].workspaces))
    return FALSE;
  for (other = 0; other < N_CLASSES; other++)
    if (other != (int)kind)
      spare -= kept_for (&f->classes[other], (WorkClass)other, slots);
  return spare > 0;
}

/* Returns the class that starts next, -1 for none: a starved one, then the
   first below its floor, then the most urgent. */
static int
choose_class (Fair *f, guint slots, ClockMs now)
{
  int first = -1;
  int k;

  for (k = 0; k < N_CLASSES; k++)
    demand_note (&f->classes[k], now);
  for (k = 0; k < N_CLASSES; k++)
    if (level_first (&f->classes[k].workspaces) &&
        now - f->classes[k].served >= STARVED_MS)
      return k;
  for (k = 0; k < N_CLASSES; k++)
    {
      if (!class_may_start (f, (WorkClass)k, slots))
        continue;
      if (f->classes[k].running < fair_class_floor ((WorkClass)k, slots))
        return k;
      if (first < 0)
        first = k;
    }
  return first;
}

static void
item_start (Fair *f, FairItem *it)
{
  FairCaller *caller = it->caller;
  FairShare *s = caller->share;
  FairWorkspace *w = s->workspace;
  FairClass *k = &f->classes[s->work_class];

  s->callers.vtime = MAX (s->callers.vtime, caller->flow.tag);
  k->workspaces.vtime = MAX (k->workspaces.vtime, s->flow.tag);
  flow_charge (&caller->flow, it->cost * TAG_SCALE);
  flow_charge (&s->flow, it->cost * TAG_SCALE / w->weight);
  item_remove (f, it);
  it->state = FAIR_RUNNING;
  caller->running++;
  w->running++;
  k->running++;
  workspace_update (f, w);
}

/* Takes out the item that starts next on one of SLOTS slots, which counts
   as running until fair_finish.  Returns NULL when nothing may start. */
FairItem *
fair_pop (Fair *f, guint slots, ClockMs now)
{
  int k = fair_running (f) < slots ? choose_class (f, slots, now) : -1;
  FairShare *s;
  FairCaller *caller;
  FairItem *it;

  if (k < 0)
    return NULL;
  s = (FairShare *)level_first (&f->classes[k].workspaces);
  caller = (FairCaller *)level_first (&s->callers);
  it = APR_RING_FIRST (&caller->items);
  item_start (f, it);
  f->classes[k].served = now;
  return it;
}

/* Takes IT, which waits, out of the queue. */
void
fair_cancel (Fair *f, FairItem *it)
{
  g_assert (it->state == FAIR_WAITING);
  item_remove (f, it);
  it->state = FAIR_IDLE;
}

/* Ends IT, which runs, and corrects the charge to COST, in milliseconds of
   slot time. */
void
fair_finish (Fair *f, FairItem *it, gint64 cost)
{
  FairCaller *caller = it->caller;
  FairShare *s = caller->share;
  FairWorkspace *w = s->workspace;
  gint64 more = cost - it->cost;

  g_assert (it->state == FAIR_RUNNING);
  it->state = FAIR_IDLE;
  caller->running--;
  w->running--;
  f->classes[s->work_class].running--;
  flow_charge (&caller->flow, more * TAG_SCALE);
  flow_charge (&s->flow, more * TAG_SCALE / w->weight);
  level_advance (&s->callers, cost * TAG_SCALE);
  workspace_update (f, w);
}

/* Returns the number of items that wait. */
guint
fair_waiting (const Fair *f)
{
  guint n = 0;
  int k;

  for (k = 0; k < N_CLASSES; k++)
    n += f->classes[k].waiting;
  return n;
}

/* Returns the number of items that wait and that no limit of their workspace
   holds back. */
guint
fair_startable (const Fair *f)
{
  guint n = 0;
  int k;

  for (k = 0; k < N_CLASSES; k++)
    n += f->classes[k].startable;
  return n;
}

/* Returns the number of items that run. */
guint
fair_running (const Fair *f)
{
  guint n = 0;
  int k;

  for (k = 0; k < N_CLASSES; k++)
    n += f->classes[k].running;
  return n;
}

/* Returns the number of items of class K that wait. */
guint
fair_class_waiting (const Fair *f, WorkClass k)
{
  return f->classes[k].waiting;
}

/* Returns the number of items of class K that run. */
guint
fair_class_running (const Fair *f, WorkClass k)
{
  return f->classes[k].running;
}

/* Returns the bytes held by items that wait. */
gint64
fair_waiting_bytes (const Fair *f)
{
  return f->bytes;
}

/* Sets *WAITING and *RUNNING to the workspace's items. */
void
fair_workspace_counts (const Fair *f,
                       const char *workspace,
                       guint *waiting,
                       guint *running)
{
  const FairWorkspace *w = g_hash_table_lookup (f->workspaces, workspace);

  *waiting = w ? w->waiting : 0;
  *running = w ? w->running : 0;
}

static const FairCaller *
find_caller (const Fair *f, const FairPlace *place)
{
  const FairWorkspace *w =
      g_hash_table_lookup (f->workspaces, place->workspace);

  if (!w)
    return NULL;
  return g_hash_table_lookup (w->shares[place->work_class].by_name,
                              place->caller);
}

/* Returns the number of items of PLACE's caller, in its class and
   workspace, that wait. */
guint
fair_caller_waiting (const Fair *f, const FairPlace *place)
{
  const FairCaller *caller = find_caller (f, place);

  return caller ? caller->waiting : 0;
}

/* Returns how long, in milliseconds, an item pushed to PLACE now would wait
   when nothing else came: what its caller has waiting, stretched by those
   it shares with, but no more than all that waits in the class. */
gint64
fair_wait_estimate (const Fair *f, const FairPlace *place, guint slots)
{
  const FairClass *k = &f->classes[place->work_class];
  const FairCaller *caller = find_caller (f, place);
  gint64 floor = MAX (1, fair_class_floor (place->work_class, slots));
  gint64 cost;

  if (!caller)
    return 0;
  cost = caller->waiting_cost *
         MAX (1, g_sequence_get_length (caller->share->callers.active));
  cost = cost * MAX (1, k->active_weight) / caller->share->workspace->weight;
  return MIN (cost, k->waiting_cost) / floor;
}
