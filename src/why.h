#ifndef WHY_H
#define WHY_H

#include "clock.h"

/* The life of one job, from the log lines of all hosts. */
typedef struct Why Why;

Why *why_new (const char *job);
void why_free (Why *w);
void why_read (Why *w, const char *text);
guint why_n_lines (const Why *w);
char *why_report (Why *w);

#endif
