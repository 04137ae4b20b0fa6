#ifndef TIMER_H
#define TIMER_H

#include "clock.h"

typedef struct Core Core;
typedef struct Timer Timer;
typedef void (*TimerFunc) (Core *c, Timer *t);

/* One timer, to be embedded in what it belongs to; zeroed when new, with
   FIRE set before it is first armed.  The owner is found by container_of
   (G_STRUCT_MEMBER arithmetic) or through OWNER. */
struct Timer
{
  TimerFunc fire;
  void *owner;
  ClockMs at;
  guint64 order; /* ties fire in the order of arming */
  guint slot;    /* place in the heap, from 1; 0 when not armed */
};

/* A binary heap of armed timers. */
typedef struct TimerHeap
{
  GPtrArray *slots;
  guint64 armed;
} TimerHeap;

void timer_heap_init (TimerHeap *h);
void timer_heap_clear (TimerHeap *h);
void timer_heap_arm (TimerHeap *h, Timer *t, ClockMs at);
void timer_heap_stop (TimerHeap *h, Timer *t);
Timer *timer_heap_pop (TimerHeap *h, ClockMs now);
ClockMs timer_heap_next (const TimerHeap *h);

#endif
