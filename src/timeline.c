#include "timeline.h"

#include <string.h>

REC_DEFINE (TimelineEntry, timeline_entry, TIMELINE_ENTRY_FIELDS)

struct Timeline
{
  char *host;
  guint room;
  gint64 sequence; /* of the next entry */
  GQueue entries;  /* of TimelineEntry, oldest first */
};

/* Advances CLOCK for an event of this host at NOW and returns its stamp,
   which exceeds every stamp before. */
Hlc
hlc_tick (Hlc *clock, ClockMs now)
{
  if (now > clock->ms)
    *clock = (Hlc) { .ms = now };
  else if (clock->count < HLC_MAX_COUNT)
    clock->count++;
  else
    *clock = (Hlc) { .ms = clock->ms + 1 };
  return *clock;
}

/* Takes note of a stamp SEEN in a message, so that the next tick exceeds
   it.  A stamp more than HLC_MAX_AHEAD_MS ahead of NOW is passed over: its
   sender's wall clock is wrong. */
void
hlc_merge (Hlc *clock, Hlc seen, ClockMs now)
{
  if (seen.ms <= now + HLC_MAX_AHEAD_MS && hlc_compare (seen, *clock) > 0)
    *clock = seen;
}

/* Orders A and B as strcmp does. */
int
hlc_compare (Hlc a, Hlc b)
{
  if (a.ms != b.ms)
    return a.ms < b.ms ? -1 : 1;
  return (a.count > b.count) - (a.count < b.count);
}

static void
entry_free (gpointer e)
{
  rec_free (timeline_entry_desc (), e);
}

/* Returns an empty ring of HOST that keeps the last ROOM notes. */
Timeline *
timeline_new (const char *host, guint room)
{
  Timeline *t = g_new0 (Timeline, 1);

  t->host = g_strdup (host);
  t->room = room;
  g_queue_init (&t->entries);
  return t;
}

/* Releases T. */
void
timeline_free (Timeline *t)
{
  if (!t)
    return;
  g_queue_clear_full (&t->entries, entry_free);
  g_free (t->host);
  g_free (t);
}

/* Adds NOTE, which came from CAUSE, under STAMP; the oldest note gives way
   when the ring is full. */
void
timeline_add (Timeline *t,
              Hlc stamp,
              const CoreNote *note,
              const TimelineCause *cause)
{
  TimelineEntry e = { .ms = stamp.ms,
                      .count = stamp.count,
                      .host = t->host,
                      .sequence = t->sequence++,
                      .note = note_name ((NoteKind)note->kind),
                      .cause = cause->event,
                      .cause_host = cause->host,
                      .cause_ms = cause->stamp.ms,
                      .cause_count = cause->stamp.count,
                      .request = note->request,
                      .job = note->job,
                      .workspace = note->workspace,
                      .upstream = note->upstream,
                      .worker = note->worker,
                      .detail = note->detail };

  if (t->entries.length >= t->room)
    entry_free (g_queue_pop_head (&t->entries));
  g_queue_push_tail (&t->entries, rec_copy (timeline_entry_desc (), &e));
}

/* Returns the number of notes held. */
guint
timeline_count (const Timeline *t)
{
  return t->entries.length;
}

/* Returns the number of notes that gave way to later ones. */
gint64
timeline_dropped (const Timeline *t)
{
  return t->sequence - t->entries.length;
}

static gboolean
name_matches (const char *name, const char *wanted)
{
  return !wanted || !*wanted || strcmp (name, wanted) == 0;
}

/* Tells whether F lets E pass. */
gboolean
timeline_matches (const TimelineEntry *e, const TimelineFilter *f)
{
  return name_matches (e->request, f->request) &&
         name_matches (e->job, f->job) &&
         name_matches (e->workspace, f->workspace) &&
         name_matches (e->upstream, f->upstream) &&
         name_matches (e->host, f->host) && e->ms >= f->since &&
         (f->until == 0 || e->ms < f->until);
}

/* Returns the notes of T that FILTER lets pass, oldest first, as lines of
   JSON; the caller frees them. */
char *
timeline_to_json (const Timeline *t, const TimelineFilter *filter)
{
  GString *s = g_string_new (NULL);
  GList *l;

  for (l = t->entries.head; l; l = l->next)
    {
      char *line;

      if (!timeline_matches (l->data, filter))
        continue;
      line = rec_to_json (timeline_entry_desc (), l->data);
      g_string_append (s, line);
      g_string_append_c (s, '\n');
      g_free (line);
    }
  return g_string_free (s, FALSE);
}

/* Returns an empty array for entries of several hosts; it owns them. */
GPtrArray *
timeline_entries_new (void)
{
  return g_ptr_array_new_with_free_func (entry_free);
}

/* Appends the entries in LINES, as written by timeline_to_json, to
   ENTRIES.  A line that can't be read adds findings at PLACE and its
   number, and is left out. */
void
timeline_read (GPtrArray *entries,
               const char *lines,
               const char *place,
               Findings *findings)
{
  char **line = g_strsplit (lines, "\n", -1);
  guint i;

  for (i = 0; line[i]; i++)
    {
      char *at = g_strdup_printf ("%s:%u", place, i + 1);
      TimelineEntry *e = rec_new (timeline_entry_desc ());

      if (*line[i] &&
          rec_from_json (timeline_entry_desc (), e, line[i], strlen (line[i]),
                         REC_MISSING_REFUSE, at, findings))
        g_ptr_array_add (entries, e);
      else
        entry_free (e);
      g_free (at);
    }
  g_strfreev (line);
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
  const TimelineEntry *x = *(TimelineEntry *const *)a;
  const TimelineEntry *y = *(TimelineEntry *const *)b;
  int order =
      hlc_compare ((Hlc) { x->ms, x->count }, (Hlc) { y->ms, y->count });

  if (order == 0)
    order = strcmp (x->host, y->host);
  if (order == 0)
    order = (x->sequence > y->sequence) - (x->sequence < y->sequence);
  return order;
}

/* Sorts ENTRIES into one order in which every cause stands before what it
   caused, on whatever host. */
void
timeline_merge (GPtrArray *entries)
{
  g_ptr_array_sort (entries, compare_entries);
}

static void
append_name (GString *s, const char *key, const char *value)
{
  if (*value)
    g_string_append_printf (s, " %s=%s", key, value);
}

/* Returns E as one line for people; the caller frees it. */
char *
timeline_entry_text (const TimelineEntry *e)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s, "%" CLOCK_MS_FORMAT ".%03" G_GINT64_FORMAT " %-10s %-18s",
                   e->ms, e->count, e->host, e->note);
  append_name (s, "request", e->request);
  append_name (s, "job", e->job);
  append_name (s, "workspace", e->workspace);
  append_name (s, "upstream", e->upstream);
  append_name (s, "worker", e->worker);
  if (*e->detail)
    g_string_append_printf (s, " (%s)", e->detail);
  append_name (s, "cause", e->cause);
  append_name (s, "from", e->cause_host);
  return g_string_free (s, FALSE);
}
