#ifndef NODE_LOAD_H
#define NODE_LOAD_H

#include "clock.h"

/* What a host's processor has ahead of it. */
typedef struct NodeLoad
{
  ClockMs lag;  /* how long workers' replies wait before they are handled */
  guint pieces; /* calls or replies that it can handle in a step of its loop */
} NodeLoad;

#endif
