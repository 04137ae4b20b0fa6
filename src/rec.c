#include "rec.h"

#include <json-c/json.h>
#include <msgpack.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static const int max_json_depth = 16;
static const char empty_str[] = "";

#define AT(rec, field, Type) ((Type *)((char *)(rec) + (field)->offset))

/* Returns the description of a record without fields. */
const RecDesc *
rec_empty_desc (void)
{
  static const RecDesc desc = { .name = "Empty" };

  return &desc;
}

static void
str_free (const char *s)
{
  if (s != empty_str)
    g_free ((gpointer)s);
}

static const char *
str_copy (const char *s)
{
  return s && *s ? g_strdup (s) : empty_str;
}

/* Replaces the string in *FIELD, which the record owns, by a copy of
   VALUE; NULL counts as empty. */
void
rec_set_str (const char **field, const char *value)
{
  const char *copy = str_copy (value);

  str_free (*field);
  *field = copy;
}

static void
rec_init (const RecDesc *d, void *rec)
{
  guint i;

  memset (rec, 0, d->size);
  for (i = 0; i < d->n_fields; i++)
    if (d->fields[i].type == REC_STR)
      *AT (rec, &d->fields[i], const char *) = empty_str;
}

/* Returns a new record of kind D: numbers 0, strings and lists empty. */
void *
rec_new (const RecDesc *d)
{
  void *rec = g_malloc (d->size);

  if (rec)
    rec_init (d, rec);
  return rec;
}

/* Returns item I of LIST, a list of records of kind D. */
gpointer
rec_list_at (const RecDesc *d, const RecList *list, guint i)
{
  return (char *)list->items + d->size * i;
}

/* Doubles the room of LIST, which is full. */
static void
list_grow (const RecDesc *d, RecList *list)
{
  guint room = MAX (1, 2 * list->n);
  void *items = g_malloc_n (room, d->size);

  if (list->n)
    memcpy (items, list->items, list->n * d->size);
  g_free (list->items);
  list->items = items;
}

/* Appends an empty record of kind D to LIST, which its record owns, and
   returns it; it moves when the list grows again. */
void *
rec_list_add (const RecDesc *d, RecList *list)
{
  void *item;

  /* Grows at powers of two, so that the capacity needs no field. */
  if ((list->n & (list->n - 1)) == 0)
    list_grow (d, list);
  item = rec_list_at (d, list, list->n++);
  rec_init (d, item);
  return item;
}

/* Releases all items of LIST, which becomes empty. */
void
rec_list_clear (const RecDesc *d, RecList *list)
{
  guint i;

  for (i = 0; i < list->n; i++)
    rec_clear (d, rec_list_at (d, list, i));
  g_free (list->items);
  *list = (RecList) { 0 };
}

static guint
room_for (guint n)
{
  guint room = 1;

  while (room < n)
    room *= 2;
  return room;
}

/* Makes LIST one of N empty records. */
static void
list_make (const RecDesc *d, RecList *list, guint n)
{
  guint i;

  rec_list_clear (d, list);
  if (n == 0)
    return;
  list->items = g_malloc_n (room_for (n), d->size);
  for (i = 0; i < n; i++)
    rec_init (d, rec_list_at (d, list, i));
  list->n = n;
}

static void
list_copy (const RecDesc *d, RecList *to, const RecList *from)
{
  guint room = 1;
  guint i;

  *to = (RecList) { .n = from->n };
  if (from->n == 0)
    return;
  while (room < from->n)
    room *= 2;
  to->items = g_malloc_n (room, d->size);
  for (i = 0; i < from->n; i++)
    rec_copy_into (d, rec_list_at (d, to, i), rec_list_at (d, from, i));
}

/* Makes TO, whose old content is not looked at, a deep copy of REC.  NULL
   strings become empty ones. */
void
rec_copy_into (const RecDesc *d, void *to, const void *rec)
{
  guint i;

  for (i = 0; i < d->n_fields; i++)
    {
      const RecField *f = &d->fields[i];

      switch (f->type)
        {
        case REC_INT:
          *AT (to, f, gint64) = *AT (rec, f, const gint64);
          break;
        case REC_STR:
          *AT (to, f, const char *) = str_copy (*AT (rec, f, char *const));
          break;
        case REC_BYTES:
          *AT (to, f, GBytes *) = *AT (rec, f, GBytes *const);
          if (*AT (to, f, GBytes *))
            g_bytes_ref (*AT (to, f, GBytes *));
          break;
        case REC_LIST:
          list_copy (f->item (), AT (to, f, RecList),
                     AT (rec, f, const RecList));
          break;
        }
    }
}

