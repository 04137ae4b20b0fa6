#ifndef REC_H
#define REC_H

#include <glib.h>

#include "util.h"

/* Records: plain structs whose fields are listed once, in an X-macro, and
   from that list can be copied, digested, and written and read as JSON or
   msgpack.  Every event, effect, message and settings section is one.

     #define PING_FIELDS(INT, STR, BYTES, LIST)                             \
       INT (sequence, 0, G_MAXINT64)                                        \
       STR (host, 1, 64)                                                    \
       BYTES (payload, 1024)                                                \
       LIST (seen, 0, 16, ping_seen)
     REC_DECLARE (Ping, ping, PING_FIELDS)        in the header
     REC_DEFINE (Ping, ping, PING_FIELDS)         in one source file

   INT gives the least and greatest value, STR and LIST the least and
   greatest length, BYTES the greatest length.

   REC_DEFINE_OPTIONAL takes the number of INT fields at the end that stored
   records may lack.  They are 0 where they lack, and are left out of msgpack
   where they are 0, so that older programs read such records too. */

typedef enum RecType
{
  REC_INT,
  REC_STR,
  REC_BYTES,
  REC_LIST
} RecType;

typedef struct RecDesc RecDesc;
typedef const RecDesc *(*RecDescFunc) (void);

typedef struct RecField
{
  const char *name;
  RecType type;
  gsize offset;
  gint64 min;
  gint64 max;
  RecDescFunc item; /* of a list */
} RecField;

struct RecDesc
{
  const char *name;
  gsize size;
  guint n_fields;
  guint n_optional; /* of them, at the end */
  const RecField *fields;
};

/* N records of one kind, side by side. */
typedef struct RecList
{
  guint n;
  void *items;
} RecList;

/* What a decoder does with a field that the input lacks. */
typedef enum RecMissing
{
  REC_MISSING_REFUSE,
  REC_MISSING_KEEP /* the field keeps what the record held before */
} RecMissing;

#define REC_MEMBER_INT(field, min, max)        gint64 field;
#define REC_MEMBER_STR(field, min, max)        const char *field;
#define REC_MEMBER_BYTES(field, max)           GBytes *field;
#define REC_MEMBER_LIST(field, min, max, item) RecList field;

#define REC_DECLARE(Type, prefix, FIELDS)                                      \
  typedef struct Type                                                          \
  {                                                                            \
    FIELDS (REC_MEMBER_INT, REC_MEMBER_STR, REC_MEMBER_BYTES, REC_MEMBER_LIST) \
  } Type;                                                                      \
  const RecDesc *prefix##_desc (void);

#define REC_FIELD_INT(field, min, max)                                         \
  { #field, REC_INT, G_STRUCT_OFFSET (RecSelf, field), min, max, NULL },
#define REC_FIELD_STR(field, min, max)                                         \
  { #field, REC_STR, G_STRUCT_OFFSET (RecSelf, field), min, max, NULL },
#define REC_FIELD_BYTES(field, max)                                            \
  { #field, REC_BYTES, G_STRUCT_OFFSET (RecSelf, field), 0, max, NULL },
#define REC_FIELD_LIST(field, min, max, prefix)                                 \
  {                                                                             \
    #field, REC_LIST, G_STRUCT_OFFSET (RecSelf, field), min, max, prefix##_desc \
  },

#define REC_DEFINE(Type, prefix, FIELDS)                                       \
  REC_DEFINE_OPTIONAL (Type, prefix, FIELDS, 0)

#define REC_DEFINE_OPTIONAL(Type, prefix, FIELDS, n)                           \
  const RecDesc *prefix##_desc (void)                                          \
  {                                                                            \
    typedef Type RecSelf;                                                      \
    static const RecField fields[] = {                                         \
      FIELDS (REC_FIELD_INT, REC_FIELD_STR, REC_FIELD_BYTES, REC_FIELD_LIST)   \
    };                                                                         \
    static const RecDesc desc = { .name = #Type,                               \
                                  .size = sizeof (Type),                       \
                                  .n_fields = G_N_ELEMENTS (fields),           \
                                  .n_optional = (n),                           \
                                  .fields = fields };                          \
    return &desc;                                                              \
  }

const RecDesc *rec_empty_desc (void);

void *rec_new (const RecDesc *d);
void *rec_copy (const RecDesc *d, const void *rec);
void rec_copy_into (const RecDesc *d, void *to, const void *rec);
void rec_clear (const RecDesc *d, void *rec);
void rec_free (const RecDesc *d, void *rec);
void *rec_list_add (const RecDesc *d, RecList *list);
void rec_list_clear (const RecDesc *d, RecList *list);
gpointer rec_list_at (const RecDesc *d, const RecList *list, guint i);
void rec_set_str (const char **field, const char *value);

guint64 rec_digest (const RecDesc *d, const void *rec, guint64 seed);

gboolean rec_check (const RecDesc *d,
                    const void *rec,
                    const char *place,
                    Findings *findings);

char *rec_to_json (const RecDesc *d, const void *rec);
char *rec_to_short_json (const RecDesc *d, const void *rec);
gboolean rec_from_json (const RecDesc *d,
                        void *rec,
                        const char *text,
                        gsize n,
                        RecMissing missing,
                        const char *place,
                        Findings *findings);

GBytes *rec_pack (const RecDesc *d, const void *rec);
gboolean rec_unpack (const RecDesc *d,
                     void *rec,
                     const void *data,
                     gsize n,
                     Findings *findings);

#endif
