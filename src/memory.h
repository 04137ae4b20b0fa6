#ifndef MEMORY_H
#define MEMORY_H

/* What the process asks of the C library's heap. */

void memory_init (void);
void memory_give_back (void);

#endif
