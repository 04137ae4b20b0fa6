#ifndef TERM_H
#define TERM_H

#include "effects.h"

/* The scheduler's role: one host at a time holds a key in the store under a
   lease.  Each holder counts an epoch up, from which fences and run numbers
   follow. */

typedef enum TermState
{
  TERM_FOLLOWER,         /* another host holds the role, or none is known to */
  TERM_REQUESTING_LEASE, /* asks for a lease */
  TERM_READING_EPOCH,    /* reads the epoch */
  TERM_CLAIMING,         /* writes the role's key */
  TERM_LEADER
} TermState;

typedef struct Term
{
  char *holder_name; /* of this process: host and start */
  TermState state;
  gboolean eligible;   /* this host may hold the role */
  gboolean role_known; /* the role's key has been listed */
  gboolean role_held;  /* by any host */
  gint64 role_revision;
  gint64 lease_id;
  ClockMs lease_ttl;
  gint64 epoch_revision;
  gint64 epoch;
  gint64 call_id;
  gint64 revoke_lease_id;   /* to be given back */
  ClockMs next_at;          /* when to act next */
  ClockMs renewed_at;       /* when the last renewal that went through began */
  gint64 own_role_revision; /* of the own role key, while holder */
  gboolean must_renew;      /* the holder must renew before it goes on */
} Term;

void term_init (Term *t, const char *holder_name);
void term_clear (Term *t);
void term_on_role (Term *t, const KvItem *item, ClockMs now, ClockMs jitter);
void term_poll (Term *t, ClockMs now, Effects *fx);
gboolean
term_on_reply (Term *t, const KvReply *reply, ClockMs now, Effects *fx);
void term_step_down (Term *t, ClockMs now);
void term_set_eligible (Term *t, gboolean eligible);
gboolean term_is_leader (const Term *t);
gboolean term_may_send_orders (const Term *t, ClockMs now);
void term_require_renewal (Term *t, ClockMs now);
void term_check_expiry (Term *t, ClockMs now);
gint64 term_fence (const Term *t);
gint64 term_first_run (const Term *t);
ClockMs term_next_deadline (const Term *t);

extern const ClockMs term_order_grace;

#endif
