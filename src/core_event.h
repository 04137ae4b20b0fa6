#ifndef CORE_EVENT_H
#define CORE_EVENT_H

#include "rec.h"

/* Something worth a line in the time line.  KIND is a NoteKind; the names
   are empty where they do not apply. */
#define CORE_NOTE_FIELDS(INT, STR, BYTES, LIST)                                \
  INT (kind, 0, 1000)                                                          \
  STR (request, 0, 192)                                                        \
  STR (job, 0, 192)                                                            \
  STR (workspace, 0, 128)                                                      \
  STR (upstream, 0, 64)                                                        \
  STR (worker, 0, 64)                                                          \
  STR (detail, 0, 1024)
REC_DECLARE (CoreNote, core_note, CORE_NOTE_FIELDS)

/* X (kind, name, record, handler): what a node can be fed.  MSG_ kinds are
   also effects: what one node emits for a host, that host is fed. */
#define CORE_EVENTS(X)                                                         \
  X (EV_TICK, "tick", rec_empty, core_on_tick)                                 \
  X (EV_DRAIN, "drain", rec_empty, core_on_drain)

/* X (kind, name, record): what a node asks of its surroundings. */
#define CORE_EFFECTS(X)                                                        \
  X (FX_NOTE, "note", core_note)                                               \
  X (FX_DRAINED, "drained", rec_empty)

/* X (kind, name, help) */
#define CORE_COUNTERS(X)                                                       \
  X (COUNT_EVENTS, "events_total", "Events fed to the core.")                  \
  X (COUNT_EFFECTS, "effects_total", "Effects emitted by the core.")

/* X (kind, name) */
#define CORE_NOTES(X)                                                          \
  X (NOTE_STARTED, "started")                                                  \
  X (NOTE_DRAINING, "draining")                                                \
  X (NOTE_DRAINED, "drained")

#endif
