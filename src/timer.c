#include "timer.h"

static Timer *
slot (const TimerHeap *h, guint i)
{
  return g_ptr_array_index (h->slots, i);
}

static gboolean
before (const Timer *a, const Timer *b)
{
  if (a->at != b->at)
    return a->at < b->at;
  return a->order < b->order;
}

static void
put (TimerHeap *h, guint i, Timer *t)
{
  g_ptr_array_index (h->slots, i) = t;
  t->slot = i;
}

static void
sift_up (TimerHeap *h, guint i)
{
  Timer *t = slot (h, i);

  while (i > 1 && before (t, slot (h, i / 2)))
    {
      put (h, i, slot (h, i / 2));
      i /= 2;
    }
  put (h, i, t);
}

static void
sift_down (TimerHeap *h, guint i)
{
  Timer *t = slot (h, i);
  guint n = h->slots->len;

  while (2 * i < n)
    {
      guint child = 2 * i;

      if (child + 1 < n && before (slot (h, child + 1), slot (h, child)))
        child++;
      if (!before (slot (h, child), t))
        break;
      put (h, i, slot (h, child));
      i = child;
    }
  put (h, i, t);
}

/* Prepares H for use. */
void
timer_heap_init (TimerHeap *h)
{
  h->slots = g_ptr_array_new ();
  g_ptr_array_add (h->slots, NULL); /* slot 0 stands for "not armed" */
  h->armed = 0;
}

/* Releases H; its timers are left as they are. */
void
timer_heap_clear (TimerHeap *h)
{
  g_clear_pointer (&h->slots, g_ptr_array_unref);
}

/* Takes T out of H; nothing happens when it is not armed. */
void
timer_heap_stop (TimerHeap *h, Timer *t)
{
  guint i = t->slot;
  guint last = h->slots->len - 1;
  Timer *moved;

  if (i == 0)
    return;
  moved = slot (h, last);
  g_ptr_array_set_size (h->slots, (gint)last);
  t->slot = 0;
  if (moved == t)
    return;
  put (h, i, moved);
  sift_up (h, i);
  sift_down (h, moved->slot);
}

/* Arms T to fire at AT, in milliseconds; a timer that is armed already is
   moved. */
void
timer_heap_arm (TimerHeap *h, Timer *t, ClockMs at)
{
  timer_heap_stop (h, t);
  t->at = at;
  t->order = ++h->armed;
  g_ptr_array_add (h->slots, t);
  t->slot = h->slots->len - 1;
  sift_up (h, t->slot);
}

/* Takes out and returns the first timer that is due at NOW, or NULL. */
Timer *
timer_heap_pop (TimerHeap *h, ClockMs now)
{
  Timer *t;

  if (timer_heap_next (h) > now)
    return NULL;
  t = slot (h, 1);
  timer_heap_stop (h, t);
  return t;
}

/* Returns the time of the first armed timer, CLOCK_NEVER without one. */
ClockMs
timer_heap_next (const TimerHeap *h)
{
  return h->slots->len > 1 ? slot (h, 1)->at : CLOCK_NEVER;
}
