#ifndef SLOTS_EVENT_H
#define SLOTS_EVENT_H

#include "rec.h"

/* Loans of slots between the hosts of one failure domain.  Every message
   states what is, so a lost, late or repeated one does no lasting harm. */

#define SLOTS_COUNT_FIELDS(INT, STR, BYTES, LIST)                              \
  STR (upstream, 1, 64)                                                        \
  INT (n, 0, 100000)
REC_DECLARE (SlotsCount, slots_count, SLOTS_COUNT_FIELDS)

/* Asks a peer for up to N idle slots. */
#define SLOTS_WANT_FIELDS(INT, STR, BYTES, LIST) INT (n, 1, 100000)
REC_DECLARE (SlotsWant, slots_want, SLOTS_WANT_FIELDS)

/* Lends ITEMS on top of what the peer holds already; SEQUENCE counts the
   lender's loans to it. */
#define SLOTS_LEND_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (sequence, 1, G_MAXINT64)                                                \
  LIST (items, 0, 10000, slots_count)
REC_DECLARE (SlotsLend, slots_lend, SLOTS_LEND_FIELDS)

/* All that the sender still holds of the receiver's slots, after loan
   SEQUENCE. */
#define SLOTS_HELD_FIELDS(INT, STR, BYTES, LIST)                               \
  INT (sequence, 0, G_MAXINT64)                                                \
  LIST (items, 0, 10000, slots_count)
REC_DECLARE (SlotsHeld, slots_held, SLOTS_HELD_FIELDS)

#endif
