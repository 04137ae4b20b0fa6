#ifndef CLIENT_H
#define CLIENT_H

#include "io.h"

/* Calls to store, workers and upstreams over HTTP. */
typedef struct Client Client;

Client *client_new (Io *io);
void client_free (Client *c);
void client_call (Client *c, const Event *effect);
void client_drop (Client *c, const Event *effect);
void client_run (Client *c);
ClockMs client_next_deadline (const Client *c);

#endif
