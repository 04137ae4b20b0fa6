#ifndef CONF_H
#define CONF_H

#include "clock.h"

/* One version of the operators' configuration: routes, services, workspaces
   and tokens.  A Conf is immutable once it has been filled in, and shared by
   reference counting. */

typedef struct ConfRoute
{
  char *name;
  char *host;
  char *prefix; /* path prefix; begins and ends with a slash */
  char *service;
  gint64 priority;     /* 0 is the highest and may preempt others */
  gint64 max_attempts; /* failed runs of one task that fail its job */
  /* A job's completion objective is STRETCH times the duration of its longest
     chain of dependent steps, plus TARGET_LATENCY. */
  double stretch;
  ClockMs target_latency;
  gboolean allows_anonymous; /* requests need no token */
} ConfRoute;

typedef struct ConfService
{
  char *name;
  gboolean spare; /* its machines stay off until assigned to another service */
} ConfService;

typedef struct ConfWorkspace
{
  char *name;
  gint64 guaranteed_accelerators; /* for its jobs of priority 0 */
} ConfWorkspace;

typedef struct Conf
{
  gint64 version;
  GPtrArray *routes;     /* of ConfRoute */
  GPtrArray *services;   /* of ConfService */
  GPtrArray *workspaces; /* of ConfWorkspace */
  GHashTable *tokens;    /* token to ConfWorkspace, owned by WORKSPACES */
  gsize max_header_bytes;
  gsize max_body_bytes;
  ClockMs header_timeout;
  ClockMs idle_timeout;
} Conf;

Conf *conf_new (gint64 version);
Conf *conf_ref (Conf *conf);
void conf_unref (Conf *conf);
ConfRoute *conf_add_route (Conf *conf);
ConfService *conf_add_service (Conf *conf, const char *name);
ConfWorkspace *conf_add_workspace (Conf *conf, const char *name);
void conf_add_token (Conf *conf, ConfWorkspace *workspace, const char *token);
const ConfRoute *
conf_find_route (const Conf *conf, const char *host, const char *path);
const ConfRoute *conf_find_route_by_name (const Conf *conf, const char *name);
const ConfWorkspace *conf_find_workspace_by_token (const Conf *conf,
                                                   const char *token);
const ConfWorkspace *conf_find_workspace_by_name (const Conf *conf,
                                                  const char *name);

#endif
