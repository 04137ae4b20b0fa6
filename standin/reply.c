#include "reply.h"

#include <string.h>

/* Replies to X with STATUS and O, which is freed. */
void
standin_reply (Exchange *x, unsigned status, json_object *o)
{
  char *text = json_serialize_free (o);

  exchange_reply (x, 0, status, "Content-Type: application/json", text,
                  strlen (text));
  g_free (text);
}

/* Returns X's body, NULL if it can't be read; the caller frees it. */
json_object *
standin_body (const Exchange *x, Findings *findings)
{
  return json_parse ((const char *)x->body->data, x->body->len, findings);
}
