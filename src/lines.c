#include "lines.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

enum
{
  BYTES_PER_S = 40000,
  BURST_BYTES = 120000,
  EVENT_BYTES = 60000, /* of these, only for events */
  MAX_BUFFER_BYTES = 64 << 10
};

static const ClockMs ms_per_s = 1000;

struct Lines
{
  int fd;
  char *host;
  GString *buffer;
  ClockMs at;
  gint64 budget; /* bytes that may still be written */
  guint64 dropped;
  guint64 told; /* of DROPPED */
};

/* Returns a writer of lines of HOST to FD, which is set not to block. */
Lines *
lines_new (int fd, const char *host, ClockMs now)
{
  Lines *l = g_new0 (Lines, 1);

  l->fd = fd;
  l->host = g_strdup (host);
  l->buffer = g_string_new (NULL);
  l->at = now;
  l->budget = BURST_BYTES;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  return l;
}

/* Writes what it can and releases L. */
void
lines_free (Lines *l)
{
  if (!l)
    return;
  lines_flush (l);
  g_string_free (l->buffer, TRUE);
  g_free (l->host);
  g_free (l);
}

static void
refill (Lines *l, ClockMs now)
{
  l->budget += (now - l->at) * BYTES_PER_S / ms_per_s;
  l->budget = MIN (l->budget, (gint64)BURST_BYTES);
  l->at = now;
}

static void
tell_dropped (Lines *l, ClockMs wall)
{
  if (l->told == l->dropped)
    return;
  g_string_append_printf (l->buffer,
                          "ts=%" CLOCK_MS_FORMAT
                          " host=%s event=lines_dropped n=%" G_GUINT64_FORMAT
                          "\n",
                          wall, l->host, l->dropped - l->told);
  l->told = l->dropped;
}

static gboolean
has_room (const Lines *l, LineRank rank)
{
  if (rank == LINE_DETAIL)
    return l->budget > EVENT_BYTES && l->buffer->len <= MAX_BUFFER_BYTES / 2;
  return l->budget > 0 && l->buffer->len <= MAX_BUFFER_BYTES;
}

/* Adds a line of TEXT, pairs of key and value.  NOW is the host's clock,
   WALL Unix time. */
void
lines_add (Lines *l, ClockMs now, ClockMs wall, LineRank rank, const char *text)
{
  gsize before = l->buffer->len;

  if (now > l->at)
    refill (l, now);
  if (!has_room (l, rank))
    {
      l->dropped++;
      return;
    }
  tell_dropped (l, wall);
  g_string_append_printf (l->buffer, "ts=%" CLOCK_MS_FORMAT " host=%s %s\n",
                          wall, l->host, text);
  l->budget -= (gint64)(l->buffer->len - before);
}

/* Hands the lines to the reader of the descriptor as far as it takes
   them. */
void
lines_flush (Lines *l)
{
  ssize_t n;

  if (l->buffer->len == 0)
    return;
  n = write (l->fd, l->buffer->str, l->buffer->len);
  if (n > 0)
    g_string_erase (l->buffer, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (l->buffer, 0);
}

/* Returns how many lines were left out. */
guint64
lines_dropped (const Lines *l)
{
  return l->dropped;
}