/* Returns a deep copy of REC; NULL for a record without fields. */
void *
rec_copy (const RecDesc *d, const void *rec)
{
  void *to = g_malloc (d->size);

  if (to)
    rec_copy_into (d, to, rec);
  return to;
}

/* Releases what REC holds and makes it empty. */
void
rec_clear (const RecDesc *d, void *rec)
{
  guint i;

  for (i = 0; i < d->n_fields; i++)
    {
      const RecField *f = &d->fields[i];

      if (f->type == REC_STR)
        str_free (*AT (rec, f, const char *));
      else if (f->type == REC_BYTES)
        g_clear_pointer (AT (rec, f, GBytes *), g_bytes_unref);
      else if (f->type == REC_LIST)
        rec_list_clear (f->item (), AT (rec, f, RecList));
    }
  if (rec)
    rec_init (d, rec);
}

/* Releases REC, made by rec_new or rec_copy. */
void
rec_free (const RecDesc *d, void *rec)
{
  if (!rec)
    return;
  rec_clear (d, rec);
  g_free (rec);
}

static guint64
digest_field (const RecField *f, const void *rec, guint64 h)
{
  const RecList *list;
  GBytes *bytes;
  gconstpointer data;
  gsize n = 0;
  guint i;

  switch (f->type)
    {
    case REC_INT:
      return XXH3_64bits_withSeed (AT (rec, f, const gint64), sizeof (gint64),
                                   h);
    case REC_STR:
      data = util_str (*AT (rec, f, char *const));
      return XXH3_64bits_withSeed (data, strlen (data) + 1, h);
    case REC_BYTES:
      bytes = *AT (rec, f, GBytes *const);
      data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
      return XXH3_64bits_withSeed (data, n, h + 1);
    case REC_LIST:
      list = AT (rec, f, const RecList);
      h = XXH3_64bits_withSeed (&list->n, sizeof list->n, h);
      for (i = 0; i < list->n; i++)
        h = rec_digest (f->item (), rec_list_at (f->item (), list, i), h);
      return h;
    }
  return h;
}

/* Returns a digest of REC that depends on every field and on SEED. */
guint64
rec_digest (const RecDesc *d, const void *rec, guint64 seed)
{
  guint64 h = seed;
  guint i;

  for (i = 0; i < d->n_fields; i++)
    h = digest_field (&d->fields[i], rec, h);
  return h;
}

/* Whether fields that are 0 or empty are written. */
typedef enum RecZero
{
  REC_ZERO_WRITE,
  REC_ZERO_OMIT
} RecZero;

static json_object *to_json (const RecDesc *d, const void *rec, RecZero zero);

static json_object *
list_to_json (const RecDesc *d, const RecList *list, RecZero zero)
{
  json_object *array = json_object_new_array_ext ((int)list->n);
  guint i;

  for (i = 0; i < list->n; i++)
    json_object_array_add (array, to_json (d, rec_list_at (d, list, i), zero));
  return array;
}

static json_object *
bytes_to_json (GBytes *bytes)
{
  gsize n = 0;
  gconstpointer data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
  char *text = g_base64_encode (data, n);
  json_object *o = json_object_new_string (text);

  g_free (text);
  return o;
}

static json_object *
field_to_json (const RecField *f, const void *rec, RecZero zero)
{
  switch (f->type)
    {
    case REC_INT:
      return json_object_new_int64 (*AT (rec, f, const gint64));
    case REC_STR:
      return json_object_new_string (util_str (*AT (rec, f, char *const)));
    case REC_BYTES:
      return bytes_to_json (*AT (rec, f, GBytes *const));
    case REC_LIST:
      return list_to_json (f->item (), AT (rec, f, const RecList), zero);
    }
  return NULL;
}

static gboolean
is_zero (const RecField *f, const void *rec)
{
  switch (f->type)
    {
    case REC_INT:
      return *AT (rec, f, const gint64) == 0;
    case REC_STR:
      return *util_str (*AT (rec, f, char *const)) == '\0';
    case REC_BYTES:
      return *AT (rec, f, GBytes *const) == NULL;
    case REC_LIST:
      return AT (rec, f, const RecList)->n == 0;
    }
  return FALSE;
}

