#include "histogram.h"
#include <string.h>

/* The upper bounds of the buckets double from 1 ms to 8.2 s; one more bucket
   counts longer durations.  */
#define BOUND_COUNT 14
#define SMALLEST_BOUND 1000 /* microseconds */

static const struct
{
  const char *name;
  const char *label;
  const char *help;
} histograms[] = {
#define X(name, label, help) { #name, label, help },
  HG_LIST (X)
#undef X
};

typedef struct
{
  guint64 buckets[BOUND_COUNT + 1];
  guint64 count;
  gint64 sum; /* microseconds */
} Series;

static GHashTable *series[HG_COUNT]; /* label -> Series */

static Series *
find_or_add_series (HgHistogram histogram, const char *label)
{
  if (series[histogram] == NULL)
    series[histogram]
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTable *table = series[histogram];
  Series *found = g_hash_table_lookup (table, label);
  if (found != NULL)
    return found;
  if (g_hash_table_size (table) >= HG_LABELS_MAX
      && strcmp (label, "other") != 0)
    return find_or_add_series (histogram, "other");
  found = g_new0 (Series, 1);
  g_hash_table_insert (table, g_strdup (label), found);
  return found;
}

void
hg_observe (HgHistogram histogram, const char *label, gint64 microseconds)
{
  gint64 time = MAX (microseconds, 0);
  Series *s = find_or_add_series (histogram, label);
  guint i = 0;
  while (i < BOUND_COUNT && time > ((gint64)SMALLEST_BOUND << i))
    i++;
  s->buckets[i]++;
  s->count++;
  s->sum += time;
}

guint64
hg_count (HgHistogram histogram, const char *label)
{
  const Series *s = series[histogram] != NULL
                        ? g_hash_table_lookup (series[histogram], label)
                        : NULL;
  return s != NULL ? s->count : 0;
}

static double
to_seconds (gint64 microseconds)
{
  return (double)microseconds / G_USEC_PER_SEC;
}

static void
print_series (GString *out, HgHistogram histogram, const char *value,
              const Series *s)
{
  const char *name = histograms[histogram].name,
             *label = histograms[histogram].label;
  guint64 cumulative = 0;
  for (guint i = 0; i < BOUND_COUNT; i++)
    {
      cumulative += s->buckets[i];
      g_string_append_printf (out,
                              "galenamount_%s_bucket{%s=\"%s\",le=\"%g\"} "
                              "%" G_GUINT64_FORMAT "\n",
                              name, label, value,
                              to_seconds ((gint64)SMALLEST_BOUND << i),
                              cumulative);
    }
  g_string_append_printf (
      out,
      "galenamount_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
      "galenamount_%s_sum{%s=\"%s\"} %g\n"
      "galenamount_%s_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
      name, label, value, s->count, name, label, value, to_seconds (s->sum),
      name, label, value, s->count);
}

void
hg_print (GString *out)
{
  for (HgHistogram h = 0; h < HG_COUNT; h++)
    {
      if (series[h] == NULL)
        continue;
      g_string_append_printf (out,
                              "# HELP galenamount_%s %s\n"
                              "# TYPE galenamount_%s histogram\n",
                              histograms[h].name, histograms[h].help,
                              histograms[h].name);
      g_autoptr (GList) labels = g_list_sort (
          g_hash_table_get_keys (series[h]), (GCompareFunc)strcmp);
      for (GList *l = labels; l != NULL; l = l->next)
        print_series (out, h, l->data,
                      g_hash_table_lookup (series[h], l->data));
    }
}
