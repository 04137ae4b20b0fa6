#ifndef INPUT_H
#define INPUT_H

#include "util.h"

#include <stdio.h>

/* Files that a program reads, and the report of what is wrong with them. */

gboolean
input_read (const char *file, char **text, gsize *n, Findings *findings);
void input_report (const Findings *findings, FILE *to);

#endif
