#include "rec_state.h"

#include <json-c/json.h>
#include <string.h>

static const int max_json_depth = 16;

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
      return json_object_new_int64 (*REC_AT (rec, f, const gint64));
    case REC_STR:
      return json_object_new_string (util_str (*REC_AT (rec, f, char *const)));
    case REC_BYTES:
      return bytes_to_json (*REC_AT (rec, f, GBytes *const));
    case REC_LIST:
      return list_to_json (f->item (), REC_AT (rec, f, const RecList), zero);
    }
  return NULL;
}

static gboolean
is_zero (const RecField *f, const void *rec)
{
  switch (f->type)
    {
    case REC_INT:
      return *REC_AT (rec, f, const gint64) == 0;
    case REC_STR:
      return *util_str (*REC_AT (rec, f, char *const)) == '\0';
    case REC_BYTES:
      return *REC_AT (rec, f, GBytes *const) == NULL;
    case REC_LIST:
      return REC_AT (rec, f, const RecList)->n == 0;
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

/* How a record is read, and where findings go. */
typedef struct Decode
{
  RecMissing missing;
  Findings *findings;
} Decode;

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
  RecList *list = REC_AT (rec, f, RecList);
  gsize n = json_object_array_length (v);
  gboolean ok = rec_check_length (f, n, place, decode->findings);
  gsize i;

  if (!ok)
    return FALSE;
  rec_list_make (f->item (), list, (guint)n);
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
  gboolean ok = rec_decode_bytes (f, rec, data, n, place, findings);

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
      *REC_AT (rec, f, gint64) = number;
      return rec_check_int (f, number, place, decode->findings);
    case REC_STR:
      return rec_decode_str (f, rec, json_object_get_string (v),
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