static json_object *
to_json (const RecDesc *d, const void *rec, RecZero zero)
{
  json_object *o = json_object_new_object ();
  guint i;

  for (i = 0; i < d->n_fields; i++)
    if (zero == REC_ZERO_WRITE || !is_zero (&d->fields[i], rec))
      json_object_object_add (o, d->fields[i].name,
                              field_to_json (&d->fields[i], rec, zero));
  return o;
}

static char *
json_text (const RecDesc *d, const void *rec, RecZero zero)
{
  json_object *o = to_json (d, rec, zero);
  char *text =
      g_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));

  json_object_put (o);
  return text;
}

/* Returns REC as one line of JSON, bytes in base64; the caller frees it. */
char *
rec_to_json (const RecDesc *d, const void *rec)
{
  return json_text (d, rec, REC_ZERO_WRITE);
}

/* Returns REC as rec_to_json does, without the fields that are 0 or empty:
   for readers that take what is missing as such. */
char *
rec_to_short_json (const RecDesc *d, const void *rec)
{
  return json_text (d, rec, REC_ZERO_OMIT);
}

/* What a decode carries along. */
typedef struct Decode
{
  RecMissing missing;
  Findings *findings;
} Decode;

static gboolean
check_int (const RecField *f, gint64 v, const char *place, Findings *findings)
{
  if (v >= f->min && v <= f->max)
    return TRUE;
  findings_add (findings, place,
                "%" G_GINT64_FORMAT
                " is out of range, expected %" G_GINT64_FORMAT
                " to %" G_GINT64_FORMAT,
                v, f->min, f->max);
  return FALSE;
}

static gboolean
check_length (const RecField *f, gsize n, const char *place, Findings *findings)
{
  if ((gint64)n >= f->min && (gint64)n <= f->max)
    return TRUE;
  findings_add (findings, place,
                "length %" G_GSIZE_FORMAT
                " is out of range, expected %" G_GINT64_FORMAT
                " to %" G_GINT64_FORMAT,
                n, f->min, f->max);
  return FALSE;
}

static gboolean
check_field (const RecField *f,
             const void *rec,
             const char *place,
             Findings *findings)
{
  const RecList *list = AT (rec, f, const RecList);
  GBytes *bytes;
  gboolean ok;
  guint i;

  switch (f->type)
    {
    case REC_INT:
      return check_int (f, *AT (rec, f, const gint64), place, findings);
    case REC_STR:
      return check_length (f, strlen (*AT (rec, f, char *const)), place,
                           findings);
    case REC_BYTES:
      bytes = *AT (rec, f, GBytes *const);
      return check_length (f, bytes ? g_bytes_get_size (bytes) : 0, place,
                           findings);
    case REC_LIST:
      ok = check_length (f, list->n, place, findings);
      for (i = 0; i < list->n; i++)
        {
          char *at = g_strdup_printf ("%s[%u]", place, i);

          ok &= rec_check (f->item (), rec_list_at (f->item (), list, i), at,
                           findings);
          g_free (at);
        }
      return ok;
    }
  return FALSE;
}

/* Checks the ranges and lengths of all fields of REC, as made by rec_new
   and filled since.  Returns FALSE and adds a finding for every fault, its
   place being PLACE and the path below it. */
gboolean
rec_check (const RecDesc *d,
           const void *rec,
           const char *place,
           Findings *findings)
{
  gboolean ok = TRUE;
  guint i;

  for (i = 0; i < d->n_fields; i++)
    {
      char *at = g_strdup_printf ("%s.%s", place, d->fields[i].name);

      ok &= check_field (&d->fields[i], rec, at, findings);
      g_free (at);
    }
  return ok;
}

static gboolean
set_str (const RecField *f,
         void *rec,
         const char *data,
         gsize n,
         const char *place,
         Findings *findings)
{
  char *s;

  if (!check_length (f, n, place, findings))
    return FALSE;
  if (!g_utf8_validate_len (data, n, NULL))
    {
      findings_add (findings, place, "is not UTF-8 text");
      return FALSE;
    }
  s = g_strndup (data, n);
  rec_set_str (AT (rec, f, const char *), s);
  g_free (s);
  return TRUE;
}

static gboolean
set_bytes (const RecField *f,
           void *rec,
           gconstpointer data,
           gsize n,
           const char *place,
           Findings *findings)
{
  if (!check_length (f, n, place, findings))
    return FALSE;
  g_clear_pointer (AT (rec, f, GBytes *), g_bytes_unref);
  if (n)
    *AT (rec, f, GBytes *) = g_bytes_new (data, n);
  return TRUE;
}

