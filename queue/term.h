#ifndef TERM_H
#define TERM_H

#include "effects.h"

/* Leader election.  The leader is the host that holds the scheduler's role key
   in the store under a lease.  Each new leader increments a stored epoch, from
   which its fencing token and its run numbers are derived. */

typedef enum TermState
{
  TERM_FOLLOWER,         /* another host leads, or no leader is known */
  TERM_REQUESTING_LEASE, /* waiting for a lease for the role key */
  TERM_READING_EPOCH,    /* waiting for the stored epoch */
  TERM_CLAIMING,         /* writing the role key and the new epoch */
  TERM_LEADER
} TermState;

/* When this host first saw that a term had begun, in the order of the terms. */
typedef struct TermSeen
{
  gint64 epoch;
  ClockMs at;
} TermSeen;

enum
{
  TERM_HISTORY = 8
};

typedef struct TermHistory
{
  TermSeen seen[TERM_HISTORY];
  guint n;
} TermHistory;

typedef struct Term
{
  char *holder_name; /* value of the role key: unique per process */
  TermState state;
  gboolean eligible;     /* this host may become or stay leader */
  gboolean role_known;   /* the role key's state has been received */
  gboolean role_is_held; /* the role key exists, written by any host */
  ClockMs free_since;    /* since when it is known not to exist */
  gboolean last_resort;  /* claim the role only if no other host does */
  gint64 role_revision;  /* last revision received of the role key */
  gint64 lease_id;       /* of this host's lease; 0: none */
  ClockMs lease_ttl;
  ClockMs min_lease_ttl;    /* the store refuses a shorter lease */
  gint64 epoch_revision;    /* 0: no epoch is stored yet */
  gint64 epoch;             /* of this host's own term */
  gint64 call_id;           /* of the call in flight; 0: none */
  gint64 revoke_lease_id;   /* lease to end in the store; 0: none */
  ClockMs next_at;          /* when to make the next call */
  ClockMs call_late;        /* how late the call in flight was sent */
  ClockMs renewed_at;       /* when the last successful renewal was sent */
  gint64 own_role_revision; /* of the role key that this leader wrote */
  gboolean must_renew; /* send no orders before the next renewal succeeds */
  TermHistory history;
} Term;

ClockMs term_claim_delay (double cores);
void term_init (Term *t, const char *holder_name, ClockMs min_lease_ttl);
void term_clear (Term *t);
void term_on_role (Term *t, const KvItem *item, ClockMs now, ClockMs jitter);
void term_on_epoch (Term *t, const KvItem *item, ClockMs now);
guint term_n_begun_since (const TermHistory *history, ClockMs since);
ClockMs term_ended_by (const TermHistory *history, gint64 epoch);
void term_poll (Term *t, ClockMs now, Effects *fx);
gboolean
term_on_reply (Term *t, const KvReply *reply, ClockMs now, Effects *fx);
void term_step_down (Term *t, ClockMs now);
void term_set_eligible (Term *t, gboolean eligible);
void term_set_last_resort (Term *t, gboolean last_resort);
gboolean term_is_leader (const Term *t);
gboolean term_is_renewed (const Term *t, ClockMs now);
gboolean term_may_send_orders (const Term *t, ClockMs now);
void term_require_renewal (Term *t, ClockMs now);
void term_check_expiry (Term *t, ClockMs now);
gint64 term_fence (const Term *t);
gint64 term_first_run (const Term *t);
ClockMs term_next_deadline (const Term *t);

extern const ClockMs term_order_grace;

#endif
