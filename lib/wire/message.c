#include "message.h"
#include <msgpack.h>
#include <string.h>

#define STRINGS_MAX 100000

/* The functions that pack, read, clear and copy each message are generated
   from its field list.  In the macros, m points to the message.  */

static void
pack_string (msgpack_packer *pk, const char *text)
{
  gsize length = text != NULL ? strlen (text) : 0;
  msgpack_pack_str (pk, length);
  if (length > 0)
    msgpack_pack_str_body (pk, text, length);
}

static void
pack_block (msgpack_packer *pk, GBytes *block)
{
  gsize length = 0;
  const void *data = block != NULL ? g_bytes_get_data (block, &length) : NULL;
  msgpack_pack_bin (pk, length);
  if (length > 0)
    msgpack_pack_bin_body (pk, data, length);
}

static gboolean
read_number (const msgpack_object *o, guint64 *out)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  *out = o->via.u64;
  return TRUE;
}

static gboolean
read_string (const msgpack_object *o, char **out)
{
  if (o->type != MSGPACK_OBJECT_STR)
    return FALSE;
  /* The pointer of an empty string may be NULL.  */
  gsize length = o->via.str.size;
  if (length > 0 && memchr (o->via.str.ptr, '\0', length) != NULL)
    return FALSE;
  *out = length > 0 ? g_strndup (o->via.str.ptr, length) : g_strdup ("");
  return TRUE;
}

static gboolean
read_block (const msgpack_object *o, GBytes **out)
{
  if (o->type != MSGPACK_OBJECT_BIN)
    return FALSE;
  *out = g_bytes_new (o->via.bin.ptr, o->via.bin.size);
  return TRUE;
}

static GBytes *
copy_block (GBytes *block)
{
  return block != NULL ? g_bytes_ref (block) : NULL;
}

#define COUNT_FIELD(f) +1
#define PACK_U(f) msgpack_pack_uint64 (pk, m->f);
#define PACK_S(f) pack_string (pk, m->f);
#define PACK_B(f) pack_block (pk, m->f);
#define READ_U(f) &&read_number (o++, &m->f)
#define READ_S(f) &&read_string (o++, &m->f)
#define READ_B(f) &&read_block (o++, &m->f)
#define CLEAR_U(f) m->f = 0;
#define CLEAR_S(f) g_clear_pointer (&m->f, g_free);
#define CLEAR_B(f) g_clear_pointer (&m->f, g_bytes_unref);
#define COPY_U(f) m->f = from->f;
#define COPY_S(f) m->f = g_strdup (from->f);
#define COPY_B(f) m->f = copy_block (from->f);

#define M(NAME, name)                                                         \
  static void pack_##name (msgpack_packer *pk, const WmMessage *message)      \
  {                                                                           \
    const struct wm_##name *m = &message->name;                               \
    WM_##NAME (PACK_U, PACK_S, PACK_B)                                        \
  }                                                                           \
  static gboolean read_##name (const msgpack_object *o, WmMessage *message)   \
  {                                                                           \
    struct wm_##name *m = &message->name;                                     \
    return TRUE WM_##NAME (READ_U, READ_S, READ_B);                           \
  }                                                                           \
  static void clear_##name (WmMessage *message)                               \
  {                                                                           \
    struct wm_##name *m = &message->name;                                     \
    WM_##NAME (CLEAR_U, CLEAR_S, CLEAR_B)                                     \
  }                                                                           \
  static void copy_##name (WmMessage *to, const WmMessage *message)           \
  {                                                                           \
    struct wm_##name *m = &to->name;                                          \
    const struct wm_##name *from = &message->name;                            \
    WM_##NAME (COPY_U, COPY_S, COPY_B)                                        \
  }
WM_MESSAGES (M)
#undef M

static const struct
{
  const char *name;
  guint fields;
  void (*pack) (msgpack_packer *pk, const WmMessage *message);
  gboolean (*read) (const msgpack_object *o, WmMessage *message);
  void (*clear) (WmMessage *message);
  void (*copy) (WmMessage *to, const WmMessage *message);
} type_descriptors[] = {
#define M(NAME, name)                                                         \
  { #name,        0 WM_##NAME (COUNT_FIELD, COUNT_FIELD, COUNT_FIELD),        \
    pack_##name,  read_##name,                                                \
    clear_##name, copy_##name },
  WM_MESSAGES (M)
#undef M
};

const char *
wm_type_name (WmType type)
{
  return type < WM_TYPE_COUNT ? type_descriptors[type].name : "unknown";
}

static void
pack_message (msgpack_sbuffer *buffer, const WmMessage *message)
{
  g_assert (message->type < WM_TYPE_COUNT);
  msgpack_packer pk;
  msgpack_packer_init (&pk, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, type_descriptors[message->type].fields + 1);
  msgpack_pack_uint64 (&pk, message->type);
  type_descriptors[message->type].pack (&pk, message);
}

GBytes *
wm_encode (const WmMessage *message)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  pack_message (&buffer, message);
  GBytes *block = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return block;
}

