#ifndef LOOP_H
#define LOOP_H

#include "clock.h"

#include <apr_poll.h>

/* One thread's poll loop: descriptors are watched and their owners called
   when they become ready. */
typedef struct Loop Loop;
typedef struct LoopWatch LoopWatch;

/* Called with the APR_POLL* flags that came true. */
typedef void (*LoopReady) (void *owner, int events);

Loop *loop_new (void);
void loop_free (Loop *l);
apr_pool_t *loop_pool (const Loop *l);
ClockMs loop_now (const Loop *l);
ClockMs loop_read_clock (Loop *l);
void loop_wait (Loop *l, ClockMs longest);
guint loop_dispatch (Loop *l, guint max_bulk);
void loop_poll (Loop *l, ClockMs longest);
LoopWatch *
loop_watch (Loop *l, int fd, int events, LoopReady ready, void *owner);
void loop_watch_set_bulk (LoopWatch *w);
void loop_watch_set (Loop *l, LoopWatch *w, int events);
void loop_unwatch (Loop *l, LoopWatch *w);

#endif