static gboolean from_json (const RecDesc *d,
                           void *rec,
                           json_object *o,
                           const char *place,
                           const Decode *decode);

static gboolean
list_from_json (const RecField *f,
                void *rec,
                json_object *v,
                const char *place,
                const Decode *decode)
{
  RecList *list = AT (rec, f, RecList);
  gsize n = json_object_array_length (v);
  gboolean ok = check_length (f, n, place, decode->findings);
  gsize i;

  if (!ok)
    return FALSE;
  list_make (f->item (), list, (guint)n);
  for (i = 0; i < n; i++)
    {
      char *at = g_strdup_printf ("%s[%" G_GSIZE_FORMAT "]", place, i);
      void *item = rec_list_at (f->item (), list, (guint)i);

      ok &= from_json (f->item (), item, json_object_array_get_idx (v, i), at,
                       decode);
      g_free (at);
    }
  return ok;
}

static gboolean
bytes_from_json (const RecField *f,
                 void *rec,
                 json_object *v,
                 const char *place,
                 Findings *findings)
{
  gsize n;
  guchar *data = g_base64_decode (json_object_get_string (v), &n);
  gboolean ok = set_bytes (f, rec, data, n, place, findings);

  g_free (data);
  return ok;
}

static gboolean
field_from_json (const RecField *f,
                 void *rec,
                 json_object *v,
                 const char *place,
                 const Decode *decode)
{
  static const json_type types[] = { json_type_int, json_type_string,
                                     json_type_string, json_type_array };
  gint64 number;

  if (!json_object_is_type (v, types[f->type]))
    {
      findings_add (decode->findings, place, "expected %s, found %s",
                    json_type_to_name (types[f->type]),
                    json_type_to_name (json_object_get_type (v)));
      return FALSE;
    }
  switch (f->type)
    {
    case REC_INT:
      number = json_object_get_int64 (v);
      *AT (rec, f, gint64) = number;
      return check_int (f, number, place, decode->findings);
    case REC_STR:
      return set_str (f, rec, json_object_get_string (v),
                      (gsize)json_object_get_string_len (v), place,
                      decode->findings);
    case REC_BYTES:
      return bytes_from_json (f, rec, v, place, decode->findings);
    case REC_LIST:
      return list_from_json (f, rec, v, place, decode);
    }
  return FALSE;
}

static const RecField *
find_field (const RecDesc *d, const char *name, gsize n)
{
  guint i;

  for (i = 0; i < d->n_fields; i++)
    if (strlen (d->fields[i].name) == n &&
        memcmp (d->fields[i].name, name, n) == 0)
      return &d->fields[i];
  return NULL;
}

static gboolean
refuse_unknown_keys (const RecDesc *d,
                     json_object *o,
                     const char *place,
                     Findings *findings)
{
  struct json_object_iterator i = json_object_iter_begin (o);
  struct json_object_iterator end = json_object_iter_end (o);
  gboolean ok = TRUE;

  for (; !json_object_iter_equal (&i, &end); json_object_iter_next (&i))
    {
      const char *key = json_object_iter_peek_name (&i);

      if (find_field (d, key, strlen (key)))
        continue;
      findings_add (findings, place, "unknown key \"%s\"", key);
      ok = FALSE;
    }
  return ok;
}

static gboolean
from_json (const RecDesc *d,
           void *rec,
           json_object *o,
           const char *place,
           const Decode *decode)
{
  gboolean ok;
  guint i;

  if (!json_object_is_type (o, json_type_object))
    {
      findings_add (decode->findings, place, "expected an object");
      return FALSE;
    }
  ok = refuse_unknown_keys (d, o, place, decode->findings);
  for (i = 0; i < d->n_fields; i++)
    {
      const RecField *f = &d->fields[i];
      char *at = g_strdup_printf ("%s.%s", place, f->name);
      json_object *v;

      if (json_object_object_get_ex (o, f->name, &v))
        ok &= field_from_json (f, rec, v, at, decode);
      else if (decode->missing == REC_MISSING_REFUSE)
        {
          findings_add (decode->findings, at, "is missing");
          ok = FALSE;
        }
      g_free (at);
    }
  return ok;
}

/* Names the line and column of byte OFFSET of TEXT. */
static void
add_syntax_finding (const char *text,
                    gsize offset,
                    const char *place,
                    const char *what,
                    Findings *findings)
{
  guint line = 1;
  guint column = 1;
  gsize i;

  for (i = 0; i < offset; i++)
    {
      column++;
      if (text[i] == '\n')
        {
          line++;
          column = 1;
        }
    }
  findings_add (findings, place, "line %u, column %u: %s", line, column, what);
}

