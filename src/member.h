#ifndef MEMBER_H
#define MEMBER_H

#include "core_state.h"

/* Which hosts there are, and which of them answer. */

#define MEMBER_STATES(X)                                                       \
  X (MEMBER_JOINING, "joining") /* listed, and not heard of yet */             \
  X (MEMBER_LIVE, "live")                                                      \
  X (MEMBER_SUSPECT, "suspect")                                                \
  X (MEMBER_DRAINING, "draining")                                              \
  X (MEMBER_GONE, "gone")

#define MEMBER_STATE_ENUM(kind, name) kind,
typedef enum MemberState
{
  MEMBER_STATES (MEMBER_STATE_ENUM) N_MEMBER_STATES
} MemberState;

/* A host as this node sees it; the node itself is one of them. */
typedef struct MemberHost
{
  const char *name;
  const char *domain;
  const char *region;
  MemberState state;
  gint64 incarnation; /* 0: not heard of yet */
  gint64 table_revision;
  gboolean self;
  gint64 sequence; /* of the last heartbeat, direct or through a peer */
  ClockMs heard_at;
  ClockMs direct_at; /* of the last direct one */
  gint64 load;
  gint64 leaving_digest; /* of the last direct heartbeat */
  gboolean configured;   /* by the settings; others are forgotten one day */
} MemberHost;

Member *member_new (Core *c);
void member_start (Core *c);
void member_free (Member *m);
const char *member_state_name (MemberState state);
guint member_n_hosts (const Core *c);
const MemberHost *member_host (const Core *c, guint i);
const MemberHost *member_find (const Core *c, const char *name);
gboolean member_is_live (const Core *c, const char *name);
guint member_n_live (const Core *c);
guint member_live_rank (const Core *c, guint *n_live);
const MemberHost *member_with_table (const Core *c, gint64 above);
void member_announce (Core *c);
void member_set_load (Core *c, gint64 load);
void member_set_leaving (Core *c, const char *upstream);
void member_clear_leaving (Core *c, const char *upstream);
gboolean member_is_leaving (const Core *c, const char *upstream);
void member_on_heartbeat (Core *c, const Event *e);

#endif