void
wm_append (GByteArray *out, const WmMessage *message)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  pack_message (&buffer, message);
  guint32 length = GUINT32_TO_BE ((guint32)buffer.size);
  g_byte_array_append (out, (const guint8 *)&length, WM_LENGTH_BYTES);
  g_byte_array_append (out, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static gboolean
read_message (const msgpack_object *o, WmMessage *message)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size == 0)
    return FALSE;
  const msgpack_object *items = o->via.array.ptr;
  if (items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || items[0].via.u64 >= WM_TYPE_COUNT)
    return FALSE;
  message->type = (WmType)items[0].via.u64;
  if (o->via.array.size != type_descriptors[message->type].fields + 1)
    return FALSE;
  return type_descriptors[message->type].read (items + 1, message);
}

GmKind
wm_decode (const void *data, gsize length, WmMessage *message,
           GmStatus *status)
{
  memset (message, 0, sizeof *message);
  if (length > WM_FRAME_MAX)
    return gm_fail (status, GM_CORRUPT, "message of %zu bytes is too long",
                    length);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  gsize at = 0;
  msgpack_unpack_return ret
      = msgpack_unpack_next (&unpacked, data, length, &at);
  gboolean good = ret == MSGPACK_UNPACK_SUCCESS && at == length
                  && read_message (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (good)
    return gm_ok (status);
  wm_clear (message);
  return gm_fail (status, GM_CORRUPT,
                  "malformed message or unsupported version");
}

gboolean
wm_next (GBytes *list, gsize *at, WmMessage *message)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (list, &length);
  if (length - *at < WM_LENGTH_BYTES)
    return FALSE;
  guint32 size;
  memcpy (&size, data + *at, WM_LENGTH_BYTES);
  size = GUINT32_FROM_BE (size);
  if (size > length - *at - WM_LENGTH_BYTES)
    return FALSE;
  if (wm_decode (data + *at + WM_LENGTH_BYTES, size, message, NULL) != GM_OK)
    return FALSE;
  *at += WM_LENGTH_BYTES + size;
  return TRUE;
}

void
wm_clear (WmMessage *message)
{
  type_descriptors[message->type].clear (message);
}

void
wm_copy (WmMessage *to, const WmMessage *from)
{
  memset (to, 0, sizeof *to);
  to->type = from->type;
  type_descriptors[from->type].copy (to, from);
}

void
wm_queue_put (GQueue *queue, const WmMessage *message)
{
  WmMessage *copy = g_new (WmMessage, 1);
  wm_copy (copy, message);
  g_queue_push_tail (queue, copy);
}

gboolean
wm_queue_take (GQueue *queue, WmMessage *message)
{
  WmMessage *first = g_queue_pop_head (queue);
  if (first == NULL)
    return FALSE;
  *message = *first;
  g_free (first);
  return TRUE;
}

void
wm_queue_clear (GQueue *queue)
{
  WmMessage message;
  while (wm_queue_take (queue, &message))
    wm_clear (&message);
}

GBytes *
wm_strings_encode (const char *const *strings, guint count)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer pk;
  msgpack_packer_init (&pk, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, count);
  for (guint i = 0; i < count; i++)
    if (strings[i] == NULL)
      msgpack_pack_nil (&pk);
    else
      pack_string (&pk, strings[i]);
  GBytes *block = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return block;
}

GPtrArray *
wm_strings_decode (GBytes *block)
{
  gsize length;
  const void *data = g_bytes_get_data (block, &length);
  GPtrArray *strings = g_ptr_array_new_with_free_func (g_free);
  if (length == 0)
    return strings;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  gsize at = 0;
  gboolean good = msgpack_unpack_next (&unpacked, data, length, &at)
                      == MSGPACK_UNPACK_SUCCESS
                  && at == length && unpacked.data.type == MSGPACK_OBJECT_ARRAY
                  && unpacked.data.via.array.size <= STRINGS_MAX;
  for (guint i = 0; good && i < unpacked.data.via.array.size; i++)
    {
      char *text = NULL;
      const msgpack_object *item = &unpacked.data.via.array.ptr[i];
      good = item->type == MSGPACK_OBJECT_NIL || read_string (item, &text);
      if (good)
        g_ptr_array_add (strings, text);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (!good)
    g_clear_pointer (&strings, g_ptr_array_unref);
  return strings;
}
