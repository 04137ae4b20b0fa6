#ifndef ORDER_H
#define ORDER_H

#include "fleet.h"

/* Whose job is tried next: weighted dominant-resource fairness over what
   workspaces use above their guarantees, with a memory that decays.  Urgent
   work goes first while its workspace is within its fair share, and takes
   its turn like other work beyond it.  Within a workspace urgent work goes
   first, but for a job that has waited ORDER_AGE_MS. */

enum
{
  ORDER_AGE_MS = 600000,
  ORDER_DEPTH = 8, /* jobs of a workspace tried around one that doesn't fit */
  ORDER_SWEEP_DEPTH = 64 /* the same of a sweep */
};

typedef enum OrderResource
{
  ORDER_ACCELERATORS,
  ORDER_CORES,
  ORDER_MEMORY,
  N_ORDER_RESOURCES
} OrderResource;

APR_RING_HEAD (OrderQueue, FleetJob);

/* A limit of -1 is no limit.  Shares are of the domain's capacity. */
typedef struct OrderWorkspace
{
  double weight;
  gint64 max_accelerators;
  gint64 max_running;
  gint64 accelerators; /* in use, guaranteed ones included */
  gint64 running;
  guint n_waiting;
  struct OrderQueue queue[N_CLASSES]; /* by id */
  gint64 swept_to[N_CLASSES];         /* the last job that a sweep tried */
  struct OrderQueue placed;           /* claims included */
  double in_use[N_ORDER_RESOURCES];   /* above the guarantee, own units */
  double usage[N_ORDER_RESOURCES];    /* decayed mean of the same */
  double drift[N_ORDER_RESOURCES];    /* reported less granted */
  ClockMs updated;
} OrderWorkspace;

typedef struct Order
{
  GPtrArray *workspaces; /* of OrderWorkspace */
  double capacity[N_ORDER_RESOURCES];
  guint n_waiting;
} Order;

/* One round over the waiting jobs, in order. */
typedef struct OrderCursor
{
  gboolean demoted;
  double score;
  FleetJob *job;
  FleetJob *next[N_CLASSES];
  guint workspace;
  guint depth;
} OrderCursor;

typedef struct OrderRound
{
  Order *order;
  ClockMs now;
  double fair;         /* the score of a fair share */
  gboolean guaranteed; /* inside guarantees urgency always counts */
  gboolean is_sweep;   /* over the jobs behind those of the last sweep */
  GArray *heap;        /* of OrderCursor */
} OrderRound;

void order_init (Order *o);
void order_clear (Order *o);
OrderWorkspace *order_workspace (Order *o, guint i);
void order_set_capacity (Order *o,
                         double accelerators,
                         double cores,
                         double memory_mb);
void order_add (Order *o, FleetJob *j);
void order_remove (Order *o, FleetJob *j);
void order_take (Order *o, FleetJob *j, ClockMs now);
void order_free (Order *o, FleetJob *j, ClockMs now);
void
order_correct (Order *o, guint workspace, const double *reported, ClockMs now);
double order_score (Order *o, guint workspace, ClockMs now);
gboolean order_within_limits (Order *o, const FleetJob *j);
FleetJob *order_oldest (Order *o,
                        gboolean (*fits) (const FleetJob *j, ClockMs now),
                        ClockMs now);

void
order_round_init (OrderRound *r, Order *o, gboolean guaranteed, ClockMs now);
void order_sweep_init (OrderRound *r, Order *o, ClockMs now);
FleetJob *order_round_next (OrderRound *r);
void order_round_clear (OrderRound *r);

#endif
