#ifndef QUOTA_H
#define QUOTA_H

#include "fleet.h"
#include "table.h"

/* Guaranteed shapes in one failure domain.  A shape is kept as runs of
   adjacent accelerators: a gang larger than a worker is whole workers and a
   rest.  A part of a job inside its guarantee is charged to one run of its
   workspace; what is left of the run stays guaranteed.

   The invariant: the unused rest of all runs packs onto the accelerators
   that may serve guarantees (the bins of the fleet), so that whichever
   workspace asks next, stopping borrowed work frees its shape. */

/* One run.  UNUSED of its SIZE accelerators are not in use. */
typedef struct QuotaRun
{
  guint8 size;
  guint8 unused;
  guint8 is_short; /* not upheld: hardware is missing */
} QuotaRun;

typedef struct QuotaWorkspace
{
  GArray *runs;       /* of QuotaRun, largest first */
  guint accelerators; /* of all runs */
} QuotaWorkspace;

/* NEED[N]: how many runs that are upheld have N accelerators unused. */
typedef struct Quota
{
  GPtrArray *workspaces; /* of QuotaWorkspace */
  guint need[FLEET_MAX_ACCELERATORS + 1];
  guint n_short;  /* runs */
  guint unplaced; /* accelerators guaranteed that no domain can hold */
} Quota;

/* The inventory of all domains, by the settings: WORKERS[D][N] workers of
   domain D have N accelerators.  Domains are in the order of their names. */
typedef struct QuotaInventory
{
  GPtrArray *domains; /* of names */
  GArray *workers;    /* of guint [FLEET_MAX_ACCELERATORS + 1] */
} QuotaInventory;

void quota_inventory_init (QuotaInventory *inv);
void quota_inventory_clear (QuotaInventory *inv);
void quota_inventory_add (QuotaInventory *inv,
                          const char *domain,
                          guint accelerators);

void quota_init (Quota *q);
void quota_clear (Quota *q);
guint quota_split (const QuotaInventory *inv,
                   const Workspace *const *rows,
                   guint n,
                   const char *domain,
                   GArray **runs);
void quota_set_runs (Quota *q, guint workspace, const GArray *sizes);
gboolean quota_pack (const guint *need, const guint *bins);
gboolean quota_holds (const Quota *q, const Fleet *f);
void quota_refit (Quota *q, const Fleet *f);
gboolean quota_charge (Quota *q, FleetJob *j);
void quota_discharge (Quota *q, FleetJob *j);
void quota_recharge (Quota *q, FleetJob *j);
guint quota_unused (const Quota *q, guint workspace);
guint quota_short (const Quota *q, guint workspace);
const QuotaWorkspace *quota_workspace (const Quota *q, guint workspace);

#endif
