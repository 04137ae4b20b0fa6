#ifndef OPER_EVENT_H
#define OPER_EVENT_H

#include "caller_event.h"

#define OPER_EVENTS(X)                                                         \
  X (EV_OPERATOR, "operator", caller_operator, oper_on_question)

#define OPER_EFFECTS(X)

#define OPER_COUNTERS(X)                                                       \
  X (COUNT_OPERATOR_QUESTIONS, "operator_questions_total",                     \
     "Questions and edits of operators.")

#define OPER_NOTES(X)

#endif
