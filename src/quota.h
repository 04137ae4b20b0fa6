#ifndef QUOTA_H
#define QUOTA_H

#include "fleet.h"
#include "quota_pack.h"
#include "table.h"

/* Guaranteed shapes in one failure domain.  A shape is kept as runs of
   adjacent accelerators: a gang larger than a worker is whole workers and a
   rest.  A run is anchored to a region of a worker while any part is charged
   to it, and the rest of the region stays the workspace's own: others may
   borrow it, but no guarantee counts on it.

   The invariant: the runs that are not anchored pack onto the accelerators
   that may serve guarantees (the bins of the fleet), so that whichever
   workspace asks next, stopping borrowed work frees its shape. */

/* One run.  USED are the accelerators of its worker that are charged to it;
   it is anchored while there are any. */
typedef struct QuotaRun
{
  guint64 used;
  guint32 worker;
  guint8 size;
  guint8 first;
  guint8 is_short; /* not upheld: hardware is missing */
} QuotaRun;

/* Parts of a job that go side by side into one run. */
typedef struct QuotaUnit
{
  guint n_parts;
  guint hold;        /* the size of the run */
  gboolean anchored; /* the region is fixed */
  guint worker;      /* of the region */
  guint64 open;      /* what is left of the region */
} QuotaUnit;

typedef struct QuotaWorkspace
{
  GArray *runs;       /* of QuotaRun, largest first */
  guint accelerators; /* of all runs */
} QuotaWorkspace;

/* NEED[N]: how many runs of N are upheld and not anchored. */
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
gboolean quota_has_runs (const Quota *q, guint workspace, const GArray *sizes);
gboolean quota_fits_when_empty (const Quota *q,
                                guint workspace,
                                guint parts,
                                guint accelerators);
gboolean quota_holds (const Quota *q, const Fleet *f);
void quota_fit_to_fleet (Quota *q, const Fleet *f);
gboolean quota_charge (const Quota *q, FleetJob *j, GArray *units);
void quota_need_without (const Quota *q, const FleetJob *j, guint *need);
void quota_anchor (Quota *q, Fleet *f, FleetJob *j);
void quota_discharge (Quota *q, Fleet *f, FleetJob *j);
gboolean quota_charge_at (Quota *q, Fleet *f, FleetJob *j);
guint quota_unused (const Quota *q, guint workspace);
guint quota_short (const Quota *q, guint workspace);
const QuotaWorkspace *quota_workspace (const Quota *q, guint workspace);

#endif
