#ifndef REC_STATE_H
#define REC_STATE_H

#include "rec.h"

/* What the modules of records share.  For these alone:
   rec.c       memory, copies, digests, checks
   rec_json.c  to and from JSON
   rec_pack.c  to and from msgpack */

/* The field of REC that FIELD, a RecField, describes. */
#define REC_AT(rec, field, Type) ((Type *)((char *)(rec) + (field)->offset))

void rec_list_make (const RecDesc *d, RecList *list, guint n);
gboolean rec_check_int (const RecField *f,
                        gint64 v,
                        const char *place,
                        Findings *findings);
gboolean rec_check_length (const RecField *f,
                           gsize n,
                           const char *place,
                           Findings *findings);
gboolean rec_decode_str (const RecField *f,
                         void *rec,
                         const char *data,
                         gsize n,
                         const char *place,
                         Findings *findings);
gboolean rec_decode_bytes (const RecField *f,
                           void *rec,
                           gconstpointer data,
                           gsize n,
                           const char *place,
                           Findings *findings);

#endif
