#include "req_state.h"

#include "member.h"

enum
{
  PROBE_TIMEOUT_MS = 2000,
  PROBE_GRACE_MS = 1000 /* past the time-out, for the answer's way */
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

static void
probe_later (Core *c, int u)
{
  UpstreamProber *p = &c->req->probers[u];

  p->probing = FALSE;
  core_arm (c, &p->timer, route_probe_at (c->req->route, u));
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
      probe_later (c, r->upstream);
    }
}

static void
probe (Core *c, int u)
{
  UpstreamProber *p = &c->req->probers[u];

  p->probing = TRUE;
  core_arm (c, &p->timer, c->now + PROBE_TIMEOUT_MS + PROBE_GRACE_MS);
  core_emit (c, FX_UPSTREAM_PROBE, NULL,
             &(UpstreamProbe) { .upstream = route_name (c->req->route, u),
                                .timeout_ms = PROBE_TIMEOUT_MS });
}

/* Handles the timer of an upstream's prober: sends a probe, or gives up one
   that has got neither an answer nor a failure. */
void
req_on_probe (Core *c, Timer *t)
{
  const UpstreamProber *p = t->owner;
  int u = (int)(p - c->req->probers);

  if (!p->probing)
    {
      probe (c, u);
      return;
    }
  core_add (c, COUNT_PROBES_OVERDUE, 1);
  route_probed (c->req->route, u, FALSE, c->now);
  probe_later (c, u);
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
      probe_later (c, u);
      return;
    }
  c->req->probers[u].probing = FALSE;
  core_stop (c, &c->req->probers[u].timer);
  core_write_note (c, &(CoreNote) { .kind = NOTE_UPSTREAM_REACHABLE,
                                    .upstream = p->upstream });
  req_pump (c);
}
