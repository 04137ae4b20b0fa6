#include "oper.h"

struct Oper
{
  gint64 questions;
};

/* Returns the operators' side of node C. */
Oper *
oper_new (Core *c)
{
  (void)c;
  return g_new0 (Oper, 1);
}

/* Starts the module. */
void
oper_start (Core *c)
{
  (void)c;
}

/* Releases O. */
void
oper_free (Oper *o)
{
  g_free (o);
}

/* Answers one question. */
void
oper_on_question (Core *c, const Event *e)
{
  const CallerOperator *q = e->body;

  c->oper->questions++;
  core_emit (c, FX_REPLY, NULL,
             &(CallerReply) { .conn = q->conn,
                              .outcome = OUTCOME_NOT_RUN,
                              .status = 404,
                              .reason = "no such question" });
}
