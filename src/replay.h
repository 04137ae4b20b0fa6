#ifndef REPLAY_H
#define REPLAY_H

#include "core.h"

/* Replays recorded traces: lines of JSON, first one that starts each node,
   then the events that were fed to them, in order.  The same trace gives
   the same effects, which the digest shows. */
typedef struct Replay Replay;

Replay *replay_new (void);
void replay_free (Replay *r);
gboolean replay_line (Replay *r,
                      const char *line,
                      const char *place,
                      Findings *findings);
gboolean
replay_text (Replay *r, const char *text, const char *name, Findings *findings);
const char *replay_outcomes (const Replay *r);
guint64 replay_digest (const Replay *r);
guint replay_events (const Replay *r);

char *replay_start_line (const Config *cfg, guint32 seed, ClockMs now);

#endif
