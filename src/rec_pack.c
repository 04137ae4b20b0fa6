#include "rec_state.h"

#include <msgpack.h>
#include <string.h>

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
      msgpack_pack_int64 (pk, *REC_AT (rec, f, const gint64));
      break;
    case REC_STR:
      s = util_str (*REC_AT (rec, f, char *const));
      msgpack_pack_str_with_body (pk, s, strlen (s));
      break;
    case REC_BYTES:
      bytes = *REC_AT (rec, f, GBytes *const);
      data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
      msgpack_pack_bin_with_body (pk, data, n);
      break;
    case REC_LIST:
      list = REC_AT (rec, f, const RecList);
      msgpack_pack_array (pk, list->n);
      for (i = 0; i < list->n; i++)
        pack (pk, f->item (), rec_list_at (f->item (), list, i));
      break;
    }
}

/* Returns the number of REC's fields without the optional ones at its end that
   are 0. */
static guint
count_needed (const RecDesc *d, const void *rec)
{
  guint n = d->n_fields;

  while (n > d->n_fields - d->n_optional &&
         *REC_AT (rec, &d->fields[n - 1], const gint64) == 0)
    n--;
  return n;
}

/* A record is an array of its fields in their order: both ends hold the
   same list, and names would double a heartbeat's size. */
static void
pack (msgpack_packer *pk, const RecDesc *d, const void *rec)
{
  guint n = count_needed (d, rec);
  guint i;

  msgpack_pack_array (pk, n);
  for (i = 0; i < n; i++)
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
  RecList *list = REC_AT (rec, f, RecList);
  guint32 i;

  if (!rec_check_length (f, o->via.array.size, f->name, findings))
    return FALSE;
  rec_list_make (f->item (), list, o->via.array.size);
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
  *REC_AT (rec, f, gint64) = o->via.i64;
  return rec_check_int (f, o->via.i64, f->name, findings);
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
    return rec_decode_str (f, rec, o->via.str.ptr, o->via.str.size, f->name,
                           findings);
  if (f->type == REC_BYTES)
    return rec_decode_bytes (f, rec, o->via.bin.ptr, o->via.bin.size, f->name,
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

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > d->n_fields ||
      o->via.array.size < d->n_fields - d->n_optional)
    {
      findings_add (findings, d->name, "expected %u fields", d->n_fields);
      return FALSE;
    }
  for (i = 0; i < o->via.array.size; i++)
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
   DATA.  Extra, missing (but for optional ones), mistyped and out-of-range
   fields are refused: returns FALSE and adds a finding that names the first
   one. */
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
