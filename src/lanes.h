#ifndef LANES_H
#define LANES_H

#include <glib.h>

/* Draws entries of the time line as a picture: a lane a host, time from
   left to right, an arrow from a message's cause to its effect. */

char *lanes_svg (const GPtrArray *entries);

#endif
