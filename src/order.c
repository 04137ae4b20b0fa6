#include "order.h"

#include <string.h>

/* What is left of one millisecond's usage a millisecond later: half of it
   remains after an hour. */
static const double decay_per_ms = 0.99999980745913373;

/* Makes O an order without workspaces. */
void
order_init (Order *o)
{
  memset (o, 0, sizeof *o);
  o->workspaces = g_ptr_array_new_with_free_func (g_free);
}

/* Releases what O holds. */
void
order_clear (Order *o)
{
  g_ptr_array_unref (o->workspaces);
}

static OrderWorkspace *
workspace_new (void)
{
  OrderWorkspace *w = g_new0 (OrderWorkspace, 1);
  int i;

  w->weight = 1;
  w->max_accelerators = w->max_running = -1;
  for (i = 0; i < N_CLASSES; i++)
    APR_RING_INIT (&w->queue[i], FleetJob, link);
  APR_RING_INIT (&w->placed, FleetJob, link);
  return w;
}

/* Returns workspace I, with weight 1 and no limits when it is new. */
OrderWorkspace *
order_workspace (Order *o, guint i)
{
  while (o->workspaces->len <= i)
    g_ptr_array_add (o->workspaces, workspace_new ());
  return g_ptr_array_index (o->workspaces, i);
}

/* Sets what the domain has, by which shares are measured. */
void
order_set_capacity (Order *o,
                    double accelerators,
                    double cores,
                    double memory_mb)
{
  o->capacity[ORDER_ACCELERATORS] = accelerators;
  o->capacity[ORDER_CORES] = cores;
  o->capacity[ORDER_MEMORY] = memory_mb;
}

static void
insert_by_id (struct OrderQueue *q, FleetJob *j)
{
  FleetJob *k = APR_RING_LAST (q);

  while (k != APR_RING_SENTINEL (q, FleetJob, link) && k->id > j->id)
    k = APR_RING_PREV (k, link);
  if (k == APR_RING_SENTINEL (q, FleetJob, link))
    APR_RING_INSERT_HEAD (q, j, FleetJob, link);
  else
    APR_RING_INSERT_AFTER (k, j, link);
}

/* Makes J wait in the queue of its workspace and class. */
void
order_add (Order *o, FleetJob *j)
{
  OrderWorkspace *w = order_workspace (o, j->workspace);

  insert_by_id (&w->queue[j->work_class], j);
  w->n_waiting++;
  o->n_waiting++;
}

/* Takes J out of the queue. */
void
order_remove (Order *o, FleetJob *j)
{
  APR_RING_REMOVE (j, link);
  order_workspace (o, j->workspace)->n_waiting--;
  o->n_waiting--;
}

static double
decayed (ClockMs span)
{
  double factor = decay_per_ms;
  double left = 1;

  for (; span > 0; span >>= 1)
    {
      if (span & 1)
        left *= factor;
      factor *= factor;
    }
  return left;
}

static void
advance (OrderWorkspace *w, ClockMs now)
{
  double left;
  int i;

  if (now <= w->updated)
    return;
  left = decayed (now - w->updated);
  for (i = 0; i < N_ORDER_RESOURCES; i++)
    {
      double level = MAX (w->in_use[i] + w->drift[i], 0);

      w->usage[i] = level + (w->usage[i] - level) * left;
    }
  w->updated = now;
}

static void
account (Order *o, const FleetJob *j, ClockMs now, int sign)
{
  OrderWorkspace *w = order_workspace (o, j->workspace);
  double n = sign * (double)j->parts;

  advance (w, now);
  w->running += sign;
  w->accelerators += sign * (gint64)j->parts * j->accelerators;
  if (j->in_guarantee)
    return;
  w->in_use[ORDER_ACCELERATORS] += n * j->accelerators;
  w->in_use[ORDER_CORES] += n * (double)j->cores;
  w->in_use[ORDER_MEMORY] += n * (double)j->memory_mb;
}

/* Charges J, which holds a place from NOW on and no longer waits. */
void
order_take (Order *o, FleetJob *j, ClockMs now)
{
  account (o, j, now, 1);
  insert_by_id (&order_workspace (o, j->workspace)->placed, j);
}

/* Ends the charge of J. */
void
order_free (Order *o, FleetJob *j, ClockMs now)
{
  account (o, j, now, -1);
  APR_RING_REMOVE (j, link);
}

/* Corrects the account of WORKSPACE by what its work was REPORTED to use
   above its guarantee, by resource. */