/* Reads REC, which has been made by rec_new, from the N bytes at TEXT, one
   JSON object.  MISSING says what becomes of fields that the text lacks.
   Returns FALSE and adds a finding for every fault, its place being PLACE
   and the path below it; REC is then to be freed and not used. */
gboolean
rec_from_json (const RecDesc *d,
               void *rec,
               const char *text,
               gsize n,
               RecMissing missing,
               const char *place,
               Findings *findings)
{
  Decode decode = { .missing = missing, .findings = findings };
  json_tokener *tok = json_tokener_new_ex (max_json_depth);
  json_object *o = json_tokener_parse_ex (tok, text, (int)n);
  enum json_tokener_error error = json_tokener_get_error (tok);
  gsize end = json_tokener_get_parse_end (tok);
  gboolean ok = FALSE;

  while (end < n && g_ascii_isspace (text[end]))
    end++;
  if (error == json_tokener_continue)
    add_syntax_finding (text, n, place, "ends too early", findings);
  else if (error != json_tokener_success)
    add_syntax_finding (text, end, place, json_tokener_error_desc (error),
                        findings);
  else if (end < n)
    add_syntax_finding (text, end, place, "text after the object", findings);
  else
    ok = from_json (d, rec, o, place, &decode);
  json_object_put (o);
  json_tokener_free (tok);
  return ok;
}

static void pack (msgpack_packer *pk, const RecDesc *d, const void *rec);

static void
pack_field (msgpack_packer *pk, const RecField *f, const void *rec)
{
  const RecList *list;
  const char *s;
  gconstpointer data;
  GBytes *bytes;
  gsize n = 0;
  guint i;

  switch (f->type)
    {
    case REC_INT:
      msgpack_pack_int64 (pk, *AT (rec, f, const gint64));
      break;
    case REC_STR:
      s = util_str (*AT (rec, f, char *const));
      msgpack_pack_str_with_body (pk, s, strlen (s));
      break;
    case REC_BYTES:
      bytes = *AT (rec, f, GBytes *const);
      data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
      msgpack_pack_bin_with_body (pk, data, n);
      break;
    case REC_LIST:
      list = AT (rec, f, const RecList);
      msgpack_pack_array (pk, list->n);
      for (i = 0; i < list->n; i++)
        pack (pk, f->item (), rec_list_at (f->item (), list, i));
      break;
    }
}

/* A record is an array of its fields in their order: both ends hold the
   same list, and names would double a heartbeat's size. */
static void
pack (msgpack_packer *pk, const RecDesc *d, const void *rec)
{
  guint i;

  msgpack_pack_array (pk, d->n_fields);
  for (i = 0; i < d->n_fields; i++)
    pack_field (pk, &d->fields[i], rec);
}

/* Returns REC in msgpack. */
GBytes *
rec_pack (const RecDesc *d, const void *rec)
{
  msgpack_sbuffer buffer;
  msgpack_packer pk;
  GBytes *bytes;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&pk, &buffer, msgpack_sbuffer_write);
  pack (&pk, d, rec);
  bytes = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static gboolean unpack (const RecDesc *d,
                        void *rec,
                        const msgpack_object *o,
                        Findings *findings);

static gboolean
unpack_list (const RecField *f,
             void *rec,
             const msgpack_object *o,
             Findings *findings)
{
  RecList *list = AT (rec, f, RecList);
  guint32 i;

  if (!check_length (f, o->via.array.size, f->name, findings))
    return FALSE;
  list_make (f->item (), list, o->via.array.size);
  for (i = 0; i < o->via.array.size; i++)
    if (!unpack (f->item (), rec_list_at (f->item (), list, i),
                 &o->via.array.ptr[i], findings))
      return FALSE;
  return TRUE;
}

static gboolean
unpack_int (const RecField *f,
            void *rec,
            const msgpack_object *o,
            Findings *findings)
{
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
      o->via.u64 > (guint64)G_MAXINT64)
    {
      findings_add (findings, f->name, "number exceeds 63 bits");
      return FALSE;
    }
  *AT (rec, f, gint64) = o->via.i64;
  return check_int (f, o->via.i64, f->name, findings);
}

static gboolean
is_type (const RecField *f, const msgpack_object *o)
{
  switch (f->type)
    {
    case REC_INT:
      return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
             o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
    case REC_STR:
      return o->type == MSGPACK_OBJECT_STR;
    case REC_BYTES:
      return o->type == MSGPACK_OBJECT_BIN;
    case REC_LIST:
      return o->type == MSGPACK_OBJECT_ARRAY;
    }
  return FALSE;
}

