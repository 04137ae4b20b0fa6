#ifndef REQ_H
#define REQ_H

#include "core_state.h"

/* The life of a request, from its arrival to its one reply. */

Req *req_new (Core *c);
void req_start (Core *c);
void req_free (Req *r);
gboolean req_busy (const Core *c);
char *req_explain (Core *c, const char *id);
void req_workspace_counts (const Core *c,
                           const char *workspace,
                           guint *waiting,
                           guint *running);
void req_on_drain (Core *c);
void req_on_request (Core *c, const Event *e);
void req_on_ask (Core *c, const Event *e);
void req_on_cancel (Core *c, const Event *e);
void req_on_caller_gone (Core *c, const Event *e);
void req_on_upstream_reply (Core *c, const Event *e);
void req_on_upstream_probed (Core *c, const Event *e);

#endif
