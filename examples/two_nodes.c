#include "core.h"

#include <stdio.h>
#include <string.h>

/* Two nodes in one process: what one emits for the other is fed to it. */

enum
{
  N_NODES = 2,
  SPAN_MS = 5000
};

static const char *const hosts[N_NODES] = { "h1", "h2" };

static Core *
start_node (int self)
{
  Config *cfg = config_default ();
  Core *c;
  int i;

  rec_set_str (&cfg->host, hosts[self]);
  rec_set_str (&cfg->domain, "d1");
  cfg->incarnation = 1;
  for (i = 0; i < N_NODES; i++)
    {
      ConfigHost *h = rec_list_add (config_host_desc (), &cfg->hosts);

      rec_set_str (&h->name, hosts[i]);
      rec_set_str (&h->domain, "d1");
    }
  c = core_new (cfg, (guint32)self + 1, 0);
  config_free (cfg);
  return c;
}

/* Carries out what C wants: messages go to the other node, calls to the
   store find it away, notes are printed. */
static void
drain (Core *nodes[], int self, ClockMs now)
{
  Event *e;

  while ((e = core_next_effect (nodes[self])))
    {
      if (event_is_message (e->kind))
        core_feed (nodes[1 - self], &(Event) { .kind = e->kind,
                                               .at = now,
                                               .peer = hosts[self],
                                               .body = e->body });
      else if (e->kind == FX_STORE_CALL)
        {
          const StoreCall *call = e->body;
          StoreReply reply = { .call = call->call,
                               .op = call->op,
                               .status = STORE_UNSENT };

          core_feed (nodes[self], &(Event) { .kind = EV_STORE_REPLY,
                                             .at = now,
                                             .peer = "",
                                             .body = &reply });
        }
      else if (e->kind == FX_NOTE)
        printf ("%5" CLOCK_MS_FORMAT " %s %s\n", now, hosts[self],
                note_name (((const CoreNote *)e->body)->kind));
      event_free (e);
    }
}

static ClockMs
next_deadline (Core *nodes[])
{
  return MIN (core_next_deadline (nodes[0]), core_next_deadline (nodes[1]));
}

int
main (void)
{
  static const char csv[] = "workspace,weight\nalpha,3\nbeta,1\n";
  Core *nodes[N_NODES] = { start_node (0), start_node (1) };
  TableValue table = { .revision = 1,
                       .edit_id = "first",
                       .csv = g_bytes_new_static (csv, strlen (csv)) };
  ClockMs now = 1;
  gboolean agree;
  int i;

  core_feed (nodes[0], &(Event) { .kind = EV_TABLE,
                                  .at = now,
                                  .peer = "",
                                  .body = &table });
  while (now < SPAN_MS)
    {
      for (i = 0; i < N_NODES; i++)
        drain (nodes, i, now);
      now = MAX (now + 1, MIN (next_deadline (nodes), SPAN_MS));
      for (i = 0; i < N_NODES; i++)
        core_feed (nodes[i], &(Event) { .kind = EV_TICK, .at = now });
    }
  agree = core_counter (nodes[1], COUNT_TABLE_REVISION) == 1;
  printf ("the second node %s the table\n", agree ? "has" : "lacks");
  for (i = 0; i < N_NODES; i++)
    core_free (nodes[i]);
  g_bytes_unref (table.csv);
  return agree ? 0 : 1;
}
