#ifndef CONF_H
#define CONF_H

#include "clock.h"

/* The operators' configuration in force: routes, services, workspaces.  A
   Conf is never changed once made, and shared by reference. */

typedef struct ConfRoute
{
  char *name;
  char *host;
  char *prefix; /* of the path; begins and ends with a slash */
  char *service;
  gint64 priority;     /* 0 comes first and may preempt the others */
  gint64 max_attempts; /* failed runs of a task before its job has failed */
  double stretch; /* objective: this many times the job's longest chain ... */
  ClockMs target_latency;    /* ... and this much more */
  gboolean allows_anonymous; /* callers need no token */
} ConfRoute;

typedef struct ConfService
{
  char *name;
  gboolean spare; /* its machines are off until they are moved elsewhere */
} ConfService;

typedef struct ConfWorkspace
{
  char *name;
  gint64 guaranteed_accelerators; /* accelerators, for its jobs of priority 0 */
} ConfWorkspace;

typedef struct Conf
{
  gint64 version;
  GPtrArray *routes;     /* of ConfRoute */
  GPtrArray *services;   /* of ConfService */
  GPtrArray *workspaces; /* of ConfWorkspace */
  GHashTable *tokens;    /* token to ConfWorkspace */
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
