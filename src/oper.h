#ifndef OPER_H
#define OPER_H

#include "core_state.h"

/* Answers the operators' questions from the state of the node. */

Oper *oper_new (Core *c);
void oper_start (Core *c);
void oper_free (Oper *o);
void oper_on_question (Core *c, const Event *e);

#endif