void
order_correct (Order *o, guint workspace, const double *reported, ClockMs now)
{
  OrderWorkspace *w = order_workspace (o, workspace);
  int i;

  advance (w, now);
  for (i = 0; i < N_ORDER_RESOURCES; i++)
    w->drift[i] = reported[i] - w->in_use[i];
}

/* Returns the greatest share of any resource that WORKSPACE uses above its
   guarantee, now and of late in equal parts, by its weight. */
double
order_score (Order *o, guint workspace, ClockMs now)
{
  OrderWorkspace *w = order_workspace (o, workspace);
  double most = 0;
  int i;

  advance (w, now);
  for (i = 0; i < N_ORDER_RESOURCES; i++)
    if (o->capacity[i] > 0)
      most = MAX (most, (w->in_use[i] + w->usage[i]) / 2 / o->capacity[i]);
  return most / w->weight;
}

/* Tells whether the limits of its workspace let J start. */
gboolean
order_within_limits (Order *o, const FleetJob *j)
{
  const OrderWorkspace *w = order_workspace (o, j->workspace);
  gint64 wanted = (gint64)j->parts * j->accelerators;

  if (w->max_running >= 0 && w->running >= w->max_running)
    return FALSE;
  return w->max_accelerators < 0 || wanted == 0 ||
         w->accelerators + wanted <= w->max_accelerators;
}

/* Returns the first waiting job by id that is within its limits and FITS, or
   NULL. */
FleetJob *
order_oldest (Order *o,
              gboolean (*fits) (const FleetJob *j, ClockMs now),
              ClockMs now)
{
  FleetJob *oldest = NULL;
  guint i;
  int c;

  for (i = 0; i < o->workspaces->len; i++)
    for (c = 0; c < N_CLASSES; c++)
      {
        OrderWorkspace *w = g_ptr_array_index (o->workspaces, i);
        FleetJob *j = NULL;

        APR_RING_FOREACH (j, &w->queue[c], FleetJob, link)
          {
            if (oldest && j->id > oldest->id)
              break;
            if (!order_within_limits (o, j) || !fits (j, now))
              continue;
            oldest = j;
            break;
          }
      }
  return oldest;
}

static gboolean
goes_before (const OrderCursor *a, const OrderCursor *b)
{
  if (a->demoted != b->demoted)
    return !a->demoted;
  if (a->score != b->score)
    return a->score < b->score;
  return a->job->id < b->job->id;
}

static void
sift_down (GArray *heap, guint i)
{
  OrderCursor *c = (OrderCursor *)(gpointer)heap->data;

  for (;;)
    {
      guint least = i;
      guint k;
      OrderCursor swap;

      for (k = 2 * i + 1; k <= 2 * i + 2 && k < heap->len; k++)
        if (goes_before (&c[k], &c[least]))
          least = k;
      if (least == i)
        return;
      swap = c[i];
      c[i] = c[least];
      c[least] = swap;
      i = least;
    }
}

/* Tells whether J counts as tried: not if free room is no use to it, so that
   it holds back none of those behind it. */
static gboolean
counts_as_tried (const OrderRound *r,
                 const OrderWorkspace *w,
                 const FleetJob *j)
{
  if (w->max_running >= 0 && w->running >= w->max_running)
    return TRUE;
  if (!r->guaranteed && fleet_needs_guarantee (j))
    return FALSE;
  return r->now >= j->blocked_until && order_within_limits (r->order, j);
}

/* Sets the job of C to the next one of its workspace: one that has waited
   long, or else the most urgent.  Returns FALSE at the end. */
static gboolean
cursor_step (const OrderRound *r, OrderCursor *c)
{
  OrderWorkspace *w = g_ptr_array_index (r->order->workspaces, c->workspace);
  int pick = -1;
  int i;

  if (c->depth >= (r->is_sweep ? ORDER_SWEEP_DEPTH : ORDER_DEPTH))
    return FALSE;
  for (i = 0; i < N_CLASSES; i++)
    {
      FleetJob *j = c->next[i];

      if (j == APR_RING_SENTINEL (&w->queue[i], FleetJob, link))
        continue;
      if (pick < 0 ||
          (r->now - j->arrived >= ORDER_AGE_MS && j->id < c->next[pick]->id))
        pick = i;
    }
  if (pick < 0 && r->is_sweep)
    memset (w->swept_to, 0, sizeof w->swept_to);
  if (pick < 0)
    return FALSE;
  c->job = c->next[pick];
  c->next[pick] = APR_RING_NEXT (c->job, link);
  c->depth += counts_as_tried (r, w, c->job);
  c->demoted = c->job->work_class != CLASS_INTERACTIVE ||
               (!r->guaranteed && c->score > r->fair);
  return TRUE;
}

