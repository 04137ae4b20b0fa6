#ifndef STANDIN_REPLY_H
#define STANDIN_REPLY_H

#include "json.h"
#include "server.h"

/* JSON bodies of the stand-ins' requests and replies. */

void standin_reply (Exchange *x, unsigned status, json_object *o);
json_object *standin_body (const Exchange *x, Findings *findings);

#endif
