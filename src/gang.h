#ifndef GANG_H
#define GANG_H

#include "job.h"

/* Gangs on workers, all parts or none: intent, reserve, commit, start, and
   the undoing of all that. */

typedef struct Job Job;
typedef struct Part Part;

enum
{
  GANG_RESERVE_LEASE_MS = 10000, /* of a reservation that is not started */
  GANG_TRIES = 3,                /* of a call that gets no answer */
  GANG_RETRY_MS = 200,
  GANG_RETRY_MAX_MS = 2000
};

void gang_place (Core *c, Job *j);
void gang_on_written (Core *c, Job *j);
void gang_on_unwritten (Core *c, Job *j);
void gang_undo (Core *c, Job *j, JobState verdict, const char *reason);
void gang_cancel (Core *c, Job *j);
void gang_take_start (Core *c, Job *j);
void gang_take_end (Core *c, Job *j, JobRecord *found);
void gang_save (Core *c, Job *j);
void gang_drop (Core *c, Job *j);

/* For lease.c and adopt.c. */
void gang_on_part_answer (Core *c, Part *p, WorkerOp op, const WorkerReply *r);
void gang_apply_lease (Core *c, Part *p, const WorkerLease *l, gint64 call);
void gang_part_started (Core *c, Part *p);
void gang_part_ended (Core *c, Part *p);
void gang_part_call (Core *c, Part *p, WorkerOp op);
void gang_add_evidence (Job *j, const char *worker, const char *reason);
void gang_broken (Core *c, Job *j, Part *p, gboolean failed, const char *why);
void gang_advance (Core *c, Job *j);
void gang_saved (Core *c, Job *j);
void gang_start_all (Core *c, Job *j);
void gang_make_parts (Core *c, Job *j);
void gang_end (Core *c, Job *j, JobState state, const char *reason);
void gang_end_written (Core *c, Job *j);
gboolean gang_may_repeat (const Job *j);

/* Between gang.c and gang_part.c. */
void gang_note (Core *c,
                Job *j,
                NoteKind kind,
                const char *worker,
                const char *detail);
void gang_part_release (Core *c, Part *p);
void gang_part_forget_call (Core *c, Part *p);
void gang_part_again (Core *c, Timer *t);
void gang_part_stop (Core *c, Part *p);

#endif
