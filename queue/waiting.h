#ifndef WAITING_H
#define WAITING_H

#include "feed.h"
#include "spec.h"

/* How many jobs of each route wait, as the scheduler last published it: the
   other hosts do not follow the jobs' records. */
typedef struct Waiting
{
  GHashTable *counts; /* route to its number, a guint */
} Waiting;

extern const char waiting_key[];

void waiting_init (Waiting *w);
void waiting_clear (Waiting *w);
gboolean waiting_apply (Waiting *w, const KvItem *item);
guint waiting_count (const Waiting *w, const char *route);

#endif
