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
