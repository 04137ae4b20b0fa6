#include "rec_state.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static const char empty_str[] = "";

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
      *REC_AT (rec, &d->fields[i], const char *) = empty_str;
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

/* Makes LIST one of N empty records of D. */
void
rec_list_make (const RecDesc *d, RecList *list, guint n)
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
  guint i;

  *to = (RecList) { .n = from->n };
  if (from->n == 0)
    return;
  to->items = g_malloc_n (room_for (from->n), d->size);
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
          *REC_AT (to, f, gint64) = *REC_AT (rec, f, const gint64);
          break;
        case REC_STR:
          *REC_AT (to, f, const char *) =
              str_copy (*REC_AT (rec, f, char *const));
          break;
        case REC_BYTES:
          *REC_AT (to, f, GBytes *) = *REC_AT (rec, f, GBytes *const);
          if (*REC_AT (to, f, GBytes *))
            g_bytes_ref (*REC_AT (to, f, GBytes *));
          break;
        case REC_LIST:
          list_copy (f->item (), REC_AT (to, f, RecList),
                     REC_AT (rec, f, const RecList));
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
        str_free (*REC_AT (rec, f, const char *));
      else if (f->type == REC_BYTES)
        g_clear_pointer (REC_AT (rec, f, GBytes *), g_bytes_unref);
      else if (f->type == REC_LIST)
        rec_list_clear (f->item (), REC_AT (rec, f, RecList));
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
      return XXH3_64bits_withSeed (REC_AT (rec, f, const gint64),
                                   sizeof (gint64), h);
    case REC_STR:
      data = util_str (*REC_AT (rec, f, char *const));
      return XXH3_64bits_withSeed (data, strlen (data) + 1, h);
    case REC_BYTES:
      bytes = *REC_AT (rec, f, GBytes *const);
      data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
      return XXH3_64bits_withSeed (data, n, h + 1);
    case REC_LIST:
      list = REC_AT (rec, f, const RecList);
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

/* Tells whether V is in the range of F; if not, a finding at PLACE says so. */
gboolean
rec_check_int (const RecField *f,
               gint64 v,
               const char *place,
               Findings *findings)
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

/* Tells whether N is a length that F allows; if not, a finding at PLACE says
   so. */
gboolean
rec_check_length (const RecField *f,
                  gsize n,
                  const char *place,
                  Findings *findings)
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
  const RecList *list = REC_AT (rec, f, const RecList);
  GBytes *bytes;
  gboolean ok;
  guint i;

  switch (f->type)
    {
    case REC_INT:
      return rec_check_int (f, *REC_AT (rec, f, const gint64), place, findings);
    case REC_STR:
      return rec_check_length (f, strlen (*REC_AT (rec, f, char *const)), place,
                               findings);
    case REC_BYTES:
      bytes = *REC_AT (rec, f, GBytes *const);
      return rec_check_length (f, bytes ? g_bytes_get_size (bytes) : 0, place,
                               findings);
    case REC_LIST:
      ok = rec_check_length (f, list->n, place, findings);
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

/* Sets the string F of REC to the N bytes at DATA.  Returns FALSE and adds a
   finding at PLACE if they are too long or not UTF-8. */
gboolean
rec_decode_str (const RecField *f,
                void *rec,
                const char *data,
                gsize n,
                const char *place,
                Findings *findings)
{
  char *s;

  if (!rec_check_length (f, n, place, findings))
    return FALSE;
  if (!g_utf8_validate_len (data, n, NULL))
    {
      findings_add (findings, place, "is not UTF-8 text");
      return FALSE;
    }
  s = g_strndup (data, n);
  rec_set_str (REC_AT (rec, f, const char *), s);
  g_free (s);
  return TRUE;
}

/* Sets the bytes F of REC to the N bytes at DATA.  Returns FALSE and adds a
   finding at PLACE if they are too many. */
gboolean
rec_decode_bytes (const RecField *f,
                  void *rec,
                  gconstpointer data,
                  gsize n,
                  const char *place,
                  Findings *findings)
{
  if (!rec_check_length (f, n, place, findings))
    return FALSE;
  g_clear_pointer (REC_AT (rec, f, GBytes *), g_bytes_unref);
  if (n)
    *REC_AT (rec, f, GBytes *) = g_bytes_new (data, n);
  return TRUE;
}
