#ifndef ROLE_H
#define ROLE_H

#include "core_state.h"

/* The role of a domain's scheduler: the store's lease on
   "schedulers/DOMAIN", and a term that workers take as fencing token. */

#define ROLE_PHASES(X)                                                         \
  X (ROLE_FOLLOWS, "follows")                                                  \
  X (ROLE_LOOKS, "looks")     /* reads the key */                              \
  X (ROLE_GRANTS, "grants")   /* asks for a lease */                           \
  X (ROLE_PUTS, "puts")       /* writes the key */                             \
  X (ROLE_SETTLES, "settles") /* reads back what it wrote */

#define ROLE_PHASE_ENUM(kind, name) kind,
typedef enum RolePhase
{
  ROLE_PHASES (ROLE_PHASE_ENUM) N_ROLE_PHASES
} RolePhase;

/* HELD and not CONFIRMED is a provisional term: the store cannot be
   asked. */
typedef struct Role
{
  RolePhase phase; /* of the store calls towards the lease */
  gboolean held;
  gboolean confirmed;
  gboolean away; /* the store did not answer the last call */
  gint64 term;
  gint64 highest;        /* term seen anywhere */
  gint64 hinted;         /* the scheduler's term that was told of own jobs */
  gint64 lease;          /* the store's */
  gint64 revision;       /* of the key */
  gint64 store_revision; /* the highest that a scheduler has heard */
  ClockMs granted;       /* when the running lease was last asked for */
  ClockMs lease_end;     /* by the own clock */
  ClockMs heard;         /* the last sign of a scheduler */
  gint64 seen_lease;     /* that another's key names */
  gint64 seen_revision;  /* of that key */
  ClockMs seen_since;
  RecList full; /* workspaces, of SchedName */
  char *holder; /* the host that is heard as scheduler, or NULL */
  gint64 call;
  Timer timer;
  Timer beat_timer;
} Role;

void role_init (Core *c, Role *r);
void role_start (Core *c);
void role_clear (Role *r);
void role_on_time (Core *c, ClockMs at);
void role_on_heartbeat (Core *c, const Event *e);
void role_on_stale (Core *c, gint64 term);
void role_note_term (Core *c, gint64 term);
void role_yield (Core *c, gint64 term, const char *why);
void role_drain (Core *c);
gboolean role_is_full (const Core *c, const char *workspace);
gboolean role_is_held (const Core *c);
const char *role_holder (const Core *c);

#endif