static gboolean
unpack_field (const RecField *f,
              void *rec,
              const msgpack_object *o,
              Findings *findings)
{
  if (!is_type (f, o))
    {
      findings_add (findings, f->name, "has the wrong type");
      return FALSE;
    }
  if (f->type == REC_INT)
    return unpack_int (f, rec, o, findings);
  if (f->type == REC_STR)
    return set_str (f, rec, o->via.str.ptr, o->via.str.size, f->name, findings);
  if (f->type == REC_BYTES)
    return set_bytes (f, rec, o->via.bin.ptr, o->via.bin.size, f->name,
                      findings);
  return unpack_list (f, rec, o, findings);
}

static gboolean
unpack (const RecDesc *d,
        void *rec,
        const msgpack_object *o,
        Findings *findings)
{
  guint i;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != d->n_fields)
    {
      findings_add (findings, d->name, "expected %u fields", d->n_fields);
      return FALSE;
    }
  for (i = 0; i < d->n_fields; i++)
    if (!unpack_field (&d->fields[i], rec, &o->via.array.ptr[i], findings))
      return FALSE;
  return TRUE;
}

/* Where a check of packed bytes stands. */
typedef struct PackedCheck
{
  const guint8 *p;
  gsize left;
} PackedCheck;

static gboolean
read_size (PackedCheck *k, guint width, guint64 *size)
{
  if (k->left < width)
    return FALSE;
  *size = 0;
  k->left -= width;
  while (width--)
    *size = *size << 8 | *k->p++;
  return TRUE;
}

static gboolean
skip (PackedCheck *k, guint64 size)
{
  if (size > k->left)
    return FALSE;
  k->p += size;
  k->left -= size;
  return TRUE;
}

/* Passes one number, string or head of an array, the kinds that records
   are made of, and adds the items of an array to *PENDING. */
static gboolean
pass_item (PackedCheck *k, guint64 *pending)
{
  guint8 tag = *k->p++;
  guint64 size = 0;
  gboolean ok = TRUE;

  k->left--;
  if (tag < 0x80 || tag >= 0xe0)
    return TRUE;
  if (tag >= 0x90 && tag <= 0x9f)
    size = tag & 0x0f;
  else if (tag == 0xdc || tag == 0xdd)
    ok = read_size (k, tag == 0xdc ? 2 : 4, &size);
  else if (tag >= 0xa0 && tag <= 0xbf)
    return skip (k, tag & 0x1f);
  else if (tag >= 0xc4 && tag <= 0xc6)
    return read_size (k, 1u << (tag - 0xc4), &size) && skip (k, size);
  else if (tag >= 0xd9 && tag <= 0xdb)
    return read_size (k, 1u << (tag - 0xd9), &size) && skip (k, size);
  else if (tag >= 0xcc && tag <= 0xd3)
    return skip (k, (guint64)1 << (tag & 3));
  else
    return FALSE;
  *pending += size;
  return ok && *pending <= k->left;
}

/* Tells whether every array is followed by as many items as it promises.
   The library makes room for all of them before it has seen the first. */
static gboolean
sizes_are_true (const void *data, gsize n)
{
  PackedCheck k = { .p = data, .left = n };
  guint64 pending = 1;

  while (pending--)
    if (k.left == 0 || !pass_item (&k, &pending))
      return FALSE;
  return TRUE;
}

/* Reads REC, which has been made by rec_new, from the N bytes of msgpack at
   DATA.  Extra, missing, mistyped and out-of-range fields are refused:
   returns FALSE and adds a finding that names the first one. */
gboolean
rec_unpack (const RecDesc *d,
            void *rec,
            const void *data,
            gsize n,
            Findings *findings)
{
  msgpack_unpacked u;
  gsize used = 0;
  gboolean ok = FALSE;

  msgpack_unpacked_init (&u);
  if (!sizes_are_true (data, n) ||
      msgpack_unpack_next (&u, data, n, &used) != MSGPACK_UNPACK_SUCCESS)
    findings_add (findings, d->name, "is not msgpack");
  else if (used != n)
    findings_add (findings, d->name, "%" G_GSIZE_FORMAT " bytes too many",
                  n - used);
  else
    ok = unpack (d, rec, &u.data, findings);
  msgpack_unpacked_destroy (&u);
  return ok;
}
