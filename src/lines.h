#ifndef LINES_H
#define LINES_H

#include "clock.h"

/* Log lines that never block and stay within a budget of bytes; what is
   left out is counted and said. */
typedef struct Lines Lines;

typedef enum LineRank
{
  LINE_EVENT, /* what changes the process's view, or concerns a request */
  LINE_DETAIL /* of single tasks: left out first */
} LineRank;

Lines *lines_new (int fd, const char *host, ClockMs now);
void lines_free (Lines *l);
void lines_add (Lines *l,
                ClockMs now,
                ClockMs wall,
                LineRank rank,
                const char *text);
void lines_flush (Lines *l);
guint64 lines_dropped (const Lines *l);

#endif
