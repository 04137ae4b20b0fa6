#ifndef EVENT_H
#define EVENT_H

#include "clock.h"
#include "core_event.h"
#include "member_event.h"
#include "oper_event.h"
#include "req_event.h"
#include "sched_event.h"
#include "store_event.h"
#include "table_event.h"

/* Gathers the modules' lists: the single list of kinds. */
#define EVENTS(X)                                                              \
  CORE_EVENTS (X)                                                              \
  STORE_EVENTS (X)                                                             \
  TABLE_EVENTS (X)                                                             \
  MEMBER_EVENTS (X)                                                            \
  REQ_EVENTS (X)                                                               \
  SCHED_EVENTS (X)                                                             \
  OPER_EVENTS (X)

#define EFFECTS(X)                                                             \
  CORE_EFFECTS (X)                                                             \
  STORE_EFFECTS (X)                                                            \
  TABLE_EFFECTS (X)                                                            \
  MEMBER_EFFECTS (X)                                                           \
  REQ_EFFECTS (X)                                                              \
  SCHED_EFFECTS (X)                                                            \
  OPER_EFFECTS (X)

#define NOTES(X)                                                               \
  CORE_NOTES (X)                                                               \
  STORE_NOTES (X)                                                              \
  TABLE_NOTES (X)                                                              \
  MEMBER_NOTES (X)                                                             \
  REQ_NOTES (X)                                                                \
  SCHED_NOTES (X)                                                              \
  OPER_NOTES (X)

#define EVENT_ENUM(kind, name, record, handler) kind,
#define EFFECT_ENUM(kind, name, record)         kind,
#define NOTE_ENUM(kind, name)                   kind,

/* Events first, then effects that no node is ever fed. */
typedef enum EventKind
{
  EVENTS (EVENT_ENUM) N_EVENTS,
  EVENT_LAST = N_EVENTS - 1,
  EFFECTS (EFFECT_ENUM) N_EVENT_KINDS
} EventKind;

typedef enum NoteKind
{
  NOTES (NOTE_ENUM) N_NOTES
} NoteKind;

/* One event for a node, or one effect of it.  PEER is the host that a
   message comes from or goes to, empty for the own surroundings.  BODY is
   the kind's record. */
typedef struct Event
{
  EventKind kind;
  ClockMs at;
  const char *peer;
  void *body;
} Event;

const char *event_name (EventKind kind);
int event_from_name (const char *name);
const RecDesc *event_desc (EventKind kind);
gboolean event_is_message (EventKind kind);
const char *note_name (NoteKind kind);

Event *event_new (EventKind kind, ClockMs at, const char *peer, void *body);
void event_free (Event *e);
guint64 event_digest (const Event *e, guint64 seed);
char *event_to_json (const Event *e, const char *node);
Event *event_from_json (const char *line,
                        const char *place,
                        char **node,
                        Findings *findings);

#endif
