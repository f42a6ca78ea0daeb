#include "served.h"

typedef struct
{
  guint requests;
  guint answered;
} Count;

struct SvCounts
{
  GHashTable *customers; /* name -> Count */
  GmTime ends;           /* of the period; 0: none has begun */
};

SvCounts *
sv_new (void)
{
  SvCounts *counts = g_new0 (SvCounts, 1);
  counts->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return counts;
}

void
sv_free (SvCounts *counts)
{
  g_hash_table_unref (counts->customers);
  g_free (counts);
}

void
sv_note (SvCounts *counts, const char *customer, gboolean answered)
{
  Count *count = g_hash_table_lookup (counts->customers, customer);
  if (count == NULL
      && g_hash_table_size (counts->customers) >= SV_CUSTOMERS_MAX)
    return;
  if (count == NULL)
    {
      count = g_new0 (Count, 1);
      g_hash_table_insert (counts->customers, g_strdup (customer), count);
    }
  count->requests++;
  count->answered += answered ? 1 : 0;
}

static gint
compare_shares (gconstpointer a, gconstpointer b)
{
  guint x = *(const guint *)a, y = *(const guint *)b;
  return x < y ? -1 : x > y;
}

static guint
worst_tenth (const SvCounts *counts)
{
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (guint));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, counts->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Count *count = value;
      guint share = (guint)((guint64)count->answered * 1000 / count->requests);
      g_array_append_val (shares, share);
    }
  g_array_sort (shares, compare_shares);
  guint tenth = MAX (shares->len / 10, 1);
  guint sum = 0;
  for (guint i = 0; i < tenth; i++)
    sum += g_array_index (shares, guint, i);
  return sum / tenth;
}

gboolean
sv_end_period (SvCounts *counts, GmTime now, guint *per_mille)
{
  if (counts->ends == 0)
    counts->ends = now + SV_PERIOD;
  if (now < counts->ends)
    return FALSE;
  counts->ends = now + SV_PERIOD;
  if (g_hash_table_size (counts->customers) == 0)
    return FALSE;
  *per_mille = worst_tenth (counts);
  g_hash_table_remove_all (counts->customers);
  return TRUE;
}
