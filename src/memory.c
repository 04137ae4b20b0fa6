#include "memory.h"

#include <malloc.h>

enum
{
  /* Bodies from here on get pages of their own, which return to the system as
     they are freed.  Left to itself the library raises the threshold to the
     largest block that was freed. */
  OWN_PAGES_BYTES = 64 << 10
};

/* To be called before other threads and large blocks. */
void
memory_init (void)
{
  mallopt (M_MMAP_THRESHOLD, OWN_PAGES_BYTES);
}

/* Returns free memory of the heap to the system. */
void
memory_give_back (void)
{
  malloc_trim (0);
}
