#ifndef ROUTE_H
#define ROUTE_H

#include "clock.h"
#include "upstream_event.h"

/* Which upstream a request goes to, by load, recent latency and health. */

typedef struct Route Route;

enum
{
  ROUTE_NONE = -1,
  ROUTE_MAX_KINDS = 64, /* later kinds share the last one */
  ROUTE_MAX_TRIED = 4
};

#define ROUTE_HEALTHS(X)                                                       \
  X (ROUTE_HEALTHY, "healthy")                                                 \
  X (ROUTE_DEGRADED, "degraded")                                               \
  X (ROUTE_PROBING, "probing")

#define ROUTE_HEALTH_ENUM(kind, name) kind,
typedef enum RouteHealth
{
  ROUTE_HEALTHS (ROUTE_HEALTH_ENUM) N_ROUTE_HEALTHS
} RouteHealth;

/* What a choice is for.  REPEATABLE requests may try a degraded upstream
   whose back-off is over; with PRESSED, slow upstreams are taken as well. */
typedef struct RouteWish
{
  guint kind;
  gboolean repeatable;
  gboolean pressed;
  gboolean elsewhere; /* in the other failure domains */
  guint n_tried;
  int tried[ROUTE_MAX_TRIED];
} RouteWish;

Route *route_new (GRand *rng);
void route_free (Route *r);
guint route_kind (Route *r, const char *name);
int route_add (Route *r, const char *name, gboolean own);
int route_find (const Route *r, const char *name);
guint route_n (const Route *r);
const char *route_name (const Route *r, int u);
gboolean route_is_own (const Route *r, int u);
gboolean route_has_others (const Route *r);
void route_set_limit (Route *r, int u, gint64 limit);
gint64 route_limit (const Route *r, int u);
gint64 route_running (const Route *r, int u);
void route_set_leaving (Route *r, int u, gboolean leaving);
gboolean route_is_leaving (const Route *r, int u);
gint64 route_free_slots (const Route *r);
gint64 route_slots (const Route *r);
int route_choose (Route *r, const RouteWish *wish, ClockMs now);
void route_begin (Route *r, int u);
void route_end (Route *r, int u);
void route_learn (Route *r,
                  int u,
                  guint kind,
                  UpstreamResult result,
                  ClockMs latency,
                  ClockMs now);
gboolean route_is_reachable (const Route *r, int u);
ClockMs route_probe_at (const Route *r, int u);
void route_probed (Route *r, int u, gboolean healthy, ClockMs now);
RouteHealth route_health (const Route *r, int u, guint kind);
const char *route_health_name (RouteHealth h);
gint64 route_slowness (const Route *r, int u);

#endif
