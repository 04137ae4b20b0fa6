#ifndef OUTBREAK_H
#define OUTBREAK_H

#include "clock.h"

/* Tells when runs begin to fail on so many workers that it can't be the work
   of a few bad ones: then what has run well before says little. */
typedef struct Outbreak
{
  double failed; /* ends of late, older ones counting less ... */
  double ended;
  ClockMs noted; /* ... as of this moment */
  ClockMs first; /* failure since less than usual have failed */
  ClockMs since; /* 0 while there is none */
} Outbreak;

void outbreak_note (Outbreak *o, ClockMs now, gboolean failed);
ClockMs outbreak_since (const Outbreak *o);

#endif
