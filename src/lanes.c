#include "lanes.h"

#include "timeline.h"

#include <string.h>

/* Sizes in pixels. */
enum
{
  MARGIN = 24,
  HEAD = 56,
  NAME_WIDTH = 110,
  LANE_HEIGHT = 150,
  STEP = 130, /* between two entries: order is shown, not scale */
  LABEL_RISE = 16,
  LABEL_ROWS = 4,
  DOT = 5
};

typedef struct Picture
{
  GString *s;
  GPtrArray *hosts; /* names, in the order of their first entries */
  const GPtrArray *entries;
} Picture;

static const char *const colours[] = { "#1f6f8b", "#b5651d", "#4b7f52",
                                       "#7a4e8a", "#a23b4a", "#5a6270" };

static guint
lane_of (Picture *p, const char *host)
{
  guint i;

  for (i = 0; i < p->hosts->len; i++)
    if (strcmp (g_ptr_array_index (p->hosts, i), host) == 0)
      return i;
  g_ptr_array_add (p->hosts, (gpointer)host);
  return p->hosts->len - 1;
}

static int
x_of (guint i)
{
  return MARGIN + NAME_WIDTH + (int)i * STEP;
}

static int
y_of (guint lane)
{
  return HEAD + (int)lane * LANE_HEIGHT + LANE_HEIGHT / 2;
}

static void
add_text (Picture *p, int x, int y, const char *style, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  g_string_append_printf (p->s, "<text x=\"%d\" y=\"%d\" %s>%s</text>\n", x, y,
                          style, escaped);
  g_free (escaped);
}

static void
add_lanes (Picture *p, int width)
{
  guint i;

  for (i = 0; i < p->hosts->len; i++)
    {
      g_string_append_printf (
          p->s,
          "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#c9ced6\" "
          "stroke-width=\"2\"/>\n",
          MARGIN + NAME_WIDTH - DOT * 2, y_of (i), width - MARGIN, y_of (i));
      add_text (p, MARGIN, y_of (i) + DOT,
                "font-weight=\"bold\" fill=\"#2b2f36\"",
                g_ptr_array_index (p->hosts, i));
    }
}

/* The entry that a message came from: the sender's last one that is not
   later than the stamp it carried. */
static int
cause_of (const Picture *p, guint i)
{
  const TimelineEntry *e = g_ptr_array_index (p->entries, i);
  Hlc stamp = { .ms = e->cause_ms, .count = e->cause_count };
  int found = -1;
  guint k;

  if (*e->cause_host == '\0')
    return -1;
  for (k = 0; k < i; k++)
    {
      const TimelineEntry *c = g_ptr_array_index (p->entries, k);
      Hlc at = { .ms = c->ms, .count = c->count };

      if (strcmp (c->host, e->cause_host) == 0 && hlc_compare (at, stamp) <= 0)
        found = (int)k;
    }
  return found;
}

static void
add_arrow (Picture *p, guint i)
{
  const TimelineEntry *e = g_ptr_array_index (p->entries, i);
  int from = cause_of (p, i);
  const TimelineEntry *c;

  if (from < 0)
    return;
  c = g_ptr_array_index (p->entries, (guint)from);
  g_string_append_printf (
      p->s,
      "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#8a93a0\" "
      "stroke-dasharray=\"4 3\" marker-end=\"url(#arrow)\"/>\n",
      x_of ((guint)from), y_of (lane_of (p, c->host)), x_of (i),
      y_of (lane_of (p, e->host)));
}

static void
add_entry (Picture *p, guint i, ClockMs start)
{
  const TimelineEntry *e = g_ptr_array_index (p->entries, i);
  guint lane = lane_of (p, e->host);
  int y = y_of (lane);
  int label = y - LABEL_RISE - (int)(i % LABEL_ROWS) * LABEL_RISE / 2;
  const char *subject = *e->worker ? e->worker : e->upstream;
  char *when = g_strdup_printf ("+%" CLOCK_MS_FORMAT " ms", e->ms - start);

  g_string_append_printf (
      p->s, "<circle cx=\"%d\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>",
      x_of (i), y, DOT, colours[lane % G_N_ELEMENTS (colours)]);
  {
    char *full = timeline_entry_text (e);
    char *escaped = g_markup_escape_text (full, -1);

    g_string_append (p->s, escaped);
    g_free (escaped);
    g_free (full);
  }
  g_string_append (p->s, "</title></circle>\n");
  add_text (p, x_of (i), label, "text-anchor=\"middle\" fill=\"#2b2f36\"",
            e->note);
  add_text (p, x_of (i), y + LABEL_RISE + DOT,
            "text-anchor=\"middle\" font-size=\"10\" fill=\"#6b7380\"", when);
  add_text (p, x_of (i), y + 2 * LABEL_RISE + DOT,
            "text-anchor=\"middle\" font-size=\"10\" fill=\"#6b7380\"",
            subject);
  g_free (when);
}

static void
add_head (Picture *p, int width, int height, ClockMs span)
{
  char *title =
      g_strdup_printf ("%u entries on %u hosts in %" CLOCK_MS_FORMAT " ms",
                       p->entries->len, p->hosts->len, span);

  g_string_append_printf (
      p->s,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"#fbfbfa\"/>\n"
      "<defs><marker id=\"arrow\" markerWidth=\"8\" markerHeight=\"8\" "
      "refX=\"10\" refY=\"3\" orient=\"auto\"><path d=\"M0,0 L7,3 L0,6 z\" "
      "fill=\"#8a93a0\"/></marker></defs>\n",
      width, height);
  add_text (p, MARGIN, HEAD / 2, "font-size=\"16\" fill=\"#2b2f36\"", title);
  g_free (title);
}

/* Returns a self-contained SVG of ENTRIES (TimelineEntry, in order); the
   caller frees it. */
char *
lanes_svg (const GPtrArray *entries)
{
  Picture p = { .s = g_string_new (""),
                .hosts = g_ptr_array_new (),
                .entries = entries };
  const TimelineEntry *first = entries->len ? entries->pdata[0] : NULL;
  const TimelineEntry *last =
      entries->len ? entries->pdata[entries->len - 1] : NULL;
  int width = x_of (entries->len) + MARGIN;
  int height;
  guint i;

  for (i = 0; i < entries->len; i++)
    lane_of (&p, ((const TimelineEntry *)entries->pdata[i])->host);
  height = HEAD + (int)p.hosts->len * LANE_HEIGHT + MARGIN;
  add_head (&p, width, height, first ? last->ms - first->ms : 0);
  add_lanes (&p, width);
  for (i = 0; i < entries->len; i++)
    add_arrow (&p, i);
  for (i = 0; i < entries->len; i++)
    add_entry (&p, i, first ? first->ms : 0);
  g_string_append (p.s, "</svg>\n");
  g_ptr_array_unref (p.hosts);
  return g_string_free (p.s, FALSE);
}