static double
fair_score (Order *o, ClockMs now)
{
  double weights = 0;
  guint i;

  for (i = 0; i < o->workspaces->len; i++)
    {
      const OrderWorkspace *w = g_ptr_array_index (o->workspaces, i);

      if (w->n_waiting || order_score (o, i, now) > 0)
        weights += w->weight;
    }
  return weights > 0 ? 1 / weights : 0;
}

/* Returns the job of class C at which round R over W begins. */
static FleetJob *
round_first (const OrderRound *r, OrderWorkspace *w, int c)
{
  FleetJob *j = APR_RING_FIRST (&w->queue[c]);

  while (r->is_sweep && j != APR_RING_SENTINEL (&w->queue[c], FleetJob, link) &&
         j->id <= w->swept_to[c])
    j = APR_RING_NEXT (j, link);
  return j;
}

/* Tells whether a job of W that free room is of use to has waited so long that
   room is left to it. */
static gboolean
has_aged (const OrderRound *r, const OrderWorkspace *w)
{
  int c;

  for (c = 0; c < N_CLASSES; c++)
    {
      const FleetJob *j = APR_RING_FIRST (&w->queue[c]);

      while (j != APR_RING_SENTINEL (&w->queue[c], FleetJob, link) &&
             !counts_as_tried (r, w, j))
        j = APR_RING_NEXT (j, link);
      if (j != APR_RING_SENTINEL (&w->queue[c], FleetJob, link) &&
          r->now - j->arrived >= ORDER_AGE_MS)
        return TRUE;
    }
  return FALSE;
}

/* Fills the heap of R. */
static void
round_fill (OrderRound *r)
{
  Order *o = r->order;
  ClockMs now = r->now;
  guint i;
  int c;

  r->heap = g_array_new (FALSE, FALSE, sizeof (OrderCursor));
  for (i = 0; i < o->workspaces->len; i++)
    {
      OrderWorkspace *w = g_ptr_array_index (o->workspaces, i);
      OrderCursor cursor = { .workspace = i };

      if (!w->n_waiting || (r->is_sweep && has_aged (r, w)))
        continue;
      cursor.score = order_score (o, i, now);
      for (c = 0; c < N_CLASSES; c++)
        cursor.next[c] = round_first (r, w, c);
      if (cursor_step (r, &cursor))
        g_array_append_val (r->heap, cursor);
    }
  for (i = r->heap->len / 2; i > 0; i--)
    sift_down (r->heap, i - 1);
}

/* Starts a round over the jobs of O that wait.  Jobs must not be added or
   removed until it is cleared. */
void
order_round_init (OrderRound *r, Order *o, gboolean guaranteed, ClockMs now)
{
  *r = (OrderRound) { .order = o,
                      .now = now,
                      .guaranteed = guaranteed,
                      .fair = fair_score (o, now) };
  round_fill (r);
}

/* Starts a round over those of the jobs of O that come behind the ones of the
   last such round, from the first again at the end; without workspaces of
   which a job has waited for ORDER_AGE_MS.  Otherwise as order_round_init. */
void
order_sweep_init (OrderRound *r, Order *o, ClockMs now)
{
  *r = (OrderRound) { .order = o,
                      .now = now,
                      .is_sweep = TRUE,
                      .fair = fair_score (o, now) };
  round_fill (r);
}

/* Returns the next job to try, or NULL at the end of the round. */
FleetJob *
order_round_next (OrderRound *r)
{
  OrderCursor *top = (OrderCursor *)(gpointer)r->heap->data;
  FleetJob *j;

  if (r->heap->len == 0)
    return NULL;
  j = top->job;
  if (r->is_sweep)
    order_workspace (r->order, j->workspace)->swept_to[j->work_class] = j->id;
  if (!cursor_step (r, top))
    {
      *top = g_array_index (r->heap, OrderCursor, r->heap->len - 1);
      g_array_set_size (r->heap, r->heap->len - 1);
    }
  if (r->heap->len > 0)
    sift_down (r->heap, 0);
  return j;
}

/* Ends round R. */
void
order_round_clear (OrderRound *r)
{
  g_array_unref (r->heap);
}
