#include "wire_message.h"

REC_DEFINE (WireHello, wire_hello, WIRE_HELLO_FIELDS)
REC_DEFINE (WireChallenge, wire_challenge, WIRE_CHALLENGE_FIELDS)
REC_DEFINE (WireProof, wire_proof, WIRE_PROOF_FIELDS)
REC_DEFINE (WireFrame, wire_frame, WIRE_FRAME_FIELDS)

/* Returns a frame that carries E, sent at STAMP. */
WireFrame *
wire_frame_new (const Event *e, Hlc stamp)
{
  WireFrame *f = rec_new (wire_frame_desc ());

  rec_set_str (&f->kind, event_name (e->kind));
  f->ms = stamp.ms;
  f->count = stamp.count;
  f->body = rec_pack (event_desc (e->kind), e->body);
  return f;
}

/* Frees FRAME, a WireFrame. */
void
wire_frame_free (gpointer frame)
{
  rec_free (wire_frame_desc (), frame);
}

/* Returns the message in F, which the host FROM sent and which was read at NOW.
   Returns NULL if it is none or can't be read; then FINDINGS say why. */
Event *
wire_frame_read (const WireFrame *f,
                 ClockMs now,
                 const char *from,
                 Findings *findings)
{
  int kind = event_from_name (f->kind);
  const RecDesc *d;
  void *body;
  gsize n = 0;
  gconstpointer data = f->body ? g_bytes_get_data (f->body, &n) : NULL;
  Event *e = NULL;

  if (kind < 0 || !event_is_message ((EventKind)kind))
    return NULL;
  d = event_desc ((EventKind)kind);
  body = rec_new (d);
  if (rec_unpack (d, body, data, n, findings))
    e = event_new ((EventKind)kind, now, from, body);
  rec_free (d, body);
  return e;
}
