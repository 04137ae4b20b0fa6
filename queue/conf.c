#include "conf.h"

#include <string.h>

static void
route_free (gpointer p)
{
  ConfRoute *r = p;

  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  g_free (r->service);
  g_free (r);
}

static void
service_free (gpointer p)
{
  ConfService *s = p;

  g_free (s->name);
  g_free (s);
}

static void
workspace_free (gpointer p)
{
  ConfWorkspace *w = p;

  g_free (w->name);
  g_free (w);
}

/* Returns an empty configuration with a reference count of one. */
Conf *
conf_new (gint64 version)
{
  Conf *conf = g_rc_box_new0 (Conf);

  conf->version = version;
  conf->routes = g_ptr_array_new_with_free_func (route_free);
  conf->services = g_ptr_array_new_with_free_func (service_free);
  conf->workspaces = g_ptr_array_new_with_free_func (workspace_free);
  conf->tokens = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return conf;
}

/* Adds a reference to CONF and returns it. */
Conf *
conf_ref (Conf *conf)
{
  return g_rc_box_acquire (conf);
}

static void
conf_clear (gpointer p)
{
  Conf *conf = p;

  g_ptr_array_unref (conf->routes);
  g_ptr_array_unref (conf->services);
  g_ptr_array_unref (conf->workspaces);
  g_hash_table_unref (conf->tokens);
}

/* Drops a reference to CONF, which may be NULL. */
void
conf_unref (Conf *conf)
{
  if (conf)
    g_rc_box_release_full (conf, conf_clear);
}

/* Adds an empty route to CONF and returns it; the caller fills it in. */
ConfRoute *
conf_add_route (Conf *conf)
{
  ConfRoute *r = g_new0 (ConfRoute, 1);

  g_ptr_array_add (conf->routes, r);
  return r;
}

/* Adds a service to CONF and returns it. */
ConfService *
conf_add_service (Conf *conf, const char *name)
{
  ConfService *s = g_new0 (ConfService, 1);

  s->name = g_strdup (name);
  g_ptr_array_add (conf->services, s);
  return s;
}

/* Adds a workspace to CONF and returns it. */
ConfWorkspace *
conf_add_workspace (Conf *conf, const char *name)
{
  ConfWorkspace *w = g_new0 (ConfWorkspace, 1);

  w->name = g_strdup (name);
  g_ptr_array_add (conf->workspaces, w);
  return w;
}

/* Makes TOKEN authenticate callers as WORKSPACE, which belongs to CONF. */
void
conf_add_token (Conf *conf, ConfWorkspace *workspace, const char *token)
{
  g_hash_table_insert (conf->tokens, g_strdup (token), workspace);
}

/* Compares host names, ignoring case and the port of HOST. */
static gboolean
host_matches (const char *route_host, const char *host)
{
  gsize n = strcspn (host, ":");

  return strlen (route_host) == n &&
         g_ascii_strncasecmp (route_host, host, n) == 0;
}

/* Returns the route for HOST whose path prefix is the longest match of PATH,
   or NULL. */
const ConfRoute *
conf_find_route (const Conf *conf, const char *host, const char *path)
{
  const ConfRoute *best = NULL;
  guint i;

  for (i = 0; i < conf->routes->len; i++)
    {
      const ConfRoute *r = g_ptr_array_index (conf->routes, i);

      if (host_matches (r->host, host) && g_str_has_prefix (path, r->prefix) &&
          (!best || strlen (r->prefix) > strlen (best->prefix)))
        best = r;
    }
  return best;
}

/* Returns the route called NAME, or NULL. */
const ConfRoute *
conf_find_route_by_name (const Conf *conf, const char *name)
{
  guint i;

  for (i = 0; i < conf->routes->len; i++)
    {
      const ConfRoute *r = g_ptr_array_index (conf->routes, i);

      if (strcmp (r->name, name) == 0)
        return r;
    }
  return NULL;
}

/* Returns the workspace that TOKEN authenticates, or NULL if unknown. */
const ConfWorkspace *
conf_find_workspace_by_token (const Conf *conf, const char *token)
{
  return g_hash_table_lookup (conf->tokens, token);
}

/* Returns the workspace called NAME, or NULL. */
const ConfWorkspace *
conf_find_workspace_by_name (const Conf *conf, const char *name)
{
  guint i;

  for (i = 0; i < conf->workspaces->len; i++)
    {
      const ConfWorkspace *w = g_ptr_array_index (conf->workspaces, i);

      if (strcmp (w->name, name) == 0)
        return w;
    }
  return NULL;
}
