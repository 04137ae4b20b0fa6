#include "upstream_event.h"

REC_DEFINE (UpstreamSend, upstream_send, UPSTREAM_SEND_FIELDS)
REC_DEFINE (UpstreamAsk, upstream_ask, UPSTREAM_ASK_FIELDS)
REC_DEFINE (UpstreamReply, upstream_reply, UPSTREAM_REPLY_FIELDS)
REC_DEFINE (UpstreamProbe, upstream_probe, UPSTREAM_PROBE_FIELDS)
REC_DEFINE (UpstreamProbed, upstream_probed, UPSTREAM_PROBED_FIELDS)
