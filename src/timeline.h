#ifndef TIMELINE_H
#define TIMELINE_H

#include "event.h"

/* A bounded ring of notes, each stamped by a hybrid logical clock, and the
   merge of several hosts' rings into one causal order.  A pure module:
   time is passed in. */

enum
{
  HLC_MAX_COUNT = 1 << 20,
  HLC_MAX_AHEAD_MS = 3600000,
  TIMELINE_MAX_ENTRIES = 1000000
};

/* A stamp: later causes give greater stamps on all hosts, whatever their
   clocks show. */
typedef struct Hlc
{
  ClockMs ms;
  gint64 count;
} Hlc;

/* One line.  SEQUENCE counts the host's notes; CAUSE is the event that the
   note came from, and for a message CAUSE_HOST, CAUSE_MS and CAUSE_COUNT
   are the sender and its stamp. */
#define TIMELINE_ENTRY_FIELDS(INT, STR, BYTES, LIST)                           \
  INT (ms, 0, G_MAXINT64)                                                      \
  INT (count, 0, HLC_MAX_COUNT)                                                \
  STR (host, 1, 64)                                                            \
  INT (sequence, 0, G_MAXINT64)                                                \
  STR (note, 1, 64)                                                            \
  STR (cause, 0, 64)                                                           \
  STR (cause_host, 0, 64)                                                      \
  INT (cause_ms, 0, G_MAXINT64)                                                \
  INT (cause_count, 0, HLC_MAX_COUNT)                                          \
  STR (request, 0, 192)                                                        \
  STR (job, 0, 192)                                                            \
  STR (workspace, 0, 128)                                                      \
  STR (upstream, 0, 64)                                                        \
  STR (worker, 0, 64)                                                          \
  STR (detail, 0, 1024)
REC_DECLARE (TimelineEntry, timeline_entry, TIMELINE_ENTRY_FIELDS)

/* What to show; an empty name and a time of 0 let everything pass. */
typedef struct TimelineFilter
{
  const char *request;
  const char *job;
  const char *workspace;
  const char *upstream;
  const char *host;
  ClockMs since;
  ClockMs until;
} TimelineFilter;

/* Where the note that is written next comes from. */
typedef struct TimelineCause
{
  const char *event;
  const char *host;
  Hlc stamp;
} TimelineCause;

typedef struct Timeline Timeline;

Hlc hlc_tick (Hlc *clock, ClockMs now);
void hlc_merge (Hlc *clock, Hlc seen, ClockMs now);
int hlc_compare (Hlc a, Hlc b);

Timeline *timeline_new (const char *host, guint room);
void timeline_free (Timeline *t);
void timeline_add (Timeline *t,
                   Hlc stamp,
                   const CoreNote *note,
                   const TimelineCause *cause);
guint timeline_count (const Timeline *t);
gint64 timeline_dropped (const Timeline *t);
char *timeline_to_json (const Timeline *t, const TimelineFilter *filter);

gboolean timeline_matches (const TimelineEntry *e, const TimelineFilter *f);
void timeline_read (GPtrArray *entries,
                    const char *lines,
                    const char *place,
                    Findings *findings);
GPtrArray *timeline_entries_new (void);
void timeline_merge (GPtrArray *entries);
char *timeline_entry_text (const TimelineEntry *e);

#endif
