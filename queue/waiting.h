#ifndef WAITING_H
#define WAITING_H

#include "feed.h"
#include "spec.h"

/* Number of waiting jobs of each route, as last published by the scheduler:
   the other hosts don't watch the job records. */
typedef struct Waiting
{
  GHashTable *counts; /* route name to guint */
} Waiting;

extern const char waiting_key[];

void waiting_init (Waiting *w);
void waiting_clear (Waiting *w);
gboolean waiting_apply (Waiting *w, const KvItem *item);
guint waiting_count (const Waiting *w, const char *route);

#endif
