#include "bytes.h"

gboolean
gm_secrets_equal (const void *a, gsize a_length, const void *b, gsize b_length)
{
  const guint8 *x = a;
  const guint8 *y = b;
  guint8 difference = a_length != b_length;
  for (gsize i = 0; i < MIN (a_length, b_length); i++)
    difference |= (guint8)(x[i] ^ y[i]);
  return difference == 0;
}

static int
compare_descending (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;
  return x < y ? 1 : x > y ? -1 : 0;
}

guint64
gm_nth_largest (GArray *values, guint n)
{
  if (n >= values->len)
    return 0;
  g_array_sort (values, compare_descending);
  return g_array_index (values, guint64, n);
}

void
gm_buffer_init (GmBuffer *buffer)
{
  *buffer = (GmBuffer){ .bytes = g_byte_array_new () };
}

void
gm_buffer_clear (GmBuffer *buffer)
{
  g_clear_pointer (&buffer->bytes, g_byte_array_unref);
}

void
gm_buffer_append (GmBuffer *buffer, const void *data, gsize length)
{
  g_byte_array_append (buffer->bytes, data, (guint)length);
  buffer->peak = MAX (buffer->peak, buffer->bytes->len);
}

void
gm_buffer_remove (GmBuffer *buffer, gsize length)
{
  gsize left = buffer->bytes->len - length;
  if (buffer->peak <= GM_BUFFER_KEPT_BYTES || left > GM_BUFFER_KEPT_BYTES / 4)
    {
      g_byte_array_remove_range (buffer->bytes, 0, (guint)length);
      return;
    }
  GByteArray *smaller = g_byte_array_sized_new ((guint)left);
  g_byte_array_append (smaller, buffer->bytes->data + length, (guint)left);
  g_byte_array_unref (buffer->bytes);
  *buffer = (GmBuffer){ .bytes = smaller, .peak = left };
}
