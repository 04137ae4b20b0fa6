#include "req_state.h"

#include "member.h"

enum
{
  PROBE_TIMEOUT_MS = 2000
};

static void
note_health (Core *c, const Request *r, RouteHealth was, RouteHealth is)
{
  NoteKind kind =
      is == ROUTE_HEALTHY ? NOTE_UPSTREAM_HEALTHY : NOTE_UPSTREAM_DEGRADED;

  if ((was == ROUTE_HEALTHY) == (is == ROUTE_HEALTHY))
    return;
  core_write_note (c, &(CoreNote) { .kind = kind,
                                    .upstream = req_upstream_name (c, r),
                                    .detail = r->work_kind });
}

/* Updates the health of R's upstream by RESULT of R's present attempt.  One
   that becomes unreachable is probed until it answers. */
void
req_learn_result (Core *c, Request *r, UpstreamResult result)
{
  Req *q = c->req;
  guint kind = route_kind (q->route, r->work_kind);
  RouteHealth health = route_health (q->route, r->upstream, kind);
  gboolean was_reachable = route_is_reachable (q->route, r->upstream);

  route_learn (q->route, r->upstream, kind, result, c->now - r->sent, c->now);
  note_health (c, r, health, route_health (q->route, r->upstream, kind));
  if (was_reachable && !route_is_reachable (q->route, r->upstream))
    {
      core_write_note (c, &(CoreNote) { .kind = NOTE_UPSTREAM_UNREACHABLE,
                                        .upstream = req_upstream_name (c, r) });
      core_arm (c, &q->probes[r->upstream],
                route_probe_at (q->route, r->upstream));
    }
}

/* Sends a probe to the upstream whose probe timer is T. */
void
req_on_probe (Core *c, Timer *t)
{
  int u = (int)(t - c->req->probes);

  core_emit (c, FX_UPSTREAM_PROBE, NULL,
             &(UpstreamProbe) { .upstream = route_name (c->req->route, u),
                                .timeout_ms = PROBE_TIMEOUT_MS });
}

/* Notes that upstream U, called NAME, is leaving, and tells the other hosts;
   U may be ROUTE_NONE. */
void
req_learn_leaving (Core *c, const char *name, int u)
{
  if (u == ROUTE_NONE || route_is_leaving (c->req->route, u))
    return;
  route_set_leaving (c->req->route, u, TRUE);
  member_set_leaving (c, name);
}

/* Takes an upstream's answer to a probe. */
void
req_on_upstream_probed (Core *c, const Event *e)
{
  const UpstreamProbed *p = e->body;
  int u = route_find (c->req->route, p->upstream);

  if (u == ROUTE_NONE)
    return;
  if (p->leaving)
    req_learn_leaving (c, p->upstream, u);
  route_probed (c->req->route, u, p->healthy != 0, c->now);
  if (!p->healthy)
    {
      core_arm (c, &c->req->probes[u], route_probe_at (c->req->route, u));
      return;
    }
  core_write_note (c, &(CoreNote) { .kind = NOTE_UPSTREAM_REACHABLE,
                                    .upstream = p->upstream });
  req_pump (c);
}
